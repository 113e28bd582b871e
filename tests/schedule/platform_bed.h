/* Fixture of the platform's stand-ins and some instances on one event loop,
 * with clients' calls over sockets. */
#ifndef PERIDOTHILL_TESTS_SCHEDULE_PLATFORM_BED_H
#define PERIDOTHILL_TESTS_SCHEDULE_PLATFORM_BED_H

#include "peridothill/codec/settings.h"
#include "peridothill/kernel/kernel.h"
#include "peridothill/standin/platform.h"

enum {
    PH_BED_INSTANCES_MAX = 2,
    PH_BED_TEXT_BYTES = 4096, /* of a response */
};

/* Instance 0 has the largest CPU share, so it becomes the owner. */
typedef struct PhBedInstance {
    PhKernel *kernel;
    PhCounters *counters;
    PhSettings settings;
    uint16_t port; /* of the client listener */
} PhBedInstance;

typedef struct PhPlatformBed {
    struct ev_loop *loop;
    PhClock *clock;
    PhCounters *counters; /* of the stand-ins */
    PhStandinStoreState *store;
    PhKernel *platform;
    PhBedInstance instances[PH_BED_INSTANCES_MAX];
    size_t instance_count;
} PhPlatformBed;

/* `links`: whether the instances have links to each other. */
void PhPlatformBed_Open(PhPlatformBed *bed, size_t instances, bool links);
void PhPlatformBed_Close(PhPlatformBed *bed);
/* Destroys an instance without a shutdown. */
void PhPlatformBed_Kill(PhPlatformBed *bed, size_t instance);
/* Runs the event loop for 5 ms. */
void PhPlatformBed_Run(PhPlatformBed *bed);
/* Calls an instance and returns the status, 0 without a response.  `text`
 * receives the response. */
int PhPlatformBed_Call(PhPlatformBed *bed, size_t instance, const char *method,
                       const char *job, const char *body, char *text);
/* Repeats a call until the response has `status` and contains `want`.  Returns
 * false after too many attempts. */
bool PhPlatformBed_CallUntil(PhPlatformBed *bed, size_t instance,
                             const char *method, const char *job,
                             const char *body, int status, const char *want);

#endif
