#include "peridothill/bench/task_sim.h"
#include "peridothill/decide/tasks/quota.h"
#include "tests/table.h"

/* Committed tasks of two teams, and whether one more task of the first team is
 * within its quota of 4 CPUs and 2 accelerators. */
typedef struct PhWithinQuotaCase {
    const char *name;
    uint32_t own;
    uint32_t other;
    PhJobSize size; /* of each task */
    bool limited;   /* the quota is set */
    bool entitled;
} PhWithinQuotaCase;

static const PhWithinQuotaCase within_quota_cases[] = {
    {"nothing committed", 0, 0, {1000, 1, 0}, true, true},
    {"up to the quota", 3, 0, {1000, 1, 0}, true, true},
    {"over the quota", 4, 0, {1000, 1, 0}, true, false},
    {"over in one resource", 2, 0, {1, 1, 1}, true, false},
    {"a resource without a quota", 1, 0, {1, 1000000, 0}, true, true},
    {"of another team", 1, 9, {1000, 1, 0}, true, true},
    {"no quota at all", 99, 0, {1000, 1, 1}, false, true},
};

static void
check_within_quota(const PhWithinQuotaCase *c)
{
    PhStr team = PhStr_LITERAL("team");
    PhStr other = PhStr_LITERAL("other");
    PhTeamQuota quota = {.team = team, .size = {4000, PH_QUOTA_NONE, 2}};
    PhQuotas *q = PhQuotas_Create();
    PhQuotas_Set(q, &quota, c->limited);
    for (uint32_t i = 0; i < c->own; i++) {
        PhQuotas_Commit(q, team, 1 + i % 2, c->size);
    }
    for (uint32_t i = 0; i < c->other; i++) {
        PhQuotas_Commit(q, other, 7, c->size);
    }
    assert_int_equal(PhQuotas_IsWithin(q, team, c->size), c->entitled);
    for (uint32_t i = 0; i < c->own; i++) {
        PhQuotas_Release(q, 1 + i % 2, c->size, 0);
    }
    assert_int_equal(PhQuotas_Used(q, team).cpu_milli, 0);
    assert_int_equal(PhQuotas_Used(q, other).cpu_milli,
                     c->other * c->size.cpu_milli);
    PhQuotas_Reset(q);
    assert_int_equal(PhQuotas_Used(q, other).cpu_milli, 0);
    PhQuotas_Destroy(q);
}

/* Guards against quotas that count other teams, and commitments that a release
 * leaves behind. */
static void
test_within_quota(void **state)
{
    (void)state;
    Ph_RUN_TABLE(within_quota_cases, check_within_quota);
}

/* Jobs of two teams on four workers with 4 CPUs each, tasks of one CPU: team
 * "a" submits first, team "b" 20 s later. */
typedef struct PhShareCase {
    const char *name;
    int64_t quota_a; /* in tasks; 0: none */
    int64_t quota_b;
    uint32_t tasks_a;
    uint32_t tasks_b;
    PhJobClass class_a;
    uint32_t running_a; /* in the steady state */
    uint32_t running_b;
} PhShareCase;

static const PhShareCase share_cases[] = {
    {"no quotas, first come", 0, 0, 30, 30, PH_JOB_STANDING, 16, 0},
    {"unused quota is lent", 8, 8, 30, 0, PH_JOB_STANDING, 16, 0},
    {"both within their quotas", 8, 8, 8, 8, PH_JOB_STANDING, 8, 8},
    {"capacity not lent yet stays available", 8, 8, 12, 4, PH_JOB_STANDING, 12,
     4},
    {"lent capacity is returned as tasks end", 8, 8, 30, 30, PH_JOB_BATCH, 8,
     8},
    {"no quota is no limit", 0, 8, 30, 8, PH_JOB_STANDING, 16, 0},
};

static void
submit(PhTaskSim *w, const char *team, PhJobClass class, uint32_t count)
{
    PhJobSpec spec = {.key = PhStr_FromC(team),
                      .team = PhStr_FromC(team),
                      .class = class,
                      .run_ms = class == PH_JOB_BATCH ? 40000 : 0,
                      .size = {1000, 100, 0},
                      .count = count};
    if (count > 0) {
        PhTaskSim_Submit(w, 0, &spec);
    }
}

/* Number of placed tasks of a team. */
static uint32_t
placed(const PhTaskSim *w, const char *team)
{
    const PhJobState *state = PhJobEngine_State(PhTaskSim_LatestEngine(w));
    uint32_t count = 0;
    for (PhJob *job = PhJobState_JobFrom(state, 0); job != NULL;
         job = PhJobState_JobFrom(state, job->number + 1)) {
        if (PhStr_Equal(job->spec.team, PhStr_FromC(team))) {
            count += job->placed;
        }
    }
    return count;
}

static void
check_share(const PhShareCase *c)
{
    PhTeamQuota quotas[] = {
        {PhStr_LITERAL("a"),
         {c->quota_a > 0 ? c->quota_a * 1000 : PH_QUOTA_NONE, PH_QUOTA_NONE,
          PH_QUOTA_NONE}},
        {PhStr_LITERAL("b"),
         {c->quota_b > 0 ? c->quota_b * 1000 : PH_QUOTA_NONE, PH_QUOTA_NONE,
          PH_QUOTA_NONE}},
    };
    PhTaskSimOptions options = {.seed = 5,
                                .instances = 2,
                                .workers = 4,
                                .worker_size = {4000, 64000, 0},
                                .times = PhLeaseTimes_Default(),
                                .quotas = quotas,
                                .quota_count = G_N_ELEMENTS(quotas),
                                .link_delay = PH_NS_PER_MS};
    PhTaskSim *w = PhTaskSim_Create(&options);
    PhTaskSim_RunUntil(w, 20 * PH_NS_PER_S);
    submit(w, "a", c->class_a, c->tasks_a);
    PhTaskSim_RunUntil(w, 40 * PH_NS_PER_S);
    submit(w, "b", PH_JOB_STANDING, c->tasks_b);
    PhTaskSim_RunUntil(w, 75 * PH_NS_PER_S);
    assert_int_equal(placed(w, "a"), c->running_a);
    assert_int_equal(placed(w, "b"), c->running_b);
    PhTaskSim_Destroy(w);
}

/* Guards against a team being kept below its quota by tasks that borrow its
 * capacity. */
static void
test_share(void **state)
{
    (void)state;
    Ph_RUN_TABLE(share_cases, check_share);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_within_quota),
        cmocka_unit_test(test_share),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
