/* Incoming HTTP for a task: a libmicrohttpd daemon on the kernel's loop, owned
 * by the task that creates it. A request is delivered once its whole body has
 * arrived, and stays suspended until it is answered. */
#ifndef PERIDOTHILL_SERVICES_LISTENER_H
#define PERIDOTHILL_SERVICES_LISTENER_H

#include "peridothill/decide/requests/receive_budget.h"
#include "peridothill/kernel/kernel.h"
#include "peridothill/services/http.h"

typedef struct PhListener PhListener;

/* A received request. Strings are borrowed until the callback returns; the id
 * is valid until the request is answered. */
typedef struct PhIncoming {
    uint64_t id;
    PhStr method;
    PhStr path; /* without the query */
    PhStr query;
    PhStr body;
    const PhHttpHeader *headers;
    size_t header_count;
} PhIncoming;

/* Limits on what is received.  Zero stands for "no such limit". */
typedef struct PhReceiveLimits {
    PhReceiveBudget *budget; /* of all listeners of the process, which share
                                its thread; borrowed until they are destroyed
                              */
    PhTime header_time;      /* to receive the headers of a request; at the
                                limit of connections, one whose request or
                                answer made no progress for as long is closed
                                for another caller */
    PhTime silent_time;      /* the same for one that has sent no request;
                                0: header_time */
} PhReceiveLimits;

typedef struct PhListenerOptions {
    PhStr address; /* "127.0.0.1:8080"; port 0 selects a free one */
    size_t body_limit_bytes;
    unsigned connection_limit; /* above it, callers wait until a connection
                                  closes; the longest idle one is closed */
    unsigned idle_timeout_s;   /* also limits the time to receive a request */
    PhReceiveLimits receive;
    void *context;
    /* A complete request was received. */
    void (*on_request)(void *context, const PhIncoming *incoming);
    /* The caller of an unanswered request disconnected. */
    void (*on_client_disconnect)(void *context, uint64_t id);
} PhListenerOptions;

PhResult PhListener_Create(PhTask *self, const PhListenerOptions *options,
                           PhListener **listener);
/* Closes every connection. NULL is allowed. */
void PhListener_Destroy(PhListener *listener);
/* The port the listener is bound to. */
uint16_t PhListener_Port(const PhListener *listener);
/* Handles a mail of the owning task. Returns false if the mail is not for the
 * listener. */
bool PhListener_Handle(PhListener *listener, const PhMail *mail);
/* Answers a request. Ignored if the request no longer waits for an answer. */
void PhListener_Answer(PhListener *listener, uint64_t id, int status,
                       const PhHttpHeader *headers, size_t header_count,
                       PhStr body);
/* Closes the connection of a request without answering it. */
void PhListener_Drop(PhListener *listener, uint64_t id);
/* Answers all requests that wait for an answer with an empty body. */
void PhListener_AnswerRest(PhListener *listener, int status);
/* Closes every connection after its next answer from now on. */
void PhListener_CloseAfterAnswers(PhListener *listener);
/* Closes connections after their next answers, or keeps them again; does not
 * take back PhListener_CloseAfterAnswers. */
void PhListener_SetClosing(PhListener *listener, bool closing);
/* Closes connections after their answers for good, and those on which no part
 * of a request has arrived once they were not used for half a second. New
 * connections are still accepted, so that their requests are refused by a
 * response rather than a reset. */
void PhListener_Quiesce(PhListener *listener);
/* Number of open connections, idle ones included. */
size_t PhListener_Connections(const PhListener *listener);
/* Number of requests that wait for an answer. */
size_t PhListener_InFlight(const PhListener *listener);
/* Finds `key` in a query string and decodes its value, which the caller owns.
 * Returns false if it is missing or badly encoded. */
bool PhListener_QueryValue(PhStr query, PhStr key, PhStr *value);

#endif
