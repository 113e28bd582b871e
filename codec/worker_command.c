#include "peridothill/codec/worker_command.h"

#include "peridothill/codec/json.h"

enum {
    LIST_MAX = 4096 /* runs, or ends, per answer */
};

static const PhStr paths[] = {
    [PH_WORKER_RENEW] = {"/tasks/renew", 12},
    [PH_WORKER_START] = {"/tasks/start", 12},
    [PH_WORKER_STOP] = {"/tasks/stop", 11},
    [PH_WORKER_CHECKPOINT] = {"/tasks/checkpoint", 17},
    [PH_WORKER_THROTTLE] = {"/tasks/throttle", 15},
};

PhStr
PhWorkerCommand_Path(PhWorkerCommandKind kind)
{
    return paths[kind];
}

static void
set_int(json_t *object, const char *key, int64_t value)
{
    json_object_set_new(object, key, json_integer((json_int_t)value));
}

static void
set_run(json_t *object, PhRun run)
{
    set_int(object, "job", (int64_t)run.job);
    set_int(object, "task", run.index);
    set_int(object, "incarnation", run.incarnation);
}

static PhRun
get_run(const json_t *object)
{
    return (PhRun){(uint64_t)PhJson_GetInt(object, "job", 0),
                   (uint32_t)PhJson_GetInt(object, "task", 0),
                   (uint32_t)PhJson_GetInt(object, "incarnation", 0)};
}

static void
start_set(json_t *o, const PhWorkerCommand *c)
{
    set_run(o, c->as.start.run);
    set_int(o, "lease_until_ms", c->as.start.lease_until_ms);
    set_int(o, "cpu_milli", c->as.start.size.cpu_milli);
    set_int(o, "memory_mb", c->as.start.size.memory_mb);
    set_int(o, "accelerators", c->as.start.size.accelerators);
    set_int(o, "run_ms", c->as.start.run_ms);
    set_int(o, "resume_from", (int64_t)c->as.start.resume_from);
}

PhStr
PhWorkerCommand_Encode(const PhWorkerCommand *c)
{
    json_t *o = json_object();
    set_int(o, "boot", (int64_t)c->boot);
    set_int(o, "epoch", (int64_t)c->epoch);
    set_int(o, "valid_until_ms", c->valid_until_ms);
    switch (c->kind) {
    case PH_WORKER_RENEW:
        set_int(o, "lease_until_ms", c->as.renew.lease_until_ms);
        set_int(o, "digest", (int64_t)c->as.renew.digest);
        set_int(o, "acked", (int64_t)c->as.renew.acked);
        break;
    case PH_WORKER_START:
        start_set(o, c);
        break;
    case PH_WORKER_STOP:
        set_run(o, c->as.stop.run);
        json_object_set_new(o, "evict", json_boolean(c->as.stop.evict));
        break;
    case PH_WORKER_CHECKPOINT:
        set_run(o, c->as.checkpoint);
        break;
    case PH_WORKER_THROTTLE:
        set_run(o, c->as.throttle.run);
        set_int(o, "percent", c->as.throttle.percent);
        break;
    }
    PhStr text = PhJson_Write(o);
    json_decref(o);
    return text;
}

static void
start_get(const json_t *o, PhWorkerCommand *c)
{
    c->as.start.run = get_run(o);
    c->as.start.lease_until_ms = PhJson_GetInt(o, "lease_until_ms", 0);
    c->as.start.size.cpu_milli = PhJson_GetInt(o, "cpu_milli", 0);
    c->as.start.size.memory_mb = PhJson_GetInt(o, "memory_mb", 0);
    c->as.start.size.accelerators = PhJson_GetInt(o, "accelerators", 0);
    c->as.start.run_ms = PhJson_GetInt(o, "run_ms", 0);
    c->as.start.resume_from = (uint64_t)PhJson_GetInt(o, "resume_from", 0);
}

static void
command_get(const json_t *o, PhWorkerCommand *c)
{
    c->boot = (uint64_t)PhJson_GetInt(o, "boot", 0);
    c->epoch = (uint64_t)PhJson_GetInt(o, "epoch", 0);
    c->valid_until_ms = PhJson_GetInt(o, "valid_until_ms", 0);
    switch (c->kind) {
    case PH_WORKER_RENEW:
        c->as.renew.lease_until_ms = PhJson_GetInt(o, "lease_until_ms", 0);
        c->as.renew.digest = (uint64_t)PhJson_GetInt(o, "digest", 0);
        c->as.renew.acked = (uint64_t)PhJson_GetInt(o, "acked", 0);
        break;
    case PH_WORKER_START:
        start_get(o, c);
        break;
    case PH_WORKER_STOP:
        c->as.stop.run = get_run(o);
        c->as.stop.evict = json_is_true(json_object_get(o, "evict"));
        break;
    case PH_WORKER_CHECKPOINT:
        c->as.checkpoint = get_run(o);
        break;
    case PH_WORKER_THROTTLE:
        c->as.throttle.run = get_run(o);
        c->as.throttle.percent = (uint32_t)PhJson_GetInt(o, "percent", 100);
        break;
    }
}

PhResult
PhWorkerCommand_Decode(PhStr path, PhStr body, PhWorkerCommand *command)
{
    size_t kind = 0;
    while (kind < G_N_ELEMENTS(paths) && !PhStr_Equal(path, paths[kind])) {
        kind++;
    }
    if (kind == G_N_ELEMENTS(paths)) {
        return PhResult_Make(PH_STATUS_NOT_FOUND, "unknown worker command");
    }
    json_t *json;
    PhResult result = PhJson_Parse(body, &json);
    if (PhResult_IsOk(&result)) {
        *command = (PhWorkerCommand){.kind = (PhWorkerCommandKind)kind};
        command_get(json, command);
        json_decref(json);
    }
    return result;
}

PhStr
PhWorkerAnswer_Encode(const PhWorkerAnswer *a)
{
    json_t *o = json_object();
    set_int(o, "status", a->status);
    set_int(o, "boot", (int64_t)a->boot);
    set_int(o, "clock_ms", a->clock_ms);
    if (a->listed) {
        json_t *running = json_array();
        for (guint i = 0; a->running != NULL && i < a->running->len; i++) {
            PhRun r = g_array_index(a->running, PhRun, i);
            json_array_append_new(running,
                                  json_pack("[Iii]", (json_int_t)r.job,
                                            (int)r.index, (int)r.incarnation));
        }
        json_object_set_new(o, "running", running);
    }
    if (a->ended != NULL && a->ended->len > 0) {
        json_t *ended = json_array();
        for (guint i = 0; i < a->ended->len; i++) {
            const PhWorkerEnd *e = &g_array_index(a->ended, PhWorkerEnd, i);
            json_array_append_new(
                ended,
                json_pack("[IIiiiI]", (json_int_t)e->number,
                          (json_int_t)e->end.run.job, (int)e->end.run.index,
                          (int)e->end.run.incarnation, (int)e->end.outcome,
                          (json_int_t)e->end.checkpoint));
        }
        json_object_set_new(o, "ended", ended);
    }
    PhStr text = PhJson_Write(o);
    json_decref(o);
    return text;
}

/* Returns false if a run is malformed. */
static bool
running_read(const json_t *list, PhWorkerAnswer *a)
{
    a->running = g_array_new(FALSE, FALSE, sizeof(PhRun));
    for (size_t i = 0; i < json_array_size(list); i++) {
        json_int_t job = 0;
        int index = 0;
        int incarnation = 0;
        if (json_unpack(json_array_get(list, i), "[I,i,i]", &job, &index,
                        &incarnation) != 0) {
            return false;
        }
        PhRun run = {(uint64_t)job, (uint32_t)index, (uint32_t)incarnation};
        g_array_append_val(a->running, run);
    }
    return json_array_size(list) <= LIST_MAX;
}

/* Returns false if an end is malformed. */
static bool
ended_read(const json_t *list, PhWorkerAnswer *a)
{
    a->ended = g_array_new(FALSE, FALSE, sizeof(PhWorkerEnd));
    for (size_t i = 0; i < json_array_size(list); i++) {
        json_int_t number = 0;
        json_int_t job = 0;
        json_int_t checkpoint = 0;
        int index = 0;
        int incarnation = 0;
        int outcome = 0;
        if (json_unpack(json_array_get(list, i), "[I,I,i,i,i,I]", &number,
                        &job, &index, &incarnation, &outcome,
                        &checkpoint) != 0 ||
            outcome < 0 || outcome > PH_RUN_LOST) {
            return false;
        }
        PhWorkerEnd end = {.number = (uint64_t)number,
                           .end = {.run = {(uint64_t)job, (uint32_t)index,
                                           (uint32_t)incarnation},
                                   .outcome = (PhRunOutcome)outcome,
                                   .checkpoint = (uint64_t)checkpoint}};
        g_array_append_val(a->ended, end);
    }
    return json_array_size(list) <= LIST_MAX;
}

PhResult
PhWorkerAnswer_Decode(PhStr body, PhWorkerAnswer *a)
{
    json_t *json;
    PhResult result = PhJson_Parse(body, &json);
    *a = (PhWorkerAnswer){0};
    if (!PhResult_IsOk(&result)) {
        return result;
    }
    int64_t status = PhJson_GetInt(json, "status", -1);
    const json_t *running = json_object_get(json, "running");
    a->boot = (uint64_t)PhJson_GetInt(json, "boot", 0);
    a->clock_ms = PhJson_GetInt(json, "clock_ms", 0);
    a->listed = running != NULL;
    a->status = (PhStatus)status;
    if (status < 0 || status > PH_STATUS_IO || a->boot == 0 ||
        (a->listed && !running_read(running, a)) ||
        !ended_read(json_object_get(json, "ended"), a)) {
        PhWorkerAnswer_Clear(a);
        result = PhResult_Make(PH_STATUS_INVALID, "malformed worker answer");
    }
    json_decref(json);
    return result;
}
