/* Encoding of the tasks of a stage, or of a part of them. */
#ifndef PERIDOTHILL_CODEC_SCHEDULE_STAGE_H
#define PERIDOTHILL_CODEC_SCHEDULE_STAGE_H

#include "peridothill/codec/schedule_record.h"
#include "peridothill/codec/unpack.h"

enum {
    PH_SCHED_TEXT_BYTES_MAX = 65536, /* of a text in a record */
};

/* Appends round and step, and the first task unless it is task 0. */
void PhSchedStageRecord_AppendKey(PhBuf *key, const PhSchedRecord *record);
/* If all tasks of the record are done, only their number is written. */
void PhSchedStageRecord_Pack(msgpack_packer *packer,
                             const PhSchedRecord *record);
/* Reads a stage from the rest of its key and its value; INVALID if one of them
 * is malformed. */
PhResult PhSchedStageRecord_Read(PhStr rest, const msgpack_object *map,
                                 PhSchedRecord *record);

#endif
