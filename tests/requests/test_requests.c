#include "peridothill/codec/key_message.h"
#include "script.h"
#include "tests/table.h"

static const PhScriptCase once_cases[] = {
    {"a reset after the send is unknown and not repeated",
     "arrive POST /booking; send first fresh; reply reset;"
     "refuse upstream-reset unknown; wait 5000"},
    {"proof of not sent allows another attempt",
     "arrive POST /booking; send first fresh; reply connect unsent; wait 100;"
     "send retry-connect fresh; reply answered 201; answer"},
    {"two proofs of not sent give not-run once the budget is gone",
     "arrive POST /booking; send first fresh; reply connect unsent; wait 100;"
     "send retry-connect fresh; reply connect unsent; note no-budget;"
     "refuse connect-failed not-run"},
    {"one attempt that may have left makes the rest unknown",
     "arrive POST /booking; send first fresh; reply connect unsent; wait 100;"
     "send retry-connect fresh; reply truncated;"
     "refuse upstream-truncated unknown"},
    {"a connect failure without proof is not repeated",
     "arrive POST /booking; send first fresh; reply connect;"
     "refuse connect-failed unknown"},
    {"503 of a worker is passed on", "arrive POST /booking; send first fresh;"
                                     "reply answered 503; answer"},
    {"a path is idempotent by configuration",
     "arrive POST /booking/quote/7; send first; reply reset; wait 100;"
     "send retry-reset fresh; reply answered 200; answer"},
    {"a prefix ends at a path segment",
     "arrive POST /booking/quotes; send first fresh; reply reset;"
     "refuse upstream-reset unknown"},
    {"an unknown method is not idempotent",
     "arrive PATCH /booking/quote; send first fresh; reply reset;"
     "refuse upstream-reset unknown"},
    {"a late answer reaches nobody",
     "arrive POST /booking; send first fresh; wait 2000; cancel;"
     "refuse deadline-in-flight unknown; reply answered 200; note late"},
    {"a caller that goes away cancels its work",
     "arrive GET /booking; send first; gone; cancel; note gone;"
     "reply cancelled; wait 5000"},
    {"a reply that no attempt waits for is dropped",
     "arrive GET /booking; send first; reply answered 200; answer;"
     "reply answered 200; note late"},
    {"a late answer after a retry is dropped",
     "arrive GET /booking; send first; reply first-byte; wait 100;"
     "send retry-first-byte fresh; late answered 200; note late;"
     "reply answered 200; answer"},
};

static const PhScriptCase refusal_cases[] = {
    {"before the configuration",
     "bare; arrive GET /booking; refuse no-config not-run"},
    {"no service has the path", "arrive GET /x; refuse no-service not-run"},
    {"prefixes end at a segment",
     "arrive GET /bookings; refuse no-service not-run"},
    {"a header that cannot be read",
     "arrive GET /booking bad; refuse bad-request not-run"},
    {"the body is too large",
     "arrive PUT /none bytes=11; refuse body-too-large not-run"},
    {"no worker serves it", "arrive GET /none; refuse no-worker not-run"},
    {"connect failures use up the time",
     "arrive GET /booking budget=4; send first; reply connect unsent;"
     "note no-time; refuse connect-failed not-run"},
    {"too large an answer is not asked for again",
     "arrive GET /booking; send first; reply too-large;"
     "refuse upstream-too-large unknown"},
    {"no first byte twice",
     "arrive GET /booking; send first; reply first-byte; wait 100;"
     "send retry-first-byte fresh; reply first-byte; note no-budget;"
     "refuse first-byte-timeout unknown"},
    {"a truncated answer is not passed on",
     "arrive GET /booking; send first; reply truncated; wait 100;"
     "send retry-truncated; reply truncated; note no-budget;"
     "refuse upstream-truncated unknown"},
    {"the caller's deadline is shorter",
     "arrive GET /booking budget=30; send first; wait 30; cancel;"
     "refuse deadline-in-flight unknown; reply cancelled"},
    {"status of a failing worker, with and without a retry",
     "arrive GET /booking; send first; reply answered 503; wait 100;"
     "send retry-status; reply answered 503; note no-budget; answer"},
    {"a hedge that wins cancels the other",
     "arrive GET /quote; send first; wait 50; send hedge;"
     "reply answered 200; note hedge-won; answer; cancel;"
     "late cancelled"},
    {"a hedge that fails leaves the first",
     "arrive GET /quote; send first; wait 50; send hedge; reply reset;"
     "late answered 200; answer"},
    {"what is not idempotent is not hedged",
     "arrive POST /quote; send first fresh; wait 500; reply answered 200;"
     "answer"},
    {"a repeated claim of an id", "members A; wait 1000;"
                                  "arrive POST /booking key=k;"
                                  "send first fresh; arrive POST /booking"
                                  " key=k; refuse key-repeated unknown"},
};

/* A request that its worker fails (of five, one of two workers has three), and
 * one that it answers after 400 ms. */
#define FAIL                                                                  \
    "arrive POST /quote; send first fresh; reply reset;"                      \
    "refuse upstream-reset unknown;"
#define SLOW                                                                  \
    "arrive GET /booking; send first; wait 400; reply answered 200; answer;"
#define FILL                                                                  \
    "arrive GET /booking; send first; arrive GET /booking; send first;"       \
    "arrive GET /booking; send first; arrive GET /booking; send first;"       \
    "arrive GET /booking; send first;"

static const PhScriptCase pressure_cases[] = {
    {"a worker that fails three times in a row cools down",
     "workers 2;" FAIL FAIL FAIL FAIL
     "arrive POST /quote; send first fresh; reply reset; note ejected;"
     "refuse upstream-reset unknown; wait 700; arrive GET /quote;"
     "send first; reply answered 200; note readmitted; answer"},
    {"a failed probe starts the cooldown again",
     "workers 2;" FAIL FAIL FAIL FAIL
     "arrive POST /quote; send first fresh; reply reset; note ejected;"
     "refuse upstream-reset unknown; wait 700; arrive GET /quote;"
     "send first; reply too-large; refuse upstream-too-large unknown;"
     "arrive GET /quote; send first; reply answered 500; note ejected;"
     "answer"},
    {"a lone worker is never ejected",
     "workers 1;" FAIL FAIL FAIL FAIL FAIL FAIL "wait 5000"},
    {"the deadline passes in the queue",
     "workers 1;" FILL "arrive GET /booking budget=100; wait 100;"
     "refuse deadline-passed not-run"},
    {"what would be late is not sent",
     "workers 1;" SLOW FILL "arrive GET /booking budget=500; wait 300;"
     "reply answered 200; answer; refuse deadline-too-short not-run"},
    {"a full queue", "workers 1;" FILL "flood 1024; arrive GET /booking;"
                     "refuse queue-full not-run; arrive GET /quote"},
};

static const PhScriptCase key_cases[] = {
    {"members are not known",
     "arrive POST /booking key=k; refuse key-unclear not-run"},
    {"no home is as old as the window",
     "members A; arrive POST /booking key=k; refuse key-unclear not-run"},
    {"a key that did not run is free again",
     "members A; wait 1000; arrive POST /booking key=k budget=4;"
     "send first fresh; reply connect unsent; note no-time;"
     "refuse connect-failed not-run; arrive POST /booking key=k;"
     "send first fresh; reply answered 200; answer"},
    {"a key that ran is not free",
     "members A; wait 1000; arrive POST /booking key=k; send first fresh;"
     "reply answered 200; answer; arrive POST /booking key=k;"
     "refuse key-repeated unknown"},
    {"a key is free after the window",
     "members A; wait 1000; arrive POST /booking key=k; send first fresh;"
     "reply answered 200; answer; wait 1000; arrive POST /booking key=k;"
     "send first fresh; reply answered 200; answer"},
    {"a key counts for its service",
     "members A; wait 1000; arrive POST /booking key=k; send first fresh;"
     "reply answered 200; answer; arrive POST /quote key=k;"
     "send first fresh; reply answered 200; answer"},
    {"both homes are asked",
     "members AB; wait 1000; arrive POST /booking key=k; claim B;"
     "verdict granted; send first fresh; reply answered 200; answer"},
    {"the other home knows the key",
     "members AB; wait 1000; arrive POST /booking key=k; claim B;"
     "verdict repeated; release B; refuse key-repeated unknown;"
     "members A; wait 1000; arrive POST /booking key=k; send first fresh"},
    {"the other home does not answer",
     "members AB; wait 1000; arrive POST /booking key=k; claim B; wait 500;"
     "release B; refuse key-unclear not-run; verdict granted"},
    {"the claim of another instance",
     "members AC; wait 1000; asked k; told granted; asked k; told repeated;"
     "released k; asked k; told granted"},
    {"a claim at an instance that is no home",
     "members CD; wait 1000; asked k; told unclear"},
    {"a new home does not vouch",
     "members CD; wait 1000; members A; asked k; told unvouched; wait 1000;"
     "released k; asked k; told granted"},
    {"no home vouches after both changed",
     "members CD; wait 1000; members AB; arrive POST /booking key=k; claim B;"
     "verdict unvouched; release B; refuse key-unclear not-run"},
    {"one home vouches",
     "members CD; wait 1000; members AB; arrive POST /booking key=k; claim B;"
     "verdict granted; send first fresh; reply answered 200; answer"},
    {"the smaller side of a partition grants nothing",
     "members ABC; wait 1000; members Abc; wait 1000; asked k;"
     "told unclear"},
    {"half of the members is no majority",
     "members AB; wait 1000; members Ab; wait 1000; asked k; told unclear"},
    {"the greater side goes on once the window has passed",
     "members ABC; wait 1000; members ABc; wait 1000; asked k;"
     "told granted"},
    {"idempotent requests need no key",
     "arrive PUT /booking key=k; send first; reply answered 200; answer"},
};

static const PhScriptCase leaving_cases[] = {
    {"a worker that leaves gets no new work",
     "leave 1; arrive GET /booking; refuse no-worker not-run"},
    {"all new work goes to the others",
     "leave 2; arrive GET /booking; send first; arrive GET /booking;"
     "send first; arrive GET /booking; send first; arrive GET /booking;"
     "send first"},
    {"what is in flight there finishes",
     "workers 1; arrive GET /booking; send first; leave 1;"
     "reply answered 200; answer; arrive GET /booking;"
     "refuse no-worker not-run"},
    {"a retry goes elsewhere",
     "workers 1; arrive GET /booking; send first; leave 2; reply reset;"
     "wait 100; send retry-reset fresh; reply answered 200; answer"},
    {"a worker that is gone from the list",
     "workers 1; arrive GET /booking; send first; workers 0;"
     "reply answered 200; answer; arrive GET /booking;"
     "refuse no-worker not-run; workers 1; arrive GET /booking; send first"},
    {"a stop with nothing in flight",
     "stop; wait 1000; quiesce; drained; stop; wait 5000"},
    {"requests are taken until the notice ends",
     "stop; wait 500; arrive GET /booking; send first; wait 500; quiesce;"
     "arrive GET /booking; refuse stopping not-run; reply answered 200;"
     "answer; drained"},
    {"a request in flight is bounded by its deadline",
     "arrive POST /booking; send first fresh; stop; stop; wait 1000; quiesce;"
     "wait 1000; cancel; refuse deadline-in-flight unknown;"
     "reply cancelled; drained"},
};

/* A non-idempotent request is sent at most once. */
static void
test_once(void **state)
{
    (void)state;
    Ph_RUN_TABLE(once_cases, PhScript_Check);
}

/* Each refusal and each reason of a retry. */
static void
test_refusals(void **state)
{
    (void)state;
    Ph_RUN_TABLE(refusal_cases, PhScript_Check);
}

/* Cooldown, deadlines and full queues. */
static void
test_pressure(void **state)
{
    (void)state;
    Ph_RUN_TABLE(pressure_cases, PhScript_Check);
}

/* A payload and whether it can be read. */
typedef struct PhWireCase {
    const char *name;
    PhStr payload;
    bool valid;
} PhWireCase;

static const PhWireCase wire_cases[] = {
    {"claim", {"\x84\x01\x01\x02\x07\x03\xc4\x01k\x04\x00", 11}, true},
    {"empty", {"", 0}, false},
    {"cut", {"\x84\x01\x01\x02\x07\x03\xc4\x01", 8}, false},
    {"unknown tag", {"\x84\x01\x09\x02\x07\x03\xc4\x01k\x04\x00", 11}, false},
    {"unknown verdict",
     {"\x84\x01\x02\x02\x07\x03\xc4\x01k\x04\x09", 11},
     false},
    {"no key", {"\x83\x01\x01\x02\x07\x04\x00", 7}, false},
    {"huge count", {"\xdf\xff\xff\xff\xff", 5}, false},
};

/* Reads one payload, and writes it again. */
static void
check_wire(const PhWireCase *c)
{
    PhKeyMessage message;
    PhBuf again = {0};
    assert_int_equal(PhKeyMessage_Decode(c->payload, &message), c->valid);
    if (c->valid) {
        PhKeyMessage_Encode(&message, &again);
        assert_true(PhStr_Equal(PhBuf_Str(&again), c->payload));
    }
    PhStr_Clear(&message.key);
    PhBuf_Clear(&again);
}

/* Messages about keys between instances. */
static void
test_wire(void **state)
{
    (void)state;
    Ph_RUN_TABLE(wire_cases, check_wire);
}

/* Idempotency keys. */
static void
test_keys(void **state)
{
    (void)state;
    Ph_RUN_TABLE(key_cases, PhScript_Check);
}

/* Workers and instances that leave. */
static void
test_leaving(void **state)
{
    (void)state;
    Ph_RUN_TABLE(leaving_cases, PhScript_Check);
}

/* Runs the tests. */
int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_once),     cmocka_unit_test(test_refusals),
        cmocka_unit_test(test_pressure), cmocka_unit_test(test_keys),
        cmocka_unit_test(test_wire),     cmocka_unit_test(test_leaving),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
