#include "peer_link.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peer_socket.h"
#include "peridothill/common/invariant.h"

enum {
    READ_BYTES = 16 * 1024,
};

static PhPeerLink *
link_create(int fd, PhPeerSession *session, PhLinkStage stage, PhTime now)
{
    PhPeerLink *link = g_new0(PhPeerLink, 1);
    link->fd = fd;
    link->session = session;
    link->stage = stage;
    link->opened_at = now;
    link->used_at = now;
    g_queue_init(&link->waiting);
    return link;
}

PhPeerLink *
PhPeerLink_Dial(PhStr address, const PhPeerIdentity *identity,
                PhPeerNonces *nonces, PhTime now)
{
    int fd = PhPeerSocket_Connect(address);
    if (fd < 0) {
        return NULL;
    }
    PhPeerSession *session =
        PhPeerSession_Create(identity, PH_PEER_CONNECTING, nonces);
    PhPeerLink *link = link_create(fd, session, PH_LINK_CONNECTING, now);
    link->address = PhStr_Dup(address);
    return link;
}

PhPeerLink *
PhPeerLink_Accept(int fd, const PhPeerIdentity *identity, PhPeerNonces *nonces,
                  PhTime now)
{
    PhPeerSession *session =
        PhPeerSession_Create(identity, PH_PEER_ACCEPTING, nonces);
    return link_create(fd, session, PH_LINK_GREETING, now);
}

static void
waiting_destroy(gpointer data)
{
    PhPeersSend *send = data;
    PhStr_Clear(&send->member);
    PhStr_Clear(&send->address);
    PhStr_Clear(&send->payload);
    g_free(send);
}

void
PhPeerLink_Destroy(PhPeerLink *link)
{
    close(link->fd);
    PhPeerSession_Destroy(link->session);
    PhStr_Clear(&link->address);
    PhBuf_Clear(&link->in);
    PhBuf_Clear(&link->out);
    g_queue_clear_full(&link->waiting, waiting_destroy);
    g_free(link);
}

static PhStatus
waiting_add(PhPeerLink *link, const PhPeersSend *send)
{
    if (g_queue_get_length(&link->waiting) >= LINK_WAITING_MAX) {
        return PH_STATUS_FULL;
    }
    PhPeersSend *copy = g_new0(PhPeersSend, 1);
    copy->member = PhStr_Dup(send->member);
    copy->channel = send->channel;
    copy->payload = PhStr_Dup(send->payload);
    g_queue_push_tail(&link->waiting, copy);
    return PH_STATUS_OK;
}

PhStatus
PhPeerLink_Send(PhPeerLink *link, const PhPeersSend *send, PhTime now)
{
    if (link->stage != PH_LINK_READY) {
        return waiting_add(link, send);
    }
    if (link->out.len + send->payload.len > LINK_OUT_MAX_BYTES) {
        return PH_STATUS_FULL;
    }
    PhPeerSession_Send(link->session, send->channel, send->payload,
                       &link->out);
    link->used_at = now;
    PhPeerLink_MarkSent(link, now);
    return PH_STATUS_OK;
}

/* Reads once, as the event loop reports remaining input again. */
PhStatus
PhPeerLink_Read(PhPeerLink *link, size_t *bytes)
{
    Ph_INVARIANT(PH_INVARIANT_KERNEL,
                 link->in.len <= PH_PEER_LENGTH_BYTES + PH_PEER_BODY_MAX_BYTES,
                 "fd=%d bytes=%zu", link->fd, link->in.len);
    PhBuf_Reserve(&link->in, READ_BYTES);
    ssize_t n = recv(link->fd, link->in.data + link->in.len, READ_BYTES, 0);
    *bytes = n > 0 ? (size_t)n : 0;
    if (n > 0) {
        link->in.len += (size_t)n;
        return PH_STATUS_OK;
    }
    if (n == 0) {
        return PH_STATUS_GONE;
    }
    return errno == EAGAIN || errno == EINTR ? PH_STATUS_OK : PH_STATUS_IO;
}

PhStatus
PhPeerLink_Flush(PhPeerLink *link, size_t *bytes)
{
    *bytes = 0;
    while (link->out.len > 0) {
        ssize_t n =
            send(link->fd, link->out.data, link->out.len, MSG_NOSIGNAL);
        if (n < 0) {
            return errno == EAGAIN || errno == EINTR ? PH_STATUS_OK
                                                     : PH_STATUS_IO;
        }
        *bytes += (size_t)n;
        PhBuf_Consume(&link->out, (size_t)n);
    }
    return PH_STATUS_OK;
}

PhStatus
PhPeerLink_Connected(PhPeerLink *link)
{
    if (!PhPeerSocket_IsConnected(link->fd)) {
        return PH_STATUS_IO;
    }
    link->stage = PH_LINK_GREETING;
    PhPeerSession_Start(link->session, &link->out);
    return PH_STATUS_OK;
}

void
PhPeerLink_MarkSent(PhPeerLink *link, PhTime now)
{
    if (link->unanswered_since == 0) {
        link->unanswered_since = now;
    }
}

void
PhPeerLink_MarkReceived(PhPeerLink *link)
{
    link->unanswered_since = 0;
    link->pinged_at = 0;
}
