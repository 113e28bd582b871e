#include "requests_internal.h"

enum {
    CLAIM_TIMEOUT_MS = 500
};

/* Actions borrow their strings, so each is copied and kept until the next
 * event. */
static PhStr
action_string_copy(PhRequests *r, PhStr s)
{
    PhStr *copy = PhStr_KeyCreate(s);
    g_ptr_array_add(r->action_strings, copy);
    return *copy;
}

/* Formats the name under which a request holds its key: "instance/request". */
static PhStr
holder_name(PhStr member, uint64_t request)
{
    char *text =
        g_strdup_printf("%.*s/%" G_GUINT64_FORMAT, PhStr_ARG(member), request);
    return PhStr_FromC(text);
}

static PhKeyVerdict
claim_local(PhRequests *r, PhStr key, PhStr member, uint64_t request)
{
    PhStr holder = holder_name(member, request);
    PhKeyVerdict verdict = PhKeys_Claim(r->keys, key, holder, r->now);
    PhStr_Clear(&holder);
    return verdict;
}

static void
release_local(PhRequests *r, PhStr key, PhStr member, uint64_t request)
{
    PhStr holder = holder_name(member, request);
    PhKeys_Release(r->keys, key, holder);
    PhStr_Clear(&holder);
}

static void
emit_claim(PhRequests *r, PhRequestsActionTag tag, PhStr member, PhStr key,
           uint64_t request, PhKeyVerdict verdict)
{
    PhRequests_Emit(r,
                    (PhRequestsAction){
                        .tag = tag,
                        .as.claim = {.member = action_string_copy(r, member),
                                     .key = action_string_copy(r, key),
                                     .request = request,
                                     .verdict = verdict}});
}

/* Applies the verdict of one replica. The request is admitted once all
 * replicas granted the key and at least one has a complete history. */
static void
claim_apply(PhRequests *r, PhRequestRecord *record, PhKeyVerdict verdict)
{
    switch (verdict) {
    case PH_KEY_REPEATED:
        PhRequests_Refuse(r, record, PH_REFUSAL_KEY_REPEATED);
        return;
    case PH_KEY_UNCLEAR:
        PhRequests_Refuse(r, record, PH_REFUSAL_KEY_UNCLEAR);
        return;
    case PH_KEY_GRANTED:
        record->has_confirmation = true;
        break;
    case PH_KEY_UNCONFIRMED:
        break;
    }
    record->claims_open--;
    if (record->claims_open > 0) {
        return;
    }
    if (record->has_confirmation) {
        PhRequests_Admit(r, record);
    }
    else {
        PhRequests_Refuse(r, record, PH_REFUSAL_KEY_UNCLEAR);
    }
}

/* Claims the key on its replicas. The local claim comes last, because its
 * verdict may end the request at once. */
void
PhClaims_Start(PhRequests *r, PhRequestRecord *record, PhStr key)
{
    PhStr service = record->service->policy.name;
    record->key = PhStr_FromC(
        g_strdup_printf("%.*s %.*s", PhStr_ARG(service), PhStr_ARG(key)));
    record->state = PH_REQUEST_CLAIMING;
    PhKeyReplicas replicas = PhKeys_Replicas(r->keys, record->key);
    if (replicas.count == 0) {
        PhRequests_Refuse(r, record, PH_REFUSAL_KEY_UNCLEAR);
        return;
    }
    bool is_local = false;
    for (size_t i = 0; i < replicas.count; i++) {
        record->replicas[record->replica_count++] =
            PhStr_Dup(replicas.member[i]);
        record->claims_open++;
        if (PhStr_Equal(replicas.member[i], r->options.instance)) {
            is_local = true;
            continue;
        }
        emit_claim(r, PH_REQUESTS_CLAIM, replicas.member[i], record->key,
                   record->id, PH_KEY_UNCLEAR);
    }
    PhRequests_SetTimer(
        r, record,
        MIN(record->deadline, r->now + CLAIM_TIMEOUT_MS * PH_NS_PER_MS));
    if (is_local) {
        claim_apply(
            r, record,
            claim_local(r, record->key, r->options.instance, record->id));
    }
}

/* Frees the key of a request that was not run, so that the caller can retry
 * with the same key. */
void
PhClaims_Release(PhRequests *r, const PhRequestRecord *record)
{
    for (uint32_t i = 0; i < record->replica_count; i++) {
        if (PhStr_Equal(record->replicas[i], r->options.instance)) {
            release_local(r, record->key, r->options.instance, record->id);
            continue;
        }
        emit_claim(r, PH_REQUESTS_CLAIM_RELEASE, record->replicas[i],
                   record->key, record->id, PH_KEY_UNCLEAR);
    }
}

/* Ignores a reply for a request that no longer waits for its claims. */
void
PhClaims_Replied(PhRequests *r, const PhClaimReply *reply)
{
    PhRequestRecord *record = g_hash_table_lookup(r->records, &reply->request);
    if (record != NULL && record->state == PH_REQUEST_CLAIMING) {
        claim_apply(r, record, reply->verdict);
    }
}

void
PhClaims_Asked(PhRequests *r, const PhClaimRequest *asked)
{
    emit_claim(r, PH_REQUESTS_CLAIM_ANSWER, asked->member, asked->key,
               asked->request,
               claim_local(r, asked->key, asked->member, asked->request));
}

void
PhClaims_Released(PhRequests *r, const PhClaimRequest *released)
{
    release_local(r, released->key, released->member, released->request);
}
