#include "membership_private.h"

static void
flag_set(PhMembership *m, bool *flag, bool hears, PhMembershipReport lost,
         PhMembershipReport heard)
{
    if (*flag == hears) {
        return;
    }
    *flag = hears;
    m->view_changed = true;
    PhMembers_Report(m, hears ? heard : lost, (PhStr){0});
}

/* Judges each group separately. A group without members counts as heard. */
void
PhMembers_CheckReachability(PhMembership *m)
{
    bool local = m->local_count == 0 ||
                 m->now - m->local_heard_at <= m->times.local_silence_limit;
    bool remote = m->remote_count == 0 ||
                  m->now - m->remote_heard_at <= m->times.remote_silence_limit;
    bool platform =
        m->now - m->platform_heard_at <= m->times.platform_silence_limit;
    flag_set(m, &m->hearing.own_data_centre, local,
             PH_MEMBERSHIP_OWN_DATA_CENTRE_LOST,
             PH_MEMBERSHIP_OWN_DATA_CENTRE_HEARD);
    flag_set(m, &m->hearing.other_data_centres, remote,
             PH_MEMBERSHIP_OTHER_DATA_CENTRES_LOST,
             PH_MEMBERSHIP_OTHER_DATA_CENTRES_HEARD);
    flag_set(m, &m->hearing.platform, platform, PH_MEMBERSHIP_PLATFORM_LOST,
             PH_MEMBERSHIP_PLATFORM_RESTORED);
}
