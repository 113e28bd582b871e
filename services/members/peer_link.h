/* One connection to a peer: its socket, its session and its queues. */
#ifndef PERIDOTHILL_SERVICES_MEMBERS_PEER_LINK_H
#define PERIDOTHILL_SERVICES_MEMBERS_PEER_LINK_H

#include "peridothill/codec/peer_session.h"
#include "peridothill/services/peers.h"

enum {
    LINK_OUT_MAX_BYTES = 256 * 1024,
    LINK_WAITING_MAX = 64, /* payloads before the peer is proved */
};

typedef enum PhLinkStage {
    PH_LINK_CONNECTING,
    PH_LINK_GREETING,
    PH_LINK_READY,
} PhLinkStage;

typedef struct PhPeerLink {
    int fd;
    PhLinkStage stage;
    PhPeerSession *session;
    PhStr address; /* that was dialled; empty when the peer connected */
    PhBuf in;
    PhBuf out;
    GQueue waiting; /* PhPeersSend until the link is ready */
    PhTime opened;
    PhTime used;       /* last payload in either direction */
    PhTime unanswered; /* first bytes sent since the peer was heard, or 0 */
    PhTime pinged;     /* ping that waits for its answer, or 0 */
    bool watched_write;
} PhPeerLink;

/* Starts to connect; NULL when the address is invalid or no socket can be
 * had. */
PhPeerLink *PhPeerLink_Dial(PhStr address, const PhPeerIdentity *identity,
                            PhPeerNonces *nonces, PhTime now);
/* Takes a connection that was accepted. */
PhPeerLink *PhPeerLink_Accept(int fd, const PhPeerIdentity *identity,
                              PhPeerNonces *nonces, PhTime now);
/* Closes the socket, which must not be watched any more. */
void PhPeerLink_Destroy(PhPeerLink *link);
/* Queues a payload, or a copy of it until the link is ready.  FULL when
 * there is no room. */
PhStatus PhPeerLink_Send(PhPeerLink *link, const PhPeersSend *send,
                         PhTime now);
/* Reads what has arrived into `in`; GONE when the peer has closed, IO on an
 * error. */
PhStatus PhPeerLink_Read(PhPeerLink *link, size_t *bytes);
/* Writes what the socket takes. */
PhStatus PhPeerLink_Flush(PhPeerLink *link, size_t *bytes);
/* Ends the connecting stage once the socket is writable. */
PhStatus PhPeerLink_Connected(PhPeerLink *link);
/* Notes that something was sent, or that the peer was heard. */
void PhPeerLink_Sent(PhPeerLink *link, PhTime now);
void PhPeerLink_Heard(PhPeerLink *link);

#endif
