/* Answers that come in parts, as long ones do on a narrow link.  Guards
 * against a request that is given up, and repeated from its beginning, while
 * its answer arrives. */
#include "peridothill/services/http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http_task.h"
#include "peridothill/services/interface.h"
#include "tests/table.h"

enum {
    DEADLINE_MS = 1000,
    UNTIL_MS = 12000, /* the reply has come by then */
    PARTS = 10,
    PART_TOKEN = 1,
    REQUEST_BYTES = 4096,
};

typedef struct PhSlowCase {
    const char *name;
    int64_t part_ms;  /* between two parts */
    unsigned sent;    /* number of parts that are sent */
    int64_t stall_ms; /* limit of the request */
    PhHttpOutcome outcome;
} PhSlowCase;

static const PhSlowCase slow_cases[] = {
    {"within the deadline", 50, PARTS, 0, PH_HTTP_ANSWERED},
    {"past the deadline", 500, PARTS, 0, PH_HTTP_UNKNOWN},
    {"past the deadline, without a stall", 500, PARTS, 800, PH_HTTP_ANSWERED},
    {"the parts come too slowly", 900, PARTS, 800, PH_HTTP_UNKNOWN},
    {"it stalls", 500, 4, 800, PH_HTTP_UNKNOWN},
    {"no part comes", 500, 0, 800, PH_HTTP_UNKNOWN},
};

/* A task that is client and server. */
typedef struct PhSlowServer {
    const PhSlowCase *c;
    int listener;
    int fd; /* of the connection, -1 for none */
    unsigned sent;
    bool done;
} PhSlowServer;

static void
request_send(PhSlowServer *s, PhTask *self)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(address);
    PhBuf text = {0};
    s->listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    assert_int_equal(
        bind(s->listener, (struct sockaddr *)&address, sizeof(address)), 0);
    assert_int_equal(listen(s->listener, 1), 0);
    getsockname(s->listener, (struct sockaddr *)&address, &len);
    PhTask_Watch(self, s->listener, PH_IO_READ);
    PhBuf_AppendFormat(&text, "127.0.0.1:%u", ntohs(address.sin_port));
    PhHttpMessage m = {
        .tag = PH_HTTP_SEND,
        .as.send = {.id = 1,
                    .method = PhStr_Dup(PhStr_LITERAL("GET")),
                    .address = PhBuf_Take(&text),
                    .target = PhStr_Dup(PhStr_LITERAL("/")),
                    .deadline = PhTask_Now(self) + DEADLINE_MS * PH_NS_PER_MS,
                    .stall_limit = s->c->stall_ms * PH_NS_PER_MS,
                    .first_byte = PH_TIME_NEVER,
                    .answer_limit_bytes = 100}};
    PhTask_SendTo(self, PH_SERVICE_HTTP, PhHttpMessage_Wrap(&m));
}

/* Sends the next part: the header with the first byte of the body, or another
 * byte. */
static void
part_send(PhSlowServer *s, PhTask *self)
{
    static const char header[] =
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n";
    if (s->sent >= s->c->sent) {
        return;
    }
    if (s->sent == 0) {
        assert_true(send(s->fd, header, strlen(header), MSG_NOSIGNAL) > 0);
    }
    send(s->fd, "x", 1, MSG_NOSIGNAL);
    s->sent++;
    PhTask_SetTimer(self, PART_TOKEN,
                    PhTask_Now(self) + s->c->part_ms * PH_NS_PER_MS);
}

static void
on_io(PhSlowServer *s, PhTask *self, int fd)
{
    char buffer[REQUEST_BYTES];
    if (fd == s->listener) {
        s->fd = accept(s->listener, NULL, NULL);
        PhTask_Watch(self, s->fd, PH_IO_READ);
        return;
    }
    if (recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT) > 0) {
        part_send(s, self);
        return;
    }
    PhTask_Watch(self, fd, 0);
}

static void
server_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhSlowServer *s = state;
    switch (mail->kind) {
    case PH_MAIL_START:
        request_send(s, self);
        break;
    case PH_MAIL_IO:
        on_io(s, self, mail->as.io.fd);
        break;
    case PH_MAIL_TIMER:
        part_send(s, self);
        break;
    case PH_MAIL_MESSAGE:
        if (mail->as.message.interface == PH_INTERFACE_HTTP) {
            const PhHttpMessage *m = mail->as.message.body;
            assert_false(s->done);
            assert_int_equal(m->as.reply.outcome, s->c->outcome);
            s->done = true;
        }
        break;
    case PH_MAIL_STOP:
    case PH_MAIL_ENDED:
        break;
    }
}

static void
server_destroy(void *state)
{
    PhSlowServer *s = state;
    close(s->listener);
    if (s->fd >= 0) {
        close(s->fd);
    }
}

static void
slow_run(const PhSlowCase *c)
{
    PhClock *clock;
    PhSlowServer s = {.c = c, .fd = -1};
    PhTaskSpec spec = {.name = PhStr_LITERAL("server"),
                       .mailbox_capacity = 16,
                       .state = &s,
                       .handle = server_handle,
                       .destroy = server_destroy};
    PhHttpTask_Run(&spec, &clock, &s.done, UNTIL_MS);
    assert_true(s.done);
}

static void
test_slow_answers(void **state)
{
    (void)state;
    Ph_RUN_TABLE(slow_cases, slow_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_slow_answers)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
