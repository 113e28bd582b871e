#include "peridothill/bench/schedule_fleet.h"

#include <math.h>

#include "peridothill/bench/bench.h"

enum {
    STEP_MS = 5,
    WORKER_CPU_MILLI = 64000,
    WORKER_MEM_MB = 256000,
    SERVING_CPU_MILLI = 13000,
    SERVING_TASKS = 14, /* per long-running job */
    SERVING_IMAGES = 10,
    BACKFILL_IMAGES = 18,
    BACKFILL_CPU_MILLI = 7000,
    PLAIN_CPU_MILLI = 4000,
    TASK_MEM_MB = 4000,
    BACKFILL_RUN_MS = 2200,
    PLAIN_RUN_MS = 800,
    TAIL_TARGET_MS = 18,
    LOAD_PERIOD_MS = 10000,
    RACK_WORKERS = 20,
};

/* Base load of a serving task, amplitude of its swing, and the load that
 * backfill on a whole worker adds, for pairs of images that interfere and for
 * others. */
static const double BASE_LOAD = 0.42;
static const double LOAD_AMPLITUDE = 0.21;
static const double INTERFERING_FACTOR = 2.0;
static const double OTHER_FACTOR = 0.15;
static const double IDLE_TAIL_SHARE = 0.22;
static const double LOAD_MAX = 0.95;

/* `task` belongs to the scheduler. */
typedef struct PhFleetRun {
    PhSchedTask *task;
    uint32_t run;
    PhTime ends_at;
} PhFleetRun;

/* A worker and its pending hold order. */
typedef struct PhFleetWorker {
    PhStr id;
    GArray *runs; /* PhFleetRun */
    GArray *ends; /* PhSchedEndRow */
    uint64_t next_end;
    bool hold_pending;
    PhTime answer_at;
} PhFleetWorker;

struct PhScheduleFleet {
    PhScheduleFleetOptions options;
    PhScheduler *scheduler;
    PhRandom *random;
    PhTime now;
    PhFleetWorker *workers;
    GHashTable *by_id; /* PhFleetWorker */
    uint64_t next_job;
    double jobs_due; /* jobs due for submission */
    uint64_t batch;
    PhScheduleFleetCounts counts;
};

static void
worker_clear(PhFleetWorker *w)
{
    g_array_free(w->runs, TRUE);
    g_array_free(w->ends, TRUE);
    PhStr_Clear(&w->id);
}

static void
worker_register(PhScheduleFleet *f, unsigned i)
{
    PhFleetWorker *w = &f->workers[i];
    PhBuf id = {0};
    PhBuf_AppendFormat(&id, "worker-%u", i);
    w->id = PhBuf_Take(&id);
    w->runs = g_array_new(FALSE, TRUE, sizeof(PhFleetRun));
    w->ends = g_array_new(FALSE, TRUE, sizeof(PhSchedEndRow));
    PhBuf rack = {0};
    PhBuf_AppendFormat(&rack, "r%u", i / RACK_WORKERS);
    PhSchedWorkerEntry entry = {
        .id = PhStr_Dup(w->id),
        .born_ms = 1,
        .address = PhStr_Dup(w->id),
        .service = PhStr_Dup(PhStr_LITERAL("service")),
        .rack = PhBuf_Take(&rack),
        .capacity = {.cpu_milli = WORKER_CPU_MILLI, .mem_mb = WORKER_MEM_MB}};
    PhScheduler_SetWorker(f->scheduler, &entry, f->now);
    g_hash_table_insert(f->by_id, &w->id, w);
}

static void
job_submit(PhScheduleFleet *f, const PhSchedStep *step, unsigned image)
{
    PhBuf id = {0};
    PhBuf name = {0};
    PhBuf_AppendFormat(&id, "%016llx", (unsigned long long)++f->next_job);
    PhBuf_AppendFormat(&name, "image-%u", image);
    PhSchedSpec spec = {.id = PhBuf_Take(&id), .step_count = 1};
    spec.terms.service = PhStr_Dup(PhStr_LITERAL("service"));
    spec.terms.stretch = 2;
    spec.terms.slack = PH_NS_PER_S;
    spec.terms.priority = step->fills ? 2 : 0;
    spec.steps = g_new0(PhSchedStep, 1);
    spec.steps[0] = *step;
    spec.steps[0].image = PhBuf_Take(&name);
    PhSchedModel_AddJob(PhScheduler_Model(f->scheduler), &spec, f->now);
}

static void
serving_jobs_submit(PhScheduleFleet *f)
{
    double declared = f->options.serving_share * f->options.workers *
                      WORKER_CPU_MILLI / SERVING_CPU_MILLI;
    PhSchedStep step = {
        .count = SERVING_TASKS,
        .resources = {.cpu_milli = SERVING_CPU_MILLI, .mem_mb = TASK_MEM_MB},
        .long_running = true,
        .tail_latency_target = TAIL_TARGET_MS * PH_NS_PER_MS};
    for (int i = 0; i < (int)(declared / SERVING_TASKS); i++) {
        job_submit(f, &step, (unsigned)(i % SERVING_IMAGES));
    }
}

/* Submits short jobs, every other one backfill. */
static void
jobs_arrive(PhScheduleFleet *f)
{
    f->jobs_due += f->options.jobs_per_s * STEP_MS / 1000;
    for (; f->jobs_due >= 1; f->jobs_due--) {
        bool fills = f->next_job % 2 == 0;
        PhSchedStep step = {
            .count = f->options.tasks,
            .resources = {.cpu_milli =
                              fills ? BACKFILL_CPU_MILLI : PLAIN_CPU_MILLI,
                          .mem_mb = TASK_MEM_MB},
            .estimate =
                (fills ? BACKFILL_RUN_MS : PLAIN_RUN_MS) * PH_NS_PER_MS,
            .saves_progress = fills,
            .fills = fills};
        unsigned kinds = fills ? BACKFILL_IMAGES : 1;
        job_submit(f, &step,
                   SERVING_IMAGES +
                       (unsigned)PhRandom_Below(f->random, kinds));
    }
}

static void
cost_add(PhScheduleFleet *f, PhScheduleCost cost, int64_t begin)
{
    f->counts.cost_ns[cost] += PhBench_CpuTimeNs() - begin;
}

static void
order_start(PhScheduleFleet *f, PhFleetWorker *w, const PhSchedRunOrder *order)
{
    PhSchedTask *task =
        PhSchedModel_Task(PhScheduler_Model(f->scheduler), &order->task);
    const PhSchedStep *step = PhSchedTask_Step(task);
    int64_t run_ms = step->fills ? BACKFILL_RUN_MS : PLAIN_RUN_MS;
    PhFleetRun run = {
        .task = task,
        .run = order->run,
        .ends_at = step->long_running
                       ? PH_TIME_NEVER
                       : f->now + run_ms * PH_NS_PER_MS / 2 +
                             (PhTime)PhRandom_Below(
                                 f->random, (uint64_t)run_ms * PH_NS_PER_MS)};
    g_array_append_val(w->runs, run);
    f->counts.starts++;
}

static void
run_end(PhFleetWorker *w, guint i, PhSchedEndKind kind)
{
    const PhFleetRun *run = &g_array_index(w->runs, PhFleetRun, i);
    PhSchedEndRow end = {.number = ++w->next_end,
                         .task = PhSchedTask_Name(run->task),
                         .run = run->run,
                         .kind = kind};
    g_array_append_val(w->ends, end);
    g_array_remove_index_fast(w->runs, i);
}

static void
order_stop(PhScheduleFleet *f, PhFleetWorker *w, const PhSchedRunOrder *order)
{
    const PhSchedTask *task =
        PhSchedModel_Task(PhScheduler_Model(f->scheduler), &order->task);
    for (guint i = w->runs->len; i-- > 0;) {
        const PhFleetRun *run = &g_array_index(w->runs, PhFleetRun, i);
        if (run->task == task && run->run == order->run) {
            run_end(w, i, PH_SCHED_END_STOPPED);
        }
    }
}

/* All orders but holds are answered immediately. */
static void
order_apply(PhScheduleFleet *f, const PhSchedAction *a)
{
    PhFleetWorker *w = g_hash_table_lookup(f->by_id, &a->worker);
    PhSchedRunReply reply = {.task = a->as.run.task,
                             .run = a->as.run.run,
                             .born_ms = a->born_ms,
                             .outcome = PH_SCHED_OUTCOME_DONE,
                             .clock_ms = f->now / PH_NS_PER_MS};
    int64_t begin;
    switch (a->tag) {
    case PH_SCHED_ACTION_HOLD:
        while (w->ends->len > 0 &&
               g_array_index(w->ends, PhSchedEndRow, 0).number <=
                   a->as.hold.last_seen) {
            g_array_remove_index(w->ends, 0);
        }
        w->hold_pending = true;
        w->answer_at = f->now + a->as.hold.wait;
        return;
    case PH_SCHED_ACTION_START:
        order_start(f, w, &a->as.run);
        begin = PhBench_CpuTimeNs();
        PhScheduler_OnStart(f->scheduler, &reply, f->now);
        cost_add(f, PH_SCHEDULE_COST_ORDERS, begin);
        return;
    case PH_SCHED_ACTION_STOP:
        order_stop(f, w, &a->as.run);
        PhScheduler_OnStop(f->scheduler, &reply, f->now);
        return;
    case PH_SCHED_ACTION_PACE:
        PhScheduler_OnPace(f->scheduler, &reply.task, reply.run, reply.outcome,
                           f->now);
        return;
    }
}

static void
orders_apply(PhScheduleFleet *f)
{
    PhSchedAction action;
    for (;;) {
        int64_t begin = PhBench_CpuTimeNs();
        bool more = PhScheduler_NextAction(f->scheduler, f->now, &action);
        cost_add(f, PH_SCHEDULE_COST_ORDERS, begin);
        if (!more) {
            return;
        }
        order_apply(f, &action);
    }
}

/* Returns true if backfill of this image slows the serving task. */
static bool
is_interfering(const PhSchedTask *fill, const PhSchedTask *serving)
{
    enum {
        IMAGE_KINDS = 3
    };
    return PhSchedTask_Step(fill)->image_number % IMAGE_KINDS ==
           PhSchedTask_Step(serving)->image_number % IMAGE_KINDS;
}

/* Computes the tail latency from the load curve and the backfill on the
 * worker. */
static int64_t
tail_ms(const PhScheduleFleet *f, const PhFleetWorker *w,
        const PhSchedTask *task)
{
    double phase = (double)f->now / (double)(LOAD_PERIOD_MS * PH_NS_PER_MS) +
                   (double)(task->stage->job->spec.id.data[15] % 16) / 16;
    double load = BASE_LOAD + LOAD_AMPLITUDE * sin(2 * G_PI * phase);
    for (guint i = 0; i < w->runs->len; i++) {
        const PhFleetRun *run = &g_array_index(w->runs, PhFleetRun, i);
        const PhSchedStep *step = PhSchedTask_Step(run->task);
        if (step->fills) {
            load += (is_interfering(run->task, task) ? INTERFERING_FACTOR
                                                     : OTHER_FACTOR) *
                    (double)step->resources.cpu_milli / WORKER_CPU_MILLI *
                    run->task->percent / 100;
        }
    }
    load = MIN(load, LOAD_MAX);
    return (int64_t)(IDLE_TAIL_SHARE * TAIL_TARGET_MS / (1 - load) + 0.5);
}

static void
hold_reply(PhScheduleFleet *f, PhFleetWorker *w)
{
    PhSchedRunRow *rows = g_new0(PhSchedRunRow, MAX(w->runs->len, 1));
    for (guint i = 0; i < w->runs->len; i++) {
        const PhFleetRun *run = &g_array_index(w->runs, PhFleetRun, i);
        const PhSchedStep *step = PhSchedTask_Step(run->task);
        rows[i] = (PhSchedRunRow){
            .task = PhSchedTask_Name(run->task),
            .run = run->run,
            .usage_sample = step->long_running ? tail_ms(f, w, run->task)
                                               : step->resources.cpu_milli};
    }
    PhSchedHoldReply reply = {.outcome = PH_SCHED_OUTCOME_DONE,
                              .clock_ms = f->now / PH_NS_PER_MS,
                              .born_ms = 1,
                              .runs = rows,
                              .run_count = w->runs->len,
                              .ends = (PhSchedEndRow *)w->ends->data,
                              .end_count = w->ends->len};
    w->hold_pending = false;
    f->counts.hold_replies++;
    f->counts.ends += w->ends->len;
    int64_t begin = PhBench_CpuTimeNs();
    PhScheduler_OnHold(f->scheduler, w->id, 1, &reply, f->now);
    cost_add(f, PH_SCHEDULE_COST_HOLD_REPLIES, begin);
    g_free(rows);
}

static void
workers_advance(PhScheduleFleet *f)
{
    for (unsigned i = 0; i < f->options.workers; i++) {
        PhFleetWorker *w = &f->workers[i];
        for (guint j = w->runs->len; j-- > 0;) {
            if (g_array_index(w->runs, PhFleetRun, j).ends_at <= f->now) {
                run_end(w, j, PH_SCHED_END_DONE);
            }
        }
        if (w->hold_pending && (w->answer_at <= f->now || w->ends->len > 0)) {
            hold_reply(f, w);
        }
    }
}

/* Marks the previous batch as durable and takes the next one. */
static void
batch_take(PhScheduleFleet *f)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(PhSchedRecord));
    int64_t begin = PhBench_CpuTimeNs();
    if (f->batch != 0) {
        PhScheduler_OnDurable(f->scheduler, f->batch);
    }
    f->batch = PhScheduler_TakeBatch(f->scheduler, list);
    for (guint i = 0; i < list->len; i++) {
        PhSchedRecord_Clear(&g_array_index(list, PhSchedRecord, i));
    }
    cost_add(f, PH_SCHEDULE_COST_RECORDS, begin);
    PhScheduler_ClearEvents(f->scheduler);
    g_array_free(list, TRUE);
}

void
PhScheduleFleet_Run(PhScheduleFleet *f, PhTime span, bool with_traffic)
{
    PhTime end = f->now + span;
    while (f->now < end) {
        f->now += STEP_MS * PH_NS_PER_MS;
        if (with_traffic) {
            jobs_arrive(f);
        }
        workers_advance(f);
        int64_t begin = PhBench_CpuTimeNs();
        PhScheduler_Plan(f->scheduler, f->now, f->now / PH_NS_PER_MS);
        cost_add(f, PH_SCHEDULE_COST_PLAN, begin);
        batch_take(f);
        orders_apply(f);
    }
}

PhScheduleFleetCounts
PhScheduleFleet_Counts(const PhScheduleFleet *f)
{
    PhScheduleFleetCounts counts = f->counts;
    const GPtrArray *active = PhScheduler_Model(f->scheduler)->active;
    counts.waiting = 0;
    for (guint i = 0; i < active->len; i++) {
        const PhSchedJob *job = g_ptr_array_index(active, i);
        counts.waiting += PhSchedJob_Stage(job, 0, 0)->waiting;
    }
    return counts;
}

PhScheduleFleet *
PhScheduleFleet_Create(const PhScheduleFleetOptions *options)
{
    PhScheduleFleet *f = g_new0(PhScheduleFleet, 1);
    f->options = *options;
    f->now = options->begin;
    f->random = PhRandom_Create(options->seed);
    f->scheduler = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S});
    f->by_id = g_hash_table_new(PhStr_KeyHash, PhStr_KeyEqual);
    f->workers = g_new0(PhFleetWorker, options->workers);
    for (unsigned i = 0; i < options->workers; i++) {
        worker_register(f, i);
    }
    PhScheduler_SetFence(f->scheduler, 1, f->now);
    serving_jobs_submit(f);
    return f;
}

/* `f` may be NULL. */
void
PhScheduleFleet_Destroy(PhScheduleFleet *f)
{
    if (f == NULL) {
        return;
    }
    for (unsigned i = 0; i < f->options.workers; i++) {
        worker_clear(&f->workers[i]);
    }
    g_free(f->workers);
    g_hash_table_destroy(f->by_id);
    PhScheduler_Destroy(f->scheduler);
    PhRandom_Destroy(f->random);
    g_free(f);
}
