/* Non-blocking TCP sockets by IP number and port. */
#ifndef PERIDOTHILL_SERVICES_MEMBERS_PEER_SOCKET_H
#define PERIDOTHILL_SERVICES_MEMBERS_PEER_SOCKET_H

#include "peridothill/common/str.h"

/* Opens a listening socket; `port` gets its port.  The descriptor, or -1. */
int PhPeerSocket_Listen(PhStr address, uint16_t *port);
/* Accepts one connection; -1 when there is none. */
int PhPeerSocket_Accept(int listen_fd);
/* Starts to connect; -1 when the address is invalid or refused at once. */
int PhPeerSocket_Connect(PhStr address);
/* Tells whether the connection that was started is there. */
bool PhPeerSocket_IsConnected(int fd);

#endif
