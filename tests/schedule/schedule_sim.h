/* Simulation of a fleet of workers, a log and owners, on simulated time.
 * Executes the scheduler's orders with delays and faults, and checks the
 * scheduler's guarantees at the workers. */
#ifndef PERIDOTHILL_TESTS_SCHEDULE_SIM_H
#define PERIDOTHILL_TESTS_SCHEDULE_SIM_H

#include "peridothill/common/random.h"
#include "peridothill/decide/schedule/scheduler.h"

/* Bit mask of faults. */
enum {
    FAULT_REPLIES_LOST = 1, /* one reply in ten is lost */
    FAULT_ORDERS_LATE =
        2, /* one order in twenty is 2 to 6 s late and gets no reply */
    FAULT_REFUSALS = 4,       /* one start in ten is refused */
    FAULT_FAILURES = 8,       /* one run in ten fails */
    FAULT_RESTARTS = 16,      /* workers restart under their id */
    FAULT_UNREACHABLE = 32,   /* workers are unreachable for 3 s */
    FAULT_TAKEOVERS = 64,     /* another owner takes over */
    FAULT_STORE_OUTAGE = 128, /* no append for 3 s */
    FAULT_CORDONS = 256 /* a data centre with half of the workers is cordoned
                         */
};

typedef struct PhSchedSimOptions {
    uint64_t seed;
    unsigned faults;
    unsigned workers;
    unsigned jobs;
    bool gang;         /* the tasks of a step form a gang */
    unsigned rounds;   /* repetitions of each job, 0 for none */
    bool long_running; /* jobs have long-running tasks and get cancelled */
} PhSchedSimOptions;

typedef struct PhSchedSim PhSchedSim;

PhSchedSim *PhSchedSim_Create(const PhSchedSimOptions *options);
void PhSchedSim_Destroy(PhSchedSim *sim);
/* Runs until all jobs are finished.  Returns false if that takes longer than
 * `limit`. */
bool PhSchedSim_Run(PhSchedSim *sim, PhTime limit);
unsigned PhSchedSim_Starts(const PhSchedSim *sim);
unsigned PhSchedSim_Takeovers(const PhSchedSim *sim);

#endif
