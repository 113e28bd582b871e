#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peers_fixture.h"
#include "peridothill/codec/peer_session.h"
#include "peridothill/services/interface.h"
#include "tests/table.h"

#define OLD_KEY PhStr_LITERAL("old-key-old-key-old-key-old-key-")
#define NEW_KEY PhStr_LITERAL("new-key-new-key-new-key-new-key-")
#define LOOPBACK PhStr_LITERAL("127.0.0.1:0")

/* Keys and deployments of two instances, and whether they connect. */
typedef struct PhPairCase {
    const char *name;
    const char *deployment;
    PhStr keys[PH_PEERS_NODES][2];
    size_t key_counts[PH_PEERS_NODES];
    PhCounter refused; /* counted on either side unless linked */
    bool linked;
} PhPairCase;

static const PhPairCase pair_cases[] = {
    {"same key", "test", {{OLD_KEY}, {OLD_KEY}}, {1, 1}, 0, true},
    {"another deployment",
     "other",
     {{OLD_KEY}, {OLD_KEY}},
     {1, 1},
     PH_COUNTER_PEER_FRAME_DEPLOYMENT,
     false},
    {"another key",
     "test",
     {{OLD_KEY}, {NEW_KEY}},
     {1, 1},
     PH_COUNTER_PEER_FRAME_UNPROVED,
     false},
    {"key rotation, one side accepts the new key",
     "test",
     {{OLD_KEY, NEW_KEY}, {OLD_KEY}},
     {2, 1},
     0,
     true},
    {"key rotation, one side proves with the new key",
     "test",
     {{NEW_KEY, OLD_KEY}, {OLD_KEY, NEW_KEY}},
     {2, 2},
     0,
     true},
    {"key rotation, one side has dropped the old key",
     "test",
     {{NEW_KEY}, {NEW_KEY, OLD_KEY}},
     {1, 2},
     0,
     true},
};

static void
check_pair(const PhPairCase *c)
{
    PhPeersFixture f = PhPeersFixture_Create();
    PhPeersNode *a = &f.nodes[0];
    PhPeersNode *b = &f.nodes[1];
    PhPeersNode_Start(&f, 0, PhStr_LITERAL("test"), c->keys[0],
                      c->key_counts[0], (PhStr){0});
    PhPeersNode_Start(&f, 1, PhStr_FromC(c->deployment), c->keys[1],
                      c->key_counts[1], a->address);
    PhPeersFixture_Run(&f, 5000);
    PhMemberState expected = c->linked ? PH_MEMBER_ALIVE : PH_MEMBER_DEAD;
    assert_int_equal(PhPeersNode_Sees(a, b->id), expected);
    assert_int_equal(PhPeersNode_Sees(b, a->id), expected);
    if (c->linked) {
        PhPeersNode_Send(a, b->id, (PhStr){0}, PhStr_LITERAL("to b"));
        PhPeersNode_Send(b, a->id, (PhStr){0}, PhStr_LITERAL("to a"));
        PhPeersFixture_Run(&f, 200);
        assert_true(PhStr_Equal(b->inbox.last, PhStr_LITERAL("to b")));
        assert_true(PhStr_Equal(a->inbox.last, PhStr_LITERAL("to a")));
    }
    else {
        assert_true(PhCounters_Get(a->counters, c->refused) +
                        PhCounters_Get(b->counters, c->refused) >
                    0);
    }
    PhPeersFixture_Destroy(&f);
}

/* Guards against instances with a wrong key or deployment being accepted, and
 * links that fail during key rotation. */
static void
test_pair(void **state)
{
    (void)state;
    Ph_RUN_TABLE(pair_cases, check_pair);
}

/* Starts an instance with the old key only. */
static void
start_with_old_key(PhPeersFixture *f, int i, PhStr seed)
{
    const PhStr keys[] = {OLD_KEY};
    PhPeersNode_Start(f, i, PhStr_LITERAL("test"), keys, 1, seed);
}

/* How one instance ends, and its state in the other's view. */
typedef struct PhEndCase {
    const char *name;
    bool stopped;
    int after_ms;
    PhMemberState seen;
} PhEndCase;

static const PhEndCase end_cases[] = {
    {"a stop is announced", true, 1000, PH_MEMBER_LEFT},
    {"a crash is suspected", false, 4000, PH_MEMBER_SUSPECT},
    {"a crash is detected", false, 15000, PH_MEMBER_DEAD},
};

static void
check_end(const PhEndCase *c)
{
    PhPeersFixture f = PhPeersFixture_Create();
    PhPeersNode *a = &f.nodes[0];
    PhPeersNode *b = &f.nodes[1];
    PhStr id = PhStr_LITERAL("b");
    start_with_old_key(&f, 0, (PhStr){0});
    start_with_old_key(&f, 1, a->address);
    PhPeersFixture_Run(&f, 5000);
    assert_int_equal(PhPeersNode_Sees(a, id), PH_MEMBER_ALIVE);
    if (c->stopped) {
        PhKernel_Stop(b->kernel, PhKernel_Lookup(b->kernel, PH_SERVICE_PEERS));
        PhKernel_Stop(b->kernel,
                      PhKernel_Lookup(b->kernel, PH_SERVICE_MEMBERS));
    }
    else {
        PhPeersNode_Destroy(b);
    }
    PhPeersFixture_Run(&f, c->after_ms);
    assert_int_equal(PhPeersNode_Sees(a, id), c->seen);
    if (c->stopped) {
        assert_int_equal(PhKernel_TaskCount(b->kernel), 1);
    }
    PhPeersFixture_Destroy(&f);
}

/* Guards against a stop that looks like a crash, and a crash that goes
 * unnoticed. */
static void
test_end(void **state)
{
    (void)state;
    Ph_RUN_TABLE(end_cases, check_end);
}

static int
raw_connect(const PhPeersNode *n)
{
    struct sockaddr_in to = {.sin_family = AF_INET};
    PhStr host;
    PhStr port;
    uint64_t number;
    PhStr_Cut(n->address, ':', &host, &port);
    assert_true(PhStr_ParseU64(port, &number));
    to.sin_port = htons((uint16_t)number);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
    return fd;
}

/* Input from unauthenticated clients, the number of connections, and the
 * counter that must show them. */
typedef struct PhUnauthenticatedCase {
    const char *name;
    PhStr bytes;
    int connections;
    PhCounter counter;
    int counted;
} PhUnauthenticatedCase;

static const PhUnauthenticatedCase unauthenticated_cases[] = {
    {"an HTTP request",
     {"GET / HTTP/1.1\r\n\r\n", 18},
     1,
     PH_COUNTER_PEER_FRAME_TOO_LONG,
     1},
    {"malformed", {"\0\0\0\1\xc1", 5}, 3, PH_COUNTER_PEER_FRAME_MALFORMED, 3},
    {"no input", {"", 0}, 1, PH_COUNTER_PEER_CLOSE_HANDSHAKE, 1},
    {"an incomplete frame",
     {"\0\0\1\0z", 5},
     1,
     PH_COUNTER_PEER_CLOSE_HANDSHAKE,
     1},
    {"too many connections", {"", 0}, 70, PH_COUNTER_PEER_CLOSE_LIMIT, 6},
};

/* A valid peer must still be able to connect afterwards. */
static void
check_unauthenticated(const PhUnauthenticatedCase *c)
{
    PhPeersFixture f = PhPeersFixture_Create();
    PhPeersNode *a = &f.nodes[0];
    int fds[70] = {0};
    start_with_old_key(&f, 0, (PhStr){0});
    PhPeersFixture_Run(&f, 1000);
    for (int i = 0; i < c->connections; i++) {
        fds[i] = raw_connect(a);
        assert_int_equal(send(fds[i], c->bytes.data, c->bytes.len, 0),
                         c->bytes.len);
        PhPeersFixture_RunLoop(&f);
    }
    PhPeersFixture_Run(&f, 8000);
    assert_int_equal(PhCounters_Get(a->counters, c->counter), c->counted);
    start_with_old_key(&f, 1, a->address);
    PhPeersFixture_Run(&f, 5000);
    assert_int_equal(PhPeersNode_Sees(a, PhStr_LITERAL("b")), PH_MEMBER_ALIVE);
    for (int i = 0; i < c->connections; i++) {
        close(fds[i]);
    }
    PhPeersFixture_Destroy(&f);
}

/* Guards against unauthenticated clients that block the listener for peers. */
static void
test_unauthenticated(void **state)
{
    (void)state;
    Ph_RUN_TABLE(unauthenticated_cases, check_unauthenticated);
}

/* A minimal peer on a plain listening socket. */
typedef struct PhRawPeer {
    int listener;
    int fd;
    PhPeerNonces *nonces;
    PhPeerSession *session;
    PhBuf in;
    PhBuf out;
    int accepted;
    int data;
} PhRawPeer;

static PhRawPeer
raw_create(PhStr *address)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(at);
    char text[32];
    PhRawPeer raw = {.fd = -1, .nonces = PhPeerNonces_Create(8)};
    raw.listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    assert_int_equal(bind(raw.listener, (struct sockaddr *)&at, len), 0);
    assert_int_equal(listen(raw.listener, 8), 0);
    getsockname(raw.listener, (struct sockaddr *)&at, &len);
    snprintf(text, sizeof(text), "127.0.0.1:%u", ntohs(at.sin_port));
    *address = PhStr_Dup(PhStr_FromC(text));
    return raw;
}

static void
raw_close(PhRawPeer *raw)
{
    if (raw->fd >= 0) {
        close(raw->fd);
        PhPeerSession_Destroy(raw->session);
    }
    raw->fd = -1;
    PhBuf_Reset(&raw->in);
    PhBuf_Reset(&raw->out);
}

static void
raw_destroy(PhRawPeer *raw)
{
    raw_close(raw);
    close(raw->listener);
    PhPeerNonces_Destroy(raw->nonces);
    PhBuf_Clear(&raw->in);
    PhBuf_Clear(&raw->out);
}

/* Replaces the current connection by a new one, if there is one. */
static void
raw_accept(PhRawPeer *raw)
{
    const PhPeerIdentity identity = {.member = PhStr_LITERAL("raw"),
                                     .data_centre = PH_PEERS_OWN,
                                     .deployment = PhStr_LITERAL("test"),
                                     .version_min = PH_PEER_VERSION_MIN,
                                     .version_max = PH_PEER_VERSION_MAX,
                                     .keys = {OLD_KEY},
                                     .key_count = 1};
    int fd = accept4(raw->listener, NULL, NULL, SOCK_NONBLOCK);
    if (fd >= 0) {
        raw_close(raw);
        raw->fd = fd;
        raw->accepted++;
        raw->session =
            PhPeerSession_Create(&identity, PH_PEER_ACCEPTING, raw->nonces);
    }
}

/* Reads and answers all frames. */
static void
raw_serve(PhRawPeer *raw)
{
    char bytes[4096];
    ssize_t n;
    PhPeerEvent e;
    raw_accept(raw);
    while (raw->fd >= 0 && (n = recv(raw->fd, bytes, sizeof(bytes), 0)) > 0) {
        PhBuf_Append(&raw->in, PhStr_FromBytes(bytes, (size_t)n));
    }
    while (raw->fd >= 0 &&
           (e = PhPeerSession_Next(raw->session, &raw->in, &raw->out)).kind !=
               PH_PEER_EVENT_NONE) {
        raw->data += e.kind == PH_PEER_EVENT_DATA;
    }
    if (raw->out.len > 0) {
        ssize_t sent =
            send(raw->fd, raw->out.data, raw->out.len, MSG_NOSIGNAL);
        PhBuf_Consume(&raw->out, sent > 0 ? (size_t)sent : 0);
    }
}

/* Behaviour of a raw peer after its first payload, and the expected numbers of
 * connections and silent links. */
typedef struct PhSilentCase {
    const char *name;
    bool silent; /* the first connection is never read again */
    int sends;   /* one per second */
    int accepted;
    int replaced;
} PhSilentCase;

static const PhSilentCase silent_cases[] = {
    {"a peer that answers pings keeps its link", false, 20, 1, 0},
    {"a silent link is replaced", true, 20, 2, 1},
};

static void
check_silent(const PhSilentCase *c)
{
    PhPeersFixture f = PhPeersFixture_Create();
    PhStr address;
    PhRawPeer raw = raw_create(&address);
    int first = -1;
    start_with_old_key(&f, 0, (PhStr){0});
    for (int t = 0; t < c->sends * 1000; t += PH_PEERS_STEP_MS) {
        if (t % 1000 == 0) {
            PhPeersNode_Send(&f.nodes[0], PhStr_LITERAL("raw"), address,
                             PH_PEERS_OWN);
        }
        if (c->silent && raw.accepted == 1 && raw.data > 0 && first < 0) {
            /* Keeps the socket open without reading from it. */
            first = dup(raw.fd);
            raw_close(&raw);
        }
        PhPeersFixture_Run(&f, PH_PEERS_STEP_MS);
        raw_serve(&raw);
    }
    assert_int_equal(raw.accepted, c->accepted);
    assert_true(raw.data >= c->sends / 2);
    assert_int_equal(
        PhCounters_Get(f.nodes[0].counters, PH_COUNTER_PEER_CLOSE_SILENT),
        c->replaced);
    if (first >= 0) {
        close(first);
    }
    raw_destroy(&raw);
    PhStr_Clear(&address);
    PhPeersFixture_Destroy(&f);
}

/* Guards against a silent link that is never replaced. */
static void
test_silent(void **state)
{
    (void)state;
    Ph_RUN_TABLE(silent_cases, check_silent);
}

/* Payloads that cannot be sent, and the counter that must show them. */
typedef struct PhDroppedSendCase {
    const char *name;
    PhStr member;
    bool to_raw;         /* to a listener that never answers */
    bool to_closed_port; /* to a port without a listener */
    int bytes;
    int sends;
    PhCounter counter;
    int counted;
} PhDroppedSendCase;

static const PhDroppedSendCase dropped_send_cases[] = {
    {"no address is known",
     {"x", 1},
     false,
     false,
     1,
     1,
     PH_COUNTER_PEER_SEND_NO_ADDRESS,
     1},
    {"payload too large",
     {"x", 1},
     true,
     false,
     PH_PEERS_PAYLOAD_MAX_BYTES + 1,
     1,
     PH_COUNTER_PEER_SEND_TOO_LARGE,
     1},
    {"more payloads than the queue of a link",
     {"x", 1},
     true,
     false,
     1,
     70,
     PH_COUNTER_PEER_SEND_QUEUE_FULL,
     6},
    {"no listener, then back-off",
     {"x", 1},
     false,
     true,
     1,
     8,
     PH_COUNTER_PEER_SEND_BACK_OFF,
     7},
};

static void
check_dropped_send(const PhDroppedSendCase *c)
{
    static char bytes[PH_PEERS_PAYLOAD_MAX_BYTES + 1];
    PhPeersFixture f = PhPeersFixture_Create();
    PhStr address;
    PhRawPeer raw = raw_create(&address);
    start_with_old_key(&f, 0, (PhStr){0});
    PhPeersFixture_Run(&f, 1000);
    if (c->to_closed_port) {
        close(raw.listener);
        raw.listener = -1;
    }
    for (int i = 0; i < c->sends; i++) {
        PhPeersNode_Send(&f.nodes[0], c->member,
                         c->to_raw || c->to_closed_port ? address : (PhStr){0},
                         PhStr_FromBytes(bytes, (size_t)c->bytes));
        PhPeersFixture_RunLoop(&f);
    }
    assert_int_equal(PhCounters_Get(f.nodes[0].counters, c->counter),
                     c->counted);
    raw_destroy(&raw);
    PhStr_Clear(&address);
    PhPeersFixture_Destroy(&f);
}

/* Guards against payloads that the sender drops without counting them. */
static void
test_dropped_sends(void **state)
{
    (void)state;
    Ph_RUN_TABLE(dropped_send_cases, check_dropped_send);
}

/* Guards against unbounded buffering for a peer that stops reading. */
static void
test_slow_reader(void **state)
{
    static char bytes[PH_PEERS_PAYLOAD_MAX_BYTES];
    PhPeersFixture f = PhPeersFixture_Create();
    PhStr address;
    PhRawPeer raw = raw_create(&address);
    (void)state;
    start_with_old_key(&f, 0, (PhStr){0});
    PhPeersNode_Send(&f.nodes[0], PhStr_LITERAL("raw"), address, PH_PEERS_OWN);
    for (int i = 0; i < 10 && raw.data == 0; i++) {
        PhPeersFixture_RunLoop(&f);
        raw_serve(&raw);
    }
    assert_int_equal(raw.data, 1);
    for (int i = 0; i < 1000; i++) {
        PhPeersNode_Send(&f.nodes[0], PhStr_LITERAL("raw"), address,
                         PhStr_FromBytes(bytes, sizeof(bytes)));
        PhPeersFixture_RunLoop(&f);
    }
    assert_true(PhCounters_Get(f.nodes[0].counters,
                               PH_COUNTER_PEER_SEND_QUEUE_FULL) > 0);
    raw_destroy(&raw);
    PhStr_Clear(&address);
    PhPeersFixture_Destroy(&f);
}

/* Guards against a lost view: a subscriber whose mailbox is full at a change
 * must get the view later. */
static void
test_full_subscriber(void **state)
{
    PhPeersFixture f = PhPeersFixture_Create();
    PhPeersNode *a = &f.nodes[0];
    PhMembersMessage drain = {.tag = PH_MEMBERS_DRAIN};
    PhPeersMessage filler = {.tag = PH_PEERS_RECEIVED};
    (void)state;
    start_with_old_key(&f, 0, (PhStr){0});
    PhPeersFixture_Run(&f, 1000);
    PhKernel_Send(a->kernel, a->task,
                  PhKernel_Lookup(a->kernel, PH_SERVICE_MEMBERS),
                  PhMembersMessage_Wrap(&drain));
    for (int i = 0; i < PH_PEERS_INBOX_CAPACITY; i++) {
        PhKernel_Send(a->kernel, a->task, a->task,
                      PhPeersMessage_Wrap(&filler));
    }
    PhPeersFixture_RunLoop(&f);
    assert_false(a->inbox.view.members[0].draining);
    PhPeersFixture_Run(&f, 2000);
    assert_true(a->inbox.view.members[0].draining);
    PhPeersFixture_Destroy(&f);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_pair),
        cmocka_unit_test(test_end),
        cmocka_unit_test(test_unauthenticated),
        cmocka_unit_test(test_silent),
        cmocka_unit_test(test_dropped_sends),
        cmocka_unit_test(test_slow_reader),
        cmocka_unit_test(test_full_subscriber),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
