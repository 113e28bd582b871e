#include "peridothill/services/address.h"

#include <arpa/inet.h>
#include <string.h>

enum {
    PORT_DIGITS_MAX = 5
};

bool
PhAddress_Parse(PhStr text, struct sockaddr_in *address)
{
    PhStr host;
    PhStr port_text;
    uint64_t port;
    char host_c[INET_ADDRSTRLEN] = {0};
    if (!PhStr_Cut(text, ':', &host, &port_text) ||
        port_text.len > PORT_DIGITS_MAX || !PhStr_ParseU64(port_text, &port) ||
        port > UINT16_MAX || host.len == 0 || host.len >= sizeof(host_c) ||
        memchr(host.data, '\0', host.len) != NULL) {
        return false;
    }
    memcpy(host_c, host.data, host.len);
    *address = (struct sockaddr_in){.sin_family = AF_INET,
                                    .sin_port = htons((uint16_t)port)};
    return inet_pton(AF_INET, host_c, &address->sin_addr) == 1;
}
