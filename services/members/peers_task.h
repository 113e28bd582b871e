#ifndef PERIDOTHILL_SERVICES_MEMBERS_PEERS_TASK_H
#define PERIDOTHILL_SERVICES_MEMBERS_PEERS_TASK_H

#include "peer_link.h"
#include "peridothill/common/random.h"

enum {
    LINKS_MAX = 1024,
    HANDSHAKES_MAX = 64, /* accepted links in the handshake */
};

typedef struct PhPeersTask {
    PhPeerIdentity identity; /* owns its strings */
    PhPeerNonces *nonces;
    PhRandom *random;
    int listen_fd;
    uint16_t port;
    PhTaskRef listeners[PH_CHANNEL_LIMIT];
    PhTaskRef members;     /* task whose views provide addresses */
    GHashTable *links;     /* descriptor to PhPeerLink */
    GHashTable *by_member; /* id to latest ready PhPeerLink */
    GHashTable *addresses; /* id to address, from the latest view */
    GHashTable *back_offs; /* address to PhBackOff */
    PhTime tick_due;
    bool stopping;
} PhPeersTask;

/* Reason why a link is closed. The numbers appear in the process log. */
typedef enum PhLinkEnd {
    PH_LINK_END_BY_PEER,
    PH_LINK_END_FAILED,
    PH_LINK_END_REFUSED,
    PH_LINK_END_HANDSHAKE,
    PH_LINK_END_SILENT,
    PH_LINK_END_IDLE,
    PH_LINK_END_SELF,
    PH_LINK_END_LIMIT,
} PhLinkEnd;

/* peers_links.c */
void PhPeers_Count(PhTask *self, PhCounter counter, uint64_t amount);
/* Adds a link to the tables and watches its socket. */
void PhPeers_AddLink(PhPeersTask *p, PhTask *self, PhPeerLink *link);
/* Closes and releases a link. A dialled address that failed is backed off. */
void PhPeers_CloseLink(PhPeersTask *p, PhTask *self, PhPeerLink *link,
                       PhLinkEnd end);
/* Finds the link to a member or address, or dials one. Returns NULL, and
 * counts the reason, if neither is possible. */
PhPeerLink *PhPeers_FindLink(PhPeersTask *p, PhTask *self,
                             const PhPeersSend *send);
/* Writes queued output, and watches for writability while some remains.
 * Returns false if the link was closed. */
bool PhPeers_FlushLink(PhPeersTask *p, PhTask *self, PhPeerLink *link);
/* Pings, replaces or closes links whose timeouts have passed. `late` is how
 * late the tick is, by a pause of this process. */
void PhPeers_CheckLinks(PhPeersTask *p, PhTask *self, PhTime late);
void PhPeers_ClearBackOff(PhPeersTask *p, PhStr address);

/* peers_receive.c */
/* Processes all complete frames that a link has read. */
void PhPeers_ProcessFrames(PhPeersTask *p, PhTask *self, PhPeerLink *link);

#endif
