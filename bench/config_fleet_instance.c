#include "bench/config_fleet_internal.h"
#include "peridothill/codec/config_peer.h"
#include "peridothill/codec/config_record.h"
#include "peridothill/common/invariant.h"

enum {
    HEADER_BYTES = 40 /* frame and packet headers, approximately */
};

/* Returns the row of a version; new rows are zeroed. */
static PhFleetVersion *
version_row(PhConfigFleet *f, uint64_t version)
{
    if (f->versions->len <= version) {
        g_array_set_size(f->versions, (guint)version + 1);
    }
    return &g_array_index(f->versions, PhFleetVersion, version);
}

/* A version must have one content and one patch on all instances. */
static void
version_check(PhFleetVersion *row, uint64_t version, uint64_t digest,
              uint64_t patch_id)
{
    Ph_INVARIANT(PH_INVARIANT_CONFIG_IN_FORCE,
                 digest == 0 || row->digest == 0 || row->digest == digest,
                 "version=%" PRIu64, version);
    Ph_INVARIANT(PH_INVARIANT_CONFIG_IN_FORCE,
                 patch_id == 0 || row->patch_id == 0 ||
                     row->patch_id == patch_id,
                 "version=%" PRIu64, version);
    row->digest = digest != 0 ? digest : row->digest;
    row->patch_id = patch_id != 0 ? patch_id : row->patch_id;
}

static void
version_in_force(PhConfigFleet *f, PhFleetInstance *x,
                 const PhConfigState *state)
{
    PhTime now = PhFakeNet_Now(f->net);
    uint64_t version = PhConfigState_Version(state);
    Ph_INVARIANT(PH_INVARIANT_CONFIG_IN_FORCE, version >= x->version,
                 "instance=%u held=%" PRIu64 " new=%" PRIu64, x->index,
                 x->version, version);
    version_check(version_row(f, version), version,
                  PhConfigState_Digest(state), 0);
    for (uint64_t v = x->version + 1; v <= version; v++) {
        PhFleetVersion *row = version_row(f, v);
        row->instance_count++;
        row->last_in_force_at = now;
    }
    x->version = version;
    if (x->first_in_force_at < 0) {
        x->first_in_force_at = now;
    }
}

static size_t
message_bytes(const PhConfigAction *action)
{
    PhBuf buf = {0};
    PhConfigPeerMessage m = {.kind = PH_CONFIG_PEER_HELLO,
                             .as.hello = action->as.hello};
    size_t bytes = HEADER_BYTES;
    if (action->kind == PH_CONFIG_ACTION_STATE) {
        PhStr text = PhConfigSnapshot_Encode(action->as.snapshot);
        bytes += text.len;
        PhStr_Clear(&text);
        return bytes;
    }
    if (action->kind == PH_CONFIG_ACTION_FETCH) {
        m.kind = PH_CONFIG_PEER_FETCH;
        m.as.fetch = action->as.fetch;
    }
    else if (action->kind == PH_CONFIG_ACTION_PUSH) {
        m.kind = PH_CONFIG_PEER_PUSH;
        m.as.push.records = (PhConfigRecord **)action->as.push->pdata;
        m.as.push.count = action->as.push->len;
    }
    PhConfigPeerMessage_Encode(&m, &buf);
    bytes += buf.len;
    PhBuf_Clear(&buf);
    return bytes;
}

static void
message_fill(PhFleetMessage *m, const PhConfigAction *action)
{
    switch (action->kind) {
    case PH_CONFIG_ACTION_HELLO:
        m->event.kind = PH_CONFIG_EVENT_HELLO;
        m->event.as.hello = action->as.hello;
        break;
    case PH_CONFIG_ACTION_FETCH:
        m->event.kind = PH_CONFIG_EVENT_FETCH;
        m->event.as.fetch = action->as.fetch;
        break;
    case PH_CONFIG_ACTION_PUSH:
        m->records = g_ptr_array_ref(action->as.push);
        m->event.kind = PH_CONFIG_EVENT_PUSH;
        m->event.as.push.records = (PhConfigRecord *const *)m->records->pdata;
        m->event.as.push.count = m->records->len;
        break;
    case PH_CONFIG_ACTION_STATE:
        m->event.kind = PH_CONFIG_EVENT_STATE;
        m->event.as.state = PhConfigSnapshot_Ref(action->as.snapshot);
        break;
    case PH_CONFIG_ACTION_READ_LOG:
    case PH_CONFIG_ACTION_READ_SNAPSHOTS:
    case PH_CONFIG_ACTION_WRITE_SNAPSHOT:
    case PH_CONFIG_ACTION_DECIDED:
    case PH_CONFIG_ACTION_IN_FORCE:
    case PH_CONFIG_ACTION_NOTE:
        break;
    }
}

/* The number at the end of the member's name is the index of the receiver. */
static void
message_send(PhConfigFleet *f, PhFleetInstance *x,
             const PhConfigAction *action)
{
    uint64_t to = 0;
    PhStr dc;
    PhStr number;
    PhStr_Cut(action->member, '-', &dc, &number);
    PhStr_ParseU64(number, &to);
    PhFleetMessage *m = g_rc_box_new0(PhFleetMessage);
    message_fill(m, action);
    f->counts.messages++;
    f->counts.bytes += message_bytes(action);
    PhFakeNet_Send(f->net, x->index, (uint32_t)to, 0, m);
}

static void
verdict_handle(PhConfigFleet *f, PhFleetInstance *x, const PhConfigVerdict *v)
{
    PhAppendEvent event = {.kind = PH_APPEND_EVENT_DECIDED, .as.decided = v};
    if (v->status == PH_STATUS_OK) {
        PhFleetVersion *row = version_row(f, v->version);
        version_check(row, v->version, 0, PhStr_Hash(v->id, 1));
        row->appended = v->appended_ms * PH_NS_PER_MS;
    }
    PhFleetInstance_Append(f, x, &event);
}

static void
action_handle(PhConfigFleet *f, PhFleetInstance *x,
              const PhConfigAction *action)
{
    switch (action->kind) {
    case PH_CONFIG_ACTION_READ_LOG:
        PhFleetLog_Read(f, x, action);
        break;
    case PH_CONFIG_ACTION_READ_SNAPSHOTS:
        PhFleetLog_ReadSnapshots(f, x, action);
        break;
    case PH_CONFIG_ACTION_WRITE_SNAPSHOT:
        PhFleetLog_WriteSnapshot(f, x, action->as.snapshot);
        break;
    case PH_CONFIG_ACTION_HELLO:
    case PH_CONFIG_ACTION_FETCH:
    case PH_CONFIG_ACTION_PUSH:
    case PH_CONFIG_ACTION_STATE:
        message_send(f, x, action);
        break;
    case PH_CONFIG_ACTION_DECIDED:
        verdict_handle(f, x, action->as.decided);
        break;
    case PH_CONFIG_ACTION_IN_FORCE:
        version_in_force(f, x, action->as.in_force);
        break;
    case PH_CONFIG_ACTION_NOTE:
        f->counts.notes[action->as.note]++;
        break;
    }
}

/* Sets the next timer of an instance unless one as early is set. */
static void
tick_set(PhConfigFleet *f, PhFleetInstance *x)
{
    PhTime next = MIN(PhConfigFollower_NextTick(x->follower),
                      PhConfigAppender_NextTick(x->appender));
    next = MAX(next, PhFakeNet_Now(f->net));
    if (next < x->tick_at) {
        x->tick_at = next;
        PhFakeNet_SetTimer(f->net, x->index, TOKEN_TICK, next);
    }
}

void
PhFleetInstance_Append(PhConfigFleet *f, PhFleetInstance *x,
                       const PhAppendEvent *event)
{
    GArray *actions = PhAppendActions_Create();
    PhConfigAppender_Handle(x->appender, PhFakeNet_Now(f->net), event,
                            actions);
    for (guint i = 0; i < actions->len; i++) {
        const PhAppendAction *a = &g_array_index(actions, PhAppendAction, i);
        switch (a->kind) {
        case PH_APPEND_ACTION_APPEND:
            PhFleetLog_Append(f, x, a);
            break;
        case PH_APPEND_ACTION_ANSWER:
            if (f->answered != NULL) {
                f->answered(f->context, a->as.answer.request,
                            &a->as.answer.result, a->as.answer.version);
            }
            break;
        }
    }
    g_array_free(actions, TRUE);
    tick_set(f, x);
}

void
PhFleetInstance_Follow(PhConfigFleet *f, PhFleetInstance *x,
                       const PhConfigEvent *event)
{
    GArray *actions = PhConfigActions_Create();
    PhConfigFollower_Handle(x->follower, PhFakeNet_Now(f->net), event,
                            actions);
    for (guint i = 0; i < actions->len; i++) {
        action_handle(f, x, &g_array_index(actions, PhConfigAction, i));
    }
    g_array_free(actions, TRUE);
    PhTime at = PhConfigFollower_ConfirmedAt(x->follower);
    if (at > x->log_available_at && at > x->append_failed_at) {
        PhAppendEvent available = {.kind = PH_APPEND_EVENT_LOG_AVAILABLE};
        x->log_available_at = at;
        PhFleetInstance_Append(f, x, &available);
    }
    tick_set(f, x);
}

void
PhFleetInstance_Answer(PhConfigFleet *f, PhFleetInstance *x, uint64_t token)
{
    PhFleetAnswer *a = g_hash_table_lookup(x->answers, &token);
    if (a == NULL) {
        return;
    }
    g_hash_table_steal(x->answers, &token);
    if (a->append) {
        PhStatus status = a->status;
        PhAppendEvent event = {.kind = PH_APPEND_EVENT_APPENDED,
                               .as.appended = status};
        if (status != PH_STATUS_OK) {
            x->append_failed_at = PhFakeNet_Now(f->net);
        }
        PhFleetInstance_Append(f, x, &event);
        a->event.as.appended += a->appended - 1;
        if (status == PH_STATUS_OK) {
            PhFleetInstance_Follow(f, x, &a->event);
        }
    }
    else {
        PhFleetInstance_Follow(f, x, &a->event);
    }
    PhFleetAnswer_Destroy(a);
}

void
PhFleetInstance_Tick(PhConfigFleet *f, PhFleetInstance *x)
{
    PhConfigEvent follow = {.kind = PH_CONFIG_EVENT_TICK};
    PhAppendEvent append = {.kind = PH_APPEND_EVENT_TICK};
    PhTime now = PhFakeNet_Now(f->net);
    if (now < x->tick_at) {
        return;
    }
    x->tick_at = PH_TIME_NEVER;
    if (PhConfigFollower_NextTick(x->follower) <= now) {
        PhFleetInstance_Follow(f, x, &follow);
    }
    if (PhConfigAppender_NextTick(x->appender) <= now) {
        PhFleetInstance_Append(f, x, &append);
    }
    tick_set(f, x);
}
