/* A job as a client submits it: steps of equal tasks, ordered by `after`.
 * All strings are owned by the specification. */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_SPEC_H
#define PERIDOTHILL_DECIDE_SCHEDULE_SPEC_H

#include <stdbool.h>
#include <stdint.h>

#include "peridothill/common/status.h"
#include "peridothill/common/str.h"
#include "peridothill/common/time.h"

enum {
    PH_SCHED_STEPS_MAX = 64,        /* per job */
    PH_SCHED_TASKS_MAX = 4096,      /* per step */
    PH_SCHED_ROUNDS_MAX = 4096,     /* per job */
    PH_SCHED_JOB_TASKS_MAX = 65536, /* in all rounds of a job: 12 MB */
};

/* Resources that a task requests or a worker offers. */
typedef struct PhSchedResources {
    int64_t cpu_milli; /* milli-cores */
    int64_t mem_mb;
    int64_t gpu;
} PhSchedResources;

typedef struct PhSchedStep {
    uint32_t count;
    PhSchedResources resources;
    PhTime estimate; /* of a task's run time, by the client; 0 for none */
    uint32_t *after; /* numbers of the earlier steps it depends on */
    uint32_t after_count;
    bool saves_progress;
    bool gang;
    bool same_rack;
    bool speculative;
    bool long_running;
    bool fills;              /* backfill tasks: their CPU is not counted
                                against the worker's capacity */
    PhStr requires;          /* label that the worker must have, empty: none */
    PhStr affinity;          /* rack that holds the data, empty for any */
    PhStr image;             /* tasks of one image use resources alike */
    uint32_t image_number;   /* assigned by the model */
    uint32_t max_per_worker; /* 0 for no limit */
    uint32_t may_miss;       /* tasks that may be down at a time */
    PhTime tail_latency_target; /* tail latency; 0: not a serving task */
} PhSchedStep;

/* The queue's settings when the job was accepted.  They stay valid for the job
 * when the queue is removed from the configuration. */
typedef struct PhSchedTerms {
    PhStr queue;           /* name of the queue it was submitted to */
    PhStr service;         /* whose workers run it */
    int64_t priority;      /* 0 is the highest */
    uint32_t max_attempts; /* failed runs of a task that fail the job; 0 for no
                              limit */
    double stretch; /* objective: this many times the critical path ... */
    PhTime slack;   /* ... plus this */
} PhSchedTerms;

typedef struct PhSchedSpec {
    PhStr id; /* 16 hexadecimal digits */
    PhSchedTerms terms;
    PhStr payload; /* passed to each task unchanged */
    PhSchedStep *steps;
    uint32_t step_count;
    uint32_t repetitions; /* 0: the steps run once, immediately */
    int64_t first_due_ms; /* Unix time of the first repetition */
    int64_t interval_ms;
} PhSchedSpec;

void PhSchedSpec_Clear(PhSchedSpec *spec);
/* Checks the limits, and that each step depends on earlier ones only. */
PhResult PhSchedSpec_Check(const PhSchedSpec *spec);
/* Tasks of all rounds. */
uint64_t PhSchedSpec_TaskCount(const PhSchedSpec *spec);
/* The memory that the job takes, in tasks: its tasks, and its payload as far
 * as that exceeds what clients are told to send. */
uint64_t PhSchedSpec_Weight(const PhSchedSpec *spec);
/* Length of the critical path by the estimates. */
PhTime PhSchedSpec_CriticalPath(const PhSchedSpec *spec);
/* Declared CPU, in milli-cores, of the long-running tasks of the job that do
 * not fill: it takes that much without an end. */
double PhSchedSpec_LastingNeed(const PhSchedSpec *spec);

#endif
