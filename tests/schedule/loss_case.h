/* Runs simulations in which a share of the orders stays without an answer
 * until the end, each order independently of the others.  Judged by what the
 * workers run:
 *
 * - no lease expires whose worker has answered an order from within the length
 *   of a lease;
 * - no task runs twice.
 *
 * Of these there are no more than independent losses explain, if an owner
 * sends an order again once it has waited for its answer:
 *
 * - leases that expire;
 * - tasks that are to last and have no run for 6 s, and for 3 s more beside
 *   room;
 * - jobs that have nothing running for 3 s beside room. */
#ifndef PERIDOTHILL_TESTS_LOSS_CASE_H
#define PERIDOTHILL_TESTS_LOSS_CASE_H

#include "owners_sim.h"
#include "peridothill/decide/schedule/scheduler.h"

#define PH_LOSS_HOLDS (1U << PH_SCHED_ACTION_HOLD)
#define PH_LOSS_STARTS (1U << PH_SCHED_ACTION_START)
#define PH_LOSS_ALL                                                           \
    (PH_LOSS_HOLDS | PH_LOSS_STARTS | 1U << PH_SCHED_ACTION_STOP |            \
     1U << PH_SCHED_ACTION_PACE)

/* What orders are lost in. */
typedef enum PhLossScene {
    PH_LOSS_JOBS,    /* equal jobs, and tasks that are to last */
    PH_LOSS_CRASH,   /* the same, and all instances crash before */
    PH_LOSS_ROOMS,   /* capacity binds; backfill and serving tasks are paced */
    PH_LOSS_RELAYED, /* the same, and dispatchers send one start in two */
} PhLossScene;

typedef struct PhLossCase {
    const char *name;
    uint64_t first; /* seeds */
    uint64_t last;
    PhOwnersLosses losses; /* their beginning goes by the scene */
    PhLossScene scene;
} PhLossCase;

/* Returns whether what is found with the seeds of each case is allowed.
 * Prints it. */
bool PhLossCase_HoldAll(const PhLossCase *cases, size_t count);
/* Runs one case with other seeds, as the arguments CASE FIRST LAST of a test
 * say, and prints the timelines of tasks that wait.  Returns the exit code. */
int PhLossCase_Replay(const PhLossCase *cases, char **argv);

#endif
