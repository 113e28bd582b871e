#include "peridothill/decide/members/membership.h"

#include "peridothill/common/invariant.h"
#include "state.h"

/* Records are fetched once digests have differed for the time in which gossip
 * normally reaches everyone. */
#define DIFFER_LIMIT (10 * PH_NS_PER_S)

/* Minimum time between sync requests to unknown senders. */
#define STRANGER_INTERVAL (200 * PH_NS_PER_MS)

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
    case PH_MEMBERSHIP_WAKE:
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
add_self(PhMembership *m, const PhMembershipOptions *options)
{
    PhMember self = {.id = options->id,
                     .data_centre = options->data_centre,
                     .address = options->address,
                     .state = PH_MEMBER_ALIVE,
                     .incarnation = options->incarnation};
    PhEntry_Add(m, &self);
}

PhMembership *
PhMembership_Create(const PhMembershipOptions *options, PhTime now)
{
    PhMembership *m = g_new0(PhMembership, 1);
    m->times = options->times;
    m->random = PhRandom_Create(options->seed);
    m->entries = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual, NULL,
                                       PhEntry_Destroy);
    m->near = g_ptr_array_new();
    m->far = g_ptr_array_new();
    m->suspects = g_ptr_array_new();
    m->candidates = g_ptr_array_new_with_free_func(PhStr_KeyDestroy);
    m->probes = g_array_new(FALSE, FALSE, sizeof(PhProbe));
    g_array_set_clear_func(m->probes, PhProbe_Clear);
    g_queue_init(&m->news);
    g_queue_init(&m->buried);
    m->now = now;
    m->near_heard = m->far_heard = m->platform_heard = now;
    m->hearing = (PhMembershipHearing){true, true, true};
    m->probe_due = m->reach_due = m->wake = now;
    m->confirms = CONFIRMS_IN_INTERVAL;
    add_self(m, options);
    return m;
}

void
PhMembership_Destroy(PhMembership *membership)
{
    if (membership == NULL) {
        return;
    }
    g_queue_clear(&membership->news);
    g_queue_clear(&membership->buried);
    g_array_free(membership->probes, TRUE);
    g_ptr_array_free(membership->candidates, TRUE);
    g_ptr_array_free(membership->suspects, TRUE);
    g_ptr_array_free(membership->near, TRUE);
    g_ptr_array_free(membership->far, TRUE);
    g_hash_table_destroy(membership->entries);
    PhRandom_Destroy(membership->random);
    g_free(membership);
}

/* Records that a member was heard. One that is considered dead or left is
 * pinged with its record so that it can refute; an unknown one is asked for
 * its records. */
static PhEntry *
note_sender(PhMembership *m, PhStr from, PhMemberMessageKind kind)
{
    PhEntry *e = PhEntry_Find(m, from);
    if (e == NULL) {
        if (m->now >= m->stranger_due) {
            m->stranger_due = m->now + STRANGER_INTERVAL;
            PhMembers_AskSync(m, from, (PhStr){0});
        }
        return NULL;
    }
    if (e == m->self) {
        PhMembers_Report(m, PH_MEMBERSHIP_ID_CONFLICT, from);
        return NULL;
    }
    e->heard = m->now;
    if (e->near) {
        m->near_heard = m->now;
    }
    else {
        m->far_heard = m->now;
    }
    bool gone =
        e->member.state == PH_MEMBER_DEAD || e->member.state == PH_MEMBER_LEFT;
    if (gone && kind != PH_MEMBER_NEWS &&
        m->now - e->told >= m->times.probe_interval) {
        e->told = m->now;
        PhMembers_SendPing(m, e, ++m->sequence);
    }
    return e;
}

/* Requests all records once digests have differed for DIFFER_LIMIT. */
static void
compare_digest(PhMembership *m, PhEntry *from, uint64_t digest)
{
    if (digest == m->digest) {
        m->differs_since = 0;
    }
    else if (m->differs_since == 0) {
        m->differs_since = m->now;
    }
    else if (m->now - m->differs_since >= DIFFER_LIMIT) {
        m->differs_since = m->now;
        PhMembers_AskSync(m, from->member.id, from->member.address);
    }
}

static void
take_ping(PhMembership *m, PhEntry *from, const PhMemberPing *ping)
{
    PhMemberMessage ack = {
        .kind = PH_MEMBER_ACK,
        .as.ack = {.sequence = ping->sequence, .digest = m->digest}};
    PhMembers_Send(m, from, ack);
    compare_digest(m, from, ping->digest);
}

static void
take_message(PhMembership *m, PhStr from, const PhMemberMessage *message)
{
    m->syncing = message->kind == PH_MEMBER_SYNC;
    for (size_t i = 0; i < message->record_count; i++) {
        PhMembers_MergeRecord(m, &message->records[i]);
    }
    m->syncing = false;
    PhEntry *e = note_sender(m, from, message->kind);
    if (e == NULL) {
        return;
    }
    switch (message->kind) {
    case PH_MEMBER_PING:
        take_ping(m, e, &message->as.ping);
        return;
    case PH_MEMBER_ACK:
        compare_digest(m, e, message->as.ack.digest);
        PhMembers_TakeAck(m, message->as.ack.sequence);
        return;
    case PH_MEMBER_PROBE:
        PhMembers_Relay(m, e, &message->as.probe);
        return;
    case PH_MEMBER_SYNC_REQUEST:
        PhMembers_SendSync(m, e);
        return;
    case PH_MEMBER_SYNC:
    case PH_MEMBER_NEWS:
        return;
    }
}

/* Replaces the candidate addresses, leaving out the own one. */
static void
take_candidates(PhMembership *m, const PhStr *addresses, size_t count)
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
drain(PhMembership *m)
{
    PhMember *self = &m->self->member;
    if (self->state == PH_MEMBER_LEFT || self->draining) {
        return;
    }
    self->draining = true;
    PhEntry_Change(m, m->self, PH_MEMBER_ALIVE, self->incarnation + 1);
}

static void
leave(PhMembership *m)
{
    PhMember *self = &m->self->member;
    if (self->state == PH_MEMBER_LEFT) {
        return;
    }
    self->draining = true;
    PhEntry_Change(m, m->self, PH_MEMBER_LEFT, self->incarnation + 1);
    PhMembers_TellLeave(m);
}

static void
take_event(PhMembership *m, const PhMembershipEvent *event)
{
    switch (event->kind) {
    case PH_MEMBERSHIP_WOKEN:
        return;
    case PH_MEMBERSHIP_MESSAGE:
        take_message(m, event->as.message.from, event->as.message.message);
        return;
    case PH_MEMBERSHIP_CANDIDATES:
        take_candidates(m, event->as.candidates.addresses,
                        event->as.candidates.count);
        return;
    case PH_MEMBERSHIP_PLATFORM_HEARD:
        m->platform_heard = m->now;
        return;
    case PH_MEMBERSHIP_DRAIN:
        drain(m);
        return;
    case PH_MEMBERSHIP_LEAVE:
        leave(m);
        return;
    }
}

/* Appends the actions that follow from any event. */
static void
finish(PhMembership *m)
{
    PhTime next = m->self->member.state == PH_MEMBER_LEFT
                      ? PH_TIME_NEVER
                      : PhMembers_NextDue(m);
    Ph_INVARIANT(PH_INVARIANT_MEMBER, next > m->now,
                 "next=%" G_GINT64_FORMAT " now=%" G_GINT64_FORMAT, next,
                 m->now);
    if (next != m->wake) {
        PhMembershipAction a = {.kind = PH_MEMBERSHIP_WAKE, .as.wake = next};
        g_array_append_val(m->actions, a);
        m->wake = next;
    }
    if (m->changed) {
        PhMembershipAction a = {.kind = PH_MEMBERSHIP_VIEW_CHANGED};
        g_array_append_val(m->actions, a);
        m->changed = false;
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
    take_event(m, event);
    PhMembers_DoDue(m);
    PhMembers_CheckHearing(m);
    finish(m);
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
        g_array_append_val(list, ((PhEntry *)value)->member);
    }
    g_array_sort(list, member_compare);
    return list;
}

PhMemberState
PhMembership_State(const PhMembership *membership, PhStr id)
{
    const PhEntry *e = PhEntry_Find(membership, id);
    return e == NULL ? PH_MEMBER_DEAD : e->member.state;
}

uint64_t
PhMembership_Incarnation(const PhMembership *membership)
{
    return membership->self->member.incarnation;
}

PhMembershipHearing
PhMembership_Hearing(const PhMembership *membership)
{
    return membership->hearing;
}
