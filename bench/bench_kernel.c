#include "peridothill/bench/bench.h"
#include "peridothill/common/random.h"
#include "peridothill/kernel/kernel.h"

enum {
    DEFAULT_MESSAGES = 1000000,
    MAILBOX_CAPACITY = 64,
};

/* A task that returns messages until `remaining` is used up. */
typedef struct PhEchoTask {
    PhTaskRef peer;
    uint64_t remaining;
} PhEchoTask;

static void
echo_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhEchoTask *b = state;
    if (mail->kind != PH_MAIL_MESSAGE || b->remaining == 0) {
        return;
    }
    b->remaining--;
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
    PhEchoTask remaining = {.remaining = total / 2};
    PhEchoTask right = {.remaining = total / 2};
    PhTaskSpec spec = {.name = PhStr_LITERAL("left"),
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = &remaining,
                       .handle = echo_handle};
    PhKernel_Spawn(kernel, &spec, &right.peer);
    spec.name = PhStr_LITERAL("right");
    spec.state = &right;
    PhKernel_Spawn(kernel, &spec, &remaining.peer);
    PhKernel_Drain(kernel, SIZE_MAX);
    int64_t start = PhBench_CpuTimeNs();
    PhKernel_Send(kernel, remaining.peer, right.peer,
                  (PhMessage){.interface = 1});
    size_t handled = PhKernel_Drain(kernel, SIZE_MAX);
    int64_t spent = PhBench_CpuTimeNs() - start;
    PhBench_PrintRow(options, "kernel_message", "mailbox",
                     (double)spent / (double)MAX(handled, 1), "ns");
    PhKernel_Destroy(kernel);
    PhCounters_Destroy(counters);
    PhClock_Destroy(clock);
    return PhResult_Ok();
}
