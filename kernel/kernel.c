#include "kernel_internal.h"
#include "peridothill/common/invariant.h"

static void
mail_destroy(PhMail *mail)
{
    if (mail->kind == PH_MAIL_MESSAGE) {
        PhMessage_Release(&mail->as.message);
    }
    g_free(mail);
}

static void
post_expired_timers(PhKernel *kernel)
{
    PhTime now = PhKernel_Now(kernel);
    PhDueTimer due;
    while (PhTimers_Pop(kernel->timers, now, &due)) {
        PhTask *task = PhTask_Find(kernel, due.owner);
        if (task != NULL) {
            PhCounters_Add(kernel->options.counters, PH_COUNTER_KERNEL_TIMERS,
                           1);
            PhTask_Post(
                task, (PhMail){.kind = PH_MAIL_TIMER, .as.timer = due.token});
        }
    }
}

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
        PhKernelLoop_Attach(kernel);
    }
    return kernel;
}

static void
notify_monitors(PhTask *task)
{
    for (guint i = 0; i < task->monitors->len; i++) {
        PhTaskRef watcher = g_array_index(task->monitors, PhTaskRef, i);
        PhTask *other = PhTask_Find(task->kernel, watcher);
        if (other != NULL) {
            PhTask_Post(
                other, (PhMail){.kind = PH_MAIL_ENDED, .as.ended = task->ref});
        }
    }
}

/* Removes the task from the kernel and frees everything it owns. */
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

/* Destroys the tasks from the highest slot down, then the kernel. */
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
        PhKernelLoop_Detach(kernel);
    }
    g_queue_clear(&kernel->ready);
    g_ptr_array_free(kernel->tasks, TRUE);
    g_array_free(kernel->generations, TRUE);
    PhTimers_Destroy(kernel->timers);
    PhRegistry_Destroy(kernel->registry);
    g_free(kernel);
}

PhTime
PhKernel_Now(const PhKernel *kernel)
{
    return PhClock_Now(kernel->options.clock);
}

PhLog *
PhKernel_Log(const PhKernel *kernel)
{
    return kernel->options.log;
}

PhCounters *
PhKernel_Counters(const PhKernel *kernel)
{
    return kernel->options.counters;
}

/* Reuses a free slot or adds one; a new generation tells its tasks apart. */
static PhTaskRef
slot_allocate(PhKernel *kernel)
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

PhStatus
PhKernel_Spawn(PhKernel *kernel, const PhTaskSpec *spec, PhTaskRef *ref)
{
    if (!PhTaskRef_IsNone(PhRegistry_Find(kernel->registry, spec->name))) {
        if (spec->destroy != NULL) {
            spec->destroy(spec->state);
        }
        return PH_STATUS_EXISTS;
    }
    PhTask *task = g_new0(PhTask, 1);
    task->kernel = kernel;
    task->spec = *spec;
    task->spec.name = PhStr_Dup(spec->name);
    task->ref = slot_allocate(kernel);
    g_queue_init(&task->mailbox);
    task->watches = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
                                          PhKernelLoop_DestroyWatch);
    task->monitors = g_array_new(FALSE, FALSE, sizeof(PhTaskRef));
    g_ptr_array_index(kernel->tasks, task->ref.slot) = task;
    PhRegistry_Add(kernel->registry, task->spec.name, task->ref);
    kernel->live++;
    PhTask_Post(task, (PhMail){.kind = PH_MAIL_START});
    PhTask_LOG(task, PH_EVENT_TASK_STARTED,
               PhField_U64("slot", task->ref.slot));
    if (ref != NULL) {
        *ref = task->ref;
    }
    return PH_STATUS_OK;
}

PhTaskRef
PhKernel_Lookup(const PhKernel *kernel, PhStr name)
{
    PhTaskRef ref = PhRegistry_Find(kernel->registry, name);
    return PhTask_Find(kernel, ref) == NULL ? (PhTaskRef){0} : ref;
}

PhStatus
PhKernel_Send(PhKernel *kernel, PhTaskRef from, PhTaskRef to,
              PhMessage message)
{
    PhTask *task = PhTask_Find(kernel, to);
    if (task == NULL) {
        PhMessage_Release(&message);
        return PH_STATUS_GONE;
    }
    if (task->messages >= task->spec.mailbox_capacity) {
        PhMessage_Release(&message);
        PhCounters_Add(kernel->options.counters,
                       PH_COUNTER_KERNEL_MAILBOX_FULL, 1);
        PhTask_LOG(task, PH_EVENT_MAILBOX_FULL,
                   PhField_U64("interface", message.interface));
        return PH_STATUS_FULL;
    }
    task->messages++;
    PhTask_Post(task, (PhMail){.kind = PH_MAIL_MESSAGE,
                               .from = from,
                               .as.message = message});
    return PH_STATUS_OK;
}

PhStatus
PhKernel_Stop(PhKernel *kernel, PhTaskRef ref)
{
    PhTask *task = PhTask_Find(kernel, ref);
    if (task == NULL) {
        return PH_STATUS_GONE;
    }
    PhTask_Post(task, (PhMail){.kind = PH_MAIL_STOP});
    return PH_STATUS_OK;
}

size_t
PhKernel_TaskCount(const PhKernel *kernel)
{
    return kernel->live;
}

/* Calls the handler with the oldest mail. */
static void
task_handle_next(PhTask *task)
{
    PhMail *mail = g_queue_pop_head(&task->mailbox);
    Ph_INVARIANT(PH_INVARIANT_KERNEL, mail != NULL, "slot=%u", task->ref.slot);
    if (mail->kind == PH_MAIL_MESSAGE) {
        task->messages--;
    }
    if (mail->kind == PH_MAIL_IO) {
        PhKernelLoop_ClearQueuedEvents(task, mail);
    }
    PhCounters_Add(task->kernel->options.counters, PH_COUNTER_KERNEL_MESSAGES,
                   1);
    task->spec.handle(task->spec.state, task, mail);
    mail_destroy(mail);
}

/* Round-robin over ready tasks, one mail each, so that no task starves the
 * others. */
size_t
PhKernel_Drain(PhKernel *kernel, size_t budget)
{
    size_t handled = 0;
    post_expired_timers(kernel);
    while (handled < budget && !g_queue_is_empty(&kernel->ready)) {
        PhTask *task = g_queue_pop_head(&kernel->ready);
        task->queued = false;
        task_handle_next(task);
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
