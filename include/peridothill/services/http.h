/* Outgoing HTTP: the interface of the task "http", which owns the connections
 * and, in its libcurl variant, the multi handle. */
#ifndef PERIDOTHILL_SERVICES_HTTP_H
#define PERIDOTHILL_SERVICES_HTTP_H

#include "peridothill/kernel/kernel.h"

typedef struct PhHttpHeader {
    PhStr name;
    PhStr value;
} PhHttpHeader;

/* A request to send. Strings are owned by the message. */
typedef struct PhHttpRequest {
    uint64_t id; /* chosen by the sender, returned in the reply */
    PhStr method;
    PhStr address; /* IP address and port: "127.0.0.1:8080" */
    PhStr target;  /* path and query */
    PhHttpHeader *headers;
    size_t header_count;
    PhStr body;
    PhTime deadline;    /* by the kernel's clock */
    PhTime stall_limit; /* the deadline is put off while no longer than this
                           passes between parts of the response; 0: never */
    PhTime late_for;    /* after the deadline, a response is waited for so much
                           longer, and replied as a second, late reply */
    PhTime first_byte;  /* deadline for the first byte, or PH_TIME_NEVER */
    size_t answer_limit_bytes;
    bool fresh_connection; /* do not reuse a connection */
    PhTime connected_by;   /* reuse one that was established by then, and send
                              nothing if there is none; 0: any connection */
    uint32_t connections;  /* limit of connections per address, beyond which
                              the request waits; 0 keeps the current limit */
} PhHttpRequest;

/* What is known about a finished request. */
typedef enum PhHttpOutcome {
    PH_HTTP_ANSWERED, /* the complete response arrived */
    PH_HTTP_NOT_SENT, /* proved that no byte of the request was sent */
    PH_HTTP_UNKNOWN,  /* bytes may have been sent; no complete response */
} PhHttpOutcome;

/* Why a request ended without a complete response. */
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
    PH_HTTP_FAILURE_NO_CONNECTION, /* none as old as the request asks for */
} PhHttpFailure;

typedef struct PhHttpReply {
    uint64_t id;
    PhHttpOutcome outcome;
    PhHttpFailure failure;
    bool late; /* ANSWERED, after a reply that the outcome was unknown */
    bool more; /* such a late reply may follow */
    bool reused_connection; /* the connection had been used before */
    bool kept_connection;   /* ANSWERED: it is open for the next request */
    PhTime connected_at;    /* it was established; 0 if that is not known */
    int status;
    PhHttpHeader *headers;
    size_t header_count;
    PhStr body;
    PhTime first_byte_after; /* time since the start of the request */
    PhTime completed_after;
} PhHttpReply;

typedef enum PhHttpTag {
    PH_HTTP_SEND,   /* to "http" */
    PH_HTTP_CANCEL, /* to "http": cancel the request with this id */
    PH_HTTP_REPLY,  /* from "http": one per PH_HTTP_SEND, or two if the first
                       has `more` set */
} PhHttpTag;

typedef struct PhHttpMessage {
    PhHttpTag tag;
    union {
        PhHttpRequest send;
        uint64_t cancel;
        PhHttpReply reply;
    } as;
} PhHttpMessage;

/* Wraps a message body for the kernel and takes ownership of its contents. */
PhMessage PhHttpMessage_Wrap(const PhHttpMessage *body);
/* Appends an owned copy of a header to a request or reply. */
void PhHttpHeader_Add(PhHttpHeader **headers, size_t *count, PhStr name,
                      PhStr value);
/* Returns the value of the first header with this name, ignoring case, or an
 * empty string. Borrowed from `headers`. */
PhStr PhHttpHeader_Find(const PhHttpHeader *headers, size_t count, PhStr name);

/* Starts the task "http" on libcurl. */
PhStatus PhHttp_Start(PhKernel *kernel);
/* Starts the task "http" for many small requests to few addresses. Same
 * interface, but replies carry no headers and the first-byte deadline is
 * ignored.  It alone knows when connections were established. */
PhStatus PhHttpMinimal_Start(PhKernel *kernel);

#endif
