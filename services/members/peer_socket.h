/* Non-blocking TCP sockets addressed by IP:port. */
#ifndef PERIDOTHILL_SERVICES_MEMBERS_PEER_SOCKET_H
#define PERIDOTHILL_SERVICES_MEMBERS_PEER_SOCKET_H

#include "peridothill/common/str.h"

/* Sets `port` to the bound port. Returns the descriptor, or -1. */
int PhPeerSocket_Listen(PhStr address, uint16_t *port);
/* Accepts one connection; -1 if none is pending. */
int PhPeerSocket_Accept(int listen_fd);
/* Starts to connect; -1 if the address is invalid or the connection fails at
 * once. */
int PhPeerSocket_Connect(PhStr address);
/* True if the connection that was started is established. */
bool PhPeerSocket_IsConnected(int fd);

#endif
