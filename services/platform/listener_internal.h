/* What listener.c and listener_request.c share. */
#ifndef PERIDOTHILL_SERVICES_PLATFORM_LISTENER_INTERNAL_H
#define PERIDOTHILL_SERVICES_PLATFORM_LISTENER_INTERNAL_H

#include <microhttpd.h>

#include "peridothill/services/listener.h"

/* An open connection of a caller. */
typedef struct PhConnection {
    int fd;
    bool busy;       /* its request was handed over and has no answer yet */
    PhTime quiet_at; /* last progress: opened, headers read, or answered */
} PhConnection;

/* A request from its headers to its answer. */
typedef struct PhExchange {
    PhListener *listener;
    struct MHD_Connection *connection;
    uint64_t id;
    PhBuf body;
    bool too_large;
    bool handed_over;
    bool suspended;
    bool dropped;
    PhConnection *link;
    int fd; /* watched for the caller's close, or -1 */
    struct MHD_Response *response;
    int status;
} PhExchange;

struct PhListener {
    PhTask *self;
    PhListenerOptions options;
    struct MHD_Daemon *daemon;
    int epoll_fd;
    uint16_t port;
    uint64_t next_id;
    GHashTable *exchanges;   /* PhExchange by id, until answered or gone */
    GHashTable *by_fd;       /* PhExchange by watched descriptor */
    GHashTable *connections; /* PhConnection by descriptor */
    bool retired;            /* each answer closes its connection */
    bool quiescing;          /* connections without a request are closed */
};

/* listener_request.c: callbacks of the library for one request. */
enum MHD_Result PhListener_OnAccess(void *context,
                                    struct MHD_Connection *connection,
                                    const char *url, const char *method,
                                    const char *version, const char *data,
                                    size_t *data_len, void **slot);
void PhListener_OnCompleted(void *context, struct MHD_Connection *connection,
                            void **slot, enum MHD_RequestTerminationCode code);
/* Stops watching for the caller's close. */
void PhExchange_Unwatch(PhExchange *exchange);

#endif
