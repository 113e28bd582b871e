/* Clients' calls: submissions, job states, cancellations and counts of pending
 * jobs.  Calls are forwarded to the owner if it can be reached, and handled in
 * this instance otherwise. */
#include "schedule_task.h"

/* Retry-After of a refusal: an election takes 3 s, and most refusals pass
 * sooner. */
static const PhTime RETRY_AFTER = 1 * PH_NS_PER_S;
/* The readiness check fails if the store has not answered for this long. */
static const PhTime READY_STORE_AGE_MAX = 2400 * PH_NS_PER_MS;
/* Reasons of refusals. */
static const char JOBS_UNREAD[] = "jobs not read from the store recently";
static const char RUNS_UNREAD[] = "runs not read from the store recently";
enum {
    ID_BYTES = 16,
};

void
PhScheduleCalls_Answer(PhScheduleTask *t, PhOrigin *origin,
                       PhScheduleAnswer body)
{
    body.id = origin->call;
    if (origin->instance.len > 0) {
        PhScheduleLink_Answer(t, origin->instance, &body);
    }
    else {
        PhScheduleMessage m = {.tag = PH_SCHEDULE_ANSWER, .as.answer = body};
        PhTask_Send(t->self, origin->sender, PhScheduleMessage_Wrap(&m));
    }
    PhStr_Clear(&origin->instance);
}

/* Answers a call with a tag that carries no result. */
void
PhScheduleCalls_AnswerTag(PhScheduleTask *t, PhOrigin *origin,
                          PhScheduleAnswerTag tag)
{
    PhScheduleAnswer a = {.tag = tag};
    a.as.retry_after = RETRY_AFTER;
    PhScheduleCalls_Answer(t, origin, a);
}

/* Logs why a call is refused. */
static void
log_refusal(PhScheduleTask *t, PhStr id, const char *reason)
{
    PhTime now = PhTask_Now(t->self);
    PhCounters_Add(PhKernel_Counters(PhTask_Kernel(t->self)),
                   PH_COUNTER_SCHEDULE_REFUSED, 1);
    PhTask_LOG(
        t->self, PH_EVENT_SCHEDULE_REFUSED, PhField_STR("job", id),
        PhField_STR("reason", PhStr_FromC(reason)),
        PhField_I64("read_age_ms", (now - t->store_read_at) / PH_NS_PER_MS),
        PhField_U64("version",
                    PhScheduler_Model(t->scheduler)->config->version));
}

/* Refuses a call with a tag that says so, and logs the reason. */
static void
refuse(PhScheduleTask *t, PhOrigin *origin, PhStr id, const char *reason,
       PhScheduleAnswerTag tag)
{
    log_refusal(t, id, reason);
    PhScheduleCalls_AnswerTag(t, origin, tag);
}

void
PhScheduleCalls_Refuse(PhScheduleTask *t, PhOrigin *origin, PhStr id,
                       const char *reason)
{
    refuse(t, origin, id, reason, PH_SCHEDULE_REFUSED);
}

void
PhScheduleCalls_RefuseInvalid(PhScheduleTask *t, PhOrigin *origin, PhStr id,
                              const char *reason)
{
    refuse(t, origin, id, reason, PH_SCHEDULE_INVALID);
}

void
PhScheduleCalls_RefuseAtOnce(PhScheduleTask *t, PhClientCall *call,
                             PhCallPath refusal)
{
    static const char *const reasons[] = {
        [PH_CALL_TOO_LATE] = "too little time left",
        [PH_CALL_NO_CONTACT] = "store out of reach",
    };
    PhCounters_Add(PhKernel_Counters(PhTask_Kernel(t->self)),
                   PH_COUNTER_SCHEDULE_NO_CONTACT, 1);
    log_refusal(t, call->subject, reasons[refusal.as.refuse.reason]);
    PhScheduleCalls_Answer(
        t, &call->origin,
        (PhScheduleAnswer){.tag = PH_SCHEDULE_REFUSED,
                           .as.retry_after = refusal.as.refuse.retry_after});
}

bool
PhScheduleCalls_RefuseToWait(PhScheduleTask *t, PhClientCall *call)
{
    PhCallPath path = PhScheduleContact_Path(t, call, false);
    switch (path.tag) {
    case PH_CALL_FORWARD:
    case PH_CALL_LOCAL:
        return false;
    case PH_CALL_REFUSE:
        PhScheduleCalls_RefuseAtOnce(t, call, path);
        return true;
    }
    return false;
}

bool
PhScheduleCalls_KnowsState(const PhScheduleTask *t, PhStr id)
{
    return PhScheduleTopics_AreFollowed(t) &&
           (PhScheduleTopics_AreJobsFresh(t) ||
            PhSchedModel_Job(PhScheduler_Model(t->scheduler), id) != NULL);
}

/* Has a call on an unknown job wait for a read of the jobs.  Returns false if
 * none could be sent. */
static bool
look_for_job(PhScheduleTask *t, PhClientCall *call)
{
    call->jobs_read = PhScheduleTopics_ReadJobsNow(t);
    if (call->jobs_read == 0) {
        return false;
    }
    g_queue_push_tail(&t->look_calls, g_memdup2(call, sizeof(*call)));
    *call = (PhClientCall){0};
    return true;
}

/* Whether another instance may have accepted a job itself since the jobs were
 * read here: it does so while the owner has lost the store. */
static bool
accepted_elsewhere(const PhScheduleTask *t, const PhClientCall *call)
{
    bool owner_lacks_store = t->owner_store_silent || call->owner_refused;
    return t->options.contact_limit > 0 &&
           ((t->stage != OWNER_ACTIVE && owner_lacks_store) ||
            t->jobs.fresh_at < t->contact_back_at);
}

/* Answers a call on an unknown job.  It is refused if the job may exist soon,
 * or the jobs have not been read recently enough to say that it doesn't. */
static void
answer_unknown(PhScheduleTask *t, PhClientCall *call)
{
    PhStr id = call->subject;
    if (PhScheduleAccept_IsPending(t, id)) {
        refuse(t, &call->origin, id, "job on its way to the store",
               PH_SCHEDULE_UNDER_WAY);
        return;
    }
    if (PhScheduleContact_IsLost(t)) {
        PhScheduleCalls_RefuseAtOnce(t, call,
                                     PhCallPath_Refuse(PH_CALL_NO_CONTACT));
        return;
    }
    if (!PhScheduleTopics_AreJobsFresh(t)) {
        PhScheduleCalls_Refuse(t, &call->origin, id, JOBS_UNREAD);
        return;
    }
    if (!accepted_elsewhere(t, call)) {
        PhScheduleCalls_AnswerTag(t, &call->origin, PH_SCHEDULE_NO_JOB);
        return;
    }
    if (!PhScheduleCalls_RefuseToWait(t, call) && !look_for_job(t, call)) {
        PhScheduleCalls_Refuse(t, &call->origin, id, JOBS_UNREAD);
    }
}

void
PhClientCall_Clear(PhClientCall *call)
{
    PhStr_Clear(&call->origin.instance);
    PhStr_Clear(&call->subject);
    PhSchedSpec_Clear(&call->spec);
}

/* The answer relies on durable records only: a later owner may not know an end
 * that is not on record, and would start the tasks again. */
static void
cancel_known(PhScheduleTask *t, PhClientCall *call, const PhSchedJob *job)
{
    if (job->cancel || job->durable_state >= PH_SCHED_JOB_COMPLETED) {
        PhScheduleCalls_AnswerTag(t, &call->origin, PH_SCHEDULE_CANCELLED);
        return;
    }
    if (PhScheduleCalls_RefuseToWait(t, call)) {
        return;
    }
    PhScheduleAccept_Add(t, call);
}

/* Refuses a CANCEL call whose job is not known.  If the owner may have
 * accepted it, the answer is that the outcome is unknown. */
static void
cancel_refuse(PhScheduleTask *t, PhClientCall *call)
{
    if (call->outcome_unknown) {
        PhScheduleCalls_AnswerTag(t, &call->origin,
                                  PH_SCHEDULE_OUTCOME_UNKNOWN);
        return;
    }
    PhScheduleCalls_Refuse(t, &call->origin, call->subject, JOBS_UNREAD);
}

/* A client that is told that the job doesn't exist does not cancel it again.
 * So an unknown job is looked for by a read of the jobs first, and its
 * cancellation is recorded before the answer: the submission may be on its way
 * to the store, from here or from another instance. */
static void
cancel(PhScheduleTask *t, PhClientCall *call)
{
    const PhSchedJob *job =
        PhSchedModel_Job(PhScheduler_Model(t->scheduler), call->subject);
    if (job != NULL) {
        cancel_known(t, call, job);
        return;
    }
    if (PhScheduleCalls_RefuseToWait(t, call)) {
        return;
    }
    if (!look_for_job(t, call)) {
        cancel_refuse(t, call);
    }
}

/* Handles a CANCEL call after a read of the jobs. */
static void
cancel_after_read(PhScheduleTask *t, PhClientCall *call, bool to_end)
{
    const PhSchedJob *job =
        PhSchedModel_Job(PhScheduler_Model(t->scheduler), call->subject);
    if (job != NULL) {
        cancel_known(t, call, job);
    }
    else if (to_end) {
        PhScheduleAccept_Add(t, call);
    }
    else {
        cancel_refuse(t, call);
    }
}

/* Answers with the durable state, which a later owner will know too. */
static void
answer_state(PhScheduleTask *t, PhOrigin *origin, const PhSchedJob *job)
{
    PhScheduleCalls_Answer(t, origin,
                           (PhScheduleAnswer){.tag = PH_SCHEDULE_JOB_STATE,
                                              .as.state = job->durable_state});
}

/* Answers with the state of a job, after a read of the runs if the known state
 * may be out of date. */
static void
query_state(PhScheduleTask *t, PhClientCall *call)
{
    const PhSchedJob *job =
        PhSchedModel_Job(PhScheduler_Model(t->scheduler), call->subject);
    if (!PhScheduleTopics_AreFollowed(t)) {
        if (PhScheduleCalls_RefuseToWait(t, call)) {
            return;
        }
        PhScheduleCalls_Refuse(t, &call->origin, call->subject,
                               "topics not followed and owner not reachable");
        return;
    }
    if (job == NULL) {
        answer_unknown(t, call);
        return;
    }
    if (PhSchedJob_IsOver(job) || PhScheduleTopics_IsCurrent(t)) {
        answer_state(t, &call->origin, job);
        return;
    }
    if (PhScheduleCalls_RefuseToWait(t, call)) {
        return;
    }
    if (!PhScheduleTopics_ReadRunsNow(t)) {
        PhScheduleCalls_Refuse(t, &call->origin, call->subject, RUNS_UNREAD);
        return;
    }
    g_queue_push_tail(&t->state_calls, g_memdup2(call, sizeof(*call)));
    *call = (PhClientCall){0};
}

/* Handles a STATE call after a read of the jobs. */
static void
state_after_read(PhScheduleTask *t, PhClientCall *call, bool to_end)
{
    if (PhSchedModel_Job(PhScheduler_Model(t->scheduler), call->subject) !=
        NULL) {
        query_state(t, call);
    }
    else if (to_end && !PhScheduleAccept_IsPending(t, call->subject)) {
        PhScheduleCalls_AnswerTag(t, &call->origin, PH_SCHEDULE_NO_JOB);
    }
    else {
        PhScheduleCalls_Refuse(t, &call->origin, call->subject, JOBS_UNREAD);
    }
}

static void
handle_after_read(PhScheduleTask *t, PhClientCall *call, bool to_end)
{
    if (call->tag == PH_SCHEDULE_CANCEL) {
        cancel_after_read(t, call, to_end);
    }
    else {
        state_after_read(t, call, to_end);
    }
}

void
PhScheduleCalls_HandleLooks(PhScheduleTask *t, uint64_t number, bool to_end)
{
    for (guint left = t->look_calls.length; left > 0; left--) {
        PhClientCall *call = g_queue_pop_head(&t->look_calls);
        if (call->jobs_read > number) {
            g_queue_push_tail(&t->look_calls, call);
            continue;
        }
        handle_after_read(t, call, to_end);
        PhScheduleCalls_DestroyQueued(call);
    }
}

void
PhScheduleCalls_DestroyQueued(gpointer call)
{
    PhClientCall_Clear(call);
    g_free(call);
}

void
PhScheduleCalls_AnswerStates(PhScheduleTask *t)
{
    PhClientCall *call;
    while ((call = g_queue_pop_head(&t->state_calls)) != NULL) {
        const PhSchedJob *job =
            PhSchedModel_Job(PhScheduler_Model(t->scheduler), call->subject);
        if (job != NULL &&
            (PhSchedJob_IsOver(job) || PhScheduleTopics_AreRunsFresh(t))) {
            answer_state(t, &call->origin, job);
        }
        else {
            PhScheduleCalls_Refuse(t, &call->origin, call->subject,
                                   RUNS_UNREAD);
        }
        PhScheduleCalls_DestroyQueued(call);
    }
}

void
PhScheduleCalls_RefuseWaiting(PhScheduleTask *t)
{
    PhClientCall *call;
    while ((call = g_queue_pop_head(&t->state_calls)) != NULL) {
        PhScheduleCalls_RefuseAtOnce(t, call,
                                     PhCallPath_Refuse(PH_CALL_NO_CONTACT));
        PhScheduleCalls_DestroyQueued(call);
    }
    for (guint left = t->look_calls.length; left > 0; left--) {
        call = g_queue_pop_head(&t->look_calls);
        if (call->outcome_unknown) {
            g_queue_push_tail(&t->look_calls, call);
            continue;
        }
        PhScheduleCalls_RefuseAtOnce(t, call,
                                     PhCallPath_Refuse(PH_CALL_NO_CONTACT));
        PhScheduleCalls_DestroyQueued(call);
    }
}

/* Counts the jobs of a queue of which no task has started yet. */
static void
count_pending(PhScheduleTask *t, PhClientCall *call)
{
    const PhSchedModel *model = PhScheduler_Model(t->scheduler);
    PhScheduleAnswer a = {.tag = PH_SCHEDULE_PENDING_COUNT};
    bool jobs_fresh = PhScheduleTopics_AreJobsFresh(t);
    if ((!jobs_fresh || !PhScheduleTopics_AreRunsFresh(t)) &&
        PhScheduleCalls_RefuseToWait(t, call)) {
        return;
    }
    if (!jobs_fresh) {
        PhScheduleCalls_Refuse(t, &call->origin, call->subject, JOBS_UNREAD);
        return;
    }
    if (!PhScheduleTopics_AreRunsFresh(t)) {
        PhScheduleCalls_Refuse(t, &call->origin, call->subject, RUNS_UNREAD);
        return;
    }
    a.as.pending = 0;
    for (guint i = 0; i < model->active->len; i++) {
        const PhSchedJob *job = g_ptr_array_index(model->active, i);
        a.as.pending += job->durable_state == PH_SCHED_JOB_QUEUED &&
                        PhStr_Equal(job->spec.terms.queue, call->subject);
    }
    PhScheduleCalls_Answer(t, &call->origin, a);
}

void
PhScheduleCalls_HandleLocally(PhScheduleTask *t, PhClientCall *call)
{
    switch (call->tag) {
    case PH_SCHEDULE_SUBMIT:
        PhScheduleSubmit_Handle(t, call);
        break;
    case PH_SCHEDULE_CANCEL:
        cancel(t, call);
        break;
    case PH_SCHEDULE_STATE:
        query_state(t, call);
        break;
    case PH_SCHEDULE_PENDING:
        count_pending(t, call);
        break;
    case PH_SCHEDULE_READY:
    case PH_SCHEDULE_ANSWER:
    case PH_SCHEDULE_CONFIG:
    case PH_SCHEDULE_WORKER:
    case PH_SCHEDULE_WORKER_REMOVED:
    case PH_SCHEDULE_CORDON:
    case PH_SCHEDULE_DRAIN:
    case PH_SCHEDULE_ROLE:
    case PH_SCHEDULE_CONTACT:
        break;
    }
    PhClientCall_Clear(call);
}

/* Ready: not draining, with a configuration, and in contact with the store or
 * the owner. */
static void
on_ready(PhScheduleTask *t, PhOrigin *origin)
{
    const PhSchedModel *model = PhScheduler_Model(t->scheduler);
    PhTime now = PhTask_Now(t->self);
    PhScheduleAnswer a = {.tag = PH_SCHEDULE_READINESS};
    bool reads =
        t->store_read_at != 0 && now - t->store_read_at < READY_STORE_AGE_MAX;
    bool reaches = t->options.contact_limit > 0
                       ? PhScheduleContact_Suffices(t)
                       : reads || PhOwnerLink_IsUp(&t->link, now);
    a.as.ready = !t->draining && model->config->version > 0 && reaches;
    PhScheduleCalls_Answer(t, origin, a);
}

/* Completes a submission with the terms of its queue.  Returns false after
 * answering the call if it cannot be accepted. */
static bool
submission_complete(PhScheduleTask *t, PhOrigin *origin, PhSchedSpec *spec,
                    const PhSchedQueue *queue, PhStr id)
{
    spec->id = PhStr_Dup(id);
    spec->terms = queue->terms;
    spec->terms.queue = PhStr_Dup(queue->terms.queue);
    spec->terms.service = PhStr_Dup(queue->terms.service);
    PhResult r = PhSchedSpec_Check(spec);
    if (!PhResult_IsOk(&r)) {
        PhScheduleCalls_AnswerTag(t, origin, PH_SCHEDULE_INVALID);
        return false;
    }
    if (queue->needs_advice) {
        PhScheduleCalls_Refuse(
            t, origin, id, "queue asks for advice, which is not supported");
        return false;
    }
    return true;
}

/* Forwards a call on a queue or a job to the owner, or handles it here. */
static void
on_queue_call(PhScheduleTask *t, PhOrigin *origin, PhScheduleTag tag,
              PhScheduleCall *m)
{
    const PhSchedModel *model = PhScheduler_Model(t->scheduler);
    PhStr rest = {0};
    if (model->config->version == 0) {
        PhScheduleCalls_Refuse(t, origin, m->path, "no configuration yet");
        return;
    }
    const PhSchedQueue *queue =
        PhSchedConfig_Match(model->config, m->host, m->path, &rest);
    if (queue == NULL) {
        PhScheduleCalls_AnswerTag(t, origin, PH_SCHEDULE_NO_QUEUE);
        return;
    }
    bool counts = tag == PH_SCHEDULE_PENDING;
    if (!counts && rest.len != ID_BYTES) {
        PhScheduleCalls_AnswerTag(t, origin, PH_SCHEDULE_INVALID);
        return;
    }
    if (tag == PH_SCHEDULE_SUBMIT &&
        !submission_complete(t, origin, &m->spec, queue, rest)) {
        return;
    }
    PhClientCall call = {.tag = tag,
                         .origin = *origin,
                         .deadline = m->deadline - PhCallPath_AnswerTime(),
                         .subject =
                             PhStr_Dup(counts ? queue->terms.queue : rest),
                         .spec = m->spec};
    m->spec = (PhSchedSpec){0};
    PhCallPath path = PhScheduleContact_Path(t, &call, true);
    if (path.tag == PH_CALL_FORWARD && PhScheduleLink_Forward(t, &call)) {
        return;
    }
    PhScheduleCalls_HandleLocally(t, &call);
}

void
PhScheduleCalls_OnCall(PhScheduleTask *t, PhTaskRef sender, PhScheduleTag tag,
                       PhScheduleCall *call)
{
    PhOrigin origin = {.sender = sender, .call = call->id};
    if (tag == PH_SCHEDULE_READY) {
        on_ready(t, &origin);
        return;
    }
    on_queue_call(t, &origin, tag, call);
}
