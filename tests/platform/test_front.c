#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>

#include "listener_rig.h"
#include "peridothill/platform/adapter.h"
#include "peridothill/services/interface.h"
#include "peridothill/services/schedule.h"
#include "scripted_task.h"
#include "tests/paused_loop.h"
#include "tests/table.h"

enum {
    STEPS_MAX = 12,
    RUN_STEPS = 5,
    NOTICE_MS = 600,
    LIMIT_MS = 600,
    FD_MAX = 256,
    MAILBOX_CAPACITY = 16,
};

static const char HEADERS[] =
    "DELETE /a/0123456789abcdef HTTP/1.1\r\nHost: a\r\n";
static const char END_OF_HEADERS[] = "\r\n";

/* What the caller, the scheduler and the supervisor do, one after the other.
 */
typedef enum PhFrontStep {
    STEP_NONE,
    STEP_OPEN,
    STEP_SEND_HEADERS,
    STEP_SEND_END,
    STEP_RUN,
    STEP_STOP,
    STEP_PASS_NOTICE,
    STEP_PASS_LIMIT,
    STEP_ANSWER,
    STEP_CONTACT_LOST,
    STEP_CONTACT_BACK,
} PhFrontStep;

typedef struct PhFrontCase {
    const char *name;
    PhFrontStep steps[STEPS_MAX];
    size_t passed_on;   /* requests that reached the scheduler */
    const char *answer; /* its first line, or NULL */
    bool closed;        /* the front has closed the connection */
    bool ended;         /* the front has ended */
} PhFrontCase;

static const PhFrontCase front_cases[] = {
    {"no stop",
     {STEP_OPEN, STEP_SEND_HEADERS, STEP_SEND_END, STEP_RUN, STEP_ANSWER,
      STEP_RUN},
     1,
     "HTTP/1.1 200 ",
     false,
     false},
    {"request during the notice",
     {STEP_OPEN, STEP_RUN, STEP_STOP, STEP_SEND_HEADERS, STEP_SEND_END,
      STEP_RUN, STEP_ANSWER, STEP_RUN},
     1,
     "HTTP/1.1 200 ",
     true,
     false},
    {"idle connection during the notice",
     {STEP_OPEN, STEP_RUN, STEP_STOP, STEP_RUN},
     0,
     NULL,
     false,
     false},
    {"idle connection after the notice",
     {STEP_OPEN, STEP_RUN, STEP_STOP, STEP_PASS_NOTICE, STEP_RUN},
     0,
     NULL,
     true,
     true},
    {"answer after the notice",
     {STEP_OPEN, STEP_SEND_HEADERS, STEP_SEND_END, STEP_RUN, STEP_STOP,
      STEP_PASS_NOTICE, STEP_ANSWER, STEP_RUN},
     1,
     "HTTP/1.1 200 ",
     true,
     true},
    {"no answer by the limit",
     {STEP_OPEN, STEP_SEND_HEADERS, STEP_SEND_END, STEP_RUN, STEP_STOP,
      STEP_PASS_NOTICE, STEP_PASS_LIMIT, STEP_RUN},
     1,
     "HTTP/1.1 504 ",
     true,
     true},
    {"rest of the request after the limit",
     {STEP_OPEN, STEP_SEND_HEADERS, STEP_RUN, STEP_STOP, STEP_PASS_NOTICE,
      STEP_PASS_LIMIT, STEP_SEND_END, STEP_RUN},
     0,
     "HTTP/1.1 503 ",
     true,
     true},
    {"answer while the instance has no contact",
     {STEP_OPEN, STEP_RUN, STEP_CONTACT_LOST, STEP_SEND_HEADERS, STEP_SEND_END,
      STEP_RUN, STEP_ANSWER, STEP_RUN},
     1,
     "HTTP/1.1 200 ",
     true,
     false},
    {"answer after the contact is back",
     {STEP_OPEN, STEP_RUN, STEP_CONTACT_LOST, STEP_RUN, STEP_CONTACT_BACK,
      STEP_SEND_HEADERS, STEP_SEND_END, STEP_RUN, STEP_ANSWER, STEP_RUN},
     1,
     "HTTP/1.1 200 ",
     false,
     false},
    {"the contact comes back during a stop",
     {STEP_OPEN, STEP_RUN, STEP_CONTACT_LOST, STEP_STOP, STEP_CONTACT_BACK,
      STEP_SEND_HEADERS, STEP_SEND_END, STEP_RUN, STEP_ANSWER, STEP_RUN},
     1,
     "HTTP/1.1 200 ",
     true,
     false},
    {"rest of the request never sent",
     {STEP_OPEN, STEP_SEND_HEADERS, STEP_RUN, STEP_STOP, STEP_PASS_NOTICE,
      STEP_PASS_LIMIT, STEP_PASS_LIMIT},
     0,
     NULL,
     true,
     true},
};

/* The front, the scheduler it passes calls to, and its only caller. */
typedef struct PhFrontRig {
    PhListenerRig base; /* its kernel and its caller */
    PhTask *schedule;
    PhTaskRef asker;
    uint64_t asked;
    size_t passed_on;
} PhFrontRig;

static void
schedule_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhFrontRig *r = state;
    r->schedule = self;
    if (mail->kind != PH_MAIL_MESSAGE) {
        return;
    }
    const PhScheduleMessage *m = mail->as.message.body;
    if (m->tag == PH_SCHEDULE_CANCEL) {
        r->passed_on++;
        r->asker = mail->from;
        r->asked = m->as.call.id;
    }
}

static void
schedule_answer(PhFrontRig *r)
{
    PhScheduleMessage m = {
        .tag = PH_SCHEDULE_ANSWER,
        .as.answer = {.id = r->asked, .tag = PH_SCHEDULE_CANCELLED}};
    PhTask_Send(r->schedule, r->asker, PhScheduleMessage_Wrap(&m));
}

static void
schedule_tell_contact(PhFrontRig *r, bool contact)
{
    PhScheduleMessage m = {.tag = PH_SCHEDULE_CONTACT, .as.contact = contact};
    PhTask_SendTo(r->schedule, PH_SERVICE_FRONT, PhScheduleMessage_Wrap(&m));
}

/* The port of the listener that was opened first, which is for clients. */
static uint16_t
clients_port(void)
{
    for (int fd = 0; fd < FD_MAX; fd++) {
        int listens = 0;
        struct sockaddr_in a = {0};
        socklen_t len = sizeof(listens);
        if (getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &len) == 0 &&
            listens) {
            len = sizeof(a);
            assert_int_equal(getsockname(fd, (struct sockaddr *)&a, &len), 0);
            return ntohs(a.sin_port);
        }
    }
    fail_msg("nothing listens");
    return 0;
}

static void
step_take(PhFrontRig *r, PhFrontStep step)
{
    switch (step) {
    case STEP_NONE:
        break;
    case STEP_OPEN:
        PhRawCaller_Open(&r->base.caller, clients_port());
        break;
    case STEP_SEND_HEADERS:
        PhRawCaller_Send(&r->base.caller, HEADERS);
        break;
    case STEP_SEND_END:
        PhRawCaller_Send(&r->base.caller, END_OF_HEADERS);
        break;
    case STEP_RUN:
        PhListenerRig_Run(&r->base, RUN_STEPS);
        break;
    case STEP_STOP:
        PhKernel_Stop(r->base.kernel,
                      PhKernel_Lookup(r->base.kernel, PH_SERVICE_FRONT));
        break;
    case STEP_PASS_NOTICE:
        PhListenerRig_Run(&r->base, NOTICE_MS / PH_PAUSED_STEP_MS + 1);
        break;
    case STEP_PASS_LIMIT:
        PhListenerRig_Run(&r->base, LIMIT_MS / PH_PAUSED_STEP_MS + 1);
        break;
    case STEP_ANSWER:
        schedule_answer(r);
        break;
    case STEP_CONTACT_LOST:
    case STEP_CONTACT_BACK:
        schedule_tell_contact(r, step == STEP_CONTACT_BACK);
        break;
    }
}

static void
check_outcome(const PhFrontRig *r, const PhFrontCase *c)
{
    assert_int_equal(r->passed_on, c->passed_on);
    assert_int_equal(r->base.caller.closed, c->closed);
    if (c->answer == NULL) {
        assert_int_equal(r->base.caller.reply_len, 0);
    }
    else {
        assert_ptr_equal(strstr(r->base.caller.reply, c->answer),
                         r->base.caller.reply);
    }
    assert_int_equal(
        PhTaskRef_IsNone(PhKernel_Lookup(r->base.kernel, PH_SERVICE_FRONT)),
        c->ended);
}

static void
check_front(const PhFrontCase *c)
{
    PhFrontRig r = {0};
    PhListenerRig_OpenKernel(&r.base);
    PhScriptedTask_Spawn(r.base.kernel, PH_SERVICE_SCHEDULE, MAILBOX_CAPACITY,
                         &r, schedule_handle);
    PhFrontOptions options = {.listen = PhStr_LITERAL("127.0.0.1:0"),
                              .ready = PhStr_LITERAL("127.0.0.1:0"),
                              .body_limit_bytes = 100,
                              .connection_limit = 8,
                              .drain_notice = NOTICE_MS * PH_NS_PER_MS,
                              .drain_limit = LIMIT_MS * PH_NS_PER_MS};
    PhResult started = PhFront_Start(r.base.kernel, &options);
    assert_true(PhResult_IsOk(&started));
    PhListenerRig_Run(&r.base, 1);
    for (size_t i = 0; i < STEPS_MAX; i++) {
        step_take(&r, c->steps[i]);
    }
    PhListenerRig_Run(&r.base, RUN_STEPS);
    check_outcome(&r, c);
    PhListenerRig_Close(&r.base);
}

/* Guards against stops that leave a request without an answer. */
static void
test_front(void **state)
{
    (void)state;
    Ph_RUN_TABLE(front_cases, check_front);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_front),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
