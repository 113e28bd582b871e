#ifndef PERIDOTHILL_DECIDE_TASKS_JOB_H
#define PERIDOTHILL_DECIDE_TASKS_JOB_H

#include <stdbool.h>
#include <stdint.h>

#include "peridothill/common/status.h"
#include "peridothill/common/str.h"
#include "peridothill/common/time.h"

/* Scheduling class; a lower value is scheduled first. */
typedef enum PhJobClass {
    PH_JOB_URGENT,   /* latency-critical */
    PH_JOB_STANDING, /* restarted until it is cancelled */
    PH_JOB_BATCH,    /* runs to completion, optionally by a deadline */
} PhJobClass;

/* Resource amounts: demand of a task, capacity of a worker, or the sum that is
 * committed on one. */
typedef struct PhJobSize {
    int64_t cpu_milli; /* thousandths of a CPU */
    int64_t memory_mb;
    int64_t accelerators;
} PhJobSize;

/* A job as submitted. */
typedef struct PhJobSpec {
    PhStr key; /* idempotency key, chosen by the client */
    PhStr team;
    PhStr hint; /* interference group; may be empty */
    PhJobClass class;
    uint32_t priority;   /* higher runs first within class and team */
    int64_t deadline_ms; /* wall-clock time; 0: none */
    int64_t run_ms;      /* declared run time; 0: unknown */
    PhJobSize size;      /* of each task */
    uint32_t count;      /* number of tasks */
    bool checkpointable;
} PhJobSpec;

/* One execution attempt of a task. Incarnations of a task count from 1. */
typedef struct PhRun {
    uint64_t job;
    uint32_t index;
    uint32_t incarnation;
} PhRun;

typedef enum PhRunOutcome {
    PH_RUN_DONE,    /* completed */
    PH_RUN_FAILED,  /* exited with an error */
    PH_RUN_STOPPED, /* stopped on command */
    PH_RUN_EVICTED, /* stopped on command to free capacity; resumes later */
    PH_RUN_LOST, /* worker restarted, never started it, or its lease expired */
} PhRunOutcome;

typedef struct PhRunEnd {
    PhRun run;
    PhRunOutcome outcome;
    uint64_t checkpoint; /* last checkpoint; 0: none */
} PhRunEnd;

typedef enum PhJobTaskState {
    PH_JOB_TASK_WAITING,
    PH_JOB_TASK_PLACED, /* assigned to a worker; may be running */
    PH_JOB_TASK_DONE,
    PH_JOB_TASK_CANCELLED,
} PhJobTaskState;

const char *PhJobClass_Name(PhJobClass class);
bool PhJobClass_Parse(PhStr name, PhJobClass *class);
const char *PhJobTaskState_Name(PhJobTaskState state);
const char *PhRunOutcome_Name(PhRunOutcome outcome);
/* Returns INVALID with a message that names the first bad field. */
PhResult PhJobSpec_Check(const PhJobSpec *spec);
/* Deep copy; the caller frees it with PhJobSpec_Clear(). */
PhJobSpec PhJobSpec_Copy(const PhJobSpec *spec);
void PhJobSpec_Clear(PhJobSpec *spec);
/* True if `size` fits into `room` for every resource. */
bool PhJobSize_Fits(PhJobSize size, PhJobSize room);
PhJobSize PhJobSize_Add(PhJobSize a, PhJobSize b);
PhJobSize PhJobSize_Subtract(PhJobSize a, PhJobSize b);
bool PhRun_Equal(PhRun a, PhRun b);

#endif
