#include "peridothill/decide/tasks/job_record.h"

static void
snapshot_tasks_clear(PhJobRecord *record)
{
    for (uint32_t i = 0; i < record->as.snapshot_tasks.count; i++) {
        PhStr_Clear(&record->as.snapshot_tasks.workers[i]);
    }
    g_free(record->as.snapshot_tasks.workers);
    g_free(record->as.snapshot_tasks.tasks);
}

void
PhJobRecord_Clear(PhJobRecord *record)
{
    switch (record->kind) {
    case PH_RECORD_JOB:
        PhJobSpec_Clear(&record->as.job);
        break;
    case PH_RECORD_LEAVE:
        PhStr_Clear(&record->as.leave.instance);
        break;
    case PH_RECORD_START:
        PhStr_Clear(&record->as.start.worker);
        break;
    case PH_RECORD_SUSPECT:
        PhStr_Clear(&record->as.suspect);
        break;
    case PH_RECORD_RETIRE:
    case PH_RECORD_RESTORE:
        PhStr_Clear(&record->as.retire.worker);
        break;
    case PH_RECORD_SNAPSHOT_BEGIN:
    case PH_RECORD_SNAPSHOT_END:
        PhStr_Clear(&record->as.snapshot.owner);
        break;
    case PH_RECORD_SNAPSHOT_JOB:
        PhJobSpec_Clear(&record->as.snapshot_job.spec);
        break;
    case PH_RECORD_SNAPSHOT_TASKS:
        snapshot_tasks_clear(record);
        break;
    case PH_RECORD_SNAPSHOT_WORKER:
        PhStr_Clear(&record->as.snapshot_worker.worker);
        break;
    case PH_RECORD_SNAPSHOT_RENEWER:
        PhStr_Clear(&record->as.snapshot_renewer.instance);
        break;
    case PH_RECORD_CANCEL:
    case PH_RECORD_CLAIM:
    case PH_RECORD_HOLD:
    case PH_RECORD_KEEP:
    case PH_RECORD_END:
        break;
    }
}

static void
record_clear(gpointer record)
{
    PhJobRecord_Clear(record);
}

static void
snapshot_tasks_copy(PhJobRecord *copy, const PhJobRecord *record)
{
    uint32_t count = record->as.snapshot_tasks.count;
    copy->as.snapshot_tasks.tasks =
        g_memdup2(record->as.snapshot_tasks.tasks,
                  count * sizeof(*record->as.snapshot_tasks.tasks));
    copy->as.snapshot_tasks.workers = g_new0(PhStr, count);
    for (uint32_t i = 0; i < count; i++) {
        copy->as.snapshot_tasks.workers[i] =
            PhStr_Dup(record->as.snapshot_tasks.workers[i]);
    }
}

PhJobRecord
PhJobRecord_Copy(const PhJobRecord *record)
{
    PhJobRecord copy = *record;
    switch (record->kind) {
    case PH_RECORD_JOB:
        copy.as.job = PhJobSpec_Copy(&record->as.job);
        break;
    case PH_RECORD_LEAVE:
        copy.as.leave.instance = PhStr_Dup(record->as.leave.instance);
        break;
    case PH_RECORD_START:
        copy.as.start.worker = PhStr_Dup(record->as.start.worker);
        break;
    case PH_RECORD_SUSPECT:
        copy.as.suspect = PhStr_Dup(record->as.suspect);
        break;
    case PH_RECORD_RETIRE:
    case PH_RECORD_RESTORE:
        copy.as.retire.worker = PhStr_Dup(record->as.retire.worker);
        break;
    case PH_RECORD_SNAPSHOT_BEGIN:
    case PH_RECORD_SNAPSHOT_END:
        copy.as.snapshot.owner = PhStr_Dup(record->as.snapshot.owner);
        break;
    case PH_RECORD_SNAPSHOT_JOB:
        copy.as.snapshot_job.spec =
            PhJobSpec_Copy(&record->as.snapshot_job.spec);
        break;
    case PH_RECORD_SNAPSHOT_TASKS:
        snapshot_tasks_copy(&copy, record);
        break;
    case PH_RECORD_SNAPSHOT_WORKER:
        copy.as.snapshot_worker.worker =
            PhStr_Dup(record->as.snapshot_worker.worker);
        break;
    case PH_RECORD_SNAPSHOT_RENEWER:
        copy.as.snapshot_renewer.instance =
            PhStr_Dup(record->as.snapshot_renewer.instance);
        break;
    case PH_RECORD_CANCEL:
    case PH_RECORD_CLAIM:
    case PH_RECORD_HOLD:
    case PH_RECORD_KEEP:
    case PH_RECORD_END:
        break;
    }
    return copy;
}

GArray *
PhJobRecords_Create(void)
{
    GArray *records = g_array_new(FALSE, TRUE, sizeof(PhJobRecord));
    g_array_set_clear_func(records, record_clear);
    return records;
}

PhJobEntry
PhJobEntry_Make(PhStr instance, uint64_t sequence)
{
    PhJobEntry entry = {.instance = PhStr_Dup(instance), .sequence = sequence};
    entry.records = PhJobRecords_Create();
    return entry;
}

void
PhJobEntry_Clear(PhJobEntry *entry)
{
    PhStr_Clear(&entry->instance);
    if (entry->records != NULL) {
        g_array_free(entry->records, TRUE);
        entry->records = NULL;
    }
}
