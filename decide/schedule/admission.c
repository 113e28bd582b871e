/* Admission of submissions while the owner has more to order than it can
 * send (load shedding): what could not be started in time is refused at once,
 * and what was accepted is carried through. */
#include "scheduler_private.h"

/* Longest expected wait for order capacity of a job that is accepted. */
static const PhTime WAIT_MAX = 3 * PH_NS_PER_S;
static const PhTime RETRY_AFTER_MIN = 1 * PH_NS_PER_S;

static bool
is_lasting(const PhSchedSpec *spec)
{
    for (uint32_t i = 0; i < spec->step_count; i++) {
        if (spec->steps[i].long_running) {
            return true;
        }
    }
    return false;
}

static uint32_t
task_count(const PhSchedSpec *spec)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < spec->step_count; i++) {
        count += spec->steps[i].count;
    }
    return count;
}

PhAdmission
PhScheduler_Admit(PhScheduler *s, const PhSchedSpec *spec, PhTime now)
{
    PhAdmission tasks = PhScheduler_AdmitTasks(s, spec);
    if (!tasks.accepted) {
        return tasks;
    }
    if (s->fence == 0 || is_lasting(spec)) {
        return (PhAdmission){.accepted = true};
    }
    PhTime wait = PhOrderWindow_WaitFor(&s->window, s->backlog, now);
    if (wait > WAIT_MAX) {
        return (PhAdmission){.retry_after =
                                 MAX(wait - WAIT_MAX, RETRY_AFTER_MIN)};
    }
    /* Counted until the next placement finds what of it waits. */
    if (PhOrderWindow_IsOverloaded(&s->window, now)) {
        s->backlog += task_count(spec);
    }
    return (PhAdmission){.accepted = true};
}

void
PhScheduler_SetRelays(PhScheduler *s, bool usable)
{
    PhOrderWindow_SetRelayed(&s->window, usable);
}

bool
PhScheduler_IsPressed(const PhScheduler *s, PhTime now)
{
    return PhOrderWindow_IsPressed(&s->window, now);
}

PhOrderLoad
PhScheduler_OrderLoad(const PhScheduler *s)
{
    return (PhOrderLoad){.limit = (uint32_t)s->window.limit,
                         .outstanding = s->window.outstanding,
                         .backlog = s->backlog,
                         .delay = s->window.delay};
}

/* Counts the tasks without a run of all jobs that come to an end, also of
 * steps whose turn has not come: each needs a start. */
static uint32_t
backlog_count(const PhScheduler *s)
{
    uint32_t count = 0;
    for (guint i = 0; i < s->model->active->len; i++) {
        const PhSchedJob *job = g_ptr_array_index(s->model->active, i);
        for (uint32_t k = 0; k < job->round_count && !is_lasting(&job->spec);
             k++) {
            for (uint32_t j = 0; j < job->spec.step_count; j++) {
                count += job->rounds[k].stages[j].waiting;
            }
        }
    }
    return count;
}

void
PhScheduler_UpdateOverload(PhScheduler *s, PhTime now)
{
    bool overloaded = PhOrderWindow_IsOverloaded(&s->window, now);
    s->backlog = overloaded ? backlog_count(s) : 0;
    if (overloaded == s->overloaded) {
        return;
    }
    s->overloaded = overloaded;
    PhSchedEvent event = {.tag = PH_SCHED_EVENT_OVERLOAD,
                          .as.overload = {.began = overloaded,
                                          .limit = (uint32_t)s->window.limit,
                                          .outstanding = s->window.outstanding,
                                          .delay = s->window.delay,
                                          .backlog = s->backlog,
                                          .wait = PhOrderWindow_WaitFor(
                                              &s->window, s->backlog, now)}};
    g_array_append_val(s->events, event);
}
