#include "http_task.h"

#include "peridothill/services/http.h"
#include "tests/paused_loop.h"
#include "tests/table.h"

void
PhHttpTask_Run(const PhTaskSpec *spec, PhClock **clock, const bool *done,
               int64_t until_ms)
{
    struct ev_loop *loop = ev_loop_new(0);
    PhCounters *counters = PhCounters_Create();
    *clock = PhPausedLoop_CreateClock();
    PhKernel *kernel = PhKernel_Create(&(PhKernelOptions){
        .clock = *clock, .loop = loop, .counters = counters});
    assert_int_equal(PhHttpMinimal_Start(kernel), PH_STATUS_OK);
    assert_int_equal(PhKernel_Spawn(kernel, spec, NULL), PH_STATUS_OK);
    for (int64_t ms = 0; !*done && ms < until_ms; ms += PH_PAUSED_STEP_MS) {
        PhPausedLoop_Step(loop, *clock);
    }
    PhKernel_Destroy(kernel);
    PhCounters_Destroy(counters);
    PhClock_Destroy(*clock);
    ev_loop_destroy(loop);
}
