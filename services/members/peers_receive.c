#include "peers_task.h"
#include "peridothill/services/interface.h"

static PhCounter
refusal_counter(PhFrameRefusal reason)
{
    switch (reason) {
    case PH_FRAME_TOO_LONG:
        return PH_COUNTER_PEER_FRAME_TOO_LONG;
    case PH_FRAME_MALFORMED:
        return PH_COUNTER_PEER_FRAME_MALFORMED;
    case PH_FRAME_VERSION:
        return PH_COUNTER_PEER_FRAME_VERSION;
    case PH_FRAME_DEPLOYMENT:
        return PH_COUNTER_PEER_FRAME_DEPLOYMENT;
    case PH_FRAME_REPLAYED:
        return PH_COUNTER_PEER_FRAME_REPLAYED;
    case PH_FRAME_UNPROVED:
        return PH_COUNTER_PEER_FRAME_UNPROVED;
    }
    return PH_COUNTER_PEER_FRAME_MALFORMED;
}

static void
on_refused(PhPeersTask *p, PhTask *self, PhPeerLink *link,
           PhFrameRefusal reason)
{
    PhPeers_Count(self, refusal_counter(reason), 1);
    PhTask_LOG(self, PH_EVENT_PEER_LINK_REFUSED,
               PhField_STR("member", PhPeerSession_Member(link->session)),
               PhField_STR("address", link->address),
               PhField_I64("reason", reason));
    PhPeers_CloseLink(p, self, link, PH_LINK_END_REFUSED);
}

/* Sends the queued payloads, except those for another member. */
static void
waiting_send(PhTask *self, PhPeerLink *link)
{
    PhStr member = PhPeerSession_Member(link->session);
    PhPeersSend *send;
    while ((send = g_queue_pop_head(&link->waiting)) != NULL) {
        if (!PhStr_IsEmpty(send->member) &&
            !PhStr_Equal(send->member, member)) {
            PhPeers_Count(self, PH_COUNTER_PEER_SEND_OTHER_MEMBER, 1);
        }
        else if (PhPeerLink_Send(link, send, PhTask_Now(self)) !=
                 PH_STATUS_OK) {
            PhPeers_Count(self, PH_COUNTER_PEER_SEND_QUEUE_FULL, 1);
        }
        PhStr_Clear(&send->member);
        PhStr_Clear(&send->payload);
        g_free(send);
    }
}

/* Returns false if the link leads to this instance itself, and closes it. */
static bool
on_ready(PhPeersTask *p, PhTask *self, PhPeerLink *link)
{
    PhStr member = PhPeerSession_Member(link->session);
    if (PhStr_Equal(member, p->identity.member)) {
        PhPeers_CloseLink(p, self, link, PH_LINK_END_SELF);
        return false;
    }
    link->stage = PH_LINK_READY;
    g_hash_table_replace(p->by_member, PhStr_KeyCreate(member), link);
    if (!PhStr_IsEmpty(link->address)) {
        PhPeers_ClearBackOff(p, link->address);
    }
    PhTask_LOG(self, PH_EVENT_PEER_LINK_READY, PhField_STR("member", member),
               PhField_STR("address", link->address),
               PhField_U64("version", PhPeerSession_Version(link->session)));
    waiting_send(self, link);
    return true;
}

/* Delivers a payload to the listener of its channel. */
static void
on_data(PhPeersTask *p, PhTask *self, PhPeerLink *link, uint64_t channel,
        PhStr payload)
{
    link->used_at = PhTask_Now(self);
    if (channel == 0 || channel >= PH_CHANNEL_LIMIT) {
        PhPeers_Count(self, PH_COUNTER_PEER_DROP_CHANNEL, 1);
        return;
    }
    PhPeersMessage m = {
        .tag = PH_PEERS_RECEIVED,
        .as.received = {
            .member = PhStr_Dup(PhPeerSession_Member(link->session)),
            .data_centre = PhStr_Dup(PhPeerSession_DataCentre(link->session)),
            .channel = (PhChannel)channel,
            .payload = PhStr_Dup(payload)}};
    PhStatus status =
        PhTask_Send(self, p->listeners[channel], PhPeersMessage_Wrap(&m));
    if (status == PH_STATUS_FULL) {
        PhPeers_Count(self, PH_COUNTER_PEER_DROP_MAILBOX_FULL, 1);
    }
    else if (status != PH_STATUS_OK) {
        PhPeers_Count(self, PH_COUNTER_PEER_DROP_NO_LISTENER, 1);
    }
}

/* Returns false if the link was closed. */
static bool
event_handle(PhPeersTask *p, PhTask *self, PhPeerLink *link,
             const PhPeerEvent *event)
{
    switch (event->kind) {
    case PH_PEER_EVENT_READY:
        return on_ready(p, self, link);
    case PH_PEER_EVENT_DATA:
        on_data(p, self, link, event->as.data.channel, event->as.data.payload);
        return true;
    case PH_PEER_EVENT_REFUSED:
        on_refused(p, self, link, event->as.refused);
        return false;
    case PH_PEER_EVENT_NONE:
    case PH_PEER_EVENT_PING:
    case PH_PEER_EVENT_PONG:
    case PH_PEER_EVENT_IGNORED:
        return true;
    }
    return true;
}

void
PhPeers_ProcessFrames(PhPeersTask *p, PhTask *self, PhPeerLink *link)
{
    PhPeerEvent event;
    do {
        event = PhPeerSession_Next(link->session, &link->in, &link->out);
        if (!event_handle(p, self, link, &event)) {
            return;
        }
    } while (event.kind != PH_PEER_EVENT_NONE);
    PhPeers_FlushLink(p, self, link);
}
