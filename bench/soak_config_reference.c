#include "peridothill/common/invariant.h"
#include "soak_config.h"

PhSoakReference *
PhSoakReference_Create(uint64_t seed)
{
    PhSoakReference *r = g_new0(PhSoakReference, 1);
    r->seed = seed;
    r->ledger = PhConfigLedger_Create();
    r->digests = g_array_new(FALSE, TRUE, sizeof(uint64_t));
    r->not_accepted = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                            PhStr_KeyDestroy, NULL);
    uint64_t digest = PhConfigState_Digest(PhConfigLedger_State(r->ledger));
    g_array_append_val(r->digests, digest);
    return r;
}

void
PhSoakReference_Destroy(PhSoakReference *reference)
{
    PhConfigLedger_Destroy(reference->ledger);
    g_array_free(reference->digests, TRUE);
    g_hash_table_destroy(reference->not_accepted);
    g_free(reference);
}

/* A patch that was answered UNAVAILABLE ("not accepted") must not be appended
 * later. */
void
PhSoakReference_Append(PhSoakReference *reference, uint64_t offset, PhTime now,
                       const PhConfigPatch *patch)
{
    PhConfigPatch copy = PhConfigPatch_Copy(patch);
    PhConfigRecord *record =
        PhConfigRecord_Create(offset, now / PH_NS_PER_MS, &copy);
    Ph_INVARIANT(PH_INVARIANT_NOT_RUN,
                 !g_hash_table_contains(reference->not_accepted, &patch->id),
                 "seed=%" G_GUINT64_FORMAT " id=%.*s", reference->seed,
                 PhStr_ARG(patch->id));
    PhConfigLedger_Apply(reference->ledger, record);
    PhConfigRecord_Unref(record);
    const PhConfigState *state = PhConfigLedger_State(reference->ledger);
    if (PhConfigState_Version(state) == reference->digests->len) {
        uint64_t digest = PhConfigState_Digest(state);
        g_array_append_val(reference->digests, digest);
    }
}

/* OK or a refusal: the ledger of the log must hold the same status and
 * version.  UNAVAILABLE ("not accepted"): the patch is not in the log and must
 * not be appended later.  UNKNOWN: not checked. */
void
PhSoakReference_CheckAnswer(PhSoakReference *reference, PhStr id,
                            const PhResult *result, uint64_t version)
{
    const PhConfigVerdict *v = PhConfigLedger_Find(reference->ledger, id);
    if (result->status == PH_STATUS_UNKNOWN) {
        return;
    }
    if (result->status == PH_STATUS_UNAVAILABLE) {
        /* An operation that was answered as not done must not have been done.
         */
        Ph_INVARIANT(PH_INVARIANT_NOT_RUN, v == NULL,
                     "seed=%" G_GUINT64_FORMAT " id=%.*s", reference->seed,
                     PhStr_ARG(id));
        g_hash_table_add(reference->not_accepted, PhStr_KeyCreate(id));
        return;
    }
    Ph_INVARIANT(PH_INVARIANT_CONFIG_IN_FORCE,
                 v != NULL && v->status == result->status &&
                     v->version == version,
                 "seed=%" G_GUINT64_FORMAT " id=%.*s status=%d",
                 reference->seed, PhStr_ARG(id), (int)result->status);
}

/* A version must not go back, and must have the content that the log gives
 * it. */
void
PhSoakReference_CheckInForce(PhSoakReference *reference, uint64_t before,
                             const PhConfigState *state)
{
    uint64_t version = PhConfigState_Version(state);
    Ph_INVARIANT(PH_INVARIANT_CONFIG_IN_FORCE,
                 version >= before && version < reference->digests->len &&
                     g_array_index(reference->digests, uint64_t, version) ==
                         PhConfigState_Digest(state),
                 "seed=%" G_GUINT64_FORMAT " version=%" G_GUINT64_FORMAT
                 " before=%" G_GUINT64_FORMAT,
                 reference->seed, version, before);
}

/* The follower must hold the latest version and report it as in force. */
void
PhSoakReference_CheckSettled(PhSoakReference *reference,
                             const PhConfigFollower *follower, PhTime now)
{
    const PhConfigState *state =
        PhConfigLedger_State(PhConfigFollower_Ledger(follower));
    PhConfigSyncState standing = PhConfigFollower_SyncState(follower, now);
    Ph_INVARIANT(PH_INVARIANT_CONFIG_IN_FORCE,
                 PhConfigState_Version(state) + 1 == reference->digests->len &&
                     standing == PH_CONFIG_SYNC_IN_FORCE,
                 "seed=%" G_GUINT64_FORMAT " time=%" G_GINT64_FORMAT
                 " version=%" G_GUINT64_FORMAT " latest=%u standing=%s",
                 reference->seed, now, PhConfigState_Version(state),
                 reference->digests->len - 1,
                 PhConfigSyncState_Name(standing));
}
