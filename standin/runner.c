/* Stand-in for a worker of the platform: executes orders to runs under a
 * lease, and keeps ends until they are acknowledged. */
#include <inttypes.h>
#include <string.h>

#include "peridothill/codec/json.h"
#include "peridothill/standin/platform.h"
#include "server.h"

enum {
    STATUS_OK = 200,
    STATUS_BAD_REQUEST = 400,
    STATUS_NOT_FOUND = 404,
    STATUS_CONFLICT = 409,
    STATUS_OTHER_INSTANCE = 421,
    BODY_LIMIT_BYTES = 64 * 1024,
    TICK_TOKEN = 1,
    TICK_MS = 5,
    CPU_MILLI = 64000,
    MEM_MB = 256000,
    PERCENT = 100,
    LEASE_MAX_MS = 10000,
};

/* Header with the id of the worker that an order is meant for. */
#define EXPECTED PhStr_LITERAL("Peridothill-Expect-Instance")

typedef struct PhRunnerRun {
    PhStr task;
    int64_t run;
    PhTime ends_at;
    bool stopping;
} PhRunnerRun;

/* An end that is not acknowledged yet. */
typedef struct PhRunnerEnd {
    int64_t number;
    PhStr task;
    int64_t run;
    const char *how;
    bool lease_expired; /* afterwards, before it was acknowledged */
} PhRunnerEnd;

typedef struct PhRunner {
    PhServer *server;
    PhStr id;
    PhTime run_time;
    const bool *ignores_starts;     /* borrowed, may be NULL */
    const bool *closes_connections; /* the same */
    FILE *events;                   /* borrowed, may be NULL */
    int64_t born_ms;
    int clock_percent;
    PhTime started_at;
    int64_t fence;
    int64_t deadline_ms;
    int64_t next_end;
    GArray *runs;          /* PhRunnerRun */
    GArray *ends;          /* PhRunnerEnd */
    GHashTable *highest;   /* task to the highest run stopped or ended */
    uint64_t waiting_hold; /* id of a hold that waits for an end, 0 for none */
    PhTime wait_until;
} PhRunner;

/* The worker's clock; it begins with the kernel's and may be slower. */
static int64_t
clock_ms(const PhRunner *r)
{
    PhTime age = PhTask_Now(r->server->self) - r->started_at;
    return (r->started_at + age / PERCENT * r->clock_percent) / PH_NS_PER_MS;
}

/* Time by the kernel's clock at which the worker's clock shows `ms`. */
static PhTime
time_of_clock(const PhRunner *r, int64_t ms)
{
    return r->started_at +
           (ms * PH_NS_PER_MS - r->started_at) / r->clock_percent * PERCENT;
}

/* Writes a line: time in ms, what happened, task, run. */
static void
event_write(const PhRunner *r, PhTime at, const char *what, PhStr task,
            int64_t run)
{
    if (r->events != NULL) {
        fprintf(r->events, "%" PRId64 " %s %.*s %" PRId64 "\n",
                at / PH_NS_PER_MS, what, PhStr_ARG(task), run);
        fflush(r->events);
    }
}

static void
answer_send(PhRunner *r, uint64_t id, int status, PhBuf *body)
{
    if (r->closes_connections != NULL && *r->closes_connections) {
        PhListener_CloseAfterAnswers(r->server->listener);
    }
    PhListener_Answer(r->server->listener, id, status, NULL, 0,
                      PhBuf_Str(body));
    PhBuf_Clear(body);
}

/* `reason` may be NULL. */
static void
answer(PhRunner *r, uint64_t id, int status, const char *reason)
{
    PhBuf body = {0};
    PhBuf_AppendFormat(&body, "{\"clockMs\":%" PRId64, clock_ms(r));
    if (reason != NULL) {
        PhBuf_AppendFormat(&body, ",\"reason\":\"%s\"", reason);
    }
    PhBuf_AppendByte(&body, '}');
    answer_send(r, id, status, &body);
}

/* Answers a hold with the runs and ends. */
static void
answer_lists(PhRunner *r, uint64_t id)
{
    PhBuf body = {0};
    PhBuf_AppendFormat(&body, "{\"clockMs\":%" PRId64 ",\"running\":[",
                       clock_ms(r));
    for (guint i = 0; i < r->runs->len; i++) {
        const PhRunnerRun *run = &g_array_index(r->runs, PhRunnerRun, i);
        PhBuf_AppendFormat(&body, "%s[\"%.*s\",%" PRId64 ",\"\",100,0]",
                           i > 0 ? "," : "", PhStr_ARG(run->task), run->run);
    }
    PhBuf_Append(&body, PhStr_LITERAL("],\"endedRuns\":["));
    for (guint i = 0; i < r->ends->len; i++) {
        const PhRunnerEnd *end = &g_array_index(r->ends, PhRunnerEnd, i);
        PhBuf_AppendFormat(&body,
                           "%s[%" PRId64 ",\"%.*s\",%" PRId64 ",\"%s\",\"\"]",
                           i > 0 ? "," : "", end->number, PhStr_ARG(end->task),
                           end->run, end->how);
    }
    PhBuf_AppendFormat(&body, "],\"born\":%" PRId64 "}", r->born_ms);
    answer_send(r, id, STATUS_OK, &body);
}

/* Records a run that was stopped or has ended. */
static void
record_highest(PhRunner *r, PhStr task, int64_t run)
{
    gpointer known = g_hash_table_lookup(r->highest, &task);
    if (GPOINTER_TO_INT(known) < run) {
        g_hash_table_replace(r->highest, PhStr_KeyCreate(task),
                             GINT_TO_POINTER((gint)run));
    }
}

/* Ends finished runs, and all runs if the lease has expired. */
static void
end_runs(PhRunner *r)
{
    PhTime now = PhTask_Now(r->server->self);
    bool lease_expired = clock_ms(r) > r->deadline_ms;
    for (guint i = 0; i < r->ends->len && lease_expired; i++) {
        g_array_index(r->ends, PhRunnerEnd, i).lease_expired = true;
    }
    for (guint i = r->runs->len; i-- > 0;) {
        PhRunnerRun *run = &g_array_index(r->runs, PhRunnerRun, i);
        if (run->ends_at > now && !lease_expired) {
            continue;
        }
        PhRunnerEnd end = {.number = ++r->next_end,
                           .task = run->task,
                           .run = run->run,
                           .how = run->stopping ? "stopped" : "done"};
        /* A run that was due before the lease expired is done, also when the
         * worker was suspended in between. */
        PhTime lapse = time_of_clock(r, r->deadline_ms);
        if (lease_expired && run->ends_at > lapse) {
            end.how = "lapsed";
        }
        end.lease_expired = lease_expired;
        event_write(r, MIN(run->ends_at, lease_expired ? lapse : now), end.how,
                    run->task, run->run);
        record_highest(r, run->task, run->run);
        g_array_append_val(r->ends, end);
        g_array_remove_index(r->runs, i);
    }
}

/* Ends runs, and answers the waiting hold if there are ends or its wait is
 * over. */
static void
tick(PhRunner *r)
{
    PhTime now = PhTask_Now(r->server->self);
    end_runs(r);
    if (r->waiting_hold != 0 && (r->ends->len > 0 || now >= r->wait_until)) {
        uint64_t id = r->waiting_hold;
        r->waiting_hold = 0;
        answer_lists(r, id);
    }
    PhTask_SetTimer(r->server->self, TICK_TOKEN, now + TICK_MS * PH_NS_PER_MS);
}

/* Never shortens the lease; a longer one than allowed is cut. */
static void
lease_extend(PhRunner *r, int64_t deadline_ms)
{
    int64_t latest = clock_ms(r) + LEASE_MAX_MS;
    r->deadline_ms = MAX(r->deadline_ms, MIN(deadline_ms, latest));
}

static void
on_start(PhRunner *r, uint64_t id, const json_t *body)
{
    PhStr task = PhJson_GetStr(body, "task");
    int64_t run = PhJson_GetInt(body, "run", 0);
    int64_t deadline_ms = PhJson_GetInt(body, "deadlineMs", 0);
    bool lasting =
        PhStr_Equal(PhJson_GetStr(body, "spec"), PhStr_LITERAL("lasting"));
    PhTime now = PhTask_Now(r->server->self);
    if (r->ignores_starts != NULL && *r->ignores_starts) {
        return;
    }
    for (guint i = 0; i < r->runs->len; i++) {
        const PhRunnerRun *known = &g_array_index(r->runs, PhRunnerRun, i);
        if (PhStr_Equal(known->task, task) && known->run == run) {
            answer(r, id, STATUS_OK, NULL);
            return;
        }
    }
    if (run <= GPOINTER_TO_INT(g_hash_table_lookup(r->highest, &task))) {
        answer(r, id, STATUS_CONFLICT, "old");
        return;
    }
    if (deadline_ms < clock_ms(r)) {
        answer(r, id, STATUS_CONFLICT, "late");
        return;
    }
    PhRunnerRun new_run = {.task = PhStr_Dup(task),
                           .run = run,
                           .ends_at =
                               lasting ? PH_TIME_NEVER : now + r->run_time};
    lease_extend(r, deadline_ms);
    g_array_append_val(r->runs, new_run);
    event_write(r, now, "start", task, run);
    answer(r, id, STATUS_OK, NULL);
}

static void
on_stop(PhRunner *r, uint64_t id, const json_t *body)
{
    PhStr task = PhJson_GetStr(body, "task");
    int64_t run = PhJson_GetInt(body, "run", 0);
    for (guint i = 0; i < r->runs->len; i++) {
        PhRunnerRun *known = &g_array_index(r->runs, PhRunnerRun, i);
        if (PhStr_Equal(known->task, task) && known->run == run) {
            known->stopping = true;
            known->ends_at = PhTask_Now(r->server->self);
        }
    }
    record_highest(r, task, run);
    answer(r, id, STATUS_OK, NULL);
}

/* Only one hold waits at a time; a second one is answered immediately. */
static void
on_hold(PhRunner *r, uint64_t id, const json_t *body)
{
    int64_t seen = PhJson_GetInt(body, "lastSeen", 0);
    int64_t wait_ms = PhJson_GetInt(body, "waitMs", 0);
    lease_extend(r, PhJson_GetInt(body, "deadlineMs", 0));
    while (r->ends->len > 0 &&
           g_array_index(r->ends, PhRunnerEnd, 0).number <= seen) {
        PhRunnerEnd *end = &g_array_index(r->ends, PhRunnerEnd, 0);
        if (strcmp(end->how, "done") == 0 && !end->lease_expired) {
            event_write(r, PhTask_Now(r->server->self), "noted", end->task,
                        end->run);
        }
        PhStr_Clear(&end->task);
        g_array_remove_index(r->ends, 0);
    }
    if (wait_ms == 0 || r->ends->len > 0 || r->waiting_hold != 0) {
        answer_lists(r, id);
        return;
    }
    r->waiting_hold = id;
    r->wait_until = PhTask_Now(r->server->self) + wait_ms * PH_NS_PER_MS;
}

/* Orders with a fence below the highest one seen are refused. */
static void
on_order(PhRunner *r, const PhIncoming *in, const json_t *body)
{
    int64_t fence = PhJson_GetInt(body, "fence", 0);
    if (fence < r->fence) {
        answer(r, in->id, STATUS_CONFLICT, "fence");
        return;
    }
    r->fence = fence;
    if (PhStr_Equal(in->path, PhStr_LITERAL("/api/run-start"))) {
        on_start(r, in->id, body);
    }
    else if (PhStr_Equal(in->path, PhStr_LITERAL("/api/run-stop"))) {
        on_stop(r, in->id, body);
    }
    else if (PhStr_Equal(in->path, PhStr_LITERAL("/api/hold"))) {
        on_hold(r, in->id, body);
    }
    else if (PhStr_Equal(in->path, PhStr_LITERAL("/api/pace"))) {
        answer(r, in->id, STATUS_OK, NULL);
    }
    else {
        answer(r, in->id, STATUS_NOT_FOUND, NULL);
    }
}

static void
on_request(void *context, const PhIncoming *in)
{
    PhRunner *r = context;
    json_t *body;
    PhStr worker = PhHttpHeader_Find(in->headers, in->header_count, EXPECTED);
    if (worker.len > 0 && !PhStr_Equal(worker, r->id)) {
        answer(r, in->id, STATUS_OTHER_INSTANCE, NULL);
        return;
    }
    PhResult parsed = PhJson_Parse(in->body, &body);
    if (!PhResult_IsOk(&parsed)) {
        answer(r, in->id, STATUS_BAD_REQUEST, NULL);
        return;
    }
    end_runs(r);
    on_order(r, in, body);
    json_decref(body);
}

static void
on_client_disconnect(void *context, uint64_t id)
{
    PhRunner *r = context;
    if (r->waiting_hold == id) {
        r->waiting_hold = 0;
    }
}

static void
on_timer(void *context, uint64_t token)
{
    (void)token;
    tick(context);
}

static void
runner_destroy(void *context)
{
    PhRunner *r = context;
    for (guint i = 0; i < r->runs->len; i++) {
        PhStr_Clear(&g_array_index(r->runs, PhRunnerRun, i).task);
    }
    for (guint i = 0; i < r->ends->len; i++) {
        PhStr_Clear(&g_array_index(r->ends, PhRunnerEnd, i).task);
    }
    g_array_free(r->runs, TRUE);
    g_array_free(r->ends, TRUE);
    g_hash_table_destroy(r->highest);
    PhStr_Clear(&r->id);
    g_free(r);
}

static void
store_entry(const PhRunner *r, const PhStandinRunnerOptions *options,
            uint16_t port)
{
    PhBuf entry = {0};
    PhBuf_AppendFormat(
        &entry,
        "{\"service\":\"%.*s\",\"address\":\"127.0.0.1:%u\","
        "\"state\":\"ready\",\"zone\":\"bacolod\",\"capacity\":{\"cpu\":%d,"
        "\"memMb\":%d,\"gpu\":0},\"labels\":[\"a\",\"r1-1\"],"
        "\"born\":%" PRId64 ",\"seq\":1}",
        PhStr_ARG(options->service), port, CPU_MILLI, MEM_MB, r->born_ms);
    PhStandinStoreState_Put(options->store, PhStr_LITERAL("keyed.servers"),
                            r->id, PhBuf_Str(&entry));
    PhBuf_Clear(&entry);
}

PhResult
PhStandinRunner_Start(PhKernel *kernel, const PhStandinRunnerOptions *options)
{
    PhRunner *r = g_new0(PhRunner, 1);
    uint16_t port = 0;
    r->id = PhStr_Dup(options->id);
    r->run_time = options->run_time;
    r->ignores_starts = options->ignores_starts;
    r->closes_connections = options->closes_connections;
    r->events = options->events;
    r->born_ms = options->born_ms != 0 ? options->born_ms : 1;
    r->clock_percent =
        options->clock_percent != 0 ? options->clock_percent : PERCENT;
    r->started_at = PhKernel_Now(kernel);
    r->runs = g_array_new(FALSE, TRUE, sizeof(PhRunnerRun));
    r->ends = g_array_new(FALSE, TRUE, sizeof(PhRunnerEnd));
    r->highest = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                       PhStr_KeyDestroy, NULL);
    PhServerOptions server = {.name = options->id,
                              .listen = options->listen.len > 0
                                            ? options->listen
                                            : PhStr_LITERAL("127.0.0.1:0"),
                              .body_limit_bytes = BODY_LIMIT_BYTES,
                              .context = r,
                              .on_request = on_request,
                              .on_client_disconnect = on_client_disconnect,
                              .on_timer = on_timer,
                              .destroy = runner_destroy};
    PhResult result = PhServer_Start(kernel, &server, &r->server, &port);
    if (PhResult_IsOk(&result)) {
        if (options->store != NULL) {
            store_entry(r, options, port);
        }
        tick(r);
    }
    return result;
}
