#include "peridothill/decide/config/config_appender.h"

#include "peridothill/common/invariant.h"

enum {
    BATCH_PATCHES = 32,
    BURST_TOKENS = 64, /* size of the token bucket while not paced */
};

#define DOWN_PROBE_INTERVAL_NS (8 * PH_NS_PER_S)
#define PACING_HOLD_NS (30 * PH_NS_PER_S)
#define RETRY_MIN_NS (500 * PH_NS_PER_MS)
#define RETRY_MAX_NS (8 * PH_NS_PER_S)

typedef enum PhPendingState {
    PENDING_QUEUED,
    PENDING_IN_FLIGHT,
    PENDING_APPENDED, /* in the log, no verdict here yet */
} PhPendingState;

/* A submitted patch that has no answer yet. */
typedef struct PhPending {
    uint64_t request;
    PhConfigPatch patch;
    PhTime deadline;
    PhPendingState state;
    bool maybe_appended; /* an earlier append may have taken effect */
} PhPending;

struct PhConfigAppender {
    PhConfigAppenderOptions options;
    GQueue pending; /* PhPending in order of arrival */
    size_t instances;
    double tokens;    /* token bucket: one token pays for one patch */
    PhTime tokens_at; /* last refill */
    bool in_flight;
    /* Set by a failure, until PACING_HOLD_NS after the queue has drained. */
    bool paced;
    bool down;          /* the log is unavailable; send single probes */
    PhTime retry_delay; /* mean back-off; doubles up to RETRY_MAX_NS */
    PhTime not_before;
    PhTime pacing_ends_at;
};

static void
action_clear(gpointer data)
{
    PhAppendAction *a = data;
    switch (a->kind) {
    case PH_APPEND_ACTION_APPEND:
        for (size_t i = 0; i < a->as.append.count; i++) {
            PhConfigPatch_Clear(&a->as.append.patches[i]);
        }
        g_free(a->as.append.patches);
        break;
    case PH_APPEND_ACTION_ANSWER:
        PhStr_Clear(&a->as.answer.id);
        break;
    }
}

GArray *
PhAppendActions_Create(void)
{
    GArray *actions = g_array_new(FALSE, FALSE, sizeof(PhAppendAction));
    g_array_set_clear_func(actions, action_clear);
    return actions;
}

PhConfigAppender *
PhConfigAppender_Create(const PhConfigAppenderOptions *options)
{
    PhConfigAppender *a = g_new0(PhConfigAppender, 1);
    a->options = *options;
    g_queue_init(&a->pending);
    a->instances = 1;
    a->tokens = BURST_TOKENS;
    a->retry_delay = RETRY_MIN_NS;
    a->pacing_ends_at = PH_TIME_NEVER;
    return a;
}

static void
pending_destroy(gpointer data)
{
    PhPending *p = data;
    PhConfigPatch_Clear(&p->patch);
    g_free(p);
}

void
PhConfigAppender_Destroy(PhConfigAppender *a)
{
    if (a != NULL) {
        g_queue_clear_full(&a->pending, pending_destroy);
        g_free(a);
    }
}

static void
answer_add(GArray *actions, uint64_t request, PhStr id, PhResult result,
           uint64_t version)
{
    PhAppendAction action = {.kind = PH_APPEND_ACTION_ANSWER,
                             .as.answer = {.request = request,
                                           .id = PhStr_Dup(id),
                                           .result = result,
                                           .version = version}};
    g_array_append_val(actions, action);
}

/* This instance's share of the append rate, in patches per second. */
static double
rate_share(const PhConfigAppender *a)
{
    return (double)a->options.appends_per_second / (double)a->instances;
}

/* Bucket size: a full burst normally, a quarter of a second's share while the
 * instances drain their queues after a failure. */
static double
tokens_max(const PhConfigAppender *a)
{
    return a->paced ? MAX(rate_share(a) / 4, 1.0) : BURST_TOKENS;
}

/* Adds the tokens earned since the last refill, and ends pacing when due. */
static void
tokens_refill(PhConfigAppender *a, PhTime now)
{
    double passed = (double)(now - a->tokens_at) / (double)PH_NS_PER_S;
    a->tokens = MIN(a->tokens + passed * rate_share(a), tokens_max(a));
    a->tokens_at = now;
    if (now >= a->pacing_ends_at) {
        a->pacing_ends_at = PH_TIME_NEVER;
        a->paced = false;
        a->tokens = BURST_TOKENS;
    }
}

/* Starts pacing with less than one token and a random delay of up to one
 * token's interval, so that the instances do not append in step. */
static void
pacing_start(PhConfigAppender *a, PhTime now)
{
    PhTime spread = (PhTime)((double)PH_NS_PER_S / rate_share(a));
    a->paced = true;
    a->pacing_ends_at = PH_TIME_NEVER;
    a->tokens = PhRandom_Unit(a->options.random);
    a->tokens_at = now;
    a->not_before =
        now + (PhTime)PhRandom_Below(a->options.random, (uint64_t)spread + 1);
}

static size_t
queued_count(const PhConfigAppender *a)
{
    size_t count = 0;
    for (const GList *i = a->pending.head; i != NULL; i = i->next) {
        count += ((const PhPending *)i->data)->state == PENDING_QUEUED;
    }
    return count;
}

/* Copies up to `limit` queued patches, oldest first, into an APPEND action and
 * marks them as in flight. */
static void
batch_fill(PhConfigAppender *a, size_t limit, PhAppendAction *action)
{
    *action = (PhAppendAction){.kind = PH_APPEND_ACTION_APPEND};
    action->as.append.patches = g_new0(PhConfigPatch, limit);
    for (GList *i = a->pending.head;
         i != NULL && action->as.append.count < limit; i = i->next) {
        PhPending *p = i->data;
        if (p->state == PENDING_QUEUED) {
            p->state = PENDING_IN_FLIGHT;
            action->as.append.patches[action->as.append.count++] =
                PhConfigPatch_Copy(&p->patch);
        }
    }
}

/* Appends the next batch if tokens allow; one patch as a probe while the log
 * is down. */
static void
batch_append(PhConfigAppender *a, PhTime now, GArray *actions)
{
    tokens_refill(a, now);
    size_t count = MIN(queued_count(a), BATCH_PATCHES);
    if (a->in_flight || count == 0 || now < a->not_before || a->tokens < 1) {
        return;
    }
    count = MIN(count, (size_t)a->tokens);
    if (a->down) {
        count = 1;
    }
    g_array_set_size(actions, actions->len + 1);
    batch_fill(a, count,
               &g_array_index(actions, PhAppendAction, actions->len - 1));
    a->tokens -= (double)count;
    a->in_flight = true;
}

static void
submit_handle(PhConfigAppender *a, const PhAppendEvent *event, GArray *actions)
{
    const PhConfigPatch *patch = event->as.submit.patch;
    if (a->pending.length >= a->options.queue_limit) {
        answer_add(actions, event->as.submit.request, patch->id,
                   PhResult_Make(PH_STATUS_UNAVAILABLE,
                                 "not accepted: too many patches wait"),
                   0);
        return;
    }
    PhPending *p = g_new0(PhPending, 1);
    p->request = event->as.submit.request;
    p->patch = PhConfigPatch_Copy(patch);
    p->deadline = event->as.submit.deadline;
    g_queue_push_tail(&a->pending, p);
}

/* Records the result for the patches in flight; failed ones are queued
 * again. */
static void
in_flight_end(PhConfigAppender *a, PhStatus status)
{
    a->in_flight = false;
    for (GList *i = a->pending.head; i != NULL; i = i->next) {
        PhPending *p = i->data;
        if (p->state == PENDING_IN_FLIGHT) {
            p->state =
                status == PH_STATUS_OK ? PENDING_APPENDED : PENDING_QUEUED;
            p->maybe_appended |= status == PH_STATUS_UNKNOWN;
        }
    }
}

static void
appended_handle(PhConfigAppender *a, PhTime now, PhStatus status)
{
    in_flight_end(a, status);
    if (status == PH_STATUS_OK) {
        a->down = false;
        a->retry_delay = RETRY_MIN_NS;
        if (a->paced && queued_count(a) == 0) {
            a->pacing_ends_at = now + PACING_HOLD_NS;
        }
        return;
    }
    pacing_start(a, now);
    a->not_before =
        now + a->retry_delay / 2 +
        (PhTime)PhRandom_Below(a->options.random, (uint64_t)a->retry_delay);
    a->retry_delay = MIN(a->retry_delay * 2, RETRY_MAX_NS);
    if (status != PH_STATUS_UNKNOWN) {
        a->down = true;
        a->not_before =
            now + DOWN_PROBE_INTERVAL_NS +
            (PhTime)PhRandom_Below(a->options.random, DOWN_PROBE_INTERVAL_NS);
    }
}

/* The log answers again: resume at a random time so that the instances do not
 * all append at once. */
static void
log_available_handle(PhConfigAppender *a, PhTime now)
{
    if (a->down) {
        a->down = false;
        a->retry_delay = RETRY_MIN_NS;
        pacing_start(a, now);
    }
}

static void
decided_handle(PhConfigAppender *a, const PhConfigVerdict *v, GArray *actions)
{
    GList *next;
    for (GList *i = a->pending.head; i != NULL; i = next) {
        PhPending *p = i->data;
        next = i->next;
        if (!PhStr_Equal(p->patch.id, v->id)) {
            continue;
        }
        answer_add(actions, p->request, v->id,
                   PhResult_Make(v->status, "%.*s", PhStr_ARG(v->reason)),
                   v->version);
        pending_destroy(p);
        g_queue_delete_link(&a->pending, i);
    }
}

/* Result for a patch whose deadline passes: UNAVAILABLE only if it was
 * certainly not appended. */
static PhResult
expiry_result(const PhPending *p)
{
    switch (p->state) {
    case PENDING_QUEUED:
        return p->maybe_appended
                   ? PhResult_Make(PH_STATUS_UNKNOWN,
                                   "the log may have taken the patch")
                   : PhResult_Make(PH_STATUS_UNAVAILABLE,
                                   "not accepted: the log does not answer");
    case PENDING_IN_FLIGHT:
        return PhResult_Make(PH_STATUS_UNKNOWN,
                             "the log may have taken the patch");
    case PENDING_APPENDED:
        return PhResult_Make(PH_STATUS_UNKNOWN,
                             "in the log, not yet decided here");
    }
    return PhResult_Make(PH_STATUS_UNKNOWN, "unknown");
}

static void
pending_expire(PhConfigAppender *a, PhTime now, GArray *actions)
{
    GList *next;
    for (GList *i = a->pending.head; i != NULL; i = next) {
        PhPending *p = i->data;
        next = i->next;
        if (now < p->deadline) {
            continue;
        }
        answer_add(actions, p->request, p->patch.id, expiry_result(p), 0);
        pending_destroy(p);
        g_queue_delete_link(&a->pending, i);
    }
}

void
PhConfigAppender_Handle(PhConfigAppender *a, PhTime now,
                        const PhAppendEvent *event, GArray *actions)
{
    switch (event->kind) {
    case PH_APPEND_EVENT_TICK:
        break;
    case PH_APPEND_EVENT_SUBMIT:
        submit_handle(a, event, actions);
        break;
    case PH_APPEND_EVENT_APPENDED:
        Ph_INVARIANT(PH_INVARIANT_PRECONDITION, a->in_flight, "status=%d",
                     (int)event->as.appended);
        appended_handle(a, now, event->as.appended);
        break;
    case PH_APPEND_EVENT_DECIDED:
        decided_handle(a, event->as.decided, actions);
        break;
    case PH_APPEND_EVENT_LOG_AVAILABLE:
        log_available_handle(a, now);
        break;
    case PH_APPEND_EVENT_INSTANCES:
        a->instances = MAX(event->as.instances, 1);
        break;
    }
    pending_expire(a, now, actions);
    batch_append(a, now, actions);
}

/* Earliest time at which tokens and back-off allow an append. */
static PhTime
append_due(const PhConfigAppender *a)
{
    if (a->in_flight || queued_count(a) == 0) {
        return PH_TIME_NEVER;
    }
    double lacking = MAX(1.0 - a->tokens, 0.0) / rate_share(a);
    PhTime filled = a->tokens_at + (PhTime)(lacking * (double)PH_NS_PER_S) + 1;
    return MAX(filled, a->not_before);
}

PhTime
PhConfigAppender_NextTick(const PhConfigAppender *a)
{
    PhTime next = append_due(a);
    for (const GList *i = a->pending.head; i != NULL; i = i->next) {
        next = MIN(next, ((const PhPending *)i->data)->deadline);
    }
    return next;
}

size_t
PhConfigAppender_PendingCount(const PhConfigAppender *a)
{
    return a->pending.length;
}
