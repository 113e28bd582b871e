#include <malloc.h>

#include "bench_tasks_quota.h"
#include "peridothill/bench/bench.h"
#include "peridothill/bench/task_faults.h"
#include "peridothill/bench/task_sim.h"
#include "peridothill/common/random.h"

enum {
    METRIC_BYTES = 64,
    FAULT_SEEDS = 150,
    FAULT_RUN_S = 200,
    TAKEOVER_SEEDS = 20,
    TAKEOVER_STEP_MS = 50,
    OUTAGE_S = 600,
    TARGET_WORKERS = 3200,
    TARGET_STARTS_PER_S = 280,
    URGENT_RUN_S = 40,
    PLACEMENTS = 20000,
    FILL_PER_WORKER = 24,
    MEMORY_STEP_BYTES = 16, /* rounds off differences between allocators */
    CENTRE_WORKERS = 457,   /* of the target, in one of seven data centres */
    CENTRE_TASKS = 10143,
    CENTRE_RUN_S = 120,
};

static PhTaskSimOptions
sim_options(uint64_t seed, uint32_t instances, uint32_t workers)
{
    return (PhTaskSimOptions){.seed = seed,
                              .instances = instances,
                              .workers = workers,
                              .worker_size = {64000, 256000, 2},
                              .times = PhLeaseTimes_Default(),
                              .link_delay = PH_NS_PER_MS};
}

static void
job_submit(PhTaskSim *w, uint32_t instance, uint64_t number, PhJobClass class,
           uint32_t count, int64_t run_ms, int64_t accelerators)
{
    PhBuf key = {0};
    PhBuf_AppendFormat(&key, "job-%" G_GUINT64_FORMAT, number);
    PhJobSpec spec = {.key = PhBuf_Str(&key),
                      .team = PhStr_LITERAL("routes"),
                      .class = class,
                      .run_ms = run_ms,
                      .size = {2000, 4000, accelerators},
                      .count = count};
    PhTaskSim_Submit(w, instance, &spec);
    PhBuf_Clear(&key);
}

/* Returns the time until an instance owns the data centre. */
static PhTime
owner_wait(PhTaskSim *w)
{
    PhTime begin = PhTaskSim_Now(w);
    while (PhTaskSim_Owner(w) < 0) {
        PhTaskSim_RunUntil(w, PhTaskSim_Now(w) +
                                  (TAKEOVER_STEP_MS * PH_NS_PER_MS));
    }
    return PhTaskSim_Now(w) - begin;
}

/* Kills the owner; with `outage` the log is down before the kill and for
 * OUTAGE_S after it.  Returns the time in which no instance could start tasks,
 * from the kill or from the end of the outage. */
static PhTime
takeover_run(uint64_t seed, bool outage, uint64_t *lapsed)
{
    PhTaskSimOptions options = sim_options(seed, 3, 8);
    PhTaskSim *w = PhTaskSim_Create(&options);
    owner_wait(w);
    job_submit(w, 0, 1, PH_JOB_STANDING, 40, 0, 0);
    PhTaskSim_RunUntil(w, (20 + (PhTime)(seed % 7)) * PH_NS_PER_S);
    int owner = PhTaskSim_Owner(w);
    PhTaskSim_LogOptions(w)->outage = outage;
    PhTaskSim_Kill(w, (uint32_t)MAX(owner, 0));
    if (outage) {
        PhTaskSim_RunUntil(w, PhTaskSim_Now(w) + OUTAGE_S * PH_NS_PER_S);
        PhTaskSim_LogOptions(w)->outage = false;
    }
    PhTime taken = owner_wait(w);
    PhTaskSim_RunUntil(w, PhTaskSim_Now(w) + (60 * PH_NS_PER_S));
    *lapsed += PhTaskSim_Counts(w)->lapsed + 40 - PhTaskSim_CountRunning(w);
    PhTaskSim_Destroy(w);
    return taken;
}

/* Measurement 4: takeover. */
static void
bench_takeover(const PhBenchOptions *options, bool outage)
{
    const char *policy = outage ? "log_down_600_s" : "log_up";
    PhTime longest = 0;
    PhTime sum = 0;
    uint64_t lapsed = 0;
    for (uint64_t i = 0; i < TAKEOVER_SEEDS; i++) {
        PhTime taken = takeover_run(options->seed + i, outage, &lapsed);
        longest = MAX(longest, taken);
        sum += taken;
    }
    PhBench_PrintRow(options, "takeover_mean", policy,
                     (double)sum / TAKEOVER_SEEDS / (double)PH_NS_PER_S, "s");
    PhBench_PrintRow(options, "takeover_max", policy,
                     (double)longest / (double)PH_NS_PER_S, "s");
    PhBench_PrintRow(options, "takeover_runs_ended", policy, (double)lapsed,
                     "runs");
}

/* Measurement 4: random faults. */
static void
bench_faults(const PhBenchOptions *options)
{
    uint64_t seeds = options->steps > 0 ? options->steps : FAULT_SEEDS;
    uint64_t lost = 0;
    uint64_t duplicate_runs = 0;
    uint64_t unfinished = 0;
    uint64_t starts = 0;
    uint64_t events = 0;
    for (uint64_t i = 0; i < seeds; i++) {
        PhTaskFaultsResult r =
            PhTaskFaults_Run(options->seed + i, FAULT_RUN_S * PH_NS_PER_S);
        lost += r.lost;
        duplicate_runs += r.counts.duplicate_runs + r.counts.overcommitted;
        unfinished += r.unfinished + PH_FAULTS_STANDING_TASKS - r.standing;
        starts += r.counts.starts;
        events += r.events;
    }
    PhBench_PrintRow(options, "faults_seeds", "engine", (double)seeds, "runs");
    PhBench_PrintRow(options, "faults_events", "engine", (double)events,
                     "events");
    PhBench_PrintRow(options, "faults_starts", "engine", (double)starts,
                     "runs");
    PhBench_PrintRow(options, "faults_jobs_lost", "engine", (double)lost,
                     "jobs");
    PhBench_PrintRow(options, "faults_doubled", "engine",
                     (double)duplicate_runs, "runs");
    PhBench_PrintRow(options, "faults_unfinished", "engine",
                     (double)unfinished, "tasks");
}

/* Measurement 2: urgent tasks on all workers of the target, in one data
 * centre. */
static void
bench_urgent(const PhBenchOptions *options)
{
    PhTaskSimOptions o = sim_options(options->seed, 1, TARGET_WORKERS);
    o.uneven_workers = true;
    PhTaskSim *w = PhTaskSim_Create(&o);
    PhTaskSim_RunUntil(w, 15 * PH_NS_PER_S);
    PhTime step = PH_NS_PER_S / TARGET_STARTS_PER_S;
    PhTime begin = PhTaskSim_Now(w);
    const uint64_t jobs = (uint64_t)TARGET_STARTS_PER_S * URGENT_RUN_S;
    for (uint64_t i = 0; i < jobs; i++) {
        job_submit(w, 0, i, PH_JOB_URGENT, 1, 20000, (int64_t)(i % 2));
        PhTaskSim_RunUntil(w, begin + ((PhTime)(i + 1) * step));
    }
    PhTaskSim_RunUntil(w, PhTaskSim_Now(w) + (10 * PH_NS_PER_S));
    const GArray *t = PhTaskSim_StartTimes(w);
    PhTime p99 = t->len > 0 ? g_array_index(t, PhTime, t->len * 99 / 100) : 0;
    PhTime most = t->len > 0 ? g_array_index(t, PhTime, t->len - 1) : 0;
    PhBench_PrintRow(options, "urgent_started", "indexed", (double)t->len,
                     "runs");
    PhBench_PrintRow(options, "urgent_start_p99", "indexed",
                     (double)p99 / (double)PH_NS_PER_S, "s");
    PhBench_PrintRow(options, "urgent_start_max", "indexed",
                     (double)most / (double)PH_NS_PER_S, "s");
    PhTaskSim_Destroy(w);
}

/* Measurement 3: placement on workers that are mostly in use; each step places
 * one task and releases the oldest. */
static void
bench_placement(const PhBenchOptions *options, PhPlacementPolicy policy,
                const char *name, uint32_t workers)
{
    PhPlacement *p = PhPlacement_Create(policy);
    PhRandom *random = PhRandom_Create(options->seed);
    GQueue placed = G_QUEUE_INIT;
    uint64_t done = 0;
    int64_t spent = 0;
    for (uint32_t i = 0; i < workers; i++) {
        PhPlacement_SetWorker(p, i, (PhJobSize){64000, 256000, 2},
                              PhStr_LITERAL("rack"), true);
    }
    const uint64_t filling = (uint64_t)workers * FILL_PER_WORKER;
    for (uint64_t i = 0; i < PLACEMENTS + filling; i++) {
        PhJobSize size = {2000 + (int64_t)PhRandom_Below(random, 1000), 4000,
                          0};
        bool counted = i >= filling;
        int64_t begin = counted ? PhBench_CpuTimeNs() : 0;
        uint32_t worker = PhPlacement_Choose(p, i, size);
        if (worker != PH_PLACEMENT_NONE) {
            PhPlacement_Commit(p, worker, i, size, true);
        }
        spent += counted ? PhBench_CpuTimeNs() - begin : 0;
        if (worker != PH_PLACEMENT_NONE) {
            done += counted;
            PhWorkerRun *r = g_new0(PhWorkerRun, 1);
            r->run.job = i;
            r->run.index = worker;
            r->size = size;
            g_queue_push_tail(&placed, r);
        }
        if (counted || worker == PH_PLACEMENT_NONE) {
            PhWorkerRun *r = g_queue_pop_head(&placed);
            PhPlacement_Release(p, r->run.index, r->run.job, r->size);
            g_free(r);
        }
    }
    char metric[METRIC_BYTES];
    snprintf(metric, sizeof(metric), "placement_%u_workers", workers);
    PhBench_PrintRow(options, metric, name, (double)spent / (double)PLACEMENTS,
                     "ns");
    snprintf(metric, sizeof(metric), "placement_%u_workers_placed", workers);
    PhBench_PrintRow(options, metric, name, 100.0 * (double)done / PLACEMENTS,
                     "percent");
    g_queue_clear_full(&placed, g_free);
    PhRandom_Destroy(random);
    PhPlacement_Destroy(p);
}

/* Measurement 3: lease renewals of one data centre of the target at rest,
 * shared by `instances`. */
static void
bench_renewal(const PhBenchOptions *options, uint32_t instances)
{
    PhTaskSimOptions o = sim_options(options->seed, instances, CENTRE_WORKERS);
    o.measured = true;
    PhTaskSim *w = PhTaskSim_Create(&o);
    PhTaskSim_RunUntil(w, 10 * PH_NS_PER_S);
    struct mallinfo2 before = mallinfo2();
    job_submit(w, 0, 1, PH_JOB_STANDING, CENTRE_TASKS, 0, 0);
    PhTaskSim_RunUntil(w, 60 * PH_NS_PER_S);
    struct mallinfo2 after = mallinfo2();
    PhTaskSimCounts a = *PhTaskSim_Counts(w);
    PhTaskSim_RunUntil(w, (60 + CENTRE_RUN_S) * PH_NS_PER_S);
    const PhTaskSimCounts *b = PhTaskSim_Counts(w);
    double daemon_s = (double)instances * CENTRE_RUN_S;
    char policy[METRIC_BYTES];
    snprintf(policy, sizeof(policy), "%u_instances", instances);
    PhBench_PrintRow(options, "centre_running", policy,
                     (double)PhTaskSim_CountRunning(w), "runs");
    PhBench_PrintRow(options, "centre_worker_bytes", policy,
                     (double)(b->worker_bytes - a.worker_bytes) / daemon_s,
                     "bytes_per_s_and_daemon");
    PhBench_PrintRow(options, "centre_log_bytes", policy,
                     (double)(b->log_bytes - a.log_bytes) / daemon_s,
                     "bytes_per_s_and_daemon");
    PhBench_PrintRow(options, "centre_engine_per_s", policy,
                     (double)(b->engine_ns - a.engine_ns) / daemon_s, "ns");
    uint64_t memory =
        (after.uordblks - before.uordblks) / CENTRE_TASKS / instances;
    PhBench_PrintRow(options, "centre_memory_per_task", policy,
                     (double)(memory - (memory % MEMORY_STEP_BYTES)), "bytes");
    PhTaskSim_Destroy(w);
}

PhResult
PhBench_Tasks(const PhBenchOptions *options)
{
    static const uint32_t sizes[] = {50, 500, TARGET_WORKERS};
    bench_takeover(options, false);
    bench_takeover(options, true);
    bench_faults(options);
    bench_urgent(options);
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        bench_placement(options, PH_PLACEMENT_INDEXED, "indexed", sizes[i]);
        bench_placement(options, PH_PLACEMENT_FIRST_FIT, "first_fit",
                        sizes[i]);
        bench_placement(options, PH_PLACEMENT_LEAST_LOADED, "least_loaded",
                        sizes[i]);
    }
    PhBenchTasks_Quotas(options);
    bench_renewal(options, 2);
    bench_renewal(options, 8);
    return PhResult_Ok();
}
