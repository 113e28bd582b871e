/* Jobs and tasks: the interface of the task "tasks". */
#ifndef PERIDOTHILL_SERVICES_TASKS_H
#define PERIDOTHILL_SERVICES_TASKS_H

#include "peridothill/decide/tasks/job.h"
#include "peridothill/kernel/kernel.h"

/* Asks to accept a job; the strings are owned by the message. */
typedef struct PhTasksSubmit {
    uint64_t id; /* the sender's own number, returned in the answer */
    PhJobSpec spec;
} PhTasksSubmit;

/* OK: accepted, the log holds it; EXISTS: the key was accepted before, `job`
 * is that job; INVALID: refused for what the message says; UNAVAILABLE or
 * FULL: not accepted, nothing will run; UNKNOWN: may have been accepted, ask
 * again with the same key. */
typedef struct PhTasksSubmitted {
    uint64_t id;
    uint64_t job;
    PhResult result;
} PhTasksSubmitted;

/* Asks for jobs from the number `from` on, at most `limit`; `job` of other
 * than 0 asks for this one alone. */
typedef struct PhTasksList {
    uint64_t id;
    uint64_t job;
    uint64_t from;
    size_t limit;
} PhTasksList;

/* A job as listed; strings owned. */
typedef struct PhTasksRow {
    uint64_t job;
    PhStr key;
    PhStr team;
    PhJobClass class;
    uint32_t count;
    uint32_t waiting;
    uint32_t placed;
    uint32_t done;
    uint32_t cancelled;
    uint32_t evictions;
    bool cancel_wanted;
    PhStr reason; /* why it waits or cannot run; may be empty */
} PhTasksRow;

/* `status` is NOT_FOUND for an unknown job, and UNAVAILABLE while this
 * instance has not read the log yet.  `next` is 0 after the last row. */
typedef struct PhTasksListed {
    uint64_t id;
    PhStatus status;
    PhTasksRow *rows;
    size_t row_count;
    uint64_t next;
} PhTasksListed;

typedef struct PhTasksCancel {
    uint64_t id;
    uint64_t job;
} PhTasksCancel;

/* As PhTasksSubmitted; NOT_FOUND for an unknown job. */
typedef struct PhTasksCancelled {
    uint64_t id;
    PhResult result;
} PhTasksCancelled;

typedef enum PhTasksTag {
    PH_TASKS_SUBMIT,    /* to "tasks" */
    PH_TASKS_LIST,      /* to "tasks" */
    PH_TASKS_CANCEL,    /* to "tasks" */
    PH_TASKS_SUBMITTED, /* from "tasks", one for each submit */
    PH_TASKS_LISTED,    /* from "tasks", one for each list */
    PH_TASKS_CANCELLED, /* from "tasks", one for each cancel */
} PhTasksTag;

typedef struct PhTasksMessage {
    PhTasksTag tag;
    union {
        PhTasksSubmit submit;
        PhTasksList list;
        PhTasksCancel cancel;
        PhTasksSubmitted submitted;
        PhTasksListed listed;
        PhTasksCancelled cancelled;
    } as;
} PhTasksMessage;

/* Wraps a message body for the kernel; takes over what it owns. */
PhMessage PhTasksMessage_Wrap(const PhTasksMessage *body);

/* What `serve` knows about this instance; the strings are copied. */
typedef struct PhTasksOptions {
    PhStr data_centre;
    PhStr instance;
    uint64_t seed;
} PhTasksOptions;

/* Starts the tasks "tasks" and "workers". */
PhStatus PhTasks_Start(PhKernel *kernel, const PhTasksOptions *options);

#endif
