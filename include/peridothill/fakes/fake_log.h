/* Simulates the append-only log of the platform: streams with offsets,
 * retention, an append rate limit, outages, latency, and answers that are lost
 * after the append took effect.  The caller passes the time; each call returns
 * the time at which its answer arrives. */
#ifndef PERIDOTHILL_FAKES_FAKE_LOG_H
#define PERIDOTHILL_FAKES_FAKE_LOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "peridothill/common/status.h"
#include "peridothill/common/str.h"
#include "peridothill/common/time.h"

/* May be changed at any time, for example to start an outage. */
typedef struct PhFakeLogOptions {
    uint64_t seed;
    PhTime retention;            /* 0: unlimited */
    uint32_t appends_per_second; /* over all streams; 0: unlimited */
    PhTime delay_min;
    PhTime delay_extra;  /* mean of an exponential, added to delay_min */
    PhTime timeout;      /* until a lost answer is reported as UNKNOWN */
    double lost_answers; /* probability per append */
    bool outage;
} PhFakeLogOptions;

/* Status: OK; UNAVAILABLE in an outage and FULL over the rate limit, both
 * without effect; UNKNOWN for a lost answer; EXPIRED for a read before
 * `first`, the oldest retained offset.  `offset` is that of the appended
 * record, or the one after the last record read. */
typedef struct PhFakeLogAnswer {
    PhStatus status;
    uint64_t offset;
    uint64_t first;
    uint64_t end; /* offset of the next append */
    PhTime at;    /* when the answer arrives */
} PhFakeLogAnswer;

/* `data` is borrowed from the log until the retention of the record ends. */
typedef struct PhFakeRecord {
    uint64_t offset;
    PhTime appended;
    PhStr data;
} PhFakeRecord;

typedef struct PhFakeLogCounts {
    uint64_t appends; /* that took effect, lost answers included */
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
/* Appends up to `max_records` records from `offset` on to `records`, an array
 * of PhFakeRecord. */
PhFakeLogAnswer PhFakeLog_Read(PhFakeLog *log, PhTime now, PhStr stream,
                               uint64_t offset, uint32_t max_records,
                               GArray *records);

#endif
