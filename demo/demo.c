#include "peridothill/demo/demo.h"

#include <signal.h>

#include "peridothill/demo/script.h"
#include "peridothill/services/http.h"

static const PhDeployment deployments[] = {
    {.name = "acceptance",
     .data_centres = {"bacolod", "silay"},
     .service = "booking",
     .slots = 8,
     .cpu_milli = 64000,
     .memory_mb = 250000,
     .accelerators = 2,
     .service_mean = 8 * PH_NS_PER_MS},
    {.name = "order-scheduling",
     .data_centres = {"windhoek-a", "okahandja"},
     .service = "booking",
     .slots = 8,
     .cpu_milli = 16000,
     .memory_mb = 60000,
     .accelerators = 0,
     .service_mean = 12 * PH_NS_PER_MS},
};

#define FIRST_PATCH                                                           \
    "[{\"set\":\"teams.counter.share\",\"value\":\"3\"},"                     \
    "{\"set\":\"teams.night.share\",\"value\":\"1\"},"                        \
    "{\"set\":\"services.booking.prefix\",\"value\":\"/booking\"},"           \
    "{\"set\":\"services.booking.class\",\"value\":\"latency-critical\"},"    \
    "{\"set\":\"services.booking.team\",\"value\":\"counter\"},"              \
    "{\"set\":\"services.booking.deadline_ms\",\"value\":\"2000\"}]"
#define DEADLINE_PATCH(MS)                                                    \
    "[{\"set\":\"services.booking.deadline_ms\",\"value\":\"" MS "\"}]"

static const PhStep steps[] = {
    {1200, PH_STEP_PATCH, "first patch", {.patch = FIRST_PATCH}},
    {6500,
     PH_STEP_REQUEST_INTERVAL,
     "callers start, 250 requests per second",
     {.interval = 4 * PH_NS_PER_MS}},
    {6700, PH_STEP_JOB, "a batch job of 12 tasks", {.tasks = 12}},
    {7500,
     PH_STEP_WORKER_FAULT,
     "worker 1 stops answering",
     {.fault = {1, PH_STANDIN_SILENT}}},
    {9500,
     PH_STEP_WORKER_FAULT,
     "worker 1 has recovered",
     {.fault = {1, PH_STANDIN_HEALTHY}}},
    {10000,
     PH_STEP_WORKER_FAULT,
     "worker 2 runs requests but closes the connections",
     {.fault = {2, PH_STANDIN_CLOSES_CONNECTION}}},
    {11000,
     PH_STEP_WORKER_FAULT,
     "worker 2 fails every request immediately",
     {.fault = {2, PH_STANDIN_FAILS_FAST}}},
    {12000,
     PH_STEP_WORKER_FAULT,
     "worker 2 has recovered",
     {.fault = {2, PH_STANDIN_HEALTHY}}},
    {12300,
     PH_STEP_WORKER_RESTARTS,
     "worker 4 restarts without its tasks",
     {.index = 4}},
    {12500, PH_STEP_LOG_OUTAGE, "the platform's log is down", {.on = true}},
    {12700,
     PH_STEP_PATCH,
     "a patch during the outage",
     {.patch = DEADLINE_PATCH("1900")}},
    {14000, PH_STEP_LOG_OUTAGE, "the log is available again", {.on = false}},
    {14500,
     PH_STEP_LOG_LOSES_ANSWERS,
     "answers of the log are lost",
     {.on = true}},
    {14700,
     PH_STEP_PATCH,
     "a patch whose answer is lost",
     {.patch = DEADLINE_PATCH("1800")}},
    {15700,
     PH_STEP_LOG_LOSES_ANSWERS,
     "answers of the log arrive again",
     {.on = false}},
    {16500, PH_STEP_INSTANCE_KILL, "instance 0 crashes", {.index = 0}},
    {17000,
     PH_STEP_INSTANCE_START,
     "a replacement for instance 0",
     {.index = 0}},
    {18000, PH_STEP_WORKER_LEAVES, "worker 3 is leaving", {.index = 3}},
    {18500,
     PH_STEP_INSTANCE_STOP,
     "instance 1 stops gracefully",
     {.index = 1}},
    {22000,
     PH_STEP_INSTANCE_START,
     "a replacement for instance 1",
     {.index = 1}},
    {22500,
     PH_STEP_PATCH,
     "one more patch",
     {.patch = DEADLINE_PATCH("2100")}},
    {23000,
     PH_STEP_REQUEST_INTERVAL,
     "overload, 1,000 requests per second",
     {.interval = 1 * PH_NS_PER_MS}},
    {24500, PH_STEP_REQUEST_INTERVAL, "callers stop", {.interval = 0}},
    {27500,
     PH_STEP_CHECK_CONFIG,
     "check that every instance has the latest version",
     {0}},
    {28000, PH_STEP_JOBS_DONE, "state of the job", {0}},
    {29500, PH_STEP_END, "end", {0}},
};

static void
on_end(void *context)
{
    ev_break(context, EVBREAK_ALL);
}

static bool
run_deployment(const PhDeployment *deployment, uint64_t seed,
               PhVerdicts *verdicts, FILE *out)
{
    struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
    PhClock *clock = PhClock_Create(PH_CLOCK_REAL);
    PhCounters *counters = PhCounters_Create();
    PhDemoCluster *cluster =
        PhDemoCluster_Create(deployment, loop, clock, seed);
    PhKernel *kernel = PhKernel_Create(&(PhKernelOptions){
        .clock = clock, .loop = loop, .counters = counters});
    fprintf(out,
            "deployment %s: 3 entry instances in 2 data centres, 6 "
            "workers\n",
            deployment->name);
    PhResult r = PhDemoCluster_Start(cluster);
    if (PhResult_IsOk(&r)) {
        PhHttp_Start(kernel);
        PhLoad *load = PhLoad_Start(kernel, cluster, verdicts);
        PhScriptOptions options = {.cluster = cluster,
                                   .load = load,
                                   .verdicts = verdicts,
                                   .steps = steps,
                                   .out = out,
                                   .context = loop,
                                   .on_end = on_end};
        PhScript_Start(kernel, &options);
        ev_run(loop, 0);
        PhLoad_Print(load, out);
    }
    else {
        fprintf(out, "cannot start: %.*s\n", PhStr_ARG(PhResult_Message(&r)));
    }
    PhKernel_Destroy(kernel);
    PhDemoCluster_Destroy(cluster);
    PhCounters_Destroy(counters);
    PhClock_Destroy(clock);
    ev_loop_destroy(loop);
    return PhResult_IsOk(&r);
}

bool
PhDemo_Run(uint64_t seed, FILE *out)
{
    PhVerdicts *verdicts = PhVerdicts_Create(out);
    bool started = true;
    signal(SIGPIPE, SIG_IGN);
    for (size_t i = 0; i < G_N_ELEMENTS(deployments) && started; i++) {
        started = run_deployment(&deployments[i], seed + i, verdicts, out);
    }
    bool held = PhVerdicts_Print(verdicts, out);
    PhVerdicts_Destroy(verdicts);
    return started && held;
}
