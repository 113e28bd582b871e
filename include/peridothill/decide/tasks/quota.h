/* Team quotas within one data centre, and the resources each team has
 * committed. A resource without a quota is not limited. */
#ifndef PERIDOTHILL_DECIDE_TASKS_QUOTA_H
#define PERIDOTHILL_DECIDE_TASKS_QUOTA_H

#include "peridothill/decide/tasks/job.h"

#define PH_QUOTA_NONE INT64_MAX

enum {
    /* Released capacity stays reserved for its team for this time, which is
     * longer than the gap between two consecutive jobs of one submitter. */
    PH_QUOTA_RESERVATION_MS = 2000
};

/* PH_QUOTA_NONE marks a resource without a quota. */
typedef struct PhTeamQuota {
    PhStr team;
    PhJobSize size;
} PhTeamQuota;

typedef struct PhQuotas PhQuotas;

PhQuotas *PhQuotas_Create(void);
void PhQuotas_Destroy(PhQuotas *quotas);
/* Replaces the quotas of all teams; a team that is not listed has none. */
void PhQuotas_Set(PhQuotas *quotas, const PhTeamQuota *teams, size_t count);
/* Drops all commitments and reservations; the quotas stay. */
void PhQuotas_Reset(PhQuotas *quotas);
void PhQuotas_Commit(PhQuotas *quotas, PhStr team, uint64_t job,
                     PhJobSize size);
/* Releases one task of a job. If its team is within its quota, the capacity
 * stays reserved for the team, and is not lent, for PH_QUOTA_RESERVATION_MS or
 * until its next commit. */
void PhQuotas_Release(PhQuotas *quotas, uint64_t job, PhJobSize size,
                      PhTime now);
/* Drops reservations whose time is up. */
void PhQuotas_Expire(PhQuotas *quotas, PhTime now);
/* True if the team stays within its quota with one more task of `size`. */
bool PhQuotas_IsWithin(const PhQuotas *quotas, PhStr team, PhJobSize size);
/* True if one more task of `size` fits into `total` beside everything that is
 * committed or reserved. */
bool PhQuotas_CanLend(const PhQuotas *quotas, PhJobSize size, PhJobSize total);
PhJobSize PhQuotas_Used(const PhQuotas *quotas, PhStr team);

#endif
