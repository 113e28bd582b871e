/* The task "entry": answers callers, by the decisions in
 * decide/requests/requests.h.  It finds "http", "list", "config", "members"
 * and "peers" by their names, in whatever order they start. */
#ifndef PERIDOTHILL_SERVICES_ENTRY_H
#define PERIDOTHILL_SERVICES_ENTRY_H

#include "peridothill/kernel/kernel.h"

/* Headers between callers, instances and workers. */
#define PH_HEADER_OUTCOME PhStr_LITERAL("Peridothill-Outcome")
#define PH_HEADER_REASON PhStr_LITERAL("Peridothill-Reason")
#define PH_HEADER_TIMEOUT PhStr_LITERAL("Request-Timeout-Ms")
#define PH_HEADER_KEY PhStr_LITERAL("Idempotency-Key")

/* The strings are copied.  Zero takes the default of a field. */
typedef struct PhEntryOptions {
    PhStr listen; /* IP number and port; port 0 takes a free one */
    PhStr instance;
    PhStr data_centre;
    uint64_t seed;
    PhTime drain_notice; /* how long readiness fails before the stop */
    PhTime key_window;   /* how long an idempotency key is kept */
    size_t body_limit_bytes;
    unsigned connection_limit;
    unsigned idle_timeout_s;
} PhEntryOptions;

/* Starts the task "entry" and delivers the mail that is due.  `port`, when not
 * NULL, is set to the port that callers reach. */
PhResult PhEntry_Start(PhKernel *kernel, const PhEntryOptions *options,
                       uint16_t *port);

#endif
