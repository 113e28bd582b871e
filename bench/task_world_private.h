/* What the files of the task world share. */
#ifndef PERIDOTHILL_BENCH_TASK_WORLD_PRIVATE_H
#define PERIDOTHILL_BENCH_TASK_WORLD_PRIVATE_H

#include "peridothill/bench/task_world.h"
#include "peridothill/common/random.h"

#define WORLD_STREAM PhStr_LITERAL("tasks-dc")

enum {
    READ_RECORDS_MAX = 64,
    LOG_TIMEOUT_MS = 1500,
    LIST_EVERY_MS = 1000,
    RATE_SPREAD_PPM = 400,
    TOKEN_TICK = 1,
};

/* An instance; `generation` counts its processes. */
typedef struct PhWorldInstance {
    PhJobEngine *engine; /* NULL while dead */
    uint32_t generation;
    double rate;
    uint64_t append_id; /* the open append, or 0 */
    uint64_t read_id;
    PhTime append_at;
    PhTime read_at;
    PhTime listed_at;
} PhWorldInstance;

typedef struct PhWorldWorker {
    PhWorkerTasks *tasks;
    PhStr id;
    PhStr rack;
    double rate;
    int64_t offset_ms;
} PhWorldWorker;

typedef enum PhWorldMailKind {
    WORLD_APPEND,
    WORLD_APPENDED,
    WORLD_READ,
    WORLD_RECORDS,
    WORLD_COMMAND,
    WORLD_ANSWER,
} PhWorldMailKind;

/* A message between endpoints. */
typedef struct PhWorldMail {
    PhWorldMailKind kind;
    uint32_t generation; /* of the instance that asked */
    uint64_t id;
    PhJobEntry *entry; /* of APPEND; the world's */
    uint64_t from;     /* of READ */
    PhStatus status;
    uint64_t next;
    uint64_t first;
    bool at_end;
    GArray *records; /* PhPlacedEntry, of RECORDS */
    PhWorkerCommand command;
    PhWorkerAnswer answer;
} PhWorldMail;

struct PhTaskWorld {
    PhTaskWorldOptions options;
    PhTaskWorldCounts counts;
    PhRandom *random;
    PhFakeNet *net;
    PhFakeLog *log;
    PhWorldInstance instances[PH_WORLD_INSTANCES_MAX];
    PhWorldWorker *workers;
    GPtrArray *entries;   /* PhJobEntry, all that were sent */
    GHashTable *holding;  /* job and index to PhWorldHeld */
    GHashTable *begun;    /* PhRun to itself */
    GHashTable *keys;     /* accepted key to itself */
    GHashTable *finished; /* key of a job that was seen to be finished */
    GHashTable *tokens;   /* token of a submit to its key */
    GHashTable *submits;  /* key to the time of its first submit */
    GArray *start_times;  /* PhTime */
    uint64_t next_id;
    uint32_t run_percent; /* actual run times, of the declared ones */
};

/* Where a task runs. */
typedef struct PhWorldHeld {
    PhRun run;
    uint32_t worker;
} PhWorldHeld;

/* The endpoint of a worker, and that of the log. */
uint32_t PhTaskWorld_WorkerEndpoint(const PhTaskWorld *w, uint32_t worker);

/* The endpoint of the log. */
uint32_t PhTaskWorld_LogEndpoint(const PhTaskWorld *w);

/* What the clock of an instance shows. */
PhTime PhTaskWorld_InstanceClock(const PhTaskWorld *w,
                                 const PhWorldInstance *in);

/* What the clock of a worker shows. */
int64_t PhTaskWorld_WorkerClock(const PhTaskWorld *w,
                                const PhWorldWorker *worker);

/* Makes a mail and sends it. */
void PhTaskWorld_MailSend(PhTaskWorld *w, uint32_t from, uint32_t to,
                          const PhWorldMail *mail);

/* The size of a worker. */
PhJobSize PhTaskWorld_WorkerSize(const PhTaskWorld *w, uint32_t worker);

/* Measures and releases the body of a message. */
uint64_t PhTaskWorld_BodyBytes(const PhTaskWorld *w, PhStr body);

/* Gives an event to an engine and does what it wants. */
void PhTaskWorld_EngineGive(PhTaskWorld *w, uint32_t instance,
                            const PhJobEvent *event);

/* Lets time pass for an instance. */
void PhTaskWorld_InstanceTick(PhTaskWorld *w, uint32_t instance);

/* Appends and reads for an instance. */
void PhTaskWorld_LogServe(PhTaskWorld *w, uint32_t instance,
                          const PhWorldMail *mail);

/* Gives an instance the answer to what it asked. */
void PhTaskWorld_InstanceReceive(PhTaskWorld *w, uint32_t instance,
                                 const PhWorldMail *mail);

/* Compares what a worker holds with what all others hold. */
void PhTaskWorld_WorkerCheck(PhTaskWorld *w, uint32_t worker);

/* Lets a worker carry out a command. */
void PhTaskWorld_WorkerReceive(PhTaskWorld *w, uint32_t worker,
                               uint32_t instance, const PhWorldMail *mail);

#endif
