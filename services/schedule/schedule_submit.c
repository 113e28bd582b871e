/* Submissions that this instance decides on: which are accepted, which are
 * refused and why, and which wait for an owner. */
#include "schedule_task.h"

/* Submissions beyond the limit of tasks are logged at most once in this time.
 */
static const PhTime LOG_INTERVAL = 1 * PH_NS_PER_S;

/* Clients that are refused for the number of tasks may be many. */
static void
log_tasks(PhScheduleTask *t, const PhClientCall *call, uint64_t active)
{
    PhTime now = PhTask_Now(t->self);
    if (t->tasks_logged_at != 0 && now - t->tasks_logged_at < LOG_INTERVAL) {
        return;
    }
    t->tasks_logged_at = now;
    PhTask_LOG(t->self, PH_EVENT_RECEIVE_ACTIVE_TASKS,
               PhField_STR("job", call->subject),
               PhField_U64("tasks", PhSchedSpec_TaskCount(&call->spec)),
               PhField_U64("active", active),
               PhField_U64("limit", t->options.active_tasks));
}

/* Logs and counts why a submission is refused. */
static void
log_refused(PhScheduleTask *t, const PhClientCall *call, const PhAdmission *a)
{
    PhStr job = call->subject;
    PhCounters *counters = PhKernel_Counters(PhTask_Kernel(t->self));
    PhOrderLoad load = PhScheduler_OrderLoad(t->scheduler);
    int64_t retry_ms = a->retry_after / PH_NS_PER_MS;
    switch (a->tag) {
    case PH_ADMISSION_ACCEPTED:
        break;
    case PH_ADMISSION_ORDERS:
        PhCounters_Add(counters, PH_COUNTER_SCHEDULE_SHED, 1);
        PhTask_LOG(t->self, PH_EVENT_SCHEDULE_SHED, PhField_STR("job", job),
                   PhField_I64("retry_after_ms", retry_ms),
                   PhField_U64("backlog", load.backlog),
                   PhField_U64("limit", load.limit),
                   PhField_I64("delay_ms", load.delay / PH_NS_PER_MS));
        break;
    case PH_ADMISSION_ROOM:
        PhCounters_Add(counters, PH_COUNTER_SCHEDULE_NO_ROOM, 1);
        PhTask_LOG(t->self, PH_EVENT_SCHEDULE_NO_ROOM, PhField_STR("job", job),
                   PhField_I64("retry_after_ms", retry_ms),
                   PhField_I64("capacity_milli", (int64_t)a->as.room.capacity),
                   PhField_I64("lasting_milli", (int64_t)a->as.room.lasting),
                   PhField_I64("reserve_milli", (int64_t)a->as.room.reserve),
                   PhField_I64("need_milli", (int64_t)a->as.room.need));
        break;
    case PH_ADMISSION_TOO_LATE:
        PhCounters_Add(counters, PH_COUNTER_SCHEDULE_TOO_LATE, 1);
        PhTask_LOG(t->self, PH_EVENT_SCHEDULE_TOO_LATE,
                   PhField_STR("job", job),
                   PhField_I64("retry_after_ms", retry_ms),
                   PhField_I64("wait_ms", a->as.late.wait / PH_NS_PER_MS),
                   PhField_I64("rest_ms", a->as.late.rest / PH_NS_PER_MS),
                   PhField_I64("limit_ms", a->as.late.limit / PH_NS_PER_MS));
        break;
    case PH_ADMISSION_TASKS:
        PhCounters_Add(counters, PH_COUNTER_RECEIVE_ACTIVE_TASKS, 1);
        log_tasks(t, call, a->as.active_tasks);
        break;
    }
}

static void
refuse_admission(PhScheduleTask *t, PhClientCall *call, const PhAdmission *a)
{
    log_refused(t, call, a);
    PhScheduleCalls_Answer(
        t, &call->origin,
        (PhScheduleAnswer){.tag = PH_SCHEDULE_OVERLOADED,
                           .as.retry_after = a->retry_after});
}

/* What an instance without contact to the owner does with a submission. */
typedef enum PhLastingVerdict {
    PH_LASTING_DECIDE, /* as with any other */
    PH_LASTING_WAIT,   /* for an owner, which knows what it has accepted */
    PH_LASTING_REFUSE,
} PhLastingVerdict;

/* Long-running jobs that the newest welcome refused are not accepted here
 * without need.  Only with jobs read recently is it known that the owner has
 * not accepted this one. */
static PhLastingVerdict
lasting_judge(const PhScheduleTask *t, const PhClientCall *call)
{
    PhTime now = PhTask_Now(t->self);
    if (t->options.room_reserve == 0 || t->stage == OWNER_ACTIVE ||
        PhOwnerLink_IsUp(&t->link, now) ||
        PhSchedSpec_LastingNeed(&call->spec) == 0 ||
        !PhOwnerLink_IsLastingClosed(&t->link, now)) {
        return PH_LASTING_DECIDE;
    }
    if (PhScheduleTopics_AreJobsFresh(t)) {
        return PH_LASTING_REFUSE;
    }
    return call->waited ? PH_LASTING_DECIDE : PH_LASTING_WAIT;
}

/* An instance that is not the owner refuses for the number of tasks only, and
 * only with jobs read recently. */
static PhAdmission
submission_admit(PhScheduleTask *t, const PhClientCall *call)
{
    PhScheduler_SetPendingTasks(t->scheduler, PhScheduleAccept_Tasks(t));
    if (t->stage != OWNER_ACTIVE && PhScheduleTopics_AreJobsFresh(t)) {
        return PhScheduler_AdmitTasks(t->scheduler, &call->spec);
    }
    return PhScheduler_Admit(t->scheduler, &call->spec, PhTask_Now(t->self));
}

/* Refuses a submission, or has it wait for an owner; returns false if it is to
 * be accepted. */
static bool
submission_defer(PhScheduleTask *t, PhClientCall *call)
{
    if (PhScheduleCalls_RefuseToWait(t, call)) {
        return true;
    }
    switch (lasting_judge(t, call)) {
    case PH_LASTING_WAIT:
        PhScheduleWaiting_Add(t, call);
        return true;
    case PH_LASTING_REFUSE:
        PhScheduleCalls_Refuse(
            t, &call->origin, call->subject,
            "owner refuses long-running jobs and is not reachable");
        return true;
    case PH_LASTING_DECIDE:
        break;
    }
    PhAdmission admission = submission_admit(t, call);
    if (admission.tag == PH_ADMISSION_ACCEPTED) {
        return false;
    }
    refuse_admission(t, call, &admission);
    return true;
}

/* A submission that is known, or may have been accepted before, is never
 * refused. */
void
PhScheduleSubmit_Handle(PhScheduleTask *t, PhClientCall *call)
{
    const PhSchedModel *model = PhScheduler_Model(t->scheduler);
    if (PhSchedModel_Job(model, call->subject) != NULL) {
        PhScheduleCalls_AnswerTag(t, &call->origin, PH_SCHEDULE_ACCEPTED);
        return;
    }
    if (!call->outcome_unknown &&
        !PhScheduleAccept_IsPending(t, call->subject) &&
        !PhScheduleAccept_MayRun(t, call) && submission_defer(t, call)) {
        return;
    }
    PhScheduleAccept_Add(t, call);
}
