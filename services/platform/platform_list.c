#include "peridothill/services/platform_list.h"

#include "peridothill/codec/list_json.h"
#include "peridothill/services/http.h"
#include "peridothill/services/interface.h"

enum {
    MAILBOX_CAPACITY = 64,
    ANSWER_LIMIT_BYTES = 16 * 1024 * 1024,
    POLL_TIMER = 1,
    HTTP_OK = 200,
    HTTP_NOT_MODIFIED = 304,
};

/* Time limit of one poll. */
static const PhTime POLL_DEADLINE = 2 * PH_NS_PER_S;

typedef struct PhListTask {
    PhStr address;
    PhTime poll_interval;
    uint64_t poll_id;
    PhListReading last;  /* last OK reading; NOT_FOUND at first */
    PhStr version;       /* ETag of `last`, may be empty */
    GArray *subscribers; /* PhTaskRef */
} PhListTask;

static void
reading_send(PhTask *self, PhTaskRef to, const PhListReading *reading)
{
    PhListMessage m = {.tag = PH_LIST_READING,
                       .as.reading = PhListReading_Copy(reading)};
    PhTask_Send(self, to, PhListMessage_Wrap(&m));
}

static void
reading_publish(PhListTask *list, PhTask *self, const PhListReading *reading)
{
    for (guint i = 0; i < list->subscribers->len; i++) {
        reading_send(self, g_array_index(list->subscribers, PhTaskRef, i),
                     reading);
    }
}

static void
unchanged_publish(PhListTask *list, PhTask *self)
{
    PhListMessage m = {.tag = PH_LIST_UNCHANGED};
    for (guint i = 0; i < list->subscribers->len; i++) {
        PhTask_Send(self, g_array_index(list->subscribers, PhTaskRef, i),
                    PhListMessage_Wrap(&m));
    }
}

static void
list_poll(PhListTask *list, PhTask *self)
{
    PhTime now = PhTask_Now(self);
    PhHttpMessage m = {.tag = PH_HTTP_SEND,
                       .as.send = {.id = ++list->poll_id,
                                   .method = PhStr_Dup(PhStr_LITERAL("GET")),
                                   .address = PhStr_Dup(list->address),
                                   .target = PhStr_Dup(PhStr_LITERAL("/list")),
                                   .deadline = now + POLL_DEADLINE,
                                   .first_byte = PH_TIME_NEVER,
                                   .answer_limit_bytes = ANSWER_LIMIT_BYTES}};
    if (list->version.len > 0) {
        PhHttpHeader_Add(&m.as.send.headers, &m.as.send.header_count,
                         PhStr_LITERAL("If-None-Match"), list->version);
    }
    PhTask_SendTo(self, PH_SERVICE_HTTP, PhHttpMessage_Wrap(&m));
    PhTask_SetTimer(self, POLL_TIMER, now + list->poll_interval);
}

static void
reading_store(PhListTask *list, PhListReading reading,
              const PhHttpReply *reply)
{
    PhListReading_Clear(&list->last);
    PhStr_Clear(&list->version);
    list->last = reading;
    list->version = PhStr_Dup(PhHttpHeader_Find(
        reply->headers, reply->header_count, PhStr_LITERAL("ETag")));
}

/* Handles the response to a poll. A 304 response saves transferring and
 * decoding the entries. */
static void
on_reply(PhListTask *list, PhTask *self, const PhHttpReply *reply)
{
    PhListReading next = {.status = PH_STATUS_UNAVAILABLE};
    if (reply->id != list->poll_id) {
        return;
    }
    if (reply->outcome == PH_HTTP_ANSWERED && list->version.len > 0 &&
        reply->status == HTTP_NOT_MODIFIED) {
        list->last.read_at = PhTask_Now(self);
        unchanged_publish(list, self);
        return;
    }
    if (reply->outcome == PH_HTTP_ANSWERED && reply->status == HTTP_OK) {
        PhResult r = PhListJson_Decode(reply->body, &next);
        next.status = r.status;
    }
    next.read_at = PhTask_Now(self);
    if (next.status == PH_STATUS_OK) {
        reading_store(list, next, reply);
        reading_publish(list, self, &list->last);
        return;
    }
    next.status = PH_STATUS_UNAVAILABLE;
    reading_publish(list, self, &next);
}

static void
on_message(PhListTask *list, PhTask *self, const PhMail *mail)
{
    if (mail->as.message.interface == PH_INTERFACE_HTTP) {
        const PhHttpMessage *m = mail->as.message.body;
        if (m->tag == PH_HTTP_REPLY) {
            on_reply(list, self, &m->as.reply);
        }
        return;
    }
    if (mail->as.message.interface != PH_INTERFACE_LIST) {
        return;
    }
    const PhListMessage *m = mail->as.message.body;
    switch (m->tag) {
    case PH_LIST_SUBSCRIBE:
        g_array_append_val(list->subscribers, mail->from);
        PhTask_Monitor(self, mail->from);
        if (list->last.status != PH_STATUS_NOT_FOUND) {
            reading_send(self, mail->from, &list->last);
        }
        break;
    case PH_LIST_READING:
    case PH_LIST_UNCHANGED:
        break;
    }
}

static void
on_ended(PhListTask *list, PhTaskRef ended)
{
    for (guint i = 0; i < list->subscribers->len; i++) {
        if (PhTaskRef_Equal(g_array_index(list->subscribers, PhTaskRef, i),
                            ended)) {
            g_array_remove_index_fast(list->subscribers, i);
            return;
        }
    }
}

static void
list_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhListTask *list = state;
    switch (mail->kind) {
    case PH_MAIL_START:
    case PH_MAIL_TIMER:
        list_poll(list, self);
        break;
    case PH_MAIL_MESSAGE:
        on_message(list, self, mail);
        break;
    case PH_MAIL_IO:
        break;
    case PH_MAIL_ENDED:
        on_ended(list, mail->as.ended);
        break;
    case PH_MAIL_STOP:
        PhTask_End(self);
        break;
    }
}

static void
list_destroy(void *state)
{
    PhListTask *list = state;
    PhStr_Clear(&list->address);
    PhStr_Clear(&list->version);
    PhListReading_Clear(&list->last);
    g_array_free(list->subscribers, TRUE);
    g_free(list);
}

PhStatus
PhPlatformList_Start(PhKernel *kernel, const PhListOptions *options)
{
    PhListTask *list = g_new0(PhListTask, 1);
    list->address = PhStr_Dup(options->address);
    list->poll_interval = options->poll_interval;
    list->last.status = PH_STATUS_NOT_FOUND;
    list->subscribers = g_array_new(FALSE, FALSE, sizeof(PhTaskRef));
    PhTaskSpec spec = {.name = PH_SERVICE_LIST,
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = list,
                       .handle = list_handle,
                       .destroy = list_destroy};
    return PhKernel_Spawn(kernel, &spec, NULL);
}
