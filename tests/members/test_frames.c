#include <string.h>

#include "peridothill/codec/member_message.h"
#include "peridothill/codec/msgpack_lengths.h"
#include "peridothill/codec/peer_session.h"
#include "peridothill/codec/unpack.h"
#include "peridothill/common/random.h"
#include "tests/table.h"

enum {
    MUTATIONS = 20000,
    MUTATED_MAX_BYTES = 1024,
    GREETING_EXTRA_KEY = 99,
};

#define KEY PhStr_LITERAL("0123456789abcdef0123456789abcdef")
#define OTHER_KEY PhStr_LITERAL("fedcba9876543210fedcba9876543210")
#define PAYLOAD PhStr_LITERAL("payload")

static const PhPeerIdentity identity = {
    .member = {"a", 1},
    .data_centre = {"unit", 4},
    .deployment = {"test", 4},
    .version_min = 2,
    .version_max = 3,
    .keys = {{"0123456789abcdef0123456789abcdef", PH_PEER_KEY_BYTES}},
    .key_count = 1,
};

/* The sessions of both ends of a connection, and the bytes in transit. */
typedef struct PhWire {
    PhPeerNonces *nonces[2];
    PhPeerSession *dials;
    PhPeerSession *accepts;
    PhBuf to_accepts;
    PhBuf to_dials;
} PhWire;

/* Creates both ends; `dials` is the identity of the connecting one. */
static PhWire
wire_create(const PhPeerIdentity *dials)
{
    PhWire w = {.nonces = {PhPeerNonces_Create(8), PhPeerNonces_Create(8)}};
    w.dials = PhPeerSession_Create(dials, PH_PEER_CONNECTING, w.nonces[0]);
    w.accepts =
        PhPeerSession_Create(&identity, PH_PEER_ACCEPTING, w.nonces[1]);
    PhPeerSession_Start(w.dials, &w.to_accepts);
    return w;
}

static void
wire_destroy(PhWire *w)
{
    PhPeerSession_Destroy(w->dials);
    PhPeerSession_Destroy(w->accepts);
    PhPeerNonces_Destroy(w->nonces[0]);
    PhPeerNonces_Destroy(w->nonces[1]);
    PhBuf_Clear(&w->to_accepts);
    PhBuf_Clear(&w->to_dials);
}

/* Processes all frames and returns the last event. */
static PhPeerEvent
frames_process(PhPeerSession *session, PhBuf *in, PhBuf *out)
{
    PhPeerEvent last = {.kind = PH_PEER_EVENT_NONE};
    PhPeerEvent e;
    while ((e = PhPeerSession_Next(session, in, out)).kind !=
           PH_PEER_EVENT_NONE) {
        last = e;
    }
    return last;
}

/* Completes the handshake. */
static void
wire_open(PhWire *w)
{
    frames_process(w->accepts, &w->to_accepts, &w->to_dials);
    frames_process(w->dials, &w->to_dials, &w->to_accepts);
    frames_process(w->accepts, &w->to_accepts, &w->to_dials);
    assert_true(PhPeerSession_IsReady(w->dials));
    assert_true(PhPeerSession_IsReady(w->accepts));
}

static void
frame_append(PhBuf *out, PhStr body)
{
    for (int shift = 24; shift >= 0; shift -= 8) {
        PhBuf_AppendByte(out, (char)((body.len >> shift) & 0xff));
    }
    PhBuf_Append(out, body);
}

/* Appends a greeting with the first `fields` fields and an unknown one. */
static void
greeting_append(PhBuf *out, int fields)
{
    static const char nonce[PH_PEER_NONCE_BYTES] = {1};
    PhBuf body = {0};
    msgpack_packer packer;
    msgpack_packer_init(&packer, &body, PhPack_Write);
    msgpack_pack_map(&packer, (size_t)fields + 1);
    PhPack_Bytes(&packer, GREETING_EXTRA_KEY, PhStr_LITERAL("later"));
    for (int key = 1; key <= fields; key++) {
        if (key <= 2) {
            PhPack_U64(&packer, (uint64_t)key, 2);
        }
        else {
            PhPack_Bytes(&packer, (uint64_t)key,
                         key == 6 ? PhStr_FromBytes(nonce, sizeof(nonce))
                                  : PhStr_LITERAL("test"));
        }
    }
    frame_append(out, PhBuf_Str(&body));
    PhBuf_Clear(&body);
}

/* Manipulations of what the accepting end receives. */
typedef enum PhAttack {
    ATTACK_NONE,
    ATTACK_GREETING_TOO_LONG,
    ATTACK_GREETING_GARBAGE,
    ATTACK_GREETING_HUGE_MAP,
    ATTACK_GREETING_FIELD_MISSING,
    ATTACK_GREETING_FIELD_UNKNOWN,
    ATTACK_GREETING_LONG_NAME,
    ATTACK_DEPLOYMENT,
    ATTACK_VERSION_OLD,
    ATTACK_VERSION_NEW,
    ATTACK_GREETING_REPEATED,
    ATTACK_GREETING_REFLECTED,
    ATTACK_RECORDED,
    ATTACK_KEY,
    ATTACK_PROOF_ALTERED,
    ATTACK_PROOF_SHORT,
    ATTACK_FRAME_TOO_LONG,
    ATTACK_FRAME_SHORT,
    ATTACK_FRAME_ALTERED,
    ATTACK_FRAME_REPEATED,
    ATTACK_FRAME_LEFT_OUT,
    ATTACK_CONTENT_GARBAGE,
    ATTACK_CONTENT_NO_CHANNEL,
    ATTACK_CONTENT_UNKNOWN_KIND,
} PhAttack;

typedef struct PhAttackCase {
    const char *name;
    PhAttack attack;
    PhPeerEventKind kind;
    PhFrameRefusal refused;
} PhAttackCase;

#define REFUSED PH_PEER_EVENT_REFUSED

static const PhAttackCase attack_cases[] = {
    {"no attack", ATTACK_NONE, PH_PEER_EVENT_DATA, 0},
    {"greeting too long", ATTACK_GREETING_TOO_LONG, REFUSED,
     PH_FRAME_TOO_LONG},
    {"greeting is not msgpack", ATTACK_GREETING_GARBAGE, REFUSED,
     PH_FRAME_MALFORMED},
    {"greeting claims a huge map", ATTACK_GREETING_HUGE_MAP, REFUSED,
     PH_FRAME_MALFORMED},
    {"greeting lacks a field", ATTACK_GREETING_FIELD_MISSING, REFUSED,
     PH_FRAME_MALFORMED},
    {"greeting with an unknown field", ATTACK_GREETING_FIELD_UNKNOWN,
     PH_PEER_EVENT_IGNORED, 0},
    {"greeting with a long name", ATTACK_GREETING_LONG_NAME, REFUSED,
     PH_FRAME_MALFORMED},
    {"another deployment", ATTACK_DEPLOYMENT, REFUSED, PH_FRAME_DEPLOYMENT},
    {"version too old", ATTACK_VERSION_OLD, REFUSED, PH_FRAME_VERSION},
    {"version too new", ATTACK_VERSION_NEW, REFUSED, PH_FRAME_VERSION},
    {"greeting repeated", ATTACK_GREETING_REPEATED, REFUSED,
     PH_FRAME_REPLAYED},
    {"greeting reflected", ATTACK_GREETING_REFLECTED, REFUSED,
     PH_FRAME_REPLAYED},
    {"recorded connection, nonce no longer known", ATTACK_RECORDED, REFUSED,
     PH_FRAME_UNPROVED},
    {"another key", ATTACK_KEY, REFUSED, PH_FRAME_UNPROVED},
    {"proof altered", ATTACK_PROOF_ALTERED, REFUSED, PH_FRAME_UNPROVED},
    {"proof too short", ATTACK_PROOF_SHORT, REFUSED, PH_FRAME_UNPROVED},
    {"frame too long", ATTACK_FRAME_TOO_LONG, REFUSED, PH_FRAME_TOO_LONG},
    {"frame too short", ATTACK_FRAME_SHORT, REFUSED, PH_FRAME_MALFORMED},
    {"frame altered", ATTACK_FRAME_ALTERED, REFUSED, PH_FRAME_UNPROVED},
    {"frame repeated", ATTACK_FRAME_REPEATED, REFUSED, PH_FRAME_UNPROVED},
    {"frame left out", ATTACK_FRAME_LEFT_OUT, REFUSED, PH_FRAME_UNPROVED},
    {"content is not msgpack", ATTACK_CONTENT_GARBAGE, REFUSED,
     PH_FRAME_MALFORMED},
    {"content without a channel", ATTACK_CONTENT_NO_CHANNEL, REFUSED,
     PH_FRAME_MALFORMED},
    {"content of an unknown kind", ATTACK_CONTENT_UNKNOWN_KIND,
     PH_PEER_EVENT_IGNORED, 0},
};

/* Identity of the connecting end. */
static PhPeerIdentity
attack_identity(PhAttack attack)
{
    static const char name[PH_PEER_NAME_MAX_BYTES + 1] = {'x'};
    PhPeerIdentity i = identity;
    i.member = PhStr_LITERAL("b");
    if (attack == ATTACK_GREETING_LONG_NAME) {
        i.member = PhStr_FromBytes(name, sizeof(name));
    }
    else if (attack == ATTACK_DEPLOYMENT) {
        i.deployment = PhStr_LITERAL("other");
    }
    else if (attack == ATTACK_VERSION_OLD) {
        i.version_min = i.version_max = 1;
    }
    else if (attack == ATTACK_VERSION_NEW) {
        i.version_min = i.version_max = 4;
    }
    else if (attack == ATTACK_KEY) {
        i.keys[0] = OTHER_KEY;
    }
    return i;
}

/* Replaces the greeting. Returns false if the attack does not concern it. */
static bool
attack_greeting(PhWire *w, PhAttack attack)
{
    static const char huge[] = "\xdf\xff\xff\xff\xff\x01\x02";
    PhBuf real = w->to_accepts;
    w->to_accepts = (PhBuf){0};
    bool done = true;
    if (attack == ATTACK_GREETING_TOO_LONG) {
        PhBuf_Append(&w->to_accepts, PhStr_LITERAL("\x00\x00\x02\x01"));
    }
    else if (attack == ATTACK_GREETING_GARBAGE) {
        frame_append(&w->to_accepts, PhStr_LITERAL("GET / HTTP/1.1\r\n"));
    }
    else if (attack == ATTACK_GREETING_HUGE_MAP) {
        frame_append(&w->to_accepts, PhStr_FromBytes(huge, sizeof(huge) - 1));
    }
    else if (attack == ATTACK_GREETING_FIELD_MISSING) {
        greeting_append(&w->to_accepts, 5);
    }
    else if (attack == ATTACK_GREETING_FIELD_UNKNOWN) {
        greeting_append(&w->to_accepts, 6);
    }
    else {
        PhBuf_Append(&w->to_accepts, PhBuf_Str(&real));
        done = false;
    }
    PhBuf_Clear(&real);
    return done;
}

/* Feeds recorded bytes to a new accepting session. */
static PhPeerEvent
attack_replay(PhWire *w, PhPeerNonces *nonces, PhStr recorded)
{
    PhPeerSession *again =
        PhPeerSession_Create(&identity, PH_PEER_ACCEPTING, nonces);
    PhBuf in = {0};
    PhBuf_Append(&in, recorded);
    PhPeerEvent e = frames_process(again, &in, &w->to_dials);
    PhPeerSession_Destroy(again);
    PhBuf_Clear(&in);
    return e;
}

/* Tampers with the proof. */
static PhPeerEvent
attack_proof(PhWire *w, PhAttack attack)
{
    frames_process(w->accepts, &w->to_accepts, &w->to_dials);
    frames_process(w->dials, &w->to_dials, &w->to_accepts);
    if (attack == ATTACK_PROOF_ALTERED) {
        w->to_accepts.data[w->to_accepts.len - 1] ^= 1;
    }
    else if (attack == ATTACK_PROOF_SHORT) {
        w->to_accepts.data[PH_PEER_LENGTH_BYTES - 1]--;
        w->to_accepts.len--;
    }
    return frames_process(w->accepts, &w->to_accepts, &w->to_dials);
}

/* Replays a recorded connection to an end that no longer has its nonce. */
static PhPeerEvent
attack_recorded(PhWire *w)
{
    PhBuf recorded = {0};
    PhPeerNonces *fresh = PhPeerNonces_Create(8);
    PhBuf_Append(&recorded, PhBuf_Str(&w->to_accepts));
    frames_process(w->accepts, &w->to_accepts, &w->to_dials);
    frames_process(w->dials, &w->to_dials, &w->to_accepts);
    PhPeerSession_Send(w->dials, 1, PAYLOAD, &w->to_accepts);
    PhBuf_Append(&recorded, PhBuf_Str(&w->to_accepts));
    PhPeerEvent e = attack_replay(w, fresh, PhBuf_Str(&recorded));
    PhPeerNonces_Destroy(fresh);
    PhBuf_Clear(&recorded);
    return e;
}

/* Tampers with frames after the handshake. */
static PhPeerEvent
attack_frame(PhWire *w, PhAttack attack)
{
    wire_open(w);
    PhBuf *wire = &w->to_accepts;
    PhPeerSession_Send(w->dials, 1, PAYLOAD, wire);
    size_t len = wire->len;
    if (attack == ATTACK_FRAME_TOO_LONG) {
        wire->data[1] = 2;
    }
    else if (attack == ATTACK_FRAME_SHORT) {
        PhBuf_Reset(wire);
        frame_append(wire, PhStr_LITERAL("short"));
    }
    else if (attack == ATTACK_FRAME_ALTERED) {
        wire->data[len - 1] ^= 1;
    }
    else if (attack == ATTACK_FRAME_REPEATED) {
        PhStr copy = PhStr_Dup(PhBuf_Str(wire));
        PhBuf_Append(wire, copy);
        PhStr_Clear(&copy);
    }
    else if (attack == ATTACK_FRAME_LEFT_OUT) {
        PhPeerSession_Send(w->dials, 1, PAYLOAD, wire);
        PhBuf_Consume(wire, len);
    }
    else if (attack == ATTACK_CONTENT_GARBAGE) {
        PhPeerSession_Seal(w->dials, PhStr_LITERAL("\xc1"), wire);
    }
    else if (attack == ATTACK_CONTENT_NO_CHANNEL) {
        PhPeerSession_Seal(w->dials, PhStr_LITERAL("\x81\x01\x01"), wire);
    }
    else if (attack == ATTACK_CONTENT_UNKNOWN_KIND) {
        PhPeerSession_Seal(w->dials, PhStr_LITERAL("\x81\x01\x63"), wire);
    }
    return frames_process(w->accepts, wire, &w->to_dials);
}

static PhPeerEvent
attack_run(PhWire *w, PhAttack attack)
{
    if (attack_greeting(w, attack)) {
        return frames_process(w->accepts, &w->to_accepts, &w->to_dials);
    }
    if (attack == ATTACK_GREETING_REFLECTED) {
        return frames_process(w->dials, &w->to_accepts, &w->to_dials);
    }
    if (attack == ATTACK_GREETING_REPEATED) {
        PhPeerEvent e =
            attack_replay(w, w->nonces[1], PhBuf_Str(&w->to_accepts));
        assert_int_equal(e.kind, PH_PEER_EVENT_IGNORED);
    }
    if (attack == ATTACK_RECORDED) {
        return attack_recorded(w);
    }
    if (attack < ATTACK_RECORDED && attack != ATTACK_NONE) {
        return frames_process(w->accepts, &w->to_accepts, &w->to_dials);
    }
    if (attack != ATTACK_NONE && attack <= ATTACK_PROOF_SHORT) {
        return attack_proof(w, attack);
    }
    return attack_frame(w, attack);
}

static void
check_attack(const PhAttackCase *c)
{
    PhPeerIdentity dials = attack_identity(c->attack);
    PhWire w = wire_create(&dials);
    PhPeerEvent e = attack_run(&w, c->attack);
    assert_int_equal(e.kind, c->kind);
    if (e.kind == PH_PEER_EVENT_REFUSED) {
        assert_int_equal(e.as.refused, c->refused);
    }
    else if (e.kind == PH_PEER_EVENT_DATA) {
        assert_true(PhStr_Equal(e.as.data.payload, PAYLOAD));
        assert_int_equal(PhPeerSession_Version(w.accepts), 3);
        assert_true(
            PhStr_Equal(PhPeerSession_Member(w.accepts), PhStr_LITERAL("b")));
    }
    wire_destroy(&w);
}

/* Guards against tampered, replayed or malformed frames being accepted, and
 * unknown extensions being refused. */
static void
test_attacks(void **state)
{
    (void)state;
    Ph_RUN_TABLE(attack_cases, check_attack);
}

/* Bytes, and whether they are exactly one msgpack value of bounded size. */
typedef struct PhBoundsCase {
    const char *name;
    PhStr bytes;
    bool bounded;
} PhBoundsCase;

static const PhBoundsCase bounds_cases[] = {
    {"empty", {"", 0}, false},
    {"nil", {"\xc0", 1}, true},
    {"two values", {"\xc0\xc0", 2}, false},
    {"never used type", {"\xc1", 1}, false},
    {"map", {"\x81\x01\xa1z", 4}, true},
    {"map cut short", {"\x81\x01", 2}, false},
    {"huge array", {"\xdd\xff\xff\xff\xff\xc0", 6}, false},
    {"huge bytes", {"\xc6\xff\xff\xff\xff\xc0", 6}, false},
    {"length cut short", {"\xc6\xff\xff", 3}, false},
    {"numbers", {"\x93\xcd\x01\x02\xcf\1\2\3\4\5\6\7\x08\xd0\xff", 15}, true},
    {"extensions", {"\x92\xd4\x01z\xc7\x02\x01zz", 9}, true},
    {"texts", {"\x93\xd9\x01z\xda\x00\x01z\xc4\x01z", 11}, true},
};

static void
check_bounds(const PhBoundsCase *c)
{
    assert_int_equal(PhMsgpack_HasValidLengths(c->bytes), c->bounded);
}

/* Guards against input whose declared lengths would exhaust memory in the
 * decoder. */
static void
test_bounds(void **state)
{
    (void)state;
    Ph_RUN_TABLE(bounds_cases, check_bounds);
}

static PhMember corpus_records[] = {
    {{"a", 1}, {"unit", 4}, {"127.0.0.1:1", 11}, PH_MEMBER_SUSPECT, 7, true},
    {{"b", 1}, {"unit", 4}, {"127.0.0.1:2", 11}, PH_MEMBER_LEFT, 1, false},
};

/* One message of each kind, the corpus for mutations. */
typedef struct PhMessageCase {
    const char *name;
    PhMemberMessage message;
} PhMessageCase;

static const PhMessageCase message_cases[] = {
    {"ping", {PH_MEMBER_PING, {.ping = {1, 2}}, corpus_records, 2}},
    {"ack", {PH_MEMBER_ACK, {.ack = {UINT64_MAX, 2}}, NULL, 0}},
    {"probe",
     {PH_MEMBER_PROBE,
      {.probe = {3, {"b", 1}, {"127.0.0.1:2", 11}}},
      NULL,
      0}},
    {"sync request", {PH_MEMBER_SYNC_REQUEST, {{0}}, corpus_records, 1}},
    {"sync", {PH_MEMBER_SYNC, {{0}}, corpus_records, 2}},
    {"updates", {PH_MEMBER_UPDATES, {{0}}, corpus_records, 1}},
};

/* Flips, inserts, replaces or truncates bytes at random. */
static void
mutate(PhRandom *random, PhBuf *bytes)
{
    uint64_t changes = 1 + PhRandom_Below(random, 4);
    for (uint64_t i = 0; i < changes && bytes->len > 0; i++) {
        size_t at = PhRandom_Below(random, bytes->len);
        uint64_t how = PhRandom_Below(random, 5);
        if (how == 0) {
            bytes->len = at;
        }
        else if (how == 1 && bytes->len < MUTATED_MAX_BYTES) {
            PhBuf_AppendByte(bytes, 0);
            memmove(bytes->data + at + 1, bytes->data + at,
                    bytes->len - at - 1);
        }
        else if (how == 2) {
            bytes->data[at] = (char)PhRandom_U64(random);
        }
        else {
            bytes->data[at] ^= (char)(1 << PhRandom_Below(random, 8));
        }
    }
}

/* Bytes that decode must encode to a stable form. */
static void
check_decode(PhStr bytes)
{
    PhMemberMessage message;
    PhMemberMessage again;
    PhBuf once = {0};
    PhBuf twice = {0};
    if (PhMemberMessage_Decode(bytes, &message) != PH_STATUS_OK) {
        assert_int_equal(message.record_count, 0);
        return;
    }
    PhMemberMessage_Encode(&message, &once);
    assert_int_equal(PhMemberMessage_Decode(PhBuf_Str(&once), &again),
                     PH_STATUS_OK);
    PhMemberMessage_Encode(&again, &twice);
    assert_true(PhStr_Equal(PhBuf_Str(&once), PhBuf_Str(&twice)));
    PhMemberMessage_Clear(&message);
    PhMemberMessage_Clear(&again);
    PhBuf_Clear(&once);
    PhBuf_Clear(&twice);
}

static void
check_message(const PhMessageCase *c)
{
    PhRandom *random = PhRandom_Create(11);
    PhBuf whole = {0};
    PhBuf mutated = {0};
    PhMemberMessage copy;
    PhMemberMessage_Encode(&c->message, &whole);
    assert_int_equal(PhMemberMessage_Decode(PhBuf_Str(&whole), &copy),
                     PH_STATUS_OK);
    assert_int_equal(copy.kind, c->message.kind);
    assert_int_equal(copy.record_count, c->message.record_count);
    PhMemberMessage_Encode(&copy, &mutated);
    assert_true(PhStr_Equal(PhBuf_Str(&whole), PhBuf_Str(&mutated)));
    for (int i = 0; i < MUTATIONS; i++) {
        PhBuf_Reset(&mutated);
        PhBuf_Append(&mutated, PhBuf_Str(&whole));
        mutate(random, &mutated);
        check_decode(PhBuf_Str(&mutated));
    }
    PhMemberMessage_Clear(&copy);
    PhBuf_Clear(&whole);
    PhBuf_Clear(&mutated);
    PhRandom_Destroy(random);
}

/* Guards against messages that change in a round trip, and against malformed
 * ones that crash the decoder. */
static void
test_messages(void **state)
{
    (void)state;
    Ph_RUN_TABLE(message_cases, check_message);
}

/* Where in a connection mutations begin. */
typedef struct PhStreamCase {
    const char *name;
    bool opened; /* after the handshake */
    int mutations;
} PhStreamCase;

static const PhStreamCase stream_cases[] = {
    {"from the greeting on", false, MUTATIONS / 10},
    {"from the first sealed frame on", true, MUTATIONS / 10},
};

/* Mutates what the connecting end sends. Only the original payload may be
 * delivered. */
static void
check_stream(const PhStreamCase *c)
{
    PhRandom *random = PhRandom_Create(12);
    PhPeerIdentity dials = attack_identity(ATTACK_NONE);
    for (int i = 0; i < c->mutations; i++) {
        PhWire w = wire_create(&dials);
        PhPeerEvent e;
        if (c->opened) {
            wire_open(&w);
            PhPeerSession_Send(w.dials, 1, PAYLOAD, &w.to_accepts);
            PhPeerSession_Send(w.dials, 1, PAYLOAD, &w.to_accepts);
        }
        mutate(random, &w.to_accepts);
        while ((e = PhPeerSession_Next(w.accepts, &w.to_accepts, &w.to_dials))
                   .kind != PH_PEER_EVENT_NONE) {
            if (e.kind == PH_PEER_EVENT_DATA) {
                assert_true(PhStr_Equal(e.as.data.payload, PAYLOAD));
            }
            assert_true(c->opened || e.kind != PH_PEER_EVENT_READY);
        }
        wire_destroy(&w);
    }
    PhRandom_Destroy(random);
}

/* Guards against mutated connections that crash the session or deliver an
 * altered payload. */
static void
test_streams(void **state)
{
    (void)state;
    Ph_RUN_TABLE(stream_cases, check_stream);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_attacks),
        cmocka_unit_test(test_bounds),
        cmocka_unit_test(test_messages),
        cmocka_unit_test(test_streams),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
