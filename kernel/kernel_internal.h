/* What the files of the kernel share. */
#ifndef PERIDOTHILL_KERNEL_KERNEL_INTERNAL_H
#define PERIDOTHILL_KERNEL_KERNEL_INTERNAL_H

#include "peridothill/kernel/kernel.h"
#include "peridothill/kernel/registry.h"
#include "peridothill/kernel/timers.h"

/* A descriptor that a task watches. */
typedef struct PhWatch {
    ev_io io;
    PhTask *task;
    int ready; /* PH_IO_* events in the mailbox and not yet handled */
} PhWatch;

struct PhTask {
    PhKernel *kernel;
    PhTaskRef ref;
    PhTaskSpec spec;
    GQueue mailbox; /* PhMail, owned */
    size_t messages;
    GHashTable *watches; /* descriptor to PhWatch */
    GArray *monitors;    /* PhTaskRef of the tasks to tell about the end */
    bool queued;
    bool ending;
};

struct PhKernel {
    PhKernelOptions options;
    PhRegistry *registry;
    PhTimers *timers;
    GPtrArray *tasks;    /* PhTask by slot, NULL where free */
    GArray *generations; /* uint32_t by slot */
    GQueue ready;        /* PhTask with mail */
    size_t live;
    ev_prepare prepare;
    ev_idle idle;
    ev_timer timer;
};

/* Finds the live task of a ref, or gives NULL. */
PhTask *PhTask_Find(const PhKernel *kernel, PhTaskRef ref);
/* Puts a mail into the mailbox, whatever its bound. */
void PhTask_Post(PhTask *task, PhMail mail);
/* Releases the body of a message. */
void PhMessage_Release(const PhMessage *message);

/* Connects the kernel with its libev loop, and takes it off again. */
void PhKernelLoop_Attach(PhKernel *kernel);
void PhKernelLoop_Detach(PhKernel *kernel);
/* Forgets the readiness that a mail reported, so that it is reported again. */
void PhKernelLoop_ClearReadiness(PhTask *task, const PhMail *mail);
/* Ends a watch; the destructor of PhTask.watches. */
void PhKernelLoop_DestroyWatch(gpointer watch);

#endif
