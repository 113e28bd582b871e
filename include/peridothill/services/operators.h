/* Interface of the task "operators", which serves the operators' HTTP API on a
 * listener of its own.  Every request needs the bearer token.  None of the
 * routes is available on the listener for clients. */
#ifndef PERIDOTHILL_SERVICES_OPERATORS_H
#define PERIDOTHILL_SERVICES_OPERATORS_H

#include "peridothill/kernel/kernel.h"
#include "peridothill/services/listener.h"

/* Settings of the task.  The strings are copied. */
typedef struct PhOperatorsOptions {
    PhStr listen;     /* IP address and port; port 0 selects a free one */
    PhStr token_file; /* empty: every request is refused */
    PhStr instance;
    PhStr data_centre;
    /* Starts the drain of this process; NULL if it does not support
     * draining. */
    void (*drain)(void *context);
    void *drain_context;
    PhReceiveLimits receive;
    /* Receives the port of the listener unless NULL. */
    uint16_t *port;
} PhOperatorsOptions;

PhStatus PhOperators_Start(PhKernel *kernel,
                           const PhOperatorsOptions *options);

#endif
