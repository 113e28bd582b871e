#include "entry_fixture.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peridothill/codec/key_message.h"
#include "peridothill/services/config.h"
#include "peridothill/services/http.h"
#include "peridothill/services/interface.h"
#include "peridothill/services/members.h"
#include "peridothill/services/peers.h"
#include "peridothill/services/platform_list.h"
#include "tests/paused_loop.h"
#include "tests/table.h"

static const char *const worker_texts[] = {
    [WORKER_ANSWERS] = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    [WORKER_CLOSES] = "",
    [WORKER_RESETS] = "",
    [WORKER_TRUNCATES] = "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello",
    [WORKER_SENDS_MORE] = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
                          "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil",
    [WORKER_IS_SILENT] = "",
    [WORKER_ANSWERS_LATE] =
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    [WORKER_SENDS_TWO_LENGTHS] = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                                 "Content-Length: 3\r\n\r\nhello",
    [WORKER_SENDS_CHUNKS_CUT] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                                "\r\n\r\n5\r\nhello\r\n",
    [WORKER_CLAIMS_NOT_RUN] = "HTTP/1.1 500 No\r\nPeridothill-Outcome: not-run"
                              "\r\nContent-Length: 5\r\n\r\nhello",
};

static int
listen_loopback(uint16_t *port)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(a);
    assert_int_equal(bind(fd, (struct sockaddr *)&a, sizeof(a)), 0);
    assert_int_equal(listen(fd, 64), 0);
    getsockname(fd, (struct sockaddr *)&a, &len);
    *port = ntohs(a.sin_port);
    return fd;
}

/* With `reset`, the connection is closed by a RST instead of a FIN. */
static void
peer_close(PhEntryFixture *f, int fd, bool reset)
{
    struct linger linger = {.l_onoff = reset, .l_linger = 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
    PhTask_Watch(f->worker, fd, 0);
    g_hash_table_remove(f->peers, GINT_TO_POINTER(fd));
}

static void
peer_answer(int fd, PhWorkerAction action)
{
    const char *text = worker_texts[action];
    if (*text != '\0') {
        assert_int_equal(send(fd, text, strlen(text), MSG_NOSIGNAL),
                         strlen(text));
    }
}

static void
peer_execute(PhEntryFixture *f, PhPeer *peer)
{
    bool get = PhStr_StartsWith(PhBuf_Str(&peer->in), PhStr_LITERAL("GET"));
    PhWorkerAction action = get ? WORKER_ANSWERS : f->action;
    PhBuf_Reset(&peer->in);
    f->executed += !get;
    if (action == WORKER_ANSWERS_LATE) {
        g_queue_push_tail(&f->delayed, GINT_TO_POINTER(peer->fd));
        PhTask_SetTimer(f->worker, 1,
                        PhTask_Now(f->worker) +
                            ANSWER_DELAY_MS * PH_NS_PER_MS);
        return;
    }
    peer_answer(peer->fd, action);
    if (action != WORKER_ANSWERS && action != WORKER_IS_SILENT &&
        action != WORKER_SENDS_MORE) {
        peer_close(f, peer->fd, action == WORKER_RESETS);
    }
}

static void
peer_ready(PhEntryFixture *f, int fd)
{
    char bytes[READ_BYTES];
    PhPeer *peer = g_hash_table_lookup(f->peers, GINT_TO_POINTER(fd));
    ssize_t n = recv(fd, bytes, sizeof(bytes), 0);
    if (n <= 0) {
        peer_close(f, fd, false);
        return;
    }
    PhBuf_Append(&peer->in, PhStr_FromBytes(bytes, (size_t)n));
    PhBuf_AppendByte(&peer->in, '\0');
    peer->in.len--;
    const char *end = strstr(peer->in.data, "\r\n\r\n");
    const char *length = strstr(peer->in.data, "Content-Length: ");
    size_t body = length == NULL ? 0 : (size_t)atoi(length + 16);
    if (end != NULL &&
        peer->in.len >= (size_t)(end - peer->in.data) + 4 + body) {
        peer_execute(f, peer);
    }
}

static void
peer_destroy(gpointer value)
{
    PhPeer *peer = value;
    close(peer->fd);
    PhBuf_Clear(&peer->in);
    g_free(peer);
}

/* Answers the delayed requests whose connection is still open. */
static void
worker_answer_delayed(PhEntryFixture *f)
{
    while (!g_queue_is_empty(&f->delayed)) {
        int fd = GPOINTER_TO_INT(g_queue_pop_head(&f->delayed));
        if (g_hash_table_contains(f->peers, GINT_TO_POINTER(fd))) {
            peer_answer(fd, WORKER_ANSWERS_LATE);
        }
    }
}

static void
worker_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhEntryFixture *f = state;
    f->worker = self;
    if (mail->kind == PH_MAIL_START) {
        PhTask_Watch(self, f->worker_fd, PH_IO_READ);
    }
    else if (mail->kind == PH_MAIL_TIMER) {
        worker_answer_delayed(f);
    }
    else if (mail->kind == PH_MAIL_IO && mail->as.io.fd == f->worker_fd) {
        int fd = accept4(f->worker_fd, NULL, NULL, SOCK_NONBLOCK);
        if (fd < 0) {
            return;
        }
        PhPeer *peer = g_new0(PhPeer, 1);
        peer->fd = fd;
        g_hash_table_insert(f->peers, GINT_TO_POINTER(fd), peer);
        assert_true(g_hash_table_size(f->peers) <= INSTANCE_CONNECTIONS);
        PhTask_Watch(self, fd, PH_IO_READ);
    }
    else if (mail->kind == PH_MAIL_IO) {
        peer_ready(f, mail->as.io.fd);
    }
}

/* Stand-in for the platform list, with the scripted worker in it. */
static void
list_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhEntryFixture *f = state;
    if (mail->kind != PH_MAIL_MESSAGE) {
        return;
    }
    PhBuf address = {0};
    PhBuf_AppendFormat(&address, "127.0.0.1:%u", f->worker_port);
    PhListEntry entry = {.id = PhStr_LITERAL("w1"),
                         .data_centre = PhStr_LITERAL("silay"),
                         .address = PhBuf_Str(&address),
                         .services = PhStr_LITERAL("booking"),
                         .slots = 8,
                         .connections = WORKER_CONNECTIONS};
    PhListReading reading = {.entries = &entry, .entry_count = f->listed};
    PhListMessage m = {.tag = PH_LIST_READING,
                       .as.reading = PhListReading_Copy(&reading)};
    PhTask_Send(self, mail->from, PhListMessage_Wrap(&m));
    PhBuf_Clear(&address);
}

/* Stand-in for the configuration, with one service. */
static void
config_handle(void *state, PhTask *self, const PhMail *mail)
{
    static const PhConfigEntry entries[] = {
        {{"services.booking.class", 22}, {"nonsense", 8}, 1},
        {{"services.booking.deadline_ms", 28}, {"2000", 4}, 1},
        {{"services.booking.prefix", 23}, {"/booking", 8}, 1},
        {{"services.booking.retry_percent", 30}, {"100", 3}, 1},
    };
    PhEntryFixture *f = state;
    if (mail->kind == PH_MAIL_MESSAGE && f->configured) {
        PhConfigMessage m = {.tag = PH_CONFIG_IN_FORCE,
                             .as.in_force = PhConfigState_Create(
                                 1, entries, G_N_ELEMENTS(entries))};
        PhTask_Send(self, mail->from, PhConfigMessage_Wrap(&m));
    }
}

/* Stand-in for the membership: two members and one that has left. */
static void
members_handle(void *state, PhTask *self, const PhMail *mail)
{
    static PhMember members[] = {
        {.id = {"i1", 2}, .state = PH_MEMBER_ALIVE},
        {.id = {"i2", 2}, .state = PH_MEMBER_SUSPECT},
        {.id = {"i3", 2}, .state = PH_MEMBER_LEFT},
    };
    PhEntryFixture *f = state;
    if (mail->kind == PH_MAIL_MESSAGE &&
        f->other_replica != OTHER_REPLICA_UNKNOWN) {
        PhMembersView view = {.self = members[0].id,
                              .members = members,
                              .member_count = G_N_ELEMENTS(members)};
        PhMembersMessage m = {.tag = PH_MEMBERS_VIEW,
                              .as.view = PhMembersView_Copy(&view)};
        PhTask_Send(self, mail->from, PhMembersMessage_Wrap(&m));
    }
}

/* Answers key claims as the second replica. */
static void
peers_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhEntryFixture *f = state;
    const PhPeersMessage *got = mail->as.message.body;
    PhKeyMessage claim;
    if (mail->kind != PH_MAIL_MESSAGE || got->tag != PH_PEERS_SEND) {
        return;
    }
    assert_true(PhStr_Equal(got->as.send.member, PhStr_LITERAL("i2")));
    assert_true(PhKeyMessage_Decode(got->as.send.payload, &claim));
    if (claim.tag == PH_KEY_CLAIM &&
        f->other_replica != OTHER_REPLICA_IS_SILENT) {
        PhBuf payload = {0};
        claim.tag = PH_KEY_VERDICT;
        claim.verdict = f->other_replica == OTHER_REPLICA_GRANTS
                            ? PH_KEY_UNCONFIRMED
                            : PH_KEY_REPEATED;
        PhKeyMessage_Encode(&claim, &payload);
        PhPeersMessage m = {
            .tag = PH_PEERS_RECEIVED,
            .as.received = {.member = PhStr_Dup(PhStr_LITERAL("i2")),
                            .channel = PH_CHANNEL_KEYS,
                            .payload = PhBuf_Take(&payload)}};
        PhTask_Send(self, mail->from, PhPeersMessage_Wrap(&m));
    }
    PhStr_Clear(&claim.key);
}

static void
caller_connect(PhEntryFixture *f, PhTask *self, PhPeer *caller)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons(f->port),
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    caller->fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(connect(caller->fd, (struct sockaddr *)&a, sizeof(a)), 0);
    fcntl(caller->fd, F_SETFL, O_NONBLOCK);
    send(caller->fd, f->request, strlen(f->request), MSG_NOSIGNAL);
    PhTask_Watch(self, caller->fd, PH_IO_READ);
}

static void
caller_end(PhEntryFixture *f)
{
    f->ended++;
    f->over = f->over || (f->ended == f->callers && !f->stop_entry);
}

/* No caller may see a reset. */
static void
caller_ready(PhEntryFixture *f, PhTask *self, PhPeer *caller)
{
    char bytes[READ_BYTES];
    ssize_t n = recv(caller->fd, bytes, sizeof(bytes), 0);
    if (n > 0) {
        PhBuf_Append(&caller->in, PhStr_FromBytes(bytes, (size_t)n));
        if (f->callers_stay) {
            caller_end(f);
        }
        return;
    }
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    assert_int_equal(n, 0);
    PhTask_Watch(self, caller->fd, 0);
    if (!f->callers_stay) {
        caller_end(f);
    }
}

/* Handles the mail of the task that plays all callers.  With `stop_entry` it
 * also stops the entry task, and the run is over once that task has ended. */
static void
callers_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhEntryFixture *f = state;
    if (mail->kind == PH_MAIL_TIMER) {
        for (unsigned i = 0; i < f->callers; i++) {
            caller_connect(f, self, &f->caller[i]);
        }
        if (f->stop_entry) {
            PhTaskRef entry = PhKernel_Lookup(f->kernel, PH_SERVICE_ENTRY);
            PhTask_Monitor(self, entry);
            PhKernel_Stop(f->kernel, entry);
            /* A second stop must have no effect. */
            PhKernel_Stop(f->kernel, entry);
        }
    }
    else if (mail->kind == PH_MAIL_START) {
        PhTask_SetTimer(self, 1, PhTask_Now(self) + 10 * PH_NS_PER_MS);
    }
    else if (mail->kind == PH_MAIL_ENDED) {
        f->over = true;
    }
    for (unsigned i = 0; mail->kind == PH_MAIL_IO && i < f->callers; i++) {
        if (f->caller[i].fd == mail->as.io.fd) {
            caller_ready(f, self, &f->caller[i]);
        }
    }
}

static void
fixture_spawn(PhEntryFixture *f, PhStr name,
              void (*handle)(void *, PhTask *, const PhMail *))
{
    PhTaskSpec spec = {
        .name = name, .mailbox_capacity = 64, .state = f, .handle = handle};
    assert_int_equal(PhKernel_Spawn(f->kernel, &spec, NULL), PH_STATUS_OK);
}

void
PhEntryFixture_Run(PhEntryFixture *f)
{
    f->loop = ev_loop_new(0);
    f->clock = PhPausedLoop_CreateClock();
    f->counters = PhCounters_Create();
    f->kernel = PhKernel_Create(&(PhKernelOptions){
        .clock = f->clock, .loop = f->loop, .counters = f->counters});
    f->peers = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
                                     peer_destroy);
    f->worker_fd = listen_loopback(&f->worker_port);
    assert_int_equal(PhHttp_Start(f->kernel), PH_STATUS_OK);
    fixture_spawn(f, PhStr_LITERAL("worker"), worker_handle);
    fixture_spawn(f, PH_SERVICE_LIST, list_handle);
    fixture_spawn(f, PH_SERVICE_CONFIG, config_handle);
    fixture_spawn(f, PH_SERVICE_MEMBERS, members_handle);
    fixture_spawn(f, PH_SERVICE_PEERS, peers_handle);
    PhEntryOptions options = {
        .listen = PhStr_LITERAL("127.0.0.1:0"),
        .instance = PhStr_LITERAL("i1"),
        .data_centre = PhStr_LITERAL("silay"),
        .seed = 1,
        .drain_notice = 50 * PH_NS_PER_MS,
        .key_window = PH_NS_PER_MS,
        .body_limit_bytes = 1000,
        .connection_limit = f->connection_limit,
        .idle_timeout_s = f->idle_timeout_s == 0 ? 1 : f->idle_timeout_s};
    PhResult started = PhEntry_Start(f->kernel, &options, &f->port);
    assert_int_equal(started.status, PH_STATUS_OK);
    fixture_spawn(f, PhStr_LITERAL("callers"), callers_handle);
    PhTime end = PhClock_Now(f->clock) + WATCHDOG_S * PH_NS_PER_S;
    while (!f->over && PhClock_Now(f->clock) < end) {
        PhPausedLoop_Step(f->loop, f->clock);
    }
    assert_true(f->over);
}

void
PhEntryFixture_Clear(PhEntryFixture *f)
{
    PhKernel_Destroy(f->kernel);
    PhCounters_Destroy(f->counters);
    PhClock_Destroy(f->clock);
    g_hash_table_destroy(f->peers);
    g_queue_clear(&f->delayed);
    close(f->worker_fd);
    for (unsigned i = 0; i < f->callers; i++) {
        close(f->caller[i].fd);
        PhBuf_Clear(&f->caller[i].in);
    }
    ev_loop_destroy(f->loop);
}
