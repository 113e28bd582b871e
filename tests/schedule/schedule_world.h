/* A fleet of workers, a log and owners in memory, on simulated time: plays
 * the scheduler's orders with delays and faults and checks its promises from
 * what the workers see. */
#ifndef PERIDOTHILL_TESTS_SCHEDULE_WORLD_H
#define PERIDOTHILL_TESTS_SCHEDULE_WORLD_H

#include "peridothill/common/random.h"
#include "peridothill/decide/schedule/scheduler.h"

/* Faults, as bits. */
enum {
    FAULT_LOST_ANSWERS = 1,  /* one order in ten is done and not answered */
    FAULT_LATE_ORDERS = 2,   /* one in twenty is done 2 to 6 s later */
    FAULT_REFUSALS = 4,      /* one start in ten is refused */
    FAULT_FAILURES = 8,      /* one run in ten fails */
    FAULT_REBIRTHS = 16,     /* workers start anew under their id */
    FAULT_CUTS = 32,         /* workers do not answer for seconds */
    FAULT_TAKEOVERS = 64,    /* another owner takes over */
    FAULT_STORE_OUTAGE = 128 /* records are not durable for seconds */
};

typedef struct PhWorldOptions {
    uint64_t seed;
    unsigned faults;
    unsigned workers;
    unsigned jobs;
    bool gang;         /* the tasks of a step work only together */
    unsigned rounds;   /* repetitions of each job, 0 for once */
    bool long_running; /* each job has tasks that last, and is cancelled */
} PhWorldOptions;

typedef struct PhWorld PhWorld;

PhWorld *PhWorld_Create(const PhWorldOptions *options);
void PhWorld_Destroy(PhWorld *world);
/* Plays until every job is over or the time is up; false in that case. */
bool PhWorld_Run(PhWorld *world, PhTime limit);
/* Runs that were started, and takeovers. */
unsigned PhWorld_Starts(const PhWorld *world);
unsigned PhWorld_Takeovers(const PhWorld *world);

#endif
