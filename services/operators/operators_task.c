#include "services/operators/operators_task.h"

#include <sodium.h>

#include "peridothill/codec/json.h"

enum {
    MAILBOX_CAPACITY = 1024,
    BODY_LIMIT_BYTES = 1024 * 1024,
    CONNECTION_LIMIT = 256,
    IDLE_TIMEOUT_S = 60,
    PENDING_LIMIT = 1024,
    TIMER_EXPIRE = 1,
};

#define EXPIRE_INTERVAL_NS (500 * PH_NS_PER_MS)

static void
refused_count(PhOperatorsTask *t, PhCounter counter)
{
    PhCounters_Add(PhKernel_Counters(PhTask_Kernel(t->self)), counter, 1);
}

void
PhOperators_Answer(PhOperatorsTask *t, uint64_t id, int status, json_t *body)
{
    PhStr text = PhJson_Write(body);
    PhHttpHeader type = {.name = PhStr_LITERAL("Content-Type"),
                         .value = PhStr_LITERAL("application/json")};
    PhListener_Answer(t->listener, id, status, &type, 1, text);
    PhStr_Clear(&text);
    json_decref(body);
}

void
PhOperators_Refuse(PhOperatorsTask *t, uint64_t id, int status,
                   const char *reason)
{
    json_t *body = json_object();
    if (status == PH_HTTP_STATUS_BAD_REQUEST) {
        refused_count(t, PH_COUNTER_OPERATORS_MALFORMED);
    }
    json_object_set_new(body, "error", json_string(reason));
    PhOperators_Answer(t, id, status, body);
}

uint64_t
PhOperators_AddPending(PhOperatorsTask *t, const PhOperatorsCall *call,
                       int kind, PhTime timeout)
{
    PhOperatorsPending *p = g_new0(PhOperatorsPending, 1);
    *p = (PhOperatorsPending){.number = ++t->next_number,
                              .id = call->id,
                              .kind = kind,
                              .deadline = PhTask_Now(t->self) + timeout};
    g_hash_table_insert(t->pending, &p->number, p);
    return p->number;
}

bool
PhOperators_TakePending(PhOperatorsTask *t, uint64_t number,
                        PhOperatorsPending *pending)
{
    const PhOperatorsPending *p = g_hash_table_lookup(t->pending, &number);
    if (p == NULL) {
        return false;
    }
    *pending = *p;
    g_hash_table_remove(t->pending, &number);
    return true;
}

void
PhOperators_Forward(PhOperatorsTask *t, uint64_t number, PhStr service,
                    PhMessage message)
{
    PhOperatorsPending p;
    if (PhTask_SendTo(t->self, service, message) != PH_STATUS_OK &&
        PhOperators_TakePending(t, number, &p)) {
        refused_count(t, PH_COUNTER_OPERATORS_BUSY);
        PhOperators_Refuse(t, p.id, PH_HTTP_STATUS_UNAVAILABLE,
                           "not accepted: the instance is busy");
    }
}

/* Whether the request carries the token.  Compares in constant time for tokens
 * of equal length, to prevent a timing attack. */
static bool
is_authorized(const PhOperatorsTask *t, const PhIncoming *incoming)
{
    const PhStr scheme = PhStr_LITERAL("Bearer ");
    PhStr value = PhHttpHeader_Find(incoming->headers, incoming->header_count,
                                    PhStr_LITERAL("Authorization"));
    if (t->token.len == 0 || !PhStr_StartsWith(value, scheme)) {
        return false;
    }
    PhStr token = PhStr_Slice(value, scheme.len, value.len);
    return token.len == t->token.len &&
           sodium_memcmp(token.data, t->token.data, token.len) == 0;
}

static void
on_request(void *context, const PhIncoming *incoming)
{
    PhOperatorsTask *t = context;
    PhOperatorsCall call = {
        .id = incoming->id, .query = incoming->query, .body = incoming->body};
    if (!is_authorized(t, incoming)) {
        refused_count(t, PH_COUNTER_OPERATORS_UNAUTHORIZED);
        PhTask_LOG(t->self, PH_EVENT_OPERATORS_UNAUTHORIZED,
                   PhField_STR("path", incoming->path));
        PhOperators_Refuse(t, call.id, PH_HTTP_STATUS_UNAUTHORIZED,
                           "the bearer token is needed");
        return;
    }
    const PhOperatorsRoute *route =
        PhOperatorsRoute_Find(incoming->method, incoming->path, &call.rest);
    if (route == NULL) {
        refused_count(t, PH_COUNTER_OPERATORS_NO_ROUTE);
        PhOperators_Refuse(t, call.id, PH_HTTP_STATUS_NOT_FOUND,
                           "no such path");
        return;
    }
    if (g_hash_table_size(t->pending) >= PENDING_LIMIT) {
        refused_count(t, PH_COUNTER_OPERATORS_BUSY);
        PhOperators_Refuse(t, call.id, PH_HTTP_STATUS_UNAVAILABLE,
                           "not accepted: the instance is busy");
        return;
    }
    route->run(t, &call);
}

/* Drops the pending requests of a client that has disconnected. */
static void
on_disconnect(void *context, uint64_t id)
{
    PhOperatorsTask *t = context;
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, t->pending);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        if (((const PhOperatorsPending *)value)->id == id) {
            g_hash_table_iter_remove(&it);
        }
    }
}

/* Called periodically until "members" has started. */
static void
members_subscribe(PhOperatorsTask *t)
{
    PhMembersMessage m = {.tag = PH_MEMBERS_SUBSCRIBE};
    if (!t->members_subscribed) {
        t->members_subscribed =
            PhTask_SendTo(t->self, PH_SERVICE_MEMBERS,
                          PhMembersMessage_Wrap(&m)) == PH_STATUS_OK;
    }
}

/* Answers the pending requests whose deadline has passed. */
static void
pending_expire(PhOperatorsTask *t)
{
    PhTime now = PhTask_Now(t->self);
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, t->pending);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const PhOperatorsPending *p = value;
        if (now >= p->deadline) {
            uint64_t id = p->id;
            g_hash_table_iter_remove(&it);
            refused_count(t, PH_COUNTER_OPERATORS_TIMEOUT);
            PhOperators_Refuse(t, id, PH_HTTP_STATUS_TIMEOUT,
                               "no answer in time; what was asked for may "
                               "still happen");
        }
    }
    members_subscribe(t);
    PhTask_SetTimer(t->self, TIMER_EXPIRE, now + EXPIRE_INTERVAL_NS);
}

/* Reads the token file and trims white space.  False if it is unreadable or
 * empty; without a token file every request is refused. */
static bool
token_read(PhOperatorsTask *t)
{
    char *data = NULL;
    gsize len = 0;
    if (t->options.token_file.len == 0) {
        return true;
    }
    char *path = PhStr_ToC(t->options.token_file);
    bool read = g_file_get_contents(path, &data, &len, NULL);
    g_free(path);
    if (read) {
        t->token = PhStr_Dup(PhStr_Trim(PhStr_FromBytes(data, len)));
        sodium_memzero(data, len);
        g_free(data);
    }
    return read && t->token.len > 0;
}

static PhResult
listener_open(PhOperatorsTask *t)
{
    PhListenerOptions options = {.address = t->options.listen,
                                 .body_limit_bytes = BODY_LIMIT_BYTES,
                                 .connection_limit = CONNECTION_LIMIT,
                                 .idle_timeout_s = IDLE_TIMEOUT_S,
                                 .receive = t->options.receive,
                                 .context = t,
                                 .on_request = on_request,
                                 .on_client_disconnect = on_disconnect};
    if (!token_read(t)) {
        return PhResult_Make(PH_STATUS_IO, "token file: unreadable or empty");
    }
    return PhListener_Create(t->self, &options, &t->listener);
}

/* Opens the listener; ends the task if that fails. */
static void
start_handle(PhOperatorsTask *t)
{
    PhResult result = listener_open(t);
    if (!PhResult_IsOk(&result)) {
        PhTask_LOG(t->self, PH_EVENT_OPERATORS_FAILED,
                   PhField_STR("reason", PhResult_Message(&result)));
        PhTask_End(t->self);
        return;
    }
    uint16_t port = PhListener_Port(t->listener);
    if (t->options.port != NULL) {
        *t->options.port = port;
    }
    PhTask_LOG(t->self, PH_EVENT_OPERATORS_LISTENING,
               PhField_U64("port", port));
    pending_expire(t);
}

static void
message_handle(PhOperatorsTask *t, const PhMessage *message)
{
    if (message->interface == PH_INTERFACE_CONFIG) {
        PhOperatorsConfig_Handle(t, message->body);
    }
    else if (message->interface == PH_INTERFACE_TASKS) {
        PhOperatorsJobs_Handle(t, message->body);
    }
    else if (message->interface == PH_INTERFACE_MEMBERS) {
        const PhMembersMessage *m = message->body;
        if (m->tag == PH_MEMBERS_VIEW) {
            PhMembersView_Clear(&t->view);
            t->view = PhMembersView_Copy(&m->as.view);
            t->has_view = true;
        }
    }
}

static void
operators_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhOperatorsTask *t = state;
    t->self = self;
    if (t->listener != NULL && PhListener_Handle(t->listener, mail)) {
        return;
    }
    switch (mail->kind) {
    case PH_MAIL_START:
        start_handle(t);
        break;
    case PH_MAIL_MESSAGE:
        message_handle(t, &mail->as.message);
        break;
    case PH_MAIL_TIMER:
        if (mail->as.timer == TIMER_EXPIRE) {
            pending_expire(t);
        }
        break;
    case PH_MAIL_IO:
    case PH_MAIL_ENDED:
        break;
    case PH_MAIL_STOP:
        PhTask_End(self);
        break;
    }
}

static void
operators_destroy(void *state)
{
    PhOperatorsTask *t = state;
    if (t->listener != NULL) {
        PhListener_Destroy(t->listener);
    }
    g_hash_table_destroy(t->pending);
    PhMembersView_Clear(&t->view);
    PhStr_Clear(&t->token);
    PhStr_Clear(&t->options.listen);
    PhStr_Clear(&t->options.token_file);
    PhStr_Clear(&t->options.instance);
    PhStr_Clear(&t->options.data_centre);
    g_free(t);
}

PhStatus
PhOperators_Start(PhKernel *kernel, const PhOperatorsOptions *options)
{
    PhOperatorsTask *t = g_new0(PhOperatorsTask, 1);
    t->options = *options;
    t->options.listen = PhStr_Dup(options->listen);
    t->options.token_file = PhStr_Dup(options->token_file);
    t->options.instance = PhStr_Dup(options->instance);
    t->options.data_centre = PhStr_Dup(options->data_centre);
    t->pending =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    PhTaskSpec spec = {.name = PH_SERVICE_OPERATORS,
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = t,
                       .handle = operators_handle,
                       .destroy = operators_destroy};
    return PhKernel_Spawn(kernel, &spec, NULL);
}
