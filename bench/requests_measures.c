#include "peridothill/bench/requests_measures.h"

#include <math.h>
#include <stdio.h>

enum {
    SLOTS = 8,
    CONNECTIONS = 60,
    INSTANCES = 7,
    METRIC_BYTES = 96,
};

typedef struct PhDeployment {
    const char *name;
    uint32_t workers;
    PhTime between_data_centres;
} PhDeployment;

static const PhDeployment deployments[] = {
    {"50", 50, 3 * PH_NS_PER_MS},
    {"65", 65, 4500 * PH_NS_PER_US},
};

/* Returns options for three services that load the fleet to `load`, in shares
 * of 2 : 1 : 1. */
static PhFleetOptions
fleet_options(const PhBenchOptions *bench, const PhDeployment *d,
              const PhPolicyVariant *variant, PhTime service_mean, double load)
{
    double capacity = (double)d->workers * SLOTS *
                      ((double)PH_NS_PER_S / (double)service_mean);
    PhFleetOptions o = {.seed = bench->seed,
                        .instances = INSTANCES,
                        .workers = d->workers,
                        .slots = SLOTS,
                        .connections = CONNECTIONS,
                        .between_data_centres = d->between_data_centres,
                        .tuning = variant->tuning};
    static const double shares[PH_FLEET_SERVICES] = {2.0, 1.0, 1.0};
    for (int i = 0; i < PH_FLEET_SERVICES; i++) {
        o.services[i] =
            (PhFleetService){.service_class = (PhServiceClass)i,
                             .service_mean = service_mean,
                             .deadline = (i == 0 ? 1 : 4) * PH_NS_PER_S,
                             .share = shares[i],
                             .rate = capacity * load * shares[i] / 4.0};
    }
    return o;
}

/* Outcome of the requests of one service in a time span. */
typedef struct PhRequestSummary {
    double arrived;
    double answered;
    double failed; /* an error or unknown */
    double not_run;
    double attempts;
    double executed_twice; /* not idempotent and run more than once */
    double p50_ms;
    double p99_ms;
} PhRequestSummary;

static gint
time_compare(gconstpointer a, gconstpointer b)
{
    PhTime left = *(const PhTime *)a;
    PhTime right = *(const PhTime *)b;
    return (left > right) - (left < right);
}

/* Returns NAN if there are no durations. */
static double
quantile_ms(const GArray *sorted, double quantile)
{
    if (sorted->len == 0) {
        return NAN;
    }
    guint at = (guint)(quantile * (sorted->len - 1));
    return (double)g_array_index(sorted, PhTime, at) / (double)PH_NS_PER_MS;
}

static void
summary_add(PhRequestSummary *s, const PhFleetRequest *r, GArray *latencies)
{
    PhTime latency = r->ended - r->arrived;
    s->arrived++;
    s->attempts += r->attempts;
    s->executed_twice += !r->idempotent && r->executions > 1;
    switch (r->end) {
    case PH_FLEET_ANSWERED:
        s->answered++;
        g_array_append_val(latencies, latency);
        break;
    case PH_FLEET_FAILED:
    case PH_FLEET_UNKNOWN:
        s->failed++;
        g_array_append_val(latencies, latency);
        break;
    case PH_FLEET_NOT_RUN:
        s->not_run++;
        break;
    case PH_FLEET_OPEN:
        break;
    }
}

/* Sums up the requests of a service that arrived in a time span.  A negative
 * `service` selects all services; `only_idempotent` leaves out requests that
 * are not idempotent. */
static PhRequestSummary
requests_summarise(const PhFleet *fleet, int service, PhTime from,
                   PhTime until, bool only_idempotent)
{
    PhRequestSummary s = {0};
    GArray *latencies = g_array_new(FALSE, FALSE, sizeof(PhTime));
    const GArray *requests = PhFleet_Requests(fleet);
    for (guint i = 0; i < requests->len; i++) {
        const PhFleetRequest *r = &g_array_index(requests, PhFleetRequest, i);
        if (r->arrived >= from && r->arrived < until &&
            (service < 0 || r->service == service) &&
            (!only_idempotent || r->idempotent)) {
            summary_add(&s, r, latencies);
        }
    }
    g_array_sort(latencies, time_compare);
    s.p50_ms = quantile_ms(latencies, 0.50);
    s.p99_ms = quantile_ms(latencies, 0.99);
    g_array_free(latencies, TRUE);
    return s;
}

static void
row_print(const PhBenchOptions *bench, const char *metric, const char *suffix,
          const PhPolicyVariant *variant, double value, const char *unit)
{
    char name[2 * METRIC_BYTES];
    snprintf(name, sizeof(name), "%s_%s", metric, suffix);
    PhBench_PrintRow(bench, name, variant->name, value, unit);
}

/* Stops new arrivals and runs until every deadline has passed. */
static void
fleet_finish(PhFleet *fleet, PhTime now)
{
    for (uint32_t i = 0; i < PH_FLEET_SERVICES; i++) {
        PhFleet_SetRate(fleet, i, 0.0);
    }
    PhFleet_Run(fleet, now + 5 * PH_NS_PER_S);
}

void
PhMeasure_SlowWorker(const PhBenchOptions *bench,
                     const PhPolicyVariant *variant, size_t deployment)
{
    const PhDeployment *d = &deployments[deployment];
    PhFleetOptions o =
        fleet_options(bench, d, variant, 20 * PH_NS_PER_MS, 0.7);
    PhFleet *fleet = PhFleet_Create(&o);
    PhFleet_SetInterference(fleet, 0, 5.0);
    PhFleet_Run(fleet, 3 * PH_NS_PER_S);
    fleet_finish(fleet, 3 * PH_NS_PER_S);
    PhRequestSummary s =
        requests_summarise(fleet, -1, PH_NS_PER_S, 3 * PH_NS_PER_S, false);
    row_print(bench, "slow_worker_p50", d->name, variant, s.p50_ms, "ms");
    row_print(bench, "slow_worker_p99", d->name, variant, s.p99_ms, "ms");
    row_print(bench, "slow_worker_answered", d->name, variant,
              s.answered / s.arrived, "ratio");
    row_print(bench, "most_connections", d->name, variant,
              PhFleet_MaxConnections(fleet), "connections");
    PhFleet_Destroy(fleet);
}

/* Counts the answers of a service by the time of the answer. */
static double
answers_within(const PhFleet *fleet, int service, PhTime from, PhTime until)
{
    double count = 0.0;
    const GArray *requests = PhFleet_Requests(fleet);
    for (guint i = 0; i < requests->len; i++) {
        const PhFleetRequest *r = &g_array_index(requests, PhFleetRequest, i);
        count += r->service == service && r->end == PH_FLEET_ANSWERED &&
                 r->ended >= from && r->ended < until;
    }
    return count;
}

static const char *const class_names[PH_FLEET_SERVICES] = {
    "latency-critical", "batch", "background"};

void
PhMeasure_Flood(const PhBenchOptions *bench, const PhPolicyVariant *variant,
                int flood)
{
    PhFleetOptions o = fleet_options(bench, &deployments[0], variant,
                                     100 * PH_NS_PER_MS, 0.7);
    PhFleet *fleet = PhFleet_Create(&o);
    double capacity = (double)o.workers * SLOTS * 10.0;
    PhFleet_Run(fleet, PH_NS_PER_S);
    PhFleet_SetRate(fleet, (uint32_t)flood, 5.0 * capacity);
    PhFleet_Run(fleet, 5 * PH_NS_PER_S);
    fleet_finish(fleet, 5 * PH_NS_PER_S);
    char metric[METRIC_BYTES];
    for (int i = 0; i < PH_FLEET_SERVICES; i++) {
        PhRequestSummary s = requests_summarise(fleet, i, 2 * PH_NS_PER_S,
                                                5 * PH_NS_PER_S, false);
        snprintf(metric, sizeof(metric), "flood_of_%s_kept",
                 class_names[flood]);
        double entitled = i == flood
                              ? capacity * 3.0 * o.services[i].share / 4.0
                              : s.arrived;
        double answers =
            answers_within(fleet, i, 2 * PH_NS_PER_S, 5 * PH_NS_PER_S);
        row_print(bench, metric, class_names[i], variant, answers / entitled,
                  "ratio");
        if (i == 0) {
            snprintf(metric, sizeof(metric), "flood_of_%s_p99",
                     class_names[flood]);
            row_print(bench, metric, class_names[i], variant, s.p99_ms, "ms");
        }
    }
    PhFleet_Destroy(fleet);
}

void
PhMeasure_AllFail(const PhBenchOptions *bench, const PhPolicyVariant *variant)
{
    PhFleetOptions o = fleet_options(bench, &deployments[0], variant,
                                     100 * PH_NS_PER_MS, 0.7);
    PhFleet *fleet = PhFleet_Create(&o);
    const PhTime begin = PH_NS_PER_S;
    const PhTime end = 4 * PH_NS_PER_S;
    const PhTime step = 100 * PH_NS_PER_MS;
    PhFleet_Run(fleet, begin);
    for (uint32_t i = 0; i < o.workers; i++) {
        PhFleet_SetFault(fleet, i, PH_FLEET_FAILS);
    }
    PhFleet_Run(fleet, end);
    for (uint32_t i = 0; i < o.workers; i++) {
        PhFleet_SetFault(fleet, i, PH_FLEET_HEALTHY);
    }
    PhFleet_Run(fleet, 10 * PH_NS_PER_S);
    fleet_finish(fleet, 10 * PH_NS_PER_S);
    PhRequestSummary s = requests_summarise(fleet, -1, begin, end, false);
    PhBench_PrintRow(bench, "all_fail_attempts", variant->name,
                     s.attempts / s.arrived, "attempts");
    PhTime at = end;
    for (PhTime t = end; t < 10 * PH_NS_PER_S; t += step) {
        PhRequestSummary w = requests_summarise(fleet, -1, t, t + step, false);
        if (w.answered < 0.95 * w.arrived) {
            at = t + step;
        }
    }
    PhBench_PrintRow(bench, "all_fail_recovery", variant->name,
                     (double)(at - end) / (double)PH_NS_PER_S, "s");
    PhFleet_Destroy(fleet);
}

void
PhMeasure_BadWorkers(const PhBenchOptions *bench,
                     const PhPolicyVariant *variant, PhFleetFault fault,
                     const char *suffix)
{
    enum {
        BAD_WORKERS = 3
    };
    PhFleetOptions o =
        fleet_options(bench, &deployments[0], variant, 20 * PH_NS_PER_MS, 0.5);
    o.services[0].unsafe = 0.2;
    PhFleet *fleet = PhFleet_Create(&o);
    PhFleet_Run(fleet, PH_NS_PER_S);
    for (uint32_t i = 0; i < BAD_WORKERS; i++) {
        PhFleet_SetFault(fleet, i, fault);
    }
    PhFleet_Run(fleet, 8 * PH_NS_PER_S);
    PhRequestSummary s =
        requests_summarise(fleet, -1, PH_NS_PER_S, 4 * PH_NS_PER_S, false);
    row_print(bench, "bad_workers_failed", suffix, variant,
              s.failed / s.arrived, "ratio");
    row_print(bench, "bad_workers_p99", suffix, variant, s.p99_ms, "ms");
    PhFleet_Destroy(fleet);
}

void
PhMeasure_SilentConnections(const PhBenchOptions *bench,
                            const PhPolicyVariant *variant)
{
    PhFleetOptions o =
        fleet_options(bench, &deployments[0], variant, 20 * PH_NS_PER_MS, 0.5);
    for (int i = 0; i < PH_FLEET_SERVICES; i++) {
        o.services[i].unsafe = 0.3;
    }
    PhFleet *fleet = PhFleet_Create(&o);
    for (PhTime t = 1; t < 4; t++) {
        PhFleet_Run(fleet, t * PH_NS_PER_S);
        PhFleet_SilenceConnections(fleet, 0.1);
    }
    PhFleet_Run(fleet, 4 * PH_NS_PER_S);
    fleet_finish(fleet, 4 * PH_NS_PER_S);
    PhRequestSummary all =
        requests_summarise(fleet, -1, 0, 4 * PH_NS_PER_S, false);
    PhRequestSummary safe =
        requests_summarise(fleet, -1, 0, 4 * PH_NS_PER_S, true);
    PhBench_PrintRow(bench, "silent_run_twice", variant->name,
                     all.executed_twice, "requests");
    PhBench_PrintRow(bench, "silent_idempotent_answered", variant->name,
                     safe.answered / safe.arrived, "ratio");
    PhBench_PrintRow(bench, "silent_p99", variant->name, safe.p99_ms, "ms");
    PhFleet_Destroy(fleet);
}

void
PhMeasure_NoisyNeighbour(const PhBenchOptions *bench,
                         const PhPolicyVariant *variant)
{
    enum {
        RACK_WORKERS = 8
    };
    const double deadline_ms = 100.0;
    const PhTime step = 100 * PH_NS_PER_MS;
    const PhTime begin = 2 * PH_NS_PER_S;
    PhFleetOptions o =
        fleet_options(bench, &deployments[0], variant, 20 * PH_NS_PER_MS, 0.6);
    PhFleet *fleet = PhFleet_Create(&o);
    PhFleet_Run(fleet, begin);
    for (uint32_t i = 0; i < RACK_WORKERS; i++) {
        PhFleet_SetInterference(fleet, i, 4.0);
    }
    PhFleet_Run(fleet, 5 * PH_NS_PER_S);
    fleet_finish(fleet, 5 * PH_NS_PER_S);
    PhTime at = begin;
    for (PhTime t = begin; t < 5 * PH_NS_PER_S; t += step) {
        if (requests_summarise(fleet, 0, t, t + step, false).p99_ms >
            deadline_ms) {
            at = t + step;
        }
    }
    PhBench_PrintRow(bench, "neighbour_recovery", variant->name,
                     (double)(at - begin) / (double)PH_NS_PER_S, "s");
    PhRequestSummary s =
        requests_summarise(fleet, 0, 3 * PH_NS_PER_S, 5 * PH_NS_PER_S, false);
    PhBench_PrintRow(bench, "neighbour_p99", variant->name, s.p99_ms, "ms");
    PhFleet_Destroy(fleet);
}
