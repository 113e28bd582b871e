/* How long the answer to an append is waited for, from how long answers have
 * taken, as TCP sets its retransmission time-out (RFC 6298).  An append names
 * its place in the topic, so that it can be repeated or looked up, and what
 * depends on it waits until its outcome is known. */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_APPEND_TIMEOUT_H
#define PERIDOTHILL_DECIDE_SCHEDULE_APPEND_TIMEOUT_H

#include <stddef.h>

#include "peridothill/common/time.h"

/* Of one topic, whose appends follow each other.  Zero at first. */
typedef struct PhAppendTimeout {
    PhTime delay;    /* of answers: rises at once, falls smoothly */
    unsigned silent; /* appends since the newest answer */
} PhAppendTimeout;

/* The time-out of an append with a body of `bytes`. */
PhTime PhAppendTimeout_Get(const PhAppendTimeout *timeout, size_t bytes);
void PhAppendTimeout_OnAnswer(PhAppendTimeout *timeout, PhTime delay);
/* An append has no answer. */
void PhAppendTimeout_OnSilence(PhAppendTimeout *timeout);

#endif
