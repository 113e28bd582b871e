/* The task that writes the workers' entries into the store, as the workers
 * and the platform do: ready, draining, removed. */
#include <inttypes.h>

#include "peridothill/services/http.h"
#include "peridothill/services/interface.h"
#include "soak.h"

enum {
    MAILBOX_CAPACITY = 4096,
    STATUS_OK = 200,
    CALL_MS = 3000,
    RETRY_MS = 200,
    ANSWER_BYTES_MAX = 4096,
    LENGTH_BYTES = 4,
    BITS_PER_BYTE = 8,
    /* The entry of a worker that says nothing is removed after three
     * intervals of its reports. */
    EXPIRY_MS = 3000,
    EXPIRY_TOKENS = PH_SOAK_WORKERS_MAX,
};

typedef enum PhEntryState {
    ENTRY_NONE,
    ENTRY_READY,
    ENTRY_DRAINING,
} PhEntryState;

/* `sent` differs from `state` while the store has not accepted it yet. */
typedef struct PhEntry {
    PhEntryState state;
    int64_t born_ms;
    bool alive;
    bool in_flight;
    PhEntryState sent;
    int64_t sent_born_ms;
    PhEntryState accepted;
    int64_t accepted_born_ms;
} PhEntry;

typedef struct PhRegistrar {
    const PhSoakPlan *plan;
    PhTask *self;
    PhEntry entries[PH_SOAK_WORKERS_MAX];
} PhRegistrar;

/* An empty value removes the entry. */
static PhStr
record_make(const PhRegistrar *r, uint32_t i)
{
    const PhEntry *e = &r->entries[i];
    PhBuf key = {0};
    PhBuf value = {0};
    PhBuf record = {0};
    PhBuf_AppendFormat(&key, "w-%u", i);
    if (e->state != ENTRY_NONE) {
        PhBuf_AppendFormat(
            &value,
            "{\"service\":\"work\",\"address\":\"127.0.0.1:%u\",\"state\":"
            "\"%s\",\"zone\":\"bacolod\",\"capacity\":{\"cpu\":64000,"
            "\"memMb\":256000,\"gpu\":0},\"labels\":[\"a\",\"r1-%u\"],"
            "\"born\":%" PRId64 ",\"seq\":1}",
            r->plan->worker_proxy_ports[i],
            e->state == ENTRY_READY ? "ready" : "draining", i, e->born_ms);
    }
    size_t len = 1 + key.len + value.len;
    for (int k = LENGTH_BYTES - 1; k >= 0; k--) {
        PhBuf_AppendByte(&record, (char)(len >> (k * BITS_PER_BYTE)));
    }
    PhBuf_AppendByte(&record, (char)key.len);
    PhBuf_Append(&record, PhBuf_Str(&key));
    PhBuf_Append(&record, PhBuf_Str(&value));
    PhBuf_Clear(&key);
    PhBuf_Clear(&value);
    return PhBuf_Take(&record);
}

/* Sends the entry if the store has another one. */
static void
entry_send(PhRegistrar *r, uint32_t i)
{
    PhEntry *e = &r->entries[i];
    if (e->in_flight ||
        (e->state == e->accepted && e->born_ms == e->accepted_born_ms)) {
        return;
    }
    PhBuf address = {0};
    PhBuf_AppendFormat(&address, "127.0.0.1:%u", r->plan->store_port);
    PhHttpMessage m = {
        .tag = PH_HTTP_SEND,
        .as.send = {.id = i,
                    .method = PhStr_Dup(PhStr_LITERAL("POST")),
                    .address = PhBuf_Take(&address),
                    .target = PhStr_Dup(PhStr_LITERAL(
                        "/api/log-append?topic=keyed.servers&part=0")),
                    .body = record_make(r, i),
                    .deadline = PhTask_Now(r->self) + CALL_MS * PH_NS_PER_MS,
                    .first_byte = PH_TIME_NEVER,
                    .answer_limit_bytes = ANSWER_BYTES_MAX}};
    e->in_flight = true;
    e->sent = e->state;
    e->sent_born_ms = e->born_ms;
    PhTask_SendTo(r->self, PH_SERVICE_HTTP, PhHttpMessage_Wrap(&m));
}

static void
on_reply(PhRegistrar *r, const PhHttpReply *reply)
{
    uint32_t i = (uint32_t)reply->id;
    PhEntry *e = &r->entries[i];
    e->in_flight = false;
    if (reply->outcome != PH_HTTP_ANSWERED || reply->status != STATUS_OK) {
        PhTask_SetTimer(r->self, EXPIRY_TOKENS + i,
                        PhTask_Now(r->self) + RETRY_MS * PH_NS_PER_MS);
        return;
    }
    e->accepted = e->sent;
    e->accepted_born_ms = e->sent_born_ms;
    if (e->sent == ENTRY_DRAINING) {
        PhSoakParty worker = {.kind = PH_SOAK_WORKER, .index = i};
        PhSoakNote note = {.tag = PH_SOAK_NOTE_LEAVING,
                           .at = PhTask_Now(r->self),
                           .party = worker};
        PhSoakMessage m = {.tag = PH_SOAK_LEFT_AT, .party = worker};
        PhSoak_Note(r->self, &note);
        PhSoak_Send(r->self, PH_SOAK_FAULTS, &m);
    }
    entry_send(r, i);
}

static void
on_message(PhRegistrar *r, const PhSoakMessage *m)
{
    PhEntry *e = &r->entries[m->party.index];
    if (m->party.kind != PH_SOAK_WORKER) {
        return;
    }
    if (m->tag == PH_SOAK_BORN) {
        e->alive = true;
        e->state = ENTRY_READY;
        e->born_ms = m->as.born_ms;
    }
    else if (m->tag == PH_SOAK_LEAVE && e->alive) {
        e->state = ENTRY_DRAINING;
    }
    else if (m->tag == PH_SOAK_EXITED) {
        bool announced = e->state == ENTRY_DRAINING;
        e->alive = false;
        e->state = announced ? ENTRY_NONE : e->state;
        PhTask_SetTimer(r->self, m->party.index,
                        PhTask_Now(r->self) + EXPIRY_MS * PH_NS_PER_MS);
    }
    entry_send(r, m->party.index);
}

static void
on_timer(PhRegistrar *r, uint32_t i)
{
    PhEntry *e = &r->entries[i % EXPIRY_TOKENS];
    if (i < EXPIRY_TOKENS && !e->alive) {
        e->state = ENTRY_NONE;
    }
    entry_send(r, i % EXPIRY_TOKENS);
}

static void
registrar_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhRegistrar *r = state;
    r->self = self;
    switch (mail->kind) {
    case PH_MAIL_MESSAGE:
        if (mail->as.message.interface == PH_INTERFACE_HTTP) {
            on_reply(
                r, &((const PhHttpMessage *)mail->as.message.body)->as.reply);
        }
        else {
            on_message(r, mail->as.message.body);
        }
        break;
    case PH_MAIL_TIMER:
        on_timer(r, (uint32_t)mail->as.timer);
        break;
    case PH_MAIL_STOP:
        PhTask_End(self);
        break;
    case PH_MAIL_START:
    case PH_MAIL_IO:
    case PH_MAIL_ENDED:
        break;
    }
}

void
PhSoakRegistrar_Start(PhKernel *kernel, const PhSoakPlan *plan)
{
    PhRegistrar *r = g_new0(PhRegistrar, 1);
    r->plan = plan;
    PhTaskSpec spec = {.name = PH_SOAK_REGISTRAR,
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = r,
                       .handle = registrar_handle,
                       .destroy = g_free};
    PhKernel_Spawn(kernel, &spec, NULL);
}
