/* Check of a configuration.  Guards against a configuration that is sent
 * although calls fail under it, and against findings on one that is sound. */
#include "peridothill/decide/schedule/config_check.h"

#include "tests/table.h"

enum {
    QUEUES_MAX = 24,
    SERVICES_MAX = 3,
    FINDINGS_MAX = 16,
    NOT_STATED = -1,
};

typedef struct PhTestQueue {
    const char *name; /* NULL: no more queues */
    const char *host;
    const char *prefix;
    const char *service;
    uint32_t attempts;
    double stretch;
    int target_ms;
    int timeout_ms;
    bool advice;
} PhTestQueue;

typedef struct PhTestService {
    const char *name; /* NULL: no more services */
    bool enforces_capacity;
} PhTestService;

typedef struct PhTestDocument {
    uint64_t version; /* 0: no document */
    PhTestQueue queues[QUEUES_MAX];
    PhTestService services[SERVICES_MAX];
    int64_t limits[4]; /* bytes of headers and bodies, ms of headers and idle
                          connections */
} PhTestDocument;

typedef struct PhTestFinding {
    PhSchedFindingKind kind;
    PhSchedEntryKind entry;
    uint32_t index;
    uint32_t times; /* in a row; 0: once */
    uint32_t other; /* index of the entry with the same name or prefix */
} PhTestFinding;

typedef struct PhCheckCase {
    const char *name;
    PhTestDocument in_force;
    PhTestDocument document;
    unsigned count; /* of the rows in `findings` */
    PhTestFinding findings[FINDINGS_MAX];
} PhCheckCase;

#define HOST "a.example"
#define QUEUE(NAME, PREFIX)                                                   \
    {                                                                         \
        NAME, HOST, PREFIX, "s", 3, 2, 1000, 3000, false                      \
    }
#define AT(NAME, AT_HOST, PREFIX)                                             \
    {                                                                         \
        NAME, AT_HOST, PREFIX, "s", 3, 2, 1000, 3000, false                   \
    }
#define OF(NAME, PREFIX, SERVICE)                                             \
    {                                                                         \
        NAME, HOST, PREFIX, SERVICE, 3, 2, 1000, 3000, false                  \
    }
#define TERMS(ATTEMPTS, STRETCH, TARGET, TIMEOUT, ADVICE)                     \
    {                                                                         \
        "q", HOST, "/q/", "s", ATTEMPTS, STRETCH, TARGET, TIMEOUT, ADVICE     \
    }
#define STATED                                                                \
    {                                                                         \
        16384, 262144, 3000, 15000                                            \
    }
/* A document of version 1 with the service "s" and the usual limits. */
#define DOCUMENT(...)                                                         \
    {                                                                         \
        1, {__VA_ARGS__}, {{"s", true}}, STATED                               \
    }
/* A finding on a queue, and on the limits. */
#define ROW(KIND, INDEX)                                                      \
    {                                                                         \
        PH_SCHED_FINDING_##KIND, PH_SCHED_ENTRY_QUEUE, INDEX                  \
    }
#define PAIR(KIND, INDEX, OTHER)                                              \
    {                                                                         \
        PH_SCHED_FINDING_##KIND, PH_SCHED_ENTRY_QUEUE, INDEX, 1, OTHER        \
    }
#define LIMIT(KIND)                                                           \
    {                                                                         \
        PH_SCHED_FINDING_##KIND, PH_SCHED_ENTRY_LIMITS                        \
    }
#define DIGITS(P)                                                             \
    QUEUE("0", P "0"), QUEUE("1", P "1"), QUEUE("2", P "2"),                  \
        QUEUE("3", P "3"), QUEUE("4", P "4"), QUEUE("5", P "5"),              \
        QUEUE("6", P "6"), QUEUE("7", P "7"), QUEUE("8", P "8"),              \
        QUEUE("9", P "9"), QUEUE("a", P "a"), QUEUE("b", P "b"),              \
        QUEUE("c", P "c"), QUEUE("d", P "d"), QUEUE("e", P "e"),              \
        QUEUE("f", P "f")
#define CAPITALS(P, F)                                                        \
    QUEUE("A", P "A"), QUEUE("B", P "B"), QUEUE("C", P "C"),                  \
        QUEUE("D", P "D"), QUEUE("E", P "E"), QUEUE("F", P F)

static const PhCheckCase check_cases[] = {
    {"nothing to find", .document = DOCUMENT(QUEUE("q", "/q/"))},
    {"nothing stated",
     .document = {1,
                  {TERMS(3, 1, 0, NOT_STATED, false)},
                  {{"s", true}},
                  {NOT_STATED, NOT_STATED, NOT_STATED, NOT_STATED}}},
    {"the version in force again",
     .in_force = DOCUMENT(QUEUE("q", "/q/")),
     .document = DOCUMENT(QUEUE("q", "/q/")),
     1,
     {{PH_SCHED_FINDING_VERSION_NOT_ABOVE, PH_SCHED_ENTRY_DOCUMENT}}},
    {"a version below the one in force",
     .in_force = {2, {QUEUE("q", "/q/")}, {{"s", true}}, STATED},
     .document = DOCUMENT(QUEUE("q", "/q/")),
     1,
     {{PH_SCHED_FINDING_VERSION_NOT_ABOVE, PH_SCHED_ENTRY_DOCUMENT}}},
    {"a queue without a name",
     .document = DOCUMENT(QUEUE("", "/q/")),
     1,
     {ROW(NAME_MISSING, 0)}},
    {"two queues of one name",
     .document = DOCUMENT(QUEUE("q", "/q/"), QUEUE("q", "/r/")),
     1,
     {PAIR(NAME_TWICE, 1, 0)}},
    {"a name and a prefix of the second of three",
     .document = DOCUMENT(QUEUE("p", "/p/"), QUEUE("q", "/q/"),
                          QUEUE("q", "/r/"), QUEUE("s", "/q/")),
     2,
     {PAIR(NAME_TWICE, 2, 1), PAIR(PREFIX_TWICE, 3, 1)}},
    {"two services of one name",
     .document = {1, {QUEUE("q", "/q/")}, {{"s"}, {"s"}}, STATED},
     1,
     {{PH_SCHED_FINDING_NAME_TWICE, PH_SCHED_ENTRY_SERVICE, 1}}},
    {"a service that is not in the list",
     .document = DOCUMENT(QUEUE("q", "/q/"), OF("r", "/r/", "other")),
     1,
     {ROW(SERVICE_UNKNOWN, 1)}},
    {"a queue that names no service",
     .document = DOCUMENT(QUEUE("q", "/q/"), OF("r", "/r/", "")),
     1,
     {ROW(SERVICE_MISSING, 1)}},
    {"a service that no queue names",
     .document = {1, {QUEUE("q", "/q/")}, {{"t"}, {"s"}}, STATED},
     1,
     {{PH_SCHED_FINDING_SERVICE_UNUSED, PH_SCHED_ENTRY_SERVICE, 0}}},
    {"a prefix twice under one host, in either case of the host",
     .document = DOCUMENT(QUEUE("q", "/q/"), AT("r", "A.Example", "/q/")),
     1,
     {PAIR(PREFIX_TWICE, 1, 0)}},
    {"a prefix under two hosts",
     .document = DOCUMENT(QUEUE("q", "/q/"), AT("r", "b.example", "/q/"))},
    {"prefixes that differ in case",
     .document = DOCUMENT(QUEUE("q", "/q/"), QUEUE("r", "/Q/"))},
    {"a host with a port",
     .document = DOCUMENT(AT("q", "a.example:80", "/q/")),
     1,
     {ROW(HOST_WITH_PORT, 0)}},
    {"a prefix without a slash",
     .document = DOCUMENT(QUEUE("q", "q/")),
     1,
     {ROW(PREFIX_WITHOUT_SLASH, 0)}},
    {"a prefix with a query",
     .document = DOCUMENT(QUEUE("q", "/q?a=")),
     1,
     {ROW(PREFIX_WITH_QUERY, 0)}},
    {"a longer prefix that no id begins with",
     .document = DOCUMENT(QUEUE("q", "/q/"), QUEUE("r", "/q/more/"),
                          QUEUE("t", "/q/a/"))},
    {"a longer prefix that ids begin with",
     .document = DOCUMENT(QUEUE("r", "/q/a"), QUEUE("q", "/q/")),
     1,
     {ROW(IDS_TAKEN, 1)}},
    {"the same under another host",
     .document = DOCUMENT(AT("r", "b.example", "/q/a"), QUEUE("q", "/q/"))},
    {"a longer prefix that is one id",
     .document =
         DOCUMENT(QUEUE("q", "/q/"), QUEUE("r", "/q/0123456789abcdef")),
     1,
     {ROW(IDS_TAKEN, 0)}},
    {"a longer prefix that exceeds an id",
     .document =
         DOCUMENT(QUEUE("q", "/q/"), QUEUE("r", "/q/0123456789abcdef0"))},
    {"ids in lower case taken, in upper case left",
     .document = DOCUMENT(QUEUE("q", "/q/"), DIGITS("/q/")),
     1,
     {{PH_SCHED_FINDING_IDS_TAKEN, PH_SCHED_ENTRY_QUEUE, 0, 16}}},
    {"all ids taken",
     .document =
         DOCUMENT(QUEUE("q", "/q/"), DIGITS("/q/"), CAPITALS("/q/", "F")),
     1,
     {ROW(IDS_ALL_TAKEN, 0)}},
    {"all ids taken but some that begin with one character",
     .document =
         DOCUMENT(QUEUE("q", "/q/"), DIGITS("/q/"), CAPITALS("/q/", "F0")),
     1,
     {{PH_SCHED_FINDING_IDS_TAKEN, PH_SCHED_ENTRY_QUEUE, 0, 22}}},
    {"all ids taken, some by two longer prefixes, in another order",
     .document = DOCUMENT(QUEUE("x", "/q/a0"), QUEUE("q", "/q/"),
                          DIGITS("/q/"), CAPITALS("/q/", "F")),
     2,
     {ROW(IDS_ALL_TAKEN, 1), ROW(IDS_TAKEN, 12)}},
    {"a longer prefix given twice",
     .document =
         DOCUMENT(QUEUE("q", "/q/"), QUEUE("r", "/q/a"), QUEUE("t", "/q/a")),
     2,
     {PAIR(PREFIX_TWICE, 2, 1), ROW(IDS_TAKEN, 0)}},
    {"all ids that begin with one character taken",
     .document =
         DOCUMENT(QUEUE("q", "/q/"), DIGITS("/q/a"), CAPITALS("/q/a", "F")),
     1,
     {{PH_SCHED_FINDING_IDS_TAKEN, PH_SCHED_ENTRY_QUEUE, 0, 22}}},
    {"stretch below 0",
     .document = DOCUMENT(TERMS(3, -1, 0, 9, false)),
     1,
     {ROW(STRETCH_RANGE, 0)}},
    {"stretch beyond what records hold",
     .document = DOCUMENT(TERMS(3, 1e17, 0, 9, false)),
     1,
     {ROW(STRETCH_RANGE, 0)}},
    {"stretch below 1",
     .document = DOCUMENT(TERMS(3, 0.9, 0, 9, false)),
     1,
     {ROW(STRETCH_BELOW_ONE, 0)}},
    {"attempts without a limit",
     .document = DOCUMENT(TERMS(0, 1, 0, 9, false)),
     1,
     {ROW(ATTEMPTS_UNLIMITED, 0)}},
    {"advice",
     .document = DOCUMENT(TERMS(3, 1, 0, 9, true)),
     1,
     {ROW(ADVICE_UNSUPPORTED, 0)}},
    {"a time-out below the target",
     .document = DOCUMENT(TERMS(3, 1, 1000, 999, false)),
     1,
     {ROW(TIMEOUT_BELOW_TARGET, 0)}},
    {"a time-out at the target",
     .document = DOCUMENT(TERMS(3, 1, 1000, 1000, false))},
    {"a time-out of 0",
     .document = DOCUMENT(TERMS(3, 1, 1000, 0, false)),
     1,
     {ROW(ZERO, 0)}},
    {"limits of 0",
     .document = {1, {QUEUE("q", "/q/")}, {{"s"}}, {0, 0, 0, 0}},
     1,
     {{PH_SCHED_FINDING_ZERO, PH_SCHED_ENTRY_LIMITS, 0, 4}}},
    {"more time for headers than for an idle connection",
     .document = {1, {QUEUE("q", "/q/")}, {{"s"}}, {1, 1, 3001, 3000}},
     1,
     {LIMIT(HEADER_TIME_ABOVE_IDLE)}},
    {"as much",
     .document = {1, {QUEUE("q", "/q/")}, {{"s"}}, {1, 1, 3000, 3000}}},
    {"time for headers, and none stated for an idle connection",
     .document = {1, {QUEUE("q", "/q/")}, {{"s"}}, {1, 1, 3000, NOT_STATED}}},
    {"more bytes of headers than of bodies",
     .document = {1, {QUEUE("q", "/q/")}, {{"s"}}, {16384, 4096, 9, 9}}},
    {"errors, then warnings, then differences, each in written order",
     .in_force = DOCUMENT(QUEUE("old", "/o/"), QUEUE("q", "/q/")),
     .document = {2,
                  {OF("q", "/q/", "t"), TERMS(0, 0.5, 1000, 500, false),
                   QUEUE("new", "/n/")},
                  {{"s", false}, {"u", true}},
                  {16384, 262144, 9000, 5000}},
     15,
     {ROW(NAME_TWICE, 1),
      ROW(PREFIX_TWICE, 1),
      LIMIT(HEADER_TIME_ABOVE_IDLE),
      ROW(SERVICE_UNKNOWN, 0),
      ROW(STRETCH_BELOW_ONE, 1),
      ROW(ATTEMPTS_UNLIMITED, 1),
      ROW(TIMEOUT_BELOW_TARGET, 1),
      {PH_SCHED_FINDING_SERVICE_UNUSED, PH_SCHED_ENTRY_SERVICE, 1},
      ROW(CHANGED, 0),
      ROW(ADDED, 1),
      ROW(ADDED, 2),
      ROW(REMOVED, 0),
      {PH_SCHED_FINDING_CHANGED, PH_SCHED_ENTRY_SERVICE, 0},
      {PH_SCHED_FINDING_ADDED, PH_SCHED_ENTRY_SERVICE, 1},
      {PH_SCHED_FINDING_CHANGED, PH_SCHED_ENTRY_LIMITS, 0, 2}}},
    {"each field of a queue changed",
     .in_force = DOCUMENT(QUEUE("q", "/q/")),
     .document = {2,
                  {{"q", "b.example", "/r/", "t", 4, 3, 2000, 4000, true}},
                  {{"t", true}},
                  STATED},
     4,
     {ROW(ADVICE_UNSUPPORTED, 0),
      {PH_SCHED_FINDING_CHANGED, PH_SCHED_ENTRY_QUEUE, 0, 8},
      {PH_SCHED_FINDING_ADDED, PH_SCHED_ENTRY_SERVICE, 0},
      {PH_SCHED_FINDING_REMOVED, PH_SCHED_ENTRY_SERVICE, 0}}},
    {"queues in another order",
     .document =
         {2, {QUEUE("r", "/r/"), QUEUE("q", "/q/")}, {{"s", true}}, STATED},
     .in_force = DOCUMENT(QUEUE("q", "/q/"), QUEUE("r", "/r/"))},
    {"two queues of one name in both",
     .in_force = DOCUMENT(QUEUE("q", "/q/"), QUEUE("q", "/r/")),
     .document =
         {2, {QUEUE("q", "/q/"), QUEUE("q", "/r/")}, {{"s", true}}, STATED},
     1,
     {PAIR(NAME_TWICE, 1, 0)}},
    {"a queue renamed",
     .in_force = DOCUMENT(QUEUE("q", "/q/")),
     .document = {2, {QUEUE("r", "/q/")}, {{"s", true}}, STATED},
     2,
     {ROW(ADDED, 0), ROW(REMOVED, 0)}},
    {"a service and the limits changed",
     .in_force = DOCUMENT(QUEUE("q", "/q/")),
     .document = {2,
                  {QUEUE("q", "/q/")},
                  {{"s", false}},
                  {16384, NOT_STATED, 3000, 20000}},
     2,
     {{PH_SCHED_FINDING_CHANGED, PH_SCHED_ENTRY_SERVICE, 0},
      {PH_SCHED_FINDING_CHANGED, PH_SCHED_ENTRY_LIMITS, 0, 2}}},
};

static PhTime
time_of(int64_t ms)
{
    return ms == NOT_STATED ? PH_SCHED_NOT_STATED : ms * PH_NS_PER_MS;
}

static void
queue_add(PhSchedDocument *document, const PhTestQueue *t)
{
    PhTime timeout = time_of(t->timeout_ms);
    PhSchedQueue queue = {
        .host = PhStr_Dup(PhStr_FromC(t->host)),
        .prefix = PhStr_Dup(PhStr_FromC(t->prefix)),
        .terms = {.queue = PhStr_Dup(PhStr_FromC(t->name)),
                  .service = PhStr_Dup(PhStr_FromC(t->service)),
                  .max_attempts = t->attempts,
                  .stretch = t->stretch,
                  .slack = time_of(t->target_ms)},
        .needs_advice = t->advice};
    g_array_append_val(document->config->queues, queue);
    g_array_append_val(document->call_timeouts, timeout);
}

static PhSchedDocument *
document_make(const PhTestDocument *t)
{
    if (t->version == 0) {
        return NULL;
    }
    PhSchedDocument *document = PhSchedDocument_Create();
    document->config->version = t->version;
    for (int i = 0; i < QUEUES_MAX && t->queues[i].name != NULL; i++) {
        queue_add(document, &t->queues[i]);
    }
    for (int i = 0; i < SERVICES_MAX && t->services[i].name != NULL; i++) {
        PhSchedService service = {
            .name = PhStr_Dup(PhStr_FromC(t->services[i].name)),
            .enforces_capacity = t->services[i].enforces_capacity};
        g_array_append_val(document->config->services, service);
    }
    document->limits = (PhSchedLimits){.header_bytes = t->limits[0],
                                       .body_bytes = t->limits[1],
                                       .header_time = time_of(t->limits[2]),
                                       .idle_time = time_of(t->limits[3])};
    return document;
}

static void
check_other(const PhSchedFinding *f, const PhTestFinding *expected)
{
    if (f->kind == PH_SCHED_FINDING_NAME_TWICE ||
        f->kind == PH_SCHED_FINDING_PREFIX_TWICE) {
        assert_int_equal(f->as.other.kind, expected->entry);
        assert_int_equal(f->as.other.index, expected->other);
    }
}

static void
check_run(const PhCheckCase *c)
{
    PhSchedDocument *document = document_make(&c->document);
    PhSchedDocument *in_force = document_make(&c->in_force);
    GArray *findings = PhSchedCheck_Run(document, in_force);
    guint next = 0;
    for (unsigned i = 0; i < c->count; i++) {
        const PhTestFinding *expected = &c->findings[i];
        for (uint32_t k = 0; k < MAX(expected->times, 1); k++) {
            assert_true(next < findings->len);
            const PhSchedFinding *f =
                &g_array_index(findings, PhSchedFinding, next++);
            assert_int_equal(f->kind, expected->kind);
            assert_int_equal(f->entry.kind, expected->entry);
            assert_int_equal(f->entry.index, expected->index);
            check_other(f, expected);
        }
    }
    assert_int_equal(findings->len, next);
    g_array_free(findings, TRUE);
    PhSchedDocument_Destroy(document);
    PhSchedDocument_Destroy(in_force);
}

static void
test_check(void **state)
{
    (void)state;
    Ph_RUN_TABLE(check_cases, check_run);
}

/* What instances refuse, and what they read in another way than written. */
static void
test_faults(void **state)
{
    (void)state;
    PhTestDocument t = DOCUMENT(OF("q", "/q/", "other"));
    PhSchedDocument *document = document_make(&t);
    PhSchedDocument_AddFault(document, PhStr_LITERAL("a"), PhStr_LITERAL("b"),
                             false);
    GArray *findings = PhSchedCheck_Run(document, NULL);
    assert_int_equal(findings->len, 3);
    g_array_free(findings, TRUE);
    PhSchedDocument_AddFault(document, PhStr_LITERAL("c"), PhStr_LITERAL("d"),
                             true);
    findings = PhSchedCheck_Run(document, NULL);
    assert_int_equal(findings->len, 2);
    assert_int_equal(g_array_index(findings, PhSchedFinding, 1).kind,
                     PH_SCHED_FINDING_MALFORMED);
    g_array_free(findings, TRUE);
    PhSchedDocument_Destroy(document);
}

/* Guards against a list of faults without an end, and against a document that
 * passes for accepted because its refused field is beyond the limit. */
static void
test_many_faults(void **state)
{
    (void)state;
    PhSchedDocument *document = PhSchedDocument_Create();
    for (int i = 0; i <= PH_SCHED_FAULTS_MAX; i++) {
        PhSchedDocument_AddFault(document, PhStr_LITERAL("a"),
                                 PhStr_LITERAL("b"), i == PH_SCHED_FAULTS_MAX);
    }
    assert_true(document->refused);
    GArray *findings = PhSchedCheck_Run(document, NULL);
    assert_int_equal(findings->len, PH_SCHED_FAULTS_MAX + 1);
    const PhSchedFinding *last =
        &g_array_index(findings, PhSchedFinding, PH_SCHED_FAULTS_MAX);
    assert_int_equal(last->kind, PH_SCHED_FINDING_MALFORMED_NOT_SHOWN);
    assert_int_equal(last->as.not_shown, 1);
    g_array_free(findings, TRUE);
    PhSchedDocument_Destroy(document);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_check),
                                       cmocka_unit_test(test_many_faults),
                                       cmocka_unit_test(test_faults)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
