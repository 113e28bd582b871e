/* Quotas of teams within one data centre, and what each team has committed.
 * A resource without a quota is not limited. */
#ifndef PERIDOTHILL_DECIDE_TASKS_QUOTA_H
#define PERIDOTHILL_DECIDE_TASKS_QUOTA_H

#include "peridothill/decide/tasks/job.h"

#define PH_QUOTA_NONE INT64_MAX

enum {
    /* Longer than submitters take between two jobs that follow one another. */
    PH_QUOTA_HOLD_MS = 2000
};

/* The quota of a team; PH_QUOTA_NONE where a resource has none. */
typedef struct PhTeamQuota {
    PhStr team;
    PhJobSize size;
} PhTeamQuota;

typedef struct PhQuotas PhQuotas;

PhQuotas *PhQuotas_Create(void);
void PhQuotas_Destroy(PhQuotas *quotas);
/* Takes the quotas of all teams; a team that is not named has none. */
void PhQuotas_Set(PhQuotas *quotas, const PhTeamQuota *teams, size_t count);
/* Forgets what is committed, and keeps the quotas. */
void PhQuotas_Reset(PhQuotas *quotas);
/* Commits one task of a job to its team. */
void PhQuotas_Commit(PhQuotas *quotas, PhStr team, uint64_t job,
                     PhJobSize size);
/* Takes one task of a job back.  The room of a team within its quota is held
 * for it from lending for PH_QUOTA_HOLD_MS, or until its next commit. */
void PhQuotas_Release(PhQuotas *quotas, uint64_t job, PhJobSize size,
                      PhTime now);
/* Ends the holds that are past their time. */
void PhQuotas_Expire(PhQuotas *quotas, PhTime now);
/* Tells whether the team stays within its quota with one more task. */
bool PhQuotas_Entitles(const PhQuotas *quotas, PhStr team, PhJobSize size);
/* Tells whether `total` has room for one more task beside what is committed
 * and held. */
bool PhQuotas_Lends(const PhQuotas *quotas, PhJobSize size, PhJobSize total);
/* What the team has committed. */
PhJobSize PhQuotas_Used(const PhQuotas *quotas, PhStr team);

#endif
