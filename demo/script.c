#include "peridothill/demo/script.h"

#include <inttypes.h>

#include "peridothill/codec/json.h"
#include "peridothill/demo/task_watch.h"
#include "peridothill/services/http.h"
#include "peridothill/services/interface.h"

enum {
    MAILBOX_CAPACITY = 256,
    STEP_TIMER = 1,
    POLL_TIMER = 2,
    ANSWER_LIMIT_BYTES = 4 * 1024 * 1024,
    STATUS_OK = 200,
};

static const PhTime OPERATOR_DEADLINE = 12 * PH_NS_PER_S;
static const PhTime POLL_INTERVAL = 100 * PH_NS_PER_MS;
/* An accepted version is in force everywhere within this time. */
static const PhTime IN_FORCE_LIMIT = 6 * PH_NS_PER_S;
/* A worker that is leaving gets no new work after this time. */
static const PhTime LEAVING_LIMIT = 3 * PH_NS_PER_S;

/* What an operator's request was about. */
typedef enum PhAskKind {
    ASK_PATCH,
    ASK_STATUS,
    ASK_READY,
    ASK_SUBMIT,
    ASK_JOBS,
} PhAskKind;

/* An operator's request that waits for its answer. */
typedef struct PhAsk {
    uint64_t id;
    PhAskKind kind;
    int instance;
    uint64_t least_version; /* that the instance must show */
} PhAsk;

/* State of the task "script". */
typedef struct PhScript {
    PhTask *self;
    PhScriptOptions options;
    PhTime started;
    size_t next;
    GHashTable *asks; /* PhAsk by id */
    uint64_t next_id;
    uint64_t version;   /* highest accepted one */
    PhTime accepted_at; /* when it was accepted */
    uint64_t seen[PH_WORLD_INSTANCES];
    PhTime began[PH_WORLD_INSTANCES]; /* latest start of each instance */
    uint64_t patches;
    uint64_t jobs;
    PhTaskWatch *watch;
} PhScript;

/* Prints one line of progress. */
static void
progress(PhScript *s, const char *text)
{
    double seconds = (double)(PhTask_Now(s->self) - s->started) / 1e9;
    fprintf(s->options.out, "%6.2f s  %s\n", seconds, text);
    fflush(s->options.out);
}

/* Sends a request to an instance, to its operators' listener or, to ask
 * whether it is ready, to that of callers. */
static void
ask(PhScript *s, PhAskKind kind, int instance, PhStr method, PhStr target,
    PhStr body)
{
    PhAsk *a = g_new(PhAsk, 1);
    *a = (PhAsk){.id = ++s->next_id,
                 .kind = kind,
                 .instance = instance,
                 .least_version = s->version};
    g_hash_table_insert(s->asks, &a->id, a);
    PhStr address = kind == ASK_READY
                        ? PhWorld_CallersAddress(s->options.world, instance)
                        : PhWorld_OperatorsAddress(s->options.world, instance);
    PhHttpMessage m = {
        .tag = PH_HTTP_SEND,
        .as.send = {.id = a->id,
                    .method = PhStr_Dup(method),
                    .address = PhStr_Dup(address),
                    .target = PhStr_Dup(target),
                    .body = body,
                    .deadline = PhTask_Now(s->self) + OPERATOR_DEADLINE,
                    .first_byte = PH_TIME_NEVER,
                    .answer_limit_bytes = ANSWER_LIMIT_BYTES,
                    .fresh_connection = true}};
    PhBuf bearer = {0};
    PhBuf_AppendFormat(&bearer, "Bearer %.*s",
                       PhStr_ARG(PhWorld_Token(s->options.world)));
    PhHttpHeader_Add(&m.as.send.headers, &m.as.send.header_count,
                     PhStr_LITERAL("Authorization"), PhBuf_Str(&bearer));
    PhBuf_Clear(&bearer);
    PhTask_SendTo(s->self, PH_SERVICE_HTTP, PhHttpMessage_Wrap(&m));
}

/* Finds an instance that runs, from `first` on; -1 when none does. */
static int
running_instance(const PhScript *s, int first)
{
    for (int i = 0; i < PH_WORLD_INSTANCES; i++) {
        int index = (first + i) % PH_WORLD_INSTANCES;
        if (PhWorld_InstanceRuns(s->options.world, index)) {
            return index;
        }
    }
    return -1;
}

/* Submits a patch to one of the instances, a different one each time. */
static void
submit_patch(PhScript *s, const char *changes)
{
    int instance = running_instance(s, (int)(s->patches % PH_WORLD_INSTANCES));
    PhBuf body = {0};
    s->patches++;
    PhBuf_AppendFormat(&body,
                       "{\"id\":\"demo-%" PRIu64 "\",\"author\":\"demo\","
                       "\"base\":%" PRIu64 ",\"changes\":%s}",
                       s->patches, s->version, changes);
    ask(s, ASK_PATCH, instance, PhStr_LITERAL("POST"),
        PhStr_LITERAL("/config/patches"), PhBuf_Take(&body));
}

/* Submits a batch job to one of the instances. */
static void
submit_job(PhScript *s, int tasks)
{
    PhBuf body = {0};
    s->jobs++;
    PhBuf_AppendFormat(&body,
                       "{\"key\":\"demo-job-%" PRIu64 "\",\"team\":\"night\","
                       "\"class\":\"batch\",\"count\":%d,\"run_ms\":12000,"
                       "\"cpu_milli\":4000,\"memory_mb\":2000,"
                       "\"accelerators\":0,\"checkpointable\":true}",
                       s->jobs, tasks);
    ask(s, ASK_SUBMIT, running_instance(s, 0), PhStr_LITERAL("POST"),
        PhStr_LITERAL("/jobs"), PhBuf_Take(&body));
}

/* Asks every running instance for its status, and whether it is ready. */
static void
poll_instances(PhScript *s)
{
    for (int i = 0; i < PH_WORLD_INSTANCES; i++) {
        if (PhWorld_InstanceRuns(s->options.world, i)) {
            ask(s, ASK_READY, i, PhStr_LITERAL("GET"), PhStr_LITERAL("/ready"),
                (PhStr){0});
            ask(s, ASK_STATUS, i, PhStr_LITERAL("GET"),
                PhStr_LITERAL("/status"), (PhStr){0});
        }
    }
}

/* Takes the verdict on a patch. */
static void
on_patch(PhScript *s, const PhHttpReply *reply)
{
    json_t *root;
    PhResult r = PhJson_Parse(reply->body, &root);
    if (!PhResult_IsOk(&r)) {
        progress(s, "a patch got no verdict");
        return;
    }
    uint64_t version = (uint64_t)PhJson_GetInt(root, "version", 0);
    PhStr outcome = PhJson_GetStr(root, "outcome");
    char *line = g_strdup_printf("patch: %.*s, version %" PRIu64,
                                 PhStr_ARG(outcome), version);
    progress(s, line);
    g_free(line);
    if (reply->status == STATUS_OK && version > s->version) {
        s->version = version;
        s->accepted_at = PhTask_Now(s->self);
    }
    json_decref(root);
}

/* Checks the version that an instance shows: it never goes back, and it is
 * the accepted one once the limit has passed since the acceptance, or since
 * the start of the instance. */
static void
on_status(PhScript *s, const PhAsk *a, const PhHttpReply *reply)
{
    json_t *root;
    PhResult r = PhJson_Parse(reply->body, &root);
    if (reply->status != STATUS_OK || !PhResult_IsOk(&r)) {
        return;
    }
    uint64_t shown =
        (uint64_t)PhJson_GetInt(json_object_get(root, "config"), "version", 0);
    PhTime since = MAX(s->accepted_at, s->began[a->instance]);
    bool late = PhTask_Now(s->self) > since + IN_FORCE_LIMIT;
    bool held =
        shown >= s->seen[a->instance] && (!late || shown >= a->least_version);
    char about[96];
    g_snprintf(about, sizeof(about),
               "instance %d shows %" PRIu64 ", %" PRIu64 " was accepted",
               a->instance, shown, s->version);
    PhVerdicts_Check(s->options.verdicts, PH_INVARIANT_CONFIG_IN_FORCE, held,
                     PhStr_FromC(about));
    s->seen[a->instance] = shown;
    json_decref(root);
}

/* Takes the list of jobs: every task is done. */
static void
on_jobs(PhScript *s, const PhHttpReply *reply)
{
    json_t *root;
    PhResult r = PhJson_Parse(reply->body, &root);
    if (!PhResult_IsOk(&r)) {
        return;
    }
    const json_t *jobs = json_object_get(root, "jobs");
    if (json_array_size(jobs) < s->jobs) {
        progress(s, "some jobs are not listed");
    }
    for (size_t i = 0; i < json_array_size(jobs); i++) {
        const json_t *job = json_array_get(jobs, i);
        char *line = g_strdup_printf(
            "job %" PRId64 ": %" PRId64 " of %" PRId64 " tasks done",
            PhJson_GetInt(job, "job", 0), PhJson_GetInt(job, "done", 0),
            PhJson_GetInt(job, "count", 0));
        progress(s, line);
        g_free(line);
    }
    json_decref(root);
}

/* Takes the answer to an operator's request. */
static void
on_reply(PhScript *s, const PhHttpReply *reply)
{
    const PhAsk *a = g_hash_table_lookup(s->asks, &reply->id);
    if (a == NULL) {
        return;
    }
    if (reply->outcome == PH_HTTP_ANSWERED) {
        switch (a->kind) {
        case ASK_PATCH:
            on_patch(s, reply);
            break;
        case ASK_STATUS:
            on_status(s, a, reply);
            break;
        case ASK_READY:
            PhWorld_InstanceSetReady(s->options.world, a->instance,
                                     reply->status == STATUS_OK);
            break;
        case ASK_SUBMIT:
            progress(s, reply->status < 300 ? "job accepted"
                                            : "job not accepted");
            break;
        case ASK_JOBS:
            on_jobs(s, reply);
            break;
        }
    }
    g_hash_table_remove(s->asks, &reply->id);
}

/* Checks that workers which are leaving got no new work after the limit. */
static void
check_leaving(PhScript *s)
{
    PhTime now = PhTask_Now(s->self);
    for (int i = 0; i < PH_WORLD_WORKERS; i++) {
        const PhStandinWorkerState *w = PhWorld_Worker(s->options.world, i);
        if (w->leaving_since > 0 && now > w->leaving_since + LEAVING_LIMIT) {
            PhVerdicts_Check(
                s->options.verdicts, PH_INVARIANT_LEAVING,
                w->last_request <= w->leaving_since + LEAVING_LIMIT, w->id);
        }
    }
}

/* Restarts a worker, which loses its tasks. */
static void
restart_worker(PhScript *s, int index)
{
    PhStandinTasks_Restart(PhWorld_Worker(s->options.world, index)->tasks);
}

/* Starts an instance in the place of one that ended. */
static void
start_instance(PhScript *s, int index)
{
    if (PhWorld_InstanceRuns(s->options.world, index)) {
        progress(s, "the instance has not ended yet");
        PhWorld_InstanceKill(s->options.world, index);
    }
    s->seen[index] = 0;
    s->began[index] = PhTask_Now(s->self);
    PhResult r = PhWorld_InstanceStart(s->options.world, index);
    if (!PhResult_IsOk(&r)) {
        progress(s, "the instance did not start");
    }
}

/* Carries out one step. */
static void
run_step(PhScript *s, const PhStep *step)
{
    PhWorld *w = s->options.world;
    progress(s, step->text);
    switch (step->kind) {
    case PH_STEP_PATCH:
        submit_patch(s, step->as.patch);
        break;
    case PH_STEP_PACE:
        PhLoad_SetInterval(s->options.load, step->as.interval);
        break;
    case PH_STEP_JOB:
        submit_job(s, step->as.tasks);
        break;
    case PH_STEP_JOBS_DONE:
        ask(s, ASK_JOBS, running_instance(s, 0), PhStr_LITERAL("GET"),
            PhStr_LITERAL("/jobs"), (PhStr){0});
        break;
    case PH_STEP_WORKER_FAULT:
        PhWorld_Worker(w, step->as.fault.worker)->fault = step->as.fault.fault;
        break;
    case PH_STEP_WORKER_LEAVES:
        PhWorld_WorkerLeave(w, step->as.index, PhTask_Now(s->self));
        break;
    case PH_STEP_WORKER_RESTARTS:
        restart_worker(s, step->as.index);
        break;
    case PH_STEP_LOG_OUTAGE:
        PhFakeLog_Options(PhWorld_Log(w))->outage = step->as.on;
        break;
    case PH_STEP_LOG_LOSES_ANSWERS:
        PhFakeLog_Options(PhWorld_Log(w))->lost_answers =
            step->as.on ? 1.0 : 0.0;
        break;
    case PH_STEP_INSTANCE_KILL:
        PhLoad_InstanceKilled(s->options.load, step->as.index);
        PhWorld_InstanceKill(w, step->as.index);
        break;
    case PH_STEP_INSTANCE_STOP:
        PhWorld_InstanceStop(w, step->as.index);
        break;
    case PH_STEP_INSTANCE_START:
        start_instance(s, step->as.index);
        break;
    case PH_STEP_CHECK_CONFIG:
        poll_instances(s);
        break;
    case PH_STEP_END:
        PhLoad_CheckRuns(s->options.load);
        s->options.on_end(s->options.context);
        break;
    }
}

/* Sets the timer of the next step. */
static void
arm_step(PhScript *s)
{
    PhTask_SetTimer(s->self, STEP_TIMER,
                    s->started +
                        s->options.steps[s->next].at_ms * PH_NS_PER_MS);
}

/* Acts on a timer: the next step, or the regular checks. */
static void
on_timer(PhScript *s, uint64_t token)
{
    if (token == POLL_TIMER) {
        poll_instances(s);
        check_leaving(s);
        PhTaskWatch_Observe(s->watch, PhTask_Now(s->self));
        PhTask_SetTimer(s->self, POLL_TIMER,
                        PhTask_Now(s->self) + POLL_INTERVAL);
        return;
    }
    const PhStep *step = &s->options.steps[s->next];
    run_step(s, step);
    if (step->kind != PH_STEP_END) {
        s->next++;
        arm_step(s);
    }
}

/* Handles a mail of the task "script". */
static void
script_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhScript *s = state;
    switch (mail->kind) {
    case PH_MAIL_START:
        s->self = self;
        s->started = PhTask_Now(self);
        arm_step(s);
        PhTask_SetTimer(self, POLL_TIMER, s->started + POLL_INTERVAL);
        break;
    case PH_MAIL_TIMER:
        on_timer(s, mail->as.timer);
        break;
    case PH_MAIL_MESSAGE:
        if (mail->as.message.interface == PH_INTERFACE_HTTP) {
            const PhHttpMessage *m = mail->as.message.body;
            if (m->tag == PH_HTTP_REPLY) {
                on_reply(s, &m->as.reply);
            }
        }
        break;
    case PH_MAIL_IO:
    case PH_MAIL_ENDED:
        break;
    case PH_MAIL_STOP:
        PhTask_End(self);
        break;
    }
}

/* Releases the state of the task. */
static void
script_destroy(void *state)
{
    PhScript *s = state;
    g_hash_table_destroy(s->asks);
    PhTaskWatch_Destroy(s->watch);
    g_free(s);
}

/* Starts the task "script". */
void
PhScript_Start(PhKernel *kernel, const PhScriptOptions *options)
{
    PhScript *s = g_new0(PhScript, 1);
    s->options = *options;
    s->watch = PhTaskWatch_Create(options->world, options->verdicts);
    s->asks = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    PhTaskSpec spec = {.name = PH_SERVICE_SCRIPT,
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = s,
                       .handle = script_handle,
                       .destroy = script_destroy};
    PhKernel_Spawn(kernel, &spec, NULL);
}
