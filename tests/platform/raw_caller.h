/* A caller that sends parts of requests over a socket of its own. */
#ifndef PERIDOTHILL_TESTS_PLATFORM_RAW_CALLER_H
#define PERIDOTHILL_TESTS_PLATFORM_RAW_CALLER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    PH_RAW_REPLY_BYTES = 1024,
};

typedef struct PhRawCaller {
    int fd; /* -1 if not open */
    char reply[PH_RAW_REPLY_BYTES];
    size_t reply_len;
    bool closed; /* by the other side */
} PhRawCaller;

void PhRawCaller_Open(PhRawCaller *caller, uint16_t port);
/* A connection that the other side has closed may refuse the text. */
void PhRawCaller_Send(const PhRawCaller *caller, const char *text);
/* Reads what has arrived.  Like callers in practice, it closes its side at the
 * end of the stream. */
void PhRawCaller_Read(PhRawCaller *caller);
void PhRawCaller_Close(PhRawCaller *caller);

#endif
