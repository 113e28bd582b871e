/* Status codes, and results that add an error message of bounded length. */
#ifndef PERIDOTHILL_COMMON_STATUS_H
#define PERIDOTHILL_COMMON_STATUS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "peridothill/common/str.h"

typedef enum PhStatus {
    PH_STATUS_OK,
    PH_STATUS_INVALID,     /* the input is malformed or violates a rule */
    PH_STATUS_NOT_FOUND,   /* no such name, version or record */
    PH_STATUS_EXISTS,      /* the name is taken */
    PH_STATUS_CONFLICT,    /* a concurrent change was made first */
    PH_STATUS_FULL,        /* a bounded queue or table is full */
    PH_STATUS_GONE,        /* the peer or task has ended */
    PH_STATUS_UNAVAILABLE, /* nothing was done; a retry may succeed */
    PH_STATUS_UNKNOWN,     /* the action may or may not have taken effect */
    PH_STATUS_TIMEOUT,     /* a deadline passed */
    PH_STATUS_DENIED,      /* authentication or permission failed */
    PH_STATUS_TOO_LARGE,   /* a size bound was exceeded */
    PH_STATUS_EXPIRED,     /* the record or lease has expired */
    PH_STATUS_IO,          /* the operating system reported an error */
} PhStatus;

enum {
    PH_RESULT_MESSAGE_BYTES = 240
};

/* `message` holds `message_len` bytes and is empty on success. */
typedef struct PhResult {
    PhStatus status;
    uint32_t message_len;
    char message[PH_RESULT_MESSAGE_BYTES];
} PhResult;

/* Lower-case name for logs and JSON. */
const char *PhStatus_Name(PhStatus status);
PhResult PhResult_Ok(void);
/* Truncates the message to PH_RESULT_MESSAGE_BYTES - 1. */
PhResult PhResult_Make(PhStatus status, const char *format, ...)
    G_GNUC_PRINTF(2, 3);
bool PhResult_IsOk(const PhResult *result);
/* The view is valid as long as the result. */
PhStr PhResult_Message(const PhResult *result);

#endif
