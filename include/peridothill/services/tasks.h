/* Interface of the task "tasks": submits, cancels and lists jobs. */
#ifndef PERIDOTHILL_SERVICES_TASKS_H
#define PERIDOTHILL_SERVICES_TASKS_H

#include "peridothill/decide/tasks/job.h"
#include "peridothill/kernel/kernel.h"

/* Request to accept a job; owns its strings. */
typedef struct PhTasksSubmit {
    uint64_t id; /* chosen by the sender, returned in the answer */
    PhJobSpec spec;
} PhTasksSubmit;

/* OK: accepted and stored in the log. EXISTS: the key was accepted before, for
 * `job`. INVALID: the spec is invalid. UNAVAILABLE, FULL: not accepted.
 * UNKNOWN: may have been accepted; retry with the same key. */
typedef struct PhTasksSubmitted {
    uint64_t id;
    uint64_t job;
    PhResult result;
} PhTasksSubmitted;

/* Request for at most `limit` jobs numbered `from` or higher, or for `job`
 * alone if it is not 0. */
typedef struct PhTasksList {
    uint64_t id;
    uint64_t job;
    uint64_t from;
    size_t limit;
} PhTasksList;

/* A listed job; owns its strings. */
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

/* `status` is NOT_FOUND for an unknown job, and UNAVAILABLE until this
 * instance has read the log. `next` is where to continue, or 0 after the last
 * job. */
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

/* Same results as PhTasksSubmitted, and NOT_FOUND for an unknown job. */
typedef struct PhTasksCancelled {
    uint64_t id;
    PhResult result;
} PhTasksCancelled;

typedef enum PhTasksTag {
    PH_TASKS_SUBMIT,    /* to "tasks" */
    PH_TASKS_LIST,      /* to "tasks" */
    PH_TASKS_CANCEL,    /* to "tasks" */
    PH_TASKS_SUBMITTED, /* from "tasks", one per submit */
    PH_TASKS_LISTED,    /* from "tasks", one per list */
    PH_TASKS_CANCELLED, /* from "tasks", one per cancel */
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

/* Wraps a message body for the kernel; takes ownership of what it owns. */
PhMessage PhTasksMessage_Wrap(const PhTasksMessage *body);

/* Strings are copied. */
typedef struct PhTasksOptions {
    PhStr data_centre;
    PhStr instance;
    uint64_t seed;
} PhTasksOptions;

/* Starts the tasks "tasks" and "workers". */
PhStatus PhTasks_Start(PhKernel *kernel, const PhTasksOptions *options);

#endif
