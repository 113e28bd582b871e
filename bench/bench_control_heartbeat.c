#include "bench_control_members.h"

/* Baseline: a heartbeat to every member each second; a member is dead after
 * five seconds of silence. */
#define INTERVAL_NS PH_NS_PER_S
#define DEAD_AFTER_NS (5 * PH_NS_PER_S)
#define RUN_TIME_NS (10 * PH_NS_PER_S)
#define CRASH_AT_NS (3 * PH_NS_PER_S)

enum {
    CRASHES = 2,
};

/* State of all members as seen by each other. */
typedef struct PhHeartbeats {
    uint32_t members;
    PhFakeNet *net;
    PhTime *last_received; /* by receiver, then sender */
    bool *dead;            /* same index */
    PhMembersCluster *cluster;
    GArray *times; /* from the crash to the detection by each member */
    uint64_t false_deaths;
} PhHeartbeats;

/* The first CRASHES members stop at CRASH_AT_NS. */
static bool
has_crashed(const PhHeartbeats *h, uint32_t member)
{
    return member < CRASHES && PhFakeNet_Now(h->net) >= CRASH_AT_NS;
}

/* Sends a heartbeat to every member and marks the silent ones as dead. */
static void
heartbeats_send(PhHeartbeats *h, uint32_t member)
{
    PhTime now = PhFakeNet_Now(h->net);
    PhMemberMessage message = {.kind = PH_MEMBER_UPDATES};
    for (uint32_t to = 0; to < h->members; to++) {
        size_t at = (size_t)member * h->members + to;
        if (to == member) {
            continue;
        }
        PhMemberMessage copy = PhMembersCluster_Transfer(h->cluster, &message);
        PhMemberMessage_Clear(&copy);
        PhFakeNet_Send(h->net, member, to, 0, NULL);
        if (!h->dead[at] && now - h->last_received[at] > DEAD_AFTER_NS) {
            PhTime after = now - CRASH_AT_NS;
            h->dead[at] = true;
            if (has_crashed(h, to)) {
                g_array_append_val(h->times, after);
            }
            else {
                h->false_deaths++;
            }
        }
    }
    PhFakeNet_SetTimer(h->net, member, 0, now + INTERVAL_NS);
}

static void
heartbeats_run(PhHeartbeats *h)
{
    PhFakeEvent e;
    for (uint32_t i = 0; i < h->members; i++) {
        PhFakeNet_SetTimer(h->net, i, 0, INTERVAL_NS * i / h->members);
    }
    while (PhFakeNet_Next(h->net, RUN_TIME_NS, &e)) {
        if (has_crashed(h, e.to)) {
            continue;
        }
        if (e.kind == PH_FAKE_TIMER) {
            heartbeats_send(h, e.to);
        }
        else {
            h->last_received[(size_t)e.to * h->members + e.from] = e.at;
        }
    }
}

static void
costs_print(const PhBenchOptions *options, const PhHeartbeats *h, int64_t cpu)
{
    PhMembersClusterCounts counts = PhMembersCluster_Counts(h->cluster);
    double member_seconds =
        (double)h->members * (double)RUN_TIME_NS / (double)PH_NS_PER_S;
    const char *policy = "heartbeat-mesh";
    PhControl_PrintRow(options, "member_messages", h->members, policy,
                       (double)PhFakeNet_Counts(h->net).sent / member_seconds,
                       "1/s");
    PhControl_PrintRow(options, "member_wire_bytes", h->members, policy,
                       (double)counts.wire_bytes / member_seconds, "B/s");
    PhControl_PrintRow(options, "member_links", h->members, policy,
                       h->members - 1, "links");
    PhControl_PrintRow(options, "member_cpu_per_second", h->members, policy,
                       (double)cpu / member_seconds, "ns");
    PhControl_PrintTimes(options, "member_detect", h->members, policy,
                         h->times);
    PhControl_PrintRow(options, "member_false_deaths", h->members, policy,
                       (double)h->false_deaths, "deaths");
}

void
PhControl_Heartbeats(const PhBenchOptions *options, uint32_t members)
{
    PhMembersClusterOptions o = PhControl_ClusterOptions(options, members);
    PhHeartbeats h = {
        .members = members,
        .cluster = PhMembersCluster_Create(&o),
        .last_received = g_new0(PhTime, (size_t)members * members),
        .dead = g_new0(bool, (size_t)members *members),
        .times = g_array_new(FALSE, FALSE, sizeof(PhTime)),
    };
    h.net = PhMembersCluster_Net(h.cluster);
    int64_t cpu = PhBench_CpuTimeNs();
    heartbeats_run(&h);
    costs_print(options, &h, PhBench_CpuTimeNs() - cpu);
    g_array_free(h.times, TRUE);
    g_free(h.last_received);
    g_free(h.dead);
    PhMembersCluster_Destroy(h.cluster);
}
