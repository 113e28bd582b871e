/* Durable records of clients' calls.  A submission or cancellation is
 * acknowledged once its record is durable.  Appends are sent one at a time in
 * this instance's producer sequence, so that an unanswered one can be repeated
 * without being applied twice. */
#include "schedule_task.h"

/* Delay before an append whose outcome is unknown is repeated. */
static const PhTime RETRY_DELAY = 100 * PH_NS_PER_MS;
enum {
    ACCEPT_RECORDS_MAX = 64, /* per append */
    PAYLOAD_COPIES = 4,
    ACCEPT_EPOCH = 1, /* each producer name is used by one process only */
};

void
PhScheduleAccept_Destroy(gpointer value)
{
    PhPendingAccept *a = value;
    PhClientCall_Clear(&a->call);
    PhSchedEncoded_Clear(&a->record);
    g_free(a);
}

/* Refuses a call whose append was not sent or was refused.  If the owner may
 * have accepted it, the answer is that the outcome is unknown. */
static void
accept_refuse(PhScheduleTask *t, PhPendingAccept *a, const char *reason)
{
    if (a->call.outcome_unknown) {
        PhScheduleCalls_AnswerTag(t, &a->call.origin,
                                  PH_SCHEDULE_OUTCOME_UNKNOWN);
        return;
    }
    PhScheduleCalls_Refuse(t, &a->call.origin, a->call.subject, reason);
}

static PhSchedEncoded
call_encode(const PhClientCall *call)
{
    PhSchedRecord cancel = {.tag = PH_SCHED_RECORD_CANCEL,
                            .id = call->subject};
    return call->tag == PH_SCHEDULE_SUBMIT
               ? PhSchedRecord_EncodeJob(&call->spec)
               : PhSchedRecord_Encode(&cancel);
}

static bool
record_fits(const PhScheduleTask *t, const PhSchedEncoded *record)
{
    size_t bytes = PhSchedEncoded_Bytes(record);
    return bytes <= t->options.record_bytes &&
           PH_STORE_LENGTH_BYTES + bytes <= t->options.append_bytes;
}

/* A record that the store does not take is never sent, so that it delays no
 * other call; no instance can have accepted the call. */
void
PhScheduleAccept_Add(PhScheduleTask *t, PhClientCall *call)
{
    PhSchedEncoded record = call_encode(call);
    if (!record_fits(t, &record)) {
        PhScheduleCalls_RefuseInvalid(t, &call->origin, call->subject,
                                      "record larger than the store takes");
        PhSchedEncoded_Clear(&record);
        return;
    }
    PhPendingAccept *a = g_new0(PhPendingAccept, 1);
    a->call = *call;
    a->record = record;
    *call = (PhClientCall){0};
    g_queue_push_tail(&t->accept_queue, a);
    PhScheduleAccept_Expire(t);
    PhScheduleAccept_Flush(t);
}

static bool
is_submission_of(const PhPendingAccept *a, PhStr id)
{
    return a->call.tag == PH_SCHEDULE_SUBMIT &&
           PhStr_Equal(a->call.subject, id);
}

bool
PhScheduleAccept_IsPending(const PhScheduleTask *t, PhStr id)
{
    for (guint i = 0; i < t->accept_batch->len; i++) {
        if (is_submission_of(g_ptr_array_index(t->accept_batch, i), id)) {
            return true;
        }
    }
    for (const GList *l = t->accept_queue.head; l != NULL; l = l->next) {
        if (is_submission_of(l->data, id)) {
            return true;
        }
    }
    return false;
}

static bool
is_forwarded(const PhScheduleTask *t, PhStr id)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, t->forwarded_calls);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const PhClientCall *x = &((const PhForwardedCall *)value)->call;
        if (x->tag == PH_SCHEDULE_SUBMIT && PhStr_Equal(x->subject, id)) {
            return true;
        }
    }
    return false;
}

/* Whether another submission of the same job may still take effect, so that
 * this one must not be refused: it is in the current append, was forwarded, or
 * is in the queue and kept.  An entry is kept for good if its outcome is
 * unknown, and others until `kept_from`: those with a later deadline. */
static bool
may_run(const PhScheduleTask *t, const PhClientCall *call, PhTime kept_from)
{
    if (t->options.contact_limit == 0 || call->tag != PH_SCHEDULE_SUBMIT) {
        return false;
    }
    for (guint i = 0; i < t->accept_batch->len; i++) {
        if (is_submission_of(g_ptr_array_index(t->accept_batch, i),
                             call->subject)) {
            return true;
        }
    }
    for (const GList *l = t->accept_queue.head; l != NULL; l = l->next) {
        const PhPendingAccept *a = l->data;
        if (&a->call != call && is_submission_of(a, call->subject) &&
            (a->call.outcome_unknown || a->call.deadline > kept_from)) {
            return true;
        }
    }
    return is_forwarded(t, call->subject);
}

bool
PhScheduleAccept_MayRun(const PhScheduleTask *t, const PhClientCall *call)
{
    return may_run(t, call, PhTask_Now(t->self));
}

void
PhScheduleAccept_RefuseUnsent(PhScheduleTask *t)
{
    for (guint left = t->accept_queue.length; left > 0; left--) {
        PhPendingAccept *a = g_queue_pop_head(&t->accept_queue);
        if (a->call.outcome_unknown || may_run(t, &a->call, PH_TIME_NEVER)) {
            g_queue_push_tail(&t->accept_queue, a);
            continue;
        }
        PhScheduleCalls_RefuseAtOnce(t, &a->call,
                                     PhCallPath_Refuse(PH_CALL_NO_CONTACT));
        PhScheduleAccept_Destroy(a);
    }
}

/* The memory of one submission in tasks, 0 of a cancellation.  On its way to
 * the store its payload is held several times: in the call, the record, the
 * append and the request. */
static uint64_t
pending_tasks(const PhPendingAccept *a)
{
    if (a->call.tag != PH_SCHEDULE_SUBMIT) {
        return 0;
    }
    uint64_t tasks = PhSchedSpec_TaskCount(&a->call.spec);
    uint64_t payload = PhSchedSpec_Weight(&a->call.spec) - tasks;
    return tasks + payload * PAYLOAD_COPIES;
}

uint64_t
PhScheduleAccept_Tasks(const PhScheduleTask *t)
{
    uint64_t count = 0;
    for (guint i = 0; i < t->accept_batch->len; i++) {
        count += pending_tasks(g_ptr_array_index(t->accept_batch, i));
    }
    for (const GList *l = t->accept_queue.head; l != NULL; l = l->next) {
        count += pending_tasks(l->data);
    }
    return count;
}

/* Moves the calls of the next append from the queue. */
static void
take_batch(PhScheduleTask *t)
{
    PhPendingAccept *a;
    size_t bytes = 0;
    while ((a = g_queue_peek_head(&t->accept_queue)) != NULL &&
           t->accept_batch->len < ACCEPT_RECORDS_MAX) {
        bytes += PH_STORE_LENGTH_BYTES + PhSchedEncoded_Bytes(&a->record);
        if (bytes > t->options.append_bytes) {
            return;
        }
        g_ptr_array_add(t->accept_batch, g_queue_pop_head(&t->accept_queue));
    }
}

/* Repeats the current append, or sends the next one. */
void
PhScheduleAccept_Flush(PhScheduleTask *t)
{
    if (t->accept_in_flight) {
        return;
    }
    if (t->accept_batch->len == 0) {
        take_batch(t);
    }
    if (t->accept_batch->len == 0) {
        return;
    }
    PhStoreMessage m = {.tag = PH_STORE_APPEND};
    PhStoreAppend *append = &m.as.append;
    append->topic = PhStr_Dup(PH_SCHED_TOPIC_JOBS);
    append->records = g_new0(PhStoreRecord, t->accept_batch->len);
    append->record_count = t->accept_batch->len;
    append->condition = PH_STORE_PRODUCER;
    append->producer = PhStr_Dup(t->producer);
    append->epoch = ACCEPT_EPOCH;
    append->sequence = t->sequence;
    for (guint i = 0; i < t->accept_batch->len; i++) {
        const PhPendingAccept *a = g_ptr_array_index(t->accept_batch, i);
        append->records[i] =
            (PhStoreRecord){.key = PhStr_Dup(a->record.key),
                            .value = PhStr_Dup(a->record.value)};
    }
    t->accept_in_flight = true;
    PhScheduleTask_Call(t, CALL_ACCEPT, &m);
}

/* Applies a call whose record is durable, and answers it. */
static void
accept_done(PhScheduleTask *t, PhPendingAccept *a)
{
    PhSchedModel *model = PhScheduler_Model(t->scheduler);
    PhScheduleAnswerTag tag = PH_SCHEDULE_ACCEPTED;
    PhCounters_Add(PhKernel_Counters(PhTask_Kernel(t->self)),
                   PH_COUNTER_SCHEDULE_ACCEPTED, 1);
    PhTask_LOG(t->self, PH_EVENT_SCHEDULE_ACCEPTED,
               PhField_STR("job", a->call.subject),
               PhField_STR("call", a->call.tag == PH_SCHEDULE_SUBMIT
                                       ? PhStr_LITERAL("submit")
                                       : PhStr_LITERAL("cancel")),
               PhField_U64("sequence", t->sequence - 1));
    if (a->call.tag == PH_SCHEDULE_SUBMIT) {
        PhSchedModel_AddJob(model, &a->call.spec, PhTask_Now(t->self));
    }
    else {
        PhSchedModel_Cancel(model, a->call.subject);
        tag = PhSchedModel_Job(model, a->call.subject) != NULL
                  ? PH_SCHEDULE_CANCELLED
                  : PH_SCHEDULE_NO_JOB;
    }
    if (!a->answered) {
        PhScheduleCalls_AnswerTag(t, &a->call.origin, tag);
    }
}

/* Completes the current append. */
static void
accept_finish(PhScheduleTask *t, bool done)
{
    for (guint i = 0; i < t->accept_batch->len; i++) {
        PhPendingAccept *a = g_ptr_array_index(t->accept_batch, i);
        if (done) {
            accept_done(t, a);
        }
        else if (!a->answered) {
            accept_refuse(t, a, "store rejected the record");
        }
    }
    g_ptr_array_set_size(t->accept_batch, 0);
    PhScheduleTask_RequestUpdate(t);
}

void
PhScheduleAccept_OnReply(PhScheduleTask *t, const PhStoreReply *reply)
{
    t->accept_in_flight = false;
    switch (reply->outcome) {
    case PH_STORE_DONE:
        t->sequence++;
        t->accept_retried = false;
        accept_finish(t, true);
        break;
    case PH_STORE_REFUSED:
        if (!t->accept_retried) {
            accept_finish(t, false);
            break;
        }
        PhTask_SetTimer(t->self, TIMER_ACCEPT,
                        PhTask_Now(t->self) + RETRY_DELAY);
        return;
    case PH_STORE_SEQUENCE:
        PhTask_LOG(t->self, PH_EVENT_SCHEDULE_SEQUENCE,
                   PhField_U64("sent", t->sequence),
                   PhField_U64("expected", reply->first));
        if (reply->first > t->sequence) {
            t->sequence = reply->first;
            t->accept_retried = false;
            accept_finish(t, true);
            break;
        }
        t->sequence = reply->first;
        break;
    case PH_STORE_UNKNOWN:
    case PH_STORE_CONFLICT:
    case PH_STORE_FENCED:
    case PH_STORE_GONE:
        t->accept_retried = true;
        PhTask_SetTimer(t->self, TIMER_ACCEPT,
                        PhTask_Now(t->self) + RETRY_DELAY);
        return;
    }
    PhScheduleAccept_Flush(t);
}

/* Answers expired calls of the current append: their outcome is unknown.
 * Returns the earliest remaining deadline, at most `next`. */
static PhTime
expire_sent(PhScheduleTask *t, PhTime now, PhTime next)
{
    for (guint i = 0; i < t->accept_batch->len; i++) {
        PhPendingAccept *a = g_ptr_array_index(t->accept_batch, i);
        if (!a->answered && a->call.deadline <= now) {
            a->answered = true;
            PhTask_LOG(t->self, PH_EVENT_SCHEDULE_NOT_KNOWN,
                       PhField_STR("job", a->call.subject),
                       PhField_U64("sequence", t->sequence));
            PhScheduleCalls_AnswerTag(t, &a->call.origin,
                                      PH_SCHEDULE_OUTCOME_UNKNOWN);
        }
        else if (!a->answered) {
            next = MIN(next, a->call.deadline);
        }
    }
    return next;
}

/* Answers expired calls.  Those that were never sent are refused. */
void
PhScheduleAccept_Expire(PhScheduleTask *t)
{
    PhTime now = PhTask_Now(t->self);
    PhTime next = expire_sent(t, now, PH_TIME_NEVER);
    for (guint left = t->accept_queue.length; left > 0; left--) {
        PhPendingAccept *a = g_queue_pop_head(&t->accept_queue);
        if (a->call.deadline <= now) {
            a->call.outcome_unknown |= may_run(t, &a->call, now);
            accept_refuse(t, a,
                          "record not sent to the store before the deadline");
            PhScheduleAccept_Destroy(a);
            continue;
        }
        next = MIN(next, a->call.deadline);
        g_queue_push_tail(&t->accept_queue, a);
    }
    if (next != PH_TIME_NEVER) {
        PhTask_SetTimer(t->self, TIMER_DEADLINES, next);
    }
}
