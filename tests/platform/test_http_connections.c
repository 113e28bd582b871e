/* Requests that are sent only on a connection of a certain age. */
#include "peridothill/services/http.h"

#include "http_task.h"
#include "listener_rig.h"
#include "peridothill/services/interface.h"
#include "tests/table.h"

enum {
    FIRST = 1, /* ids of the requests */
    SECOND = 2,
    UNTIL_MS = 30000, /* the second reply has come by then */
};

/* Which connection the second request asks for. */
typedef enum PhAge {
    AGE_ANY,
    AGE_OF_FIRST, /* as old as that of the first request */
    AGE_OLDER,
} PhAge;

typedef struct PhConnectionCase {
    const char *name;
    PhAge age;
    bool busy;      /* the first request is not answered yet */
    uint32_t limit; /* of connections, 0 for none */
    bool freed;     /* the first request is answered then */
    PhHttpOutcome outcome;
    PhHttpFailure failure;
    bool reused;
} PhConnectionCase;

static const PhConnectionCase connection_cases[] = {
    {"any, one is idle", AGE_ANY, false, 0, false, PH_HTTP_ANSWERED,
     PH_HTTP_FAILURE_NONE, true},
    {"any, none is idle", AGE_ANY, true, 0, false, PH_HTTP_ANSWERED,
     PH_HTTP_FAILURE_NONE, false},
    {"as old, and idle", AGE_OF_FIRST, false, 0, false, PH_HTTP_ANSWERED,
     PH_HTTP_FAILURE_NONE, true},
    {"as old, and in use", AGE_OF_FIRST, true, 0, false, PH_HTTP_NOT_SENT,
     PH_HTTP_FAILURE_NO_CONNECTION, false},
    {"older", AGE_OLDER, false, 0, false, PH_HTTP_NOT_SENT,
     PH_HTTP_FAILURE_NO_CONNECTION, false},
    {"any, with one connection more", AGE_ANY, true, 2, false,
     PH_HTTP_ANSWERED, PH_HTTP_FAILURE_NONE, false},
    {"any, with no connection more, and one gets free", AGE_ANY, true, 1, true,
     PH_HTTP_ANSWERED, PH_HTTP_FAILURE_NONE, true},
    {"any, with no connection more, and none gets free", AGE_ANY, true, 1,
     false, PH_HTTP_NOT_SENT, PH_HTTP_FAILURE_DEADLINE, false},
};

/* A task that runs a server and sends two requests to it. */
typedef struct PhAgeServer {
    const PhConnectionCase *c;
    PhTask *self;
    PhListener *listener;
    uint64_t held; /* request whose answer waits for the second reply */
    bool done;
} PhAgeServer;

static void
request_send(PhAgeServer *a, uint64_t id, PhTime connected_by)
{
    PhBuf address = {0};
    PhBuf_AppendFormat(&address, "127.0.0.1:%u", PhListener_Port(a->listener));
    PhHttpMessage m = {
        .tag = PH_HTTP_SEND,
        .as.send = {.id = id,
                    .method = PhStr_Dup(PhStr_LITERAL("GET")),
                    .address = PhBuf_Take(&address),
                    .target = PhStr_Dup(PhStr_LITERAL("/")),
                    .deadline = PhTask_Now(a->self) +
                                (id == FIRST ? 20 : 10) * PH_NS_PER_S,
                    .first_byte = PH_TIME_NEVER,
                    .answer_limit_bytes = 100,
                    .connections = a->c->limit,
                    .connected_by = connected_by}};
    PhTask_SendTo(a->self, PH_SERVICE_HTTP, PhHttpMessage_Wrap(&m));
}

static PhTime
connected_by(const PhAgeServer *a, PhTime first)
{
    switch (a->c->age) {
    case AGE_ANY:
        break;
    case AGE_OF_FIRST:
        return first;
    case AGE_OLDER:
        return first - 1;
    }
    return 0;
}

static void
on_request(void *context, const PhIncoming *incoming)
{
    PhAgeServer *a = context;
    if (a->c->busy && a->held == 0) {
        a->held = incoming->id;
        request_send(a, SECOND, connected_by(a, PhTask_Now(a->self)));
        if (!a->c->freed) {
            return;
        }
    }
    PhListener_Answer(a->listener, incoming->id, 200, NULL, 0, (PhStr){0});
}

static void
on_reply(PhAgeServer *a, const PhHttpReply *reply)
{
    if (reply->id == FIRST && !a->c->busy) {
        assert_true(reply->connected_at > 0);
        request_send(a, SECOND, connected_by(a, reply->connected_at));
    }
    if (reply->id == SECOND) {
        assert_int_equal(reply->outcome, a->c->outcome);
        assert_int_equal(reply->failure, a->c->failure);
        assert_int_equal(reply->reused_connection, a->c->reused);
        a->done = true;
    }
}

static void
server_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhAgeServer *a = state;
    a->self = self;
    if (mail->kind == PH_MAIL_START) {
        a->listener = PhListenerRig_CreateListener(
            self, &(PhListenerOptions){.body_limit_bytes = 100,
                                       .idle_timeout_s = 5,
                                       .context = a,
                                       .on_request = on_request});
        request_send(a, FIRST, 0);
        return;
    }
    if (PhListener_Handle(a->listener, mail)) {
        return;
    }
    if (mail->kind == PH_MAIL_MESSAGE &&
        mail->as.message.interface == PH_INTERFACE_HTTP) {
        const PhHttpMessage *m = mail->as.message.body;
        on_reply(a, &m->as.reply);
    }
}

static void
server_destroy(void *state)
{
    PhListener_Destroy(((PhAgeServer *)state)->listener);
}

static void
connection_run(const PhConnectionCase *c)
{
    PhClock *clock;
    PhAgeServer a = {.c = c};
    PhTaskSpec spec = {.name = PhStr_LITERAL("server"),
                       .mailbox_capacity = 16,
                       .state = &a,
                       .handle = server_handle,
                       .destroy = server_destroy};
    PhHttpTask_Run(&spec, &clock, &a.done, UNTIL_MS);
    assert_true(a.done);
}

/* Guards against an order that reaches a later process on a connection that
 * was opened for it, although it asks for an earlier one. */
static void
test_http_connections(void **state)
{
    (void)state;
    Ph_RUN_TABLE(connection_cases, connection_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_http_connections)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
