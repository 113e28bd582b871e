#include "peridothill/codec/schedule_link.h"

#include <glib.h>

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
    FIELD_HELLO,
    FIELD_ROWS,
    FIELD_HELLO_NUMBER,
    FIELD_WORKER,
    FIELD_BORN_MS,
    FIELD_LASTING_CLOSED,
    FIELD_STORE_SILENT,
    /* Field counts of the maps. */
    HELLO_FIELDS = 7,
    WELCOME_FIELDS = 4,
    DISMISS_FIELDS = 1,
    ASK_FIELDS = 6,
    ANSWER_FIELDS = 4,
    ORDERS_FIELDS = 4,
    OUTCOMES_FIELDS = 2,
    ENDS_FIELDS = 4,
    /* Items of a row. */
    ORDER_ITEMS = 12,
    OUTCOME_ITEMS = 4,
    END_ITEMS = 8,
    ROWS_MAX = 4096,
    TEXT_BYTES_MAX = 4096,
    SUBJECT_BYTES_MAX = 256,
    RECORD_BYTES_MAX = 60 * 1024, /* fits into a peer frame */
};

static void
map_begin(msgpack_packer *p, PhLinkTag tag, size_t fields)
{
    msgpack_pack_map(p, fields);
    PhPack_U64(p, FIELD_TAG, tag);
}

static void
order_pack(msgpack_packer *p, const PhLinkOrder *o)
{
    msgpack_pack_array(p, ORDER_ITEMS);
    msgpack_pack_uint64(p, o->number);
    PhPack_Item(p, o->worker);
    PhPack_Item(p, o->address);
    PhPack_Item(p, o->job);
    msgpack_pack_uint64(p, o->round);
    msgpack_pack_uint64(p, o->step);
    msgpack_pack_uint64(p, o->index);
    msgpack_pack_uint64(p, o->run);
    msgpack_pack_int64(p, o->deadline_ms);
    PhPack_Item(p, o->last_checkpoint);
    PhPack_Item(p, o->payload);
    msgpack_pack_int64(p, o->born_ms);
}

static void
outcome_pack(msgpack_packer *p, const PhLinkOutcome *o)
{
    msgpack_pack_array(p, OUTCOME_ITEMS);
    msgpack_pack_uint64(p, o->number);
    msgpack_pack_uint64(p, o->outcome);
    msgpack_pack_int64(p, o->clock_ms);
    msgpack_pack_uint64(p, o->took_ms);
}

static void
end_pack(msgpack_packer *p, const PhLinkEnd *e)
{
    msgpack_pack_array(p, END_ITEMS);
    msgpack_pack_uint64(p, e->number);
    PhPack_Item(p, e->job);
    msgpack_pack_uint64(p, e->round);
    msgpack_pack_uint64(p, e->step);
    msgpack_pack_uint64(p, e->index);
    msgpack_pack_uint64(p, e->run);
    msgpack_pack_uint64(p, e->kind);
    PhPack_Item(p, e->last_checkpoint);
}

/* Begins the array of rows of a message. */
static void
rows_begin(msgpack_packer *p, size_t count)
{
    msgpack_pack_uint64(p, FIELD_ROWS);
    msgpack_pack_array(p, count);
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
        PhPack_U64(&p, FIELD_HELLO_NUMBER, m->as.hello.number);
        break;
    case PH_LINK_WELCOME:
        map_begin(&p, m->tag, WELCOME_FIELDS);
        PhPack_U64(&p, FIELD_STANDBY, m->as.welcome.standby);
        PhPack_U64(&p, FIELD_LASTING_CLOSED, m->as.welcome.lasting_closed);
        PhPack_U64(&p, FIELD_STORE_SILENT, m->as.welcome.store_silent);
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
    case PH_LINK_ORDERS:
        map_begin(&p, m->tag, ORDERS_FIELDS);
        PhPack_U64(&p, FIELD_FENCE, m->as.orders.fence);
        PhPack_U64(&p, FIELD_HELLO, m->as.orders.hello);
        rows_begin(&p, m->as.orders.row_count);
        for (size_t i = 0; i < m->as.orders.row_count; i++) {
            order_pack(&p, &m->as.orders.rows[i]);
        }
        break;
    case PH_LINK_OUTCOMES:
        map_begin(&p, m->tag, OUTCOMES_FIELDS);
        rows_begin(&p, m->as.outcomes.row_count);
        for (size_t i = 0; i < m->as.outcomes.row_count; i++) {
            outcome_pack(&p, &m->as.outcomes.rows[i]);
        }
        break;
    case PH_LINK_ENDS:
        map_begin(&p, m->tag, ENDS_FIELDS);
        PhPack_Bytes(&p, FIELD_WORKER, m->as.ends.worker);
        msgpack_pack_uint64(&p, FIELD_BORN_MS);
        msgpack_pack_int64(&p, m->as.ends.born_ms);
        rows_begin(&p, m->as.ends.row_count);
        for (size_t i = 0; i < m->as.ends.row_count; i++) {
            end_pack(&p, &m->as.ends.rows[i]);
        }
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

/* Earlier versions send no more than the CPU and the fence, or number their
 * hellos in FIELD_NUMBER: they do not bind starts, and must not be given
 * any. */
static bool
hello_read(const msgpack_object *map, PhLinkMessage *m)
{
    uint64_t ready = 0;
    uint64_t leaving = 0;
    PhUnpack_U64(PhUnpack_Field(map, FIELD_UPTIME_MS), &m->as.hello.uptime_ms);
    PhUnpack_U64(PhUnpack_Field(map, FIELD_READY), &ready);
    PhUnpack_U64(PhUnpack_Field(map, FIELD_LEAVING), &leaving);
    PhUnpack_U64(PhUnpack_Field(map, FIELD_HELLO_NUMBER), &m->as.hello.number);
    m->as.hello.ready = ready != 0;
    m->as.hello.leaving = leaving != 0;
    return PhUnpack_U64(PhUnpack_Field(map, FIELD_CPU_MILLI),
                        &m->as.hello.cpu_milli) &&
           PhUnpack_U64(PhUnpack_Field(map, FIELD_FENCE), &m->as.hello.fence);
}

/* Returns the array of rows, NULL if it is malformed. */
static const msgpack_object_array *
rows_read(const msgpack_object *map)
{
    const msgpack_object *value = PhUnpack_Field(map, FIELD_ROWS);
    return value != NULL && value->type == MSGPACK_OBJECT_ARRAY &&
                   value->via.array.size <= ROWS_MAX
               ? &value->via.array
               : NULL;
}

/* Returns the items of a row, NULL if it has another number of them. */
static const msgpack_object *
row_items(const msgpack_object *row, uint32_t count)
{
    return row->type == MSGPACK_OBJECT_ARRAY && row->via.array.size == count
               ? row->via.array.ptr
               : NULL;
}

static bool
order_read(const msgpack_object *row, PhLinkOrder *o)
{
    const msgpack_object *item = row_items(row, ORDER_ITEMS);
    PhLinkOrder read = {0};
    if (item == NULL || !PhUnpack_U64(&item[0], &read.number) ||
        !PhUnpack_Bytes(&item[1], TEXT_BYTES_MAX, &read.worker) ||
        !PhUnpack_Bytes(&item[2], TEXT_BYTES_MAX, &read.address) ||
        !PhUnpack_Bytes(&item[3], SUBJECT_BYTES_MAX, &read.job) ||
        !PhUnpack_U64(&item[4], &read.round) || read.round > UINT32_MAX ||
        !PhUnpack_U64(&item[5], &read.step) || read.step > UINT32_MAX ||
        !PhUnpack_U64(&item[6], &read.index) || read.index > UINT32_MAX ||
        !PhUnpack_U64(&item[7], &read.run) || read.run > UINT32_MAX ||
        !PhUnpack_I64(&item[8], &read.deadline_ms) ||
        !PhUnpack_Bytes(&item[9], TEXT_BYTES_MAX, &read.last_checkpoint) ||
        !PhUnpack_Bytes(&item[10], RECORD_BYTES_MAX, &read.payload) ||
        !PhUnpack_I64(&item[11], &read.born_ms)) {
        return false;
    }
    *o = read;
    o->worker = PhStr_Dup(read.worker);
    o->address = PhStr_Dup(read.address);
    o->job = PhStr_Dup(read.job);
    o->last_checkpoint = PhStr_Dup(read.last_checkpoint);
    o->payload = PhStr_Dup(read.payload);
    return true;
}

static bool
outcome_read(const msgpack_object *row, PhLinkOutcome *o)
{
    const msgpack_object *item = row_items(row, OUTCOME_ITEMS);
    return item != NULL && PhUnpack_U64(&item[0], &o->number) &&
           PhUnpack_U64(&item[1], &o->outcome) &&
           PhUnpack_I64(&item[2], &o->clock_ms) &&
           PhUnpack_U64(&item[3], &o->took_ms);
}

static bool
orders_read(const msgpack_object *map, PhLinkMessage *m)
{
    const msgpack_object_array *rows = rows_read(map);
    if (rows == NULL ||
        !PhUnpack_U64(PhUnpack_Field(map, FIELD_FENCE), &m->as.orders.fence) ||
        !PhUnpack_U64(PhUnpack_Field(map, FIELD_HELLO), &m->as.orders.hello)) {
        return false;
    }
    m->as.orders.rows = g_new0(PhLinkOrder, MAX(rows->size, 1));
    for (uint32_t i = 0; i < rows->size; i++) {
        if (!order_read(&rows->ptr[i], &m->as.orders.rows[i])) {
            return false;
        }
        m->as.orders.row_count++;
    }
    return true;
}

static bool
outcomes_read(const msgpack_object *map, PhLinkMessage *m)
{
    const msgpack_object_array *rows = rows_read(map);
    if (rows == NULL) {
        return false;
    }
    m->as.outcomes.rows = g_new0(PhLinkOutcome, MAX(rows->size, 1));
    for (uint32_t i = 0; i < rows->size; i++) {
        if (!outcome_read(&rows->ptr[i], &m->as.outcomes.rows[i])) {
            return false;
        }
        m->as.outcomes.row_count++;
    }
    return true;
}

static bool
end_read(const msgpack_object *row, PhLinkEnd *e)
{
    const msgpack_object *item = row_items(row, END_ITEMS);
    PhLinkEnd read = {0};
    if (item == NULL || !PhUnpack_U64(&item[0], &read.number) ||
        !PhUnpack_Bytes(&item[1], SUBJECT_BYTES_MAX, &read.job) ||
        !PhUnpack_U64(&item[2], &read.round) || read.round > UINT32_MAX ||
        !PhUnpack_U64(&item[3], &read.step) || read.step > UINT32_MAX ||
        !PhUnpack_U64(&item[4], &read.index) || read.index > UINT32_MAX ||
        !PhUnpack_U64(&item[5], &read.run) || read.run > UINT32_MAX ||
        !PhUnpack_U64(&item[6], &read.kind) ||
        !PhUnpack_Bytes(&item[7], TEXT_BYTES_MAX, &read.last_checkpoint)) {
        return false;
    }
    *e = read;
    e->job = PhStr_Dup(read.job);
    e->last_checkpoint = PhStr_Dup(read.last_checkpoint);
    return true;
}

static bool
ends_read(const msgpack_object *map, PhLinkMessage *m)
{
    const msgpack_object_array *rows = rows_read(map);
    const msgpack_object *born_ms = PhUnpack_Field(map, FIELD_BORN_MS);
    PhStr worker;
    if (rows == NULL || born_ms == NULL ||
        !PhUnpack_I64(born_ms, &m->as.ends.born_ms) ||
        !PhUnpack_Bytes(PhUnpack_Field(map, FIELD_WORKER), TEXT_BYTES_MAX,
                        &worker)) {
        return false;
    }
    m->as.ends.worker = PhStr_Dup(worker);
    m->as.ends.rows = g_new0(PhLinkEnd, MAX(rows->size, 1));
    for (uint32_t i = 0; i < rows->size; i++) {
        if (!end_read(&rows->ptr[i], &m->as.ends.rows[i])) {
            return false;
        }
        m->as.ends.row_count++;
    }
    return true;
}

/* Earlier versions say neither whether long-running jobs are refused nor
 * whether the store answers the owner. */
static bool
welcome_read(const msgpack_object *map, PhLinkMessage *m)
{
    uint64_t standby = 0;
    uint64_t closed = 0;
    uint64_t silent = 0;
    PhUnpack_U64(PhUnpack_Field(map, FIELD_LASTING_CLOSED), &closed);
    PhUnpack_U64(PhUnpack_Field(map, FIELD_STORE_SILENT), &silent);
    if (!PhUnpack_U64(PhUnpack_Field(map, FIELD_STANDBY), &standby)) {
        return false;
    }
    m->as.welcome.standby = standby != 0;
    m->as.welcome.lasting_closed = closed != 0;
    m->as.welcome.store_silent = silent != 0;
    return true;
}

static bool
fields_read(const msgpack_object *map, PhLinkMessage *m)
{
    switch (m->tag) {
    case PH_LINK_HELLO:
        return hello_read(map, m);
    case PH_LINK_WELCOME:
        return welcome_read(map, m);
    case PH_LINK_NOT_OWNER:
        return true;
    case PH_LINK_ASK:
        return ask_read(map, m);
    case PH_LINK_ANSWER:
        return answer_read(map, m);
    case PH_LINK_ORDERS:
        return orders_read(map, m);
    case PH_LINK_OUTCOMES:
        return outcomes_read(map, m);
    case PH_LINK_ENDS:
        return ends_read(map, m);
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
        tag >= PH_LINK_HELLO && tag <= PH_LINK_ENDS;
    if (valid) {
        m->tag = (PhLinkTag)tag;
        valid = fields_read(PhUnpack_Root(&unpack), m);
    }
    PhUnpack_Close(&unpack);
    if (!valid) {
        PhLinkMessage_Clear(m);
    }
    return valid;
}

static void
orders_clear(PhLinkMessage *m)
{
    for (size_t i = 0; i < m->as.orders.row_count; i++) {
        PhLinkOrder *o = &m->as.orders.rows[i];
        PhStr_Clear(&o->worker);
        PhStr_Clear(&o->address);
        PhStr_Clear(&o->job);
        PhStr_Clear(&o->last_checkpoint);
        PhStr_Clear(&o->payload);
    }
    g_free(m->as.orders.rows);
}

static void
ends_clear(PhLinkMessage *m)
{
    for (size_t i = 0; i < m->as.ends.row_count; i++) {
        PhStr_Clear(&m->as.ends.rows[i].job);
        PhStr_Clear(&m->as.ends.rows[i].last_checkpoint);
    }
    PhStr_Clear(&m->as.ends.worker);
    g_free(m->as.ends.rows);
}

void
PhLinkMessage_Clear(PhLinkMessage *m)
{
    switch (m->tag) {
    case PH_LINK_ASK:
        PhStr_Clear(&m->as.ask.subject);
        PhStr_Clear(&m->as.ask.record);
        break;
    case PH_LINK_ORDERS:
        orders_clear(m);
        break;
    case PH_LINK_OUTCOMES:
        g_free(m->as.outcomes.rows);
        break;
    case PH_LINK_ENDS:
        ends_clear(m);
        break;
    case PH_LINK_HELLO:
    case PH_LINK_WELCOME:
    case PH_LINK_NOT_OWNER:
    case PH_LINK_ANSWER:
        break;
    }
    *m = (PhLinkMessage){0};
}
