#include "bench/bench_control_config.h"

enum {
    READERS = 2,
    FIRST_PATCHES = 60,
    STARTS = 10,
    OPERATORS = 1000,
    OUTAGE_S = 7200,
    ARRIVALS_S = 600, /* operators arrive in this last part of the outage */
    RETRY_MIN_MS = 300,
    RETRY_MAX_MS = 4000,
    DRAIN_LIMIT_S = 300,
};

#define SECOND PH_NS_PER_S
#define STEP_NS (50 * PH_NS_PER_MS)

/* Submits patches, so that a starting instance has state to recover. */
static void
patches_submit(PhConfigFleet *fleet)
{
    for (uint64_t n = 0; n < FIRST_PATCHES; n++) {
        PhConfigFleet_Submit(fleet, 0, n, n, PhConfigFleet_Version(fleet, 0),
                             (uint32_t)n,
                             PhConfigFleet_Now(fleet) + 8 * SECOND);
        PhConfigFleet_Run(fleet, PhConfigFleet_Now(fleet) + SECOND / 20);
    }
    PhConfigFleet_Run(fleet, PhConfigFleet_Now(fleet) + 10 * SECOND);
}

static void
starts_single(const PhBenchOptions *options, PhConfigFleet *fleet,
              uint32_t instances, const char *policy)
{
    GArray *times = g_array_new(FALSE, FALSE, sizeof(PhTime));
    for (uint32_t i = 0; i < STARTS; i++) {
        uint32_t x = i * 13 % instances;
        PhTime from = PhConfigFleet_Now(fleet);
        PhConfigFleet_Crash(fleet, x);
        PhConfigFleet_Start(fleet, x);
        PhConfigFleet_Run(fleet, from + 5 * SECOND);
        PhTime useful = PhConfigFleet_FirstInForceAt(fleet, x);
        if (useful >= 0) {
            PhTime time = useful - from;
            g_array_append_val(times, time);
        }
    }
    PhControl_PrintTimes(options, "config_start", instances, policy, times);
    g_array_free(times, TRUE);
}

static void
starts_all(const PhBenchOptions *options, PhConfigFleet *fleet,
           uint32_t instances)
{
    GArray *times = g_array_new(FALSE, FALSE, sizeof(PhTime));
    PhTime from = PhConfigFleet_Now(fleet);
    PhConfigFleet_CrashAll(fleet);
    uint64_t reads = PhConfigFleet_Counts(fleet)->log_reads;
    PhConfigFleet_StartAll(fleet);
    PhConfigFleet_Run(fleet, from + 20 * SECOND);
    reads = PhConfigFleet_Counts(fleet)->log_reads - reads;
    for (uint32_t i = 0; i < instances; i++) {
        PhTime useful = PhConfigFleet_FirstInForceAt(fleet, i);
        if (useful >= 0) {
            PhTime time = useful - from;
            g_array_append_val(times, time);
        }
    }
    PhControl_PrintTimes(options, "config_start", instances, "all-at-once",
                         times);
    PhControl_PrintRow(options, "config_start_log_reads", instances,
                       "all-at-once", (double)reads / instances, "1/instance");
    g_array_free(times, TRUE);
}

/* Returns the average number of instances per data centre that read the
 * log. */
static double
readers_count(const PhConfigFleet *fleet, uint32_t instances)
{
    double readers = 0;
    for (uint32_t i = 0; i < instances; i++) {
        readers += PhConfigFollower_ReadsLog(PhConfigFleet_Follower(fleet, i));
    }
    return readers / (instances < 50 ? 3 : 7);
}

void
PhControlConfig_Starts(const PhBenchOptions *options, uint32_t instances)
{
    PhConfigFleet *fleet =
        PhControlConfig_Fleet(options, instances, READERS, 0);
    PhFakeLogOptions *log = PhFakeLog_Options(PhConfigFleet_Log(fleet));
    patches_submit(fleet);
    PhControl_PrintRow(options, "config_readers", instances,
                       "readers-and-peers", readers_count(fleet, instances),
                       "1/data-centre");
    starts_single(options, fleet, instances, "log-up");
    log->outage = true;
    PhConfigFleet_Run(fleet, PhConfigFleet_Now(fleet) + 30 * SECOND);
    starts_single(options, fleet, instances, "log-down");
    log->outage = false;
    PhConfigFleet_Run(fleet, PhConfigFleet_Now(fleet) + 30 * SECOND);
    starts_all(options, fleet, instances);
    PhConfigFleet_Destroy(fleet);
}

/* Operators waiting for verdicts on their patches. */
typedef struct PhWaitingOperators {
    PhConfigFleet *fleet;
    PhRandom *random;
    PhTime next[OPERATORS]; /* PH_TIME_NEVER: no answer yet, or decided */
    PhTime delay[OPERATORS];
    PhTime decided[OPERATORS]; /* negative: not yet */
    uint32_t open;
} PhWaitingOperators;

/* Retries with exponential back-off if the patch was not accepted or its
 * outcome is unknown. */
static void
answer_handle(void *context, uint64_t request, const PhResult *result,
              uint64_t version)
{
    PhWaitingOperators *q = context;
    PhTime now = PhConfigFleet_Now(q->fleet);
    (void)version;
    if (request >= OPERATORS) {
        return;
    }
    if (result->status == PH_STATUS_UNAVAILABLE ||
        result->status == PH_STATUS_UNKNOWN) {
        q->next[request] =
            now + q->delay[request] / 2 +
            (PhTime)PhRandom_Below(q->random, (uint64_t)q->delay[request]);
        q->delay[request] =
            MIN(q->delay[request] * 2, RETRY_MAX_MS * PH_NS_PER_MS);
        return;
    }
    q->decided[request] = now;
    q->open--;
}

static void
operators_send(PhWaitingOperators *q, uint32_t instances)
{
    PhTime now = PhConfigFleet_Now(q->fleet);
    for (uint32_t i = 0; i < OPERATORS; i++) {
        if (now >= q->next[i]) {
            uint32_t at = (uint32_t)PhRandom_Below(q->random, instances);
            q->next[i] = PH_TIME_NEVER;
            PhConfigFleet_Submit(q->fleet, at, i, i, 0, i, now + 8 * SECOND);
        }
    }
}

/* Runs until a time, or until all operators have a verdict. */
static void
operators_run(PhWaitingOperators *q, uint32_t instances, PhTime until)
{
    while (PhConfigFleet_Now(q->fleet) < until && q->open > 0) {
        operators_send(q, instances);
        PhConfigFleet_Run(q->fleet, PhConfigFleet_Now(q->fleet) + STEP_NS);
    }
}

/* Prints the times from the end of the outage to the verdicts. */
static void
operators_print(const PhBenchOptions *options, const PhWaitingOperators *q,
                uint32_t instances, const char *policy, PhTime up_at)
{
    GArray *times = g_array_new(FALSE, FALSE, sizeof(PhTime));
    for (uint32_t i = 0; i < OPERATORS; i++) {
        if (q->decided[i] >= 0) {
            PhTime time = q->decided[i] - up_at;
            g_array_append_val(times, time);
        }
    }
    const PhFleetCounts *c = PhConfigFleet_Counts(q->fleet);
    PhControl_PrintTimes(options, "config_drain", instances, policy, times);
    PhControl_PrintRow(options, "config_drain_appends", instances, policy,
                       (double)c->appends_per_second_max, "1/s");
    g_array_free(times, TRUE);
}

void
PhControlConfig_Outage(const PhBenchOptions *options, uint32_t instances,
                       const char *policy, uint32_t appends_per_second)
{
    PhWaitingOperators *q = g_new0(PhWaitingOperators, 1);
    q->fleet =
        PhControlConfig_Fleet(options, instances, READERS, appends_per_second);
    q->random = PhRandom_Create(options->seed);
    q->open = OPERATORS;
    PhConfigFleet_OnAnswer(q->fleet, answer_handle, q);
    PhTime up_at = PhConfigFleet_Now(q->fleet) + OUTAGE_S * SECOND;
    for (uint32_t i = 0; i < OPERATORS; i++) {
        q->next[i] =
            up_at - (PhTime)PhRandom_Below(q->random, ARRIVALS_S) * SECOND;
        q->delay[i] = RETRY_MIN_MS * PH_NS_PER_MS;
        q->decided[i] = -1;
    }
    PhFakeLog_Options(PhConfigFleet_Log(q->fleet))->outage = true;
    PhConfigFleet_Run(q->fleet, up_at - ARRIVALS_S * SECOND);
    operators_run(q, instances, up_at);
    PhFakeLog_Options(PhConfigFleet_Log(q->fleet))->outage = false;
    operators_run(q, instances, up_at + DRAIN_LIMIT_S * SECOND);
    operators_print(options, q, instances, policy, up_at);
    PhConfigFleet_Destroy(q->fleet);
    PhRandom_Destroy(q->random);
    g_free(q);
}
