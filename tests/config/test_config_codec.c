/* Decoders of patches, snapshots and peer messages on invalid input. */
#include "peridothill/codec/config_peer.h"
#include "peridothill/codec/config_record.h"
#include "peridothill/common/random.h"
#include "tests/table.h"

enum {
    MUTATIONS = 3000
};

/* A body and the result of decoding it as a patch. */
typedef struct PhPatchBodyCase {
    const char *name;
    const char *body;
    PhStatus status;
    const char *reason; /* prefix of the error message */
} PhPatchBodyCase;

#define CHANGES ",\"changes\":[{\"set\":\"a.b\",\"value\":\"c\"}]"

static const PhPatchBodyCase patch_cases[] = {
    {"complete",
     "{\"kind\":\"patch\",\"id\":\"x\",\"author\":\"a\",\"base\":7,"
     "\"strict\":true" CHANGES "}",
     PH_STATUS_OK, ""},
    {"minimal", "{\"base\":0" CHANGES "}", PH_STATUS_OK, ""},
    {"unknown member", "{\"base\":0,\"later\":[1]" CHANGES "}", PH_STATUS_OK,
     ""},
    {"deletion", "{\"base\":0,\"changes\":[{\"delete\":\"a.b\"}]}",
     PH_STATUS_OK, ""},
    {"empty", "", PH_STATUS_INVALID, "JSON"},
    {"truncated", "{\"base\":0" CHANGES, PH_STATUS_INVALID, "JSON"},
    {"not an object", "[]", PH_STATUS_INVALID, "base"},
    {"duplicate member", "{\"base\":0,\"base\":1" CHANGES "}",
     PH_STATUS_INVALID, "JSON"},
    {"other kind", "{\"kind\":\"snapshot\",\"base\":0" CHANGES "}",
     PH_STATUS_INVALID, "kind"},
    {"negative base", "{\"base\":-1" CHANGES "}", PH_STATUS_INVALID, "base"},
    {"base as text", "{\"base\":\"1\"" CHANGES "}", PH_STATUS_INVALID, "base"},
    {"id as number", "{\"id\":1,\"base\":1" CHANGES "}", PH_STATUS_INVALID,
     "id"},
    {"strict as text", "{\"strict\":\"yes\",\"base\":1" CHANGES "}",
     PH_STATUS_INVALID, "strict"},
    {"no changes", "{\"base\":1}", PH_STATUS_INVALID, "changes"},
    {"empty changes", "{\"base\":1,\"changes\":[]}", PH_STATUS_INVALID,
     "changes"},
    {"set and deleted",
     "{\"base\":1,\"changes\":[{\"set\":\"a\",\"delete\":\"a\"}]}",
     PH_STATUS_INVALID, "changes[0]"},
    {"set without a value", "{\"base\":1,\"changes\":[{\"set\":\"a\"}]}",
     PH_STATUS_INVALID, "changes[0]"},
    {"invalid UTF-8", "{\"base\":1,\"changes\":[{\"delete\":\"\xff\"}]}",
     PH_STATUS_INVALID, "JSON"},
};

/* Decodes a body; a valid patch must survive encoding and decoding. */
static void
check_patch(const PhPatchBodyCase *c)
{
    PhConfigPatch patch;
    PhConfigPatch again;
    PhResult r = PhConfigPatch_Decode(PhStr_FromC(c->body), &patch);
    assert_int_equal(r.status, c->status);
    assert_true(
        PhStr_StartsWith(PhResult_Message(&r), PhStr_FromC(c->reason)));
    if (!PhResult_IsOk(&r)) {
        assert_int_equal(patch.change_count, 0);
        return;
    }
    PhStr text = PhConfigPatch_Encode(&patch);
    r = PhConfigPatch_Decode(text, &again);
    assert_true(PhResult_IsOk(&r));
    assert_true(PhStr_Equal(patch.id, again.id));
    assert_int_equal(patch.base, again.base);
    assert_int_equal(patch.strict, again.strict);
    assert_int_equal(patch.change_count, again.change_count);
    PhStr_Clear(&text);
    PhConfigPatch_Clear(&patch);
    PhConfigPatch_Clear(&again);
}

/* Guards against accepting malformed patches and against a loss of fields in a
 * round trip. */
static void
test_patch_decode(void **state)
{
    (void)state;
    Ph_RUN_TABLE(patch_cases, check_patch);
}

/* A snapshot with entries, a tombstone, and verdicts of both kinds. */
static PhConfigSnapshot *
snapshot_make(void)
{
    static const PhConfigChange changes[] = {
        {PH_CONFIG_CHANGE_SET, {"teams.x.share", 13}, {"3", 1}},
        {PH_CONFIG_CHANGE_SET, {"teams.y.share", 13}, {"4", 1}},
        {PH_CONFIG_CHANGE_DELETE, {"teams.x.share", 13}, {NULL, 0}},
        {PH_CONFIG_CHANGE_SET, {"teams.x.colour", 14}, {"red", 3}},
    };
    PhConfigLedger *l = PhConfigLedger_Create();
    for (uint64_t i = 0; i < G_N_ELEMENTS(changes); i++) {
        char id[] = {'p', (char)('0' + i), '\0'};
        PhConfigPatch patch = {.id = PhStr_Dup(PhStr_FromC(id)), .base = i};
        PhConfigPatch_Add(&patch, changes[i].kind, changes[i].path,
                          changes[i].value);
        PhConfigRecord *record = PhConfigRecord_Create(i, 5, &patch);
        PhConfigLedger_Apply(l, record);
        PhConfigRecord_Unref(record);
    }
    PhConfigSnapshot *snapshot = PhConfigLedger_Snapshot(l);
    PhConfigLedger_Destroy(l);
    return snapshot;
}

static PhStr
peer_make(PhConfigPeerKind kind)
{
    PhBuf buf = {0};
    PhConfigPatch patch = {.id = PhStr_Dup(PhStr_LITERAL("p"))};
    PhConfigPatch_Add(&patch, PH_CONFIG_CHANGE_SET, PhStr_LITERAL("a.b"),
                      PhStr_LITERAL("c"));
    PhConfigRecord *records[] = {PhConfigRecord_Create(1, 2, &patch),
                                 PhConfigRecord_Create(2, 3, NULL)};
    PhConfigPeerMessage m = {.kind = kind};
    switch (kind) {
    case PH_CONFIG_PEER_HELLO:
        m.as.hello = (PhConfigHello){.next = 9,
                                     .version = 4,
                                     .digest = UINT64_MAX,
                                     .confirmed_ms_ago = -1,
                                     .recovering = true};
        break;
    case PH_CONFIG_PEER_FETCH:
        m.as.fetch = 12;
        break;
    case PH_CONFIG_PEER_PUSH:
        m.as.push.records = records;
        m.as.push.count = 2;
        break;
    case PH_CONFIG_PEER_STATE:
        m.as.state = (PhConfigStatePart){
            .covers = 3, .parts = 2, .bytes = PhStr_LITERAL("half")};
        break;
    }
    PhConfigPeerMessage_Encode(&m, &buf);
    PhConfigRecord_Unref(records[0]);
    PhConfigRecord_Unref(records[1]);
    return PhBuf_Take(&buf);
}

typedef enum PhDecoder {
    DECODER_PATCH,
    DECODER_SNAPSHOT,
    DECODER_PEER,
} PhDecoder;

/* A decoder and the kind of its valid input. */
typedef struct PhMutationCase {
    const char *name;
    PhDecoder decoder;
    PhConfigPeerKind kind;
    uint64_t seed;
} PhMutationCase;

static const PhMutationCase mutation_cases[] = {
    {"patch", DECODER_PATCH, 0, 1},
    {"snapshot", DECODER_SNAPSHOT, 0, 2},
    {"hello", DECODER_PEER, PH_CONFIG_PEER_HELLO, 3},
    {"fetch", DECODER_PEER, PH_CONFIG_PEER_FETCH, 4},
    {"push", DECODER_PEER, PH_CONFIG_PEER_PUSH, 5},
    {"state part", DECODER_PEER, PH_CONFIG_PEER_STATE, 6},
};

static PhStr
input_make(const PhMutationCase *c)
{
    PhConfigSnapshot *snapshot;
    PhStr text;
    switch (c->decoder) {
    case DECODER_PATCH:
        return PhStr_Dup(PhStr_FromC(patch_cases[0].body));
    case DECODER_SNAPSHOT:
        snapshot = snapshot_make();
        text = PhConfigSnapshot_Encode(snapshot);
        PhConfigSnapshot_Unref(snapshot);
        return text;
    case DECODER_PEER:
        return peer_make(c->kind);
    }
    return (PhStr){0};
}

/* Whether the bytes decode; releases the result. */
static bool
decode(PhDecoder decoder, PhStr bytes)
{
    PhConfigPatch patch;
    PhConfigSnapshot *snapshot;
    PhConfigPeerMessage message;
    PhResult r;
    switch (decoder) {
    case DECODER_PATCH:
        r = PhConfigPatch_Decode(bytes, &patch);
        PhConfigPatch_Clear(&patch);
        return PhResult_IsOk(&r);
    case DECODER_SNAPSHOT:
        r = PhConfigSnapshot_Decode(bytes, &snapshot);
        assert_int_equal(snapshot != NULL, PhResult_IsOk(&r));
        PhConfigSnapshot_Unref(snapshot);
        return PhResult_IsOk(&r);
    case DECODER_PEER:
        r.status = PhConfigPeerMessage_Decode(bytes, &message);
        PhConfigPeerMessage_Clear(&message);
        return PhResult_IsOk(&r);
    }
    return false;
}

/* Overwrites, repeats, replaces or removes up to 7 bytes. */
static PhStr
mutate(PhRandom *random, PhStr s)
{
    PhBuf buf = {0};
    size_t from = PhRandom_Below(random, s.len);
    size_t len = PhRandom_Below(random, 8);
    PhStr tail = PhStr_Slice(s, from + len, s.len);
    PhBuf_Append(&buf, PhStr_Slice(s, 0, from));
    switch (PhRandom_Below(random, 4)) {
    case 0:
        for (size_t i = 0; i < len; i++) {
            PhBuf_AppendByte(&buf, (char)PhRandom_Below(random, 256));
        }
        break;
    case 1:
        PhBuf_Append(&buf, PhStr_Slice(s, from, len));
        PhBuf_Append(&buf, PhStr_Slice(s, from, len));
        break;
    case 2:
        PhBuf_AppendByte(&buf, "0\"}]\xff\x00,9"[PhRandom_Below(random, 8)]);
        break;
    default:
        break;
    }
    PhBuf_Append(&buf, tail);
    return PhBuf_Take(&buf);
}

/* Decodes the valid input, every proper prefix of it, and mutations of it. */
static void
check_mutation(const PhMutationCase *c)
{
    PhRandom *random = PhRandom_Create(c->seed);
    PhStr valid = input_make(c);
    int refused = 0;
    assert_true(decode(c->decoder, valid));
    for (size_t i = 0; i < valid.len; i++) {
        PhStr prefix = PhStr_Dup(PhStr_Slice(valid, 0, i));
        assert_false(decode(c->decoder, prefix));
        PhStr_Clear(&prefix);
    }
    for (int i = 0; i < MUTATIONS; i++) {
        PhStr mutated = mutate(random, valid);
        refused += !decode(c->decoder, mutated);
        PhStr_Clear(&mutated);
    }
    assert_true(refused > MUTATIONS / 4);
    PhStr_Clear(&valid);
    PhRandom_Destroy(random);
}

/* Guards against decoders that crash on arbitrary bytes or accept truncated
 * input. */
static void
test_mutated_input(void **state)
{
    (void)state;
    Ph_RUN_TABLE(mutation_cases, check_mutation);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_patch_decode),
        cmocka_unit_test(test_mutated_input),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
