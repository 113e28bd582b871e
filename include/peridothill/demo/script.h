/* Script of the demonstration: the task "script" executes a table of steps,
 * which inject one fault at a time, and checks what the operators' interface
 * reports. */
#ifndef PERIDOTHILL_DEMO_SCRIPT_H
#define PERIDOTHILL_DEMO_SCRIPT_H

#include "peridothill/demo/load.h"

#define PH_SERVICE_SCRIPT PhStr_LITERAL("script")

typedef enum PhStepKind {
    PH_STEP_PATCH, /* `as.patch`: submit, expect it to come into force */
    PH_STEP_REQUEST_INTERVAL,  /* `as.interval` */
    PH_STEP_JOB,               /* `as.tasks`: submit a batch job */
    PH_STEP_JOBS_DONE,         /* print the state of the jobs */
    PH_STEP_WORKER_FAULT,      /* `as.fault` */
    PH_STEP_WORKER_LEAVES,     /* `as.index` */
    PH_STEP_WORKER_RESTARTS,   /* `as.index`: it loses its tasks */
    PH_STEP_LOG_OUTAGE,        /* `as.on` */
    PH_STEP_LOG_LOSES_ANSWERS, /* `as.on` */
    PH_STEP_INSTANCE_KILL,     /* `as.index` */
    PH_STEP_INSTANCE_STOP,     /* `as.index` */
    PH_STEP_INSTANCE_START,    /* `as.index` */
    PH_STEP_CHECK_CONFIG,      /* every instance has the latest version */
    PH_STEP_END,
} PhStepKind;

typedef struct PhStep {
    int64_t at_ms; /* since the start of the script */
    PhStepKind kind;
    const char *text; /* printed as progress */
    union {
        const char *patch; /* JSON list of changes */
        PhTime interval;
        int tasks;
        int index;
        bool on;
        struct {
            int worker;
            PhStandinFault fault;
        } fault;
    } as;
} PhStep;

typedef struct PhScriptOptions {
    PhDemoCluster *cluster;
    PhLoad *load;
    PhVerdicts *verdicts;
    const PhStep *steps; /* terminated by PH_STEP_END */
    FILE *out;
    void *context;
    void (*on_end)(void *context);
} PhScriptOptions;

/* Requires the tasks "http" and "load" on the kernel. */
void PhScript_Start(PhKernel *kernel, const PhScriptOptions *options);

#endif
