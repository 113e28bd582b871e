/* Tasks that play the other side of a service. */
#ifndef PERIDOTHILL_TESTS_PLATFORM_SCRIPTED_TASK_H
#define PERIDOTHILL_TESTS_PLATFORM_SCRIPTED_TASK_H

#include "peridothill/kernel/kernel.h"

/* Spawns a task whose state outlives the kernel. */
void PhScriptedTask_Spawn(PhKernel *kernel, PhStr name,
                          size_t mailbox_capacity, void *state,
                          void (*handle)(void *, PhTask *, const PhMail *));

#endif
