/* Answers that come around the deadline of their request.  Guards against the
 * loss of an answer that a worker has given, because it came late or because
 * this process read it late. */
#include "peridothill/services/http.h"

#include "http_task.h"
#include "listener_rig.h"
#include "peridothill/services/interface.h"
#include "tests/table.h"

enum {
    DEADLINE_MS = 1000,
    UNTIL_MS = 8000, /* all replies have come by then */
    REPLIES_MAX = 3,
    ANSWER_TOKEN = 1 << 20, /* not one of the listener's timers */
};

typedef struct PhExpectedReply {
    PhHttpOutcome outcome;
    bool late;
    bool more;
} PhExpectedReply;

typedef struct PhAnswerCase {
    const char *name;
    int64_t answer_ms; /* when the server answers */
    int64_t jump_ms;   /* so long this process stands still after that */
    int64_t late_for_ms;
    PhExpectedReply replies[REPLIES_MAX];
    unsigned reply_count;
} PhAnswerCase;

static const PhAnswerCase answer_cases[] = {
    {"in time", 500, 0, 4000, {{PH_HTTP_ANSWERED, false, false}}, 1},
    {"late, not waited for", 2000, 0, 0, {{PH_HTTP_UNKNOWN, false, false}}, 1},
    {"late, waited for",
     2000,
     0,
     4000,
     {{PH_HTTP_UNKNOWN, false, true}, {PH_HTTP_ANSWERED, true, false}},
     2},
    {"later than it is waited for",
     6000,
     0,
     4000,
     {{PH_HTTP_UNKNOWN, false, true}, {PH_HTTP_UNKNOWN, true, false}},
     2},
    {"in time, read after the deadline",
     900,
     500,
     0,
     {{PH_HTTP_ANSWERED, false, false}},
     1},
};

typedef struct PhLateServer {
    const PhAnswerCase *c;
    PhTask *self;
    PhListener *listener;
    uint64_t request;
    PhExpectedReply replies[REPLIES_MAX];
    unsigned reply_count;
    PhClock *clock;
} PhLateServer;

static void
request_send(PhLateServer *s)
{
    PhBuf address = {0};
    PhBuf_AppendFormat(&address, "127.0.0.1:%u", PhListener_Port(s->listener));
    PhHttpMessage m = {
        .tag = PH_HTTP_SEND,
        .as.send = {.id = 1,
                    .method = PhStr_Dup(PhStr_LITERAL("GET")),
                    .address = PhBuf_Take(&address),
                    .target = PhStr_Dup(PhStr_LITERAL("/")),
                    .deadline =
                        PhTask_Now(s->self) + DEADLINE_MS * PH_NS_PER_MS,
                    .late_for = s->c->late_for_ms * PH_NS_PER_MS,
                    .first_byte = PH_TIME_NEVER,
                    .answer_limit_bytes = 100}};
    PhTask_SendTo(s->self, PH_SERVICE_HTTP, PhHttpMessage_Wrap(&m));
}

static void
on_request(void *context, const PhIncoming *incoming)
{
    PhLateServer *s = context;
    s->request = incoming->id;
}

static void
server_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhLateServer *s = state;
    s->self = self;
    if (mail->kind == PH_MAIL_START) {
        s->listener = PhListenerRig_CreateListener(
            self, &(PhListenerOptions){.body_limit_bytes = 100,
                                       .idle_timeout_s = 60,
                                       .context = s,
                                       .on_request = on_request});
        request_send(s);
        PhTask_SetTimer(self, ANSWER_TOKEN,
                        PhTask_Now(self) + s->c->answer_ms * PH_NS_PER_MS);
        return;
    }
    if (mail->kind == PH_MAIL_TIMER && mail->as.timer == ANSWER_TOKEN) {
        PhListener_Answer(s->listener, s->request, 200, NULL, 0, (PhStr){0});
        PhClock_Advance(s->clock, s->c->jump_ms * PH_NS_PER_MS);
        return;
    }
    if (PhListener_Handle(s->listener, mail)) {
        return;
    }
    if (mail->kind == PH_MAIL_MESSAGE &&
        mail->as.message.interface == PH_INTERFACE_HTTP) {
        const PhHttpReply *r =
            &((const PhHttpMessage *)mail->as.message.body)->as.reply;
        assert_true(s->reply_count < REPLIES_MAX);
        s->replies[s->reply_count++] =
            (PhExpectedReply){r->outcome, r->late, r->more};
    }
}

static void
server_destroy(void *state)
{
    PhListener_Destroy(((PhLateServer *)state)->listener);
}

static void
answer_run(const PhAnswerCase *c)
{
    bool done = false;
    PhLateServer s = {.c = c};
    PhTaskSpec spec = {.name = PhStr_LITERAL("server"),
                       .mailbox_capacity = 16,
                       .state = &s,
                       .handle = server_handle,
                       .destroy = server_destroy};
    PhHttpTask_Run(&spec, &s.clock, &done, UNTIL_MS);
    assert_int_equal(s.reply_count, c->reply_count);
    for (unsigned i = 0; i < c->reply_count; i++) {
        assert_int_equal(s.replies[i].outcome, c->replies[i].outcome);
        assert_int_equal(s.replies[i].late, c->replies[i].late);
        assert_int_equal(s.replies[i].more, c->replies[i].more);
    }
}

static void
test_late_answers(void **state)
{
    (void)state;
    Ph_RUN_TABLE(answer_cases, answer_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_late_answers)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
