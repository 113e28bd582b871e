#include "peridothill/kernel/kernel.h"

#include <string.h>
#include <unistd.h>

#include "tests/table.h"

enum {
    TRACE_MAX_MAILS = 64
};

/* A task that records the kinds of its mail. */
typedef struct PhRecorder {
    char trace[TRACE_MAX_MAILS]; /* one of mail_letters per mail */
    size_t count;
    uint64_t last_timer;
    PhTaskRef monitored;
    bool end_on_message;
} PhRecorder;

/* In the order of PhMailKind. */
static const char mail_letters[] = "SMTIES";

static void
recorder_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhRecorder *r = state;
    assert_true(r->count < TRACE_MAX_MAILS - 1);
    r->trace[r->count++] = mail_letters[mail->kind];
    switch (mail->kind) {
    case PH_MAIL_START:
        if (!PhTaskRef_IsNone(r->monitored)) {
            PhTask_Monitor(self, r->monitored);
        }
        break;
    case PH_MAIL_MESSAGE:
        if (r->end_on_message) {
            PhTask_End(self);
        }
        break;
    case PH_MAIL_TIMER:
        r->last_timer = mail->as.timer;
        break;
    case PH_MAIL_IO:
        PhTask_Watch(self, mail->as.io.fd, 0);
        break;
    case PH_MAIL_ENDED:
        break;
    case PH_MAIL_STOP:
        PhTask_End(self);
        break;
    }
}

typedef struct PhFixture {
    PhClock *clock;
    PhCounters *counters;
    PhKernel *kernel;
} PhFixture;

static PhFixture
fixture_create(struct ev_loop *loop)
{
    PhFixture f = {.clock = PhClock_Create(PH_CLOCK_PAUSED),
                   .counters = PhCounters_Create()};
    f.kernel = PhKernel_Create(&(PhKernelOptions){
        .clock = f.clock, .counters = f.counters, .loop = loop});
    return f;
}

static void
fixture_destroy(PhFixture *f)
{
    PhKernel_Destroy(f->kernel);
    PhCounters_Destroy(f->counters);
    PhClock_Destroy(f->clock);
}

static PhTaskRef
recorder_spawn(PhFixture *f, PhRecorder *r, const char *name, size_t capacity)
{
    PhTaskRef ref;
    PhTaskSpec spec = {.name = PhStr_FromC(name),
                       .mailbox_capacity = capacity,
                       .state = r,
                       .handle = recorder_handle};
    assert_int_equal(PhKernel_Spawn(f->kernel, &spec, &ref), PH_STATUS_OK);
    return ref;
}

static void
release_counted(void *body)
{
    ++*(int *)body;
}

typedef struct PhMailboxCase {
    const char *name;
    size_t capacity;
    int sent;
    int delivered;
} PhMailboxCase;

static const PhMailboxCase mailbox_cases[] = {
    {"room for all", 8, 5, 5},
    {"exactly full", 5, 5, 5},
    {"one over capacity", 4, 5, 4},
    {"zero capacity", 0, 3, 0},
};

static void
check_mailbox(const PhMailboxCase *c)
{
    PhFixture f = fixture_create(NULL);
    PhRecorder r = {0};
    PhTaskRef ref = recorder_spawn(&f, &r, "box", c->capacity);
    int released = 0;
    int refused = 0;
    for (int i = 0; i < c->sent; i++) {
        PhMessage m = {.body = &released, .release = release_counted};
        PhStatus status = PhKernel_Send(f.kernel, ref, ref, m);
        refused += status == PH_STATUS_FULL;
    }
    assert_int_equal(refused, c->sent - c->delivered);
    assert_int_equal(released, refused);
    assert_int_equal(
        PhCounters_Get(f.counters, PH_COUNTER_KERNEL_MAILBOX_FULL), refused);
    PhKernel_Drain(f.kernel, SIZE_MAX);
    assert_int_equal(r.count, c->delivered + 1);
    assert_int_equal(released, c->sent);
    fixture_destroy(&f);
}

/* Guards against a mailbox that grows beyond its capacity, and refused
 * messages that leak. */
static void
test_mailbox_capacity(void **state)
{
    (void)state;
    Ph_RUN_TABLE(mailbox_cases, check_mailbox);
}

typedef struct PhEndCase {
    const char *name;
    bool by_stop;
    bool monitored_after_end;
} PhEndCase;

static const PhEndCase end_cases[] = {
    {"ends by itself", false, false},
    {"is stopped", true, false},
    {"monitored after its end", false, true},
};

static void
check_end(const PhEndCase *c)
{
    PhFixture f = fixture_create(NULL);
    PhRecorder ended = {.end_on_message = true};
    PhTaskRef ref = recorder_spawn(&f, &ended, "ended", 4);
    PhRecorder watcher = {.monitored = ref};
    if (!c->monitored_after_end) {
        recorder_spawn(&f, &watcher, "watcher", 4);
    }
    PhKernel_Drain(f.kernel, SIZE_MAX);
    assert_true(PhTaskRef_Equal(
        PhKernel_Lookup(f.kernel, PhStr_LITERAL("ended")), ref));
    if (c->by_stop) {
        PhKernel_Stop(f.kernel, ref);
    }
    else {
        PhKernel_Send(f.kernel, ref, ref, (PhMessage){0});
    }
    PhKernel_Drain(f.kernel, SIZE_MAX);
    if (c->monitored_after_end) {
        recorder_spawn(&f, &watcher, "watcher", 4);
        PhKernel_Drain(f.kernel, SIZE_MAX);
    }
    assert_true(
        PhTaskRef_IsNone(PhKernel_Lookup(f.kernel, PhStr_LITERAL("ended"))));
    assert_int_equal(PhKernel_Send(f.kernel, ref, ref, (PhMessage){0}),
                     PH_STATUS_GONE);
    assert_string_equal(watcher.trace, "SE");
    PhRecorder reused_name = {0};
    PhTaskRef next = recorder_spawn(&f, &reused_name, "ended", 4);
    assert_false(PhTaskRef_Equal(next, ref));
    fixture_destroy(&f);
}

/* Guards against messages to an ended task that reach its successor, and
 * monitors that are not notified. */
static void
test_task_end(void **state)
{
    (void)state;
    Ph_RUN_TABLE(end_cases, check_end);
}

typedef struct PhTimerCase {
    const char *name;
    PhTime first;
    PhTime moved; /* new time; 0 leaves the timer, -1 cancels it */
    PhTime until;
    const char *trace;
} PhTimerCase;

static const PhTimerCase timer_cases[] = {
    {"fires when due", 10, 0, 10, "ST"},   {"not before", 10, 0, 9, "S"},
    {"fires once", 10, 0, 1000, "ST"},     {"moved later", 10, 20, 15, "S"},
    {"moved and fired", 10, 20, 25, "ST"}, {"cancelled", 10, -1, 100, "S"},
};

typedef struct PhTimerTask {
    PhRecorder recorder;
    const PhTimerCase *c;
} PhTimerTask;

static void
timer_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhTimerTask *t = state;
    if (mail->kind == PH_MAIL_START) {
        PhTask_SetTimer(self, 1, t->c->first);
        if (t->c->moved > 0) {
            PhTask_SetTimer(self, 1, t->c->moved);
        }
        else if (t->c->moved < 0) {
            PhTask_CancelTimer(self, 1);
        }
    }
    recorder_handle(&t->recorder, self, mail);
}

static void
check_timer(const PhTimerCase *c)
{
    PhFixture f = fixture_create(NULL);
    PhTimerTask t = {.c = c};
    PhTaskSpec spec = {.name = PhStr_LITERAL("timer"),
                       .mailbox_capacity = 1,
                       .state = &t,
                       .handle = timer_handle};
    assert_int_equal(PhKernel_Spawn(f.kernel, &spec, NULL), PH_STATUS_OK);
    PhKernel_AdvanceTo(f.kernel, c->until);
    assert_string_equal(t.recorder.trace, c->trace);
    assert_int_equal(PhKernel_Now(f.kernel), c->until);
    fixture_destroy(&f);
}

/* Guards against timers that fire early, twice or after a cancellation. */
static void
test_timer_fires_once(void **state)
{
    (void)state;
    Ph_RUN_TABLE(timer_cases, check_timer);
}

/* Guards against two live tasks with one name, and a state that leaks when the
 * spawn fails. */
static void
test_name_taken(void **state)
{
    PhFixture f = fixture_create(NULL);
    PhRecorder r = {0};
    int released = 0;
    (void)state;
    recorder_spawn(&f, &r, "same", 1);
    PhTaskSpec spec = {.name = PhStr_LITERAL("same"),
                       .state = &released,
                       .handle = recorder_handle,
                       .destroy = release_counted};
    assert_int_equal(PhKernel_Spawn(f.kernel, &spec, NULL), PH_STATUS_EXISTS);
    assert_int_equal(released, 1);
    assert_int_equal(PhKernel_TaskCount(f.kernel), 1);
    fixture_destroy(&f);
}

static void
pipe_handle(void *state, PhTask *self, const PhMail *mail)
{
    int *fds = state;
    switch (mail->kind) {
    case PH_MAIL_START:
        PhTask_Watch(self, fds[0], PH_IO_READ);
        break;
    case PH_MAIL_IO:
        assert_int_equal(mail->as.io.fd, fds[0]);
        PhTask_End(self);
        break;
    case PH_MAIL_MESSAGE:
    case PH_MAIL_TIMER:
    case PH_MAIL_ENDED:
    case PH_MAIL_STOP:
        fail();
    }
}

/* Guards against readiness that does not reach the task, and a loop that keeps
 * running after its last task. */
static void
test_io_readiness(void **state)
{
    int fds[2];
    (void)state;
    assert_int_equal(pipe(fds), 0);
    struct ev_loop *loop = ev_loop_new(0);
    PhFixture f = fixture_create(loop);
    PhTaskSpec spec = {.name = PhStr_LITERAL("reader"),
                       .mailbox_capacity = 1,
                       .state = fds,
                       .handle = pipe_handle};
    assert_int_equal(PhKernel_Spawn(f.kernel, &spec, NULL), PH_STATUS_OK);
    assert_int_equal(write(fds[1], "x", 1), 1);
    while (PhKernel_TaskCount(f.kernel) > 0) {
        ev_run(loop, EVRUN_ONCE);
    }
    fixture_destroy(&f);
    ev_loop_destroy(loop);
    close(fds[0]);
    close(fds[1]);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_mailbox_capacity),
        cmocka_unit_test(test_task_end),
        cmocka_unit_test(test_timer_fires_once),
        cmocka_unit_test(test_name_taken),
        cmocka_unit_test(test_io_readiness),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
