/* Declarations shared by http_minimal.c and http_connection.c. */
#ifndef PERIDOTHILL_SERVICES_PLATFORM_HTTP_CONNECTION_H
#define PERIDOTHILL_SERVICES_PLATFORM_HTTP_CONNECTION_H

#include <http_parser.h>

#include "peridothill/services/http.h"

enum {
    PH_HTTP_READ_BYTES = 65536
};

/* The connections to one address. */
typedef struct PhTarget {
    PhStr address;
    GQueue idle;     /* idle PhHttpConnection */
    GQueue waiting;  /* PhWaitingRequest, until a connection is free */
    uint32_t active; /* connections in use */
} PhTarget;

/* A request that is ready to be sent. */
typedef struct PhReadyRequest {
    uint64_t number;
    uint64_t id;
    PhTaskRef sender;
    PhTime started;
    PhTime deadline;
    PhTime stall_limit;
    PhTime late_for;
    size_t answer_limit;
    PhBuf out;
} PhReadyRequest;

/* A request that waits since its target has as many connections as it may. */
typedef struct PhWaitingRequest {
    PhReadyRequest ready;
    PhTarget *target;
    uint32_t connections; /* limit */
} PhWaitingRequest;

typedef struct PhHttpMinimal {
    PhTask *self;
    uint64_t next_number;
    GHashTable *active;  /* PhHttpConnection in use, by number */
    GHashTable *waiting; /* PhWaitingRequest by number */
    GHashTable *by_fd;   /* owns every PhHttpConnection */
    GHashTable *targets; /* PhTarget by address */
    GQueue resumed;      /* PhTarget with a free connection */
    char *buffer;        /* receive buffer */
} PhHttpMinimal;

/* A connection and the request it carries. `number` is 0 while it is idle. */
typedef struct PhHttpConnection {
    PhHttpMinimal *http;
    PhTarget *target;
    int fd;
    uint64_t number;
    uint64_t id;
    PhTaskRef sender;
    PhTime started;
    PhTime idle_since;
    PhTime connected_at; /* 0 before it is established */
    PhTime stall_limit;  /* of the request */
    PhTime received_at;  /* newest part of the response, 0 before the first */
    PhTime late_for;     /* of the request; 0 once its deadline has passed */
    bool late;           /* the deadline has passed */
    PhBuf out;
    size_t sent;
    PhBuf in;
    size_t answer_limit;
    int watched; /* PH_IO_* events */
    bool reused;
    bool complete;
    http_parser parser;
} PhHttpConnection;

/* Starts a non-blocking connect.  Returns NULL if it fails at once. */
PhHttpConnection *PhHttpConnection_Open(PhHttpMinimal *http, PhTarget *target);
void PhHttpConnection_Destroy(gpointer connection);
/* Sends a request on a connection that is free, and takes over its bytes. */
void PhHttpConnection_Begin(PhHttpConnection *connection,
                            PhReadyRequest *ready, bool reused);
/* Closes a connection and fails the request on it, if any. */
void PhHttpConnection_Fail(PhHttpConnection *connection,
                           PhHttpFailure failure);
/* Sends the rest of the request.  Returns false if the connection failed. */
bool PhHttpConnection_Write(PhHttpConnection *connection);
/* Data or an end of stream on an idle connection closes it. */
void PhHttpConnection_Read(PhHttpConnection *connection);
/* At the deadline of its request: a long response on a narrow link takes its
 * time.  Returns false if it has not begun, or has stalled. */
bool PhHttpConnection_PutOffDeadline(PhHttpConnection *connection);
/* At the deadline: replies that the outcome is unknown so far, and goes on
 * waiting.  Returns false if the request does not ask for that. */
bool PhHttpConnection_WaitOn(PhHttpConnection *connection);

/* http_minimal.c */
void PhHttpMinimal_Reply(PhHttpMinimal *http, PhTaskRef sender,
                         PhHttpReply *reply);
/* A connection of the target is free: has the waiting requests sent after the
 * current mail, since their connections may fail at once. */
void PhHttpMinimal_ResumeTarget(PhHttpMinimal *http, PhTarget *target);

#endif
