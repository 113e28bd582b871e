#include "members_wire.h"

#include "peridothill/codec/member_message.h"
#include "peridothill/codec/peer_session.h"
#include "peridothill/common/invariant.h"
#include "peridothill/services/peers.h"

enum {
    PACKET_HEADER_BYTES = 52, /* IP and TCP headers with timestamps */
    ACKED_PACKET_BYTES = 2 * PACKET_HEADER_BYTES,
    SETUP_PACKETS = 8, /* SYN, FIN and their acknowledgements */
    SETUP_FRAMES = 3,  /* greeting, greeting with proof, proof */
    LINK_IDLE_S = 120,
};

struct PhMembersWire {
    GHashTable *links; /* pair of members to time of last use */
    PhPeerNonces *nonces;
    PhPeerSession *sender; /* all frames use one pair of sessions */
    PhPeerSession *receiver;
    uint64_t setup_bytes;
    PhMembersWireCounts counts;
};

static void
session_feed(PhPeerSession *session, PhBuf *in, PhBuf *out)
{
    while (PhPeerSession_Next(session, in, out).kind != PH_PEER_EVENT_NONE) {
    }
}

/* Completes the handshake of the two sessions and counts its bytes. */
static void
sessions_open(PhMembersWire *w)
{
    static const char key[PH_PEER_KEY_BYTES] =
        "0123456789abcdef0123456789abcde";
    PhPeerIdentity identity = {.member = PhStr_LITERAL("instance-0000"),
                               .data_centre = PhStr_LITERAL("data-centre-0"),
                               .deployment = PhStr_LITERAL("bench"),
                               .version_min = PH_PEER_VERSION_MIN,
                               .version_max = PH_PEER_VERSION_MAX,
                               .keys = {PhStr_FromBytes(key, sizeof(key))},
                               .key_count = 1};
    PhBuf to_receiver = {0};
    PhBuf to_sender = {0};
    w->nonces = PhPeerNonces_Create(2);
    w->sender = PhPeerSession_Create(&identity, PH_PEER_CONNECTING, w->nonces);
    w->receiver =
        PhPeerSession_Create(&identity, PH_PEER_ACCEPTING, w->nonces);
    PhPeerSession_Start(w->sender, &to_receiver);
    w->setup_bytes = to_receiver.len;
    session_feed(w->receiver, &to_receiver, &to_sender);
    w->setup_bytes += to_sender.len;
    session_feed(w->sender, &to_sender, &to_receiver);
    w->setup_bytes += to_receiver.len;
    session_feed(w->receiver, &to_receiver, &to_sender);
    w->setup_bytes +=
        (uint64_t)(SETUP_PACKETS + 2 * SETUP_FRAMES) * PACKET_HEADER_BYTES;
    PhBuf_Clear(&to_receiver);
    PhBuf_Clear(&to_sender);
}

PhMembersWire *
PhMembersWire_Create(void)
{
    PhMembersWire *wire = g_new0(PhMembersWire, 1);
    wire->links =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    sessions_open(wire);
    return wire;
}

void
PhMembersWire_Destroy(PhMembersWire *wire)
{
    PhPeerSession_Destroy(wire->sender);
    PhPeerSession_Destroy(wire->receiver);
    PhPeerNonces_Destroy(wire->nonces);
    g_hash_table_destroy(wire->links);
    g_free(wire);
}

PhMembersWireCounts
PhMembersWire_Counts(const PhMembersWire *wire)
{
    return wire->counts;
}

void
PhMembersWire_RecordUse(PhMembersWire *wire, uint32_t a, uint32_t b,
                        PhTime now)
{
    gint64 key = ((gint64)MIN(a, b) << 32) | MAX(a, b);
    PhTime *last_used = g_hash_table_lookup(wire->links, &key);
    if (last_used != NULL && now - *last_used < LINK_IDLE_S * PH_NS_PER_S) {
        *last_used = now;
        return;
    }
    wire->counts.links_opened++;
    wire->counts.wire_bytes += wire->setup_bytes;
    g_hash_table_insert(wire->links, g_memdup2(&key, sizeof(key)),
                        g_memdup2(&now, sizeof(now)));
}

/* The cost is the packet with the frame and the packet that acknowledges
 * it. */
PhMemberMessage
PhMembersWire_Transfer(PhMembersWire *wire, const PhMemberMessage *message)
{
    PhBuf payload = {0};
    PhBuf frame = {0};
    PhBuf none = {0};
    PhMemberMessage copy = {.kind = PH_MEMBER_UPDATES};
    PhMemberMessage_Encode(message, &payload);
    PhPeerSession_Send(wire->sender, PH_CHANNEL_MEMBERS, PhBuf_Str(&payload),
                       &frame);
    wire->counts.frame_bytes += frame.len;
    wire->counts.wire_bytes += frame.len + ACKED_PACKET_BYTES;
    PhPeerEvent e = PhPeerSession_Next(wire->receiver, &frame, &none);
    Ph_INVARIANT(PH_INVARIANT_MEMBER,
                 e.kind == PH_PEER_EVENT_DATA &&
                     PhMemberMessage_Decode(e.as.data.payload, &copy) ==
                         PH_STATUS_OK,
                 "kind=%d", e.kind);
    PhBuf_Clear(&payload);
    PhBuf_Clear(&frame);
    PhBuf_Clear(&none);
    return copy;
}

size_t
PhMembersWire_OpenLinks(const PhMembersWire *wire, PhTime now)
{
    size_t kept = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, wire->links);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        kept += now - *(PhTime *)value < LINK_IDLE_S * PH_NS_PER_S;
    }
    return kept;
}
