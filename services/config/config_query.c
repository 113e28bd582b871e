#include "services/config/config_task.h"

enum {
    HISTORY_ROWS = 100
};

static void
message_reply(PhConfigTask *t, PhTaskRef to, const PhConfigMessage *m)
{
    PhTask_Send(t->self, to, PhConfigMessage_Wrap(m));
}

void
PhConfigQuery_SendState(PhConfigTask *t, PhTaskRef to, PhConfigState *state)
{
    PhConfigMessage m = {.tag = PH_CONFIG_IN_FORCE,
                         .as.in_force = PhConfigState_Ref(state)};
    message_reply(t, to, &m);
}

void
PhConfigQuery_SendStateToAll(PhConfigTask *t, PhConfigState *state)
{
    for (guint i = 0; i < t->subscribers->len; i++) {
        PhConfigQuery_SendState(t, g_array_index(t->subscribers, PhTaskRef, i),
                                state);
    }
}

/* A new subscriber gets the state in force at once if there is one. */
static void
subscriber_add(PhConfigTask *t, PhTaskRef from)
{
    PhTime now = PhTask_Now(t->self);
    g_array_append_val(t->subscribers, from);
    PhTask_Monitor(t->self, from);
    if (PhConfigFollower_SyncState(t->follower, now) !=
        PH_CONFIG_SYNC_RECOVERING) {
        PhConfigQuery_SendState(
            t, from,
            PhConfigLedger_State(PhConfigFollower_Ledger(t->follower)));
    }
}

static void
verdict_send(PhConfigTask *t, PhTaskRef to, uint64_t request, PhStr id,
             const PhResult *result, uint64_t version)
{
    PhConfigMessage m = {.tag = PH_CONFIG_VERDICT,
                         .as.verdict = {.request = request,
                                        .id = PhStr_Dup(id),
                                        .result = *result,
                                        .version = version}};
    message_reply(t, to, &m);
}

/* Sends the verdict on an id; false if there is none. */
static bool
verdict_find(PhConfigTask *t, PhTaskRef to, uint64_t request, PhStr id)
{
    const PhConfigVerdict *v =
        PhConfigLedger_Find(PhConfigFollower_Ledger(t->follower), id);
    if (v == NULL) {
        return false;
    }
    PhResult result = PhResult_Make(v->status, "%.*s", PhStr_ARG(v->reason));
    verdict_send(t, to, request, id, &result, v->version);
    return true;
}

/* Random id for a patch without one. */
static PhStr
id_make(PhConfigTask *t)
{
    PhBuf buf = {0};
    PhBuf_AppendFormat(&buf, "%016" G_GINT64_MODIFIER "x%08x",
                       PhRandom_U64(t->random),
                       (unsigned)PhRandom_Below(t->random, UINT32_MAX));
    return PhBuf_Take(&buf);
}

/* Queues a patch; an id that was decided before is answered at once. */
static void
patch_submit(PhConfigTask *t, PhTaskRef from, const PhConfigSubmission *s)
{
    PhStr id = s->patch.id.len > 0 ? PhStr_Dup(s->patch.id) : id_make(t);
    if (verdict_find(t, from, s->request, id)) {
        PhStr_Clear(&id);
        return;
    }
    PhConfigWaiter *waiter = g_new0(PhConfigWaiter, 1);
    *waiter = (PhConfigWaiter){
        .number = ++t->next_number, .from = from, .request = s->request};
    g_hash_table_insert(t->waiters, &waiter->number, waiter);
    PhConfigPatch patch = s->patch;
    patch.id = id;
    PhAppendEvent event = {.kind = PH_APPEND_EVENT_SUBMIT,
                           .as.submit = {.request = waiter->number,
                                         .patch = &patch,
                                         .deadline = s->deadline}};
    PhConfigTask_HandleAppenderEvent(t, &event);
    PhStr_Clear(&id);
}

/* Counts answers that are not a verdict. */
static void
unanswered_count(PhConfigTask *t, PhStatus status)
{
    PhCounters *counters = PhKernel_Counters(PhTask_Kernel(t->self));
    if (status == PH_STATUS_UNAVAILABLE) {
        PhCounters_Add(counters, PH_COUNTER_CONFIG_NOT_ACCEPTED, 1);
    }
    else if (status == PH_STATUS_UNKNOWN) {
        PhCounters_Add(counters, PH_COUNTER_CONFIG_UNKNOWN, 1);
    }
}

void
PhConfigQuery_Answer(PhConfigTask *t, const PhAppendAction *action)
{
    uint64_t number = action->as.answer.request;
    const PhConfigWaiter *waiter = g_hash_table_lookup(t->waiters, &number);
    unanswered_count(t, action->as.answer.result.status);
    if (waiter != NULL) {
        verdict_send(t, waiter->from, waiter->request, action->as.answer.id,
                     &action->as.answer.result, action->as.answer.version);
        g_hash_table_remove(t->waiters, &number);
    }
}

static void
verdict_lookup(PhConfigTask *t, PhTaskRef from, const PhConfigFind *f)
{
    if (!verdict_find(t, from, f->request, f->id)) {
        PhResult result =
            PhResult_Make(PH_STATUS_NOT_FOUND,
                          "no verdict on this id among those remembered here");
        verdict_send(t, from, f->request, f->id, &result, 0);
    }
}

/* New reference to a version; NULL if it is not held. */
static PhConfigState *
state_at(const PhConfigTask *t, uint64_t version)
{
    const PhConfigLedger *ledger = PhConfigFollower_Ledger(t->follower);
    PhConfigState *state = version == PH_CONFIG_VERSION_IN_FORCE
                               ? PhConfigLedger_State(ledger)
                               : PhConfigLedger_StateAt(ledger, version);
    return state == NULL ? NULL : PhConfigState_Ref(state);
}

static void
versions_send(PhConfigTask *t, PhTaskRef from, const PhConfigGet *g)
{
    PhConfigMessage m = {.tag = PH_CONFIG_VERSIONS,
                         .as.versions = {.request = g->request,
                                         .from = state_at(t, g->from),
                                         .to = state_at(t, g->to)}};
    if (m.as.versions.from == NULL || m.as.versions.to == NULL) {
        PhConfigState_Unref(m.as.versions.from);
        PhConfigState_Unref(m.as.versions.to);
        m.as.versions.from = NULL;
        m.as.versions.to = NULL;
    }
    message_reply(t, from, &m);
}

/* Sends up to HISTORY_ROWS verdicts, latest first. */
static void
history_send(PhConfigTask *t, PhTaskRef from, uint64_t request)
{
    const GQueue *verdicts =
        PhConfigLedger_Verdicts(PhConfigFollower_Ledger(t->follower));
    PhConfigMessage m = {.tag = PH_CONFIG_VERDICTS,
                         .as.verdicts.request = request};
    PhConfigVerdicts *latest = &m.as.verdicts;
    latest->rows =
        g_new0(PhConfigVerdictRow, MIN(verdicts->length, HISTORY_ROWS));
    for (const GList *i = verdicts->tail;
         i != NULL && latest->row_count < HISTORY_ROWS; i = i->prev) {
        const PhConfigVerdict *v = i->data;
        latest->rows[latest->row_count++] = (PhConfigVerdictRow){
            .id = PhStr_Dup(v->id),
            .author = PhStr_Dup(v->author),
            .result = PhResult_Make(v->status, "%.*s", PhStr_ARG(v->reason)),
            .version = v->version,
            .appended_ms = v->appended_ms};
    }
    message_reply(t, from, &m);
}

/* Age in milliseconds; -1 if `at` is negative (never). */
static int64_t
age_ms(PhTime now, PhTime at)
{
    return at < 0 ? -1 : (now - at) / PH_NS_PER_MS;
}

static void
report_peers(const PhConfigTask *t, PhTime now, PhConfigReported *r)
{
    size_t count = PhConfigFollower_PeerCount(t->follower);
    r->peers = g_new0(PhConfigPeerRow, count);
    for (size_t i = 0; i < count; i++) {
        PhConfigPeerStatus view = PhConfigFollower_PeerAt(t->follower, i);
        r->peers[i] = (PhConfigPeerRow){.member = PhStr_Dup(view.member),
                                        .local = view.local,
                                        .version = view.version,
                                        .heard_ms_ago =
                                            age_ms(now, view.last_contact_at)};
    }
    r->peer_count = count;
}

/* Sends the status of this instance and its peers.  Also requests a hello from
 * peers not known to have the version in force, so that the next report is up
 * to date. */
static void
report_send(PhConfigTask *t, PhTaskRef from, uint64_t request)
{
    PhTime now = PhTask_Now(t->self);
    const PhConfigState *state =
        PhConfigLedger_State(PhConfigFollower_Ledger(t->follower));
    PhConfigMessage m = {
        .tag = PH_CONFIG_REPORTED,
        .as.reported = {
            .request = request,
            .standing = PhConfigFollower_SyncState(t->follower, now),
            .version = PhConfigState_Version(state),
            .digest = PhConfigState_Digest(state),
            .highest_heard = PhConfigFollower_HighestVersion(t->follower),
            .log_heard_ms_ago =
                age_ms(now, PhConfigFollower_ConfirmedAt(t->follower)),
            .reads_log = PhConfigFollower_ReadsLog(t->follower),
            .has_gap = PhConfigFollower_HasGap(t->follower),
            .patches_pending = PhConfigAppender_PendingCount(t->appender)}};
    report_peers(t, now, &m.as.reported);
    message_reply(t, from, &m);
    GArray *actions = PhConfigActions_Create();
    PhConfigFollower_RequestHellos(t->follower, now,
                                   PhConfigState_Version(state), actions);
    PhConfigTask_ExecuteActions(t, actions);
}

/* NOT_FOUND if there is no gap. */
static void
gap_skip(PhConfigTask *t, PhTaskRef from, uint64_t request)
{
    bool gap = PhConfigFollower_HasGap(t->follower);
    PhConfigEvent event = {.kind = PH_CONFIG_EVENT_BRIDGE};
    PhResult result =
        gap ? PhResult_Ok()
            : PhResult_Make(PH_STATUS_NOT_FOUND, "no records are missing");
    PhConfigTask_HandleFollowerEvent(t, &event);
    verdict_send(t, from, request, (PhStr){0}, &result,
                 PhConfigState_Version(PhConfigLedger_State(
                     PhConfigFollower_Ledger(t->follower))));
}

void
PhConfigQuery_Handle(PhConfigTask *t, PhTaskRef from, const PhConfigMessage *m)
{
    switch (m->tag) {
    case PH_CONFIG_SUBSCRIBE:
        subscriber_add(t, from);
        break;
    case PH_CONFIG_PATCH:
        patch_submit(t, from, &m->as.patch);
        break;
    case PH_CONFIG_FIND:
        verdict_lookup(t, from, &m->as.find);
        break;
    case PH_CONFIG_GET:
        versions_send(t, from, &m->as.get);
        break;
    case PH_CONFIG_HISTORY:
        history_send(t, from, m->as.history);
        break;
    case PH_CONFIG_REPORT:
        report_send(t, from, m->as.report);
        break;
    case PH_CONFIG_BRIDGE:
        gap_skip(t, from, m->as.bridge);
        break;
    case PH_CONFIG_IN_FORCE:
    case PH_CONFIG_VERDICT:
    case PH_CONFIG_VERSIONS:
    case PH_CONFIG_VERDICTS:
    case PH_CONFIG_REPORTED:
        break;
    }
}
