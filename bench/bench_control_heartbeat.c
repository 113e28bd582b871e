#include "bench_control_members.h"

/* Baseline: a heartbeat to every member each second; a member is dead after
 * five seconds of silence. */
#define INTERVAL PH_NS_PER_S
#define DEAD_AFTER (5 * PH_NS_PER_S)
#define RUN_TIME (10 * PH_NS_PER_S)
#define CRASH_AT (3 * PH_NS_PER_S)

enum {
    CRASHES = 2,
};

/* State of all members as seen by each other. */
typedef struct PhHeartbeats {
    uint32_t members;
    PhFakeNet *net;
    PhTime *heard; /* by receiver, then sender */
    bool *dead;    /* same index */
    PhMembersCluster *carrier;
    GArray *times; /* from the crash to the detection by each member */
    uint64_t false_deaths;
} PhHeartbeats;

/* The first CRASHES members stop at CRASH_AT. */
static bool
has_crashed(const PhHeartbeats *h, uint32_t member)
{
    return member < CRASHES && PhFakeNet_Now(h->net) >= CRASH_AT;
}

/* Sends a heartbeat to every member and marks the silent ones as dead. */
static void
beat(PhHeartbeats *h, uint32_t member)
{
    PhTime now = PhFakeNet_Now(h->net);
    PhMemberMessage message = {.kind = PH_MEMBER_NEWS};
    for (uint32_t to = 0; to < h->members; to++) {
        size_t at = (size_t)member * h->members + to;
        if (to == member) {
            continue;
        }
        PhMemberMessage copy = PhMembersCluster_Carry(h->carrier, &message);
        PhMemberMessage_Clear(&copy);
        PhFakeNet_Send(h->net, member, to, 0, NULL);
        if (!h->dead[at] && now - h->heard[at] > DEAD_AFTER) {
            PhTime after = now - CRASH_AT;
            h->dead[at] = true;
            if (has_crashed(h, to)) {
                g_array_append_val(h->times, after);
            }
            else {
                h->false_deaths++;
            }
        }
    }
    PhFakeNet_SetTimer(h->net, member, 0, now + INTERVAL);
}

static void
run(PhHeartbeats *h)
{
    PhFakeEvent e;
    for (uint32_t i = 0; i < h->members; i++) {
        PhFakeNet_SetTimer(h->net, i, 0, INTERVAL * i / h->members);
    }
    while (PhFakeNet_Next(h->net, RUN_TIME, &e)) {
        if (has_crashed(h, e.to)) {
            continue;
        }
        if (e.kind == PH_FAKE_TIMER) {
            beat(h, e.to);
        }
        else {
            h->heard[(size_t)e.to * h->members + e.from] = e.at;
        }
    }
}

static void
print(const PhBenchOptions *options, const PhHeartbeats *h, int64_t cpu)
{
    PhMembersClusterCounts counts = PhMembersCluster_Counts(h->carrier);
    double member_seconds =
        (double)h->members * (double)RUN_TIME / (double)PH_NS_PER_S;
    const char *policy = "heartbeat-mesh";
    PhControl_Row(options, "member_messages", h->members, policy,
                  (double)PhFakeNet_Counts(h->net).sent / member_seconds,
                  "1/s");
    PhControl_Row(options, "member_wire_bytes", h->members, policy,
                  (double)counts.wire_bytes / member_seconds, "B/s");
    PhControl_Row(options, "member_links", h->members, policy, h->members - 1,
                  "links");
    PhControl_Row(options, "member_cpu_per_second", h->members, policy,
                  (double)cpu / member_seconds, "ns");
    PhControl_Times(options, "member_detect", h->members, policy, h->times);
    PhControl_Row(options, "member_false_deaths", h->members, policy,
                  (double)h->false_deaths, "deaths");
}

void
PhControl_Heartbeats(const PhBenchOptions *options, uint32_t members)
{
    PhMembersClusterOptions o = PhControl_Options(options, members);
    PhHeartbeats h = {
        .members = members,
        .carrier = PhMembersCluster_Create(&o),
        .heard = g_new0(PhTime, (size_t)members * members),
        .dead = g_new0(bool, (size_t)members *members),
        .times = g_array_new(FALSE, FALSE, sizeof(PhTime)),
    };
    h.net = PhMembersCluster_Net(h.carrier);
    int64_t cpu = PhBench_CpuTime();
    run(&h);
    print(options, &h, PhBench_CpuTime() - cpu);
    g_array_free(h.times, TRUE);
    g_free(h.heard);
    g_free(h.dead);
    PhMembersCluster_Destroy(h.carrier);
}
