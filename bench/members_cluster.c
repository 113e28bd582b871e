#include "peridothill/bench/members_cluster.h"

#include "peridothill/codec/member_message.h"
#include "peridothill/codec/peer_session.h"
#include "peridothill/common/invariant.h"
#include "peridothill/services/peers.h"

/* Delays one way. */
#define DELAY_NEAR (300 * PH_NS_PER_US)
#define DELAY_REGION (4500 * PH_NS_PER_US)
#define DELAY_FAR (40 * PH_NS_PER_MS)
#define DELAY_EXTRA (1 * PH_NS_PER_MS)

enum {
    PACKET_HEAD_BYTES = 52, /* IP and TCP with time stamps */
    ACKED_PACKET_BYTES = 2 * PACKET_HEAD_BYTES,
    SETUP_PACKETS = 8, /* SYN, FIN and their acknowledgements */
    SETUP_FRAMES = 3,  /* greeting, greeting with proof, proof */
    LINK_IDLE_S = 120,
    NAME_BYTES = 32,
};

/* One instance. */
typedef struct PhClusterMember {
    PhMembership *membership;
    PhStr id;
    PhStr data_centre;
    PhStr address;
    uint32_t starts;
    uint64_t timer; /* token of the timer that counts */
} PhClusterMember;

struct PhMembersCluster {
    PhMembersClusterOptions options;
    PhFakeNet *net;
    PhClusterMember *members;
    GHashTable *by_id;      /* id to index + 1 */
    GHashTable *by_address; /* address to index + 1 */
    GHashTable *links;      /* pair of members to the time last spoken */
    PhPeerNonces *nonces;
    PhPeerSession *sender; /* frames go through one pair of sessions */
    PhPeerSession *receiver;
    uint64_t setup_bytes;
    PhMembersClusterCounts counts;
};

/* Empties a message before its box is released. */
static void
body_clear(gpointer body)
{
    PhMemberMessage_Clear(body);
}

/* Formats an owned string with one or two numbers. */
static PhStr
name_format(const char *format, uint32_t a, uint32_t b)
{
    char text[NAME_BYTES];
    g_snprintf(text, sizeof(text), format, a, b);
    return PhStr_Dup(PhStr_FromC(text));
}

/* Sets the delay and the loss of every link. */
static void
links_set(PhMembersCluster *c)
{
    uint32_t dcs = c->options.data_centres;
    for (uint32_t a = 0; a < dcs; a++) {
        for (uint32_t b = 0; b < dcs; b++) {
            PhFakeLink *link = PhFakeNet_Link(c->net, a, b);
            bool region = a % c->options.regions == b % c->options.regions;
            link->delay_min = a == b   ? DELAY_NEAR
                              : region ? DELAY_REGION
                                       : DELAY_FAR;
            link->delay_extra = DELAY_EXTRA;
            link->loss = c->options.loss;
        }
    }
}

/* Moves all frames from one buffer through a session. */
static void
session_feed(PhPeerSession *session, PhBuf *in, PhBuf *out)
{
    while (PhPeerSession_Next(session, in, out).kind != PH_PEER_EVENT_NONE) {
    }
}

/* Brings the pair of sessions to the point where payloads flow, and counts
 * the bytes that takes. */
static void
sessions_open(PhMembersCluster *c)
{
    static const char key[PH_PEER_KEY_BYTES] =
        "0123456789abcdef0123456789abcde";
    PhPeerIdentity identity = {.member = c->members[0].id,
                               .data_centre = c->members[0].data_centre,
                               .deployment = PhStr_LITERAL("bench"),
                               .version_min = PH_PEER_VERSION_MIN,
                               .version_max = PH_PEER_VERSION_MAX,
                               .keys = {PhStr_FromBytes(key, sizeof(key))},
                               .key_count = 1};
    PhBuf there = {0};
    PhBuf back = {0};
    c->nonces = PhPeerNonces_Create(2);
    c->sender = PhPeerSession_Create(&identity, PH_PEER_CONNECTING, c->nonces);
    c->receiver =
        PhPeerSession_Create(&identity, PH_PEER_ACCEPTING, c->nonces);
    PhPeerSession_Start(c->sender, &there);
    c->setup_bytes = there.len;
    session_feed(c->receiver, &there, &back);
    c->setup_bytes += back.len;
    session_feed(c->sender, &back, &there);
    c->setup_bytes += there.len;
    session_feed(c->receiver, &there, &back);
    c->setup_bytes +=
        (uint64_t)(SETUP_PACKETS + 2 * SETUP_FRAMES) * PACKET_HEAD_BYTES;
    PhBuf_Clear(&there);
    PhBuf_Clear(&back);
}

/* Creates a cluster in which no member runs yet. */
PhMembersCluster *
PhMembersCluster_Create(const PhMembersClusterOptions *options)
{
    PhMembersCluster *c = g_new0(PhMembersCluster, 1);
    c->options = *options;
    c->net = PhFakeNet_Create(options->seed, options->members, body_clear);
    c->members = g_new0(PhClusterMember, options->members);
    c->by_id = g_hash_table_new(PhStr_KeyHash, PhStr_KeyEqual);
    c->by_address = g_hash_table_new(PhStr_KeyHash, PhStr_KeyEqual);
    c->links =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
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
    sessions_open(c);
    return c;
}

/* Releases the cluster and all members. */
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
    PhPeerSession_Destroy(cluster->sender);
    PhPeerSession_Destroy(cluster->receiver);
    PhPeerNonces_Destroy(cluster->nonces);
    g_hash_table_destroy(cluster->by_id);
    g_hash_table_destroy(cluster->by_address);
    g_hash_table_destroy(cluster->links);
    g_free(cluster->members);
    g_free(cluster);
}

/* Gives the queue, to set links, cuts and pauses. */
PhFakeNet *
PhMembersCluster_Net(PhMembersCluster *cluster)
{
    return cluster->net;
}

/* Gives the sums so far. */
PhMembersClusterCounts
PhMembersCluster_Counts(const PhMembersCluster *cluster)
{
    return cluster->counts;
}

/* Notes that two members speak; a link that was idle for long, or never
 * there, is set up. */
static void
link_use(PhMembersCluster *c, uint32_t a, uint32_t b)
{
    gint64 key = ((gint64)MIN(a, b) << 32) | MAX(a, b);
    PhTime now = PhFakeNet_Now(c->net);
    PhTime *spoken = g_hash_table_lookup(c->links, &key);
    if (spoken != NULL && now - *spoken < LINK_IDLE_S * PH_NS_PER_S) {
        *spoken = now;
        return;
    }
    c->counts.links_opened++;
    c->counts.wire_bytes += c->setup_bytes;
    g_hash_table_insert(c->links, g_memdup2(&key, sizeof(key)),
                        g_memdup2(&now, sizeof(now)));
}

/* Sends a message through the encoding and the frames, as the receiver
 * decodes it, and counts what that costs on the wire: the frame in a packet,
 * and a packet that acknowledges it. */
PhMemberMessage
PhMembersCluster_Carry(PhMembersCluster *cluster,
                       const PhMemberMessage *message)
{
    PhMembersCluster *c = cluster;
    PhBuf payload = {0};
    PhBuf frame = {0};
    PhBuf none = {0};
    PhMemberMessage copy = {.kind = PH_MEMBER_NEWS};
    PhMemberMessage_Encode(message, &payload);
    PhPeerSession_Send(c->sender, PH_CHANNEL_MEMBERS, PhBuf_Str(&payload),
                       &frame);
    c->counts.frame_bytes += frame.len;
    c->counts.wire_bytes += frame.len + ACKED_PACKET_BYTES;
    PhPeerEvent e = PhPeerSession_Next(c->receiver, &frame, &none);
    Ph_INVARIANT(PH_INVARIANT_MEMBER,
                 e.kind == PH_PEER_EVENT_DATA &&
                     PhMemberMessage_Decode(e.as.data.payload, &copy) ==
                         PH_STATUS_OK,
                 "kind=%d", e.kind);
    PhBuf_Clear(&payload);
    PhBuf_Clear(&frame);
    PhBuf_Clear(&none);
    return copy;
}

/* Finds the receiver of a send; false when nobody has the id or address. */
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

/* Puts a message of an action onto the queue. */
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
        link_use(c, from, to);
        *body = PhMembersCluster_Carry(c, &a->as.send.message);
    }
    else {
        *body = a->as.send.message;
        a->as.send.message = (PhMemberMessage){.kind = PH_MEMBER_NEWS};
    }
    PhFakeNet_Send(c->net, from, to, 0, body);
}

/* Carries out one action of a member. */
static void
action_do(PhMembersCluster *c, uint32_t member, PhMembershipAction *a)
{
    PhClusterMember *m = &c->members[member];
    switch (a->kind) {
    case PH_MEMBERSHIP_SEND:
        action_send(c, member, a);
        return;
    case PH_MEMBERSHIP_WAKE:
        m->timer++;
        if (a->as.wake != PH_TIME_NEVER) {
            PhFakeNet_SetTimer(c->net, member, m->timer, a->as.wake);
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

/* Gives an event to a member and carries out the actions. */
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
        action_do(cluster, member,
                  &g_array_index(actions, PhMembershipAction, i));
    }
    g_array_free(actions, TRUE);
}

/* Gives each start of each member a seed of its own. */
static uint64_t
member_seed(const PhMembersCluster *c, uint32_t member)
{
    return (c->options.seed << 32) + ((uint64_t)member << 16) +
           c->members[member].starts;
}

/* Starts a member that knows only the address of the first one. */
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

/* Starts all members; each is told of all others at once, in bounded
 * messages. */
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

/* Ends a member without a word. */
void
PhMembersCluster_Crash(PhMembersCluster *cluster, uint32_t member)
{
    PhClusterMember *m = &cluster->members[member];
    PhFakeNet_Crash(cluster->net, member);
    PhMembership_Destroy(m->membership);
    m->membership = NULL;
    m->timer++;
}

/* Gives one event of the queue to its member. */
static void
event_take(PhMembersCluster *c, const PhFakeEvent *e)
{
    PhMembershipEvent woken = {.kind = PH_MEMBERSHIP_WOKEN};
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

/* Runs until a time. */
void
PhMembersCluster_Run(PhMembersCluster *cluster, PhTime until)
{
    PhFakeEvent e;
    while (PhFakeNet_Next(cluster->net, until, &e)) {
        event_take(cluster, &e);
    }
}

/* Gives the membership of a member. */
PhMembership *
PhMembersCluster_Get(const PhMembersCluster *cluster, uint32_t member)
{
    return cluster->members[member].membership;
}

/* Gives the id of a member. */
PhStr
PhMembersCluster_Id(const PhMembersCluster *cluster, uint32_t member)
{
    return cluster->members[member].id;
}

/* Gives the number of the member with this id. */
uint32_t
PhMembersCluster_Index(const PhMembersCluster *cluster, PhStr id)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(cluster->by_id, &id)) - 1;
}

/* Counts how often a running member sees another one in this state. */
size_t
PhMembersCluster_Seen(const PhMembersCluster *cluster, PhMemberState state)
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

/* Counts the links that are kept, for each member. */
double
PhMembersCluster_Links(const PhMembersCluster *cluster)
{
    PhTime now = PhFakeNet_Now(cluster->net);
    size_t kept = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, cluster->links);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        kept += now - *(PhTime *)value < LINK_IDLE_S * PH_NS_PER_S;
    }
    return 2.0 * (double)kept / cluster->options.members;
}
