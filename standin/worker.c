#include <inttypes.h>

#include "peridothill/standin/standin.h"
#include "server.h"

enum {
    BODY_LIMIT_BYTES = 1024 * 1024,
    STATUS_OK = 200,
    STATUS_FAILED = 500,
};

/* A request in service.  A timer with `number` as its token answers it. */
typedef struct PhPendingRequest {
    uint64_t number;
    uint64_t exchange;
    PhStr answer;
} PhPendingRequest;

typedef struct PhWorkerTask {
    PhServer *server;
    PhStandinWorkerState *shared;
    PhFakeWorker *slots;
    PhStandinTasks *tasks;
    GHashTable *pending; /* PhPendingRequest by number */
    uint64_t next_number;
} PhWorkerTask;

static void
pending_destroy(gpointer value)
{
    PhPendingRequest *p = value;
    PhStr_Clear(&p->answer);
    g_free(p);
}

/* Counts an execution of a request by its id. */
static uint64_t
count_run(PhWorkerTask *w, PhStr id)
{
    gpointer runs = g_hash_table_lookup(w->shared->runs, &id);
    uint64_t count = GPOINTER_TO_SIZE(runs) + 1;
    if (id.len > 0) {
        g_hash_table_insert(w->shared->runs, PhStr_KeyCreate(id),
                            GSIZE_TO_POINTER(count));
    }
    return count;
}

/* The answer names the worker and repeats the request. */
static PhStr
answer_text(PhWorkerTask *w, const PhIncoming *incoming, PhStr id,
            uint64_t runs)
{
    PhBuf text = {0};
    PhBuf_AppendFormat(&text,
                       "{\"worker\":\"%.*s\",\"path\":\"%.*s\",\"id\":\"%.*s\""
                       ",\"runs\":%" PRIu64 ",\"body\":",
                       PhStr_ARG(w->shared->id), PhStr_ARG(incoming->path),
                       PhStr_ARG(id), runs);
    if (incoming->body.len > 0) {
        PhBuf_Append(&text, incoming->body);
    }
    else {
        PhBuf_Append(&text, PhStr_LITERAL("null"));
    }
    PhBuf_AppendByte(&text, '}');
    return PhBuf_Take(&text);
}

static void
serve(PhWorkerTask *w, const PhIncoming *incoming)
{
    PhStr id = PhHttpHeader_Find(incoming->headers, incoming->header_count,
                                 PhStr_LITERAL("X-Request-Id"));
    PhTime now = PhTask_Now(w->server->self);
    PhPendingRequest *p = g_new0(PhPendingRequest, 1);
    p->number = ++w->next_number;
    p->exchange = incoming->id;
    p->answer = answer_text(w, incoming, id, count_run(w, id));
    g_hash_table_insert(w->pending, &p->number, p);
    PhTask_SetTimer(w->server->self, p->number,
                    PhFakeWorker_Serve(w->slots, now, NULL));
}

/* Executes a command for tasks. */
static void
command(PhWorkerTask *w, const PhIncoming *incoming)
{
    PhBuf answer = {0};
    int status = PhStandinTasks_Handle(w->tasks, PhTask_Now(w->server->self),
                                       incoming->method, incoming->path,
                                       incoming->body, &answer);
    PhListener_Answer(w->server->listener, incoming->id, status, NULL, 0,
                      PhBuf_Str(&answer));
    PhBuf_Clear(&answer);
}

static void
on_request(void *context, const PhIncoming *incoming)
{
    PhWorkerTask *w = context;
    if (PhStr_Equal(incoming->path, PhStr_LITERAL("/tasks")) ||
        PhStr_StartsWith(incoming->path, PhStr_LITERAL("/tasks/"))) {
        command(w, incoming);
        return;
    }
    w->shared->requests++;
    w->shared->last_request = PhTask_Now(w->server->self);
    switch (w->shared->fault) {
    case PH_STANDIN_HEALTHY:
        serve(w, incoming);
        break;
    case PH_STANDIN_SILENT:
        count_run(w,
                  PhHttpHeader_Find(incoming->headers, incoming->header_count,
                                    PhStr_LITERAL("X-Request-Id")));
        break;
    case PH_STANDIN_FAILS_FAST:
        PhListener_Answer(w->server->listener, incoming->id, STATUS_FAILED,
                          NULL, 0, PhStr_LITERAL("{}"));
        break;
    case PH_STANDIN_CLOSES_CONNECTION:
        count_run(w,
                  PhHttpHeader_Find(incoming->headers, incoming->header_count,
                                    PhStr_LITERAL("X-Request-Id")));
        PhListener_Drop(w->server->listener, incoming->id);
        break;
    }
}

static void
on_served(void *context, uint64_t number)
{
    PhWorkerTask *w = context;
    const PhPendingRequest *p = g_hash_table_lookup(w->pending, &number);
    if (p != NULL) {
        PhListener_Answer(w->server->listener, p->exchange, STATUS_OK, NULL, 0,
                          p->answer);
        g_hash_table_remove(w->pending, &number);
    }
}

static void
worker_destroy(void *state)
{
    PhWorkerTask *w = state;
    g_hash_table_destroy(w->pending);
    PhFakeWorker_Destroy(w->slots);
    w->shared->tasks = NULL;
    PhStandinTasks_Destroy(w->tasks);
    g_free(w);
}

PhResult
PhStandinWorker_Start(PhKernel *kernel, const PhStandinWorkerOptions *options,
                      uint16_t *port)
{
    PhWorkerTask *w = g_new0(PhWorkerTask, 1);
    PhFakeWorkerOptions slots = {.seed = options->seed,
                                 .slots = options->state->slots,
                                 .service_mean = options->state->service_mean,
                                 .service_fixed_share = 0.5};
    w->shared = options->state;
    w->slots = PhFakeWorker_Create(&slots);
    w->tasks = PhStandinTasks_Create(options->seed, options->capacity);
    w->shared->tasks = w->tasks;
    w->pending = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                       pending_destroy);
    PhServerOptions server = {.name = options->name,
                              .listen = options->listen,
                              .body_limit_bytes = BODY_LIMIT_BYTES,
                              .context = w,
                              .on_request = on_request,
                              .on_timer = on_served,
                              .destroy = worker_destroy};
    return PhServer_Start(kernel, &server, &w->server, port);
}
