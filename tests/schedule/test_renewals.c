/* An owner whose renewals are executed but not answered, and a follower, on a
 * simulated topic.  Guards against an ownership that is lost with an answer.
 */
#include "peridothill/decide/schedule/election.h"

#include "tests/table.h"

enum {
    PARTIES = 2,
    OWNER = 0,
    FOLLOWER = 1,
    ENTRIES_MAX = 256,
    START_MS = 1000,
    CLAIMED_MS = 2000, /* the owner has claimed */
    UNTIL_MS = 60000,
    CALL_TIMEOUT_MS = 1500, /* an append without an answer is given up */
};

typedef struct PhRenewalCase {
    const char *name;
    unsigned lost_every; /* so many renewals of the owner, 0: no answer is */
    int64_t latency_ms;  /* each way */
    int64_t late_ms;     /* the owner handles answers so much later, once it
                            has claimed */
    int64_t delay_ms;    /* of the follower */
} PhRenewalCase;

static const PhRenewalCase renewal_cases[] = {
    {"answered", 0, 5, 0, 40},
    {"one in three is not", 3, 5, 0, 40},
    {"one in two is not", 2, 5, 0, 40},
    {"none is answered", 1, 5, 0, 40},
    {"one in three is not, and the owner is late", 3, 5, 100, 40},
    {"none is answered, and the owner is late", 1, 5, 100, 40},
    {"one in three is not, by a slow store", 3, 100, 0, 40},
    {"none is answered, by a slow store", 1, 100, 0, 40},
};

/* A call in flight. */
typedef struct PhSimCall {
    bool active;
    PhElectionAction action;
    int64_t sent_ms;
    int64_t reply_ms; /* 0: not executed yet */
    bool done;        /* of an append: executed and answered */
    bool conflict;
    size_t end;
} PhSimCall;

typedef struct PhParty {
    PhElection *election;
    PhStr holder;
    PhSimCall read;
    PhSimCall append;
} PhParty;

typedef struct PhTopicSim {
    const PhRenewalCase *c;
    PhParty parties[PARTIES];
    PhElectionEntry entries[ENTRIES_MAX];
    size_t count;
    unsigned renewals; /* executed */
} PhTopicSim;

static void
append_execute(PhTopicSim *s, PhSimCall *call, PhStr holder, int64_t ms)
{
    const PhElectionAction *a = &call->action;
    call->conflict = a->as.append.at != s->count;
    call->done = !call->conflict;
    call->reply_ms = ms + s->c->latency_ms;
    if (call->conflict) {
        return;
    }
    assert_true(s->count < ENTRIES_MAX);
    s->entries[s->count] = (PhElectionEntry){.offset = s->count,
                                             .kind = a->as.append.kind,
                                             .holder = holder,
                                             .states_earlier = true,
                                             .earlier = a->as.append.earlier};
    call->end = ++s->count;
    if (a->as.append.kind == PH_ELECTION_RENEWAL && s->c->lost_every > 0 &&
        ++s->renewals % s->c->lost_every == 0) {
        call->done = false;
        call->reply_ms = call->sent_ms + CALL_TIMEOUT_MS;
    }
}

/* A read is answered once there is an entry, or its wait is over. */
static void
read_execute(const PhTopicSim *s, PhSimCall *call, int64_t ms)
{
    const PhElectionAction *a = &call->action;
    int64_t until =
        call->sent_ms + s->c->latency_ms + a->as.read.wait / PH_NS_PER_MS;
    if (s->count > a->as.read.from || ms >= until) {
        call->end = s->count;
        call->reply_ms = ms + s->c->latency_ms;
    }
}

static void
calls_execute(PhTopicSim *s, PhParty *p, int64_t ms)
{
    int64_t arrived = ms - s->c->latency_ms;
    if (p->append.active && p->append.reply_ms == 0 &&
        p->append.sent_ms <= arrived) {
        append_execute(s, &p->append, p->holder, ms);
    }
    if (p->read.active && p->read.reply_ms == 0 &&
        p->read.sent_ms <= arrived) {
        read_execute(s, &p->read, ms);
    }
}

static bool
reply_is_due(PhSimCall *call, int64_t late_ms, int64_t ms)
{
    bool due =
        call->active && call->reply_ms != 0 && call->reply_ms + late_ms <= ms;
    call->active = call->active && !due;
    return due;
}

static void
replies_handle(PhTopicSim *s, PhParty *p, int64_t late_ms, int64_t ms)
{
    PhTime now = ms * PH_NS_PER_MS;
    if (reply_is_due(&p->append, late_ms, ms)) {
        if (p->append.done) {
            PhElection_OnAppended(p->election, p->append.end, now);
        }
        else {
            PhElection_OnAppendFailed(p->election, p->append.conflict, now);
        }
    }
    if (reply_is_due(&p->read, late_ms, ms)) {
        size_t from = (size_t)p->read.action.as.read.from;
        PhElection_OnRead(p->election, &s->entries[from], p->read.end - from,
                          p->read.end, now);
    }
}

static void
actions_take(PhParty *p, int64_t ms)
{
    for (;;) {
        PhElectionAction a = PhElection_Next(p->election, ms * PH_NS_PER_MS);
        PhSimCall call = {.active = true, .action = a, .sent_ms = ms};
        switch (a.tag) {
        case PH_ELECTION_NOTHING:
            return;
        case PH_ELECTION_READ:
            p->read = call;
            break;
        case PH_ELECTION_APPEND:
            p->append = call;
            break;
        }
    }
}

static void
renewal_run(const PhRenewalCase *c)
{
    PhTopicSim s = {.c = c};
    s.parties[OWNER].holder = PhStr_LITERAL("owner.1");
    s.parties[FOLLOWER].holder = PhStr_LITERAL("follower.1");
    for (size_t i = 0; i < PARTIES; i++) {
        PhTime delay = i == FOLLOWER ? c->delay_ms * PH_NS_PER_MS : 0;
        s.parties[i].election =
            PhElection_Create(s.parties[i].holder, (PhStr){0}, delay);
    }
    for (int64_t ms = START_MS; ms < UNTIL_MS; ms++) {
        for (size_t i = 0; i < PARTIES; i++) {
            PhParty *p = &s.parties[i];
            bool late = i == OWNER && ms >= CLAIMED_MS;
            calls_execute(&s, p, ms);
            replies_handle(&s, p, late ? c->late_ms : 0, ms);
            actions_take(p, ms);
        }
    }
    size_t claims = 0;
    for (size_t i = 0; i < s.count; i++) {
        claims += s.entries[i].kind == PH_ELECTION_CLAIM;
    }
    print_message("#   %zu entries, %zu claims\n", s.count, claims);
    assert_int_equal(claims, 1);
    assert_int_equal(PhElection_Role(s.parties[OWNER].election),
                     PH_ELECTION_OWNER);
    for (size_t i = 0; i < PARTIES; i++) {
        PhElection_Destroy(s.parties[i].election);
    }
}

static void
test_renewals(void **state)
{
    (void)state;
    Ph_RUN_TABLE(renewal_cases, renewal_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_renewals)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
