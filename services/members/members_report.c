#include "members_report.h"

typedef struct PhReportRow {
    PhCounter counter;
    PhEventId event;
} PhReportRow;

static const PhReportRow report_rows[] = {
    [PH_MEMBERSHIP_JOINED] = {PH_COUNTER_MEMBERS_JOINED,
                              PH_EVENT_MEMBER_JOINED},
    [PH_MEMBERSHIP_SUSPECTED] = {PH_COUNTER_MEMBERS_SUSPECTED,
                                 PH_EVENT_MEMBER_SUSPECTED},
    [PH_MEMBERSHIP_REFUTED] = {PH_COUNTER_MEMBERS_REFUTED,
                               PH_EVENT_MEMBER_REFUTED},
    [PH_MEMBERSHIP_DIED] = {PH_COUNTER_MEMBERS_DIED, PH_EVENT_MEMBER_DIED},
    [PH_MEMBERSHIP_RETURNED] = {PH_COUNTER_MEMBERS_RETURNED,
                                PH_EVENT_MEMBER_RETURNED},
    [PH_MEMBERSHIP_LEFT] = {PH_COUNTER_MEMBERS_LEFT, PH_EVENT_MEMBER_LEFT},
    [PH_MEMBERSHIP_SELF_REFUTED] = {PH_COUNTER_MEMBERS_SELF_REFUTED,
                                    PH_EVENT_MEMBER_SELF_REFUTED},
    [PH_MEMBERSHIP_ID_CONFLICT] = {PH_COUNTER_MEMBERS_ID_CONFLICT,
                                   PH_EVENT_MEMBER_ID_CONFLICT},
    [PH_MEMBERSHIP_TABLE_FULL] = {PH_COUNTER_MEMBERS_FULL,
                                  PH_EVENT_MEMBERS_FULL},
    [PH_MEMBERSHIP_SYNC_REQUESTED] = {PH_COUNTER_MEMBERS_SYNCS,
                                      PH_EVENT_MEMBERS_SYNC_ASKED},
    [PH_MEMBERSHIP_PAUSED] = {PH_COUNTER_MEMBERS_PAUSES,
                              PH_EVENT_PROCESS_PAUSED},
    [PH_MEMBERSHIP_OWN_DATA_CENTRE_LOST] = {PH_COUNTER_MEMBERS_OWN_LOST,
                                            PH_EVENT_OWN_DATA_CENTRE_LOST},
    [PH_MEMBERSHIP_OWN_DATA_CENTRE_RESTORED] =
        {PH_COUNTER_MEMBERS_OWN_RESTORED, PH_EVENT_OWN_DATA_CENTRE_HEARD},
    [PH_MEMBERSHIP_OTHER_DATA_CENTRES_LOST] =
        {PH_COUNTER_MEMBERS_OTHERS_LOST, PH_EVENT_OTHER_DATA_CENTRES_LOST},
    [PH_MEMBERSHIP_OTHER_DATA_CENTRES_RESTORED] =
        {PH_COUNTER_MEMBERS_OTHERS_RESTORED,
         PH_EVENT_OTHER_DATA_CENTRES_HEARD},
    [PH_MEMBERSHIP_PLATFORM_LOST] = {PH_COUNTER_MEMBERS_PLATFORM_LOST,
                                     PH_EVENT_PLATFORM_LOST},
    [PH_MEMBERSHIP_PLATFORM_RESTORED] = {PH_COUNTER_MEMBERS_PLATFORM_RESTORED,
                                         PH_EVENT_PLATFORM_HEARD},
};

void
PhMembers_CountReport(PhTask *self, PhMembershipReport what, PhStr member)
{
    const PhReportRow *row = &report_rows[what];
    PhCounters_Add(PhKernel_Counters(PhTask_Kernel(self)), row->counter, 1);
    PhTask_LOG(self, row->event, PhField_STR("member", member));
}
