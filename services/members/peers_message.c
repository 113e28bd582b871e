#include "peridothill/services/interface.h"
#include "peridothill/services/peers.h"

static void
message_release(void *body)
{
    PhPeersMessage *m = body;
    switch (m->tag) {
    case PH_PEERS_SEND:
        PhStr_Clear(&m->as.send.member);
        PhStr_Clear(&m->as.send.address);
        PhStr_Clear(&m->as.send.payload);
        break;
    case PH_PEERS_RECEIVED:
        PhStr_Clear(&m->as.received.member);
        PhStr_Clear(&m->as.received.data_centre);
        PhStr_Clear(&m->as.received.payload);
        break;
    case PH_PEERS_LISTEN:
        break;
    }
    g_free(m);
}

PhMessage
PhPeersMessage_Wrap(const PhPeersMessage *body)
{
    return PhMessage_Copy(PH_INTERFACE_PEERS, body, sizeof(*body),
                          message_release);
}
