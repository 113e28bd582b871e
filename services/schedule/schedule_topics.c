/* Following the topics of jobs and of their runs. */
#include "schedule_task.h"

/* Longest wait of a read: what is known is never older. */
static const PhTime READ_WAIT = 1000 * PH_NS_PER_MS;
/* Pause between two reads: the owner has to hear of jobs at once, the others
 * only have to answer for them. */
static const PhTime OWNER_PAUSE = 8 * PH_NS_PER_MS;
/* With links most jobs reach the owner by them. */
static const PhTime OWNER_PAUSE_LINKED = 100 * PH_NS_PER_MS;
static const PhTime FOLLOWER_PAUSE = 400 * PH_NS_PER_MS;
static const PhTime RETRY = 200 * PH_NS_PER_MS;
/* An answer may have been on its way for this long. */
static const PhTime ANSWER_DELAY = 500 * PH_NS_PER_MS;
/* What is known may be this old for an answer that a job does not exist. */
static const PhTime FRESH_LIMIT = 2400 * PH_NS_PER_MS;

/* Gives the topic of a call. */
static PhTopic *
topic_of(PhScheduleTask *t, PhStoreCall call)
{
    return call == CALL_JOBS_READ ? &t->jobs : &t->runs;
}

/* Tells whether the topics are followed now. */
bool
PhScheduleTopics_AreFollowed(const PhScheduleTask *t)
{
    return t->stage != OWNER_NOT ||
           PhOwnerLink_Follows(&t->link, PhTask_Now(t->self));
}

/* Tells whether a topic is read now: runs need the jobs first, and the owner
 * writes them itself. */
static bool
topic_is_wanted(const PhScheduleTask *t, PhStoreCall call)
{
    if (call == CALL_JOBS_READ) {
        return PhScheduleTopics_AreFollowed(t);
    }
    return t->jobs.cursor.loaded && t->stage != OWNER_ACTIVE &&
           PhScheduleTopics_AreFollowed(t);
}

/* Asks the store for what follows in a topic. */
void
PhScheduleTopics_Ask(PhScheduleTask *t, PhStoreCall call)
{
    PhTopic *topic = topic_of(t, call);
    if (topic->asked || !topic_is_wanted(t, call)) {
        return;
    }
    topic->asked = true;
    topic->sent_at = PhTask_Now(t->self);
    bool hurry = call == CALL_RUNS_READ && t->states.length > 0;
    PhTime wait = t->stage == OWNER_CATCH_UP || hurry ? 0 : READ_WAIT;
    PhStoreMessage m = PhStoreCursor_Ask(&topic->cursor, wait);
    PhScheduleTask_Call(t, call, &m);
}

/* Tells whether the runs are known up to now. */
bool
PhScheduleTopics_IsCurrent(const PhScheduleTask *t)
{
    return t->stage == OWNER_ACTIVE || t->runs.asked;
}

/* Reads the runs at once. */
void
PhScheduleTopics_Hurry(PhScheduleTask *t)
{
    PhScheduleTopics_Ask(t, CALL_RUNS_READ);
}

/* Applies one record that was read. */
static void
take_record(PhScheduleTask *t, const PhStoreRecord *r)
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

/* Takes in a successful answer; gives the pause until the next read. */
static PhTime
take_answer(PhScheduleTask *t, PhTopic *topic, const PhStoreReply *reply)
{
    PhTime now = PhTask_Now(t->self);
    for (size_t i = 0; i < reply->record_count; i++) {
        take_record(t, &reply->records[i]);
    }
    bool paging = !topic->cursor.loaded;
    PhStoreCursor_Advance(&topic->cursor, reply);
    if (paging) {
        return 0;
    }
    if (topic->cursor.next >= reply->end) {
        topic->fresh_at = MAX(topic->sent_at, now - ANSWER_DELAY);
    }
    if (t->stage == OWNER_NOT) {
        return FOLLOWER_PAUSE;
    }
    if (reply->record_count == 0) {
        return 0;
    }
    return t->link.enabled ? OWNER_PAUSE_LINKED : OWNER_PAUSE;
}

/* Notes whether the store answers, and writes each change. */
void
PhScheduleTopics_NoteStore(PhScheduleTask *t, bool answers)
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

/* Forgets all jobs and reads them anew: a record had to be left out. */
static void
reload_model(PhScheduleTask *t)
{
    PhTask_LOG(t->self, PH_EVENT_SCHEDULE_RELOADED,
               PhField_U64("early", PH_SCHED_EARLY_MAX));
    PhSchedModel_ClearRecords(PhScheduler_Model(t->scheduler));
    PhScheduleTopics_Reload(t);
}

/* Takes in an answer and asks on. */
void
PhScheduleTopics_OnReply(PhScheduleTask *t, PhStoreCall call,
                         const PhStoreReply *reply)
{
    PhTopic *topic = topic_of(t, call);
    PhTime pause = RETRY;
    topic->asked = false;
    PhScheduleTopics_NoteStore(t, reply->outcome == PH_STORE_DONE ||
                                      reply->outcome == PH_STORE_GONE);
    switch (reply->outcome) {
    case PH_STORE_DONE:
        pause = take_answer(t, topic, reply);
        if (call == CALL_JOBS_READ) {
            PhScheduleTopics_Ask(t, CALL_RUNS_READ);
        }
        PhScheduleTask_WantPump(t);
        break;
    case PH_STORE_GONE:
        PhStoreCursor_Reset(&topic->cursor);
        pause = 0;
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
    if (t->stage == OWNER_CATCH_UP && reply->outcome == PH_STORE_DONE) {
        pause = MIN(pause, OWNER_PAUSE);
    }
    if (t->reload_due && t->stage != OWNER_ACTIVE) {
        reload_model(t);
        return;
    }
    uint64_t timer = call == CALL_JOBS_READ ? TIMER_JOBS : TIMER_RUNS;
    if (pause == 0) {
        PhScheduleTopics_Ask(t, call);
    }
    else {
        PhTask_SetTimer(t->self, timer, PhTask_Now(t->self) + pause);
    }
}

/* Tells whether an unknown job may be said not to exist. */
bool
PhScheduleTopics_IsFresh(const PhScheduleTask *t)
{
    return t->jobs.cursor.loaded && t->jobs.fresh_at > 0 &&
           PhTask_Now(t->self) - t->jobs.fresh_at < FRESH_LIMIT;
}

/* Releases what the topics own. */
void
PhScheduleTopics_Clear(PhScheduleTask *t)
{
    PhStoreCursor_Reset(&t->jobs.cursor);
    PhStoreCursor_Reset(&t->runs.cursor);
}

/* Forgets what was read and reads everything anew. */
void
PhScheduleTopics_Reload(PhScheduleTask *t)
{
    PhScheduleTopics_Clear(t);
    t->jobs.fresh_at = 0;
    t->epochs[CALL_JOBS_READ]++;
    t->epochs[CALL_RUNS_READ]++;
    t->jobs.asked = false;
    t->runs.asked = false;
    t->reload_due = false;
    PhScheduleTopics_Ask(t, CALL_JOBS_READ);
}
