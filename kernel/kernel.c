#include "peridothill/kernel/kernel.h"

#include <string.h>

#include "peridothill/common/invariant.h"
#include "peridothill/kernel/registry.h"
#include "peridothill/kernel/timers.h"

/* Mails handled before the loop looks at its descriptors again. */
enum {
    DRAIN_BUDGET = 1024
};

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

/* Tells whether the ref identifies no task. */
bool
PhTaskRef_IsNone(PhTaskRef ref)
{
    return ref.generation == 0;
}

/* Tells whether both refs identify the same task. */
bool
PhTaskRef_Equal(PhTaskRef a, PhTaskRef b)
{
    return a.slot == b.slot && a.generation == b.generation;
}

/* Finds the live task of a ref, or gives NULL. */
static PhTask *
task_find(const PhKernel *kernel, PhTaskRef ref)
{
    if (PhTaskRef_IsNone(ref) || ref.slot >= kernel->tasks->len) {
        return NULL;
    }
    PhTask *task = g_ptr_array_index(kernel->tasks, ref.slot);
    if (task == NULL || task->ref.generation != ref.generation ||
        task->ending) {
        return NULL;
    }
    return task;
}

/* Releases the body of a message. */
static void
message_release(const PhMessage *message)
{
    if (message->release != NULL) {
        message->release(message->body);
    }
}

/* Releases a mail and what it carries. */
static void
mail_destroy(PhMail *mail)
{
    if (mail->kind == PH_MAIL_MESSAGE) {
        message_release(&mail->as.message);
    }
    g_free(mail);
}

/* Puts a mail into the mailbox and the task onto the ready queue. */
static void
task_post(PhTask *task, PhMail mail)
{
    g_queue_push_tail(&task->mailbox, g_memdup2(&mail, sizeof(mail)));
    if (!task->queued) {
        task->queued = true;
        g_queue_push_tail(&task->kernel->ready, task);
    }
}

/* Turns readiness that libev reports into a mail; readiness that is still in
 * the mailbox is not posted twice. */
static void
on_ready(struct ev_loop *loop, ev_io *io, int revents)
{
    PhWatch *watch = (PhWatch *)io->data;
    (void)loop;
    int events = ((revents & EV_READ) ? PH_IO_READ : 0) |
                 ((revents & EV_WRITE) ? PH_IO_WRITE : 0);
    if ((events & ~watch->ready) == 0) {
        return;
    }
    watch->ready |= events;
    task_post(watch->task,
              (PhMail){.kind = PH_MAIL_IO,
                       .as.io = {.fd = io->fd, .events = events}});
}

/* Posts every timer that is due. */
static void
fire_timers(PhKernel *kernel)
{
    PhTime now = PhKernel_Now(kernel);
    PhDueTimer due;
    while (PhTimers_Pop(kernel->timers, now, &due)) {
        PhTask *task = task_find(kernel, due.owner);
        if (task != NULL) {
            PhCounters_Add(kernel->options.counters, PH_COUNTER_KERNEL_TIMERS,
                           1);
            task_post(task,
                      (PhMail){.kind = PH_MAIL_TIMER, .as.timer = due.token});
        }
    }
}

/* Wakes the loop at the next due time. */
static void
arm_timer(PhKernel *kernel)
{
    struct ev_loop *loop = kernel->options.loop;
    PhTime next = PhTimers_Next(kernel->timers);
    ev_timer_stop(loop, &kernel->timer);
    if (next == PH_TIME_NEVER) {
        return;
    }
    PhTime wait = MAX(next - PhKernel_Now(kernel), 0);
    ev_now_update(loop);
    ev_timer_set(&kernel->timer, (double)wait / (double)PH_NS_PER_S, 0.0);
    ev_timer_start(loop, &kernel->timer);
}

/* Drains mailboxes before the loop waits; while mail is left over, the idle
 * watcher keeps the loop from waiting. */
static void
on_prepare(struct ev_loop *loop, ev_prepare *prepare, int revents)
{
    PhKernel *kernel = prepare->data;
    (void)revents;
    PhKernel_Drain(kernel, DRAIN_BUDGET);
    if (g_queue_is_empty(&kernel->ready)) {
        ev_idle_stop(loop, &kernel->idle);
    }
    else {
        ev_idle_start(loop, &kernel->idle);
    }
    arm_timer(kernel);
}

/* The idle watcher has nothing to do of its own. */
static void
on_idle(struct ev_loop *loop, ev_idle *idle, int revents)
{
    (void)loop;
    (void)idle;
    (void)revents;
}

/* Due timers are posted by the next drain. */
static void
on_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
    (void)loop;
    (void)timer;
    (void)revents;
}

/* Starts the watchers that connect the kernel with its loop. */
static void
kernel_attach(PhKernel *kernel)
{
    struct ev_loop *loop = kernel->options.loop;
    ev_prepare_init(&kernel->prepare, on_prepare);
    kernel->prepare.data = kernel;
    ev_prepare_start(loop, &kernel->prepare);
    /* The prepare watcher alone must not keep the loop running. */
    ev_unref(loop);
    ev_idle_init(&kernel->idle, on_idle);
    ev_timer_init(&kernel->timer, on_timer, 0.0, 0.0);
}

/* Stops the watchers of kernel_attach. */
static void
kernel_detach(PhKernel *kernel)
{
    struct ev_loop *loop = kernel->options.loop;
    ev_ref(loop);
    ev_prepare_stop(loop, &kernel->prepare);
    ev_idle_stop(loop, &kernel->idle);
    ev_timer_stop(loop, &kernel->timer);
}

/* Creates a kernel; what the options name must outlive it. */
PhKernel *
PhKernel_Create(const PhKernelOptions *options)
{
    PhKernel *kernel = g_new0(PhKernel, 1);
    kernel->options = *options;
    kernel->registry = PhRegistry_Create();
    kernel->timers = PhTimers_Create();
    kernel->tasks = g_ptr_array_new();
    kernel->generations = g_array_new(FALSE, TRUE, sizeof(uint32_t));
    g_queue_init(&kernel->ready);
    if (options->loop != NULL) {
        kernel_attach(kernel);
    }
    return kernel;
}

/* Tells the tasks that monitor this one that it has ended. */
static void
notify_monitors(PhTask *task)
{
    for (guint i = 0; i < task->monitors->len; i++) {
        PhTaskRef watcher = g_array_index(task->monitors, PhTaskRef, i);
        PhTask *other = task_find(task->kernel, watcher);
        if (other != NULL) {
            task_post(other,
                      (PhMail){.kind = PH_MAIL_ENDED, .as.ended = task->ref});
        }
    }
}

/* Takes the task out of the kernel and releases all it owns. */
static void
task_destroy(PhTask *task)
{
    PhKernel *kernel = task->kernel;
    task->ending = true;
    PhRegistry_Remove(kernel->registry, task->spec.name);
    if (task->queued) {
        g_queue_remove(&kernel->ready, task);
    }
    notify_monitors(task);
    if (task->spec.destroy != NULL) {
        task->spec.destroy(task->spec.state);
    }
    g_hash_table_destroy(task->watches);
    PhMail *mail;
    while ((mail = g_queue_pop_head(&task->mailbox)) != NULL) {
        mail_destroy(mail);
    }
    g_ptr_array_index(kernel->tasks, task->ref.slot) = NULL;
    kernel->live--;
    g_array_free(task->monitors, TRUE);
    PhStr_Clear(&task->spec.name);
    g_free(task);
}

/* Destroys every task, latest first, and the kernel. */
void
PhKernel_Destroy(PhKernel *kernel)
{
    if (kernel == NULL) {
        return;
    }
    for (guint i = kernel->tasks->len; i > 0; i--) {
        PhTask *task = g_ptr_array_index(kernel->tasks, i - 1);
        if (task != NULL) {
            task_destroy(task);
        }
    }
    if (kernel->options.loop != NULL) {
        kernel_detach(kernel);
    }
    g_queue_clear(&kernel->ready);
    g_ptr_array_free(kernel->tasks, TRUE);
    g_array_free(kernel->generations, TRUE);
    PhTimers_Destroy(kernel->timers);
    PhRegistry_Destroy(kernel->registry);
    g_free(kernel);
}

/* Reads the kernel's clock. */
PhTime
PhKernel_Now(const PhKernel *kernel)
{
    return PhClock_Now(kernel->options.clock);
}

/* Gives the kernel's logger, NULL when there is none. */
PhLog *
PhKernel_Log(const PhKernel *kernel)
{
    return kernel->options.log;
}

/* Gives the counters of the instance. */
PhCounters *
PhKernel_Counters(const PhKernel *kernel)
{
    return kernel->options.counters;
}

/* Takes a free slot, or a new one, with its next generation. */
static PhTaskRef
slot_take(PhKernel *kernel)
{
    guint slot = 0;
    while (slot < kernel->tasks->len &&
           g_ptr_array_index(kernel->tasks, slot) != NULL) {
        slot++;
    }
    if (slot == kernel->tasks->len) {
        g_ptr_array_add(kernel->tasks, NULL);
        g_array_set_size(kernel->generations, slot + 1);
    }
    uint32_t *generation = &g_array_index(kernel->generations, uint32_t, slot);
    (*generation)++;
    return (PhTaskRef){.slot = slot, .generation = *generation};
}

/* Stops and releases a watch. */
static void
watch_destroy(gpointer value)
{
    PhWatch *watch = value;
    ev_io_stop(watch->task->kernel->options.loop, &watch->io);
    g_free(watch);
}

/* Starts a task under a name that no live task has. */
PhStatus
PhKernel_Spawn(PhKernel *kernel, const PhTaskSpec *spec, PhTaskRef *ref)
{
    if (!PhTaskRef_IsNone(PhRegistry_Find(kernel->registry, spec->name))) {
        return PH_STATUS_EXISTS;
    }
    PhTask *task = g_new0(PhTask, 1);
    task->kernel = kernel;
    task->spec = *spec;
    task->spec.name = PhStr_Dup(spec->name);
    task->ref = slot_take(kernel);
    g_queue_init(&task->mailbox);
    task->watches = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
                                          watch_destroy);
    task->monitors = g_array_new(FALSE, FALSE, sizeof(PhTaskRef));
    g_ptr_array_index(kernel->tasks, task->ref.slot) = task;
    PhRegistry_Add(kernel->registry, task->spec.name, task->ref);
    kernel->live++;
    task_post(task, (PhMail){.kind = PH_MAIL_START});
    PhTask_LOG(task, PH_EVENT_TASK_STARTED,
               PhField_U64("slot", task->ref.slot));
    if (ref != NULL) {
        *ref = task->ref;
    }
    return PH_STATUS_OK;
}

/* Finds a live task by its name. */
PhTaskRef
PhKernel_Lookup(const PhKernel *kernel, PhStr name)
{
    PhTaskRef ref = PhRegistry_Find(kernel->registry, name);
    return task_find(kernel, ref) == NULL ? (PhTaskRef){0} : ref;
}

/* Delivers a message to a mailbox, within its bound. */
PhStatus
PhKernel_Send(PhKernel *kernel, PhTaskRef from, PhTaskRef to,
              PhMessage message)
{
    PhTask *task = task_find(kernel, to);
    if (task == NULL) {
        message_release(&message);
        return PH_STATUS_GONE;
    }
    if (task->messages >= task->spec.mailbox_capacity) {
        message_release(&message);
        PhCounters_Add(kernel->options.counters,
                       PH_COUNTER_KERNEL_MAILBOX_FULL, 1);
        PhTask_LOG(task, PH_EVENT_MAILBOX_FULL,
                   PhField_U64("interface", message.interface));
        return PH_STATUS_FULL;
    }
    task->messages++;
    task_post(task, (PhMail){.kind = PH_MAIL_MESSAGE,
                             .from = from,
                             .as.message = message});
    return PH_STATUS_OK;
}

/* Asks a task to stop. */
PhStatus
PhKernel_Stop(PhKernel *kernel, PhTaskRef ref)
{
    PhTask *task = task_find(kernel, ref);
    if (task == NULL) {
        return PH_STATUS_GONE;
    }
    task_post(task, (PhMail){.kind = PH_MAIL_STOP});
    return PH_STATUS_OK;
}

/* Counts the live tasks. */
size_t
PhKernel_TaskCount(const PhKernel *kernel)
{
    return kernel->live;
}

/* Forgets the readiness that this mail reported, so that libev may report it
 * again. */
static void
io_taken(PhTask *task, const PhMail *mail)
{
    PhWatch *watch =
        g_hash_table_lookup(task->watches, GINT_TO_POINTER(mail->as.io.fd));
    if (watch != NULL) {
        watch->ready &= ~mail->as.io.events;
    }
}

/* Gives the next mail to the task's handler. */
static void
task_run_one(PhTask *task)
{
    PhMail *mail = g_queue_pop_head(&task->mailbox);
    Ph_INVARIANT(PH_INVARIANT_KERNEL, mail != NULL, "slot=%u", task->ref.slot);
    if (mail->kind == PH_MAIL_MESSAGE) {
        task->messages--;
    }
    if (mail->kind == PH_MAIL_IO) {
        io_taken(task, mail);
    }
    PhCounters_Add(task->kernel->options.counters, PH_COUNTER_KERNEL_MESSAGES,
                   1);
    task->spec.handle(task->spec.state, task, mail);
    mail_destroy(mail);
}

/* Runs ready tasks in turn, one mail each, within the budget. */
size_t
PhKernel_Drain(PhKernel *kernel, size_t budget)
{
    size_t handled = 0;
    fire_timers(kernel);
    while (handled < budget && !g_queue_is_empty(&kernel->ready)) {
        PhTask *task = g_queue_pop_head(&kernel->ready);
        task->queued = false;
        task_run_one(task);
        handled++;
        if (task->ending) {
            PhTask_LOG(task, PH_EVENT_TASK_ENDED,
                       PhField_U64("slot", task->ref.slot));
            task_destroy(task);
        }
        else if (!task->queued && !g_queue_is_empty(&task->mailbox)) {
            task->queued = true;
            g_queue_push_tail(&kernel->ready, task);
        }
    }
    return handled;
}

/* Advances a paused clock to `at`, one due time after another. */
void
PhKernel_AdvanceTo(PhKernel *kernel, PhTime at)
{
    PhClock *clock = kernel->options.clock;
    PhKernel_Drain(kernel, SIZE_MAX);
    for (;;) {
        PhTime next = MIN(PhTimers_Next(kernel->timers), at);
        if (next > PhClock_Now(clock)) {
            PhClock_Advance(clock, next - PhClock_Now(clock));
        }
        PhKernel_Drain(kernel, SIZE_MAX);
        if (PhTimers_Next(kernel->timers) > at) {
            break;
        }
    }
    if (at > PhClock_Now(clock)) {
        PhClock_Advance(clock, at - PhClock_Now(clock));
    }
}

/* Gives the kernel of the task. */
PhKernel *
PhTask_Kernel(const PhTask *self)
{
    return self->kernel;
}

/* Gives the ref of the task. */
PhTaskRef
PhTask_Ref(const PhTask *self)
{
    return self->ref;
}

/* Gives the name of the task. */
PhStr
PhTask_Name(const PhTask *self)
{
    return self->spec.name;
}

/* Reads the clock. */
PhTime
PhTask_Now(const PhTask *self)
{
    return PhKernel_Now(self->kernel);
}

/* Reads the wall clock. */
PhTime
PhTask_Wall(const PhTask *self)
{
    return PhClock_Wall(self->kernel->options.clock);
}

/* Sends a message from this task. */
PhStatus
PhTask_Send(PhTask *self, PhTaskRef to, PhMessage message)
{
    return PhKernel_Send(self->kernel, self->ref, to, message);
}

/* Sends a message to the task with this name. */
PhStatus
PhTask_SendTo(PhTask *self, PhStr name, PhMessage message)
{
    PhTaskRef to = PhKernel_Lookup(self->kernel, name);
    if (PhTaskRef_IsNone(to)) {
        message_release(&message);
        return PH_STATUS_NOT_FOUND;
    }
    return PhTask_Send(self, to, message);
}

/* Sets a timer of this task. */
void
PhTask_SetTimer(PhTask *self, uint64_t token, PhTime at)
{
    PhTimers_Set(self->kernel->timers, self->ref, token, at);
}

/* Cancels a timer of this task; a due one may still be in the mailbox. */
void
PhTask_CancelTimer(PhTask *self, uint64_t token)
{
    PhTimers_Cancel(self->kernel->timers, self->ref, token);
}

/* Watches a descriptor, or changes or ends the watch. */
void
PhTask_Watch(PhTask *self, int fd, int events)
{
    struct ev_loop *loop = self->kernel->options.loop;
    Ph_INVARIANT(PH_INVARIANT_KERNEL, loop != NULL && fd >= 0, "fd=%d", fd);
    PhWatch *watch = g_hash_table_lookup(self->watches, GINT_TO_POINTER(fd));
    if (events == 0) {
        g_hash_table_remove(self->watches, GINT_TO_POINTER(fd));
        return;
    }
    if (watch == NULL) {
        watch = g_new0(PhWatch, 1);
        watch->task = self;
        ev_io_init(&watch->io, on_ready, fd, 0);
        watch->io.data = watch;
        g_hash_table_insert(self->watches, GINT_TO_POINTER(fd), watch);
    }
    int wanted = ((events & PH_IO_READ) ? EV_READ : 0) |
                 ((events & PH_IO_WRITE) ? EV_WRITE : 0);
    ev_io_stop(loop, &watch->io);
    ev_io_set(&watch->io, fd, wanted);
    ev_io_start(loop, &watch->io);
}

/* Asks to be told when the other task ends. */
void
PhTask_Monitor(PhTask *self, PhTaskRef other)
{
    PhTask *task = task_find(self->kernel, other);
    if (task == NULL) {
        task_post(self, (PhMail){.kind = PH_MAIL_ENDED, .as.ended = other});
        return;
    }
    g_array_append_val(task->monitors, self->ref);
}

/* Ends this task once its handler returns. */
void
PhTask_End(PhTask *self)
{
    self->ending = true;
}

/* Writes an event under this task's name. */
void
PhTask_Log(PhTask *self, PhEventId id, const PhField *fields, size_t count)
{
    PhLog_Write(self->kernel->options.log, id, self->spec.name,
                PhTask_Now(self), fields, count);
}
