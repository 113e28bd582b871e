/* Ownership election and the owner's main loop.  A change is recorded durably
 * before the order that depends on it is sent. */
#include "peridothill/codec/election_entry.h"
#include "schedule_task.h"

/* Delay before a refused or unanswered append is repeated. */
static const PhTime RETRY_DELAY = 100 * PH_NS_PER_MS;
/* Extra claim delay of an instance that does not follow the topics: it has to
 * load 1 to 3 MB first. */
static const PhTime CATCH_UP_TIME = 700 * PH_NS_PER_MS;
/* Before an instance that stops claims, others have this time more. */
static const PhTime STOPPING_CLAIM_DELAY = 300 * PH_NS_PER_MS;
/* Shortest interval between two updates. */
static const PhTime UPDATE_INTERVAL_MIN = 3 * PH_NS_PER_MS;

#define OWNER_KEY PhStr_LITERAL("owner")

void
PhScheduleTask_RequestUpdate(PhScheduleTask *t)
{
    if (!t->update_pending) {
        t->update_pending = true;
        PhTask_SetTimer(t->self, TIMER_UPDATE,
                        PhTask_Now(t->self) + UPDATE_INTERVAL_MIN);
    }
}

/* Decodes an election record and starts the links with its key.  The strings
 * of `entry` are owned by the caller. */
static bool
entry_decode(PhScheduleTask *t, const PhStoreRecord *record,
             PhElectionEntry *entry)
{
    PhStr key = {0};
    if (!PhElectionEntry_Decode(record->value, entry, &key)) {
        return false;
    }
    entry->offset = record->offset;
    PhScheduleLink_SetKey(t, key);
    PhStr_Clear(&key);
    return true;
}

static void
election_append(PhScheduleTask *t, const PhElectionAction *action)
{
    PhStoreMessage m = {.tag = PH_STORE_APPEND};
    PhStoreAppend *a = &m.as.append;
    a->topic = PhStr_Dup(PH_SCHED_TOPIC_OWNER);
    a->condition = PH_STORE_AT;
    a->at = action->as.append.at;
    a->records = g_new0(PhStoreRecord, 1);
    a->record_count = 1;
    a->records[0].key = PhStr_Dup(OWNER_KEY);
    PhElectionEntry entry = {.kind = action->as.append.kind,
                             .holder = t->producer,
                             .address = t->options.link,
                             .successor = action->as.append.successor,
                             .states_earlier = true,
                             .earlier = action->as.append.earlier,
                             .states_leases = true,
                             .earlier_leases =
                                 action->as.append.earlier_leases};
    a->records[0].value = PhElectionEntry_Encode(
        &entry, t->link_key.len > 0 ? t->link_key : t->claim_key);
    PhScheduleTask_Call(t, CALL_ELECTION_APPEND, &m);
}

static void
election_read(PhScheduleTask *t, const PhElectionAction *action)
{
    PhStoreMessage m = {.tag = PH_STORE_READ};
    m.as.read.topic = PhStr_Dup(PH_SCHED_TOPIC_OWNER);
    m.as.read.from = action->as.read.from;
    m.as.read.wait = action->as.read.wait;
    PhScheduleTask_Call(t, CALL_ELECTION_READ, &m);
}

static void
update_election(PhScheduleTask *t)
{
    PhTime now = PhTask_Now(t->self);
    for (;;) {
        PhElectionAction action = PhElection_Next(t->election, now);
        switch (action.tag) {
        case PH_ELECTION_NOTHING:
            return;
        case PH_ELECTION_READ:
            election_read(t, &action);
            break;
        case PH_ELECTION_APPEND:
            election_append(t, &action);
            break;
        }
    }
}

void
PhScheduleOwner_PublishRole(PhScheduleTask *t)
{
    PhScheduleRole role = PH_SCHEDULE_ROLE_NONE;
    if (t->stage != OWNER_INACTIVE) {
        role = PH_SCHEDULE_ROLE_OWNER;
    }
    else if (PhScheduleTopics_AreFollowed(t)) {
        role = PH_SCHEDULE_ROLE_STANDBY;
    }
    if (role == t->role) {
        return;
    }
    t->role = role;
    PhScheduleMessage m = {.tag = PH_SCHEDULE_ROLE, .as.role = role};
    PhTask_SendTo(t->self, PH_SERVICE_FLEET, PhScheduleMessage_Wrap(&m));
    if (role != PH_SCHEDULE_ROLE_NONE) {
        PhScheduleTopics_Read(t, CALL_JOBS_READ);
    }
}

/* Starts the takeover.  Once the fence is set, earlier owners can no longer
 * write records. */
static void
begin_fencing(PhScheduleTask *t)
{
    t->stage = OWNER_FENCING;
    PhScheduleOwner_PublishRole(t);
    t->fence = PhElection_Fence(t->election);
    t->epochs[CALL_FENCE]++;
    PhStoreMessage m = PhScheduleRecords_Append(t, 0);
    PhScheduleTask_Call(t, CALL_FENCE, &m);
}

void
PhScheduleOwner_RetryFence(PhScheduleTask *t)
{
    if (t->stage == OWNER_FENCING) {
        begin_fencing(t);
    }
}

/* Gives up ownership.  The model is loaded again, because it may contain
 * decisions that were not recorded. */
static void
lose_ownership(PhScheduleTask *t)
{
    PhTime now = PhTask_Now(t->self);
    bool active = t->stage == OWNER_ACTIVE;
    PhTask_LOG(t->self, PH_EVENT_SCHEDULE_OWNER_LOST,
               PhField_U64("fence", t->fence),
               PhField_STR("holder", PhElection_NewestWriter(t->election)));
    t->stage = OWNER_INACTIVE;
    PhScheduleOwner_PublishRole(t);
    PhScheduleLink_DismissAll(t);
    PhScheduleRecords_Clear(t);
    PhScheduleDispatch_Reset(t);
    if (active) {
        PhOwnerLink_SetLastingClosed(
            &t->link, PhScheduler_IsLastingClosed(t->scheduler, now), now);
    }
    PhScheduler_SetFence(t->scheduler, 0, now);
    if (active) {
        PhScheduleTopics_Reload(t);
    }
}

/* Becomes active once all records of the earlier owner have been read. */
static void
try_activate(PhScheduleTask *t)
{
    PhTime now = PhTask_Now(t->self);
    if (!t->runs.cursor.loaded || t->runs.cursor.next < t->fence_end ||
        t->jobs.fresh_at < t->fence_at) {
        PhScheduleTopics_Read(t, CALL_JOBS_READ);
        PhScheduleTopics_Read(t, CALL_RUNS_READ);
        return;
    }
    t->stage = OWNER_ACTIVE;
    t->batch_sequence = 1;
    PhScheduler_SetFence(t->scheduler, t->fence, now);
    if (PhOwnerLink_IsLastingClosed(&t->link, now)) {
        PhScheduler_InheritLastingClosed(t->scheduler, now);
    }
    PhScheduleTopics_DropRunsRead(t);
    PhScheduleLog_OwnerGained(t);
}

/* Starts, completes or ends ownership according to the election. */
static void
update_ownership(PhScheduleTask *t)
{
    bool owner = PhElection_Role(t->election) == PH_ELECTION_OWNER;
    if (t->stage != OWNER_INACTIVE &&
        (!owner || PhElection_Fence(t->election) != t->fence)) {
        lose_ownership(t);
    }
    bool may_take_over =
        !t->draining || t->handover.tag == PH_HANDOVER_PREPARE;
    if (owner && t->stage == OWNER_INACTIVE && may_take_over) {
        begin_fencing(t);
    }
    if (t->stage == OWNER_CATCH_UP) {
        try_activate(t);
    }
}

void
PhScheduleOwner_OnFence(PhScheduleTask *t, const PhStoreReply *reply)
{
    if (t->stage != OWNER_FENCING) {
        return;
    }
    switch (reply->outcome) {
    case PH_STORE_DONE:
        t->stage = OWNER_CATCH_UP;
        t->fence_end = reply->end;
        t->fence_at = PhTask_Now(t->self);
        if (t->options.contact_limit > 0) {
            /* A read in flight may wait for a record for 1 s more. */
            PhScheduleTopics_ReadJobsNow(t);
        }
        PhScheduleTask_RequestUpdate(t);
        break;
    case PH_STORE_FENCED:
        PhElection_OnDeposed(t->election, PhTask_Now(t->self));
        PhScheduleTask_RequestUpdate(t);
        break;
    case PH_STORE_REFUSED:
    case PH_STORE_CONFLICT:
    case PH_STORE_SEQUENCE:
    case PH_STORE_GONE:
    case PH_STORE_UNKNOWN:
        PhTask_SetTimer(t->self, TIMER_RECORDS,
                        PhTask_Now(t->self) + RETRY_DELAY);
        break;
    }
}

void
PhScheduleOwner_OnElection(PhScheduleTask *t, PhStoreCall call,
                           const PhStoreReply *reply)
{
    PhTime now = PhTask_Now(t->self);
    PhScheduleTopics_SetStoreAnswers(t,
                                     reply->outcome == PH_STORE_DONE ||
                                         reply->outcome == PH_STORE_CONFLICT ||
                                         reply->outcome == PH_STORE_GONE);
    if (call == CALL_ELECTION_APPEND) {
        if (reply->outcome == PH_STORE_DONE) {
            PhScheduleLink_SetKey(t, t->claim_key);
            PhElection_OnAppended(t->election, reply->end, now);
        }
        else {
            PhElection_OnAppendFailed(
                t->election, reply->outcome == PH_STORE_CONFLICT, now);
        }
    }
    else if (reply->outcome == PH_STORE_DONE) {
        GArray *entries = g_array_new(FALSE, FALSE, sizeof(PhElectionEntry));
        for (size_t i = 0; i < reply->record_count; i++) {
            PhElectionEntry entry;
            if (entry_decode(t, &reply->records[i], &entry)) {
                g_array_append_val(entries, entry);
            }
        }
        PhElection_OnRead(t->election, (const PhElectionEntry *)entries->data,
                          entries->len, reply->end, now);
        for (guint i = 0; i < entries->len; i++) {
            PhElectionEntry_Clear(&g_array_index(entries, PhElectionEntry, i));
        }
        g_array_free(entries, TRUE);
    }
    else {
        bool deleted = reply->outcome == PH_STORE_GONE;
        PhElection_OnReadFailed(t->election, deleted ? reply->first : 0, now);
    }
    PhScheduleTask_RequestUpdate(t);
}

static bool
on_hold(PhScheduleTask *t, const PhOrderReply *r, PhTime now)
{
    if (r->query) {
        return PhScheduler_OnQuery(t->scheduler, r->worker, r->born_ms,
                                   &r->hold, now);
    }
    return r->late ? PhScheduler_OnLateHold(t->scheduler, r->worker,
                                            r->born_ms, &r->hold, now)
                   : PhScheduler_OnHold(t->scheduler, r->worker, r->born_ms,
                                        &r->hold, now);
}

void
PhScheduleOwner_OnOrder(PhScheduleTask *t, const PhOrderReply *r)
{
    PhTime now = PhTask_Now(t->self);
    PhSchedRunReply run = {.task = r->task,
                           .run = r->run,
                           .born_ms = r->born_ms,
                           .outcome = r->outcome,
                           .clock_ms = r->clock_ms,
                           .connected_at = r->connected_at,
                           .late = r->late,
                           .relayed = r->relayed,
                           .at_dispatcher = r->at_dispatcher,
                           .silence = r->silence};
    bool is_owner = true;
    if (t->stage != OWNER_ACTIVE || r->fence != t->fence) {
        return;
    }
    switch (r->tag) {
    case PH_SCHED_ACTION_HOLD:
        is_owner = on_hold(t, r, now);
        break;
    case PH_SCHED_ACTION_START:
        is_owner = PhScheduler_OnStart(t->scheduler, &run, now);
        break;
    case PH_SCHED_ACTION_STOP:
        is_owner = PhScheduler_OnStop(t->scheduler, &run, now);
        break;
    case PH_SCHED_ACTION_PACE:
        is_owner = PhScheduler_OnPace(t->scheduler, &r->task, r->run,
                                      r->outcome, now);
        break;
    }
    PhScheduleLog_Notes(t);
    if (r->tag != PH_SCHED_ACTION_HOLD &&
        r->outcome != PH_SCHED_OUTCOME_DONE) {
        PhScheduleLog_OrderFailed(t, r);
    }
    if (!is_owner) {
        PhElection_OnDeposed(t->election, now);
    }
    PhScheduleTask_RequestUpdate(t);
}

/* Leases count from `now`, at which the ownership was checked: the process may
 * have been suspended since. */
static void
send_orders(PhScheduleTask *t, PhTime now)
{
    PhSchedAction action;
    PhScheduleDispatch_Prepare(t, now);
    while (PhScheduler_NextAction(t->scheduler, now, &action)) {
        PhScheduleLog_Order(t, &action);
        if (PhScheduleDispatch_Send(t, &action, now)) {
            continue;
        }
        PhOrderMessage m = {.tag = PH_ORDER_SEND};
        m.as.send.fence = t->fence;
        m.as.send.action = PhOrder_CopyAction(&action);
        PhTask_SendTo(t->self, PH_SERVICE_ORDERS, PhOrderMessage_Wrap(&m));
    }
    PhScheduleDispatch_Flush(t);
}

static PhOwnership
ownership(const PhScheduleTask *t)
{
    switch (t->stage) {
    case OWNER_INACTIVE:
        if (PhElection_Role(t->election) == PH_ELECTION_OWNER) {
            return PH_OWNERSHIP_TAKEOVER;
        }
        if (PhScheduleTopics_AreLoaded(t)) {
            return PH_OWNERSHIP_CANDIDATE;
        }
        break;
    case OWNER_FENCING:
    case OWNER_CATCH_UP:
        return PH_OWNERSHIP_TAKEOVER;
    case OWNER_ACTIVE:
        return PH_OWNERSHIP_ACTIVE;
    }
    return PH_OWNERSHIP_NONE;
}

/* Hands the ownership over to a successor while this instance stops. */
static void
update_handover(PhScheduleTask *t)
{
    PhTime now = PhTask_Now(t->self);
    PhSuccessor successor = {0};
    PhHandoverInput input = {.ownership = ownership(t),
                             .recorded =
                                 PhScheduler_IsHandedOver(t->scheduler)};
    if (input.ownership == PH_OWNERSHIP_ACTIVE) {
        successor = PhScheduleLink_ChooseSuccessor(t);
        input.successor_ready = successor.ready;
    }
    PhHandoverTag before = t->handover.tag;
    PhHandoverTag stage = PhHandover_Update(&t->handover, &input, now);
    switch (stage) {
    case PH_HANDOVER_NONE:
    case PH_HANDOVER_PREPARE:
        break;
    case PH_HANDOVER_RECORD:
        if (stage != before) {
            PhScheduler_Quiesce(t->scheduler, now);
        }
        break;
    case PH_HANDOVER_RELEASE:
        if (!successor.ready) {
            successor.instance = (PhStr){0};
        }
        if (stage != before && input.ownership == PH_OWNERSHIP_ACTIVE) {
            PhScheduleLog_Handover(t, successor.instance, input.recorded);
        }
        PhElection_Stop(t->election, successor.instance);
        break;
    }
}

/* Instances that have read the records claim first, and of these the ones that
 * do not stop. */
static PhTime
extra_claim_delay(const PhScheduleTask *t)
{
    if (!PhScheduleTopics_AreFollowed(t)) {
        return CATCH_UP_TIME;
    }
    return t->draining ? STOPPING_CLAIM_DELAY : 0;
}

void
PhScheduleOwner_Update(PhScheduleTask *t)
{
    PhTime now = PhTask_Now(t->self);
    t->update_pending = false;
    if (t->draining) {
        update_handover(t);
    }
    PhElection_SetExtraDelay(t->election, extra_claim_delay(t));
    update_election(t);
    update_ownership(t);
    PhScheduleLink_Update(t);
    if (t->stage == OWNER_ACTIVE) {
        PhScheduleDispatch_Expire(t);
        PhScheduler_Confirm(t->scheduler, PhElection_ConfirmedAt(t->election),
                            PhElection_OwnedUntil(t->election));
        PhScheduler_Plan(t->scheduler, now,
                         PhTask_Wall(t->self) / PH_NS_PER_MS);
        PhScheduleLog_Notes(t);
        PhScheduleRecords_Send(t);
        send_orders(t, now);
        PhScheduler_RemoveDeadWorkers(t->scheduler);
        PhScheduleLog_Notes(t);
    }
    PhTime due =
        MIN(PhHandover_Due(&t->handover),
            MIN(PhElection_Due(t->election), PhScheduler_Due(t->scheduler)));
    if (due != PH_TIME_NEVER && !t->update_pending) {
        PhTask_SetTimer(t->self, TIMER_UPDATE,
                        MAX(due, now + UPDATE_INTERVAL_MIN));
    }
}
