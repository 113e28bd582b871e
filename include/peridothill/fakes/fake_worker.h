/* A fake worker: request slots with a service-time distribution, and tasks
 * under leases that use processors, memory and accelerators. */
#ifndef PERIDOTHILL_FAKES_FAKE_WORKER_H
#define PERIDOTHILL_FAKES_FAKE_WORKER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "peridothill/common/status.h"
#include "peridothill/common/time.h"

typedef struct PhFakeSize {
    int64_t milli_processors;
    int64_t memory_mb;
    int64_t accelerators;
} PhFakeSize;

/* May be changed at any time, apart from the slots. */
typedef struct PhFakeWorkerOptions {
    uint64_t seed;
    uint32_t slots;
    PhTime service_mean;
    double service_fixed; /* share of the service time that does not vary */
    double interference;  /* factor on service times; 0 means 1 */
    PhFakeSize capacity;
    PhTime usage_lag;
    bool fails_starts;
} PhFakeWorkerOptions;

/* A task as started and as it stands.  `noise` is what it adds to the
 * slowdown of requests; PH_TIME_NEVER of work is a task without end. */
typedef struct PhFakeTask {
    uint64_t id;
    uint64_t incarnation;
    PhFakeSize declared;
    PhFakeSize actual;
    PhTime work;
    PhTime progress;   /* part of the work that is done */
    PhTime checkpoint; /* progress kept by the last checkpoint */
    PhTime lease_until;
    double noise;
    double speed; /* 0 means 1; less while throttled */
} PhFakeTask;

typedef struct PhFakeTaskEnd {
    PhFakeTask task;
    bool lease_expired; /* the lease ran out before the work was done */
    PhTime at;
} PhFakeTaskEnd;

/* What a worker can be told about the incarnation of a task. */
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
        PhTime lease_until; /* of a renewal; it never gets shorter */
        double speed;       /* of a throttle */
    } as;
} PhFakeOrder;

typedef struct PhFakeWorker PhFakeWorker;

PhFakeWorker *PhFakeWorker_Create(const PhFakeWorkerOptions *options);
void PhFakeWorker_Destroy(PhFakeWorker *worker);
PhFakeWorkerOptions *PhFakeWorker_Options(PhFakeWorker *worker);
/* Takes a request after those that came before; tells when it ends and, when
 * not NULL, when its service begins. */
PhTime PhFakeWorker_Serve(PhFakeWorker *worker, PhTime now, PhTime *begin);
/* A start gives EXISTS when this incarnation runs already, CONFLICT when
 * another runs or one not older was seen, EXPIRED when the lease is past, IO
 * on a worker that fails starts, FULL when the declared size does not fit.
 * The others give NOT_FOUND unless this incarnation runs. */
PhStatus PhFakeWorker_Order(PhFakeWorker *worker, PhTime now,
                            const PhFakeOrder *order);
/* Moves the tasks to `now` and adds those that ended since the last call to
 * an array of PhFakeTaskEnd, in the order of their ends. */
void PhFakeWorker_Advance(PhFakeWorker *worker, PhTime now, GArray *ended);
/* The running task, or NULL. */
const PhFakeTask *PhFakeWorker_Find(const PhFakeWorker *worker, uint64_t id);
/* Sum of the declared sizes, and the actual use `usage_lag` ago. */
PhFakeSize PhFakeWorker_Committed(const PhFakeWorker *worker);
PhFakeSize PhFakeWorker_Usage(PhFakeWorker *worker, PhTime now);
/* Comes back empty: no tasks, no requests, no memory of incarnations. */
void PhFakeWorker_Restart(PhFakeWorker *worker, PhTime now);

#endif
