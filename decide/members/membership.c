#include "peridothill/decide/members/membership.h"

#include "membership_private.h"
#include "peridothill/common/invariant.h"

/* Records are fetched once digests have differed for the time in which gossip
 * normally reaches everyone. */
#define DIGEST_MISMATCH_LIMIT_NS (10 * PH_NS_PER_S)

/* Minimum time between sync requests to unknown senders. */
#define UNKNOWN_SYNC_INTERVAL_NS (200 * PH_NS_PER_MS)

static void
action_clear(gpointer data)
{
    PhMembershipAction *a = data;
    switch (a->kind) {
    case PH_MEMBERSHIP_SEND:
        PhStr_Clear(&a->as.send.member);
        PhStr_Clear(&a->as.send.address);
        PhMemberMessage_Clear(&a->as.send.message);
        break;
    case PH_MEMBERSHIP_REPORT:
        PhStr_Clear(&a->as.report.member);
        break;
    case PH_MEMBERSHIP_SET_TIMER:
    case PH_MEMBERSHIP_VIEW_CHANGED:
        break;
    }
}

GArray *
PhMembershipActions_Create(void)
{
    GArray *actions = g_array_new(FALSE, FALSE, sizeof(PhMembershipAction));
    g_array_set_clear_func(actions, action_clear);
    return actions;
}

static void
self_add(PhMembership *m, const PhMembershipOptions *options)
{
    PhMember self = {.id = options->id,
                     .data_centre = options->data_centre,
                     .address = options->address,
                     .state = PH_MEMBER_ALIVE,
                     .incarnation = options->incarnation};
    PhMemberEntry_Add(m, &self);
}

PhMembership *
PhMembership_Create(const PhMembershipOptions *options, PhTime now)
{
    PhMembership *m = g_new0(PhMembership, 1);
    m->times = options->times;
    m->random = PhRandom_Create(options->seed);
    m->entries = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual, NULL,
                                       PhMemberEntry_Destroy);
    m->local = g_ptr_array_new();
    m->remote = g_ptr_array_new();
    m->suspects = g_ptr_array_new();
    m->candidates = g_ptr_array_new_with_free_func(PhStr_KeyDestroy);
    m->probes = g_array_new(FALSE, FALSE, sizeof(PhProbe));
    g_array_set_clear_func(m->probes, PhProbe_Clear);
    g_queue_init(&m->updates);
    g_queue_init(&m->departed);
    m->now = now;
    m->local_last_contact_at = m->remote_last_contact_at =
        m->platform_last_contact_at = now;
    m->reachability = (PhMembershipReachability){true, true, true};
    m->probe_due = m->rejoin_due = m->timer_at = now;
    m->suspect_pings_left = SUSPECT_PINGS_PER_INTERVAL;
    self_add(m, options);
    return m;
}

void
PhMembership_Destroy(PhMembership *membership)
{
    if (membership == NULL) {
        return;
    }
    g_queue_clear(&membership->updates);
    g_queue_clear(&membership->departed);
    g_array_free(membership->probes, TRUE);
    g_ptr_array_free(membership->candidates, TRUE);
    g_ptr_array_free(membership->suspects, TRUE);
    g_ptr_array_free(membership->local, TRUE);
    g_ptr_array_free(membership->remote, TRUE);
    g_hash_table_destroy(membership->entries);
    PhRandom_Destroy(membership->random);
    g_free(membership);
}

/* Records a message from a member. One that is considered dead or left is
 * pinged with its record so that it can refute; an unknown one is asked for
 * its records. */
static PhMemberEntry *
sender_update(PhMembership *m, PhStr from, PhMemberMessageKind kind)
{
    PhMemberEntry *e = PhMemberEntry_Find(m, from);
    if (e == NULL) {
        if (m->now >= m->unknown_sync_due) {
            m->unknown_sync_due = m->now + UNKNOWN_SYNC_INTERVAL_NS;
            PhMembers_RequestSync(m, from, (PhStr){0});
        }
        return NULL;
    }
    if (e == m->self) {
        PhMembers_Report(m, PH_MEMBERSHIP_ID_CONFLICT, from);
        return NULL;
    }
    e->last_contact_at = m->now;
    if (e->local) {
        m->local_last_contact_at = m->now;
    }
    else {
        m->remote_last_contact_at = m->now;
    }
    bool departed =
        e->member.state == PH_MEMBER_DEAD || e->member.state == PH_MEMBER_LEFT;
    if (departed && kind != PH_MEMBER_UPDATES &&
        m->now - e->departure_notified_at >= m->times.probe_interval) {
        e->departure_notified_at = m->now;
        PhMembers_SendPing(m, e, ++m->sequence);
    }
    return e;
}

/* Requests all records once digests have differed for
 * DIGEST_MISMATCH_LIMIT_NS. */
static void
digest_compare(PhMembership *m, PhMemberEntry *from, uint64_t digest)
{
    if (digest == m->digest) {
        m->digest_differs_since = 0;
    }
    else if (m->digest_differs_since == 0) {
        m->digest_differs_since = m->now;
    }
    else if (m->now - m->digest_differs_since >= DIGEST_MISMATCH_LIMIT_NS) {
        m->digest_differs_since = m->now;
        PhMembers_RequestSync(m, from->member.id, from->member.address);
    }
}

static void
ping_handle(PhMembership *m, PhMemberEntry *from, const PhMemberPing *ping)
{
    PhMemberMessage ack = {
        .kind = PH_MEMBER_ACK,
        .as.ack = {.sequence = ping->sequence, .digest = m->digest}};
    PhMembers_Send(m, from, ack);
    digest_compare(m, from, ping->digest);
}

static void
message_handle(PhMembership *m, PhStr from, const PhMemberMessage *message)
{
    m->syncing = message->kind == PH_MEMBER_SYNC;
    for (size_t i = 0; i < message->record_count; i++) {
        PhMembers_MergeRecord(m, &message->records[i]);
    }
    m->syncing = false;
    PhMemberEntry *e = sender_update(m, from, message->kind);
    if (e == NULL) {
        return;
    }
    switch (message->kind) {
    case PH_MEMBER_PING:
        ping_handle(m, e, &message->as.ping);
        return;
    case PH_MEMBER_ACK:
        digest_compare(m, e, message->as.ack.digest);
        PhMembers_HandleAck(m, message->as.ack.sequence);
        return;
    case PH_MEMBER_PROBE:
        PhMembers_Relay(m, e, &message->as.probe);
        return;
    case PH_MEMBER_SYNC_REQUEST:
        PhMembers_SendSync(m, e);
        return;
    case PH_MEMBER_SYNC:
    case PH_MEMBER_UPDATES:
        return;
    }
}

/* Replaces the candidate addresses, leaving out the own one. */
static void
candidates_set(PhMembership *m, const PhStr *addresses, size_t count)
{
    g_ptr_array_set_size(m->candidates, 0);
    for (size_t i = 0; i < count; i++) {
        if (!PhStr_Equal(addresses[i], m->self->member.address)) {
            g_ptr_array_add(m->candidates, PhStr_KeyCreate(addresses[i]));
        }
    }
}

/* Announces that this instance accepts no new work. */
static void
self_drain(PhMembership *m)
{
    PhMember *self = &m->self->member;
    if (self->state == PH_MEMBER_LEFT || self->draining) {
        return;
    }
    self->draining = true;
    PhMemberEntry_SetState(m, m->self, PH_MEMBER_ALIVE, self->incarnation + 1);
}

static void
self_leave(PhMembership *m)
{
    PhMember *self = &m->self->member;
    if (self->state == PH_MEMBER_LEFT) {
        return;
    }
    self->draining = true;
    PhMemberEntry_SetState(m, m->self, PH_MEMBER_LEFT, self->incarnation + 1);
    PhMembers_AnnounceLeave(m);
}

static void
event_handle(PhMembership *m, const PhMembershipEvent *event)
{
    switch (event->kind) {
    case PH_MEMBERSHIP_TIMER:
        return;
    case PH_MEMBERSHIP_MESSAGE:
        message_handle(m, event->as.message.from, event->as.message.message);
        return;
    case PH_MEMBERSHIP_CANDIDATES:
        candidates_set(m, event->as.candidates.addresses,
                       event->as.candidates.count);
        return;
    case PH_MEMBERSHIP_PLATFORM_ANSWERED:
        m->platform_last_contact_at = m->now;
        return;
    case PH_MEMBERSHIP_DRAIN:
        self_drain(m);
        return;
    case PH_MEMBERSHIP_LEAVE:
        self_leave(m);
        return;
    }
}

/* Appends the actions that follow from any event. */
static void
actions_finish(PhMembership *m)
{
    PhTime next = m->self->member.state == PH_MEMBER_LEFT
                      ? PH_TIME_NEVER
                      : PhMembers_NextDue(m);
    Ph_INVARIANT(PH_INVARIANT_MEMBER, next > m->now,
                 "next=%" G_GINT64_FORMAT " now=%" G_GINT64_FORMAT, next,
                 m->now);
    if (next != m->timer_at) {
        PhMembershipAction a = {.kind = PH_MEMBERSHIP_SET_TIMER,
                                .as.set_timer = next};
        g_array_append_val(m->actions, a);
        m->timer_at = next;
    }
    if (m->view_changed) {
        PhMembershipAction a = {.kind = PH_MEMBERSHIP_VIEW_CHANGED};
        g_array_append_val(m->actions, a);
        m->view_changed = false;
    }
}

void
PhMembership_Apply(PhMembership *membership, const PhMembershipEvent *event,
                   PhTime now, GArray *actions)
{
    PhMembership *m = membership;
    uint64_t incarnation = m->self->member.incarnation;
    Ph_INVARIANT(PH_INVARIANT_MEMBER, now >= m->now,
                 "now=%" G_GINT64_FORMAT " before=%" G_GINT64_FORMAT, now,
                 m->now);
    m->now = now;
    m->actions = actions;
    PhMembers_CheckPause(m);
    event_handle(m, event);
    PhMembers_RunDue(m);
    PhMembers_CheckReachability(m);
    actions_finish(m);
    m->actions = NULL;
    Ph_INVARIANT(PH_INVARIANT_MEMBER,
                 m->self->member.incarnation >= incarnation &&
                     (m->self->member.state == PH_MEMBER_ALIVE ||
                      m->self->member.state == PH_MEMBER_LEFT),
                 "incarnation=%" G_GUINT64_FORMAT " state=%d",
                 m->self->member.incarnation, m->self->member.state);
}

static gint
member_compare(gconstpointer a, gconstpointer b)
{
    return PhStr_Compare(((const PhMember *)a)->id, ((const PhMember *)b)->id);
}

GArray *
PhMembership_List(const PhMembership *membership)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(PhMember));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, membership->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_array_append_val(list, ((PhMemberEntry *)value)->member);
    }
    g_array_sort(list, member_compare);
    return list;
}

PhMemberState
PhMembership_State(const PhMembership *membership, PhStr id)
{
    const PhMemberEntry *e = PhMemberEntry_Find(membership, id);
    return e == NULL ? PH_MEMBER_DEAD : e->member.state;
}

uint64_t
PhMembership_Incarnation(const PhMembership *membership)
{
    return membership->self->member.incarnation;
}

PhMembershipReachability
PhMembership_Reachability(const PhMembership *membership)
{
    return membership->reachability;
}
