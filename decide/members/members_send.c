#include "membership_private.h"
#include "peridothill/common/invariant.h"

void
PhMembers_Report(PhMembership *m, PhMembershipReport what, PhStr member)
{
    PhMembershipAction a = {
        .kind = PH_MEMBERSHIP_REPORT,
        .as.report = {.what = what, .member = PhStr_Dup(member)}};
    g_array_append_val(m->actions, a);
}

/* Appends a SEND action, which takes ownership of what the message owns. The
 * result is valid until the next action is added. */
static PhMemberMessage *
action_send(PhMembership *m, PhStr member, PhStr address,
            const PhMemberMessage *message)
{
    PhMembershipAction a = {.kind = PH_MEMBERSHIP_SEND,
                            .as.send = {.member = PhStr_Dup(member),
                                        .address = PhStr_Dup(address),
                                        .message = *message}};
    g_array_append_val(m->actions, a);
    return &g_array_index(m->actions, PhMembershipAction, m->actions->len - 1)
                .as.send.message;
}

static void
record_add(PhMemberMessage *message, const PhMember *record)
{
    message->records =
        g_renew(PhMember, message->records, message->record_count + 1);
    message->records[message->record_count++] = PhMember_Copy(record);
}

/* Counts a transmission of an update. The latest update stays in front, so
 * that a backlog does not delay it. */
static void
update_sent(PhMembership *m, GList *link)
{
    PhMemberEntry *e = link->data;
    e->update_sends_left--;
    if (e->update_sends_left == 0) {
        e->update_queued = false;
        g_queue_delete_link(&m->updates, link);
    }
}

/* Piggybacks updates on a message. A receiver that is not considered alive
 * gets only its own record, so that it can refute; other updates would mostly
 * be lost. */
static void
updates_add(PhMembership *m, const PhMemberEntry *to, PhMemberMessage *message)
{
    guint left = MIN(g_queue_get_length(&m->updates), UPDATES_PER_MESSAGE);
    if (to->member.state != PH_MEMBER_ALIVE) {
        record_add(message, &to->member);
        return;
    }
    for (GList *link = m->updates.head; left > 0; left--) {
        GList *next = link->next;
        PhMemberEntry *e = link->data;
        if (e != to) {
            record_add(message, &e->member);
            update_sent(m, link);
        }
        link = next;
    }
}

void
PhMembers_Send(PhMembership *m, PhMemberEntry *to, PhMemberMessage message)
{
    Ph_INVARIANT(PH_INVARIANT_MEMBER, to != m->self, "kind=%d", message.kind);
    updates_add(m, to,
                action_send(m, to->member.id, to->member.address, &message));
}

void
PhMembers_SendPing(PhMembership *m, PhMemberEntry *to, uint64_t sequence)
{
    PhMemberMessage ping = {
        .kind = PH_MEMBER_PING,
        .as.ping = {.sequence = sequence, .digest = m->digest}};
    PhMembers_Send(m, to, ping);
}

/* The request carries the own record, and that of a receiver that is not
 * considered alive. */
void
PhMembers_RequestSync(PhMembership *m, PhStr member, PhStr address)
{
    PhMemberMessage request = {.kind = PH_MEMBER_SYNC_REQUEST};
    PhMemberEntry *e = PhMemberEntry_Find(m, member);
    PhMembers_Report(m, PH_MEMBERSHIP_SYNC_REQUESTED, member);
    PhMemberMessage *sent = action_send(m, member, address, &request);
    record_add(sent, &m->self->member);
    if (e != NULL && e->member.state != PH_MEMBER_ALIVE) {
        record_add(sent, &e->member);
    }
}

/* Sends all records, split into messages of PH_MEMBER_RECORDS_MAX. */
void
PhMembers_SendSync(PhMembership *m, PhMemberEntry *to)
{
    const PhMemberMessage sync = {.kind = PH_MEMBER_SYNC};
    PhMemberMessage *sent = NULL;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, m->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (sent == NULL || sent->record_count == PH_MEMBER_RECORDS_MAX) {
            sent = action_send(m, to->member.id, to->member.address, &sync);
        }
        record_add(sent, &((PhMemberEntry *)value)->member);
    }
}

static void
leave_announce(PhMembership *m, GPtrArray *order, guint most)
{
    const PhMemberMessage message = {.kind = PH_MEMBER_UPDATES};
    guint start =
        order->len == 0 ? 0 : (guint)PhRandom_Below(m->random, order->len);
    for (guint i = 0; i < MIN(order->len, most); i++) {
        PhMemberEntry *to = g_ptr_array_index(order, (start + i) % order->len);
        record_add(action_send(m, to->member.id, to->member.address, &message),
                   &m->self->member);
    }
}

void
PhMembers_AnnounceLeave(PhMembership *m)
{
    leave_announce(m, m->local, LEAVE_NOTIFIED);
    leave_announce(m, m->remote, LEAVE_NOTIFIED / 2);
}

/* Sends updates to up to `most` live members, from a random position on. */
static void
updates_push(PhMembership *m, GPtrArray *order, guint most)
{
    guint sent = 0;
    guint start =
        order->len == 0 ? 0 : (guint)PhRandom_Below(m->random, order->len);
    for (guint i = 0; i < order->len && sent < most; i++) {
        PhMemberEntry *to = g_ptr_array_index(order, (start + i) % order->len);
        if (to->member.state == PH_MEMBER_ALIVE) {
            PhMembers_Send(m, to,
                           (PhMemberMessage){.kind = PH_MEMBER_UPDATES});
            sent++;
        }
    }
}

void
PhMembers_PushUpdates(PhMembership *m)
{
    updates_push(m, m->local, PUSH_LOCAL_MEMBERS);
    updates_push(m, m->remote, PUSH_REMOTE_MEMBERS);
}
