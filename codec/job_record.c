#include "peridothill/codec/job_record.h"

#include <string.h>

#include "peridothill/codec/json.h"

/* Arguments for "s%" of json_pack(). */
#define STR_ARG(S) ((S).data != NULL ? (S).data : ""), (S).len

static const char *const kind_names[] = {
    [PH_RECORD_JOB] = "job",
    [PH_RECORD_CANCEL] = "cancel",
    [PH_RECORD_CLAIM] = "claim",
    [PH_RECORD_HOLD] = "hold",
    [PH_RECORD_KEEP] = "keep",
    [PH_RECORD_LEAVE] = "leave",
    [PH_RECORD_START] = "start",
    [PH_RECORD_END] = "end",
    [PH_RECORD_SUSPECT] = "suspect",
    [PH_RECORD_RETIRE] = "retire",
    [PH_RECORD_RESTORE] = "restore",
    [PH_RECORD_SNAPSHOT_BEGIN] = "sbegin",
    [PH_RECORD_SNAPSHOT_JOB] = "sjob",
    [PH_RECORD_SNAPSHOT_TASKS] = "stasks",
    [PH_RECORD_SNAPSHOT_WORKER] = "sworker",
    [PH_RECORD_SNAPSHOT_RENEWER] = "srenewer",
    [PH_RECORD_SNAPSHOT_END] = "send",
};

bool
PhJobRecordKind_Parse(const char *name, PhJobRecordKind *kind)
{
    for (size_t i = 0; i < G_N_ELEMENTS(kind_names); i++) {
        if (strcmp(name, kind_names[i]) == 0) {
            *kind = (PhJobRecordKind)i;
            return true;
        }
    }
    return false;
}

static json_t *
spec_pack(const PhJobSpec *s)
{
    return json_pack("[s%s%s%iiIIIIIib]", STR_ARG(s->key), STR_ARG(s->team),
                     STR_ARG(s->hint), (int)s->class, (int)s->priority,
                     (json_int_t)s->deadline_ms, (json_int_t)s->run_ms,
                     (json_int_t)s->size.cpu_milli,
                     (json_int_t)s->size.memory_mb,
                     (json_int_t)s->size.accelerators, (int)s->count,
                     (int)s->checkpointable);
}

static json_t *
tasks_pack(const PhJobRecord *r)
{
    json_t *tasks = json_array();
    for (uint32_t i = 0; i < r->as.snapshot_tasks.count; i++) {
        const PhJobTask *t = &r->as.snapshot_tasks.tasks[i];
        json_array_append_new(
            tasks, json_pack("[iiiIs%]", (int)t->state, (int)t->incarnation,
                             (int)t->failures, (json_int_t)t->checkpoint,
                             STR_ARG(r->as.snapshot_tasks.workers[i])));
    }
    return tasks;
}

static json_t *
snapshot_pack(const PhJobRecord *r, const char *kind)
{
    if (r->kind == PH_RECORD_SNAPSHOT_JOB) {
        return json_pack(
            "[sIbbiiio]", kind, (json_int_t)r->as.snapshot_job.number,
            (int)r->as.snapshot_job.cancel_wanted,
            (int)r->as.snapshot_job.finished,
            (int)r->as.snapshot_job.evictions, (int)r->as.snapshot_job.done,
            (int)r->as.snapshot_job.cancelled,
            spec_pack(&r->as.snapshot_job.spec));
    }
    if (r->kind == PH_RECORD_SNAPSHOT_TASKS) {
        return json_pack("[sIio]", kind, (json_int_t)r->as.snapshot_tasks.job,
                         (int)r->as.snapshot_tasks.first, tasks_pack(r));
    }
    if (r->kind == PH_RECORD_SNAPSHOT_WORKER) {
        return json_pack("[ss%I]", kind, STR_ARG(r->as.snapshot_worker.worker),
                         (json_int_t)r->as.snapshot_worker.offset);
    }
    if (r->kind == PH_RECORD_SNAPSHOT_RENEWER) {
        return json_pack("[ss%IIb]", kind,
                         STR_ARG(r->as.snapshot_renewer.instance),
                         (json_int_t)r->as.snapshot_renewer.sequence,
                         (json_int_t)r->as.snapshot_renewer.through,
                         (int)r->as.snapshot_renewer.registered);
    }
    return json_pack("[sIIIIs%]", kind, (json_int_t)r->as.snapshot.id,
                     (json_int_t)r->as.snapshot.epoch,
                     (json_int_t)r->as.snapshot.owner_offset,
                     (json_int_t)r->as.snapshot.through,
                     STR_ARG(r->as.snapshot.owner));
}

/* Packs a record as an array whose first element is its kind. */
static json_t *
record_pack(const PhJobRecord *r)
{
    const char *kind = kind_names[r->kind];
    switch (r->kind) {
    case PH_RECORD_JOB:
        return json_pack("[so]", kind, spec_pack(&r->as.job));
    case PH_RECORD_CANCEL:
        return json_pack("[sI]", kind, (json_int_t)r->as.cancel);
    case PH_RECORD_CLAIM:
        return json_pack("[sII]", kind, (json_int_t)r->as.claim.epoch,
                         (json_int_t)r->as.claim.after);
    case PH_RECORD_HOLD:
        return json_pack("[sI]", kind, (json_int_t)r->as.hold);
    case PH_RECORD_KEEP:
        return json_pack("[sI]", kind, (json_int_t)r->as.through);
    case PH_RECORD_LEAVE:
        return json_pack("[ss%I]", kind, STR_ARG(r->as.leave.instance),
                         (json_int_t)r->as.leave.sequence);
    case PH_RECORD_START:
        return json_pack(
            "[sIIiis%]", kind, (json_int_t)r->as.start.epoch,
            (json_int_t)r->as.start.run.job, (int)r->as.start.run.index,
            (int)r->as.start.run.incarnation, STR_ARG(r->as.start.worker));
    case PH_RECORD_END:
        return json_pack(
            "[sIiiiI]", kind, (json_int_t)r->as.end.run.job,
            (int)r->as.end.run.index, (int)r->as.end.run.incarnation,
            (int)r->as.end.outcome, (json_int_t)r->as.end.checkpoint);
    case PH_RECORD_SUSPECT:
        return json_pack("[ss%]", kind, STR_ARG(r->as.suspect));
    case PH_RECORD_RETIRE:
    case PH_RECORD_RESTORE:
        return json_pack("[sIs%]", kind, (json_int_t)r->as.retire.epoch,
                         STR_ARG(r->as.retire.worker));
    case PH_RECORD_SNAPSHOT_BEGIN:
    case PH_RECORD_SNAPSHOT_JOB:
    case PH_RECORD_SNAPSHOT_TASKS:
    case PH_RECORD_SNAPSHOT_WORKER:
    case PH_RECORD_SNAPSHOT_RENEWER:
    case PH_RECORD_SNAPSHOT_END:
        return snapshot_pack(r, kind);
    }
    return NULL;
}

PhStr
PhJobEntry_Encode(const PhJobEntry *entry)
{
    json_t *records = json_array();
    for (guint i = 0; i < entry->records->len; i++) {
        json_array_append_new(records, record_pack(&g_array_index(
                                           entry->records, PhJobRecord, i)));
    }
    json_t *json = json_pack("{ss%sIso}", "i", STR_ARG(entry->instance), "n",
                             (json_int_t)entry->sequence, "r", records);
    PhStr text = PhJson_Write(json);
    json_decref(json);
    return text;
}
