/* Common part of the stand-ins' tasks: a listener and its lifetime. */
#ifndef PERIDOTHILL_STANDIN_SERVER_H
#define PERIDOTHILL_STANDIN_SERVER_H

#include "peridothill/kernel/kernel.h"
#include "peridothill/services/listener.h"

/* `context` is released with `destroy` when the task ends, or immediately if
 * it does not start.  `on_client_disconnect` and `on_timer` may be NULL. */
typedef struct PhServerOptions {
    PhStr name; /* task name */
    PhStr listen;
    size_t body_limit_bytes;
    void *context;
    void (*on_request)(void *context, const PhIncoming *incoming);
    void (*on_client_disconnect)(void *context, uint64_t id);
    void (*on_timer)(void *context, uint64_t token);
    void (*destroy)(void *context);
} PhServerOptions;

/* Valid from the start of the task to its end. */
typedef struct PhServer {
    PhTask *self;
    PhListener *listener;
    PhServerOptions options;
    PhStr listen;
    PhResult start_result;
} PhServer;

/* Starts the task.  `server`, which is a member of the context, and `port` are
 * set before this returns. */
PhResult PhServer_Start(PhKernel *kernel, const PhServerOptions *options,
                        PhServer **server, uint16_t *port);

#endif
