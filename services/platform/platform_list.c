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

/* Time the platform has to answer one poll. */
static const PhTime POLL_DEADLINE = 2 * PH_NS_PER_S;

/* State of the task "list". */
typedef struct PhListTask {
    PhStr address;
    PhTime poll_interval;
    uint64_t poll_id;
    PhListReading last;  /* that was OK; NOT_FOUND before the first */
    PhStr version;       /* the platform's ETag of `last`, may be empty */
    GArray *subscribers; /* PhTaskRef */
} PhListTask;

/* Sends a copy of a reading to one subscriber. */
static void
send_reading(PhTask *self, PhTaskRef to, const PhListReading *reading)
{
    PhListMessage m = {.tag = PH_LIST_READING,
                       .as.reading = PhListReading_Copy(reading)};
    PhTask_Send(self, to, PhListMessage_Wrap(&m));
}

/* Sends a copy of a reading to all subscribers. */
static void
publish(PhListTask *list, PhTask *self, const PhListReading *reading)
{
    for (guint i = 0; i < list->subscribers->len; i++) {
        send_reading(self, g_array_index(list->subscribers, PhTaskRef, i),
                     reading);
    }
}

/* Tells all subscribers that the last reading still stands. */
static void
publish_unchanged(PhListTask *list, PhTask *self)
{
    PhListMessage m = {.tag = PH_LIST_UNCHANGED};
    for (guint i = 0; i < list->subscribers->len; i++) {
        PhTask_Send(self, g_array_index(list->subscribers, PhTaskRef, i),
                    PhListMessage_Wrap(&m));
    }
}

/* Asks the platform for its list and sets the time of the next poll. */
static void
poll_list(PhListTask *list, PhTask *self)
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

/* Keeps a new reading, and the version that the platform gave it. */
static void
keep_reading(PhListTask *list, PhListReading reading, const PhHttpReply *reply)
{
    PhListReading_Clear(&list->last);
    PhStr_Clear(&list->version);
    list->last = reading;
    list->version = PhStr_Dup(PhHttpHeader_Find(
        reply->headers, reply->header_count, PhStr_LITERAL("ETag")));
}

/* Takes the platform's answer.  Where it says that nothing has changed, no
 * entries travel and none are decoded. */
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
        publish_unchanged(list, self);
        return;
    }
    if (reply->outcome == PH_HTTP_ANSWERED && reply->status == HTTP_OK) {
        PhResult r = PhListJson_Decode(reply->body, &next);
        next.status = r.status;
    }
    next.read_at = PhTask_Now(self);
    if (next.status == PH_STATUS_OK) {
        keep_reading(list, next, reply);
        publish(list, self, &list->last);
        return;
    }
    next.status = PH_STATUS_UNAVAILABLE;
    publish(list, self, &next);
}

/* Acts on a message from a subscriber or from "http". */
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
            send_reading(self, mail->from, &list->last);
        }
        break;
    case PH_LIST_READING:
    case PH_LIST_UNCHANGED:
        break;
    }
}

/* Forgets a subscriber that has ended. */
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

/* Handles a mail of the task "list". */
static void
list_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhListTask *list = state;
    switch (mail->kind) {
    case PH_MAIL_START:
    case PH_MAIL_TIMER:
        poll_list(list, self);
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

/* Releases the state of the task. */
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

/* Starts the task "list". */
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
