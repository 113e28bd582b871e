#include "peridothill/decide/config/config_action.h"

static void
action_clear(gpointer data)
{
    PhConfigAction *a = data;
    PhStr_Clear(&a->member);
    switch (a->kind) {
    case PH_CONFIG_ACTION_READ_LOG:
    case PH_CONFIG_ACTION_READ_SNAPSHOTS:
    case PH_CONFIG_ACTION_HELLO:
    case PH_CONFIG_ACTION_FETCH:
    case PH_CONFIG_ACTION_NOTE:
        break;
    case PH_CONFIG_ACTION_WRITE_SNAPSHOT:
    case PH_CONFIG_ACTION_STATE:
        PhConfigSnapshot_Unref(a->as.snapshot);
        break;
    case PH_CONFIG_ACTION_PUSH:
        g_ptr_array_unref(a->as.push);
        break;
    case PH_CONFIG_ACTION_DECIDED:
        PhConfigVerdict_Destroy(a->as.decided);
        break;
    case PH_CONFIG_ACTION_IN_FORCE:
        PhConfigState_Unref(a->as.in_force);
        break;
    }
}

GArray *
PhConfigActions_Create(void)
{
    GArray *actions = g_array_new(FALSE, FALSE, sizeof(PhConfigAction));
    g_array_set_clear_func(actions, action_clear);
    return actions;
}
