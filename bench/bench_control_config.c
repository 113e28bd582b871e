#include "bench/bench_control_config.h"

enum {
    READERS = 2,
    TEAMS = 200,
    BURST_PATCHES = 50,
    BURST_INTERVAL_S = 120,
    CHANGES_PER_DAY = 8800,
    DAY_S = 86400,
    SIMULATED_INSTANCE_S = 400 * 150, /* instances times seconds */
    SIMULATED_MAX_S = 3600,
    EVERY_INSTANCE = UINT32_MAX,
};

#define SECOND PH_NS_PER_S

PhConfigFleet *
PhControlConfig_Fleet(const PhBenchOptions *options, uint32_t instances,
                      uint32_t readers, uint32_t appends_per_second)
{
    PhConfigFleet *fleet = PhConfigFleet_Create(
        &(PhConfigFleetOptions){.seed = options->seed,
                                .instances = instances,
                                .data_centres = instances < 50 ? 3 : 7,
                                .regions = CONTROL_REGIONS,
                                .readers = readers,
                                .loss = 0.02,
                                .retention = DAY_S * SECOND,
                                .appends_per_second = appends_per_second});
    PhConfigFleet_StartAll(fleet);
    PhConfigFleet_Run(fleet, 10 * SECOND);
    return fleet;
}

/* Submits a patch at a random instance; consecutive patches set shares of
 * different teams. */
static void
patch_submit(PhConfigFleet *fleet, PhRandom *random, uint32_t instances,
             uint64_t n)
{
    uint32_t at = (uint32_t)PhRandom_Below(random, instances);
    PhConfigFleet_Submit(fleet, at, n, n, PhConfigFleet_Version(fleet, at),
                         (uint32_t)(n % TEAMS),
                         PhConfigFleet_Now(fleet) + 8 * SECOND);
}

/* Submits changes at a rate of 8800 a day, and a burst of 50 within a second
 * every two minutes. */
static void
changes_run(PhConfigFleet *fleet, PhRandom *random, uint32_t instances,
            PhTime length)
{
    uint64_t n = 0;
    double mean = (double)DAY_S / CHANGES_PER_DAY * (double)SECOND;
    PhTime end = PhConfigFleet_Now(fleet) + length;
    PhTime burst = PhConfigFleet_Now(fleet) + BURST_INTERVAL_S * SECOND / 2;
    while (PhConfigFleet_Now(fleet) < end) {
        PhTime next = PhConfigFleet_Now(fleet) +
                      (PhTime)PhRandom_Exponential(random, mean);
        if (next < burst) {
            PhConfigFleet_Run(fleet, MIN(next, end));
            patch_submit(fleet, random, instances, n++);
            continue;
        }
        PhConfigFleet_Run(fleet, burst);
        for (int i = 0; i < BURST_PATCHES; i++) {
            patch_submit(fleet, random, instances, n++);
            PhConfigFleet_Run(fleet, burst + i * SECOND / BURST_PATCHES);
        }
        burst += BURST_INTERVAL_S * SECOND;
    }
    PhConfigFleet_Run(fleet, end + 30 * SECOND);
}

/* Collects the times from acceptance until in force everywhere; returns the
 * number of versions that did not reach every instance. */
static uint64_t
propagation_collect(const PhConfigFleet *fleet, uint32_t instances,
                    GArray *times)
{
    uint64_t missing = 0;
    uint64_t highest = PhConfigFleet_HighestVersion(fleet);
    for (uint64_t v = 1; v <= highest; v++) {
        const PhFleetVersion *row = PhConfigFleet_VersionAt(fleet, v);
        PhTime time = row->last_in_force_at - row->appended;
        missing += row->instance_count < instances;
        g_array_append_val(times, time);
    }
    return missing;
}

/* Prints the costs per instance and second; log reads are for the whole
 * fleet. */
static void
costs_print(const PhBenchOptions *options, PhConfigFleet *fleet,
            uint32_t instances, const char *policy, int64_t cpu)
{
    const PhFleetCounts *c = PhConfigFleet_Counts(fleet);
    double seconds = (double)PhConfigFleet_Now(fleet) / (double)SECOND;
    double each = seconds * instances;
    PhControl_PrintRow(options, "config_messages", instances, policy,
                       (double)c->messages / each, "1/s");
    PhControl_PrintRow(options, "config_bytes", instances, policy,
                       (double)c->bytes / each, "B/s");
    PhControl_PrintRow(options, "config_log_reads_all", instances, policy,
                       (double)c->log_reads / seconds, "1/s");
    PhControl_PrintRow(options, "config_cpu_per_second", instances, policy,
                       (double)cpu / each, "ns");
}

static void
propagation_run(const PhBenchOptions *options, uint32_t instances,
                const char *policy, uint32_t readers)
{
    PhRandom *random = PhRandom_Create(options->seed);
    PhConfigFleet *fleet =
        PhControlConfig_Fleet(options, instances, readers, 0);
    GArray *times = g_array_new(FALSE, FALSE, sizeof(PhTime));
    int64_t length = MIN(SIMULATED_INSTANCE_S / (int64_t)instances,
                         (int64_t)SIMULATED_MAX_S);
    int64_t cpu = PhBench_CpuTimeNs();
    changes_run(fleet, random, instances, length * SECOND);
    cpu = PhBench_CpuTimeNs() - cpu;
    uint64_t missing = propagation_collect(fleet, instances, times);
    PhControl_PrintTimes(options, "config_everywhere", instances, policy,
                         times);
    PhControl_PrintRow(options, "config_not_everywhere", instances, policy,
                       (double)missing, "versions");
    costs_print(options, fleet, instances, policy, cpu);
    g_array_free(times, TRUE);
    PhConfigFleet_Destroy(fleet);
    PhRandom_Destroy(random);
}

PhResult
PhBench_ControlConfig(const PhBenchOptions *options)
{
    for (size_t i = 0; i < CONTROL_SIZES; i++) {
        propagation_run(options, PhControl_Sizes[i], "readers-and-peers",
                        READERS);
        propagation_run(options, PhControl_Sizes[i], "all-poll-the-log",
                        EVERY_INSTANCE);
        PhControlConfig_Starts(options, PhControl_Sizes[i]);
    }
    PhControlConfig_Outage(options, PhControl_Sizes[0], "shared-rate", 0);
    PhControlConfig_Outage(options, PhControl_Sizes[0], "unpaced", 1000000);
    return PhResult_Ok();
}
