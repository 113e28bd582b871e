/* Codecs of the store's records and the platform's documents: what is decoded,
 * and which errors are detected. */
#include "peridothill/codec/election_entry.h"
#include "peridothill/codec/schedule_record.h"
#include "peridothill/platform/adapter.h"
#include "tests/table.h"

#define TEXT(S)                                                               \
    {                                                                         \
        (S), sizeof(S) - 1                                                    \
    }

/* The body of a submission, and whether it is valid. */
typedef struct PhJobCase {
    const char *name;
    PhStr text;
    bool valid;
    uint32_t steps;
    uint32_t tasks; /* tasks of the first step */
} PhJobCase;

static const PhJobCase job_cases[] = {
    {"a plain step",
     TEXT("{\"spec\":\"x\",\"steps\":[{\"count\":4,\"cpu\":500}]}"), true, 1,
     4},
    {"every field",
     TEXT("{\"spec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":500,\"memMb\":9,"
          "\"gpu\":1,\"estimateMs\":900,\"affinity\":\"r1-3\","
          "\"savesProgress\":true,\"requires\":\"a\",\"maxPerServer\":1,"
          "\"speculative\":true,\"image\":\"i\",\"targetMs\":18,"
          "\"mayMiss\":1},{\"count\":1,\"after\":[0],\"fills\":true}],"
          "\"repetitions\":3,\"startTimeMs\":1700000000000,"
          "\"intervalMs\":1000}"),
     true, 2, 2},
    {"no JSON", TEXT("{"), false, 0, 0},
    {"no steps", TEXT("{\"spec\":\"x\",\"steps\":[]}"), false, 0, 0},
    {"a step that is not an object", TEXT("{\"steps\":[7]}"), false, 0, 0},
    {"a count that is a string", TEXT("{\"steps\":[{\"count\":\"4\"}]}"),
     false, 0, 0},
    {"a negative CPU requirement",
     TEXT("{\"steps\":[{\"count\":1,\"cpu\":-1}]}"), false, 0, 0},
    {"a dependency that is not a number",
     TEXT("{\"steps\":[{\"count\":1,\"after\":[\"0\"]}]}"), false, 0, 0},
};

/* Decodes a body, then encodes and decodes the record of its job. */
static void
job_run(const PhJobCase *c)
{
    PhSchedSpec spec;
    PhResult r = PhWire_DecodeJob(c->text, UINT64_MAX, &spec);
    assert_int_equal(PhResult_IsOk(&r), c->valid);
    if (!c->valid) {
        return;
    }
    assert_int_equal(spec.step_count, c->steps);
    spec.id = PhStr_Dup(PhStr_LITERAL("0123456789abcdef"));
    spec.terms.queue = PhStr_Dup(PhStr_LITERAL("queue"));
    spec.terms.service = PhStr_Dup(PhStr_LITERAL("service"));
    PhSchedEncoded e = PhSchedRecord_EncodeJob(&spec);
    PhSchedRecord record;
    r = PhSchedRecord_Decode(e.key, e.value, &record);
    assert_true(PhResult_IsOk(&r));
    assert_int_equal(record.tag, PH_SCHED_RECORD_JOB);
    const PhSchedStep *first = &record.as.job.steps[0];
    assert_int_equal(first->count, c->tasks);
    assert_int_equal(first->resources.cpu_milli,
                     spec.steps[0].resources.cpu_milli);
    assert_int_equal(first->estimate, spec.steps[0].estimate);
    assert_int_equal(first->tail_latency_target,
                     spec.steps[0].tail_latency_target);
    assert_int_equal(first->speculative, spec.steps[0].speculative);
    assert_true(PhStr_Equal(first->image, spec.steps[0].image));
    assert_true(PhStr_Equal(record.as.job.payload, spec.payload));
    assert_int_equal(record.as.job.repetitions, spec.repetitions);
    /* Every truncated value is an error, without reads past its end. */
    for (size_t len = 0; len < e.value.len; len++) {
        PhSchedRecord truncated;
        r = PhSchedRecord_Decode(e.key, PhStr_Slice(e.value, 0, len),
                                 &truncated);
        assert_false(PhResult_IsOk(&r));
    }
    PhSchedRecord_Clear(&record);
    PhSchedEncoded_Clear(&e);
    PhSchedSpec_Clear(&spec);
}

/* Guards against malformed submissions, and fields lost in the record. */
static void
test_jobs(void **state)
{
    (void)state;
    Ph_RUN_TABLE(job_cases, job_run);
}

/* The value of a job's record: the id it is decoded for, the number of bytes
 * cut off, and whether it is valid. */
typedef struct PhJobValueCase {
    const char *name;
    PhStr id;
    size_t missing;
    bool valid;
} PhJobValueCase;

static const PhJobValueCase job_value_cases[] = {
    {"complete", TEXT("0123456789abcdef"), 0, true},
    {"an id that is too short", TEXT("0123456789abcde"), 0, false},
    {"an id that is too long", TEXT("0123456789abcdef0"), 0, false},
    {"no id", TEXT(""), 0, false},
    {"truncated", TEXT("0123456789abcdef"), 1, false},
};

static void
job_value_run(const PhJobValueCase *c)
{
    PhSchedStep step = {.count = 3};
    PhSchedSpec spec = {.id = PhStr_LITERAL("0123456789abcdef"),
                        .steps = &step,
                        .step_count = 1};
    PhSchedEncoded e = PhSchedRecord_EncodeJob(&spec);
    PhStr value = PhStr_Slice(e.value, 0, e.value.len - c->missing);
    PhSchedSpec read;
    PhResult r = PhSchedRecord_DecodeJob(c->id, value, &read);
    assert_int_equal(PhResult_IsOk(&r), c->valid);
    assert_int_equal(read.step_count, c->valid ? 1 : 0);
    assert_true(PhStr_Equal(read.id, c->valid ? c->id : (PhStr){0}));
    PhSchedSpec_Clear(&read);
    PhSchedEncoded_Clear(&e);
}

/* Guards against a job with a malformed id or a truncated value. */
static void
test_job_values(void **state)
{
    (void)state;
    Ph_RUN_TABLE(job_value_cases, job_value_run);
}

/* The record of a worker, and what a successor without an entry of the worker
 * takes from it. */
typedef struct PhWorkerRecordCase {
    const char *name;
    bool suspended;
    bool leaving;
    PhTime lease_expiry_bound; /* as recorded */
    PhTime read;
    bool inherited;
    PhTime inherited_until; /* read 1 s after the start */
} PhWorkerRecordCase;

static const PhWorkerRecordCase worker_record_cases[] = {
    {"leases are granted", false, false, 0, 0},
    {"suspended", true, false, 6 * PH_NS_PER_S, 6 * PH_NS_PER_S},
    {"a lease expiry bound is rounded up", true, false, 1, PH_NS_PER_MS},
    {"longer than an owner may record", true, false, 3600 * PH_NS_PER_S,
     60 * PH_NS_PER_S},
    {"draining", false, true, 0, 0},
    {"draining and suspended", true, true, 3 * PH_NS_PER_S, 3 * PH_NS_PER_S},
    {"suspended, with orders meant for an earlier incarnation", true, false,
     20 * PH_NS_PER_S, 20 * PH_NS_PER_S, true, 21 * PH_NS_PER_S},
    {"leases are granted again after that", false, false, 20 * PH_NS_PER_S,
     20 * PH_NS_PER_S, true, 0},
};

/* Encodes and decodes a record and applies it to a model. */
static void
worker_record_run(const PhWorkerRecordCase *c)
{
    PhSchedRecord record = {
        .tag = PH_SCHED_RECORD_WORKER,
        .id = PhStr_LITERAL("i-1"),
        .as.worker = {.born_ms = 7,
                      .suspended = c->suspended,
                      .lease_expiry_bound = c->lease_expiry_bound,
                      .inherited = c->inherited,
                      .leaving = c->leaving}};
    PhSchedEncoded e = PhSchedRecord_Encode(&record);
    PhSchedRecord read;
    PhResult r = PhSchedRecord_Decode(e.key, e.value, &read);
    assert_true(PhResult_IsOk(&r));
    PhSchedModel *model = PhSchedModel_Create();
    assert_int_equal(PhSchedModel_Apply(model, &read, PH_NS_PER_S),
                     PH_STATUS_OK);
    const PhSchedWorker *w =
        PhSchedModel_NewestIncarnation(model, PhStr_LITERAL("i-1"));
    assert_non_null(w);
    assert_int_equal(w->entry.born_ms, 7);
    assert_int_equal(w->suspended, c->suspended);
    assert_int_equal(w->lease_expiry_bound, c->read);
    assert_int_equal(w->inherited_leases_end_by, c->inherited_until);
    assert_int_equal(w->entry.draining, c->leaving);
    assert_false(w->listed);
    PhSchedModel_Destroy(model);
    PhSchedEncoded_Clear(&e);
}

/* Guards against leases that count as expired too early after a takeover. */
static void
test_worker_records(void **state)
{
    (void)state;
    Ph_RUN_TABLE(worker_record_cases, worker_record_run);
}

/* A worker entry, and whether it is valid. */
typedef struct PhEntryCase {
    const char *name;
    PhStr text;
    bool valid;
    bool draining;
} PhEntryCase;

static const PhEntryCase entry_cases[] = {
    {"ready",
     TEXT("{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"state\":\"ready\","
          "\"zone\":\"z\",\"capacity\":{\"cpu\":16000,\"memMb\":10},"
          "\"labels\":[\"a\",\"r1-3\"],\"born\":5}"),
     true, false},
    {"draining",
     TEXT("{\"service\":\"s\",\"address\":\"10.0.0.1:80\","
          "\"state\":\"draining\",\"zone\":\"z\",\"labels\":[],\"born\":5,"
          "\"capacity\":{\"cpu\":1}}"),
     true, true},
    {"an unknown state",
     TEXT("{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"state\":\"gone\","
          "\"capacity\":{\"cpu\":1}}"),
     false, false},
    {"no address",
     TEXT("{\"service\":\"s\",\"state\":\"ready\",\"capacity\":{\"cpu\":1}}"),
     false, false},
    {"a capacity that is a string",
     TEXT("{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"state\":\"ready\","
          "\"capacity\":{\"cpu\":\"1\"}}"),
     false, false},
    {"bytes that are not JSON", TEXT("\xff\x00\x01"), false, false},
};

static void
entry_run(const PhEntryCase *c)
{
    PhSchedWorkerEntry entry;
    PhResult r = PhWire_DecodeWorker(PhStr_LITERAL("i-1"), c->text, &entry);
    assert_int_equal(PhResult_IsOk(&r), c->valid);
    if (c->valid) {
        assert_int_equal(entry.draining, c->draining);
        PhSchedWorkerEntry_Clear(&entry);
    }
}

/* Guards against the use of malformed worker entries. */
static void
test_entries(void **state)
{
    (void)state;
    Ph_RUN_TABLE(entry_cases, entry_run);
}

/* A worker's answer to a hold or a start, and the decoded outcome. */
typedef struct PhAnswerCase {
    const char *name;
    PhSchedActionTag tag;
    int status;
    PhStr text;
    PhSchedOutcome outcome;
    size_t runs;
    size_t ends;
    bool more; /* runs may be missing from the list */
} PhAnswerCase;

static const PhAnswerCase answer_cases[] = {
    {"lists of a hold", PH_SCHED_ACTION_HOLD, 200,
     TEXT("{\"clockMs\":9,\"running\":[[\"5c0e7a21d94b36f8.0.1.17\",2,\"c\","
          "41,7]],\"endedRuns\":[[58,\"5c0e7a21d94b36f8.0.1.9\",1,\"done\","
          "\"\"]]}"),
     PH_SCHED_OUTCOME_DONE, 1, 1},
    {"malformed rows are skipped", PH_SCHED_ACTION_HOLD, 200,
     TEXT("{\"clockMs\":9,\"running\":[7,[\"x\",1,\"\",1]],"
          "\"endedRuns\":[[1,\"a.0.0.0\",1,\"melted\",\"\"]]}"),
     PH_SCHED_OUTCOME_DONE, 0, 0, true},
    {"a malformed end leaves the list of runs whole", PH_SCHED_ACTION_HOLD,
     200,
     TEXT("{\"clockMs\":9,\"endedRuns\":[[1,\"a.0.0.0\",1,\"melted\",\"\"]]}"),
     PH_SCHED_OUTCOME_DONE, 0, 0, false},
    {"a higher fence", PH_SCHED_ACTION_START, 409,
     TEXT("{\"clockMs\":9,\"reason\":\"fence\"}"), PH_SCHED_OUTCOME_FENCED, 0,
     0},
    {"no room", PH_SCHED_ACTION_START, 409,
     TEXT("{\"clockMs\":9,\"reason\":\"room\"}"), PH_SCHED_OUTCOME_NO_CAPACITY,
     0, 0},
    {"an old run", PH_SCHED_ACTION_START, 409,
     TEXT("{\"clockMs\":9,\"reason\":\"old\"}"), PH_SCHED_OUTCOME_STALE_RUN, 0,
     0},
    {"a deadline that has passed", PH_SCHED_ACTION_START, 409,
     TEXT("{\"clockMs\":9,\"reason\":\"late\"}"),
     PH_SCHED_OUTCOME_DEADLINE_PASSED, 0, 0},
    {"another incarnation", PH_SCHED_ACTION_START, 421, TEXT(""),
     PH_SCHED_OUTCOME_OTHER_INCARNATION, 0, 0},
    {"a worker that is unavailable", PH_SCHED_ACTION_START, 503, TEXT(""),
     PH_SCHED_OUTCOME_REFUSED, 0, 0},
    {"a start that the worker rejects", PH_SCHED_ACTION_START, 400, TEXT(""),
     PH_SCHED_OUTCOME_REFUSED, 0, 0},
    {"a worker that is unhealthy", PH_SCHED_ACTION_START, 429, TEXT(""),
     PH_SCHED_OUTCOME_REFUSED, 0, 0},
    {"an error that may follow the execution", PH_SCHED_ACTION_START, 500,
     TEXT(""), PH_SCHED_OUTCOME_UNKNOWN, 0, 0},
    {"a time-out on the way", PH_SCHED_ACTION_START, 504, TEXT(""),
     PH_SCHED_OUTCOME_UNKNOWN, 0, 0},
    {"a body that is not JSON", PH_SCHED_ACTION_START, 200, TEXT("<"),
     PH_SCHED_OUTCOME_UNKNOWN, 0, 0},
};

static void
answer_run(const PhAnswerCase *c)
{
    PhOrderReply reply = {.tag = c->tag};
    PhWire_DecodeOrderReply(c->status, c->text, &reply);
    assert_int_equal(reply.outcome, c->outcome);
    assert_int_equal(reply.hold.run_count, c->runs);
    assert_int_equal(reply.hold.end_count, c->ends);
    assert_int_equal(reply.hold.more, c->more);
    PhOrderMessage m = {.tag = PH_ORDER_REPLY, .as.reply = reply};
    PhMessage wrapped = PhOrderMessage_Wrap(&m);
    wrapped.release(wrapped.body);
}

/* Guards against misread outcomes and rows. */
static void
test_answers(void **state)
{
    (void)state;
    Ph_RUN_TABLE(answer_cases, answer_run);
}

/* A client's host and path, and the matching queue. */
typedef struct PhQueueCase {
    const char *name;
    PhStr host;
    PhStr path;
    const char *queue; /* NULL: none */
    const char *rest;
} PhQueueCase;

static const PhQueueCase queue_cases[] = {
    {"a prefix", TEXT("a.example"), TEXT("/p/0123"), "short", "0123"},
    {"the longest prefix", TEXT("a.example"), TEXT("/p/q/0123"), "long",
     "0123"},
    {"a host with a port", TEXT("A.example:80"), TEXT("/p/1"), "short", "1"},
    {"another host", TEXT("b.example"), TEXT("/p/1"), NULL, NULL},
    {"no prefix", TEXT("a.example"), TEXT("/x/1"), NULL, NULL},
};

static void
queue_run(const PhQueueCase *c)
{
    static const PhStr text = TEXT(
        "{\"version\":3,\"routes\":[{\"name\":\"short\",\"host\":"
        "\"a.example\",\"pathPrefix\":\"/p/\",\"service\":\"s\",\"stretch\":"
        "1.5},{\"name\":\"long\",\"host\":\"a.example\",\"pathPrefix\":"
        "\"/p/q/\",\"service\":\"s\"}],\"services\":[{\"name\":\"s\","
        "\"enforcesCapacity\":true}]}");
    PhSchedConfig *config = NULL;
    PhStr rest = {0};
    PhResult r = PhWire_DecodeConfig(text, &config);
    assert_true(PhResult_IsOk(&r));
    const PhSchedQueue *queue =
        PhSchedConfig_Match(config, c->host, c->path, &rest);
    assert_int_equal(queue != NULL, c->queue != NULL);
    if (queue != NULL) {
        assert_true(PhStr_Equal(queue->terms.queue, PhStr_FromC(c->queue)));
        assert_true(PhStr_Equal(rest, PhStr_FromC(c->rest)));
    }
    PhSchedConfig_Destroy(config);
}

/* Guards against jobs that are put into a wrong queue. */
static void
test_queues(void **state)
{
    (void)state;
    Ph_RUN_TABLE(queue_cases, queue_run);
}

/* An entry of the owner topic, and what is read back. */
typedef struct PhElectionCase {
    const char *name;
    PhElectionEntry entry;
    PhStr key;
    PhTime earlier;        /* as read */
    PhTime earlier_leases; /* as read */
} PhElectionCase;

static const PhElectionCase election_cases[] = {
    {"without a statement",
     {.kind = PH_ELECTION_CLAIM, .holder = TEXT("a.1")},
     TEXT(""),
     0},
    {"earlier owners may go on",
     {.kind = PH_ELECTION_RENEWAL,
      .holder = TEXT("a.1"),
      .address = TEXT("10.0.0.1:7"),
      .states_earlier = true,
      .earlier = 9100 * PH_NS_PER_MS + 1},
     TEXT("key"),
     9101 * PH_NS_PER_MS},
    {"earlier owners have ended",
     {.kind = PH_ELECTION_RELEASE,
      .holder = TEXT("a.1"),
      .successor = TEXT("b"),
      .states_earlier = true,
      .earlier = -1500 * PH_NS_PER_MS - 1},
     TEXT(""),
     -1500 * PH_NS_PER_MS},
    {"earlier leases may last",
     {.kind = PH_ELECTION_RENEWAL,
      .holder = TEXT("a.1"),
      .successor = TEXT("b"),
      .states_earlier = true,
      .earlier = 0,
      .states_leases = true,
      .earlier_leases = 6200 * PH_NS_PER_MS + 1},
     TEXT("key"),
     0,
     6201 * PH_NS_PER_MS},
    {"the longest duration that is read",
     {.kind = PH_ELECTION_CLAIM,
      .holder = TEXT("a.1"),
      .states_leases = true,
      .earlier_leases = 3600 * PH_NS_PER_S},
     TEXT(""),
     0,
     3600 * PH_NS_PER_S},
};

static void
election_run(const PhElectionCase *c)
{
    PhElectionEntry entry;
    PhStr key;
    PhStr value = PhElectionEntry_Encode(&c->entry, c->key);
    assert_true(PhElectionEntry_Decode(value, &entry, &key));
    assert_int_equal(entry.kind, c->entry.kind);
    assert_true(PhStr_Equal(entry.holder, c->entry.holder));
    assert_true(PhStr_Equal(entry.address, c->entry.address));
    assert_true(PhStr_Equal(key, c->key));
    assert_int_equal(entry.states_earlier, c->entry.states_earlier);
    assert_int_equal(entry.earlier, c->earlier);
    assert_int_equal(entry.states_leases, c->entry.states_leases);
    assert_int_equal(entry.earlier_leases, c->earlier_leases);
    assert_true(PhStr_Equal(entry.successor, c->entry.successor));
    PhElectionEntry_Clear(&entry);
    PhStr_Clear(&key);
    assert_false(PhElectionEntry_Decode(PhStr_Slice(value, 0, value.len - 1),
                                        &entry, &key));
    PhStr_Clear(&value);
}

/* Guards against a statement that ends the orders of others too early. */
static void
test_election_entries(void **state)
{
    (void)state;
    Ph_RUN_TABLE(election_cases, election_run);
}

typedef struct PhPayloadCase {
    const char *name;
    size_t bytes;
} PhPayloadCase;

static const PhPayloadCase payload_cases[] = {
    {"short", 1},
    {"64 KB", 65536},
    {"more", 65537},
    {"near the largest record", 250000},
};

static void
payload_run(const PhPayloadCase *c)
{
    char *text = g_strnfill(c->bytes, 'x');
    PhSchedSpec spec = {.id = PhStr_LITERAL("0123456789abcdef"),
                        .payload = PhStr_FromBytes(text, c->bytes),
                        .steps = &(PhSchedStep){.count = 1},
                        .step_count = 1};
    PhSchedEncoded e = PhSchedRecord_EncodeJob(&spec);
    PhSchedRecord record;
    PhResult r = PhSchedRecord_Decode(e.key, e.value, &record);
    assert_true(PhResult_IsOk(&r));
    assert_true(PhStr_Equal(record.as.job.payload, spec.payload));
    PhSchedRecord_Clear(&record);
    PhSchedEncoded_Clear(&e);
    g_free(text);
}

/* Guards against a successor that starts tasks without their specification,
 * since that is longer than it reads (UNASKED). */
static void
test_payloads(void **state)
{
    (void)state;
    Ph_RUN_TABLE(payload_cases, payload_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_jobs),
                                       cmocka_unit_test(test_election_entries),
                                       cmocka_unit_test(test_job_values),
                                       cmocka_unit_test(test_worker_records),
                                       cmocka_unit_test(test_entries),
                                       cmocka_unit_test(test_answers),
                                       cmocka_unit_test(test_payloads),
                                       cmocka_unit_test(test_queues)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
