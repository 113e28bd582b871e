/* The immediate reaction to serving tasks that exceed their target in spite of
 * the planned paces. */
#include "interference.h"

/* Images with at least this factor disturb a serving image. */
static const double FACTOR_DISTURBS = 0.5;
/* Time over the target after which disturbing images are stopped, and after
 * which all backfill tasks are: the platform allows 4 s, and a queue needs a
 * second or two to drain. */
static const PhTime STOP_DISTURBING_AFTER = 1200 * PH_NS_PER_MS;
static const PhTime STOP_ALL_AFTER = 1900 * PH_NS_PER_MS;
/* No backfill task is placed on the worker for this long afterwards. */
static const PhTime BACKFILL_BLOCK_TIME = 1000 * PH_NS_PER_MS;
/* Disturbing images are slowed to this share of their pace at once. */
static const double OVERSHOOT_PACE_FACTOR = 0.5;
/* Samples are rough and cover half a second, so a tail latency counts as
 * within its target again only after it has been so for longer. */
static const PhTime RECOVERED_AFTER = 600 * PH_NS_PER_MS;
enum {
    PERCENT = 100,
};

void
PhSchedTask_TrackTailLatency(PhSchedTask *task, PhTime now)
{
    PhTime target = PhSchedTask_Step(task)->tail_latency_target;
    if (target > 0 && task->usage_sampled_at == now &&
        task->usage_sample * PH_NS_PER_MS > target) {
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
        w->backfill_blocked_until = now + BACKFILL_BLOCK_TIME;
    }
    for (guint i = 0; i < w->backfill_use->len; i++) {
        const PhSchedBackfillUse *u =
            &g_array_index(w->backfill_use, PhSchedBackfillUse, i);
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
