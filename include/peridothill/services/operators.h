/* The operators' interface: the task "operators", which owns an HTTP listener
 * of its own and asks the other tasks.  Every request carries the bearer
 * token.  Nothing of it is reachable on the callers' listener. */
#ifndef PERIDOTHILL_SERVICES_OPERATORS_H
#define PERIDOTHILL_SERVICES_OPERATORS_H

#include "peridothill/kernel/kernel.h"

/* Settings of the task.  The strings are copied. */
typedef struct PhOperatorsOptions {
    PhStr listen;     /* IP number and port; port 0 takes a free one */
    PhStr token_file; /* empty: every request is refused */
    PhStr instance;
    PhStr data_centre;
    /* Starts the drain of this process; NULL when it cannot be drained. */
    void (*drain)(void *context);
    void *drain_context;
    /* Is set to the port that is listened on, unless NULL. */
    uint16_t *port;
} PhOperatorsOptions;

/* Starts the task "operators". */
PhStatus PhOperators_Start(PhKernel *kernel,
                           const PhOperatorsOptions *options);

#endif
