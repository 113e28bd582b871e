/* A libFuzzer target for bytes received from peers.  Usage: fuzz_frames
 * CORPUS_FOLDER */
#include "peridothill/codec/member_message.h"
#include "peridothill/codec/peer_session.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Decodes the input as the first bytes of an accepted connection. */
static void
feed_session(PhStr bytes)
{
    static const PhPeerIdentity identity = {
        .member = {"a", 1},
        .deployment = {"test", 4},
        .version_min = PH_PEER_VERSION_MIN,
        .version_max = PH_PEER_VERSION_MAX,
        .keys = {{"0123456789abcdef0123456789abcdef", PH_PEER_KEY_BYTES}},
        .key_count = 1,
    };
    PhPeerNonces *nonces = PhPeerNonces_Create(1);
    PhPeerSession *session =
        PhPeerSession_Create(&identity, PH_PEER_ACCEPTING, nonces);
    PhBuf in = {0};
    PhBuf out = {0};
    PhBuf_Append(&in, bytes);
    while (PhPeerSession_Next(session, &in, &out).kind != PH_PEER_EVENT_NONE) {
    }
    PhPeerSession_Destroy(session);
    PhPeerNonces_Destroy(nonces);
    PhBuf_Clear(&in);
    PhBuf_Clear(&out);
}

/* Decodes the input both as frames and as the payload of a member message. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    PhStr bytes = PhStr_FromBytes(data, size);
    PhMemberMessage message;
    feed_session(bytes);
    if (PhMemberMessage_Decode(bytes, &message) == PH_STATUS_OK) {
        PhMemberMessage_Clear(&message);
    }
    return 0;
}
