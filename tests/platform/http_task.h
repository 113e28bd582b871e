/* Runs a task beside the task "http" on a paused clock. */
#ifndef PERIDOTHILL_TESTS_PLATFORM_HTTP_TASK_H
#define PERIDOTHILL_TESTS_PLATFORM_HTTP_TASK_H

#include "peridothill/kernel/kernel.h"

/* Until `done` is set, or for so many milliseconds.  `clock` receives the
 * clock, valid until the call returns. */
void PhHttpTask_Run(const PhTaskSpec *spec, PhClock **clock, const bool *done,
                    int64_t until_ms);

#endif
