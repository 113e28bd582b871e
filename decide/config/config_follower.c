#include "peridothill/decide/config/config_follower.h"

#include "decide/config/config_follower_internal.h"
#include "peridothill/common/invariant.h"

PhConfigFollower *
PhConfigFollower_Create(const PhConfigFollowerOptions *options)
{
    PhConfigFollower *f = g_new0(PhConfigFollower, 1);
    f->options = *options;
    f->ledger = PhConfigLedger_Create();
    g_queue_init(&f->recent);
    f->recovering = true;
    f->confirmed_at = -1;
    f->peers = g_ptr_array_new_with_free_func(PhPeerRow_Destroy);
    f->by_member = g_hash_table_new(PhStr_KeyHash, PhStr_KeyEqual);
    f->local_count = 1;
    f->next_hello = options->now + PhFollower_Jitter(f, PEER_QUERY_NS);
    f->peer_query_at = options->now + PEER_QUERY_NS;
    f->peer_query_until = PH_TIME_NEVER;
    f->fetch_until = PH_TIME_NEVER;
    f->read_backoff = options->poll_interval;
    f->next_read = PH_TIME_NEVER;
    f->snapshot_check = PH_TIME_NEVER;
    return f;
}

static void
record_release(gpointer record)
{
    PhConfigRecord_Unref(record);
}

void
PhConfigFollower_Destroy(PhConfigFollower *f)
{
    if (f == NULL) {
        return;
    }
    g_hash_table_destroy(f->by_member);
    g_ptr_array_free(f->peers, TRUE);
    g_queue_clear_full(&f->recent, record_release);
    PhConfigLedger_Destroy(f->ledger);
    g_free(f);
}

void
PhFollower_Add(GArray *actions, PhConfigAction action)
{
    action.member = PhStr_Dup(action.member);
    g_array_append_val(actions, action);
}

void
PhFollower_Note(GArray *actions, PhConfigNote note)
{
    PhFollower_Add(actions, (PhConfigAction){.kind = PH_CONFIG_ACTION_NOTE,
                                             .as.note = note});
}

PhTime
PhFollower_Jitter(const PhConfigFollower *f, PhTime mean)
{
    return mean / 2 +
           (PhTime)PhRandom_Below(f->options.random, (uint64_t)mean + 1);
}

uint64_t
PhFollower_Next(const PhConfigFollower *f)
{
    return PhConfigLedger_Next(f->ledger);
}

/* Ignores peers that recover or whose content differs. */
uint64_t
PhFollower_HighestNext(const PhConfigFollower *f)
{
    uint64_t highest = MAX(PhFollower_Next(f), f->log_end);
    for (guint i = 0; i < f->peers->len; i++) {
        const PhPeerRow *row = g_ptr_array_index(f->peers, i);
        if (!row->recovering && row->digest_match >= 0) {
            highest = MAX(highest, row->next);
        }
    }
    return highest;
}

static void
state_announce(const PhConfigFollower *f, GArray *actions)
{
    PhFollower_Add(actions,
                   (PhConfigAction){.kind = PH_CONFIG_ACTION_IN_FORCE,
                                    .as.in_force = PhConfigState_Ref(
                                        PhConfigLedger_State(f->ledger))});
}

static void
verdict_announce(const PhConfigVerdict *verdict, GArray *actions)
{
    PhFollower_Add(actions, (PhConfigAction){
                                .kind = PH_CONFIG_ACTION_DECIDED,
                                .as.decided = PhConfigVerdict_Copy(verdict)});
}

static void
recent_add(PhConfigFollower *f, PhConfigRecord *record)
{
    g_queue_push_tail(&f->recent, PhConfigRecord_Ref(record));
    if (f->recent.length > RECENT_RECORDS) {
        PhConfigRecord_Unref(g_queue_pop_head(&f->recent));
    }
}

static void
record_apply(PhConfigFollower *f, PhConfigRecord *record, GArray *actions)
{
    const PhConfigVerdict *verdict = PhConfigLedger_Apply(f->ledger, record);
    recent_add(f, record);
    switch (record->kind) {
    case PH_CONFIG_RECORD_PATCH:
        break;
    case PH_CONFIG_RECORD_UNREADABLE:
        PhFollower_Note(actions, PH_CONFIG_NOTE_UNREADABLE);
        break;
    }
    if (verdict != NULL) {
        verdict_announce(verdict, actions);
    }
}

size_t
PhFollower_Apply(PhConfigFollower *f, PhConfigRecord *const *records,
                 size_t count, GArray *actions)
{
    uint64_t before = PhConfigState_Version(PhConfigLedger_State(f->ledger));
    size_t applied = 0;
    for (size_t i = 0; i < count; i++) {
        if (records[i]->offset == PhFollower_Next(f)) {
            record_apply(f, records[i], actions);
            applied++;
        }
    }
    uint64_t after = PhConfigState_Version(PhConfigLedger_State(f->ledger));
    Ph_INVARIANT(PH_INVARIANT_CONFIG_IN_FORCE, after >= before,
                 "before=%" G_GUINT64_FORMAT " after=%" G_GUINT64_FORMAT,
                 before, after);
    if (after > before && !f->recovering) {
        state_announce(f, actions);
    }
    return applied;
}

/* Whether the later ledger holds the same verdict for every patch decided here
 * whose record is still within its window. */
static bool
keeps_verdicts(const PhConfigLedger *held, const PhConfigLedger *later)
{
    uint64_t next = PhConfigLedger_Next(later);
    const GQueue *verdicts = PhConfigLedger_Verdicts(held);
    for (const GList *i = verdicts->tail; i != NULL; i = i->prev) {
        const PhConfigVerdict *v = i->data;
        if (v->offset + PH_CONFIG_WINDOW_RECORDS < next) {
            break;
        }
        const PhConfigVerdict *other = PhConfigLedger_Find(later, v->id);
        if (other == NULL || other->status != v->status ||
            other->version != v->version) {
            return false;
        }
    }
    return true;
}

/* Whether the snapshot is a successor of the held state: no lower version, the
 * same content at an equal version, and the same verdict for every patch
 * decided here whose record is still within the snapshot's window.  The caller
 * checks that the snapshot covers later records. */
static bool
is_successor(const PhConfigFollower *f, const PhConfigSnapshot *snapshot,
             const PhConfigLedger *later)
{
    const PhConfigState *held = PhConfigLedger_State(f->ledger);
    uint64_t version = PhConfigState_Version(snapshot->state);
    if (version < PhConfigState_Version(held)) {
        return false;
    }
    if (version == PhConfigState_Version(held) &&
        PhConfigState_Digest(snapshot->state) != PhConfigState_Digest(held)) {
        return false;
    }
    return keeps_verdicts(f->ledger, later);
}

bool
PhFollower_Restore(PhConfigFollower *f, const PhConfigSnapshot *snapshot,
                   GArray *actions)
{
    uint64_t next = PhFollower_Next(f);
    if (snapshot->covers <= next) {
        return false;
    }
    PhConfigLedger *later = PhConfigLedger_Restore(snapshot);
    if (!is_successor(f, snapshot, later)) {
        PhConfigLedger_Destroy(later);
        PhFollower_Note(actions, PH_CONFIG_NOTE_STATE_REFUSED);
        return false;
    }
    uint64_t before = PhConfigState_Version(PhConfigLedger_State(f->ledger));
    uint64_t after = PhConfigState_Version(snapshot->state);
    Ph_INVARIANT(PH_INVARIANT_CONFIG_IN_FORCE, after >= before,
                 "before=%" G_GUINT64_FORMAT " after=%" G_GUINT64_FORMAT,
                 before, after);
    PhConfigLedger_Destroy(f->ledger);
    f->ledger = later;
    g_queue_clear_full(&f->recent, record_release);
    for (guint i = 0; i < snapshot->verdicts->len; i++) {
        const PhConfigVerdict *v = g_ptr_array_index(snapshot->verdicts, i);
        if (v->offset >= next) {
            verdict_announce(v, actions);
        }
    }
    if (after > before && !f->recovering) {
        state_announce(f, actions);
    }
    return true;
}

void
PhFollower_FinishRecovery(PhConfigFollower *f, GArray *actions)
{
    if (f->recovering) {
        f->recovering = false;
        state_announce(f, actions);
    }
}

static void
tick_handle(PhConfigFollower *f, PhTime now, GArray *actions)
{
    PhFollowerPeers_Tick(f, now, actions);
    PhFollowerLog_Tick(f, now, actions);
}

void
PhConfigFollower_Handle(PhConfigFollower *f, PhTime now,
                        const PhConfigEvent *event, GArray *actions)
{
    switch (event->kind) {
    case PH_CONFIG_EVENT_TICK:
        tick_handle(f, now, actions);
        break;
    case PH_CONFIG_EVENT_MEMBERS:
        PhFollowerPeers_Members(f, now, event, actions);
        break;
    case PH_CONFIG_EVENT_RECORDS:
        PhFollowerLog_Records(f, now, event, actions);
        break;
    case PH_CONFIG_EVENT_SNAPSHOTS:
        PhFollowerLog_Snapshots(f, now, event, actions);
        break;
    case PH_CONFIG_EVENT_WRITTEN:
        PhFollowerLog_Written(f, now, event->as.written, actions);
        break;
    case PH_CONFIG_EVENT_APPENDED:
        f->log_end = MAX(f->log_end, event->as.appended + 1);
        PhFollowerLog_StartRead(f, now, actions);
        break;
    case PH_CONFIG_EVENT_HELLO:
        PhFollowerPeers_Hello(f, now, event, actions);
        break;
    case PH_CONFIG_EVENT_FETCH:
        PhFollowerPeers_Fetch(f, now, event, actions);
        break;
    case PH_CONFIG_EVENT_PUSH:
        PhFollowerPeers_Push(f, now, event, actions);
        break;
    case PH_CONFIG_EVENT_STATE:
        PhFollowerPeers_State(f, now, event, actions);
        break;
    case PH_CONFIG_EVENT_BRIDGE:
        PhFollowerLog_Bridge(f, actions);
        break;
    }
}

PhTime
PhConfigFollower_NextTick(const PhConfigFollower *f)
{
    return MIN(PhFollowerLog_NextTick(f), PhFollowerPeers_NextTick(f));
}

const PhConfigLedger *
PhConfigFollower_Ledger(const PhConfigFollower *f)
{
    return f->ledger;
}

PhConfigSyncState
PhConfigFollower_SyncState(const PhConfigFollower *f, PhTime now)
{
    if (f->recovering) {
        return PH_CONFIG_SYNC_RECOVERING;
    }
    if (PhFollower_Next(f) < PhFollower_HighestNext(f)) {
        return PH_CONFIG_SYNC_LAGGING;
    }
    if (f->confirmed_at < 0 || now - f->confirmed_at > STALE_AFTER_NS) {
        return PH_CONFIG_SYNC_STALE;
    }
    return PH_CONFIG_SYNC_IN_FORCE;
}

/* The name as it appears in status output. */
const char *
PhConfigSyncState_Name(PhConfigSyncState standing)
{
    switch (standing) {
    case PH_CONFIG_SYNC_RECOVERING:
        return "recovering";
    case PH_CONFIG_SYNC_LAGGING:
        return "lagging";
    case PH_CONFIG_SYNC_STALE:
        return "stale";
    case PH_CONFIG_SYNC_IN_FORCE:
        return "in-force";
    }
    return "?";
}

bool
PhConfigFollower_ReadsLog(const PhConfigFollower *f)
{
    return f->rank < f->options.readers;
}

bool
PhConfigFollower_HasGap(const PhConfigFollower *f)
{
    return !f->recovering && f->gap_end > PhFollower_Next(f);
}

PhTime
PhConfigFollower_ConfirmedAt(const PhConfigFollower *f)
{
    return f->confirmed_at;
}

uint64_t
PhConfigFollower_HighestVersion(const PhConfigFollower *f)
{
    uint64_t highest = PhConfigState_Version(PhConfigLedger_State(f->ledger));
    for (guint i = 0; i < f->peers->len; i++) {
        const PhPeerRow *row = g_ptr_array_index(f->peers, i);
        highest = MAX(highest, row->version);
    }
    return highest;
}

size_t
PhConfigFollower_PeerCount(const PhConfigFollower *f)
{
    return f->peers->len;
}

PhConfigPeerStatus
PhConfigFollower_PeerAt(const PhConfigFollower *f, size_t index)
{
    const PhPeerRow *row = g_ptr_array_index(f->peers, index);
    return (PhConfigPeerStatus){.member = row->member,
                                .local = row->local,
                                .version = row->version,
                                .last_contact_at = row->last_contact_at};
}
