#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peridothill/codec/peer_session.h"
#include "peridothill/services/interface.h"
#include "peridothill/services/members.h"
#include "peridothill/services/peers.h"
#include "tests/table.h"

enum {
    NODES = 2,
    STEP_MS = 50,
    PUMPS = 8, /* turns of the loop in one step of the clock */
    PAYLOADS_MAX = 8192,
};

#define OLD_KEY PhStr_LITERAL("old-key-old-key-old-key-old-key-")
#define NEW_KEY PhStr_LITERAL("new-key-new-key-new-key-new-key-")
#define OWN PhStr_LITERAL("unit")
#define LOOPBACK PhStr_LITERAL("127.0.0.1:0")

/* What a node's own task has received. */
typedef struct PhInbox {
    PhMembersView view;
    size_t payloads;
    PhStr last; /* latest payload */
} PhInbox;

/* One instance with its tasks. */
typedef struct PhNode {
    PhCounters *counters;
    PhKernel *kernel;
    PhInbox inbox;
    PhTaskRef task;
    PhStr id;
    PhStr address;
} PhNode;

/* Instances on one loop and one paused clock. */
typedef struct PhFixture {
    struct ev_loop *loop;
    PhClock *clock;
    PhNode nodes[NODES];
} PhFixture;

/* Takes views and payloads. */
static void
inbox_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhInbox *inbox = state;
    if (mail->kind == PH_MAIL_START) {
        PhMembersMessage subscribe = {.tag = PH_MEMBERS_SUBSCRIBE};
        PhPeersMessage listen = {.tag = PH_PEERS_LISTEN,
                                 .as.listen = PH_CHANNEL_CONFIG};
        PhTask_SendTo(self, PH_SERVICE_MEMBERS,
                      PhMembersMessage_Wrap(&subscribe));
        PhTask_SendTo(self, PH_SERVICE_PEERS, PhPeersMessage_Wrap(&listen));
    }
    else if (mail->kind == PH_MAIL_MESSAGE &&
             mail->as.message.interface == PH_INTERFACE_MEMBERS) {
        const PhMembersMessage *m = mail->as.message.body;
        assert_true(m->as.view.sequence >= inbox->view.sequence);
        PhMembersView_Clear(&inbox->view);
        inbox->view = PhMembersView_Copy(&m->as.view);
    }
    else if (mail->kind == PH_MAIL_MESSAGE) {
        const PhPeersMessage *m = mail->as.message.body;
        PhStr_Clear(&inbox->last);
        inbox->last = PhStr_Dup(m->as.received.payload);
        inbox->payloads++;
    }
}

/* Starts one instance. */
static void
node_start(PhFixture *f, int i, PhStr deployment, const PhStr *keys,
           size_t key_count, PhStr seed)
{
    PhNode *n = &f->nodes[i];
    uint16_t port = 0;
    char text[32];
    n->id = PhStr_Dup(i == 0 ? PhStr_LITERAL("a") : PhStr_LITERAL("b"));
    n->counters = PhCounters_Create();
    n->kernel = PhKernel_Create(&(PhKernelOptions){
        .clock = f->clock, .loop = f->loop, .counters = n->counters});
    PhResult r = PhPeers_Start(n->kernel,
                               &(PhPeersOptions){.listen = LOOPBACK,
                                                 .id = n->id,
                                                 .data_centre = OWN,
                                                 .deployment = deployment,
                                                 .keys = keys,
                                                 .key_count = key_count,
                                                 .seed = (uint64_t)i},
                               &port);
    assert_true(PhResult_IsOk(&r));
    snprintf(text, sizeof(text), "127.0.0.1:%u", port);
    n->address = PhStr_Dup(PhStr_FromC(text));
    PhStatus status = PhMembers_Start(
        n->kernel, &(PhMembersOptions){.id = n->id,
                                       .data_centre = OWN,
                                       .address = n->address,
                                       .seeds = &seed,
                                       .seed_count = seed.len > 0 ? 1 : 0,
                                       .incarnation = 1,
                                       .seed = (uint64_t)i});
    assert_int_equal(status, PH_STATUS_OK);
    PhTaskSpec spec = {.name = PhStr_LITERAL("inbox"),
                       .mailbox_capacity = 64,
                       .state = &n->inbox,
                       .handle = inbox_handle};
    PhKernel_Spawn(n->kernel, &spec, &n->task);
}

/* Creates a fixture in which no instance runs. */
static PhFixture
fixture_create(void)
{
    return (PhFixture){.loop = ev_loop_new(0),
                       .clock = PhClock_Create(PH_CLOCK_PAUSED)};
}

/* Ends one instance without a word. */
static void
node_destroy(PhNode *n)
{
    PhKernel_Destroy(n->kernel);
    PhCounters_Destroy(n->counters);
    PhMembersView_Clear(&n->inbox.view);
    PhStr_Clear(&n->inbox.last);
    PhStr_Clear(&n->id);
    PhStr_Clear(&n->address);
    *n = (PhNode){0};
}

/* Releases the fixture. */
static void
fixture_destroy(PhFixture *f)
{
    for (int i = 0; i < NODES; i++) {
        node_destroy(&f->nodes[i]);
    }
    PhClock_Destroy(f->clock);
    ev_loop_destroy(f->loop);
}

/* Lets the loop turn a few times at the current time. */
static void
turn(PhFixture *f)
{
    for (int i = 0; i < PUMPS; i++) {
        ev_run(f->loop, EVRUN_NOWAIT);
    }
}

/* Advances the clock in steps and lets all instances run. */
static void
run(PhFixture *f, int ms)
{
    for (int t = 0; t < ms; t += STEP_MS) {
        PhClock_Advance(f->clock, STEP_MS * PH_NS_PER_MS);
        turn(f);
    }
}

/* Sends a payload from one instance to a member or an address. */
static void
send_payload(PhNode *n, PhStr member, PhStr address, PhStr payload)
{
    PhPeersMessage m = {.tag = PH_PEERS_SEND,
                        .as.send = {.member = PhStr_Dup(member),
                                    .address = PhStr_Dup(address),
                                    .channel = PH_CHANNEL_CONFIG,
                                    .payload = PhStr_Dup(payload)}};
    PhKernel_Send(n->kernel, n->task,
                  PhKernel_Lookup(n->kernel, PH_SERVICE_PEERS),
                  PhPeersMessage_Wrap(&m));
}

/* Gives the state in which one node sees the other; DEAD when unknown. */
static PhMemberState
sees(const PhNode *n, PhStr id)
{
    const PhMember *m = PhMembersView_Find(&n->inbox.view, id);
    return m == NULL ? PH_MEMBER_DEAD : m->state;
}

/* Keys and deployments of two instances, and whether they get a link. */
typedef struct PhPairCase {
    const char *name;
    const char *deployment;
    PhStr keys[NODES][2];
    size_t key_counts[NODES];
    PhCounter refused; /* on either side, unless linked */
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
    {"rotation, one accepts the new key",
     "test",
     {{OLD_KEY, NEW_KEY}, {OLD_KEY}},
     {2, 1},
     0,
     true},
    {"rotation, one proves by the new key",
     "test",
     {{NEW_KEY, OLD_KEY}, {OLD_KEY, NEW_KEY}},
     {2, 2},
     0,
     true},
    {"rotation, one has dropped the old key",
     "test",
     {{NEW_KEY}, {NEW_KEY, OLD_KEY}},
     {1, 2},
     0,
     true},
};

/* Starts two instances; b knows the address of a. */
static void
check_pair(const PhPairCase *c)
{
    PhFixture f = fixture_create();
    PhNode *a = &f.nodes[0];
    PhNode *b = &f.nodes[1];
    node_start(&f, 0, PhStr_LITERAL("test"), c->keys[0], c->key_counts[0],
               (PhStr){0});
    node_start(&f, 1, PhStr_FromC(c->deployment), c->keys[1], c->key_counts[1],
               a->address);
    run(&f, 5000);
    PhMemberState expected = c->linked ? PH_MEMBER_ALIVE : PH_MEMBER_DEAD;
    assert_int_equal(sees(a, b->id), expected);
    assert_int_equal(sees(b, a->id), expected);
    if (c->linked) {
        send_payload(a, b->id, (PhStr){0}, PhStr_LITERAL("to b"));
        send_payload(b, a->id, (PhStr){0}, PhStr_LITERAL("to a"));
        run(&f, 200);
        assert_true(PhStr_Equal(b->inbox.last, PhStr_LITERAL("to b")));
        assert_true(PhStr_Equal(a->inbox.last, PhStr_LITERAL("to a")));
    }
    else {
        assert_true(PhCounters_Get(a->counters, c->refused) +
                        PhCounters_Get(b->counters, c->refused) >
                    0);
    }
    fixture_destroy(&f);
}

/* Two instances over real sockets. */
static void
test_pair(void **state)
{
    (void)state;
    Ph_RUN_TABLE(pair_cases, check_pair);
}

/* Runs the tests of the links. */
int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_pair),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
