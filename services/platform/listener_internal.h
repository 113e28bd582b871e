/* Declarations shared by the files of the listener. */
#ifndef PERIDOTHILL_SERVICES_PLATFORM_LISTENER_INTERNAL_H
#define PERIDOTHILL_SERVICES_PLATFORM_LISTENER_INTERNAL_H

#include <microhttpd.h>

#include "peridothill/services/listener.h"

typedef struct PhConnection {
    PhReceiver receiver; /* its part of the budget; kept without one too.  The
                            first member: the budget chooses a receiver, and
                            that is its connection */
    PhListener *listener;
    struct PhExchange *exchange; /* its request, NULL before its headers */
    int fd;
    bool begun;      /* the first line of its request was read */
    bool in_headers; /* and the headers were not */
    PhTime begun_at;
    bool closing;            /* was shut down, not by the budget */
    PhTime last_progress_at; /* opened, headers received or answered */
    GList *idle;             /* its link in PhListener.idle, or NULL */
    GList *silent;           /* its link in PhListener.silent, or NULL */
} PhConnection;

/* A request from its headers to its response. */
typedef struct PhExchange {
    PhListener *listener;
    struct MHD_Connection *connection;
    uint64_t id;
    PhBuf body;
    uint64_t received; /* bytes of the body, stored or not */
    bool too_large;
    bool delivered;
    bool suspended;
    bool dropped;
    PhConnection *caller;
    int fd; /* watched for a disconnect of the caller, or -1 */
    struct MHD_Response *response;
    int status;
} PhExchange;

struct PhListener {
    PhTask *self;
    PhListenerOptions options;
    struct MHD_Daemon *daemon;
    int epoll_fd;
    int listen_fd; /* watched while the connection limit is reached */
    uint16_t port;
    uint64_t next_id;
    GHashTable *exchanges;   /* unanswered PhExchange by id */
    GHashTable *by_fd;       /* PhExchange by watched file descriptor */
    GHashTable *connections; /* PhConnection by file descriptor */
    GQueue idle;   /* answered PhConnection without a next request, oldest
                      first */
    GQueue silent; /* PhConnection on which no request has begun yet, oldest
                      first */
    PhTime budget_logged_at;   /* 0: never */
    uint64_t budget_closed;    /* connections since then, by the budget */
    PhTime headers_logged_at;  /* 0: never */
    uint64_t headers_closed;   /* connections since then, as too slow */
    bool close_after_response; /* every response closes its connection */
    bool close_for_now;        /* the same until further notice */
    bool quiescing;            /* connections without a request are closed */
    bool sweep_is_due;         /* its timer is set */
    bool makes_room;           /* a connection was shut down at the limit */
    bool accepts_again; /* a connection closed while the limit was reached */
};

/* The timers of a listener. The kernel's token is the listener's address plus
 * this value. */
typedef enum PhListenerTimer {
    LISTENER_TIMER_RUN,   /* of libmicrohttpd */
    LISTENER_TIMER_SWEEP, /* of connections */
} PhListenerTimer;

static inline uint64_t
timer_token(const PhListener *listener, PhListenerTimer which)
{
    return (uint64_t)(uintptr_t)listener + (uint64_t)which;
}

/* listener_request.c: libmicrohttpd callbacks for one request. */
void *PhListener_OnRequestLine(void *context, const char *uri,
                               struct MHD_Connection *connection);
enum MHD_Result PhListener_OnAccess(void *context,
                                    struct MHD_Connection *connection,
                                    const char *url, const char *method,
                                    const char *version, const char *data,
                                    size_t *data_len, void **slot);
void PhListener_OnCompleted(void *context, struct MHD_Connection *connection,
                            void **slot, enum MHD_RequestTerminationCode code);
/* Stops watching for a disconnect of the caller. */
void PhExchange_Unwatch(PhExchange *exchange);

/* listener_connections.c: libmicrohttpd callback for an opened or closed
 * connection. */
void PhListener_OnConnection(void *context, struct MHD_Connection *connection,
                             void **slot,
                             enum MHD_ConnectionNotificationCode code);
/* The connection waits for its next request, or no longer. */
void PhConnection_SetIdle(PhListener *listener, PhConnection *connection,
                          bool idle);
/* The first line of a request was read. */
void PhConnection_SetBegun(PhConnection *connection);
/* Reports whether it was shut down, here or by the budget, so that its request
 * is not taken. */
bool PhConnection_IsClosing(const PhConnection *connection);
/* Returns what recv does for the next byte, which stays unread: 0 at the end
 * of the stream. */
ssize_t PhConnection_Peek(const PhConnection *connection);
/* Closes connections whose next request does not arrive completely in time,
 * even if it trickles in; while quiescing, all connections without a
 * request. */
void PhListener_Sweep(PhListener *listener);
/* The same when the sweep's timer has expired. */
void PhListener_OnSweepTimer(PhListener *listener);
/* At the connection limit, closes a connection that has sent nothing for long,
 * or one whose request or answer does not get on, or else the one that has
 * been idle for the longest time, so that the caller that waits is accepted.
 * Without one it waits for the next answer or sweep. */
void PhListener_MakeRoom(PhListener *listener);

/* listener_budget.c: the connection now holds so many bytes. */
void PhConnection_Hold(PhConnection *connection, PhReceiverStage stage,
                       size_t bytes);
/* Closes connections until this one may hold `extra` bytes more.  Returns
 * false if it is itself to be closed. */
bool PhConnection_Reserve(PhConnection *connection, size_t extra);
/* Returns memory to the system after much was held.  Returns true if that is
 * still to come. */
bool PhListener_ReturnMemory(const PhListener *listener);

#endif
