#ifndef PERIDOTHILL_SERVICES_MEMBERS_MEMBERS_REPORT_H
#define PERIDOTHILL_SERVICES_MEMBERS_MEMBERS_REPORT_H

#include "peridothill/decide/members/membership.h"
#include "peridothill/kernel/kernel.h"

/* Counts and logs a report of the membership. */
void PhMembers_CountReport(PhTask *self, PhMembershipReport what,
                           PhStr member);

#endif
