#include "task_sim_private.h"

/* All runs of a task share a key, so the incarnation is left out. */
static guint
held_hash(gconstpointer key)
{
    PhRun run = *(const PhRun *)key;
    run.incarnation = 0;
    return (guint)PhRun_Digest(run);
}

static gboolean
held_equal(gconstpointer a, gconstpointer b)
{
    const PhRun *left = a;
    const PhRun *right = b;
    return left->job == right->job && left->index == right->index;
}

static guint
run_hash(gconstpointer key)
{
    return (guint)PhRun_Digest(*(const PhRun *)key);
}

static gboolean
run_equal(gconstpointer a, gconstpointer b)
{
    return PhRun_Equal(*(const PhRun *)a, *(const PhRun *)b);
}

static void
message_clear(void *body)
{
    PhSimMessage *message = body;
    if (message->records != NULL) {
        g_array_free(message->records, TRUE);
    }
    PhWorkerAnswer_Clear(&message->answer);
}

static void
entry_destroy(gpointer value)
{
    PhJobEntry_Clear(value);
    g_free(value);
}

uint32_t
PhTaskSim_WorkerEndpoint(const PhTaskSim *w, uint32_t worker)
{
    return w->options.instances + worker;
}

uint32_t
PhTaskSim_LogEndpoint(const PhTaskSim *w)
{
    return w->options.instances + w->options.workers;
}

PhTime
PhTaskSim_InstanceClock(const PhTaskSim *w, const PhSimInstance *in)
{
    return (PhTime)((double)PhFakeNet_Now(w->net) * in->rate) + PH_NS_PER_S;
}

int64_t
PhTaskSim_WorkerClock(const PhTaskSim *w, const PhSimWorker *worker)
{
    double now = (double)PhFakeNet_Now(w->net) * worker->rate;
    return worker->offset_ms + (int64_t)(now / (double)PH_NS_PER_MS);
}

void
PhTaskSim_Send(PhTaskSim *w, uint32_t from, uint32_t to,
               const PhSimMessage *message)
{
    PhSimMessage *body = g_rc_box_new(PhSimMessage);
    *body = *message;
    PhFakeNet_Send(w->net, from, to, 0, body);
}

/* Returns a clock rate within half of RATE_SPREAD_PPM of 1. */
static double
rate_draw(PhTaskSim *w)
{
    return 1.0 + ((PhRandom_Unit(w->random) - 0.5) * RATE_SPREAD_PPM / 1e6);
}

static void
links_set(PhTaskSim *w)
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

PhJobSize
PhTaskSim_WorkerSize(const PhTaskSim *w, uint32_t worker)
{
    PhJobSize size = w->options.worker_size;
    size.accelerators += w->options.uneven_workers && worker % 8 < 3;
    return size;
}

static void
workers_create(PhTaskSim *w)
{
    w->workers = g_new0(PhSimWorker, w->options.workers);
    for (uint32_t i = 0; i < w->options.workers; i++) {
        PhSimWorker *worker = &w->workers[i];
        PhBuf id = {0};
        PhBuf_AppendFormat(&id, "w%u", i);
        worker->id = PhBuf_Take(&id);
        PhBuf_AppendFormat(&id, "rack-%u", i / 8);
        worker->rack = PhBuf_Take(&id);
        worker->rate = rate_draw(w);
        worker->offset_ms = (int64_t)PhRandom_Below(w->random, 1000000) + 1;
        worker->tasks = PhWorkerTasks_Create(PhRandom_U64(w->random) | 1,
                                             PhTaskSim_WorkerSize(w, i));
        PhFakeNet_SetGroup(w->net, PhTaskSim_WorkerEndpoint(w, i),
                           PH_SIM_GROUP_WORKERS);
    }
}

/* All instances run on return. */
PhTaskSim *
PhTaskSim_Create(const PhTaskSimOptions *options)
{
    PhTaskSim *w = g_new0(PhTaskSim, 1);
    w->options = *options;
    if (w->options.tick == 0) {
        w->options.tick = PH_JOB_TICK_MS * PH_NS_PER_MS;
    }
    w->random = PhRandom_Create(options->seed);
    w->net = PhFakeNet_Create(options->seed + 1,
                              options->instances + options->workers + 1,
                              message_clear);
    w->log = PhFakeLog_Create(
        &(PhFakeLogOptions){.seed = options->seed + 2,
                            .retention = options->retention,
                            .delay_min = 5 * PH_NS_PER_MS,
                            .delay_extra = 5 * PH_NS_PER_MS,
                            .timeout = LOG_TIMEOUT_MS * PH_NS_PER_MS,
                            .lost_answers = options->lost_answers});
    w->entries = g_ptr_array_new_with_free_func(entry_destroy);
    w->held_runs = g_hash_table_new_full(held_hash, held_equal, NULL, g_free);
    w->started = g_hash_table_new_full(run_hash, run_equal, g_free, NULL);
    w->keys = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                    PhStr_KeyDestroy, NULL);
    w->finished = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                        PhStr_KeyDestroy, NULL);
    w->tokens = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                      PhStr_KeyDestroy);
    w->submits = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                       PhStr_KeyDestroy, g_free);
    w->start_times = g_array_new(FALSE, FALSE, sizeof(PhTime));
    links_set(w);
    PhFakeNet_SetGroup(w->net, PhTaskSim_LogEndpoint(w), PH_SIM_GROUP_LOG);
    workers_create(w);
    for (uint32_t i = 0; i < options->instances; i++) {
        PhFakeNet_SetGroup(w->net, i, i);
        w->instances[i].rate = rate_draw(w);
        PhTaskSim_Replace(w, i);
    }
    return w;
}

void
PhTaskSim_Destroy(PhTaskSim *w)
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
    g_hash_table_destroy(w->held_runs);
    g_hash_table_destroy(w->started);
    g_hash_table_destroy(w->keys);
    g_hash_table_destroy(w->finished);
    g_hash_table_destroy(w->tokens);
    g_hash_table_destroy(w->submits);
    g_array_free(w->start_times, TRUE);
    PhRandom_Destroy(w->random);
    g_free(w);
}

static void
event_handle(PhTaskSim *w, const PhFakeEvent *event)
{
    if (event->to == PhTaskSim_LogEndpoint(w)) {
        PhTaskSim_LogServe(w, event->from, event->body);
    }
    else if (event->to >= w->options.instances) {
        PhTaskSim_WorkerReceive(w, event->to - w->options.instances,
                                event->from, event->body);
    }
    else if (event->kind == PH_FAKE_TIMER) {
        PhTaskSim_InstanceTick(w, event->to);
    }
    else {
        PhTaskSim_InstanceReceive(w, event->to, event->body);
    }
}

uint64_t
PhTaskSim_RunUntil(PhTaskSim *w, PhTime until)
{
    PhFakeEvent event;
    uint64_t events = 0;
    while (PhFakeNet_Next(w->net, until, &event)) {
        event_handle(w, &event);
        events++;
    }
    for (uint32_t i = 0; i < w->options.workers; i++) {
        PhWorkerTasks_Advance(w->workers[i].tasks,
                              PhTaskSim_WorkerClock(w, &w->workers[i]));
        PhTaskSim_WorkerCheck(w, i);
    }
    return events;
}

PhTime
PhTaskSim_Now(const PhTaskSim *w)
{
    return PhFakeNet_Now(w->net);
}

const PhTaskSimCounts *
PhTaskSim_Counts(const PhTaskSim *w)
{
    return &w->counts;
}

PhFakeNet *
PhTaskSim_Net(PhTaskSim *w)
{
    return w->net;
}

PhFakeLogOptions *
PhTaskSim_LogOptions(PhTaskSim *w)
{
    return PhFakeLog_Options(w->log);
}

PhFakeLogCounts
PhTaskSim_LogCounts(const PhTaskSim *w)
{
    return PhFakeLog_Counts(w->log);
}

bool
PhTaskSim_IsAlive(const PhTaskSim *w, uint32_t instance)
{
    return w->instances[instance].engine != NULL;
}

int
PhTaskSim_Owner(const PhTaskSim *w)
{
    for (uint32_t i = 0; i < w->options.instances; i++) {
        const PhSimInstance *in = &w->instances[i];
        if (in->engine != NULL &&
            PhJobEngine_Owns(in->engine, PhTaskSim_InstanceClock(w, in))) {
            return (int)i;
        }
    }
    return -1;
}

uint32_t
PhTaskSim_CountOwners(const PhTaskSim *w)
{
    uint32_t owners = 0;
    for (uint32_t i = 0; i < w->options.instances; i++) {
        const PhSimInstance *in = &w->instances[i];
        owners += in->engine != NULL &&
                  PhJobEngine_Owns(in->engine, PhTaskSim_InstanceClock(w, in));
    }
    return owners;
}

const PhJobEngine *
PhTaskSim_LatestEngine(const PhTaskSim *w)
{
    const PhJobEngine *best = NULL;
    uint64_t most = 0;
    for (uint32_t i = 0; i < w->options.instances; i++) {
        const PhJobEngine *engine = w->instances[i].engine;
        const PhJobState *state =
            engine == NULL ? NULL : PhJobEngine_State(engine);
        if (state != NULL &&
            (best == NULL || PhJobState_NextOffset(state) > most)) {
            best = engine;
            most = PhJobState_NextOffset(state);
        }
    }
    return best;
}

/* Records the finished jobs, because the state keeps only the latest
 * PH_JOBS_FINISHED_MAX of them. */
static void
finished_record(PhTaskSim *w, const PhJobState *state)
{
    if (state == NULL) {
        return;
    }
    for (const PhJob *job = PhJobState_JobFrom(state, 0); job != NULL;
         job = PhJobState_JobFrom(state, job->number + 1)) {
        if (job->waiting == 0 && job->placed == 0 &&
            !g_hash_table_contains(w->finished, &job->spec.key)) {
            g_hash_table_add(w->finished, PhStr_KeyCreate(job->spec.key));
        }
    }
}

void
PhTaskSim_CountUnfinished(PhTaskSim *w, uint64_t *lost, uint64_t *unfinished)
{
    const PhJobEngine *engine = PhTaskSim_LatestEngine(w);
    const PhJobState *state =
        engine == NULL ? NULL : PhJobEngine_State(engine);
    GHashTableIter iter;
    gpointer key;
    *lost = 0;
    *unfinished = 0;
    finished_record(w, state);
    g_hash_table_iter_init(&iter, w->keys);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        const PhJob *job = state == NULL
                               ? NULL
                               : PhJobState_FindJobByKey(state, *(PhStr *)key);
        if (job == NULL) {
            *lost += !g_hash_table_contains(w->finished, key);
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

static gint
time_compare(gconstpointer a, gconstpointer b)
{
    PhTime left = *(const PhTime *)a;
    PhTime right = *(const PhTime *)b;
    return (left > right) - (left < right);
}

const GArray *
PhTaskSim_StartTimes(PhTaskSim *w)
{
    g_array_sort(w->start_times, time_compare);
    return w->start_times;
}

uint64_t
PhTaskSim_CountRunning(const PhTaskSim *w)
{
    uint64_t running = 0;
    for (uint32_t i = 0; i < w->options.workers; i++) {
        running += PhWorkerTasks_Runs(w->workers[i].tasks)->len;
    }
    return running;
}
