#include "loss_case.h"

#include "owners_rooms.h"
#include "rest_watch.h"
#include "tests/table.h"
#include "timeline.h"

#include <math.h>
#include <stdlib.h>

enum {
    LONG_TASKS = 4,
    LOST_FROM_MS = 5000,
    CRASH_AT_MS = 12000,
    CRASH_MS = 3000,
    SUBMIT_UNTIL_MS = 35000,
    JOB_INTERVAL_MS = 1000, /* of the simulation */
    UNTIL_MS = 45000,
    JOB_TASKS = 4,
    ORDER_TIMEOUT_MS = 1200,
    /* Orders that follow one another, each given up after that time: in a
     * lease of 6 s, beside the one that was answered last; in the 9 s in which
     * a lasting task may have no run, less the margin of its lease; in the
     * 3 s in which a job may have none; in these and the 2.5 s in which its
     * other tasks run. */
    ORDERS_IN_LEASE = 4,
    ORDERS_IN_GAP = 7,
    ORDERS_IN_WAIT = 3,
    ORDERS_IN_LAST_WAIT = 5,
    ORDERS_MAX = 50,
    DEVIATIONS = 3,
    ALL_INSTANCES = (1 << PH_OWNERS_INSTANCES) - 1,
};

/* What was found with all seeds of a case. */
typedef struct PhLossFigures {
    unsigned lapses;       /* leases that expired with runs */
    unsigned false_lapses; /* of these, of workers that answered */
    unsigned lapsed_lasting;
    double orders;    /* that follow one another, at all workers */
    unsigned lasting; /* tasks without a run for too long */
    unsigned idle;    /* jobs of which nothing ran for too long */
    unsigned false_ends;
    unsigned duplicates;
} PhLossFigures;

static PhOwnersSim *
jobs_create(PhOwnersLosses losses, uint64_t seed)
{
    PhOwnersSim *sim = PhOwnersSim_Create(LONG_TASKS, SUBMIT_UNTIL_MS);
    losses.from_ms = LOST_FROM_MS;
    PhOwnersSim_SetDelays(sim, seed);
    PhOwnersSim_LoseOrders(sim, &losses);
    PhOwnersSim_WatchWaits(sim, LOST_FROM_MS);
    return sim;
}

static PhOwnersSim *
crash_create(PhOwnersLosses losses, uint64_t seed)
{
    const PhOwnersFault crash = {PH_OWNERS_CRASH, CRASH_AT_MS, CRASH_MS,
                                 .instances = ALL_INSTANCES};
    PhOwnersSim *sim = PhOwnersSim_Create(LONG_TASKS, SUBMIT_UNTIL_MS);
    losses.from_ms = CRASH_AT_MS + CRASH_MS;
    PhOwnersSim_SetDelays(sim, seed);
    PhOwnersSim_AddFault(sim, &crash);
    PhOwnersSim_LoseOrders(sim, &losses);
    PhOwnersSim_WatchWaits(sim, losses.from_ms + PH_REST_ASKED_MS);
    return sim;
}

static PhOwnersSim *
rooms_create(PhOwnersLosses losses, uint64_t seed, bool relays)
{
    const PhRoomsTerms terms = {12, 40, 80, 30, .relays = relays};
    PhOwnersSim *sim = PhOwnersSim_Create(0, 0);
    losses.from_ms = LOST_FROM_MS;
    PhOwnersSim_DrawRooms(sim, seed, &terms);
    PhOwnersSim_LoseOrders(sim, &losses);
    return sim;
}

static PhOwnersSim *
sim_create(const PhLossCase *c, uint64_t seed)
{
    switch (c->scene) {
    case PH_LOSS_JOBS:
        return jobs_create(c->losses, seed);
    case PH_LOSS_CRASH:
        return crash_create(c->losses, seed);
    case PH_LOSS_ROOMS:
    case PH_LOSS_RELAYED:
        return rooms_create(c->losses, seed, c->scene == PH_LOSS_RELAYED);
    }
    return NULL;
}

/* After a crash, from when the users ask. */
static int64_t
watched_from(const PhLossCase *c)
{
    return c->scene == PH_LOSS_CRASH
               ? CRASH_AT_MS + CRASH_MS + PH_REST_ASKED_MS
               : LOST_FROM_MS;
}

static bool
has_rooms(const PhLossCase *c)
{
    return c->scene == PH_LOSS_ROOMS || c->scene == PH_LOSS_RELAYED;
}

static void
seed_run(const PhLossCase *c, uint64_t seed, bool verbose, PhLossFigures *sum)
{
    PhOwnersSim *sim = sim_create(c, seed);
    const GString *timeline;
    PhOwnersSim_Run(sim, watched_from(c));
    unsigned lapses = PhOwnersSim_Lapses(sim);
    unsigned lapsed_lasting = PhOwnersSim_LapsedLasting(sim);
    PhOwnersSim_Run(sim, UNTIL_MS);
    if (has_rooms(c)) {
        const PhRoomFigures *f = PhOwnersSim_RoomFigures(sim);
        sum->lasting += f->lasting;
        timeline = f->timeline;
    }
    else {
        const PhRestFigures *f = PhOwnersSim_RestFigures(sim);
        PhOwnersSim_EndWatch(sim);
        sum->lasting += f->lasting_tasks;
        sum->idle += f->idle_jobs;
        sum->false_ends += f->false_ends;
        timeline = f->timeline;
    }
    sum->lapses += PhOwnersSim_Lapses(sim) - lapses;
    sum->lapsed_lasting += PhOwnersSim_LapsedLasting(sim) - lapsed_lasting;
    sum->false_lapses += PhOwnersSim_FalseLapses(sim);
    sum->orders += (double)PhOwnersSim_WorkerCount(sim) *
                   (double)(UNTIL_MS - watched_from(c)) / ORDER_TIMEOUT_MS;
    sum->duplicates += PhOwnersSim_DuplicateStarts(sim);
    if (verbose && timeline->len > 0) {
        print_message("#   seed %u\n", (unsigned)seed);
        PhTimeline_Print(timeline->str);
    }
    PhOwnersSim_Destroy(sim);
}

static double
power(double base, unsigned exponent)
{
    double product = 1;
    for (unsigned i = 0; i < exponent; i++) {
        product *= base;
    }
    return product;
}

/* The share of these orders that is lost. */
static double
share_lost(const PhLossCase *c, unsigned orders)
{
    return (c->losses.orders & orders) != 0 ? c->losses.share : 0;
}

/* The share of starts that have no effect, if a query goes before each. */
static double
share_failing(const PhLossCase *c)
{
    return 1 - (1 - share_lost(c, PH_LOSS_HOLDS)) *
                   (1 - share_lost(c, PH_LOSS_STARTS));
}

/* The share of jobs of which nothing runs for so long: none of their tasks has
 * started, or the last one has not when the others have ended, which began
 * after `lost` failing starts at the latest. */
static double
share_idle(double failing)
{
    double last = 0;
    for (unsigned lost = 0; lost < ORDERS_MAX; lost++) {
        double begun = power(1 - power(failing, lost + 1), JOB_TASKS - 1) -
                       power(1 - power(failing, lost), JOB_TASKS - 1);
        last += begun * power(failing, lost + ORDERS_IN_LAST_WAIT);
    }
    return power(failing, ORDERS_IN_WAIT * JOB_TASKS) + JOB_TASKS * last;
}

/* Returns the number that chance explains. */
static unsigned
count_allowed(double expected)
{
    return (unsigned)(expected + DEVIATIONS * sqrt(expected));
}

/* What independent losses explain.  A lease expires if an answered order is
 * followed by lost ones only. */
static PhLossFigures
figures_allowed(const PhLossCase *c, const PhLossFigures *f)
{
    double lost = share_lost(c, PH_LOSS_HOLDS);
    double failing = share_failing(c);
    double jobs = (double)(c->last - c->first + 1) *
                  (SUBMIT_UNTIL_MS - LOST_FROM_MS) / JOB_INTERVAL_MS;
    return (PhLossFigures){
        .lapses = count_allowed(f->orders * (1 - lost) *
                                power(lost, ORDERS_IN_LEASE)),
        .lasting =
            count_allowed(f->lapsed_lasting * power(failing, ORDERS_IN_GAP)),
        .idle = count_allowed(jobs * share_idle(failing))};
}

static bool
case_holds(const PhLossCase *c, bool verbose)
{
    PhLossFigures f = {0};
    for (uint64_t seed = c->first; seed <= c->last; seed++) {
        seed_run(c, seed, verbose, &f);
    }
    PhLossFigures allowed = figures_allowed(c, &f);
    bool holds = f.false_lapses == 0 && f.duplicates == 0 &&
                 f.false_ends == 0 && f.lapses <= allowed.lapses &&
                 f.lasting <= allowed.lasting && f.idle <= allowed.idle;
    print_message("#   %s: %u leases expired (%u may), %u of workers that "
                  "answered; of %u lasting tasks %u (%u may), and %u jobs "
                  "(%u may) waited beside room; %u false ends, %u duplicate "
                  "starts\n",
                  holds ? "holds" : "fails", f.lapses, allowed.lapses,
                  f.false_lapses, f.lapsed_lasting, f.lasting, allowed.lasting,
                  f.idle, allowed.idle, f.false_ends, f.duplicates);
    return holds;
}

bool
PhLossCase_HoldAll(const PhLossCase *cases, size_t count)
{
    bool hold = true;
    for (size_t i = 0; i < count; i++) {
        print_message("# case %s\n", cases[i].name);
        hold &= case_holds(&cases[i], false);
    }
    return hold;
}

int
PhLossCase_Replay(const PhLossCase *cases, char **argv)
{
    PhLossCase c = cases[strtoul(argv[1], NULL, 10)];
    c.first = strtoull(argv[2], NULL, 10);
    c.last = strtoull(argv[3], NULL, 10);
    return case_holds(&c, true) ? 0 : 1;
}
