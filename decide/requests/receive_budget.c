#include "peridothill/decide/requests/receive_budget.h"

#include <glib.h>

enum {
    MEMORY_SHARE = 4, /* the budget is this part of the memory */
    /* Memory is returned once this part of the budget was held, so that
     * ordinary traffic never causes it. */
    PEAK_SHARE = 4,
};

/* Returning memory takes some milliseconds, in which nothing is served. */
static const PhTime RETURN_INTERVAL = 5 * PH_NS_PER_S;

struct PhReceiveBudget {
    uint64_t limit;
    uint64_t used;
    uint64_t peak;        /* of `used` since memory was last returned */
    PhTime returned_at;   /* memory was last returned to the system */
    GPtrArray *receivers; /* PhReceiver, borrowed */
};

uint64_t
PhReceiveBudget_Derive(uint64_t receive_budget, uint64_t memory)
{
    return receive_budget > 0 ? receive_budget : memory / MEMORY_SHARE;
}

PhReceiveBudget *
PhReceiveBudget_Create(uint64_t limit)
{
    PhReceiveBudget *b = g_new0(PhReceiveBudget, 1);
    b->limit = limit;
    b->receivers = g_ptr_array_new();
    return b;
}

void
PhReceiveBudget_Destroy(PhReceiveBudget *b)
{
    if (b != NULL) {
        g_ptr_array_free(b->receivers, TRUE);
        g_free(b);
    }
}

uint64_t
PhReceiveBudget_Limit(const PhReceiveBudget *b)
{
    return b->limit;
}

uint64_t
PhReceiveBudget_Used(const PhReceiveBudget *b)
{
    return b->used;
}

void
PhReceiveBudget_Add(PhReceiveBudget *b, PhReceiver *r)
{
    if (b == NULL) {
        return;
    }
    r->place = b->receivers->len;
    b->used += r->bytes;
    g_ptr_array_add(b->receivers, r);
}

void
PhReceiveBudget_Remove(PhReceiveBudget *b, PhReceiver *r)
{
    if (b == NULL) {
        return;
    }
    b->used -= r->closing ? 0 : r->bytes;
    g_ptr_array_remove_index_fast(b->receivers, r->place);
    if (r->place < b->receivers->len) {
        PhReceiver *moved = g_ptr_array_index(b->receivers, r->place);
        moved->place = r->place;
    }
}

void
PhReceiveBudget_Set(PhReceiveBudget *b, PhReceiver *r, PhReceiverStage stage,
                    size_t bytes, PhTime now)
{
    if (b != NULL && !r->closing) {
        b->used += bytes;
        b->used -= r->bytes;
        b->peak = MAX(b->peak, b->used);
    }
    r->stage = stage;
    r->bytes = bytes;
    r->progress_at = now;
}

/* Reports whether `r` is closed before `than`.  The product needs more than 64
 * bits for large bodies and long silence, and no exact value. */
static bool
is_worse(const PhReceiver *r, const PhReceiver *than, PhTime now)
{
    double a = (double)r->bytes * (double)(now - r->progress_at);
    double b = (double)than->bytes * (double)(now - than->progress_at);
    return a > b || (a == b && r->bytes > than->bytes);
}

static PhReceiver *
worst_find(const PhReceiveBudget *b, PhTime now)
{
    PhReceiver *worst = NULL;
    for (guint i = 0; i < b->receivers->len; i++) {
        PhReceiver *r = g_ptr_array_index(b->receivers, i);
        if (r->closing || r->bytes == 0 || r->stage == PH_RECEIVER_WAITING) {
            continue;
        }
        if (worst == NULL || is_worse(r, worst, now)) {
            worst = r;
        }
    }
    return worst;
}

PhReceiveDecision
PhReceiveBudget_Decide(PhReceiveBudget *b, PhReceiver *sender, size_t extra,
                       PhTime now)
{
    if (b == NULL) {
        return (PhReceiveDecision){.tag = PH_RECEIVE_STORE};
    }
    if (sender->closing) {
        return (PhReceiveDecision){.tag = PH_RECEIVE_CLOSE_SENDER};
    }
    /* It has just sent bytes, or is about to be answered. */
    sender->progress_at = now;
    if (b->used + extra <= b->limit) {
        return (PhReceiveDecision){.tag = PH_RECEIVE_STORE};
    }
    bool too_large = sender->bytes + extra > b->limit;
    PhReceiver *worst = too_large ? sender : worst_find(b, now);
    if (worst == NULL) {
        worst = sender;
    }
    worst->closing = true;
    b->used -= worst->bytes;
    if (worst == sender) {
        return (PhReceiveDecision){.tag = PH_RECEIVE_CLOSE_SENDER};
    }
    return (PhReceiveDecision){.tag = PH_RECEIVE_CLOSE_OTHER,
                               .as.other = worst};
}

bool
PhReceiveBudget_ReturnsMemory(PhReceiveBudget *b, PhTime now)
{
    if (!PhReceiveBudget_HasReleased(b) || b->used > b->peak / 2 ||
        now - b->returned_at < RETURN_INTERVAL) {
        return false;
    }
    b->peak = b->used;
    b->returned_at = now;
    return true;
}

bool
PhReceiveBudget_HasReleased(const PhReceiveBudget *b)
{
    return b != NULL && b->peak >= b->limit / PEAK_SHARE;
}
