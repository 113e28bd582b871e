#include "requests_internal.h"

#include "peridothill/common/invariant.h"

/* Every mechanism enabled. */
PhRequestsTuning
PhRequestsTuning_Default(void)
{
    return (PhRequestsTuning){.routing = PH_ROUTING_PEAK_EWMA,
                              .admission = PH_ADMISSION_FAIR,
                              .cooldown = true,
                              .first_byte_timeout = true,
                              .adaptive_limit = true,
                              .connection_limit = true,
                              .retry_budget = true,
                              .deadline_aware = true};
}

/* The record must not be linked in any queue or timer list. */
static void
record_destroy(gpointer value)
{
    PhRequestRecord *record = value;
    PhStr_Clear(&record->key);
    for (uint32_t i = 0; i < record->replica_count; i++) {
        PhStr_Clear(&record->replicas[i]);
    }
    g_free(record);
}

/* Refuses every request until policies have arrived. */
PhRequests *
PhRequests_Create(const PhRequestsOptions *options)
{
    PhRequests *r = g_new0(PhRequests, 1);
    r->options = *options;
    r->options.instance = PhStr_Dup(options->instance);
    r->options.data_centre = PhStr_Dup(options->data_centre);
    r->random = PhRandom_Create(options->seed);
    r->router = PhRouter_Create(&(PhRouterOptions){
        .instance = options->instance,
        .data_centre = options->data_centre,
        .routing = options->tuning.routing,
        .cooldown = options->tuning.cooldown,
        .adaptive_limit = options->tuning.adaptive_limit,
        .connection_limit = options->tuning.connection_limit,
        .random = r->random});
    r->services = g_ptr_array_new();
    r->teams = g_ptr_array_new();
    r->records = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                       record_destroy);
    r->attempts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    r->timers = g_sequence_new(NULL);
    r->action_strings = g_ptr_array_new_with_free_func(PhStr_KeyDestroy);
    return r;
}

void
PhRequests_Destroy(PhRequests *r)
{
    if (r == NULL) {
        return;
    }
    g_sequence_free(r->timers);
    g_hash_table_destroy(r->records);
    g_hash_table_destroy(r->attempts);
    PhAdmission_Destroy(r);
    PhRouter_Destroy(r->router);
    PhKeys_Destroy(r->keys);
    PhRandom_Destroy(r->random);
    PhStr_Clear(&r->options.instance);
    PhStr_Clear(&r->options.data_centre);
    g_ptr_array_free(r->action_strings, TRUE);
    g_free(r);
}

void
PhRequests_Emit(PhRequests *r, PhRequestsAction action)
{
    g_array_append_val(r->actions, action);
}

void
PhRequests_Note(PhRequests *r, PhRequestsNote note, uint32_t worker)
{
    PhRequests_Emit(
        r, (PhRequestsAction){.tag = PH_REQUESTS_NOTE,
                              .as.note = {.note = note, .worker = worker}});
}

/* Orders records by expiry time, then by id. */
static gint
timer_compare(gconstpointer a, gconstpointer b, gpointer data)
{
    const PhRequestRecord *left = a;
    const PhRequestRecord *right = b;
    (void)data;
    if (left->timer_at != right->timer_at) {
        return left->timer_at < right->timer_at ? -1 : 1;
    }
    return left->id < right->id ? -1 : left->id > right->id;
}

void
PhRequests_SetTimer(PhRequests *r, PhRequestRecord *record, PhTime at)
{
    record->timer_at = at;
    if (record->timer == NULL) {
        record->timer =
            g_sequence_insert_sorted(r->timers, record, timer_compare, NULL);
    }
    else {
        g_sequence_sort_changed(record->timer, timer_compare, NULL);
    }
}

/* Cancelled attempts still deliver their replies. */
void
PhRequests_CancelAttempts(PhRequests *r, PhRequestRecord *record, bool overdue)
{
    for (int i = 0; i < MAX_CONCURRENT_ATTEMPTS; i++) {
        if (record->active_attempts[i] == 0) {
            continue;
        }
        PhAttempt *attempt =
            g_hash_table_lookup(r->attempts, &record->active_attempts[i]);
        attempt->overdue = overdue;
        PhRequests_Emit(r, (PhRequestsAction){.tag = PH_REQUESTS_CANCEL,
                                              .as.cancel = attempt->id});
    }
}

/* The only place that reports "not-run": every attempt has ended and for each
 * of them it is proved that no byte was sent. */
PhOutcome
PhRequests_ProveOutcome(const PhRequestRecord *record)
{
    bool nothing_sent =
        record->active_attempts[0] == 0 && record->sends == record->not_sent;
    return nothing_sent ? PH_OUTCOME_NOT_RUN : PH_OUTCOME_UNKNOWN;
}

/* Removes a request that was answered, refused, or abandoned by its caller. */
void
PhRequests_Finish(PhRequests *r, PhRequestRecord *record)
{
    if (record->state == PH_REQUEST_QUEUED) {
        PhAdmission_Dequeue(r, record);
    }
    if (record->timer != NULL) {
        g_sequence_remove(record->timer);
    }
    g_hash_table_remove(r->records, &record->id);
}

void
PhRequests_Refuse(PhRequests *r, PhRequestRecord *record, PhRefusal reason)
{
    PhOutcome outcome = PhRequests_ProveOutcome(record);
    Ph_INVARIANT(
        PH_INVARIANT_NOT_RUN,
        outcome != PH_OUTCOME_NOT_RUN ||
            (record->state != PH_REQUEST_IN_FLIGHT || record->not_sent > 0),
        "request=%lu state=%d sends=%u not_sent=%u", (unsigned long)record->id,
        (int)record->state, record->sends, record->not_sent);
    if (outcome == PH_OUTCOME_NOT_RUN) {
        PhClaims_Release(r, record);
    }
    if (reason == PH_REFUSAL_KEY_REPEATED) {
        outcome = PH_OUTCOME_UNKNOWN; /* the first request with this key may
                                         have run */
    }
    PhRequests_Emit(r, (PhRequestsAction){.tag = PH_REQUESTS_REFUSE,
                                          .as.refuse = {.request = record->id,
                                                        .reason = reason,
                                                        .outcome = outcome}});
    PhRequests_Finish(r, record);
}

PhTime
PhRequests_NextTimer(const PhRequests *r)
{
    PhTime next = PhRouter_NextCooldownEnd(r->router);
    if (r->phase == PH_DRAIN_NOTICE) {
        next = MIN(next, r->notice_ends);
    }
    if (!g_sequence_is_empty(r->timers)) {
        const PhRequestRecord *first =
            g_sequence_get(g_sequence_get_begin_iter(r->timers));
        next = MIN(next, first->timer_at);
    }
    return next;
}

/* Ready means configured and not stopping. */
bool
PhRequests_IsReady(const PhRequests *r)
{
    return r->has_policies && r->phase == PH_DRAIN_RUNNING;
}

size_t
PhRequests_InFlight(const PhRequests *r)
{
    return g_hash_table_size(r->records);
}

const PhRouter *
PhRequests_Router(const PhRequests *r)
{
    return r->router;
}
