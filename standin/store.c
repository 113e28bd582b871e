/* Stand-in for the platform's metadata store: keyed topics with a single
 * partition, appends on condition of the topic's end, appends with a
 * producer's epoch and sequence number, of which a repetition is not stored
 * again, long-polling reads, and the newest record of each key. */
#include <inttypes.h>

#include "peridothill/codec/json.h"
#include "peridothill/standin/platform.h"
#include "server.h"

enum {
    STATUS_OK = 200,
    STATUS_BAD_REQUEST = 400,
    STATUS_NOT_FOUND = 404,
    STATUS_CONFLICT = 409,
    STATUS_CONDITION = 412,
    STATUS_TOO_LARGE = 413,
    STATUS_UNAVAILABLE = 503,
    BODY_LIMIT_BYTES = 4 * 1024 * 1024,
    RECORD_LIMIT_BYTES = 256 * 1024,
    APPEND_LIMIT_BYTES = 2 * 1024 * 1024,
    LENGTH_BYTES = 4,
    OFFSET_BYTES = 8,
    BITS_PER_BYTE = 8,
    TICK_TOKEN = 1,
    TICK_MS = 5,
};

typedef struct PhStoredRecord {
    PhStr data; /* key length (1 byte), key, value */
    PhStr key;  /* part of `data` */
} PhStoredRecord;

typedef struct PhStoredProducer {
    uint64_t epoch;
    uint64_t sequence; /* last sequence number */
    bool accepts_any;  /* any next sequence number is accepted */
} PhStoredProducer;

typedef struct PhStoredTopic {
    GArray *records;       /* PhStoredRecord */
    GHashTable *producers; /* PhStoredProducer by name */
    bool loses_appends;
    bool refuses_reads;
} PhStoredTopic;

/* A long-polling read. */
typedef struct PhWaitingRead {
    uint64_t id;
    PhStoredTopic *topic;
    uint64_t from;
    PhTime until;
} PhWaitingRead;

typedef struct PhStandinStore {
    PhServer *server;
    PhStandinStoreState *state;
    const PhStandinStoreFault *fault; /* of this listener, or NULL */
    GArray *waiting_reads;            /* PhWaitingRead */
} PhStandinStore;

struct PhStandinStoreState {
    PhStandinStoreFault fault;
    GHashTable *topics; /* PhStoredTopic by name */
    size_t record_bytes;
    size_t append_bytes;
    unsigned too_large; /* appends refused for their size */
};

static void
topic_destroy(gpointer value)
{
    PhStoredTopic *topic = value;
    for (guint i = 0; i < topic->records->len; i++) {
        PhStr_Clear(&g_array_index(topic->records, PhStoredRecord, i).data);
    }
    g_array_free(topic->records, TRUE);
    g_hash_table_destroy(topic->producers);
    g_free(topic);
}

PhStandinStoreState *
PhStandinStoreState_Create(void)
{
    PhStandinStoreState *s = g_new0(PhStandinStoreState, 1);
    s->record_bytes = RECORD_LIMIT_BYTES;
    s->append_bytes = APPEND_LIMIT_BYTES;
    s->topics = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                      PhStr_KeyDestroy, topic_destroy);
    return s;
}

/* NULL is allowed. */
void
PhStandinStoreState_Destroy(PhStandinStoreState *s)
{
    if (s != NULL) {
        g_hash_table_destroy(s->topics);
        g_free(s);
    }
}

void
PhStandinStoreState_SetFault(PhStandinStoreState *s, PhStandinStoreFault fault)
{
    s->fault = fault;
}

void
PhStandinStoreState_SetLimits(PhStandinStoreState *s, size_t record_bytes,
                              size_t append_bytes)
{
    s->record_bytes = record_bytes;
    s->append_bytes = append_bytes;
}

unsigned
PhStandinStoreState_TooLarge(const PhStandinStoreState *s)
{
    return s->too_large;
}

static PhStoredTopic *
topic_find(PhStandinStoreState *s, PhStr name)
{
    PhStoredTopic *topic = g_hash_table_lookup(s->topics, &name);
    if (topic == NULL) {
        topic = g_new0(PhStoredTopic, 1);
        topic->records = g_array_new(FALSE, TRUE, sizeof(PhStoredRecord));
        topic->producers = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                                 PhStr_KeyDestroy, g_free);
        g_hash_table_insert(s->topics, PhStr_KeyCreate(name), topic);
    }
    return topic;
}

void
PhStandinStoreState_RefuseReads(PhStandinStoreState *s, PhStr topic,
                                bool refuse)
{
    topic_find(s, topic)->refuses_reads = refuse;
}

void
PhStandinStoreState_LoseAppends(PhStandinStoreState *s, PhStr topic, bool lose)
{
    topic_find(s, topic)->loses_appends = lose;
}

/* `data`: key length, key, value. */
static void
topic_add(PhStoredTopic *topic, PhStr data)
{
    PhStoredRecord record = {.data = PhStr_Dup(data)};
    record.key =
        PhStr_Slice(record.data, 1, data.len > 0 ? (uint8_t)data.data[0] : 0);
    g_array_append_val(topic->records, record);
}

void
PhStandinStoreState_Put(PhStandinStoreState *s, PhStr topic, PhStr key,
                        PhStr value)
{
    PhBuf data = {0};
    PhBuf_AppendByte(&data, (char)key.len);
    PhBuf_Append(&data, key);
    PhBuf_Append(&data, value);
    topic_add(topic_find(s, topic), PhBuf_Str(&data));
    PhBuf_Clear(&data);
}

void
PhStandinStoreState_PutQueue(PhStandinStoreState *s, PhStr service)
{
    PhBuf text = {0};
    PhBuf_AppendFormat(
        &text,
        "{\"version\":1,\"routes\":[{\"name\":\"queue\",\"host\":"
        "\"jobs.example\",\"pathPrefix\":\"/jobs/\",\"service\":"
        "\"%.*s\",\"maxAttempts\":3,\"stretch\":2.0,"
        "\"targetCompletionMs\":1000}],\"services\":[{\"name\":\"%.*s\","
        "\"enforcesCapacity\":true}]}",
        PhStr_ARG(service), PhStr_ARG(service));
    PhStandinStoreState_Put(s, PhStr_LITERAL("keyed.op"),
                            PhStr_LITERAL("config"), PhBuf_Str(&text));
    PhBuf_Clear(&text);
}

static PhStandinStoreFault
store_fault(const PhStandinStore *s)
{
    return s->fault != NULL && *s->fault != PH_STANDIN_STORE_HEALTHY
               ? *s->fault
               : s->state->fault;
}

/* Big-endian. */
static void
append_number(PhBuf *out, uint64_t value, int bytes)
{
    for (int i = bytes - 1; i >= 0; i--) {
        PhBuf_AppendByte(out, (char)(value >> (i * BITS_PER_BYTE)));
    }
}

/* Releases the body. */
static void
answer(PhStandinStore *s, uint64_t id, int status, PhBuf *body)
{
    PhListener_Answer(s->server->listener, id, status, NULL, 0,
                      PhBuf_Str(body));
    PhBuf_Clear(body);
}

/* Answers an append; `reason` may be NULL. */
static void
answer_end(PhStandinStore *s, uint64_t id, int status,
           const PhStoredTopic *topic, uint64_t offset, const char *reason)
{
    PhBuf body = {0};
    PhBuf_AppendFormat(&body, "{\"offset\":%" PRIu64 ",\"end\":%u", offset,
                       topic->records->len);
    if (reason != NULL) {
        PhBuf_AppendFormat(&body, ",\"reason\":\"%s\"", reason);
    }
    PhBuf_AppendByte(&body, '}');
    answer(s, id, status, &body);
}

static void
answer_read(PhStandinStore *s, uint64_t id, const PhStoredTopic *topic,
            uint64_t from)
{
    PhBuf body = {0};
    append_number(&body, topic->records->len, OFFSET_BYTES);
    append_number(&body, 0, OFFSET_BYTES);
    for (guint i = (guint)from; i < topic->records->len; i++) {
        PhStr data = g_array_index(topic->records, PhStoredRecord, i).data;
        append_number(&body, data.len, LENGTH_BYTES);
        PhBuf_Append(&body, data);
    }
    answer(s, id, STATUS_OK, &body);
}

/* Answers the waiting reads for which a record has arrived or whose time is
 * over; sets the timer again while others wait. */
static void
answer_waiting_reads(PhStandinStore *s)
{
    PhTime now = PhTask_Now(s->server->self);
    bool silent = store_fault(s) == PH_STANDIN_STORE_SILENT;
    for (guint i = silent ? 0 : s->waiting_reads->len; i-- > 0;) {
        PhWaitingRead read = g_array_index(s->waiting_reads, PhWaitingRead, i);
        if (read.topic->records->len > read.from || now >= read.until) {
            g_array_remove_index_fast(s->waiting_reads, i);
            answer_read(s, read.id, read.topic, read.from);
        }
    }
    if (s->waiting_reads->len > 0) {
        PhTask_SetTimer(s->server->self, TICK_TOKEN,
                        now + TICK_MS * PH_NS_PER_MS);
    }
}

static bool
query_number(PhStr query, const char *key, uint64_t *number)
{
    PhStr value;
    if (!PhListener_QueryValue(query, PhStr_FromC(key), &value)) {
        return false;
    }
    bool valid = PhStr_ParseU64(value, number);
    PhStr_Clear(&value);
    return valid;
}

/* Checks the epoch and sequence of an append.  Returns NULL or the reason of a
 * refusal; `repeated` is set if the append has been applied before. */
static const char *
producer_check(PhStoredTopic *topic, PhStr name, uint64_t epoch,
               uint64_t sequence, bool empty, bool *repeated)
{
    PhStoredProducer *p = g_hash_table_lookup(topic->producers, &name);
    if (p == NULL) {
        p = g_new0(PhStoredProducer, 1);
        p->accepts_any = true;
        g_hash_table_insert(topic->producers, PhStr_KeyCreate(name), p);
    }
    if (epoch < p->epoch) {
        return "fenced";
    }
    p->accepts_any |= epoch > p->epoch;
    p->epoch = epoch;
    if (empty) {
        return NULL;
    }
    *repeated = !p->accepts_any && sequence == p->sequence;
    if (!p->accepts_any && !*repeated && sequence != p->sequence + 1) {
        return "seq";
    }
    p->accepts_any = false;
    p->sequence = sequence;
    return NULL;
}

/* Takes the next record off the body of an append; false at its end. */
static bool
take_record(PhStr *body, PhStr *record)
{
    size_t len = 0;
    if (body->len < LENGTH_BYTES) {
        return false;
    }
    for (int i = 0; i < LENGTH_BYTES; i++) {
        len = len << BITS_PER_BYTE | (uint8_t)body->data[i];
    }
    *record = PhStr_Slice(*body, LENGTH_BYTES, len);
    *body = PhStr_Slice(*body, LENGTH_BYTES + len, body->len);
    return true;
}

static bool
is_too_large(const PhStandinStoreState *s, PhStr body)
{
    bool too_large = body.len > s->append_bytes;
    PhStr record;
    while (take_record(&body, &record)) {
        too_large |= record.len > s->record_bytes;
    }
    return too_large;
}

static void
append_records(PhStoredTopic *topic, PhStr body)
{
    PhStr record;
    while (take_record(&body, &record)) {
        topic_add(topic, record);
    }
}

static void
on_append(PhStandinStore *s, const PhIncoming *in, PhStoredTopic *topic)
{
    uint64_t at;
    uint64_t epoch = 0;
    uint64_t sequence = 0;
    uint64_t offset = topic->records->len;
    PhStr producer;
    bool repeated = false;
    if (topic->loses_appends) {
        PhListener_Drop(s->server->listener, in->id);
        return;
    }
    if (is_too_large(s->state, in->body)) {
        PhBuf empty = {0};
        s->state->too_large++;
        answer(s, in->id, STATUS_TOO_LARGE, &empty);
        return;
    }
    if (query_number(in->query, "at", &at) && at != offset) {
        answer_end(s, in->id, STATUS_CONDITION, topic, offset, NULL);
        return;
    }
    if (PhListener_QueryValue(in->query, PhStr_LITERAL("producer"),
                              &producer)) {
        query_number(in->query, "epoch", &epoch);
        query_number(in->query, "seq", &sequence);
        const char *reason = producer_check(topic, producer, epoch, sequence,
                                            in->body.len == 0, &repeated);
        PhStr_Clear(&producer);
        if (reason != NULL) {
            answer_end(s, in->id, STATUS_CONFLICT, topic, offset, reason);
            return;
        }
    }
    if (!repeated) {
        append_records(topic, in->body);
    }
    if (store_fault(s) == PH_STANDIN_STORE_LOSES_ANSWERS) {
        PhListener_Drop(s->server->listener, in->id);
    }
    else {
        answer_end(s, in->id, STATUS_OK, topic, offset, NULL);
    }
    answer_waiting_reads(s);
}

static void
on_read(PhStandinStore *s, const PhIncoming *in, PhStoredTopic *topic)
{
    uint64_t from = 0;
    uint64_t wait_ms = 0;
    query_number(in->query, "from", &from);
    query_number(in->query, "waitMs", &wait_ms);
    PhWaitingRead read = {.id = in->id,
                          .topic = topic,
                          .from = from,
                          .until = PhTask_Now(s->server->self) +
                                   (PhTime)wait_ms * PH_NS_PER_MS};
    g_array_append_val(s->waiting_reads, read);
    answer_waiting_reads(s);
}

/* An empty value deletes the key. */
static bool
is_newest(const PhStoredTopic *topic, guint index)
{
    const PhStoredRecord *r =
        &g_array_index(topic->records, PhStoredRecord, index);
    for (guint i = index + 1; i < topic->records->len; i++) {
        if (PhStr_Equal(g_array_index(topic->records, PhStoredRecord, i).key,
                        r->key)) {
            return false;
        }
    }
    return r->data.len > 1 + r->key.len;
}

/* All records fit into one page. */
static void
on_newest(PhStandinStore *s, const PhIncoming *in, const PhStoredTopic *topic)
{
    json_t *root = json_object();
    json_t *items = json_array();
    for (guint i = 0; i < topic->records->len; i++) {
        const PhStoredRecord *r =
            &g_array_index(topic->records, PhStoredRecord, i);
        if (!is_newest(topic, i)) {
            continue;
        }
        PhStr value = PhStr_Slice(r->data, 1 + r->key.len, r->data.len);
        char *text = g_base64_encode((const guchar *)value.data, value.len);
        json_t *item = json_object();
        json_object_set_new(item, "key", PhJson_String(r->key));
        json_object_set_new(item, "value", json_string(text));
        json_object_set_new(item, "offset", json_integer(i));
        json_array_append_new(items, item);
        g_free(text);
    }
    json_object_set_new(root, "items", items);
    json_object_set_new(root, "hasMore", json_false());
    json_object_set_new(root, "end", json_integer(topic->records->len));
    PhStr text = PhJson_Write(root);
    PhListener_Answer(s->server->listener, in->id, STATUS_OK, NULL, 0, text);
    PhStr_Clear(&text);
    json_decref(root);
}

/* Returns true if the call was refused, or is never answered, because of the
 * fault. */
static bool
refuse_by_fault(PhStandinStore *s, uint64_t id)
{
    PhBuf empty = {0};
    switch (store_fault(s)) {
    case PH_STANDIN_STORE_DOWN:
        answer(s, id, STATUS_UNAVAILABLE, &empty);
        return true;
    case PH_STANDIN_STORE_SILENT:
        return true;
    case PH_STANDIN_STORE_HEALTHY:
    case PH_STANDIN_STORE_LOSES_ANSWERS:
        break;
    }
    return false;
}

static void
on_request(void *context, const PhIncoming *in)
{
    PhStandinStore *s = context;
    PhStr name;
    PhBuf empty = {0};
    if (refuse_by_fault(s, in->id)) {
        return;
    }
    if (!PhListener_QueryValue(in->query, PhStr_LITERAL("topic"), &name)) {
        answer(s, in->id, STATUS_BAD_REQUEST, &empty);
        return;
    }
    PhStoredTopic *topic = topic_find(s->state, name);
    PhStr_Clear(&name);
    if (PhStr_Equal(in->path, PhStr_LITERAL("/api/log-append"))) {
        on_append(s, in, topic);
    }
    else if (topic->refuses_reads) {
        answer(s, in->id, STATUS_UNAVAILABLE, &empty);
    }
    else if (PhStr_Equal(in->path, PhStr_LITERAL("/api/log-read"))) {
        on_read(s, in, topic);
    }
    else if (PhStr_Equal(in->path, PhStr_LITERAL("/api/log-newest"))) {
        on_newest(s, in, topic);
    }
    else {
        answer(s, in->id, STATUS_NOT_FOUND, &empty);
    }
}

static void
on_client_disconnect(void *context, uint64_t id)
{
    PhStandinStore *s = context;
    for (guint i = s->waiting_reads->len; i-- > 0;) {
        if (g_array_index(s->waiting_reads, PhWaitingRead, i).id == id) {
            g_array_remove_index_fast(s->waiting_reads, i);
        }
    }
}

static void
on_timer(void *context, uint64_t token)
{
    (void)token;
    answer_waiting_reads(context);
}

/* The state is owned by the caller. */
static void
store_destroy(void *context)
{
    PhStandinStore *s = context;
    g_array_free(s->waiting_reads, TRUE);
    g_free(s);
}

PhResult
PhStandinStore_StartAnother(PhKernel *kernel, PhStr name, PhStr listen,
                            PhStandinStoreState *state,
                            const PhStandinStoreFault *fault, uint16_t *port)
{
    PhStandinStore *s = g_new0(PhStandinStore, 1);
    s->state = state;
    s->fault = fault;
    s->waiting_reads = g_array_new(FALSE, TRUE, sizeof(PhWaitingRead));
    PhServerOptions options = {.name = name,
                               .listen = listen,
                               .body_limit_bytes = BODY_LIMIT_BYTES,
                               .context = s,
                               .on_request = on_request,
                               .on_client_disconnect = on_client_disconnect,
                               .on_timer = on_timer,
                               .destroy = store_destroy};
    return PhServer_Start(kernel, &options, &s->server, port);
}

PhResult
PhStandinStore_Start(PhKernel *kernel, PhStr listen,
                     PhStandinStoreState *state, uint16_t *port)
{
    return PhStandinStore_StartAnother(kernel, PhStr_LITERAL("standin-store"),
                                       listen, state, NULL, port);
}
