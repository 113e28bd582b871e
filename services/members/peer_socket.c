#include "peer_socket.h"

#include <errno.h>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    LISTEN_BACKLOG = 128,
};

/* Parses "IP:port" or "[IP]:port" without name resolution. Returns NULL if
 * invalid; the caller frees the result with freeaddrinfo(). */
static struct addrinfo *
address_parse(PhStr address)
{
    struct addrinfo hints = {.ai_family = AF_UNSPEC,
                             .ai_socktype = SOCK_STREAM,
                             .ai_flags = AI_NUMERICHOST | AI_NUMERICSERV};
    struct addrinfo *info = NULL;
    char *text = PhStr_ToC(address);
    char *colon = strrchr(text, ':');
    char *host = text;
    if (colon != NULL && colon > text) {
        *colon = '\0';
        if (host[0] == '[' && colon[-1] == ']') {
            colon[-1] = '\0';
            host++;
        }
        if (getaddrinfo(host, colon + 1, &hints, &info) != 0) {
            info = NULL;
        }
    }
    g_free(text);
    return info;
}

/* Opens a non-blocking socket that sends small frames without delay. */
static int
socket_open(const struct addrinfo *info)
{
    int one = 1;
    int fd = socket(info->ai_family,
                    info->ai_socktype | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd >= 0) {
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    }
    return fd;
}

static uint16_t
socket_port(int fd)
{
    union {
        struct sockaddr any;
        struct sockaddr_in v4;
        struct sockaddr_in6 v6;
    } bound = {.v6 = {0}};
    socklen_t len = sizeof(bound);
    if (getsockname(fd, &bound.any, &len) != 0) {
        return 0;
    }
    return ntohs(bound.any.sa_family == AF_INET6 ? bound.v6.sin6_port
                                                 : bound.v4.sin_port);
}

int
PhPeerSocket_Listen(PhStr address, uint16_t *port)
{
    struct addrinfo *info = address_parse(address);
    int one = 1;
    if (info == NULL) {
        return -1;
    }
    int fd = socket_open(info);
    if (fd >= 0) {
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        if (bind(fd, info->ai_addr, info->ai_addrlen) != 0 ||
            listen(fd, LISTEN_BACKLOG) != 0) {
            close(fd);
            fd = -1;
        }
        else {
            *port = socket_port(fd);
        }
    }
    freeaddrinfo(info);
    return fd;
}

int
PhPeerSocket_Accept(int listen_fd)
{
    int one = 1;
    int fd = accept4(listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    }
    return fd;
}

int
PhPeerSocket_Connect(PhStr address)
{
    struct addrinfo *info = address_parse(address);
    if (info == NULL) {
        return -1;
    }
    int fd = socket_open(info);
    if (fd >= 0 && connect(fd, info->ai_addr, info->ai_addrlen) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        fd = -1;
    }
    freeaddrinfo(info);
    return fd;
}

bool
PhPeerSocket_IsConnected(int fd)
{
    int error = 0;
    socklen_t len = sizeof(error);
    return getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) == 0 &&
           error == 0;
}
