#include "peridothill/codec/job_record.h"
#include "services/tasks/tasks_task.h"

enum {
    CALL_APPEND = 1, /* at most one call of each kind is in flight */
    CALL_READ = 2,
    READ_LIMIT = 256,
    CALL_TIMEOUT_MS = 1500,
};

static bool
log_send(PhTasksTask *t, const PhLogMessage *m)
{
    return PhTask_SendTo(t->self, PH_SERVICE_LOG, PhLogMessage_Wrap(m)) ==
           PH_STATUS_OK;
}

void
PhTasksPlatform_Append(PhTasksTask *t, const PhJobEntry *entry)
{
    PhLogMessage m = {.tag = PH_LOG_APPEND, .as.append.id = CALL_APPEND};
    m.as.append.stream = PhStr_Dup(t->stream);
    m.as.append.record_count = 1;
    m.as.append.records = g_new0(PhStr, 1);
    m.as.append.records[0] = PhJobEntry_Encode(entry);
    m.as.append.deadline =
        PhTask_Now(t->self) + (CALL_TIMEOUT_MS * PH_NS_PER_MS);
    if (!log_send(t, &m)) {
        PhTasksTask_HandleEvent(
            t, &(PhJobEvent){.kind = PH_JOB_APPENDED,
                             .as.appended = PH_STATUS_UNAVAILABLE});
    }
}

void
PhTasksPlatform_Read(PhTasksTask *t, uint64_t from)
{
    PhLogMessage m = {
        .tag = PH_LOG_READ,
        .as.read = {.id = CALL_READ,
                    .stream = PhStr_Dup(t->stream),
                    .from = from,
                    .limit = READ_LIMIT,
                    .deadline = PhTask_Now(t->self) +
                                (CALL_TIMEOUT_MS * PH_NS_PER_MS)}};
    if (!log_send(t, &m)) {
        PhJobEvent event = {.kind = PH_JOB_READ};
        event.as.read.status = PH_STATUS_UNAVAILABLE;
        PhTasksTask_HandleEvent(t, &event);
    }
}

/* Entries that cannot be decoded are logged and skipped. */
static GArray *
entries_decode(PhTasksTask *t, const PhLogRecords *r)
{
    GArray *entries = g_array_new(FALSE, FALSE, sizeof(PhEntryAtOffset));
    for (size_t i = 0; i < r->record_count; i++) {
        PhJobEntry *entry = g_new0(PhJobEntry, 1);
        PhResult result = PhJobEntry_Decode(r->records[i].body, entry);
        if (!PhResult_IsOk(&result)) {
            PhTask_LOG(t->self, PH_EVENT_TASKS_RECORD_UNREADABLE,
                       PhField_U64("place", r->records[i].offset),
                       PhField_STR("reason", PhResult_Message(&result)));
            g_free(entry);
            continue;
        }
        PhEntryAtOffset logged = {.offset = r->records[i].offset,
                                  .entry = entry};
        g_array_append_val(entries, logged);
    }
    return entries;
}

static void
records_handle(PhTasksTask *t, const PhLogRecords *r)
{
    GArray *entries = entries_decode(t, r);
    PhJobEvent event = {.kind = PH_JOB_READ};
    event.as.read.status = r->status;
    event.as.read.entries = (const PhEntryAtOffset *)entries->data;
    event.as.read.count = entries->len;
    event.as.read.next = r->next;
    event.as.read.first = r->first;
    event.as.read.at_end = r->next >= r->end;
    PhTasksTask_HandleEvent(t, &event);
    for (guint i = 0; i < entries->len; i++) {
        PhJobEntry *entry =
            (PhJobEntry *)g_array_index(entries, PhEntryAtOffset, i).entry;
        PhJobEntry_Clear(entry);
        g_free(entry);
    }
    g_array_free(entries, TRUE);
}

void
PhTasksPlatform_OnLog(PhTasksTask *t, const PhLogMessage *m)
{
    switch (m->tag) {
    case PH_LOG_APPEND:
    case PH_LOG_READ:
        break;
    case PH_LOG_APPENDED:
        PhTasksTask_HandleEvent(
            t, &(PhJobEvent){.kind = PH_JOB_APPENDED,
                             .as.appended = m->as.appended.status});
        break;
    case PH_LOG_RECORDS:
        records_handle(t, &m->as.records);
        break;
    }
}

/* True if the list entry is a worker of this data centre. */
static bool
is_own_worker(const PhTasksTask *t, const PhListEntry *e)
{
    return e->role == PH_LIST_WORKER &&
           PhStr_Equal(e->data_centre, t->options.data_centre);
}

/* Stores a reading and the addresses of its workers. */
static void
reading_store(PhTasksTask *t, const PhListReading *reading)
{
    PhListReading_Clear(&t->reading);
    t->reading = PhListReading_Copy(reading);
    for (size_t i = 0; i < t->reading.entry_count; i++) {
        const PhListEntry *e = &t->reading.entries[i];
        if (is_own_worker(t, e)) {
            g_hash_table_replace(t->addresses, PhStr_KeyCreate(e->id),
                                 PhStr_KeyCreate(e->address));
        }
    }
}

/* Passes the workers of the last reading to the engine. */
static void
workers_update(PhTasksTask *t)
{
    GArray *listed = g_array_new(FALSE, FALSE, sizeof(PhListedWorker));
    for (size_t i = 0; i < t->reading.entry_count; i++) {
        const PhListEntry *e = &t->reading.entries[i];
        if (!is_own_worker(t, e)) {
            continue;
        }
        PhListedWorker worker = {
            .id = e->id,
            .rack = e->rack,
            .size = {e->cpu_milli, e->memory_mb, e->accelerators},
            .leaving = e->state == PH_LIST_LEAVING};
        g_array_append_val(listed, worker);
    }
    PhJobEvent event = {.kind = PH_JOB_WORKERS};
    event.as.workers.workers = (const PhListedWorker *)listed->data;
    event.as.workers.count = listed->len;
    PhTasksTask_HandleEvent(t, &event);
    g_array_free(listed, TRUE);
}

/* The engine ignores a worker list until it has read the log, so an unchanged
 * list is passed again each time. */
void
PhTasksPlatform_OnList(PhTasksTask *t, const PhListMessage *m)
{
    switch (m->tag) {
    case PH_LIST_READING:
        if (m->as.reading.status == PH_STATUS_OK) {
            reading_store(t, &m->as.reading);
            workers_update(t);
        }
        break;
    case PH_LIST_UNCHANGED:
        workers_update(t);
        break;
    case PH_LIST_SUBSCRIBE:
        break;
    }
}

/* Passes the live instances of this data centre to the engine. */
void
PhTasksPlatform_OnView(PhTasksTask *t, const PhMembersView *view)
{
    GArray *ids = g_array_new(FALSE, FALSE, sizeof(PhStr));
    for (size_t i = 0; i < view->member_count; i++) {
        const PhMember *m = &view->members[i];
        bool alive =
            m->state == PH_MEMBER_ALIVE || m->state == PH_MEMBER_SUSPECT;
        if (alive && PhStr_Equal(m->data_centre, t->options.data_centre)) {
            g_array_append_val(ids, m->id);
        }
    }
    PhJobEvent event = {.kind = PH_JOB_MEMBERS};
    event.as.members.ids = (const PhStr *)ids->data;
    event.as.members.count = ids->len;
    PhTasksTask_HandleEvent(t, &event);
    g_array_free(ids, TRUE);
}

/* A quota that is not configured means no limit. */
static int64_t
quota_read(const PhConfigState *state, PhStr team, PhStr resource)
{
    uint64_t value = PhConfig_ChildU64(state, PhStr_LITERAL("teams"), team,
                                       resource, (uint64_t)PH_QUOTA_NONE);
    return value > (uint64_t)PH_QUOTA_NONE ? PH_QUOTA_NONE : (int64_t)value;
}

/* Passes the team quotas of the active configuration to the engine. */
void
PhTasksPlatform_OnConfig(PhTasksTask *t, const PhConfigState *state)
{
    GArray *teams = g_array_new(FALSE, FALSE, sizeof(PhTeamQuota));
    PhConfigNames names = PhConfigNames_Start(state, PhStr_LITERAL("teams."));
    PhTeamQuota quota;
    while (PhConfigNames_Next(&names, &quota.team)) {
        quota.size = (PhJobSize){
            quota_read(state, quota.team, PhStr_LITERAL("quota.cpu_milli")),
            quota_read(state, quota.team, PhStr_LITERAL("quota.memory_mb")),
            quota_read(state, quota.team,
                       PhStr_LITERAL("quota.accelerators"))};
        g_array_append_val(teams, quota);
    }
    PhJobEvent event = {.kind = PH_JOB_QUOTAS};
    event.as.quotas.teams = (const PhTeamQuota *)teams->data;
    event.as.quotas.count = teams->len;
    PhTasksTask_HandleEvent(t, &event);
    g_array_free(teams, TRUE);
}

void
PhTasksPlatform_Attach(PhTasksTask *t)
{
    if (!t->attached_list) {
        PhListMessage m = {.tag = PH_LIST_SUBSCRIBE};
        t->attached_list =
            PhTask_SendTo(t->self, PH_SERVICE_LIST, PhListMessage_Wrap(&m)) ==
            PH_STATUS_OK;
    }
    if (!t->attached_config) {
        PhConfigMessage m = {.tag = PH_CONFIG_SUBSCRIBE};
        t->attached_config =
            PhTask_SendTo(t->self, PH_SERVICE_CONFIG,
                          PhConfigMessage_Wrap(&m)) == PH_STATUS_OK;
    }
    if (!t->attached_members) {
        PhMembersMessage m = {.tag = PH_MEMBERS_SUBSCRIBE};
        t->attached_members =
            PhTask_SendTo(t->self, PH_SERVICE_MEMBERS,
                          PhMembersMessage_Wrap(&m)) == PH_STATUS_OK;
    }
}
