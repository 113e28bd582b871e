#include "bench/config_fleet_internal.h"

#define STREAM_PATCHES PhStr_LITERAL("config")
#define STREAM_SNAPSHOTS PhStr_LITERAL("config.snapshots")

static void
record_unref(gpointer record)
{
    PhConfigRecord_Unref(record);
}

/* Returns the record at an offset; its data is the number of the patch. */
static PhConfigRecord *
record_at(PhConfigFleet *f, const PhFakeRecord *fake)
{
    uint64_t number = 0;
    PhConfigRecord *record = g_hash_table_lookup(f->records, &fake->offset);
    if (record == NULL) {
        PhStr_ParseU64(fake->data, &number);
        PhConfigPatch copy = PhConfigPatch_Copy(
            &g_array_index(f->patches, PhConfigPatch, number));
        record = PhConfigRecord_Create(fake->offset,
                                       fake->appended / PH_NS_PER_MS, &copy);
        g_hash_table_insert(f->records, &record->offset, record);
    }
    return PhConfigRecord_Ref(record);
}

/* Schedules an answer that arrives at `at`. */
static PhFleetAnswer *
answer_add(PhConfigFleet *f, PhFleetInstance *x, PhTime at)
{
    PhFleetAnswer *answer = g_new0(PhFleetAnswer, 1);
    answer->token = f->next_token++;
    g_hash_table_insert(x->answers, &answer->token, answer);
    PhFakeNet_SetTimer(f->net, x->index, answer->token, at);
    return answer;
}

/* A read by an instance that is disconnected from the log times out. */
static PhFakeLogAnswer
stream_read(PhConfigFleet *f, const PhFleetInstance *x, PhStr stream,
            const PhConfigAction *action, GArray *found)
{
    PhTime now = PhFakeNet_Now(f->net);
    f->counts.log_reads++;
    if (f->log_cut[x->group]) {
        return (PhFakeLogAnswer){.status = PH_STATUS_UNAVAILABLE,
                                 .at = now + LOG_TIMEOUT_NS};
    }
    return PhFakeLog_Read(f->log, now, stream, action->as.read.from,
                          action->as.read.limit, found);
}

void
PhFleetLog_Read(PhConfigFleet *f, PhFleetInstance *x,
                const PhConfigAction *action)
{
    GArray *found = g_array_new(FALSE, FALSE, sizeof(PhFakeRecord));
    PhFakeLogAnswer a = stream_read(f, x, STREAM_PATCHES, action, found);
    PhFleetAnswer *answer = answer_add(f, x, a.at);
    answer->records = g_ptr_array_new_with_free_func(record_unref);
    for (guint i = 0; i < found->len; i++) {
        g_ptr_array_add(answer->records,
                        record_at(f, &g_array_index(found, PhFakeRecord, i)));
    }
    answer->event = (PhConfigEvent){
        .kind = PH_CONFIG_EVENT_RECORDS,
        .as.records = {.status = a.status,
                       .first = a.first,
                       .end = a.end,
                       .records =
                           (PhConfigRecord *const *)answer->records->pdata,
                       .count = answer->records->len}};
    g_array_free(found, TRUE);
}

void
PhFleetLog_ReadSnapshots(PhConfigFleet *f, PhFleetInstance *x,
                         const PhConfigAction *action)
{
    PhTime now = PhFakeNet_Now(f->net);
    GArray *found = g_array_new(FALSE, FALSE, sizeof(PhFakeRecord));
    PhFakeLogAnswer a = stream_read(f, x, STREAM_SNAPSHOTS, action, found);
    PhFleetAnswer *answer = answer_add(f, x, a.at);
    answer->event = (PhConfigEvent){.kind = PH_CONFIG_EVENT_SNAPSHOTS,
                                    .as.snapshots = {.status = a.status,
                                                     .first = a.first,
                                                     .end = a.end,
                                                     .read = a.offset}};
    if (found->len > 0) {
        uint64_t number = 0;
        const PhFakeRecord *last =
            &g_array_index(found, PhFakeRecord, found->len - 1);
        PhStr_ParseU64(last->data, &number);
        answer->event.as.snapshots.latest =
            PhConfigSnapshot_Ref(g_ptr_array_index(f->snapshots, number));
        answer->event.as.snapshots.age = now - last->appended;
    }
    g_array_free(found, TRUE);
}

/* Appends a record whose data is a number. */
static PhFakeLogAnswer
log_append(PhConfigFleet *f, const PhFleetInstance *x, PhStr stream,
           uint64_t number)
{
    char text[NAME_BYTES];
    PhTime now = PhFakeNet_Now(f->net);
    g_snprintf(text, sizeof(text), "%" PRIu64, number);
    if (f->log_cut[x->group]) {
        return (PhFakeLogAnswer){.status = PH_STATUS_UNAVAILABLE,
                                 .at = now + LOG_TIMEOUT_NS};
    }
    if (now / PH_NS_PER_S != f->append_second) {
        f->append_second = now / PH_NS_PER_S;
        f->append_count = 0;
    }
    PhFakeLogAnswer a =
        PhFakeLog_Append(f->log, now, stream, PhStr_FromC(text));
    if (a.status == PH_STATUS_OK || a.status == PH_STATUS_UNKNOWN) {
        f->counts.appends++;
        f->append_count++;
    }
    f->counts.appends_per_second_max =
        MAX(f->counts.appends_per_second_max, f->append_count);
    return a;
}

void
PhFleetLog_WriteSnapshot(PhConfigFleet *f, PhFleetInstance *x,
                         PhConfigSnapshot *snapshot)
{
    g_ptr_array_add(f->snapshots, PhConfigSnapshot_Ref(snapshot));
    PhFakeLogAnswer a =
        log_append(f, x, STREAM_SNAPSHOTS, f->snapshots->len - 1);
    PhFleetAnswer *answer = answer_add(f, x, a.at);
    answer->event = (PhConfigEvent){.kind = PH_CONFIG_EVENT_WRITTEN,
                                    .as.written = a.status};
}

void
PhFleetLog_Append(PhConfigFleet *f, PhFleetInstance *x,
                  const PhAppendAction *action)
{
    PhFakeLogAnswer first = {0};
    PhStatus status = PH_STATUS_OK;
    size_t count = action->as.append.count;
    for (size_t i = 0; i < count && status == PH_STATUS_OK; i++) {
        PhConfigPatch copy = PhConfigPatch_Copy(&action->as.append.patches[i]);
        g_array_append_val(f->patches, copy);
        PhFakeLogAnswer a =
            log_append(f, x, STREAM_PATCHES, f->patches->len - 1);
        first = i == 0 ? a : first;
        status =
            i > 0 && a.status != PH_STATUS_OK ? PH_STATUS_UNKNOWN : a.status;
    }
    PhFleetAnswer *answer = answer_add(f, x, first.at);
    answer->append = true;
    answer->status = status;
    answer->appended = count;
    answer->event = (PhConfigEvent){.kind = PH_CONFIG_EVENT_APPENDED,
                                    .as.appended = first.offset};
}
