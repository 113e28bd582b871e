#include "entry_internal.h"

#include "peridothill/services/interface.h"

enum {
    MAILBOX_CAPACITY = 65536,
    FLUSH_INTERVAL_MS = 20,
    FLUSH_LIMIT_MS = 3000,
    BODY_LIMIT_BYTES = 8 * 1024 * 1024,
    CONNECTION_LIMIT = 4096,
    IDLE_TIMEOUT_S = 60,
};

/* Reports attempts that the task "http" did not accept; nothing of them was
 * sent. */
static void
unsent_report(PhEntry *entry)
{
    uint64_t *attempt;
    while ((attempt = g_queue_pop_head(&entry->unsent)) != NULL) {
        PhRequestsEvent event = {
            .tag = PH_REQUESTS_REPLIED,
            .as.replied = {.attempt = *attempt,
                           .end = PH_ATTEMPT_END_CANCELLED,
                           .not_sent = true}};
        g_free(attempt);
        PhEntry_Decide(entry, &event);
    }
}

/* Unsent attempts are reported after the loop, because a nested call would
 * overwrite the actions. */
void
PhEntry_Decide(PhEntry *entry, const PhRequestsEvent *event)
{
    g_array_set_size(entry->actions, 0);
    PhRequests_Handle(entry->requests, event, PhTask_Now(entry->self),
                      entry->actions);
    for (guint i = 0; i < entry->actions->len; i++) {
        PhEntry_Act(entry,
                    &g_array_index(entry->actions, PhRequestsAction, i));
    }
    unsent_report(entry);
    PhTime next = PhRequests_NextTimer(entry->requests);
    if (next != PH_TIME_NEVER) {
        PhTask_SetTimer(entry->self, TIMER_DECIDE, next);
    }
    if (entry->drained) {
        PhTask_SetTimer(entry->self, TIMER_FLUSH, PhTask_Now(entry->self));
    }
}

static void
on_request(void *context, const PhIncoming *incoming)
{
    PhEntry *entry = context;
    if (PhStr_Equal(incoming->path, PhStr_LITERAL("/ready"))) {
        PhEntry_AnswerReady(entry, incoming->id);
        return;
    }
    PhCall *call = PhCall_Create(incoming, PhTask_Now(entry->self));
    g_hash_table_insert(entry->calls, &call->id, call);
    PhCounters_Add(PhKernel_Counters(PhTask_Kernel(entry->self)),
                   PH_COUNTER_REQUESTS_ARRIVED, 1);
    PhRequestsEvent event = {.tag = PH_REQUESTS_ARRIVED,
                             .as.arrived =
                                 PhCall_Arrival(call, incoming->path)};
    PhEntry_Decide(entry, &event);
}

static void
on_client_disconnect(void *context, uint64_t id)
{
    PhEntry *entry = context;
    PhRequestsEvent event = {.tag = PH_REQUESTS_CALLER_DISCONNECTED,
                             .as.caller_disconnected = id};
    PhEntry_Decide(entry, &event);
    g_hash_table_remove(entry->calls, &id);
}

/* Ends the task once all callers have closed their connections after the last
 * answers, or after FLUSH_LIMIT_MS if a caller does not read its answer. */
static void
connections_flush(PhEntry *entry)
{
    if (PhListener_Connections(entry->listener) == 0 ||
        PhTask_Now(entry->self) - entry->drained_at >=
            FLUSH_LIMIT_MS * PH_NS_PER_MS) {
        PhTask_End(entry->self);
        return;
    }
    PhTask_SetTimer(entry->self, TIMER_FLUSH,
                    PhTask_Now(entry->self) +
                        FLUSH_INTERVAL_MS * PH_NS_PER_MS);
}

static void
handle_timer(PhEntry *entry, uint64_t token)
{
    if (token == TIMER_DECIDE) {
        PhEntry_Decide(entry, &(PhRequestsEvent){.tag = PH_REQUESTS_TIMER});
    }
    else if (token == TIMER_ATTACH) {
        PhEntry_Attach(entry);
    }
    else if (token == TIMER_FLUSH) {
        connections_flush(entry);
    }
}

static void
handle_stop(PhEntry *entry)
{
    PhTask_LOG(entry->self, PH_EVENT_ENTRY_STOPPING,
               PhField_U64("in_flight", PhRequests_InFlight(entry->requests)));
    PhEntry_Decide(entry, &(PhRequestsEvent){.tag = PH_REQUESTS_STOP});
}

/* The task ends if the listener cannot be opened. */
static void
handle_start(PhEntry *entry, PhTask *self)
{
    const PhEntryOptions *o = &entry->options;
    PhListenerOptions options = {.address = o->listen,
                                 .body_limit_bytes = o->body_limit_bytes,
                                 .connection_limit = o->connection_limit,
                                 .idle_timeout_s = o->idle_timeout_s,
                                 .receive = o->receive,
                                 .context = entry,
                                 .on_request = on_request,
                                 .on_client_disconnect = on_client_disconnect};
    entry->self = self;
    *entry->started = PhListener_Create(self, &options, &entry->listener);
    if (!PhResult_IsOk(entry->started)) {
        PhTask_End(self);
        return;
    }
    *entry->port = PhListener_Port(entry->listener);
    PhTask_LOG(self, PH_EVENT_ENTRY_LISTENING,
               PhField_STR("address", o->listen),
               PhField_U64("port", *entry->port));
    PhEntry_Attach(entry);
}

static void
entry_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhEntry *entry = state;
    if (entry->listener != NULL && PhListener_Handle(entry->listener, mail)) {
        return;
    }
    switch (mail->kind) {
    case PH_MAIL_START:
        handle_start(entry, self);
        break;
    case PH_MAIL_MESSAGE:
        PhEntry_Receive(entry, &mail->as.message);
        break;
    case PH_MAIL_TIMER:
        handle_timer(entry, mail->as.timer);
        break;
    case PH_MAIL_STOP:
        handle_stop(entry);
        break;
    case PH_MAIL_IO:
    case PH_MAIL_ENDED:
        break;
    }
}

static void
entry_destroy(void *state)
{
    PhEntry *entry = state;
    PhListener_Destroy(entry->listener);
    PhRequests_Destroy(entry->requests);
    g_hash_table_destroy(entry->calls);
    g_array_free(entry->actions, TRUE);
    g_queue_clear_full(&entry->unsent, g_free);
    PhStr_Clear(&entry->options.listen);
    PhStr_Clear(&entry->options.instance);
    PhStr_Clear(&entry->options.data_centre);
    g_free(entry);
}

/* Copies the options and sets the defaults. */
static PhEntryOptions
options_complete(const PhEntryOptions *given)
{
    PhEntryOptions o = *given;
    o.listen = PhStr_Dup(given->listen);
    o.instance = PhStr_Dup(given->instance);
    o.data_centre = PhStr_Dup(given->data_centre);
    if (o.body_limit_bytes == 0) {
        o.body_limit_bytes = BODY_LIMIT_BYTES;
    }
    if (o.connection_limit == 0) {
        o.connection_limit = CONNECTION_LIMIT;
    }
    if (o.idle_timeout_s == 0) {
        o.idle_timeout_s = IDLE_TIMEOUT_S;
    }
    return o;
}

static PhEntry *
entry_create(const PhEntryOptions *options)
{
    PhEntry *entry = g_new0(PhEntry, 1);
    entry->options = options_complete(options);
    entry->requests = PhRequests_Create(
        &(PhRequestsOptions){.instance = options->instance,
                             .data_centre = options->data_centre,
                             .seed = options->seed,
                             .drain_notice = options->drain_notice,
                             .key_window = options->key_window,
                             .tuning = PhRequestsTuning_Default()});
    entry->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                         PhCall_Destroy);
    entry->actions = g_array_new(FALSE, FALSE, sizeof(PhRequestsAction));
    g_queue_init(&entry->unsent);
    entry->unattached = ENTRY_ATTACH_ALL;
    return entry;
}

/* The first mail is delivered before returning, so that the caller learns of a
 * listener that cannot be opened. */
PhResult
PhEntry_Start(PhKernel *kernel, const PhEntryOptions *options, uint16_t *port)
{
    PhEntry *entry = entry_create(options);
    PhResult result = PhResult_Ok();
    uint16_t opened = 0;
    entry->started = &result;
    entry->port = &opened;
    PhTaskSpec spec = {.name = PH_SERVICE_ENTRY,
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = entry,
                       .handle = entry_handle,
                       .destroy = entry_destroy};
    PhStatus status = PhKernel_Spawn(kernel, &spec, NULL);
    if (status != PH_STATUS_OK) {
        return PhResult_Make(status, "cannot spawn task \"entry\"");
    }
    PhKernel_Drain(kernel, SIZE_MAX);
    if (port != NULL) {
        *port = opened;
    }
    return result;
}
