#include "peridothill/codec/schedule_link.h"

#include "peridothill/codec/unpack.h"

/* Keys of the map. */
enum {
    FIELD_TAG = 1,
    FIELD_NUMBER,
    FIELD_CPU_MILLI,
    FIELD_STANDBY,
    FIELD_CALL,
    FIELD_SUBJECT,
    FIELD_RECORD,
    FIELD_WAIT_MS,
    FIELD_OUTCOME,
    FIELD_VALUE,
    FIELD_FENCE,
    FIELD_UPTIME_MS,
    FIELD_READY,
    FIELD_LEAVING,
    /* Field counts of the maps. */
    HELLO_FIELDS = 6,
    WELCOME_FIELDS = 2,
    DISMISS_FIELDS = 1,
    ASK_FIELDS = 6,
    ANSWER_FIELDS = 4,
    SUBJECT_BYTES_MAX = 256,
    RECORD_BYTES_MAX = 60 * 1024, /* fits into a peer frame */
};

static void
map_begin(msgpack_packer *p, PhLinkTag tag, size_t fields)
{
    msgpack_pack_map(p, fields);
    PhPack_U64(p, FIELD_TAG, tag);
}

PhStr
PhLinkMessage_Encode(const PhLinkMessage *m)
{
    PhBuf out = {0};
    msgpack_packer p;
    msgpack_packer_init(&p, &out, PhPack_Write);
    switch (m->tag) {
    case PH_LINK_HELLO:
        map_begin(&p, m->tag, HELLO_FIELDS);
        PhPack_U64(&p, FIELD_CPU_MILLI, m->as.hello.cpu_milli);
        PhPack_U64(&p, FIELD_FENCE, m->as.hello.fence);
        PhPack_U64(&p, FIELD_UPTIME_MS, m->as.hello.uptime_ms);
        PhPack_U64(&p, FIELD_READY, m->as.hello.ready);
        PhPack_U64(&p, FIELD_LEAVING, m->as.hello.leaving);
        break;
    case PH_LINK_WELCOME:
        map_begin(&p, m->tag, WELCOME_FIELDS);
        PhPack_U64(&p, FIELD_STANDBY, m->as.welcome.standby);
        break;
    case PH_LINK_NOT_OWNER:
        map_begin(&p, m->tag, DISMISS_FIELDS);
        break;
    case PH_LINK_ASK:
        map_begin(&p, m->tag, ASK_FIELDS);
        PhPack_U64(&p, FIELD_NUMBER, m->as.ask.number);
        PhPack_U64(&p, FIELD_CALL, m->as.ask.call);
        PhPack_Bytes(&p, FIELD_SUBJECT, m->as.ask.subject);
        PhPack_Bytes(&p, FIELD_RECORD, m->as.ask.record);
        PhPack_U64(&p, FIELD_WAIT_MS, m->as.ask.wait_ms);
        break;
    case PH_LINK_ANSWER:
        map_begin(&p, m->tag, ANSWER_FIELDS);
        PhPack_U64(&p, FIELD_NUMBER, m->as.answer.number);
        PhPack_U64(&p, FIELD_OUTCOME, m->as.answer.outcome);
        PhPack_U64(&p, FIELD_VALUE, m->as.answer.value);
        break;
    }
    return PhBuf_Take(&out);
}

static bool
ask_read(const msgpack_object *map, PhLinkMessage *m)
{
    uint64_t call = 0;
    PhStr subject;
    PhStr record;
    if (!PhUnpack_U64(PhUnpack_Field(map, FIELD_NUMBER), &m->as.ask.number) ||
        !PhUnpack_U64(PhUnpack_Field(map, FIELD_CALL), &call) ||
        call < PH_LINK_SUBMIT || call > PH_LINK_PENDING ||
        !PhUnpack_Bytes(PhUnpack_Field(map, FIELD_SUBJECT), SUBJECT_BYTES_MAX,
                        &subject) ||
        !PhUnpack_Bytes(PhUnpack_Field(map, FIELD_RECORD), RECORD_BYTES_MAX,
                        &record) ||
        !PhUnpack_U64(PhUnpack_Field(map, FIELD_WAIT_MS),
                      &m->as.ask.wait_ms)) {
        return false;
    }
    m->as.ask.call = (PhLinkCall)call;
    m->as.ask.subject = PhStr_Dup(subject);
    m->as.ask.record = PhStr_Dup(record);
    return true;
}

static bool
answer_read(const msgpack_object *map, PhLinkMessage *m)
{
    return PhUnpack_U64(PhUnpack_Field(map, FIELD_NUMBER),
                        &m->as.answer.number) &&
           PhUnpack_U64(PhUnpack_Field(map, FIELD_OUTCOME),
                        &m->as.answer.outcome) &&
           PhUnpack_U64(PhUnpack_Field(map, FIELD_VALUE), &m->as.answer.value);
}

/* The version before sends no more than its CPU and the fence. */
static bool
hello_read(const msgpack_object *map, PhLinkMessage *m)
{
    uint64_t ready = 0;
    uint64_t leaving = 0;
    PhUnpack_U64(PhUnpack_Field(map, FIELD_UPTIME_MS), &m->as.hello.uptime_ms);
    PhUnpack_U64(PhUnpack_Field(map, FIELD_READY), &ready);
    PhUnpack_U64(PhUnpack_Field(map, FIELD_LEAVING), &leaving);
    m->as.hello.ready = ready != 0;
    m->as.hello.leaving = leaving != 0;
    return PhUnpack_U64(PhUnpack_Field(map, FIELD_CPU_MILLI),
                        &m->as.hello.cpu_milli) &&
           PhUnpack_U64(PhUnpack_Field(map, FIELD_FENCE), &m->as.hello.fence);
}

static bool
fields_read(const msgpack_object *map, PhLinkMessage *m)
{
    uint64_t standby = 0;
    switch (m->tag) {
    case PH_LINK_HELLO:
        return hello_read(map, m);
    case PH_LINK_WELCOME:
        if (!PhUnpack_U64(PhUnpack_Field(map, FIELD_STANDBY), &standby)) {
            return false;
        }
        m->as.welcome.standby = standby != 0;
        return true;
    case PH_LINK_NOT_OWNER:
        return true;
    case PH_LINK_ASK:
        return ask_read(map, m);
    case PH_LINK_ANSWER:
        return answer_read(map, m);
    }
    return false;
}

bool
PhLinkMessage_Decode(PhStr payload, PhLinkMessage *m)
{
    PhUnpack unpack;
    uint64_t tag = 0;
    *m = (PhLinkMessage){0};
    bool valid =
        PhUnpack_Open(&unpack, payload) &&
        PhUnpack_U64(PhUnpack_Field(PhUnpack_Root(&unpack), FIELD_TAG),
                     &tag) &&
        tag >= PH_LINK_HELLO && tag <= PH_LINK_ANSWER;
    if (valid) {
        m->tag = (PhLinkTag)tag;
        valid = fields_read(PhUnpack_Root(&unpack), m);
    }
    PhUnpack_Close(&unpack);
    return valid;
}

void
PhLinkMessage_Clear(PhLinkMessage *m)
{
    if (m->tag == PH_LINK_ASK) {
        PhStr_Clear(&m->as.ask.subject);
        PhStr_Clear(&m->as.ask.record);
    }
}
