/* Outgoing HTTP: the interface of the task "http", which owns a libcurl multi
 * handle and its sockets. */
#ifndef PERIDOTHILL_SERVICES_HTTP_H
#define PERIDOTHILL_SERVICES_HTTP_H

#include "peridothill/kernel/kernel.h"

typedef struct PhHttpHeader {
    PhStr name;
    PhStr value;
} PhHttpHeader;

/* A request to send.  The strings are owned by the message. */
typedef struct PhHttpRequest {
    uint64_t id; /* the sender's own number, returned in the reply */
    PhStr method;
    PhStr address; /* IP number and port, "127.0.0.1:8080" */
    PhStr target;  /* path and query */
    PhHttpHeader *headers;
    size_t header_count;
    PhStr body;
    PhTime deadline;   /* on the kernel's clock */
    PhTime first_byte; /* deadline of the first byte, or PH_TIME_NEVER */
    size_t answer_limit_bytes;
    bool fresh_connection; /* never on a connection that was used before */
    uint32_t connections;  /* most connections to one address; 0 leaves it */
} PhHttpRequest;

/* What is known about a request that ended. */
typedef enum PhHttpOutcome {
    PH_HTTP_ANSWERED, /* the whole answer arrived */
    PH_HTTP_NOT_SENT, /* proved: no byte of the request left */
    PH_HTTP_UNKNOWN,  /* some byte may have left, no whole answer arrived */
} PhHttpOutcome;

/* Why a request ended without a whole answer. */
typedef enum PhHttpFailure {
    PH_HTTP_FAILURE_NONE,
    PH_HTTP_FAILURE_CONNECT,
    PH_HTTP_FAILURE_FIRST_BYTE,
    PH_HTTP_FAILURE_DEADLINE,
    PH_HTTP_FAILURE_RESET,
    PH_HTTP_FAILURE_TRUNCATED,
    PH_HTTP_FAILURE_TOO_LARGE,
    PH_HTTP_FAILURE_CANCELLED,
    PH_HTTP_FAILURE_FULL,
} PhHttpFailure;

typedef struct PhHttpReply {
    uint64_t id;
    PhHttpOutcome outcome;
    PhHttpFailure failure;
    bool reused_connection; /* it went over one that was used before */
    int status;
    PhHttpHeader *headers;
    size_t header_count;
    PhStr body;
    PhTime first_byte_after; /* from the start of the request */
    PhTime whole_after;
} PhHttpReply;

typedef enum PhHttpTag {
    PH_HTTP_SEND,   /* to "http" */
    PH_HTTP_CANCEL, /* to "http": drop the request with this id */
    PH_HTTP_REPLY,  /* from "http", exactly one for each PH_HTTP_SEND */
} PhHttpTag;

typedef struct PhHttpMessage {
    PhHttpTag tag;
    union {
        PhHttpRequest send;
        uint64_t cancel;
        PhHttpReply reply;
    } as;
} PhHttpMessage;

/* Wraps a message body for the kernel; takes over what it owns. */
PhMessage PhHttpMessage_Wrap(const PhHttpMessage *body);
/* Appends an owned copy of a header to a request or reply. */
void PhHttpHeader_Add(PhHttpHeader **headers, size_t *count, PhStr name,
                      PhStr value);
/* Finds a header by name, ignoring case; empty when there is none. */
PhStr PhHttpHeader_Find(const PhHttpHeader *headers, size_t count, PhStr name);

/* Starts the task "http" over libcurl. */
PhStatus PhHttp_Start(PhKernel *kernel);
/* Starts the task "http" for many small requests to few addresses: the same
 * interface, without the headers of answers and the deadline of the first
 * byte. */
PhStatus PhHttpLean_Start(PhKernel *kernel);

#endif
