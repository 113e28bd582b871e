/* How what membership reports is counted and logged. */
#ifndef PERIDOTHILL_SERVICES_MEMBERS_MEMBERS_REPORT_H
#define PERIDOTHILL_SERVICES_MEMBERS_MEMBERS_REPORT_H

#include "peridothill/decide/members/membership.h"
#include "peridothill/kernel/kernel.h"

/* Counts and logs a report under the name of the task. */
void PhMembers_CountReport(PhTask *self, PhMembershipReport what,
                           PhStr member);

#endif
