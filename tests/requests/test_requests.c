#include "peridothill/codec/key_message.h"
#include "script.h"
#include "tests/table.h"

static const PhScriptCase once_cases[] = {
    {"reset after sending is unknown and not retried",
     "arrive POST /booking; send first fresh; reply reset;"
     "refuse upstream-reset unknown; wait 5000"},
    {"attempt proved not sent is retried",
     "arrive POST /booking; send first fresh; reply connect unsent; wait 100;"
     "send retry-connect fresh; reply answered 201; answer"},
    {"two attempts proved not sent give not-run without budget",
     "arrive POST /booking; send first fresh; reply connect unsent; wait 100;"
     "send retry-connect fresh; reply connect unsent; note no-budget;"
     "refuse connect-failed not-run"},
    {"one attempt that may have been sent makes the outcome unknown",
     "arrive POST /booking; send first fresh; reply connect unsent; wait 100;"
     "send retry-connect fresh; reply truncated;"
     "refuse upstream-truncated unknown"},
    {"connect failure without proof is not retried",
     "arrive POST /booking; send first fresh; reply connect;"
     "refuse connect-failed unknown"},
    {"503 of a worker is forwarded", "arrive POST /booking; send first fresh;"
                                     "reply answered 503; answer"},
    {"path configured as idempotent is retried",
     "arrive POST /booking/quote/7; send first; reply reset; wait 100;"
     "send retry-reset fresh; reply answered 200; answer"},
    {"idempotent prefix matches whole segments only",
     "arrive POST /booking/quotes; send first fresh; reply reset;"
     "refuse upstream-reset unknown"},
    {"unknown method is not idempotent",
     "arrive PATCH /booking/quote; send first fresh; reply reset;"
     "refuse upstream-reset unknown"},
    {"answer after the deadline is dropped",
     "arrive POST /booking; send first fresh; wait 2000; cancel;"
     "refuse deadline-in-flight unknown; reply answered 200; note late"},
    {"disconnect of the caller cancels the attempt",
     "arrive GET /booking; send first; disconnect; cancel; note disconnected;"
     "reply cancelled; wait 5000"},
    {"second reply of an attempt is dropped",
     "arrive GET /booking; send first; reply answered 200; answer;"
     "reply answered 200; note late"},
    {"late answer of an earlier attempt is dropped",
     "arrive GET /booking; send first; reply first-byte; wait 100;"
     "send retry-first-byte fresh; reply-earlier answered 200; note late;"
     "reply answered 200; answer"},
};

static const PhScriptCase refusal_cases[] = {
    {"no configuration yet",
     "bare; arrive GET /booking; refuse no-config not-run"},
    {"no service for the path", "arrive GET /x; refuse no-service not-run"},
    {"service prefix matches whole segments only",
     "arrive GET /bookings; refuse no-service not-run"},
    {"malformed header",
     "arrive GET /booking bad; refuse bad-request not-run"},
    {"body too large",
     "arrive PUT /none bytes=11; refuse body-too-large not-run"},
    {"no worker for the service",
     "arrive GET /none; refuse no-worker not-run"},
    {"no time left for a retry",
     "arrive GET /booking budget=4; send first; reply connect unsent;"
     "note no-time; refuse connect-failed not-run"},
    {"oversized answer is not retried",
     "arrive GET /booking; send first; reply too-large;"
     "refuse upstream-too-large unknown"},
    {"first byte timed out twice",
     "arrive GET /booking; send first; reply first-byte; wait 100;"
     "send retry-first-byte fresh; reply first-byte; note no-budget;"
     "refuse first-byte-timeout unknown"},
    {"truncated answer is not forwarded",
     "arrive GET /booking; send first; reply truncated; wait 100;"
     "send retry-truncated; reply truncated; note no-budget;"
     "refuse upstream-truncated unknown"},
    {"caller's deadline is shorter than the policy's",
     "arrive GET /booking budget=30; send first; wait 30; cancel;"
     "refuse deadline-in-flight unknown; reply cancelled"},
    {"503 is retried, then forwarded without budget",
     "arrive GET /booking; send first; reply answered 503; wait 100;"
     "send retry-status; reply answered 503; note no-budget; answer"},
    {"winning hedge cancels the first attempt",
     "arrive GET /quote; send first; wait 50; send hedge;"
     "reply answered 200; note hedge-won; answer; cancel;"
     "reply-earlier cancelled"},
    {"failed hedge leaves the first attempt running",
     "arrive GET /quote; send first; wait 50; send hedge; reply reset;"
     "reply-earlier answered 200; answer"},
    {"non-idempotent request is not hedged",
     "arrive POST /quote; send first fresh; wait 500; reply answered 200;"
     "answer"},
    {"repeated key while the first request is in flight",
     "members A; wait 1000;"
     "arrive POST /booking key=k;"
     "send first fresh; arrive POST /booking"
     " key=k; refuse key-repeated unknown"},
};

/* FAIL is a request whose worker resets the connection; after five of them,
 * one of two workers has failed three times. SLOW is answered after 400 ms.
 * FILL occupies the slots of one worker. */
#define FAIL                                                                  \
    "arrive POST /quote; send first fresh; reply reset;"                      \
    "refuse upstream-reset unknown;"
#define SLOW                                                                  \
    "arrive GET /booking; send first; wait 400; reply answered 200; answer;"
#define FILL                                                                  \
    "arrive GET /booking; send first; arrive GET /booking; send first;"       \
    "arrive GET /booking; send first; arrive GET /booking; send first;"       \
    "arrive GET /booking; send first;"

static const PhScriptCase overload_cases[] = {
    {"worker is ejected after three consecutive failures",
     "workers 2;" FAIL FAIL FAIL FAIL
     "arrive POST /quote; send first fresh; reply reset; note ejected;"
     "refuse upstream-reset unknown; wait 700; arrive GET /quote;"
     "send first; reply answered 200; note readmitted; answer"},
    {"failed probe starts a new cooldown",
     "workers 2;" FAIL FAIL FAIL FAIL
     "arrive POST /quote; send first fresh; reply reset; note ejected;"
     "refuse upstream-reset unknown; wait 700; arrive GET /quote;"
     "send first; reply too-large; refuse upstream-too-large unknown;"
     "arrive GET /quote; send first; reply answered 500; note ejected;"
     "answer"},
    {"only worker is never ejected",
     "workers 1;" FAIL FAIL FAIL FAIL FAIL FAIL "wait 5000"},
    {"deadline passes in the queue",
     "workers 1;" FILL "arrive GET /booking budget=100; wait 100;"
     "refuse deadline-passed not-run"},
    {"request that cannot meet its deadline is not sent",
     "workers 1;" SLOW FILL "arrive GET /booking budget=500; wait 300;"
     "reply answered 200; answer; refuse deadline-too-short not-run"},
    {"queue full", "workers 1;" FILL "flood 1024; arrive GET /booking;"
                   "refuse queue-full not-run; arrive GET /quote"},
};

static const PhScriptCase key_cases[] = {
    {"membership unknown",
     "arrive POST /booking key=k; refuse key-unclear not-run"},
    {"no replica is as old as the window",
     "members A; arrive POST /booking key=k; refuse key-unclear not-run"},
    {"key of a request that was not run is freed",
     "members A; wait 1000; arrive POST /booking key=k budget=4;"
     "send first fresh; reply connect unsent; note no-time;"
     "refuse connect-failed not-run; arrive POST /booking key=k;"
     "send first fresh; reply answered 200; answer"},
    {"key of a request that ran is kept",
     "members A; wait 1000; arrive POST /booking key=k; send first fresh;"
     "reply answered 200; answer; arrive POST /booking key=k;"
     "refuse key-repeated unknown"},
    {"key expires after the window",
     "members A; wait 1000; arrive POST /booking key=k; send first fresh;"
     "reply answered 200; answer; wait 1000; arrive POST /booking key=k;"
     "send first fresh; reply answered 200; answer"},
    {"keys are scoped to a service",
     "members A; wait 1000; arrive POST /booking key=k; send first fresh;"
     "reply answered 200; answer; arrive POST /quote key=k;"
     "send first fresh; reply answered 200; answer"},
    {"both replicas are claimed",
     "members AB; wait 1000; arrive POST /booking key=k; claim B;"
     "verdict granted; send first fresh; reply answered 200; answer"},
    {"other replica holds the key",
     "members AB; wait 1000; arrive POST /booking key=k; claim B;"
     "verdict repeated; release B; refuse key-repeated unknown;"
     "members A; wait 1000; arrive POST /booking key=k; send first fresh"},
    {"other replica does not reply",
     "members AB; wait 1000; arrive POST /booking key=k; claim B; wait 500;"
     "release B; refuse key-unclear not-run; verdict granted"},
    {"claim by another instance",
     "members AC; wait 1000; claimed k; claim-answer granted; claimed k; "
     "claim-answer repeated;"
     "released k; claimed k; claim-answer granted"},
    {"claim at an instance that is not a replica",
     "members CD; wait 1000; claimed k; claim-answer unclear"},
    {"new replica does not confirm",
     "members CD; wait 1000; members A; claimed k; claim-answer unconfirmed; "
     "wait 1000;"
     "released k; claimed k; claim-answer granted"},
    {"no replica confirms after both changed",
     "members CD; wait 1000; members AB; arrive POST /booking key=k; claim B;"
     "verdict unconfirmed; release B; refuse key-unclear not-run"},
    {"one replica confirms",
     "members CD; wait 1000; members AB; arrive POST /booking key=k; claim B;"
     "verdict granted; send first fresh; reply answered 200; answer"},
    {"minority side of a partition grants nothing",
     "members ABC; wait 1000; members Abc; wait 1000; claimed k;"
     "claim-answer unclear"},
    {"half of the members is not a majority",
     "members AB; wait 1000; members Ab; wait 1000; claimed k; claim-answer "
     "unclear"},
    {"majority side grants again after the window",
     "members ABC; wait 1000; members ABc; wait 1000; claimed k;"
     "claim-answer granted"},
    {"key of an idempotent request is ignored",
     "arrive PUT /booking key=k; send first; reply answered 200; answer"},
};

static const PhScriptCase leaving_cases[] = {
    {"leaving worker gets no new requests",
     "leave 1; arrive GET /booking; refuse no-worker not-run"},
    {"all new requests go to the other workers",
     "leave 2; arrive GET /booking; send first; arrive GET /booking;"
     "send first; arrive GET /booking; send first; arrive GET /booking;"
     "send first"},
    {"request in flight at a leaving worker finishes",
     "workers 1; arrive GET /booking; send first; leave 1;"
     "reply answered 200; answer; arrive GET /booking;"
     "refuse no-worker not-run"},
    {"retry avoids a leaving worker",
     "workers 1; arrive GET /booking; send first; leave 2; reply reset;"
     "wait 100; send retry-reset fresh; reply answered 200; answer"},
    {"worker removed from the list",
     "workers 1; arrive GET /booking; send first; workers 0;"
     "reply answered 200; answer; arrive GET /booking;"
     "refuse no-worker not-run; workers 1; arrive GET /booking; send first"},
    {"stop with nothing in flight",
     "stop; wait 1000; quiesce; drained; stop; wait 5000"},
    {"requests are accepted until the notice ends",
     "stop; wait 500; arrive GET /booking; send first; wait 500; quiesce;"
     "arrive GET /booking; refuse stopping not-run; reply answered 200;"
     "answer; drained"},
    {"drain is bounded by the deadline of a request in flight",
     "arrive POST /booking; send first fresh; stop; stop; wait 1000; quiesce;"
     "wait 1000; cancel; refuse deadline-in-flight unknown;"
     "reply cancelled; drained"},
};

/* Guards against executing a non-idempotent request twice. */
static void
test_once(void **state)
{
    (void)state;
    Ph_RUN_TABLE(once_cases, PhScript_Check);
}

/* Guards against a wrong refusal reason, outcome or retry decision. */
static void
test_refusals(void **state)
{
    (void)state;
    Ph_RUN_TABLE(refusal_cases, PhScript_Check);
}

/* Guards against sending to failing workers and serving requests past their
 * deadline. */
static void
test_overload(void **state)
{
    (void)state;
    Ph_RUN_TABLE(overload_cases, PhScript_Check);
}

/* A payload and whether it is valid. */
typedef struct PhWireCase {
    const char *name;
    PhStr payload;
    bool valid;
} PhWireCase;

static const PhWireCase wire_cases[] = {
    {"claim", {"\x84\x01\x01\x02\x07\x03\xc4\x01k\x04\x00", 11}, true},
    {"empty", {"", 0}, false},
    {"truncated", {"\x84\x01\x01\x02\x07\x03\xc4\x01", 8}, false},
    {"unknown tag", {"\x84\x01\x09\x02\x07\x03\xc4\x01k\x04\x00", 11}, false},
    {"unknown verdict",
     {"\x84\x01\x02\x02\x07\x03\xc4\x01k\x04\x09", 11},
     false},
    {"no key", {"\x83\x01\x01\x02\x07\x04\x00", 7}, false},
    {"map count beyond the payload", {"\xdf\xff\xff\xff\xff", 5}, false},
};

/* Decodes a payload; a valid one must encode to the same bytes. */
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

/* Guards against accepting malformed key messages from other instances. */
static void
test_wire(void **state)
{
    (void)state;
    Ph_RUN_TABLE(wire_cases, check_wire);
}

/* Guards against two requests running under one idempotency key. */
static void
test_keys(void **state)
{
    (void)state;
    Ph_RUN_TABLE(key_cases, PhScript_Check);
}

/* Guards against new requests to leaving workers and a drain that loses
 * requests. */
static void
test_leaving(void **state)
{
    (void)state;
    Ph_RUN_TABLE(leaving_cases, PhScript_Check);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_once),     cmocka_unit_test(test_refusals),
        cmocka_unit_test(test_overload), cmocka_unit_test(test_keys),
        cmocka_unit_test(test_wire),     cmocka_unit_test(test_leaving),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
