#include "schedule_stage.h"

enum {
    STAGE_TASKS = 1,
    STAGE_ALL_DONE,
    STAGE_PART_OF, /* tasks of the stage, if the record holds only a part */
    /* Items of a task: state, run and failures, then the worker and its
     * incarnation, then the checkpoint. */
    TASK_ITEMS_MIN = 3,
    TASK_ITEMS_PLACED = 5,
    TASK_ITEMS_SAVED = 6,
    /* Numbers in a key: round, step and, from task 1 on, the first task. */
    KEY_NUMBERS_MIN = 2,
    KEY_NUMBERS_MAX = 3,
};

void
PhSchedStageRecord_AppendKey(PhBuf *key, const PhSchedRecord *record)
{
    PhBuf_AppendFormat(key, ".%u.%u", record->as.stage.round,
                       record->as.stage.step);
    if (record->as.stage.first > 0) {
        PhBuf_AppendFormat(key, ".%u", record->as.stage.first);
    }
}

/* A checkpoint that is too long to be read again is left out. */
static bool
is_saved(const PhSchedTaskRecord *task)
{
    return task->last_checkpoint.len > 0 &&
           task->last_checkpoint.len <= PH_SCHED_TEXT_BYTES_MAX;
}

static void
pack_task(msgpack_packer *p, const PhSchedTaskRecord *task)
{
    size_t items = TASK_ITEMS_MIN;
    if (is_saved(task)) {
        items = TASK_ITEMS_SAVED;
    }
    else if (task->worker.len > 0) {
        items = TASK_ITEMS_PLACED;
    }
    msgpack_pack_array(p, items);
    msgpack_pack_uint32(p, (uint32_t)task->state);
    msgpack_pack_uint32(p, task->run);
    msgpack_pack_uint32(p, task->failures);
    if (items >= TASK_ITEMS_PLACED) {
        PhPack_Item(p, task->worker);
        msgpack_pack_uint64(p, (uint64_t)task->worker_born_ms);
    }
    if (items == TASK_ITEMS_SAVED) {
        PhPack_Item(p, task->last_checkpoint);
    }
}

void
PhSchedStageRecord_Pack(msgpack_packer *p, const PhSchedRecord *record)
{
    uint32_t count = record->as.stage.task_count;
    bool is_part = record->as.stage.part_of > 0;
    uint32_t done = 0;
    for (uint32_t i = 0; i < count; i++) {
        done += record->as.stage.tasks[i].state == PH_SCHED_TASK_DONE;
    }
    msgpack_pack_map(p, is_part ? 2 : 1);
    if (is_part) {
        PhPack_U64(p, STAGE_PART_OF, record->as.stage.part_of);
    }
    if (done == count) {
        PhPack_U64(p, STAGE_ALL_DONE, count);
        return;
    }
    msgpack_pack_uint64(p, STAGE_TASKS);
    msgpack_pack_array(p, count);
    for (uint32_t i = 0; i < count; i++) {
        pack_task(p, &record->as.stage.tasks[i]);
    }
}

/* Reads the numbers of a key: round, step and, in that of a later part, the
 * first task. */
static bool
read_key(PhStr rest, PhSchedRecord *record)
{
    uint64_t numbers[KEY_NUMBERS_MAX] = {0};
    size_t count = 0;
    bool more = rest.len > 0 && rest.data[0] == '.';
    PhStr tail = PhStr_Slice(rest, 1, rest.len);
    while (more) {
        PhStr number;
        more = PhStr_Cut(tail, '.', &number, &tail);
        if (count == KEY_NUMBERS_MAX ||
            !PhStr_ParseU64(number, &numbers[count++])) {
            return false;
        }
    }
    if (count < KEY_NUMBERS_MIN || numbers[0] >= PH_SCHED_ROUNDS_MAX ||
        numbers[1] >= PH_SCHED_STEPS_MAX || numbers[2] >= PH_SCHED_TASKS_MAX) {
        return false;
    }
    record->as.stage.round = (uint32_t)numbers[0];
    record->as.stage.step = (uint32_t)numbers[1];
    record->as.stage.first = (uint32_t)numbers[2];
    return true;
}

/* Returns false for a malformed task. */
static bool
read_task(const msgpack_object *list, PhSchedTaskRecord *task)
{
    uint64_t numbers[TASK_ITEMS_MIN] = {0};
    uint64_t born = 0;
    PhStr text;
    if (list->type != MSGPACK_OBJECT_ARRAY ||
        list->via.array.size < TASK_ITEMS_MIN) {
        return false;
    }
    const msgpack_object *items = list->via.array.ptr;
    for (uint32_t i = 0; i < TASK_ITEMS_MIN; i++) {
        PhUnpack_U64(&items[i], &numbers[i]);
    }
    if (numbers[0] > PH_SCHED_TASK_DONE) {
        return false;
    }
    task->state = (PhSchedTaskState)numbers[0];
    task->run = (uint32_t)numbers[1];
    task->failures = (uint32_t)numbers[2];
    if (list->via.array.size >= TASK_ITEMS_PLACED &&
        PhUnpack_Bytes(&items[3], PH_SCHED_TEXT_BYTES_MAX, &text) &&
        text.len > 0) {
        task->worker = PhStr_Dup(text);
        PhUnpack_U64(&items[4], &born);
        task->worker_born_ms = (int64_t)born;
    }
    if (list->via.array.size >= TASK_ITEMS_SAVED &&
        PhUnpack_Bytes(&items[TASK_ITEMS_SAVED - 1], PH_SCHED_TEXT_BYTES_MAX,
                       &text)) {
        task->last_checkpoint = PhStr_Dup(text);
    }
    bool placed = task->state == PH_SCHED_TASK_ASSIGNED ||
                  task->state == PH_SCHED_TASK_RUNNING;
    return placed == (task->worker.len > 0);
}

/* Whether the record can hold `count` tasks.  Older records have no
 * STAGE_PART_OF and hold all tasks of their stage. */
static bool
count_is_valid(const PhSchedRecord *record, uint64_t count)
{
    uint64_t first = record->as.stage.first;
    uint64_t part_of = record->as.stage.part_of;
    if (count == 0 || count > PH_SCHED_TASKS_MAX) {
        return false;
    }
    return part_of == 0 ? first == 0 : first + count <= part_of;
}

PhResult
PhSchedStageRecord_Read(PhStr rest, const msgpack_object *map,
                        PhSchedRecord *record)
{
    const msgpack_object *tasks = PhUnpack_Field(map, STAGE_TASKS);
    uint64_t count = 0;
    uint64_t part_of = 0;
    PhUnpack_U64(PhUnpack_Field(map, STAGE_ALL_DONE), &count);
    PhUnpack_U64(PhUnpack_Field(map, STAGE_PART_OF), &part_of);
    if (!read_key(rest, record)) {
        return PhResult_Make(PH_STATUS_INVALID, "stage: malformed key");
    }
    if (tasks != NULL) {
        bool listed = tasks->type == MSGPACK_OBJECT_ARRAY;
        count = listed ? tasks->via.array.size : 0;
    }
    record->as.stage.part_of = (uint32_t)MIN(part_of, UINT32_MAX);
    if (!count_is_valid(record, count)) {
        return PhResult_Make(PH_STATUS_INVALID,
                             "stage: no tasks, or too many");
    }
    record->as.stage.tasks = g_new0(PhSchedTaskRecord, count);
    record->as.stage.task_count = (uint32_t)count;
    for (uint32_t i = 0; i < count; i++) {
        PhSchedTaskRecord *task = &record->as.stage.tasks[i];
        if (tasks == NULL) {
            task->state = PH_SCHED_TASK_DONE;
        }
        else if (!read_task(&tasks->via.array.ptr[i], task)) {
            return PhResult_Make(PH_STATUS_INVALID, "malformed task %u", i);
        }
    }
    return PhResult_Ok();
}
