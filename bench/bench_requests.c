#include <stddef.h>
#include <stdio.h>

#include "peridothill/bench/requests_measures.h"

enum {
    SLOTS = 8,
    CONNECTIONS = 60,
    METRIC_BYTES = 96,
};

/* The baselines model a plain proxy: one queue in order of arrival, retries
 * without a budget, and no view of the requests that a worker has in
 * flight. */
static const PhPolicyVariant random_choice = {
    "random", {.routing = PH_ROUTING_RANDOM, .admission = PH_ADMISSION_FIFO}};
static const PhPolicyVariant round_robin = {
    "round-robin",
    {.routing = PH_ROUTING_ROUND_ROBIN, .admission = PH_ADMISSION_FIFO}};
/* Round robin that skips workers whose connections are all in use. */
static const PhPolicyVariant round_robin_limited = {
    "round-robin-limited",
    {.routing = PH_ROUTING_ROUND_ROBIN,
     .admission = PH_ADMISSION_FIFO,
     .connection_limit = true}};
static const PhPolicyVariant least_outstanding = {
    "least-outstanding",
    {.routing = PH_ROUTING_LEAST_OUTSTANDING,
     .admission = PH_ADMISSION_FIFO,
     .connection_limit = true}};

/* Returns the policy without the boolean tuning field at offset `part`; 0
 * leaves the policy whole. */
static PhPolicyVariant
policy_without(const char *name, size_t part)
{
    PhPolicyVariant variant = {.name = name,
                               .tuning = PhRequestsTuning_Default()};
    if (part != 0) {
        *(bool *)((char *)&variant.tuning + part) = false;
    }
    return variant;
}

static void
pool_fill(PhRequests *r, uint32_t workers, GArray *actions)
{
    enum {
        ID_BYTES = 16
    };
    PhWorkerRow *rows = g_new0(PhWorkerRow, workers);
    char(*ids)[ID_BYTES] = g_malloc0_n(workers, ID_BYTES);
    PhServicePolicy p = PhServicePolicy_Default(PhStr_LITERAL("quote"));
    p.prefix = PhStr_LITERAL("/quote");
    for (uint32_t i = 0; i < workers; i++) {
        snprintf(ids[i], ID_BYTES, "w%u", i);
        rows[i] = (PhWorkerRow){.id = PhStr_FromC(ids[i]),
                                .data_centre = PhStr_LITERAL("a"),
                                .services = PhStr_LITERAL("quote"),
                                .slots = SLOTS,
                                .connections = CONNECTIONS};
    }
    PhRequestsEvent policies = {.tag = PH_REQUESTS_POLICIES,
                                .as.policies = {1, &p, 1}};
    PhRequestsEvent list = {.tag = PH_REQUESTS_WORKERS,
                            .as.workers = {rows, workers}};
    PhRequests_Handle(r, &policies, 1, actions);
    PhRequests_Handle(r, &list, 1, actions);
    g_free(rows);
    g_free(ids);
}

static void
request_complete(PhRequests *r, uint64_t id, PhTime now, GArray *actions)
{
    PhRequestsEvent arrived = {
        .tag = PH_REQUESTS_ARRIVED,
        .as.arrived = {.id = id,
                       .method = PhStr_LITERAL("GET"),
                       .path = PhStr_LITERAL("/quote/1")}};
    PhRequestsEvent replied = {.tag = PH_REQUESTS_REPLIED,
                               .as.replied = {.attempt = id,
                                              .end = PH_ATTEMPT_END_ANSWERED,
                                              .status = 200}};
    g_array_set_size(actions, 0);
    PhRequests_Handle(r, &arrived, now, actions);
    PhRequests_Handle(r, &replied, now + PH_NS_PER_US, actions);
}

static double
decision_cost(const PhBenchOptions *bench, uint32_t workers,
              const PhPolicyVariant *variant)
{
    enum {
        ROUNDS = 100000
    };
    GArray *actions = g_array_new(FALSE, FALSE, sizeof(PhRequestsAction));
    PhRequests *r = PhRequests_Create(
        &(PhRequestsOptions){.instance = PhStr_LITERAL("i"),
                             .data_centre = PhStr_LITERAL("a"),
                             .seed = bench->seed,
                             .tuning = variant->tuning});
    pool_fill(r, workers, actions);
    int64_t start = PhBench_CpuTimeNs();
    for (uint64_t i = 1; i <= ROUNDS; i++) {
        request_complete(r, i, (PhTime)i * PH_NS_PER_US, actions);
    }
    int64_t spent = PhBench_CpuTimeNs() - start;
    PhRequests_Destroy(r);
    g_array_free(actions, TRUE);
    return (double)spent / ROUNDS;
}

static void
measure_cost(const PhBenchOptions *bench, const PhPolicyVariant *variant)
{
    static const uint32_t sizes[] = {50, 500, 3200};
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        char metric[METRIC_BYTES];
        snprintf(metric, sizeof(metric), "decision_%u_workers", sizes[i]);
        PhBench_PrintRow(bench, metric, variant->name,
                         decision_cost(bench, sizes[i], variant), "ns");
    }
}

PhResult
PhBench_Requests(const PhBenchOptions *options)
{
    const PhPolicyVariant policy = policy_without("policy", 0);
    const PhPolicyVariant cooldown = policy_without(
        "policy-without-cooldown", offsetof(PhRequestsTuning, cooldown));
    const PhPolicyVariant first_byte =
        policy_without("policy-without-first-byte",
                       offsetof(PhRequestsTuning, first_byte_timeout));
    const PhPolicyVariant limit = policy_without(
        "policy-without-limit", offsetof(PhRequestsTuning, adaptive_limit));
    PhPolicyVariant strict = policy_without("policy-strict-priority", 0);
    strict.tuning.admission = PH_ADMISSION_STRICT;
    const PhPolicyVariant *const routing[] = {&random_choice, &round_robin,
                                              &round_robin_limited,
                                              &least_outstanding, &policy};
    const PhPolicyVariant *const floods[] = {&random_choice, &round_robin,
                                             &policy, &strict, &limit};
    const PhPolicyVariant *const faults[] = {&random_choice, &round_robin,
                                             &policy, &cooldown, &first_byte};
    const PhPolicyVariant *const three[] = {&random_choice, &round_robin,
                                            &policy};
    for (size_t i = 0; i < G_N_ELEMENTS(routing); i++) {
        PhMeasure_SlowWorker(options, routing[i], 0);
        PhMeasure_SlowWorker(options, routing[i], 1);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(floods); i++) {
        for (int flood = 0; flood < PH_FLEET_SERVICES; flood++) {
            PhMeasure_Flood(options, floods[i], flood);
        }
    }
    for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
        PhMeasure_AllFail(options, faults[i]);
        PhMeasure_BadWorkers(options, faults[i], PH_FLEET_FAILS, "fail");
        PhMeasure_BadWorkers(options, faults[i], PH_FLEET_HANGS, "hang");
        PhMeasure_SilentConnections(options, faults[i]);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(three); i++) {
        PhMeasure_NoisyNeighbour(options, three[i]);
        measure_cost(options, three[i]);
    }
    return PhResult_Ok();
}
