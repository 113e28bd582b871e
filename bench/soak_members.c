/* Membership soak run: three data centres with instances that die, restart,
 * leave, pause and get partitioned. */
#include <glib.h>

#include "peridothill/bench/soak.h"
#include "peridothill/common/invariant.h"
#include "peridothill/decide/members/membership.h"
#include "peridothill/fakes/fake_net.h"

#define MS PH_NS_PER_MS
#define S PH_NS_PER_S

enum {
    DATA_CENTRES = 3,
    NODES = 9,  /* endpoints 1 to NODES */
    DRIVER = 0, /* endpoint of the fault plan */
    ADDRESS_BYTES = 32,
};

/* Timer kinds; the kind of a token is its remainder by TIMER_KINDS. */
enum {
    TIMER_WAKE,
    TIMER_LIST,
    TIMER_PLAN,
    TIMER_KINDS,
};

/* Ground truth of an id, independent of the instances' view. */
typedef struct PhGroundTruth {
    uint64_t incarnation;
    bool alive;
    bool left;
} PhGroundTruth;

/* A slot for an instance. */
typedef struct PhSoakNode {
    PhMembership *membership; /* NULL while the slot is empty */
    char *id;
    char *address;
    uint64_t timer; /* number of the latest timer; older ones are ignored */
} PhSoakNode;

typedef struct PhSoakEnvelope {
    PhMemberMessage message;
    PhStr from;
} PhSoakEnvelope;

typedef struct PhSoakMembers {
    PhSoakRun *run;
    PhFakeNet *net;
    PhFaultPlan *plan;
    PhSoakNode nodes[NODES + 1];
    GHashTable *ground_truths; /* id to PhGroundTruth */
    GArray *actions;
    uint64_t generation;
    bool store_down;
    bool cut_off[DATA_CENTRES];
} PhSoakMembers;

static void
envelope_clear(gpointer data)
{
    PhSoakEnvelope *envelope = data;
    PhMemberMessage_Clear(&envelope->message);
    PhStr_Clear(&envelope->from);
}

static uint32_t
endpoint_data_centre(uint32_t endpoint)
{
    return endpoint % DATA_CENTRES;
}

/* Checks the view of an instance against the ground truth. */
static void
node_check(PhSoakMembers *s, const PhSoakNode *node)
{
    GArray *list = PhMembership_List(node->membership);
    for (guint i = 0; i < list->len; i++) {
        const PhMember *m = &g_array_index(list, PhMember, i);
        char *id = PhStr_ToC(m->id);
        const PhGroundTruth *truth = g_hash_table_lookup(s->ground_truths, id);
        Ph_INVARIANT(PH_INVARIANT_MEMBER,
                     truth != NULL && m->incarnation <= truth->incarnation,
                     "seed=%" G_GUINT64_FORMAT " at=%s of=%s", s->run->seed,
                     node->id, id);
        Ph_INVARIANT(PH_INVARIANT_MEMBER,
                     truth != NULL &&
                         (m->state != PH_MEMBER_LEFT || truth->left),
                     "seed=%" G_GUINT64_FORMAT " at=%s left=%s", s->run->seed,
                     node->id, id);
        g_free(id);
    }
    g_array_free(list, TRUE);
}

/* After settling, an instance must see exactly the live members as alive.  It
 * may suspect them for a moment, since messages are still lost. */
static void
node_check_settled(PhSoakMembers *s, const PhSoakNode *node)
{
    GHashTableIter i;
    gpointer id = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&i, s->ground_truths);
    while (g_hash_table_iter_next(&i, &id, &value)) {
        const PhGroundTruth *truth = value;
        PhMemberState state =
            PhMembership_State(node->membership, PhStr_FromC(id));
        Ph_INVARIANT(PH_INVARIANT_MEMBER,
                     truth->alive == (state == PH_MEMBER_ALIVE ||
                                      state == PH_MEMBER_SUSPECT),
                     "seed=%" G_GUINT64_FORMAT " time=%" G_GINT64_FORMAT
                     " at=%s of=%s state=%d",
                     s->run->seed, PhFakeNet_Now(s->net), node->id,
                     (const char *)id, state);
    }
    PhMembershipReachability reachability =
        PhMembership_Reachability(node->membership);
    Ph_INVARIANT(PH_INVARIANT_MEMBER,
                 reachability.own_data_centre &&
                     reachability.other_data_centres && reachability.platform,
                 "seed=%" G_GUINT64_FORMAT " at=%s", s->run->seed, node->id);
}

/* Finds the member, since either side may keep the link, or else the instance
 * that listens at the address. */
static uint32_t
endpoint_find(PhSoakMembers *s, PhStr member, PhStr address)
{
    uint32_t found = DRIVER;
    for (uint32_t i = 1; i <= NODES; i++) {
        const PhSoakNode *node = &s->nodes[i];
        if (node->membership == NULL) {
            continue;
        }
        if (PhStr_Equal(PhStr_FromC(node->id), member)) {
            return i;
        }
        if (PhStr_Equal(PhStr_FromC(node->address), address)) {
            found = i;
        }
    }
    return found;
}

/* The message is lost if no instance is there. */
static void
node_send(PhSoakMembers *s, uint32_t from, PhMembershipAction *action)
{
    uint32_t to =
        endpoint_find(s, action->as.send.member, action->as.send.address);
    if (to == DRIVER) {
        return;
    }
    PhSoakEnvelope *envelope = g_rc_box_new0(PhSoakEnvelope);
    envelope->message = action->as.send.message;
    envelope->from = PhStr_Dup(PhStr_FromC(s->nodes[from].id));
    action->as.send.message = (PhMemberMessage){.kind = PH_MEMBER_UPDATES};
    PhFakeNet_Send(s->net, from, to, 0, envelope);
}

static void
node_apply(PhSoakMembers *s, uint32_t endpoint, const PhMembershipEvent *event)
{
    PhSoakNode *node = &s->nodes[endpoint];
    PhTime now = PhFakeNet_Now(s->net);
    PhMembership_Apply(node->membership, event, now, s->actions);
    PhGroundTruth *truth = g_hash_table_lookup(s->ground_truths, node->id);
    truth->incarnation = PhMembership_Incarnation(node->membership);
    for (guint i = 0; i < s->actions->len; i++) {
        PhMembershipAction *a =
            &g_array_index(s->actions, PhMembershipAction, i);
        switch (a->kind) {
        case PH_MEMBERSHIP_SEND:
            node_send(s, endpoint, a);
            break;
        case PH_MEMBERSHIP_SET_TIMER:
            node->timer++;
            if (a->as.set_timer != PH_TIME_NEVER) {
                PhFakeNet_SetTimer(s->net, endpoint,
                                   node->timer * TIMER_KINDS + TIMER_WAKE,
                                   a->as.set_timer);
            }
            break;
        case PH_MEMBERSHIP_VIEW_CHANGED:
            node_check(s, node);
            break;
        case PH_MEMBERSHIP_REPORT:
            break;
        }
    }
    g_array_set_size(s->actions, 0);
}

/* Takes ownership of `id`; NULL generates one. */
static void
node_start(PhSoakMembers *s, uint32_t endpoint, char *id)
{
    static const char *const names[DATA_CENTRES] = {"bacolod", "silay",
                                                    "talisay"};
    PhSoakNode *node = &s->nodes[endpoint];
    PhTime now = PhFakeNet_Now(s->net);
    s->generation++;
    node->id = id != NULL
                   ? id
                   : g_strdup_printf("e%" G_GUINT64_FORMAT, s->generation);
    node->address = g_strdup_printf(
        "10.%u.%u.%u:7000", (unsigned)(s->generation >> 16),
        (unsigned)(s->generation >> 8 & 255), (unsigned)(s->generation & 255));
    node->timer++;
    PhMembershipOptions options = {
        .id = PhStr_FromC(node->id),
        .data_centre = PhStr_FromC(names[endpoint_data_centre(endpoint)]),
        .address = PhStr_FromC(node->address),
        .incarnation = (uint64_t)(now / MS) + 1,
        .seed = s->run->seed + s->generation,
        .times = PhMembershipTimes_Default()};
    node->membership = PhMembership_Create(&options, now);
    PhGroundTruth *truth = g_new0(PhGroundTruth, 1);
    truth->alive = true;
    truth->incarnation = options.incarnation;
    g_hash_table_replace(s->ground_truths, g_strdup(node->id), truth);
    PhFakeNet_SetTimer(s->net, endpoint, TIMER_LIST, now);
    node_apply(s, endpoint, &(PhMembershipEvent){.kind = PH_MEMBERSHIP_TIMER});
}

/* Kills an instance; the caller owns the returned id. */
static char *
node_kill(PhSoakMembers *s, uint32_t endpoint)
{
    PhSoakNode *node = &s->nodes[endpoint];
    PhGroundTruth *truth = g_hash_table_lookup(s->ground_truths, node->id);
    truth->alive = false;
    PhFakeNet_Crash(s->net, endpoint);
    PhMembership_Destroy(g_steal_pointer(&node->membership));
    g_free(g_steal_pointer(&node->address));
    return g_steal_pointer(&node->id);
}

/* A planned end drains and leaves before the process ends. */
static void
node_stop(PhSoakMembers *s, uint32_t endpoint, bool planned)
{
    if (planned) {
        PhGroundTruth *truth =
            g_hash_table_lookup(s->ground_truths, s->nodes[endpoint].id);
        truth->left = true;
        node_apply(s, endpoint,
                   &(PhMembershipEvent){.kind = PH_MEMBERSHIP_DRAIN});
        node_apply(s, endpoint,
                   &(PhMembershipEvent){.kind = PH_MEMBERSHIP_LEAVE});
    }
    g_free(node_kill(s, endpoint));
}

static void
node_update_list(PhSoakMembers *s, uint32_t endpoint)
{
    PhStr addresses[NODES];
    size_t count = 0;
    PhFakeNet_SetTimer(s->net, endpoint, TIMER_LIST,
                       PhFakeNet_Now(s->net) + S);
    if (s->store_down || s->cut_off[endpoint_data_centre(endpoint)]) {
        return;
    }
    for (uint32_t i = 1; i <= NODES; i++) {
        if (s->nodes[i].membership != NULL) {
            addresses[count++] = PhStr_FromC(s->nodes[i].address);
        }
    }
    node_apply(s, endpoint,
               &(PhMembershipEvent){.kind = PH_MEMBERSHIP_PLATFORM_ANSWERED});
    node_apply(s, endpoint,
               &(PhMembershipEvent){
                   .kind = PH_MEMBERSHIP_CANDIDATES,
                   .as.candidates = {.addresses = addresses, .count = count}});
}

static void
fault_set(PhSoakMembers *s, const PhFaultChange *change)
{
    bool on = change->kind == PH_FAULT_BEGIN;
    uint64_t pick = change->pick;
    uint32_t endpoint = 1 + (uint32_t)(pick % NODES);
    uint32_t other =
        1 + (endpoint + (uint32_t)(pick / NODES % (NODES - 1))) % NODES;
    bool alive = s->nodes[endpoint].membership != NULL;
    switch (change->fault) {
    case PH_FAULT_LOAD_SHIFT:
        PhSoakLinks_Set(s->net, DATA_CENTRES, 3 * MS, (on ? 20 : 1) * MS,
                        on ? 0.1 : 0.02);
        break;
    case PH_FAULT_INSTANCE_DEATH:
        if (on && alive) {
            node_stop(s, endpoint, pick >> 32 & 1);
        }
        else if (!on && !alive) {
            node_start(s, endpoint, NULL);
        }
        break;
    case PH_FAULT_PROCESS_DEATH:
        if (on && alive) {
            node_start(s, endpoint, node_kill(s, endpoint));
        }
        break;
    case PH_FAULT_STORE_DOWN:
        s->store_down = on;
        break;
    case PH_FAULT_PAUSED_HOLDER:
        if (on) {
            PhFakeNet_Pause(s->net, endpoint,
                            PhFakeNet_Now(s->net) + 100 * MS +
                                (PhTime)(pick % (20 * S)));
        }
        break;
    case PH_FAULT_SILENT_CONNECTION:
        PhFakeNet_SetBlackhole(s->net, endpoint, other, on);
        break;
    case PH_FAULT_PARTITION:
        PhSoakLinks_Cut(s->net, DATA_CENTRES, endpoint_data_centre(endpoint),
                        on);
        s->cut_off[endpoint_data_centre(endpoint)] = on && (pick >> 32 & 1);
        break;
    case PH_FAULT_NOISY_TASKS:
    case PH_FAULT_WRONG_SIZES:
    case PH_FAULT_IMPOSSIBLE_JOB:
    case PH_FAULT_CANCEL_WAVE:
    case PH_FAULT_BAD_WORKER:
    case PH_FAULT_FLOOD_LEAST_URGENT:
    case PH_FAULT_FLOOD_MOST_URGENT:
    case PH_FAULT_STORE_SLOW:
    case PH_FAULT_LOST_ANSWERS:
    case PH_FAULT_RACING_OPERATORS:
    case PH_FAULT_COUNT:
        break;
    }
}

static void
plan_advance(PhSoakMembers *s)
{
    PhFaultChange change;
    while (PhFaultPlan_Next(s->plan, PhFakeNet_Now(s->net), &change)) {
        switch (change.kind) {
        case PH_FAULT_BEGIN:
        case PH_FAULT_END:
            fault_set(s, &change);
            break;
        case PH_FAULT_SETTLED:
            for (uint32_t i = 1; i <= NODES; i++) {
                node_check_settled(s, &s->nodes[i]);
            }
            s->run->settled++;
            break;
        }
    }
    PhFakeNet_SetTimer(s->net, DRIVER, TIMER_PLAN, PhFaultPlan_Due(s->plan));
}

static void
event_handle(void *context, const PhFakeEvent *event)
{
    PhSoakMembers *s = context;
    PhSoakNode *node = &s->nodes[event->to];
    if (event->to == DRIVER) {
        plan_advance(s);
        return;
    }
    if (node->membership == NULL) {
        return;
    }
    if (event->kind == PH_FAKE_MESSAGE) {
        const PhSoakEnvelope *envelope = event->body;
        PhMembershipEvent e = {.kind = PH_MEMBERSHIP_MESSAGE,
                               .as.message = {.from = envelope->from,
                                              .message = &envelope->message}};
        node_apply(s, event->to, &e);
    }
    else if (event->token % TIMER_KINDS == TIMER_LIST) {
        node_update_list(s, event->to);
    }
    else if (event->token / TIMER_KINDS == node->timer) {
        node_apply(s, event->to,
                   &(PhMembershipEvent){.kind = PH_MEMBERSHIP_TIMER});
    }
}

static const PhFault faults[] = {
    PH_FAULT_LOAD_SHIFT, PH_FAULT_INSTANCE_DEATH, PH_FAULT_PROCESS_DEATH,
    PH_FAULT_STORE_DOWN, PH_FAULT_PAUSED_HOLDER,  PH_FAULT_SILENT_CONNECTION,
    PH_FAULT_PARTITION,
};

static void
members_create(PhSoakMembers *s)
{
    s->net = PhFakeNet_Create(s->run->seed, NODES + 1, envelope_clear);
    s->ground_truths =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    s->actions = PhMembershipActions_Create();
    s->plan = PhFaultPlan_Create(
        &(PhFaultPlanOptions){.seed = s->run->seed,
                              .faults = faults,
                              .fault_count = G_N_ELEMENTS(faults),
                              .gap = 20 * S,
                              .length = 20 * S,
                              .settle = 180 * S});
    PhSoakLinks_Set(s->net, DATA_CENTRES, 3 * MS, MS, 0.02);
    for (uint32_t i = 1; i <= NODES; i++) {
        PhFakeNet_SetGroup(s->net, i, endpoint_data_centre(i));
        node_start(s, i, NULL);
    }
    plan_advance(s);
}

static void
members_destroy(PhSoakMembers *s)
{
    for (uint32_t i = 1; i <= NODES; i++) {
        if (s->nodes[i].membership != NULL) {
            g_free(node_kill(s, i));
        }
    }
    PhFaultPlan_Destroy(s->plan);
    PhFakeNet_Destroy(s->net);
    g_array_free(s->actions, TRUE);
    g_hash_table_destroy(s->ground_truths);
}

static void
members_run(PhSoakRun *run)
{
    PhSoakMembers s = {.run = run};
    members_create(&s);
    PhSoakRun_Drive(run, s.net, s.plan, event_handle, &s);
    members_destroy(&s);
}

const PhSoakArea PhSoak_Members = {.name = "members",
                                   .run = members_run,
                                   .faults = faults,
                                   .fault_count = G_N_ELEMENTS(faults)};
