/* Times of ownership and leases; docs/LEASES.md explains them. */
#ifndef PERIDOTHILL_DECIDE_TASKS_LEASE_H
#define PERIDOTHILL_DECIDE_TASKS_LEASE_H

#include "peridothill/common/time.h"

enum {
    PH_LEASE_MS = 30000,
    PH_RENEW_MS = 10000,
    PH_OWNER_HOLD_MS = 2000,
    PH_OWNER_VALID_MS = 6000,
    PH_KEEP_MS = 600000,
    PH_RENEW_RIGHT_MS = 7200000,
    PH_SNAPSHOT_MS = 900000,
    PH_START_VALID_MS = 3000,
    PH_WORKER_TIMEOUT_MS = 2000,
    PH_SUSPECT_MS = 8000,
    PH_STOP_RETRY_MS = 2000,
    PH_POLL_MS = 500,
    /* Clocks of two machines run at rates that differ by less than this. */
    PH_CLOCK_RATE_MARGIN_PPM = 1000,
    PH_CLOCK_MARGIN_MS = 200,
    /* A worker's task is gone this long after its lease has ended. */
    PH_WORKER_STOP_MARGIN_MS = 2000,
    /* A reading of a worker's clock is used no longer than this. */
    PH_WORKER_CLOCK_MS = 60000,
};

/* Times that a configuration or a test may choose, in nanoseconds. */
typedef struct PhLeaseTimes {
    PhTime lease;
    PhTime renew;
    PhTime keep;
    PhTime renew_right;
    PhTime snapshot;
} PhLeaseTimes;

PhLeaseTimes PhLeaseTimes_Default(void);
/* How long another clock must be given for `duration` to have passed on any
 * clock within the margins. */
PhTime PhLease_Stretch(PhTime duration);

#endif
