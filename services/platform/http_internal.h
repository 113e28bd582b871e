/* Declarations shared by http.c and http_transfer.c. */
#ifndef PERIDOTHILL_SERVICES_PLATFORM_HTTP_INTERNAL_H
#define PERIDOTHILL_SERVICES_PLATFORM_HTTP_INTERNAL_H

#include <curl/curl.h>

#include "peridothill/common/random.h"
#include "peridothill/services/http.h"

/* The timers of a transfer. The kernel's token is the transfer's number
 * shifted left by one, plus this value. */
typedef enum PhTransferTimer {
    TRANSFER_DEADLINE,
    TRANSFER_FIRST_BYTE,
} PhTransferTimer;

typedef struct PhHttp {
    PhTask *self;
    CURLM *multi;
    GHashTable *transfers; /* PhTransfer by number */
    uint64_t next_number;
    uint32_t connections;    /* limit per address, 0 for none */
    PhRandom *random;        /* for jitter */
    GPtrArray *free_handles; /* easy handles for reuse */
} PhHttp;

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
    PhStr length; /* first Content-Length received, owned */
    PhHttpReply reply;
} PhTransfer;

static inline uint64_t
timer_token(const PhTransfer *t, PhTransferTimer which)
{
    return (t->number << 1) | (uint64_t)which;
}

void PhTransfer_Start(PhHttp *http, PhTaskRef sender,
                      const PhHttpRequest *request);
/* Sends the reply to the sender and releases the transfer. */
void PhTransfer_Finish(PhTransfer *transfer, PhHttpOutcome outcome,
                       PhHttpFailure failure);
/* Finishes without a complete response. The outcome is PH_HTTP_NOT_SENT if
 * that is proved, PH_HTTP_UNKNOWN otherwise. */
void PhTransfer_Fail(PhTransfer *transfer, PhHttpFailure failure);
PhHttpFailure PhTransfer_MapError(const PhTransfer *transfer, CURLcode code);
void PhTransfer_Destroy(gpointer transfer);

#endif
