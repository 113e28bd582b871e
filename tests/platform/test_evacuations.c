/* Records of the operators by which zones are evacuated.  Guards against a
 * worker that is known, and may get starts, before all of them have been read,
 * against one that is missed or kept when the store has deleted its history,
 * and against unusual keys and values. */
#include "peridothill/platform/adapter.h"
#include "peridothill/services/interface.h"
#include "peridothill/services/store.h"
#include "scripted_task.h"
#include "tests/table.h"

enum {
    MAILBOX_CAPACITY = 64,
    ANSWERS_MAX = 5,
    RECORDS_MAX = 3,
};

/* Long enough for every scripted answer and the reads of the entries. */
static const PhTime FOLLOW_TIME = 3 * PH_NS_PER_S;

#define ENTRY                                                                 \
    "{\"address\":\"10.0.0.1:80\",\"service\":\"s\",\"state\":\"ready\","     \
    "\"zone\":\"silay\",\"born\":5,\"labels\":[],"                            \
    "\"capacity\":{\"cpu\":16000,\"memMb\":10,\"gpu\":0}}"
#define CONFIG "{\"version\":1,\"routes\":[],\"services\":[]}"

/* A record; a key of NULL ends the list. */
typedef struct PhOpRecord {
    const char *key;
    const char *value;
} PhOpRecord;

/* An answer to the next read of the operators' records. */
typedef struct PhOpAnswer {
    PhStoreOutcome outcome;
    PhOpRecord records[RECORDS_MAX];
    bool more;
} PhOpAnswer;

/* What "schedule" is told, in order: "+" and "-" with a data centre that is
 * cordoned or not any more, "w" for the worker entry, "c" for the
 * configuration. */
typedef struct PhEvacuationCase {
    const char *name;
    PhOpAnswer answers[ANSWERS_MAX];
    size_t answer_count; /* further reads get no answer */
    const char *told;
} PhEvacuationCase;

#define DONE PH_STORE_DONE

static const PhEvacuationCase evacuation_cases[] = {
    {"none", {{DONE, {{"config", CONFIG}}}}, 1, "c w"},
    {"in the only page",
     {{DONE, {{"config", CONFIG}, {"evacuate/silay", "{}"}}}},
     1,
     "c +silay w"},
    {"in the second page",
     {{DONE, {{"config", CONFIG}}, true}, {DONE, {{"evacuate/silay", "{}"}}}},
     2,
     "c +silay w"},
    {"the second page is refused at first",
     {{DONE, {{"config", CONFIG}}, true},
      {PH_STORE_REFUSED},
      {PH_STORE_UNKNOWN},
      {DONE, {{"evacuate/silay", "{}"}}}},
     4,
     "c +silay w"},
    {"the second page is never answered",
     {{DONE, {{"config", CONFIG}}, true}},
     1,
     "c"},
    {"two zones",
     {{DONE, {{"evacuate/silay", "{}"}, {"evacuate/talisay", "{}"}}}},
     1,
     "+silay +talisay w"},
    {"appended later",
     {{DONE}, {DONE, {{"evacuate/silay", "{}"}}}},
     2,
     "+silay w"},
    {"removed by an empty value",
     {{DONE, {{"evacuate/silay", "{}"}}}, {DONE, {{"evacuate/silay", ""}}}},
     2,
     "+silay -silay w"},
    {"one of two removed",
     {{DONE, {{"evacuate/silay", "{}"}, {"evacuate/talisay", "{}"}}},
      {DONE, {{"evacuate/silay", ""}}}},
     2,
     "+silay +talisay -silay w"},
    {"removed and requested again",
     {{DONE, {{"evacuate/silay", "{}"}}},
      {DONE, {{"evacuate/silay", ""}, {"evacuate/silay", "{}"}}}},
     2,
     "+silay -silay +silay w"},
    {"repeated",
     {{DONE, {{"evacuate/silay", "{}"}}}, {DONE, {{"evacuate/silay", "1"}}}},
     2,
     "+silay w"},
    {"missing after the history was deleted",
     {{DONE, {{"evacuate/silay", "{}"}}}, {PH_STORE_GONE}, {DONE}},
     3,
     "+silay -silay w"},
    {"still there after the history was deleted",
     {{DONE, {{"evacuate/silay", "{}"}}},
      {PH_STORE_GONE},
      {DONE, {{"evacuate/silay", "{}"}}}},
     3,
     "+silay w"},
    {"in the second page after the history was deleted",
     {{DONE, {{"evacuate/silay", "{}"}}},
      {PH_STORE_GONE},
      {DONE, {{"config", CONFIG}}, true},
      {DONE, {{"evacuate/silay", "{}"}}}},
     4,
     "+silay c w"},
    {"never removed by pages that are incomplete",
     {{DONE, {{"evacuate/silay", "{}"}}},
      {PH_STORE_GONE},
      {DONE, {{"config", CONFIG}}, true}},
     3,
     "+silay c w"},
    {"a value that is not JSON",
     {{DONE, {{"evacuate/silay", "\xff"}}}},
     1,
     "+silay w"},
    {"no zone", {{DONE, {{"evacuate/", "{}"}}}}, 1, "w"},
    {"other keys",
     {{DONE, {{"evacuate", "{}"}, {"evacuated/silay", "{}"}}}},
     1,
     "w"},
    {"a zone with a slash",
     {{DONE, {{"evacuate/silay/1", "{}"}}}},
     1,
     "+silay/1 w"},
};

/* The other side of "fleet". */
typedef struct PhEvacuationFixture {
    const PhEvacuationCase *row;
    size_t answered;
    PhBuf told;
    bool worker_told;
} PhEvacuationFixture;

static bool
is_operators(const PhStoreMessage *m)
{
    PhStr topic =
        m->tag == PH_STORE_NEWEST ? m->as.newest.topic : m->as.read.topic;
    return PhStr_Equal(topic, PhStr_LITERAL("op"));
}

static void
record_add(PhStoreReply *reply, const char *key, const char *value)
{
    PhStoreRecord *r = &reply->records[reply->record_count++];
    r->key = PhStr_Dup(PhStr_FromC(key));
    r->value = PhStr_Dup(PhStr_FromC(value));
}

/* Answers reads as the case has it.  The entry of the only worker is read
 * again and again. */
static void
store_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhEvacuationFixture *f = state;
    if (mail->kind != PH_MAIL_MESSAGE) {
        return;
    }
    const PhStoreMessage *m = mail->as.message.body;
    PhStoreMessage answer = {.tag = PH_STORE_REPLY, .id = m->id};
    PhStoreReply *reply = &answer.as.reply;
    reply->id = m->id;
    reply->records = g_new0(PhStoreRecord, RECORDS_MAX);
    if (!is_operators(m)) {
        record_add(reply, "i-1", ENTRY);
    }
    else if (f->answered < f->row->answer_count) {
        const PhOpAnswer *a = &f->row->answers[f->answered++];
        reply->outcome = a->outcome;
        reply->more = a->more;
        for (size_t i = 0; i < RECORDS_MAX && a->records[i].key != NULL; i++) {
            record_add(reply, a->records[i].key, a->records[i].value);
        }
    }
    else {
        g_free(reply->records);
        return;
    }
    PhTask_Send(self, mail->from, PhStoreMessage_Wrap(&answer));
}

static void
tell(PhEvacuationFixture *f, const char *mark, PhStr name)
{
    PhBuf_Append(&f->told, PhStr_FromC(f->told.len > 0 ? " " : ""));
    PhBuf_Append(&f->told, PhStr_FromC(mark));
    PhBuf_Append(&f->told, name);
}

/* Takes part as an owner.  The first worker entry only is noted. */
static void
schedule_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhEvacuationFixture *f = state;
    if (mail->kind == PH_MAIL_START) {
        PhScheduleMessage m = {.tag = PH_SCHEDULE_ROLE,
                               .as.role = PH_SCHEDULE_ROLE_OWNER};
        PhTask_SendTo(self, PH_SERVICE_FLEET, PhScheduleMessage_Wrap(&m));
        return;
    }
    const PhScheduleMessage *m = mail->as.message.body;
    if (m->tag == PH_SCHEDULE_CORDON) {
        tell(f, m->as.cordon.cordoned ? "+" : "-", m->as.cordon.data_centre);
    }
    else if (m->tag == PH_SCHEDULE_CONFIG) {
        tell(f, "c", (PhStr){0});
    }
    else if (m->tag == PH_SCHEDULE_WORKER && !f->worker_told) {
        f->worker_told = true;
        tell(f, "w", (PhStr){0});
    }
}

static void
evacuation_run(const PhEvacuationCase *c)
{
    PhEvacuationFixture f = {.row = c};
    PhClock *clock = PhClock_Create(PH_CLOCK_PAUSED);
    PhCounters *counters = PhCounters_Create();
    PhKernel *kernel = PhKernel_Create(
        &(PhKernelOptions){.clock = clock, .counters = counters});
    PhScriptedTask_Spawn(kernel, PH_SERVICE_STORE, MAILBOX_CAPACITY, &f,
                         store_handle);
    assert_int_equal(PhFleetTask_Start(kernel), PH_STATUS_OK);
    PhScriptedTask_Spawn(kernel, PH_SERVICE_SCHEDULE, MAILBOX_CAPACITY, &f,
                         schedule_handle);
    PhKernel_AdvanceTo(kernel, FOLLOW_TIME);
    PhKernel_Destroy(kernel);
    PhCounters_Destroy(counters);
    PhClock_Destroy(clock);
    char *told = PhStr_ToC(PhBuf_Str(&f.told));
    assert_string_equal(told, c->told);
    g_free(told);
    PhBuf_Clear(&f.told);
    assert_int_equal(f.answered, c->answer_count);
}

static void
test_evacuations(void **state)
{
    (void)state;
    Ph_RUN_TABLE(evacuation_cases, evacuation_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_evacuations)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
