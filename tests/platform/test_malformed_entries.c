/* Malformed worker entries: they add no worker, and the valid entries next to
 * them are still applied. */
#include <string.h>

#include "peridothill/codec/json.h"
#include "peridothill/platform/adapter.h"
#include "peridothill/services/http.h"
#include "peridothill/services/interface.h"
#include "repeated_text.h"
#include "scripted_task.h"
#include "tests/table.h"

enum {
    MAILBOX_CAPACITY = 64,
    OFFSET_BYTES = 8,
    LENGTH_BYTES = 4,
    BITS_PER_BYTE = 8,
    PAGE_RECORDS = 3,
    NESTING_BEYOND_LIMIT = 100000, /* beyond the nesting limit of the parser */
    NESTING_WITHIN_LIMIT = 1500,   /* within the nesting limit of the parser */
    LONG_BYTES = 200000,           /* length of a long text in bytes */
    DECIMAL = 10,
};

/* Long enough for several reads of the entries. */
static const PhTime FOLLOW_TIME = 1 * PH_NS_PER_S;

#define TEXT(S)                                                               \
    {                                                                         \
        (S), sizeof(S) - 1                                                    \
    }
/* Macros for an entry with one field replaced. */
#define ADDRESS "\"address\":\"10.0.0.1:80\","
#define SERVICE "\"service\":\"s\","
#define STATE "\"state\":\"ready\","
#define ZONE "\"zone\":\"z\","
#define BORN "\"born\":5,"
#define LABELS "\"labels\":[\"a\",\"r1-3\"],"
#define CAPACITY "\"capacity\":{\"cpu\":16000,\"memMb\":10,\"gpu\":0}"
#define WITH_ADDRESS(A)                                                       \
    TEXT("{" SERVICE STATE ZONE BORN LABELS "\"address\":" A "," CAPACITY "}")
#define WITH_CAPACITY(C)                                                      \
    TEXT("{" ADDRESS SERVICE STATE ZONE BORN LABELS "\"capacity\":" C "}")
#define WITH_CPU(N) WITH_CAPACITY("{\"cpu\":" N ",\"memMb\":10,\"gpu\":0}")
#define WITH_BORN(B)                                                          \
    TEXT("{" ADDRESS SERVICE STATE ZONE LABELS "\"born\":" B "," CAPACITY "}")
#define WITH_LABELS(L)                                                        \
    TEXT("{" ADDRESS SERVICE STATE ZONE BORN "\"labels\":" L "," CAPACITY "}")
#define WITH_STATE(S)                                                         \
    TEXT("{" ADDRESS SERVICE ZONE BORN LABELS "\"state\":" S "," CAPACITY "}")
#define WITH_SERVICE(S)                                                       \
    TEXT("{" ADDRESS STATE ZONE BORN LABELS "\"service\":" S "," CAPACITY "}")
#define WITH_ZONE(Z)                                                          \
    TEXT("{" ADDRESS SERVICE STATE BORN LABELS "\"zone\":" Z "," CAPACITY "}")
#define VALID "{" ADDRESS SERVICE STATE ZONE BORN LABELS CAPACITY "}"

static const PhStr valid_entry = TEXT(VALID);

/* An entry: `head`, then `repeat` written `times` times, then `tail`. It is
 * stored under `key`, or "i-odd" if that is empty, and also under the keys of
 * valid entries. */
typedef struct PhMalformedCase {
    const char *name;
    PhStr head;
    const char *repeat;
    size_t times;
    PhStr tail;
    PhStr key;
    bool valid; /* the entry is valid */
} PhMalformedCase;

static const PhMalformedCase malformed_cases[] = {
    {"valid entry", TEXT(VALID), .valid = true},
    {"integer written as a real number", WITH_CPU("16000.0"), .valid = true},
    {"unknown fields",
     TEXT("{\"x\":[[1e300]],\"seq\":1e300," ADDRESS SERVICE STATE ZONE BORN
              LABELS CAPACITY "}"),
     .valid = true},
    {"many labels",
     TEXT("{" ADDRESS SERVICE STATE ZONE BORN CAPACITY ",\"labels\":[\"a\""),
     ",\"b\"", LONG_BYTES / 4, TEXT("]}"), .valid = true},
    /* Nesting. */
    {"nested lists, not closed", TEXT(""), "[", NESTING_BEYOND_LIMIT},
    {"nested objects, not closed", TEXT(""), "{\"a\":", NESTING_BEYOND_LIMIT},
    {"nested lists in the labels",
     TEXT("{" ADDRESS SERVICE STATE ZONE BORN CAPACITY ",\"labels\":"), "[",
     NESTING_BEYOND_LIMIT},
    {"nested objects in the capacity",
     TEXT("{" ADDRESS SERVICE STATE ZONE BORN LABELS "\"capacity\":"),
     "{\"cpu\":", NESTING_BEYOND_LIMIT},
    {"nested lists in an unknown field",
     TEXT("{" ADDRESS SERVICE STATE ZONE BORN LABELS CAPACITY ",\"x\":"), "[",
     NESTING_BEYOND_LIMIT},
    {"nested lists within the parser's limit", TEXT(""), "[",
     NESTING_WITHIN_LIMIT},
    {"closing brackets", TEXT(""), "]", NESTING_BEYOND_LIMIT},
    /* Numbers. */
    {"cpu of 1e400", WITH_CPU("1e400")},
    {"cpu of 1e300", WITH_CPU("1e300")},
    {"cpu of -1e300", WITH_CPU("-1e300")},
    {"cpu of 2^31", WITH_CPU("2147483648")},
    {"cpu of 2^63", WITH_CPU("9223372036854775808")},
    {"cpu of 2^63 - 1", WITH_CPU("9223372036854775807")},
    {"cpu of -1", WITH_CPU("-1")},
    {"cpu of 0", WITH_CPU("0")},
    {"cpu of NaN", WITH_CPU("NaN")},
    {"cpu is a string", WITH_CPU("\"16000\"")},
    {"memory of 1e300",
     WITH_CAPACITY("{\"cpu\":1,\"memMb\":1e300,\"gpu\":0}")},
    {"accelerators below 0",
     WITH_CAPACITY("{\"cpu\":1,\"memMb\":1,\"gpu\":-1}")},
    {"empty capacity", WITH_CAPACITY("{}")},
    {"capacity is a list", WITH_CAPACITY("[16000,10,0]")},
    {"capacity is a number", WITH_CAPACITY("16000")},
    {"no capacity", TEXT("{" ADDRESS SERVICE STATE ZONE LABELS "\"born\":5}")},
    {"born at 2^63 - 1", WITH_BORN("9223372036854775807")},
    {"born at 2^63", WITH_BORN("9223372036854775808")},
    {"born at 1e300", WITH_BORN("1e300")},
    {"born in the year 9999, far in the future", WITH_BORN("253402300799000")},
    {"born at 0", WITH_BORN("0")},
    {"born below 0", WITH_BORN("-5")},
    {"born at a fraction of a millisecond", WITH_BORN("1780146376141.5")},
    {"born is a string", WITH_BORN("\"5\"")},
    {"born missing", TEXT("{" ADDRESS SERVICE STATE ZONE LABELS CAPACITY "}")},
    /* Addresses. */
    {"port 0", WITH_ADDRESS("\"10.0.0.1:0\"")},
    {"port 65536", WITH_ADDRESS("\"10.0.0.1:65536\"")},
    {"port 99999", WITH_ADDRESS("\"10.0.0.1:99999\"")},
    {"port -1", WITH_ADDRESS("\"10.0.0.1:-1\"")},
    {"port of 40 digits",
     WITH_ADDRESS("\"10.0.0.1:1000000000000000000000000000000000000080\"")},
    {"port is not a number", WITH_ADDRESS("\"10.0.0.1:abc\"")},
    {"port followed by text", WITH_ADDRESS("\"10.0.0.1:80x\"")},
    {"empty port", WITH_ADDRESS("\"10.0.0.1:\"")},
    {"no port", WITH_ADDRESS("\"10.0.0.1\"")},
    {"no host", WITH_ADDRESS("\":80\"")},
    {"host name instead of an IP address", WITH_ADDRESS("\"worker:80\"")},
    {"IP address out of range", WITH_ADDRESS("\"10.0.0.256:80\"")},
    {"IPv6 address", WITH_ADDRESS("\"[::1]:80\"")},
    {"two ports", WITH_ADDRESS("\"10.0.0.1:80:80\"")},
    {"space before the address", WITH_ADDRESS("\" 10.0.0.1:80\"")},
    {"space after the address", WITH_ADDRESS("\"10.0.0.1:80 \"")},
    {"NUL in the host", WITH_ADDRESS("\"10.0.0.1\\u0000:80\"")},
    {"header injection after a NUL in the host",
     WITH_ADDRESS("\"9.9.9.9\\u0000\\r\\nX:80\"")},
    {"header injection after the port",
     WITH_ADDRESS("\"10.0.0.1:80\\r\\nX: y\"")},
    {"path after the port", WITH_ADDRESS("\"10.0.0.1:80/x\"")},
    {"empty address", WITH_ADDRESS("\"\"")},
    {"address is a number", WITH_ADDRESS("80")},
    {"address is null", WITH_ADDRESS("null")},
    {"address of LONG bytes",
     TEXT("{" SERVICE STATE ZONE BORN LABELS CAPACITY ",\"address\":\""), "1",
     LONG_BYTES, TEXT(":80\"}")},
    {"port of LONG digits",
     TEXT("{" SERVICE STATE ZONE BORN LABELS CAPACITY
          ",\"address\":\"10.0.0.1:"),
     "0", LONG_BYTES, TEXT("80\"}")},
    {"no address", TEXT("{" SERVICE STATE ZONE BORN LABELS CAPACITY "}")},
    /* Other fields. */
    {"unknown state", WITH_STATE("\"melted\"")},
    {"state is a number", WITH_STATE("1")},
    {"no state", TEXT("{" ADDRESS SERVICE ZONE BORN LABELS CAPACITY "}")},
    {"service is a number", WITH_SERVICE("1")},
    {"empty service", WITH_SERVICE("\"\"")},
    {"no service", TEXT("{" ADDRESS STATE ZONE BORN LABELS CAPACITY "}")},
    {"zone is a list", WITH_ZONE("[\"z\"]")},
    {"no zone", TEXT("{" ADDRESS SERVICE STATE BORN LABELS CAPACITY "}")},
    {"labels are a string", WITH_LABELS("\"a\"")},
    {"labels are numbers", WITH_LABELS("[1,2]")},
    {"label is a list", WITH_LABELS("[\"a\",[\"r1-3\"]]")},
    {"no labels", TEXT("{" ADDRESS SERVICE STATE ZONE BORN CAPACITY "}")},
    /* Invalid text. */
    {"not JSON", TEXT("\xff\x00\x01")},
    {"string is not UTF-8", WITH_SERVICE("\"\xff\"")},
    {"unpaired surrogate", WITH_SERVICE("\"\\ud800\"")},
    {"NUL in a field name", TEXT("{\"a\\u0000b\":1," SERVICE "}")},
    {"duplicate field",
     TEXT("{" BORN ADDRESS SERVICE STATE ZONE BORN LABELS CAPACITY "}")},
    {"truncated entry", TEXT("{" ADDRESS SERVICE "\"state\":\"rea")},
    {"text after the entry", TEXT(VALID "x")},
    {"null", TEXT("null")},
    {"number", TEXT("1e300")},
    {"string", TEXT("\"ready\"")},
    {"list", TEXT("[" VALID "]")},
    {"NUL bytes", TEXT("\0\0\0")},
    /* Keys. They are sent in a header of every command. */
    {"key of 255 bytes", TEXT(VALID), .valid = true,
     .key = TEXT("0123456789abcdef0123456789abcdef0123456789abcdef0123456789a"
                 "bcdef0123456789abcdef0123456789abcdef0123456789abcdef012345"
                 "6789abcdef0123456789abcdef0123456789abcdef0123456789abcdef0"
                 "123456789abcdef0123456789abcdef0123456789abcdef0123456789ab"
                 "cdef0123456789abcde")},
    {"header injection in a key", TEXT(VALID), .key = TEXT("i-1\r\nX: y")},
    {"NUL in a key", TEXT(VALID), .key = TEXT("i-1\0")},
    {"space in a key", TEXT(VALID), .key = TEXT("i 1")},
    {"key is not ASCII", TEXT(VALID), .key = TEXT("\xc3\xa4")},
};

/* The worker ids received by the stand-in for "schedule". */
typedef struct PhReceivedWorkers {
    GHashTable *current;  /* ids of the current workers */
    GHashTable *received; /* ids of all workers ever received */
    char *log;            /* log of the other tasks, owned */
} PhReceivedWorkers;

/* The scripted store: two pages of the newest entries and two reads. */
typedef struct PhStoreScript {
    PhStr pages[2];
    PhStr after;    /* last key of the first page */
    PhStr reads[2]; /* the first one starts at the end of the pages */
    uint64_t read_offsets[2];
    uint64_t last_read_from; /* start offset of the latest read */
} PhStoreScript;

static void
append_number(PhBuf *out, uint64_t value, int bytes)
{
    for (int i = bytes - 1; i >= 0; i--) {
        PhBuf_AppendByte(out, (char)(value >> (i * BITS_PER_BYTE)));
    }
}

/* Starts the response to a read. */
static PhBuf
read_begin(uint64_t end)
{
    PhBuf out = {0};
    append_number(&out, end, OFFSET_BYTES);
    append_number(&out, 0, OFFSET_BYTES);
    return out;
}

static void
read_add(PhBuf *out, PhStr key, PhStr value)
{
    append_number(out, 1 + key.len + value.len, LENGTH_BYTES);
    PhBuf_AppendByte(out, (char)key.len);
    PhBuf_Append(out, key);
    PhBuf_Append(out, value);
}

static void
page_add(json_t *items, PhStr key, PhStr value)
{
    char *text = g_base64_encode((const guchar *)value.data, value.len);
    json_t *item = json_object();
    json_object_set_new(item, "key", PhJson_String(key));
    json_object_set_new(item, "value", json_string(text));
    json_object_set_new(item, "offset", json_integer(0));
    json_array_append_new(items, item);
    g_free(text);
}

static PhStr
page_make(json_t *items, bool more)
{
    json_t *root = json_object();
    json_object_set_new(root, "items", items);
    json_object_set_new(root, "hasMore", json_boolean(more));
    json_object_set_new(root, "end", json_integer(PAGE_RECORDS));
    PhStr page = PhJson_Write(root);
    json_decref(root);
    return page;
}

/* Returns the requested page. */
static PhStr
page_find(const PhStoreScript *s, const char *target)
{
    const char *after = strstr(target, "after=");
    if (after == NULL) {
        return s->pages[0];
    }
    GBytes *key =
        g_uri_unescape_bytes(after + strlen("after="), -1, NULL, NULL);
    assert_non_null(key);
    assert_true(
        PhStr_Equal(s->after, PhStr_FromBytes(g_bytes_get_data(key, NULL),
                                              g_bytes_get_size(key))));
    g_bytes_unref(key);
    return s->pages[1];
}

/* Stand-in for "http" that answers the task "store". The operators have no
 * records, and none comes later. */
static void
http_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhStoreScript *s = state;
    if (mail->kind != PH_MAIL_MESSAGE) {
        return;
    }
    const PhHttpMessage *m = mail->as.message.body;
    char *target = PhStr_ToC(m->as.send.target);
    const char *from = strstr(target, "from=");
    PhBuf none = read_begin(0);
    PhStr body = PhBuf_Str(&none);
    bool entries = strstr(target, "servers") != NULL;
    PhStr no_records = page_make(json_array(), false);
    if (!entries && from != NULL) {
        PhStr_Clear(&no_records);
        PhBuf_Clear(&none);
        g_free(target);
        return;
    }
    if (!entries) {
        body = no_records;
    }
    else if (from != NULL) {
        s->last_read_from =
            g_ascii_strtoull(from + strlen("from="), NULL, DECIMAL);
        for (size_t i = 0; i < G_N_ELEMENTS(s->reads); i++) {
            body =
                s->last_read_from == s->read_offsets[i] ? s->reads[i] : body;
        }
    }
    else {
        body = page_find(s, target);
    }
    PhHttpMessage reply = {.tag = PH_HTTP_REPLY,
                           .as.reply = {.id = m->as.send.id,
                                        .outcome = PH_HTTP_ANSWERED,
                                        .status = 200,
                                        .body = PhStr_Dup(body)}};
    PhStr_Clear(&no_records);
    PhBuf_Clear(&none);
    g_free(target);
    PhTask_Send(self, mail->from, PhHttpMessage_Wrap(&reply));
}

/* Requests the entries as an owner does and records the workers received. */
static void
schedule_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhReceivedWorkers *workers = state;
    if (mail->kind == PH_MAIL_START) {
        PhScheduleMessage m = {.tag = PH_SCHEDULE_ROLE,
                               .as.role = PH_SCHEDULE_ROLE_OWNER};
        PhTask_SendTo(self, PH_SERVICE_FLEET, PhScheduleMessage_Wrap(&m));
        return;
    }
    const PhScheduleMessage *m = mail->as.message.body;
    if (m->tag == PH_SCHEDULE_WORKER) {
        g_hash_table_add(workers->current, PhStr_KeyCreate(m->as.worker.id));
        g_hash_table_add(workers->received, PhStr_KeyCreate(m->as.worker.id));
    }
    else if (m->tag == PH_SCHEDULE_WORKER_REMOVED) {
        g_hash_table_remove(workers->current, &m->as.removed_worker.id);
    }
}

/* Runs the store and fleet tasks against the scripted store. */
static PhReceivedWorkers
store_script_run(PhStoreScript *script)
{
    PhReceivedWorkers workers;
    PhClock *clock = PhClock_Create(PH_CLOCK_PAUSED);
    PhCounters *counters = PhCounters_Create();
    size_t len;
    FILE *sink = open_memstream(&workers.log, &len);
    PhLog *log = PhLog_Create(sink, PH_LOG_FORMAT_LOGFMT, PH_LEVEL_WARNING);
    PhKernel *kernel = PhKernel_Create(
        &(PhKernelOptions){.clock = clock, .counters = counters, .log = log});
    workers.current = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                            PhStr_KeyDestroy, NULL);
    workers.received = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                             PhStr_KeyDestroy, NULL);
    PhScriptedTask_Spawn(kernel, PH_SERVICE_HTTP, MAILBOX_CAPACITY, script,
                         http_handle);
    assert_int_equal(PhStoreTask_Start(kernel, PhStr_LITERAL("127.0.0.1:1")),
                     PH_STATUS_OK);
    assert_int_equal(PhFleetTask_Start(kernel), PH_STATUS_OK);
    PhScriptedTask_Spawn(kernel, PH_SERVICE_SCHEDULE, MAILBOX_CAPACITY,
                         &workers, schedule_handle);
    PhKernel_AdvanceTo(kernel, FOLLOW_TIME);
    PhKernel_Destroy(kernel);
    PhLog_Destroy(log);
    fclose(sink);
    PhCounters_Destroy(counters);
    PhClock_Destroy(clock);
    return workers;
}

static bool
worker_is_current(const PhReceivedWorkers *workers, const char *id)
{
    PhStr key = PhStr_FromC(id);
    return g_hash_table_contains(workers->current, &key);
}

static void
workers_clear(PhReceivedWorkers *workers)
{
    g_hash_table_destroy(workers->current);
    g_hash_table_destroy(workers->received);
    free(workers->log);
}

/* Places the entry next to valid ones, first at the end of a page and then in
 * a read. In the read it also replaces valid entries, one of which is then
 * restored. */
static void
check_malformed(const PhMalformedCase *c)
{
    json_t *items[] = {json_array(), json_array()};
    PhStr malformed =
        PhRepeatedText_Make(c->head, c->repeat, c->times, c->tail);
    PhStr key = c->key.data == NULL ? PhStr_LITERAL("i-odd") : c->key;
    PhStoreScript script = {.after = key, .read_offsets = {3, 8}};
    PhBuf first = read_begin(8);
    PhBuf second = read_begin(9);
    page_add(items[0], PhStr_LITERAL("i-a"), valid_entry);
    page_add(items[0], key, malformed);
    page_add(items[1], PhStr_LITERAL("i-b"), valid_entry);
    script.pages[0] = page_make(items[0], true);
    script.pages[1] = page_make(items[1], false);
    read_add(&first, PhStr_LITERAL("i-c"), valid_entry);
    read_add(&first, key, malformed);
    read_add(&first, PhStr_LITERAL("i-a"), malformed);
    read_add(&first, PhStr_LITERAL("i-b"), malformed);
    read_add(&first, PhStr_LITERAL("i-d"), valid_entry);
    read_add(&second, PhStr_LITERAL("i-b"), valid_entry);
    script.reads[0] = PhBuf_Str(&first);
    script.reads[1] = PhBuf_Str(&second);
    PhReceivedWorkers workers = store_script_run(&script);
    assert_int_equal(script.last_read_from, 9);
    assert_int_equal(g_hash_table_contains(workers.received, &key), c->valid);
    assert_int_equal(strstr(workers.log, "event=7003 ") == NULL, c->valid);
    assert_int_equal(worker_is_current(&workers, "i-a"),
                     c->valid || c->key.data != NULL);
    assert_true(worker_is_current(&workers, "i-b"));
    assert_true(worker_is_current(&workers, "i-c"));
    assert_true(worker_is_current(&workers, "i-d"));
    workers_clear(&workers);
    PhBuf_Clear(&first);
    PhBuf_Clear(&second);
    PhStr_Clear(&script.pages[0]);
    PhStr_Clear(&script.pages[1]);
    PhStr_Clear(&malformed);
}

/* Guards against malformed entries that add a worker, stop the reader or hide
 * valid entries. */
static void
test_malformed_entries(void **state)
{
    (void)state;
    Ph_RUN_TABLE(malformed_cases, check_malformed);
}

/* Raw records of a read and the offset at which the next read must start. */
typedef struct PhFrameCase {
    const char *name;
    PhStr frames;
    uint64_t next;
} PhFrameCase;

static const PhFrameCase frame_cases[] = {
    {"no records", TEXT(""), 3},
    {"invalid entry", TEXT("\0\0\0\4\2abX"), 4},
    {"empty key", TEXT("\0\0\0\2\0X"), 4},
    {"empty value", TEXT("\0\0\0\2\1a"), 4},
    {"empty key and value", TEXT("\0\0\0\1\0"), 4},
    {"record too short for a key length", TEXT("\0\0\0\0"), 4},
    {"key longer than its record", TEXT("\0\0\0\2\5X"), 4},
    {"two invalid records", TEXT("\0\0\0\0\0\0\0\2\5X"), 5},
    {"invalid record between others", TEXT("\0\0\0\2\1a\0\0\0\0\0\0\0\2\1b"),
     6},
    {"truncated record at the end", TEXT("\0\0\0\2\1a\0\0\0\5\1b"), 4},
    {"truncated length at the end", TEXT("\0\0\0\2\1a\0\0"), 4},
    {"record of 4 GiB", TEXT("\0\0\0\2\1a\xff\xff\xff\xff\1"), 4},
};

/* The next read must return a valid entry. */
static void
check_frame(const PhFrameCase *c)
{
    PhStoreScript script = {.read_offsets = {3, c->next}};
    PhBuf first = read_begin(c->next);
    PhBuf second = read_begin(c->next + 1);
    PhBuf_Append(&first, c->frames);
    read_add(&second, PhStr_LITERAL("i-a"), valid_entry);
    script.pages[0] = page_make(json_array(), false);
    script.reads[c->next == 3] = PhBuf_Str(&first);
    script.reads[1] = PhBuf_Str(&second);
    PhReceivedWorkers workers = store_script_run(&script);
    assert_int_equal(script.last_read_from, c->next + 1);
    assert_true(worker_is_current(&workers, "i-a"));
    workers_clear(&workers);
    PhBuf_Clear(&first);
    PhBuf_Clear(&second);
    PhStr_Clear(&script.pages[0]);
}

/* Guards against malformed records that stop the reader or shift an offset. */
static void
test_frames(void **state)
{
    (void)state;
    Ph_RUN_TABLE(frame_cases, check_frame);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_malformed_entries),
        cmocka_unit_test(test_frames)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
