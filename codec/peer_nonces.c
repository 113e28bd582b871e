#include "peridothill/codec/peer_session.h"

struct PhPeerNonces {
    size_t capacity;
    GHashTable *seen; /* PhStr keys, owned */
    GQueue order;     /* the same keys, oldest first */
};

PhPeerNonces *
PhPeerNonces_Create(size_t capacity)
{
    PhPeerNonces *nonces = g_new0(PhPeerNonces, 1);
    nonces->capacity = capacity;
    nonces->seen = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                         PhStr_KeyDestroy, NULL);
    g_queue_init(&nonces->order);
    return nonces;
}

void
PhPeerNonces_Destroy(PhPeerNonces *nonces)
{
    if (nonces == NULL) {
        return;
    }
    g_queue_clear(&nonces->order);
    g_hash_table_destroy(nonces->seen);
    g_free(nonces);
}

bool
PhPeerNonces_Add(PhPeerNonces *nonces, PhStr nonce)
{
    if (g_hash_table_contains(nonces->seen, &nonce)) {
        return false;
    }
    if (g_queue_get_length(&nonces->order) >= nonces->capacity) {
        g_hash_table_remove(nonces->seen, g_queue_pop_head(&nonces->order));
    }
    PhStr *key = PhStr_KeyCreate(nonce);
    g_hash_table_add(nonces->seen, key);
    g_queue_push_tail(&nonces->order, key);
    return true;
}
