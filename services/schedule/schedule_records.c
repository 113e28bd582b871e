/* The owner's records.  A batch of them is sent in as many appends as its size
 * takes, one at a time, and is durable once the last of them is. */
#include "schedule_task.h"

/* Delay before a refused or unanswered append is repeated. */
static const PhTime RETRY_DELAY = 100 * PH_NS_PER_MS;

#define OWNER_PRODUCER PhStr_LITERAL("owner")

PhStoreMessage
PhScheduleRecords_Append(const PhScheduleTask *t, uint64_t sequence)
{
    return (PhStoreMessage){
        .tag = PH_STORE_APPEND,
        .as.append = {.topic = PhStr_Dup(PH_SCHED_TOPIC_RUNS),
                      .condition = PH_STORE_PRODUCER,
                      .producer = PhStr_Dup(OWNER_PRODUCER),
                      .epoch = t->fence,
                      .sequence = sequence}};
}

static const PhSchedEncoded *
batch_record(const PhScheduleTask *t, guint index)
{
    return &g_array_index(t->batch_records, PhSchedEncoded, index);
}

void
PhScheduleRecords_Clear(PhScheduleTask *t)
{
    for (guint i = 0; i < t->batch_records->len; i++) {
        PhSchedEncoded_Clear(
            &g_array_index(t->batch_records, PhSchedEncoded, i));
    }
    g_array_set_size(t->batch_records, 0);
    t->batch = 0;
    t->batch_durable = 0;
    t->batch_in_flight = false;
    t->epochs[CALL_RECORDS]++;
}

/* Returns the largest size of a record.  All parts of a stage have to fit into
 * one append. */
static size_t
record_limit(const PhScheduleTask *t, const PhSchedRecord *record)
{
    size_t parts = 1;
    if (record->tag == PH_SCHED_RECORD_STAGE && record->as.stage.part_of > 0) {
        parts = (record->as.stage.part_of - 1) / PH_SCHED_PART_TASKS + 1;
    }
    return MIN(t->options.record_bytes,
               t->options.append_bytes / parts - PH_STORE_LENGTH_BYTES);
}

/* Encodes the scheduler's pending changes as the next batch. */
static void
take_batch(PhScheduleTask *t)
{
    GArray *records = g_array_new(FALSE, FALSE, sizeof(PhSchedRecord));
    t->batch = PhScheduler_TakeBatch(t->scheduler, records);
    for (guint i = 0; i < records->len; i++) {
        PhSchedRecord *record = &g_array_index(records, PhSchedRecord, i);
        PhSchedEncoded e =
            PhSchedRecord_EncodeWithin(record, record_limit(t, record));
        g_array_append_val(t->batch_records, e);
        PhSchedRecord_Clear(record);
    }
    g_array_free(records, TRUE);
}

/* Returns the end of the records of the next append.  It does not divide a
 * stage: another owner would find a part of a gang. */
static guint
append_end(const PhScheduleTask *t)
{
    guint begin = t->batch_durable;
    guint undivided = begin;
    size_t bytes = 0;
    for (guint i = begin; i < t->batch_records->len; i++) {
        const PhSchedEncoded *e = batch_record(t, i);
        if (!e->continues) {
            undivided = i;
        }
        bytes += PH_STORE_LENGTH_BYTES + PhSchedEncoded_Bytes(e);
        if (bytes > t->options.append_bytes) {
            return undivided > begin ? undivided : MAX(i, begin + 1);
        }
    }
    return t->batch_records->len;
}

void
PhScheduleRecords_Send(PhScheduleTask *t)
{
    if (t->stage != OWNER_ACTIVE || t->batch_in_flight) {
        return;
    }
    if (t->batch == 0) {
        take_batch(t);
    }
    if (t->batch == 0) {
        return;
    }
    guint begin = t->batch_durable;
    t->batch_end = append_end(t);
    PhStoreMessage m = PhScheduleRecords_Append(t, t->batch_sequence);
    PhStoreAppend *a = &m.as.append;
    a->records = g_new0(PhStoreRecord, t->batch_end - begin);
    a->record_count = t->batch_end - begin;
    for (guint i = begin; i < t->batch_end; i++) {
        const PhSchedEncoded *e = batch_record(t, i);
        a->records[i - begin].key = PhStr_Dup(e->key);
        a->records[i - begin].value = PhStr_Dup(e->value);
    }
    t->batch_in_flight = true;
    PhScheduleTask_Call(t, CALL_RECORDS, &m);
}

/* Sends the next append of the batch, or completes the batch. */
static void
append_done(PhScheduleTask *t, const PhStoreReply *reply)
{
    uint64_t batch = t->batch;
    t->batch_sequence++;
    t->batch_durable = t->batch_end;
    t->runs.cursor.next = MAX(t->runs.cursor.next, reply->end);
    if (t->batch_durable < t->batch_records->len) {
        PhScheduleRecords_Send(t);
        return;
    }
    PhScheduleRecords_Clear(t);
    PhScheduler_OnDurable(t->scheduler, batch);
    PhScheduleLog_Notes(t);
}

void
PhScheduleRecords_OnReply(PhScheduleTask *t, const PhStoreReply *reply)
{
    if (t->stage != OWNER_ACTIVE || t->batch == 0) {
        return;
    }
    t->batch_in_flight = false;
    switch (reply->outcome) {
    case PH_STORE_SEQUENCE:
        PhTask_LOG(t->self, PH_EVENT_SCHEDULE_SEQUENCE,
                   PhField_U64("sent", t->batch_sequence),
                   PhField_U64("expected", reply->first));
        PhElection_OnDeposed(t->election, PhTask_Now(t->self));
        break;
    case PH_STORE_DONE:
        append_done(t, reply);
        break;
    case PH_STORE_FENCED:
        PhElection_OnDeposed(t->election, PhTask_Now(t->self));
        break;
    case PH_STORE_REFUSED:
    case PH_STORE_CONFLICT:
    case PH_STORE_GONE:
    case PH_STORE_UNKNOWN:
        PhTask_SetTimer(t->self, TIMER_RECORDS,
                        PhTask_Now(t->self) + RETRY_DELAY);
        return;
    }
    PhScheduleTask_RequestUpdate(t);
}
