/* Input from other writers, except the entries of workers, that is deeply
 * nested or has numbers out of range: it is rejected, or read within its
 * bounds. */
#include "peridothill/codec/list_json.h"
#include "peridothill/codec/schedule_record.h"
#include "peridothill/platform/adapter.h"
#include "repeated_text.h"
#include "tests/table.h"

enum {
    NESTING_BEYOND_LIMIT =
        100000, /* beyond the nesting limit of every parser */
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

/* The writer of a document. */
typedef enum PhDocumentKind {
    DOCUMENT_JOB,    /* a client */
    DOCUMENT_CONFIG, /* the operator */
    DOCUMENT_HOLD,   /* a worker, in its response */
    DOCUMENT_RECORD, /* an instance, in a topic of the cluster */
    DOCUMENT_LIST,   /* the platform */
} PhDocumentKind;

/* A document: `head`, then `repeat` written `times` times, then `tail`.
 * Records have a key too. */
typedef struct PhDocumentCase {
    const char *name;
    PhDocumentKind kind;
    PhStr head;
    const char *repeat;
    size_t times;
    PhStr tail;
    const char *key;
    bool valid; /* the document is accepted, though some of its rows may be
                   skipped */
} PhDocumentCase;

static const PhDocumentCase document_cases[] = {
    {"job", DOCUMENT_JOB, STEP("\"cpu\":1"), .valid = true},
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
    {"job: nested lists", DOCUMENT_JOB, TEXT(""), "[", NESTING_BEYOND_LIMIT},
    {"job: nested lists in steps", DOCUMENT_JOB, TEXT("{\"steps\":"), "[",
     NESTING_BEYOND_LIMIT},
    {"job: nested objects", DOCUMENT_JOB, TEXT(""),
     "{\"steps\":", NESTING_BEYOND_LIMIT},
    {"count at its bound, as a real number", DOCUMENT_JOB,
     TEXT("{\"steps\":[{\"count\":4096.0}]}"), .valid = true},
    {"count of 1e300", DOCUMENT_JOB, TEXT("{\"steps\":[{\"count\":1e300}]}")},
    {"count of 1e400", DOCUMENT_JOB, TEXT("{\"steps\":[{\"count\":1e400}]}")},
    {"count of 2^63", DOCUMENT_JOB,
     TEXT("{\"steps\":[{\"count\":9223372036854775808}]}")},
    {"cpu of 1e300", DOCUMENT_JOB, STEP("\"cpu\":1e300")},
    {"cpu of -1e300", DOCUMENT_JOB, STEP("\"cpu\":-1e300")},
    {"estimate of 2^63 - 1", DOCUMENT_JOB,
     STEP("\"estimateMs\":9223372036854775807")},
    {"after a step of 1e300", DOCUMENT_JOB, STEP("\"after\":[1e300]")},
    {"repetitions of 1e300", DOCUMENT_JOB, JOB("\"repetitions\":1e300")},
    {"start time of 1e300", DOCUMENT_JOB, JOB("\"startTimeMs\":1e300")},
    {"start time of 2^63 - 1", DOCUMENT_JOB,
     JOB("\"startTimeMs\":9223372036854775807")},
    {"start time below 0", DOCUMENT_JOB, JOB("\"startTimeMs\":-1")},
    {"configuration: nested lists", DOCUMENT_CONFIG, TEXT(""), "[",
     NESTING_BEYOND_LIMIT},
    {"configuration: nested lists in routes", DOCUMENT_CONFIG,
     TEXT("{\"version\":1,\"routes\":"), "[", NESTING_BEYOND_LIMIT},
    {"version of 1e300", DOCUMENT_CONFIG,
     TEXT("{\"version\":1e300,\"routes\":[]}")},
    {"version of 2^63", DOCUMENT_CONFIG,
     TEXT("{\"version\":9223372036854775808,\"routes\":[]}")},
    {"priority of 1e300", DOCUMENT_CONFIG,
     TEXT("{\"version\":1,\"routes\":[{\"host\":\"h\",\"pathPrefix\":\"/\","
          "\"priority\":1e300}]}")},
    {"configuration: fields that instances ignore", DOCUMENT_CONFIG,
     TEXT("{\"version\":1,\"routes\":[{\"host\":\"h\",\"pathPrefix\":\"/\","
          "\"name\":1,\"service\":[],\"stretch\":\"x\",\"advice\":1,"
          "\"timeoutMs\":-1}],\"services\":[7,{\"name\":1}],\"limits\":{"
          "\"maxBodyBytes\":-1}}"),
     .valid = true},
    {"configuration: 150 routes that are no objects", DOCUMENT_CONFIG,
     TEXT("{\"version\":1,\"routes\":[7"), ",7", 149, TEXT("]}")},
    {"configuration: services without an end, and a refused route",
     DOCUMENT_CONFIG,
     TEXT("{\"version\":1,\"routes\":[{\"host\":1}],\"services\":[7"), ",7",
     149, TEXT("]}")},
    {"configuration: 150 ignored services", DOCUMENT_CONFIG,
     TEXT("{\"version\":1,\"routes\":[],\"services\":[7"), ",7", 149,
     TEXT("]}"), .valid = true},
    {"configuration: null limits and services", DOCUMENT_CONFIG,
     TEXT("{\"version\":1,\"routes\":[],\"services\":null,\"limits\":null}"),
     .valid = true},
    {"list of runs", DOCUMENT_HOLD, RUN("2,\"c\",41,7"), .valid = true},
    {"runs: nested lists", DOCUMENT_HOLD, TEXT("{\"running\":"), "[",
     NESTING_BEYOND_LIMIT},
    {"run number of 1e300", DOCUMENT_HOLD, RUN("1e300,\"c\",41,7"),
     .valid = true},
    {"run number of -1", DOCUMENT_HOLD, RUN("-1,\"c\",41,7"), .valid = true},
    {"percentage of 1e300", DOCUMENT_HOLD, RUN("2,\"c\",1e300,7"),
     .valid = true},
    {"last field of a run of 1e300", DOCUMENT_HOLD, RUN("2,\"c\",41,1e300"),
     .valid = true},
    {"run end number of 1e300", DOCUMENT_HOLD, END("1e300,\"a.0.1.17\",2"),
     .valid = true},
    {"run end number of -1e300", DOCUMENT_HOLD, END("-1e300,\"a.0.1.17\",2"),
     .valid = true},
    {"index of 40 digits", DOCUMENT_HOLD,
     END("1,\"a.0.1.1000000000000000000000000000000000000000\",2"),
     .valid = true},
    {"job record: nested lists", DOCUMENT_RECORD, TEXT(""), "\x91",
     NESTING_BEYOND_LIMIT, TEXT("\1"), "j" ID},
    {"job record: nested objects", DOCUMENT_RECORD, TEXT(""), "\x81\1",
     NESTING_BEYOND_LIMIT, TEXT("\1"), "j" ID},
    {"estimate beyond the range of time", DOCUMENT_RECORD,
     TEXT("\x81\x08\x91\x82\1\1\5\xcf\x40\0\0\0\0\0\0\0"), .key = "j" ID,
     .valid = true},
    {"slack beyond the range of time", DOCUMENT_RECORD,
     TEXT("\x82\6\xcf\x40\0\0\0\0\0\0\0\x08\x91\x81\1\1"), .key = "j" ID,
     .valid = true},
    {"tasks are a string", DOCUMENT_RECORD, TEXT("\x82\1\xa8xxxxxxxx\2\3"),
     .key = "t" ID ".0.0"},
    {"tasks are a number", DOCUMENT_RECORD, TEXT("\x82\1\xcfxxxxxxxx\2\3"),
     .key = "t" ID ".0.0"},
    {"tasks are a number, without a count", DOCUMENT_RECORD, TEXT("\x81\1\5"),
     .key = "t" ID ".0.0"},
    {"stage of 2^32 tasks", DOCUMENT_RECORD,
     TEXT("\x81\2\xcf\0\0\0\1\0\0\0\0"), .key = "t" ID ".0.0"},
    {"round of 20 digits", DOCUMENT_RECORD, TEXT("\x81\2\1"),
     .key = "t" ID ".99999999999999999999.0"},
    {"pair is not a number", DOCUMENT_RECORD,
     TEXT("\x81\1\x91\x95\xa1"
          "a\xa1"
          "b\xcb\x7f\xf8\0\0\0\0\0\0\xcb\x7f\xf0\0\0\0\0\0\0\xce\xff\xff\xff"
          "\xff"),
     .key = "p"},
    {"worker start time of 2^64 - 1", DOCUMENT_RECORD,
     TEXT("\x81\1\xcf\xff\xff\xff\xff\xff\xff\xff\xff"), .key = "wi-1",
     .valid = true},
    {"key ends within its id", DOCUMENT_RECORD, TEXT("\x80"), .key = "j1"},
    {"platform list: nested lists", DOCUMENT_LIST, TEXT("{\"entries\":"), "[",
     NESTING_BEYOND_LIMIT},
    {"platform list: slots of 1e300", DOCUMENT_LIST,
     TEXT("{\"entries\":[{\"id\":\"w\",\"role\":\"worker\",\"state\":"
          "\"live\",\"slots\":1e300}]}"),
     .valid = true},
    {"platform list: slots of 2^63", DOCUMENT_LIST,
     TEXT("{\"entries\":[{\"id\":\"w\",\"role\":\"worker\",\"state\":"
          "\"live\",\"slots\":9223372036854775808}]}")},
};

/* Decodes a worker's response to a hold command. */
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

/* Decodes a record of one of the cluster's topics. */
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

/* The check of a configuration refuses what instances refuse. */
static void
check_document_agrees(PhStr text, bool accepted)
{
    PhSchedDocument *document = PhWire_DecodeDocument(text);
    bool refused = false;
    for (guint i = 0; i < document->faults->len; i++) {
        refused |= g_array_index(document->faults, PhSchedFault, i).refused;
    }
    assert_int_equal(refused, !accepted);
    assert_int_equal(document->refused, !accepted);
    PhSchedDocument_Destroy(document);
}

static bool
read_document(const PhDocumentCase *c, PhStr text)
{
    PhSchedSpec spec;
    PhSchedConfig *config = NULL;
    PhListReading reading = {0};
    PhResult r = PhResult_Ok();
    switch (c->kind) {
    case DOCUMENT_JOB:
        r = PhWire_DecodeJob(text, UINT64_MAX, &spec);
        if (PhResult_IsOk(&r)) {
            spec.id = PhStr_Dup(PhStr_LITERAL(ID));
            r = PhSchedSpec_Check(&spec);
        }
        PhSchedSpec_Clear(&spec);
        break;
    case DOCUMENT_CONFIG:
        r = PhWire_DecodeConfig(text, &config);
        PhSchedConfig_Destroy(config);
        check_document_agrees(text, PhResult_IsOk(&r));
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

static void
check_document(const PhDocumentCase *c)
{
    PhStr text = PhRepeatedText_Make(c->head, c->repeat, c->times, c->tail);
    assert_int_equal(read_document(c, text), c->valid);
    PhStr_Clear(&text);
}

/* Guards against stack overflow and integer overflow on hostile or damaged
 * documents. */
static void
test_documents(void **state)
{
    (void)state;
    Ph_RUN_TABLE(document_cases, check_document);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_documents)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
