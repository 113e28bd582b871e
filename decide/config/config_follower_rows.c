#include "decide/config/config_follower_internal.h"

void
PhPeerRow_Destroy(gpointer data)
{
    PhPeerRow *row = data;
    PhStr_Clear(&row->member);
    g_free(row);
}

PhPeerRow *
PhPeerRow_Find(const PhConfigFollower *f, PhStr member)
{
    return g_hash_table_lookup(f->by_member, &member);
}

/* Local rows first, each group by name. */
static gint
row_compare(gconstpointer a, gconstpointer b)
{
    const PhPeerRow *x = *(PhPeerRow *const *)a;
    const PhPeerRow *y = *(PhPeerRow *const *)b;
    if (x->local != y->local) {
        return x->local ? -1 : 1;
    }
    return PhStr_Compare(x->member, y->member);
}

/* Creates the row of a peer; keeps what its previous row holds. */
static PhPeerRow *
row_create(const PhConfigFollower *f, const PhConfigPeer *peer)
{
    const PhPeerRow *old = PhPeerRow_Find(f, peer->member);
    PhPeerRow *row = g_new0(PhPeerRow, 1);
    row->last_contact_at = -1;
    if (old != NULL) {
        *row = *old;
    }
    row->member = PhStr_Dup(peer->member);
    row->local = peer->local;
    return row;
}

void
PhFollowerPeers_Members(PhConfigFollower *f, PhTime now,
                        const PhConfigEvent *event, GArray *actions)
{
    GPtrArray *rows = g_ptr_array_new_with_free_func(PhPeerRow_Destroy);
    (void)now;
    (void)actions;
    f->local_count = 1;
    f->rank = 0;
    for (size_t i = 0; i < event->as.members.count; i++) {
        const PhConfigPeer *peer = &event->as.members.peers[i];
        g_ptr_array_add(rows, row_create(f, peer));
        f->local_count += peer->local;
        f->rank += peer->local &&
                   PhStr_Compare(peer->member, event->as.members.self) < 0;
    }
    g_ptr_array_sort(rows, row_compare);
    g_hash_table_remove_all(f->by_member);
    g_ptr_array_free(f->peers, TRUE);
    f->peers = rows;
    for (guint i = 0; i < rows->len; i++) {
        PhPeerRow *row = g_ptr_array_index(rows, i);
        g_hash_table_insert(f->by_member, &row->member, row);
    }
}

bool
PhFollowerPeers_HasSource(const PhConfigFollower *f, uint64_t next)
{
    for (guint i = 0; i < f->peers->len; i++) {
        const PhPeerRow *row = g_ptr_array_index(f->peers, i);
        if (row->last_contact_at >= 0 && !row->recovering &&
            row->digest_match >= 0 && row->next >= next) {
            return true;
        }
    }
    return false;
}

/* Reservoir sampling picks uniformly among the peers that are tied. */
PhPeerRow *
PhPeerRow_PickSource(const PhConfigFollower *f)
{
    PhPeerRow *best = NULL;
    uint64_t ties = 0;
    for (guint i = 0; i < f->peers->len; i++) {
        PhPeerRow *row = g_ptr_array_index(f->peers, i);
        if (row->recovering || row->digest_match < 0 ||
            row->next <= PhFollower_Next(f)) {
            continue;
        }
        bool tie = best != NULL && row->next == best->next;
        ties = tie ? ties + 1 : 1;
        if (best == NULL || row->next > best->next ||
            (tie && PhRandom_Below(f->options.random, ties) == 0)) {
            best = row;
        }
    }
    return best;
}
