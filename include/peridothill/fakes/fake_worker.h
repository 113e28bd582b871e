/* Simulates a worker: request slots with a service-time distribution, and
 * leased tasks that use processors, memory and accelerators.  The caller
 * passes the time. */
#ifndef PERIDOTHILL_FAKES_FAKE_WORKER_H
#define PERIDOTHILL_FAKES_FAKE_WORKER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "peridothill/common/status.h"
#include "peridothill/common/time.h"

typedef struct PhFakeSize {
    int64_t cpu_milli;
    int64_t memory_mb;
    int64_t accelerators;
} PhFakeSize;

/* May be changed at any time, except `seed` and `slots`. */
typedef struct PhFakeWorkerOptions {
    uint64_t seed;
    uint32_t slots;
    PhTime service_mean;
    double service_fixed_share; /* constant share of service_mean, 0 to 1; the
                             rest is exponential */
    double interference;        /* factor on service times; 0 means 1 */
    PhFakeSize capacity;
    PhTime usage_lag; /* age of the usage that is reported */
    bool fails_starts;
} PhFakeWorkerOptions;

/* Parameters and state of a task.  `work` is its run time at full speed,
 * PH_TIME_NEVER for a task that does not end.  `noise` times the speed is
 * added to the factor on service times. */
typedef struct PhFakeTask {
    uint64_t id;
    uint64_t incarnation;
    PhFakeSize declared;
    PhFakeSize actual;
    PhTime work;
    PhTime progress;   /* completed part of `work` */
    PhTime checkpoint; /* progress at the last checkpoint */
    PhTime lease_until;
    double noise;
    double speed; /* 0 means 1, full speed; less while throttled */
} PhFakeTask;

typedef struct PhFakeTaskEnd {
    PhFakeTask task;
    bool lease_expired; /* before the work was done */
    PhTime at;
} PhFakeTaskEnd;

/* An order about one incarnation of a task. */
typedef struct PhFakeOrder {
    enum {
        PH_FAKE_START,
        PH_FAKE_RENEW,
        PH_FAKE_CHECKPOINT,
        PH_FAKE_THROTTLE,
        PH_FAKE_STOP,
    } kind;
    uint64_t id;
    uint64_t incarnation;
    union {
        PhFakeTask start;
        PhTime lease_until; /* PH_FAKE_RENEW; an earlier time has no effect */
        double speed;       /* PH_FAKE_THROTTLE */
    } as;
} PhFakeOrder;

typedef struct PhFakeWorker PhFakeWorker;

PhFakeWorker *PhFakeWorker_Create(const PhFakeWorkerOptions *options);
void PhFakeWorker_Destroy(PhFakeWorker *worker);
PhFakeWorkerOptions *PhFakeWorker_Options(PhFakeWorker *worker);
/* Queues a request for the first free slot and returns the end of its service.
 * `begin`, if not NULL, receives the start of the service. */
PhTime PhFakeWorker_Serve(PhFakeWorker *worker, PhTime now, PhTime *begin);
/* A start fails with EXISTS if this incarnation is running, CONFLICT if
 * another one is running or one that is not older was started before, EXPIRED
 * if the lease has expired, IO if `fails_starts` is set, and FULL if the
 * declared size exceeds the free capacity.  The other orders fail with
 * NOT_FOUND unless this incarnation is running. */
PhStatus PhFakeWorker_Order(PhFakeWorker *worker, PhTime now,
                            const PhFakeOrder *order);
/* Advances the tasks to `now` and appends those that ended since the last call
 * to `ended`, an array of PhFakeTaskEnd, in order of time. */
void PhFakeWorker_Advance(PhFakeWorker *worker, PhTime now, GArray *ended);
/* Returns NULL if the task is not running. */
const PhFakeTask *PhFakeWorker_Find(const PhFakeWorker *worker, uint64_t id);
/* Total of the declared sizes, and of the actual sizes `usage_lag` ago. */
PhFakeSize PhFakeWorker_Committed(const PhFakeWorker *worker);
PhFakeSize PhFakeWorker_Usage(PhFakeWorker *worker, PhTime now);
/* Discards all tasks, requests and known incarnations. */
void PhFakeWorker_Restart(PhFakeWorker *worker, PhTime now);

#endif
