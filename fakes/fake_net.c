#include "peridothill/fakes/fake_net.h"

#include "peridothill/common/random.h"

typedef struct PhFakePending {
    PhFakeEvent event;
    uint64_t sequence;
} PhFakePending;

typedef struct PhFakeEndpoint {
    uint32_t group;
    PhTime paused_until;
} PhFakeEndpoint;

struct PhFakeNet {
    PhRandom *random;
    GDestroyNotify clear;
    PhTime now;
    GSequence *queue; /* PhFakePending by (at, sequence) */
    uint64_t next_sequence;
    PhFakeEndpoint *endpoints;
    PhFakeLink links[PH_FAKE_GROUPS][PH_FAKE_GROUPS];
    GHashTable *blackholes; /* set of gint64: from << 32 | to */
    void *body;             /* of the event returned last */
    PhFakeNetCounts counts;
};

PhFakeNet *
PhFakeNet_Create(uint64_t seed, uint32_t endpoints, GDestroyNotify clear)
{
    PhFakeNet *net = g_new0(PhFakeNet, 1);
    net->random = PhRandom_Create(seed);
    net->clear = clear;
    net->queue = g_sequence_new(g_free);
    net->endpoints = g_new0(PhFakeEndpoint, endpoints);
    net->blackholes =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    return net;
}

static void
net_release(PhFakeNet *net, void *body)
{
    if (body != NULL && net->clear != NULL) {
        g_rc_box_release_full(body, net->clear);
    }
    else if (body != NULL) {
        g_rc_box_release(body);
    }
}

/* Drops the events of one endpoint, or of all endpoints. */
static void
net_drop(PhFakeNet *net, uint32_t endpoint, bool all_endpoints)
{
    GSequenceIter *i = g_sequence_get_begin_iter(net->queue);
    while (!g_sequence_iter_is_end(i)) {
        GSequenceIter *next = g_sequence_iter_next(i);
        PhFakeEvent *event = &((PhFakePending *)g_sequence_get(i))->event;
        if (all_endpoints || event->to == endpoint) {
            net->counts.cut += event->kind == PH_FAKE_MESSAGE;
            net_release(net, event->body);
            g_sequence_remove(i);
        }
        i = next;
    }
}

void
PhFakeNet_Destroy(PhFakeNet *net)
{
    net_drop(net, 0, true);
    net_release(net, net->body);
    g_sequence_free(net->queue);
    g_free(net->endpoints);
    g_hash_table_destroy(net->blackholes);
    PhRandom_Destroy(net->random);
    g_free(net);
}

PhTime
PhFakeNet_Now(const PhFakeNet *net)
{
    return net->now;
}

PhFakeNetCounts
PhFakeNet_Counts(const PhFakeNet *net)
{
    return net->counts;
}

void
PhFakeNet_SetGroup(PhFakeNet *net, uint32_t endpoint, uint32_t group)
{
    net->endpoints[endpoint].group = group % PH_FAKE_GROUPS;
}

PhFakeLink *
PhFakeNet_Link(PhFakeNet *net, uint32_t from, uint32_t to)
{
    return &net->links[from][to];
}

void
PhFakeNet_SetBlackhole(PhFakeNet *net, uint32_t from, uint32_t to, bool silent)
{
    gint64 key = (gint64)(((uint64_t)from << 32) | to);
    if (silent) {
        g_hash_table_add(net->blackholes, g_memdup2(&key, sizeof(key)));
    }
    else {
        g_hash_table_remove(net->blackholes, &key);
    }
}

void
PhFakeNet_Pause(PhFakeNet *net, uint32_t endpoint, PhTime until)
{
    net->endpoints[endpoint].paused_until = until;
}

void
PhFakeNet_Crash(PhFakeNet *net, uint32_t endpoint)
{
    net->endpoints[endpoint].paused_until = 0;
    net_drop(net, endpoint, false);
}

/* Events at equal times occur in the order they were queued. */
static gint
pending_order(gconstpointer a, gconstpointer b, gpointer unused)
{
    const PhFakePending *x = a;
    const PhFakePending *y = b;
    (void)unused;
    if (x->event.at != y->event.at) {
        return x->event.at < y->event.at ? -1 : 1;
    }
    return (x->sequence > y->sequence) - (x->sequence < y->sequence);
}

static void
net_enqueue(PhFakeNet *net, PhFakeEvent event)
{
    PhFakePending *p = g_new0(PhFakePending, 1);
    p->event = event;
    p->sequence = net->next_sequence++;
    g_sequence_insert_sorted(net->queue, p, pending_order, NULL);
}

static void
net_enqueue_message(PhFakeNet *net, const PhFakeLink *link, PhFakeEvent event)
{
    double extra =
        PhRandom_Exponential(net->random, (double)link->delay_extra);
    event.at = net->now + link->delay_min + (PhTime)extra;
    net_enqueue(net, event);
}

static bool
net_blocks(const PhFakeNet *net, const PhFakeEvent *event)
{
    gint64 key = (gint64)(((uint64_t)event->from << 32) | event->to);
    const PhFakeLink *link = &net->links[net->endpoints[event->from].group]
                                        [net->endpoints[event->to].group];
    return link->cut || g_hash_table_contains(net->blackholes, &key);
}

void
PhFakeNet_Send(PhFakeNet *net, uint32_t from, uint32_t to, uint64_t token,
               void *body)
{
    PhFakeEvent event = {.kind = PH_FAKE_MESSAGE,
                         .from = from,
                         .to = to,
                         .token = token,
                         .body = body};
    const PhFakeLink *link =
        &net->links[net->endpoints[from].group][net->endpoints[to].group];
    net->counts.sent++;
    if (PhRandom_Chance(net->random, link->loss)) {
        net->counts.lost++;
        net_release(net, body);
        return;
    }
    if (PhRandom_Chance(net->random, link->duplicate)) {
        net->counts.duplicated++;
        event.body = body != NULL ? g_rc_box_acquire(body) : NULL;
        net_enqueue_message(net, link, event);
    }
    net_enqueue_message(net, link, event);
}

void
PhFakeNet_SetTimer(PhFakeNet *net, uint32_t endpoint, uint64_t token,
                   PhTime at)
{
    net_enqueue(net, (PhFakeEvent){.kind = PH_FAKE_TIMER,
                                   .from = endpoint,
                                   .to = endpoint,
                                   .token = token,
                                   .at = MAX(at, net->now)});
}

/* Drops a blocked message and requeues an event of a paused endpoint; returns
 * false for both. */
static bool
net_accept(PhFakeNet *net, PhFakeEvent *event)
{
    PhTime resumes = net->endpoints[event->to].paused_until;
    if (event->kind == PH_FAKE_MESSAGE && net_blocks(net, event)) {
        net->counts.cut++;
        net_release(net, event->body);
        return false;
    }
    if (resumes > event->at) {
        event->at = resumes;
        net_enqueue(net, *event);
        return false;
    }
    return true;
}

bool
PhFakeNet_Next(PhFakeNet *net, PhTime until, PhFakeEvent *event)
{
    net_release(net, g_steal_pointer(&net->body));
    while (!g_sequence_is_empty(net->queue)) {
        GSequenceIter *first = g_sequence_get_begin_iter(net->queue);
        *event = ((PhFakePending *)g_sequence_get(first))->event;
        if (event->at > until) {
            break;
        }
        g_sequence_remove(first);
        net->now = event->at;
        if (net_accept(net, event)) {
            net->body = event->body;
            return true;
        }
    }
    net->now = MAX(net->now, until);
    return false;
}
