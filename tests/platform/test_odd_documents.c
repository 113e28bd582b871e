/* What others write, beside the entries of workers, deeply nested or with
 * numbers out of range: it is refused or read within its bounds. */
#include "odd_text.h"
#include "peridothill/codec/list_json.h"
#include "peridothill/codec/schedule_record.h"
#include "peridothill/platform/adapter.h"
#include "tests/table.h"

enum {
    DEEP = 100000, /* more than any parser goes down */
    STATUS_OK = 200,
};

#define TEXT(S)                                                               \
    {                                                                         \
        (S), sizeof(S) - 1                                                    \
    }
#define STEP(S) TEXT("{\"spec\":\"x\",\"steps\":[{\"count\":1," S "}]}")
#define JOB(S) TEXT("{\"spec\":\"x\",\"steps\":[{\"count\":1}]," S "}")
#define RUN(S) TEXT("{\"clockMs\":9,\"running\":[[\"a.0.1.17\"," S "]]}")
#define END(S) TEXT("{\"clockMs\":9,\"endedRuns\":[[" S ",\"done\",\"\"]]}")
#define ID "0123456789abcdef"

/* Who has written it. */
typedef enum PhDocumentKind {
    DOCUMENT_JOB,    /* a client */
    DOCUMENT_CONFIG, /* the operator */
    DOCUMENT_HOLD,   /* a worker, in an answer */
    DOCUMENT_RECORD, /* an instance, into a topic of ours */
    DOCUMENT_LIST,   /* the platform, its list */
} PhDocumentKind;

/* A document: `head`, then `repeat` many times, then `tail`; of a record the
 * key too. */
typedef struct PhDocumentCase {
    const char *name;
    PhDocumentKind kind;
    PhStr head;
    const char *repeat;
    size_t times;
    PhStr tail;
    const char *key;
    bool valid; /* it can be used, some of its rows perhaps not */
} PhDocumentCase;

static const PhDocumentCase document_cases[] = {
    {"a job", DOCUMENT_JOB, STEP("\"cpu\":1"), .valid = true},
    {"16 steps of 4096 tasks", DOCUMENT_JOB,
     TEXT("{\"steps\":[{\"count\":4096}"), ",{\"count\":4096}", 15, TEXT("]}"),
     .valid = true},
    {"17 steps of 4096 tasks", DOCUMENT_JOB,
     TEXT("{\"steps\":[{\"count\":4096}"), ",{\"count\":4096}", 16,
     TEXT("]}")},
    {"4096 rounds of 16 tasks", DOCUMENT_JOB,
     TEXT("{\"steps\":[{\"count\":16}],\"repetitions\":4096}"), .valid = true},
    {"4096 rounds of 17 tasks", DOCUMENT_JOB,
     TEXT("{\"steps\":[{\"count\":17}],\"repetitions\":4096}")},
    {"a job of deep lists", DOCUMENT_JOB, TEXT(""), "[", DEEP},
    {"a job with deep steps", DOCUMENT_JOB, TEXT("{\"steps\":"), "[", DEEP},
    {"a job with deep objects", DOCUMENT_JOB, TEXT(""), "{\"steps\":", DEEP},
    {"a count at its bound, as a real number", DOCUMENT_JOB,
     TEXT("{\"steps\":[{\"count\":4096.0}]}"), .valid = true},
    {"a count of 1e300", DOCUMENT_JOB,
     TEXT("{\"steps\":[{\"count\":1e300}]}")},
    {"a count of 1e400", DOCUMENT_JOB,
     TEXT("{\"steps\":[{\"count\":1e400}]}")},
    {"a count of 2^63", DOCUMENT_JOB,
     TEXT("{\"steps\":[{\"count\":9223372036854775808}]}")},
    {"a room of 1e300", DOCUMENT_JOB, STEP("\"cpu\":1e300")},
    {"a room of -1e300", DOCUMENT_JOB, STEP("\"cpu\":-1e300")},
    {"an estimate of 2^63 - 1", DOCUMENT_JOB,
     STEP("\"estimateMs\":9223372036854775807")},
    {"after a step of 1e300", DOCUMENT_JOB, STEP("\"after\":[1e300]")},
    {"repetitions of 1e300", DOCUMENT_JOB, JOB("\"repetitions\":1e300")},
    {"a start at 1e300", DOCUMENT_JOB, JOB("\"startTimeMs\":1e300")},
    {"a start at 2^63 - 1", DOCUMENT_JOB,
     JOB("\"startTimeMs\":9223372036854775807")},
    {"a start below 0", DOCUMENT_JOB, JOB("\"startTimeMs\":-1")},
    {"a configuration of deep lists", DOCUMENT_CONFIG, TEXT(""), "[", DEEP},
    {"a configuration with deep routes", DOCUMENT_CONFIG,
     TEXT("{\"version\":1,\"routes\":"), "[", DEEP},
    {"a version of 1e300", DOCUMENT_CONFIG,
     TEXT("{\"version\":1e300,\"routes\":[]}")},
    {"a version of 2^63", DOCUMENT_CONFIG,
     TEXT("{\"version\":9223372036854775808,\"routes\":[]}")},
    {"a priority of 1e300", DOCUMENT_CONFIG,
     TEXT("{\"version\":1,\"routes\":[{\"host\":\"h\",\"pathPrefix\":\"/\","
          "\"priority\":1e300}]}")},
    {"a list of runs", DOCUMENT_HOLD, RUN("2,\"c\",41,7"), .valid = true},
    {"deep lists of runs", DOCUMENT_HOLD, TEXT("{\"running\":"), "[", DEEP},
    {"a run of 1e300", DOCUMENT_HOLD, RUN("1e300,\"c\",41,7"), .valid = true},
    {"a run of -1", DOCUMENT_HOLD, RUN("-1,\"c\",41,7"), .valid = true},
    {"a percent of 1e300", DOCUMENT_HOLD, RUN("2,\"c\",1e300,7"),
     .valid = true},
    {"a figure of 1e300", DOCUMENT_HOLD, RUN("2,\"c\",41,1e300"),
     .valid = true},
    {"an end of 1e300", DOCUMENT_HOLD, END("1e300,\"a.0.1.17\",2"),
     .valid = true},
    {"an end of -1e300", DOCUMENT_HOLD, END("-1e300,\"a.0.1.17\",2"),
     .valid = true},
    {"an index of 40 digits", DOCUMENT_HOLD,
     END("1,\"a.0.1.1000000000000000000000000000000000000000\",2"),
     .valid = true},
    {"a job's record of deep lists", DOCUMENT_RECORD, TEXT(""), "\x91", DEEP,
     TEXT("\1"), "j" ID},
    {"a job's record of deep objects", DOCUMENT_RECORD, TEXT(""), "\x81\1",
     DEEP, TEXT("\1"), "j" ID},
    {"an estimate past all time", DOCUMENT_RECORD,
     TEXT("\x81\x08\x91\x82\1\1\5\xcf\x40\0\0\0\0\0\0\0"), .key = "j" ID,
     .valid = true},
    {"a slack past all time", DOCUMENT_RECORD,
     TEXT("\x82\6\xcf\x40\0\0\0\0\0\0\0\x08\x91\x81\1\1"), .key = "j" ID,
     .valid = true},
    {"tasks that are a text", DOCUMENT_RECORD, TEXT("\x82\1\xa8xxxxxxxx\2\3"),
     .key = "t" ID ".0.0"},
    {"tasks that are a number", DOCUMENT_RECORD,
     TEXT("\x82\1\xcfxxxxxxxx\2\3"), .key = "t" ID ".0.0"},
    {"tasks that are a number, and no count", DOCUMENT_RECORD,
     TEXT("\x81\1\5"), .key = "t" ID ".0.0"},
    {"a stage of 2^32 tasks", DOCUMENT_RECORD,
     TEXT("\x81\2\xcf\0\0\0\1\0\0\0\0"), .key = "t" ID ".0.0"},
    {"a round of 20 digits", DOCUMENT_RECORD, TEXT("\x81\2\1"),
     .key = "t" ID ".99999999999999999999.0"},
    {"a pair that is no number", DOCUMENT_RECORD,
     TEXT("\x81\1\x91\x95\xa1"
          "a\xa1"
          "b\xcb\x7f\xf8\0\0\0\0\0\0\xcb\x7f\xf0\0\0\0\0\0\0\xce\xff\xff\xff"
          "\xff"),
     .key = "p"},
    {"a worker born at 2^64 - 1", DOCUMENT_RECORD,
     TEXT("\x81\1\xcf\xff\xff\xff\xff\xff\xff\xff\xff"), .key = "wi-1",
     .valid = true},
    {"a key that ends in its id", DOCUMENT_RECORD, TEXT("\x80"), .key = "j1"},
    {"a list of deep lists", DOCUMENT_LIST, TEXT("{\"entries\":"), "[", DEEP},
    {"slots of 1e300", DOCUMENT_LIST,
     TEXT("{\"entries\":[{\"id\":\"w\",\"role\":\"worker\",\"state\":"
          "\"live\",\"slots\":1e300}]}"),
     .valid = true},
    {"slots of 2^63", DOCUMENT_LIST,
     TEXT("{\"entries\":[{\"id\":\"w\",\"role\":\"worker\",\"state\":"
          "\"live\",\"slots\":9223372036854775808}]}")},
};

/* Reads an answer to a hold; true when it was one. */
static bool
read_hold(PhStr text)
{
    PhOrderMessage m = {.tag = PH_ORDER_REPLY,
                        .as.reply.tag = PH_SCHED_ACTION_HOLD};
    PhWire_DecodeOrderReply(STATUS_OK, text, &m.as.reply);
    bool valid = m.as.reply.outcome == PH_SCHED_OUTCOME_DONE;
    PhMessage wrapped = PhOrderMessage_Wrap(&m);
    wrapped.release(wrapped.body);
    return valid;
}

/* Reads a record of a topic of ours; true when it was one. */
static bool
read_record(PhStr key, PhStr value)
{
    PhSchedRecord record;
    PhResult r = PhSchedRecord_Decode(key, value, &record);
    if (PhResult_IsOk(&r)) {
        PhSchedRecord_Clear(&record);
    }
    return PhResult_IsOk(&r);
}

/* Reads a document; true when it was one. */
static bool
read_document(const PhDocumentCase *c, PhStr text)
{
    PhSchedSpec spec;
    PhSchedConfig *config = NULL;
    PhListReading reading = {0};
    PhResult r = PhResult_Ok();
    switch (c->kind) {
    case DOCUMENT_JOB:
        r = PhWire_DecodeJob(text, &spec);
        if (PhResult_IsOk(&r)) {
            spec.id = PhStr_Dup(PhStr_LITERAL(ID));
            r = PhSchedSpec_Check(&spec);
        }
        PhSchedSpec_Clear(&spec);
        break;
    case DOCUMENT_CONFIG:
        r = PhWire_DecodeConfig(text, &config);
        PhSchedConfig_Destroy(config);
        break;
    case DOCUMENT_HOLD:
        return read_hold(text);
    case DOCUMENT_RECORD:
        return read_record(PhStr_FromC(c->key), text);
    case DOCUMENT_LIST:
        r = PhListJson_Decode(text, &reading);
        PhListReading_Clear(&reading);
        break;
    }
    return PhResult_IsOk(&r);
}

/* Reads the document of a case. */
static void
document_run(const PhDocumentCase *c)
{
    PhStr text = PhOddText_Make(c->head, c->repeat, c->times, c->tail);
    assert_int_equal(read_document(c, text), c->valid);
    PhStr_Clear(&text);
}

/* Odd documents. */
static void
test_documents(void **state)
{
    (void)state;
    Ph_RUN_TABLE(document_cases, document_run);
}

/* Runs the tests. */
int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_documents)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
