#include "task_sim_private.h"

void
PhTaskSim_Submit(PhTaskSim *w, uint32_t instance, const PhJobSpec *spec)
{
    if (w->instances[instance].engine == NULL) {
        w->counts.refused++;
        return;
    }
    PhJobEvent event = {.kind = PH_JOB_SUBMIT};
    event.as.submit.token = ++w->next_id;
    event.as.submit.spec = spec;
    gint64 token = (gint64)event.as.submit.token;
    if (!g_hash_table_contains(w->submits, &spec->key)) {
        PhTime now = PhFakeNet_Now(w->net);
        g_hash_table_insert(w->submits, PhStr_KeyCreate(spec->key),
                            g_memdup2(&now, sizeof(now)));
    }
    g_hash_table_insert(w->tokens, g_memdup2(&token, sizeof(token)),
                        PhStr_KeyCreate(spec->key));
    PhTaskSim_HandleEvent(w, instance, &event);
}

void
PhTaskSim_Cancel(PhTaskSim *w, uint32_t instance, PhStr key)
{
    PhJobEngine *engine = w->instances[instance].engine;
    const PhJobState *state =
        engine == NULL ? NULL : PhJobEngine_State(engine);
    const PhJob *job =
        state == NULL ? NULL : PhJobState_FindJobByKey(state, key);
    if (job == NULL) {
        return;
    }
    PhJobEvent event = {.kind = PH_JOB_CANCEL};
    event.as.cancel.token = ++w->next_id;
    event.as.cancel.job = job->number;
    PhTaskSim_HandleEvent(w, instance, &event);
}

void
PhTaskSim_Kill(PhTaskSim *w, uint32_t instance)
{
    PhSimInstance *in = &w->instances[instance];
    PhJobEngine_Destroy(in->engine);
    in->engine = NULL;
    in->append_id = 0;
    in->read_id = 0;
    PhFakeNet_Crash(w->net, instance);
}

void
PhTaskSim_Replace(PhTaskSim *w, uint32_t instance)
{
    PhSimInstance *in = &w->instances[instance];
    PhTaskSim_Kill(w, instance);
    in->generation++;
    PhBuf id = {0};
    PhBuf_AppendFormat(&id, "i%u/%u", instance, in->generation);
    in->engine = PhJobEngine_Create(
        &(PhJobEngineOptions){.instance = PhBuf_Str(&id),
                              .seed = PhRandom_U64(w->random),
                              .times = w->options.times,
                              .policy = w->options.policy},
        PhTaskSim_InstanceClock(w, in));
    PhBuf_Clear(&id);
    PhJobEvent quotas = {.kind = PH_JOB_QUOTAS};
    quotas.as.quotas.teams = w->options.quotas;
    quotas.as.quotas.count = w->options.quota_count;
    PhTaskSim_HandleEvent(w, instance, &quotas);
    PhTime jitter = (PhTime)PhRandom_Below(w->random, PH_NS_PER_S / 10);
    PhFakeNet_SetTimer(w->net, instance, TOKEN_TICK,
                       PhFakeNet_Now(w->net) + jitter);
}

void
PhTaskSim_PauseInstance(PhTaskSim *w, uint32_t instance, PhTime by)
{
    PhFakeNet_Pause(w->net, instance, PhFakeNet_Now(w->net) + by);
}

void
PhTaskSim_PauseWorker(PhTaskSim *w, uint32_t worker, PhTime by)
{
    PhFakeNet_Pause(w->net, PhTaskSim_WorkerEndpoint(w, worker),
                    PhFakeNet_Now(w->net) + by);
}

void
PhTaskSim_CutLog(PhTaskSim *w, uint32_t instance, bool cut)
{
    PhFakeNet_Link(w->net, instance, PH_SIM_GROUP_LOG)->cut = cut;
    PhFakeNet_Link(w->net, PH_SIM_GROUP_LOG, instance)->cut = cut;
}

void
PhTaskSim_SetRunPercent(PhTaskSim *w, uint32_t percent)
{
    w->run_percent = percent;
}

void
PhTaskSim_CutWorker(PhTaskSim *w, uint32_t instance, uint32_t worker, bool cut)
{
    uint32_t endpoint = PhTaskSim_WorkerEndpoint(w, worker);
    PhFakeNet_SetBlackhole(w->net, instance, endpoint, cut);
    PhFakeNet_SetBlackhole(w->net, endpoint, instance, cut);
}

void
PhTaskSim_RestartWorker(PhTaskSim *w, uint32_t worker)
{
    PhSimWorker *to = &w->workers[worker];
    const GArray *runs = PhWorkerTasks_Runs(to->tasks);
    for (guint i = 0; i < runs->len; i++) {
        PhRun run = g_array_index(runs, PhWorkerRun, i).run;
        const PhSimHeldRun *held = g_hash_table_lookup(w->held_runs, &run);
        if (held != NULL && held->worker == worker) {
            g_hash_table_remove(w->held_runs, &run);
        }
    }
    PhWorkerTasks_Destroy(to->tasks);
    to->tasks = PhWorkerTasks_Create(PhRandom_U64(w->random) | 1,
                                     PhTaskSim_WorkerSize(w, worker));
    to->offset_ms = (int64_t)PhRandom_Below(w->random, 1000000) + 1;
}

/* Makes all starts on a worker fail, or succeed again. */
void
PhTaskSim_FailWorker(PhTaskSim *w, uint32_t worker, bool failing)
{
    PhWorkerTasks_SetFailing(w->workers[worker].tasks, failing);
}
