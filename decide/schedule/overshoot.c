/* Serving tasks that are over their target all the same: since when, and what
 * is done about it at once. */
#include "interference.h"

/* Pairs that disturb have a factor above this. */
static const double FACTOR_DISTURBS = 0.5;
/* A task that is over its target for this long stops what is known to disturb
 * it, and for this long, everything that fills: the platform allows 4 s, and
 * a queue needs a second or two to drain. */
static const PhTime STOP_DISTURBING_AFTER = 1200 * PH_NS_PER_MS;
static const PhTime STOP_ALL_AFTER = 1900 * PH_NS_PER_MS;
/* Nothing more is placed there until this long after. */
static const PhTime BACKFILL_BLOCK_TIME = 1000 * PH_NS_PER_MS;
/* Share of a pace that is left when a tail is over its target. */
static const double OVERSHOOT_PACE_FACTOR = 0.5;
/* Figures are rough and span half a second: a tail is within its target again
 * when they say so for longer. */
static const PhTime RECOVERED_AFTER = 600 * PH_NS_PER_MS;
enum {
    PERCENT = 100,
};

/* Notes from a look since when a serving task is over its target. */
void
PhSchedTask_TrackTailLatency(PhSchedTask *task, PhTime now)
{
    PhTime target = PhSchedTask_Step(task)->tail_target;
    if (target > 0 && task->figure_at == now &&
        task->figure * PH_NS_PER_MS > target) {
        task->over_target_since =
            task->over_target_since == 0 ? now : task->over_target_since;
        task->within_target_since = 0;
        return;
    }
    if (task->within_target_since == 0) {
        task->within_target_since = now;
    }
    if (now - task->within_target_since >= RECOVERED_AFTER) {
        task->over_target_since = 0;
    }
}

/* Slows the filling images at once when a serving task is over its target:
 * those that disturb it stop if it stays there, and then all. */
void
PhInterference_ThrottleFor(const PhInterference *x, PhSchedWorker *w,
                           const PhSchedTask *task, PhTime now, double *paces)
{
    uint32_t serving = PhSchedTask_Step(task)->image_number;
    if (task->over_target_since == 0) {
        return;
    }
    bool stays = now - task->over_target_since >= STOP_DISTURBING_AFTER;
    bool all = now - task->over_target_since >= STOP_ALL_AFTER;
    if (stays) {
        w->fill_barred_until = now + BACKFILL_BLOCK_TIME;
    }
    for (guint i = 0; i < w->fill_use->len; i++) {
        const PhSchedFillUse *u =
            &g_array_index(w->fill_use, PhSchedFillUse, i);
        bool disturbs =
            PhInterference_Factor(x, u->image, serving) >= FACTOR_DISTURBS;
        if (all || (stays && disturbs)) {
            paces[i] = 0;
        }
        else if (disturbs) {
            paces[i] = MIN(paces[i], OVERSHOOT_PACE_FACTOR *
                                         (double)u->percent / PERCENT);
        }
    }
}
