/* Workers of the owners simulation, and the state of all tasks as seen by the
 * workers. */
#ifndef PERIDOTHILL_TESTS_OWNERS_WORKER_H
#define PERIDOTHILL_TESTS_OWNERS_WORKER_H

#include "peridothill/common/random.h"
#include "peridothill/decide/schedule/scheduler.h"

typedef struct PhSimTask {
    unsigned running;  /* current runs on all workers */
    unsigned starts;   /* so far */
    uint64_t started;  /* event number of the last start */
    uint64_t done;     /* event number of the last end `done`, 0 for none */
    bool acknowledged; /* the end `done` was acknowledged */
    PhTime listed_at;  /* the end `done` was first listed, 0 for never */
    PhTime ran_at;     /* last time that it had a run, 0 for never */
    PhTime started_at; /* the last start */
    unsigned failures; /* runs that ended `failed` */
} PhSimTask;

/* What the tasks of a job are like. */
typedef struct PhSimTaskKind {
    bool long_running;
    bool fills; /* backfill tasks */
    bool gang;
    bool saves_progress;
    bool hopeless;         /* every run fails */
    unsigned max_attempts; /* failed runs that fail the job; 0: no limit */
    PhSchedResources resources;
    PhTime run_time;            /* unless they are to last */
    PhTime estimate;            /* of that, by the client */
    PhTime tail_latency_target; /* 0: not serving tasks */
    unsigned image;             /* 0: none */
} PhSimTaskKind;

/* One step of a job.  The steps of a job are adjacent. */
typedef struct PhSimJob {
    char id[17];
    uint32_t step;
    struct PhSimJob *before; /* the step that it waits for, NULL: none */
    PhSimTaskKind kind;
    PhSimTask *tasks;
    unsigned count;
    uint32_t gang_run;   /* run of which all members were present, 0: none */
    uint32_t failed_run; /* newest run in which a task failed, 0: none */
    unsigned failed_runs;
    PhTime cancel_at;    /* 0: never */
    PhTime cancelled_at; /* 0: it has not been */
} PhSimJob;

typedef struct PhSimRun {
    PhSimJob *job;
    uint32_t index;
    uint32_t run;
    PhTime started_at;
    PhTime works_from; /* all members of its gang are present; 0: not yet */
    int64_t saved_ms;  /* work that was done before */
    PhTime ends_at;    /* 0: never */
    PhSchedEndKind ends_as;
} PhSimRun;

typedef struct PhSimTasks {
    GPtrArray *jobs; /* PhSimJob, the steps of all jobs */
    unsigned job_count;
    uint64_t events; /* number of starts and ends so far */
    unsigned duplicate_starts;
    unsigned repeated_starts; /* after an end `done` that was listed */
    unsigned lapses;          /* leases that expired with runs */
    unsigned false_lapses;    /* of these, of workers that had answered */
    unsigned lapsed_lasting;  /* runs that are to last among these */
    PhTime longest_gap; /* longest time without a run of a long-running task */
    /* Runs that are to last fail with this probability, at random times. */
    double failure_share;
    double ending_failure_share; /* the same of runs with an end */
    PhRandom *random;            /* of these; NULL: none fails */
} PhSimTasks;

/* A worker, possibly with a slow clock. */
typedef struct PhSimWorker {
    char id[16];
    int64_t born_ms;
    bool alive;
    bool draining;
    bool listed;
    PhTime entry_at; /* last write of its entry */
    int64_t entry_born_ms;
    bool restarting; /* it restarts under its id when the fault ends */
    PhTime started_at;
    int64_t slow_percent;
    PhSchedResources capacity;
    bool guards_capacity; /* starts that do not fit are rejected */
    PhTime stop_time;     /* from a stop to the end of the run */
    uint64_t fence;
    uint64_t heard_fence; /* of the owner that it answers */
    PhTime heard_since;
    PhTime answered_at; /* newest order that it has answered was sent */
    int64_t deadline_ms;
    GArray *runs; /* PhSimRun */
    GArray *ends; /* PhSimEnd */
    uint64_t end_number;
    GHashTable *highest; /* task key to the highest run stopped or ended */
} PhSimWorker;

/* The rows are owned. */
typedef struct PhSimReply {
    PhSchedHoldReply hold;
} PhSimReply;

void PhSimTasks_Open(PhSimTasks *tasks);
void PhSimTasks_Close(PhSimTasks *tasks);
/* Adds a step of a new job; of the job that was added last if it waits for a
 * step of that. */
PhSimJob *PhSimTasks_AddStep(PhSimTasks *tasks, unsigned count,
                             const PhSimTaskKind *kind, PhSimJob *before);
/* Removes the job that was added last, before any of it has started. */
void PhSimTasks_DropJob(PhSimTasks *tasks);
/* Whether runs of it have failed as often as they may. */
bool PhSimJob_HasFailed(const PhSimJob *job);
/* Updates `ran_at` and `longest_gap`. */
void PhSimTasks_Tick(PhSimTasks *tasks, PhTime now);
/* Whether every short task is done and every long-running one has one run. */
bool PhSimTasks_AreSettled(const PhSimTasks *tasks);

void PhSimWorker_Open(PhSimWorker *worker, int number);
void PhSimWorker_Close(PhSimWorker *worker);
/* Returns a copy of a job's id that is valid until PhSimTasks_Close. */
PhStr PhSimTasks_JobId(const PhSimTasks *tasks, PhStr id);
/* Returns what the runs leave of the capacity.  The CPU of backfill tasks does
 * not count. */
PhSchedResources PhSimWorker_Free(const PhSimWorker *worker);
/* Whether it lists an end `done` of a task, from before its lease expired. */
bool PhSimWorker_ListsDone(const PhSimWorker *worker, const PhSimJob *job,
                           uint32_t index);
/* Parses the number in a worker's id. */
int PhSimWorker_Number(PhStr id);
/* Stops the worker without a notice; its runs and ends are lost. */
void PhSimWorker_Stop(PhSimWorker *worker);
/* Starts a new incarnation under the same id, without state and with a new
 * clock. */
void PhSimWorker_Restart(PhSimWorker *worker, PhTime now);
/* Ends finished runs, and all runs once the lease has expired. */
void PhSimWorker_Tick(PhSimWorker *worker, PhSimTasks *tasks, PhTime now);
/* Starts the work of gangs that are complete, and ends those that are not. */
void PhSimGangs_Tick(PhSimWorker *workers, int count, PhSimTasks *tasks,
                     PhTime now);
/* Ends a run, by its number in `runs`, and keeps its end until it is
 * acknowledged. */
void PhSimWorker_EndRun(PhSimWorker *worker, PhSimTasks *tasks, guint run,
                        PhSchedEndKind kind, PhTime now);
/* Draws when a run that works from now on ends, and how. */
void PhSimRun_Draw(PhSimRun *run, PhSimTasks *tasks, PhTime now);
/* Executes an order.  A stopped worker leaves `reply` unchanged. */
void PhSimWorker_Execute(PhSimWorker *worker, PhSimTasks *tasks,
                         uint64_t fence, const PhSchedAction *action,
                         PhTime now, PhSimReply *reply);
/* Notes that the owner has received the answer to an order that extends, or
 * could have extended, the lease. */
void PhSimWorker_NoteAnswer(PhSimWorker *worker, uint64_t fence,
                            PhTime sent_at, PhTime now);
void PhSimReply_Clear(PhSimReply *reply);

#endif
