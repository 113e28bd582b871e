#include "peridothill/bench/members_cluster.h"

#include "members_wire.h"

/* One-way delays. */
#define LOCAL_DELAY_NS (300 * PH_NS_PER_US)
#define REGION_DELAY_NS (4500 * PH_NS_PER_US)
#define REMOTE_DELAY_NS (40 * PH_NS_PER_MS)
#define EXTRA_DELAY_NS (1 * PH_NS_PER_MS)

enum {
    NAME_BYTES = 32,
};

typedef struct PhClusterMember {
    PhMembership *membership;
    PhStr id;
    PhStr data_centre;
    PhStr address;
    uint32_t starts;
    uint64_t timer; /* token of the latest timer; older ones are ignored */
} PhClusterMember;

struct PhMembersCluster {
    PhMembersClusterOptions options;
    PhFakeNet *net;
    PhClusterMember *members;
    GHashTable *by_id;      /* id to index + 1 */
    GHashTable *by_address; /* address to index + 1 */
    PhMembersWire *wire;
    PhMembersClusterCounts counts;
};

static void
message_clear(gpointer body)
{
    PhMemberMessage_Clear(body);
}

static PhStr
name_format(const char *format, uint32_t a, uint32_t b)
{
    char text[NAME_BYTES];
    g_snprintf(text, sizeof(text), format, a, b);
    return PhStr_Dup(PhStr_FromC(text));
}

static void
links_set(PhMembersCluster *c)
{
    uint32_t dcs = c->options.data_centres;
    for (uint32_t a = 0; a < dcs; a++) {
        for (uint32_t b = 0; b < dcs; b++) {
            PhFakeLink *link = PhFakeNet_Link(c->net, a, b);
            bool region = a % c->options.regions == b % c->options.regions;
            link->delay_min = a == b   ? LOCAL_DELAY_NS
                              : region ? REGION_DELAY_NS
                                       : REMOTE_DELAY_NS;
            link->delay_extra = EXTRA_DELAY_NS;
            link->loss = c->options.loss;
        }
    }
}

PhMembersCluster *
PhMembersCluster_Create(const PhMembersClusterOptions *options)
{
    PhMembersCluster *c = g_new0(PhMembersCluster, 1);
    c->options = *options;
    c->net = PhFakeNet_Create(options->seed, options->members, message_clear);
    c->members = g_new0(PhClusterMember, options->members);
    c->by_id = g_hash_table_new(PhStr_KeyHash, PhStr_KeyEqual);
    c->by_address = g_hash_table_new(PhStr_KeyHash, PhStr_KeyEqual);
    for (uint32_t i = 0; i < options->members; i++) {
        PhClusterMember *m = &c->members[i];
        uint32_t dc = i % options->data_centres;
        m->id = name_format("instance-%04u", i, 0);
        m->data_centre = name_format("data-centre-%u", dc, 0);
        m->address = name_format("10.0.%u.%u:7400", i / 250, i % 250 + 1);
        g_hash_table_insert(c->by_id, &m->id, GUINT_TO_POINTER(i + 1));
        g_hash_table_insert(c->by_address, &m->address,
                            GUINT_TO_POINTER(i + 1));
        PhFakeNet_SetGroup(c->net, i, dc);
    }
    links_set(c);
    c->wire = PhMembersWire_Create();
    return c;
}

void
PhMembersCluster_Destroy(PhMembersCluster *cluster)
{
    for (uint32_t i = 0; i < cluster->options.members; i++) {
        PhClusterMember *m = &cluster->members[i];
        PhMembership_Destroy(m->membership);
        PhStr_Clear(&m->id);
        PhStr_Clear(&m->data_centre);
        PhStr_Clear(&m->address);
    }
    PhFakeNet_Destroy(cluster->net);
    PhMembersWire_Destroy(cluster->wire);
    g_hash_table_destroy(cluster->by_id);
    g_hash_table_destroy(cluster->by_address);
    g_free(cluster->members);
    g_free(cluster);
}

PhFakeNet *
PhMembersCluster_Net(PhMembersCluster *cluster)
{
    return cluster->net;
}

PhMembersClusterCounts
PhMembersCluster_Counts(const PhMembersCluster *cluster)
{
    PhMembersClusterCounts counts = cluster->counts;
    PhMembersWireCounts wire = PhMembersWire_Counts(cluster->wire);
    counts.frame_bytes = wire.frame_bytes;
    counts.wire_bytes = wire.wire_bytes;
    counts.links_opened = wire.links_opened;
    return counts;
}

PhMemberMessage
PhMembersCluster_Transfer(PhMembersCluster *cluster,
                          const PhMemberMessage *message)
{
    return PhMembersWire_Transfer(cluster->wire, message);
}

/* Returns false if no member has the id or address. */
static bool
receiver_find(const PhMembersCluster *c, const PhMembershipAction *a,
              uint32_t *to)
{
    gpointer found =
        PhStr_IsEmpty(a->as.send.member)
            ? g_hash_table_lookup(c->by_address, &a->as.send.address)
            : g_hash_table_lookup(c->by_id, &a->as.send.member);
    *to = GPOINTER_TO_UINT(found) - 1;
    return found != NULL;
}

static void
action_send(PhMembersCluster *c, uint32_t from, PhMembershipAction *a)
{
    uint32_t to;
    if (!receiver_find(c, a, &to)) {
        return;
    }
    PhMemberMessage *body = g_rc_box_new0(PhMemberMessage);
    c->counts.messages++;
    if (c->options.encode) {
        PhMembersWire_RecordUse(c->wire, from, to, PhFakeNet_Now(c->net));
        *body = PhMembersCluster_Transfer(c, &a->as.send.message);
    }
    else {
        *body = a->as.send.message;
        a->as.send.message = (PhMemberMessage){.kind = PH_MEMBER_UPDATES};
    }
    PhFakeNet_Send(c->net, from, to, 0, body);
}

static void
action_apply(PhMembersCluster *c, uint32_t member, PhMembershipAction *a)
{
    PhClusterMember *m = &c->members[member];
    switch (a->kind) {
    case PH_MEMBERSHIP_SEND:
        action_send(c, member, a);
        return;
    case PH_MEMBERSHIP_SET_TIMER:
        m->timer++;
        if (a->as.set_timer != PH_TIME_NEVER) {
            PhFakeNet_SetTimer(c->net, member, m->timer, a->as.set_timer);
        }
        return;
    case PH_MEMBERSHIP_VIEW_CHANGED:
        return;
    case PH_MEMBERSHIP_REPORT:
        c->counts.reports[a->as.report.what]++;
        if (c->options.on_report != NULL) {
            c->options.on_report(c->options.user, member, a->as.report.what,
                                 a->as.report.member, PhFakeNet_Now(c->net));
        }
        return;
    }
}

void
PhMembersCluster_Apply(PhMembersCluster *cluster, uint32_t member,
                       const PhMembershipEvent *event)
{
    PhMembership *membership = cluster->members[member].membership;
    if (membership == NULL) {
        return;
    }
    GArray *actions = PhMembershipActions_Create();
    PhMembership_Apply(membership, event, PhFakeNet_Now(cluster->net),
                       actions);
    for (guint i = 0; i < actions->len; i++) {
        action_apply(cluster, member,
                     &g_array_index(actions, PhMembershipAction, i));
    }
    g_array_free(actions, TRUE);
}

/* Returns a different seed for each start of each member. */
static uint64_t
member_seed(const PhMembersCluster *c, uint32_t member)
{
    return (c->options.seed << 32) + ((uint64_t)member << 16) +
           c->members[member].starts;
}

/* The member knows only the address of the first one. */
void
PhMembersCluster_Start(PhMembersCluster *cluster, uint32_t member)
{
    PhClusterMember *m = &cluster->members[member];
    PhMembership_Destroy(m->membership);
    m->starts++;
    m->membership = PhMembership_Create(
        &(PhMembershipOptions){.id = m->id,
                               .data_centre = m->data_centre,
                               .address = m->address,
                               .incarnation = m->starts,
                               .seed = member_seed(cluster, member),
                               .times = PhMembershipTimes_Default()},
        PhFakeNet_Now(cluster->net));
    PhStr seeds[] = {cluster->members[0].address};
    PhMembershipEvent event = {.kind = PH_MEMBERSHIP_CANDIDATES,
                               .as.candidates = {seeds, 1}};
    PhMembersCluster_Apply(cluster, member, &event);
}

void
PhMembersCluster_StartAll(PhMembersCluster *cluster)
{
    uint32_t n = cluster->options.members;
    PhMember *records = g_new0(PhMember, n);
    for (uint32_t i = 0; i < n; i++) {
        const PhClusterMember *m = &cluster->members[i];
        records[i] = (PhMember){.id = m->id,
                                .data_centre = m->data_centre,
                                .address = m->address,
                                .incarnation = 1};
        PhMembersCluster_Start(cluster, i);
    }
    for (uint32_t i = 0; i < n; i++) {
        PhMemberMessage all = {
            .kind = PH_MEMBER_SYNC, .records = records, .record_count = n};
        PhMembershipEvent event = {
            .kind = PH_MEMBERSHIP_MESSAGE,
            .as.message = {cluster->members[(i + 1) % n].id, &all}};
        PhMembersCluster_Apply(cluster, i, &event);
    }
    g_free(records);
}

void
PhMembersCluster_Crash(PhMembersCluster *cluster, uint32_t member)
{
    PhClusterMember *m = &cluster->members[member];
    PhFakeNet_Crash(cluster->net, member);
    PhMembership_Destroy(m->membership);
    m->membership = NULL;
    m->timer++;
}

static void
event_handle(PhMembersCluster *c, const PhFakeEvent *e)
{
    PhMembershipEvent woken = {.kind = PH_MEMBERSHIP_TIMER};
    if (e->kind == PH_FAKE_MESSAGE) {
        PhMembershipEvent event = {
            .kind = PH_MEMBERSHIP_MESSAGE,
            .as.message = {c->members[e->from].id, e->body}};
        PhMembersCluster_Apply(c, e->to, &event);
    }
    else if (e->token == c->members[e->to].timer) {
        PhMembersCluster_Apply(c, e->to, &woken);
    }
}

void
PhMembersCluster_Run(PhMembersCluster *cluster, PhTime until)
{
    PhFakeEvent e;
    while (PhFakeNet_Next(cluster->net, until, &e)) {
        event_handle(cluster, &e);
    }
}

PhMembership *
PhMembersCluster_Membership(const PhMembersCluster *cluster, uint32_t member)
{
    return cluster->members[member].membership;
}

PhStr
PhMembersCluster_Id(const PhMembersCluster *cluster, uint32_t member)
{
    return cluster->members[member].id;
}

uint32_t
PhMembersCluster_Index(const PhMembersCluster *cluster, PhStr id)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(cluster->by_id, &id)) - 1;
}

size_t
PhMembersCluster_CountPairs(const PhMembersCluster *cluster,
                            PhMemberState state)
{
    size_t seen = 0;
    for (uint32_t i = 0; i < cluster->options.members; i++) {
        const PhMembership *m = cluster->members[i].membership;
        for (uint32_t j = 0; m != NULL && j < cluster->options.members; j++) {
            seen += i != j &&
                    PhMembership_State(m, cluster->members[j].id) == state;
        }
    }
    return seen;
}

double
PhMembersCluster_AverageLinks(const PhMembersCluster *cluster)
{
    return 2.0 *
           (double)PhMembersWire_OpenLinks(cluster->wire,
                                           PhFakeNet_Now(cluster->net)) /
           cluster->options.members;
}
