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
    PH_SCHED_STEPS_MAX = 64,        /* of one job */
    PH_SCHED_TASKS_MAX = 4096,      /* of one step */
    PH_SCHED_ROUNDS_MAX = 4096,     /* repetitions of one job */
    PH_SCHED_JOB_TASKS_MAX = 65536, /* of all its rounds, 12 MB */
};

/* What a task asks for, or a worker offers. */
typedef struct PhSchedRoom {
    int64_t cpu_milli; /* thousandths of a core */
    int64_t mem_mb;
    int64_t gpu;
} PhSchedRoom;

typedef struct PhSchedStep {
    uint32_t count;
    PhSchedRoom room;
    PhTime estimate; /* the client's guess of a task's run time, 0 for none */
    uint32_t *after; /* numbers of earlier steps */
    uint32_t after_count;
    bool saves_progress;
    bool gang;
    bool same_rack;
    bool speculative;
    bool long_running;
    bool fills;              /* the CPU is not counted against capacity */
    PhStr requires;          /* a label of the worker, empty for any */
    PhStr affinity;          /* rack that holds the data, empty for any */
    PhStr image;             /* tasks of one image behave alike */
    uint32_t image_number;   /* of the image, given by the model */
    uint32_t max_per_worker; /* 0 for no limit */
    uint32_t may_miss;       /* tasks that may be away at a time */
    PhTime tail_target;      /* of a serving task, 0 for none */
} PhSchedStep;

/* What the queue promised when the job was accepted; it holds for the job when
 * the queue is gone from the configuration. */
typedef struct PhSchedTerms {
    PhStr queue;           /* name of the queue it was handed in at */
    PhStr service;         /* whose workers run it */
    int64_t priority;      /* 0 comes first */
    uint32_t max_attempts; /* failed runs of a task that fail the job; 0 has no
                              limit */
    double stretch;        /* objective: this many times the longest chain */
    PhTime slack;          /* objective: and this much more */
} PhSchedTerms;

typedef struct PhSchedSpec {
    PhStr id; /* 16 hexadecimal digits */
    PhSchedTerms terms;
    PhStr payload; /* given to each task as it is */
    PhSchedStep *steps;
    uint32_t step_count;
    uint32_t repetitions; /* 0: the steps run once, at once */
    int64_t first_due_ms; /* Unix time of the first repetition */
    int64_t interval_ms;
} PhSchedSpec;

void PhSchedSpec_Clear(PhSchedSpec *spec);
/* Checks the bounds and the order of the steps. */
PhResult PhSchedSpec_Check(const PhSchedSpec *spec);
/* Length of the longest chain of estimates. */
PhTime PhSchedSpec_Chain(const PhSchedSpec *spec);

#endif
