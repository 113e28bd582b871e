/* Commands to workers: the interface of the task "workers", which sends them
 * through the task "http". */
#ifndef PERIDOTHILL_SERVICES_WORKER_H
#define PERIDOTHILL_SERVICES_WORKER_H

#include "peridothill/decide/tasks/worker_command.h"
#include "peridothill/kernel/kernel.h"

/* A command; `worker` and `address` are owned by the message. */
typedef struct PhWorkerSend {
    PhStr worker;
    PhStr address;
    PhWorkerCommand command;
} PhWorkerSend;

/* Its answer; `worker` is owned and the answer's own name is not set.  The
 * status is UNKNOWN when no whole answer came. */
typedef struct PhWorkerAnswered {
    PhStr worker;
    PhWorkerAnswer answer;
} PhWorkerAnswered;

typedef enum PhWorkerTag {
    PH_WORKER_SEND,     /* to "workers" */
    PH_WORKER_ANSWERED, /* from "workers", one for each send */
} PhWorkerTag;

typedef struct PhWorkerMessage {
    PhWorkerTag tag;
    union {
        PhWorkerSend send;
        PhWorkerAnswered answered;
    } as;
} PhWorkerMessage;

/* Wraps a message body for the kernel; takes over what it owns. */
PhMessage PhWorkerMessage_Wrap(const PhWorkerMessage *body);

/* Starts the task "workers". */
PhStatus PhWorkers_Start(PhKernel *kernel);

#endif
