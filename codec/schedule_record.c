#include "peridothill/codec/schedule_record.h"

#include <math.h>

#include "peridothill/codec/unpack.h"
#include "schedule_stage.h"

enum {
    /* Fields of a job. */
    JOB_QUEUE = 1,
    JOB_SERVICE,
    JOB_PRIORITY,
    JOB_ATTEMPTS,
    JOB_STRETCH_MILLI,
    JOB_SLACK_MS,
    JOB_PAYLOAD,
    JOB_STEPS,
    JOB_REPETITIONS,
    JOB_FIRST_DUE_MS,
    JOB_INTERVAL_MS,
    /* Fields of a step. */
    STEP_COUNT = 1,
    STEP_CPU_MILLI,
    STEP_MEM_MB,
    STEP_GPU,
    STEP_ESTIMATE_MS,
    STEP_AFTER,
    STEP_FLAGS,
    STEP_REQUIRES,
    STEP_AFFINITY,
    STEP_IMAGE,
    STEP_MAX_PER_WORKER,
    STEP_MAY_MISS,
    STEP_TAIL_TARGET_MS,
    /* Flags of a step. */
    FLAG_SAVES_PROGRESS = 1,
    FLAG_GANG = 2,
    FLAG_SAME_RACK = 4,
    FLAG_SPECULATIVE = 8,
    FLAG_LONG_RUNNING = 16,
    FLAG_FILLS = 32,
    /* Fields of a state and of a worker. */
    STATE_STATE = 1,
    WORKER_BORN_MS = 1,
    WORKER_SUSPENDED,
    WORKER_LEAVING,
    WORKER_LEASE_EXPIRY_BOUND_MS,
    WORKER_BOUND_INHERITED,
    WORKER_UNBOUND,
    LEASE_EXPIRY_BOUND_MAX_MS = 60000, /* owners write at most 23 s */
    PAIRS_ITEMS = 1,
    PAIR_ITEMS = 5, /* backfill and serving image, factor, variance, filter */
    ID_BYTES = 16,
    TEXT_BYTES_MAX = PH_SCHED_TEXT_BYTES_MAX,
    TIME_MS_MAX = INT32_MAX,
    MILLI = 1000,
};

/* First characters of the keys. */
static const char KEY_JOB = 'j';
static const char KEY_CANCEL = 'c';
static const char KEY_STATE = 's';
static const char KEY_STAGE = 't';
static const char KEY_WORKER = 'w';
static const char KEY_PAIRS = 'p'; /* the whole key */

static void
pack_after(msgpack_packer *p, const PhSchedStep *step)
{
    msgpack_pack_uint64(p, STEP_AFTER);
    msgpack_pack_array(p, step->after_count);
    for (uint32_t i = 0; i < step->after_count; i++) {
        msgpack_pack_uint32(p, step->after[i]);
    }
}

static uint64_t
step_flags(const PhSchedStep *step)
{
    return (step->saves_progress ? FLAG_SAVES_PROGRESS : 0) |
           (step->gang ? FLAG_GANG : 0) |
           (step->same_rack ? FLAG_SAME_RACK : 0) |
           (step->speculative ? FLAG_SPECULATIVE : 0) |
           (step->long_running ? FLAG_LONG_RUNNING : 0) |
           (step->fills ? FLAG_FILLS : 0);
}

static void
pack_step(msgpack_packer *p, const PhSchedStep *step)
{
    msgpack_pack_map(p, STEP_TAIL_TARGET_MS);
    PhPack_U64(p, STEP_COUNT, step->count);
    PhPack_U64(p, STEP_CPU_MILLI, (uint64_t)step->resources.cpu_milli);
    PhPack_U64(p, STEP_MEM_MB, (uint64_t)step->resources.mem_mb);
    PhPack_U64(p, STEP_GPU, (uint64_t)step->resources.gpu);
    PhPack_U64(p, STEP_ESTIMATE_MS, (uint64_t)step->estimate / PH_NS_PER_MS);
    pack_after(p, step);
    PhPack_U64(p, STEP_FLAGS, step_flags(step));
    PhPack_Bytes(p, STEP_REQUIRES, step->requires);
    PhPack_Bytes(p, STEP_AFFINITY, step->affinity);
    PhPack_Bytes(p, STEP_IMAGE, step->image);
    PhPack_U64(p, STEP_MAX_PER_WORKER, step->max_per_worker);
    PhPack_U64(p, STEP_MAY_MISS, step->may_miss);
    PhPack_U64(p, STEP_TAIL_TARGET_MS,
               (uint64_t)step->tail_latency_target / PH_NS_PER_MS);
}

static void
pack_job(msgpack_packer *p, const PhSchedSpec *spec)
{
    msgpack_pack_map(p, JOB_INTERVAL_MS);
    PhPack_Bytes(p, JOB_QUEUE, spec->terms.queue);
    PhPack_Bytes(p, JOB_SERVICE, spec->terms.service);
    PhPack_U64(p, JOB_PRIORITY, (uint64_t)spec->terms.priority);
    PhPack_U64(p, JOB_ATTEMPTS, spec->terms.max_attempts);
    PhPack_U64(p, JOB_STRETCH_MILLI, (uint64_t)(spec->terms.stretch * MILLI));
    PhPack_U64(p, JOB_SLACK_MS, (uint64_t)spec->terms.slack / PH_NS_PER_MS);
    PhPack_Bytes(p, JOB_PAYLOAD, spec->payload);
    msgpack_pack_uint64(p, JOB_STEPS);
    msgpack_pack_array(p, spec->step_count);
    for (uint32_t i = 0; i < spec->step_count; i++) {
        pack_step(p, &spec->steps[i]);
    }
    PhPack_U64(p, JOB_REPETITIONS, spec->repetitions);
    PhPack_U64(p, JOB_FIRST_DUE_MS, (uint64_t)spec->first_due_ms);
    PhPack_U64(p, JOB_INTERVAL_MS, (uint64_t)spec->interval_ms);
}

static void
pack_pairs(msgpack_packer *p, const PhSchedRecord *record)
{
    msgpack_pack_map(p, 1);
    msgpack_pack_uint64(p, PAIRS_ITEMS);
    msgpack_pack_array(p, record->as.pairs.count);
    for (uint32_t i = 0; i < record->as.pairs.count; i++) {
        const PhSchedPairRecord *item = &record->as.pairs.items[i];
        msgpack_pack_array(p, PAIR_ITEMS);
        PhPack_Item(p, item->backfill);
        PhPack_Item(p, item->serving);
        msgpack_pack_float(p, (float)item->factor);
        msgpack_pack_float(p, (float)item->variance);
        msgpack_pack_uint32(p, item->filter);
    }
}

/* Makes the key of a record; only the key of a `stage` has a suffix. */
static PhStr
key_make(char kind, PhStr id, const PhSchedRecord *stage)
{
    PhBuf key = {0};
    PhBuf_AppendByte(&key, kind);
    PhBuf_Append(&key, id);
    if (stage != NULL) {
        PhSchedStageRecord_AppendKey(&key, stage);
    }
    return PhBuf_Take(&key);
}

PhSchedEncoded
PhSchedRecord_EncodeJob(const PhSchedSpec *spec)
{
    PhBuf out = {0};
    msgpack_packer p;
    msgpack_packer_init(&p, &out, PhPack_Write);
    pack_job(&p, spec);
    return (PhSchedEncoded){.key = key_make(KEY_JOB, spec->id, NULL),
                            .value = PhBuf_Take(&out)};
}

/* Rounds up, so that a lease never appears to end too early. */
static uint64_t
whole_ms(PhTime time)
{
    return (uint64_t)((time + PH_NS_PER_MS - 1) / PH_NS_PER_MS);
}

PhSchedEncoded
PhSchedRecord_Encode(const PhSchedRecord *record)
{
    PhBuf out = {0};
    PhStr key = {0};
    msgpack_packer p;
    msgpack_packer_init(&p, &out, PhPack_Write);
    switch (record->tag) {
    case PH_SCHED_RECORD_JOB:
        return PhSchedRecord_EncodeJob(&record->as.job);
    case PH_SCHED_RECORD_CANCEL:
        key = key_make(KEY_CANCEL, record->id, NULL);
        msgpack_pack_map(&p, 0);
        break;
    case PH_SCHED_RECORD_STATE:
        key = key_make(KEY_STATE, record->id, NULL);
        msgpack_pack_map(&p, 1);
        PhPack_U64(&p, STATE_STATE, (uint64_t)record->as.state);
        break;
    case PH_SCHED_RECORD_STAGE:
        key = key_make(KEY_STAGE, record->id, record);
        PhSchedStageRecord_Pack(&p, record);
        break;
    case PH_SCHED_RECORD_WORKER:
        key = key_make(KEY_WORKER, record->id, NULL);
        msgpack_pack_map(&p, WORKER_UNBOUND);
        PhPack_U64(&p, WORKER_BORN_MS, (uint64_t)record->as.worker.born_ms);
        PhPack_U64(&p, WORKER_SUSPENDED, record->as.worker.suspended);
        PhPack_U64(&p, WORKER_LEAVING, record->as.worker.leaving);
        PhPack_U64(&p, WORKER_LEASE_EXPIRY_BOUND_MS,
                   whole_ms(record->as.worker.lease_expiry_bound));
        PhPack_U64(&p, WORKER_BOUND_INHERITED, record->as.worker.inherited);
        PhPack_U64(&p, WORKER_UNBOUND, record->as.worker.unbound);
        break;
    case PH_SCHED_RECORD_PAIRS:
        key = key_make(KEY_PAIRS, (PhStr){0}, NULL);
        pack_pairs(&p, record);
        break;
    }
    return (PhSchedEncoded){.key = key,
                            .value = PhBuf_Take(&out),
                            .continues =
                                record->tag == PH_SCHED_RECORD_STAGE &&
                                record->as.stage.continues};
}

void
PhSchedEncoded_Clear(PhSchedEncoded *encoded)
{
    PhStr_Clear(&encoded->key);
    PhStr_Clear(&encoded->value);
}

/* Returns 0 for a missing field. */
static uint64_t
get_u64(const msgpack_object *map, uint64_t key)
{
    uint64_t value = 0;
    PhUnpack_U64(PhUnpack_Field(map, key), &value);
    return value;
}

/* Reads a time in milliseconds, limited to TIME_MS_MAX. */
static PhTime
get_time(const msgpack_object *map, uint64_t key)
{
    return (PhTime)MIN(get_u64(map, key), TIME_MS_MAX) * PH_NS_PER_MS;
}

/* Returns a copy, empty for a missing field or one of more bytes. */
static PhStr
get_bytes(const msgpack_object *map, uint64_t key, size_t bytes_max)
{
    PhStr value = {0};
    if (!PhUnpack_Bytes(PhUnpack_Field(map, key), bytes_max, &value) ||
        value.len == 0) {
        return (PhStr){0};
    }
    return PhStr_Dup(value);
}

static PhStr
get_text(const msgpack_object *map, uint64_t key)
{
    return get_bytes(map, key, TEXT_BYTES_MAX);
}

static void
read_after(const msgpack_object *list, PhSchedStep *step)
{
    if (list == NULL || list->type != MSGPACK_OBJECT_ARRAY ||
        list->via.array.size == 0) {
        return;
    }
    step->after = g_new0(uint32_t, list->via.array.size);
    for (uint32_t i = 0; i < list->via.array.size; i++) {
        uint64_t number = 0;
        PhUnpack_U64(&list->via.array.ptr[i], &number);
        step->after[step->after_count++] = (uint32_t)number;
    }
}

static void
read_step(const msgpack_object *map, PhSchedStep *step)
{
    uint64_t flags = get_u64(map, STEP_FLAGS);
    step->count = (uint32_t)get_u64(map, STEP_COUNT);
    step->resources.cpu_milli = (int64_t)get_u64(map, STEP_CPU_MILLI);
    step->resources.mem_mb = (int64_t)get_u64(map, STEP_MEM_MB);
    step->resources.gpu = (int64_t)get_u64(map, STEP_GPU);
    step->estimate = get_time(map, STEP_ESTIMATE_MS);
    read_after(PhUnpack_Field(map, STEP_AFTER), step);
    step->saves_progress = (flags & FLAG_SAVES_PROGRESS) != 0;
    step->gang = (flags & FLAG_GANG) != 0;
    step->same_rack = (flags & FLAG_SAME_RACK) != 0;
    step->speculative = (flags & FLAG_SPECULATIVE) != 0;
    step->long_running = (flags & FLAG_LONG_RUNNING) != 0;
    step->fills = (flags & FLAG_FILLS) != 0;
    step->requires = get_text(map, STEP_REQUIRES);
    step->affinity = get_text(map, STEP_AFFINITY);
    step->image = get_text(map, STEP_IMAGE);
    step->max_per_worker = (uint32_t)get_u64(map, STEP_MAX_PER_WORKER);
    step->may_miss = (uint32_t)get_u64(map, STEP_MAY_MISS);
    step->tail_latency_target = get_time(map, STEP_TAIL_TARGET_MS);
}

static PhResult
read_job(const msgpack_object *map, PhSchedSpec *spec)
{
    const msgpack_object *steps = PhUnpack_Field(map, JOB_STEPS);
    spec->terms.queue = get_text(map, JOB_QUEUE);
    spec->terms.service = get_text(map, JOB_SERVICE);
    spec->terms.priority = (int64_t)get_u64(map, JOB_PRIORITY);
    spec->terms.max_attempts = (uint32_t)get_u64(map, JOB_ATTEMPTS);
    spec->terms.stretch = (double)get_u64(map, JOB_STRETCH_MILLI) / MILLI;
    spec->terms.slack = get_time(map, JOB_SLACK_MS);
    /* Whatever was accepted has to be read again; the record bounds it. */
    spec->payload = get_bytes(map, JOB_PAYLOAD, SIZE_MAX);
    spec->repetitions = (uint32_t)get_u64(map, JOB_REPETITIONS);
    spec->first_due_ms = (int64_t)get_u64(map, JOB_FIRST_DUE_MS);
    spec->interval_ms = (int64_t)get_u64(map, JOB_INTERVAL_MS);
    if (steps == NULL || steps->type != MSGPACK_OBJECT_ARRAY) {
        return PhResult_Make(PH_STATUS_INVALID, "job: no list of steps");
    }
    spec->steps = g_new0(PhSchedStep, MAX(steps->via.array.size, 1));
    for (uint32_t i = 0; i < steps->via.array.size; i++) {
        if (steps->via.array.ptr[i].type != MSGPACK_OBJECT_MAP) {
            return PhResult_Make(PH_STATUS_INVALID, "step %u is not a map", i);
        }
        read_step(&steps->via.array.ptr[i], &spec->steps[i]);
        spec->step_count++;
    }
    return PhSchedSpec_Check(spec);
}

/* Reads a finite number; returns false for anything else. */
static bool
read_estimate(const msgpack_object *value, double *part)
{
    if (value->type != MSGPACK_OBJECT_FLOAT32 &&
        value->type != MSGPACK_OBJECT_FLOAT64) {
        return false;
    }
    *part = value->via.f64;
    return isfinite(*part);
}

static PhResult
read_pairs(const msgpack_object *map, PhSchedRecord *record)
{
    const msgpack_object *list = PhUnpack_Field(map, PAIRS_ITEMS);
    if (list == NULL || list->type != MSGPACK_OBJECT_ARRAY) {
        return PhResult_Make(PH_STATUS_INVALID, "pairs: no list");
    }
    record->as.pairs.items =
        g_new0(PhSchedPairRecord, MAX(list->via.array.size, 1));
    for (uint32_t i = 0; i < list->via.array.size; i++) {
        const msgpack_object *row = &list->via.array.ptr[i];
        PhSchedPairRecord *item =
            &record->as.pairs.items[record->as.pairs.count];
        PhStr backfill;
        PhStr serving;
        uint64_t filter = 0;
        if (row->type != MSGPACK_OBJECT_ARRAY ||
            row->via.array.size < PAIR_ITEMS ||
            !PhUnpack_Bytes(&row->via.array.ptr[0], TEXT_BYTES_MAX,
                            &backfill) ||
            !PhUnpack_Bytes(&row->via.array.ptr[1], TEXT_BYTES_MAX,
                            &serving) ||
            !read_estimate(&row->via.array.ptr[2], &item->factor) ||
            !read_estimate(&row->via.array.ptr[3], &item->variance) ||
            !PhUnpack_U64(&row->via.array.ptr[4], &filter) ||
            filter > UINT32_MAX) {
            return PhResult_Make(PH_STATUS_INVALID, "malformed pair %u", i);
        }
        item->backfill = PhStr_Dup(backfill);
        item->serving = PhStr_Dup(serving);
        item->filter = (uint32_t)filter;
        record->as.pairs.count++;
    }
    return PhResult_Ok();
}

/* Reads the value of a record by the kind of its key. */
static PhResult
read_body(char kind, PhStr rest, const msgpack_object *map,
          PhSchedRecord *record)
{
    if (kind == KEY_JOB) {
        record->tag = PH_SCHED_RECORD_JOB;
        record->as.job.id = PhStr_Dup(record->id);
        return read_job(map, &record->as.job);
    }
    if (kind == KEY_CANCEL) {
        record->tag = PH_SCHED_RECORD_CANCEL;
        return PhResult_Ok();
    }
    if (kind == KEY_STATE) {
        uint64_t state = get_u64(map, STATE_STATE);
        record->tag = PH_SCHED_RECORD_STATE;
        record->as.state = (PhSchedJobState)state;
        return state <= PH_SCHED_JOB_CANCELLED
                   ? PhResult_Ok()
                   : PhResult_Make(PH_STATUS_INVALID, "unknown job state");
    }
    if (kind == KEY_WORKER) {
        record->tag = PH_SCHED_RECORD_WORKER;
        record->as.worker.born_ms = (int64_t)get_u64(map, WORKER_BORN_MS);
        record->as.worker.suspended = get_u64(map, WORKER_SUSPENDED) != 0;
        record->as.worker.leaving = get_u64(map, WORKER_LEAVING) != 0;
        record->as.worker.lease_expiry_bound =
            (PhTime)MIN(get_u64(map, WORKER_LEASE_EXPIRY_BOUND_MS),
                        LEASE_EXPIRY_BOUND_MAX_MS) *
            PH_NS_PER_MS;
        record->as.worker.inherited =
            get_u64(map, WORKER_BOUND_INHERITED) != 0;
        record->as.worker.unbound = get_u64(map, WORKER_UNBOUND) != 0;
        return PhResult_Ok();
    }
    if (kind == KEY_PAIRS) {
        record->tag = PH_SCHED_RECORD_PAIRS;
        return read_pairs(map, record);
    }
    record->tag = PH_SCHED_RECORD_STAGE;
    if (kind != KEY_STAGE) {
        return PhResult_Make(PH_STATUS_INVALID, "unknown kind of key");
    }
    return PhSchedStageRecord_Read(rest, map, record);
}

PhResult
PhSchedRecord_Decode(PhStr key, PhStr value, PhSchedRecord *record)
{
    PhUnpack unpack;
    *record = (PhSchedRecord){.tag = PH_SCHED_RECORD_CANCEL};
    bool has_job =
        key.len > 0 && key.data[0] != KEY_PAIRS && key.data[0] != KEY_WORKER;
    if (key.len == 0 || (has_job && key.len < 1 + ID_BYTES)) {
        return PhResult_Make(PH_STATUS_INVALID, "key too short");
    }
    PhResult r =
        PhResult_Make(PH_STATUS_INVALID, "value is not a msgpack map");
    if (PhUnpack_Open(&unpack, value)) {
        size_t id_bytes = has_job ? ID_BYTES : key.len;
        record->id = PhStr_Dup(PhStr_Slice(key, 1, id_bytes));
        r = read_body(key.data[0], PhStr_Slice(key, 1 + ID_BYTES, key.len),
                      PhUnpack_Root(&unpack), record);
    }
    PhUnpack_Close(&unpack);
    if (!PhResult_IsOk(&r)) {
        PhSchedRecord_Clear(record);
    }
    return r;
}

PhResult
PhSchedRecord_DecodeJob(PhStr id, PhStr value, PhSchedSpec *spec)
{
    PhUnpack unpack;
    *spec = (PhSchedSpec){0};
    if (id.len != ID_BYTES) {
        return PhResult_Make(PH_STATUS_INVALID, "job id has %zu bytes",
                             id.len);
    }
    PhResult r =
        PhResult_Make(PH_STATUS_INVALID, "value is not a msgpack map");
    if (PhUnpack_Open(&unpack, value)) {
        spec->id = PhStr_Dup(id);
        r = read_job(PhUnpack_Root(&unpack), spec);
    }
    PhUnpack_Close(&unpack);
    if (!PhResult_IsOk(&r)) {
        PhSchedSpec_Clear(spec);
    }
    return r;
}
