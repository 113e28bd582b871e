/* Private declarations of the kernel. */
#ifndef PERIDOTHILL_KERNEL_KERNEL_INTERNAL_H
#define PERIDOTHILL_KERNEL_KERNEL_INTERNAL_H

#include "peridothill/kernel/kernel.h"
#include "peridothill/kernel/registry.h"
#include "peridothill/kernel/timers.h"

/* A file descriptor that a task watches. */
typedef struct PhWatch {
    ev_io io;
    PhTask *task;
    int queued_events; /* PH_IO_* events reported by mails in the mailbox */
} PhWatch;

struct PhTask {
    PhKernel *kernel;
    PhTaskRef ref;
    PhTaskSpec spec;
    GQueue mailbox;      /* PhMail, owned */
    size_t messages;     /* PH_MAIL_MESSAGE entries in the mailbox */
    GHashTable *watches; /* PhWatch by file descriptor */
    GArray *monitors;    /* PhTaskRef of tasks to notify at the end */
    bool queued;         /* in PhKernel.ready */
    bool ending;
};

struct PhKernel {
    PhKernelOptions options;
    PhRegistry *registry;
    PhTimers *timers;
    GPtrArray *tasks;    /* PhTask by slot, NULL where free */
    GArray *generations; /* uint32_t by slot */
    GQueue ready;        /* PhTask with mail, round-robin */
    size_t live;         /* number of tasks */
    ev_prepare prepare;
    ev_idle idle;
    ev_timer timer;
};

/* Returns NULL if the task has ended or is about to. */
PhTask *PhTask_Find(const PhKernel *kernel, PhTaskRef ref);
/* Queues a mail regardless of the mailbox capacity. */
void PhTask_Post(PhTask *task, PhMail mail);
void PhMessage_Release(const PhMessage *message);

/* Start and stop the libev watchers that run the kernel. */
void PhKernelLoop_Attach(PhKernel *kernel);
void PhKernelLoop_Detach(PhKernel *kernel);
/* Notes that an I/O mail has left the mailbox, so that its events are queued
 * again when they recur. */
void PhKernelLoop_ClearQueuedEvents(PhTask *task, const PhMail *mail);
/* Value destructor of PhTask.watches. */
void PhKernelLoop_DestroyWatch(gpointer watch);

#endif
