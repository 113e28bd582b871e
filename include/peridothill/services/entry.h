/* The task "entry": serves callers according to the decisions in
 * decide/requests/requests.h. It finds "http", "list", "config", "members" and
 * "peers" by name, in whatever order they start. */
#ifndef PERIDOTHILL_SERVICES_ENTRY_H
#define PERIDOTHILL_SERVICES_ENTRY_H

#include "peridothill/kernel/kernel.h"
#include "peridothill/services/listener.h"

/* Headers exchanged with callers and workers. */
#define PH_HEADER_OUTCOME PhStr_LITERAL("Peridothill-Outcome")
#define PH_HEADER_REASON PhStr_LITERAL("Peridothill-Reason")
#define PH_HEADER_TIMEOUT PhStr_LITERAL("Request-Timeout-Ms")
#define PH_HEADER_KEY PhStr_LITERAL("Idempotency-Key")

/* Strings are copied. Zero selects the default of a field. */
typedef struct PhEntryOptions {
    PhStr listen; /* IP address and port; port 0 selects a free one */
    PhStr instance;
    PhStr data_centre;
    uint64_t seed;
    PhTime drain_notice; /* time from reporting not ready to refusing new
                            requests */
    PhTime key_window;   /* retention time of an idempotency key */
    size_t body_limit_bytes;
    unsigned connection_limit;
    unsigned idle_timeout_s;
    PhReceiveLimits receive;
} PhEntryOptions;

/* Starts the task "entry" and delivers pending mail. `port`, if not NULL, is
 * set to the port that callers connect to. Fails if the listener cannot be
 * opened. */
PhResult PhEntry_Start(PhKernel *kernel, const PhEntryOptions *options,
                       uint16_t *port);

#endif
