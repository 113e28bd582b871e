/* A connection to a peer with its socket, session and queues. */
#ifndef PERIDOTHILL_SERVICES_MEMBERS_PEER_LINK_H
#define PERIDOTHILL_SERVICES_MEMBERS_PEER_LINK_H

#include "peridothill/codec/peer_session.h"
#include "peridothill/services/peers.h"

enum {
    LINK_OUT_MAX_BYTES = 256 * 1024,
    LINK_WAITING_MAX = 64, /* payloads queued during the handshake */
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
    PhStr address; /* dialled address; empty if the peer connected */
    PhBuf in;
    PhBuf out;
    GQueue waiting; /* PhPeersSend, until the link is ready */
    PhTime opened_at;
    PhTime used_at;          /* last payload in either direction */
    PhTime unanswered_since; /* first send without an answer, or 0 */
    PhTime pinged_at;        /* when the unanswered ping was sent, or 0 */
    bool watched_write;      /* the event loop watches for writability */
} PhPeerLink;

/* Starts to connect. Returns NULL if the address is invalid or no socket can
 * be opened. */
PhPeerLink *PhPeerLink_Dial(PhStr address, const PhPeerIdentity *identity,
                            PhPeerNonces *nonces, PhTime now);
/* Creates a link for an accepted socket and takes ownership of it. */
PhPeerLink *PhPeerLink_Accept(int fd, const PhPeerIdentity *identity,
                              PhPeerNonces *nonces, PhTime now);
/* Closes the socket, which must no longer be watched. */
void PhPeerLink_Destroy(PhPeerLink *link);
/* Queues a payload; it is copied until the link is ready. Returns FULL if the
 * queue is full. */
PhStatus PhPeerLink_Send(PhPeerLink *link, const PhPeersSend *send,
                         PhTime now);
/* Reads available input into `in`. Returns GONE if the peer has closed the
 * connection, IO on an error. */
PhStatus PhPeerLink_Read(PhPeerLink *link, size_t *bytes);
/* Writes as much queued output as the socket accepts. */
PhStatus PhPeerLink_Flush(PhPeerLink *link, size_t *bytes);
/* Completes connecting once the socket is writable, and sends the greeting. */
PhStatus PhPeerLink_Connected(PhPeerLink *link);
/* Records that the peer owes an answer. */
void PhPeerLink_MarkSent(PhPeerLink *link, PhTime now);
/* Records that the peer has sent something. */
void PhPeerLink_MarkReceived(PhPeerLink *link);

#endif
