/* Socket addresses. */
#ifndef PERIDOTHILL_SERVICES_ADDRESS_H
#define PERIDOTHILL_SERVICES_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>

#include "peridothill/common/str.h"

/* Parses "IP:port" (IPv4). Returns false if the text is invalid. */
bool PhAddress_Parse(PhStr text, struct sockaddr_in *address);

#endif
