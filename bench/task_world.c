#include "peridothill/bench/task_world.h"

#include <string.h>

#include "peridothill/bench/bench.h"
#include "peridothill/codec/job_record.h"
#include "peridothill/codec/worker_command.h"
#include "peridothill/common/random.h"

#define WORLD_STREAM PhStr_LITERAL("tasks-dc")

enum {
    READ_RECORDS_MAX = 64,
    LOG_TIMEOUT_MS = 1500,
    LIST_EVERY_MS = 1000,
    RATE_SPREAD_PPM = 400,
    TOKEN_TICK = 1,
};

/* An instance; `generation` counts its processes. */
typedef struct PhWorldInstance {
    PhJobEngine *engine; /* NULL while dead */
    uint32_t generation;
    double rate;
    uint64_t append_id; /* the open append, or 0 */
    uint64_t read_id;
    PhTime append_at;
    PhTime read_at;
    PhTime listed_at;
} PhWorldInstance;

typedef struct PhWorldWorker {
    PhWorkerTasks *tasks;
    PhStr id;
    PhStr rack;
    double rate;
    int64_t offset_ms;
} PhWorldWorker;

typedef enum PhWorldMailKind {
    WORLD_APPEND,
    WORLD_APPENDED,
    WORLD_READ,
    WORLD_RECORDS,
    WORLD_COMMAND,
    WORLD_ANSWER,
} PhWorldMailKind;

/* A message between endpoints. */
typedef struct PhWorldMail {
    PhWorldMailKind kind;
    uint32_t generation; /* of the instance that asked */
    uint64_t id;
    PhJobEntry *entry; /* of APPEND; the world's */
    uint64_t from;     /* of READ */
    PhStatus status;
    uint64_t next;
    uint64_t first;
    bool at_end;
    GArray *records; /* PhPlacedEntry, of RECORDS */
    PhWorkerCommand command;
    PhWorkerAnswer answer;
} PhWorldMail;

struct PhTaskWorld {
    PhTaskWorldOptions options;
    PhTaskWorldCounts counts;
    PhRandom *random;
    PhFakeNet *net;
    PhFakeLog *log;
    PhWorldInstance instances[PH_WORLD_INSTANCES_MAX];
    PhWorldWorker *workers;
    GPtrArray *entries;  /* PhJobEntry, all that were sent */
    GHashTable *holding; /* job and index to PhWorldHeld */
    GHashTable *begun;   /* PhRun to itself */
    GHashTable *keys;    /* accepted key to itself */
    GHashTable *tokens;  /* token of a submit to its key */
    GHashTable *submits; /* key to the time of its first submit */
    GArray *start_times; /* PhTime */
    uint64_t next_id;
    uint32_t run_percent; /* actual run times, of the declared ones */
};

/* Where a task runs. */
typedef struct PhWorldHeld {
    PhRun run;
    uint32_t worker;
} PhWorldHeld;

/* Hashes job and index, without the incarnation. */
static guint
held_hash(gconstpointer key)
{
    PhRun run = *(const PhRun *)key;
    run.incarnation = 0;
    return (guint)PhRun_Digest(run);
}

/* Compares job and index. */
static gboolean
held_equal(gconstpointer a, gconstpointer b)
{
    const PhRun *left = a;
    const PhRun *right = b;
    return left->job == right->job && left->index == right->index;
}

/* Hashes a run. */
static guint
begun_hash(gconstpointer key)
{
    return (guint)PhRun_Digest(*(const PhRun *)key);
}

/* Compares runs. */
static gboolean
begun_equal(gconstpointer a, gconstpointer b)
{
    return PhRun_Equal(*(const PhRun *)a, *(const PhRun *)b);
}

/* Releases what a mail owns. */
static void
mail_clear(void *body)
{
    PhWorldMail *mail = body;
    if (mail->records != NULL) {
        g_array_free(mail->records, TRUE);
    }
    PhWorkerAnswer_Clear(&mail->answer);
}

/* Releases an entry. */
static void
entry_destroy(gpointer value)
{
    PhJobEntry_Clear(value);
    g_free(value);
}

/* The endpoint of a worker, and that of the log. */
static uint32_t
worker_endpoint(const PhTaskWorld *w, uint32_t worker)
{
    return w->options.instances + worker;
}

/* The endpoint of the log. */
static uint32_t
log_endpoint(const PhTaskWorld *w)
{
    return w->options.instances + w->options.workers;
}

/* What the clock of an instance shows. */
static PhTime
instance_clock(const PhTaskWorld *w, const PhWorldInstance *in)
{
    return (PhTime)((double)PhFakeNet_Now(w->net) * in->rate) + PH_NS_PER_S;
}

/* What the clock of a worker shows. */
static int64_t
worker_clock(const PhTaskWorld *w, const PhWorldWorker *worker)
{
    double now = (double)PhFakeNet_Now(w->net) * worker->rate;
    return worker->offset_ms + (int64_t)(now / (double)PH_NS_PER_MS);
}

/* Makes a mail and sends it. */
static void
mail_send(PhTaskWorld *w, uint32_t from, uint32_t to, const PhWorldMail *mail)
{
    PhWorldMail *body = g_rc_box_new(PhWorldMail);
    *body = *mail;
    PhFakeNet_Send(w->net, from, to, 0, body);
}

/* A clock rate near 1. */
static double
rate_draw(PhTaskWorld *w)
{
    return 1.0 + ((PhRandom_Unit(w->random) - 0.5) * RATE_SPREAD_PPM / 1e6);
}

/* Sets the links between all groups. */
static void
links_set(PhTaskWorld *w)
{
    for (uint32_t a = 0; a < PH_FAKE_GROUPS; a++) {
        for (uint32_t b = 0; b < PH_FAKE_GROUPS; b++) {
            PhFakeLink *link = PhFakeNet_Link(w->net, a, b);
            link->delay_min = w->options.link_delay;
            link->delay_extra = w->options.link_delay;
            link->loss = w->options.loss;
            link->duplicate = w->options.duplicate;
        }
    }
}

/* The size of a worker. */
static PhJobSize
worker_size(const PhTaskWorld *w, uint32_t worker)
{
    PhJobSize size = w->options.worker_size;
    size.accelerators += w->options.uneven && worker % 8 < 3;
    return size;
}

/* Creates the workers. */
static void
workers_create(PhTaskWorld *w)
{
    w->workers = g_new0(PhWorldWorker, w->options.workers);
    for (uint32_t i = 0; i < w->options.workers; i++) {
        PhWorldWorker *worker = &w->workers[i];
        PhBuf id = {0};
        PhBuf_AppendFormat(&id, "w%u", i);
        worker->id = PhBuf_Take(&id);
        PhBuf_AppendFormat(&id, "rack-%u", i / 8);
        worker->rack = PhBuf_Take(&id);
        worker->rate = rate_draw(w);
        worker->offset_ms = (int64_t)PhRandom_Below(w->random, 1000000) + 1;
        worker->tasks = PhWorkerTasks_Create(PhRandom_U64(w->random) | 1,
                                             worker_size(w, i));
        PhFakeNet_SetGroup(w->net, worker_endpoint(w, i),
                           PH_WORLD_GROUP_WORKERS);
    }
}

/* Creates a data centre with all instances running. */
PhTaskWorld *
PhTaskWorld_Create(const PhTaskWorldOptions *options)
{
    PhTaskWorld *w = g_new0(PhTaskWorld, 1);
    w->options = *options;
    if (w->options.tick == 0) {
        w->options.tick = PH_JOB_TICK_MS * PH_NS_PER_MS;
    }
    w->random = PhRandom_Create(options->seed);
    w->net = PhFakeNet_Create(options->seed + 1,
                              options->instances + options->workers + 1,
                              mail_clear);
    w->log = PhFakeLog_Create(
        &(PhFakeLogOptions){.seed = options->seed + 2,
                            .retention = options->retention,
                            .delay_min = 5 * PH_NS_PER_MS,
                            .delay_extra = 5 * PH_NS_PER_MS,
                            .timeout = LOG_TIMEOUT_MS * PH_NS_PER_MS,
                            .lost_answers = options->lost_answers});
    w->entries = g_ptr_array_new_with_free_func(entry_destroy);
    w->holding = g_hash_table_new_full(held_hash, held_equal, NULL, g_free);
    w->begun = g_hash_table_new_full(begun_hash, begun_equal, g_free, NULL);
    w->keys = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                    PhStr_KeyDestroy, NULL);
    w->tokens = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                      PhStr_KeyDestroy);
    w->submits = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                       PhStr_KeyDestroy, g_free);
    w->start_times = g_array_new(FALSE, FALSE, sizeof(PhTime));
    links_set(w);
    PhFakeNet_SetGroup(w->net, log_endpoint(w), PH_WORLD_GROUP_LOG);
    workers_create(w);
    for (uint32_t i = 0; i < options->instances; i++) {
        PhFakeNet_SetGroup(w->net, i, i);
        w->instances[i].rate = rate_draw(w);
        PhTaskWorld_Replace(w, i);
    }
    return w;
}

/* Releases the data centre. */
void
PhTaskWorld_Destroy(PhTaskWorld *w)
{
    for (uint32_t i = 0; i < w->options.instances; i++) {
        PhJobEngine_Destroy(w->instances[i].engine);
    }
    for (uint32_t i = 0; i < w->options.workers; i++) {
        PhWorkerTasks_Destroy(w->workers[i].tasks);
        PhStr_Clear(&w->workers[i].id);
        PhStr_Clear(&w->workers[i].rack);
    }
    g_free(w->workers);
    PhFakeNet_Destroy(w->net);
    PhFakeLog_Destroy(w->log);
    g_ptr_array_free(w->entries, TRUE);
    g_hash_table_destroy(w->holding);
    g_hash_table_destroy(w->begun);
    g_hash_table_destroy(w->keys);
    g_hash_table_destroy(w->tokens);
    g_hash_table_destroy(w->submits);
    g_array_free(w->start_times, TRUE);
    PhRandom_Destroy(w->random);
    g_free(w);
}

/* Measures and releases the body of a message. */
static uint64_t
body_bytes(const PhTaskWorld *w, PhStr body)
{
    uint64_t bytes = w->options.measured ? body.len : 0;
    PhStr_Clear(&body);
    return bytes;
}

/* Measures an entry as it would be sent. */
static uint64_t
entry_bytes(const PhTaskWorld *w, const PhJobEntry *entry)
{
    return w->options.measured ? body_bytes(w, PhJobEntry_Encode(entry)) : 0;
}

/* Copies an entry; the world keeps it. */
static PhJobEntry *
entry_keep(PhTaskWorld *w, const PhJobEntry *entry)
{
    PhJobEntry *copy = g_new(PhJobEntry, 1);
    *copy = PhJobEntry_Make(entry->instance, entry->sequence);
    for (guint i = 0; i < entry->records->len; i++) {
        PhJobRecord record =
            PhJobRecord_Copy(&g_array_index(entry->records, PhJobRecord, i));
        g_array_append_val(copy->records, record);
    }
    g_ptr_array_add(w->entries, copy);
    return copy;
}

/* Finds a worker by its id, "w" and its number. */
static uint32_t
worker_of(PhStr id)
{
    uint64_t number = 0;
    PhStr_ParseU64(PhStr_Slice(id, 1, id.len - 1), &number);
    return (uint32_t)number;
}

/* Counts the answer to a submit. */
static void
submit_answered(PhTaskWorld *w, const PhJobAction *action)
{
    gint64 token = (gint64)action->as.answer.token;
    PhStr *key = g_hash_table_lookup(w->tokens, &token);
    if (action->as.answer.cancel || key == NULL) {
        return;
    }
    PhStatus status = action->as.answer.result.status;
    if (status == PH_STATUS_OK || status == PH_STATUS_EXISTS) {
        w->counts.accepted += status == PH_STATUS_OK;
        w->counts.repeated += status == PH_STATUS_EXISTS;
        g_hash_table_add(w->keys, PhStr_KeyCreate(*key));
    }
    else if (status == PH_STATUS_UNKNOWN) {
        w->counts.unknown++;
    }
    else {
        w->counts.refused++;
    }
    g_hash_table_remove(w->tokens, &token);
}

/* Does what an engine wants done. */
static void
action_do(PhTaskWorld *w, uint32_t instance, const PhJobAction *action)
{
    PhWorldInstance *in = &w->instances[instance];
    PhWorldMail mail = {.generation = in->generation, .id = ++w->next_id};
    switch (action->kind) {
    case PH_ACTION_APPEND:
        mail.kind = WORLD_APPEND;
        mail.entry = entry_keep(w, action->as.append);
        w->counts.log_bytes += entry_bytes(w, mail.entry);
        in->append_id = mail.id;
        in->append_at = PhFakeNet_Now(w->net);
        mail_send(w, instance, log_endpoint(w), &mail);
        break;
    case PH_ACTION_READ:
        mail.kind = WORLD_READ;
        mail.from = action->as.read;
        in->read_id = mail.id;
        in->read_at = PhFakeNet_Now(w->net);
        mail_send(w, instance, log_endpoint(w), &mail);
        break;
    case PH_ACTION_COMMAND:
        mail.kind = WORLD_COMMAND;
        mail.command = action->as.command;
        uint32_t worker = worker_of(action->as.command.worker);
        w->counts.worker_bytes +=
            body_bytes(w, w->options.measured
                              ? PhWorkerCommand_Encode(&action->as.command)
                              : (PhStr){0});
        mail.command.worker = w->workers[worker].id;
        mail_send(w, instance, worker_endpoint(w, worker), &mail);
        break;
    case PH_ACTION_ANSWER:
        submit_answered(w, action);
        break;
    case PH_ACTION_NOTE:
        w->counts.notes[action->as.note.note]++;
        break;
    }
}

/* Gives an event to an engine and does what it wants. */
static void
engine_give(PhTaskWorld *w, uint32_t instance, const PhJobEvent *event)
{
    PhWorldInstance *in = &w->instances[instance];
    GArray *actions = g_array_new(FALSE, FALSE, sizeof(PhJobAction));
    int64_t spent = w->options.measured ? PhBench_CpuTime() : 0;
    PhJobEngine_Handle(in->engine, event, instance_clock(w, in), actions);
    if (w->options.measured) {
        w->counts.engine_ns += (uint64_t)(PhBench_CpuTime() - spent);
    }
    for (guint i = 0; i < actions->len; i++) {
        action_do(w, instance, &g_array_index(actions, PhJobAction, i));
    }
    g_array_free(actions, TRUE);
}

/* Tells an engine of the workers and of the live instances. */
static void
lists_give(PhTaskWorld *w, uint32_t instance)
{
    PhListedWorker *listed = g_new0(PhListedWorker, w->options.workers);
    for (uint32_t i = 0; i < w->options.workers; i++) {
        listed[i].id = w->workers[i].id;
        listed[i].rack = w->workers[i].rack;
        listed[i].size = worker_size(w, i);
    }
    PhJobEvent workers = {.kind = PH_JOB_WORKERS,
                          .as.workers = {listed, w->options.workers}};
    engine_give(w, instance, &workers);
    g_free(listed);
    static const char *const names[PH_WORLD_INSTANCES_MAX] = {
        "i0", "i1", "i2", "i3", "i4", "i5", "i6", "i7"};
    PhStr ids[PH_WORLD_INSTANCES_MAX];
    size_t count = 0;
    for (uint32_t i = 0; i < w->options.instances; i++) {
        if (w->instances[i].engine != NULL) {
            ids[count++] = PhStr_FromC(names[i]);
        }
    }
    PhJobEvent members = {.kind = PH_JOB_MEMBERS, .as.members = {ids, count}};
    engine_give(w, instance, &members);
}

/* Ends what the log left open for too long. */
static void
log_timeouts(PhTaskWorld *w, uint32_t instance)
{
    PhWorldInstance *in = &w->instances[instance];
    PhTime limit = PhFakeNet_Now(w->net) - (LOG_TIMEOUT_MS * PH_NS_PER_MS);
    if (in->append_id != 0 && in->append_at < limit) {
        in->append_id = 0;
        engine_give(w, instance,
                    &(PhJobEvent){.kind = PH_JOB_APPENDED,
                                  .as.appended = PH_STATUS_UNKNOWN});
    }
    if (in->read_id != 0 && in->read_at < limit) {
        in->read_id = 0;
        PhJobEvent event = {.kind = PH_JOB_READ};
        event.as.read.status = PH_STATUS_UNAVAILABLE;
        engine_give(w, instance, &event);
    }
}

/* Lets time pass for an instance. */
static void
instance_tick(PhTaskWorld *w, uint32_t instance)
{
    PhWorldInstance *in = &w->instances[instance];
    PhTime now = PhFakeNet_Now(w->net);
    PhFakeNet_SetTimer(w->net, instance, TOKEN_TICK, now + w->options.tick);
    log_timeouts(w, instance);
    if (now >= in->listed_at + (LIST_EVERY_MS * PH_NS_PER_MS)) {
        in->listed_at = now;
        lists_give(w, instance);
    }
    engine_give(w, instance, &(PhJobEvent){.kind = PH_JOB_TICK});
}

/* Appends and reads for an instance. */
static void
log_serve(PhTaskWorld *w, uint32_t instance, const PhWorldMail *mail)
{
    PhTime now = PhFakeNet_Now(w->net);
    PhWorldMail reply = {.generation = mail->generation, .id = mail->id};
    if (mail->kind == WORLD_APPEND) {
        /* The log keeps the address; the world keeps the entry. */
        uintptr_t address = (uintptr_t)mail->entry;
        PhStr bytes = PhStr_FromBytes(&address, sizeof(address));
        PhFakeLogAnswer a = PhFakeLog_Append(w->log, now, WORLD_STREAM, bytes);
        reply.kind = WORLD_APPENDED;
        reply.status = a.status;
        if (a.status == PH_STATUS_UNKNOWN) {
            return; /* the asker's timeout says so */
        }
        mail_send(w, log_endpoint(w), instance, &reply);
        return;
    }
    GArray *records = g_array_new(FALSE, FALSE, sizeof(PhFakeRecord));
    PhFakeLogAnswer a = PhFakeLog_Read(w->log, now, WORLD_STREAM, mail->from,
                                       READ_RECORDS_MAX, records);
    reply.kind = WORLD_RECORDS;
    reply.status = a.status;
    reply.next = a.offset;
    reply.first = a.first;
    reply.at_end = records->len < READ_RECORDS_MAX;
    reply.records = g_array_new(FALSE, FALSE, sizeof(PhPlacedEntry));
    for (guint i = 0; i < records->len; i++) {
        const PhFakeRecord *r = &g_array_index(records, PhFakeRecord, i);
        uintptr_t address = 0;
        memcpy(&address, r->data.data, sizeof(address));
        PhPlacedEntry placed = {.place = r->offset,
                                .entry = (const PhJobEntry *)address};
        g_array_append_val(reply.records, placed);
    }
    g_array_free(records, TRUE);
    mail_send(w, log_endpoint(w), instance, &reply);
}

/* Gives an instance the answer to what it asked. */
static void
instance_receive(PhTaskWorld *w, uint32_t instance, const PhWorldMail *mail)
{
    PhWorldInstance *in = &w->instances[instance];
    if (in->engine == NULL || mail->generation != in->generation) {
        return;
    }
    PhJobEvent event = {0};
    switch (mail->kind) {
    case WORLD_APPENDED:
        if (mail->id != in->append_id) {
            return;
        }
        in->append_id = 0;
        event.kind = PH_JOB_APPENDED;
        event.as.appended = mail->status;
        break;
    case WORLD_RECORDS:
        if (mail->id != in->read_id) {
            return;
        }
        in->read_id = 0;
        event.kind = PH_JOB_READ;
        event.as.read.status = mail->status;
        event.as.read.entries = (const PhPlacedEntry *)mail->records->data;
        event.as.read.count = mail->records->len;
        event.as.read.next = mail->next;
        event.as.read.first = mail->first;
        event.as.read.at_end = mail->at_end;
        for (guint i = 0; i < mail->records->len; i++) {
            w->counts.log_bytes += entry_bytes(
                w, g_array_index(mail->records, PhPlacedEntry, i).entry);
        }
        break;
    case WORLD_ANSWER:
        event.kind = PH_JOB_WORKER_ANSWER;
        w->counts.worker_bytes += body_bytes(
            w, w->options.measured ? PhWorkerAnswer_Encode(&mail->answer)
                                   : (PhStr){0});
        event.as.answer = &mail->answer;
        break;
    case WORLD_APPEND:
    case WORLD_READ:
    case WORLD_COMMAND:
        return;
    }
    engine_give(w, instance, &event);
}

/* Forgets what a worker held and holds no more. */
static void
held_forget(PhTaskWorld *w, uint32_t worker)
{
    const GArray *ended = PhWorkerTasks_Ended(w->workers[worker].tasks);
    for (guint i = 0; i < ended->len; i++) {
        const PhRunEnd *end = &g_array_index(ended, PhWorkerEnd, i).end;
        const PhWorldHeld *held = g_hash_table_lookup(w->holding, &end->run);
        if (held != NULL && held->worker == worker &&
            PhRun_Equal(held->run, end->run)) {
            w->counts.lapsed += end->outcome == PH_RUN_LOST;
            g_hash_table_remove(w->holding, &end->run);
        }
    }
}

/* Notes how long a task of a job has waited for its first start. */
static void
start_time_add(PhTaskWorld *w, uint64_t number)
{
    const PhJobEngine *engine = PhTaskWorld_Engine(w);
    const PhJob *job = engine == NULL
                           ? NULL
                           : PhJobState_Job(PhJobEngine_State(engine), number);
    const PhTime *at =
        job == NULL ? NULL : g_hash_table_lookup(w->submits, &job->spec.key);
    if (at != NULL) {
        PhTime waited = PhFakeNet_Now(w->net) - *at;
        g_array_append_val(w->start_times, waited);
    }
}

/* Notes a run that a worker has begun. */
static void
held_add(PhTaskWorld *w, uint32_t worker, const PhWorkerRun *r)
{
    const PhWorldHeld *held = g_hash_table_lookup(w->holding, &r->run);
    if (held != NULL && held->worker == worker &&
        PhRun_Equal(held->run, r->run)) {
        return;
    }
    if (held != NULL && held->worker != worker) {
        /* A paused worker ends what has lapsed before it goes on. */
        PhWorldWorker *other = &w->workers[held->worker];
        PhWorkerTasks_Advance(other->tasks, worker_clock(w, other));
        held_forget(w, held->worker);
        held = g_hash_table_lookup(w->holding, &r->run);
    }
    w->counts.doubled +=
        held != NULL || g_hash_table_contains(w->begun, &r->run);
    w->counts.starts++;
    w->counts.resumes += r->resumed_from > 0;
    if (r->run.incarnation == 1) {
        start_time_add(w, r->run.job);
    }
    g_hash_table_add(w->begun, g_memdup2(&r->run, sizeof(r->run)));
    PhWorldHeld *now_held = g_new(PhWorldHeld, 1);
    *now_held = (PhWorldHeld){.run = r->run, .worker = worker};
    g_hash_table_replace(w->holding, &now_held->run, now_held);
}

/* Compares what a worker holds with what all others hold. */
static void
worker_check(PhTaskWorld *w, uint32_t worker)
{
    PhJobSize sum = {0};
    const GArray *runs = PhWorkerTasks_Runs(w->workers[worker].tasks);
    held_forget(w, worker);
    for (guint i = 0; i < runs->len; i++) {
        const PhWorkerRun *r = &g_array_index(runs, PhWorkerRun, i);
        sum = PhJobSize_Add(sum, r->size);
        held_add(w, worker, r);
    }
    w->counts.overcommitted += !PhJobSize_Fits(sum, worker_size(w, worker));
}

/* Lets a worker carry out a command. */
static void
worker_receive(PhTaskWorld *w, uint32_t worker, uint32_t instance,
               const PhWorldMail *mail)
{
    PhWorldWorker *to = &w->workers[worker];
    PhWorldMail reply = {.kind = WORLD_ANSWER, .generation = mail->generation};
    PhWorkerCommand command = mail->command;
    if (command.kind == PH_WORKER_START && w->run_percent > 0) {
        command.as.start.run_ms =
            command.as.start.run_ms * w->run_percent / 100;
    }
    PhWorkerTasks_Advance(to->tasks, worker_clock(w, to));
    held_forget(w, worker);
    reply.answer =
        PhWorkerTasks_Command(to->tasks, &command, worker_clock(w, to));
    worker_check(w, worker);
    mail_send(w, worker_endpoint(w, worker), instance, &reply);
}

/* Lets one event happen. */
static void
event_do(PhTaskWorld *w, const PhFakeEvent *event)
{
    if (event->to == log_endpoint(w)) {
        log_serve(w, event->from, event->body);
    }
    else if (event->to >= w->options.instances) {
        worker_receive(w, event->to - w->options.instances, event->from,
                       event->body);
    }
    else if (event->kind == PH_FAKE_TIMER) {
        instance_tick(w, event->to);
    }
    else {
        instance_receive(w, event->to, event->body);
    }
}

/* Runs until a time. */
uint64_t
PhTaskWorld_RunUntil(PhTaskWorld *w, PhTime until)
{
    PhFakeEvent event;
    uint64_t events = 0;
    while (PhFakeNet_Next(w->net, until, &event)) {
        event_do(w, &event);
        events++;
    }
    for (uint32_t i = 0; i < w->options.workers; i++) {
        PhWorkerTasks_Advance(w->workers[i].tasks,
                              worker_clock(w, &w->workers[i]));
        worker_check(w, i);
    }
    return events;
}

/* Gives the time. */
PhTime
PhTaskWorld_Now(const PhTaskWorld *w)
{
    return PhFakeNet_Now(w->net);
}

/* Gives the counts. */
const PhTaskWorldCounts *
PhTaskWorld_Counts(const PhTaskWorld *w)
{
    return &w->counts;
}

/* Gives the network. */
PhFakeNet *
PhTaskWorld_Net(PhTaskWorld *w)
{
    return w->net;
}

/* Gives the options of the log. */
PhFakeLogOptions *
PhTaskWorld_Log(PhTaskWorld *w)
{
    return PhFakeLog_Options(w->log);
}

/* Tells what the log has done. */
PhFakeLogCounts
PhTaskWorld_LogCounts(const PhTaskWorld *w)
{
    return PhFakeLog_Counts(w->log);
}

/* Submits a job. */
void
PhTaskWorld_Submit(PhTaskWorld *w, uint32_t instance, const PhJobSpec *spec)
{
    if (w->instances[instance].engine == NULL) {
        w->counts.refused++;
        return;
    }
    PhJobEvent event = {.kind = PH_JOB_SUBMIT};
    event.as.submit.token = ++w->next_id;
    event.as.submit.spec = spec;
    gint64 token = (gint64)event.as.submit.token;
    if (!g_hash_table_contains(w->submits, &spec->key)) {
        PhTime now = PhFakeNet_Now(w->net);
        g_hash_table_insert(w->submits, PhStr_KeyCreate(spec->key),
                            g_memdup2(&now, sizeof(now)));
    }
    g_hash_table_insert(w->tokens, g_memdup2(&token, sizeof(token)),
                        PhStr_KeyCreate(spec->key));
    engine_give(w, instance, &event);
}

/* Cancels a job. */
void
PhTaskWorld_Cancel(PhTaskWorld *w, uint32_t instance, PhStr key)
{
    PhJobEngine *engine = w->instances[instance].engine;
    const PhJobState *state =
        engine == NULL ? NULL : PhJobEngine_State(engine);
    const PhJob *job = state == NULL ? NULL : PhJobState_JobOfKey(state, key);
    if (job == NULL) {
        return;
    }
    PhJobEvent event = {.kind = PH_JOB_CANCEL};
    event.as.cancel.token = ++w->next_id;
    event.as.cancel.job = job->number;
    engine_give(w, instance, &event);
}

/* Ends the process of an instance. */
void
PhTaskWorld_Kill(PhTaskWorld *w, uint32_t instance)
{
    PhWorldInstance *in = &w->instances[instance];
    PhJobEngine_Destroy(in->engine);
    in->engine = NULL;
    in->append_id = 0;
    in->read_id = 0;
    PhFakeNet_Crash(w->net, instance);
}

/* Starts the process of an instance. */
void
PhTaskWorld_Replace(PhTaskWorld *w, uint32_t instance)
{
    PhWorldInstance *in = &w->instances[instance];
    PhTaskWorld_Kill(w, instance);
    in->generation++;
    PhBuf id = {0};
    PhBuf_AppendFormat(&id, "i%u/%u", instance, in->generation);
    in->engine = PhJobEngine_Create(
        &(PhJobEngineOptions){.instance = PhBuf_Str(&id),
                              .seed = PhRandom_U64(w->random),
                              .times = w->options.times,
                              .policy = w->options.policy},
        instance_clock(w, in));
    PhBuf_Clear(&id);
    PhJobEvent quotas = {.kind = PH_JOB_QUOTAS};
    quotas.as.quotas.teams = w->options.quotas;
    quotas.as.quotas.count = w->options.quota_count;
    engine_give(w, instance, &quotas);
    PhTime jitter = (PhTime)PhRandom_Below(w->random, PH_NS_PER_S / 10);
    PhFakeNet_SetTimer(w->net, instance, TOKEN_TICK,
                       PhFakeNet_Now(w->net) + jitter);
}

/* Tells whether the process of an instance runs. */
bool
PhTaskWorld_Alive(const PhTaskWorld *w, uint32_t instance)
{
    return w->instances[instance].engine != NULL;
}

/* Pauses an instance. */
void
PhTaskWorld_PauseInstance(PhTaskWorld *w, uint32_t instance, PhTime by)
{
    PhFakeNet_Pause(w->net, instance, PhFakeNet_Now(w->net) + by);
}

/* Pauses a worker. */
void
PhTaskWorld_PauseWorker(PhTaskWorld *w, uint32_t worker, PhTime by)
{
    PhFakeNet_Pause(w->net, worker_endpoint(w, worker),
                    PhFakeNet_Now(w->net) + by);
}

/* Cuts the link between an instance and the log. */
void
PhTaskWorld_CutLog(PhTaskWorld *w, uint32_t instance, bool cut)
{
    PhFakeNet_Link(w->net, instance, PH_WORLD_GROUP_LOG)->cut = cut;
    PhFakeNet_Link(w->net, PH_WORLD_GROUP_LOG, instance)->cut = cut;
}

/* Sets how long runs that start from now on take. */
void
PhTaskWorld_SetRunPercent(PhTaskWorld *w, uint32_t percent)
{
    w->run_percent = percent;
}

/* Cuts an instance off from a worker. */
void
PhTaskWorld_CutWorker(PhTaskWorld *w, uint32_t instance, uint32_t worker,
                      bool cut)
{
    uint32_t endpoint = worker_endpoint(w, worker);
    PhFakeNet_Silence(w->net, instance, endpoint, cut);
    PhFakeNet_Silence(w->net, endpoint, instance, cut);
}

/* Restarts a worker; what it held has ended. */
void
PhTaskWorld_RestartWorker(PhTaskWorld *w, uint32_t worker)
{
    PhWorldWorker *to = &w->workers[worker];
    const GArray *runs = PhWorkerTasks_Runs(to->tasks);
    for (guint i = 0; i < runs->len; i++) {
        PhRun run = g_array_index(runs, PhWorkerRun, i).run;
        const PhWorldHeld *held = g_hash_table_lookup(w->holding, &run);
        if (held != NULL && held->worker == worker) {
            g_hash_table_remove(w->holding, &run);
        }
    }
    PhWorkerTasks_Destroy(to->tasks);
    to->tasks = PhWorkerTasks_Create(PhRandom_U64(w->random) | 1,
                                     worker_size(w, worker));
    to->offset_ms = (int64_t)PhRandom_Below(w->random, 1000000) + 1;
}

/* Makes all starts on a worker fail, or no more. */
void
PhTaskWorld_FailWorker(PhTaskWorld *w, uint32_t worker, bool failing)
{
    PhWorkerTasks_SetFailing(w->workers[worker].tasks, failing);
}

/* Gives the tasks of a worker. */
const PhWorkerTasks *
PhTaskWorld_Worker(const PhTaskWorld *w, uint32_t worker)
{
    return w->workers[worker].tasks;
}

/* Finds the owner. */
int
PhTaskWorld_Owner(const PhTaskWorld *w)
{
    for (uint32_t i = 0; i < w->options.instances; i++) {
        const PhWorldInstance *in = &w->instances[i];
        if (in->engine != NULL &&
            PhJobEngine_Owns(in->engine, instance_clock(w, in))) {
            return (int)i;
        }
    }
    return -1;
}

/* Counts the owners. */
uint32_t
PhTaskWorld_Owners(const PhTaskWorld *w)
{
    uint32_t owners = 0;
    for (uint32_t i = 0; i < w->options.instances; i++) {
        const PhWorldInstance *in = &w->instances[i];
        owners += in->engine != NULL &&
                  PhJobEngine_Owns(in->engine, instance_clock(w, in));
    }
    return owners;
}

/* Finds the engine that has read furthest. */
const PhJobEngine *
PhTaskWorld_Engine(const PhTaskWorld *w)
{
    const PhJobEngine *best = NULL;
    uint64_t most = 0;
    for (uint32_t i = 0; i < w->options.instances; i++) {
        const PhJobEngine *engine = w->instances[i].engine;
        const PhJobState *state =
            engine == NULL ? NULL : PhJobEngine_State(engine);
        if (state != NULL && (best == NULL || PhJobState_Next(state) > most)) {
            best = engine;
            most = PhJobState_Next(state);
        }
    }
    return best;
}

/* Counts what was accepted and is not done. */
void
PhTaskWorld_Unfinished(const PhTaskWorld *w, uint64_t *lost,
                       uint64_t *unfinished)
{
    const PhJobEngine *engine = PhTaskWorld_Engine(w);
    const PhJobState *state =
        engine == NULL ? NULL : PhJobEngine_State(engine);
    GHashTableIter iter;
    gpointer key;
    *lost = 0;
    *unfinished = 0;
    g_hash_table_iter_init(&iter, w->keys);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        const PhJob *job =
            state == NULL ? NULL : PhJobState_JobOfKey(state, *(PhStr *)key);
        if (job == NULL) {
            (*lost)++;
        }
        else if (job->spec.class == PH_JOB_STANDING) {
            continue;
        }
        else if (!job->cancel_wanted) {
            *unfinished += job->spec.count - job->done;
        }
        else {
            *unfinished += job->placed;
        }
    }
}

/* Orders two times. */
static gint
time_compare(gconstpointer a, gconstpointer b)
{
    PhTime left = *(const PhTime *)a;
    PhTime right = *(const PhTime *)b;
    return (left > right) - (left < right);
}

/* Gives the start times. */
const GArray *
PhTaskWorld_StartTimes(PhTaskWorld *w)
{
    g_array_sort(w->start_times, time_compare);
    return w->start_times;
}

/* Counts the runs that workers hold. */
uint64_t
PhTaskWorld_Running(const PhTaskWorld *w)
{
    uint64_t running = 0;
    for (uint32_t i = 0; i < w->options.workers; i++) {
        running += PhWorkerTasks_Runs(w->workers[i].tasks)->len;
    }
    return running;
}
