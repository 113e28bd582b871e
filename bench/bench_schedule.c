/* CPU time of the owner's scheduling decisions, by size of the fleet and by
 * load; source of figures in docs/CAPACITY.md. */
#include "peridothill/bench/bench.h"
#include "peridothill/bench/schedule_fleet.h"

enum {
    SETTLE_S = 10,
    RUN_S = 20,
    METRIC_BYTES = 64,
    TASKS = 15, /* per job */
};

/* A fleet and its load. */
typedef struct PhScheduleLoad {
    const char *name;
    unsigned workers;
    double starts_per_s;
    double serving_share;
} PhScheduleLoad;

static const PhScheduleLoad loads[] = {
    {"50_calm", 50, 100, 0.8},     {"50_burst", 50, 400, 0.8},
    {"350_calm", 350, 600, 0.8},   {"350_burst", 350, 1800, 0.8},
    {"490_calm", 490, 825, 0.8},   {"490_burst", 490, 2500, 0.8},
    {"3200_peak", 3200, 280, 0.5},
};

static void
row_print(const PhBenchOptions *options, const char *metric,
          const PhScheduleLoad *load, double value, const char *unit)
{
    PhBench_PrintRow(options, metric, load->name, value, unit);
}

static void
load_run(const PhBenchOptions *options, const PhScheduleLoad *load)
{
    static const char *const names[PH_SCHEDULE_COST_COUNT] = {
        [PH_SCHEDULE_COST_PLAN] = "schedule_plan",
        [PH_SCHEDULE_COST_RECORDS] = "schedule_records",
        [PH_SCHEDULE_COST_ORDERS] = "schedule_orders",
        [PH_SCHEDULE_COST_HOLD_REPLIES] = "schedule_looks",
    };
    PhScheduleFleet *f = PhScheduleFleet_Create(
        &(PhScheduleFleetOptions){.seed = options->seed,
                                  .workers = load->workers,
                                  .jobs_per_s = load->starts_per_s / TASKS,
                                  .tasks = TASKS,
                                  .serving_share = load->serving_share,
                                  .begin = PH_NS_PER_S});
    PhScheduleFleet_Run(f, SETTLE_S * PH_NS_PER_S, false);
    PhScheduleFleetCounts before = PhScheduleFleet_Counts(f);
    PhScheduleFleet_Run(f, RUN_S * PH_NS_PER_S, true);
    PhScheduleFleetCounts after = PhScheduleFleet_Counts(f);
    double total = 0;
    for (int i = 0; i < PH_SCHEDULE_COST_COUNT; i++) {
        double ns = (double)(after.cost_ns[i] - before.cost_ns[i]);
        total += ns;
        row_print(options, names[i], load, ns / RUN_S / PH_NS_PER_MS,
                  "ms_a_second");
    }
    row_print(options, "schedule_all", load, total / RUN_S / PH_NS_PER_MS,
              "ms_a_second");
    row_print(options, "schedule_starts", load,
              (double)(after.starts - before.starts) / RUN_S, "a_second");
    row_print(options, "schedule_look_rate", load,
              (double)(after.hold_replies - before.hold_replies) / RUN_S,
              "a_second");
    row_print(options, "schedule_waiting", load, (double)after.waiting,
              "tasks");
    PhScheduleFleet_Destroy(f);
}

PhResult
PhBench_Schedule(const PhBenchOptions *options)
{
    for (size_t i = 0; i < sizeof(loads) / sizeof(loads[0]); i++) {
        load_run(options, &loads[i]);
    }
    return PhResult_Ok();
}
