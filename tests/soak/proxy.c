/* The task that relays connections of instances to the store and to workers,
 * and harms them: one listener for each instance's store, one for each
 * worker, where the instance is known by the process that connected. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "soak.h"

enum {
    MAILBOX_CAPACITY = 4096,
    READ_BYTES = 65536,
    BACKLOG = 128,
    TICK_TOKEN = 1,
    TICK_MS = 5,
    SLOW_MS = 400,
    LATE_MS_MIN = 2000,
    LATE_MS_MAX = 12000,
    /* Time that a late order has for its answer, which is lost. */
    LINGER_MS = 1000,
    /* Targets: the store, then the workers. */
    TARGETS_MAX = PH_SOAK_WORKERS_MAX + 1,
};

typedef enum PhSide {
    SIDE_CLIENT,
    SIDE_SERVER,
    SIDES,
} PhSide;

/* Bytes on their way to a side, from `due` on. */
typedef struct PhChunk {
    PhTime due;
    PhStr data;
    size_t sent;
} PhChunk;

typedef struct PhRelay {
    int fds[SIDES];
    bool closed[SIDES];
    GQueue chunks[SIDES]; /* PhChunk towards the side */
    size_t instance;
    size_t target;
    bool spoiled; /* bytes were lost */
    bool late;
    PhTime late_by;
    PhTime ends_at; /* of a relay whose client has gone, 0: not yet */
} PhRelay;

typedef struct PhDoor {
    int fd;
    uint16_t port;
    size_t target;
    size_t instance; /* PH_SOAK_INSTANCES_MAX: any */
    uint16_t target_port;
} PhDoor;

typedef struct PhProxy {
    PhSoakPlan *plan;
    PhTask *self;
    PhRandom *random;
    GArray *doors;      /* PhDoor */
    GHashTable *relays; /* PhRelay by descriptor, twice */
    pid_t pids[PH_SOAK_INSTANCES_MAX];
    GArray *acts; /* PhSoakAct that are on */
} PhProxy;

static PhSoakParty
target_party(size_t target)
{
    return target == 0 ? (PhSoakParty){.kind = PH_SOAK_STORE}
                       : (PhSoakParty){.kind = PH_SOAK_WORKER,
                                       .index = (uint32_t)target - 1};
}

/* The strongest of the acts on the link of a relay; PH_SOAK_ACT_KINDS for
 * none. */
static PhSoakActKind
relay_harm(const PhProxy *p, const PhRelay *r)
{
    PhSoakActKind harm = PH_SOAK_ACT_KINDS;
    for (guint i = 0; i < p->acts->len; i++) {
        const PhSoakAct *a = &g_array_index(p->acts, PhSoakAct, i);
        if ((a->instances >> r->instance & 1) != 0 &&
            PhSoakAct_Concerns(a, target_party(r->target))) {
            harm = MIN(harm, a->kind);
        }
    }
    return harm;
}

static void
chunk_destroy(gpointer value)
{
    PhChunk *c = value;
    PhStr_Clear(&c->data);
    g_free(c);
}

static void
side_close(PhProxy *p, PhRelay *r, PhSide side, bool reset)
{
    struct linger now = {.l_onoff = 1};
    if (r->closed[side]) {
        return;
    }
    if (reset) {
        setsockopt(r->fds[side], SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }
    r->closed[side] = true;
    PhTask_Watch(p->self, r->fds[side], 0);
    g_hash_table_remove(p->relays, GINT_TO_POINTER(r->fds[side]));
    close(r->fds[side]);
    g_queue_clear_full(&r->chunks[side], chunk_destroy);
}

static void
relay_destroy(PhProxy *p, PhRelay *r, bool reset)
{
    side_close(p, r, SIDE_CLIENT, reset);
    side_close(p, r, SIDE_SERVER, reset);
    g_free(r);
}

/* Writes what is due towards a side.  Returns false if the side is broken. */
static bool
side_flush(PhProxy *p, PhRelay *r, PhSide side)
{
    PhTime now = PhTask_Now(p->self);
    PhChunk *c;
    while (!r->closed[side] && (c = g_queue_peek_head(&r->chunks[side])) &&
           c->due <= now) {
        ssize_t sent = send(r->fds[side], c->data.data + c->sent,
                            c->data.len - c->sent, MSG_NOSIGNAL);
        if (sent < 0 && (errno == EAGAIN || errno == ENOTCONN)) {
            PhTask_Watch(p->self, r->fds[side], PH_IO_READ | PH_IO_WRITE);
            return true;
        }
        if (sent < 0) {
            return false;
        }
        c->sent += (size_t)sent;
        if (c->sent == c->data.len) {
            chunk_destroy(g_queue_pop_head(&r->chunks[side]));
        }
    }
    if (!r->closed[side]) {
        PhTask_Watch(p->self, r->fds[side], PH_IO_READ);
    }
    return true;
}

/* Queues bytes towards a side under the harm of the link.  Returns false if
 * the relay is to be reset. */
static bool
bytes_pass(PhProxy *p, PhRelay *r, PhSide to, PhStr bytes)
{
    PhTime delay = 0;
    switch (relay_harm(p, r)) {
    case PH_SOAK_LINK_SILENT:
        r->spoiled = true;
        return true;
    case PH_SOAK_LINK_ONE_WAY:
        if (to == SIDE_CLIENT) {
            r->spoiled = true;
            return true;
        }
        break;
    case PH_SOAK_LINK_LATE:
        if (!r->late) {
            r->late = true;
            r->late_by = (PhTime)(LATE_MS_MIN +
                                  PhRandom_Below(p->random,
                                                 LATE_MS_MAX - LATE_MS_MIN)) *
                         PH_NS_PER_MS;
        }
        break;
    case PH_SOAK_LINK_SLOW:
        delay = (PhTime)PhRandom_Below(p->random, SLOW_MS) * PH_NS_PER_MS;
        break;
    case PH_SOAK_LINK_RESET:
        return false;
    case PH_SOAK_STOP_INSTANCE:
    case PH_SOAK_LEAVE_WORKER:
    case PH_SOAK_KILL_INSTANCE:
    case PH_SOAK_PAUSE_INSTANCE:
    case PH_SOAK_KILL_WORKER:
    case PH_SOAK_PAUSE_WORKER:
    case PH_SOAK_ACT_KINDS:
        break;
    }
    if (r->late && to == SIDE_CLIENT) {
        r->spoiled = true;
    }
    if (r->spoiled) {
        return true;
    }
    PhChunk *last = g_queue_peek_tail(&r->chunks[to]);
    PhChunk *c = g_new0(PhChunk, 1);
    c->data = PhStr_Dup(bytes);
    c->due = PhTask_Now(p->self) + (r->late ? r->late_by : delay);
    c->due = last != NULL ? MAX(c->due, last->due) : c->due;
    g_queue_push_tail(&r->chunks[to], c);
    return true;
}

/* Returns false if the relay is over. */
static bool
side_read(PhProxy *p, PhRelay *r, PhSide side)
{
    static char bytes[READ_BYTES];
    PhSide other = side == SIDE_CLIENT ? SIDE_SERVER : SIDE_CLIENT;
    ssize_t got = recv(r->fds[side], bytes, sizeof(bytes), 0);
    if (got < 0 && errno == EAGAIN) {
        return true;
    }
    if (got > 0) {
        return bytes_pass(p, r, other, PhStr_FromBytes(bytes, (size_t)got)) &&
               side_flush(p, r, other);
    }
    /* What is on its way still arrives. */
    side_close(p, r, side, false);
    return !r->closed[other] && !g_queue_is_empty(&r->chunks[other]);
}

static int
socket_open(void)
{
    int one = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return fd;
}

static struct sockaddr_in
loopback(uint16_t port)
{
    return (struct sockaddr_in){.sin_family = AF_INET,
                                .sin_port = htons(port),
                                .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
}

static void
door_accept(PhProxy *p, const PhDoor *door)
{
    struct sockaddr_in a = {0};
    socklen_t len = sizeof(a);
    int fd = accept4(door->fd, (struct sockaddr *)&a, &len,
                     SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
        return;
    }
    size_t instance = door->instance;
    if (instance == PH_SOAK_INSTANCES_MAX) {
        instance = PhSoak_FindOwner(p->pids, PH_SOAK_INSTANCES_MAX,
                                    ntohs(a.sin_port), door->port);
    }
    if (instance == PH_SOAK_INSTANCES_MAX) {
        close(fd);
        return;
    }
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    PhRelay *r = g_new0(PhRelay, 1);
    r->instance = instance;
    r->target = door->target;
    r->fds[SIDE_CLIENT] = fd;
    r->fds[SIDE_SERVER] = socket_open();
    a = loopback(door->target_port);
    if (connect(r->fds[SIDE_SERVER], (struct sockaddr *)&a, sizeof(a)) != 0 &&
        errno != EINPROGRESS) {
        close(r->fds[SIDE_SERVER]);
        close(fd);
        g_free(r);
        return;
    }
    for (int side = 0; side < SIDES; side++) {
        g_queue_init(&r->chunks[side]);
        g_hash_table_insert(p->relays, GINT_TO_POINTER(r->fds[side]), r);
        PhTask_Watch(p->self, r->fds[side], PH_IO_READ);
    }
}

static void
on_io(PhProxy *p, int fd, int events)
{
    for (guint i = 0; i < p->doors->len; i++) {
        const PhDoor *door = &g_array_index(p->doors, PhDoor, i);
        if (door->fd == fd) {
            door_accept(p, door);
            return;
        }
    }
    PhRelay *r = g_hash_table_lookup(p->relays, GINT_TO_POINTER(fd));
    if (r == NULL) {
        return;
    }
    PhSide side = fd == r->fds[SIDE_CLIENT] ? SIDE_CLIENT : SIDE_SERVER;
    bool goes_on = true;
    if ((events & PH_IO_WRITE) != 0) {
        goes_on = side_flush(p, r, side);
    }
    if (goes_on && (events & PH_IO_READ) != 0) {
        goes_on = side_read(p, r, side);
    }
    if (!goes_on) {
        relay_destroy(p, r, true);
    }
}

/* Returns false if the relay is over. */
static bool
relay_tick(PhProxy *p, PhRelay *r, PhTime now)
{
    if (!side_flush(p, r, SIDE_CLIENT) || !side_flush(p, r, SIDE_SERVER)) {
        return false;
    }
    /* A connection that has lost bytes is of no use once the link works. */
    if (r->spoiled && !r->late && relay_harm(p, r) == PH_SOAK_ACT_KINDS) {
        return false;
    }
    if (r->closed[SIDE_CLIENT] && g_queue_is_empty(&r->chunks[SIDE_SERVER])) {
        r->ends_at =
            r->ends_at == 0 ? now + LINGER_MS * PH_NS_PER_MS : r->ends_at;
        return now < r->ends_at;
    }
    return !r->closed[SIDE_SERVER] ||
           !g_queue_is_empty(&r->chunks[SIDE_CLIENT]);
}

static void
tick(PhProxy *p)
{
    PhTime now = PhTask_Now(p->self);
    GList *relays = g_hash_table_get_values(p->relays);
    GHashTable *seen = g_hash_table_new(NULL, NULL);
    for (GList *i = relays; i != NULL; i = i->next) {
        if (g_hash_table_add(seen, i->data) && !relay_tick(p, i->data, now)) {
            relay_destroy(p, i->data, true);
        }
    }
    g_hash_table_destroy(seen);
    g_list_free(relays);
    PhTask_SetTimer(p->self, TICK_TOKEN, now + TICK_MS * PH_NS_PER_MS);
}

static void
act_set(PhProxy *p, const PhSoakAct *act, bool begins)
{
    if (begins) {
        g_array_append_val(p->acts, *act);
        return;
    }
    for (guint i = 0; i < p->acts->len; i++) {
        if (g_array_index(p->acts, PhSoakAct, i).number == act->number) {
            g_array_remove_index_fast(p->acts, i);
            return;
        }
    }
}

static void
proxy_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhProxy *p = state;
    const PhSoakMessage *m = mail->as.message.body;
    p->self = self;
    switch (mail->kind) {
    case PH_MAIL_START:
        for (guint i = 0; i < p->doors->len; i++) {
            PhTask_Watch(self, g_array_index(p->doors, PhDoor, i).fd,
                         PH_IO_READ);
        }
        tick(p);
        break;
    case PH_MAIL_TIMER:
        tick(p);
        break;
    case PH_MAIL_IO:
        on_io(p, mail->as.io.fd, mail->as.io.events);
        break;
    case PH_MAIL_MESSAGE:
        if (m->tag == PH_SOAK_LINK) {
            act_set(p, &m->as.link.act, m->as.link.begins);
        }
        else if (m->party.kind == PH_SOAK_INSTANCE) {
            p->pids[m->party.index] =
                m->tag == PH_SOAK_STARTED ? m->as.pid : 0;
        }
        break;
    case PH_MAIL_ENDED:
        break;
    case PH_MAIL_STOP:
        PhTask_End(self);
        break;
    }
}

static void
proxy_destroy(void *state)
{
    PhProxy *p = state;
    GList *relays = g_hash_table_get_values(p->relays);
    for (GList *i = relays; i != NULL; i = g_list_delete_link(i, i)) {
        if (g_list_find(i->next, i->data) == NULL) {
            relay_destroy(p, i->data, true);
        }
    }
    for (guint i = 0; i < p->doors->len; i++) {
        close(g_array_index(p->doors, PhDoor, i).fd);
    }
    g_hash_table_destroy(p->relays);
    g_array_free(p->doors, TRUE);
    g_array_free(p->acts, TRUE);
    PhRandom_Destroy(p->random);
    g_free(p);
}

/* Returns the port, 0 on failure. */
static uint16_t
door_open(PhProxy *p, size_t target, size_t instance, uint16_t target_port)
{
    struct sockaddr_in a = loopback(0);
    socklen_t len = sizeof(a);
    PhDoor door = {.fd = socket_open(),
                   .target = target,
                   .instance = instance,
                   .target_port = target_port};
    if (bind(door.fd, (struct sockaddr *)&a, len) != 0 ||
        listen(door.fd, BACKLOG) != 0 ||
        getsockname(door.fd, (struct sockaddr *)&a, &len) != 0) {
        close(door.fd);
        return 0;
    }
    door.port = ntohs(a.sin_port);
    g_array_append_val(p->doors, door);
    return door.port;
}

/* Sets the proxy's ports in the plan. */
PhStatus
PhSoakProxy_Start(PhKernel *kernel, PhSoakPlan *plan)
{
    PhProxy *p = g_new0(PhProxy, 1);
    bool opened = true;
    p->plan = plan;
    p->random = PhRandom_Create(plan->seed + 1);
    p->doors = g_array_new(FALSE, TRUE, sizeof(PhDoor));
    p->relays = g_hash_table_new(NULL, NULL);
    p->acts = g_array_new(FALSE, TRUE, sizeof(PhSoakAct));
    for (uint32_t i = 0; i < plan->instances; i++) {
        plan->store_proxy_ports[i] = door_open(p, 0, i, plan->store_port);
        opened &= plan->store_proxy_ports[i] != 0;
    }
    for (uint32_t i = 0; i < plan->workers; i++) {
        plan->worker_proxy_ports[i] =
            door_open(p, i + 1, PH_SOAK_INSTANCES_MAX, plan->worker_ports[i]);
        opened &= plan->worker_proxy_ports[i] != 0;
    }
    PhTaskSpec spec = {.name = PH_SOAK_PROXY,
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = p,
                       .handle = proxy_handle,
                       .destroy = proxy_destroy};
    PhStatus status = PhKernel_Spawn(kernel, &spec, NULL);
    return opened ? status : PH_STATUS_UNAVAILABLE;
}
