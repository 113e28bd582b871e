#include "peridothill/bench/bench.h"
#include "peridothill/common/random.h"
#include "peridothill/kernel/kernel.h"

enum {
    DEFAULT_MESSAGES = 1000000,
    MAILBOX_CAPACITY = 64,
};

/* A task that returns messages until `left` is used up. */
typedef struct PhBouncer {
    PhTaskRef peer;
    uint64_t left;
} PhBouncer;

static void
bouncer_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhBouncer *b = state;
    if (mail->kind != PH_MAIL_MESSAGE || b->left == 0) {
        return;
    }
    b->left--;
    PhTask_Send(self, mail->from, (PhMessage){.interface = 1});
}

PhResult
PhBench_Kernel(const PhBenchOptions *options)
{
    uint64_t total = options->steps ? options->steps : DEFAULT_MESSAGES;
    PhClock *clock = PhClock_Create(PH_CLOCK_PAUSED);
    PhCounters *counters = PhCounters_Create();
    PhKernel *kernel = PhKernel_Create(
        &(PhKernelOptions){.clock = clock, .counters = counters});
    PhBouncer left = {.left = total / 2};
    PhBouncer right = {.left = total / 2};
    PhTaskSpec spec = {.name = PhStr_LITERAL("left"),
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = &left,
                       .handle = bouncer_handle};
    PhKernel_Spawn(kernel, &spec, &right.peer);
    spec.name = PhStr_LITERAL("right");
    spec.state = &right;
    PhKernel_Spawn(kernel, &spec, &left.peer);
    PhKernel_Drain(kernel, SIZE_MAX);
    int64_t start = PhBench_CpuTime();
    PhKernel_Send(kernel, left.peer, right.peer, (PhMessage){.interface = 1});
    size_t handled = PhKernel_Drain(kernel, SIZE_MAX);
    int64_t spent = PhBench_CpuTime() - start;
    PhBench_Row(options, "kernel_message", "mailbox",
                (double)spent / (double)MAX(handled, 1), "ns");
    PhKernel_Destroy(kernel);
    PhCounters_Destroy(counters);
    PhClock_Destroy(clock);
    return PhResult_Ok();
}
