#include "peridothill/decide/config/config_ledger.h"

#include "peridothill/common/random.h"
#include "tests/table.h"

enum {
    CASE_PATCHES = 4,
    CASE_CHANGES = 6,
    RANDOM_RECORDS = 6000,
    RANDOM_SNAPSHOTS = 40,
};

#define SET(PATH, VALUE)                                                      \
    {                                                                         \
        PH_CONFIG_CHANGE_SET, PhStr_LITERAL(PATH), PhStr_LITERAL(VALUE)       \
    }
#define DELETE(PATH)                                                          \
    {                                                                         \
        PH_CONFIG_CHANGE_DELETE, PhStr_LITERAL(PATH),                         \
        {                                                                     \
            NULL, 0                                                           \
        }                                                                     \
    }
#define QUOTE                                                                 \
    SET("services.quote.prefix", "/quote"),                                   \
        SET("services.quote.class", "latency-critical")

/* A patch and its expected verdict. */
typedef struct PhPatchRow {
    const char *id;
    uint64_t base;
    bool strict;
    PhConfigChange changes[CASE_CHANGES];
    PhStatus status;
    const char *reason; /* prefix of the reason */
} PhPatchRow;

/* Patches in log order, and the version after them. */
typedef struct PhLedgerCase {
    const char *name;
    PhPatchRow patches[CASE_PATCHES];
    uint64_t version;
} PhLedgerCase;

static const PhLedgerCase ledger_cases[] = {
    {"accepted", {{"a", 0, true, {QUOTE}, PH_STATUS_OK, ""}}, 1},
    {"concurrent, different paths",
     {{"a", 0, false, {QUOTE}, PH_STATUS_OK, ""},
      {"b", 0, false, {SET("teams.x.share", "3")}, PH_STATUS_OK, ""}},
     2},
    {"concurrent, same path",
     {{"a", 0, false, {SET("teams.x.share", "3")}, PH_STATUS_OK, ""},
      {"b",
       0,
       false,
       {SET("teams.x.share", "4")},
       PH_STATUS_CONFLICT,
       "teams.x.share: changed by version 1"}},
     1},
    {"strict, base no longer in force",
     {{"a", 0, false, {QUOTE}, PH_STATUS_OK, ""},
      {"b",
       0,
       true,
       {SET("teams.x.share", "3")},
       PH_STATUS_CONFLICT,
       "base: version 1"}},
     1},
    {"set after a deletion since the base",
     {{"a", 0, false, {SET("teams.x.share", "3")}, PH_STATUS_OK, ""},
      {"b", 1, false, {DELETE("teams.x.share")}, PH_STATUS_OK, ""},
      {"c",
       1,
       false,
       {SET("teams.x.share", "5")},
       PH_STATUS_CONFLICT,
       "teams.x.share: changed by version 2"}},
     2},
    {"a duplicate keeps the first verdict",
     {{"a", 0, false, {SET("teams.x.share", "3")}, PH_STATUS_OK, ""},
      {"a", 1, false, {SET("teams.x.share", "9")}, PH_STATUS_OK, ""}},
     1},
    {"base above the current version",
     {{"a", 7, false, {QUOTE}, PH_STATUS_INVALID, "base: version 7"}},
     0},
    {"unknown path",
     {{"a",
       0,
       false,
       {SET("services.q.colour", "red")},
       PH_STATUS_INVALID,
       "services.q.colour: no such path"}},
     0},
    {"bad number",
     {{"a",
       0,
       false,
       {SET("tasks.lease_ms", "10s")},
       PH_STATUS_INVALID,
       "tasks.lease_ms: a number"}},
     0},
    {"bad class",
     {{"a",
       0,
       false,
       {SET("services.q.class", "urgent")},
       PH_STATUS_INVALID,
       "services.q.class: one of"}},
     0},
    {"service without a prefix",
     {{"a",
       0,
       false,
       {SET("services.q.class", "batch")},
       PH_STATUS_INVALID,
       "services.q.prefix: missing"}},
     0},
    {"service without a class",
     {{"a",
       0,
       false,
       {SET("services.q.prefix", "/q")},
       PH_STATUS_INVALID,
       "services.q.class: missing"}},
     0},
    {"team that does not exist",
     {{"a",
       0,
       false,
       {QUOTE, SET("services.quote.team", "x")},
       PH_STATUS_INVALID,
       "services.quote.team: no such team"}},
     0},
    {"team deleted while a service uses it",
     {{"a",
       0,
       false,
       {QUOTE, SET("services.quote.team", "x"), SET("teams.x.share", "1")},
       PH_STATUS_OK,
       ""},
      {"b",
       1,
       false,
       {DELETE("teams.x.share")},
       PH_STATUS_INVALID,
       "services.quote.team: no such team"}},
     1},
    {"two services with one prefix",
     {{"a", 0, false, {QUOTE}, PH_STATUS_OK, ""},
      {"b",
       0,
       false,
       {SET("services.z.prefix", "/quote"), SET("services.z.class", "batch")},
       PH_STATUS_INVALID,
       "services.z.prefix: another service has it"}},
     1},
    {"renewal slower than half a lease",
     {{"a",
       0,
       false,
       {SET("tasks.renew_ms", "9000")},
       PH_STATUS_INVALID,
       "tasks.renew_ms: at most half"}},
     0},
    {"no changes",
     {{"a", 0, false, {{0}}, PH_STATUS_INVALID, "changes: "}},
     0},
    {"bad id", {{"a b", 0, false, {QUOTE}, PH_STATUS_INVALID, "id: "}}, 0},
};

static PhConfigRecord *
row_record(const PhPatchRow *row, uint64_t offset)
{
    PhConfigPatch patch = {.id = PhStr_Dup(PhStr_FromC(row->id)),
                           .base = row->base,
                           .strict = row->strict};
    for (size_t i = 0; i < CASE_CHANGES && row->changes[i].path.len > 0; i++) {
        PhConfigPatch_Add(&patch, row->changes[i].kind, row->changes[i].path,
                          row->changes[i].value);
    }
    return PhConfigRecord_Create(offset, 0, &patch);
}

/* Applies a row as the next record. */
static void
row_apply(PhConfigLedger *l, const PhPatchRow *row)
{
    PhConfigRecord *record = row_record(row, PhConfigLedger_Next(l));
    PhConfigLedger_Apply(l, record);
    PhConfigRecord_Unref(record);
}

static void
check_ledger(const PhLedgerCase *c)
{
    PhConfigLedger *l = PhConfigLedger_Create();
    for (size_t i = 0; i < CASE_PATCHES && c->patches[i].id != NULL; i++) {
        const PhPatchRow *row = &c->patches[i];
        row_apply(l, row);
        const PhConfigVerdict *v =
            PhConfigLedger_Find(l, PhStr_FromC(row->id));
        assert_non_null(v);
        assert_int_equal(v->status, row->status);
        assert_true(PhStr_StartsWith(v->reason, PhStr_FromC(row->reason)));
    }
    assert_int_equal(PhConfigState_Version(PhConfigLedger_State(l)),
                     c->version);
    PhConfigLedger_Destroy(l);
}

/* Guards against a patch that is accepted against the schema or over a
 * conflicting change, or refused without its reason. */
static void
test_verdicts(void **state)
{
    (void)state;
    Ph_RUN_TABLE(ledger_cases, check_ledger);
}

/* Four concurrent patches based on version 0. */
typedef struct PhRaceCase {
    const char *name;
    PhPatchRow patches[CASE_PATCHES];
    size_t accepted; /* in every order */
} PhRaceCase;

static const PhRaceCase race_cases[] = {
    {"same path",
     {{"a", 0, false, {SET("teams.x.share", "1")}},
      {"b", 0, false, {SET("teams.x.share", "2")}},
      {"c", 0, false, {SET("teams.x.share", "3")}},
      {"d", 0, false, {SET("teams.x.share", "4")}}},
     1},
    {"different paths",
     {{"a", 0, false, {SET("teams.a.share", "1")}},
      {"b", 0, false, {SET("teams.b.share", "2")}},
      {"c", 0, false, {SET("teams.c.share", "3")}},
      {"d", 0, false, {SET("teams.d.share", "4")}}},
     4},
    {"all strict",
     {{"a", 0, true, {SET("teams.a.share", "1")}},
      {"b", 0, true, {SET("teams.b.share", "2")}},
      {"c", 0, true, {SET("teams.c.share", "3")}},
      {"d", 0, true, {SET("teams.d.share", "4")}}},
     1},
    {"same prefix twice",
     {{"a", 0, false, {QUOTE}},
      {"b",
       0,
       false,
       {SET("services.z.prefix", "/quote"), SET("services.z.class", "batch")}},
      {"c", 0, false, {SET("teams.c.share", "3")}},
      {"a", 0, false, {QUOTE}}},
     2},
};

/* Applies one order on two replicas, one of which restarts from a snapshot
 * after record `restart_after`; both must agree. */
static void
race_run(const PhRaceCase *c, const size_t *order, size_t restart_after)
{
    PhConfigLedger *uninterrupted = PhConfigLedger_Create();
    PhConfigLedger *other = PhConfigLedger_Create();
    for (size_t i = 0; i < CASE_PATCHES; i++) {
        row_apply(uninterrupted, &c->patches[order[i]]);
        row_apply(other, &c->patches[order[i]]);
        if (i == restart_after) {
            PhConfigSnapshot *s = PhConfigLedger_Snapshot(other);
            PhConfigLedger_Destroy(other);
            other = PhConfigLedger_Restore(s);
            PhConfigSnapshot_Unref(s);
        }
    }
    size_t accepted = 0;
    for (GList *i = PhConfigLedger_Verdicts(uninterrupted)->head; i;
         i = i->next) {
        const PhConfigVerdict *v = i->data;
        accepted += v->status == PH_STATUS_OK;
        assert_int_equal(PhConfigLedger_Find(other, v->id)->status, v->status);
    }
    assert_int_equal(accepted, c->accepted);
    assert_int_equal(PhConfigState_Digest(PhConfigLedger_State(uninterrupted)),
                     PhConfigState_Digest(PhConfigLedger_State(other)));
    PhConfigLedger_Destroy(uninterrupted);
    PhConfigLedger_Destroy(other);
}

/* Runs every permutation of the patches. */
static void
check_race(const PhRaceCase *c)
{
    size_t o[CASE_PATCHES];
    for (size_t code = 0; code < 256; code++) {
        bool used[CASE_PATCHES] = {false};
        bool valid = true;
        for (size_t i = 0; i < CASE_PATCHES; i++) {
            o[i] = (code >> (2 * i)) & 3;
            valid = valid && !used[o[i]];
            used[o[i]] = true;
        }
        for (size_t restart_after = 0; valid && restart_after < CASE_PATCHES;
             restart_after++) {
            race_run(c, o, restart_after);
        }
    }
}

/* Guards against verdicts that depend on a restart, or a number of accepted
 * patches that depends on their order. */
static void
test_race_outcome_in_any_order(void **state)
{
    (void)state;
    Ph_RUN_TABLE(race_cases, check_race);
}

/* A run with random patches. */
typedef struct PhRandomCase {
    const char *name;
    uint64_t seed;
    uint64_t lag;       /* exclusive limit on the age of a base, in versions */
    unsigned duplicate; /* percentage of records that are copies */
    guint accepted;     /* minimum */
} PhRandomCase;

static const PhRandomCase random_cases[] = {
    {"recent bases", 1, 3, 10, 1000},
    {"old bases", 2, 3000, 10, 30},
    {"many copies", 3, 50, 60, 100},
};

/* A random patch or a copy of an earlier one. */
static PhConfigRecord *
random_record(const PhRandomCase *c, PhRandom *r, const PhConfigLedger *l,
              GPtrArray *sent)
{
    uint64_t next = PhConfigLedger_Next(l);
    if (sent->len > 0 && PhRandom_Below(r, 100) < c->duplicate) {
        PhConfigRecord *first =
            g_ptr_array_index(sent, PhRandom_Below(r, sent->len));
        PhConfigPatch copy = PhConfigPatch_Copy(&first->patch);
        return PhConfigRecord_Create(next, 0, &copy);
    }
    char id[16];
    char path[32];
    uint64_t version = PhConfigState_Version(PhConfigLedger_State(l));
    g_snprintf(id, sizeof(id), "p%u", (unsigned)next);
    g_snprintf(path, sizeof(path), "teams.t%u.%s",
               (unsigned)PhRandom_Below(r, 40),
               PhRandom_Chance(r, 0.8) ? "share" : "quota.cpu_milli");
    PhConfigPatch patch = {.id = PhStr_Dup(PhStr_FromC(id)),
                           .base = version -
                                   MIN(version, PhRandom_Below(r, c->lag))};
    PhConfigPatch_Add(&patch,
                      PhRandom_Chance(r, 0.7) ? PH_CONFIG_CHANGE_SET
                                              : PH_CONFIG_CHANGE_DELETE,
                      PhStr_FromC(path), PhStr_LITERAL("5"));
    return PhConfigRecord_Create(next, 0, &patch);
}

/* Applies random patches: no id may be accepted twice, and a replica that
 * restarts from snapshots repeatedly must agree. */
static void
check_random(const PhRandomCase *c)
{
    PhRandom *r = PhRandom_Create(c->seed);
    GPtrArray *sent =
        g_ptr_array_new_with_free_func((GDestroyNotify)PhConfigRecord_Unref);
    GHashTable *accepted = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                                 PhStr_KeyDestroy, NULL);
    PhConfigLedger *l = PhConfigLedger_Create();
    PhConfigLedger *other = PhConfigLedger_Create();
    for (int i = 0; i < RANDOM_RECORDS; i++) {
        PhConfigRecord *record = random_record(c, r, l, sent);
        g_ptr_array_add(sent, record);
        const PhConfigVerdict *v = PhConfigLedger_Apply(l, record);
        if (v != NULL && v->status == PH_STATUS_OK) {
            assert_true(g_hash_table_add(accepted, PhStr_KeyCreate(v->id)));
        }
        PhConfigLedger_Apply(other, record);
        if (i % (RANDOM_RECORDS / RANDOM_SNAPSHOTS) == 0) {
            PhConfigSnapshot *s = PhConfigLedger_Snapshot(other);
            PhConfigLedger_Destroy(other);
            other = PhConfigLedger_Restore(s);
            PhConfigSnapshot_Unref(s);
        }
        assert_int_equal(PhConfigState_Digest(PhConfigLedger_State(l)),
                         PhConfigState_Digest(PhConfigLedger_State(other)));
    }
    assert_true(g_hash_table_size(accepted) >= c->accepted);
    g_hash_table_destroy(accepted);
    g_ptr_array_free(sent, TRUE);
    PhConfigLedger_Destroy(l);
    PhConfigLedger_Destroy(other);
    PhRandom_Destroy(r);
}

/* Guards against a copy that is applied again after its id has left the
 * window, and against replicas that diverge at a restart. */
static void
test_random_patches_on_two_replicas(void **state)
{
    (void)state;
    Ph_RUN_TABLE(random_cases, check_random);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_verdicts),
        cmocka_unit_test(test_race_outcome_in_any_order),
        cmocka_unit_test(test_random_patches_on_two_replicas),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
