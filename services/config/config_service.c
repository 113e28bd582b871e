#include "services/config/config_task.h"

enum {
    MAILBOX_CAPACITY = 4096,
    READERS = 2, /* of the log, per data centre */
    APPENDS_PER_SECOND = 150,
    QUEUE_LIMIT = 1024,
};

#define HELLO_INTERVAL_NS (1 * PH_NS_PER_S)
#define SUBSCRIBE_INTERVAL_NS (500 * PH_NS_PER_MS)

enum {
    TIMER_FOLLOWER = 1,
    TIMER_APPENDER,
    TIMER_SUBSCRIBE,
};

/* Counts and logs a condition. */
static void
note_handle(PhConfigTask *t, PhConfigNote note)
{
    static const struct {
        PhCounter counter;
        PhEventId event;
    } rows[] = {
        [PH_CONFIG_NOTE_LOG_BEHIND] = {PH_COUNTER_CONFIG_LOG_BEHIND,
                                       PH_EVENT_CONFIG_LOG_BEHIND},
        [PH_CONFIG_NOTE_RETENTION_GAP] = {PH_COUNTER_CONFIG_RETENTION_GAPS,
                                          PH_EVENT_CONFIG_RETENTION_GAP},
        [PH_CONFIG_NOTE_RECOVERED_LOG] = {PH_COUNTER_CONFIG_RECOVERED_LOG,
                                          PH_EVENT_CONFIG_RECOVERED_LOG},
        [PH_CONFIG_NOTE_RECOVERED_PEER] = {PH_COUNTER_CONFIG_RECOVERED_PEER,
                                           PH_EVENT_CONFIG_RECOVERED_PEER},
        [PH_CONFIG_NOTE_DIGEST_MISMATCH] =
            {PH_COUNTER_CONFIG_DIGEST_MISMATCHES,
             PH_EVENT_CONFIG_DIGEST_MISMATCH},
        [PH_CONFIG_NOTE_STATE_REFUSED] = {PH_COUNTER_CONFIG_STATE_REFUSED,
                                          PH_EVENT_CONFIG_STATE_REFUSED},
        [PH_CONFIG_NOTE_STATE_RATE_LIMITED] = {PH_COUNTER_CONFIG_STATE_LIMITED,
                                               0},
        [PH_CONFIG_NOTE_LOG_FAILED] = {PH_COUNTER_CONFIG_LOG_FAILURES,
                                       PH_EVENT_CONFIG_LOG_FAILED},
        [PH_CONFIG_NOTE_SNAPSHOT_FAILED] =
            {PH_COUNTER_CONFIG_SNAPSHOT_FAILURES,
             PH_EVENT_CONFIG_SNAPSHOT_FAILED},
        [PH_CONFIG_NOTE_UNREADABLE] = {PH_COUNTER_CONFIG_UNREADABLE,
                                       PH_EVENT_CONFIG_UNREADABLE},
    };
    PhCounters_Add(PhKernel_Counters(PhTask_Kernel(t->self)),
                   rows[note].counter, 1);
    if (rows[note].event != 0) {
        PhTask_Log(t->self, rows[note].event, NULL, 0);
    }
}

static PhCounter
verdict_counter(PhStatus status)
{
    if (status == PH_STATUS_OK) {
        return PH_COUNTER_CONFIG_ACCEPTED;
    }
    if (status == PH_STATUS_CONFLICT) {
        return PH_COUNTER_CONFIG_REFUSED_CONFLICT;
    }
    if (status == PH_STATUS_EXPIRED) {
        return PH_COUNTER_CONFIG_REFUSED_EXPIRED;
    }
    return PH_COUNTER_CONFIG_REFUSED_INVALID;
}

/* Counts a verdict and passes it to the appender, which answers the
 * submitter. */
static void
decided_handle(PhConfigTask *t, const PhConfigVerdict *v)
{
    PhKernel *kernel = PhTask_Kernel(t->self);
    PhCounters_Add(PhKernel_Counters(kernel), verdict_counter(v->status), 1);
    if (v->status == PH_STATUS_OK) {
        PhTime appended = v->appended_ms * PH_NS_PER_MS;
        PhCounters_Observe(PhKernel_Counters(kernel),
                           PH_HISTOGRAM_CONFIG_LATENCY,
                           MAX(PhTask_Wall(t->self) - appended, 0));
    }
    else {
        PhTask_LOG(t->self, PH_EVENT_CONFIG_REFUSED, PhField_STR("id", v->id),
                   PhField_STR("reason", v->reason));
    }
    PhAppendEvent event = {.kind = PH_APPEND_EVENT_DECIDED, .as.decided = v};
    PhConfigTask_HandleAppenderEvent(t, &event);
}

/* Logs a new version and sends it to the subscribers. */
static void
in_force_handle(PhConfigTask *t, PhConfigState *state)
{
    PhTask_LOG(t->self, PH_EVENT_CONFIG_IN_FORCE,
               PhField_U64("version", PhConfigState_Version(state)),
               PhField_U64("digest", PhConfigState_Digest(state)));
    PhConfigQuery_SendStateToAll(t, state);
}

static void
action_handle(PhConfigTask *t, const PhConfigAction *action)
{
    switch (action->kind) {
    case PH_CONFIG_ACTION_READ_LOG:
    case PH_CONFIG_ACTION_READ_SNAPSHOTS:
        PhConfigLog_Read(t, action);
        break;
    case PH_CONFIG_ACTION_WRITE_SNAPSHOT:
        PhConfigLog_WriteSnapshot(t, action->as.snapshot);
        break;
    case PH_CONFIG_ACTION_HELLO:
    case PH_CONFIG_ACTION_FETCH:
    case PH_CONFIG_ACTION_PUSH:
    case PH_CONFIG_ACTION_STATE:
        PhConfigPeers_Send(t, action);
        break;
    case PH_CONFIG_ACTION_DECIDED:
        decided_handle(t, action->as.decided);
        break;
    case PH_CONFIG_ACTION_IN_FORCE:
        in_force_handle(t, action->as.in_force);
        break;
    case PH_CONFIG_ACTION_NOTE:
        note_handle(t, action->as.note);
        break;
    }
}

/* Informs the appender when the log has answered since the last failed
 * append. */
static void
log_available_check(PhConfigTask *t)
{
    PhTime at = PhConfigFollower_ConfirmedAt(t->follower);
    if (at > t->log_confirmed_at && at > t->append_failed_at) {
        PhAppendEvent event = {.kind = PH_APPEND_EVENT_LOG_AVAILABLE};
        t->log_confirmed_at = at;
        PhConfigTask_HandleAppenderEvent(t, &event);
    }
}

void
PhConfigTask_ExecuteActions(PhConfigTask *t, GArray *actions)
{
    for (guint i = 0; i < actions->len; i++) {
        action_handle(t, &g_array_index(actions, PhConfigAction, i));
    }
    g_array_free(actions, TRUE);
    log_available_check(t);
    PhTask_SetTimer(t->self, TIMER_FOLLOWER,
                    PhConfigFollower_NextTick(t->follower));
}

void
PhConfigTask_HandleFollowerEvent(PhConfigTask *t, const PhConfigEvent *event)
{
    GArray *actions = PhConfigActions_Create();
    PhConfigFollower_Handle(t->follower, PhTask_Now(t->self), event, actions);
    PhConfigTask_ExecuteActions(t, actions);
}

void
PhConfigTask_HandleAppenderEvent(PhConfigTask *t, const PhAppendEvent *event)
{
    GArray *actions = PhAppendActions_Create();
    PhConfigAppender_Handle(t->appender, PhTask_Now(t->self), event, actions);
    for (guint i = 0; i < actions->len; i++) {
        const PhAppendAction *action =
            &g_array_index(actions, PhAppendAction, i);
        switch (action->kind) {
        case PH_APPEND_ACTION_APPEND:
            PhConfigLog_Append(t, action);
            break;
        case PH_APPEND_ACTION_ANSWER:
            PhConfigQuery_Answer(t, action);
            break;
        }
    }
    g_array_free(actions, TRUE);
    PhTime next = PhConfigAppender_NextTick(t->appender);
    if (next == PH_TIME_NEVER) {
        PhTask_CancelTimer(t->self, TIMER_APPENDER);
        return;
    }
    PhTask_SetTimer(t->self, TIMER_APPENDER, next);
}

static void
timer_handle(PhConfigTask *t, uint64_t token)
{
    PhConfigEvent follow = {.kind = PH_CONFIG_EVENT_TICK};
    PhAppendEvent append = {.kind = PH_APPEND_EVENT_TICK};
    if (token == TIMER_FOLLOWER) {
        PhConfigTask_HandleFollowerEvent(t, &follow);
        return;
    }
    if (token == TIMER_APPENDER) {
        PhConfigTask_HandleAppenderEvent(t, &append);
        return;
    }
    PhConfigPeers_Subscribe(t);
    if (!t->members_subscribed || !t->peers_subscribed) {
        PhTask_SetTimer(t->self, TIMER_SUBSCRIBE,
                        PhTask_Now(t->self) + SUBSCRIBE_INTERVAL_NS);
    }
}

static void
message_handle(PhConfigTask *t, const PhMail *mail)
{
    const void *body = mail->as.message.body;
    if (mail->as.message.interface == PH_INTERFACE_CONFIG) {
        PhConfigQuery_Handle(t, mail->from, body);
    }
    else if (mail->as.message.interface == PH_INTERFACE_LOG) {
        PhConfigLog_Handle(t, body);
    }
    else if (mail->as.message.interface == PH_INTERFACE_PEERS) {
        const PhPeersMessage *m = body;
        if (m->tag == PH_PEERS_RECEIVED) {
            PhConfigPeers_Receive(t, &m->as.received);
        }
    }
    else if (mail->as.message.interface == PH_INTERFACE_MEMBERS) {
        const PhMembersMessage *m = body;
        if (m->tag == PH_MEMBERS_VIEW) {
            PhConfigPeers_UpdateMembers(t, &m->as.view);
        }
    }
}

static void
subscriber_remove(PhConfigTask *t, PhTaskRef ref)
{
    for (guint i = t->subscribers->len; i > 0; i--) {
        if (PhTaskRef_Equal(g_array_index(t->subscribers, PhTaskRef, i - 1),
                            ref)) {
            g_array_remove_index(t->subscribers, i - 1);
        }
    }
}

/* Needs the clock of the task, so it runs at the start, not in
 * PhConfigService_Start. */
static void
start_handle(PhConfigTask *t)
{
    t->random = PhRandom_Create(t->options.seed);
    t->follower = PhConfigFollower_Create(
        &(PhConfigFollowerOptions){.random = t->random,
                                   .poll_interval = t->options.poll_interval,
                                   .hello_interval = HELLO_INTERVAL_NS,
                                   .retention = t->options.retention,
                                   .readers = READERS,
                                   .now = PhTask_Now(t->self)});
    t->appender = PhConfigAppender_Create(
        &(PhConfigAppenderOptions){.random = t->random,
                                   .appends_per_second = APPENDS_PER_SECOND,
                                   .queue_limit = QUEUE_LIMIT});
    timer_handle(t, TIMER_SUBSCRIBE);
    timer_handle(t, TIMER_FOLLOWER);
}

static void
config_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhConfigTask *t = state;
    t->self = self;
    switch (mail->kind) {
    case PH_MAIL_START:
        start_handle(t);
        break;
    case PH_MAIL_MESSAGE:
        message_handle(t, mail);
        break;
    case PH_MAIL_TIMER:
        timer_handle(t, mail->as.timer);
        break;
    case PH_MAIL_IO:
        break;
    case PH_MAIL_ENDED:
        subscriber_remove(t, mail->as.ended);
        break;
    case PH_MAIL_STOP:
        PhTask_End(self);
        break;
    }
}

static void
config_destroy(void *state)
{
    PhConfigTask *t = state;
    PhConfigFollower_Destroy(t->follower);
    PhConfigAppender_Destroy(t->appender);
    if (t->random != NULL) {
        PhRandom_Destroy(t->random);
    }
    PhConfigAssembly_Clear(&t->assembly);
    g_array_free(t->subscribers, TRUE);
    g_hash_table_destroy(t->waiters);
    PhStr_Clear(&t->options.instance);
    PhStr_Clear(&t->options.data_centre);
    g_free(t);
}

PhStatus
PhConfigService_Start(PhKernel *kernel, const PhConfigOptions *options)
{
    PhConfigTask *t = g_new0(PhConfigTask, 1);
    t->options = *options;
    t->options.instance = PhStr_Dup(options->instance);
    t->options.data_centre = PhStr_Dup(options->data_centre);
    t->subscribers = g_array_new(FALSE, FALSE, sizeof(PhTaskRef));
    t->waiters =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    t->append_failed_at = -1;
    t->log_confirmed_at = -1;
    PhTaskSpec spec = {.name = PH_SERVICE_CONFIG,
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = t,
                       .handle = config_handle,
                       .destroy = config_destroy};
    return PhKernel_Spawn(kernel, &spec, NULL);
}
