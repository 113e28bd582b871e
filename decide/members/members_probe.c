#include "membership_private.h"
#include "peridothill/common/invariant.h"

void
PhProbe_Clear(gpointer probe)
{
    PhProbe *p = probe;
    PhStr_Clear(&p->target);
    PhStr_Clear(&p->requester);
}

static void
order_shuffle(PhRandom *random, GPtrArray *order)
{
    for (guint i = order->len; i > 1; i--) {
        guint j = (guint)PhRandom_Below(random, i);
        gpointer swapped = order->pdata[i - 1];
        order->pdata[i - 1] = order->pdata[j];
        order->pdata[j] = swapped;
    }
}

/* Next live member of a probe order that is not suspected. The order is
 * shuffled in each round, so that every member has its turn. */
static PhMemberEntry *
order_next(PhMembership *m, GPtrArray *order, guint *next)
{
    for (guint tried = 0; tried < order->len; tried++) {
        if (*next >= order->len) {
            *next = 0;
            order_shuffle(m->random, order);
        }
        PhMemberEntry *e = g_ptr_array_index(order, *next);
        (*next)++;
        if (e->member.state == PH_MEMBER_ALIVE) {
            return e;
        }
    }
    return NULL;
}

/* Pings the next member, mostly in the own data centre. */
void
PhMembers_ProbeNext(PhMembership *m)
{
    bool remote = m->probe_count++ % REMOTE_PROBE_PERIOD == 0;
    PhMemberEntry *e = remote ? order_next(m, m->remote, &m->remote_next)
                              : order_next(m, m->local, &m->local_next);
    if (e == NULL) {
        return;
    }
    PhProbe p = {.stage = PH_PROBE_DIRECT,
                 .sequence = ++m->sequence,
                 .deadline = m->now + m->times.probe_timeout,
                 .target = PhStr_Dup(e->member.id)};
    g_array_append_val(m->probes, p);
    PhMembers_SendPing(m, e, p.sequence);
}

/* Asks other members to ping the target, preferably in its own data centre,
 * and pings it once more. */
static void
probe_start_indirect(PhMembership *m, PhProbe *p, PhMemberEntry *target)
{
    GPtrArray *order =
        target->local && m->local->len > 1 ? m->local : m->remote;
    guint helpers = 0;
    guint start =
        order->len == 0 ? 0 : (guint)PhRandom_Below(m->random, order->len);
    p->stage = PH_PROBE_INDIRECT;
    p->deadline = m->now + m->times.indirect_timeout;
    for (guint i = 0; i < order->len && helpers < INDIRECT_PROBES; i++) {
        PhMemberEntry *e = g_ptr_array_index(order, (start + i) % order->len);
        if (e == target || e->member.state != PH_MEMBER_ALIVE) {
            continue;
        }
        PhMemberMessage ask = {
            .kind = PH_MEMBER_PROBE,
            .as.probe = {.sequence = p->sequence,
                         .target = PhStr_Dup(target->member.id),
                         .address = PhStr_Dup(target->member.address)}};
        PhMembers_Send(m, e, ask);
        helpers++;
    }
    PhMembers_SendPing(m, target, p->sequence);
}

/* Handles a probe without an ack. Returns true if the probe is finished. */
static bool
probe_expired(PhMembership *m, PhProbe *p)
{
    PhMemberEntry *target = PhMemberEntry_Find(m, p->target);
    if (p->stage == PH_PROBE_RELAY || target == NULL ||
        target->member.state != PH_MEMBER_ALIVE) {
        return true;
    }
    switch (p->stage) {
    case PH_PROBE_DIRECT:
        probe_start_indirect(m, p, target);
        return false;
    case PH_PROBE_INDIRECT:
        PhMembers_Suspect(m, target, target->member.incarnation);
        return true;
    case PH_PROBE_RELAY:
        return true;
    }
    return true;
}

void
PhMembers_CheckProbes(PhMembership *m)
{
    for (guint i = m->probes->len; i > 0; i--) {
        PhProbe *p = &g_array_index(m->probes, PhProbe, i - 1);
        if (m->now >= p->deadline && probe_expired(m, p)) {
            g_array_remove_index_fast(m->probes, i - 1);
        }
    }
}

/* Ends the probe with this sequence number. The ack of a relayed probe is
 * forwarded to its requester. */
void
PhMembers_HandleAck(PhMembership *m, uint64_t sequence)
{
    for (guint i = 0; i < m->probes->len; i++) {
        PhProbe *p = &g_array_index(m->probes, PhProbe, i);
        if (p->sequence != sequence) {
            continue;
        }
        PhMemberEntry *requester = PhMemberEntry_Find(m, p->requester);
        if (p->stage == PH_PROBE_RELAY && requester != NULL) {
            PhMemberMessage ack = {
                .kind = PH_MEMBER_ACK,
                .as.ack = {.sequence = p->requester_sequence,
                           .digest = m->digest}};
            PhMembers_Send(m, requester, ack);
        }
        g_array_remove_index_fast(m->probes, i);
        return;
    }
}

/* Pings a member on behalf of another. */
void
PhMembers_Relay(PhMembership *m, PhMemberEntry *requester,
                const PhMemberProbe *probe)
{
    PhMemberEntry *target = PhMemberEntry_Find(m, probe->target);
    if (target == NULL || target == m->self) {
        return;
    }
    PhProbe p = {.stage = PH_PROBE_RELAY,
                 .sequence = ++m->sequence,
                 .deadline = m->now + m->times.indirect_timeout,
                 .target = PhStr_Dup(probe->target),
                 .requester = PhStr_Dup(requester->member.id),
                 .requester_sequence = probe->sequence};
    g_array_append_val(m->probes, p);
    PhMembers_SendPing(m, target, p.sequence);
}
