/* Cost of each role (CPU time, memory, traffic) at three sizes and the
 * straight line through them; source of the figures in docs/CAPACITY.md. */
#include "peridothill/bench/bench.h"
#include "peridothill/bench/capacity.h"

#include <glib.h>
#include <malloc.h>

#include "peridothill/bench/config_fleet.h"
#include "peridothill/bench/members_cluster.h"
#include "peridothill/decide/config/config_ledger.h"

enum {
    MEMBER_RUN_S = 120,
    MEMBER_WARM_UP_S = 60,
    FLEET_RUN_S = 120,
    FLEET_WARM_UP_S = 30,
    PATCHES = 200,
};

double
PhCapacity_HeapBytes(void)
{
    struct mallinfo2 info = mallinfo2();
    return (double)(info.uordblks + info.hblkhd);
}

static void
point_print(const PhBenchOptions *options, const PhCapacitySeries *series,
            int i)
{
    char *policy = g_strdup_printf("%s_%u", series->scale, series->sizes[i]);
    PhBench_PrintRow(options, series->metric, policy, series->values[i],
                     series->unit);
    g_free(policy);
}

/* Prints the values, the least-squares line through them, and the largest
 * deviation of a value from it relative to the largest value. */
void
PhCapacity_Print(const PhBenchOptions *options, const PhCapacitySeries *series)
{
    double n = PH_CAPACITY_SIZES;
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    double off = 0;
    for (int i = 0; i < PH_CAPACITY_SIZES; i++) {
        double x = series->sizes[i];
        point_print(options, series, i);
        sx += x;
        sy += series->values[i];
        sxx += x * x;
        sxy += x * series->values[i];
    }
    double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    double base = (sy - slope * sx) / n;
    for (int i = 0; i < PH_CAPACITY_SIZES; i++) {
        double at = base + slope * series->sizes[i];
        off = MAX(off, ABS(series->values[i] - at));
    }
    double reference = MAX(ABS(series->values[PH_CAPACITY_SIZES - 1]), 1e-9);
    char *unit = g_strdup_printf("%s/%s", series->unit, series->scale);
    PhBench_PrintRow(options, series->metric, "base", base, series->unit);
    PhBench_PrintRow(options, series->metric, "slope", slope, unit);
    PhBench_PrintRow(options, series->metric, "misfit", off / reference,
                     series->unit);
    g_free(unit);
}

static void
capacity_members(const PhBenchOptions *options)
{
    PhCapacitySeries bytes = {"member_bytes", "B-s", "members", {8, 56, 168}};
    PhCapacitySeries cpu = {"member_cpu", "ns-s", "members", {8, 56, 168}};
    PhCapacitySeries memory = {"member_memory", "B", "members", {8, 56, 168}};
    PhCapacitySeries message_rate = {
        "member_messages", "1-s", "members", {8, 56, 168}};
    for (int i = 0; i < PH_CAPACITY_SIZES; i++) {
        uint32_t n = bytes.sizes[i];
        double heap = PhCapacity_HeapBytes();
        PhMembersClusterOptions o = {.seed = options->seed,
                                     .members = n,
                                     .data_centres = n <= 8 ? 3 : 7,
                                     .regions = n <= 8 ? 1 : 3,
                                     .loss = 0.02,
                                     .encode = true};
        PhMembersCluster *c = PhMembersCluster_Create(&o);
        PhMembersCluster_StartAll(c);
        PhMembersCluster_Run(c, MEMBER_WARM_UP_S * PH_NS_PER_S);
        PhMembersClusterCounts before = PhMembersCluster_Counts(c);
        int64_t start = PhBench_CpuTimeNs();
        PhMembersCluster_Run(c,
                             (MEMBER_WARM_UP_S + MEMBER_RUN_S) * PH_NS_PER_S);
        int64_t spent = PhBench_CpuTimeNs() - start;
        PhMembersClusterCounts after = PhMembersCluster_Counts(c);
        double each = (double)n * MEMBER_RUN_S;
        bytes.values[i] =
            (double)(after.wire_bytes - before.wire_bytes) / each;
        message_rate.values[i] =
            (double)(after.messages - before.messages) / each;
        cpu.values[i] = (double)spent / each;
        memory.values[i] = (PhCapacity_HeapBytes() - heap) / n;
        PhMembersCluster_Destroy(c);
    }
    PhCapacity_Print(options, &message_rate);
    PhCapacity_Print(options, &bytes);
    PhCapacity_Print(options, &cpu);
    PhCapacity_Print(options, &memory);
}

/* Submits patches to the instances in turn. */
static void
patches_submit(PhConfigFleet *f, uint32_t instances, uint32_t from,
               uint32_t count)
{
    PhTime now = PhConfigFleet_Now(f);
    for (uint32_t i = from; i < from + count; i++) {
        uint32_t at = i % instances;
        PhConfigFleet_Submit(f, at, i, i, PhConfigFleet_Version(f, at), i % 52,
                             now + 20 * PH_NS_PER_S);
    }
}

/* Returns the longest time in seconds from the append of a version until the
 * last instance has put it in force.  Versions that fewer than `instances`
 * instances put in force do not count; 0 if no other is left. */
static double
fleet_slowest(const PhConfigFleet *f, uint32_t instances)
{
    PhTime longest = 0;
    for (uint64_t v = 1; v <= PhConfigFleet_HighestVersion(f); v++) {
        const PhFleetVersion *version = PhConfigFleet_VersionAt(f, v);
        if (version != NULL && version->instance_count >= instances) {
            longest =
                MAX(longest, version->last_in_force_at - version->appended);
        }
    }
    return (double)longest / (double)PH_NS_PER_S;
}

/* The load is a burst of 50 changes every 30 seconds. */
static void
capacity_fleet(const PhBenchOptions *options)
{
    PhCapacitySeries bytes = {
        "follower_bytes", "B-s", "instances", {8, 56, 168}};
    PhCapacitySeries cpu = {"follower_cpu", "ns-s", "instances", {8, 56, 168}};
    PhCapacitySeries reads = {"log_reads", "1-s", "instances", {8, 56, 168}};
    PhCapacitySeries slow = {"in_force_max", "s", "instances", {8, 56, 168}};
    PhCapacitySeries memory = {
        "follower_memory", "B", "instances", {8, 56, 168}};
    for (int i = 0; i < PH_CAPACITY_SIZES; i++) {
        uint32_t n = bytes.sizes[i];
        double heap = PhCapacity_HeapBytes();
        PhConfigFleet *f = PhConfigFleet_Create(
            &(PhConfigFleetOptions){.seed = options->seed,
                                    .instances = n,
                                    .data_centres = n <= 8 ? 3 : 7,
                                    .regions = n <= 8 ? 1 : 3,
                                    .readers = 2,
                                    .loss = 0.02});
        PhConfigFleet_StartAll(f);
        PhConfigFleet_Run(f, FLEET_WARM_UP_S * PH_NS_PER_S);
        PhFleetCounts before = *PhConfigFleet_Counts(f);
        int64_t start = PhBench_CpuTimeNs();
        for (uint32_t s = 0; s < FLEET_RUN_S; s += 30) {
            patches_submit(f, n, s / 30 * 50 + 1, 50);
            PhConfigFleet_Run(f, (FLEET_WARM_UP_S + s + 30) * PH_NS_PER_S);
        }
        int64_t spent = PhBench_CpuTimeNs() - start;
        const PhFleetCounts *after = PhConfigFleet_Counts(f);
        double each = (double)n * FLEET_RUN_S;
        bytes.values[i] = (double)(after->bytes - before.bytes) / each;
        reads.values[i] =
            (double)(after->log_reads - before.log_reads) / FLEET_RUN_S;
        cpu.values[i] = (double)spent / each;
        slow.values[i] = fleet_slowest(f, n);
        memory.values[i] = (PhCapacity_HeapBytes() - heap) / n;
        PhConfigFleet_Destroy(f);
    }
    PhCapacity_Print(options, &bytes);
    PhCapacity_Print(options, &reads);
    PhCapacity_Print(options, &cpu);
    PhCapacity_Print(options, &slow);
    PhCapacity_Print(options, &memory);
}

static PhConfigRecord *
patch_record_create(uint64_t offset, uint32_t team)
{
    char *id = g_strdup_printf("p%" G_GUINT64_FORMAT, offset);
    char *path = g_strdup_printf("teams.t%u.share", team);
    PhConfigPatch patch = {.id = PhStr_Dup(PhStr_FromC(id)),
                           .author = PhStr_Dup(PhStr_LITERAL("operator"))};
    PhConfigPatch_Add(&patch, PH_CONFIG_CHANGE_SET, PhStr_FromC(path),
                      PhStr_LITERAL("7"));
    patch.base = offset;
    g_free(id);
    g_free(path);
    return PhConfigRecord_Create(offset, (int64_t)offset, &patch);
}

static void
ledger_push(PhConfigLedger *ledger, uint64_t offset, uint32_t team)
{
    PhConfigRecord *record = patch_record_create(offset, team);
    PhConfigLedger_Apply(ledger, record);
    PhConfigRecord_Unref(record);
}

static void
capacity_patches(const PhBenchOptions *options)
{
    PhCapacitySeries cpu = {"patch_cpu", "ns", "entries", {100, 400, 1600}};
    PhCapacitySeries memory = {
        "state_memory", "B", "entries", {100, 400, 1600}};
    for (int i = 0; i < PH_CAPACITY_SIZES; i++) {
        uint32_t n = cpu.sizes[i];
        double heap = PhCapacity_HeapBytes();
        PhConfigLedger *ledger = PhConfigLedger_Create();
        for (uint32_t k = 0; k < n; k++) {
            ledger_push(ledger, k, k);
        }
        int64_t start = PhBench_CpuTimeNs();
        for (uint32_t k = 0; k < PATCHES; k++) {
            ledger_push(ledger, n + k, k % n);
        }
        cpu.values[i] = (double)(PhBench_CpuTimeNs() - start) / PATCHES;
        memory.values[i] = PhCapacity_HeapBytes() - heap;
        PhConfigLedger_Destroy(ledger);
    }
    PhCapacity_Print(options, &cpu);
    PhCapacity_Print(options, &memory);
}

PhResult
PhBench_Capacity(const PhBenchOptions *options)
{
    PhCapacity_Requests(options);
    PhCapacity_List(options);
    PhCapacity_Placement(options);
    PhCapacity_Owner(options);
    PhCapacity_Starts(options);
    capacity_members(options);
    capacity_fleet(options);
    capacity_patches(options);
    return PhResult_Ok();
}
