/* Records that have to fit into the store. */
#include "peridothill/codec/schedule_record.h"

enum {
    KEY_LENGTH_BYTES = 1,
    KEY_BYTES_MAX = 255,
    MAP_BYTES = 32,  /* map and arrays around the tasks or pairs */
    TASK_BYTES = 32, /* of a task, besides its worker and checkpoint */
    PAIR_BYTES = 32, /* of a pair, besides its images */
    FRAME_BYTES = KEY_LENGTH_BYTES + KEY_BYTES_MAX + MAP_BYTES,
};

size_t
PhSchedEncoded_Bytes(const PhSchedEncoded *e)
{
    return KEY_LENGTH_BYTES + e->key.len + e->value.len;
}

/* Leaves out the checkpoints of tasks that take more than their share. */
static PhSchedEncoded
encode_stage(const PhSchedRecord *record, size_t limit)
{
    uint32_t count = record->as.stage.task_count;
    size_t share = (MAX(limit, FRAME_BYTES) - FRAME_BYTES) / MAX(count, 1);
    PhSchedRecord part = *record;
    part.as.stage.tasks = g_new(PhSchedTaskRecord, count);
    for (uint32_t i = 0; i < count; i++) {
        PhSchedTaskRecord *task = &part.as.stage.tasks[i];
        *task = record->as.stage.tasks[i];
        if (TASK_BYTES + task->worker.len + task->last_checkpoint.len >
            share) {
            task->last_checkpoint = (PhStr){0};
        }
    }
    PhSchedEncoded e = PhSchedRecord_Encode(&part);
    g_free(part.as.stage.tasks);
    return e;
}

/* Leaves out the last pairs. */
static PhSchedEncoded
encode_pairs(const PhSchedRecord *record, size_t limit)
{
    PhSchedRecord head = *record;
    size_t bytes = FRAME_BYTES;
    head.as.pairs.count = 0;
    while (head.as.pairs.count < record->as.pairs.count) {
        const PhSchedPairRecord *item =
            &record->as.pairs.items[head.as.pairs.count];
        bytes += PAIR_BYTES + item->backfill.len + item->serving.len;
        if (bytes > limit) {
            break;
        }
        head.as.pairs.count++;
    }
    return PhSchedRecord_Encode(&head);
}

PhSchedEncoded
PhSchedRecord_EncodeWithin(const PhSchedRecord *record, size_t limit)
{
    PhSchedEncoded e = PhSchedRecord_Encode(record);
    if (PhSchedEncoded_Bytes(&e) <= limit) {
        return e;
    }
    switch (record->tag) {
    case PH_SCHED_RECORD_STAGE:
        PhSchedEncoded_Clear(&e);
        return encode_stage(record, limit);
    case PH_SCHED_RECORD_PAIRS:
        PhSchedEncoded_Clear(&e);
        return encode_pairs(record, limit);
    case PH_SCHED_RECORD_JOB:
    case PH_SCHED_RECORD_CANCEL:
    case PH_SCHED_RECORD_STATE:
    case PH_SCHED_RECORD_WORKER:
        break;
    }
    return e;
}
