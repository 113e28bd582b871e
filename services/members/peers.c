#include "peridothill/services/peers.h"

#include <sodium.h>
#include <unistd.h>

#include "peer_socket.h"
#include "peers_task.h"
#include "peridothill/common/invariant.h"
#include "peridothill/services/interface.h"
#include "peridothill/services/members.h"

enum {
    MAILBOX_CAPACITY = 4096,
    NONCES_MAX = 4096,
    TICK_TIMER = 1,
    STOP_TIMER = 2,
};

#define TICK_INTERVAL_NS PH_NS_PER_S
/* Peers complete the handshake in this time; two round trips take 0.5 s. */
#define HANDSHAKE_USUAL_NS PH_NS_PER_S
/* A stopping task keeps running for this long to send what other tasks send at
 * shutdown. */
#define STOP_LINGER_NS (500 * PH_NS_PER_MS)

PhResult
PhPeersKey_Parse(PhStr text, PhStr *key)
{
    uint8_t bytes[PH_PEER_KEY_BYTES];
    size_t len = 0;
    const char *end = NULL;
    PhStr digits = PhStr_Trim(text);
    if (sodium_hex2bin(bytes, sizeof(bytes), digits.data, digits.len, NULL,
                       &len, &end) != 0 ||
        len != sizeof(bytes) || end != digits.data + digits.len) {
        return PhResult_Make(PH_STATUS_INVALID,
                             "peer key must be 64 hexadecimal digits");
    }
    *key = PhStr_Dup(PhStr_FromBytes(bytes, sizeof(bytes)));
    sodium_memzero(bytes, sizeof(bytes));
    return PhResult_Ok();
}

/* Closes the accepted link that has been in the handshake for the longest
 * time, unless a peer may still complete it.  Connections without the key must
 * not keep peers out.  Returns false if there is none. */
static bool
handshake_end(PhPeersTask *p, PhTask *self)
{
    PhPeerLink *oldest = NULL;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, p->links);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PhPeerLink *link = value;
        if (link->stage != PH_LINK_READY && PhStr_IsEmpty(link->address) &&
            (oldest == NULL || link->opened_at < oldest->opened_at)) {
            oldest = link;
        }
    }
    if (oldest == NULL ||
        PhTask_Now(self) - oldest->opened_at < HANDSHAKE_USUAL_NS) {
        return false;
    }
    PhPeers_CloseLink(p, self, oldest, PH_LINK_END_HANDSHAKE);
    return true;
}

/* Accepts all pending connections within the limits. */
static void
accept_all(PhPeersTask *p, PhTask *self)
{
    guint handshakes = 0;
    GHashTableIter iter;
    gpointer value;
    int fd;
    g_hash_table_iter_init(&iter, p->links);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PhPeerLink *link = value;
        handshakes +=
            link->stage != PH_LINK_READY && PhStr_IsEmpty(link->address);
    }
    while ((fd = PhPeerSocket_Accept(p->listen_fd)) >= 0) {
        if (handshakes >= HANDSHAKES_MAX && handshake_end(p, self)) {
            handshakes--;
        }
        if (handshakes >= HANDSHAKES_MAX ||
            g_hash_table_size(p->links) >= LINKS_MAX) {
            PhPeers_Count(self, PH_COUNTER_PEER_CLOSE_LIMIT, 1);
            close(fd);
            continue;
        }
        handshakes++;
        PhPeers_Count(self, PH_COUNTER_PEER_LINKS_ACCEPTED, 1);
        PhPeers_AddLink(
            p, self,
            PhPeerLink_Accept(fd, &p->identity, p->nonces, PhTask_Now(self)));
    }
}

static void
read_link(PhPeersTask *p, PhTask *self, PhPeerLink *link)
{
    size_t bytes;
    PhStatus status = PhPeerLink_Read(link, &bytes);
    PhPeers_Count(self, PH_COUNTER_PEER_BYTES_RECEIVED, bytes);
    if (status != PH_STATUS_OK) {
        PhPeers_CloseLink(p, self, link,
                          status == PH_STATUS_GONE ? PH_LINK_END_BY_PEER
                                                   : PH_LINK_END_FAILED);
        return;
    }
    if (bytes > 0) {
        PhPeerLink_MarkReceived(link);
        PhPeers_ProcessFrames(p, self, link);
    }
}

static void
on_io(PhPeersTask *p, PhTask *self, int fd, int events)
{
    PhPeerLink *link = g_hash_table_lookup(p->links, GINT_TO_POINTER(fd));
    if (fd == p->listen_fd) {
        accept_all(p, self);
        return;
    }
    if (link == NULL) {
        return;
    }
    if (link->stage == PH_LINK_CONNECTING &&
        PhPeerLink_Connected(link) != PH_STATUS_OK) {
        PhPeers_CloseLink(p, self, link, PH_LINK_END_FAILED);
        return;
    }
    if ((events & PH_IO_WRITE) != 0 && !PhPeers_FlushLink(p, self, link)) {
        return;
    }
    if ((events & PH_IO_READ) != 0) {
        read_link(p, self, link);
    }
}

static void
on_send(PhPeersTask *p, PhTask *self, const PhPeersSend *send)
{
    if (send->payload.len > PH_PEERS_PAYLOAD_MAX_BYTES) {
        PhPeers_Count(self, PH_COUNTER_PEER_SEND_TOO_LARGE, 1);
        return;
    }
    PhPeerLink *link = PhPeers_FindLink(p, self, send);
    if (link == NULL) {
        return;
    }
    if (PhPeerLink_Send(link, send, PhTask_Now(self)) != PH_STATUS_OK) {
        PhPeers_Count(self, PH_COUNTER_PEER_SEND_QUEUE_FULL, 1);
        return;
    }
    PhPeers_FlushLink(p, self, link);
}

static void
on_view(PhPeersTask *p, const PhMembersView *view)
{
    g_hash_table_remove_all(p->addresses);
    for (size_t i = 0; i < view->member_count; i++) {
        const PhMember *m = &view->members[i];
        g_hash_table_insert(p->addresses, PhStr_KeyCreate(m->id),
                            PhStr_KeyCreate(m->address));
    }
}

static void
on_message(PhPeersTask *p, PhTask *self, const PhMail *mail)
{
    const PhPeersMessage *m = mail->as.message.body;
    if (mail->as.message.interface == PH_INTERFACE_MEMBERS) {
        const PhMembersMessage *view = mail->as.message.body;
        if (view->tag == PH_MEMBERS_VIEW) {
            on_view(p, &view->as.view);
        }
        return;
    }
    if (mail->as.message.interface != PH_INTERFACE_PEERS) {
        return;
    }
    switch (m->tag) {
    case PH_PEERS_SEND:
        on_send(p, self, &m->as.send);
        return;
    case PH_PEERS_LISTEN:
        Ph_INVARIANT(PH_INVARIANT_PRECONDITION,
                     m->as.listen >= PH_CHANNEL_MEMBERS &&
                         m->as.listen <= PH_CHANNEL_SCHEDULE,
                     "channel=%d", m->as.listen);
        p->listeners[m->as.listen] = mail->from;
        return;
    case PH_PEERS_RECEIVED:
        return;
    }
}

/* Subscribes to the views of "members", also after that task was restarted. */
static void
subscribe(PhPeersTask *p, PhTask *self)
{
    PhTaskRef members =
        PhKernel_Lookup(PhTask_Kernel(self), PH_SERVICE_MEMBERS);
    if (PhTaskRef_IsNone(members) || PhTaskRef_Equal(members, p->members)) {
        return;
    }
    PhMembersMessage m = {.tag = PH_MEMBERS_SUBSCRIBE};
    if (PhTask_Send(self, members, PhMembersMessage_Wrap(&m)) ==
        PH_STATUS_OK) {
        p->members = members;
    }
}

static void
on_tick(PhPeersTask *p, PhTask *self)
{
    PhTime now = PhTask_Now(self);
    subscribe(p, self);
    PhPeers_CheckLinks(p, self, now - p->tick_due);
    p->tick_due = now + TICK_INTERVAL_NS;
    PhTask_SetTimer(self, TICK_TIMER, p->tick_due);
}

static void
on_start(PhPeersTask *p, PhTask *self)
{
    PhTask_Watch(self, p->listen_fd, PH_IO_READ);
    PhTask_LOG(self, PH_EVENT_PEERS_LISTENING, PhField_U64("port", p->port));
    p->tick_due = PhTask_Now(self);
    on_tick(p, self);
}

static void
peers_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhPeersTask *p = state;
    switch (mail->kind) {
    case PH_MAIL_START:
        on_start(p, self);
        break;
    case PH_MAIL_MESSAGE:
        on_message(p, self, mail);
        break;
    case PH_MAIL_TIMER:
        if (mail->as.timer == TICK_TIMER) {
            on_tick(p, self);
        }
        else {
            PhTask_End(self);
        }
        break;
    case PH_MAIL_IO:
        on_io(p, self, mail->as.io.fd, mail->as.io.events);
        break;
    case PH_MAIL_ENDED:
        break;
    case PH_MAIL_STOP:
        PhTask_SetTimer(self, STOP_TIMER, PhTask_Now(self) + STOP_LINGER_NS);
        break;
    }
}

static void
link_release(gpointer link)
{
    PhPeerLink_Destroy(link);
}

static void
peers_destroy(void *state)
{
    PhPeersTask *p = state;
    GList *links = g_hash_table_get_values(p->links);
    g_list_free_full(links, link_release);
    g_hash_table_destroy(p->by_member);
    g_hash_table_destroy(p->links);
    g_hash_table_destroy(p->addresses);
    g_hash_table_destroy(p->back_offs);
    PhPeerNonces_Destroy(p->nonces);
    PhRandom_Destroy(p->random);
    PhStr_Clear(&p->identity.member);
    PhStr_Clear(&p->identity.data_centre);
    PhStr_Clear(&p->identity.deployment);
    for (size_t i = 0; i < p->identity.key_count; i++) {
        sodium_memzero((void *)p->identity.keys[i].data,
                       p->identity.keys[i].len);
        PhStr_Clear(&p->identity.keys[i]);
    }
    close(p->listen_fd);
    g_free(p);
}

static PhPeersTask *
peers_create(const PhPeersOptions *options, int fd, uint16_t port)
{
    PhPeersTask *p = g_new0(PhPeersTask, 1);
    p->listen_fd = fd;
    p->port = port;
    p->identity =
        (PhPeerIdentity){.member = PhStr_Dup(options->id),
                         .data_centre = PhStr_Dup(options->data_centre),
                         .deployment = PhStr_Dup(options->deployment),
                         .version_min = PH_PEER_VERSION_MIN,
                         .version_max = PH_PEER_VERSION_MAX,
                         .key_count = options->key_count};
    for (size_t i = 0; i < options->key_count; i++) {
        p->identity.keys[i] = PhStr_Dup(options->keys[i]);
    }
    p->nonces = PhPeerNonces_Create(NONCES_MAX);
    p->random = PhRandom_Create(options->seed);
    p->links = g_hash_table_new(g_direct_hash, g_direct_equal);
    p->by_member = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                         PhStr_KeyDestroy, NULL);
    p->addresses = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                         PhStr_KeyDestroy, PhStr_KeyDestroy);
    p->back_offs = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                         PhStr_KeyDestroy, g_free);
    return p;
}

static bool
options_valid(const PhPeersOptions *o)
{
    bool keys = o->key_count >= 1 && o->key_count <= PH_PEER_KEYS_MAX;
    for (size_t i = 0; keys && i < o->key_count; i++) {
        keys = o->keys[i].len == PH_PEER_KEY_BYTES;
    }
    return keys && o->id.len > 0 && o->id.len <= PH_PEER_NAME_MAX_BYTES &&
           o->data_centre.len <= PH_PEER_NAME_MAX_BYTES &&
           o->deployment.len <= PH_PEER_NAME_MAX_BYTES;
}

PhResult
PhPeers_Start(PhKernel *kernel, const PhPeersOptions *options, uint16_t *port)
{
    if (!options_valid(options)) {
        return PhResult_Make(PH_STATUS_INVALID,
                             "peers: requires one or two 32-byte keys and "
                             "names of at most 64 bytes");
    }
    int fd = PhPeerSocket_Listen(options->listen, port);
    if (fd < 0) {
        return PhResult_Make(PH_STATUS_IO, "peers: cannot listen at %.*s",
                             PhStr_ARG(options->listen));
    }
    PhPeersTask *p = peers_create(options, fd, *port);
    PhTaskSpec spec = {.name = PH_SERVICE_PEERS,
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = p,
                       .handle = peers_handle,
                       .destroy = peers_destroy};
    PhStatus status = PhKernel_Spawn(kernel, &spec, NULL);
    if (status != PH_STATUS_OK) {
        return PhResult_Make(status, "peers: task name already in use");
    }
    return PhResult_Ok();
}
