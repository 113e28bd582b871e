/* Admission by room.  Load it answers: long-running jobs that arrive faster
 * than they end, beside urgent jobs that come in waves.  A long-running task
 * takes its CPU without an end, so that each one accepted beyond the room that
 * urgent jobs need at their peaks delays all of those from then on. */
#include "peridothill/decide/schedule/room.h"

#include <glib.h>
#include <math.h>

/* Time constant in which the demand of urgent jobs is forgotten: a wave of
 * traffic lasts for some 13 s. */
static const double DEMAND_SPAN_S = 15;
/* Share of the capacity that cannot be used, since tasks do not fit into what
 * is left on single workers. */
static const double FRAGMENTED_SHARE = 0.02;
/* Once closed, the room opens with this share of the capacity more. */
static const double REOPEN_SHARE = 0.01;
/* Weight of a new need in the mean one, and the share of the capacity that
 * counts at most: one very large job must not close the room. */
static const double NEED_WEIGHT = 0.2;
static const double NEED_SHARE_MAX = 0.02;
/* Weight and bounds of a new ratio of waits.  Estimates of clients are off by
 * up to a factor of two either way. */
static const double RATIO_WEIGHT = 0.1;
static const double RATIO_MIN = 0.25;
static const double RATIO_MAX = 2;
/* Shorter expected waits are not used for the ratio. */
static const PhTime LEARNED_WAIT_MIN = 200 * PH_NS_PER_MS;
static const PhTime RETRY_AFTER_MIN = 1 * PH_NS_PER_S;
static const PhTime RETRY_AFTER_MAX = 10 * PH_NS_PER_S;
enum {
    PERCENT = 100,
    SPREAD_STEPS = 2, /* Retry-After has whole seconds */
};

/* Without a usable sample nothing is refused. */
void
PhRoom_Reset(PhRoom *room)
{
    room->sampled_at = 0;
    room->closed = false;
}

void
PhRoom_Init(PhRoom *room)
{
    *room = (PhRoom){.wait_ratio = 1};
}

double
PhRoom_Reserve(const PhRoom *room, uint64_t reserve_percent)
{
    double most =
        room->sample.capacity * (double)reserve_percent / (double)PERCENT;
    return MIN(room->demand, most) + FRAGMENTED_SHARE * room->sample.capacity;
}

/* Room that is left beyond the reserve. */
static double
spare(const PhRoom *room, uint64_t reserve_percent)
{
    return room->sample.capacity - room->sample.lasting -
           PhRoom_Reserve(room, reserve_percent);
}

/* The state depends on the mean job, not on the one that comes: otherwise
 * large jobs would be refused more often than small ones. */
static void
state_update(PhRoom *room, uint64_t reserve_percent)
{
    double left = spare(room, reserve_percent) - room->mean_need;
    if (left < 0) {
        room->closed = true;
    }
    else if (left >= REOPEN_SHARE * room->sample.capacity) {
        room->closed = false;
    }
}

void
PhRoom_Sample(PhRoom *room, const PhRoomSample *sample,
              uint64_t reserve_percent, PhTime now)
{
    double age = (double)(now - room->sampled_at) / (double)PH_NS_PER_S;
    double kept =
        room->sampled_at == 0 ? 0 : room->demand * exp(-age / DEMAND_SPAN_S);
    room->sample = *sample;
    room->sampled_at = now;
    room->demand = MAX(sample->urgent, kept);
    state_update(room, reserve_percent);
}

/* Only accepted jobs count, so that one that is repeated counts once. */
static void
need_learn(PhRoom *room, double need)
{
    double sample = MIN(need, NEED_SHARE_MAX * room->sample.capacity);
    room->mean_need =
        room->mean_need == 0
            ? sample
            : room->mean_need + NEED_WEIGHT * (sample - room->mean_need);
}

bool
PhRoom_AdmitLasting(PhRoom *room, double need, bool below_share,
                    uint64_t reserve_percent)
{
    bool fits = need <= room->sample.capacity - room->sample.lasting;
    if (!fits || (room->closed && !below_share)) {
        return false;
    }
    need_learn(room, need);
    room->sample.lasting += need;
    state_update(room, reserve_percent);
    return true;
}

/* What long-running tasks leave serves the jobs that end. */
PhTime
PhRoom_WaitFor(const PhRoom *room, double work)
{
    double left = MAX(room->sample.capacity - room->sample.lasting,
                      FRAGMENTED_SHARE * room->sample.capacity);
    return work <= 0 || left <= 0 ? 0 : (PhTime)(work / left);
}

PhTime
PhRoom_LateBy(const PhRoom *room, PhTime wait, PhTime rest, PhTime limit)
{
    PhTime end = (PhTime)((double)wait * room->wait_ratio) + rest;
    return wait > 0 && limit > 0 ? MAX(end - limit, 0) : 0;
}

void
PhRoom_LearnWait(PhRoom *room, PhTime expected, PhTime actual)
{
    if (expected < LEARNED_WAIT_MIN) {
        return;
    }
    double ratio =
        CLAMP((double)actual / (double)expected, RATIO_MIN, RATIO_MAX);
    room->wait_ratio += RATIO_WEIGHT * (ratio - room->wait_ratio);
}

PhTime
PhRoom_RetryAfter(PhTime wait, uint32_t id_hash)
{
    return CLAMP(wait, RETRY_AFTER_MIN, RETRY_AFTER_MAX) +
           (PhTime)(id_hash % SPREAD_STEPS) * PH_NS_PER_S;
}
