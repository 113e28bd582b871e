/* Fixture of the platform's stand-ins and some instances, each with an event
 * loop, on one paused clock, with clients' calls over sockets. */
#ifndef PERIDOTHILL_TESTS_SCHEDULE_PLATFORM_FIXTURE_H
#define PERIDOTHILL_TESTS_SCHEDULE_PLATFORM_FIXTURE_H

#include "peridothill/codec/settings.h"
#include "peridothill/kernel/kernel.h"
#include "peridothill/standin/platform.h"

enum {
    PH_FIXTURE_INSTANCES_MAX = 2, /* of most tests */
    PH_FIXTURE_CAPACITY = 5,      /* an owner, its standbys and one more */
    PH_FIXTURE_PORTS_MAX =
        3 * PH_FIXTURE_CAPACITY,  /* clients, link, readiness checks */
    PH_FIXTURE_TEXT_BYTES = 4096, /* of a response */
};

/* Instance 0 has the largest CPU share, so it becomes the owner. */
typedef struct PhFixtureInstance {
    struct ev_loop *loop;
    bool stands_still; /* its event loop does not run */
    PhKernel *kernel;
    PhCounters *counters;
    PhSettings settings;
    uint16_t port; /* of the client listener */
    uint16_t ready_port;
    uint64_t incarnation;
} PhFixtureInstance;

typedef struct PhPlatformFixture {
    struct ev_loop *loop; /* of the stand-ins */
    PhClock *clock;
    PhCounters *counters; /* of the stand-ins */
    PhStandinStoreState *store;
    bool worker_ignores_starts;
    bool worker_closes_connections; /* stays so once it is set */
    size_t record_bytes;            /* limits of the store, 0: the default */
    size_t append_bytes;
    unsigned room_reserve; /* percent */
    unsigned contact_limit_ms;
    PhStandinStoreFault first_fault; /* for the first instance only, which has
                                        a port of the store to itself */
    unsigned deadline_ms;            /* stated with each call, 0: none */
    bool dispatches; /* the owner has the other instances send its starts */
    PhKernel *platform;
    PhFixtureInstance instances[PH_FIXTURE_CAPACITY];
    size_t instance_count;
    int reserved[PH_FIXTURE_PORTS_MAX]; /* sockets bound to ports in use */
    size_t reserved_count;
} PhPlatformFixture;

/* `links`: whether the instances have links to each other. */
void PhPlatformFixture_Open(PhPlatformFixture *fixture, size_t instances,
                            bool links);
/* The same with links; the owner has the other instances send its starts. */
void PhPlatformFixture_OpenDispatching(PhPlatformFixture *fixture,
                                       size_t instances);
/* The same without links; the store takes records and appends up to these
 * sizes. */
void PhPlatformFixture_OpenLimited(PhPlatformFixture *fixture,
                                   size_t instances, size_t record_bytes,
                                   size_t append_bytes);
/* Like PhPlatformFixture_Open, with a limit for the silence of the store. */
void PhPlatformFixture_OpenWithContact(PhPlatformFixture *fixture,
                                       size_t instances, bool links,
                                       unsigned contact_limit_ms);
void PhPlatformFixture_Close(PhPlatformFixture *fixture);
/* With links, and with a reserve of room in percent. */
void PhPlatformFixture_OpenWithRoom(PhPlatformFixture *fixture,
                                    size_t instances,
                                    unsigned contact_limit_ms,
                                    unsigned room_reserve);
/* Destroys an instance without a shutdown. */
void PhPlatformFixture_Kill(PhPlatformFixture *fixture, size_t instance);
/* The same, then starts it again under its id and at its addresses. */
void PhPlatformFixture_Restart(PhPlatformFixture *fixture, size_t instance);
/* Advances the clock by PH_PAUSED_STEP_MS and runs the event loops. */
void PhPlatformFixture_Run(PhPlatformFixture *fixture);
/* Sends a call to an instance and returns its connection. */
int PhPlatformFixture_Send(PhPlatformFixture *fixture, size_t instance,
                           const char *method, const char *job,
                           const char *body);
/* Waits for the response on a connection, closes it and returns the status, 0
 * without a response.  `text` receives the response. */
int PhPlatformFixture_Receive(PhPlatformFixture *fixture, int connection,
                              char *text);
/* Status of a readiness check. */
int PhPlatformFixture_CheckReady(PhPlatformFixture *fixture, size_t instance);
/* Both of them. */
int PhPlatformFixture_Call(PhPlatformFixture *fixture, size_t instance,
                           const char *method, const char *job,
                           const char *body, char *text);
/* Repeats a call until the response has `status` and contains `want`.  Returns
 * false after too many attempts. */
bool PhPlatformFixture_CallUntil(PhPlatformFixture *fixture, size_t instance,
                                 const char *method, const char *job,
                                 const char *body, int status,
                                 const char *want);

/* Runs the loop `count` times. */
void PhPlatformFixture_RunSteps(PhPlatformFixture *fixture, int count);
/* The sum of a counter over the instances. */
uint64_t PhPlatformFixture_CounterSum(const PhPlatformFixture *fixture,
                                      PhCounter counter);

/* Submits a job to an instance `times` times and waits for its end. */
void PhPlatformFixture_RunJob(PhPlatformFixture *fixture, size_t instance,
                              const char *id, const char *job, int times);

#endif
