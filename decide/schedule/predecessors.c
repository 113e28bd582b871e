#include "peridothill/decide/schedule/predecessors.h"

/* Longer than any lease lasts. */
static const PhTime FORGET_AFTER = 60 * PH_NS_PER_S;

struct PhPredecessors {
    GArray *all; /* PhPredecessor, which own their holders */
};

static void
predecessor_clear(gpointer value)
{
    PhStr_Clear(&((PhPredecessor *)value)->holder);
}

PhPredecessors *
PhPredecessors_Create(void)
{
    PhPredecessors *p = g_new0(PhPredecessors, 1);
    p->all = g_array_new(FALSE, TRUE, sizeof(PhPredecessor));
    g_array_set_clear_func(p->all, predecessor_clear);
    return p;
}

/* Accepts NULL. */
void
PhPredecessors_Destroy(PhPredecessors *p)
{
    if (p == NULL) {
        return;
    }
    g_array_free(p->all, TRUE);
    g_free(p);
}

PhStr
PhHolder_Instance(PhStr holder)
{
    size_t len = holder.len;
    while (len > 0 && holder.data[len - 1] != '.') {
        len--;
    }
    return PhStr_Slice(holder, 0, len > 0 ? len - 1 : 0);
}

void
PhPredecessors_Add(PhPredecessors *p, const PhPredecessor *replaced)
{
    for (guint i = p->all->len; i-- > 0;) {
        if (g_array_index(p->all, PhPredecessor, i).until <
            replaced->replaced_at - FORGET_AFTER) {
            g_array_remove_index(p->all, i);
        }
    }
    PhPredecessor added = *replaced;
    added.holder = PhStr_Dup(replaced->holder);
    g_array_append_val(p->all, added);
}

void
PhPredecessors_End(PhPredecessors *p, PhStr instance, PhTime now)
{
    for (guint i = 0; i < p->all->len; i++) {
        PhPredecessor *x = &g_array_index(p->all, PhPredecessor, i);
        if (PhStr_Equal(PhHolder_Instance(x->holder), instance)) {
            x->until = MIN(x->until, now);
        }
    }
}

void
PhPredecessors_Limit(PhPredecessors *p, PhTime until)
{
    for (guint i = 0; i < p->all->len; i++) {
        PhPredecessor *x = &g_array_index(p->all, PhPredecessor, i);
        x->until = MIN(x->until, until);
    }
}

void
PhPredecessors_LimitLeases(PhPredecessors *p, PhTime until)
{
    for (guint i = 0; i < p->all->len; i++) {
        PhPredecessor *x = &g_array_index(p->all, PhPredecessor, i);
        x->owned_until = MIN(x->owned_until, until);
    }
}

const PhPredecessor *
PhPredecessors_LastToExpire(const PhPredecessors *p, PhTime limit,
                            PhTime lease, PhTime *expiry)
{
    const PhPredecessor *last = NULL;
    *expiry = 0;
    for (guint i = 0; i < p->all->len; i++) {
        const PhPredecessor *x = &g_array_index(p->all, PhPredecessor, i);
        PhTime expires = MIN(MIN(x->until, limit) + lease, x->owned_until);
        if (last == NULL || expires > *expiry) {
            last = x;
            *expiry = expires;
        }
    }
    return last;
}

PhTime
PhPredecessors_LastOrder(const PhPredecessors *p)
{
    return PhPredecessors_LastOrderReplacedBy(p, PH_TIME_NEVER);
}

PhTime
PhPredecessors_LastOrderReplacedBy(const PhPredecessors *p, PhTime recorded)
{
    PhTime last = 0;
    for (guint i = 0; i < p->all->len; i++) {
        const PhPredecessor *x = &g_array_index(p->all, PhPredecessor, i);
        if (x->replaced_at <= recorded) {
            last = MAX(last, x->until);
        }
    }
    return last;
}

PhTime
PhPredecessors_LastOrderReplacedAfter(const PhPredecessors *p, PhTime recorded,
                                      PhTime age)
{
    PhTime last = 0;
    for (guint i = 0; i < p->all->len; i++) {
        const PhPredecessor *x = &g_array_index(p->all, PhPredecessor, i);
        if (x->replaced_at > recorded) {
            last = MAX(last, MIN(x->until, x->confirmed_at + age));
        }
    }
    return last;
}
