#include "peridothill/decide/schedule/predecessors.h"

/* Longer than any lease lasts. */
static const PhTime FORGET_AFTER = 60 * PH_NS_PER_S;

typedef struct PhPredecessor {
    PhStr holder; /* owned, empty if unknown */
    PhTime replaced_at;
    PhTime confirmed_at;
    PhTime until;
} PhPredecessor;

struct PhPredecessors {
    GArray *all; /* PhPredecessor */
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
PhPredecessors_Add(PhPredecessors *p, PhStr holder, PhTime now,
                   PhTime confirmed, PhTime until)
{
    for (guint i = p->all->len; i-- > 0;) {
        if (g_array_index(p->all, PhPredecessor, i).until <
            now - FORGET_AFTER) {
            g_array_remove_index(p->all, i);
        }
    }
    PhPredecessor added = {.holder = PhStr_Dup(holder),
                           .replaced_at = now,
                           .confirmed_at = confirmed,
                           .until = until};
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
