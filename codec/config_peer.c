#include "peridothill/codec/config_peer.h"

#include "peridothill/codec/config_record.h"
#include "peridothill/codec/unpack.h"

/* Keys of the message map; each kind uses a subset. */
enum {
    FIELD_KIND = 1,
    FIELD_NEXT = 2,
    FIELD_VERSION = 3,
    FIELD_DIGEST = 4,
    FIELD_CONFIRMED = 5, /* milliseconds ago plus one; 0: never */
    FIELD_FLAGS = 6,
    FIELD_RECORDS = 7,
    FIELD_PART = 8,
    FIELD_PARTS = 9,
    FIELD_BYTES = 10,
};

enum {
    FLAG_RECOVERING = 1,
    FLAG_REPLY_WANTED = 2,
};

/* Indices in the array of a record; later versions may append more. */
enum {
    RECORD_OFFSET,
    RECORD_APPENDED,
    RECORD_PATCH, /* empty: unreadable */
    RECORD_FIELDS,
};

static void
hello_encode(msgpack_packer *packer, const PhConfigHello *h)
{
    PhPack_U64(packer, FIELD_NEXT, h->next);
    PhPack_U64(packer, FIELD_VERSION, h->version);
    PhPack_U64(packer, FIELD_DIGEST, h->digest);
    PhPack_U64(packer, FIELD_CONFIRMED, (uint64_t)(h->confirmed_ms_ago + 1));
    PhPack_U64(packer, FIELD_FLAGS,
               (h->recovering ? FLAG_RECOVERING : 0) |
                   (h->reply_wanted ? FLAG_REPLY_WANTED : 0));
}

/* Writes as many records as fit, at least one, and returns their number. */
static size_t
push_encode(msgpack_packer *packer, PhConfigRecord *const *records,
            size_t count)
{
    PhStr *all = g_new0(PhStr, MAX(count, 1));
    size_t bytes = 0;
    size_t encoded = 0;
    for (; encoded < count; encoded++) {
        if (records[encoded]->kind == PH_CONFIG_RECORD_PATCH) {
            all[encoded] = PhConfigPatch_Encode(&records[encoded]->patch);
        }
        bytes += all[encoded].len + 32;
        if (encoded > 0 && bytes > PH_CONFIG_PEER_MESSAGE_BYTES) {
            break;
        }
    }
    msgpack_pack_uint64(packer, FIELD_RECORDS);
    msgpack_pack_array(packer, encoded);
    for (size_t i = 0; i < encoded; i++) {
        msgpack_pack_array(packer, RECORD_FIELDS);
        msgpack_pack_uint64(packer, records[i]->offset);
        msgpack_pack_int64(packer, records[i]->appended_ms);
        msgpack_pack_bin_with_body(packer, all[i].data, all[i].len);
    }
    for (size_t i = 0; i < count; i++) {
        PhStr_Clear(&all[i]);
    }
    g_free(all);
    return encoded;
}

static void
state_encode(msgpack_packer *packer, const PhConfigStatePart *s)
{
    PhPack_U64(packer, FIELD_NEXT, s->covers);
    PhPack_U64(packer, FIELD_PART, s->part);
    PhPack_U64(packer, FIELD_PARTS, s->parts);
    PhPack_Bytes(packer, FIELD_BYTES, s->bytes);
}

size_t
PhConfigPeerMessage_Encode(const PhConfigPeerMessage *m, PhBuf *out)
{
    static const size_t field_counts[] = {
        [PH_CONFIG_PEER_HELLO] = 6,
        [PH_CONFIG_PEER_FETCH] = 2,
        [PH_CONFIG_PEER_PUSH] = 2,
        [PH_CONFIG_PEER_STATE] = 5,
    };
    msgpack_packer packer;
    msgpack_packer_init(&packer, out, PhPack_Write);
    msgpack_pack_map(&packer, field_counts[m->kind]);
    PhPack_U64(&packer, FIELD_KIND, m->kind);
    switch (m->kind) {
    case PH_CONFIG_PEER_HELLO:
        hello_encode(&packer, &m->as.hello);
        return 0;
    case PH_CONFIG_PEER_FETCH:
        PhPack_U64(&packer, FIELD_NEXT, m->as.fetch);
        return 0;
    case PH_CONFIG_PEER_PUSH:
        return push_encode(&packer, m->as.push.records, m->as.push.count);
    case PH_CONFIG_PEER_STATE:
        state_encode(&packer, &m->as.state);
        return 0;
    }
    return 0;
}

static bool
hello_decode(const msgpack_object *map, PhConfigHello *h)
{
    uint64_t confirmed;
    uint64_t flags;
    if (!PhUnpack_U64(PhUnpack_Field(map, FIELD_NEXT), &h->next) ||
        !PhUnpack_U64(PhUnpack_Field(map, FIELD_VERSION), &h->version) ||
        !PhUnpack_U64(PhUnpack_Field(map, FIELD_DIGEST), &h->digest) ||
        !PhUnpack_U64(PhUnpack_Field(map, FIELD_CONFIRMED), &confirmed) ||
        !PhUnpack_U64(PhUnpack_Field(map, FIELD_FLAGS), &flags) ||
        confirmed > INT64_MAX / PH_NS_PER_MS) {
        return false;
    }
    h->confirmed_ms_ago = (int64_t)confirmed - 1;
    h->recovering = (flags & FLAG_RECOVERING) != 0;
    h->reply_wanted = (flags & FLAG_REPLY_WANTED) != 0;
    return true;
}

/* A body that is not a patch yields an unreadable record; NULL if
 * malformed. */
static PhConfigRecord *
record_decode(const msgpack_object *value)
{
    const msgpack_object *f = value->via.array.ptr;
    uint64_t offset;
    uint64_t appended;
    PhStr body;
    PhConfigPatch patch = {0};
    if (value->type != MSGPACK_OBJECT_ARRAY ||
        value->via.array.size < RECORD_FIELDS ||
        !PhUnpack_U64(&f[RECORD_OFFSET], &offset) ||
        !PhUnpack_U64(&f[RECORD_APPENDED], &appended) ||
        !PhUnpack_Bytes(&f[RECORD_PATCH], PH_CONFIG_PEER_MESSAGE_BYTES,
                        &body)) {
        return NULL;
    }
    PhResult result = PhConfigPatch_Decode(body, &patch);
    return PhConfigRecord_Create(offset, (int64_t)appended,
                                 PhResult_IsOk(&result) ? &patch : NULL);
}

static bool
push_decode(const msgpack_object *value, PhConfigPeerMessage *m)
{
    if (value == NULL || value->type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    m->as.push.records = g_new0(PhConfigRecord *, value->via.array.size);
    for (uint32_t i = 0; i < value->via.array.size; i++) {
        PhConfigRecord *record = record_decode(&value->via.array.ptr[i]);
        if (record == NULL) {
            return false;
        }
        m->as.push.records[m->as.push.count++] = record;
    }
    return true;
}

static bool
state_decode(const msgpack_object *map, PhConfigStatePart *s)
{
    PhStr bytes;
    if (!PhUnpack_U64(PhUnpack_Field(map, FIELD_NEXT), &s->covers) ||
        !PhUnpack_U64(PhUnpack_Field(map, FIELD_PART), &s->part) ||
        !PhUnpack_U64(PhUnpack_Field(map, FIELD_PARTS), &s->parts) ||
        !PhUnpack_Bytes(PhUnpack_Field(map, FIELD_BYTES),
                        PH_CONFIG_STATE_PART_BYTES, &bytes) ||
        s->parts > PH_CONFIG_STATE_PARTS_MAX || s->part >= s->parts) {
        return false;
    }
    s->bytes = PhStr_Dup(bytes);
    return true;
}

static PhStatus
map_decode(const msgpack_object *map, PhConfigPeerMessage *m)
{
    uint64_t kind;
    bool valid = false;
    if (!PhUnpack_U64(PhUnpack_Field(map, FIELD_KIND), &kind)) {
        return PH_STATUS_INVALID;
    }
    if (kind < PH_CONFIG_PEER_HELLO || kind > PH_CONFIG_PEER_STATE) {
        return PH_STATUS_NOT_FOUND;
    }
    m->kind = (PhConfigPeerKind)kind;
    switch (m->kind) {
    case PH_CONFIG_PEER_HELLO:
        valid = hello_decode(map, &m->as.hello);
        break;
    case PH_CONFIG_PEER_FETCH:
        valid = PhUnpack_U64(PhUnpack_Field(map, FIELD_NEXT), &m->as.fetch);
        break;
    case PH_CONFIG_PEER_PUSH:
        valid = push_decode(PhUnpack_Field(map, FIELD_RECORDS), m);
        break;
    case PH_CONFIG_PEER_STATE:
        valid = state_decode(map, &m->as.state);
        break;
    }
    return valid ? PH_STATUS_OK : PH_STATUS_INVALID;
}

PhStatus
PhConfigPeerMessage_Decode(PhStr bytes, PhConfigPeerMessage *m)
{
    PhUnpack unpack;
    *m = (PhConfigPeerMessage){.kind = PH_CONFIG_PEER_FETCH};
    PhStatus status = PhUnpack_Open(&unpack, bytes)
                          ? map_decode(PhUnpack_Root(&unpack), m)
                          : PH_STATUS_INVALID;
    PhUnpack_Close(&unpack);
    if (status != PH_STATUS_OK) {
        PhConfigPeerMessage_Clear(m);
    }
    return status;
}

void
PhConfigPeerMessage_Clear(PhConfigPeerMessage *m)
{
    switch (m->kind) {
    case PH_CONFIG_PEER_HELLO:
    case PH_CONFIG_PEER_FETCH:
        break;
    case PH_CONFIG_PEER_PUSH:
        for (size_t i = 0; i < m->as.push.count; i++) {
            PhConfigRecord_Unref(m->as.push.records[i]);
        }
        g_free(m->as.push.records);
        break;
    case PH_CONFIG_PEER_STATE:
        PhStr_Clear(&m->as.state.bytes);
        break;
    }
    *m = (PhConfigPeerMessage){.kind = PH_CONFIG_PEER_FETCH};
}
