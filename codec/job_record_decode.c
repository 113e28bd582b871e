#include <string.h>

#include "peridothill/codec/job_record.h"
#include "peridothill/codec/json.h"

/* Reads the elements of an array in order. `failed` stays set after the first
 * element that is missing or of the wrong type. */
typedef struct PhArrayReader {
    const json_t *array;
    size_t next;
    bool failed;
} PhArrayReader;

static const json_t *
read_element(PhArrayReader *r)
{
    const json_t *value = json_array_get(r->array, r->next++);
    r->failed = r->failed || value == NULL;
    return value;
}

static int64_t
read_int(PhArrayReader *r)
{
    const json_t *value = read_element(r);
    r->failed = r->failed || !json_is_integer(value);
    return r->failed ? 0 : (int64_t)json_integer_value(value);
}

/* Reads a number from 0 to `most`. */
static uint32_t
read_u32(PhArrayReader *r, uint32_t most)
{
    int64_t value = read_int(r);
    r->failed = r->failed || value < 0 || value > most;
    return r->failed ? 0 : (uint32_t)value;
}

static bool
read_bool(PhArrayReader *r)
{
    const json_t *value = read_element(r);
    r->failed = r->failed || !json_is_boolean(value);
    return json_is_true(value);
}

/* The caller frees the string. */
static PhStr
read_str(PhArrayReader *r)
{
    const json_t *value = read_element(r);
    r->failed = r->failed || !json_is_string(value);
    return r->failed ? (PhStr){0}
                     : PhStr_Dup(PhStr_FromBytes(json_string_value(value),
                                                 json_string_length(value)));
}

static PhRun
read_run(PhArrayReader *r)
{
    PhRun run = {.job = (uint64_t)read_int(r)};
    run.index = read_u32(r, UINT32_MAX);
    run.incarnation = read_u32(r, UINT32_MAX);
    return run;
}

static PhJobSpec
read_spec(PhArrayReader *outer)
{
    PhArrayReader r = {.array = read_element(outer)};
    PhJobSpec s = {.key = read_str(&r), .team = read_str(&r)};
    s.hint = read_str(&r);
    s.class = (PhJobClass)read_u32(&r, PH_JOB_BATCH);
    s.priority = read_u32(&r, UINT32_MAX);
    s.deadline_ms = read_int(&r);
    s.run_ms = read_int(&r);
    s.size.cpu_milli = read_int(&r);
    s.size.memory_mb = read_int(&r);
    s.size.accelerators = read_int(&r);
    s.count = read_u32(&r, UINT32_MAX);
    s.checkpointable = read_bool(&r);
    PhResult check = PhJobSpec_Check(&s);
    outer->failed = outer->failed || r.failed || !PhResult_IsOk(&check);
    return s;
}

static void
read_tasks(PhArrayReader *outer, PhJobRecord *record)
{
    const json_t *array = read_element(outer);
    size_t count = json_array_size(array);
    if (count == 0 || count > PH_SNAPSHOT_TASKS_MAX) {
        outer->failed = true;
        return;
    }
    record->as.snapshot_tasks.count = (uint32_t)count;
    record->as.snapshot_tasks.tasks = g_new0(PhJobTask, count);
    record->as.snapshot_tasks.workers = g_new0(PhStr, count);
    for (size_t i = 0; i < count; i++) {
        PhArrayReader r = {.array = json_array_get(array, i)};
        PhJobTask *t = &record->as.snapshot_tasks.tasks[i];
        t->state = (PhJobTaskState)read_u32(&r, PH_JOB_TASK_CANCELLED);
        t->incarnation = read_u32(&r, UINT32_MAX);
        t->failures = read_u32(&r, UINT32_MAX);
        t->checkpoint = (uint64_t)read_int(&r);
        record->as.snapshot_tasks.workers[i] = read_str(&r);
        outer->failed = outer->failed || r.failed;
    }
}

static void
read_snapshot(PhArrayReader *r, PhJobRecord *record)
{
    if (record->kind == PH_RECORD_SNAPSHOT_JOB) {
        record->as.snapshot_job.number = (uint64_t)read_int(r);
        record->as.snapshot_job.cancel_wanted = read_bool(r);
        record->as.snapshot_job.finished = read_bool(r);
        record->as.snapshot_job.evictions = read_u32(r, UINT32_MAX);
        record->as.snapshot_job.done = read_u32(r, UINT32_MAX);
        record->as.snapshot_job.cancelled = read_u32(r, UINT32_MAX);
        record->as.snapshot_job.spec = read_spec(r);
    }
    else if (record->kind == PH_RECORD_SNAPSHOT_TASKS) {
        record->as.snapshot_tasks.job = (uint64_t)read_int(r);
        record->as.snapshot_tasks.first = read_u32(r, UINT32_MAX);
        read_tasks(r, record);
    }
    else if (record->kind == PH_RECORD_SNAPSHOT_WORKER) {
        record->as.snapshot_worker.worker = read_str(r);
        record->as.snapshot_worker.offset = (uint64_t)read_int(r);
    }
    else if (record->kind == PH_RECORD_SNAPSHOT_RENEWER) {
        record->as.snapshot_renewer.instance = read_str(r);
        record->as.snapshot_renewer.sequence = (uint64_t)read_int(r);
        record->as.snapshot_renewer.through = (uint64_t)read_int(r);
        record->as.snapshot_renewer.registered = read_bool(r);
    }
    else {
        record->as.snapshot.id = (uint64_t)read_int(r);
        record->as.snapshot.epoch = (uint64_t)read_int(r);
        record->as.snapshot.owner_offset = (uint64_t)read_int(r);
        record->as.snapshot.through = (uint64_t)read_int(r);
        record->as.snapshot.owner = read_str(r);
    }
}

static void
read_body(PhArrayReader *r, PhJobRecord *record)
{
    switch (record->kind) {
    case PH_RECORD_JOB:
        record->as.job = read_spec(r);
        break;
    case PH_RECORD_CANCEL:
        record->as.cancel = (uint64_t)read_int(r);
        break;
    case PH_RECORD_CLAIM:
        record->as.claim.epoch = (uint64_t)read_int(r);
        record->as.claim.after = (uint64_t)read_int(r);
        break;
    case PH_RECORD_HOLD:
        record->as.hold = (uint64_t)read_int(r);
        break;
    case PH_RECORD_KEEP:
        record->as.through = (uint64_t)read_int(r);
        break;
    case PH_RECORD_LEAVE:
        record->as.leave.instance = read_str(r);
        record->as.leave.sequence = (uint64_t)read_int(r);
        break;
    case PH_RECORD_START:
        record->as.start.epoch = (uint64_t)read_int(r);
        record->as.start.run = read_run(r);
        record->as.start.worker = read_str(r);
        break;
    case PH_RECORD_END:
        record->as.end.run = read_run(r);
        record->as.end.outcome = (PhRunOutcome)read_u32(r, PH_RUN_LOST);
        record->as.end.checkpoint = (uint64_t)read_int(r);
        break;
    case PH_RECORD_SUSPECT:
        record->as.suspect = read_str(r);
        break;
    case PH_RECORD_RETIRE:
    case PH_RECORD_RESTORE:
        record->as.retire.epoch = (uint64_t)read_int(r);
        record->as.retire.worker = read_str(r);
        break;
    case PH_RECORD_SNAPSHOT_BEGIN:
    case PH_RECORD_SNAPSHOT_JOB:
    case PH_RECORD_SNAPSHOT_TASKS:
    case PH_RECORD_SNAPSHOT_WORKER:
    case PH_RECORD_SNAPSHOT_RENEWER:
    case PH_RECORD_SNAPSHOT_END:
        read_snapshot(r, record);
        break;
    }
}

/* The caller clears the record, also on failure. */
static bool
read_record(const json_t *array, PhJobRecord *record)
{
    PhArrayReader r = {.array = array};
    const char *name = json_string_value(read_element(&r));
    if (name == NULL || !PhJobRecordKind_Parse(name, &record->kind)) {
        record->kind = PH_RECORD_HOLD; /* owns nothing */
        return false;
    }
    read_body(&r, record);
    return !r.failed;
}

PhResult
PhJobEntry_Decode(PhStr text, PhJobEntry *entry)
{
    json_t *json;
    PhResult result = PhJson_Parse(text, &json);
    if (!PhResult_IsOk(&result)) {
        return result;
    }
    const json_t *records = json_object_get(json, "r");
    *entry = PhJobEntry_Make(PhJson_GetStr(json, "i"),
                             (uint64_t)PhJson_GetInt(json, "n", 0));
    size_t count = json_array_size(records);
    bool good = entry->sequence > 0 && entry->instance.len > 0 &&
                count <= PH_ENTRY_RECORDS_MAX;
    for (size_t i = 0; i < count && good; i++) {
        PhJobRecord record = {0};
        good = read_record(json_array_get(records, i), &record);
        g_array_append_val(entry->records, record);
    }
    json_decref(json);
    if (!good) {
        PhJobEntry_Clear(entry);
        return PhResult_Make(PH_STATUS_INVALID, "malformed job log entry");
    }
    return PhResult_Ok();
}

PhResult
PhJobSpec_FromJson(const json_t *object, PhJobSpec *spec)
{
    PhStr class = PhJson_GetStr(object, "class");
    int64_t priority = PhJson_GetInt(object, "priority", 0);
    int64_t count = PhJson_GetInt(object, "count", 1);
    *spec = (PhJobSpec){.class = PH_JOB_BATCH};
    if (class.len > 0 && !PhJobClass_Parse(class, &spec->class)) {
        return PhResult_Make(PH_STATUS_INVALID,
                             "class: urgent, standing or batch is needed");
    }
    if (priority < 0 || priority > UINT32_MAX || count < 0 ||
        count > UINT32_MAX) {
        return PhResult_Make(PH_STATUS_INVALID,
                             "priority or count out of bounds");
    }
    spec->priority = (uint32_t)priority;
    spec->count = (uint32_t)count;
    spec->deadline_ms = PhJson_GetInt(object, "deadline_ms", 0);
    spec->run_ms = PhJson_GetInt(object, "run_ms", 0);
    spec->size.cpu_milli = PhJson_GetInt(object, "cpu_milli", 0);
    spec->size.memory_mb = PhJson_GetInt(object, "memory_mb", 0);
    spec->size.accelerators = PhJson_GetInt(object, "accelerators", 0);
    spec->checkpointable =
        json_is_true(json_object_get(object, "checkpointable"));
    spec->key = PhStr_Dup(PhJson_GetStr(object, "key"));
    spec->team = PhStr_Dup(PhJson_GetStr(object, "team"));
    spec->hint = PhStr_Dup(PhJson_GetStr(object, "hint"));
    PhResult check = PhJobSpec_Check(spec);
    if (!PhResult_IsOk(&check)) {
        PhJobSpec_Clear(spec);
    }
    return check;
}
