#include "peridothill/decide/tasks/quota.h"

#include <glib.h>

#include "peridothill/common/invariant.h"

typedef struct PhTeamUsage {
    PhJobSize quota;
    PhJobSize used;
    GQueue reservations; /* PhReservation, oldest first */
} PhTeamUsage;

/* Capacity that a team released and may need again. */
typedef struct PhReservation {
    PhJobSize size;
    PhTime until;
} PhReservation;

/* Committed tasks of a job. */
typedef struct PhJobUsage {
    uint64_t job; /* key */
    PhTeamUsage *team;
    uint32_t tasks;
} PhJobUsage;

struct PhQuotas {
    GHashTable *teams;  /* PhStr to PhTeamUsage */
    GHashTable *jobs;   /* &job to PhJobUsage */
    PhJobSize used;     /* of all teams */
    PhJobSize reserved; /* reserved, of all teams */
};

static const PhJobSize no_quota = {PH_QUOTA_NONE, PH_QUOTA_NONE,
                                   PH_QUOTA_NONE};

static void
team_destroy(gpointer value)
{
    PhTeamUsage *use = value;
    g_queue_clear_full(&use->reservations, g_free);
    g_free(use);
}

PhQuotas *
PhQuotas_Create(void)
{
    PhQuotas *q = g_new0(PhQuotas, 1);
    q->teams = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                     PhStr_KeyDestroy, team_destroy);
    q->jobs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    return q;
}

void
PhQuotas_Destroy(PhQuotas *quotas)
{
    if (quotas == NULL) {
        return;
    }
    g_hash_table_destroy(quotas->jobs);
    g_hash_table_destroy(quotas->teams);
    g_free(quotas);
}

static PhTeamUsage *
team_of(PhQuotas *q, PhStr team)
{
    PhTeamUsage *use = g_hash_table_lookup(q->teams, &team);
    if (use == NULL) {
        use = g_new0(PhTeamUsage, 1);
        use->quota = no_quota;
        g_queue_init(&use->reservations);
        g_hash_table_insert(q->teams, PhStr_KeyCreate(team), use);
    }
    return use;
}

void
PhQuotas_Set(PhQuotas *quotas, const PhTeamQuota *teams, size_t count)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, quotas->teams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((PhTeamUsage *)value)->quota = no_quota;
    }
    for (size_t i = 0; i < count; i++) {
        team_of(quotas, teams[i].team)->quota = teams[i].size;
    }
}

void
PhQuotas_Reset(PhQuotas *quotas)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_remove_all(quotas->jobs);
    g_hash_table_iter_init(&iter, quotas->teams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PhTeamUsage *use = value;
        use->used = (PhJobSize){0};
        g_queue_clear_full(&use->reservations, g_free);
    }
    quotas->used = (PhJobSize){0};
    quotas->reserved = (PhJobSize){0};
}

/* Drops the oldest reservation of a team, if it has one. */
static void
reservation_drop(PhQuotas *q, PhTeamUsage *use)
{
    PhReservation *hold = g_queue_pop_head(&use->reservations);
    if (hold != NULL) {
        q->reserved = PhJobSize_Subtract(q->reserved, hold->size);
        g_free(hold);
    }
}

void
PhQuotas_Commit(PhQuotas *quotas, PhStr team, uint64_t job, PhJobSize size)
{
    PhJobUsage *use = g_hash_table_lookup(quotas->jobs, &job);
    if (use == NULL) {
        use = g_new0(PhJobUsage, 1);
        use->job = job;
        use->team = team_of(quotas, team);
        g_hash_table_insert(quotas->jobs, &use->job, use);
    }
    use->tasks++;
    use->team->used = PhJobSize_Add(use->team->used, size);
    quotas->used = PhJobSize_Add(quotas->used, size);
    reservation_drop(quotas, use->team);
}

static bool
has_quota(const PhTeamUsage *use)
{
    return use->quota.cpu_milli != PH_QUOTA_NONE ||
           use->quota.memory_mb != PH_QUOTA_NONE ||
           use->quota.accelerators != PH_QUOTA_NONE;
}

/* Reserves the capacity of a task that was within its team's quota. */
static void
reservation_add(PhQuotas *q, PhTeamUsage *use, PhJobSize size, PhTime now)
{
    PhReservation hold = {
        .size = size, .until = now + (PH_QUOTA_RESERVATION_MS * PH_NS_PER_MS)};
    if (has_quota(use) && PhJobSize_Fits(use->used, use->quota)) {
        g_queue_push_tail(&use->reservations, g_memdup2(&hold, sizeof(hold)));
        q->reserved = PhJobSize_Add(q->reserved, size);
    }
}

void
PhQuotas_Release(PhQuotas *quotas, uint64_t job, PhJobSize size, PhTime now)
{
    PhJobUsage *use = g_hash_table_lookup(quotas->jobs, &job);
    Ph_INVARIANT(PH_INVARIANT_PRECONDITION, use != NULL && use->tasks > 0,
                 "job=%" G_GUINT64_FORMAT, job);
    reservation_add(quotas, use->team, size, now);
    use->team->used = PhJobSize_Subtract(use->team->used, size);
    quotas->used = PhJobSize_Subtract(quotas->used, size);
    use->tasks--;
    if (use->tasks == 0) {
        g_hash_table_remove(quotas->jobs, &job);
    }
}

void
PhQuotas_Expire(PhQuotas *quotas, PhTime now)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, quotas->teams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PhTeamUsage *use = value;
        const PhReservation *oldest = g_queue_peek_head(&use->reservations);
        while (oldest != NULL && oldest->until <= now) {
            reservation_drop(quotas, use);
            oldest = g_queue_peek_head(&use->reservations);
        }
    }
}

bool
PhQuotas_CanLend(const PhQuotas *quotas, PhJobSize size, PhJobSize total)
{
    PhJobSize taken = PhJobSize_Add(quotas->used, quotas->reserved);
    return PhJobSize_Fits(PhJobSize_Add(taken, size), total);
}

bool
PhQuotas_IsWithin(const PhQuotas *quotas, PhStr team, PhJobSize size)
{
    const PhTeamUsage *use = g_hash_table_lookup(quotas->teams, &team);
    return use == NULL ||
           PhJobSize_Fits(PhJobSize_Add(use->used, size), use->quota);
}

PhJobSize
PhQuotas_Used(const PhQuotas *quotas, PhStr team)
{
    const PhTeamUsage *use = g_hash_table_lookup(quotas->teams, &team);
    return use == NULL ? (PhJobSize){0} : use->used;
}
