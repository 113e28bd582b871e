#include "peridothill/common/invariant.h"
#include "state.h"

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
news_taken(PhMembership *m, GList *link)
{
    PhEntry *e = link->data;
    e->sends--;
    if (e->sends == 0) {
        e->fresh = false;
        g_queue_delete_link(&m->news, link);
    }
}

/* Piggybacks updates on a message. A receiver that is not considered alive
 * gets only its own record, so that it can refute; other updates would mostly
 * be lost. */
static void
news_add(PhMembership *m, const PhEntry *to, PhMemberMessage *message)
{
    guint left = MIN(g_queue_get_length(&m->news), NEWS_IN_MESSAGE);
    if (to->member.state != PH_MEMBER_ALIVE) {
        record_add(message, &to->member);
        return;
    }
    for (GList *link = m->news.head; left > 0; left--) {
        GList *next = link->next;
        PhEntry *e = link->data;
        if (e != to) {
            record_add(message, &e->member);
            news_taken(m, link);
        }
        link = next;
    }
}

void
PhMembers_Send(PhMembership *m, PhEntry *to, PhMemberMessage message)
{
    Ph_INVARIANT(PH_INVARIANT_MEMBER, to != m->self, "kind=%d", message.kind);
    news_add(m, to,
             action_send(m, to->member.id, to->member.address, &message));
}

void
PhMembers_SendPing(PhMembership *m, PhEntry *to, uint64_t sequence)
{
    PhMemberMessage ping = {
        .kind = PH_MEMBER_PING,
        .as.ping = {.sequence = sequence, .digest = m->digest}};
    PhMembers_Send(m, to, ping);
}

/* The request carries the own record, and that of a receiver that is not
 * considered alive. */
void
PhMembers_AskSync(PhMembership *m, PhStr member, PhStr address)
{
    PhMemberMessage request = {.kind = PH_MEMBER_SYNC_REQUEST};
    PhEntry *e = PhEntry_Find(m, member);
    PhMembers_Report(m, PH_MEMBERSHIP_SYNC_ASKED, member);
    PhMemberMessage *sent = action_send(m, member, address, &request);
    record_add(sent, &m->self->member);
    if (e != NULL && e->member.state != PH_MEMBER_ALIVE) {
        record_add(sent, &e->member);
    }
}

/* Sends all records, split into messages of PH_MEMBER_RECORDS_MAX. */
void
PhMembers_SendSync(PhMembership *m, PhEntry *to)
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
        record_add(sent, &((PhEntry *)value)->member);
    }
}

static void
tell_leave(PhMembership *m, GPtrArray *order, guint most)
{
    const PhMemberMessage news = {.kind = PH_MEMBER_NEWS};
    guint start =
        order->len == 0 ? 0 : (guint)PhRandom_Below(m->random, order->len);
    for (guint i = 0; i < MIN(order->len, most); i++) {
        PhEntry *to = g_ptr_array_index(order, (start + i) % order->len);
        record_add(action_send(m, to->member.id, to->member.address, &news),
                   &m->self->member);
    }
}

void
PhMembers_TellLeave(PhMembership *m)
{
    tell_leave(m, m->near, LEAVE_TOLD);
    tell_leave(m, m->far, LEAVE_TOLD / 2);
}

/* Sends updates to up to `most` live members, from a random position on. */
static void
push_news(PhMembership *m, GPtrArray *order, guint most)
{
    guint sent = 0;
    guint start =
        order->len == 0 ? 0 : (guint)PhRandom_Below(m->random, order->len);
    for (guint i = 0; i < order->len && sent < most; i++) {
        PhEntry *to = g_ptr_array_index(order, (start + i) % order->len);
        if (to->member.state == PH_MEMBER_ALIVE) {
            PhMembers_Send(m, to, (PhMemberMessage){.kind = PH_MEMBER_NEWS});
            sent++;
        }
    }
}

void
PhMembers_PushNews(PhMembership *m)
{
    push_news(m, m->near, PUSHED_NEAR);
    push_news(m, m->far, PUSHED_FAR);
}
