#include "peridothill/codec/member_message.h"

#include "peridothill/codec/unpack.h"

/* Keys of the message map. */
enum {
    FIELD_KIND = 1,
    FIELD_SEQUENCE = 2,
    FIELD_DIGEST = 3,
    FIELD_TARGET = 4,
    FIELD_ADDRESS = 5,
    FIELD_RECORDS = 6,
};

/* Indices in a record array; later versions may append elements. */
enum {
    RECORD_ID,
    RECORD_DATA_CENTRE,
    RECORD_ADDRESS,
    RECORD_STATE,
    RECORD_INCARNATION,
    RECORD_DRAINING,
    RECORD_FIELDS,
};

/* Encoded member states. */
enum {
    STATE_ALIVE = 1,
    STATE_SUSPECT = 2,
    STATE_DEAD = 3,
    STATE_LEFT = 4,
};

static uint64_t
state_encode(PhMemberState state)
{
    switch (state) {
    case PH_MEMBER_ALIVE:
        return STATE_ALIVE;
    case PH_MEMBER_SUSPECT:
        return STATE_SUSPECT;
    case PH_MEMBER_DEAD:
        return STATE_DEAD;
    case PH_MEMBER_LEFT:
        return STATE_LEFT;
    }
    return 0;
}

/* Returns false for an unknown state. */
static bool
state_decode(uint64_t number, PhMemberState *state)
{
    static const PhMemberState states[] = {
        [STATE_ALIVE] = PH_MEMBER_ALIVE,
        [STATE_SUSPECT] = PH_MEMBER_SUSPECT,
        [STATE_DEAD] = PH_MEMBER_DEAD,
        [STATE_LEFT] = PH_MEMBER_LEFT,
    };
    if (number < STATE_ALIVE || number > STATE_LEFT) {
        return false;
    }
    *state = states[number];
    return true;
}

static void
records_encode(msgpack_packer *packer, const PhMemberMessage *message)
{
    msgpack_pack_uint64(packer, FIELD_RECORDS);
    msgpack_pack_array(packer, message->record_count);
    for (size_t i = 0; i < message->record_count; i++) {
        const PhMember *r = &message->records[i];
        msgpack_pack_array(packer, RECORD_FIELDS);
        PhPack_Item(packer, r->id);
        PhPack_Item(packer, r->data_centre);
        PhPack_Item(packer, r->address);
        msgpack_pack_uint64(packer, state_encode(r->state));
        msgpack_pack_uint64(packer, r->incarnation);
        msgpack_pack_uint64(packer, r->draining ? 1 : 0);
    }
}

static void
ping_encode(msgpack_packer *packer, const PhMemberPing *ping)
{
    PhPack_U64(packer, FIELD_SEQUENCE, ping->sequence);
    PhPack_U64(packer, FIELD_DIGEST, ping->digest);
}

/* Number of map entries that are specific to the kind. */
static size_t
field_count(PhMemberMessageKind kind)
{
    switch (kind) {
    case PH_MEMBER_PING:
    case PH_MEMBER_ACK:
        return 2;
    case PH_MEMBER_PROBE:
        return 3;
    case PH_MEMBER_SYNC_REQUEST:
    case PH_MEMBER_SYNC:
    case PH_MEMBER_UPDATES:
        return 0;
    }
    return 0;
}

static void
fields_encode(msgpack_packer *packer, const PhMemberMessage *message)
{
    switch (message->kind) {
    case PH_MEMBER_PING:
        ping_encode(packer, &message->as.ping);
        return;
    case PH_MEMBER_ACK:
        ping_encode(packer, &message->as.ack);
        return;
    case PH_MEMBER_PROBE:
        PhPack_U64(packer, FIELD_SEQUENCE, message->as.probe.sequence);
        PhPack_Bytes(packer, FIELD_TARGET, message->as.probe.target);
        PhPack_Bytes(packer, FIELD_ADDRESS, message->as.probe.address);
        return;
    case PH_MEMBER_SYNC_REQUEST:
    case PH_MEMBER_SYNC:
    case PH_MEMBER_UPDATES:
        return;
    }
}

void
PhMemberMessage_Encode(const PhMemberMessage *message, PhBuf *out)
{
    msgpack_packer packer;
    size_t extra = message->record_count > 0 ? 2 : 1;
    msgpack_packer_init(&packer, out, PhPack_Write);
    msgpack_pack_map(&packer, field_count(message->kind) + extra);
    PhPack_U64(&packer, FIELD_KIND, message->kind);
    fields_encode(&packer, message);
    if (message->record_count > 0) {
        records_encode(&packer, message);
    }
}

/* Additional elements are ignored. */
static bool
record_decode(const msgpack_object *value, PhMember *record)
{
    const size_t max = PH_MEMBER_NAME_MAX_BYTES;
    const msgpack_object *f = value->via.array.ptr;
    PhMember r = {0};
    uint64_t state;
    uint64_t draining;
    if (value->type != MSGPACK_OBJECT_ARRAY ||
        value->via.array.size < RECORD_FIELDS ||
        !PhUnpack_Bytes(&f[RECORD_ID], max, &r.id) ||
        !PhUnpack_Bytes(&f[RECORD_DATA_CENTRE], max, &r.data_centre) ||
        !PhUnpack_Bytes(&f[RECORD_ADDRESS], max, &r.address) ||
        !PhUnpack_U64(&f[RECORD_STATE], &state) ||
        !PhUnpack_U64(&f[RECORD_INCARNATION], &r.incarnation) ||
        r.incarnation > PH_MEMBER_INCARNATION_MAX ||
        !PhUnpack_U64(&f[RECORD_DRAINING], &draining) ||
        !state_decode(state, &r.state) || PhStr_IsEmpty(r.id)) {
        return false;
    }
    r.draining = draining != 0;
    *record = PhMember_Copy(&r);
    return true;
}

static bool
records_decode(const msgpack_object *value, PhMemberMessage *message)
{
    if (value == NULL) {
        return true;
    }
    if (value->type != MSGPACK_OBJECT_ARRAY ||
        value->via.array.size > PH_MEMBER_RECORDS_MAX) {
        return false;
    }
    message->records = g_new0(PhMember, value->via.array.size);
    for (uint32_t i = 0; i < value->via.array.size; i++) {
        if (!record_decode(&value->via.array.ptr[i], &message->records[i])) {
            return false;
        }
        message->record_count++;
    }
    return true;
}

static bool
ping_decode(const msgpack_object *map, PhMemberPing *ping)
{
    return PhUnpack_U64(PhUnpack_Field(map, FIELD_SEQUENCE),
                        &ping->sequence) &&
           PhUnpack_U64(PhUnpack_Field(map, FIELD_DIGEST), &ping->digest);
}

static bool
probe_decode(const msgpack_object *map, PhMemberProbe *probe)
{
    PhStr target;
    PhStr address;
    if (!PhUnpack_U64(PhUnpack_Field(map, FIELD_SEQUENCE), &probe->sequence) ||
        !PhUnpack_Bytes(PhUnpack_Field(map, FIELD_TARGET),
                        PH_MEMBER_NAME_MAX_BYTES, &target) ||
        !PhUnpack_Bytes(PhUnpack_Field(map, FIELD_ADDRESS),
                        PH_MEMBER_NAME_MAX_BYTES, &address)) {
        return false;
    }
    probe->target = PhStr_Dup(target);
    probe->address = PhStr_Dup(address);
    return true;
}

static bool
fields_decode(const msgpack_object *map, PhMemberMessage *message)
{
    switch (message->kind) {
    case PH_MEMBER_PING:
        return ping_decode(map, &message->as.ping);
    case PH_MEMBER_ACK:
        return ping_decode(map, &message->as.ack);
    case PH_MEMBER_PROBE:
        return probe_decode(map, &message->as.probe);
    case PH_MEMBER_SYNC_REQUEST:
    case PH_MEMBER_SYNC:
    case PH_MEMBER_UPDATES:
        return true;
    }
    return false;
}

static PhStatus
map_decode(const msgpack_object *map, PhMemberMessage *message)
{
    uint64_t kind;
    if (!PhUnpack_U64(PhUnpack_Field(map, FIELD_KIND), &kind)) {
        return PH_STATUS_INVALID;
    }
    if (kind < PH_MEMBER_PING || kind > PH_MEMBER_UPDATES) {
        return PH_STATUS_NOT_FOUND;
    }
    message->kind = (PhMemberMessageKind)kind;
    if (!fields_decode(map, message) ||
        !records_decode(PhUnpack_Field(map, FIELD_RECORDS), message)) {
        return PH_STATUS_INVALID;
    }
    return PH_STATUS_OK;
}

PhStatus
PhMemberMessage_Decode(PhStr bytes, PhMemberMessage *message)
{
    PhUnpack unpack;
    *message = (PhMemberMessage){.kind = PH_MEMBER_UPDATES};
    PhStatus status = PhUnpack_Open(&unpack, bytes)
                          ? map_decode(PhUnpack_Root(&unpack), message)
                          : PH_STATUS_INVALID;
    PhUnpack_Close(&unpack);
    if (status != PH_STATUS_OK) {
        PhMemberMessage_Clear(message);
        *message = (PhMemberMessage){.kind = PH_MEMBER_UPDATES};
    }
    return status;
}
