#include "requests_internal.h"

enum {
    CLAIM_TIMEOUT_MS = 500
};

/* Keeps a copy of a string until the next event. */
static PhStr
lend(PhRequests *r, PhStr s)
{
    PhStr *copy = PhStr_KeyCreate(s);
    g_ptr_array_add(r->lent, copy);
    return *copy;
}

/* Names a request to the homes of its key. */
static PhStr
holder_name(PhStr member, uint64_t request)
{
    char *text =
        g_strdup_printf("%.*s/%" G_GUINT64_FORMAT, PhStr_ARG(member), request);
    return PhStr_FromC(text);
}

/* Reserves a key at this instance. */
static PhKeyVerdict
claim_here(PhRequests *r, PhStr key, PhStr member, uint64_t request)
{
    PhStr holder = holder_name(member, request);
    PhKeyVerdict verdict = PhKeys_Claim(r->keys, key, holder, r->now);
    PhStr_Clear(&holder);
    return verdict;
}

/* Frees a key at this instance. */
static void
release_here(PhRequests *r, PhStr key, PhStr member, uint64_t request)
{
    PhStr holder = holder_name(member, request);
    PhKeys_Release(r->keys, key, holder);
    PhStr_Clear(&holder);
}

/* Emits an action towards a home or a claimant. */
static void
emit_claim(PhRequests *r, PhRequestsActionTag tag, PhStr member, PhStr key,
           uint64_t request, PhKeyVerdict verdict)
{
    PhRequests_Emit(r,
                    (PhRequestsAction){.tag = tag,
                                       .as.claim = {.member = lend(r, member),
                                                    .key = lend(r, key),
                                                    .request = request,
                                                    .verdict = verdict}});
}

/* Takes the verdict of one home.  The request goes on once all homes granted
 * the key, and one vouches. */
static void
claim_settle(PhRequests *r, PhRequestRecord *record, PhKeyVerdict verdict)
{
    switch (verdict) {
    case PH_KEY_REPEATED:
        PhRequests_Refuse(r, record, PH_REFUSAL_KEY_REPEATED);
        return;
    case PH_KEY_UNCLEAR:
        PhRequests_Refuse(r, record, PH_REFUSAL_KEY_UNCLEAR);
        return;
    case PH_KEY_GRANTED:
        record->vouched = true;
        break;
    case PH_KEY_UNVOUCHED:
        break;
    }
    record->claims_open--;
    if (record->claims_open > 0) {
        return;
    }
    if (record->vouched) {
        PhRequests_Admit(r, record);
    }
    else {
        PhRequests_Refuse(r, record, PH_REFUSAL_KEY_UNCLEAR);
    }
}

/* Asks the homes of a key to reserve it, this instance last. */
void
PhClaims_Start(PhRequests *r, PhRequestRecord *record, PhStr key)
{
    PhStr service = record->service->policy.name;
    record->key = PhStr_FromC(
        g_strdup_printf("%.*s %.*s", PhStr_ARG(service), PhStr_ARG(key)));
    record->state = PH_REQUEST_CLAIMING;
    PhKeyHomes homes = PhKeys_Homes(r->keys, record->key);
    if (homes.count == 0) {
        PhRequests_Refuse(r, record, PH_REFUSAL_KEY_UNCLEAR);
        return;
    }
    bool here = false;
    for (size_t i = 0; i < homes.count; i++) {
        record->homes[record->home_count++] = PhStr_Dup(homes.member[i]);
        record->claims_open++;
        if (PhStr_Equal(homes.member[i], r->options.instance)) {
            here = true;
            continue;
        }
        emit_claim(r, PH_REQUESTS_CLAIM, homes.member[i], record->key,
                   record->id, PH_KEY_UNCLEAR);
    }
    PhRequests_SetWake(
        r, record,
        MIN(record->deadline, r->now + CLAIM_TIMEOUT_MS * PH_NS_PER_MS));
    if (here) {
        claim_settle(
            r, record,
            claim_here(r, record->key, r->options.instance, record->id));
    }
}

/* Frees the key of a request that did not run, so that the caller may try
 * again with it. */
void
PhClaims_Release(PhRequests *r, const PhRequestRecord *record)
{
    for (uint32_t i = 0; i < record->home_count; i++) {
        if (PhStr_Equal(record->homes[i], r->options.instance)) {
            release_here(r, record->key, r->options.instance, record->id);
            continue;
        }
        emit_claim(r, PH_REQUESTS_CLAIM_RELEASE, record->homes[i], record->key,
                   record->id, PH_KEY_UNCLEAR);
    }
}

/* Takes the answer of a home; one for a request that no longer waits is
 * dropped. */
void
PhClaims_Replied(PhRequests *r, const PhClaimReply *reply)
{
    PhRequestRecord *record = g_hash_table_lookup(r->records, &reply->request);
    if (record != NULL && record->state == PH_REQUEST_CLAIMING) {
        claim_settle(r, record, reply->verdict);
    }
}

/* Answers a claim of another instance. */
void
PhClaims_Asked(PhRequests *r, const PhClaimAsked *asked)
{
    emit_claim(r, PH_REQUESTS_CLAIM_ANSWER, asked->member, asked->key,
               asked->request,
               claim_here(r, asked->key, asked->member, asked->request));
}

/* Frees a key that another instance held. */
void
PhClaims_Released(PhRequests *r, const PhClaimAsked *released)
{
    release_here(r, released->key, released->member, released->request);
}
