#include "job_engine_private.h"

#include "peridothill/common/invariant.h"

enum {
    CLAIM_JITTER_MAX_MS = 500,
    /* Covers a renewal that is still in flight when the right ends. */
    LEAVE_MARGIN_MS = 1000,
};

bool
PhJobEngine_Owns(const PhJobEngine *e, PhTime now)
{
    return e->owner && now < e->ownership_until;
}

bool
PhJobEngine_MayRenew(const PhJobEngine *e)
{
    return !e->leaving && e->now < e->renew_until;
}

static void
owner_gain(PhJobEngine *e)
{
    e->owner = true;
    e->claimed_at = e->now;
    e->next_heartbeat = e->now + (PH_OWNER_HEARTBEAT_MS * PH_NS_PER_MS);
    /* Snapshots at once: the log may fail again soon while retention
     * advances. */
    e->next_snapshot = e->now;
    PhJobEngine_Count(e, PH_COUNTER_TASKS_CLAIMS, 1);
    PhJobEngine_Note(e, PH_NOTE_OWNER_GAINED, e->options.instance,
                     PhJobState_Epoch(e->state));
    for (guint i = 0; i < e->worker_views->len; i++) {
        PhWorkerView *v = PhJobEngine_WorkerView(e, i);
        v->next_poll = e->now;
        v->unrenewed_since = PH_TIME_NEVER;
        v->suspected = false;
    }
    PhJobEngine_ScheduleReset(e);
}

static void
owner_lose(PhJobEngine *e)
{
    e->owner = false;
    e->ownership_until = 0;
    g_hash_table_remove_all(e->starts);
    PhJobQueue_Clear(e->jobs);
    PhJobEngine_Note(e, PH_NOTE_OWNER_LOST, e->options.instance,
                     PhJobState_Epoch(e->state));
}

void
PhJobEngine_OwnerForget(PhJobEngine *e)
{
    if (e->owner) {
        owner_lose(e);
    }
    e->claiming = false;
}

/* Extends the right to renew from when this instance sent its KEEP record. */
static void
registration_extend(PhJobEngine *e, PhTime sent)
{
    e->renew_until = sent + e->options.times.registration_validity -
                     (LEAVE_MARGIN_MS * PH_NS_PER_MS);
}

void
PhJobEngine_OwnerChange(PhJobEngine *e, const PhJobChange *change, bool own,
                        PhTime sent)
{
    switch (change->kind) {
    case PH_CHANGE_OWNER:
        e->claiming = false;
        e->owner_seen_at = e->now;
        if (e->owner) {
            owner_lose(e);
        }
        if (own) {
            owner_gain(e);
        }
        break;
    case PH_CHANGE_OWNER_HEARTBEAT:
    case PH_CHANGE_PLACED:
    case PH_CHANGE_RETIRED:
    case PH_CHANGE_RESTORED:
        e->owner_seen_at = e->now;
        break;
    case PH_CHANGE_REGISTERED:
        if (own) {
            registration_extend(e, sent);
        }
        PhJobEngine_AssignRenewals(e);
        return;
    case PH_CHANGE_DEREGISTERED:
        PhJobEngine_AssignRenewals(e);
        return;
    case PH_CHANGE_SNAPSHOT:
        e->next_snapshot = e->now + e->options.times.snapshot;
        return;
    case PH_CHANGE_NONE:
        if (own) {
            e->claiming = false;
        }
        return;
    case PH_CHANGE_ACCEPTED:
    case PH_CHANGE_CANCELLED:
    case PH_CHANGE_ENDED:
    case PH_CHANGE_SUSPECTED:
        return;
    }
    if (own) {
        Ph_INVARIANT(PH_INVARIANT_LEASE, e->owner, "epoch=%" G_GUINT64_FORMAT,
                     PhJobState_Epoch(e->state));
        e->ownership_until =
            MAX(e->ownership_until, sent + (PH_OWNER_VALID_MS * PH_NS_PER_MS));
    }
}

/* Claims the data centre once the previous owner must have stopped. */
static void
claim_tick(PhJobEngine *e)
{
    if (e->owner || e->claiming || !e->caught_up || e->leaving ||
        e->log_down) {
        return;
    }
    PhTime wait = e->claim_jitter;
    if (PhJobState_Epoch(e->state) > 0) {
        wait += PhLease_AddClockMargin(PH_OWNER_VALID_MS * PH_NS_PER_MS);
    }
    if (e->now < e->owner_seen_at + wait) {
        return;
    }
    PhJobRecord claim = {.kind = PH_RECORD_CLAIM};
    claim.as.claim.epoch = PhJobState_Epoch(e->state) + 1;
    claim.as.claim.after = PhJobState_OwnerOffset(e->state);
    e->claiming = true;
    e->claim_jitter =
        (PhTime)PhRandom_Below(e->random, CLAIM_JITTER_MAX_MS) * PH_NS_PER_MS;
    PhJobEngine_Queue(e, claim);
}

/* Registers as renewer, well before the previous registration ends. */
static void
registration_tick(PhJobEngine *e)
{
    if (!e->caught_up || e->leaving || e->now < e->next_registration) {
        return;
    }
    e->next_registration = e->now + e->options.times.registration_interval;
    PhJobEngine_Queue(
        e, (PhJobRecord){.kind = PH_RECORD_KEEP,
                         .as.through = PhJobState_NextOffset(e->state)});
}

static void
snapshot_tick(PhJobEngine *e)
{
    if (e->now < e->next_snapshot || e->snapshot->len > 0) {
        return;
    }
    e->next_snapshot = e->now + e->options.times.snapshot;
    PhJobState_Snapshot(e->state, PhRandom_U64(e->random) >> 1, e->snapshot);
}

/* Deregisters instances whose right to renew has ended. */
static void
deregistration_tick(PhJobEngine *e)
{
    PhTime validity =
        PhLease_AddClockMargin(e->options.times.registration_validity);
    for (uint32_t i = 0; i < PhJobState_RenewerCount(e->state); i++) {
        const PhJobRenewer *r = PhJobState_Renewer(e->state, i);
        PhTime *seen = g_hash_table_lookup(e->last_seen, &r->id);
        if (!r->registered || seen == NULL || e->now < *seen + validity ||
            PhStr_Equal(r->id, e->options.instance)) {
            continue;
        }
        PhJobRecord leave = {.kind = PH_RECORD_LEAVE};
        leave.as.leave.instance = PhStr_Dup(r->id);
        leave.as.leave.sequence = r->sequence;
        PhJobEngine_Queue(e, leave);
        *seen = e->now; /* not again at the next tick */
    }
}

void
PhJobEngine_OwnerTick(PhJobEngine *e)
{
    if (e->state == NULL) {
        return;
    }
    claim_tick(e);
    registration_tick(e);
    if (!e->owner) {
        return;
    }
    if (e->now >= e->next_heartbeat && !e->leaving && !e->log_down) {
        e->next_heartbeat = e->now + (PH_OWNER_HEARTBEAT_MS * PH_NS_PER_MS);
        PhJobEngine_Queue(
            e, (PhJobRecord){.kind = PH_RECORD_HOLD,
                             .as.hold = PhJobState_Epoch(e->state)});
    }
    snapshot_tick(e);
    if (PhJobEngine_Owns(e, e->now)) {
        deregistration_tick(e);
    }
}
