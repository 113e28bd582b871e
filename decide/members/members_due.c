#include "state.h"

/* Minimum time between pushes; updates that arrive in between are batched. */
#define PUSH_INTERVAL (500 * PH_NS_PER_MS)

enum {
    REACH_TRIES = 8, /* random picks until one is worth contacting */
};

PhMembershipTimes
PhMembershipTimes_Default(void)
{
    return (PhMembershipTimes){
        .probe_interval = PH_NS_PER_S,
        .probe_timeout = 500 * PH_NS_PER_MS,
        .indirect_timeout = PH_NS_PER_S,
        .suspicion = 4 * PH_NS_PER_S,
        .reach_interval = 10 * PH_NS_PER_S,
        .hear_near_limit = 8 * PH_NS_PER_S,
        .hear_far_limit = 30 * PH_NS_PER_S,
        .platform_limit = 30 * PH_NS_PER_S,
        .keep_dead = 3600 * PH_NS_PER_S,
        .pause_limit = 200 * PH_NS_PER_MS,
    };
}

/* Extends deadlines by the length of a pause of this process, so that its own
 * silence is not held against other members. */
static void
shift_deadlines(PhMembership *m, PhTime by)
{
    for (guint i = 0; i < m->probes->len; i++) {
        g_array_index(m->probes, PhProbe, i).deadline += by;
    }
    for (guint i = 0; i < m->suspects->len; i++) {
        PhEntry *e = g_ptr_array_index(m->suspects, i);
        e->heard += by;
        e->suspected += by;
        e->asked += e->asked == 0 ? 0 : by;
        e->confirm += by;
        e->expires += by;
    }
    m->near_heard += by;
    m->far_heard += by;
    m->platform_heard += by;
    PhMembers_Report(m, PH_MEMBERSHIP_PAUSED, (PhStr){0});
}

void
PhMembers_CheckPause(PhMembership *m)
{
    PhTime late = m->now - m->wake;
    if (late > m->times.pause_limit) {
        shift_deadlines(m, late);
    }
}

/* Varies an interval by 10% in both directions, so that instances do not act
 * in lockstep. */
static PhTime
jitter(PhMembership *m, PhTime interval)
{
    return interval * 9 / 10 +
           (PhTime)PhRandom_Below(m->random, (uint64_t)(interval / 5) + 1);
}

/* Contacts a dead member or a candidate address, numbered across both lists.
 * Returns false if there is no point in contacting it. */
static bool
reach(PhMembership *m, size_t pick)
{
    size_t dead = g_queue_get_length(&m->buried);
    if (pick < dead) {
        PhEntry *e = g_queue_peek_nth(&m->buried, (guint)pick);
        if (e->member.state != PH_MEMBER_DEAD) {
            return false;
        }
        PhMembers_AskSync(m, e->member.id, e->member.address);
        return true;
    }
    PhStr *address = g_ptr_array_index(m->candidates, pick - dead);
    if (PhMembers_HasAddress(m, *address)) {
        return false;
    }
    PhMembers_AskSync(m, (PhStr){0}, *address);
    return true;
}

/* Contacts a dead member, or a candidate address that no live member has. This
 * heals partitions and joins clusters that started separately. */
static void
reach_out(PhMembership *m)
{
    size_t total = g_queue_get_length(&m->buried) + m->candidates->len;
    bool alone = m->near->len + m->far->len == 0;
    bool reached = total == 0;
    m->reach_due = m->now + jitter(m, alone ? m->times.probe_interval
                                            : m->times.reach_interval);
    for (int i = 0; i < REACH_TRIES && !reached; i++) {
        reached = reach(m, PhRandom_Below(m->random, total));
    }
}

void
PhMembers_DoDue(PhMembership *m)
{
    if (m->self->member.state == PH_MEMBER_LEFT) {
        return;
    }
    PhMembers_CheckProbes(m);
    PhMembers_CheckSuspects(m);
    if (m->now >= m->probe_due) {
        m->probe_due = m->now + jitter(m, m->times.probe_interval);
        m->confirms = CONFIRMS_IN_INTERVAL;
        PhMembers_ProbeNext(m);
        PhMembers_Purge(m);
    }
    if (m->now >= m->reach_due) {
        reach_out(m);
    }
    if (m->push_wanted && m->now >= m->push_due) {
        m->push_wanted = false;
        m->push_due = m->now + PUSH_INTERVAL;
        PhMembers_PushNews(m);
    }
}

PhTime
PhMembers_NextDue(const PhMembership *m)
{
    PhTime at = MIN(m->probe_due, m->reach_due);
    if (m->push_wanted) {
        at = MIN(at, m->push_due);
    }
    for (guint i = 0; i < m->probes->len; i++) {
        at = MIN(at, g_array_index(m->probes, PhProbe, i).deadline);
    }
    for (guint i = 0; i < m->suspects->len; i++) {
        const PhEntry *e = g_ptr_array_index(m->suspects, i);
        at = MIN(at, MIN(e->confirm, e->expires));
    }
    return at;
}
