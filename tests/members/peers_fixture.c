#include "peers_fixture.h"

#include <stdio.h>

#include "peridothill/services/interface.h"
#include "tests/table.h"

enum {
    LOOP_ITERATIONS = 8, /* iterations of the event loop per clock step */
};

#define LOOPBACK PhStr_LITERAL("127.0.0.1:0")

/* Subscribes to views and payloads, and stores what arrives. */
static void
inbox_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhPeersInbox *inbox = state;
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

void
PhPeersNode_Start(PhPeersFixture *f, int i, PhStr deployment,
                  const PhStr *keys, size_t key_count, PhStr seed)
{
    PhPeersNode *n = &f->nodes[i];
    uint16_t port = 0;
    char text[32];
    n->id = PhStr_Dup(i == 0 ? PhStr_LITERAL("a") : PhStr_LITERAL("b"));
    n->counters = PhCounters_Create();
    n->kernel = PhKernel_Create(&(PhKernelOptions){
        .clock = f->clock, .loop = f->loop, .counters = n->counters});
    PhResult r = PhPeers_Start(n->kernel,
                               &(PhPeersOptions){.listen = LOOPBACK,
                                                 .id = n->id,
                                                 .data_centre = PH_PEERS_OWN,
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
                                       .data_centre = PH_PEERS_OWN,
                                       .address = n->address,
                                       .seeds = &seed,
                                       .seed_count = seed.len > 0 ? 1 : 0,
                                       .incarnation = 1,
                                       .seed = (uint64_t)i});
    assert_int_equal(status, PH_STATUS_OK);
    PhTaskSpec spec = {.name = PhStr_LITERAL("inbox"),
                       .mailbox_capacity = PH_PEERS_INBOX_CAPACITY,
                       .state = &n->inbox,
                       .handle = inbox_handle};
    PhKernel_Spawn(n->kernel, &spec, &n->task);
}

PhPeersFixture
PhPeersFixture_Create(void)
{
    return (PhPeersFixture){.loop = ev_loop_new(0),
                            .clock = PhClock_Create(PH_CLOCK_PAUSED)};
}

void
PhPeersNode_Destroy(PhPeersNode *n)
{
    PhKernel_Destroy(n->kernel);
    PhCounters_Destroy(n->counters);
    PhMembersView_Clear(&n->inbox.view);
    PhStr_Clear(&n->inbox.last);
    PhStr_Clear(&n->id);
    PhStr_Clear(&n->address);
    *n = (PhPeersNode){0};
}

void
PhPeersFixture_Destroy(PhPeersFixture *f)
{
    for (int i = 0; i < PH_PEERS_NODES; i++) {
        PhPeersNode_Destroy(&f->nodes[i]);
    }
    PhClock_Destroy(f->clock);
    ev_loop_destroy(f->loop);
}

void
PhPeersFixture_RunLoop(PhPeersFixture *f)
{
    for (int i = 0; i < LOOP_ITERATIONS; i++) {
        ev_run(f->loop, EVRUN_NOWAIT);
    }
}

void
PhPeersFixture_Run(PhPeersFixture *f, int ms)
{
    for (int t = 0; t < ms; t += PH_PEERS_STEP_MS) {
        PhClock_Advance(f->clock, PH_PEERS_STEP_MS * PH_NS_PER_MS);
        PhPeersFixture_RunLoop(f);
    }
}

void
PhPeersNode_Send(PhPeersNode *n, PhStr member, PhStr address, PhStr payload)
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

PhMemberState
PhPeersNode_Sees(const PhPeersNode *n, PhStr id)
{
    const PhMember *m = PhMembersView_Find(&n->inbox.view, id);
    return m == NULL ? PH_MEMBER_DEAD : m->state;
}
