/* What happens to open connections when a listener quiesces. */
#include <string.h>

#include "peridothill/services/listener.h"
#include "raw_caller.h"
#include "tests/paused_loop.h"
#include "tests/table.h"

enum {
    STEPS = 100
};

/* `unread` has reached the socket but not the process when the listener
 * quiesces. */
typedef struct PhQuiesceCase {
    const char *name;
    const char *unread;
    size_t answers; /* the first one included */
} PhQuiesceCase;

#define REQUEST "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"

static const PhQuiesceCase cases[] = {
    {"idle", "", 1},
    {"a request waits", REQUEST, 2},
    {"part of a request waits", "GET /a HT", 1},
};

typedef struct PhQuietServer {
    PhListener *listener;
} PhQuietServer;

static void
on_request(void *context, const PhIncoming *incoming)
{
    PhQuietServer *s = context;
    PhListener_Answer(s->listener, incoming->id, 200, NULL, 0,
                      PhStr_LITERAL("here"));
}

static void
on_client_disconnect(void *context, uint64_t id)
{
    (void)context;
    (void)id;
}

static void
server_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhQuietServer *s = state;
    if (mail->kind == PH_MAIL_START) {
        PhListenerOptions options = {.address = PhStr_LITERAL("127.0.0.1:0"),
                                     .body_limit_bytes = 100,
                                     .connection_limit = 8,
                                     .idle_timeout_s = 5,
                                     .context = s,
                                     .on_request = on_request,
                                     .on_client_disconnect =
                                         on_client_disconnect};
        PhResult r = PhListener_Create(self, &options, &s->listener);
        assert_int_equal(r.status, PH_STATUS_OK);
        return;
    }
    PhListener_Handle(s->listener, mail);
}

static void
server_destroy(void *state)
{
    PhListener_Destroy(((PhQuietServer *)state)->listener);
}

/* Counts the answers that arrive until the end of the stream, `most` at the
 * most. */
static size_t
answers_read(struct ev_loop *loop, PhClock *clock, PhRawCaller *caller,
             size_t most)
{
    size_t answers = 0;
    for (int i = 0; i < STEPS && !caller->closed && answers < most; i++) {
        PhPausedLoop_Step(loop, clock);
        PhRawCaller_Read(caller);
        answers = 0;
        for (const char *at = caller->reply; (at = strstr(at, "here")); at++) {
            answers++;
        }
    }
    return answers;
}

static void
check_quiesce(const PhQuiesceCase *c)
{
    struct ev_loop *loop = ev_loop_new(0);
    PhClock *clock = PhPausedLoop_CreateClock();
    PhCounters *counters = PhCounters_Create();
    PhKernel *kernel = PhKernel_Create(&(PhKernelOptions){
        .clock = clock, .loop = loop, .counters = counters});
    PhQuietServer s = {0};
    PhTaskSpec spec = {.name = PhStr_LITERAL("server"),
                       .mailbox_capacity = 16,
                       .state = &s,
                       .handle = server_handle,
                       .destroy = server_destroy};
    PhRawCaller caller = {.fd = -1};
    assert_int_equal(PhKernel_Spawn(kernel, &spec, NULL), PH_STATUS_OK);
    PhKernel_Drain(kernel, SIZE_MAX);
    PhRawCaller_Open(&caller, PhListener_Port(s.listener));
    PhRawCaller_Send(&caller, REQUEST);
    assert_int_equal(answers_read(loop, clock, &caller, 1), 1);
    PhRawCaller_Send(&caller, c->unread);
    PhListener_Quiesce(s.listener);
    assert_int_equal(answers_read(loop, clock, &caller, SIZE_MAX), c->answers);
    assert_true(caller.closed);
    PhRawCaller_Close(&caller);
    PhKernel_Destroy(kernel);
    PhCounters_Destroy(counters);
    PhClock_Destroy(clock);
    ev_loop_destroy(loop);
}

/* Guards against cutting off a request that has arrived. */
static void
test_quiesce(void **state)
{
    (void)state;
    Ph_RUN_TABLE(cases, check_quiesce);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_quiesce)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
