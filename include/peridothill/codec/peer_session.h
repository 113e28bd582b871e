/* Authenticated and encrypted sessions between instances, without the sockets.
 *
 * A frame is a body preceded by its length as a 32-bit big-endian number.
 * Each side sends a greeting (a msgpack map with a fresh nonce), then a proof:
 * the start of a secretstream keyed by the shared key and both greetings. All
 * later frames continue that stream, so none can be altered, repeated, left
 * out or moved to another connection. */
#ifndef PERIDOTHILL_CODEC_PEER_SESSION_H
#define PERIDOTHILL_CODEC_PEER_SESSION_H

#include "peridothill/common/str.h"

enum {
    PH_PEER_KEY_BYTES = 32,
    PH_PEER_NONCE_BYTES = 32,
    PH_PEER_KEYS_MAX = 2,
    PH_PEER_NAME_MAX_BYTES = 64,
    PH_PEER_GREETING_MAX_BYTES = 512,
    PH_PEER_BODY_MAX_BYTES = 64 * 1024 + 128,
    PH_PEER_LENGTH_BYTES = 4,
    PH_PEER_VERSION_MIN = 1,
    PH_PEER_VERSION_MAX = 1,
};

/* Why a frame is refused. The numbers appear in the process log. */
typedef enum PhFrameRefusal {
    PH_FRAME_TOO_LONG,
    PH_FRAME_MALFORMED,
    PH_FRAME_VERSION,    /* no version in common */
    PH_FRAME_DEPLOYMENT, /* peer belongs to another deployment */
    PH_FRAME_REPLAYED,   /* nonce was seen before */
    PH_FRAME_UNPROVED,   /* wrong key; or altered, repeated or out of order */
} PhFrameRefusal;

/* Bounded set of recently received nonces. */
typedef struct PhPeerNonces PhPeerNonces;

PhPeerNonces *PhPeerNonces_Create(size_t capacity);
void PhPeerNonces_Destroy(PhPeerNonces *nonces);
/* Returns false if the set already holds the nonce. Evicts the oldest nonce
 * when the set is full. */
bool PhPeerNonces_Add(PhPeerNonces *nonces, PhStr nonce);

/* What this instance announces in its greeting. Borrowed; `keys` holds one or
 * two. */
typedef struct PhPeerIdentity {
    PhStr member;
    PhStr data_centre;
    PhStr deployment;
    uint64_t version_min;
    uint64_t version_max;
    PhStr keys[PH_PEER_KEYS_MAX];
    size_t key_count;
} PhPeerIdentity;

typedef enum PhPeerEventKind {
    PH_PEER_EVENT_NONE,  /* more bytes are needed */
    PH_PEER_EVENT_READY, /* the peer is authenticated; payloads may be sent */
    PH_PEER_EVENT_DATA,
    PH_PEER_EVENT_PING, /* the answer was appended to the output */
    PH_PEER_EVENT_PONG,
    PH_PEER_EVENT_IGNORED, /* a handshake frame, or a frame of unknown kind */
    PH_PEER_EVENT_REFUSED, /* the connection must be closed */
} PhPeerEventKind;

/* Result of processing a frame. The payload is valid until the next call. */
typedef struct PhPeerEvent {
    PhPeerEventKind kind;
    union {
        struct {
            uint64_t channel;
            PhStr payload;
        } data;
        PhFrameRefusal refused;
    } as;
} PhPeerEvent;

typedef enum PhPeerRole {
    PH_PEER_CONNECTING,
    PH_PEER_ACCEPTING,
} PhPeerRole;

typedef struct PhPeerSession PhPeerSession;

/* Copies the identity. `nonces` is shared by the sessions of an instance and
 * must outlive them. */
PhPeerSession *PhPeerSession_Create(const PhPeerIdentity *identity,
                                    PhPeerRole role, PhPeerNonces *nonces);
void PhPeerSession_Destroy(PhPeerSession *session);
/* The connecting side sends its greeting; the accepting side sends nothing. */
void PhPeerSession_Start(PhPeerSession *session, PhBuf *out);
/* Consumes one complete frame from `in` and appends answers to `out`. */
PhPeerEvent PhPeerSession_Next(PhPeerSession *session, PhBuf *in, PhBuf *out);
bool PhPeerSession_IsReady(const PhPeerSession *session);
/* These append an encrypted frame; allowed only when ready. `content` is an
 * encoded frame. */
void PhPeerSession_Seal(PhPeerSession *session, PhStr content, PhBuf *out);
void PhPeerSession_Send(PhPeerSession *session, uint64_t channel,
                        PhStr payload, PhBuf *out);
void PhPeerSession_Ping(PhPeerSession *session, PhBuf *out);
/* Identity that the peer claims; authenticated once ready. */
PhStr PhPeerSession_Member(const PhPeerSession *session);
PhStr PhPeerSession_DataCentre(const PhPeerSession *session);
/* Negotiated protocol version. */
uint64_t PhPeerSession_Version(const PhPeerSession *session);

#endif
