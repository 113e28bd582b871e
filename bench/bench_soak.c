#include <glib.h>

#include "peridothill/bench/bench.h"
#include "peridothill/bench/soak.h"
#include "peridothill/common/invariant.h"

enum {
    DEFAULT_STEPS = 300000,
    GUARANTEES = 9, /* the first invariants are guarantees of the product */
};

static const PhSoakArea *const areas[] = {
    &PhSoak_Config,
    &PhSoak_Members,
    &PhSoak_Requests,
    &PhSoak_Tasks,
};

const PhSoakArea *const *
PhSoakArea_List(size_t *count)
{
    *count = G_N_ELEMENTS(areas);
    return areas;
}

/* Returns false if the area never settled or one of its faults never began. */
static bool
area_print(const PhBenchOptions *options, const PhSoakArea *area,
           const PhSoakRun *run)
{
    bool whole = run->settled > 0;
    PhBench_PrintRow(options, "soak_simulated", area->name,
                     (double)run->simulated / (double)PH_NS_PER_S, "s");
    PhBench_PrintRow(options, "soak_settled", area->name, (double)run->settled,
                     "checks");
    for (size_t i = 0; i < area->fault_count; i++) {
        char *policy = g_strdup_printf("%s/%s", area->name,
                                       PhFault_Label(area->faults[i]));
        PhBench_PrintRow(options, "soak_fault", policy,
                         (double)run->begun[area->faults[i]], "begun");
        whole &= run->begun[area->faults[i]] > 0;
        g_free(policy);
    }
    return whole;
}

/* Prints how often each invariant was checked; appends the labels of
 * guarantees that never were to `missing`. */
static void
invariants_print(const PhBenchOptions *options, GString *missing)
{
    for (int i = 0; i < PH_INVARIANT_COUNT; i++) {
        uint64_t checks = PhInvariant_Checks(i);
        PhBench_PrintRow(options, "soak_invariant", PhInvariant_Label(i),
                         (double)checks, "checks");
        if (checks == 0 && i < GUARANTEES) {
            g_string_append_printf(missing, " %s", PhInvariant_Label(i));
        }
    }
}

/* A guarantee that was never checked, or a fault that never began, is a
 * failure: the run would prove nothing about it. */
PhResult
PhBench_Soak(const PhBenchOptions *options)
{
    uint64_t begun[PH_FAULT_COUNT] = {0};
    GString *missing = g_string_new(NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(areas); i++) {
        PhSoakRun run = {.seed = options->seed,
                         .steps =
                             options->steps ? options->steps : DEFAULT_STEPS};
        areas[i]->run(&run);
        if (!area_print(options, areas[i], &run)) {
            g_string_append_printf(missing, " %s", areas[i]->name);
        }
        for (int f = 0; f < PH_FAULT_COUNT; f++) {
            begun[f] += run.begun[f];
        }
    }
    for (int f = 0; f < PH_FAULT_COUNT; f++) {
        if (begun[f] == 0) {
            g_string_append_printf(missing, " %s", PhFault_Label(f));
        }
    }
    invariants_print(options, missing);
    PhResult result =
        missing->len == 0
            ? PhResult_Ok()
            : PhResult_Make(PH_STATUS_INVALID,
                            "seed=%" G_GUINT64_FORMAT " not exercised:%s",
                            options->seed, missing->str);
    g_string_free(missing, TRUE);
    return result;
}
