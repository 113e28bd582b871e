/* Clients' calls.  A job is accepted, and a cancellation is acknowledged, once
 * its record is durable.  Appends go out one at a time in this instance's own
 * sequence, so that one without an answer can be repeated until its outcome
 * is known. */
#include "schedule_task.h"

/* A refused client comes back after this long. */
static const PhTime RETRY_AFTER = 1 * PH_NS_PER_S;
/* An append without an answer is repeated after this long. */
static const PhTime RETRY = 100 * PH_NS_PER_MS;
/* A client is answered this long before it stops waiting. */
static const PhTime ANSWER_MARGIN = 150 * PH_NS_PER_MS;
enum {
    ID_BYTES = 16,
    ACCEPT_RECORDS_MAX = 64, /* in one append */
    ACCEPT_EPOCH = 1,        /* of a producer name that is used only once */
};

/* Releases a waiting call. */
void
PhScheduleAccept_Destroy(gpointer value)
{
    PhAccept *a = value;
    PhStr_Clear(&a->id);
    PhSchedSpec_Clear(&a->spec);
    g_free(a);
}

/* Answers a call. */
static void
answer(PhScheduleTask *t, PhTaskRef to, PhScheduleAnswer body)
{
    PhScheduleMessage m = {.tag = PH_SCHEDULE_ANSWER, .as.answer = body};
    PhTask_Send(t->self, to, PhScheduleMessage_Wrap(&m));
}

/* Answers a call with a tag that has no more to say. */
static void
answer_tag(PhScheduleTask *t, PhTaskRef to, uint64_t call,
           PhScheduleAnswerTag tag)
{
    PhScheduleAnswer a = {.id = call, .tag = tag};
    a.as.retry_after = RETRY_AFTER;
    answer(t, to, a);
}

/* Refuses a call, and says why in the log. */
static void
refuse(PhScheduleTask *t, PhTaskRef to, uint64_t call, PhStr id,
       const char *reason)
{
    PhTime now = PhTask_Now(t->self);
    PhCounters_Add(PhKernel_Counters(PhTask_Kernel(t->self)),
                   PH_COUNTER_SCHEDULE_REFUSED, 1);
    PhTask_LOG(
        t->self, PH_EVENT_SCHEDULE_REFUSED, PhField_STR("job", id),
        PhField_STR("reason", PhStr_FromC(reason)),
        PhField_I64("read_age_ms", (now - t->jobs.fresh_at) / PH_NS_PER_MS),
        PhField_U64("version",
                    PhScheduler_Model(t->scheduler)->config->version));
    answer_tag(t, to, call, PH_SCHEDULE_REFUSED);
}

/* Answers a call on a job that is not known here: it does not exist, or what
 * is known is too old to say so. */
static void
answer_unknown(PhScheduleTask *t, PhTaskRef to, uint64_t call, PhStr id)
{
    if (PhScheduleTopics_IsFresh(t)) {
        answer_tag(t, to, call, PH_SCHEDULE_NO_JOB);
        return;
    }
    refuse(t, to, call, id, "store not read lately");
}

/* Puts a call into the queue of the next append. */
static void
accept_add(PhScheduleTask *t, PhTaskRef sender, PhScheduleTag tag,
           const PhScheduleCall *call, PhStr id, PhSchedSpec *spec)
{
    PhAccept *a = g_new0(PhAccept, 1);
    a->tag = tag;
    a->call = call->id;
    a->sender = sender;
    a->deadline = call->deadline - ANSWER_MARGIN;
    a->id = PhStr_Dup(id);
    if (spec != NULL) {
        a->spec = *spec;
        *spec = (PhSchedSpec){0};
    }
    g_queue_push_tail(&t->accepts, a);
    PhScheduleAccept_Expire(t);
    PhScheduleAccept_Flush(t);
}

/* Takes in a submission. */
static void
on_submit(PhScheduleTask *t, PhTaskRef sender, PhScheduleCall *call,
          const PhSchedQueue *queue, PhStr id)
{
    PhSchedSpec *spec = &call->spec;
    if (PhSchedModel_Job(PhScheduler_Model(t->scheduler), id) != NULL) {
        answer_tag(t, sender, call->id, PH_SCHEDULE_ACCEPTED);
        return;
    }
    spec->id = PhStr_Dup(id);
    spec->terms = queue->terms;
    spec->terms.queue = PhStr_Dup(queue->terms.queue);
    spec->terms.service = PhStr_Dup(queue->terms.service);
    PhResult r = PhSchedSpec_Check(spec);
    if (!PhResult_IsOk(&r)) {
        answer_tag(t, sender, call->id, PH_SCHEDULE_INVALID);
    }
    else if (queue->needs_advice) {
        refuse(t, sender, call->id, id, "asks for what is not built");
    }
    else {
        accept_add(t, sender, PH_SCHEDULE_SUBMIT, call, id, spec);
    }
}

/* Takes in a cancellation. */
static void
on_cancel(PhScheduleTask *t, PhTaskRef sender, const PhScheduleCall *call,
          PhStr id)
{
    const PhSchedJob *job =
        PhSchedModel_Job(PhScheduler_Model(t->scheduler), id);
    if (job == NULL) {
        answer_unknown(t, sender, call->id, id);
        return;
    }
    if (job->cancel || PhSchedJob_IsOver(job)) {
        answer_tag(t, sender, call->id, PH_SCHEDULE_CANCELLED);
        return;
    }
    accept_add(t, sender, PH_SCHEDULE_CANCEL, call, id, NULL);
}

/* Answers with the state of a job as the store has it. */
static void
answer_state(PhScheduleTask *t, PhTaskRef sender, uint64_t call,
             const PhSchedJob *job)
{
    PhScheduleAnswer a = {.id = call,
                          .tag = PH_SCHEDULE_JOB_STATE,
                          .as.state = job->durable_state};
    answer(t, sender, a);
}

/* Tells the state of a job; the newest records are read first. */
static void
on_state(PhScheduleTask *t, PhTaskRef sender, const PhScheduleCall *call,
         PhStr id)
{
    const PhSchedJob *job =
        PhSchedModel_Job(PhScheduler_Model(t->scheduler), id);
    if (job == NULL) {
        answer_unknown(t, sender, call->id, id);
        return;
    }
    if (PhSchedJob_IsOver(job) || PhScheduleTopics_IsCurrent(t)) {
        answer_state(t, sender, call->id, job);
        return;
    }
    PhStateCall *wait = g_new0(PhStateCall, 1);
    wait->call = call->id;
    wait->sender = sender;
    wait->id = PhStr_Dup(id);
    g_queue_push_tail(&t->states, wait);
    PhScheduleTopics_Hurry(t);
}

/* Releases a call that waits for a state. */
void
PhScheduleAccept_DestroyState(gpointer value)
{
    PhStateCall *wait = value;
    PhStr_Clear(&wait->id);
    g_free(wait);
}

/* Answers the calls that waited for the newest runs. */
void
PhScheduleAccept_AnswerStates(PhScheduleTask *t)
{
    PhStateCall *wait;
    while ((wait = g_queue_pop_head(&t->states)) != NULL) {
        const PhSchedJob *job =
            PhSchedModel_Job(PhScheduler_Model(t->scheduler), wait->id);
        if (job != NULL) {
            answer_state(t, wait->sender, wait->call, job);
        }
        else {
            answer_tag(t, wait->sender, wait->call, PH_SCHEDULE_REFUSED);
        }
        PhScheduleAccept_DestroyState(wait);
    }
}

/* Counts the jobs of a queue of which no task has started. */
static void
on_pending(PhScheduleTask *t, PhTaskRef sender, const PhScheduleCall *call,
           const PhSchedQueue *queue)
{
    const PhSchedModel *model = PhScheduler_Model(t->scheduler);
    PhScheduleAnswer a = {.id = call->id, .tag = PH_SCHEDULE_COUNT};
    if (!PhScheduleTopics_IsFresh(t)) {
        answer_tag(t, sender, call->id, PH_SCHEDULE_REFUSED);
        return;
    }
    a.as.pending = 0;
    for (guint i = 0; i < model->active->len; i++) {
        const PhSchedJob *job = g_ptr_array_index(model->active, i);
        a.as.pending += job->durable_state == PH_SCHED_JOB_QUEUED &&
                        PhStr_Equal(job->spec.terms.queue, queue->terms.queue);
    }
    answer(t, sender, a);
}

/* Tells whether clients may be sent here. */
static void
on_ready(PhScheduleTask *t, PhTaskRef sender, const PhScheduleCall *call)
{
    const PhSchedModel *model = PhScheduler_Model(t->scheduler);
    PhScheduleAnswer a = {.id = call->id, .tag = PH_SCHEDULE_IS_READY};
    a.as.ready = !t->draining && model->config->version > 0 &&
                 PhScheduleTopics_IsFresh(t);
    answer(t, sender, a);
}

/* Takes in a call on a queue or a job. */
static void
on_queue_call(PhScheduleTask *t, PhTaskRef sender, PhScheduleTag tag,
              PhScheduleCall *call)
{
    const PhSchedModel *model = PhScheduler_Model(t->scheduler);
    PhStr rest = {0};
    if (model->config->version == 0) {
        refuse(t, sender, call->id, call->path, "no configuration yet");
        return;
    }
    const PhSchedQueue *queue =
        PhSchedConfig_Match(model->config, call->host, call->path, &rest);
    if (queue == NULL) {
        answer_tag(t, sender, call->id, PH_SCHEDULE_NO_QUEUE);
        return;
    }
    if (tag == PH_SCHEDULE_PENDING) {
        on_pending(t, sender, call, queue);
    }
    else if (rest.len != ID_BYTES) {
        answer_tag(t, sender, call->id, PH_SCHEDULE_INVALID);
    }
    else if (tag == PH_SCHEDULE_SUBMIT) {
        on_submit(t, sender, call, queue, rest);
    }
    else if (tag == PH_SCHEDULE_CANCEL) {
        on_cancel(t, sender, call, rest);
    }
    else {
        on_state(t, sender, call, rest);
    }
}

/* Takes in a client's call or a readiness check. */
void
PhScheduleAccept_OnCall(PhScheduleTask *t, PhTaskRef sender, PhScheduleTag tag,
                        PhScheduleCall *call)
{
    if (tag == PH_SCHEDULE_READY) {
        on_ready(t, sender, call);
        return;
    }
    on_queue_call(t, sender, tag, call);
}

/* Encodes what a call has to make durable. */
static PhStoreRecord
accept_record(const PhAccept *a)
{
    PhSchedRecord cancel = {.tag = PH_SCHED_RECORD_CANCEL, .id = a->id};
    PhSchedEncoded e = a->tag == PH_SCHEDULE_SUBMIT
                           ? PhSchedRecord_EncodeJob(&a->spec)
                           : PhSchedRecord_Encode(&cancel);
    return (PhStoreRecord){.key = e.key, .value = e.value};
}

/* Sends the append that is being tried, or the next one. */
void
PhScheduleAccept_Flush(PhScheduleTask *t)
{
    if (t->accept_sent) {
        return;
    }
    if (t->accept->len == 0) {
        while (t->accepts.length > 0 && t->accept->len < ACCEPT_RECORDS_MAX) {
            g_ptr_array_add(t->accept, g_queue_pop_head(&t->accepts));
        }
    }
    if (t->accept->len == 0) {
        return;
    }
    PhStoreMessage m = {.tag = PH_STORE_APPEND};
    PhStoreAppend *append = &m.as.append;
    append->topic = PhStr_Dup(PH_SCHED_TOPIC_JOBS);
    append->records = g_new0(PhStoreRecord, t->accept->len);
    append->record_count = t->accept->len;
    append->condition = PH_STORE_PRODUCER;
    append->producer = PhStr_Dup(t->producer);
    append->epoch = ACCEPT_EPOCH;
    append->sequence = t->sequence;
    for (guint i = 0; i < t->accept->len; i++) {
        append->records[i] = accept_record(g_ptr_array_index(t->accept, i));
    }
    t->accept_sent = true;
    PhScheduleTask_Call(t, CALL_ACCEPT, &m);
}

/* Applies a call whose record is durable and answers it. */
static void
accept_done(PhScheduleTask *t, PhAccept *a)
{
    PhSchedModel *model = PhScheduler_Model(t->scheduler);
    PhScheduleAnswerTag tag = PH_SCHEDULE_ACCEPTED;
    PhCounters_Add(PhKernel_Counters(PhTask_Kernel(t->self)),
                   PH_COUNTER_SCHEDULE_ACCEPTED, 1);
    PhTask_LOG(t->self, PH_EVENT_SCHEDULE_ACCEPTED, PhField_STR("job", a->id),
               PhField_STR("call", a->tag == PH_SCHEDULE_SUBMIT
                                       ? PhStr_LITERAL("submit")
                                       : PhStr_LITERAL("cancel")),
               PhField_U64("sequence", t->sequence - 1));
    if (a->tag == PH_SCHEDULE_SUBMIT) {
        PhSchedModel_AddJob(model, &a->spec, PhTask_Now(t->self));
    }
    else {
        PhSchedJob *job = PhSchedModel_Job(model, a->id);
        tag = PH_SCHEDULE_CANCELLED;
        if (job != NULL) {
            job->cancel = true;
        }
    }
    if (!a->answered) {
        answer_tag(t, a->sender, a->call, tag);
    }
}

/* Ends the append that was tried. */
static void
accept_finish(PhScheduleTask *t, bool done)
{
    for (guint i = 0; i < t->accept->len; i++) {
        PhAccept *a = g_ptr_array_index(t->accept, i);
        if (done) {
            accept_done(t, a);
        }
        else if (!a->answered) {
            refuse(t, a->sender, a->call, a->id, "store refused the record");
        }
    }
    g_ptr_array_set_size(t->accept, 0);
    PhScheduleTask_WantPump(t);
}

/* Takes in the outcome of an append. */
void
PhScheduleAccept_OnReply(PhScheduleTask *t, const PhStoreReply *reply)
{
    t->accept_sent = false;
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
        PhTask_SetTimer(t->self, TIMER_ACCEPT, PhTask_Now(t->self) + RETRY);
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
        PhTask_SetTimer(t->self, TIMER_ACCEPT, PhTask_Now(t->self) + RETRY);
        return;
    }
    PhScheduleAccept_Flush(t);
}

/* Answers calls in an append on its way whose clients wait no longer. */
static PhTime
expire_sent(PhScheduleTask *t, PhTime now, PhTime next)
{
    for (guint i = 0; i < t->accept->len; i++) {
        PhAccept *a = g_ptr_array_index(t->accept, i);
        if (!a->answered && a->deadline <= now) {
            a->answered = true;
            PhTask_LOG(t->self, PH_EVENT_SCHEDULE_NOT_KNOWN,
                       PhField_STR("job", a->id),
                       PhField_U64("sequence", t->sequence));
            answer_tag(t, a->sender, a->call, PH_SCHEDULE_NOT_KNOWN);
        }
        else if (!a->answered) {
            next = MIN(next, a->deadline);
        }
    }
    return next;
}

/* Answers the calls whose clients wait no longer.  Those that have not left
 * are refused for certain. */
void
PhScheduleAccept_Expire(PhScheduleTask *t)
{
    PhTime now = PhTask_Now(t->self);
    PhTime next = expire_sent(t, now, PH_TIME_NEVER);
    for (guint left = t->accepts.length; left > 0; left--) {
        PhAccept *a = g_queue_pop_head(&t->accepts);
        if (a->deadline <= now) {
            refuse(t, a->sender, a->call, a->id, "store too slow");
            PhScheduleAccept_Destroy(a);
            continue;
        }
        next = MIN(next, a->deadline);
        g_queue_push_tail(&t->accepts, a);
    }
    if (next != PH_TIME_NEVER) {
        PhTask_SetTimer(t->self, TIMER_DEADLINES, next);
    }
}
