/* Frames between instances, without the sockets: greeting, proof by a shared
 * key, then sealed frames.
 *
 * A frame is its length in four bytes, most significant first, and a body.
 * Each side sends a greeting (a msgpack map with a fresh nonce), then a proof:
 * a secretstream that is keyed by the shared key and both greetings.  Every
 * later frame continues that stream, so that none can be altered, repeated,
 * left out or moved to another connection. */
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

/* Why what a peer sent is refused. */
typedef enum PhFrameRefusal {
    PH_FRAME_TOO_LONG,
    PH_FRAME_MALFORMED,
    PH_FRAME_VERSION,    /* no version in common */
    PH_FRAME_DEPLOYMENT, /* it belongs to another deployment */
    PH_FRAME_REPLAYED,   /* a nonce that was seen before */
    PH_FRAME_UNPROVED,   /* wrong key; or altered, repeated, out of order */
} PhFrameRefusal;

/* Nonces of greetings seen lately, bounded. */
typedef struct PhPeerNonces PhPeerNonces;

PhPeerNonces *PhPeerNonces_Create(size_t capacity);
void PhPeerNonces_Destroy(PhPeerNonces *nonces);
/* False when the nonce was added before and is still kept. */
bool PhPeerNonces_Add(PhPeerNonces *nonces, PhStr nonce);

/* How this instance greets.  Borrowed; `keys` holds one or two. */
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
    PH_PEER_EVENT_READY, /* the peer is proved; payloads may be sent */
    PH_PEER_EVENT_DATA,
    PH_PEER_EVENT_PING, /* an answer was put into the output */
    PH_PEER_EVENT_PONG,
    PH_PEER_EVENT_IGNORED, /* a frame of a kind that is not known here */
    PH_PEER_EVENT_REFUSED, /* the connection is to be closed */
} PhPeerEventKind;

/* What the next frame was.  The payload is valid until the next call. */
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

/* Creates a session; it copies the identity.  `nonces` is shared by the
 * sessions of an instance and outlives them. */
PhPeerSession *PhPeerSession_Create(const PhPeerIdentity *identity,
                                    PhPeerRole role, PhPeerNonces *nonces);
void PhPeerSession_Destroy(PhPeerSession *session);
/* Appends what the role sends first. */
void PhPeerSession_Start(PhPeerSession *session, PhBuf *out);
/* Takes one frame from `in` and appends answers to `out`. */
PhPeerEvent PhPeerSession_Next(PhPeerSession *session, PhBuf *in, PhBuf *out);
bool PhPeerSession_IsReady(const PhPeerSession *session);
/* Append a sealed frame; only once ready.  The content of PhPeerSession_Seal
 * is the encoded frame. */
void PhPeerSession_Seal(PhPeerSession *session, PhStr content, PhBuf *out);
void PhPeerSession_Send(PhPeerSession *session, uint64_t channel,
                        PhStr payload, PhBuf *out);
void PhPeerSession_Ping(PhPeerSession *session, PhBuf *out);
/* Who the peer says it is; proved once ready. */
PhStr PhPeerSession_Member(const PhPeerSession *session);
PhStr PhPeerSession_DataCentre(const PhPeerSession *session);
/* The version both sides speak. */
uint64_t PhPeerSession_Version(const PhPeerSession *session);

#endif
