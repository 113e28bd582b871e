/* Random faults on a data centre of tasks, for tests and benches. */
#ifndef PERIDOTHILL_BENCH_TASK_FAULTS_H
#define PERIDOTHILL_BENCH_TASK_FAULTS_H

#include "peridothill/bench/task_world.h"

/* What a randomised run gave, after healing and time to recover. */
typedef struct PhTaskFaultsResult {
    uint64_t events;
    uint64_t faults;
    uint64_t lost;       /* accepted jobs that are unknown */
    uint64_t unfinished; /* tasks of accepted jobs that are not done */
    uint64_t standing;   /* standing tasks that run */
    uint32_t owners_most;
    PhTaskWorldCounts counts;
} PhTaskFaultsResult;

enum {
    PH_FAULTS_STANDING = 6, /* standing tasks that have to run in the end */
};

/* Brings about random faults every few seconds for `duration`, then heals
 * everything and lets it recover. */
PhTaskFaultsResult PhTaskFaults_Run(uint64_t seed, PhTime duration);

#endif
