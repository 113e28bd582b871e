#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "commands/options.h"
#include "peridothill/bench/bench.h"
#include "peridothill/commands.h"

typedef struct PhBenchEntry {
    const char *name;
    const char *summary;
    PhResult (*run)(const PhBenchOptions *options);
} PhBenchEntry;

/* Sorted by name for the binary search. */
static const PhBenchEntry benches[] = {
    {"capacity", "slopes of each role, for docs/CAPACITY.md",
     PhBench_Capacity},
    {"control", "configuration and membership", PhBench_Control},
    {"http", "requests through one entry instance", PhBench_Http},
    {"kernel", "cost of one message between tasks", PhBench_Kernel},
    {"requests", "routing, admission and retries", PhBench_Requests},
    {"schedule", "decisions of the owner of jobs", PhBench_Schedule},
    {"soak", "randomised runs with faults and invariants", PhBench_Soak},
    {"tasks", "leases, recovery and placement of tasks", PhBench_Tasks},
};

/* Compares a name with a bench for bsearch. */
static int
bench_compare(const void *name, const void *entry)
{
    return strcmp(name, ((const PhBenchEntry *)entry)->name);
}

static char *
bench_describe(void)
{
    GString *text = g_string_new("Benches:\n");
    for (size_t i = 0; i < G_N_ELEMENTS(benches); i++) {
        g_string_append_printf(text, "  %-10s %s\n", benches[i].name,
                               benches[i].summary);
    }
    return g_string_free(text, FALSE);
}

static int
bench_run(const char *name, const PhBenchOptions *options)
{
    const PhBenchEntry *entry = bsearch(name, benches, G_N_ELEMENTS(benches),
                                        sizeof(benches[0]), bench_compare);
    if (entry == NULL) {
        fprintf(stderr, "peridothill bench: unknown bench '%s'\n", name);
        return PH_EXIT_USAGE;
    }
    PhResult result = entry->run(options);
    if (!PhResult_IsOk(&result)) {
        fprintf(stderr, "peridothill bench %s: %s: %.*s\n", name,
                PhStatus_Name(result.status),
                PhStr_ARG(PhResult_Message(&result)));
        return PH_EXIT_FAILED;
    }
    return PH_EXIT_DONE;
}

int
PhCommand_Bench(int argc, char **argv)
{
    gint64 seed = 1;
    gint64 steps = 0;
    GOptionEntry entries[] = {
        {"seed", 's', 0, G_OPTION_ARG_INT64, &seed,
         "Seed of the random numbers (default 1)", "N"},
        {"steps", 'n', 0, G_OPTION_ARG_INT64, &steps,
         "Steps to run (default: the bench's own)", "N"},
        {NULL},
    };
    char *details = bench_describe();
    PhOptions options = {.command = "bench",
                         .arguments = "NAME",
                         .details = details,
                         .entries = entries,
                         .min_arguments = 1,
                         .max_arguments = 1,
                         .usage_error = "one NAME is required"};
    int code = PH_EXIT_USAGE;
    bool valid = PhOptions_Parse(&options, &argc, argv);
    if (valid && (seed < 0 || steps < 0)) {
        fprintf(stderr, "peridothill bench: --seed and --steps must not be "
                        "negative\n");
    }
    else if (valid) {
        PhBenchOptions bench = {
            .seed = (uint64_t)seed, .steps = (uint64_t)steps, .out = stdout};
        code = bench_run(argv[1], &bench);
    }
    g_free(details);
    return code;
}
