/* Timing of ownership and leases; docs/LEASES.md describes the protocol. */
#ifndef PERIDOTHILL_DECIDE_TASKS_LEASE_H
#define PERIDOTHILL_DECIDE_TASKS_LEASE_H

#include "peridothill/common/time.h"

enum {
    PH_LEASE_MS = 30000,
    PH_RENEW_MS = 10000,
    PH_OWNER_HEARTBEAT_MS = 2000, /* interval of the owner's heartbeats */
    PH_OWNER_VALID_MS = 6000,     /* ownership after a heartbeat was sent */
    PH_REGISTER_MS = 600000,      /* interval of renewer registrations */
    PH_REGISTRATION_VALID_MS = 7200000, /* validity of a registration */
    PH_SNAPSHOT_MS = 900000,
    PH_START_VALID_MS = 3000,
    PH_WORKER_TIMEOUT_MS = 2000,
    PH_SUSPECT_MS = 8000, /* from suspicion to RETIRE */
    PH_STOP_RETRY_MS = 2000,
    PH_POLL_MS = 500, /* interval of log reads */
    /* Assumed bound on the relative drift of two machines' clocks. */
    PH_CLOCK_RATE_MARGIN_PPM = 1000,
    PH_CLOCK_MARGIN_MS = 200,
    /* A worker has stopped its tasks this long after their lease expired. */
    PH_WORKER_STOP_MARGIN_MS = 2000,
    /* Maximum age of a worker clock reading. */
    PH_WORKER_CLOCK_MS = 60000,
};

/* Timing that the configuration or a test may override, in nanoseconds. */
typedef struct PhLeaseTimes {
    PhTime lease;
    PhTime renew;
    PhTime registration_interval;
    PhTime registration_validity;
    PhTime snapshot;
} PhLeaseTimes;

PhLeaseTimes PhLeaseTimes_Default(void);
/* Time to wait on the local clock until `duration` has passed on any other
 * clock within the drift margins. */
PhTime PhLease_AddClockMargin(PhTime duration);

#endif
