/* The connections of a crowd, played by one thread that waits in poll(). */
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "crowd.h"
#include "tests/table.h"

enum {
    SEND_BYTES = 32 * 1024,
    READ_BYTES = 16 * 1024,
    SMALL_BUFFER_BYTES = 4096, /* of a connection that never reads */
    POLL_MS = 100,
    QUIET_POLLS = 20, /* the process takes no more: 2 s without any event */
};

typedef struct PhCrowdCaller {
    int fd; /* -1: closed by the process */
    GString *text;
    size_t sent;
} PhCrowdCaller;

struct PhCrowd {
    const PhCrowdPlan *plan;
    uint16_t port;
    GString *shared; /* text of all connections, or NULL */
    PhCrowdCaller *callers;
    struct pollfd *polls;
};

static void
caller_close(PhCrowdCaller *c)
{
    if (c->fd >= 0) {
        close(c->fd);
        c->fd = -1;
    }
}

/* Connecting does not block: on loopback the listen queue takes it. */
static void
caller_open(const PhCrowd *crowd, PhCrowdCaller *c)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons(crowd->port),
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int bytes = SMALL_BUFFER_BYTES;
    c->sent = 0;
    c->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (crowd->plan->never_reads) {
        setsockopt(c->fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    }
    if (connect(c->fd, (struct sockaddr *)&a, sizeof(a)) != 0 &&
        errno != EINPROGRESS) {
        caller_close(c);
    }
}

static bool
is_sending(const PhCrowdCaller *c)
{
    return c->fd >= 0 && c->text != NULL && c->sent < c->text->len;
}

/* Sends the next piece of the text.  Returns true if the process took it. */
static bool
caller_send(const PhCrowd *crowd, PhCrowdCaller *c)
{
    size_t left = c->text->len - c->sent;
    size_t bytewise = MIN(crowd->plan->bytewise, c->text->len);
    size_t piece = left > bytewise ? MIN(left - bytewise, SEND_BYTES) : 1;
    ssize_t n = send(c->fd, c->text->str + c->sent, piece, MSG_NOSIGNAL);
    if (n < 0 && errno != EAGAIN) {
        caller_close(c);
    }
    c->sent += n > 0 ? (size_t)n : 0;
    return n > 0;
}

/* Returns true if an answer or the end of the stream was there. */
static bool
caller_read(PhCrowdCaller *c)
{
    char bytes[READ_BYTES];
    ssize_t n = recv(c->fd, bytes, sizeof(bytes), MSG_DONTWAIT);
    if (n == 0 || (n < 0 && errno != EAGAIN)) {
        caller_close(c);
    }
    return n >= 0;
}

/* Waits for events and handles them.  Returns false if nothing happened. */
static bool
crowd_step(PhCrowd *crowd)
{
    bool moved = false;
    unsigned count = crowd->plan->connections;
    for (unsigned i = 0; i < count; i++) {
        const PhCrowdCaller *c = &crowd->callers[i];
        crowd->polls[i] = (struct pollfd){.fd = c->fd};
        crowd->polls[i].events =
            (short)((is_sending(c) ? POLLOUT : 0) |
                    (crowd->plan->never_reads ? 0 : POLLIN));
    }
    poll(crowd->polls, count, POLL_MS);
    for (unsigned i = 0; i < count; i++) {
        PhCrowdCaller *c = &crowd->callers[i];
        short events = crowd->polls[i].revents;
        if ((events & POLLOUT) != 0 && is_sending(c)) {
            moved |= caller_send(crowd, c);
        }
        if (c->fd >= 0 && (events & POLLIN) != 0) {
            moved |= caller_read(c);
        }
        if (c->fd >= 0 && (events & (POLLERR | POLLHUP)) != 0) {
            caller_close(c);
            moved = true;
        }
    }
    return moved;
}

/* Ends when no connection has more to send, or the process has taken nothing
 * for a while. */
static void
crowd_run(PhCrowd *crowd)
{
    int quiet = 0;
    bool sending = true;
    while (sending && quiet < QUIET_POLLS) {
        quiet = crowd_step(crowd) ? 0 : quiet + 1;
        sending = false;
        for (unsigned i = 0; i < crowd->plan->connections; i++) {
            sending |= is_sending(&crowd->callers[i]);
        }
    }
}

PhCrowd *
PhCrowd_Play(const PhCrowdPlan *plan, uint16_t port)
{
    PhCrowd *crowd = g_new0(PhCrowd, 1);
    crowd->plan = plan;
    crowd->port = port;
    crowd->callers = g_new0(PhCrowdCaller, plan->connections);
    crowd->polls = g_new0(struct pollfd, plan->connections);
    if (plan->text != NULL && plan->same_text) {
        crowd->shared = plan->text(0);
    }
    for (unsigned i = 0; i < plan->connections; i++) {
        PhCrowdCaller *c = &crowd->callers[i];
        c->text = crowd->shared == NULL && plan->text != NULL ? plan->text(i)
                                                              : crowd->shared;
    }
    for (unsigned k = 0; k <= plan->reopened; k++) {
        for (unsigned i = 0; i < plan->connections; i++) {
            if (k > 0) {
                caller_close(&crowd->callers[i]);
            }
            caller_open(crowd, &crowd->callers[i]);
        }
        crowd_run(crowd);
    }
    return crowd;
}

void
PhCrowd_Destroy(PhCrowd *crowd)
{
    for (unsigned i = 0; i < crowd->plan->connections; i++) {
        caller_close(&crowd->callers[i]);
        if (crowd->shared == NULL && crowd->callers[i].text != NULL) {
            g_string_free(crowd->callers[i].text, TRUE);
        }
    }
    if (crowd->shared != NULL) {
        g_string_free(crowd->shared, TRUE);
    }
    g_free(crowd->callers);
    g_free(crowd->polls);
    g_free(crowd);
}
