#include "peridothill/codec/peer_session.h"

#include <sodium.h>

#include "peer_greeting.h"
#include "peridothill/codec/unpack.h"
#include "peridothill/common/invariant.h"

/* Keys of the map in an encrypted frame. */
enum {
    FRAME_KIND = 1,
    FRAME_CHANNEL = 2,
    FRAME_PAYLOAD = 3,
};

/* Kinds of encrypted frames. */
enum {
    KIND_DATA = 1,
    KIND_PING = 2,
    KIND_PONG = 3,
};

enum {
    HEADER_BYTES = crypto_secretstream_xchacha20poly1305_HEADERBYTES,
    SEAL_BYTES = crypto_secretstream_xchacha20poly1305_ABYTES,
    DERIVED_KEY_BYTES = crypto_secretstream_xchacha20poly1305_KEYBYTES,
};

/* What the session expects next. */
typedef enum PhSessionStage {
    PH_SESSION_GREETING,
    PH_SESSION_PROOF,
    PH_SESSION_READY,
    PH_SESSION_REFUSED,
} PhSessionStage;

struct PhPeerSession {
    PhPeerIdentity identity; /* owns its strings */
    PhPeerRole role;
    PhSessionStage stage;
    PhPeerNonces *nonces;
    uint8_t nonce[PH_PEER_NONCE_BYTES];
    PhStr own_greeting;
    PhStr peer_greeting;
    PhStr member;
    PhStr data_centre;
    uint64_t version;
    crypto_secretstream_xchacha20poly1305_state push;
    crypto_secretstream_xchacha20poly1305_state pull;
    PhBuf plain; /* decrypted frame */
    PhUnpack unpack;
    bool unpacked; /* `unpack` must be closed */
};

/* Appends the length and space for a body of `len` bytes; returns the body. */
static uint8_t *
frame_begin(PhBuf *out, size_t len)
{
    for (int shift = 24; shift >= 0; shift -= 8) {
        PhBuf_AppendByte(out, (char)((len >> shift) & 0xff));
    }
    PhBuf_Reserve(out, len);
    uint8_t *body = (uint8_t *)out->data + out->len;
    out->len += len;
    return body;
}

PhPeerSession *
PhPeerSession_Create(const PhPeerIdentity *identity, PhPeerRole role,
                     PhPeerNonces *nonces)
{
    Ph_INVARIANT(PH_INVARIANT_PRECONDITION,
                 sodium_init() >= 0 && identity->key_count >= 1 &&
                     identity->key_count <= PH_PEER_KEYS_MAX,
                 "keys=%zu", identity->key_count);
    PhPeerSession *s = g_new0(PhPeerSession, 1);
    s->identity = *identity;
    s->identity.member = PhStr_Dup(identity->member);
    s->identity.data_centre = PhStr_Dup(identity->data_centre);
    s->identity.deployment = PhStr_Dup(identity->deployment);
    for (size_t i = 0; i < identity->key_count; i++) {
        s->identity.keys[i] = PhStr_Dup(identity->keys[i]);
    }
    s->role = role;
    s->nonces = nonces;
    randombytes_buf(s->nonce, sizeof(s->nonce));
    s->own_greeting = PhPeerGreeting_Encode(identity, s->nonce);
    return s;
}

static void
unpack_reset(PhPeerSession *s)
{
    if (s->unpacked) {
        PhUnpack_Close(&s->unpack);
        s->unpacked = false;
    }
}

void
PhPeerSession_Destroy(PhPeerSession *session)
{
    if (session == NULL) {
        return;
    }
    unpack_reset(session);
    for (size_t i = 0; i < session->identity.key_count; i++) {
        sodium_memzero((void *)session->identity.keys[i].data,
                       session->identity.keys[i].len);
        PhStr_Clear(&session->identity.keys[i]);
    }
    PhStr_Clear(&session->identity.member);
    PhStr_Clear(&session->identity.data_centre);
    PhStr_Clear(&session->identity.deployment);
    PhStr_Clear(&session->own_greeting);
    PhStr_Clear(&session->peer_greeting);
    PhStr_Clear(&session->member);
    PhStr_Clear(&session->data_centre);
    PhBuf_Clear(&session->plain);
    sodium_memzero(session, sizeof(*session));
    g_free(session);
}

static void
greeting_send(const PhPeerSession *s, PhBuf *out)
{
    memcpy(frame_begin(out, s->own_greeting.len), s->own_greeting.data,
           s->own_greeting.len);
}

void
PhPeerSession_Start(PhPeerSession *session, PhBuf *out)
{
    if (session->role == PH_PEER_CONNECTING) {
        greeting_send(session, out);
    }
}

/* Derives the key of one direction from a shared key and both greetings, which
 * hold the nonces. */
static void
key_derive(const PhPeerSession *s, PhStr key, PhPeerRole sender, uint8_t *out)
{
    bool connecting = s->role == PH_PEER_CONNECTING;
    PhStr first = connecting ? s->own_greeting : s->peer_greeting;
    PhStr second = connecting ? s->peer_greeting : s->own_greeting;
    uint8_t direction = (uint8_t)sender;
    crypto_generichash_state hash;
    crypto_generichash_init(&hash, (const uint8_t *)key.data, key.len,
                            DERIVED_KEY_BYTES);
    crypto_generichash_update(&hash, &direction, 1);
    crypto_generichash_update(&hash, (const uint8_t *)first.data, first.len);
    crypto_generichash_update(&hash, (const uint8_t *)second.data, second.len);
    crypto_generichash_final(&hash, out, DERIVED_KEY_BYTES);
}

/* Starts the outgoing stream with the first key. The proof is an empty
 * message. */
static void
proof_send(PhPeerSession *s, PhBuf *out)
{
    uint8_t key[DERIVED_KEY_BYTES];
    key_derive(s, s->identity.keys[0], s->role, key);
    uint8_t *body = frame_begin(out, HEADER_BYTES + SEAL_BYTES);
    crypto_secretstream_xchacha20poly1305_init_push(&s->push, body, key);
    crypto_secretstream_xchacha20poly1305_push(&s->push, body + HEADER_BYTES,
                                               NULL, NULL, 0, NULL, 0, 0);
    sodium_memzero(key, sizeof(key));
}

/* Starts the incoming stream with whichever key verifies the proof. */
static bool
proof_check(PhPeerSession *s, PhStr body)
{
    PhPeerRole peer =
        s->role == PH_PEER_CONNECTING ? PH_PEER_ACCEPTING : PH_PEER_CONNECTING;
    const uint8_t *data = (const uint8_t *)body.data;
    bool opened = false;
    if (body.len != HEADER_BYTES + SEAL_BYTES) {
        return false;
    }
    for (size_t i = 0; i < s->identity.key_count && !opened; i++) {
        uint8_t key[DERIVED_KEY_BYTES];
        key_derive(s, s->identity.keys[i], peer, key);
        crypto_secretstream_xchacha20poly1305_init_pull(&s->pull, data, key);
        opened = crypto_secretstream_xchacha20poly1305_pull(
                     &s->pull, NULL, NULL, NULL, data + HEADER_BYTES,
                     SEAL_BYTES, NULL, 0) == 0;
        sodium_memzero(key, sizeof(key));
    }
    return opened;
}

void
PhPeerSession_Seal(PhPeerSession *session, PhStr content, PhBuf *out)
{
    PhPeerSession *s = session;
    Ph_INVARIANT(PH_INVARIANT_PRECONDITION,
                 s->stage == PH_SESSION_READY &&
                     content.len + SEAL_BYTES <= PH_PEER_BODY_MAX_BYTES,
                 "stage=%d bytes=%zu", s->stage, content.len);
    uint8_t *body = frame_begin(out, content.len + SEAL_BYTES);
    crypto_secretstream_xchacha20poly1305_push(&s->push, body, NULL,
                                               (const uint8_t *)content.data,
                                               content.len, NULL, 0, 0);
}

/* Appends an encrypted frame without a payload. */
static void
seal_kind(PhPeerSession *s, uint64_t kind, PhBuf *out)
{
    PhBuf content = {0};
    msgpack_packer packer;
    msgpack_packer_init(&packer, &content, PhPack_Write);
    msgpack_pack_map(&packer, 1);
    PhPack_U64(&packer, FRAME_KIND, kind);
    PhPeerSession_Seal(s, PhBuf_Str(&content), out);
    PhBuf_Clear(&content);
}

void
PhPeerSession_Send(PhPeerSession *session, uint64_t channel, PhStr payload,
                   PhBuf *out)
{
    PhBuf content = {0};
    msgpack_packer packer;
    msgpack_packer_init(&packer, &content, PhPack_Write);
    msgpack_pack_map(&packer, 3);
    PhPack_U64(&packer, FRAME_KIND, KIND_DATA);
    PhPack_U64(&packer, FRAME_CHANNEL, channel);
    PhPack_Bytes(&packer, FRAME_PAYLOAD, payload);
    PhPeerSession_Seal(session, PhBuf_Str(&content), out);
    PhBuf_Clear(&content);
}

void
PhPeerSession_Ping(PhPeerSession *session, PhBuf *out)
{
    seal_kind(session, KIND_PING, out);
}

static PhPeerEvent
refuse(PhPeerSession *s, PhFrameRefusal reason)
{
    s->stage = PH_SESSION_REFUSED;
    return (PhPeerEvent){.kind = PH_PEER_EVENT_REFUSED, .as.refused = reason};
}

/* Negotiates the version and stores the peer's identity. Refuses another
 * deployment, and a nonce that is reused or this side's own. */
static bool
greeting_check(PhPeerSession *s, const PhPeerGreeting *g,
               PhFrameRefusal *reason)
{
    uint64_t low = MAX(g->version_min, s->identity.version_min);
    uint64_t high = MIN(g->version_max, s->identity.version_max);
    bool reflected = memcmp(g->nonce.data, s->nonce, sizeof(s->nonce)) == 0;
    if (!PhStr_Equal(g->deployment, s->identity.deployment)) {
        *reason = PH_FRAME_DEPLOYMENT;
        return false;
    }
    if (low > high) {
        *reason = PH_FRAME_VERSION;
        return false;
    }
    if (reflected || !PhPeerNonces_Add(s->nonces, g->nonce)) {
        *reason = PH_FRAME_REPLAYED;
        return false;
    }
    s->version = high;
    s->member = PhStr_Dup(g->member);
    s->data_centre = PhStr_Dup(g->data_centre);
    return true;
}

static PhPeerEvent
greeting_handle(PhPeerSession *s, PhStr body, PhBuf *out)
{
    PhUnpack unpack;
    PhPeerGreeting g;
    PhFrameRefusal reason = PH_FRAME_MALFORMED;
    bool accepted = PhUnpack_Open(&unpack, body) &&
                    PhPeerGreeting_Decode(PhUnpack_Root(&unpack), &g) &&
                    greeting_check(s, &g, &reason);
    PhUnpack_Close(&unpack);
    if (!accepted) {
        return refuse(s, reason);
    }
    s->peer_greeting = PhStr_Dup(body);
    if (s->role == PH_PEER_ACCEPTING) {
        greeting_send(s, out);
    }
    proof_send(s, out);
    s->stage = PH_SESSION_PROOF;
    return (PhPeerEvent){.kind = PH_PEER_EVENT_IGNORED};
}

static PhPeerEvent
proof_handle(PhPeerSession *s, PhStr body)
{
    if (!proof_check(s, body)) {
        return refuse(s, PH_FRAME_UNPROVED);
    }
    s->stage = PH_SESSION_READY;
    return (PhPeerEvent){.kind = PH_PEER_EVENT_READY};
}

static PhPeerEvent
frame_parse(PhPeerSession *s, const msgpack_object *map, PhBuf *out)
{
    PhPeerEvent e = {.kind = PH_PEER_EVENT_DATA};
    uint64_t kind;
    if (!PhUnpack_U64(PhUnpack_Field(map, FRAME_KIND), &kind)) {
        return refuse(s, PH_FRAME_MALFORMED);
    }
    if (kind == KIND_PING) {
        seal_kind(s, KIND_PONG, out);
        e.kind = PH_PEER_EVENT_PING;
    }
    else if (kind == KIND_PONG) {
        e.kind = PH_PEER_EVENT_PONG;
    }
    else if (kind != KIND_DATA) {
        e.kind = PH_PEER_EVENT_IGNORED;
    }
    else if (!PhUnpack_U64(PhUnpack_Field(map, FRAME_CHANNEL),
                           &e.as.data.channel) ||
             !PhUnpack_Bytes(PhUnpack_Field(map, FRAME_PAYLOAD),
                             PH_PEER_BODY_MAX_BYTES, &e.as.data.payload)) {
        return refuse(s, PH_FRAME_MALFORMED);
    }
    return e;
}

static PhPeerEvent
sealed_frame_handle(PhPeerSession *s, PhStr body, PhBuf *out)
{
    if (body.len < SEAL_BYTES) {
        return refuse(s, PH_FRAME_MALFORMED);
    }
    unpack_reset(s);
    PhBuf_Reset(&s->plain);
    PhBuf_Reserve(&s->plain, body.len - SEAL_BYTES);
    if (crypto_secretstream_xchacha20poly1305_pull(
            &s->pull, (uint8_t *)s->plain.data, NULL, NULL,
            (const uint8_t *)body.data, body.len, NULL, 0) != 0) {
        return refuse(s, PH_FRAME_UNPROVED);
    }
    s->plain.len = body.len - SEAL_BYTES;
    s->unpacked = true;
    if (!PhUnpack_Open(&s->unpack, PhBuf_Str(&s->plain))) {
        return refuse(s, PH_FRAME_MALFORMED);
    }
    return frame_parse(s, PhUnpack_Root(&s->unpack), out);
}

static PhPeerEvent
body_handle(PhPeerSession *s, PhStr body, PhBuf *out)
{
    switch (s->stage) {
    case PH_SESSION_GREETING:
        return greeting_handle(s, body, out);
    case PH_SESSION_PROOF:
        return proof_handle(s, body);
    case PH_SESSION_READY:
        return sealed_frame_handle(s, body, out);
    case PH_SESSION_REFUSED:
        break;
    }
    return refuse(s, PH_FRAME_UNPROVED);
}

PhPeerEvent
PhPeerSession_Next(PhPeerSession *session, PhBuf *in, PhBuf *out)
{
    size_t limit = session->stage == PH_SESSION_GREETING
                       ? PH_PEER_GREETING_MAX_BYTES
                       : PH_PEER_BODY_MAX_BYTES;
    size_t len = 0;
    if (session->stage == PH_SESSION_REFUSED ||
        in->len < PH_PEER_LENGTH_BYTES) {
        return (PhPeerEvent){.kind = PH_PEER_EVENT_NONE};
    }
    for (int i = 0; i < PH_PEER_LENGTH_BYTES; i++) {
        len = (len << 8) | (uint8_t)in->data[i];
    }
    if (len > limit) {
        return refuse(session, PH_FRAME_TOO_LONG);
    }
    if (in->len < PH_PEER_LENGTH_BYTES + len) {
        return (PhPeerEvent){.kind = PH_PEER_EVENT_NONE};
    }
    PhPeerEvent e = body_handle(
        session, PhStr_Slice(PhBuf_Str(in), PH_PEER_LENGTH_BYTES, len), out);
    PhBuf_Consume(in, PH_PEER_LENGTH_BYTES + len);
    return e;
}

bool
PhPeerSession_IsReady(const PhPeerSession *session)
{
    return session->stage == PH_SESSION_READY;
}

PhStr
PhPeerSession_Member(const PhPeerSession *session)
{
    return session->member;
}

PhStr
PhPeerSession_DataCentre(const PhPeerSession *session)
{
    return session->data_centre;
}

uint64_t
PhPeerSession_Version(const PhPeerSession *session)
{
    return session->version;
}
