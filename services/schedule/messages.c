/* Copying and releasing of the messages of "store", "orders" and
 * "schedule". */
#include "peridothill/services/interface.h"
#include "peridothill/services/orders.h"
#include "peridothill/services/schedule.h"
#include "peridothill/services/store.h"

static void
records_clear(PhStoreRecord *records, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        PhStr_Clear(&records[i].key);
        PhStr_Clear(&records[i].value);
    }
    g_free(records);
}

static void
store_release(void *body)
{
    PhStoreMessage *m = body;
    switch (m->tag) {
    case PH_STORE_APPEND:
        PhStr_Clear(&m->as.append.topic);
        PhStr_Clear(&m->as.append.producer);
        records_clear(m->as.append.records, m->as.append.record_count);
        break;
    case PH_STORE_READ:
        PhStr_Clear(&m->as.read.topic);
        break;
    case PH_STORE_NEWEST:
        PhStr_Clear(&m->as.newest.topic);
        PhStr_Clear(&m->as.newest.after);
        break;
    case PH_STORE_REPLY:
        records_clear(m->as.reply.records, m->as.reply.record_count);
        break;
    }
    g_free(m);
}

PhMessage
PhStoreMessage_Wrap(const PhStoreMessage *body)
{
    return PhMessage_Copy(PH_INTERFACE_STORE, body, sizeof(*body),
                          store_release);
}

/* A hold addresses a worker; all other actions address a run. */
static bool
action_has_run(PhSchedActionTag tag)
{
    return tag != PH_SCHED_ACTION_HOLD;
}

PhSchedAction
PhOrder_CopyAction(const PhSchedAction *action)
{
    PhSchedAction copy = *action;
    copy.worker = PhStr_Dup(action->worker);
    copy.address = PhStr_Dup(action->address);
    if (action_has_run(action->tag)) {
        copy.as.run.task.job = PhStr_Dup(action->as.run.task.job);
        copy.as.run.payload = PhStr_Dup(action->as.run.payload);
        copy.as.run.last_checkpoint =
            PhStr_Dup(action->as.run.last_checkpoint);
    }
    return copy;
}

void
PhOrder_Clear(PhOrder *order)
{
    PhSchedAction *a = &order->action;
    PhStr_Clear(&a->worker);
    PhStr_Clear(&a->address);
    if (action_has_run(a->tag)) {
        PhStr_Clear(&a->as.run.task.job);
        PhStr_Clear(&a->as.run.payload);
        PhStr_Clear(&a->as.run.last_checkpoint);
    }
}

static void
hold_reply_clear(PhSchedHoldReply *hold)
{
    for (size_t i = 0; i < hold->run_count; i++) {
        PhStr_Clear(&hold->runs[i].task.job);
        PhStr_Clear(&hold->runs[i].last_checkpoint);
    }
    for (size_t i = 0; i < hold->end_count; i++) {
        PhStr_Clear(&hold->ends[i].task.job);
        PhStr_Clear(&hold->ends[i].last_checkpoint);
    }
    g_free(hold->runs);
    g_free(hold->ends);
}

static void
order_release(void *body)
{
    PhOrderMessage *m = body;
    switch (m->tag) {
    case PH_ORDER_SEND:
        PhOrder_Clear(&m->as.send);
        break;
    case PH_ORDER_REPLY:
        PhStr_Clear(&m->as.reply.worker);
        PhStr_Clear(&m->as.reply.job);
        hold_reply_clear(&m->as.reply.hold);
        break;
    }
    g_free(m);
}

PhMessage
PhOrderMessage_Wrap(const PhOrderMessage *body)
{
    return PhMessage_Copy(PH_INTERFACE_ORDERS, body, sizeof(*body),
                          order_release);
}

static void
schedule_release(void *body)
{
    PhScheduleMessage *m = body;
    switch (m->tag) {
    case PH_SCHEDULE_SUBMIT:
    case PH_SCHEDULE_STATE:
    case PH_SCHEDULE_CANCEL:
    case PH_SCHEDULE_PENDING:
    case PH_SCHEDULE_READY:
        PhStr_Clear(&m->as.call.host);
        PhStr_Clear(&m->as.call.path);
        PhSchedSpec_Clear(&m->as.call.spec);
        break;
    case PH_SCHEDULE_ANSWER:
    case PH_SCHEDULE_DRAIN:
    case PH_SCHEDULE_ROLE:
    case PH_SCHEDULE_CONTACT:
        break;
    case PH_SCHEDULE_CONFIG:
        PhSchedConfig_Destroy(m->as.config);
        break;
    case PH_SCHEDULE_WORKER:
        PhSchedWorkerEntry_Clear(&m->as.worker);
        break;
    case PH_SCHEDULE_WORKER_REMOVED:
        PhStr_Clear(&m->as.removed_worker.id);
        break;
    case PH_SCHEDULE_CORDON:
        PhStr_Clear(&m->as.cordon.data_centre);
        break;
    }
    g_free(m);
}

PhMessage
PhScheduleMessage_Wrap(const PhScheduleMessage *body)
{
    return PhMessage_Copy(PH_INTERFACE_SCHEDULE, body, sizeof(*body),
                          schedule_release);
}
