#include "kernel_internal.h"

/* Of events that untrusted callers can cause at any rate. */
static const PhTime LOG_INTERVAL = 1 * PH_NS_PER_S;

bool
PhTaskRef_IsNone(PhTaskRef ref)
{
    return ref.generation == 0;
}

bool
PhTaskRef_Equal(PhTaskRef a, PhTaskRef b)
{
    return a.slot == b.slot && a.generation == b.generation;
}

PhMessage
PhMessage_Copy(uint32_t interface, const void *body, size_t size,
               void (*release)(void *body))
{
    return (PhMessage){.interface = interface,
                       .body = g_memdup2(body, size),
                       .release = release};
}

void
PhMessage_Release(const PhMessage *message)
{
    if (message->release != NULL) {
        message->release(message->body);
    }
}

PhTask *
PhTask_Find(const PhKernel *kernel, PhTaskRef ref)
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

void
PhTask_Post(PhTask *task, PhMail mail)
{
    g_queue_push_tail(&task->mailbox, g_memdup2(&mail, sizeof(mail)));
    if (!task->queued) {
        task->queued = true;
        g_queue_push_tail(&task->kernel->ready, task);
    }
}

PhKernel *
PhTask_Kernel(const PhTask *self)
{
    return self->kernel;
}

PhTaskRef
PhTask_Ref(const PhTask *self)
{
    return self->ref;
}

PhStr
PhTask_Name(const PhTask *self)
{
    return self->spec.name;
}

PhTime
PhTask_Now(const PhTask *self)
{
    return PhKernel_Now(self->kernel);
}

PhTime
PhTask_Wall(const PhTask *self)
{
    return PhClock_Wall(self->kernel->options.clock);
}

PhStatus
PhTask_Send(PhTask *self, PhTaskRef to, PhMessage message)
{
    return PhKernel_Send(self->kernel, self->ref, to, message);
}

PhStatus
PhTask_SendTo(PhTask *self, PhStr name, PhMessage message)
{
    PhTaskRef to = PhKernel_Lookup(self->kernel, name);
    if (PhTaskRef_IsNone(to)) {
        PhMessage_Release(&message);
        return PH_STATUS_NOT_FOUND;
    }
    return PhTask_Send(self, to, message);
}

void
PhTask_SetTimer(PhTask *self, uint64_t token, PhTime at)
{
    PhTimers_Set(self->kernel->timers, self->ref, token, at);
}

void
PhTask_CancelTimer(PhTask *self, uint64_t token)
{
    PhTimers_Cancel(self->kernel->timers, self->ref, token);
}

void
PhTask_Monitor(PhTask *self, PhTaskRef other)
{
    PhTask *task = PhTask_Find(self->kernel, other);
    if (task == NULL) {
        PhTask_Post(self, (PhMail){.kind = PH_MAIL_ENDED, .as.ended = other});
        return;
    }
    g_array_append_val(task->monitors, self->ref);
}

void
PhTask_End(PhTask *self)
{
    self->ending = true;
}

void
PhTask_Log(PhTask *self, PhEventId id, const PhField *fields, size_t count)
{
    PhLog_Write(self->kernel->options.log, id, self->spec.name,
                PhTask_Now(self), fields, count);
}

bool
PhTask_LogIsDue(const PhTask *self, PhTime *logged_at)
{
    PhTime now = PhTask_Now(self);
    if (*logged_at != 0 && now - *logged_at < LOG_INTERVAL) {
        return false;
    }
    *logged_at = now;
    return true;
}
