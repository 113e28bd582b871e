/* The randomised run of requests, shared by its files. */
#ifndef PERIDOTHILL_BENCH_SOAK_REQUESTS_H
#define PERIDOTHILL_BENCH_SOAK_REQUESTS_H

#include <glib.h>

#include "peridothill/bench/soak.h"
#include "peridothill/common/random.h"
#include "peridothill/decide/requests/requests.h"
#include "peridothill/fakes/fake_net.h"
#include "peridothill/fakes/fake_worker.h"

enum {
    SOAK_REQUESTS_NODES = 5, /* endpoints 1 to SOAK_REQUESTS_NODES */
    SOAK_REQUESTS_WORKERS = 12,
    SOAK_REQUESTS_CENTRES = 3,
    SOAK_REQUESTS_SERVICES = 3,
    SOAK_REQUESTS_CONDUCTOR = 0, /* endpoint of plan, callers and workers */
};

/* Kinds of timers, in the low bits of a token. */
enum {
    SOAK_REQUESTS_WAKE,
    SOAK_REQUESTS_VIEW,
    SOAK_REQUESTS_REPLY,
    SOAK_REQUESTS_EXECUTE,
    SOAK_REQUESTS_ARRIVE,
    SOAK_REQUESTS_PLAN,
    SOAK_REQUESTS_KINDS,
};

/* What is true of a request, whatever the instances think. */
typedef struct PhSoakRequest {
    uint64_t id;
    uint32_t node;
    bool idempotent;
    bool not_run; /* a refusal said so */
    PhTime arrived;
    uint32_t executions;
    char *key; /* or NULL */
} PhSoakRequest;

/* An attempt at a worker. */
typedef struct PhSoakAttempt {
    PhSoakRequest *request;
    PhUpstreamReply reply;
    uint64_t generation; /* of the instance that sent it */
    bool replied;
} PhSoakAttempt;

/* A worker and its faults. */
typedef struct PhSoakWorker {
    PhFakeWorker *slots;
    bool fails;
    bool hangs;
    bool leaving;
} PhSoakWorker;

/* An instance, or the empty place of one. */
typedef struct PhSoakEntry {
    PhRequests *requests; /* NULL while the place is empty */
    char id[8];
    uint64_t generation;
    uint64_t wakes;
    uint32_t told_leaving; /* bits of the workers in the last list it got */
    GHashTable *open;      /* id to PhSoakRequest, without an end */
    PhTime dead_since;
} PhSoakEntry;

typedef struct PhSoakRequests {
    PhSoakRun *run;
    PhFakeNet *net;
    PhFaultPlan *plan;
    PhRandom *random;
    PhSoakEntry nodes[SOAK_REQUESTS_NODES + 1];
    PhSoakWorker workers[SOAK_REQUESTS_WORKERS];
    GPtrArray *requests;   /* PhSoakRequest by id - 1 */
    GPtrArray *attempts;   /* PhSoakAttempt, all */
    GHashTable *by_number; /* instance and attempt to PhSoakAttempt */
    GHashTable *key_runs;  /* key to times it ran */
    double rates[SOAK_REQUESTS_SERVICES]; /* factor by service */
    double lost_answers;
    bool store_down;
    uint64_t generation;
} PhSoakRequests;

/* Starts an instance in an empty place. */
void PhSoakRequests_Start(PhSoakRequests *s, uint32_t node);
/* Ends an instance at once; what it had open is lost to its callers. */
void PhSoakRequests_End(PhSoakRequests *s, uint32_t node);
/* Gives an event to an instance and carries out its actions. */
void PhSoakRequests_Give(PhSoakRequests *s, uint32_t node,
                         const PhRequestsEvent *event);
/* Begins or ends a fault. */
void PhSoakRequests_SetFault(PhSoakRequests *s, const PhFaultChange *change);
/* Sends an attempt to a worker and draws how it ends. */
void PhSoakWorkers_Send(PhSoakRequests *s, uint32_t node, const PhSend *send);
void PhSoakWorkers_Cancel(PhSoakRequests *s, uint32_t node, uint64_t attempt);
/* Lets a worker carry out the attempt with a number. */
void PhSoakWorkers_Execute(PhSoakRequests *s, uint64_t number);
/* Checks what an instance tells a caller. */
void PhSoakChecks_Answer(PhSoakRequests *s, uint32_t node, uint64_t request);
void PhSoakChecks_Refuse(PhSoakRequests *s, uint32_t node,
                         const PhRefuse *refuse);
void PhSoakChecks_Drained(PhSoakRequests *s, uint32_t node);
void PhSoakChecks_Settled(PhSoakRequests *s);

#endif
