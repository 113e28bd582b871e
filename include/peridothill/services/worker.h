/* Commands to workers: the interface of the task "workers", which sends them
 * over the task "http". */
#ifndef PERIDOTHILL_SERVICES_WORKER_H
#define PERIDOTHILL_SERVICES_WORKER_H

#include "peridothill/decide/tasks/worker_command.h"
#include "peridothill/kernel/kernel.h"

/* A command. `worker` and `address` are owned by the message. */
typedef struct PhWorkerSend {
    PhStr worker;
    PhStr address;
    PhWorkerCommand command;
} PhWorkerSend;

/* The answer to a command. `worker` is owned by the message; the worker name
 * inside `answer` is not set. The status is UNKNOWN if no complete response
 * arrived. */
typedef struct PhWorkerAnswered {
    PhStr worker;
    PhWorkerAnswer answer;
} PhWorkerAnswered;

typedef enum PhWorkerTag {
    PH_WORKER_SEND,     /* to "workers" */
    PH_WORKER_ANSWERED, /* from "workers", one per send */
} PhWorkerTag;

typedef struct PhWorkerMessage {
    PhWorkerTag tag;
    union {
        PhWorkerSend send;
        PhWorkerAnswered answered;
    } as;
} PhWorkerMessage;

/* Wraps a message body for the kernel and takes ownership of its contents. */
PhMessage PhWorkerMessage_Wrap(const PhWorkerMessage *body);

PhStatus PhWorkers_Start(PhKernel *kernel);

#endif
