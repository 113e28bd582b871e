/* Outcomes as values: a status code, and a result that adds the last
 * message in bounded space. */
#ifndef PERIDOTHILL_COMMON_STATUS_H
#define PERIDOTHILL_COMMON_STATUS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "peridothill/common/str.h"

typedef enum PhStatus {
    PH_STATUS_OK,
    PH_STATUS_INVALID,     /* the input breaks a rule */
    PH_STATUS_NOT_FOUND,   /* no such name, version or record */
    PH_STATUS_EXISTS,      /* the name is taken */
    PH_STATUS_CONFLICT,    /* another change came first */
    PH_STATUS_FULL,        /* a bounded queue or table has no room */
    PH_STATUS_GONE,        /* the peer or task has ended */
    PH_STATUS_UNAVAILABLE, /* nothing was done, a later try may succeed */
    PH_STATUS_UNKNOWN,     /* the action may or may not have taken effect */
    PH_STATUS_TIMEOUT,     /* a deadline passed */
    PH_STATUS_DENIED,      /* authentication or permission failed */
    PH_STATUS_TOO_LARGE,   /* a size bound was exceeded */
    PH_STATUS_EXPIRED,     /* the record or lease is past its time */
    PH_STATUS_IO,          /* the operating system reported an error */
} PhStatus;

enum {
    PH_RESULT_MESSAGE_BYTES = 240
};

/* A status with its last message; `message` holds `message_len` bytes. */
typedef struct PhResult {
    PhStatus status;
    uint32_t message_len;
    char message[PH_RESULT_MESSAGE_BYTES];
} PhResult;

const char *PhStatus_Name(PhStatus status);
PhResult PhResult_Ok(void);
PhResult PhResult_Make(PhStatus status, const char *format, ...)
    G_GNUC_PRINTF(2, 3);
bool PhResult_IsOk(const PhResult *result);
PhStr PhResult_Message(const PhResult *result);

#endif
