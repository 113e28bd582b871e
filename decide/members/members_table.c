#include <string.h>

#include "peridothill/common/invariant.h"
#include "state.h"

PhEntry *
PhEntry_Find(const PhMembership *m, PhStr id)
{
    return g_hash_table_lookup(m->entries, &id);
}

void
PhEntry_Destroy(gpointer entry)
{
    PhEntry *e = entry;
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
digest_share(const PhMember *member)
{
    if (!is_live(member->state)) {
        return 0;
    }
    return PhStr_Hash(member->id,
                      member->incarnation * 2 + (member->draining ? 1 : 0));
}

static void
digest_update(PhMembership *m, PhEntry *e)
{
    m->digest ^= e->share;
    e->share = digest_share(&e->member);
    m->digest ^= e->share;
}

/* Counts members that have not left. The first one starts the clock of its
 * group, as there is now somebody to hear from. */
static void
known_update(PhMembership *m, PhEntry *e, bool known)
{
    size_t *count = e->near ? &m->near_known : &m->far_known;
    PhTime *heard = e->near ? &m->near_heard : &m->far_heard;
    if (e == m->self || e->known == known) {
        return;
    }
    if (known && *count == 0) {
        *heard = m->now;
    }
    *count += known ? 1 : (size_t)-1;
    e->known = known;
}

/* Inserts a live member at a random position of its probe order. */
static void
order_add(PhMembership *m, PhEntry *e)
{
    GPtrArray *order = e->near ? m->near : m->far;
    guint at = (guint)PhRandom_Below(m->random, order->len + 1);
    g_ptr_array_insert(order, (gint)at, e);
    e->listed = true;
}

/* Moves an entry to the list that matches its state. */
static void
entry_place(PhMembership *m, PhEntry *e)
{
    bool live = is_live(e->member.state);
    if (e == m->self) {
        return;
    }
    if (live && !e->listed) {
        order_add(m, e);
        g_queue_remove(&m->buried, e);
    }
    if (!live) {
        if (e->listed) {
            g_ptr_array_remove(e->near ? m->near : m->far, e);
            e->listed = false;
        }
        g_queue_remove(&m->buried, e);
        e->buried = m->now;
        g_queue_push_tail(&m->buried, e);
    }
}

/* A member learned from a sync is not gossiped: the sender knows it, and
 * others detect it by their digests. */
PhEntry *
PhEntry_Add(PhMembership *m, const PhMember *record)
{
    PhEntry *e = g_new0(PhEntry, 1);
    e->member = PhMember_Copy(record);
    e->near = m->self == NULL ||
              PhStr_Equal(record->data_centre, m->self->member.data_centre);
    if (m->self == NULL) {
        m->self = e;
    }
    g_hash_table_insert(m->entries, &e->member.id, e);
    digest_update(m, e);
    known_update(m, e, e->member.state != PH_MEMBER_LEFT);
    entry_place(m, e);
    if (!m->syncing) {
        PhEntry_Spread(m, e);
    }
    m->changed = true;
    return e;
}

/* An incarnation never decreases, and a dead or left member returns only with
 * a higher one. */
void
PhEntry_Change(PhMembership *m, PhEntry *e, PhMemberState state,
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
    known_update(m, e, e->member.state != PH_MEMBER_LEFT);
    entry_place(m, e);
    PhEntry_Spread(m, e);
    m->changed = true;
}

/* The number of transmissions grows with the logarithm of the cluster size, so
 * that an update reaches all members. */
void
PhEntry_Spread(PhMembership *m, PhEntry *e)
{
    guint size = g_hash_table_size(m->entries);
    e->sends = NEWS_SENDS_PER_LOG2 * g_bit_storage(size);
    if (e->fresh) {
        g_queue_remove(&m->news, e);
    }
    e->fresh = true;
    g_queue_push_head(&m->news, e);
    m->push_wanted = true;
}

void
PhMembers_Purge(PhMembership *m)
{
    PhEntry *e;
    while ((e = g_queue_peek_head(&m->buried)) != NULL &&
           m->now - e->buried >= m->times.keep_dead) {
        g_queue_pop_head(&m->buried);
        if (e->fresh) {
            g_queue_remove(&m->news, e);
        }
        known_update(m, e, false);
        m->changed = true;
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
        PhEntry *e = value;
        if (is_live(e->member.state) &&
            PhStr_Equal(e->member.address, address)) {
            return true;
        }
    }
    return false;
}
