/* Guards against a budget that closes ordinary clients instead of those that
 * hold many bytes and make no progress, and against bytes that are counted
 * wrongly. */
#include "peridothill/decide/requests/receive_budget.h"

#include <glib.h>

#include "tests/table.h"

enum {
    RECEIVERS_MAX = 6,
    LIMIT_BYTES = 1000,
    SENDER = 0, /* place of the one that sends */
};

static const PhTime NOW = 100 * PH_NS_PER_S;

/* A connection at the time of the decision. */
typedef struct PhRow {
    PhReceiverStage stage;
    size_t bytes;
    PhTime stalled; /* since its last progress */
} PhRow;

typedef struct PhBudgetCase {
    const char *name;
    PhRow rows[RECEIVERS_MAX];
    size_t extra;
    PhReceiveTag tag;          /* of the last decision */
    int closed[RECEIVERS_MAX]; /* others that were closed, in order; -1 ends
                                  the list */
    uint64_t used;             /* afterwards, without the extra bytes */
} PhBudgetCase;

#define S PH_NS_PER_S
#define MS PH_NS_PER_MS
#define NONE                                                                  \
    {                                                                         \
        -1                                                                    \
    }
#define RECEIVING PH_RECEIVER_RECEIVING
#define WAITING PH_RECEIVER_WAITING
#define ANSWERING PH_RECEIVER_ANSWERING

static const PhBudgetCase cases[] = {
    {"room for all",
     {{RECEIVING, 100, 0}, {RECEIVING, 800, 9 * S}},
     100,
     PH_RECEIVE_STORE,
     NONE,
     900},
    {"one byte too many: a crowd that stops short of the end",
     {{RECEIVING, 100, 0}, {RECEIVING, 450, 2 * S}, {RECEIVING, 450, 3 * S}},
     1,
     PH_RECEIVE_STORE,
     {2, -1},
     550},
    {"an ordinary client sends while a crowd of drippers holds the budget",
     {{RECEIVING, 10, 20 * MS},
      {RECEIVING, 330, 90 * MS},
      {RECEIVING, 330, 30 * MS},
      {RECEIVING, 330, 60 * MS}},
     200,
     PH_RECEIVE_STORE,
     {1, -1},
     670},
    {"not the one that came last",
     {{RECEIVING, 0, 0}, {RECEIVING, 500, 5 * S}, {RECEIVING, 500, 1 * MS}},
     100,
     PH_RECEIVE_STORE,
     {1, -1},
     500},
    {"small and silent for long goes after large and silent for less",
     {{RECEIVING, 0, 0}, {RECEIVING, 10, 50 * S}, {RECEIVING, 900, 1 * S}},
     200,
     PH_RECEIVE_STORE,
     {2, -1},
     10},
    {"one by one until the bytes fit",
     {{RECEIVING, 0, 0},
      {RECEIVING, 300, 1 * S},
      {RECEIVING, 300, 3 * S},
      {RECEIVING, 300, 2 * S}},
     650,
     PH_RECEIVE_STORE,
     {2, 3, -1},
     300},
    {"all at the same moment: more bytes first",
     {{RECEIVING, 100, 0}, {RECEIVING, 200, 0}, {RECEIVING, 700, 0}},
     1,
     PH_RECEIVE_STORE,
     {2, -1},
     300},
    {"the sender was silent, but has just sent: the one that has not",
     {{RECEIVING, 800, 9 * S}, {RECEIVING, 100, 1 * S}, {RECEIVING, 100, 0}},
     100,
     PH_RECEIVE_STORE,
     {1, -1},
     900},
    {"the sender is itself the worst: all have just sent, it holds most",
     {{RECEIVING, 700, 9 * S}, {RECEIVING, 200, 0}, {RECEIVING, 100, 0}},
     100,
     PH_RECEIVE_CLOSE_SENDER,
     NONE,
     300},
    {"requests that wait for their answer are not closed",
     {{RECEIVING, 10, 0}, {WAITING, 900, 9 * S}, {RECEIVING, 90, 1 * S}},
     50,
     PH_RECEIVE_STORE,
     {2, -1},
     910},
    {"only requests that wait: the sender is closed",
     {{RECEIVING, 0, 0}, {WAITING, 500, 9 * S}, {WAITING, 500, 9 * S}},
     50,
     PH_RECEIVE_CLOSE_SENDER,
     NONE,
     1000},
    {"an answer that is not read",
     {{RECEIVING, 10, 0}, {ANSWERING, 600, 4 * S}, {RECEIVING, 390, 1 * S}},
     50,
     PH_RECEIVE_STORE,
     {1, -1},
     400},
    {"more than the budget at once",
     {{RECEIVING, 0, 0}, {RECEIVING, 100, 1 * S}},
     LIMIT_BYTES + 1,
     PH_RECEIVE_CLOSE_SENDER,
     NONE,
     100},
    {"idle connections hold nothing and are kept",
     {{RECEIVING, 900, 1 * MS}, {RECEIVING, 0, 50 * S}},
     200,
     PH_RECEIVE_CLOSE_SENDER,
     NONE,
     0},
};

static void
budget_run(const PhBudgetCase *c)
{
    PhReceiveBudget *b = PhReceiveBudget_Create(LIMIT_BYTES);
    PhReceiver receivers[RECEIVERS_MAX] = {0};
    for (int i = 0; i < RECEIVERS_MAX; i++) {
        PhReceiveBudget_Add(b, &receivers[i]);
        PhReceiveBudget_Set(b, &receivers[i], c->rows[i].stage,
                            c->rows[i].bytes, NOW - c->rows[i].stalled);
    }
    int closed = 0;
    PhReceiveDecision d =
        PhReceiveBudget_Decide(b, &receivers[SENDER], c->extra, NOW);
    while (d.tag == PH_RECEIVE_CLOSE_OTHER) {
        assert_true(closed < RECEIVERS_MAX);
        assert_ptr_equal(d.as.other, &receivers[c->closed[closed]]);
        closed++;
        d = PhReceiveBudget_Decide(b, &receivers[SENDER], c->extra, NOW);
    }
    assert_int_equal(d.tag, c->tag);
    assert_int_equal(c->closed[closed], -1);
    assert_int_equal(PhReceiveBudget_Used(b), c->used);
    /* Nothing is counted any more once all have gone, in whatever order. */
    for (int i = 0; i < RECEIVERS_MAX; i++) {
        PhReceiveBudget_Remove(b, &receivers[(i + 2) % RECEIVERS_MAX]);
    }
    assert_int_equal(PhReceiveBudget_Used(b), 0);
    PhReceiveBudget_Destroy(b);
}

static void
test_decisions(void **state)
{
    (void)state;
    Ph_RUN_TABLE(cases, budget_run);
}

typedef struct PhDeriveCase {
    const char *name;
    uint64_t receive_budget;
    uint64_t memory;
    uint64_t bytes;
} PhDeriveCase;

static const PhDeriveCase derive_cases[] = {
    {"nothing set: no budget", 0, 0, 0},
    {"smallest machine", 0, UINT64_C(160) << 20, UINT64_C(40) << 20},
    {"set", UINT64_C(8) << 20, UINT64_C(64) << 20, UINT64_C(8) << 20},
};

static void
derive_run(const PhDeriveCase *c)
{
    assert_int_equal(PhReceiveBudget_Derive(c->receive_budget, c->memory),
                     c->bytes);
}

static void
test_derive(void **state)
{
    (void)state;
    Ph_RUN_TABLE(derive_cases, derive_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_decisions),
        cmocka_unit_test(test_derive),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
