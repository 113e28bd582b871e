/* Configuration soak run: instances that follow the log and each other, and
 * competing operators. */
#include "soak_config.h"

#include "peridothill/common/invariant.h"

#define MS PH_NS_PER_MS
#define S PH_NS_PER_S

enum {
    READERS = 2,
    APPENDS_PER_SECOND = 150,
    QUEUE_LIMIT = 64,
    LOG_APPENDS_PER_SECOND = 300,
};

#define POLL_INTERVAL_NS (500 * MS)
#define HELLO_INTERVAL_NS (1 * S)
#define VIEW_INTERVAL_NS (1 * S)
#define RETENTION_NS (900 * S)
#define SUBMIT_MEAN_NS (2 * S)

/* Message between instances; owns what it points to. */
typedef struct PhSoakConfigMessage {
    PhConfigActionKind kind;
    PhConfigHello hello;
    uint64_t fetch;
    GPtrArray *push;
    PhConfigSnapshot *state;
    char *from;
} PhSoakConfigMessage;

static void
message_clear(gpointer data)
{
    PhSoakConfigMessage *message = data;
    if (message->push != NULL) {
        g_ptr_array_unref(message->push);
    }
    PhConfigSnapshot_Unref(message->state);
    g_free(message->from);
}

static void
patch_destroy(gpointer data)
{
    PhConfigPatch_Clear(data);
    g_free(data);
}

static void
snapshot_destroy(gpointer data)
{
    PhConfigSnapshot_Unref(data);
}

static void
node_send(PhSoakConfig *s, uint32_t from, const PhConfigAction *a)
{
    for (uint32_t to = 1; to <= SOAK_CONFIG_NODES; to++) {
        if (s->nodes[to].follower == NULL ||
            !PhStr_Equal(PhStr_FromC(s->nodes[to].id), a->member)) {
            continue;
        }
        PhSoakConfigMessage *message = g_rc_box_new0(PhSoakConfigMessage);
        message->kind = a->kind;
        message->from = g_strdup(s->nodes[from].id);
        if (a->kind == PH_CONFIG_ACTION_HELLO) {
            message->hello = a->as.hello;
        }
        else if (a->kind == PH_CONFIG_ACTION_FETCH) {
            message->fetch = a->as.fetch;
        }
        else if (a->kind == PH_CONFIG_ACTION_PUSH) {
            message->push = g_ptr_array_ref(a->as.push);
        }
        else if (a->kind == PH_CONFIG_ACTION_STATE) {
            message->state = PhConfigSnapshot_Ref(a->as.snapshot);
        }
        PhFakeNet_Send(s->net, from, to, 0, message);
        return;
    }
}

static void
follower_action_apply(PhSoakConfig *s, uint32_t endpoint,
                      const PhConfigAction *a)
{
    PhConfigNode *node = &s->nodes[endpoint];
    PhAppendEvent decided = {.kind = PH_APPEND_EVENT_DECIDED};
    switch (a->kind) {
    case PH_CONFIG_ACTION_READ_LOG:
    case PH_CONFIG_ACTION_READ_SNAPSHOTS:
        PhSoakConfigLog_Read(s, endpoint, a);
        break;
    case PH_CONFIG_ACTION_WRITE_SNAPSHOT:
        PhSoakConfigLog_WriteSnapshot(s, endpoint, a->as.snapshot);
        break;
    case PH_CONFIG_ACTION_HELLO:
    case PH_CONFIG_ACTION_FETCH:
    case PH_CONFIG_ACTION_PUSH:
    case PH_CONFIG_ACTION_STATE:
        node_send(s, endpoint, a);
        break;
    case PH_CONFIG_ACTION_DECIDED:
        decided.as.decided = a->as.decided;
        PhSoakConfig_Append(s, endpoint, &decided);
        break;
    case PH_CONFIG_ACTION_IN_FORCE:
        PhSoakReference_CheckInForce(s->reference, node->in_force,
                                     a->as.in_force);
        node->in_force = PhConfigState_Version(a->as.in_force);
        break;
    case PH_CONFIG_ACTION_NOTE:
        break;
    }
}

/* Notifies the appender when the log has answered again since its last
 * failure. */
static void
log_available_check(PhSoakConfig *s, uint32_t endpoint)
{
    PhConfigNode *node = &s->nodes[endpoint];
    PhTime at = PhConfigFollower_ConfirmedAt(node->follower);
    if (at > node->log_available_at && at > node->append_failed_at) {
        node->log_available_at = at;
        PhSoakConfig_Append(
            s, endpoint,
            &(PhAppendEvent){.kind = PH_APPEND_EVENT_LOG_AVAILABLE});
    }
}

void
PhSoakConfig_Follow(PhSoakConfig *s, uint32_t endpoint,
                    const PhConfigEvent *event)
{
    PhConfigNode *node = &s->nodes[endpoint];
    GArray *actions = PhConfigActions_Create();
    PhConfigFollower_Handle(node->follower, PhFakeNet_Now(s->net), event,
                            actions);
    for (guint i = 0; i < actions->len; i++) {
        follower_action_apply(s, endpoint,
                              &g_array_index(actions, PhConfigAction, i));
    }
    g_array_free(actions, TRUE);
    log_available_check(s, endpoint);
    node->follower_timer++;
    PhTime next = PhConfigFollower_NextTick(node->follower);
    if (next != PH_TIME_NEVER) {
        PhFakeNet_SetTimer(s->net, endpoint,
                           node->follower_timer * SOAK_CONFIG_KINDS +
                               SOAK_CONFIG_FOLLOW,
                           next);
    }
}

void
PhSoakConfig_Append(PhSoakConfig *s, uint32_t endpoint,
                    const PhAppendEvent *event)
{
    PhConfigNode *node = &s->nodes[endpoint];
    GArray *actions = PhAppendActions_Create();
    PhConfigAppender_Handle(node->appender, PhFakeNet_Now(s->net), event,
                            actions);
    for (guint i = 0; i < actions->len; i++) {
        const PhAppendAction *a = &g_array_index(actions, PhAppendAction, i);
        switch (a->kind) {
        case PH_APPEND_ACTION_APPEND:
            PhSoakConfigLog_Append(s, endpoint, a);
            break;
        case PH_APPEND_ACTION_ANSWER:
            PhSoakReference_CheckAnswer(s->reference, a->as.answer.id,
                                        &a->as.answer.result,
                                        a->as.answer.version);
            break;
        }
    }
    g_array_free(actions, TRUE);
    node->appender_timer++;
    PhTime next = PhConfigAppender_NextTick(node->appender);
    if (next != PH_TIME_NEVER) {
        PhFakeNet_SetTimer(s->net, endpoint,
                           node->appender_timer * SOAK_CONFIG_KINDS +
                               SOAK_CONFIG_APPEND,
                           next);
    }
}

void
PhSoakConfig_Start(PhSoakConfig *s, uint32_t endpoint)
{
    PhConfigNode *node = &s->nodes[endpoint];
    s->generation++;
    node->id = g_strdup_printf("c%" G_GUINT64_FORMAT, s->generation);
    node->random = PhRandom_Create(s->run->seed + s->generation);
    node->append_failed_at = -1;
    node->log_available_at = -1;
    node->in_force = 0;
    node->follower = PhConfigFollower_Create(
        &(PhConfigFollowerOptions){.random = node->random,
                                   .poll_interval = POLL_INTERVAL_NS,
                                   .hello_interval = HELLO_INTERVAL_NS,
                                   .retention = RETENTION_NS,
                                   .readers = READERS,
                                   .now = PhFakeNet_Now(s->net)});
    node->appender = PhConfigAppender_Create(
        &(PhConfigAppenderOptions){.random = node->random,
                                   .appends_per_second = APPENDS_PER_SECOND,
                                   .queue_limit = QUEUE_LIMIT});
    PhFakeNet_SetTimer(s->net, endpoint, SOAK_CONFIG_VIEW,
                       PhFakeNet_Now(s->net));
}

void
PhSoakConfig_Kill(PhSoakConfig *s, uint32_t endpoint)
{
    PhConfigNode *node = &s->nodes[endpoint];
    PhFakeNet_Crash(s->net, endpoint);
    PhConfigFollower_Destroy(g_steal_pointer(&node->follower));
    PhConfigAppender_Destroy(g_steal_pointer(&node->appender));
    PhRandom_Destroy(g_steal_pointer(&node->random));
    g_free(g_steal_pointer(&node->id));
}

/* Lists the instances that are alive and not partitioned from this one. */
static void
node_update_view(PhSoakConfig *s, uint32_t endpoint)
{
    PhConfigPeer peers[SOAK_CONFIG_NODES];
    size_t count = 0;
    uint32_t centre = endpoint % SOAK_CONFIG_CENTRES;
    for (uint32_t i = 1; i <= SOAK_CONFIG_NODES; i++) {
        uint32_t other = i % SOAK_CONFIG_CENTRES;
        if (i != endpoint && s->nodes[i].follower != NULL &&
            !PhFakeNet_Link(s->net, centre, other)->cut) {
            peers[count++] =
                (PhConfigPeer){.member = PhStr_FromC(s->nodes[i].id),
                               .local = other == centre};
        }
    }
    PhConfigEvent event = {
        .kind = PH_CONFIG_EVENT_MEMBERS,
        .as.members = {.self = PhStr_FromC(s->nodes[endpoint].id),
                       .peers = peers,
                       .count = count}};
    PhSoakConfig_Follow(s, endpoint, &event);
    PhSoakConfig_Append(s, endpoint,
                        &(PhAppendEvent){.kind = PH_APPEND_EVENT_INSTANCES,
                                         .as.instances = count + 1});
    PhFakeNet_SetTimer(s->net, endpoint, SOAK_CONFIG_VIEW,
                       PhFakeNet_Now(s->net) + VIEW_INTERVAL_NS);
}

static void
settled_check(PhSoakConfig *s)
{
    for (uint32_t i = 1; i <= SOAK_CONFIG_NODES; i++) {
        PhSoakReference_CheckSettled(s->reference, s->nodes[i].follower,
                                     PhFakeNet_Now(s->net));
    }
    s->run->settled++;
}

static void
plan_advance(PhSoakConfig *s)
{
    PhFaultChange change;
    while (PhFaultPlan_Next(s->plan, PhFakeNet_Now(s->net), &change)) {
        switch (change.kind) {
        case PH_FAULT_BEGIN:
        case PH_FAULT_END:
            PhSoakConfig_SetFault(s, &change);
            break;
        case PH_FAULT_SETTLED:
            settled_check(s);
            break;
        }
    }
    PhFakeNet_SetTimer(s->net, SOAK_CONFIG_DRIVER, SOAK_CONFIG_PLAN,
                       PhFaultPlan_Due(s->plan));
}

/* Runs the fault plan, or submits a patch unless a settled check is near. */
static void
driver_handle(PhSoakConfig *s, uint64_t token)
{
    if (token == SOAK_CONFIG_PLAN) {
        plan_advance(s);
        return;
    }
    if (PhFaultPlan_Due(s->plan) - PhFakeNet_Now(s->net) > 15 * S ||
        PhFaultPlan_CountActive(s->plan) > 0) {
        PhSoakConfig_Submit(s, SOAK_CONFIG_TEAMS);
    }
    PhFakeNet_SetTimer(
        s->net, SOAK_CONFIG_DRIVER, SOAK_CONFIG_SUBMIT,
        PhFakeNet_Now(s->net) +
            (PhTime)PhRandom_Exponential(s->random, (double)SUBMIT_MEAN_NS));
}

static void
message_deliver(PhSoakConfig *s, uint32_t endpoint,
                const PhSoakConfigMessage *message)
{
    PhConfigEvent event = {.member = PhStr_FromC(message->from)};
    if (message->kind == PH_CONFIG_ACTION_HELLO) {
        event.kind = PH_CONFIG_EVENT_HELLO;
        event.as.hello = message->hello;
    }
    else if (message->kind == PH_CONFIG_ACTION_FETCH) {
        event.kind = PH_CONFIG_EVENT_FETCH;
        event.as.fetch = message->fetch;
    }
    else if (message->kind == PH_CONFIG_ACTION_PUSH) {
        event.kind = PH_CONFIG_EVENT_PUSH;
        event.as.push.records = (PhConfigRecord *const *)message->push->pdata;
        event.as.push.count = message->push->len;
    }
    else {
        event.kind = PH_CONFIG_EVENT_STATE;
        event.as.state = message->state;
    }
    PhSoakConfig_Follow(s, endpoint, &event);
}

static void
timer_handle(PhSoakConfig *s, uint32_t endpoint, uint64_t token)
{
    PhConfigNode *node = &s->nodes[endpoint];
    uint64_t number = token / SOAK_CONFIG_KINDS;
    switch (token % SOAK_CONFIG_KINDS) {
    case SOAK_CONFIG_FOLLOW:
        if (number == node->follower_timer) {
            PhSoakConfig_Follow(
                s, endpoint, &(PhConfigEvent){.kind = PH_CONFIG_EVENT_TICK});
        }
        break;
    case SOAK_CONFIG_APPEND:
        if (number == node->appender_timer) {
            PhSoakConfig_Append(
                s, endpoint, &(PhAppendEvent){.kind = PH_APPEND_EVENT_TICK});
        }
        break;
    case SOAK_CONFIG_ANSWER:
        PhSoakConfigLog_Answer(s, endpoint, number);
        break;
    case SOAK_CONFIG_VIEW:
        node_update_view(s, endpoint);
        break;
    default:
        break;
    }
}

static const PhFault faults[] = {
    PH_FAULT_LOAD_SHIFT,        PH_FAULT_INSTANCE_DEATH,
    PH_FAULT_PROCESS_DEATH,     PH_FAULT_STORE_DOWN,
    PH_FAULT_STORE_SLOW,        PH_FAULT_LOST_ANSWERS,
    PH_FAULT_PAUSED_HOLDER,     PH_FAULT_RACING_OPERATORS,
    PH_FAULT_SILENT_CONNECTION, PH_FAULT_PARTITION,
};

static void
config_create(PhSoakConfig *s)
{
    s->net =
        PhFakeNet_Create(s->run->seed, SOAK_CONFIG_NODES + 1, message_clear);
    s->random = PhRandom_Create(s->run->seed);
    s->log = PhFakeLog_Create(
        &(PhFakeLogOptions){.seed = s->run->seed,
                            .retention = RETENTION_NS,
                            .appends_per_second = LOG_APPENDS_PER_SECOND,
                            .delay_min = 5 * MS,
                            .delay_extra = 5 * MS,
                            .timeout = 3 * S});
    s->reference = PhSoakReference_Create(s->run->seed);
    s->patches = g_ptr_array_new_with_free_func(patch_destroy);
    s->snapshots = g_ptr_array_new_with_free_func(snapshot_destroy);
    s->answers = g_ptr_array_new_with_free_func(g_free);
    s->plan = PhFaultPlan_Create(
        &(PhFaultPlanOptions){.seed = s->run->seed,
                              .faults = faults,
                              .fault_count = G_N_ELEMENTS(faults),
                              .gap = 15 * S,
                              .length = 20 * S,
                              .settle = 120 * S});
    PhSoakLinks_Set(s->net, SOAK_CONFIG_CENTRES, 4 * MS, MS, 0.02);
    for (uint32_t i = 1; i <= SOAK_CONFIG_NODES; i++) {
        PhFakeNet_SetGroup(s->net, i, i % SOAK_CONFIG_CENTRES);
        PhSoakConfig_Start(s, i);
    }
    plan_advance(s);
    driver_handle(s, SOAK_CONFIG_SUBMIT);
}

static void
config_destroy(PhSoakConfig *s)
{
    for (uint32_t i = 1; i <= SOAK_CONFIG_NODES; i++) {
        if (s->nodes[i].follower != NULL) {
            PhSoakConfig_Kill(s, i);
        }
    }
    PhFaultPlan_Destroy(s->plan);
    PhFakeNet_Destroy(s->net);
    PhFakeLog_Destroy(s->log);
    PhSoakReference_Destroy(s->reference);
    PhRandom_Destroy(s->random);
    g_ptr_array_free(s->patches, TRUE);
    g_ptr_array_free(s->snapshots, TRUE);
    g_ptr_array_free(s->answers, TRUE);
}

/* Events of an instance that does not run are dropped. */
static void
event_handle(void *context, const PhFakeEvent *event)
{
    PhSoakConfig *s = context;
    if (event->to == SOAK_CONFIG_DRIVER) {
        driver_handle(s, event->token);
    }
    else if (s->nodes[event->to].follower == NULL) {
        return;
    }
    else if (event->kind == PH_FAKE_MESSAGE) {
        message_deliver(s, event->to, event->body);
    }
    else {
        timer_handle(s, event->to, event->token);
    }
}

static void
config_run(PhSoakRun *run)
{
    PhSoakConfig s = {.run = run};
    config_create(&s);
    PhSoakRun_Drive(run, s.net, s.plan, event_handle, &s);
    config_destroy(&s);
}

const PhSoakArea PhSoak_Config = {.name = "config",
                                  .run = config_run,
                                  .faults = faults,
                                  .fault_count = G_N_ELEMENTS(faults)};
