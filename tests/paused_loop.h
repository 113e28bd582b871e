/* Runs kernels with sockets on a paused clock, so that a process that stands
 * still misses no deadline. */
#ifndef PERIDOTHILL_TESTS_PAUSED_LOOP_H
#define PERIDOTHILL_TESTS_PAUSED_LOOP_H

#include <ev.h>

#include "peridothill/kernel/clock.h"

enum {
    PH_PAUSED_STEP_MS = 5, /* of the clock */
    /* The services take a time of 0 for "never". */
    PH_PAUSED_START_S = 100,
};

/* Returns a paused clock at PH_PAUSED_START_S. */
PhClock *PhPausedLoop_CreateClock(void);
/* Advances the clock by one step, then runs the event loop for long enough
 * that what was sent over the loopback arrives. */
void PhPausedLoop_Step(struct ev_loop *loop, PhClock *clock);
/* The same without the clock. */
void PhPausedLoop_Run(struct ev_loop *loop);

#endif
