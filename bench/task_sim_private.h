/* Shared by the source files of the data centre simulation. */
#ifndef PERIDOTHILL_BENCH_TASK_SIM_PRIVATE_H
#define PERIDOTHILL_BENCH_TASK_SIM_PRIVATE_H

#include "peridothill/bench/task_sim.h"
#include "peridothill/common/random.h"

#define SIM_STREAM PhStr_LITERAL("tasks-dc")

enum {
    READ_RECORDS_MAX = 64,
    LOG_TIMEOUT_MS = 1500,
    LIST_EVERY_MS = 1000,
    RATE_SPREAD_PPM = 400,
    TOKEN_TICK = 1,
};

/* `generation` counts the processes of the instance. */
typedef struct PhSimInstance {
    PhJobEngine *engine; /* NULL while not running */
    uint32_t generation;
    double rate;
    uint64_t append_id; /* pending append, or 0 */
    uint64_t read_id;
    PhTime append_at;
    PhTime read_at;
    PhTime listed_at;
} PhSimInstance;

typedef struct PhSimWorker {
    PhWorkerTasks *tasks;
    PhStr id;
    PhStr rack;
    double rate;
    int64_t offset_ms;
} PhSimWorker;

typedef enum PhSimMessageKind {
    SIM_APPEND,
    SIM_APPENDED,
    SIM_READ,
    SIM_RECORDS,
    SIM_COMMAND,
    SIM_ANSWER,
} PhSimMessageKind;

/* A message between endpoints. */
typedef struct PhSimMessage {
    PhSimMessageKind kind;
    uint32_t generation; /* of the requesting instance */
    uint64_t id;
    PhJobEntry *entry; /* of APPEND; owned by the simulation */
    uint64_t from;     /* of READ */
    PhStatus status;
    uint64_t next;
    uint64_t first;
    bool at_end;
    GArray *records; /* PhEntryAtOffset, of RECORDS */
    PhWorkerCommand command;
    PhWorkerAnswer answer;
} PhSimMessage;

struct PhTaskSim {
    PhTaskSimOptions options;
    PhTaskSimCounts counts;
    PhRandom *random;
    PhFakeNet *net;
    PhFakeLog *log;
    PhSimInstance instances[PH_SIM_INSTANCES_MAX];
    PhSimWorker *workers;
    GPtrArray *entries;    /* all PhJobEntry sent to the log */
    GHashTable *held_runs; /* job and index to PhSimHeldRun */
    GHashTable *started;   /* set of PhRun */
    GHashTable *keys;      /* set of accepted keys */
    GHashTable *finished;  /* set of keys of jobs seen finished */
    GHashTable *tokens;    /* submit token to key */
    GHashTable *submits;   /* key to time of its first submit */
    GArray *start_times;   /* PhTime */
    uint64_t next_id;
    uint32_t run_percent; /* of the declared run time; 0 means 100 */
};

/* Where a task runs. */
typedef struct PhSimHeldRun {
    PhRun run;
    uint32_t worker;
} PhSimHeldRun;

uint32_t PhTaskSim_WorkerEndpoint(const PhTaskSim *w, uint32_t worker);

uint32_t PhTaskSim_LogEndpoint(const PhTaskSim *w);

/* Reads the clock of an instance, which runs at its own rate. */
PhTime PhTaskSim_InstanceClock(const PhTaskSim *w, const PhSimInstance *in);

/* Reads the clock of a worker in milliseconds; it has its own rate and
 * offset. */
int64_t PhTaskSim_WorkerClock(const PhTaskSim *w, const PhSimWorker *worker);

/* Sends a copy of the message; the network owns its parts from then on. */
void PhTaskSim_Send(PhTaskSim *w, uint32_t from, uint32_t to,
                    const PhSimMessage *message);

PhJobSize PhTaskSim_WorkerSize(const PhTaskSim *w, uint32_t worker);

/* Returns the length of an encoded body, 0 if not measured, and releases
 * it. */
uint64_t PhTaskSim_BodyBytes(const PhTaskSim *w, PhStr body);

/* Passes an event to an engine and carries out its actions. */
void PhTaskSim_HandleEvent(PhTaskSim *w, uint32_t instance,
                           const PhJobEvent *event);

/* Handles the periodic timer of an instance. */
void PhTaskSim_InstanceTick(PhTaskSim *w, uint32_t instance);

/* Serves an append or a read for an instance. */
void PhTaskSim_LogServe(PhTaskSim *w, uint32_t instance,
                        const PhSimMessage *message);

/* Delivers a reply to an instance. */
void PhTaskSim_InstanceReceive(PhTaskSim *w, uint32_t instance,
                               const PhSimMessage *message);

/* Records the runs of a worker and checks them against those of all others. */
void PhTaskSim_WorkerCheck(PhTaskSim *w, uint32_t worker);

/* Executes a command on a worker. */
void PhTaskSim_WorkerReceive(PhTaskSim *w, uint32_t worker, uint32_t instance,
                             const PhSimMessage *message);

#endif
