/* Submissions that wait for an owner: long-running jobs that the last owner
 * refused for want of room.  This instance cannot tell whether that owner has
 * accepted the same job before, so that it must not refuse it; and a takeover
 * would let in what cannot be taken back. */
#include "schedule_task.h"

/* A takeover ends within about 2 s, most of which have passed when the link
 * counts as down. */
static const PhTime WAIT_MAX = 1500 * PH_NS_PER_MS;
/* Left before the call's deadline for an append of its own. */
static const PhTime APPEND_MARGIN = 700 * PH_NS_PER_MS;

typedef struct PhWaitingCall {
    PhClientCall call;
    PhTime until; /* accepted here from then on */
} PhWaitingCall;

void
PhScheduleWaiting_Destroy(gpointer value)
{
    PhWaitingCall *w = value;
    PhClientCall_Clear(&w->call);
    g_free(w);
}

void
PhScheduleWaiting_Add(PhScheduleTask *t, PhClientCall *call)
{
    PhTime now = PhTask_Now(t->self);
    PhWaitingCall *w = g_new0(PhWaitingCall, 1);
    w->call = *call;
    w->call.waited = true;
    w->until = MIN(now + WAIT_MAX, call->deadline - APPEND_MARGIN);
    *call = (PhClientCall){0};
    g_queue_push_tail(&t->waiting_calls, w);
    PhTask_SetTimer(t->self, TIMER_WAITING, MAX(w->until, now));
}

/* Reports whether a call need not wait any more. */
static bool
is_decidable(const PhScheduleTask *t, const PhWaitingCall *w, PhTime now)
{
    return t->stage == OWNER_ACTIVE || PhOwnerLink_IsUp(&t->link, now) ||
           now >= w->until;
}

void
PhScheduleWaiting_Update(PhScheduleTask *t)
{
    PhTime now = PhTask_Now(t->self);
    PhTime due = PH_TIME_NEVER;
    for (guint left = t->waiting_calls.length; left > 0; left--) {
        PhWaitingCall *w = g_queue_pop_head(&t->waiting_calls);
        if (!is_decidable(t, w, now)) {
            due = MIN(due, w->until);
            g_queue_push_tail(&t->waiting_calls, w);
            continue;
        }
        if (!PhScheduleLink_Forward(t, &w->call)) {
            PhScheduleCalls_HandleLocally(t, &w->call);
        }
        PhScheduleWaiting_Destroy(w);
    }
    if (due != PH_TIME_NEVER) {
        PhTask_SetTimer(t->self, TIMER_WAITING, due);
    }
}
