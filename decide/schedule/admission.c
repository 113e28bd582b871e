/* Admission of submissions (load shedding): what could not be started in time,
 * or would take the room of what is worth more to callers, is refused at once,
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

/* Whether a job would wait too long for order capacity. */
static PhAdmission
admit_by_orders(const PhScheduler *s, PhTime now)
{
    PhTime wait = PhOrderWindow_WaitFor(&s->window, s->backlog, now);
    if (wait > WAIT_MAX) {
        return (PhAdmission){.tag = PH_ADMISSION_ORDERS,
                             .retry_after =
                                 MAX(wait - WAIT_MAX, RETRY_AFTER_MIN)};
    }
    return (PhAdmission){.tag = PH_ADMISSION_ACCEPTED};
}

static PhAdmission
refuse_lasting(const PhScheduler *s, const PhRoom *room,
               const PhSchedSpec *spec, double need)
{
    PhAdmission a = {.tag = PH_ADMISSION_ROOM};
    a.retry_after = PhRoom_RetryAfter(0, (uint32_t)PhStr_Hash(spec->id, 0));
    a.as.room.need = need;
    if (room != NULL) {
        a.as.room.capacity = room->sample.capacity;
        a.as.room.lasting = room->sample.lasting;
        a.as.room.reserve =
            PhRoom_Reserve(room, s->options.room_reserve_percent);
    }
    return a;
}

/* Whether a long-running job leaves the room that urgent jobs need.  Without
 * an estimate only what the previous owner reported counts. */
static PhAdmission
admit_lasting(PhScheduler *s, const PhSchedSpec *spec, PhTime now)
{
    PhAdmission accepted = {.tag = PH_ADMISSION_ACCEPTED};
    double need = PhSchedSpec_LastingNeed(spec);
    PhRoom *room = PhScheduler_Room(s, spec->terms.service);
    if (need == 0) {
        return accepted;
    }
    if (room == NULL) {
        return now < s->closed_until ? refuse_lasting(s, room, spec, need)
                                     : accepted;
    }
    bool below =
        room->closed && PhScheduler_IsBelowShare(s, room, &spec->terms, need);
    if (!PhRoom_AdmitLasting(room, need, below,
                             s->options.room_reserve_percent)) {
        return refuse_lasting(s, room, spec, need);
    }
    PhScheduler_NoteAdmitted(s, spec, now);
    return accepted;
}

/* Whether a job would end while it is of value.  Backfill tasks wait for other
 * room than declared CPU, of which there is no estimate. */
static PhAdmission
admit_in_time(PhScheduler *s, const PhRoom *room, const PhSchedSpec *spec,
              PhTime now)
{
    PhAdmission a = {.tag = PH_ADMISSION_ACCEPTED};
    if (spec->repetitions > 0 || spec->steps[0].fills) {
        return a;
    }
    PhTime wait = PhRoom_WaitFor(room, PhScheduler_WorkBefore(s, spec, now));
    PhTime rest = PhSchedSpec_CriticalPath(spec);
    PhTime limit = PhSchedSpec_ValueLimit(spec);
    PhTime late = PhRoom_LateBy(room, wait, rest, limit);
    if (late == 0) {
        PhScheduler_NoteExpectedWait(s, spec->id, wait);
        return a;
    }
    a.tag = PH_ADMISSION_TOO_LATE;
    a.retry_after = PhRoom_RetryAfter(late, (uint32_t)PhStr_Hash(spec->id, 0));
    a.as.late.wait = wait;
    a.as.late.rest = rest;
    a.as.late.limit = limit;
    return a;
}

PhAdmission
PhScheduler_Admit(PhScheduler *s, const PhSchedSpec *spec, PhTime now)
{
    PhAdmission accepted = {.tag = PH_ADMISSION_ACCEPTED};
    if (s->fence == 0) {
        return accepted;
    }
    PhAdmission tasks = PhScheduler_AdmitTasks(s, spec);
    if (tasks.tag != PH_ADMISSION_ACCEPTED) {
        return tasks;
    }
    if (is_lasting(spec)) {
        return admit_lasting(s, spec, now);
    }
    const PhRoom *room = PhScheduler_Room(s, spec->terms.service);
    PhAdmission a = admit_by_orders(s, now);
    if (a.tag == PH_ADMISSION_ACCEPTED && room != NULL) {
        a = admit_in_time(s, room, spec, now);
    }
    /* Counted until the next placement finds what of it waits. */
    if (a.tag == PH_ADMISSION_ACCEPTED &&
        PhOrderWindow_IsOverloaded(&s->window, now)) {
        s->backlog += task_count(spec);
    }
    return a;
}

bool
PhScheduler_IsLastingClosed(const PhScheduler *s, PhTime now)
{
    guint closed = 0;
    guint known = 0;
    for (guint i = 0; i < s->rooms->len; i++) {
        const PhRoom *room = &g_array_index(s->rooms, PhServiceRoom, i).room;
        known += room->sampled_at != 0;
        closed += room->sampled_at != 0 && room->closed;
    }
    return now < s->closed_until || (known > 0 && closed == known);
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
