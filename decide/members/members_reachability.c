#include "membership_private.h"

static void
flag_set(PhMembership *m, bool *flag, bool reachable, PhMembershipReport lost,
         PhMembershipReport restored)
{
    if (*flag == reachable) {
        return;
    }
    *flag = reachable;
    m->view_changed = true;
    PhMembers_Report(m, reachable ? restored : lost, (PhStr){0});
}

/* Judges each group separately. A group without members counts as reachable.
 */
void
PhMembers_CheckReachability(PhMembership *m)
{
    bool local = m->local_count == 0 || m->now - m->local_last_contact_at <=
                                            m->times.local_silence_limit;
    bool remote = m->remote_count == 0 || m->now - m->remote_last_contact_at <=
                                              m->times.remote_silence_limit;
    bool platform = m->now - m->platform_last_contact_at <=
                    m->times.platform_silence_limit;
    flag_set(m, &m->reachability.own_data_centre, local,
             PH_MEMBERSHIP_OWN_DATA_CENTRE_LOST,
             PH_MEMBERSHIP_OWN_DATA_CENTRE_RESTORED);
    flag_set(m, &m->reachability.other_data_centres, remote,
             PH_MEMBERSHIP_OTHER_DATA_CENTRES_LOST,
             PH_MEMBERSHIP_OTHER_DATA_CENTRES_RESTORED);
    flag_set(m, &m->reachability.platform, platform,
             PH_MEMBERSHIP_PLATFORM_LOST, PH_MEMBERSHIP_PLATFORM_RESTORED);
}
