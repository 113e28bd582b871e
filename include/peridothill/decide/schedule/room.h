/* Estimate of the room that the workers of one service have for new jobs, and
 * the decisions on it.  All amounts are declared CPU in milli-cores, all work
 * is CPU times time (milli-cores x ns). */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_ROOM_H
#define PERIDOTHILL_DECIDE_SCHEDULE_ROOM_H

#include <stdbool.h>
#include <stdint.h>

#include "peridothill/common/time.h"

/* What the workers offer and what the accepted jobs take. */
typedef struct PhRoomSample {
    double capacity;
    double lasting; /* long-running tasks, placed, waiting or accepted */
    double urgent;  /* tasks of urgent jobs that end, placed or waiting with
                       value left */
} PhRoomSample;

typedef struct PhRoom {
    PhRoomSample sample;
    PhTime sampled_at; /* 0: there is no sample */
    double demand;     /* decaying maximum of the urgent tasks */
    double mean_need;  /* of an accepted long-running job; 0 before the first
                          one */
    bool closed;       /* long-running jobs are refused */
    double wait_ratio; /* actual to expected wait of accepted jobs */
} PhRoom;

void PhRoom_Init(PhRoom *room);
/* The sample is out of date; what was learned is kept. */
void PhRoom_Reset(PhRoom *room);
/* Takes a sample; `reserve_percent` of the capacity at most is left for urgent
 * jobs. */
void PhRoom_Sample(PhRoom *room, const PhRoomSample *sample,
                   uint64_t reserve_percent, PhTime now);
/* What long-running jobs have to leave free. */
double PhRoom_Reserve(const PhRoom *room, uint64_t reserve_percent);
/* Decides on a long-running job.  While the room is closed only a queue that
 * holds less than its share gets one more; a job that needs more than all that
 * is left is always refused. */
bool PhRoom_AdmitLasting(PhRoom *room, double need, bool below_share,
                         uint64_t reserve_percent);
/* Expected wait of a job behind `work`. */
PhTime PhRoom_WaitFor(const PhRoom *room, double work);
/* Time by which a job that ends would miss `limit`, its latest end with value,
 * after an expected wait and the rest of its critical path; 0: it would not,
 * it does not wait, or it has no limit. */
PhTime PhRoom_LateBy(const PhRoom *room, PhTime wait, PhTime rest,
                     PhTime limit);
/* An accepted job with an expected wait has started. */
void PhRoom_LearnWait(PhRoom *room, PhTime expected, PhTime actual);
/* Spreads the return of refused clients over one second, by the job's id. */
PhTime PhRoom_RetryAfter(PhTime wait, uint32_t id_hash);

#endif
