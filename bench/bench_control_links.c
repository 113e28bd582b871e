#include "bench_control_members.h"
#include "peridothill/codec/peer_session.h"
#include "peridothill/services/members.h"
#include "peridothill/services/peers.h"

enum {
    INSTANCES = 8,
    WARM_UP_S = 30,
    MEASURED_S = 120,
    STEP_MS = 50,
    LOOP_ITERATIONS = 3, /* per step */
    ADDRESS_BYTES = 32,
};

/* Instances over real sockets, on one event loop and one simulated clock. */
typedef struct PhLinkedInstances {
    struct ev_loop *loop;
    PhClock *clock;
    PhCounters *counters;
    PhKernel *kernels[INSTANCES];
    PhStr seed;
} PhLinkedInstances;

static PhResult
instance_start(PhLinkedInstances *l, int i)
{
    static const char key[PH_PEER_KEY_BYTES] = {1};
    char id[ADDRESS_BYTES];
    char address[ADDRESS_BYTES];
    uint16_t port = 0;
    PhStr keys[] = {PhStr_FromBytes(key, sizeof(key))};
    g_snprintf(id, sizeof(id), "instance-%d", i);
    l->kernels[i] = PhKernel_Create(&(PhKernelOptions){
        .clock = l->clock, .loop = l->loop, .counters = l->counters});
    PhResult r =
        PhPeers_Start(l->kernels[i],
                      &(PhPeersOptions){.listen = PhStr_LITERAL("127.0.0.1:0"),
                                        .id = PhStr_FromC(id),
                                        .data_centre = PhStr_LITERAL("unit"),
                                        .deployment = PhStr_LITERAL("bench"),
                                        .keys = keys,
                                        .key_count = 1,
                                        .seed = (uint64_t)i},
                      &port);
    if (!PhResult_IsOk(&r)) {
        return r;
    }
    g_snprintf(address, sizeof(address), "127.0.0.1:%u", port);
    if (i == 0) {
        l->seed = PhStr_Dup(PhStr_FromC(address));
    }
    PhMembers_Start(l->kernels[i],
                    &(PhMembersOptions){.id = PhStr_FromC(id),
                                        .data_centre = PhStr_LITERAL("unit"),
                                        .address = PhStr_FromC(address),
                                        .seeds = &l->seed,
                                        .seed_count = 1,
                                        .incarnation = 1,
                                        .seed = (uint64_t)i});
    return PhResult_Ok();
}

static void
run_seconds(PhLinkedInstances *l, int seconds)
{
    for (int ms = 0; ms < seconds * 1000; ms += STEP_MS) {
        PhClock_Advance(l->clock, STEP_MS * PH_NS_PER_MS);
        for (int i = 0; i < LOOP_ITERATIONS; i++) {
            ev_run(l->loop, EVRUN_NOWAIT);
        }
    }
}

/* The CPU time includes the iterations of the event loop. */
PhResult
PhControl_Links(const PhBenchOptions *options)
{
    PhLinkedInstances l = {.loop = ev_loop_new(0),
                           .clock = PhClock_Create(PH_CLOCK_PAUSED),
                           .counters = PhCounters_Create()};
    PhResult r = PhResult_Ok();
    for (int i = 0; i < INSTANCES && PhResult_IsOk(&r); i++) {
        r = instance_start(&l, i);
    }
    if (PhResult_IsOk(&r)) {
        run_seconds(&l, WARM_UP_S);
        int64_t cpu = PhBench_CpuTimeNs();
        run_seconds(&l, MEASURED_S);
        cpu = PhBench_CpuTimeNs() - cpu;
        PhControl_PrintRow(options, "member_socket_cpu_per_second", INSTANCES,
                           "probing", (double)cpu / INSTANCES / MEASURED_S,
                           "ns");
        PhControl_PrintRow(
            options, "member_joined", INSTANCES, "probing",
            (double)PhCounters_Get(l.counters, PH_COUNTER_MEMBERS_JOINED),
            "members");
    }
    for (int i = 0; i < INSTANCES; i++) {
        PhKernel_Destroy(l.kernels[i]);
    }
    PhStr_Clear(&l.seed);
    PhCounters_Destroy(l.counters);
    PhClock_Destroy(l.clock);
    ev_loop_destroy(l.loop);
    return r;
}
