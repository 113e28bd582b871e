/* State of the requests soak run, shared by its source files. */
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
    SOAK_REQUESTS_DRIVER = 0, /* endpoint of plan, callers, workers */
};

/* Timer kinds; the kind of a token is its remainder by SOAK_REQUESTS_KINDS. */
enum {
    SOAK_REQUESTS_WAKE,
    SOAK_REQUESTS_VIEW,
    SOAK_REQUESTS_REPLY,
    SOAK_REQUESTS_EXECUTE,
    SOAK_REQUESTS_ARRIVE,
    SOAK_REQUESTS_PLAN,
    SOAK_REQUESTS_KINDS,
};

/* Ground truth of a request, independent of the instances' view. */
typedef struct PhSoakRequest {
    uint64_t id;
    uint32_t node;
    bool idempotent;
    bool not_run; /* a refusal said "not run" */
    PhTime arrived;
    uint32_t executions;
    char *key; /* or NULL */
} PhSoakRequest;

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

/* A slot for an instance. */
typedef struct PhSoakInstance {
    PhRequests *requests; /* NULL while the slot is empty */
    char id[8];
    uint64_t generation;
    uint64_t timer;
    uint32_t listed_leaving; /* bits of leaving workers in the last list */
    GHashTable *open;        /* id to PhSoakRequest, not ended yet */
    PhTime dead_since;
} PhSoakInstance;

typedef struct PhSoakRequests {
    PhSoakRun *run;
    PhFakeNet *net;
    PhFaultPlan *plan;
    PhRandom *random;
    PhSoakInstance nodes[SOAK_REQUESTS_NODES + 1];
    PhSoakWorker workers[SOAK_REQUESTS_WORKERS];
    GPtrArray *requests;   /* PhSoakRequest by id - 1 */
    GPtrArray *attempts;   /* all PhSoakAttempt */
    GHashTable *by_number; /* attempt key to its index in `attempts` */
    GHashTable *key_runs;  /* key to number of executions */
    double rates[SOAK_REQUESTS_SERVICES]; /* load factor by service */
    double lost_answers;
    bool store_down;
    uint64_t generation;
} PhSoakRequests;

/* Starts an instance in an empty slot. */
void PhSoakRequests_Start(PhSoakRequests *s, uint32_t node);
/* Kills an instance; its open requests are lost to their callers. */
void PhSoakRequests_Kill(PhSoakRequests *s, uint32_t node);
/* Passes an event to an instance and carries out its actions. */
void PhSoakRequests_HandleEvent(PhSoakRequests *s, uint32_t node,
                                const PhRequestsEvent *event);
/* Begins or ends a fault. */
void PhSoakRequests_SetFault(PhSoakRequests *s, const PhFaultChange *change);
/* Sends an attempt to a worker and draws its outcome. */
void PhSoakWorkers_Send(PhSoakRequests *s, uint32_t node, const PhSend *send);
void PhSoakWorkers_Cancel(PhSoakRequests *s, uint32_t node, uint64_t attempt);
/* Executes the attempt with this number on its worker. */
void PhSoakWorkers_Execute(PhSoakRequests *s, uint64_t number);
/* Check what an instance tells its callers. */
void PhSoakChecks_Answer(PhSoakRequests *s, uint32_t node, uint64_t request);
void PhSoakChecks_Refuse(PhSoakRequests *s, uint32_t node,
                         const PhRefuse *refuse);
void PhSoakChecks_Drained(PhSoakRequests *s, uint32_t node);
void PhSoakChecks_Settled(PhSoakRequests *s);

#endif
