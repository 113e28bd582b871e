/* Reads of the topics of jobs and runs. */
#include "schedule_task.h"

/* A read waits this long at most for a record, which bounds the age of the
 * known state. */
static const PhTime READ_WAIT = 1000 * PH_NS_PER_MS;
/* The owner has to learn of new jobs at once. */
static const PhTime OWNER_READ_INTERVAL = 8 * PH_NS_PER_MS;
/* With links, most jobs reach the owner over a link instead. */
static const PhTime OWNER_READ_INTERVAL_LINKED = 100 * PH_NS_PER_MS;
/* Instances other than the owner only answer calls on jobs. */
static const PhTime FOLLOWER_READ_INTERVAL = 400 * PH_NS_PER_MS;
static const PhTime RETRY_DELAY = 200 * PH_NS_PER_MS;
/* A topic read longer ago than this supports no answer: neither that a job
 * doesn't exist nor that no task of it has started. */
static const PhTime FRESH_AGE_MAX = 2400 * PH_NS_PER_MS;

static PhTopic *
topic_of(PhScheduleTask *t, PhStoreCall call)
{
    return call == CALL_JOBS_READ ? &t->jobs : &t->runs;
}

bool
PhScheduleTopics_AreFollowed(const PhScheduleTask *t)
{
    return t->stage != OWNER_INACTIVE ||
           PhOwnerLink_MustReadStore(&t->link, PhTask_Now(t->self));
}

/* Runs refer to jobs, so the jobs are loaded first.  The active owner writes
 * the runs itself and doesn't read them. */
static bool
topic_is_followed(const PhScheduleTask *t, PhStoreCall call)
{
    if (call == CALL_JOBS_READ) {
        return PhScheduleTopics_AreFollowed(t);
    }
    return t->jobs.cursor.loaded && t->stage != OWNER_ACTIVE &&
           PhScheduleTopics_AreFollowed(t);
}

static bool
topic_is_fresh(const PhScheduleTask *t, const PhTopic *topic)
{
    return topic->cursor.loaded && topic->fresh_at > 0 &&
           PhTask_Now(t->self) - topic->fresh_at < FRESH_AGE_MAX;
}

/* While nothing is known for sure, a read does not wait for a record. */
void
PhScheduleTopics_Read(PhScheduleTask *t, PhStoreCall call)
{
    PhTopic *topic = topic_of(t, call);
    if (topic->read_in_flight || !topic_is_followed(t, call)) {
        return;
    }
    topic->read_in_flight = true;
    topic->reads_sent++;
    topic->sent_at = PhTask_Now(t->self);
    const GQueue *calls =
        call == CALL_RUNS_READ ? &t->state_calls : &t->look_calls;
    bool hurry = t->stage == OWNER_CATCH_UP || calls->length > 0 ||
                 !topic_is_fresh(t, topic);
    PhTime wait = hurry ? 0 : READ_WAIT;
    topic->wait = wait;
    PhStoreMessage m = PhStoreCursor_NextCall(&topic->cursor, wait);
    PhScheduleTask_Call(t, call, &m);
}

bool
PhScheduleTopics_AreJobsFresh(const PhScheduleTask *t)
{
    return topic_is_fresh(t, &t->jobs);
}

bool
PhScheduleTopics_AreRunsFresh(const PhScheduleTask *t)
{
    return t->stage == OWNER_ACTIVE || topic_is_fresh(t, &t->runs);
}

bool
PhScheduleTopics_IsCurrent(const PhScheduleTask *t)
{
    return t->stage == OWNER_ACTIVE ||
           (t->runs.read_in_flight && PhScheduleTopics_AreRunsFresh(t));
}

bool
PhScheduleTopics_AreLoaded(const PhScheduleTask *t)
{
    return PhScheduleTopics_AreFollowed(t) && topic_is_fresh(t, &t->jobs) &&
           topic_is_fresh(t, &t->runs);
}

bool
PhScheduleTopics_ReadRunsNow(PhScheduleTask *t)
{
    if (t->runs.read_in_flight) {
        return false;
    }
    PhScheduleTopics_Read(t, CALL_RUNS_READ);
    return t->runs.read_in_flight;
}

uint64_t
PhScheduleTopics_ReadJobsNow(PhScheduleTask *t)
{
    PhTopic *topic = &t->jobs;
    if (!topic_is_followed(t, CALL_JOBS_READ)) {
        return 0;
    }
    uint64_t number = topic->reads_sent + 1;
    if (topic->read_in_flight && topic->wait > 0) {
        /* Its reply may come a second later and is ignored. */
        t->epochs[CALL_JOBS_READ]++;
        topic->read_in_flight = false;
    }
    PhScheduleTopics_Read(t, CALL_JOBS_READ);
    return number;
}

static void
apply_record(PhScheduleTask *t, const PhStoreRecord *r)
{
    PhSchedRecord record;
    if (r->value.len == 0) {
        return;
    }
    PhResult result = PhSchedRecord_Decode(r->key, r->value, &record);
    if (!PhResult_IsOk(&result)) {
        PhTask_LOG(t->self, PH_EVENT_SCHEDULE_UNREADABLE,
                   PhField_STR("key", r->key),
                   PhField_STR("reason", PhResult_Message(&result)));
        return;
    }
    PhTime now = PhTask_Now(t->self);
    if (PhScheduler_Apply(t->scheduler, &record, now) == PH_STATUS_FULL) {
        t->reload_due = true;
    }
}

/* Returns the time up to which a reply to the newest read tells of all
 * records. It may have been on its way, or waited for this process, for any
 * time since. A reply without records was sent when the wait was over. */
static PhTime
reply_covers(const PhTopic *topic, const PhStoreReply *reply, PhTime now)
{
    PhTime waited = reply->record_count == 0 ? topic->wait : 0;
    return MIN(topic->sent_at + waited, now);
}

/* Applies the records of a reply.  Returns the delay until the next read. */
static PhTime
apply_reply(PhScheduleTask *t, PhTopic *topic, const PhStoreReply *reply)
{
    PhTime now = PhTask_Now(t->self);
    for (size_t i = 0; i < reply->record_count; i++) {
        apply_record(t, &reply->records[i]);
    }
    bool paging = !topic->cursor.loaded;
    PhStoreCursor_Advance(&topic->cursor, reply);
    if (paging) {
        return 0;
    }
    if (topic->cursor.next >= reply->end) {
        topic->fresh_at = reply_covers(topic, reply, now);
    }
    if (t->stage == OWNER_INACTIVE) {
        return FOLLOWER_READ_INTERVAL;
    }
    if (reply->record_count == 0) {
        return 0;
    }
    return t->link.enabled ? OWNER_READ_INTERVAL_LINKED : OWNER_READ_INTERVAL;
}

void
PhScheduleTopics_SetStoreAnswers(PhScheduleTask *t, bool answers)
{
    PhTime now = PhTask_Now(t->self);
    if (answers) {
        t->store_read_at = now;
    }
    if (answers == t->store_answers) {
        return;
    }
    t->store_answers = answers;
    PhTask_LOG(
        t->self,
        answers ? PH_EVENT_SCHEDULE_STORE_BACK : PH_EVENT_SCHEDULE_STORE_LOST,
        PhField_I64("after_ms", (now - t->store_changed_at) / PH_NS_PER_MS));
    t->store_changed_at = now;
}

/* Clears the model and loads it again, because a record did not fit into
 * it. */
static void
reload_model(PhScheduleTask *t)
{
    PhTask_LOG(t->self, PH_EVENT_SCHEDULE_RELOADED,
               PhField_U64("early", PH_SCHED_DEFERRED_MAX));
    PhSchedModel_ClearRecords(PhScheduler_Model(t->scheduler));
    PhScheduleTopics_Reload(t);
}

void
PhScheduleTopics_OnReply(PhScheduleTask *t, PhStoreCall call,
                         const PhStoreReply *reply)
{
    PhTopic *topic = topic_of(t, call);
    PhTime delay = RETRY_DELAY;
    topic->read_in_flight = false;
    PhScheduleTopics_SetStoreAnswers(t, reply->outcome == PH_STORE_DONE ||
                                            reply->outcome == PH_STORE_GONE);
    switch (reply->outcome) {
    case PH_STORE_DONE:
        delay = apply_reply(t, topic, reply);
        if (call == CALL_JOBS_READ) {
            PhScheduleTopics_Read(t, CALL_RUNS_READ);
        }
        PhScheduleTask_RequestUpdate(t);
        break;
    case PH_STORE_GONE:
        PhStoreCursor_Reset(&topic->cursor);
        delay = 0;
        break;
    case PH_STORE_REFUSED:
    case PH_STORE_CONFLICT:
    case PH_STORE_FENCED:
    case PH_STORE_SEQUENCE:
    case PH_STORE_UNKNOWN:
        break;
    }
    if (call == CALL_RUNS_READ) {
        PhScheduleCalls_AnswerStates(t);
    }
    else {
        bool to_end = reply->outcome == PH_STORE_DONE &&
                      topic->cursor.loaded && topic->cursor.next >= reply->end;
        PhScheduleCalls_HandleLooks(t, topic->reads_sent, to_end);
        delay = t->look_calls.length > 0 ? 0 : delay;
    }
    if (t->stage == OWNER_CATCH_UP && reply->outcome == PH_STORE_DONE) {
        delay = MIN(delay, OWNER_READ_INTERVAL);
    }
    if (t->reload_due && t->stage != OWNER_ACTIVE) {
        reload_model(t);
        return;
    }
    uint64_t timer = call == CALL_JOBS_READ ? TIMER_JOBS : TIMER_RUNS;
    if (delay == 0) {
        PhScheduleTopics_Read(t, call);
    }
    else {
        PhTask_SetTimer(t->self, timer, PhTask_Now(t->self) + delay);
    }
}

void
PhScheduleTopics_Clear(PhScheduleTask *t)
{
    PhStoreCursor_Reset(&t->jobs.cursor);
    PhStoreCursor_Reset(&t->runs.cursor);
}

/* The calls that wait for the reply are answered by what is known now. */
void
PhScheduleTopics_DropRunsRead(PhScheduleTask *t)
{
    t->epochs[CALL_RUNS_READ]++;
    t->runs.read_in_flight = false;
    PhScheduleCalls_AnswerStates(t);
}

void
PhScheduleTopics_Reload(PhScheduleTask *t)
{
    PhScheduleTopics_Clear(t);
    t->jobs.fresh_at = 0;
    t->runs.fresh_at = 0;
    t->epochs[CALL_JOBS_READ]++;
    t->jobs.read_in_flight = false;
    PhScheduleTopics_DropRunsRead(t);
    PhScheduleCalls_HandleLooks(t, UINT64_MAX, false);
    t->reload_due = false;
    PhScheduleTopics_Read(t, CALL_JOBS_READ);
}
