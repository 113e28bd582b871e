#include "peridothill/services/interface.h"
#include "peridothill/services/tasks.h"

static void
rows_clear(PhTasksListed *listed)
{
    for (size_t i = 0; i < listed->row_count; i++) {
        PhStr_Clear(&listed->rows[i].key);
        PhStr_Clear(&listed->rows[i].team);
        PhStr_Clear(&listed->rows[i].reason);
    }
    g_free(listed->rows);
}

static void
message_destroy(void *body)
{
    PhTasksMessage *m = body;
    switch (m->tag) {
    case PH_TASKS_SUBMIT:
        PhJobSpec_Clear(&m->as.submit.spec);
        break;
    case PH_TASKS_LISTED:
        rows_clear(&m->as.listed);
        break;
    case PH_TASKS_LIST:
    case PH_TASKS_CANCEL:
    case PH_TASKS_SUBMITTED:
    case PH_TASKS_CANCELLED:
        break;
    }
    g_free(m);
}

PhMessage
PhTasksMessage_Wrap(const PhTasksMessage *body)
{
    return PhMessage_Copy(PH_INTERFACE_TASKS, body, sizeof(*body),
                          message_destroy);
}
