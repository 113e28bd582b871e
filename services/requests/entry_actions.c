#include "entry_internal.h"
#include "peridothill/services/interface.h"

static const PhCounter sent_counters[] = {
    [PH_SEND_FIRST] = PH_COUNTER_SENT_FIRST,
    [PH_SEND_RETRY_CONNECT] = PH_COUNTER_SENT_RETRY_CONNECT,
    [PH_SEND_RETRY_FIRST_BYTE] = PH_COUNTER_SENT_RETRY_FIRST_BYTE,
    [PH_SEND_RETRY_RESET] = PH_COUNTER_SENT_RETRY_RESET,
    [PH_SEND_RETRY_TRUNCATED] = PH_COUNTER_SENT_RETRY_TRUNCATED,
    [PH_SEND_RETRY_STATUS] = PH_COUNTER_SENT_RETRY_STATUS,
    [PH_SEND_HEDGE] = PH_COUNTER_SENT_HEDGE,
};

static const PhCounter note_counters[] = {
    [PH_NOTE_LATE_ANSWER] = PH_COUNTER_NOTE_LATE_ANSWER,
    [PH_NOTE_EJECTED] = PH_COUNTER_NOTE_EJECTED,
    [PH_NOTE_READMITTED] = PH_COUNTER_NOTE_READMITTED,
    [PH_NOTE_RETRY_NO_BUDGET] = PH_COUNTER_NOTE_RETRY_NO_BUDGET,
    [PH_NOTE_RETRY_NO_TIME] = PH_COUNTER_NOTE_RETRY_NO_TIME,
    [PH_NOTE_HEDGE_WON] = PH_COUNTER_NOTE_HEDGE_WON,
    [PH_NOTE_CALLER_DISCONNECTED] = PH_COUNTER_NOTE_CALLER_DISCONNECTED,
};

static void
count(const PhEntry *entry, PhCounter counter)
{
    PhCounters_Add(PhKernel_Counters(PhTask_Kernel(entry->self)), counter, 1);
}

/* An attempt that the task "http" does not accept was not sent; the decisions
 * are notified after the current actions. */
static void
act_send(PhEntry *entry, const PhSend *send)
{
    const PhCall *call = g_hash_table_lookup(entry->calls, &send->request);
    PhMessage message =
        PhCall_Message(call, send, PhRequests_Router(entry->requests),
                       PhTask_Now(entry->self));
    if (PhTask_SendTo(entry->self, PH_SERVICE_HTTP, message) != PH_STATUS_OK) {
        count(entry, PH_COUNTER_ATTEMPTS_UNDELIVERED);
        g_queue_push_tail(&entry->unsent,
                          g_memdup2(&send->attempt, sizeof(send->attempt)));
        return;
    }
    count(entry, sent_counters[send->cause]);
}

/* The attempt still gets its reply. If the message is lost, the attempt runs
 * until its deadline. */
static void
act_cancel(PhEntry *entry, uint64_t attempt)
{
    PhHttpMessage message = {.tag = PH_HTTP_CANCEL, .as.cancel = attempt};
    PhTask_SendTo(entry->self, PH_SERVICE_HTTP, PhHttpMessage_Wrap(&message));
}

static void
log_worker(PhEntry *entry, PhEventId event, uint32_t worker)
{
    PhTask_LOG(entry->self, event,
               PhField_STR("worker",
                           PhRouter_WorkerId(
                               PhRequests_Router(entry->requests), worker)));
}

static void
act_note(PhEntry *entry, PhRequestsNote note, uint32_t worker)
{
    count(entry, note_counters[note]);
    switch (note) {
    case PH_NOTE_EJECTED:
        log_worker(entry, PH_EVENT_WORKER_EJECTED, worker);
        break;
    case PH_NOTE_READMITTED:
        log_worker(entry, PH_EVENT_WORKER_READMITTED, worker);
        break;
    case PH_NOTE_LATE_ANSWER:
    case PH_NOTE_RETRY_NO_BUDGET:
    case PH_NOTE_RETRY_NO_TIME:
    case PH_NOTE_HEDGE_WON:
    case PH_NOTE_CALLER_DISCONNECTED:
    case PH_NOTE_COUNT:
        break;
    }
}

void
PhEntry_Act(PhEntry *entry, const PhRequestsAction *action)
{
    switch (action->tag) {
    case PH_REQUESTS_SEND:
        act_send(entry, &action->as.send);
        break;
    case PH_REQUESTS_ANSWER:
        PhEntry_ForwardReply(entry, action->as.answer);
        break;
    case PH_REQUESTS_REFUSE:
        PhEntry_Refuse(entry, &action->as.refuse);
        break;
    case PH_REQUESTS_CANCEL:
        act_cancel(entry, action->as.cancel);
        break;
    case PH_REQUESTS_CLAIM:
    case PH_REQUESTS_CLAIM_ANSWER:
    case PH_REQUESTS_CLAIM_RELEASE:
        PhEntry_SendKey(entry, action);
        break;
    case PH_REQUESTS_QUIESCE:
        PhListener_Quiesce(entry->listener);
        PhTask_LOG(
            entry->self, PH_EVENT_ENTRY_QUIESCED,
            PhField_U64("in_flight", PhRequests_InFlight(entry->requests)));
        break;
    case PH_REQUESTS_DRAINED:
        entry->drained = true;
        entry->drained_at = PhTask_Now(entry->self);
        PhTask_Log(entry->self, PH_EVENT_ENTRY_DRAINED, NULL, 0);
        break;
    case PH_REQUESTS_NOTE:
        act_note(entry, action->as.note.note, action->as.note.worker);
        break;
    }
}
