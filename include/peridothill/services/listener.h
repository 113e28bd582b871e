/* Incoming HTTP for a task: a libmicrohttpd daemon on the kernel's loop, owned
 * by the task that creates it.  A request is handed over once its whole body
 * has arrived, and stays suspended until it is answered. */
#ifndef PERIDOTHILL_SERVICES_LISTENER_H
#define PERIDOTHILL_SERVICES_LISTENER_H

#include "peridothill/kernel/kernel.h"
#include "peridothill/services/http.h"

typedef struct PhListener PhListener;

/* A request as it arrived.  The strings are borrowed until the call returns,
 * the id is valid until the answer. */
typedef struct PhIncoming {
    uint64_t id;
    PhStr method;
    PhStr path; /* without the query */
    PhStr query;
    PhStr body;
    const PhHttpHeader *headers;
    size_t header_count;
} PhIncoming;

typedef struct PhListenerOptions {
    PhStr address; /* "127.0.0.1:8080"; port 0 takes a free one */
    size_t body_limit_bytes;
    unsigned connection_limit;
    unsigned idle_timeout_s; /* also the longest that a request may take to
                                arrive */
    void *context;
    /* A whole request has arrived. */
    void (*on_request)(void *context, const PhIncoming *incoming);
    /* The caller of an unanswered request has gone away. */
    void (*on_gone)(void *context, uint64_t id);
} PhListenerOptions;

PhResult PhListener_Create(PhTask *self, const PhListenerOptions *options,
                           PhListener **listener);
void PhListener_Destroy(PhListener *listener);
/* The port that is listened on. */
uint16_t PhListener_Port(const PhListener *listener);
/* Handles a mail of the owning task; false when it is not the listener's. */
bool PhListener_Handle(PhListener *listener, const PhMail *mail);
/* Answers a request; an id that has gone is ignored. */
void PhListener_Answer(PhListener *listener, uint64_t id, int status,
                       const PhHttpHeader *headers, size_t header_count,
                       PhStr body);
/* Closes the connection of a request without an answer. */
void PhListener_Drop(PhListener *listener, uint64_t id);
/* Closes connections that have no request, and from now on each one after its
 * next answer.  New ones are still accepted: their requests can be refused in
 * words rather than by a reset. */
void PhListener_Quiesce(PhListener *listener);
/* Connections that are open, in use or not. */
size_t PhListener_Connections(const PhListener *listener);
/* Requests that wait for an answer. */
size_t PhListener_InFlight(const PhListener *listener);
/* Reads `key` of a query string; the value is owned by the caller. */
bool PhListener_QueryValue(PhStr query, PhStr key, PhStr *value);

#endif
