#include "state.h"

static void
flag_set(PhMembership *m, bool *flag, bool hears, PhMembershipReport lost,
         PhMembershipReport heard)
{
    if (*flag == hears) {
        return;
    }
    *flag = hears;
    m->changed = true;
    PhMembers_Report(m, hears ? heard : lost, (PhStr){0});
}

/* Judges each group separately. A group without members counts as heard. */
void
PhMembers_CheckHearing(PhMembership *m)
{
    bool near = m->near_known == 0 ||
                m->now - m->near_heard <= m->times.hear_near_limit;
    bool far =
        m->far_known == 0 || m->now - m->far_heard <= m->times.hear_far_limit;
    bool platform = m->now - m->platform_heard <= m->times.platform_limit;
    flag_set(m, &m->hearing.own_data_centre, near,
             PH_MEMBERSHIP_OWN_DATA_CENTRE_LOST,
             PH_MEMBERSHIP_OWN_DATA_CENTRE_HEARD);
    flag_set(m, &m->hearing.other_data_centres, far,
             PH_MEMBERSHIP_OTHER_DATA_CENTRES_LOST,
             PH_MEMBERSHIP_OTHER_DATA_CENTRES_HEARD);
    flag_set(m, &m->hearing.platform, platform, PH_MEMBERSHIP_PLATFORM_LOST,
             PH_MEMBERSHIP_PLATFORM_BACK);
}
