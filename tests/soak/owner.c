/* Which process has the other end of a loopback connection, by what the
 * kernel tells under /proc of processes that the soak has started. */
#include <dirent.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "soak.h"

enum {
    TEXT_BYTES = 512
};

/* Inode of the socket of a connection, 0 if there is none. */
static unsigned long
find_inode(uint16_t from, uint16_t port)
{
    char line[TEXT_BYTES];
    unsigned long found = 0;
    FILE *f = fopen("/proc/net/tcp", "r");
    while (f != NULL && found == 0 && fgets(line, sizeof(line), f) != NULL) {
        unsigned local;
        unsigned remote;
        unsigned long inode;
        if (sscanf(line,
                   "%*d: %*x:%x %*x:%x %*x %*x:%*x %*x:%*x %*x %*d %*d %lu",
                   &local, &remote, &inode) == 3 &&
            local == from && remote == port) {
            found = inode;
        }
    }
    if (f != NULL) {
        fclose(f);
    }
    return found;
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
