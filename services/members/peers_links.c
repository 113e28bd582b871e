#include "peers_task.h"

#include "peridothill/common/invariant.h"

/* Time for a link to complete the handshake. */
#define HANDSHAKE_TIMEOUT_NS (5 * PH_NS_PER_S)
/* Silence after a send until a ping is sent, and after the ping until the link
 * is replaced. */
#define PING_AFTER_NS (2 * PH_NS_PER_S)
#define REPLACE_AFTER_NS (3 * PH_NS_PER_S)
#define IDLE_TIMEOUT_NS (120 * PH_NS_PER_S)
#define BACK_OFF_MIN_NS (500 * PH_NS_PER_MS)
#define BACK_OFF_MAX_NS (15 * PH_NS_PER_S)

typedef struct PhBackOff {
    PhTime until; /* the address is not dialled before */
    PhTime delay;
} PhBackOff;

void
PhPeers_Count(PhTask *self, PhCounter counter, uint64_t amount)
{
    PhCounters_Add(PhKernel_Counters(PhTask_Kernel(self)), counter, amount);
}

/* Watches a socket for reading, and for writing while it connects or output is
 * queued. */
static void
link_watch(PhTask *self, PhPeerLink *link)
{
    link->watched_write =
        link->stage == PH_LINK_CONNECTING || link->out.len > 0;
    PhTask_Watch(self, link->fd,
                 PH_IO_READ | (link->watched_write ? PH_IO_WRITE : 0));
}

void
PhPeers_AddLink(PhPeersTask *p, PhTask *self, PhPeerLink *link)
{
    Ph_INVARIANT(PH_INVARIANT_KERNEL,
                 !g_hash_table_contains(p->links, GINT_TO_POINTER(link->fd)) &&
                     g_hash_table_size(p->links) < LINKS_MAX,
                 "fd=%d links=%u", link->fd, g_hash_table_size(p->links));
    g_hash_table_insert(p->links, GINT_TO_POINTER(link->fd), link);
    link_watch(self, link);
}

/* Doubles the delay before an address is dialled again, with jitter. */
static void
back_off(PhPeersTask *p, PhStr address, PhTime now)
{
    PhBackOff *b = g_hash_table_lookup(p->back_offs, &address);
    if (b == NULL) {
        b = g_new0(PhBackOff, 1);
        g_hash_table_insert(p->back_offs, PhStr_KeyCreate(address), b);
    }
    b->delay = CLAMP(b->delay * 2, BACK_OFF_MIN_NS, BACK_OFF_MAX_NS);
    b->until = now + b->delay / 2 +
               (PhTime)PhRandom_Below(p->random, (uint64_t)b->delay / 2);
}

void
PhPeers_ClearBackOff(PhPeersTask *p, PhStr address)
{
    g_hash_table_remove(p->back_offs, &address);
}

/* Counter of a reason; `failed` tells whether the address is to be backed
 * off. */
static PhCounter
end_counter(PhLinkEnd end, bool *failed)
{
    *failed = false;
    switch (end) {
    case PH_LINK_END_BY_PEER:
        return PH_COUNTER_PEER_CLOSE_BY_PEER;
    case PH_LINK_END_FAILED:
        *failed = true;
        return PH_COUNTER_PEER_CLOSE_FAILED;
    case PH_LINK_END_REFUSED:
        *failed = true;
        return PH_COUNTER_PEER_CLOSE_REFUSED;
    case PH_LINK_END_HANDSHAKE:
        *failed = true;
        return PH_COUNTER_PEER_CLOSE_HANDSHAKE;
    case PH_LINK_END_SILENT:
        return PH_COUNTER_PEER_CLOSE_SILENT;
    case PH_LINK_END_IDLE:
        return PH_COUNTER_PEER_CLOSE_IDLE;
    case PH_LINK_END_SELF:
        *failed = true;
        return PH_COUNTER_PEER_CLOSE_SELF;
    case PH_LINK_END_LIMIT:
        return PH_COUNTER_PEER_CLOSE_LIMIT;
    }
    return PH_COUNTER_PEER_CLOSE_FAILED;
}

void
PhPeers_CloseLink(PhPeersTask *p, PhTask *self, PhPeerLink *link,
                  PhLinkEnd end)
{
    PhStr member = PhPeerSession_Member(link->session);
    bool failed;
    PhPeers_Count(self, end_counter(end, &failed), 1);
    /* A peer that closes during the handshake has not accepted the link. */
    failed |= link->stage != PH_LINK_READY;
    if (!PhStr_IsEmpty(link->address) && failed) {
        back_off(p, link->address, PhTask_Now(self));
    }
    PhPeers_Count(self, PH_COUNTER_PEER_SEND_LINK_CLOSED,
                  g_queue_get_length(&link->waiting));
    PhTask_LOG(self, PH_EVENT_PEER_LINK_CLOSED, PhField_STR("member", member),
               PhField_STR("address", link->address),
               PhField_I64("reason", end));
    if (g_hash_table_lookup(p->by_member, &member) == link) {
        g_hash_table_remove(p->by_member, &member);
    }
    g_hash_table_remove(p->links, GINT_TO_POINTER(link->fd));
    PhTask_Watch(self, link->fd, 0);
    PhPeerLink_Destroy(link);
}

static PhPeerLink *
find_dialled(const PhPeersTask *p, PhStr address)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, p->links);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PhPeerLink *link = value;
        if (PhStr_Equal(link->address, address)) {
            return link;
        }
    }
    return NULL;
}

/* Dials an address unless it is backed off. */
static PhPeerLink *
dial(PhPeersTask *p, PhTask *self, PhStr address)
{
    PhTime now = PhTask_Now(self);
    PhBackOff *b = g_hash_table_lookup(p->back_offs, &address);
    if (b != NULL && now < b->until) {
        PhPeers_Count(self, PH_COUNTER_PEER_SEND_BACK_OFF, 1);
        return NULL;
    }
    if (g_hash_table_size(p->links) >= LINKS_MAX) {
        PhPeers_Count(self, PH_COUNTER_PEER_SEND_LINKS_FULL, 1);
        return NULL;
    }
    PhPeerLink *link = PhPeerLink_Dial(address, &p->identity, p->nonces, now);
    if (link == NULL) {
        back_off(p, address, now);
        PhPeers_Count(self, PH_COUNTER_PEER_CLOSE_FAILED, 1);
        PhPeers_Count(self, PH_COUNTER_PEER_SEND_LINK_CLOSED, 1);
        return NULL;
    }
    PhPeers_Count(self, PH_COUNTER_PEER_LINKS_DIALLED, 1);
    PhPeers_AddLink(p, self, link);
    return link;
}

PhPeerLink *
PhPeers_FindLink(PhPeersTask *p, PhTask *self, const PhPeersSend *send)
{
    PhStr address = send->address;
    PhPeerLink *link = PhStr_IsEmpty(send->member)
                           ? NULL
                           : g_hash_table_lookup(p->by_member, &send->member);
    if (link != NULL) {
        return link;
    }
    if (PhStr_IsEmpty(address)) {
        const PhStr *known = g_hash_table_lookup(p->addresses, &send->member);
        address = known == NULL ? (PhStr){0} : *known;
    }
    if (PhStr_IsEmpty(address)) {
        PhPeers_Count(self, PH_COUNTER_PEER_SEND_NO_ADDRESS, 1);
        return NULL;
    }
    link = find_dialled(p, address);
    return link != NULL ? link : dial(p, self, address);
}

bool
PhPeers_FlushLink(PhPeersTask *p, PhTask *self, PhPeerLink *link)
{
    size_t bytes;
    if (link->stage == PH_LINK_CONNECTING) {
        return true;
    }
    PhStatus status = PhPeerLink_Flush(link, &bytes);
    PhPeers_Count(self, PH_COUNTER_PEER_BYTES_SENT, bytes);
    if (status != PH_STATUS_OK) {
        PhPeers_CloseLink(p, self, link, PH_LINK_END_FAILED);
        return false;
    }
    if (link->watched_write != (link->out.len > 0)) {
        link_watch(self, link);
    }
    return true;
}

/* Replaces a silent link by a new one to the same member. */
static void
link_replace(PhPeersTask *p, PhTask *self, PhPeerLink *link)
{
    PhPeersSend peer = {.member =
                            PhStr_Dup(PhPeerSession_Member(link->session)),
                        .address = PhStr_Dup(link->address)};
    PhTask_LOG(self, PH_EVENT_PEER_LINK_SILENT,
               PhField_STR("member", peer.member),
               PhField_STR("address", peer.address));
    PhPeers_CloseLink(p, self, link, PH_LINK_END_SILENT);
    PhPeers_FindLink(p, self, &peer);
    PhStr_Clear(&peer.member);
    PhStr_Clear(&peer.address);
}

static void
link_check(PhPeersTask *p, PhTask *self, PhPeerLink *link)
{
    PhTime now = PhTask_Now(self);
    if (link->stage != PH_LINK_READY) {
        if (now - link->opened_at > HANDSHAKE_TIMEOUT_NS) {
            PhPeers_CloseLink(p, self, link, PH_LINK_END_HANDSHAKE);
        }
        return;
    }
    if (link->pinged_at != 0 && now - link->pinged_at > REPLACE_AFTER_NS) {
        link_replace(p, self, link);
        return;
    }
    if (link->pinged_at == 0 && link->unanswered_since != 0 &&
        now - link->unanswered_since > PING_AFTER_NS) {
        link->pinged_at = now;
        PhPeerSession_Ping(link->session, &link->out);
        PhPeers_FlushLink(p, self, link);
        return;
    }
    if (now - link->used_at > IDLE_TIMEOUT_NS) {
        PhPeers_CloseLink(p, self, link, PH_LINK_END_IDLE);
    }
}

/* Extends the timeouts of a link by the length of a pause of this process. */
static void
link_extend_timeouts(PhPeerLink *link, PhTime late)
{
    link->opened_at += late;
    link->unanswered_since += link->unanswered_since == 0 ? 0 : late;
    link->pinged_at += link->pinged_at == 0 ? 0 : late;
}

void
PhPeers_CheckLinks(PhPeersTask *p, PhTask *self, PhTime late)
{
    GList *all = g_hash_table_get_values(p->links);
    for (GList *i = all; i != NULL; i = i->next) {
        link_extend_timeouts(i->data, late);
        link_check(p, self, i->data);
    }
    g_list_free(all);
}
