/* Log operations of the configuration soak run.  A record holds the number of
 * a patch or snapshot, so that nothing is encoded. */
#include <string.h>

#include "soak_config.h"

#define STREAM_PATCHES PhStr_LITERAL("config")
#define STREAM_SNAPSHOTS PhStr_LITERAL("config.snapshots")
#define CUT_OFF_TIMEOUT_NS (3 * PH_NS_PER_S)

typedef enum PhSoakCall {
    CALL_READ,
    CALL_READ_SNAPSHOTS,
    CALL_WRITE_SNAPSHOT,
    CALL_APPEND,
} PhSoakCall;

/* An answer in transit; reads are carried out when it arrives. */
typedef struct PhSoakAnswer {
    PhSoakCall call;
    PhStatus status;
    uint64_t from; /* of a read, or the last offset of an append */
    uint32_t limit;
} PhSoakAnswer;

static void
answer_send(PhSoakConfig *s, uint32_t endpoint, PhSoakAnswer answer, PhTime at)
{
    g_ptr_array_add(s->answers, g_memdup2(&answer, sizeof(answer)));
    PhFakeNet_SetTimer(s->net, endpoint,
                       (uint64_t)(s->answers->len - 1) * SOAK_CONFIG_KINDS +
                           SOAK_CONFIG_ANSWER,
                       at);
}

static bool
is_cut_off(const PhSoakConfig *s, uint32_t endpoint)
{
    return s->cut_off[endpoint % SOAK_CONFIG_CENTRES];
}

void
PhSoakConfigLog_Read(PhSoakConfig *s, uint32_t endpoint,
                     const PhConfigAction *action)
{
    bool patches = action->kind == PH_CONFIG_ACTION_READ_LOG;
    PhTime delay = PhFakeLog_Options(s->log)->delay_min;
    bool cut = is_cut_off(s, endpoint);
    PhSoakAnswer answer = {.call = patches ? CALL_READ : CALL_READ_SNAPSHOTS,
                           .status =
                               cut ? PH_STATUS_UNAVAILABLE : PH_STATUS_OK,
                           .from = action->as.read.from,
                           .limit = action->as.read.limit};
    answer_send(s, endpoint, answer,
                PhFakeNet_Now(s->net) + (cut ? CUT_OFF_TIMEOUT_NS : delay));
}

static PhFakeLogAnswer
number_append(PhSoakConfig *s, PhStr stream, uint64_t number)
{
    return PhFakeLog_Append(s->log, PhFakeNet_Now(s->net), stream,
                            PhStr_FromBytes(&number, sizeof(number)));
}

void
PhSoakConfigLog_WriteSnapshot(PhSoakConfig *s, uint32_t endpoint,
                              const PhConfigSnapshot *snapshot)
{
    PhSoakAnswer answer = {.call = CALL_WRITE_SNAPSHOT,
                           .status = PH_STATUS_UNAVAILABLE};
    PhTime at = PhFakeNet_Now(s->net) + CUT_OFF_TIMEOUT_NS;
    if (!is_cut_off(s, endpoint)) {
        g_ptr_array_add(s->snapshots,
                        PhConfigSnapshot_Ref((PhConfigSnapshot *)snapshot));
        PhFakeLogAnswer a =
            number_append(s, STREAM_SNAPSHOTS, s->snapshots->len - 1);
        answer.status = a.status;
        at = a.at;
    }
    answer_send(s, endpoint, answer, at);
}

/* Returns true if the patch is in the log, whatever the answer. */
static bool
patch_append(PhSoakConfig *s, const PhConfigPatch *patch, PhSoakAnswer *answer,
             PhTime *at)
{
    uint64_t appends = PhFakeLog_Counts(s->log).appends;
    PhConfigPatch copy = PhConfigPatch_Copy(patch);
    g_ptr_array_add(s->patches, g_memdup2(&copy, sizeof(copy)));
    PhFakeLogAnswer a = number_append(s, STREAM_PATCHES, s->patches->len - 1);
    answer->status = a.status;
    *at = MAX(*at, a.at);
    if (PhFakeLog_Counts(s->log).appends == appends) {
        return false;
    }
    answer->from = PhConfigLedger_Next(s->reference->ledger);
    PhSoakReference_Append(s->reference, answer->from, PhFakeNet_Now(s->net),
                           patch);
    return true;
}

/* A batch that was appended in part, or without an answer, has the status
 * unknown. */
void
PhSoakConfigLog_Append(PhSoakConfig *s, uint32_t endpoint,
                       const PhAppendAction *action)
{
    PhSoakAnswer answer = {.call = CALL_APPEND,
                           .status = PH_STATUS_UNAVAILABLE};
    PhTime at = PhFakeNet_Now(s->net);
    size_t done = 0;
    bool unsure = false;
    if (is_cut_off(s, endpoint)) {
        answer_send(s, endpoint, answer, at + CUT_OFF_TIMEOUT_NS);
        return;
    }
    for (size_t i = 0; i < action->as.append.count; i++) {
        done += patch_append(s, &action->as.append.patches[i], &answer, &at);
        unsure |= answer.status != PH_STATUS_OK;
    }
    if (unsure && done > 0) {
        answer.status = PH_STATUS_UNKNOWN;
    }
    answer_send(s, endpoint, answer, at);
}

static void
answer_records(PhSoakConfig *s, uint32_t endpoint, const PhFakeLogAnswer *a,
               const GArray *read)
{
    PhConfigRecord **records = g_new0(PhConfigRecord *, read->len + 1);
    for (guint i = 0; i < read->len; i++) {
        const PhFakeRecord *r = &g_array_index(read, PhFakeRecord, i);
        uint64_t number;
        memcpy(&number, r->data.data, sizeof(number));
        PhConfigPatch copy =
            PhConfigPatch_Copy(g_ptr_array_index(s->patches, number));
        records[i] = PhConfigRecord_Create(r->offset,
                                           r->appended / PH_NS_PER_MS, &copy);
    }
    PhConfigEvent event = {.kind = PH_CONFIG_EVENT_RECORDS,
                           .as.records = {.status = a->status,
                                          .first = a->first,
                                          .end = a->end,
                                          .records = records,
                                          .count = read->len}};
    PhSoakConfig_Follow(s, endpoint, &event);
    for (guint i = 0; i < read->len; i++) {
        PhConfigRecord_Unref(records[i]);
    }
    g_free(records);
}

static void
answer_snapshots(PhSoakConfig *s, uint32_t endpoint, const PhFakeLogAnswer *a,
                 const GArray *read)
{
    PhConfigEvent event = {.kind = PH_CONFIG_EVENT_SNAPSHOTS,
                           .as.snapshots = {.status = a->status,
                                            .first = a->first,
                                            .end = a->end,
                                            .read = a->offset}};
    if (read->len > 0) {
        const PhFakeRecord *r =
            &g_array_index(read, PhFakeRecord, read->len - 1);
        uint64_t number;
        memcpy(&number, r->data.data, sizeof(number));
        event.as.snapshots.latest = g_ptr_array_index(s->snapshots, number);
        event.as.snapshots.age = PhFakeNet_Now(s->net) - r->appended;
    }
    PhSoakConfig_Follow(s, endpoint, &event);
}

static void
answer_read(PhSoakConfig *s, uint32_t endpoint, const PhSoakAnswer *answer)
{
    bool patches = answer->call == CALL_READ;
    GArray *read = g_array_new(FALSE, FALSE, sizeof(PhFakeRecord));
    PhFakeLogAnswer a = {.status = answer->status};
    if (a.status == PH_STATUS_OK) {
        a = PhFakeLog_Read(s->log, PhFakeNet_Now(s->net),
                           patches ? STREAM_PATCHES : STREAM_SNAPSHOTS,
                           answer->from, answer->limit, read);
    }
    if (patches) {
        answer_records(s, endpoint, &a, read);
    }
    else {
        answer_snapshots(s, endpoint, &a, read);
    }
    g_array_free(read, TRUE);
}

void
PhSoakConfigLog_Answer(PhSoakConfig *s, uint32_t endpoint, uint64_t number)
{
    const PhSoakAnswer *answer = g_ptr_array_index(s->answers, number);
    PhConfigEvent event = {.kind = PH_CONFIG_EVENT_WRITTEN,
                           .as.written = answer->status};
    switch (answer->call) {
    case CALL_READ:
    case CALL_READ_SNAPSHOTS:
        answer_read(s, endpoint, answer);
        break;
    case CALL_WRITE_SNAPSHOT:
        PhSoakConfig_Follow(s, endpoint, &event);
        break;
    case CALL_APPEND:
        if (answer->status != PH_STATUS_OK) {
            s->nodes[endpoint].append_failed_at = PhFakeNet_Now(s->net);
        }
        PhSoakConfig_Append(s, endpoint,
                            &(PhAppendEvent){.kind = PH_APPEND_EVENT_APPENDED,
                                             .as.appended = answer->status});
        if (answer->status == PH_STATUS_OK) {
            event.kind = PH_CONFIG_EVENT_APPENDED;
            event.as.appended = answer->from;
            PhSoakConfig_Follow(s, endpoint, &event);
        }
        break;
    }
}
