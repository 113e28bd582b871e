#include "paused_loop.h"

enum {
    ITERATIONS_MIN = 32, /* of the event loop per step */
};

/* Real time per step in which the loopback delivers. */
static const double DELIVERY_S = 0.001;

PhClock *
PhPausedLoop_CreateClock(void)
{
    PhClock *clock = PhClock_Create(PH_CLOCK_PAUSED);
    PhClock_Advance(clock, PH_PAUSED_START_S * PH_NS_PER_S);
    return clock;
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int revents)
{
    (void)timer;
    (void)revents;
    ev_break(loop, EVBREAK_ALL);
}

void
PhPausedLoop_Run(struct ev_loop *loop)
{
    ev_timer tick;
    ev_timer_init(&tick, on_tick, DELIVERY_S, 0.0);
    ev_timer_start(loop, &tick);
    ev_run(loop, 0);
    ev_timer_stop(loop, &tick);
    /* A process that stood still may have run one iteration only. */
    for (int i = 0; i < ITERATIONS_MIN; i++) {
        ev_run(loop, EVRUN_NOWAIT);
    }
}

void
PhPausedLoop_Step(struct ev_loop *loop, PhClock *clock)
{
    PhClock_Advance(clock, PH_PAUSED_STEP_MS * PH_NS_PER_MS);
    PhPausedLoop_Run(loop);
}
