#include "membership_private.h"

/* Minimum time between pushes; updates that arrive in between are batched. */
#define PUSH_INTERVAL_NS (500 * PH_NS_PER_MS)

enum {
    /* Maximum number of random picks per rejoin.  A pick is skipped if the
     * member left or a live member has the address. */
    REJOIN_TRIES = 8,
};

PhMembershipTimes
PhMembershipTimes_Default(void)
{
    return (PhMembershipTimes){
        .probe_interval = PH_NS_PER_S,
        .probe_timeout = 500 * PH_NS_PER_MS,
        .indirect_timeout = PH_NS_PER_S,
        .suspicion = 4 * PH_NS_PER_S,
        .rejoin_interval = 10 * PH_NS_PER_S,
        .local_silence_limit = 8 * PH_NS_PER_S,
        .remote_silence_limit = 30 * PH_NS_PER_S,
        .platform_silence_limit = 30 * PH_NS_PER_S,
        .departed_retention = 3600 * PH_NS_PER_S,
        .pause_threshold = 200 * PH_NS_PER_MS,
    };
}

/* Extends deadlines by the length of a pause of this process, so that its own
 * silence is not held against other members. */
static void
deadlines_extend(PhMembership *m, PhTime by)
{
    for (guint i = 0; i < m->probes->len; i++) {
        g_array_index(m->probes, PhProbe, i).deadline += by;
    }
    for (guint i = 0; i < m->suspects->len; i++) {
        PhMemberEntry *e = g_ptr_array_index(m->suspects, i);
        e->last_contact_at += by;
        e->suspected_at += by;
        e->first_ping_at += e->first_ping_at == 0 ? 0 : by;
        e->next_ping += by;
        e->suspicion_ends += by;
    }
    m->local_last_contact_at += by;
    m->remote_last_contact_at += by;
    m->platform_last_contact_at += by;
    PhMembers_Report(m, PH_MEMBERSHIP_PAUSED, (PhStr){0});
}

void
PhMembers_CheckPause(PhMembership *m)
{
    PhTime late = m->now - m->timer_at;
    if (late > m->times.pause_threshold) {
        deadlines_extend(m, late);
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

/* Contacts a departed member or a candidate address, numbered across both
 * lists.  Returns false without contact if the member left rather than died,
 * or a live member has the address. */
static bool
rejoin_contact(PhMembership *m, size_t pick)
{
    size_t dead = g_queue_get_length(&m->departed);
    if (pick < dead) {
        PhMemberEntry *e = g_queue_peek_nth(&m->departed, (guint)pick);
        if (e->member.state != PH_MEMBER_DEAD) {
            return false;
        }
        PhMembers_RequestSync(m, e->member.id, e->member.address);
        return true;
    }
    PhStr *address = g_ptr_array_index(m->candidates, pick - dead);
    if (PhMembers_HasAddress(m, *address)) {
        return false;
    }
    PhMembers_RequestSync(m, (PhStr){0}, *address);
    return true;
}

/* Schedules the next rejoin and contacts a random dead member, or a candidate
 * address that no live member has; none if all REJOIN_TRIES picks are skipped.
 * This heals partitions and joins clusters that started separately. */
static void
rejoin(PhMembership *m)
{
    size_t total = g_queue_get_length(&m->departed) + m->candidates->len;
    bool alone = m->local->len + m->remote->len == 0;
    bool done = total == 0;
    m->rejoin_due = m->now + jitter(m, alone ? m->times.probe_interval
                                             : m->times.rejoin_interval);
    for (int i = 0; i < REJOIN_TRIES && !done; i++) {
        done = rejoin_contact(m, PhRandom_Below(m->random, total));
    }
}

void
PhMembers_RunDue(PhMembership *m)
{
    if (m->self->member.state == PH_MEMBER_LEFT) {
        return;
    }
    PhMembers_CheckProbes(m);
    PhMembers_CheckSuspects(m);
    if (m->now >= m->probe_due) {
        m->probe_due = m->now + jitter(m, m->times.probe_interval);
        m->suspect_pings_left = SUSPECT_PINGS_PER_INTERVAL;
        PhMembers_ProbeNext(m);
        PhMembers_Purge(m);
    }
    if (m->now >= m->rejoin_due) {
        rejoin(m);
    }
    if (m->push_wanted && m->now >= m->push_due) {
        m->push_wanted = false;
        m->push_due = m->now + PUSH_INTERVAL_NS;
        PhMembers_PushUpdates(m);
    }
}

PhTime
PhMembers_NextDue(const PhMembership *m)
{
    PhTime at = MIN(m->probe_due, m->rejoin_due);
    if (m->push_wanted) {
        at = MIN(at, m->push_due);
    }
    for (guint i = 0; i < m->probes->len; i++) {
        at = MIN(at, g_array_index(m->probes, PhProbe, i).deadline);
    }
    for (guint i = 0; i < m->suspects->len; i++) {
        const PhMemberEntry *e = g_ptr_array_index(m->suspects, i);
        at = MIN(at, MIN(e->next_ping, e->suspicion_ends));
    }
    return at;
}
