#include "peridothill/decide/schedule/election.h"

#include <glib.h>

#include "peridothill/decide/schedule/lease_time.h"

/* Three renewals fit into the time after which others claim. */
static const PhTime RENEW_INTERVAL = 700 * PH_NS_PER_MS;
static const PhTime CLAIM_AFTER = 2200 * PH_NS_PER_MS;
/* The same while the owner does not answer hellos either: two renewals and
 * 100 ms. */
static const PhTime EARLY_CLAIM_AFTER = 1500 * PH_NS_PER_MS;
/* An owner whose newest confirmed entry is older than this steps down: one
 * second, more than one renewal, before OLD_OWNER_LIMIT (leases.c).  No lease
 * that it grants lasts longer. */
static const PhTime GIVE_UP_AFTER = 9 * PH_NS_PER_S;
/* An instance may still act as owner, and its leases may last, for this long
 * after its newest entry was read here: GIVE_UP_AFTER, plus 100 ms for the
 * difference between the clocks of the two instances. */
static const PhTime OWNERSHIP_BOUND = 9100 * PH_NS_PER_MS;
static const PhTime READ_WAIT = 1000 * PH_NS_PER_MS;
static const PhTime RETRY_INTERVAL = 200 * PH_NS_PER_MS;
/* After contact with the owner, the topic is not read for this long. */
static const PhTime READ_DEFERRAL = 1000 * PH_NS_PER_MS;
/* Before the others, an instance that a release names has this time to claim.
 */
static const PhTime SUCCESSOR_HEAD_START = 500 * PH_NS_PER_MS;
/* Orders longer ago than this are stated as that long ago. */
static const PhTime EARLIER_AGE_MAX = 60 * PH_NS_PER_S;

struct PhElection {
    PhStr holder; /* this incarnation */
    PhStr address;
    PhStr newest_writer;         /* incarnation that wrote the newest entry */
    PhStr newest_writer_address; /* where it is reached */
    PhTime newest_read_at;       /* the newest entry was read */
    bool newest_writer_may_own;  /* it may still be the owner */
    bool newest_states_leases;   /* its leases end with its ownership */
    uint64_t newest_fence; /* fence of the newest claim seen, 0 for none */
    PhPredecessors *predecessors;
    PhTime delay;
    PhTime extra_delay;          /* added to the delay */
    PhTime reads_deferred_until; /* after contact with the owner */
    PhElectionRole role;
    uint64_t fence;
    uint64_t next;       /* offset after the newest entry seen */
    bool synced;         /* a read has reached the end of the topic */
    bool readable;       /* the last read succeeded */
    bool vacant;         /* no claim yet, or the last one was released */
    PhStr successor;     /* named by the newest entry, empty for none */
    PhStr own_successor; /* named by the own release */
    PhTime quiet_since;  /* no new entry since, while readable */
    PhTime confirmed_at; /* the newest own entry was sent */
    PhTime append_sent_at;
    PhTime append_first_sent_at; /* first append at the same offset */
    uint64_t append_at;
    PhTime append_due;
    PhTime read_due;
    bool reading;
    bool appending;
    PhElectionEntryKind append_kind;
    bool must_read; /* an append had a conflict or no answer */
    bool stopping;
    bool claims_early; /* a claim may come early if both signs hold */
    bool owner_silent; /* the owner does not answer hellos */
    bool owner_renews; /* it has written an entry since it fell silent */
    PhTime read_sent_at;
    PhTime read_wait;
    PhTime read_at; /* the last read tells of all entries up to then */
};

PhElection *
PhElection_Create(PhStr holder, PhStr address, PhTime delay)
{
    PhElection *e = g_new0(PhElection, 1);
    e->holder = PhStr_Dup(holder);
    e->address = address.len > 0 ? PhStr_Dup(address) : (PhStr){0};
    e->delay = delay;
    e->vacant = true;
    e->predecessors = PhPredecessors_Create();
    return e;
}

/* Accepts NULL. */
void
PhElection_Destroy(PhElection *e)
{
    if (e == NULL) {
        return;
    }
    PhStr_Clear(&e->holder);
    PhStr_Clear(&e->address);
    PhStr_Clear(&e->newest_writer);
    PhStr_Clear(&e->newest_writer_address);
    PhStr_Clear(&e->successor);
    PhStr_Clear(&e->own_successor);
    PhPredecessors_Destroy(e->predecessors);
    g_free(e);
}

void
PhElection_SetExtraDelay(PhElection *e, PhTime extra_delay)
{
    e->extra_delay = extra_delay;
}

PhElectionRole
PhElection_Role(const PhElection *e)
{
    return e->role;
}

uint64_t
PhElection_Fence(const PhElection *e)
{
    return e->fence;
}

PhStr
PhElection_NewestWriter(const PhElection *e)
{
    return e->newest_writer;
}

PhStr
PhElection_Address(const PhElection *e)
{
    return e->vacant ? (PhStr){0} : e->newest_writer_address;
}

void
PhElection_OnOwnerContact(PhElection *e, PhTime now)
{
    e->reads_deferred_until = now + READ_DEFERRAL;
    e->quiet_since = MAX(e->quiet_since, now);
}

void
PhElection_OnOwnerSuspected(PhElection *e, PhTime now)
{
    e->reads_deferred_until = MIN(e->reads_deferred_until, now);
}

void
PhElection_EnableEarlyClaims(PhElection *e)
{
    e->claims_early = true;
}

void
PhElection_SetOwnerSilent(PhElection *e, bool silent)
{
    e->owner_renews = e->owner_renews && silent;
    e->owner_silent = silent;
}

uint64_t
PhElection_TopicEnd(const PhElection *e)
{
    return e->next;
}

uint64_t
PhElection_OwnerFence(const PhElection *e)
{
    return e->newest_fence;
}

PhTime
PhElection_ConfirmedAt(const PhElection *e)
{
    return e->confirmed_at;
}

PhTime
PhElection_OwnedUntil(const PhElection *e)
{
    return e->confirmed_at + GIVE_UP_AFTER;
}

const PhPredecessors *
PhElection_Predecessors(const PhElection *e)
{
    return e->predecessors;
}

void
PhElection_OnHello(PhElection *e, PhStr instance, uint64_t fence, PhTime now)
{
    if (e->role == PH_ELECTION_OWNER && fence == e->fence) {
        PhPredecessors_End(e->predecessors, instance, now);
    }
}

/* Ends the ownership without a release. */
static void
step_down(PhElection *e, PhTime now)
{
    if (e->role == PH_ELECTION_OWNER) {
        PhPredecessor self = {.holder = e->holder,
                              .replaced_at = now,
                              .confirmed_at = now,
                              .until = now,
                              .owned_until = PhElection_OwnedUntil(e)};
        PhPredecessors_Add(e->predecessors, &self);
    }
    e->role = PH_ELECTION_FOLLOWER;
    e->fence = 0;
    e->quiet_since = now;
}

bool
PhElection_IsNewestWriter(const PhElection *e, PhStr instance)
{
    return instance.len > 0 &&
           PhStr_Equal(PhHolder_Instance(e->newest_writer), instance);
}

/* Reports whether the newest entry is that of an earlier incarnation of this
 * instance.  That one has ended and need not be waited for. */
static bool
held_by_earlier_incarnation(const PhElection *e)
{
    return !e->vacant && !PhStr_Equal(e->newest_writer, e->holder) &&
           PhElection_IsNewestWriter(e, PhHolder_Instance(e->holder));
}

/* Reports whether this instance has to append the release of an ownership: its
 * own when it stops, or that of its earlier incarnation. */
static bool
owes_release(const PhElection *e)
{
    bool own = PhStr_Equal(e->newest_writer, e->holder) && !e->vacant;
    return (own && e->stopping) || held_by_earlier_incarnation(e);
}

/* Reports whether the topic was still without a new entry long enough after
 * the last one for an early claim. */
static bool
has_late_read(const PhElection *e)
{
    return e->read_at >= e->quiet_since + EARLY_CLAIM_AFTER;
}

/* Both signs count: the owner does not answer hellos, and the topic was still
 * without a new entry in a read that ended late enough.  An owner that goes on
 * renewing while it does not answer is only cut off from this instance. */
static bool
owner_is_doubted(const PhElection *e)
{
    return e->claims_early && !e->vacant && e->owner_silent &&
           !e->owner_renews && has_late_read(e);
}

static PhTime
claim_due(const PhElection *e)
{
    PhTime due = e->quiet_since + e->delay + e->extra_delay;
    if (owner_is_doubted(e)) {
        return due + EARLY_CLAIM_AFTER;
    }
    if (!e->vacant) {
        return due + CLAIM_AFTER;
    }
    if (PhStr_IsEmpty(e->successor)) {
        return due;
    }
    return PhStr_Equal(e->successor, PhHolder_Instance(e->holder))
               ? e->quiet_since
               : due + SUCCESSOR_HEAD_START;
}

/* Reports whether a follower claims as soon as its time has come. */
static bool
may_claim(const PhElection *e)
{
    return e->role == PH_ELECTION_FOLLOWER && !e->appending && !e->must_read &&
           !owes_release(e) && e->synced && e->readable && !e->stopping;
}

static bool
append_is_due(const PhElection *e, PhTime now, PhElectionEntryKind *kind)
{
    if (e->appending || e->must_read || now < e->append_due) {
        return false;
    }
    switch (e->role) {
    case PH_ELECTION_OWNER:
        *kind = e->stopping ? PH_ELECTION_RELEASE : PH_ELECTION_RENEWAL;
        return true;
    case PH_ELECTION_FOLLOWER:
        if (owes_release(e)) {
            *kind = PH_ELECTION_RELEASE;
            return e->synced && e->readable && now >= e->reads_deferred_until;
        }
        *kind = PH_ELECTION_CLAIM;
        return may_claim(e) && now >= e->reads_deferred_until &&
               now >= claim_due(e);
    }
    return false;
}

/* Time at which a read that waits for an entry has to end, so that a claim can
 * rely on it. */
static PhTime
read_end(const PhElection *e, PhTime now)
{
    PhTime early = e->quiet_since + EARLY_CLAIM_AFTER + e->delay;
    bool may_claim_early = e->claims_early && !e->vacant && !has_late_read(e);
    return may_claim_early ? MIN(claim_due(e), MAX(early, now)) : claim_due(e);
}

/* An owner reads only to learn the outcome of an append. */
static bool
read_is_due(const PhElection *e, PhTime now)
{
    bool follows =
        e->role == PH_ELECTION_FOLLOWER && now >= e->reads_deferred_until;
    return !e->reading && now >= e->read_due && (follows || e->must_read);
}

/* The newest writer as a predecessor that is replaced now and gives no orders
 * after `until`. */
static PhPredecessor
newest_writer_replaced(const PhElection *e, PhTime now, PhTime until)
{
    PhTime owned_until = e->newest_read_at + OWNERSHIP_BOUND;
    return (PhPredecessor){
        .holder = e->newest_writer,
        .replaced_at = now,
        .confirmed_at = MIN(e->newest_read_at, until),
        .until = until,
        .owned_until = e->newest_states_leases ? owned_until : PH_TIME_NEVER};
}

/* Time until `last`, as entries state it. */
static PhTime
time_left(PhTime last, PhTime now)
{
    return MAX(last - now, -EARLIER_AGE_MAX);
}

/* States in an entry of this instance when the last order of the owners before
 * it is given, and when their last lease expires.  The newest writer has ended
 * if it is an earlier incarnation of this instance. */
static void
earlier_owners_state(const PhElection *e, PhElectionAction *action, PhTime now)
{
    PhTime lease = PhLeaseTime_Longest();
    PhTime order = PhPredecessors_LastOrder(e->predecessors);
    PhTime expiry;
    PhPredecessors_LastToExpire(e->predecessors, PH_TIME_NEVER, lease,
                                &expiry);
    if (e->newest_writer_may_own &&
        !PhStr_Equal(e->newest_writer, e->holder)) {
        PhPredecessor newest =
            newest_writer_replaced(e, now,
                                   held_by_earlier_incarnation(e)
                                       ? now
                                       : e->newest_read_at + OWNERSHIP_BOUND);
        order = MAX(order, newest.until);
        expiry = MAX(expiry, MIN(newest.until + lease, newest.owned_until));
    }
    action->as.append.earlier = time_left(order, now);
    action->as.append.earlier_leases = time_left(expiry, now);
}

PhElectionAction
PhElection_Next(PhElection *e, PhTime now)
{
    PhElectionAction action = {.tag = PH_ELECTION_NOTHING};
    PhElectionEntryKind kind;
    if (e->role == PH_ELECTION_OWNER &&
        now - e->confirmed_at > GIVE_UP_AFTER) {
        step_down(e, now);
    }
    if (append_is_due(e, now, &kind)) {
        e->appending = true;
        e->append_kind = kind;
        if (e->append_first_sent_at == 0 || e->append_at != e->next) {
            e->append_first_sent_at = now;
        }
        e->append_at = e->next;
        e->append_sent_at = now;
        action.tag = PH_ELECTION_APPEND;
        action.as.append.kind = kind;
        action.as.append.at = e->next;
        earlier_owners_state(e, &action, now);
        action.as.append.successor = e->own_successor;
        if (kind == PH_ELECTION_RELEASE) {
            /* Whoever reads the release relies on there being no orders after
             * it, whether or not its outcome becomes known here. */
            step_down(e, now);
        }
    }
    else if (read_is_due(e, now)) {
        PhTime end = read_end(e, now);
        bool claims_soon = e->synced && end < now + READ_WAIT;
        e->reading = true;
        action.tag = PH_ELECTION_READ;
        action.as.read.from = e->next;
        if (e->synced && !e->must_read) {
            action.as.read.wait = claims_soon ? MAX(end - now, 0) : READ_WAIT;
        }
        e->read_sent_at = now;
        e->read_wait = action.as.read.wait;
    }
    return action;
}

PhTime
PhElection_Due(const PhElection *e)
{
    PhTime due = PH_TIME_NEVER;
    if (e->role == PH_ELECTION_OWNER) {
        due = e->confirmed_at + GIVE_UP_AFTER + 1;
        if (!e->appending && !e->must_read) {
            due = MIN(due, e->append_due);
        }
    }
    if (!e->reading && e->must_read) {
        due = MIN(due, e->read_due);
    }
    else if (!e->reading && e->role == PH_ELECTION_FOLLOWER) {
        due = MIN(due, MAX(e->read_due, e->reads_deferred_until));
    }
    if (may_claim(e) && owner_is_doubted(e)) {
        PhTime claim = MAX(claim_due(e), e->reads_deferred_until);
        due = MIN(due, MAX(claim, e->append_due));
    }
    return due;
}

/* Own entries follow each other by RENEW_INTERVAL, counted from `seen_at`.  A
 * release that is due does not wait for that. */
static void
renewal_schedule(PhElection *e, PhTime seen_at, PhTime now)
{
    e->append_due = e->stopping ? now : seen_at + RENEW_INTERVAL;
}

static void
become_owner(PhElection *e, uint64_t offset, PhTime sent_at)
{
    e->role = PH_ELECTION_OWNER;
    e->fence = offset + 1;
    e->vacant = false;
    e->confirmed_at = sent_at;
}

/* Applies an entry that this incarnation wrote by an append that was sent at
 * `sent_at` or later.  Others may have seen it from `seen_at` on. */
static void
own_entry_apply(PhElection *e, const PhElectionEntry *entry, PhTime sent_at,
                PhTime seen_at, PhTime now)
{
    switch (entry->kind) {
    case PH_ELECTION_CLAIM:
        become_owner(e, entry->offset, sent_at);
        renewal_schedule(e, seen_at, now);
        break;
    case PH_ELECTION_RENEWAL:
        if (e->role == PH_ELECTION_OWNER) {
            e->confirmed_at = sent_at;
            renewal_schedule(e, seen_at, now);
        }
        break;
    case PH_ELECTION_RELEASE:
        step_down(e, now);
        e->vacant = true;
        break;
    }
}

static void
newest_writer_track(PhElection *e, PhTime now, PhTime until)
{
    PhPredecessor replaced = newest_writer_replaced(e, now, until);
    PhPredecessors_Add(e->predecessors, &replaced);
}

/* Adds the holder of a release to the predecessors.  One that does not state
 * the orders before comes from a version that went on until it knew the
 * outcome. */
static void
track_released(PhElection *e, const PhElectionEntry *entry, PhTime now)
{
    if (entry->states_earlier && e->newest_writer_may_own &&
        !PhStr_Equal(entry->holder, e->holder)) {
        newest_writer_track(e, now, now);
        e->newest_writer_may_own = false;
    }
}

/* Adds the previous holder to the predecessors when another one writes, unless
 * it has given up itself or was an earlier incarnation of the same instance.
 */
static void
track_replaced(PhElection *e, const PhElectionEntry *entry, PhTime now)
{
    PhStr instance = PhHolder_Instance(entry->holder);
    bool same = PhStr_Equal(entry->holder, e->newest_writer);
    bool reborn = !same && PhElection_IsNewestWriter(e, instance);
    if (!same) {
        PhPredecessors_End(e->predecessors, instance, now);
    }
    if (reborn && e->newest_writer_may_own) {
        newest_writer_track(e, now, now);
        e->newest_writer_may_own = false;
    }
    bool released = entry->kind == PH_ELECTION_RELEASE;
    if (!released && !same && e->newest_writer_may_own &&
        !PhStr_Equal(e->newest_writer, e->holder)) {
        newest_writer_track(e, now, e->newest_read_at + OWNERSHIP_BOUND);
    }
    if (entry->states_earlier) {
        PhPredecessors_Limit(e->predecessors, now + entry->earlier);
    }
    if (entry->states_leases) {
        PhPredecessors_LimitLeases(e->predecessors,
                                   now + entry->earlier_leases);
    }
    if (released) {
        track_released(e, entry, now);
        return;
    }
    e->newest_writer_may_own = true;
    if (entry->kind == PH_ELECTION_CLAIM) {
        e->newest_fence = entry->offset + 1;
    }
}

/* Entries were missed: any of their holders may still be the owner, and
 * whether its leases end with its ownership is not known. */
static void
add_unknown_holder(PhElection *e, PhTime now)
{
    PhPredecessor unknown = {.replaced_at = now,
                             .confirmed_at = now,
                             .until = now + OWNERSHIP_BOUND,
                             .owned_until = PH_TIME_NEVER};
    PhPredecessors_Add(e->predecessors, &unknown);
}

static void
entry_apply(PhElection *e, const PhElectionEntry *entry, PhTime sent_at,
            PhTime seen_at, PhTime now)
{
    if (entry->offset < e->next) {
        return;
    }
    e->next = entry->offset + 1;
    e->owner_renews = e->owner_silent;
    track_replaced(e, entry, now);
    e->newest_read_at = now;
    e->newest_states_leases = entry->states_leases;
    PhStr_Clear(&e->newest_writer);
    PhStr_Clear(&e->newest_writer_address);
    e->newest_writer = PhStr_Dup(entry->holder);
    e->newest_writer_address =
        entry->address.len > 0 ? PhStr_Dup(entry->address) : (PhStr){0};
    PhStr_Clear(&e->successor);
    e->successor =
        entry->successor.len > 0 ? PhStr_Dup(entry->successor) : (PhStr){0};
    e->quiet_since = now;
    if (PhStr_Equal(entry->holder, e->holder)) {
        own_entry_apply(e, entry, sent_at, seen_at, now);
        return;
    }
    if (e->role == PH_ELECTION_OWNER) {
        step_down(e, now);
    }
    e->vacant = entry->kind == PH_ELECTION_RELEASE;
}

void
PhElection_OnRead(PhElection *e, const PhElectionEntry *entries, size_t count,
                  uint64_t end, PhTime now)
{
    e->reading = false;
    if (!e->synced && e->next == 0 && end > 0) {
        add_unknown_holder(e, now);
    }
    for (size_t i = 0; i < count; i++) {
        /* Any of the appends at this offset may have written it. */
        entry_apply(e, &entries[i], e->append_first_sent_at,
                    e->append_first_sent_at, now);
    }
    if (!e->readable || !e->synced) {
        e->quiet_since = now;
    }
    e->readable = true;
    /* The answer may have been on its way since the wait ended, or since the
     * read was sent if it has entries. */
    e->read_at =
        count > 0 ? e->read_sent_at : MIN(e->read_sent_at + e->read_wait, now);
    e->read_due = now;
    if (e->next >= end) {
        e->synced = true;
        if (!e->appending) {
            e->must_read = false;
        }
    }
}

void
PhElection_OnReadFailed(PhElection *e, uint64_t first, PhTime now)
{
    e->reading = false;
    if (first > 0) {
        add_unknown_holder(e, now);
        e->next = MAX(e->next, first);
        e->read_due = now;
        return;
    }
    e->readable = false;
    e->read_due = now + RETRY_INTERVAL;
}

void
PhElection_OnAppended(PhElection *e, uint64_t end, PhTime now)
{
    PhElectionEntry entry = {.offset = end - 1,
                             .kind = e->append_kind,
                             .holder = e->holder,
                             .address = e->address};
    e->appending = false;
    entry_apply(e, &entry, e->append_sent_at, now, now);
}

void
PhElection_OnAppendFailed(PhElection *e, bool conflict, PhTime now)
{
    e->appending = false;
    e->append_due = now + RETRY_INTERVAL;
    e->must_read = true;
    if (conflict) {
        e->read_due = now;
    }
}

void
PhElection_OnDeposed(PhElection *e, PhTime now)
{
    if (e->role == PH_ELECTION_OWNER) {
        step_down(e, now);
        e->must_read = true;
    }
}

void
PhElection_Stop(PhElection *e, PhStr successor)
{
    if (!e->stopping) {
        e->stopping = true;
        e->append_due = 0;
        e->own_successor =
            successor.len > 0 ? PhStr_Dup(successor) : (PhStr){0};
    }
}
