#include "peridothill/decide/config/config_ledger.h"

static void
tombstone_clear(gpointer data)
{
    PhConfigTombstone *tombstone = data;
    PhStr_Clear(&tombstone->path);
}

PhConfigSnapshot *
PhConfigSnapshot_Create(uint64_t covers, PhConfigState *state)
{
    PhConfigSnapshot *s = g_new0(PhConfigSnapshot, 1);
    s->references = 1;
    s->covers = covers;
    s->state = state;
    s->marks = g_array_new(FALSE, FALSE, sizeof(PhConfigVersionOffset));
    s->tombstones = g_array_new(FALSE, FALSE, sizeof(PhConfigTombstone));
    g_array_set_clear_func(s->tombstones, tombstone_clear);
    s->verdicts = g_ptr_array_new_with_free_func(PhConfigVerdict_Destroy);
    return s;
}

PhConfigSnapshot *
PhConfigSnapshot_Ref(PhConfigSnapshot *snapshot)
{
    snapshot->references++;
    return snapshot;
}

void
PhConfigSnapshot_Unref(PhConfigSnapshot *snapshot)
{
    if (snapshot == NULL || --snapshot->references > 0) {
        return;
    }
    PhConfigState_Unref(snapshot->state);
    g_array_free(snapshot->marks, TRUE);
    g_array_free(snapshot->tombstones, TRUE);
    g_ptr_array_free(snapshot->verdicts, TRUE);
    g_free(snapshot);
}
