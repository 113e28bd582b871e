#include "peridothill/common/counter.h"
#include "peridothill/common/event.h"
#include "peridothill/common/invariant.h"
#include "peridothill/common/log.h"
#include "peridothill/common/random.h"
#include "peridothill/common/status.h"
#include "peridothill/common/str.h"

#include <stdlib.h>
#include <string.h>

#include "tests/table.h"

enum {
    LARGE_BYTES = 64 * 1024
};

/* `repeat` copies of `piece` make up the string. */
typedef struct PhStrCase {
    const char *name;
    PhStr piece;
    size_t repeat;
} PhStrCase;

static const PhStrCase str_cases[] = {
    {"empty", {"", 0}, 0},
    {"one byte", {"x", 1}, 1},
    {"embedded NUL", {"a\0b", 3}, 1},
    {"only NUL", {"\0", 1}, 5},
    {"bytes beyond ASCII", {"\xc3\xa9\xff", 3}, 7},
    {"64 KB", {"0123456789abcde\0", 16}, LARGE_BYTES / 16},
};

static void
check_str(const PhStrCase *c)
{
    PhBuf buf = {0};
    for (size_t i = 0; i < c->repeat; i++) {
        PhBuf_Append(&buf, c->piece);
    }
    PhStr copy = PhStr_Dup(PhBuf_Str(&buf));
    assert_int_equal(copy.len, c->piece.len * c->repeat);
    assert_true(PhStr_Equal(copy, PhBuf_Str(&buf)));
    assert_int_equal(PhStr_Compare(copy, PhBuf_Str(&buf)), 0);
    assert_int_equal(PhStr_Hash(copy, 7), PhStr_Hash(PhBuf_Str(&buf), 7));
    PhBuf_AppendByte(&buf, 'z');
    assert_false(PhStr_Equal(copy, PhBuf_Str(&buf)));
    assert_true(PhStr_StartsWith(PhBuf_Str(&buf), copy));
    PhBuf_Consume(&buf, copy.len);
    assert_true(PhStr_Equal(PhBuf_Str(&buf), PhStr_LITERAL("z")));
    char *c_string = PhStr_ToC(copy);
    assert_int_equal(c_string[copy.len], 0);
    free(c_string);
    PhStr_Clear(&copy);
    PhBuf_Clear(&buf);
}

/* Guards against strings that end at a NUL byte and buffers that overrun. */
static void
test_str_with_nul_bytes(void **state)
{
    (void)state;
    Ph_RUN_TABLE(str_cases, check_str);
}

typedef struct PhNumberCase {
    const char *name;
    PhStr text;
    bool valid;
    int64_t value;
} PhNumberCase;

static const PhNumberCase number_cases[] = {
    {"zero", {"0", 1}, true, 0},
    {"negative", {"-17", 3}, true, -17},
    {"largest", {"9223372036854775807", 19}, true, INT64_MAX},
    {"too large", {"9223372036854775808", 19}, false, 0},
    {"overflows 64 bits", {"99999999999999999999", 20}, false, 0},
    {"empty", {"", 0}, false, 0},
    {"only sign", {"-", 1}, false, 0},
    {"space", {" 1", 2}, false, 0},
    {"embedded NUL", {"1\0", 2}, false, 0},
    {"letters", {"12ms", 4}, false, 0},
};

static void
check_number(const PhNumberCase *c)
{
    int64_t value = 0;
    assert_int_equal(PhStr_ParseI64(c->text, &value), c->valid);
    assert_int_equal(value, c->value);
}

/* Guards against overflow and trailing characters that pass as a number. */
static void
test_number_overflow(void **state)
{
    (void)state;
    Ph_RUN_TABLE(number_cases, check_number);
}

typedef struct PhCutCase {
    const char *name;
    const char *text;
    bool found;
    const char *head;
    const char *tail;
} PhCutCase;

static const PhCutCase cut_cases[] = {
    {"both parts", "a=b=c", true, "a", "b=c"},
    {"no separator", "abc", false, "abc", ""},
    {"empty", "", false, "", ""},
    {"only separator", "=", true, "", ""},
};

static void
check_cut(const PhCutCase *c)
{
    PhStr head;
    PhStr tail;
    assert_int_equal(PhStr_Cut(PhStr_FromC(c->text), '=', &head, &tail),
                     c->found);
    assert_true(PhStr_Equal(head, PhStr_FromC(c->head)));
    assert_true(PhStr_Equal(tail, PhStr_FromC(c->tail)));
}

/* Guards against parts that lose or keep the separator. */
static void
test_cut_parts(void **state)
{
    (void)state;
    Ph_RUN_TABLE(cut_cases, check_cut);
}

typedef struct PhQuotedCase {
    const char *name;
    PhStr text;
    const char *quoted;
} PhQuotedCase;

static const PhQuotedCase quoted_cases[] = {
    {"empty", {"", 0}, "\"\""},
    {"plain", {"a b", 3}, "\"a b\""},
    {"quote and backslash", {"\"\\", 2}, "\"\\\"\\\\\""},
    {"control characters", {"\n\x1f\x7f", 3}, "\"\\u000a\\u001f\\u007f\""},
    {"NUL", {"\0", 1}, "\"\\u0000\""},
    {"beyond ASCII", {"\xc3\xa9", 2}, "\"\xc3\xa9\""},
};

static void
check_quoted(const PhQuotedCase *c)
{
    PhBuf buf = {0};
    PhBuf_AppendQuoted(&buf, c->text);
    assert_true(PhStr_Equal(PhBuf_Str(&buf), PhStr_FromC(c->quoted)));
    PhBuf_Clear(&buf);
}

/* Guards against bytes that break out of a quoted string in logs and JSON. */
static void
test_quoted_escapes(void **state)
{
    (void)state;
    Ph_RUN_TABLE(quoted_cases, check_quoted);
}

typedef struct PhResultCase {
    const char *name;
    size_t length;
    size_t kept;
} PhResultCase;

static const PhResultCase result_cases[] = {
    {"empty", 0, 0},
    {"short", 10, 10},
    {"at the bound", PH_RESULT_MESSAGE_BYTES - 1, PH_RESULT_MESSAGE_BYTES - 1},
    {"truncated", 1000, PH_RESULT_MESSAGE_BYTES - 1},
};

static void
check_result(const PhResultCase *c)
{
    char text[1001];
    memset(text, 'm', sizeof(text));
    text[c->length] = '\0';
    PhResult r = PhResult_Make(PH_STATUS_CONFLICT, "%s", text);
    assert_int_equal(r.status, PH_STATUS_CONFLICT);
    assert_int_equal(PhResult_Message(&r).len, c->kept);
}

/* Guards against messages that overrun the bound of a result. */
static void
test_result_truncation(void **state)
{
    (void)state;
    Ph_RUN_TABLE(result_cases, check_result);
}

typedef struct PhLogCase {
    const char *name;
    PhLogFormat format;
    PhLevel least;
    PhField field;
    const char *expected;
} PhLogCase;

static const PhLogCase log_cases[] = {
    {"logfmt",
     PH_LOG_FORMAT_LOGFMT,
     PH_LEVEL_DEBUG,
     {"n", PH_FIELD_U64, {.u64 = 7}},
     "event=1004 level=info time=1.500000 task=\"t\" text=\"process started\" "
     "n=7\n"},
    {"json",
     PH_LOG_FORMAT_JSON,
     PH_LEVEL_DEBUG,
     {"s", PH_FIELD_STR, {.str = {"a\"\n\0", 4}}},
     "{\"event\":1004,\"level\":\"info\",\"time\":1.500000,\"task\":\"t\","
     "\"text\":\"process started\",\"s\":\"a\\\"\\u000a\\u0000\"}\n"},
    {"below the level",
     PH_LOG_FORMAT_LOGFMT,
     PH_LEVEL_WARNING,
     {"n", PH_FIELD_I64, {.i64 = -7}},
     ""},
};

static void
check_log(const PhLogCase *c)
{
    char *text = NULL;
    size_t len = 0;
    FILE *sink = open_memstream(&text, &len);
    PhLog *log = PhLog_Create(sink, c->format, c->least);
    PhLog_Write(log, PH_EVENT_PROCESS_STARTED, PhStr_LITERAL("t"),
                1500 * PH_NS_PER_MS, &c->field, 1);
    PhLog_Destroy(log);
    fclose(sink);
    assert_string_equal(text, c->expected);
    free(text);
}

/* Guards against lines that a log parser cannot read. */
static void
test_log_line(void **state)
{
    (void)state;
    Ph_RUN_TABLE(log_cases, check_log);
}

/* Guards against two events with one number. */
static void
test_event_numbers_unique(void **state)
{
    int count;
    const PhEventInfo *events = PhEvent_List(&count);
    (void)state;
    for (int i = 0; i < count; i++) {
        assert_ptr_equal(PhEvent_Find(events[i].id), &events[i]);
    }
}

typedef struct PhQuantileCase {
    const char *name;
    PhTime durations[4];
    double quantile;
    PhTime expected;
} PhQuantileCase;

static const PhQuantileCase quantile_cases[] = {
    {"median", {1000, 2000, 3000, 1000000}, 0.5, 2000},
    {"maximum", {1000, 2000, 3000, 1000000}, 1.0, 1024000},
    {"beyond the last bucket",
     {PH_TIME_NEVER / 8, 1, 1, 1},
     1.0,
     PH_NS_PER_US << (PH_HISTOGRAM_BUCKETS - 1)},
};

static void
check_quantile(const PhQuantileCase *c)
{
    PhCounters *counters = PhCounters_Create();
    assert_int_equal(
        PhCounters_Quantile(counters, PH_HISTOGRAM_REQUEST_LATENCY, 0.5), 0);
    for (size_t i = 0; i < G_N_ELEMENTS(c->durations); i++) {
        PhCounters_Observe(counters, PH_HISTOGRAM_REQUEST_LATENCY,
                           c->durations[i]);
    }
    assert_int_equal(PhCounters_Quantile(
                         counters, PH_HISTOGRAM_REQUEST_LATENCY, c->quantile),
                     c->expected);
    PhCounters_Destroy(counters);
}

/* Guards against bucket bounds that are off by one or overflow. */
static void
test_quantile_bounds(void **state)
{
    (void)state;
    Ph_RUN_TABLE(quantile_cases, check_quantile);
}

static jmp_buf violation_jump;

/* Returns to the test instead of aborting the process. */
static void
on_violation(PhInvariant invariant, const char *values)
{
    assert_string_equal(values, "value=3");
    longjmp(violation_jump, (int)invariant + 1);
}

/* Guards against violations that pass unnoticed and checks that are not
 * counted. */
static void
test_invariant_violation(void **state)
{
    uint64_t before = PhInvariant_Checks(PH_INVARIANT_QUEUE);
    (void)state;
    PhInvariant_SetHandler(on_violation);
    int code = setjmp(violation_jump);
    if (code == 0) {
        Ph_INVARIANT(PH_INVARIANT_QUEUE, 1 + 1 == 2, "value=%d", 2);
        Ph_INVARIANT(PH_INVARIANT_QUEUE, 1 + 1 == 3, "value=%d", 3);
        fail();
    }
    PhInvariant_SetHandler(NULL);
    assert_int_equal(code, PH_INVARIANT_QUEUE + 1);
    assert_int_equal(PhInvariant_Checks(PH_INVARIANT_QUEUE), before + 2);
}

/* Guards against runs that a seed cannot reproduce, and a seed of which only
 * the low half counts. */
static void
test_random_reproducible(void **state)
{
    PhRandom *a = PhRandom_Create(5);
    PhRandom *b = PhRandom_Create(5);
    PhRandom *c = PhRandom_Create(5 + (UINT64_C(1) << 32));
    bool differs = false;
    (void)state;
    for (int i = 0; i < 1000; i++) {
        uint64_t x = PhRandom_Below(a, 10);
        assert_true(x < 10);
        assert_int_equal(x, PhRandom_Below(b, 10));
        differs |= x != PhRandom_Below(c, 10);
        double unit = PhRandom_Unit(a);
        assert_true(unit >= 0.0 && unit < 1.0);
        assert_true(PhRandom_Exponential(b, 2.0) >= 0.0);
    }
    assert_true(differs);
    PhRandom_Destroy(a);
    PhRandom_Destroy(b);
    PhRandom_Destroy(c);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_str_with_nul_bytes),
        cmocka_unit_test(test_number_overflow),
        cmocka_unit_test(test_cut_parts),
        cmocka_unit_test(test_quoted_escapes),
        cmocka_unit_test(test_result_truncation),
        cmocka_unit_test(test_log_line),
        cmocka_unit_test(test_event_numbers_unique),
        cmocka_unit_test(test_quantile_bounds),
        cmocka_unit_test(test_invariant_violation),
        cmocka_unit_test(test_random_reproducible),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
