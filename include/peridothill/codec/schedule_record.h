/* Encoding of job records in the store: a text key, and a msgpack map with
 * integer keys as the value. */
#ifndef PERIDOTHILL_CODEC_SCHEDULE_RECORD_H
#define PERIDOTHILL_CODEC_SCHEDULE_RECORD_H

#include "peridothill/decide/schedule/record.h"

/* Topics of the store: requests of clients, decisions of the owner, and the
 * election of the owner. */
#define PH_SCHED_TOPIC_JOBS PhStr_LITERAL("jobs")
#define PH_SCHED_TOPIC_RUNS PhStr_LITERAL("runs")
#define PH_SCHED_TOPIC_OWNER PhStr_LITERAL("owner")

/* Both strings are owned. */
typedef struct PhSchedEncoded {
    PhStr key;
    PhStr value;
    bool continues; /* a further part of the stage of the record before */
} PhSchedEncoded;

PhSchedEncoded PhSchedRecord_Encode(const PhSchedRecord *record);
/* Encodes a record of at most `limit` bytes, see PhSchedEncoded_Bytes.  If it
 * is larger, what can be learned again is left out: long checkpoints of the
 * tasks of a stage, and pairs beyond the limit. */
PhSchedEncoded PhSchedRecord_EncodeWithin(const PhSchedRecord *record,
                                          size_t limit);
/* Size of a record in the store: the length of its key, key and value. */
size_t PhSchedEncoded_Bytes(const PhSchedEncoded *encoded);
/* Encodes a job without copying it into a record. */
PhSchedEncoded PhSchedRecord_EncodeJob(const PhSchedSpec *spec);
void PhSchedEncoded_Clear(PhSchedEncoded *encoded);
/* Returns INVALID for a malformed record; the record is then cleared. */
PhResult PhSchedRecord_Decode(PhStr key, PhStr value, PhSchedRecord *record);
/* Decodes the value of a job's record.  The specification is owned by the
 * caller, and empty if the result is INVALID. */
PhResult PhSchedRecord_DecodeJob(PhStr id, PhStr value, PhSchedSpec *spec);

#endif
