/* What http.c and http_transfer.c share. */
#ifndef PERIDOTHILL_SERVICES_PLATFORM_HTTP_INTERNAL_H
#define PERIDOTHILL_SERVICES_PLATFORM_HTTP_INTERNAL_H

#include <curl/curl.h>

#include "peridothill/common/random.h"
#include "peridothill/services/http.h"

/* Timers of a transfer: its number, shifted, and which deadline it is. */
typedef enum PhTransferTimer {
    TRANSFER_DEADLINE,
    TRANSFER_FIRST_BYTE,
} PhTransferTimer;

/* State of the task "http". */
typedef struct PhHttp {
    PhTask *self;
    CURLM *multi;
    GHashTable *transfers; /* PhTransfer by number */
    uint64_t next_number;
    uint32_t connections; /* limit for each address, 0 for none */
    PhRandom *random;     /* of the jitter */
    GPtrArray *spare;     /* easy handles to use again */
} PhHttp;

/* A request in flight. */
typedef struct PhTransfer {
    PhHttp *http;
    uint64_t number;
    PhTaskRef sender;
    CURL *easy;
    struct curl_slist *header_lines;
    PhBuf body_out;
    PhBuf body_in;
    PhTime started;
    PhTime first_byte_at;
    size_t answer_limit;
    bool too_large;
    PhStr length; /* Content-Length as first given, owned */
    PhHttpReply reply;
} PhTransfer;

/* Gives the kernel's timer token of a transfer's deadline. */
static inline uint64_t
timer_token(const PhTransfer *t, PhTransferTimer which)
{
    return (t->number << 1) | (uint64_t)which;
}

/* http_transfer.c: one request from its start to its reply. */
void PhTransfer_Start(PhHttp *http, PhTaskRef sender,
                      const PhHttpRequest *request);
/* Sends the reply to the sender and releases the transfer. */
void PhTransfer_Finish(PhTransfer *transfer, PhHttpOutcome outcome,
                       PhHttpFailure failure);
/* Finishes without a whole answer: not sent if that is proved. */
void PhTransfer_Fail(PhTransfer *transfer, PhHttpFailure failure);
PhHttpFailure PhTransfer_FailureOf(const PhTransfer *transfer, CURLcode code);
void PhTransfer_Destroy(gpointer transfer);

#endif
