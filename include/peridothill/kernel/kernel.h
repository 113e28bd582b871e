/* The micro-kernel: tasks with bounded mailboxes, a registry of names, timers
 * on one clock, and descriptors watched through libev.
 *
 * A task owns its state and its sockets.  It runs only inside its handler, one
 * mail at a time, and reaches other tasks by messages.  All tasks of a kernel
 * share one thread; a handler never waits. */
#ifndef PERIDOTHILL_KERNEL_KERNEL_H
#define PERIDOTHILL_KERNEL_KERNEL_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "peridothill/common/counter.h"
#include "peridothill/common/log.h"
#include "peridothill/common/status.h"
#include "peridothill/common/str.h"
#include "peridothill/common/time.h"
#include "peridothill/kernel/clock.h"

typedef struct PhKernel PhKernel;
typedef struct PhTask PhTask;

/* Identifies a task.  After the task has ended the value matches no other;
 * all zero identifies none. */
typedef struct PhTaskRef {
    uint32_t slot;
    uint32_t generation;
} PhTaskRef;

/* A message: the number of its service interface (services/interface.h) and a
 * body, one tagged union for each interface, that `release` frees. */
typedef struct PhMessage {
    uint32_t interface;
    void *body;
    void (*release)(void *body);
} PhMessage;

/* Makes a message of a copy of `size` bytes of a body; `release` has to free
 * the copy with g_free. */
PhMessage PhMessage_Copy(uint32_t interface, const void *body, size_t size,
                         void (*release)(void *body));

typedef enum PhMailKind {
    PH_MAIL_START,   /* first mail of every task */
    PH_MAIL_MESSAGE, /* from another task; released after the handler */
    PH_MAIL_TIMER,   /* a timer of this task came due */
    PH_MAIL_IO,      /* a watched descriptor is ready */
    PH_MAIL_ENDED,   /* a monitored task has ended */
    PH_MAIL_STOP,    /* the process stops: finish, then PhTask_End */
} PhMailKind;

/* Readiness of a descriptor. */
enum {
    PH_IO_READ = 1,
    PH_IO_WRITE = 2
};

/* What a task's handler is given. */
typedef struct PhMail {
    PhMailKind kind;
    PhTaskRef from;
    union {
        PhMessage message;
        uint64_t timer; /* the token the timer was set with */
        struct {
            int fd;
            int events;
        } io;
        PhTaskRef ended;
    } as;
} PhMail;

/* What a task is made of.  `destroy` releases the state when the task ends,
 * the kernel is destroyed or the task cannot be started. */
typedef struct PhTaskSpec {
    PhStr name;
    size_t mailbox_capacity;
    void *state;
    void (*handle)(void *state, PhTask *self, const PhMail *mail);
    void (*destroy)(void *state);
} PhTaskSpec;

/* `loop` is NULL for a kernel that only tests drive. */
typedef struct PhKernelOptions {
    PhClock *clock;
    struct ev_loop *loop;
    PhLog *log;
    PhCounters *counters;
} PhKernelOptions;

PhKernel *PhKernel_Create(const PhKernelOptions *options);
void PhKernel_Destroy(PhKernel *kernel);
PhTime PhKernel_Now(const PhKernel *kernel);
PhLog *PhKernel_Log(const PhKernel *kernel);
PhCounters *PhKernel_Counters(const PhKernel *kernel);

/* Starts a task; EXISTS when the name is taken.  The state is the kernel's
 * from the call on, whatever it returns. */
PhStatus PhKernel_Spawn(PhKernel *kernel, const PhTaskSpec *spec,
                        PhTaskRef *ref);
/* Finds a live task by name; an ended or unknown one gives the zero ref. */
PhTaskRef PhKernel_Lookup(const PhKernel *kernel, PhStr name);
bool PhTaskRef_IsNone(PhTaskRef ref);
bool PhTaskRef_Equal(PhTaskRef a, PhTaskRef b);
/* Puts a message into a mailbox.  FULL or GONE releases the message at once;
 * FULL is counted. */
PhStatus PhKernel_Send(PhKernel *kernel, PhTaskRef from, PhTaskRef to,
                       PhMessage message);
/* Sends PH_MAIL_STOP to one task; it is delivered even to a full mailbox. */
PhStatus PhKernel_Stop(PhKernel *kernel, PhTaskRef ref);
/* Counts the live tasks. */
size_t PhKernel_TaskCount(const PhKernel *kernel);

/* Delivers what is due until every mailbox is empty or `budget` mails were
 * handled; tells how many. */
size_t PhKernel_Drain(PhKernel *kernel, size_t budget);
/* For a paused clock: advances to `at`, firing timers in order and draining
 * after each. */
void PhKernel_AdvanceTo(PhKernel *kernel, PhTime at);

PhKernel *PhTask_Kernel(const PhTask *self);
PhTaskRef PhTask_Ref(const PhTask *self);
PhStr PhTask_Name(const PhTask *self);
PhTime PhTask_Now(const PhTask *self);
/* Wall time since the Unix epoch, for what is compared across machines. */
PhTime PhTask_Wall(const PhTask *self);
/* Sends a message from this task. */
PhStatus PhTask_Send(PhTask *self, PhTaskRef to, PhMessage message);
/* Sends to the task with this name; NOT_FOUND releases the message. */
PhStatus PhTask_SendTo(PhTask *self, PhStr name, PhMessage message);
/* Sets, or moves, this task's timer with the token.  It fires once. */
void PhTask_SetTimer(PhTask *self, uint64_t token, PhTime at);
void PhTask_CancelTimer(PhTask *self, uint64_t token);
/* Watches a descriptor for PH_IO_* events; 0 stops watching.  The watch ends
 * before the descriptor is closed. */
void PhTask_Watch(PhTask *self, int fd, int events);
/* Asks for PH_MAIL_ENDED once the other task has ended; at once when it
 * already has. */
void PhTask_Monitor(PhTask *self, PhTaskRef other);
/* Ends this task after the current handler returns. */
void PhTask_End(PhTask *self);
/* Writes an event under this task's name. */
void PhTask_Log(PhTask *self, PhEventId id, const PhField *fields,
                size_t count);
#define PhTask_LOG(SELF, ID, ...)                                             \
    PhTask_Log((SELF), (ID), (const PhField[]){__VA_ARGS__},                  \
               sizeof((const PhField[]){__VA_ARGS__}) / sizeof(PhField))

#endif
