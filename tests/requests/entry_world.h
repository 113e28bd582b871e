/* The task "entry" on one loop with a scripted worker, scripted callers, and
 * what it subscribes to. */
#ifndef PERIDOTHILL_TESTS_REQUESTS_ENTRY_WORLD_H
#define PERIDOTHILL_TESTS_REQUESTS_ENTRY_WORLD_H

#include <ev.h>

#include "peridothill/services/entry.h"

enum {
    CALLERS_MAX = 16,
    LATE_MS = 150,
    WATCHDOG_S = 20,
    READ_BYTES = 4096,
    WORKER_CONNECTIONS = 8,
    /* A lone instance leaves room for one that it does not know yet. */
    INSTANCE_CONNECTIONS = 4,
};

/* What the worker does once it has executed a request that is no GET. */
typedef enum PhWorkerAction {
    WORKER_ANSWERS,
    WORKER_CLOSES,
    WORKER_RESETS,
    WORKER_TRUNCATES,
    WORKER_SENDS_MORE,
    WORKER_IS_SILENT,
    WORKER_IS_LATE,
    WORKER_SENDS_TWO_LENGTHS,
    WORKER_SENDS_CHUNKS_CUT,
    WORKER_CLAIMS_NOT_RUN,
} PhWorkerAction;

/* What the other home of every key answers, if there is one. */
typedef enum PhOtherReplica {
    OTHER_REPLICA_UNKNOWN, /* the members are not known */
    OTHER_REPLICA_GRANTS,
    OTHER_REPLICA_KNOWS_KEY,
    OTHER_REPLICA_IS_SILENT,
} PhOtherReplica;

/* A connection of the worker or of a caller. */
typedef struct PhPeer {
    int fd;
    PhBuf in;
} PhPeer;

/* What a test runs in. */
typedef struct PhWorld {
    struct ev_loop *loop;
    PhClock *clock;
    PhCounters *counters;
    PhKernel *kernel;
    uint16_t port; /* of the entry */
    PhWorkerAction action;
    bool configured;
    bool listed;
    PhTask *worker;
    int worker_fd;
    uint16_t worker_port;
    GHashTable *peers; /* of the worker, by descriptor */
    GQueue late;       /* descriptors to be answered later */
    unsigned executed; /* requests that are no GET */
    unsigned callers;
    unsigned ended;
    PhPeer caller[CALLERS_MAX];
    const char *request;
    bool stop_entry;
    PhOtherReplica other_replica;
} PhWorld;

/* Builds the world, runs it, and leaves what the callers got. */
void PhWorld_Run(PhWorld *world);
void PhWorld_Clear(PhWorld *world);

#endif
