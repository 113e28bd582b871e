#include "decide/config/config_follower_internal.h"
#include "peridothill/common/invariant.h"

enum {
    QUERIED_REMOTE_PEERS = 16, /* queried when there are no local peers */
    REMOTE_HELLO_PERCENT = 25,
    REMOTE_ANNOUNCE_PEERS = 2,
};

static PhConfigHello
hello_make(const PhConfigFollower *f, PhTime now, bool reply_wanted)
{
    const PhConfigState *state = PhConfigLedger_State(f->ledger);
    return (PhConfigHello){
        .next = PhFollower_Next(f),
        .version = PhConfigState_Version(state),
        .digest = PhConfigState_Digest(state),
        .confirmed_ms_ago =
            f->confirmed_at < 0 ? -1 : (now - f->confirmed_at) / PH_NS_PER_MS,
        .recovering = f->recovering,
        .reply_wanted = reply_wanted};
}

static void
hello_send(PhConfigFollower *f, PhTime now, PhStr member, bool reply_wanted,
           GArray *actions)
{
    PhFollower_Add(actions, (PhConfigAction){
                                .kind = PH_CONFIG_ACTION_HELLO,
                                .member = member,
                                .as.hello = hello_make(f, now, reply_wanted)});
}

bool
PhFollowerPeers_CatchUp(PhConfigFollower *f, PhTime now, GArray *actions)
{
    if (f->fetch_until != PH_TIME_NEVER) {
        return true;
    }
    PhPeerRow *row = PhPeerRow_PickSource(f);
    if (row == NULL) {
        return false;
    }
    row->fetch_pending = true;
    f->fetch_until = now + FETCH_TIMEOUT_NS;
    PhFollower_Add(actions, (PhConfigAction){.kind = PH_CONFIG_ACTION_FETCH,
                                             .member = row->member,
                                             .as.fetch = PhFollower_Next(f)});
    return true;
}

/* Ignores a peer that did not answer a fetch until its next hello. */
static void
fetch_expire(PhConfigFollower *f, PhTime now)
{
    if (now < f->fetch_until) {
        return;
    }
    f->fetch_until = PH_TIME_NEVER;
    for (guint i = 0; i < f->peers->len; i++) {
        PhPeerRow *row = g_ptr_array_index(f->peers, i);
        if (row->fetch_pending) {
            row->fetch_pending = false;
            row->next = 0;
        }
    }
}

static void
fetch_answered(PhConfigFollower *f, PhPeerRow *row)
{
    if (row != NULL && row->fetch_pending) {
        row->fetch_pending = false;
        f->fetch_until = PH_TIME_NEVER;
    }
}

/* Requests a hello from all local peers, or from some remote ones if there are
 * no local ones. */
static void
peers_query(PhConfigFollower *f, PhTime now, GArray *actions)
{
    guint count = f->local_count > 1
                      ? (guint)f->local_count - 1
                      : MIN(f->peers->len, QUERIED_REMOTE_PEERS);
    for (guint i = 0; i < count; i++) {
        const PhPeerRow *row = g_ptr_array_index(f->peers, i);
        hello_send(f, now, row->member, true, actions);
    }
}

/* Advances the recovery: queries peers, waits for their answers, fetches the
 * highest state, and falls back on the log if no peer holds one. */
static void
recovery_tick(PhConfigFollower *f, PhTime now, GArray *actions)
{
    if (now >= f->peer_query_at) {
        peers_query(f, now, actions);
        f->peer_query_at = PH_TIME_NEVER;
        f->peer_query_until = now + PEER_QUERY_NS;
    }
    if (now < f->peer_query_until) {
        return;
    }
    f->peer_query_until = PH_TIME_NEVER;
    f->peer_query_at = now + PhFollower_Jitter(f, f->options.hello_interval);
    if (!PhFollowerPeers_HasSource(f, PhFollower_Next(f))) {
        f->next_read = MIN(f->next_read, now);
    }
    else if (PhFollower_Next(f) >= PhFollower_HighestNext(f)) {
        PhFollower_FinishRecovery(f, actions);
        f->next_read = MIN(f->next_read, now);
    }
    else {
        PhFollowerPeers_CatchUp(f, now, actions);
    }
}

/* Random peer with an index in [from, to). */
static const PhPeerRow *
row_random(const PhConfigFollower *f, size_t from, size_t to)
{
    size_t index = from + PhRandom_Below(f->options.random, to - from);
    return g_ptr_array_index(f->peers, index);
}

/* Sends a hello to a random peer, a local one in most cases. */
static void
hello_tick(PhConfigFollower *f, PhTime now, GArray *actions)
{
    size_t local = f->local_count - 1;
    size_t all = f->peers->len;
    if (all == 0) {
        return;
    }
    bool remote =
        local == 0 || (local < all && PhRandom_Below(f->options.random, 100) <
                                          REMOTE_HELLO_PERCENT);
    hello_send(f, now,
               row_random(f, remote ? local : 0, remote ? all : local)->member,
               false, actions);
}

PhTime
PhFollowerPeers_NextTick(const PhConfigFollower *f)
{
    PhTime recovery = f->recovering
                          ? MIN(f->peer_query_at, f->peer_query_until)
                          : PH_TIME_NEVER;
    return MIN(MIN(f->next_hello, f->fetch_until), recovery);
}

void
PhFollowerPeers_Tick(PhConfigFollower *f, PhTime now, GArray *actions)
{
    fetch_expire(f, now);
    if (f->recovering) {
        recovery_tick(f, now, actions);
    }
    if (now >= f->next_hello) {
        f->next_hello = now + PhFollower_Jitter(f, f->options.hello_interval);
        hello_tick(f, now, actions);
        if (!f->recovering && PhFollower_Next(f) < PhFollower_HighestNext(f) &&
            !PhFollowerPeers_CatchUp(f, now, actions)) {
            f->next_read = MIN(f->next_read, now);
        }
    }
}

/* Compares a peer's digest at a version that both hold.  An instance that
 * differs from the majority of its peers holds corrupt state and stops. */
static void
digest_check(PhConfigFollower *f, PhPeerRow *row, const PhConfigHello *hello,
             GArray *actions)
{
    const PhConfigState *state =
        PhConfigLedger_StateAt(f->ledger, hello->version);
    if (state == NULL) {
        return;
    }
    row->digest_match = PhConfigState_Digest(state) == hello->digest ? 1 : -1;
    if (row->digest_match > 0) {
        return;
    }
    PhFollower_Note(actions, PH_CONFIG_NOTE_DIGEST_MISMATCH);
    unsigned agreeing = 0;
    unsigned differing = 0;
    for (guint i = 0; i < f->peers->len; i++) {
        const PhPeerRow *other = g_ptr_array_index(f->peers, i);
        agreeing += other->digest_match > 0;
        differing += other->digest_match < 0;
    }
    Ph_INVARIANT(PH_INVARIANT_CONFIG_IN_FORCE,
                 differing < 2 || differing <= agreeing,
                 "version=%" G_GUINT64_FORMAT " agree=%u against=%u",
                 hello->version, agreeing, differing);
}

static void
row_update(PhConfigFollower *f, PhPeerRow *row, PhTime now,
           const PhConfigHello *hello, GArray *actions)
{
    row->last_contact_at = now;
    row->recovering = hello->recovering;
    row->next = hello->next;
    row->version = hello->version;
    if (!hello->recovering && !f->recovering) {
        digest_check(f, row, hello, actions);
    }
    if (!hello->recovering && hello->confirmed_ms_ago >= 0 &&
        hello->next <= PhFollower_Next(f) && row->digest_match >= 0) {
        f->confirmed_at =
            MAX(f->confirmed_at,
                now - MIN(now, hello->confirmed_ms_ago * PH_NS_PER_MS));
    }
}

/* Answers a peer that requests a hello or lags, and fetches from one that is
 * ahead. */
void
PhFollowerPeers_Hello(PhConfigFollower *f, PhTime now,
                      const PhConfigEvent *event, GArray *actions)
{
    const PhConfigHello *hello = &event->as.hello;
    PhPeerRow *row = PhPeerRow_Find(f, event->member);
    if (row != NULL) {
        row_update(f, row, now, hello, actions);
    }
    bool lags = hello->next < PhFollower_Next(f) || hello->recovering;
    if (hello->reply_wanted || (lags && !f->recovering)) {
        hello_send(f, now, event->member, false, actions);
    }
    if (!f->recovering && hello->next > PhFollower_Next(f)) {
        PhFollowerPeers_CatchUp(f, now, actions);
    }
}

/* Recent records from offset `from` on; NULL if not all are retained. */
static GPtrArray *
recent_from(const PhConfigFollower *f, uint64_t from)
{
    const PhConfigRecord *oldest =
        f->recent.head ? f->recent.head->data : NULL;
    if (oldest == NULL || from < oldest->offset) {
        return NULL;
    }
    GPtrArray *records =
        g_ptr_array_new_with_free_func((GDestroyNotify)PhConfigRecord_Unref);
    GList *link = g_queue_peek_nth_link((GQueue *)&f->recent,
                                        (guint)(from - oldest->offset));
    for (; link != NULL && records->len < PUSH_RECORDS; link = link->next) {
        g_ptr_array_add(records, PhConfigRecord_Ref(link->data));
    }
    return records;
}

/* Pushes records to a peer; takes its own reference to the list. */
static void
push_send(PhStr member, GPtrArray *records, GArray *actions)
{
    PhFollower_Add(actions,
                   (PhConfigAction){.kind = PH_CONFIG_ACTION_PUSH,
                                    .member = member,
                                    .as.push = g_ptr_array_ref(records)});
}

/* Pushes new records to the children of this instance in the tree of its data
 * centre: the instance of rank r has the ranks 8r+1 to 8r+8 as children. */
void
PhFollowerPeers_PushDown(PhConfigFollower *f, uint64_t from, GArray *actions)
{
    GPtrArray *records = f->recovering ? NULL : recent_from(f, from);
    if (records == NULL) {
        return;
    }
    size_t first = f->rank * TREE_FAN_OUT + 1;
    for (size_t r = first; r < first + TREE_FAN_OUT && r < f->local_count;
         r++) {
        /* The rows exclude this instance, whose rank is lower. */
        const PhPeerRow *row = g_ptr_array_index(f->peers, r - 1);
        if (row->next < PhFollower_Next(f)) {
            push_send(row->member, records, actions);
        }
    }
    g_ptr_array_unref(records);
}

/* Sends a hello to a peer that is not known to have all records held here. */
static void
hello_if_behind(PhConfigFollower *f, PhTime now, size_t index, GArray *actions)
{
    const PhPeerRow *row = g_ptr_array_index(f->peers, index);
    if (row->next < PhFollower_Next(f)) {
        hello_send(f, now, row->member, false, actions);
    }
}

/* Announces new records to the readers of the own data centre and to random
 * instances of others, which then fetch them. */
void
PhFollowerPeers_Announce(PhConfigFollower *f, PhTime now, GArray *actions)
{
    size_t local = f->local_count - 1;
    size_t all = f->peers->len;
    if (f->recovering) {
        return;
    }
    for (size_t i = 0; i < MIN(local, f->options.readers); i++) {
        hello_if_behind(f, now, i, actions);
    }
    for (size_t i = 0; i < REMOTE_ANNOUNCE_PEERS && local < all; i++) {
        hello_if_behind(f, now,
                        local + PhRandom_Below(f->options.random, all - local),
                        actions);
    }
}

/* Sends the full state, but at most STATES_PER_SECOND times per second. */
static void
state_send(PhConfigFollower *f, PhTime now, PhStr member, GArray *actions)
{
    uint64_t second = (uint64_t)(now / PH_NS_PER_S);
    if (second != f->state_second) {
        f->state_second = second;
        f->states_sent = 0;
    }
    if (f->states_sent >= STATES_PER_SECOND) {
        PhFollower_Note(actions, PH_CONFIG_NOTE_STATE_RATE_LIMITED);
        return;
    }
    f->states_sent++;
    PhFollower_Add(
        actions,
        (PhConfigAction){.kind = PH_CONFIG_ACTION_STATE,
                         .member = member,
                         .as.snapshot = PhConfigLedger_Snapshot(f->ledger)});
}

/* Answers a fetch with recent records, or with the full state if the records
 * are no longer retained. */
void
PhFollowerPeers_Fetch(PhConfigFollower *f, PhTime now,
                      const PhConfigEvent *event, GArray *actions)
{
    uint64_t from = event->as.fetch;
    if (f->recovering) {
        return;
    }
    if (from >= PhFollower_Next(f)) {
        hello_send(f, now, event->member, false, actions);
        return;
    }
    GPtrArray *records = recent_from(f, from);
    if (records == NULL) {
        state_send(f, now, event->member, actions);
        return;
    }
    push_send(event->member, records, actions);
    g_ptr_array_unref(records);
}

/* Continues after data from a peer: fetches more, or ends the recovery. */
static void
catch_up_continue(PhConfigFollower *f, PhTime now, GArray *actions)
{
    if (PhFollower_Next(f) < PhFollower_HighestNext(f)) {
        if (!f->recovering || f->peer_query_until == PH_TIME_NEVER) {
            PhFollowerPeers_CatchUp(f, now, actions);
        }
    }
    else if (f->recovering && f->peer_query_until == PH_TIME_NEVER &&
             PhFollowerPeers_HasSource(f, 0)) {
        PhFollower_FinishRecovery(f, actions);
        f->next_read = MIN(f->next_read, now);
    }
}

void
PhFollowerPeers_Push(PhConfigFollower *f, PhTime now,
                     const PhConfigEvent *event, GArray *actions)
{
    size_t count = event->as.push.count;
    PhPeerRow *row = PhPeerRow_Find(f, event->member);
    uint64_t from = PhFollower_Next(f);
    fetch_answered(f, row);
    if (row != NULL && count > 0) {
        row->last_contact_at = now;
        row->next =
            MAX(row->next, event->as.push.records[count - 1]->offset + 1);
    }
    if (PhFollower_Apply(f, event->as.push.records, count, actions) > 0) {
        PhFollowerPeers_PushDown(f, from, actions);
        if (row != NULL && !row->local) {
            PhFollowerPeers_Announce(f, now, actions);
        }
    }
    catch_up_continue(f, now, actions);
}

void
PhFollowerPeers_State(PhConfigFollower *f, PhTime now,
                      const PhConfigEvent *event, GArray *actions)
{
    fetch_answered(f, PhPeerRow_Find(f, event->member));
    if (PhFollower_Restore(f, event->as.state, actions)) {
        PhFollower_Note(actions, PH_CONFIG_NOTE_RECOVERED_PEER);
    }
    catch_up_continue(f, now, actions);
}

void
PhConfigFollower_RequestHellos(PhConfigFollower *f, PhTime now,
                               uint64_t version, GArray *actions)
{
    for (guint i = 0; i < f->peers->len; i++) {
        const PhPeerRow *row = g_ptr_array_index(f->peers, i);
        if (row->last_contact_at < 0 || row->version < version) {
            hello_send(f, now, row->member, true, actions);
        }
    }
}
