/* The micro-kernel: tasks with bounded mailboxes, a name registry, timers and
 * file descriptor events through libev.
 *
 * A task owns its state and its sockets.  Its handler is called with one mail
 * (mailbox entry) at a time and talks to other tasks by messages only.  All
 * tasks of a kernel share one thread, so a handler must not block. */
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

/* Task handle.  It is never reused for another task; the all-zero value refers
 * to no task. */
typedef struct PhTaskRef {
    uint32_t slot;
    uint32_t generation;
} PhTaskRef;

/* A message between tasks.  `interface` is a number of services/interface.h;
 * the body is the tagged union of that interface, freed by `release`, which
 * may be NULL. */
typedef struct PhMessage {
    uint32_t interface;
    void *body;
    void (*release)(void *body);
} PhMessage;

/* Builds a message from a copy of `size` bytes at `body`; `release` must free
 * the copy with g_free. */
PhMessage PhMessage_Copy(uint32_t interface, const void *body, size_t size,
                         void (*release)(void *body));

typedef enum PhMailKind {
    PH_MAIL_START,   /* first mail of every task */
    PH_MAIL_MESSAGE, /* from another task; released after the handler */
    PH_MAIL_TIMER,   /* a timer of this task expired */
    PH_MAIL_IO,      /* a watched descriptor is ready */
    PH_MAIL_ENDED,   /* a monitored task has ended */
    PH_MAIL_STOP,    /* shutdown: clean up, then call PhTask_End */
} PhMailKind;

/* Readiness of a file descriptor, as a bit mask. */
enum {
    PH_IO_READ = 1,
    PH_IO_WRITE = 2
};

/* A mailbox entry; `from` is set for PH_MAIL_MESSAGE only. */
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

/* Parameters of PhKernel_Spawn.  `mailbox_capacity` counts messages; other
 * mail is always queued.  `destroy` frees the state when the task ends, the
 * kernel is destroyed or the spawn fails; it may be NULL. */
typedef struct PhTaskSpec {
    PhStr name;
    size_t mailbox_capacity;
    void *state;
    void (*handle)(void *state, PhTask *self, const PhMail *mail);
    void (*destroy)(void *state);
} PhTaskSpec;

/* All members are borrowed and must outlive the kernel.  `log` may be NULL;
 * `loop` is NULL when the caller drives the kernel itself, as tests do. */
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

/* Starts a task; fails with EXISTS if a live task has the name.  Takes
 * ownership of the state in either case.  `ref` may be NULL. */
PhStatus PhKernel_Spawn(PhKernel *kernel, const PhTaskSpec *spec,
                        PhTaskRef *ref);
/* Finds a live task by name; returns the zero handle if there is none. */
PhTaskRef PhKernel_Lookup(const PhKernel *kernel, PhStr name);
bool PhTaskRef_IsNone(PhTaskRef ref);
bool PhTaskRef_Equal(PhTaskRef a, PhTaskRef b);
/* Queues a message and takes ownership of it.  On failure the message is
 * released: FULL if the mailbox is at capacity, which is counted and logged,
 * GONE if the task has ended. */
PhStatus PhKernel_Send(PhKernel *kernel, PhTaskRef from, PhTaskRef to,
                       PhMessage message);
/* Queues PH_MAIL_STOP, even in a full mailbox; GONE if the task has ended. */
PhStatus PhKernel_Stop(PhKernel *kernel, PhTaskRef ref);
size_t PhKernel_TaskCount(const PhKernel *kernel);

/* Delivers expired timers and queued mail until every mailbox is empty or
 * `budget` mails were handled; returns the number handled. */
size_t PhKernel_Drain(PhKernel *kernel, size_t budget);
/* Advances a paused clock to `at`, firing timers in order and draining the
 * mailboxes after each. */
void PhKernel_AdvanceTo(PhKernel *kernel, PhTime at);

PhKernel *PhTask_Kernel(const PhTask *self);
PhTaskRef PhTask_Ref(const PhTask *self);
PhStr PhTask_Name(const PhTask *self);
PhTime PhTask_Now(const PhTask *self);
/* See PhClock_Wall. */
PhTime PhTask_Wall(const PhTask *self);
PhStatus PhTask_Send(PhTask *self, PhTaskRef to, PhMessage message);
/* As PhKernel_Send, but looks up the receiver; NOT_FOUND if no live task has
 * the name. */
PhStatus PhTask_SendTo(PhTask *self, PhStr name, PhMessage message);
/* Sets the one-shot timer that `token` identifies within this task; replaces
 * one that is already set. */
void PhTask_SetTimer(PhTask *self, uint64_t token, PhTime at);
/* A timer that has expired may still be in the mailbox. */
void PhTask_CancelTimer(PhTask *self, uint64_t token);
/* Watches a file descriptor for PH_IO_* events; 0 stops watching.  Stop
 * watching before closing the descriptor. */
void PhTask_Watch(PhTask *self, int fd, int events);
/* Requests PH_MAIL_ENDED when the other task ends; sent at once if it already
 * has. */
void PhTask_Monitor(PhTask *self, PhTaskRef other);
/* Ends this task after the current handler returns. */
void PhTask_End(PhTask *self);
/* Logs an event under this task's name. */
void PhTask_Log(PhTask *self, PhEventId id, const PhField *fields,
                size_t count);
#define PhTask_LOG(SELF, ID, ...)                                             \
    PhTask_Log((SELF), (ID), (const PhField[]){__VA_ARGS__},                  \
               sizeof((const PhField[]){__VA_ARGS__}) / sizeof(PhField))
/* Reports whether an event that is logged at most once a second may be logged
 * now, and if so notes it.  `logged_at` is the time of the last one, 0 if
 * there was none. */
bool PhTask_LogIsDue(const PhTask *self, PhTime *logged_at);

#endif
