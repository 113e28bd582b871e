/* The task that calls the instances as clients do, over connections that stay
 * open: submits jobs, queries and cancels them, and asks for the number of
 * pending ones.  Calls without an outcome are repeated elsewhere. */
#include <inttypes.h>
#include <string.h>

#include "peridothill/codec/json.h"
#include "peridothill/services/http.h"
#include "peridothill/services/interface.h"
#include "soak.h"

enum {
    MAILBOX_CAPACITY = 16384,
    TICK_TOKEN = 1,
    TICK_MS = 40,
    CALL_MS = 4000,
    RETRY_MS = 250,
    ANSWER_BYTES_MAX = 65536,
    STATUS_OK = 200,
    STATUS_GONE = 410,
    LASTING_JOBS_FIRST = 8,
    LASTING_TASKS = 3,
    PLAIN_TASKS = 6,
    FINAL_MS = 8000,
    FINAL_CALLS_PER_TICK = 8,
    /* Calls begin once the instances have had time to start. */
    WARM_UP_MS = 1500,
};

static const double CHANCE_SUBMIT = 0.3;
static const double CHANCE_QUERY = 0.4;
static const double CHANCE_CANCEL = 0.05;
static const double CHANCE_LASTING = 0.05;

typedef enum PhCallKind {
    CALL_SUBMIT,
    CALL_CANCEL,
    CALL_QUERY,
    CALL_FINAL,
    CALL_PENDING,
} PhCallKind;

typedef struct PhCall {
    PhCallKind kind;
    uint32_t job;
    uint32_t instance;
    PhTime sent_at;
} PhCall;

typedef struct PhJobOfCaller {
    bool lasting;
    bool accepted;
    bool cancel_wanted;
    bool cancelled;
    bool final_told;
    bool in_flight; /* submission, cancel or final query */
    PhTime retry_at;
} PhJobOfCaller;

typedef struct PhCallers {
    const PhSoakPlan *plan;
    PhTask *self;
    PhRandom *random;
    PhTime start;
    PhTime final_since; /* 0: not yet */
    bool done;
    uint64_t next_id;
    GHashTable *calls; /* PhCall by id */
    GArray *jobs;      /* PhJobOfCaller */
} PhCallers;

static PhJobOfCaller *
job_at(PhCallers *c, uint32_t i)
{
    return &g_array_index(c->jobs, PhJobOfCaller, i);
}

static void
job_note(PhCallers *c, PhSoakNoteTag tag, const PhCall *call)
{
    PhSoakNote note = {
        .tag = tag,
        .at = PhTask_Now(c->self),
        .sent_at = call->sent_at,
        .job = call->job,
        .party = {.kind = PH_SOAK_INSTANCE, .index = call->instance}};
    PhSoak_Note(c->self, &note);
}

static PhStr
body_make(const PhCallers *c, const PhCall *call)
{
    if (call->kind != CALL_SUBMIT) {
        return (PhStr){0};
    }
    return PhStr_Dup(
        g_array_index(c->jobs, PhJobOfCaller, call->job).lasting
            ? PhStr_LITERAL("{\"spec\":\"lasting\",\"steps\":[{\"count\":3,"
                            "\"cpu\":500,\"maxPerServer\":1,"
                            "\"longRunning\":true}]}")
            : PhStr_LITERAL("{\"spec\":\"work\",\"steps\":[{\"count\":4,"
                            "\"cpu\":500,\"maxPerServer\":1},{\"count\":2,"
                            "\"cpu\":500,\"after\":[0]}]}"));
}

static const char *
method_of(PhCallKind kind)
{
    switch (kind) {
    case CALL_SUBMIT:
        return "POST";
    case CALL_CANCEL:
        return "DELETE";
    case CALL_QUERY:
    case CALL_FINAL:
    case CALL_PENDING:
        break;
    }
    return "GET";
}

/* The instance is drawn, whatever it says about its readiness. */
static void
call_send(PhCallers *c, PhCallKind kind, uint32_t job)
{
    PhCall *call = g_new0(PhCall, 1);
    PhBuf address = {0};
    PhBuf target = {0};
    call->kind = kind;
    call->job = job;
    call->instance = (uint32_t)PhRandom_Below(c->random, c->plan->instances);
    call->sent_at = PhTask_Now(c->self);
    PhBuf_AppendFormat(&address, "127.0.0.1:%u",
                       c->plan->callers_ports[call->instance]);
    PhBuf_Append(&target, PhStr_LITERAL("/jobs/"));
    if (kind != CALL_PENDING) {
        PhBuf_AppendFormat(&target, "%08x%08x", (unsigned)c->plan->seed, job);
    }
    PhHttpMessage m = {
        .tag = PH_HTTP_SEND,
        .as.send = {.id = ++c->next_id,
                    .method = PhStr_Dup(PhStr_FromC(method_of(kind))),
                    .address = PhBuf_Take(&address),
                    .target = PhBuf_Take(&target),
                    .body = body_make(c, call),
                    .deadline = call->sent_at + CALL_MS * PH_NS_PER_MS,
                    .first_byte = PH_TIME_NEVER,
                    .answer_limit_bytes = ANSWER_BYTES_MAX}};
    PhHttpHeader_Add(&m.as.send.headers, &m.as.send.header_count,
                     PhStr_LITERAL("Host"), PhStr_LITERAL("jobs.example"));
    PhHttpHeader_Add(&m.as.send.headers, &m.as.send.header_count,
                     PhStr_LITERAL("Content-Type"),
                     PhStr_LITERAL("application/json"));
    g_hash_table_insert(c->calls, GSIZE_TO_POINTER(c->next_id), call);
    PhTask_SendTo(c->self, PH_SERVICE_HTTP, PhHttpMessage_Wrap(&m));
}

/* A call that changes a job, one at a time. */
static void
job_call(PhCallers *c, PhCallKind kind, uint32_t job)
{
    job_at(c, job)->in_flight = true;
    call_send(c, kind, job);
}

static void
job_submit(PhCallers *c)
{
    PhJobOfCaller job = {.lasting =
                             c->jobs->len < LASTING_JOBS_FIRST ||
                             PhRandom_Chance(c->random, CHANCE_LASTING)};
    PhSoakNote note = {.tag = PH_SOAK_NOTE_SUBMIT,
                       .at = PhTask_Now(c->self),
                       .job = c->jobs->len};
    note.as.submit.lasting = job.lasting;
    note.as.submit.tasks = job.lasting ? LASTING_TASKS : PLAIN_TASKS;
    g_array_append_val(c->jobs, job);
    PhSoak_Note(c->self, &note);
    job_call(c, CALL_SUBMIT, note.job);
}

/* A random call, if there is a job that it can concern. */
static void
call_draw(PhCallers *c, bool submits)
{
    double draw = PhRandom_Unit(c->random);
    if (draw < CHANCE_SUBMIT || c->jobs->len < LASTING_JOBS_FIRST) {
        if (submits) {
            job_submit(c);
        }
        return;
    }
    uint32_t i = (uint32_t)PhRandom_Below(c->random, c->jobs->len);
    PhJobOfCaller *job = job_at(c, i);
    if (draw < CHANCE_SUBMIT + CHANCE_QUERY) {
        call_send(c, CALL_QUERY, i);
    }
    else if (draw < CHANCE_SUBMIT + CHANCE_QUERY + CHANCE_CANCEL) {
        if (submits && job->accepted && !job->cancel_wanted &&
            i >= LASTING_JOBS_FIRST) {
            PhCall call = {.job = i, .sent_at = PhTask_Now(c->self)};
            job->cancel_wanted = true;
            job_note(c, PH_SOAK_NOTE_CANCEL, &call);
        }
    }
    else {
        call_send(c, CALL_PENDING, 0);
    }
}

/* Repeats what has no outcome yet. */
static void
calls_repeat(PhCallers *c, PhTime now)
{
    for (uint32_t i = 0; i < c->jobs->len; i++) {
        PhJobOfCaller *job = job_at(c, i);
        if (job->in_flight || now < job->retry_at) {
            continue;
        }
        if (!job->accepted) {
            job_call(c, CALL_SUBMIT, i);
        }
        else if (job->cancel_wanted && !job->cancelled) {
            job_call(c, CALL_CANCEL, i);
        }
    }
}

/* Asks for the final states; says so when all are told or time is up. */
static void
final_tick(PhCallers *c, PhTime now)
{
    int sent = 0;
    bool complete = true;
    for (uint32_t i = 0; i < c->jobs->len; i++) {
        PhJobOfCaller *job = job_at(c, i);
        complete &= job->final_told || !job->accepted;
        if (job->accepted && !job->final_told && !job->in_flight &&
            now >= job->retry_at && sent++ < FINAL_CALLS_PER_TICK) {
            job_call(c, CALL_FINAL, i);
        }
    }
    if (complete || now > c->final_since + FINAL_MS * PH_NS_PER_MS) {
        PhSoakMessage m = {.tag = PH_SOAK_DONE};
        c->done = true;
        PhSoak_Send(c->self, PH_SOAK_JOURNAL, &m);
    }
}

static void
tick(PhCallers *c)
{
    PhTime now = PhTask_Now(c->self);
    int64_t played_ms = (now - c->start) / PH_NS_PER_MS;
    if (c->final_since != 0 && !c->done) {
        final_tick(c, now);
    }
    else if (c->final_since == 0 && played_ms >= WARM_UP_MS) {
        calls_repeat(c, now);
        call_draw(c, played_ms < c->plan->draws_ms);
    }
    PhTask_SetTimer(c->self, TICK_TOKEN, now + TICK_MS * PH_NS_PER_MS);
}

static PhSoakState
state_parse(const PhHttpReply *reply)
{
    static const struct {
        const char *word;
        PhSoakState state;
    } words[] = {
        {"queued", PH_SOAK_STATE_QUEUED},
        {"running", PH_SOAK_STATE_RUNNING},
        {"completed", PH_SOAK_STATE_COMPLETED},
        {"cancelled", PH_SOAK_STATE_CANCELLED},
    };
    json_t *root;
    PhSoakState state = PH_SOAK_STATE_OTHER;
    if (reply->outcome == PH_HTTP_ANSWERED && reply->status == STATUS_GONE) {
        return PH_SOAK_STATE_GONE;
    }
    if (reply->outcome != PH_HTTP_ANSWERED || reply->status != STATUS_OK) {
        return PH_SOAK_STATE_NOT_TOLD;
    }
    PhResult parsed = PhJson_Parse(reply->body, &root);
    if (!PhResult_IsOk(&parsed)) {
        return state;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(words); i++) {
        if (PhStr_Equal(PhJson_GetStr(root, "state"),
                        PhStr_FromC(words[i].word))) {
            state = words[i].state;
        }
    }
    json_decref(root);
    return state;
}

static void
on_state(PhCallers *c, const PhCall *call, PhSoakState state, bool final)
{
    PhSoakNote note = {
        .tag = final ? PH_SOAK_NOTE_FINAL : PH_SOAK_NOTE_STATE,
        .at = PhTask_Now(c->self),
        .sent_at = call->sent_at,
        .job = call->job,
        .party = {.kind = PH_SOAK_INSTANCE, .index = call->instance}};
    note.as.state = state;
    if (state == PH_SOAK_STATE_NOT_TOLD) {
        return;
    }
    PhSoak_Note(c->self, &note);
    if (final) {
        job_at(c, call->job)->final_told = true;
    }
}

static void
on_pending(PhCallers *c, const PhCall *call, const PhHttpReply *reply)
{
    json_t *root;
    PhSoakNote note = {
        .tag = PH_SOAK_NOTE_PENDING,
        .at = PhTask_Now(c->self),
        .sent_at = call->sent_at,
        .party = {.kind = PH_SOAK_INSTANCE, .index = call->instance}};
    if (reply->outcome != PH_HTTP_ANSWERED || reply->status != STATUS_OK) {
        return;
    }
    PhResult parsed = PhJson_Parse(reply->body, &root);
    if (PhResult_IsOk(&parsed)) {
        note.as.pending = (uint64_t)PhJson_GetInt(root, "pending", 0);
        json_decref(root);
        PhSoak_Note(c->self, &note);
    }
}

/* How the connection of a call ended. */
static void
call_note(PhCallers *c, const PhCall *call, const PhHttpReply *reply)
{
    PhSoakNote note = {
        .tag = PH_SOAK_NOTE_CALL,
        .at = PhTask_Now(c->self),
        .sent_at = call->sent_at,
        .party = {.kind = PH_SOAK_INSTANCE, .index = call->instance}};
    note.as.cut = reply->outcome == PH_HTTP_UNKNOWN &&
                  (reply->failure == PH_HTTP_FAILURE_RESET ||
                   reply->failure == PH_HTTP_FAILURE_TRUNCATED);
    PhSoak_Note(c->self, &note);
}

static void
on_reply(PhCallers *c, const PhHttpReply *reply)
{
    PhCall *call = g_hash_table_lookup(c->calls, GSIZE_TO_POINTER(reply->id));
    bool ok = reply->outcome == PH_HTTP_ANSWERED && reply->status == STATUS_OK;
    if (call == NULL) {
        return;
    }
    PhJobOfCaller *job =
        call->kind == CALL_PENDING ? NULL : job_at(c, call->job);
    call_note(c, call, reply);
    if (call->kind == CALL_SUBMIT || call->kind == CALL_CANCEL ||
        call->kind == CALL_FINAL) {
        job->in_flight = false;
        job->retry_at = PhTask_Now(c->self) + RETRY_MS * PH_NS_PER_MS;
    }
    switch (call->kind) {
    case CALL_SUBMIT:
        job->accepted |= ok;
        if (ok) {
            job_note(c, PH_SOAK_NOTE_ACCEPTED, call);
        }
        break;
    case CALL_CANCEL:
        job->cancelled |= ok;
        if (ok) {
            job_note(c, PH_SOAK_NOTE_CANCELLED, call);
        }
        break;
    case CALL_QUERY:
    case CALL_FINAL:
        on_state(c, call, state_parse(reply), call->kind == CALL_FINAL);
        break;
    case CALL_PENDING:
        on_pending(c, call, reply);
        break;
    }
    g_hash_table_remove(c->calls, GSIZE_TO_POINTER(reply->id));
}

static void
callers_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhCallers *c = state;
    c->self = self;
    switch (mail->kind) {
    case PH_MAIL_START:
        c->start = PhTask_Now(self);
        tick(c);
        break;
    case PH_MAIL_TIMER:
        tick(c);
        break;
    case PH_MAIL_MESSAGE:
        if (mail->as.message.interface == PH_INTERFACE_HTTP) {
            on_reply(
                c, &((const PhHttpMessage *)mail->as.message.body)->as.reply);
        }
        else {
            c->final_since = PhTask_Now(self);
        }
        break;
    case PH_MAIL_STOP:
        PhTask_End(self);
        break;
    case PH_MAIL_IO:
    case PH_MAIL_ENDED:
        break;
    }
}

static void
callers_destroy(void *state)
{
    PhCallers *c = state;
    PhRandom_Destroy(c->random);
    g_hash_table_destroy(c->calls);
    g_array_free(c->jobs, TRUE);
    g_free(c);
}

void
PhSoakCallers_Start(PhKernel *kernel, const PhSoakPlan *plan)
{
    PhCallers *c = g_new0(PhCallers, 1);
    c->plan = plan;
    c->random = PhRandom_Create(plan->seed + 2);
    c->calls = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    c->jobs = g_array_new(FALSE, TRUE, sizeof(PhJobOfCaller));
    PhTaskSpec spec = {.name = PH_SOAK_CALLERS,
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = c,
                       .handle = callers_handle,
                       .destroy = callers_destroy};
    PhKernel_Spawn(kernel, &spec, NULL);
}
