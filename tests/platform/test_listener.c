#include "peridothill/services/listener.h"

#include <string.h>

#include "listener_rig.h"
#include "tests/table.h"

enum {
    STEPS_MAX = 10,
    RUN_STEPS = 10,
    SWEEP_STEPS = 110, /* longer than between two sweeps of the listener */
};

static const char LINE[] = "POST /a HTTP/1.1\r\n";
static const char HEADERS[] = "Host: a\r\nContent-Length: 4\r\n\r\nbo";
static const char BODY[] = "dy";

/* What a caller and the owner of the listener do, one after the other.  The
 * event loop runs only where a step says so. */
typedef enum PhStopStep {
    STEP_NONE,
    STEP_OPEN,
    STEP_SEND_LINE,
    STEP_SEND_HEADERS,
    STEP_SEND_BODY,
    STEP_SEND_ALL,
    STEP_RUN,
    STEP_RUN_PAST_SWEEP,
    STEP_CLOSE_AFTER_ANSWERS,
    STEP_QUIESCE,
    STEP_ANSWER,
} PhStopStep;

/* How a caller's connection ends. */
typedef enum PhStopEnd {
    END_CLOSED,   /* or reset, without an answer */
    END_ANSWERED, /* then closed */
} PhStopEnd;

typedef struct PhStopCase {
    const char *name;
    PhStopStep steps[STEPS_MAX];
    bool read; /* the whole request was delivered */
    PhStopEnd end;
} PhStopCase;

static const PhStopCase stop_cases[] = {
    {"idle connection",
     {STEP_OPEN, STEP_RUN_PAST_SWEEP, STEP_QUIESCE, STEP_RUN},
     false,
     END_CLOSED},
    {"request on its way as the connection is closed",
     {STEP_OPEN, STEP_RUN_PAST_SWEEP, STEP_QUIESCE, STEP_SEND_ALL, STEP_RUN,
      STEP_ANSWER},
     false,
     END_CLOSED},
    {"connection opened a moment ago",
     {STEP_OPEN, STEP_RUN, STEP_QUIESCE, STEP_RUN, STEP_SEND_ALL, STEP_RUN,
      STEP_ANSWER},
     true,
     END_ANSWERED},
    {"request arrived and not read yet",
     {STEP_OPEN, STEP_RUN_PAST_SWEEP, STEP_SEND_ALL, STEP_QUIESCE, STEP_RUN,
      STEP_ANSWER},
     true,
     END_ANSWERED},
    {"first line arrived and not read yet",
     {STEP_OPEN, STEP_RUN_PAST_SWEEP, STEP_SEND_LINE, STEP_QUIESCE,
      STEP_SEND_HEADERS, STEP_SEND_BODY, STEP_RUN, STEP_ANSWER},
     true,
     END_ANSWERED},
    {"first line read",
     {STEP_OPEN, STEP_RUN_PAST_SWEEP, STEP_SEND_LINE, STEP_RUN, STEP_QUIESCE,
      STEP_SEND_HEADERS, STEP_SEND_BODY, STEP_RUN, STEP_ANSWER},
     true,
     END_ANSWERED},
    {"headers read",
     {STEP_OPEN, STEP_RUN_PAST_SWEEP, STEP_SEND_LINE, STEP_SEND_HEADERS,
      STEP_RUN, STEP_QUIESCE, STEP_SEND_BODY, STEP_RUN, STEP_ANSWER},
     true,
     END_ANSWERED},
    {"headers read, the rest after a sweep",
     {STEP_OPEN, STEP_SEND_LINE, STEP_SEND_HEADERS, STEP_QUIESCE,
      STEP_RUN_PAST_SWEEP, STEP_SEND_BODY, STEP_RUN, STEP_ANSWER},
     true,
     END_ANSWERED},
    {"request read",
     {STEP_OPEN, STEP_SEND_ALL, STEP_RUN, STEP_QUIESCE, STEP_RUN, STEP_ANSWER},
     true,
     END_ANSWERED},
    {"request answered and not sent yet",
     {STEP_OPEN, STEP_SEND_ALL, STEP_RUN, STEP_ANSWER, STEP_QUIESCE,
      STEP_RUN_PAST_SWEEP, STEP_RUN_PAST_SWEEP},
     true,
     END_ANSWERED},
    {"caller that connects during the stop",
     {STEP_QUIESCE, STEP_OPEN, STEP_RUN, STEP_SEND_ALL, STEP_RUN, STEP_ANSWER},
     true,
     END_ANSWERED},
    {"request before idle connections are closed",
     {STEP_OPEN, STEP_RUN, STEP_CLOSE_AFTER_ANSWERS, STEP_RUN_PAST_SWEEP,
      STEP_SEND_ALL, STEP_RUN, STEP_ANSWER},
     true,
     END_ANSWERED},
    {"silent caller that connects during the stop",
     {STEP_QUIESCE, STEP_OPEN, STEP_RUN, STEP_RUN_PAST_SWEEP,
      STEP_RUN_PAST_SWEEP},
     false,
     END_CLOSED},
};

/* A task with a listener, and its only caller. */
typedef struct PhStopServer {
    PhListenerRig rig;
    uint64_t waiting; /* id of the request to answer, or 0 */
    size_t read;
} PhStopServer;

static void
on_request(void *context, const PhIncoming *incoming)
{
    PhStopServer *s = context;
    assert_true(PhStr_Equal(incoming->body, PhStr_LITERAL("body")));
    s->waiting = incoming->id;
    s->read++;
}

static void
step_take(PhStopServer *s, PhStopStep step)
{
    switch (step) {
    case STEP_NONE:
        break;
    case STEP_OPEN:
        PhRawCaller_Open(&s->rig.caller, PhListener_Port(s->rig.listener));
        break;
    case STEP_SEND_LINE:
        PhRawCaller_Send(&s->rig.caller, LINE);
        break;
    case STEP_SEND_HEADERS:
        PhRawCaller_Send(&s->rig.caller, HEADERS);
        break;
    case STEP_SEND_BODY:
        PhRawCaller_Send(&s->rig.caller, BODY);
        break;
    case STEP_SEND_ALL:
        PhRawCaller_Send(&s->rig.caller, LINE);
        PhRawCaller_Send(&s->rig.caller, HEADERS);
        PhRawCaller_Send(&s->rig.caller, BODY);
        break;
    case STEP_RUN:
        PhListenerRig_Run(&s->rig, RUN_STEPS);
        break;
    case STEP_RUN_PAST_SWEEP:
        PhListenerRig_Run(&s->rig, SWEEP_STEPS);
        break;
    case STEP_CLOSE_AFTER_ANSWERS:
        PhListener_CloseAfterAnswers(s->rig.listener);
        break;
    case STEP_QUIESCE:
        PhListener_Quiesce(s->rig.listener);
        break;
    case STEP_ANSWER:
        PhListener_Answer(s->rig.listener, s->waiting, 200, NULL, 0,
                          PhStr_LITERAL("done"));
        break;
    }
}

static void
check_end(const PhStopServer *s, const PhStopCase *c)
{
    bool answered = strstr(s->rig.caller.reply, "HTTP/1.1 200") != NULL &&
                    strstr(s->rig.caller.reply, "done") != NULL;
    assert_int_equal(s->read, c->read);
    assert_true(s->rig.caller.closed);
    assert_int_equal(answered, c->end == END_ANSWERED);
    assert_int_equal(PhListener_Connections(s->rig.listener), 0);
}

static void
check_stop(const PhStopCase *c)
{
    PhStopServer s = {0};
    PhListenerRig_Open(&s.rig, &(PhListenerOptions){.body_limit_bytes = 100,
                                                    .idle_timeout_s = 60,
                                                    .context = &s,
                                                    .on_request = on_request});
    for (size_t i = 0; i < STEPS_MAX; i++) {
        step_take(&s, c->steps[i]);
    }
    PhListenerRig_Run(&s.rig, RUN_STEPS);
    check_end(&s, c);
    PhListenerRig_Close(&s.rig);
}

/* Guards against requests that are read whole and not answered during a
 * stop. */
static void
test_stop(void **state)
{
    (void)state;
    Ph_RUN_TABLE(stop_cases, check_stop);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_stop),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
