#include <string.h>

#include "membership_private.h"
#include "peridothill/common/invariant.h"

PhMemberEntry *
PhMemberEntry_Find(const PhMembership *m, PhStr id)
{
    return g_hash_table_lookup(m->entries, &id);
}

void
PhMemberEntry_Destroy(gpointer entry)
{
    PhMemberEntry *e = entry;
    PhMember_Clear(&e->member);
    g_free(e);
}

static bool
is_live(PhMemberState state)
{
    return state == PH_MEMBER_ALIVE || state == PH_MEMBER_SUSPECT;
}

/* 0 unless the member is live. */
static uint64_t
member_digest(const PhMember *member)
{
    if (!is_live(member->state)) {
        return 0;
    }
    return PhStr_Hash(member->id,
                      member->incarnation * 2 + (member->draining ? 1 : 0));
}

static void
digest_update(PhMembership *m, PhMemberEntry *e)
{
    m->digest ^= e->digest_part;
    e->digest_part = member_digest(&e->member);
    m->digest ^= e->digest_part;
}

/* Counts members that have not left. The first one restarts the silence timer
 * of its group, which had no members before. */
static void
count_update(PhMembership *m, PhMemberEntry *e, bool counted)
{
    size_t *count = e->local ? &m->local_count : &m->remote_count;
    PhTime *last_contact =
        e->local ? &m->local_last_contact_at : &m->remote_last_contact_at;
    if (e == m->self || e->counted == counted) {
        return;
    }
    if (counted && *count == 0) {
        *last_contact = m->now;
    }
    *count += counted ? 1 : (size_t)-1;
    e->counted = counted;
}

/* Inserts a live member at a random position of its probe order. */
static void
order_add(PhMembership *m, PhMemberEntry *e)
{
    GPtrArray *order = e->local ? m->local : m->remote;
    guint at = (guint)PhRandom_Below(m->random, order->len + 1);
    g_ptr_array_insert(order, (gint)at, e);
    e->in_probe_order = true;
}

/* Moves an entry to the list that matches its state. */
static void
entry_relist(PhMembership *m, PhMemberEntry *e)
{
    bool live = is_live(e->member.state);
    if (e == m->self) {
        return;
    }
    if (live && !e->in_probe_order) {
        order_add(m, e);
        g_queue_remove(&m->departed, e);
    }
    if (!live) {
        if (e->in_probe_order) {
            g_ptr_array_remove(e->local ? m->local : m->remote, e);
            e->in_probe_order = false;
        }
        g_queue_remove(&m->departed, e);
        e->departed_at = m->now;
        g_queue_push_tail(&m->departed, e);
    }
}

/* A member learned from a sync is not gossiped: the sender knows it, and
 * others detect it by their digests. */
PhMemberEntry *
PhMemberEntry_Add(PhMembership *m, const PhMember *record)
{
    PhMemberEntry *e = g_new0(PhMemberEntry, 1);
    e->member = PhMember_Copy(record);
    e->local = m->self == NULL ||
               PhStr_Equal(record->data_centre, m->self->member.data_centre);
    if (m->self == NULL) {
        m->self = e;
    }
    g_hash_table_insert(m->entries, &e->member.id, e);
    digest_update(m, e);
    count_update(m, e, e->member.state != PH_MEMBER_LEFT);
    entry_relist(m, e);
    if (!m->syncing) {
        PhMemberEntry_QueueUpdate(m, e);
    }
    m->view_changed = true;
    return e;
}

/* An incarnation never decreases, and a dead or left member returns only with
 * a higher one. */
void
PhMemberEntry_SetState(PhMembership *m, PhMemberEntry *e, PhMemberState state,
                       uint64_t incarnation)
{
    bool returns = is_live(state) && !is_live(e->member.state);
    Ph_INVARIANT(PH_INVARIANT_MEMBER,
                 incarnation >= e->member.incarnation &&
                     (!returns || incarnation > e->member.incarnation),
                 "member=%.*s from=%d to=%d incarnation=%" G_GUINT64_FORMAT
                 " before=%" G_GUINT64_FORMAT,
                 PhStr_ARG(e->member.id), e->member.state, state, incarnation,
                 e->member.incarnation);
    e->member.state = state;
    e->member.incarnation = incarnation;
    digest_update(m, e);
    count_update(m, e, e->member.state != PH_MEMBER_LEFT);
    entry_relist(m, e);
    PhMemberEntry_QueueUpdate(m, e);
    m->view_changed = true;
}

/* The number of transmissions grows with the logarithm of the cluster size, so
 * that an update reaches all members. */
void
PhMemberEntry_QueueUpdate(PhMembership *m, PhMemberEntry *e)
{
    guint size = g_hash_table_size(m->entries);
    e->update_sends_left = UPDATE_SENDS_PER_LOG2 * g_bit_storage(size);
    if (e->update_queued) {
        g_queue_remove(&m->updates, e);
    }
    e->update_queued = true;
    g_queue_push_head(&m->updates, e);
    m->push_wanted = true;
}

void
PhMembers_Purge(PhMembership *m)
{
    PhMemberEntry *e;
    while ((e = g_queue_peek_head(&m->departed)) != NULL &&
           m->now - e->departed_at >= m->times.departed_retention) {
        g_queue_pop_head(&m->departed);
        if (e->update_queued) {
            g_queue_remove(&m->updates, e);
        }
        count_update(m, e, false);
        m->view_changed = true;
        g_hash_table_remove(m->entries, &e->member.id);
    }
}

bool
PhMembers_HasAddress(const PhMembership *m, PhStr address)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, m->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PhMemberEntry *e = value;
        if (is_live(e->member.state) &&
            PhStr_Equal(e->member.address, address)) {
            return true;
        }
    }
    return false;
}
