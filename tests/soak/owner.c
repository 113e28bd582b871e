/* Which process has the other end of a loopback connection, by what the
 * system tells of its sockets and, under /proc, of processes that the soak has
 * started. */
#include <arpa/inet.h>
#include <dirent.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "soak.h"

enum {
    TEXT_BYTES = 512
};

/* Inode of the socket of a loopback connection, 0 if there is none. */
static unsigned long
find_inode(uint16_t from, uint16_t port)
{
    struct {
        struct nlmsghdr header;
        struct inet_diag_req_v2 body;
    } query = {.header = {.nlmsg_len = sizeof(query),
                          .nlmsg_type = SOCK_DIAG_BY_FAMILY,
                          .nlmsg_flags = NLM_F_REQUEST},
               .body = {.sdiag_family = AF_INET,
                        .sdiag_protocol = IPPROTO_TCP,
                        .idiag_states = UINT32_MAX}};
    struct {
        struct nlmsghdr header;
        struct inet_diag_msg body;
        char more[TEXT_BYTES];
    } answer;
    struct inet_diag_sockid *id = &query.body.id;
    int fd = socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
    unsigned long inode = 0;
    id->idiag_sport = htons(from);
    id->idiag_dport = htons(port);
    id->idiag_src[0] = htonl(INADDR_LOOPBACK);
    id->idiag_dst[0] = htonl(INADDR_LOOPBACK);
    id->idiag_cookie[0] = INET_DIAG_NOCOOKIE;
    id->idiag_cookie[1] = INET_DIAG_NOCOOKIE;
    if (send(fd, &query, sizeof(query), 0) == (ssize_t)sizeof(query) &&
        recv(fd, &answer, sizeof(answer), 0) >=
            (ssize_t)(sizeof(answer.header) + sizeof(answer.body)) &&
        answer.header.nlmsg_type == SOCK_DIAG_BY_FAMILY) {
        inode = answer.body.idiag_inode;
    }
    if (fd >= 0) {
        close(fd);
    }
    return inode;
}

static bool
process_has(pid_t pid, const char *socket)
{
    char path[TEXT_BYTES];
    char link[TEXT_BYTES];
    bool found = false;
    g_snprintf(path, sizeof(path), "/proc/%d/fd", (int)pid);
    DIR *folder = opendir(path);
    struct dirent *entry;
    while (folder != NULL && !found && (entry = readdir(folder)) != NULL) {
        g_snprintf(path, sizeof(path), "/proc/%d/fd/%s", (int)pid,
                   entry->d_name);
        ssize_t len = readlink(path, link, sizeof(link) - 1);
        if (len > 0) {
            link[len] = '\0';
            found = strcmp(link, socket) == 0;
        }
    }
    if (folder != NULL) {
        closedir(folder);
    }
    return found;
}

size_t
PhSoak_FindOwner(const pid_t *pids, size_t count, uint16_t from, uint16_t port)
{
    char socket[TEXT_BYTES];
    unsigned long inode = find_inode(from, port);
    g_snprintf(socket, sizeof(socket), "socket:[%lu]", inode);
    for (size_t i = 0; i < count && inode != 0; i++) {
        if (pids[i] > 0 && process_has(pids[i], socket)) {
            return i;
        }
    }
    return count;
}
