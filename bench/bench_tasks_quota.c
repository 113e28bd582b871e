#include "bench_tasks_quota.h"

#include "peridothill/bench/task_sim.h"

enum {
    INSTANCES = 3,
    WORKERS = 20,
    WORKER_CPU_MILLI = 64000,
    WORKER_MEMORY_MB = 256000,
    TASK_CPU_MILLI = 2000,
    TASK_MEMORY_MB = 4000,
    RUN_S = 30,
    /* The workers run 640 tasks at once; each team has a quota of half. */
    QUOTA_CPU_MILLI = 320 * TASK_CPU_MILLI,
    STEADY_TASKS_PER_S = 8,
    /* Five times what the workers run at once. */
    FLOOD_TASKS = 3200,
    FLOOD_AT_S = 60,
    UNTIL_S = 360,
};

static const PhTeamQuota quotas[] = {
    {{"flood", 5}, {QUOTA_CPU_MILLI, PH_QUOTA_NONE, PH_QUOTA_NONE}},
    {{"steady", 6}, {QUOTA_CPU_MILLI, PH_QUOTA_NONE, PH_QUOTA_NONE}},
};

/* Classes of the two teams, and whether the flood and the quotas are on. */
typedef struct PhFloodRun {
    PhJobClass flood;
    PhJobClass steady;
    bool flooded;
    bool limited;
} PhFloodRun;

static void
team_submit(PhTaskSim *w, PhStr team, PhJobClass class, uint32_t number,
            uint32_t count)
{
    PhBuf key = {0};
    PhBuf_AppendFormat(&key, "%.*s-%u", PhStr_ARG(team), number);
    PhJobSpec spec = {.key = PhBuf_Str(&key),
                      .team = team,
                      .class = class,
                      .run_ms = RUN_S * INT64_C(1000),
                      .size = {TASK_CPU_MILLI, TASK_MEMORY_MB, 0},
                      .count = count};
    PhTaskSim_Submit(w, number % INSTANCES, &spec);
    PhBuf_Clear(&key);
}

static uint64_t
team_done(const PhTaskSim *w, PhStr team)
{
    const PhJobState *state = PhJobEngine_State(PhTaskSim_LatestEngine(w));
    uint64_t done = 0;
    for (PhJob *job = PhJobState_JobFrom(state, 0); job != NULL;
         job = PhJobState_JobFrom(state, job->number + 1)) {
        if (PhStr_Equal(job->spec.team, team)) {
            done += job->done;
        }
    }
    return done;
}

/* Returns how many tasks of the steady team end after FLOOD_AT_S. */
static uint64_t
flood_run(uint64_t seed, const PhFloodRun *run)
{
    PhStr steady = PhStr_LITERAL("steady");
    PhTaskSimOptions options = {
        .seed = seed,
        .instances = INSTANCES,
        .workers = WORKERS,
        .worker_size = {WORKER_CPU_MILLI, WORKER_MEMORY_MB, 0},
        .times = PhLeaseTimes_Default(),
        .quotas = quotas,
        .quota_count = run->limited ? G_N_ELEMENTS(quotas) : 0,
        .link_delay = PH_NS_PER_MS};
    PhTaskSim *w = PhTaskSim_Create(&options);
    uint64_t before = 0;
    for (uint32_t s = 10; s < UNTIL_S; s++) {
        PhTaskSim_RunUntil(w, (PhTime)s * PH_NS_PER_S);
        if (s == FLOOD_AT_S) {
            before = team_done(w, steady);
        }
        if (s == FLOOD_AT_S && run->flooded) {
            team_submit(w, PhStr_LITERAL("flood"), run->flood, 0, FLOOD_TASKS);
        }
        team_submit(w, steady, run->steady, s, STEADY_TASKS_PER_S);
    }
    PhTaskSim_RunUntil(w, UNTIL_S * PH_NS_PER_S);
    uint64_t done = team_done(w, steady) - before;
    PhTaskSim_Destroy(w);
    return done;
}

/* Prints what the steady team completes during a flood, relative to the same
 * run without it. */
static void
flood_print(const PhBenchOptions *options, const char *metric,
            const char *policy, PhFloodRun run)
{
    run.flooded = false;
    uint64_t undisturbed = flood_run(options->seed, &run);
    run.flooded = true;
    uint64_t kept = flood_run(options->seed, &run);
    PhBench_PrintRow(options, metric, policy,
                     (double)kept / (double)MAX(undisturbed, 1), "ratio");
}

/* Measurement 5: the part of its entitlement that a team keeps during a
 * flood. */
void
PhBenchTasks_Quotas(const PhBenchOptions *options)
{
    static const struct {
        const char *metric;
        PhJobClass flood;
        PhJobClass steady;
    } floods[] = {
        {"flood_of_batch_kept_batch", PH_JOB_BATCH, PH_JOB_BATCH},
        {"flood_of_urgent_kept_batch", PH_JOB_URGENT, PH_JOB_BATCH},
        {"flood_of_urgent_kept_urgent", PH_JOB_URGENT, PH_JOB_URGENT},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(floods); i++) {
        PhFloodRun run = {.flood = floods[i].flood,
                          .steady = floods[i].steady};
        flood_print(options, floods[i].metric, "no-quotas", run);
        run.limited = true;
        flood_print(options, floods[i].metric, "quotas", run);
    }
}
