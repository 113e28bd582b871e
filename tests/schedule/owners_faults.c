/* Faults of the owners simulation: what they affect, and how random ones are
 * drawn. */
#include "owners_sim_private.h"

#include "tests/table.h"

enum {
    FAULT_FIRST_MS = 5000,
    FAULT_GAP_MS = 4000,
    FAULT_MIN_MS = 1000,
    FAULT_SPREAD_MS = 9000,
    DRAINING_MAX = 2, /* workers that may drain */
    RESTART_MAX_MS = 4000,
    STOP_MS = PH_OWNERS_NOTICE_MS + 1000,
    LONG_TASKS = 4,
    SHORT_UNTIL_MS = 30000,
    DOWN_AT_MS = 5000, /* the worker stops */
    UNSEEN_MS = 40000,
    END_MS = 90000,
    ALL_INSTANCES = (1 << PH_OWNERS_INSTANCES) - 1,
};

int64_t
PhOwnersSim_ElapsedMs(const PhOwnersSim *w)
{
    return (w->now - PH_OWNERS_START) / PH_NS_PER_MS;
}

static bool
fault_is_active(const PhOwnersSim *w, const PhOwnersFault *f)
{
    return PhOwnersSim_ElapsedMs(w) >= f->at_ms &&
           PhOwnersSim_ElapsedMs(w) < f->at_ms + f->duration_ms;
}

bool
PhOwnersSim_IsUnreachable(const PhOwnersSim *w, int instance, int worker)
{
    for (unsigned i = 0; i < w->fault_count; i++) {
        const PhOwnersFault *f = &w->faults[i];
        bool has_instance = (f->instances >> instance & 1U) != 0;
        bool has_worker = (f->workers >> worker & 1U) != 0;
        if (!fault_is_active(w, f)) {
            continue;
        }
        if ((f->kind == PH_OWNERS_WORKERS_UNREACHABLE && has_instance &&
             has_worker) ||
            (f->kind == PH_OWNERS_PARTITION && has_instance != has_worker)) {
            return true;
        }
    }
    return false;
}

bool
PhOwnersSim_IsAffected(const PhOwnersSim *w, unsigned kinds, int instance,
                       int worker)
{
    for (unsigned i = 0; i < w->fault_count; i++) {
        const PhOwnersFault *f = &w->faults[i];
        bool affected =
            (instance >= 0 && (f->instances >> instance & 1U) != 0) ||
            (worker >= 0 && (f->workers >> worker & 1U) != 0);
        if (affected && (kinds >> f->kind & 1U) != 0 &&
            fault_is_active(w, f)) {
            return true;
        }
    }
    return false;
}

bool
PhOwnersSim_IsStoreUnreachable(const PhOwnersSim *w, int instance, int worker)
{
    return PhOwnersSim_IsAffected(
        w, 1U << PH_OWNERS_STORE_UNREACHABLE | 1U << PH_OWNERS_PARTITION,
        instance, worker);
}

bool
PhOwnersSim_AreOrdersAffected(const PhOwnersSim *w, PhOwnersFaultKind kind,
                              int instance, int worker)
{
    for (unsigned i = 0; i < w->fault_count; i++) {
        const PhOwnersFault *f = &w->faults[i];
        if (f->kind == kind && fault_is_active(w, f) &&
            (f->instances >> instance & 1U) != 0 &&
            (f->workers >> worker & 1U) != 0) {
            return true;
        }
    }
    return false;
}

bool
PhOwnersSim_IsSuspended(const PhOwnersSim *w, int instance)
{
    return PhOwnersSim_IsAffected(w, 1U << PH_OWNERS_SUSPEND, instance, -1);
}

bool
PhOwnersSim_ArePartitioned(const PhOwnersSim *w, int a, int b)
{
    for (unsigned i = 0; i < w->fault_count; i++) {
        const PhOwnersFault *f = &w->faults[i];
        if (f->kind == PH_OWNERS_PARTITION && fault_is_active(w, f) &&
            (f->instances >> a & 1U) != (f->instances >> b & 1U)) {
            return true;
        }
    }
    return false;
}

void
PhOwnersSim_AddFault(PhOwnersSim *w, const PhOwnersFault *fault)
{
    assert_true(w->fault_count < PH_OWNERS_FAULTS_MAX);
    w->faults[w->fault_count++] = *fault;
}

void
PhOwnersSim_LoseOrders(PhOwnersSim *w, const PhOwnersLosses *losses)
{
    w->losses = *losses;
}

bool
PhOwnersSim_LosesOrders(const PhOwnersSim *w)
{
    return w->losses.share > 0 &&
           PhOwnersSim_ElapsedMs(w) >= w->losses.from_ms;
}

int64_t
PhOwnersSim_CalmFrom(const PhOwnersSim *w)
{
    int64_t at_ms = MAX(w->short_until_ms, PhSimJobs_Until(w->drawn));
    for (unsigned i = 0; i < w->fault_count; i++) {
        const PhOwnersFault *f = &w->faults[i];
        at_ms = MAX(at_ms, f->at_ms + f->duration_ms);
    }
    return at_ms;
}

/* Draws a non-empty set of `count` workers or instances, as a mask. */
static unsigned
draw_set(PhRandom *random, int count)
{
    unsigned set = (unsigned)PhRandom_Below(random, 1U << count);
    return set | 1U << PhRandom_Below(random, (uint64_t)count);
}

static PhOwnersFaultKind
draw_kind(PhRandom *random, unsigned kinds)
{
    uint64_t count = 0;
    for (unsigned kind = 0; kind < PH_OWNERS_FAULT_KINDS; kind++) {
        count += kinds >> kind & 1U;
    }
    uint64_t skip = PhRandom_Below(random, count);
    unsigned kind = 0;
    while ((kinds >> kind & 1U) == 0 || skip > 0) {
        skip -= kinds >> kind & 1U;
        kind++;
    }
    return (PhOwnersFaultKind)kind;
}

void
PhOwnersSim_DrawFaults(PhOwnersSim *w, uint64_t seed, unsigned count,
                       unsigned kinds)
{
    PhRandom *random = PhRandom_Create(seed);
    unsigned drained = 0;
    int64_t at_ms = FAULT_FIRST_MS;
    for (unsigned i = 0; i < count; i++) {
        PhOwnersFault f = {
            .kind = draw_kind(random, kinds),
            .at_ms = at_ms,
            .duration_ms = FAULT_MIN_MS +
                           (int64_t)PhRandom_Below(random, FAULT_SPREAD_MS),
            .workers = draw_set(random, PH_OWNERS_WORKERS),
            .owner = PhRandom_Chance(random, 0.5)};
        bool needs_instances = f.kind == PH_OWNERS_WORKERS_UNREACHABLE ||
                               f.kind == PH_OWNERS_REPLIES_LOST ||
                               f.kind == PH_OWNERS_ORDERS_LATE;
        if (!f.owner || needs_instances) {
            f.instances = draw_set(random, PH_OWNERS_INSTANCES);
        }
        if (f.kind == PH_OWNERS_SUSPEND ||
            f.kind == PH_OWNERS_STORE_REPLIES_LOST ||
            f.kind == PH_OWNERS_CRASH || f.kind == PH_OWNERS_STOP) {
            f.workers = 0;
        }
        if (f.kind == PH_OWNERS_STOP) {
            f.duration_ms = STOP_MS;
        }
        if (f.kind == PH_OWNERS_RESTART) {
            f.instances = 0;
            f.owner = false;
            f.duration_ms = f.duration_ms % RESTART_MAX_MS + PH_OWNERS_TICK_MS;
        }
        if (f.kind == PH_OWNERS_DRAIN) {
            f.workers = 1U << PhRandom_Below(random, DRAINING_MAX);
            f.workers &= ~drained;
            f.instances = 0;
            f.owner = false;
            drained |= f.workers;
        }
        PhOwnersSim_AddFault(w, &f);
        at_ms += (int64_t)PhRandom_Below(random, FAULT_GAP_MS);
    }
    PhRandom_Destroy(random);
}

void
PhOwnersSim_BeginFaults(PhOwnersSim *w)
{
    for (unsigned i = 0; i < w->fault_count; i++) {
        PhOwnersFault *f = &w->faults[i];
        if (!f->owner || !fault_is_active(w, f)) {
            continue;
        }
        f->owner = false;
        for (int k = 0; k < PH_OWNERS_INSTANCES; k++) {
            if (w->instances[k].active &&
                w->instances[k].fence == w->store_epoch) {
                f->instances |= 1U << k;
            }
        }
    }
}

bool
PhOwnersSim_HoldsAfter(const PhOwnerEnd *end)
{
    PhOwnersSim *w = PhOwnersSim_Create(LONG_TASKS, SHORT_UNTIL_MS);
    int64_t notice_ms = end->kind == PH_OWNERS_STOP ? 1000 : 0;
    int64_t gone_ms = end->at_ms + notice_ms;
    const PhOwnersFault faults[] = {
        {PH_OWNERS_RESTART, DOWN_AT_MS, end->up_ms - DOWN_AT_MS,
         .workers = end->workers},
        {PH_OWNERS_STORE_UNREACHABLE, DOWN_AT_MS, UNSEEN_MS,
         .workers = end->workers},
        {PH_OWNERS_ORDERS_LATE, end->up_ms, gone_ms + 100 - end->up_ms,
         .instances = ALL_INSTANCES, .workers = end->workers},
        {PH_OWNERS_WORKERS_UNREACHABLE, gone_ms + 60, UNSEEN_MS,
         .instances = ALL_INSTANCES, .workers = end->workers},
        {end->kind, end->at_ms, end->away_ms, .owner = true}};
    PhOwnersSim_SetDelays(w, end->seed);
    for (size_t i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
        PhOwnersSim_AddFault(w, &faults[i]);
    }
    PhOwnersSim_Run(w, END_MS);
    bool holds =
        PhOwnersSim_DuplicateStarts(w) == 0 && PhOwnersSim_IsSettled(w);
    PhOwnersSim_Destroy(w);
    return holds;
}
