#include "kernel_internal.h"
#include "peridothill/common/invariant.h"

/* Bounds the delay of I/O events while mailboxes are busy. */
enum {
    DRAIN_BUDGET_MAILS = 1024
};

/* Posts the events as a mail, unless mails in the mailbox report all of them
 * already. */
static void
on_ready(struct ev_loop *loop, ev_io *io, int revents)
{
    PhWatch *watch = (PhWatch *)io->data;
    (void)loop;
    int events = ((revents & EV_READ) ? PH_IO_READ : 0) |
                 ((revents & EV_WRITE) ? PH_IO_WRITE : 0);
    if ((events & ~watch->queued_events) == 0) {
        return;
    }
    watch->queued_events |= events;
    PhTask_Post(watch->task,
                (PhMail){.kind = PH_MAIL_IO,
                         .as.io = {.fd = io->fd, .events = events}});
}

/* Sets the libev timer to the next timer of the kernel. */
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

/* Drains the mailboxes before the loop polls.  While mail is left over, the
 * idle watcher keeps the poll from blocking. */
static void
on_prepare(struct ev_loop *loop, ev_prepare *prepare, int revents)
{
    PhKernel *kernel = prepare->data;
    (void)revents;
    PhKernel_Drain(kernel, DRAIN_BUDGET_MAILS);
    if (g_queue_is_empty(&kernel->ready)) {
        ev_idle_stop(loop, &kernel->idle);
    }
    else {
        ev_idle_start(loop, &kernel->idle);
    }
    arm_timer(kernel);
}

/* An active idle watcher alone has the desired effect; see on_prepare. */
static void
on_idle(struct ev_loop *loop, ev_idle *idle, int revents)
{
    (void)loop;
    (void)idle;
    (void)revents;
}

/* The next PhKernel_Drain posts the expired timers. */
static void
on_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
    (void)loop;
    (void)timer;
    (void)revents;
}

void
PhKernelLoop_Attach(PhKernel *kernel)
{
    struct ev_loop *loop = kernel->options.loop;
    ev_prepare_init(&kernel->prepare, on_prepare);
    kernel->prepare.data = kernel;
    ev_prepare_start(loop, &kernel->prepare);
    /* The prepare watcher alone must not keep ev_run from returning. */
    ev_unref(loop);
    ev_idle_init(&kernel->idle, on_idle);
    ev_timer_init(&kernel->timer, on_timer, 0.0, 0.0);
}

void
PhKernelLoop_Detach(PhKernel *kernel)
{
    struct ev_loop *loop = kernel->options.loop;
    ev_ref(loop);
    ev_prepare_stop(loop, &kernel->prepare);
    ev_idle_stop(loop, &kernel->idle);
    ev_timer_stop(loop, &kernel->timer);
}

void
PhKernelLoop_DestroyWatch(gpointer value)
{
    PhWatch *watch = value;
    ev_io_stop(watch->task->kernel->options.loop, &watch->io);
    g_free(watch);
}

void
PhKernelLoop_ClearQueuedEvents(PhTask *task, const PhMail *mail)
{
    PhWatch *watch =
        g_hash_table_lookup(task->watches, GINT_TO_POINTER(mail->as.io.fd));
    if (watch != NULL) {
        watch->queued_events &= ~mail->as.io.events;
    }
}

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
