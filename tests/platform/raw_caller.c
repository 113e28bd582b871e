#include "raw_caller.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/table.h"

void
PhRawCaller_Open(PhRawCaller *caller, uint16_t port)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons(port),
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    caller->fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(connect(caller->fd, (struct sockaddr *)&a, sizeof(a)), 0);
}

void
PhRawCaller_Send(const PhRawCaller *caller, const char *text)
{
    (void)!send(caller->fd, text, strlen(text), MSG_NOSIGNAL);
}

void
PhRawCaller_Read(PhRawCaller *caller)
{
    ssize_t n = 1;
    if (caller->fd < 0) {
        return;
    }
    while (n > 0) {
        n = recv(caller->fd, caller->reply + caller->reply_len,
                 PH_RAW_REPLY_BYTES - 1 - caller->reply_len, MSG_DONTWAIT);
        caller->reply_len += n > 0 ? (size_t)n : 0;
    }
    if (n == 0 || (errno != EAGAIN && errno != EINTR)) {
        caller->closed = true;
        PhRawCaller_Close(caller);
    }
}

void
PhRawCaller_Close(PhRawCaller *caller)
{
    if (caller->fd >= 0) {
        close(caller->fd);
        caller->fd = -1;
    }
}
