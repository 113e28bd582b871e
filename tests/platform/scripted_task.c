#include "scripted_task.h"

#include "tests/table.h"

void
PhScriptedTask_Spawn(PhKernel *kernel, PhStr name, size_t mailbox_capacity,
                     void *state,
                     void (*handle)(void *, PhTask *, const PhMail *))
{
    PhTaskSpec spec = {.name = name,
                       .mailbox_capacity = mailbox_capacity,
                       .state = state,
                       .handle = handle};
    assert_int_equal(PhKernel_Spawn(kernel, &spec, NULL), PH_STATUS_OK);
}
