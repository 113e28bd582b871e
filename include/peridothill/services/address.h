/* Addresses of sockets. */
#ifndef PERIDOTHILL_SERVICES_ADDRESS_H
#define PERIDOTHILL_SERVICES_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>

#include "peridothill/common/str.h"

/* Reads "IP:port"; false when the text is none. */
bool PhAddress_Parse(PhStr text, struct sockaddr_in *address);

#endif
