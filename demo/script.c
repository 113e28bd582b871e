#include "peridothill/demo/script.h"

#include <inttypes.h>

#include "peridothill/codec/json.h"
#include "peridothill/demo/placement_checker.h"
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
/* An accepted version must be in force on every instance within this time. */
static const PhTime IN_FORCE_LIMIT = 6 * PH_NS_PER_S;
/* A leaving worker must not get new requests after this time. */
static const PhTime LEAVING_LIMIT = 3 * PH_NS_PER_S;

typedef enum PhOperatorRequestKind {
    REQUEST_PATCH,
    REQUEST_STATUS,
    REQUEST_READY,
    REQUEST_SUBMIT,
    REQUEST_JOBS,
} PhOperatorRequestKind;

typedef struct PhPendingRequest {
    uint64_t id;
    PhOperatorRequestKind kind;
    int instance;
    uint64_t min_version; /* that the instance must report */
} PhPendingRequest;

typedef struct PhScript {
    PhTask *self;
    PhScriptOptions options;
    PhTime started;
    size_t next_step;
    GHashTable *pending; /* PhPendingRequest by id */
    uint64_t next_id;
    uint64_t version;   /* latest accepted version */
    PhTime accepted_at; /* of `version` */
    uint64_t reported_versions[PH_DEMO_INSTANCES]; /* latest */
    PhTime started_at[PH_DEMO_INSTANCES]; /* latest start of the instance */
    uint64_t patches;
    uint64_t jobs;
    PhPlacementChecker *checker;
} PhScript;

static void
print_progress(PhScript *s, const char *text)
{
    double seconds = (double)(PhTask_Now(s->self) - s->started) / 1e9;
    fprintf(s->options.out, "%6.2f s  %s\n", seconds, text);
    fflush(s->options.out);
}

/* Readiness is served by the callers' listener, all else by the operators'. */
static void
send_request(PhScript *s, PhOperatorRequestKind kind, int instance,
             PhStr method, PhStr target, PhStr body)
{
    PhPendingRequest *a = g_new(PhPendingRequest, 1);
    *a = (PhPendingRequest){.id = ++s->next_id,
                            .kind = kind,
                            .instance = instance,
                            .min_version = s->version};
    g_hash_table_insert(s->pending, &a->id, a);
    PhStr address =
        kind == REQUEST_READY
            ? PhDemoCluster_CallersAddress(s->options.cluster, instance)
            : PhDemoCluster_OperatorsAddress(s->options.cluster, instance);
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
                       PhStr_ARG(PhDemoCluster_Token(s->options.cluster)));
    PhHttpHeader_Add(&m.as.send.headers, &m.as.send.header_count,
                     PhStr_LITERAL("Authorization"), PhBuf_Str(&bearer));
    PhHttpHeader_Add(&m.as.send.headers, &m.as.send.header_count,
                     PhStr_LITERAL("Connection"), PhStr_LITERAL("close"));
    PhBuf_Clear(&bearer);
    PhTask_SendTo(s->self, PH_SERVICE_HTTP, PhHttpMessage_Wrap(&m));
}

/* Searches from `first` on; returns -1 if no instance runs. */
static int
running_instance(const PhScript *s, int first)
{
    for (int i = 0; i < PH_DEMO_INSTANCES; i++) {
        int index = (first + i) % PH_DEMO_INSTANCES;
        if (PhDemoCluster_InstanceRuns(s->options.cluster, index)) {
            return index;
        }
    }
    return -1;
}

/* Submits each patch to another instance. */
static void
submit_patch(PhScript *s, const char *changes)
{
    int instance = running_instance(s, (int)(s->patches % PH_DEMO_INSTANCES));
    PhBuf body = {0};
    s->patches++;
    PhBuf_AppendFormat(&body,
                       "{\"id\":\"demo-%" PRIu64 "\",\"author\":\"demo\","
                       "\"base\":%" PRIu64 ",\"changes\":%s}",
                       s->patches, s->version, changes);
    send_request(s, REQUEST_PATCH, instance, PhStr_LITERAL("POST"),
                 PhStr_LITERAL("/config/patches"), PhBuf_Take(&body));
}

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
    send_request(s, REQUEST_SUBMIT, running_instance(s, 0),
                 PhStr_LITERAL("POST"), PhStr_LITERAL("/jobs"),
                 PhBuf_Take(&body));
}

/* Requests the status and readiness of every running instance. */
static void
poll_instances(PhScript *s)
{
    for (int i = 0; i < PH_DEMO_INSTANCES; i++) {
        if (PhDemoCluster_InstanceRuns(s->options.cluster, i)) {
            send_request(s, REQUEST_READY, i, PhStr_LITERAL("GET"),
                         PhStr_LITERAL("/ready"), (PhStr){0});
            send_request(s, REQUEST_STATUS, i, PhStr_LITERAL("GET"),
                         PhStr_LITERAL("/status"), (PhStr){0});
        }
    }
}

static void
on_patch(PhScript *s, const PhHttpReply *reply)
{
    json_t *root;
    PhResult r = PhJson_Parse(reply->body, &root);
    if (!PhResult_IsOk(&r)) {
        print_progress(s, "malformed answer to a patch");
        return;
    }
    uint64_t version = (uint64_t)PhJson_GetInt(root, "version", 0);
    PhStr outcome = PhJson_GetStr(root, "outcome");
    char *line = g_strdup_printf("patch: %.*s, version %" PRIu64,
                                 PhStr_ARG(outcome), version);
    print_progress(s, line);
    g_free(line);
    if (reply->status == STATUS_OK && version > s->version) {
        s->version = version;
        s->accepted_at = PhTask_Now(s->self);
    }
    json_decref(root);
}

/* The reported version must not decrease, and must be the accepted one when
 * IN_FORCE_LIMIT has passed since the acceptance or the instance start. */
static void
on_status(PhScript *s, const PhPendingRequest *a, const PhHttpReply *reply)
{
    json_t *root;
    PhResult r = PhJson_Parse(reply->body, &root);
    if (reply->status != STATUS_OK || !PhResult_IsOk(&r)) {
        return;
    }
    uint64_t reported =
        (uint64_t)PhJson_GetInt(json_object_get(root, "config"), "version", 0);
    PhTime since = MAX(s->accepted_at, s->started_at[a->instance]);
    bool late = PhTask_Now(s->self) > since + IN_FORCE_LIMIT;
    bool held = reported >= s->reported_versions[a->instance] &&
                (!late || reported >= a->min_version);
    char detail[96];
    g_snprintf(detail, sizeof(detail),
               "instance %d reports version %" PRIu64 ", %" PRIu64
               " was accepted",
               a->instance, reported, s->version);
    PhVerdicts_Check(s->options.verdicts, PH_INVARIANT_CONFIG_IN_FORCE, held,
                     PhStr_FromC(detail));
    s->reported_versions[a->instance] = reported;
    json_decref(root);
}

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
        print_progress(s, "some jobs are not listed");
    }
    for (size_t i = 0; i < json_array_size(jobs); i++) {
        const json_t *job = json_array_get(jobs, i);
        char *line = g_strdup_printf(
            "job %" PRId64 ": %" PRId64 " of %" PRId64 " tasks done",
            PhJson_GetInt(job, "job", 0), PhJson_GetInt(job, "done", 0),
            PhJson_GetInt(job, "count", 0));
        print_progress(s, line);
        g_free(line);
    }
    json_decref(root);
}

static void
on_reply(PhScript *s, const PhHttpReply *reply)
{
    const PhPendingRequest *a = g_hash_table_lookup(s->pending, &reply->id);
    if (a == NULL) {
        return;
    }
    if (reply->outcome == PH_HTTP_ANSWERED) {
        switch (a->kind) {
        case REQUEST_PATCH:
            on_patch(s, reply);
            break;
        case REQUEST_STATUS:
            on_status(s, a, reply);
            break;
        case REQUEST_READY:
            PhDemoCluster_InstanceSetReady(s->options.cluster, a->instance,
                                           reply->status == STATUS_OK);
            break;
        case REQUEST_SUBMIT:
            print_progress(s, reply->status < 300 ? "job accepted"
                                                  : "job refused");
            break;
        case REQUEST_JOBS:
            on_jobs(s, reply);
            break;
        }
    }
    g_hash_table_remove(s->pending, &reply->id);
}

static void
check_leaving(PhScript *s)
{
    PhTime now = PhTask_Now(s->self);
    for (int i = 0; i < PH_DEMO_WORKERS; i++) {
        const PhStandinWorkerState *w =
            PhDemoCluster_Worker(s->options.cluster, i);
        if (w->leaving_since > 0 && now > w->leaving_since + LEAVING_LIMIT) {
            PhVerdicts_Check(
                s->options.verdicts, PH_INVARIANT_LEAVING,
                w->last_request <= w->leaving_since + LEAVING_LIMIT, w->id);
        }
    }
}

static void
restart_worker(PhScript *s, int index)
{
    PhStandinTasks_Restart(
        PhDemoCluster_Worker(s->options.cluster, index)->tasks);
}

static void
start_instance(PhScript *s, int index)
{
    if (PhDemoCluster_InstanceRuns(s->options.cluster, index)) {
        print_progress(
            s, "the instance to be replaced has not stopped yet; killing it");
        PhDemoCluster_InstanceKill(s->options.cluster, index);
    }
    s->reported_versions[index] = 0;
    s->started_at[index] = PhTask_Now(s->self);
    PhResult r = PhDemoCluster_InstanceStart(s->options.cluster, index);
    if (!PhResult_IsOk(&r)) {
        print_progress(s, "cannot start the replacement");
    }
}

static void
run_step(PhScript *s, const PhStep *step)
{
    PhDemoCluster *w = s->options.cluster;
    print_progress(s, step->text);
    switch (step->kind) {
    case PH_STEP_PATCH:
        submit_patch(s, step->as.patch);
        break;
    case PH_STEP_REQUEST_INTERVAL:
        PhLoad_SetInterval(s->options.load, step->as.interval);
        break;
    case PH_STEP_JOB:
        submit_job(s, step->as.tasks);
        break;
    case PH_STEP_JOBS_DONE:
        send_request(s, REQUEST_JOBS, running_instance(s, 0),
                     PhStr_LITERAL("GET"), PhStr_LITERAL("/jobs"), (PhStr){0});
        break;
    case PH_STEP_WORKER_FAULT:
        PhDemoCluster_Worker(w, step->as.fault.worker)->fault =
            step->as.fault.fault;
        break;
    case PH_STEP_WORKER_LEAVES:
        PhDemoCluster_WorkerLeave(w, step->as.index, PhTask_Now(s->self));
        break;
    case PH_STEP_WORKER_RESTARTS:
        restart_worker(s, step->as.index);
        break;
    case PH_STEP_LOG_OUTAGE:
        PhFakeLog_Options(PhDemoCluster_Log(w))->outage = step->as.on;
        break;
    case PH_STEP_LOG_LOSES_ANSWERS:
        PhFakeLog_Options(PhDemoCluster_Log(w))->lost_answers =
            step->as.on ? 1.0 : 0.0;
        break;
    case PH_STEP_INSTANCE_KILL:
        PhLoad_InstanceKilled(s->options.load, step->as.index);
        PhDemoCluster_InstanceKill(w, step->as.index);
        break;
    case PH_STEP_INSTANCE_STOP:
        PhDemoCluster_InstanceStop(w, step->as.index);
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

static void
schedule_step(PhScript *s)
{
    PhTask_SetTimer(s->self, STEP_TIMER,
                    s->started +
                        s->options.steps[s->next_step].at_ms * PH_NS_PER_MS);
}

static void
on_timer(PhScript *s, uint64_t token)
{
    if (token == POLL_TIMER) {
        poll_instances(s);
        check_leaving(s);
        PhPlacementChecker_Observe(s->checker, PhTask_Now(s->self));
        PhTask_SetTimer(s->self, POLL_TIMER,
                        PhTask_Now(s->self) + POLL_INTERVAL);
        return;
    }
    const PhStep *step = &s->options.steps[s->next_step];
    run_step(s, step);
    if (step->kind != PH_STEP_END) {
        s->next_step++;
        schedule_step(s);
    }
}

static void
script_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhScript *s = state;
    switch (mail->kind) {
    case PH_MAIL_START:
        s->self = self;
        s->started = PhTask_Now(self);
        schedule_step(s);
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

static void
script_destroy(void *state)
{
    PhScript *s = state;
    g_hash_table_destroy(s->pending);
    PhPlacementChecker_Destroy(s->checker);
    g_free(s);
}

void
PhScript_Start(PhKernel *kernel, const PhScriptOptions *options)
{
    PhScript *s = g_new0(PhScript, 1);
    s->options = *options;
    s->checker =
        PhPlacementChecker_Create(options->cluster, options->verdicts);
    s->pending =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    PhTaskSpec spec = {.name = PH_SERVICE_SCRIPT,
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = s,
                       .handle = script_handle,
                       .destroy = script_destroy};
    PhKernel_Spawn(kernel, &spec, NULL);
}
