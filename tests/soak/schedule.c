/* Draws of the soak: series of planned work all the time, and in some of the
 * blocks series of faults that overlap with them and with each other. */
#include <inttypes.h>
#include <stdio.h>

#include "soak.h"

enum {
    BLOCK_MS = 15000,
    PLANNED_FIRST_MS = 6000, /* without faults, whatever is drawn */
    WARM_UP_MS = 4000,
    /* A third of the blocks has planned work only. */
    CALM_BLOCKS_IN = 3,
    FAULT_SERIES_MIN = 2,
    FAULT_SERIES_MORE = 5,
    FAULTS_IN_SERIES_MAX = 3,
    FAULT_MS_MIN = 300,
    FAULT_MS_MAX = 6000,
    RESTART_MS_MIN = 200,
    RESTART_MS_MAX = 3000,
    ROLL_GAP_MS_MIN = 2500,
    ROLL_GAP_MS_MAX = 6000,
    LEAVE_GAP_MS_MIN = 1500,
    LEAVE_GAP_MS_MAX = 5000,
    MASK_WORKERS_MAX = 3,
    NEAR_MS = 2000,
    LEAD_MS_MAX = 900,
    SILENT_MS_MIN = 2600,
    SILENT_MS_MAX = 4000,
};

static const double CHANCE_SILENT_LEAVER = 0.5;

typedef struct PhDraw {
    const PhSoakPlan *plan;
    PhRandom *random;
    GArray *acts;
} PhDraw;

static int64_t
between(const PhDraw *d, int64_t low, int64_t high)
{
    return low + (int64_t)PhRandom_Below(d->random, (uint64_t)(high - low));
}

static uint64_t
one_of(const PhDraw *d, uint32_t count)
{
    return UINT64_C(1) << PhRandom_Below(d->random,
                                         MIN(count, PH_SOAK_MASK_BITS));
}

/* All instances in turn, from a drawn one on. */
static void
draw_roll(PhDraw *d, int64_t from_ms, int64_t until_ms)
{
    uint64_t first = PhRandom_Below(d->random, d->plan->instances);
    int64_t at_ms = between(d, from_ms, from_ms + ROLL_GAP_MS_MIN);
    for (uint32_t i = 0; i < d->plan->instances && at_ms < until_ms; i++) {
        PhSoakAct act = {
            .kind = PH_SOAK_STOP_INSTANCE,
            .at_ms = at_ms,
            .duration_ms = between(d, RESTART_MS_MIN, RESTART_MS_MAX),
            .instances = UINT64_C(1) << (first + i) % d->plan->instances};
        g_array_append_val(d->acts, act);
        at_ms += between(d, ROLL_GAP_MS_MIN, ROLL_GAP_MS_MAX);
    }
}

/* Up to half of the workers in turn. */
static void
draw_leaves(PhDraw *d, int64_t from_ms, int64_t until_ms)
{
    uint64_t workers = MIN(d->plan->workers, PH_SOAK_MASK_BITS);
    uint64_t first = PhRandom_Below(d->random, workers);
    int64_t at_ms = between(d, from_ms, from_ms + LEAVE_GAP_MS_MAX);
    for (uint64_t i = 0; i < (workers + 1) / 2 && at_ms < until_ms; i++) {
        PhSoakAct act = {.kind = PH_SOAK_LEAVE_WORKER,
                         .at_ms = at_ms,
                         .duration_ms =
                             between(d, RESTART_MS_MIN, RESTART_MS_MAX),
                         .workers = UINT64_C(1) << (first + i) % workers};
        g_array_append_val(d->acts, act);
        at_ms += between(d, LEAVE_GAP_MS_MIN, LEAVE_GAP_MS_MAX);
    }
}

/* Workers whose leaving is drawn near a time. */
static uint64_t
leavers_near(const PhDraw *d, int64_t at_ms)
{
    uint64_t workers = 0;
    for (guint i = 0; i < d->acts->len; i++) {
        const PhSoakAct *a = &g_array_index(d->acts, PhSoakAct, i);
        if (a->kind == PH_SOAK_LEAVE_WORKER && a->at_ms > at_ms - NEAR_MS &&
            a->at_ms < at_ms + NEAR_MS) {
            workers |= a->workers;
        }
    }
    return workers;
}

/* Half of the faults of links meet workers that leave, if there are any. */
static void
draw_link(PhDraw *d, PhSoakAct *act)
{
    uint64_t leavers = leavers_near(d, act->at_ms);
    if (leavers != 0 && PhRandom_Chance(d->random, 0.5)) {
        act->instances = UINT64_MAX;
        act->workers = leavers;
        return;
    }
    act->instances = PhRandom_Chance(d->random, 0.5)
                         ? one_of(d, d->plan->instances)
                         : UINT64_MAX;
    act->store = PhRandom_Chance(d->random, 0.5);
    uint64_t count = PhRandom_Below(d->random, MASK_WORKERS_MAX + 1);
    for (uint64_t i = 0; i < count; i++) {
        act->workers |= one_of(d, d->plan->workers);
    }
    if (count == 0 && !act->store) {
        act->workers = UINT64_MAX;
    }
}

static void
draw_fault(PhDraw *d, PhSoakActKind kind, int64_t at_ms, int64_t until_ms)
{
    PhSoakAct act = {.kind = kind,
                     .at_ms = at_ms,
                     .duration_ms = between(d, FAULT_MS_MIN, FAULT_MS_MAX)};
    act.duration_ms = MAX(MIN(act.duration_ms, until_ms - at_ms), 1);
    switch (kind) {
    case PH_SOAK_KILL_INSTANCE:
    case PH_SOAK_PAUSE_INSTANCE:
        act.instances = one_of(d, d->plan->instances);
        break;
    case PH_SOAK_KILL_WORKER:
    case PH_SOAK_PAUSE_WORKER:
        act.workers = one_of(d, d->plan->workers);
        break;
    case PH_SOAK_LINK_LATE:
        /* Late answers of the store are the slow link's; only orders are
         * carried out late. */
        draw_link(d, &act);
        act.store = false;
        act.workers = act.workers != 0 ? act.workers : UINT64_MAX;
        break;
    case PH_SOAK_LINK_SILENT:
    case PH_SOAK_LINK_ONE_WAY:
    case PH_SOAK_LINK_SLOW:
    case PH_SOAK_LINK_RESET:
        draw_link(d, &act);
        break;
    case PH_SOAK_STOP_INSTANCE:
    case PH_SOAK_LEAVE_WORKER:
    case PH_SOAK_ACT_KINDS:
        break;
    }
    g_array_append_val(d->acts, act);
}

/* Orders without answers to workers that leave: their links are silent from
 * before they say so until some seconds later. */
static void
draw_silent_leavers(PhDraw *d, int64_t from_ms, int64_t until_ms)
{
    for (guint i = 0, count = d->acts->len; i < count; i++) {
        PhSoakAct leave = g_array_index(d->acts, PhSoakAct, i);
        if (leave.kind != PH_SOAK_LEAVE_WORKER || leave.at_ms < from_ms ||
            !PhRandom_Chance(d->random, CHANCE_SILENT_LEAVER)) {
            continue;
        }
        int64_t at_ms = leave.at_ms - between(d, FAULT_MS_MIN, LEAD_MS_MAX);
        PhSoakAct act = {.kind = PH_SOAK_LINK_SILENT,
                         .at_ms = MAX(at_ms, from_ms),
                         .duration_ms =
                             between(d, SILENT_MS_MIN, SILENT_MS_MAX),
                         .instances = UINT64_MAX,
                         .workers = leave.workers};
        act.duration_ms = MAX(MIN(act.duration_ms, until_ms - act.at_ms), 1);
        g_array_append_val(d->acts, act);
    }
}

/* Some series, each of one kind of fault. */
static void
draw_faults(PhDraw *d, int64_t from_ms, int64_t until_ms)
{
    draw_silent_leavers(d, from_ms, until_ms);
    uint64_t series =
        FAULT_SERIES_MIN + PhRandom_Below(d->random, FAULT_SERIES_MORE);
    for (uint64_t i = 0; i < series; i++) {
        PhSoakActKind kind = (PhSoakActKind)between(d, PH_SOAK_KILL_INSTANCE,
                                                    PH_SOAK_ACT_KINDS);
        uint64_t count = 1 + PhRandom_Below(d->random, FAULTS_IN_SERIES_MAX);
        int64_t at_ms = between(d, from_ms, until_ms);
        for (uint64_t k = 0; k < count && at_ms < until_ms; k++) {
            draw_fault(d, kind, at_ms, until_ms);
            at_ms += between(d, FAULT_MS_MIN, FAULT_MS_MAX);
        }
    }
}

static gint
compare_times(gconstpointer a, gconstpointer b)
{
    const PhSoakAct *x = a;
    const PhSoakAct *y = b;
    return (x->at_ms > y->at_ms) - (x->at_ms < y->at_ms);
}

GArray *
PhSoakSchedule_Draw(const PhSoakPlan *plan)
{
    PhDraw d = {.plan = plan,
                .random = PhRandom_Create(plan->seed),
                .acts = g_array_new(FALSE, TRUE, sizeof(PhSoakAct))};
    uint64_t calm = PhRandom_Below(d.random, CALM_BLOCKS_IN);
    for (int64_t at = WARM_UP_MS, block = 0; at < plan->draws_ms;
         at += BLOCK_MS, block++) {
        int64_t until = MIN(at + BLOCK_MS, plan->draws_ms);
        draw_roll(&d, at, until);
        draw_leaves(&d, at, until);
        if ((uint64_t)block % CALM_BLOCKS_IN != calm) {
            draw_faults(
                &d, block == 0 ? MIN(at + PLANNED_FIRST_MS, until - 1) : at,
                until);
        }
    }
    g_array_sort(d.acts, compare_times);
    for (guint i = 0; i < d.acts->len; i++) {
        g_array_index(d.acts, PhSoakAct, i).number = i;
    }
    PhRandom_Destroy(d.random);
    return d.acts;
}

bool
PhSoakAct_IsPlanned(PhSoakActKind kind)
{
    return kind <= PH_SOAK_LEAVE_WORKER;
}

const char *
PhSoakAct_Name(PhSoakActKind kind)
{
    static const char *const names[PH_SOAK_ACT_KINDS] = {
        "stop-instance", "leave-worker", "kill-instance", "pause-instance",
        "kill-worker",   "pause-worker", "silent",        "one-way",
        "late",          "slow",         "reset",
    };
    return names[kind];
}

void
PhSoakSchedule_Print(const GArray *acts)
{
    for (guint i = 0; i < acts->len; i++) {
        const PhSoakAct *a = &g_array_index(acts, PhSoakAct, i);
        printf("act at_ms=%" PRId64 " kind=%s duration_ms=%" PRId64
               " instances=%" PRIx64 " workers=%" PRIx64 " store=%d\n",
               a->at_ms, PhSoakAct_Name(a->kind), a->duration_ms, a->instances,
               a->workers, a->store);
    }
}

bool
PhSoakAct_Concerns(const PhSoakAct *act, PhSoakParty party)
{
    switch (party.kind) {
    case PH_SOAK_INSTANCE:
        return party.index < PH_SOAK_MASK_BITS &&
               (act->instances >> party.index & 1) != 0;
    case PH_SOAK_WORKER:
        return act->workers == UINT64_MAX ||
               (party.index < PH_SOAK_MASK_BITS &&
                (act->workers >> party.index & 1) != 0);
    case PH_SOAK_STORE:
        return act->store;
    }
    return false;
}
