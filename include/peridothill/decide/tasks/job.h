/* Jobs and their tasks, as every module of decide/tasks/ sees them. */
#ifndef PERIDOTHILL_DECIDE_TASKS_JOB_H
#define PERIDOTHILL_DECIDE_TASKS_JOB_H

#include <stdbool.h>
#include <stdint.h>

#include "peridothill/common/status.h"
#include "peridothill/common/str.h"
#include "peridothill/common/time.h"

/* In order of urgency. */
typedef enum PhJobClass {
    PH_JOB_URGENT,   /* latency-critical: starts before everything else */
    PH_JOB_STANDING, /* kept running until it is cancelled */
    PH_JOB_BATCH,    /* runs to its end, by a deadline if it has one */
} PhJobClass;

/* Resources of a task, of a worker, or of what is committed on one. */
typedef struct PhJobSize {
    int64_t cpu_milli; /* thousandths of a processor */
    int64_t memory_mb;
    int64_t accelerators;
} PhJobSize;

/* What a submitter asks for. */
typedef struct PhJobSpec {
    PhStr key; /* the submitter's idempotency key */
    PhStr team;
    PhStr hint; /* interference group, may be empty */
    PhJobClass class;
    uint32_t priority;   /* higher runs first within its class and team */
    int64_t deadline_ms; /* wall time; 0 is none */
    int64_t run_ms;      /* declared run time; 0 is unknown */
    PhJobSize size;      /* of each task */
    uint32_t count;      /* number of tasks */
    bool checkpointable;
} PhJobSpec;

/* One incarnation of one task; incarnations of a task count from 1. */
typedef struct PhRun {
    uint64_t job;
    uint32_t index;
    uint32_t incarnation;
} PhRun;

/* How an incarnation ended. */
typedef enum PhRunOutcome {
    PH_RUN_DONE,    /* finished its work */
    PH_RUN_FAILED,  /* ended with an error */
    PH_RUN_STOPPED, /* stopped on command */
    PH_RUN_EVICTED, /* stopped on command to free room, to resume later */
    PH_RUN_LOST,    /* the worker restarted, never started it, or its lease
                       lapsed */
} PhRunOutcome;

/* An incarnation that ended, with its last checkpoint (0 is none). */
typedef struct PhRunEnd {
    PhRun run;
    PhRunOutcome outcome;
    uint64_t checkpoint;
} PhRunEnd;

typedef enum PhJobTaskState {
    PH_JOB_TASK_WAITING,
    PH_JOB_TASK_PLACED, /* may be running on its worker */
    PH_JOB_TASK_DONE,
    PH_JOB_TASK_CANCELLED,
} PhJobTaskState;

const char *PhJobClass_Name(PhJobClass class);
bool PhJobClass_Parse(PhStr name, PhJobClass *class);
const char *PhJobTaskState_Name(PhJobTaskState state);
const char *PhRunOutcome_Name(PhRunOutcome outcome);
/* Checks a spec; the message tells what is wrong. */
PhResult PhJobSpec_Check(const PhJobSpec *spec);
PhJobSpec PhJobSpec_Copy(const PhJobSpec *spec);
void PhJobSpec_Clear(PhJobSpec *spec);
/* Tells whether `size` fits into `room` on all three resources. */
bool PhJobSize_Fits(PhJobSize size, PhJobSize room);
PhJobSize PhJobSize_Add(PhJobSize a, PhJobSize b);
PhJobSize PhJobSize_Subtract(PhJobSize a, PhJobSize b);
bool PhRun_Equal(PhRun a, PhRun b);

#endif
