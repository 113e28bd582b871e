/* What happens to open connections when a listener quiesces. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peridothill/services/listener.h"
#include "tests/paused_loop.h"
#include "tests/table.h"

enum {
    STEPS = 100,
    TEXT_BYTES = 4096
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

static int
client_connect(uint16_t port)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons(port),
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(connect(fd, (struct sockaddr *)&a, sizeof(a)), 0);
    return fd;
}

static void
client_send(int fd, const char *text)
{
    ssize_t len = (ssize_t)strlen(text);
    assert_int_equal(send(fd, text, (size_t)len, MSG_NOSIGNAL), len);
}

/* Counts the answers that arrive until the end of the stream. */
static size_t
client_read(struct ev_loop *loop, PhClock *clock, int fd, size_t most,
            bool *ended)
{
    char text[TEXT_BYTES];
    size_t len = 0;
    size_t answers = 0;
    *ended = false;
    for (int i = 0; i < STEPS && !*ended && answers < most; i++) {
        PhPausedLoop_Step(loop, clock);
        ssize_t got =
            recv(fd, text + len, sizeof(text) - 1 - len, MSG_DONTWAIT);
        *ended = got == 0;
        len += got > 0 ? (size_t)got : 0;
        text[len] = '\0';
        answers = 0;
        for (const char *at = text; (at = strstr(at, "here")); at++) {
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
    bool ended;
    assert_int_equal(PhKernel_Spawn(kernel, &spec, NULL), PH_STATUS_OK);
    PhKernel_Drain(kernel, SIZE_MAX);
    int fd = client_connect(PhListener_Port(s.listener));
    client_send(fd, REQUEST);
    assert_int_equal(client_read(loop, clock, fd, 1, &ended), 1);
    client_send(fd, c->unread);
    PhListener_Quiesce(s.listener);
    assert_int_equal(1 + client_read(loop, clock, fd, SIZE_MAX, &ended),
                     c->answers);
    assert_true(ended);
    close(fd);
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
