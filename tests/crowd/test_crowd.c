/* Guards against crowds of untrusted clients that end a process, make it grow
 * beyond its machine, or keep it from answering other clients.
 *
 * Each row starts the processes anew.  The bounds follow from the settings
 * below, not from what was measured:
 *
 *   the program by itself, with a few jobs            9 MB
 *   256 connections with 32 KB for their headers      8 MB
 *   bodies and answers: receive_budget                8 MB
 *   the document that is decoded: 8,192 values        4 MB
 *   16,384 tasks of 200 bytes                         3 MB
 *
 * Afterwards the program and the tasks remain, and what the allocator keeps:
 * not more than the budget. */
#include <inttypes.h>
#include <unistd.h>

#include "crowd.h"
#include "tests/table.h"

static const char LIMITS[] = "request_body = 256KB\nconnections = 256\n"
                             "memory = 64MB\nreceive_budget = 8MB\n"
                             "header_time = 3s\njson_values = 8192\n"
                             "active_tasks = 16384\n";

enum {
    KB = 1024,
    MB_IN_KB = 1024,
    PEAK_MAX_KB = 32 * MB_IN_KB,
    RELEASED_MAX_KB = 20 * MB_IN_KB,
    /* 256 clients, 64 readiness checks, 64 links in the handshake, and 64 for
     * the program by itself. */
    DESCRIPTORS_MAX = 448,
    BODY_BYTES = 256 * KB, /* request_body */
    SENT_BYTES = 262000,   /* just short of it */
    CHUNK_BYTES = 32 * KB,
    TINY_CHUNKS = 200000,
    BEYOND_CHUNKS = 31, /* just short of four times request_body */
    HEADER_BYTES = 12 * KB,
    PIPELINED = 500,
    OBJECTS = 87000, /* "{}," */
    DEPTH = 2000,
    STEPS = 4000,
    SPECIFICATION_REST = 12000, /* a record in the store has to hold it */
    STATUS_OK = 200,
    TRIES = 100,
    UNANSWERED_MAX = 8, /* calls of 3 s each: several times header_time */
    TRY_US = 100 * 1000,
};

#define POST                                                                  \
    "POST /jobs/%016x HTTP/1.1\r\nHost: jobs.example\r\n"                     \
    "Peridothill-Request-Deadline: 3000\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

static void
append_bytes(GString *s, size_t count)
{
    gsize len = s->len;
    g_string_set_size(s, len + count);
    memset(s->str + len, 'x', count);
}

/* A whole request with this body. */
static GString *
text_of_body(unsigned index, const GString *body)
{
    GString *s = g_string_new(NULL);
    g_string_printf(s, POST "Content-Length: %zu\r\n\r\n", index + 1,
                    body->len);
    g_string_append_len(s, body->str, (gssize)body->len);
    return s;
}

static GString *
text_declared(unsigned index)
{
    GString *s = g_string_new(NULL);
    g_string_printf(s, POST "Content-Length: %d\r\n\r\n", index + 1,
                    BODY_BYTES);
    append_bytes(s, SENT_BYTES);
    return s;
}

static GString *
text_halfway(unsigned index)
{
    GString *s = text_declared(index);
    g_string_truncate(s, s->len / 2);
    return s;
}

/* The first byte of a small body. */
static GString *
text_one_byte(unsigned index)
{
    GString *s = g_string_new(NULL);
    g_string_printf(s, POST "Content-Length: 100\r\n\r\n{", index + 1);
    return s;
}

static void
append_chunks(GString *s, unsigned count, size_t bytes)
{
    for (unsigned i = 0; i < count; i++) {
        g_string_append_printf(s, "%zx\r\n", bytes);
        append_bytes(s, bytes);
        g_string_append(s, "\r\n");
    }
}

static GString *
text_chunks(unsigned index)
{
    GString *s = g_string_new(NULL);
    g_string_printf(s, POST CHUNKED, index + 1);
    append_chunks(s, BODY_BYTES / CHUNK_BYTES, CHUNK_BYTES);
    return s;
}

static GString *
text_tiny_chunks(unsigned index)
{
    GString *s = g_string_new(NULL);
    g_string_printf(s, POST CHUNKED, index + 1);
    append_chunks(s, TINY_CHUNKS, 1);
    return s;
}

static GString *
text_beyond(unsigned index)
{
    GString *s = g_string_new(NULL);
    g_string_printf(s, POST CHUNKED, index + 1);
    append_chunks(s, BEYOND_CHUNKS, CHUNK_BYTES);
    return s;
}

static GString *
text_headers(unsigned index)
{
    GString *s = g_string_new(NULL);
    g_string_printf(s, POST "X-Long: ", index + 1);
    append_bytes(s, HEADER_BYTES);
    return s;
}

/* Pipelined calls whose answers are not read. */
static GString *
text_calls(unsigned index)
{
    GString *s = g_string_new(NULL);
    (void)index;
    for (int i = 0; i < PIPELINED; i++) {
        g_string_append(s,
                        "GET /jobs/ HTTP/1.1\r\nHost: jobs.example\r\n\r\n");
    }
    return s;
}

static GString *
text_metrics(unsigned index)
{
    GString *s = g_string_new(NULL);
    (void)index;
    for (int i = 0; i < PIPELINED; i++) {
        g_string_append(s, "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    return s;
}

static GString *
text_of_json(unsigned index, const char *begin, const char *part,
             unsigned count, const char *end)
{
    GString *body = g_string_new(begin);
    for (unsigned i = 0; i < count; i++) {
        g_string_append(body, part);
    }
    g_string_append(body, end);
    GString *s = text_of_body(index, body);
    g_string_free(body, TRUE);
    return s;
}

static GString *
text_objects(unsigned index)
{
    return text_of_json(index,
                        "{\"spec\":\"work\",\"steps\":[{\"count\":1}],"
                        "\"more\":[",
                        "{},", OBJECTS, "{}]}");
}

/* Arrays within each other, side by side. */
static GString *
text_nested(unsigned index)
{
    GString *part = g_string_new(NULL);
    for (int i = 0; i < DEPTH; i++) {
        g_string_append_c(part, '[');
    }
    for (int i = 0; i < DEPTH; i++) {
        g_string_append_c(part, ']');
    }
    g_string_append_c(part, ',');
    GString *s =
        text_of_json(index, "{\"steps\":[", part->str,
                     (unsigned)((SENT_BYTES - 64) / part->len), "1]}");
    g_string_free(part, TRUE);
    return s;
}

static GString *
text_steps(unsigned index)
{
    return text_of_json(index, "{\"spec\":\"work\",\"steps\":[",
                        "{\"count\":1,\"cpu\":500,\"memMb\":1,\"after\":[]},",
                        STEPS, "{\"count\":1}]}");
}

/* A valid job of 4,000 tasks; no worker has room for them. */
static GString *
text_tasks(unsigned index)
{
    return text_of_json(index,
                        "{\"spec\":\"work\",\"steps\":[{\"count\":4000,"
                        "\"cpu\":2000000000,\"longRunning\":true}",
                        "", 0, "]}");
}

/* The length of a frame, and less than that of its body. */
static GString *
text_frame(unsigned index)
{
    GString *s = g_string_new(NULL);
    (void)index;
    g_string_append_len(s, "\0\0\x01\xff", 4);
    append_bytes(s, KB / 2 - 2);
    return s;
}

/* A length that no greeting has, and as many bytes. */
static GString *
text_large_frame(unsigned index)
{
    GString *s = g_string_new(NULL);
    (void)index;
    g_string_append_len(s, "\x7f\xff\xff\xff", 4);
    append_bytes(s, SENT_BYTES);
    return s;
}

/* A valid job whose specification takes nearly the whole body. */
static GString *
text_specification(unsigned index)
{
    GString *body = g_string_new("{\"spec\":\"");
    append_bytes(body, SENT_BYTES - SPECIFICATION_REST);
    g_string_append(body, "\",\"steps\":[{\"count\":1,\"cpu\":500}]}");
    GString *s = text_of_body(index, body);
    g_string_free(body, TRUE);
    return s;
}

typedef struct PhCrowdCase {
    const char *name;
    PhCrowdPlan plan;
} PhCrowdCase;

static const PhCrowdCase cases[] = {
    {"declared length, sent whole",
     {PH_CROWD_CLIENTS, 200, text_declared, .same_text = true}},
    {"declared length, the end byte by byte",
     {PH_CROWD_CLIENTS, 200, text_declared, true, .bytewise = 500}},
    {"large chunks", {PH_CROWD_CLIENTS, 200, text_chunks, .same_text = true}},
    {"tiny chunks",
     {PH_CROWD_CLIENTS, 200, text_tiny_chunks, .same_text = true}},
    {"chunks beyond the limit",
     {PH_CROWD_CLIENTS, 200, text_beyond, .same_text = true}},
    {"headers that never end",
     {PH_CROWD_CLIENTS, 300, text_headers, .same_text = true}},
    {"connections that send nothing", {PH_CROWD_CLIENTS, 300}},
    {"clients that close halfway",
     {PH_CROWD_CLIENTS, 200, text_halfway, true, .reopened = 3}},
    {"answers that are never read",
     {PH_CROWD_CLIENTS, 200, text_calls, true, .never_reads = true}},
    {"many JSON objects",
     {PH_CROWD_CLIENTS, 100, text_objects, .same_text = true}},
    {"nested JSON", {PH_CROWD_CLIENTS, 100, text_nested, .same_text = true}},
    {"thousands of steps",
     {PH_CROWD_CLIENTS, 100, text_steps, .same_text = true}},
    {"jobs with thousands of tasks", {PH_CROWD_CLIENTS, 100, text_tasks}},
    {"jobs with large specifications",
     {PH_CROWD_CLIENTS, 200, text_specification}},
    {"readiness: declared length",
     {PH_CROWD_READY, 100, text_declared, .same_text = true}},
    {"readiness: headers that never end",
     {PH_CROWD_READY, 100, text_headers, .same_text = true}},
    {"readiness: connections that send nothing", {PH_CROWD_READY, 100}},
    {"readiness: answers that are never read",
     {PH_CROWD_READY, 60, text_metrics, true, .never_reads = true}},
    {"one byte of a body",
     {PH_CROWD_CLIENTS, 300, text_one_byte, .same_text = true}},
    {"readiness: one byte of a body",
     {PH_CROWD_READY, 100, text_one_byte, .same_text = true}},
    {"answers that are never read, beyond the limit",
     {PH_CROWD_CLIENTS, 300, text_calls, true, .never_reads = true}},
    {"readiness: answers that are never read, beyond the limit",
     {PH_CROWD_READY, 100, text_metrics, true, .never_reads = true}},
    {"links: connections that send nothing", {PH_CROWD_LINK, 200}},
    {"links: frames that never end",
     {PH_CROWD_LINK, 200, text_frame, true, .bytewise = 100}},
    {"links: frames that are too long",
     {PH_CROWD_LINK, 200, text_large_frame, .same_text = true}},
};

static PhCrowdProcesses processes;

/* Repeats a call until its answer has the status 200. */
static bool
is_answered(PhCrowdListener listener, const char *request)
{
    int unanswered = 0;
    for (int i = 0; i < TRIES && unanswered < UNANSWERED_MAX; i++) {
        int status = PhCrowdProcesses_Call(&processes, listener, request);
        if (status == STATUS_OK) {
            return true;
        }
        unanswered += status == 0;
        usleep(TRY_US);
    }
    return false;
}

/* Makes the ordinary calls: a job, its state, and a readiness check. */
static void
check_calls(const char *when, unsigned id)
{
    static const char body[] =
        "{\"spec\":\"work\",\"steps\":[{\"count\":1,\"cpu\":500}]}";
    char *post =
        g_strdup_printf(POST "Connection: close\r\nContent-Length: %zu\r\n"
                             "\r\n%s",
                        id, sizeof(body) - 1, body);
    char *get = g_strdup_printf("GET /jobs/%016x HTTP/1.1\r\n"
                                "Host: jobs.example\r\n"
                                "Connection: close\r\n\r\n",
                                id);
    print_message("# calls %s\n", when);
    assert_true(is_answered(PH_CROWD_CLIENTS, post));
    assert_true(is_answered(PH_CROWD_CLIENTS, get));
    assert_true(is_answered(PH_CROWD_READY,
                            "GET /api/ready HTTP/1.1\r\nHost: a\r\n"
                            "Connection: close\r\n\r\n"));
    g_free(post);
    g_free(get);
}

static void
check_use(const char *when)
{
    PhCrowdUse use = PhCrowdProcesses_Use(&processes);
    print_message("# %s: resident %" PRIu64 " KB, peak %" PRIu64
                  " KB, descriptors %" PRIu64 "\n",
                  when, use.resident_kb, use.peak_kb, use.descriptors);
    assert_true(PhCrowdProcesses_IsAlive(&processes));
    assert_true(use.resident_kb > 0);
    assert_in_range(use.resident_kb, 0, PEAK_MAX_KB);
    assert_in_range(use.peak_kb, 0, PEAK_MAX_KB);
    assert_in_range(use.descriptors, 1, DESCRIPTORS_MAX);
}

/* The allocator may give memory back some time after the last connection. */
static void
check_released(void)
{
    PhCrowdUse use = PhCrowdProcesses_Use(&processes);
    for (int i = 0; i < TRIES && use.resident_kb > RELEASED_MAX_KB; i++) {
        usleep(TRY_US);
        use = PhCrowdProcesses_Use(&processes);
    }
    print_message("# released: resident %" PRIu64 " KB\n", use.resident_kb);
    assert_in_range(use.resident_kb, 1, RELEASED_MAX_KB);
}

static void
test_row(void **state)
{
    const PhCrowdCase *c = *state;
    PhCrowdProcesses_Start(&processes, LIMITS);
    check_calls("before", 0xa1);
    check_use("before");
    PhCrowd *crowd = PhCrowd_Play(&c->plan, processes.ports[c->plan.listener]);
    check_use("crowd");
    check_calls("beside the crowd", 0xa2);
    check_use("beside the crowd");
    PhCrowd_Destroy(crowd);
    check_calls("afterwards", 0xa3);
    check_use("afterwards");
    check_released();
}

static int
row_teardown(void **state)
{
    (void)state;
    PhCrowdProcesses_Stop(&processes);
    return 0;
}

/* An argument selects the rows whose names contain it. */
int
main(int argc, char **argv)
{
    struct CMUnitTest tests[G_N_ELEMENTS(cases)];
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        tests[i] = (struct CMUnitTest){.name = cases[i].name,
                                       .test_func = test_row,
                                       .teardown_func = row_teardown,
                                       .initial_state = (void *)&cases[i]};
    }
    if (argc > 1) {
        char *pattern = g_strdup_printf("*%s*", argv[1]);
        cmocka_set_test_filter(pattern);
    }
    return cmocka_run_group_tests(tests, NULL, NULL);
}
