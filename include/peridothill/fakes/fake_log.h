/* A fake of the platform's append-only log: streams with offsets, retention,
 * a limit of appends a second, outages, slowness, and answers lost after the
 * append took effect.  Each call tells when its answer arrives. */
#ifndef PERIDOTHILL_FAKES_FAKE_LOG_H
#define PERIDOTHILL_FAKES_FAKE_LOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "peridothill/common/status.h"
#include "peridothill/common/str.h"
#include "peridothill/common/time.h"

/* May be changed at any time, to begin an outage, say. */
typedef struct PhFakeLogOptions {
    uint64_t seed;
    PhTime retention;            /* 0 keeps records for ever */
    uint32_t appends_per_second; /* 0 is unlimited */
    PhTime delay_min;
    PhTime delay_extra;  /* mean of an exponential on top */
    PhTime timeout;      /* after which a lost answer counts as unknown */
    double lost_answers; /* probability for an append */
    bool outage;
} PhFakeLogOptions;

/* The status is OK, UNAVAILABLE or, over the limit, FULL (nothing was done),
 * UNKNOWN for a lost answer, EXPIRED for a read before `first`, the oldest
 * kept offset.  `offset` is that of the appended record, or the one after the
 * last record read. */
typedef struct PhFakeLogAnswer {
    PhStatus status;
    uint64_t offset;
    uint64_t first;
    uint64_t end; /* offset of the next append */
    PhTime at;
} PhFakeLogAnswer;

/* A record as read; its bytes stay the log's until it is past retention. */
typedef struct PhFakeRecord {
    uint64_t offset;
    PhTime appended;
    PhStr data;
} PhFakeRecord;

typedef struct PhFakeLogCounts {
    uint64_t appends; /* that took effect */
    uint64_t limited;
    uint64_t unavailable;
    uint64_t answers_lost;
    uint64_t expired;
} PhFakeLogCounts;

typedef struct PhFakeLog PhFakeLog;

PhFakeLog *PhFakeLog_Create(const PhFakeLogOptions *options);
void PhFakeLog_Destroy(PhFakeLog *log);
PhFakeLogOptions *PhFakeLog_Options(PhFakeLog *log);
PhFakeLogCounts PhFakeLog_Counts(const PhFakeLog *log);
PhFakeLogAnswer PhFakeLog_Append(PhFakeLog *log, PhTime now, PhStr stream,
                                 PhStr record);
/* Adds up to `max_records` records from `offset` on to an array of
 * PhFakeRecord. */
PhFakeLogAnswer PhFakeLog_Read(PhFakeLog *log, PhTime now, PhStr stream,
                               uint64_t offset, uint32_t max_records,
                               GArray *records);

#endif
