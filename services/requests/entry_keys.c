#include "entry_internal.h"
#include "peridothill/codec/key_message.h"
#include "peridothill/services/interface.h"
#include "peridothill/services/peers.h"

static PhKeyTag
key_tag(PhRequestsActionTag tag)
{
    if (tag == PH_REQUESTS_CLAIM) {
        return PH_KEY_CLAIM;
    }
    return tag == PH_REQUESTS_CLAIM_ANSWER ? PH_KEY_VERDICT : PH_KEY_RELEASE;
}

/* Sends a claim, its verdict or its release to another instance. If the
 * message is lost, the claim times out and the request is refused with
 * "not-run". */
void
PhEntry_SendKey(PhEntry *entry, const PhRequestsAction *action)
{
    const PhClaimAction *claim = &action->as.claim;
    PhKeyMessage message = {.tag = key_tag(action->tag),
                            .request = claim->request,
                            .key = claim->key,
                            .verdict = claim->verdict};
    PhBuf payload = {0};
    PhKeyMessage_Encode(&message, &payload);
    PhPeersMessage body = {.tag = PH_PEERS_SEND,
                           .as.send = {.member = PhStr_Dup(claim->member),
                                       .channel = PH_CHANNEL_KEYS,
                                       .payload = PhBuf_Take(&payload)}};
    PhTask_SendTo(entry->self, PH_SERVICE_PEERS, PhPeersMessage_Wrap(&body));
    if (message.tag == PH_KEY_CLAIM) {
        PhCounters_Add(PhKernel_Counters(PhTask_Kernel(entry->self)),
                       PH_COUNTER_KEYS_CLAIMED, 1);
    }
}

static void
report_malformed(PhEntry *entry, PhStr member)
{
    PhCounters_Add(PhKernel_Counters(PhTask_Kernel(entry->self)),
                   PH_COUNTER_KEYS_MALFORMED, 1);
    PhTask_LOG(entry->self, PH_EVENT_KEY_MESSAGE_MALFORMED,
               PhField_STR("member", member));
}

void
PhEntry_ReceiveKey(PhEntry *entry, PhStr member, PhStr payload)
{
    PhKeyMessage message;
    if (!PhKeyMessage_Decode(payload, &message)) {
        report_malformed(entry, member);
        return;
    }
    PhClaimRequest asked = {
        .member = member, .key = message.key, .request = message.request};
    PhRequestsEvent event = {.as.claim = asked};
    switch (message.tag) {
    case PH_KEY_CLAIM:
        event.tag = PH_REQUESTS_CLAIM_RECEIVED;
        PhCounters_Add(PhKernel_Counters(PhTask_Kernel(entry->self)),
                       PH_COUNTER_KEYS_ASKED, 1);
        break;
    case PH_KEY_RELEASE:
        event.tag = PH_REQUESTS_CLAIM_RELEASED;
        break;
    case PH_KEY_VERDICT:
        event.tag = PH_REQUESTS_CLAIM_REPLIED;
        event.as.claim_replied = (PhClaimReply){.request = message.request,
                                                .verdict = message.verdict};
        break;
    }
    PhEntry_Decide(entry, &event);
    PhStr_Clear(&message.key);
}
