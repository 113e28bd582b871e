/* Workers and checks of the requests soak run. */
#include "peridothill/common/invariant.h"
#include "soak_requests.h"

#define MS PH_NS_PER_MS
#define S PH_NS_PER_S
#define LINK_DELAY_NS (1 * MS)

enum {
    HTTP_OK = 200,
    HTTP_UNAVAILABLE = 503,
    STALE_S = 30, /* an older open request counts as forgotten */
};

/* The generation tells the processes of an instance apart. */
static char *
attempt_key_create(const PhSoakRequests *s, uint32_t node, uint64_t attempt)
{
    return g_strdup_printf("%u.%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT, node,
                           s->nodes[node].generation, attempt);
}

static void
reply_schedule(PhSoakRequests *s, uint32_t node, uint64_t number, PhTime at)
{
    PhFakeNet_SetTimer(s->net, node,
                       number * SOAK_REQUESTS_KINDS + SOAK_REQUESTS_REPLY, at);
}

/* Draws the outcome of an attempt; returns the time of its reply and sets
 * whether the worker executes it. */
static PhTime
outcome_draw(PhSoakRequests *s, PhSoakWorker *w, const PhSend *send,
             PhUpstreamReply *reply, bool *executes)
{
    PhTime now = PhFakeNet_Now(s->net);
    *executes = true;
    reply->end = PH_ATTEMPT_END_ANSWERED;
    reply->status = HTTP_OK;
    if (w->hangs) {
        *executes = PhRandom_Chance(s->random, 0.5);
        reply->end = PH_ATTEMPT_END_FIRST_BYTE;
        return MIN(send->first_byte, send->deadline);
    }
    if (w->fails && PhRandom_Chance(s->random, 0.5)) {
        *executes = false;
        reply->end = PH_ATTEMPT_END_CONNECT;
        reply->not_sent = true;
        return now + LINK_DELAY_NS;
    }
    if (w->fails) {
        reply->status = HTTP_UNAVAILABLE;
        return now + 2 * LINK_DELAY_NS;
    }
    PhTime end = PhFakeWorker_Serve(w->slots, now, NULL) + 2 * LINK_DELAY_NS;
    if (PhRandom_Chance(s->random, s->lost_answers)) {
        reply->end = PhRandom_Chance(s->random, 0.5)
                         ? PH_ATTEMPT_END_RESET
                         : PH_ATTEMPT_END_TRUNCATED;
    }
    return end;
}

void
PhSoakWorkers_Send(PhSoakRequests *s, uint32_t node, const PhSend *send)
{
    PhSoakInstance *entry = &s->nodes[node];
    PhStr id =
        PhRouter_WorkerId(PhRequests_Router(entry->requests), send->worker);
    uint64_t k = 0;
    PhStr_ParseU64(PhStr_Slice(id, 1, id.len), &k);
    Ph_INVARIANT(PH_INVARIANT_LEAVING, !(entry->listed_leaving >> k & 1),
                 "seed=%" G_GUINT64_FORMAT " node=%s worker=%u", s->run->seed,
                 entry->id, (unsigned)k);
    PhSoakAttempt *a = g_new0(PhSoakAttempt, 1);
    bool executes = true;
    a->request = g_ptr_array_index(s->requests, send->request - 1);
    a->reply.attempt = send->attempt;
    a->generation = entry->generation;
    PhTime at = outcome_draw(s, &s->workers[k], send, &a->reply, &executes);
    if (at > send->deadline) {
        at = send->deadline;
        a->reply.end = PH_ATTEMPT_END_DEADLINE;
    }
    uint64_t number = s->attempts->len;
    g_ptr_array_add(s->attempts, a);
    g_hash_table_insert(s->by_number,
                        attempt_key_create(s, node, send->attempt),
                        GSIZE_TO_POINTER(number));
    if (executes) {
        PhFakeNet_SetTimer(s->net, SOAK_REQUESTS_DRIVER,
                           number * SOAK_REQUESTS_KINDS +
                               SOAK_REQUESTS_EXECUTE,
                           PhFakeNet_Now(s->net) + LINK_DELAY_NS);
    }
    reply_schedule(s, node, number, at);
}

/* The request may already have been sent, so the worker may still execute
 * it. */
void
PhSoakWorkers_Cancel(PhSoakRequests *s, uint32_t node, uint64_t attempt)
{
    char *key = attempt_key_create(s, node, attempt);
    uint64_t number = GPOINTER_TO_SIZE(g_hash_table_lookup(s->by_number, key));
    PhSoakAttempt *a = g_ptr_array_index(s->attempts, number);
    g_free(key);
    if (!a->replied) {
        a->reply = (PhUpstreamReply){.attempt = attempt,
                                     .end = PH_ATTEMPT_END_CANCELLED};
        reply_schedule(s, node, number, PhFakeNet_Now(s->net));
    }
}

/* A request must not be executed after "not run", and only once if it is not
 * idempotent or has a key. */
void
PhSoakWorkers_Execute(PhSoakRequests *s, uint64_t number)
{
    PhSoakAttempt *a = g_ptr_array_index(s->attempts, number);
    PhSoakRequest *r = a->request;
    r->executions++;
    Ph_INVARIANT(PH_INVARIANT_NOT_RUN, !r->not_run,
                 "seed=%" G_GUINT64_FORMAT " request=%" G_GUINT64_FORMAT,
                 s->run->seed, r->id);
    Ph_INVARIANT(PH_INVARIANT_AT_MOST_ONCE,
                 r->idempotent || r->executions == 1,
                 "seed=%" G_GUINT64_FORMAT " request=%" G_GUINT64_FORMAT,
                 s->run->seed, r->id);
    if (r->key == NULL) {
        return;
    }
    gsize runs =
        GPOINTER_TO_SIZE(g_hash_table_lookup(s->key_runs, r->key)) + 1;
    g_hash_table_insert(s->key_runs, g_strdup(r->key), GSIZE_TO_POINTER(runs));
    Ph_INVARIANT(PH_INVARIANT_AT_MOST_ONCE, runs == 1,
                 "seed=%" G_GUINT64_FORMAT " time=%" G_GINT64_FORMAT
                 " request=%" G_GUINT64_FORMAT " key=%s node=%u",
                 s->run->seed, PhFakeNet_Now(s->net), r->id, r->key, r->node);
}

/* Each request must be answered once. */
static void
request_close(PhSoakRequests *s, uint32_t node, uint64_t request)
{
    bool open = g_hash_table_remove(s->nodes[node].open, &request);
    Ph_INVARIANT(PH_INVARIANT_WHOLE_ANSWER, open,
                 "seed=%" G_GUINT64_FORMAT " request=%" G_GUINT64_FORMAT
                 " answered twice",
                 s->run->seed, request);
}

/* Only a request that was executed may be answered. */
void
PhSoakChecks_Answer(PhSoakRequests *s, uint32_t node, uint64_t request)
{
    request_close(s, node, request);
    const PhSoakRequest *r = g_ptr_array_index(s->requests, request - 1);
    Ph_INVARIANT(PH_INVARIANT_WHOLE_ANSWER, r->executions > 0,
                 "seed=%" G_GUINT64_FORMAT " request=%" G_GUINT64_FORMAT,
                 s->run->seed, request);
}

/* "Not run" must be true now and stay true. */
void
PhSoakChecks_Refuse(PhSoakRequests *s, uint32_t node, const PhRefuse *refuse)
{
    PhSoakRequest *r = g_ptr_array_index(s->requests, refuse->request - 1);
    request_close(s, node, refuse->request);
    r->not_run = refuse->outcome == PH_OUTCOME_NOT_RUN;
    Ph_INVARIANT(PH_INVARIANT_NOT_RUN, !r->not_run || r->executions == 0,
                 "seed=%" G_GUINT64_FORMAT " request=%" G_GUINT64_FORMAT
                 " reason=%s",
                 s->run->seed, r->id, PhRefusal_Info(refuse->reason)->name);
}

/* A planned stop must not abandon a request. */
void
PhSoakChecks_Drained(PhSoakRequests *s, uint32_t node)
{
    Ph_INVARIANT(PH_INVARIANT_GRACEFUL_STOP,
                 g_hash_table_size(s->nodes[node].open) == 0,
                 "seed=%" G_GUINT64_FORMAT " node=%s open=%u", s->run->seed,
                 s->nodes[node].id, g_hash_table_size(s->nodes[node].open));
}

/* After settling, no request may be left without an answer. */
void
PhSoakChecks_Settled(PhSoakRequests *s)
{
    for (uint32_t i = 1; i <= SOAK_REQUESTS_NODES; i++) {
        GHashTableIter iter;
        gpointer value = NULL;
        g_hash_table_iter_init(&iter, s->nodes[i].open);
        while (g_hash_table_iter_next(&iter, NULL, &value)) {
            const PhSoakRequest *r = value;
            Ph_INVARIANT(PH_INVARIANT_WHOLE_ANSWER,
                         PhFakeNet_Now(s->net) - r->arrived < STALE_S * S,
                         "seed=%" G_GUINT64_FORMAT
                         " request=%" G_GUINT64_FORMAT " forgotten",
                         s->run->seed, r->id);
        }
    }
    s->run->settled++;
}
