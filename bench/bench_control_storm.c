#include "bench_control_members.h"

enum {
    INTERVAL_S = 60,
    CUT_S = 300,
    SETTLE_MAX_S = 300,
};

/* Failures and recoveries of many members at once. */
typedef enum PhStorm {
    STORM_DATA_CENTRE_CRASH,
    STORM_DATA_CENTRE_RETURN,
    STORM_REGION_CUT,
    STORM_REGION_HEAL,
} PhStorm;

static const char *
storm_name(PhStorm storm)
{
    switch (storm) {
    case STORM_DATA_CENTRE_CRASH:
        return "data-centre-crash";
    case STORM_DATA_CENTRE_RETURN:
        return "data-centre-return";
    case STORM_REGION_CUT:
        return "region-cut";
    case STORM_REGION_HEAL:
        return "region-heal";
    }
    return "";
}

/* Partitions the first region from the others, or heals the partition. */
static void
region_partition(PhFakeNet *net, const PhMembersClusterOptions *o, bool cut)
{
    for (uint32_t a = 0; a < o->data_centres; a++) {
        for (uint32_t b = 0; b < o->data_centres; b++) {
            if ((a % o->regions == 0) != (b % o->regions == 0)) {
                PhFakeNet_Link(net, a, b)->cut = cut;
            }
        }
    }
}

/* Uses the second data centre, because the seed member is in the first. */
static void
data_centre_set_running(PhMembersCluster *c, const PhMembersClusterOptions *o,
                        bool runs)
{
    for (uint32_t i = 1; i < o->members; i += o->data_centres) {
        if (runs) {
            PhMembersCluster_Start(c, i);
        }
        else {
            PhMembersCluster_Crash(c, i);
        }
    }
}

static void
storm_begin(PhMembersCluster *c, const PhMembersClusterOptions *o,
            PhStorm storm)
{
    PhFakeNet *net = PhMembersCluster_Net(c);
    switch (storm) {
    case STORM_DATA_CENTRE_CRASH:
    case STORM_DATA_CENTRE_RETURN:
        data_centre_set_running(c, o, storm == STORM_DATA_CENTRE_RETURN);
        return;
    case STORM_REGION_CUT:
    case STORM_REGION_HEAL:
        region_partition(net, o, storm == STORM_REGION_CUT);
        return;
    }
}

/* Returns the number of pairs that see each other alive once a storm has
 * settled. */
static size_t
pairs_settled(const PhMembersClusterOptions *o, PhStorm storm)
{
    size_t n = o->members;
    size_t part = 0;
    for (uint32_t i = 0; i < n; i++) {
        uint32_t dc = i % o->data_centres;
        part +=
            storm == STORM_DATA_CENTRE_CRASH ? dc == 1 : dc % o->regions == 0;
    }
    switch (storm) {
    case STORM_DATA_CENTRE_CRASH:
        return (n - part) * (n - part - 1);
    case STORM_REGION_CUT:
        return part * (part - 1) + (n - part) * (n - part - 1);
    case STORM_DATA_CENTRE_RETURN:
    case STORM_REGION_HEAL:
        return n * (n - 1);
    }
    return 0;
}

/* Runs one storm until every member has a correct view, and prints the time
 * and the traffic. */
static void
storm_run(const PhBenchOptions *options, const PhMembersClusterOptions *o,
          PhMembersCluster *c, PhStorm storm)
{
    PhFakeNet *net = PhMembersCluster_Net(c);
    uint64_t first = PhMembersCluster_Counts(c).wire_bytes;
    uint64_t peak = 0;
    int s = 0;
    storm_begin(c, o, storm);
    while (s < SETTLE_MAX_S &&
           (s == 0 || PhMembersCluster_CountPairs(c, PH_MEMBER_ALIVE) !=
                          pairs_settled(o, storm))) {
        uint64_t before = PhMembersCluster_Counts(c).wire_bytes;
        PhMembersCluster_Run(c, PhFakeNet_Now(net) + PH_NS_PER_S);
        peak = MAX(peak, PhMembersCluster_Counts(c).wire_bytes - before);
        s++;
    }
    uint64_t all = PhMembersCluster_Counts(c).wire_bytes - first;
    const char *name = storm_name(storm);
    PhControl_PrintRow(options, "member_storm_settled", o->members, name, s,
                       "s");
    PhControl_PrintRow(options, "member_storm_peak_wire_bytes", o->members,
                       name, (double)peak / o->members, "B/s");
    PhControl_PrintRow(options, "member_storm_mean_wire_bytes", o->members,
                       name, (double)all / o->members / s, "B/s");
}

void
PhControl_Storms(const PhBenchOptions *options, uint32_t members)
{
    PhMembersClusterOptions o = PhControl_ClusterOptions(options, members);
    o.encode = true;
    PhMembersCluster *c = PhMembersCluster_Create(&o);
    PhFakeNet *net = PhMembersCluster_Net(c);
    PhMembersCluster_StartAll(c);
    PhMembersCluster_Run(c, INTERVAL_S * PH_NS_PER_S);
    PhStorm last =
        o.regions > 1 ? STORM_REGION_HEAL : STORM_DATA_CENTRE_RETURN;
    for (PhStorm storm = STORM_DATA_CENTRE_CRASH; storm <= last; storm++) {
        PhTime began = PhFakeNet_Now(net);
        storm_run(options, &o, c, storm);
        PhTime rest = storm == STORM_REGION_CUT ? CUT_S : INTERVAL_S;
        PhMembersCluster_Run(
            c, MAX(began + rest * PH_NS_PER_S,
                   PhFakeNet_Now(net) + INTERVAL_S * PH_NS_PER_S));
    }
    PhMembersCluster_Destroy(c);
}
