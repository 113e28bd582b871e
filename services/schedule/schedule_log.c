/* Log lines of the owner: orders, ends of runs and jobs, changes of
 * workers. */
#include "peridothill/decide/schedule/lease_time.h"
#include "schedule_task.h"

/* Formats a task's name; the caller owns the string. */
static PhStr
format_task(const PhSchedTaskName *task)
{
    PhBuf text = {0};
    PhBuf_AppendFormat(&text, "%.*s.%u.%u.%u", PhStr_ARG(task->job),
                       task->round, task->step, task->index);
    return PhBuf_Take(&text);
}

/* -1 stands for none. */
static int64_t
age_ms(PhTime age)
{
    return age < 0 ? -1 : age / PH_NS_PER_MS;
}

void
PhScheduleLog_Order(PhScheduleTask *t, const PhSchedAction *a)
{
    static const PhEventId events[] = {
        [PH_SCHED_ACTION_START] = PH_EVENT_SCHEDULE_START,
        [PH_SCHED_ACTION_STOP] = PH_EVENT_SCHEDULE_STOP,
        [PH_SCHED_ACTION_PACE] = PH_EVENT_SCHEDULE_PACE,
    };
    static const PhCounter counters[] = {
        [PH_SCHED_ACTION_START] = PH_COUNTER_SCHEDULE_STARTS,
        [PH_SCHED_ACTION_STOP] = PH_COUNTER_SCHEDULE_STOPS,
        [PH_SCHED_ACTION_PACE] = PH_COUNTER_SCHEDULE_PACES,
    };
    if (a->tag == PH_SCHED_ACTION_HOLD) {
        return;
    }
    PhStr task = format_task(&a->as.run.task);
    PhCounters_Add(PhKernel_Counters(PhTask_Kernel(t->self)), counters[a->tag],
                   1);
    PhTask_LOG(t->self, events[a->tag], PhField_STR("run", task),
               PhField_U64("number", a->as.run.run),
               PhField_STR("worker", a->worker),
               PhField_I64("percent", a->as.run.percent),
               PhField_U64("fence", t->fence));
    PhStr_Clear(&task);
}

static void
log_job_over(PhScheduleTask *t, const PhSchedJob *job)
{
    static const PhStr states[] = {{"queued", 6},
                                   {"running", 7},
                                   {"completed", 9},
                                   {"failed", 6},
                                   {"cancelled", 9}};
    PhTime now = PhTask_Now(t->self);
    PhTime first =
        job->first_start_at == 0 ? -1 : job->first_start_at - job->accepted_at;
    PhTask_LOG(t->self, PH_EVENT_SCHEDULE_JOB_OVER,
               PhField_STR("job", job->spec.id),
               PhField_STR("queue", job->spec.terms.queue),
               PhField_STR("state", states[job->state]),
               PhField_I64("age_ms", (now - job->accepted_at) / PH_NS_PER_MS),
               PhField_I64("first_start_ms", first / PH_NS_PER_MS),
               PhField_I64("waited_ms", job->max_wait / PH_NS_PER_MS),
               PhField_I64("ran_ms", job->run_time / PH_NS_PER_MS),
               PhField_I64("chain_ms", PhSchedSpec_CriticalPath(&job->spec) /
                                           PH_NS_PER_MS),
               PhField_U64("steps", job->spec.step_count),
               PhField_U64("starts", job->starts),
               PhField_U64("failures", job->failures),
               PhField_U64("fence", t->fence));
}

static void
log_run_end(PhScheduleTask *t, const PhSchedEvent *note)
{
    static const PhStr kinds[] = {{"done", 4},   {"failed", 6}, {"stopped", 7},
                                  {"lapsed", 6}, {"broken", 6}, {"alone", 5}};
    PhStr task = format_task(&note->as.ended.task);
    PhCounters_Add(PhKernel_Counters(PhTask_Kernel(t->self)),
                   note->as.ended.kind == PH_SCHED_END_FAILED
                       ? PH_COUNTER_SCHEDULE_ENDS_FAILED
                       : PH_COUNTER_SCHEDULE_ENDS,
                   1);
    PhEventId event = note->as.ended.long_running
                          ? PH_EVENT_SCHEDULE_LASTING_ENDED
                          : PH_EVENT_SCHEDULE_ENDED;
    PhTask_LOG(t->self, event, PhField_STR("run", task),
               PhField_U64("number", note->as.ended.run),
               PhField_STR("worker", note->worker->entry.id),
               PhField_STR("how", kinds[note->as.ended.kind]),
               PhField_I64("ran_ms", note->as.ended.run_time / PH_NS_PER_MS),
               PhField_U64("failures", note->as.ended.failures));
    PhStr_Clear(&task);
}

/* Logs why a task that is to last has waited for long. */
static void
log_task_waits(PhScheduleTask *t, const PhSchedEvent *note)
{
    PhStr task = format_task(&note->as.waits.task);
    const PhSchedResources *asked = &note->as.waits.resources;
    const uint32_t *workers = note->as.waits.workers;
    PhTask_LOG(t->self, PH_EVENT_SCHEDULE_LASTING_WAITS,
               PhField_STR("run", task),
               PhField_U64("number", note->as.waits.run),
               PhField_I64("waited_ms", note->as.waits.waited / PH_NS_PER_MS),
               PhField_U64("long_waits", note->as.waits.long_waits),
               PhField_U64("interrupted", note->as.waits.interrupted),
               PhField_U64("failures", note->as.waits.failures),
               PhField_I64("cpu_milli", asked->cpu_milli),
               PhField_I64("mem_mb", asked->mem_mb),
               PhField_U64("fits", workers[PH_FIT_YES]),
               PhField_U64("silent", workers[PH_FIT_SILENT]),
               PhField_U64("leaves", workers[PH_FIT_LEAVES]),
               PhField_U64("cordoned", workers[PH_FIT_CORDONED]),
               PhField_U64("cooldown", workers[PH_FIT_COOLDOWN]),
               PhField_U64("doubted", workers[PH_FIT_DOUBTED]),
               PhField_U64("other_service", workers[PH_FIT_SERVICE]),
               PhField_U64("memory", workers[PH_FIT_MEMORY]),
               PhField_U64("gpu", workers[PH_FIT_GPU]),
               PhField_U64("cpu", workers[PH_FIT_CPU]),
               PhField_U64("blocked", workers[PH_FIT_BLOCKED]),
               PhField_U64("limit", workers[PH_FIT_LIMIT]),
               PhField_U64("claimed", workers[PH_FIT_CLAIMED]),
               PhField_U64("cost", workers[PH_FIT_COST]),
               PhField_U64("beside_lasting", note->as.waits.beside_lasting));
    PhStr_Clear(&task);
}

/* Logs and counts how long a task that is to last was without a run. */
static void
log_run_resumed(PhScheduleTask *t, const PhSchedEvent *note)
{
    PhStr task = format_task(&note->as.resumed.task);
    PhTime gap = note->as.resumed.gap;
    PhCounters_Observe(PhKernel_Counters(PhTask_Kernel(t->self)),
                       PH_HISTOGRAM_SCHEDULE_LASTING_GAP, gap);
    PhTask_LOG(t->self, PH_EVENT_SCHEDULE_LASTING_RESUMED,
               PhField_STR("run", task),
               PhField_U64("number", note->as.resumed.run),
               PhField_STR("worker", note->worker->entry.id),
               PhField_I64("gap_ms", gap / PH_NS_PER_MS));
    PhStr_Clear(&task);
}

/* Logs that tasks begin or cease to wait for order capacity. */
static void
log_overload(PhScheduleTask *t, const PhSchedEvent *note)
{
    PhEventId event = note->as.overload.began
                          ? PH_EVENT_SCHEDULE_OVERLOAD_BEGAN
                          : PH_EVENT_SCHEDULE_OVERLOAD_ENDED;
    PhTask_LOG(t->self, event, PhField_U64("limit", note->as.overload.limit),
               PhField_U64("outstanding", note->as.overload.outstanding),
               PhField_I64("delay_ms", note->as.overload.delay / PH_NS_PER_MS),
               PhField_U64("backlog", note->as.overload.backlog),
               PhField_I64("wait_ms", note->as.overload.wait / PH_NS_PER_MS));
}

static void
log_room(PhScheduleTask *t, const PhSchedEvent *note)
{
    PhTask_LOG(t->self, PH_EVENT_SCHEDULE_ROOM_STATE,
               PhField_STR("service", note->as.room.service),
               PhField_U64("closed", note->as.room.closed),
               PhField_I64("capacity_milli", (int64_t)note->as.room.capacity),
               PhField_I64("lasting_milli", (int64_t)note->as.room.lasting),
               PhField_I64("reserve_milli", (int64_t)note->as.room.reserve));
}

/* Logs that the start of an assigned task must not be sent any more. */
static void
log_start_withdrawn(PhScheduleTask *t, const PhSchedEvent *note)
{
    static const PhStr obstacles[] = {
        [PH_START_ALLOWED] = {"none", 4},
        [PH_START_JOB_ENDED] = {"job ended", 9},
        [PH_START_WORKER_LEAVES] = {"worker leaves", 13},
        [PH_START_WORKER_CORDONED] = {"worker cordoned", 15},
        [PH_START_WORKER_UNSUITABLE] = {"worker unsuitable", 17},
        [PH_START_WORKER_SILENT] = {"worker silent", 13},
        [PH_START_UNANSWERED] = {"no answers", 10},
    };
    PhStr task = format_task(&note->as.withdrawn.task);
    PhTask_LOG(
        t->self, PH_EVENT_SCHEDULE_WITHDRAWN, PhField_STR("run", task),
        PhField_U64("number", note->as.withdrawn.run),
        PhField_STR("worker", note->worker->entry.id),
        PhField_STR("reason", obstacles[note->as.withdrawn.obstacle]),
        PhField_I64("unanswered_ms", age_ms(note->as.withdrawn.unanswered)));
    PhStr_Clear(&task);
}

/* Logs a run that is over without a reported end, with the evidence. */
static void
log_run_released(PhScheduleTask *t, const PhSchedEvent *note)
{
    static const PhStr reasons[] = {
        [PH_SCHED_RELEASE_NOT_SENT] = {"not sent", 8},
        [PH_SCHED_RELEASE_REFUSED] = {"refused", 7},
        [PH_SCHED_RELEASE_MISSING] = {"missing", 7},
        [PH_SCHED_RELEASE_LOST] = {"lost", 4},
        [PH_SCHED_RELEASE_REPLACED] = {"replaced", 8},
    };
    PhStr task = format_task(&note->as.released.task);
    PhTask_LOG(
        t->self, PH_EVENT_SCHEDULE_RELEASED, PhField_STR("run", task),
        PhField_U64("number", note->as.released.run),
        PhField_STR("worker", note->worker->entry.id),
        PhField_STR("reason", reasons[note->as.released.reason]),
        PhField_I64("unanswered_ms", age_ms(note->as.released.unanswered)),
        PhField_I64("lease_ms", note->as.released.lease_left / PH_NS_PER_MS),
        PhField_U64("unbound", note->as.released.start_unbound));
    PhStr_Clear(&task);
}

/* The earlier owner whose leases may expire last, and when. */
static PhStr
last_earlier_owner(const PhScheduleTask *t, PhTime *expiry)
{
    const PhPredecessor *last = PhPredecessors_LastToExpire(
        PhElection_Predecessors(t->election), PH_TIME_NEVER,
        PhLeaseTime_Longest(), expiry);
    if (last == NULL) {
        return PhStr_LITERAL("none");
    }
    return PhStr_IsEmpty(last->holder) ? PhStr_LITERAL("unknown")
                                       : last->holder;
}

/* Logs a takeover with the state of the workers as recorded by earlier
 * owners. */
void
PhScheduleLog_OwnerGained(PhScheduleTask *t)
{
    const GPtrArray *incarnations =
        PhScheduler_Model(t->scheduler)->incarnations;
    uint64_t suspended = 0;
    for (guint i = 0; i < incarnations->len; i++) {
        const PhSchedWorker *w = g_ptr_array_index(incarnations, i);
        suspended += w->suspended;
    }
    PhTime now = PhTask_Now(t->self);
    PhTime last_order =
        PhPredecessors_LastOrder(PhElection_Predecessors(t->election));
    PhTime expiry;
    PhStr last_owner = last_earlier_owner(t, &expiry);
    PhTask_LOG(t->self, PH_EVENT_SCHEDULE_OWNER_GAINED,
               PhField_U64("fence", t->fence),
               PhField_I64("after_ms", (now - t->fence_at) / PH_NS_PER_MS),
               PhField_U64("workers", incarnations->len),
               PhField_U64("suspended", suspended),
               PhField_I64("earlier_ms", (last_order - now) / PH_NS_PER_MS),
               PhField_I64("leases_ms", (expiry - now) / PH_NS_PER_MS),
               PhField_STR("earlier_owner", last_owner));
}

void
PhScheduleLog_Handover(PhScheduleTask *t, PhStr successor, bool recorded)
{
    PhTime after = PhTask_Now(t->self) - t->stop_began_at;
    PhTask_LOG(t->self, PH_EVENT_SCHEDULE_HANDOVER,
               PhField_U64("fence", t->fence),
               PhField_STR("successor", successor),
               PhField_I64("after_ms", after / PH_NS_PER_MS),
               PhField_U64("recorded", recorded));
}

static PhStr
evidence_name(PhLeaseEvidence evidence)
{
    switch (evidence) {
    case PH_LEASE_EVIDENCE_GRANTS:
        return PhStr_LITERAL("grants");
    case PH_LEASE_EVIDENCE_RECORD:
        return PhStr_LITERAL("record");
    case PH_LEASE_EVIDENCE_EARLIER_OWNERS:
        return PhStr_LITERAL("earlier owners");
    case PH_LEASE_EVIDENCE_EARLIER_INCARNATION:
        return PhStr_LITERAL("earlier incarnation");
    case PH_LEASE_EVIDENCE_LEFT:
        break;
    }
    return PhStr_LITERAL("left");
}

/* The earlier owner that leases are waited for, if they are. */
static PhStr
evidence_owner(const PhScheduleTask *t, PhLeaseEvidence evidence)
{
    PhTime expiry;
    return evidence == PH_LEASE_EVIDENCE_EARLIER_OWNERS
               ? last_earlier_owner(t, &expiry)
               : PhStr_LITERAL("none");
}

/* Logs what holds back the task that has been without a run for longest. */
static void
log_task_held(PhScheduleTask *t, const PhSchedEvent *note)
{
    static const PhStr names[] = {
        [PH_TASK_HOLD_NONE] = {"nothing", 7},
        [PH_TASK_HOLD_WORKER] = {"worker", 6},
        [PH_TASK_HOLD_RECORD] = {"record", 6},
        [PH_TASK_HOLD_START] = {"start", 5},
        [PH_TASK_HOLD_STOP] = {"stop", 4},
        [PH_TASK_HOLD_LEASE] = {"lease", 5},
        [PH_TASK_HOLD_REPORT] = {"report", 6},
    };
    PhStr task = format_task(&note->as.held.task);
    const uint32_t *holds = note->as.held.holds;
    const uint32_t *workers = note->as.held.workers;
    bool leased = note->as.held.hold == PH_TASK_HOLD_LEASE;
    PhOrderLoad load = PhScheduler_OrderLoad(t->scheduler);
    PhTime left = note->as.held.lease.until - PhTask_Now(t->self);
    PhTask_LOG(
        t->self, PH_EVENT_SCHEDULE_TASK_HELD, PhField_STR("run", task),
        PhField_U64("number", note->as.held.run),
        PhField_U64("lasting", note->as.held.long_running),
        PhField_I64("held_ms", note->as.held.held / PH_NS_PER_MS),
        PhField_STR("by", names[note->as.held.hold]),
        PhField_STR("holder", note->worker != NULL ? note->worker->entry.id
                                                   : PhStr_LITERAL("none")),
        PhField_U64("fits", workers[PH_FIT_YES]),
        PhField_U64("silent", workers[PH_FIT_SILENT]),
        PhField_U64("cooldown", workers[PH_FIT_COOLDOWN]),
        PhField_U64("doubted", workers[PH_FIT_DOUBTED]),
        PhField_U64("step_limit", workers[PH_FIT_LIMIT]),
        PhField_U64("claimed", workers[PH_FIT_CLAIMED]),
        PhField_U64("order_room", note->as.held.order_room),
        PhField_I64("lease_ms", leased ? left / PH_NS_PER_MS : -1),
        PhField_STR("evidence",
                    leased ? evidence_name(note->as.held.lease.evidence)
                           : PhStr_LITERAL("none")),
        PhField_STR("owner",
                    leased ? evidence_owner(t, note->as.held.lease.evidence)
                           : PhStr_LITERAL("none")),
        PhField_U64("limit", load.limit),
        PhField_U64("outstanding", load.outstanding),
        PhField_U64("workers", holds[PH_TASK_HOLD_WORKER]),
        PhField_U64("records", holds[PH_TASK_HOLD_RECORD]),
        PhField_U64("starts", holds[PH_TASK_HOLD_START]),
        PhField_U64("stops", holds[PH_TASK_HOLD_STOP]),
        PhField_U64("leases", holds[PH_TASK_HOLD_LEASE]),
        PhField_U64("reports", holds[PH_TASK_HOLD_REPORT]));
    PhStr_Clear(&task);
}

/* Counts the claim of a worker; logs it unless there was one just before. */
static void
log_claim(PhScheduleTask *t, const PhSchedEvent *note)
{
    PhCounters_Add(PhKernel_Counters(PhTask_Kernel(t->self)),
                   PH_COUNTER_SCHEDULE_CLAIMS, 1);
    if (!note->as.claim.logged) {
        return;
    }
    PhStr task = format_task(&note->as.claim.task);
    PhTask_LOG(t->self, PH_EVENT_SCHEDULE_CLAIM, PhField_STR("run", task),
               PhField_U64("number", note->as.claim.run),
               PhField_STR("worker", note->worker->entry.id),
               PhField_I64("waited_ms", note->as.claim.waited / PH_NS_PER_MS),
               PhField_I64("due_ms", note->as.claim.due_in / PH_NS_PER_MS),
               PhField_U64("claims", note->as.claim.claims),
               PhField_U64("made", note->as.claim.made));
    PhStr_Clear(&task);
}

/* Time since a moment, -1 if there was none. */
static int64_t
since_ms(const PhScheduleTask *t, PhTime at)
{
    return at == 0 ? -1 : (PhTask_Now(t->self) - at) / PH_NS_PER_MS;
}

static void
log_worker_suspended(PhScheduleTask *t, const PhSchedEvent *note)
{
    const PhSchedWorker *w = note->worker;
    PhTime left = note->as.suspended.lease_left;
    PhTask_LOG(
        t->self, PH_EVENT_SCHEDULE_WORKER_SUSPENDED,
        PhField_STR("worker", w->entry.id),
        PhField_U64("tasks", w->tasks->len),
        PhField_I64("lease_ms", left / PH_NS_PER_MS),
        PhField_STR("evidence", evidence_name(note->as.suspended.evidence)),
        PhField_STR("owner", evidence_owner(t, note->as.suspended.evidence)),
        PhField_I64("heard_ms", since_ms(t, w->heard_at)),
        PhField_U64("holds", w->unanswered_holds),
        PhField_I64("granted_ms", since_ms(t, w->granted_at)),
        PhField_I64("renewed_ms", since_ms(t, w->renewed_at)));
}

static void
log_bound_moved(PhScheduleTask *t, const PhSchedEvent *note)
{
    const PhSchedWorker *w = note->worker;
    PhLeaseEvidence evidence = note->as.bound_moved.evidence;
    PhTask_LOG(
        t->self, PH_EVENT_SCHEDULE_BOUND_MOVED,
        PhField_STR("worker", w->entry.id),
        PhField_U64("tasks", w->tasks->len),
        PhField_I64("lease_ms",
                    note->as.bound_moved.lease_left / PH_NS_PER_MS),
        PhField_I64("moved_ms", note->as.bound_moved.moved / PH_NS_PER_MS),
        PhField_STR("evidence", evidence_name(evidence)),
        PhField_STR("owner", evidence_owner(t, evidence)));
}

/* Logs a worker whose leases have expired, with the evidence for it. */
static void
log_worker_lost(PhScheduleTask *t, const PhSchedEvent *note)
{
    const PhSchedWorker *w = note->worker;
    PhCounters_Add(PhKernel_Counters(PhTask_Kernel(t->self)),
                   PH_COUNTER_SCHEDULE_WORKERS_LOST, 1);
    PhTask_LOG(t->self, PH_EVENT_SCHEDULE_WORKER_LOST,
               PhField_STR("worker", w->entry.id),
               PhField_I64("born_ms", w->entry.born_ms),
               PhField_U64("runs", note->as.lost.runs),
               PhField_I64("suspended_ms", age_ms(note->as.lost.suspended)),
               PhField_U64("answered", w->fenced),
               PhField_U64("listed", w->listed),
               PhField_STR("evidence", evidence_name(note->as.lost.evidence)),
               PhField_I64("heard_ms", since_ms(t, w->heard_at)),
               PhField_U64("holds", w->unanswered_holds),
               PhField_I64("granted_ms", since_ms(t, w->granted_at)),
               PhField_I64("renewed_ms", since_ms(t, w->renewed_at)));
}

void
PhScheduleLog_Notes(PhScheduleTask *t)
{
    size_t count;
    const PhSchedEvent *notes = PhScheduler_Events(t->scheduler, &count);
    for (size_t i = 0; i < count; i++) {
        const PhSchedWorker *w = notes[i].worker;
        switch (notes[i].tag) {
        case PH_SCHED_EVENT_RUN_ENDED:
            log_run_end(t, &notes[i]);
            break;
        case PH_SCHED_EVENT_JOB_ENDED:
            log_job_over(t, notes[i].as.over);
            break;
        case PH_SCHED_EVENT_WORKER_SUSPENDED:
            log_worker_suspended(t, &notes[i]);
            break;
        case PH_SCHED_EVENT_WORKER_RESUMED:
            PhTask_LOG(t->self, PH_EVENT_SCHEDULE_WORKER_RESUMED,
                       PhField_STR("worker", w->entry.id),
                       PhField_U64("tasks", w->tasks->len));
            break;
        case PH_SCHED_EVENT_BOUND_MOVED:
            log_bound_moved(t, &notes[i]);
            break;
        case PH_SCHED_EVENT_WORKER_LOST:
            log_worker_lost(t, &notes[i]);
            break;
        case PH_SCHED_EVENT_WORKER_REMOVED:
            PhTask_LOG(t->self, PH_EVENT_SCHEDULE_WORKER_FORGOTTEN,
                       PhField_STR("worker", w->entry.id),
                       PhField_I64("born_ms", w->entry.born_ms),
                       PhField_U64("suspended", w->suspended),
                       PhField_U64("unrecorded", w->dirty));
            break;
        case PH_SCHED_EVENT_RUN_RELEASED:
            log_run_released(t, &notes[i]);
            break;
        case PH_SCHED_EVENT_START_WITHDRAWN:
            log_start_withdrawn(t, &notes[i]);
            break;
        case PH_SCHED_EVENT_TASK_WAITS:
            log_task_waits(t, &notes[i]);
            break;
        case PH_SCHED_EVENT_RUN_RESUMED:
            log_run_resumed(t, &notes[i]);
            break;
        case PH_SCHED_EVENT_OVERLOAD:
            log_overload(t, &notes[i]);
            break;
        case PH_SCHED_EVENT_ROOM:
            log_room(t, &notes[i]);
            break;
        case PH_SCHED_EVENT_TASK_HELD:
            log_task_held(t, &notes[i]);
            break;
        case PH_SCHED_EVENT_CLAIM:
            log_claim(t, &notes[i]);
            break;
        }
    }
    PhScheduler_ClearEvents(t->scheduler);
}

void
PhScheduleLog_OrderFailed(PhScheduleTask *t, const PhOrderReply *r)
{
    static const PhStr outcomes[] = {
        {"done", 4},      {"fenced", 6},  {"old", 3},         {"late", 4},
        {"no room", 7},   {"refused", 7}, {"other life", 10}, {"not sent", 8},
        {"no answer", 9}, {"unbound", 7}};
    PhStr task = format_task(&r->task);
    PhCounters_Add(PhKernel_Counters(PhTask_Kernel(t->self)),
                   PH_COUNTER_SCHEDULE_ORDERS_FAILED, 1);
    PhTask_LOG(t->self, PH_EVENT_SCHEDULE_ORDER_FAILED,
               PhField_STR("run", task), PhField_U64("number", r->run),
               PhField_STR("worker", r->worker),
               PhField_STR("outcome", outcomes[r->outcome]));
    PhStr_Clear(&task);
}
