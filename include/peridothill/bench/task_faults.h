/* Randomised fault injection on a simulated data centre, for tests and
 * benchmarks. */
#ifndef PERIDOTHILL_BENCH_TASK_FAULTS_H
#define PERIDOTHILL_BENCH_TASK_FAULTS_H

#include "peridothill/bench/task_sim.h"

/* Result of a run, taken after all faults are cleared and the data centre has
 * had time to recover. */
typedef struct PhTaskFaultsResult {
    uint64_t events;
    uint64_t faults;
    uint64_t lost;       /* accepted jobs missing from the state */
    uint64_t unfinished; /* tasks of accepted jobs that are not done */
    uint64_t standing;   /* standing tasks that are running */
    uint32_t owners_max;
    PhTaskSimCounts counts;
} PhTaskFaultsResult;

enum {
    PH_FAULTS_STANDING_TASKS =
        6, /* standing tasks that must run after recovery */
};

/* Injects random faults every few seconds for `duration`, then clears them all
 * and lets the data centre recover. */
PhTaskFaultsResult PhTaskFaults_Run(uint64_t seed, PhTime duration);

#endif
