#include <glib.h>

#include "peridothill/bench/capacity.h"
#include "peridothill/bench/task_sim.h"
#include "peridothill/common/random.h"
#include "peridothill/decide/tasks/placement.h"

enum {
    RACK_WORKERS = 8,
    TASKS_PER_WORKER = 22,
    JOB_TASKS = 110,
    PLACEMENTS = 100000,
    ID_BYTES = 24,
    OWNER_WARM_UP_S = 40,
    OWNER_RUN_S = 60,
    INSTANCES = 8, /* of a data centre */
    START_WARM_UP_S = 40,
    START_RUN_S = 40,
    BATCH_RUN_MS = 20000,
};

static const PhJobSize worker_size = {64000, 250000, 2};
static const PhJobSize task_size = {2000, 8000, 0};

/* The workers are about two thirds full. */
void
PhCapacity_Placement(const PhBenchOptions *options)
{
    PhCapacitySeries cpu = {"placement_cpu", "ns", "workers", {50, 500, 3200}};
    for (int i = 0; i < PH_CAPACITY_SIZES; i++) {
        uint32_t n = cpu.sizes[i];
        PhPlacement *p = PhPlacement_Create(PH_PLACEMENT_INDEXED);
        PhRandom *random = PhRandom_Create(options->seed);
        uint32_t held = n * TASKS_PER_WORKER;
        uint32_t *where = g_new(uint32_t, held);
        for (uint32_t w = 0; w < n; w++) {
            char rack[ID_BYTES];
            g_snprintf(rack, sizeof(rack), "r%u", w / RACK_WORKERS);
            PhPlacement_SetWorker(p, w, worker_size, PhStr_FromC(rack), true);
        }
        for (uint32_t t = 0; t < held; t++) {
            where[t] = PhPlacement_Choose(p, t / JOB_TASKS, task_size);
            PhPlacement_Commit(p, where[t], t / JOB_TASKS, task_size, true);
        }
        int64_t start = PhBench_CpuTimeNs();
        for (int k = 0; k < PLACEMENTS; k++) {
            uint32_t t = (uint32_t)PhRandom_Below(random, held);
            PhPlacement_Release(p, where[t], t / JOB_TASKS, task_size);
            where[t] = PhPlacement_Choose(p, t / JOB_TASKS, task_size);
            PhPlacement_Commit(p, where[t], t / JOB_TASKS, task_size, true);
        }
        cpu.values[i] = (double)(PhBench_CpuTimeNs() - start) / PLACEMENTS;
        g_free(where);
        PhRandom_Destroy(random);
        PhPlacement_Destroy(p);
    }
    PhCapacity_Print(options, &cpu);
}

/* Submits standing tasks in jobs of at most JOB_TASKS. */
static void
tasks_submit(PhTaskSim *sim, uint32_t count)
{
    for (uint32_t job = 0; job * JOB_TASKS < count; job++) {
        char key[ID_BYTES];
        g_snprintf(key, sizeof(key), "job-%u", job);
        PhJobSpec spec = {.key = PhStr_FromC(key),
                          .team = PhStr_LITERAL("routes"),
                          .class = PH_JOB_STANDING,
                          .size = task_size,
                          .count = MIN(JOB_TASKS, count - job * JOB_TASKS)};
        PhTaskSim_Submit(sim, 0, &spec);
    }
}

/* Includes the cost of the fake workers, network and log, so the figures are
 * upper bounds. */
void
PhCapacity_Owner(const PhBenchOptions *options)
{
    PhCapacitySeries cpu = {"owner_cpu", "ns-s", "workers", {50, 150, 460}};
    PhCapacitySeries messages = {
        "owner_messages", "1-s", "workers", {50, 150, 460}};
    PhCapacitySeries memory = {"owner_memory", "B", "workers", {50, 150, 460}};
    PhCapacitySeries running = {
        "owner_running", "tasks", "workers", {50, 150, 460}};
    for (int i = 0; i < PH_CAPACITY_SIZES; i++) {
        double heap = PhCapacity_HeapBytes();
        PhTaskSim *sim = PhTaskSim_Create(
            &(PhTaskSimOptions){.seed = options->seed,
                                .instances = 1,
                                .workers = cpu.sizes[i],
                                .worker_size = worker_size,
                                .times = PhLeaseTimes_Default(),
                                .link_delay = PH_NS_PER_MS});
        PhTaskSim_RunUntil(sim, 5 * PH_NS_PER_S);
        tasks_submit(sim, cpu.sizes[i] * TASKS_PER_WORKER);
        PhTaskSim_RunUntil(sim, OWNER_WARM_UP_S * PH_NS_PER_S);
        running.values[i] = (double)PhTaskSim_CountRunning(sim);
        uint64_t sent = PhFakeNet_Counts(PhTaskSim_Net(sim)).sent;
        int64_t start = PhBench_CpuTimeNs();
        PhTaskSim_RunUntil(sim, (OWNER_WARM_UP_S + OWNER_RUN_S) * PH_NS_PER_S);
        cpu.values[i] = (double)(PhBench_CpuTimeNs() - start) / OWNER_RUN_S;
        sent = PhFakeNet_Counts(PhTaskSim_Net(sim)).sent - sent;
        messages.values[i] = (double)sent / OWNER_RUN_S;
        memory.values[i] = PhCapacity_HeapBytes() - heap;
        PhTaskSim_Destroy(sim);
    }
    PhCapacity_Print(options, &running);
    PhCapacity_Print(options, &messages);
    PhCapacity_Print(options, &cpu);
    PhCapacity_Print(options, &memory);
}

static void
starts_submit(PhTaskSim *sim, uint32_t second, uint32_t count)
{
    char key[ID_BYTES];
    g_snprintf(key, sizeof(key), "batch-%u", second);
    PhJobSpec spec = {.key = PhStr_FromC(key),
                      .team = PhStr_LITERAL("routes"),
                      .class = PH_JOB_BATCH,
                      .run_ms = BATCH_RUN_MS,
                      .size = task_size,
                      .count = count};
    PhTaskSim_Submit(sim, second % INSTANCES, &spec);
}

/* As many tasks end as start, and eight instances share the renewals. */
void
PhCapacity_Starts(const PhBenchOptions *options)
{
    static const uint32_t starts[PH_CAPACITY_SIZES] = {5, 15, 40};
    PhCapacitySeries appends = {
        "start_appends", "1-s", "workers", {57, 171, 457}};
    PhCapacitySeries cpu = {"start_cpu", "ns-s", "workers", {57, 171, 457}};
    PhCapacitySeries messages = {
        "start_messages", "1-s", "workers", {57, 171, 457}};
    PhCapacitySeries rate = {"start_rate", "1-s", "workers", {57, 171, 457}};
    for (int i = 0; i < PH_CAPACITY_SIZES; i++) {
        PhTaskSim *sim = PhTaskSim_Create(
            &(PhTaskSimOptions){.seed = options->seed,
                                .instances = INSTANCES,
                                .workers = cpu.sizes[i],
                                .worker_size = worker_size,
                                .times = PhLeaseTimes_Default(),
                                .link_delay = PH_NS_PER_MS});
        PhTaskSim_RunUntil(sim, 12 * PH_NS_PER_S);
        uint32_t second = 12;
        for (; second < START_WARM_UP_S; second++) {
            starts_submit(sim, second, starts[i]);
            PhTaskSim_RunUntil(sim, (second + 1) * PH_NS_PER_S);
        }
        uint64_t sent = PhFakeNet_Counts(PhTaskSim_Net(sim)).sent;
        uint64_t log = PhTaskSim_LogCounts(sim).appends;
        uint64_t begun = PhTaskSim_Counts(sim)->starts;
        int64_t start = PhBench_CpuTimeNs();
        for (; second < START_WARM_UP_S + START_RUN_S; second++) {
            starts_submit(sim, second, starts[i]);
            PhTaskSim_RunUntil(sim, (second + 1) * PH_NS_PER_S);
        }
        cpu.values[i] = (double)(PhBench_CpuTimeNs() - start) / START_RUN_S;
        sent = PhFakeNet_Counts(PhTaskSim_Net(sim)).sent - sent;
        log = PhTaskSim_LogCounts(sim).appends - log;
        begun = PhTaskSim_Counts(sim)->starts - begun;
        messages.values[i] = (double)sent / START_RUN_S;
        appends.values[i] = (double)log / START_RUN_S;
        rate.values[i] = (double)begun / START_RUN_S;
        PhTaskSim_Destroy(sim);
    }
    PhCapacity_Print(options, &rate);
    PhCapacity_Print(options, &appends);
    PhCapacity_Print(options, &messages);
    PhCapacity_Print(options, &cpu);
}
