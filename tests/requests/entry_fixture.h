/* Runs the task "entry" on one loop with a scripted worker, scripted callers
 * and stand-ins for the services that it subscribes to. */
#ifndef PERIDOTHILL_TESTS_REQUESTS_ENTRY_FIXTURE_H
#define PERIDOTHILL_TESTS_REQUESTS_ENTRY_FIXTURE_H

#include <ev.h>

#include "peridothill/services/entry.h"

enum {
    CALLERS_MAX = 16,
    ANSWER_DELAY_MS = 150,
    WATCHDOG_S = 20, /* of the paused clock */
    READ_BYTES = 4096,
    WORKER_CONNECTIONS = 8,
    /* A single instance leaves capacity for one that it does not know yet. */
    INSTANCE_CONNECTIONS = 4,
};

/* What the worker does after it executed a request other than a GET. */
typedef enum PhWorkerAction {
    WORKER_ANSWERS,
    WORKER_CLOSES,
    WORKER_RESETS,
    WORKER_TRUNCATES,
    WORKER_SENDS_MORE,
    WORKER_IS_SILENT,
    WORKER_ANSWERS_LATE,
    WORKER_SENDS_TWO_LENGTHS,
    WORKER_SENDS_CHUNKS_CUT,
    WORKER_CLAIMS_NOT_RUN,
} PhWorkerAction;

/* The reply of the second replica to every claim. */
typedef enum PhOtherReplica {
    OTHER_REPLICA_UNKNOWN, /* no membership known, so no second replica */
    OTHER_REPLICA_GRANTS,
    OTHER_REPLICA_KNOWS_KEY,
    OTHER_REPLICA_IS_SILENT,
} PhOtherReplica;

/* A connection of the worker or of a caller. */
typedef struct PhPeer {
    int fd;
    PhBuf in;
} PhPeer;

typedef struct PhEntryFixture {
    struct ev_loop *loop;
    PhClock *clock;
    PhCounters *counters;
    PhKernel *kernel;
    uint16_t port; /* port of the entry */
    PhWorkerAction action;
    bool configured;
    bool listed;
    PhTask *worker;
    int worker_fd;
    uint16_t worker_port;
    GHashTable *peers; /* PhPeer of the worker, by file descriptor */
    GQueue delayed;    /* file descriptors to answer after ANSWER_DELAY_MS */
    unsigned executed; /* requests other than GET */
    unsigned callers;
    unsigned ended;
    bool over; /* every caller is served, or the entry has ended */
    PhPeer caller[CALLERS_MAX];
    const char *request;
    bool stop_entry;
    unsigned connection_limit; /* of the entry; 0 selects its default */
    unsigned idle_timeout_s;   /* of the entry; 0 selects 1 s */
    bool callers_stay; /* callers keep connections open once answered */
    PhOtherReplica other_replica;
} PhEntryFixture;

/* Starts all tasks and runs the loop until every caller is served. The
 * responses are left in `caller[].in`; free them with PhEntryFixture_Clear().
 */
void PhEntryFixture_Run(PhEntryFixture *fixture);
void PhEntryFixture_Clear(PhEntryFixture *fixture);

#endif
