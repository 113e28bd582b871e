/* Contact with the store and the owner: what is refused at once for want of
 * it, what the other instances and the front are told, and calls that find out
 * whether the store is back. */
#include "schedule_task.h"

/* The contact is observed in this interval. */
static const PhTime TICK = 100 * PH_NS_PER_MS;
/* A probe without an answer is followed by another one after this time.  The
 * answer of a slow store to an earlier one counts all the same. */
static const PhTime PROBE_INTERVAL = 200 * PH_NS_PER_MS;
/* The contact of an instance that reads the store is younger than this: a read
 * waits for 1 s. */
static const PhTime PROBE_AGE = 1200 * PH_NS_PER_MS;
/* The same while the owner's answer is late: if this instance is cut off, it
 * has to know when it takes the owner for silent. */
static const PhTime PROBE_AGE_LATE = 300 * PH_NS_PER_MS;
/* Shortest time between two log lines of a loss. */
static const PhTime LOG_INTERVAL = 1 * PH_NS_PER_S;

G_STATIC_ASSERT((int)CALL_KINDS <= (int)PH_CONTACT_CALLS_MAX);

static bool
is_limited(const PhScheduleTask *t)
{
    return t->options.contact_limit > 0;
}

bool
PhScheduleContact_IsLost(const PhScheduleTask *t)
{
    return is_limited(t) &&
           PhStoreContact_State(&t->contact) == PH_CONTACT_LOST;
}

/* Whether the owner can be reached and has not said that it has lost the
 * store. */
static bool
owner_serves(const PhScheduleTask *t)
{
    return t->stage == OWNER_INACTIVE && !t->owner_store_silent &&
           PhOwnerLink_IsUp(&t->link, PhTask_Now(t->self));
}

bool
PhScheduleContact_Suffices(const PhScheduleTask *t)
{
    return PhStoreContact_State(&t->contact) == PH_CONTACT_REACHED ||
           owner_serves(t);
}

PhCallPath
PhScheduleContact_Path(const PhScheduleTask *t, const PhClientCall *call,
                       bool may_forward)
{
    PhTime now = PhTask_Now(t->self);
    bool changes =
        call->tag == PH_SCHEDULE_SUBMIT || call->tag == PH_SCHEDULE_CANCEL;
    PhCallPathInput input = {
        .limited = is_limited(t),
        .changes = changes,
        .outcome_unknown = changes && call->outcome_unknown,
        .owner = t->stage != OWNER_INACTIVE,
        .link_up = may_forward && PhOwnerLink_IsUp(&t->link, now),
        .owner_store_silent = t->owner_store_silent,
        .answered_here = call->tag == PH_SCHEDULE_STATE &&
                         !PhScheduleContact_IsLost(t) &&
                         PhScheduleCalls_KnowsState(t, call->subject),
        .contact = PhStoreContact_State(&t->contact),
        .left = call->deadline + PhCallPath_AnswerTime() - now};
    return PhCallPath_Choose(&input);
}

static uint64_t
refused_count(const PhScheduleTask *t)
{
    return PhCounters_Get(PhKernel_Counters(PhTask_Kernel(t->self)),
                          PH_COUNTER_SCHEDULE_NO_CONTACT);
}

static void
on_lost(PhScheduleTask *t)
{
    PhTime now = PhTask_Now(t->self);
    t->contact_logged = t->contact_changed_at == 0 ||
                        now - t->contact_changed_at >= LOG_INTERVAL;
    if (t->contact_logged) {
        t->contact_changed_at = now;
        t->contact_refused = refused_count(t);
        PhTask_LOG(
            t->self, PH_EVENT_SCHEDULE_CONTACT_LOST,
            PhField_I64("silent_ms", t->contact.silent_for / PH_NS_PER_MS),
            PhField_U64("unreachable", t->contact.unreachable),
            PhField_U64("link", PhOwnerLink_IsUp(&t->link, now)));
    }
    PhScheduleAccept_RefuseUnsent(t);
    PhScheduleCalls_RefuseWaiting(t);
}

static void
on_back(PhScheduleTask *t)
{
    PhTime now = PhTask_Now(t->self);
    t->contact_back_at = now;
    if (!t->contact_logged) {
        return;
    }
    PhTask_LOG(
        t->self, PH_EVENT_SCHEDULE_CONTACT_BACK,
        PhField_I64("after_ms", (now - t->contact_changed_at) / PH_NS_PER_MS),
        PhField_U64("refused", refused_count(t) - t->contact_refused));
}

/* Reads the topic of the owner, without a wait: its end is known, so that the
 * answer is short. */
static void
probe_send(PhScheduleTask *t)
{
    PhStoreMessage m = {.tag = PH_STORE_READ};
    m.as.read.topic = PhStr_Dup(PH_SCHED_TOPIC_OWNER);
    m.as.read.from = PhElection_TopicEnd(t->election);
    t->probe_in_flight = true;
    t->probed_at = PhTask_Now(t->self);
    t->epochs[CALL_PROBE]++;
    PhScheduleTask_Call(t, CALL_PROBE, &m);
}

/* An instance that has just started tells nothing before its first contact. */
static void
tell_front(PhScheduleTask *t)
{
    bool suffices = PhScheduleContact_Suffices(t);
    if (suffices == t->announced_contact ||
        (!suffices && !t->contact_announced)) {
        return;
    }
    t->announced_contact = suffices;
    t->contact_announced = true;
    PhScheduleMessage m = {.tag = PH_SCHEDULE_CONTACT, .as.contact = suffices};
    PhTask_SendTo(t->self, PH_SERVICE_FRONT, PhScheduleMessage_Wrap(&m));
}

/* Tells the other instances whether this one, as the owner, has lost the
 * store.  A loss that ends within a tick is not worth a change of the way that
 * their calls take. */
static void
announce_loss(PhScheduleTask *t)
{
    bool lasts =
        t->contact_lost && PhTask_Now(t->self) - t->contact_lost_at >= TICK;
    if (lasts == t->loss_announced) {
        return;
    }
    t->loss_announced = lasts;
    if (t->stage == OWNER_ACTIVE) {
        PhScheduleLink_WelcomeAll(t);
    }
}

void
PhScheduleContact_Update(PhScheduleTask *t)
{
    if (!is_limited(t)) {
        return;
    }
    bool lost = PhScheduleContact_IsLost(t);
    if (lost != t->contact_lost) {
        t->contact_lost = lost;
        if (lost) {
            t->contact_lost_at = PhTask_Now(t->self);
            on_lost(t);
            probe_send(t);
        }
        else {
            on_back(t);
        }
    }
    announce_loss(t);
    tell_front(t);
}

static size_t
call_bytes(const PhStoreMessage *m)
{
    size_t bytes = 0;
    for (size_t i = 0; i < m->as.append.record_count; i++) {
        const PhStoreRecord *r = &m->as.append.records[i];
        bytes += PH_STORE_LENGTH_BYTES + r->key.len + r->value.len;
    }
    return bytes;
}

void
PhScheduleContact_OnSent(PhScheduleTask *t, PhStoreCall call,
                         const PhStoreMessage *m)
{
    PhTime wait = 0;
    size_t bytes = 0;
    switch (m->tag) {
    case PH_STORE_APPEND:
        bytes = call_bytes(m);
        break;
    case PH_STORE_READ:
        wait = m->as.read.wait;
        break;
    case PH_STORE_NEWEST:
        /* A page of up to 1 MB takes seconds on a narrow link. */
        wait = PH_TIME_NEVER;
        break;
    case PH_STORE_REPLY:
        return;
    }
    PhStoreContact_OnSent(&t->contact, call, m->id, wait, bytes,
                          PhTask_Now(t->self));
}

void
PhScheduleContact_OnReply(PhScheduleTask *t, PhStoreCall call,
                          const PhStoreReply *reply)
{
    bool failed = t->contact.failed;
    PhStoreContact_OnEnd(&t->contact, call, reply->id, reply->sign,
                         PhTask_Now(t->self));
    if (call == CALL_PROBE && reply->id == t->contact.calls[CALL_PROBE].id) {
        t->probe_in_flight = false;
    }
    if (is_limited(t) && t->contact.failed && !failed) {
        probe_send(t);
    }
    PhScheduleContact_Update(t);
}

void
PhScheduleContact_ProbeUnproven(PhScheduleTask *t)
{
    if (is_limited(t) && !t->probe_in_flight &&
        PhStoreContact_State(&t->contact) == PH_CONTACT_UNPROVEN) {
        probe_send(t);
    }
}

/* Whether it has to be found out that the store is back, or that it is reached
 * although the owner may be not. */
static bool
probe_is_due(const PhScheduleTask *t)
{
    PhTime now = PhTask_Now(t->self);
    if (t->probe_in_flight && now - t->probed_at < PROBE_INTERVAL) {
        return false;
    }
    if (t->contact.failed || PhScheduleContact_IsLost(t)) {
        return true;
    }
    if (t->stage != OWNER_INACTIVE) {
        return false;
    }
    if (PhOwnerLink_IsLate(&t->link)) {
        return t->contact.age >= PROBE_AGE_LATE;
    }
    return !owner_serves(t) && t->contact.age >= PROBE_AGE;
}

/* A standby tells the election whether the owner answers it. */
static void
tell_election(PhScheduleTask *t)
{
    bool silent = t->stage == OWNER_INACTIVE &&
                  PhScheduleTopics_AreFollowed(t) &&
                  PhOwnerLink_IsSilent(&t->link);
    PhElection_SetOwnerSilent(t->election, silent);
    if (silent != t->owner_silent) {
        t->owner_silent = silent;
        PhScheduleTask_RequestUpdate(t);
    }
}

void
PhScheduleContact_OnTick(PhScheduleTask *t)
{
    PhTime now = PhTask_Now(t->self);
    PhOwnerLink_Observe(&t->link, PhStoreContact_Tick(&t->contact, now));
    tell_election(t);
    PhScheduleContact_Update(t);
    if (probe_is_due(t)) {
        probe_send(t);
    }
    PhTask_SetTimer(t->self, TIMER_CONTACT, now + TICK);
}

void
PhScheduleContact_Start(PhScheduleTask *t)
{
    PhTime now = PhTask_Now(t->self);
    PhStoreContact_Init(&t->contact, t->options.contact_limit, now);
    if (is_limited(t)) {
        PhElection_EnableEarlyClaims(t->election);
        PhTask_SetTimer(t->self, TIMER_CONTACT, now + TICK);
    }
}
