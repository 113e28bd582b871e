/* Simulates workers and clients of the scheduler without sockets.  Orders take
 * effect immediately, tasks end on time, and tail latency follows from a load
 * curve and the backfill tasks on the worker.  CPU time of the scheduler is
 * measured per kind of call. */
#ifndef PERIDOTHILL_BENCH_SCHEDULE_FLEET_H
#define PERIDOTHILL_BENCH_SCHEDULE_FLEET_H

#include "peridothill/common/random.h"
#include "peridothill/decide/schedule/scheduler.h"

typedef struct PhScheduleFleet PhScheduleFleet;

/* Kinds of scheduler calls that are timed separately. */
typedef enum PhScheduleCost {
    PH_SCHEDULE_COST_PLAN,
    PH_SCHEDULE_COST_RECORDS,
    PH_SCHEDULE_COST_ORDERS,
    PH_SCHEDULE_COST_HOLD_REPLIES, /* replies to hold orders */
    PH_SCHEDULE_COST_COUNT,
} PhScheduleCost;

typedef struct PhScheduleFleetOptions {
    uint64_t seed;
    unsigned workers;
    double jobs_per_s;    /* short jobs, half of them backfill */
    unsigned tasks;       /* per short job */
    double serving_share; /* fraction of CPU requested by long-running tasks */
    PhTime begin;         /* initial time */
} PhScheduleFleetOptions;

/* Totals since creation. */
typedef struct PhScheduleFleetCounts {
    uint64_t starts;
    uint64_t hold_replies;
    uint64_t ends;
    uint64_t waiting;                        /* tasks waiting now */
    int64_t cost_ns[PH_SCHEDULE_COST_COUNT]; /* CPU time */
} PhScheduleFleetCounts;

PhScheduleFleet *PhScheduleFleet_Create(const PhScheduleFleetOptions *options);
void PhScheduleFleet_Destroy(PhScheduleFleet *fleet);
/* Advances time by `span`; jobs arrive only if `traffic`. */
void PhScheduleFleet_Run(PhScheduleFleet *fleet, PhTime span, bool traffic);
PhScheduleFleetCounts PhScheduleFleet_Counts(const PhScheduleFleet *fleet);

#endif
