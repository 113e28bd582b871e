#include "peridothill/codec/config_record.h"
#include "services/config/config_task.h"

/* Subscribes to "peers" and "members"; called again until both have
 * started. */
void
PhConfigPeers_Subscribe(PhConfigTask *t)
{
    if (!t->peers_subscribed) {
        PhPeersMessage m = {.tag = PH_PEERS_LISTEN,
                            .as.listen = PH_CHANNEL_CONFIG};
        t->peers_subscribed =
            PhTask_SendTo(t->self, PH_SERVICE_PEERS,
                          PhPeersMessage_Wrap(&m)) == PH_STATUS_OK;
    }
    if (!t->members_subscribed) {
        PhMembersMessage m = {.tag = PH_MEMBERS_SUBSCRIBE};
        t->members_subscribed =
            PhTask_SendTo(t->self, PH_SERVICE_MEMBERS,
                          PhMembersMessage_Wrap(&m)) == PH_STATUS_OK;
    }
}

/* Takes ownership of the payload. */
static void
peer_payload_send(PhConfigTask *t, PhStr member, PhStr payload)
{
    PhPeersMessage m = {.tag = PH_PEERS_SEND,
                        .as.send = {.member = PhStr_Dup(member),
                                    .channel = PH_CHANNEL_CONFIG,
                                    .payload = payload}};
    PhTask_SendTo(t->self, PH_SERVICE_PEERS, PhPeersMessage_Wrap(&m));
}

/* Returns the number of records that fitted into the message. */
static size_t
message_send(PhConfigTask *t, PhStr member, const PhConfigPeerMessage *m)
{
    PhBuf buf = {0};
    size_t encoded = PhConfigPeerMessage_Encode(m, &buf);
    peer_payload_send(t, member, PhBuf_Take(&buf));
    return encoded;
}

/* Splits the records into as many messages as needed. */
static void
push_send(PhConfigTask *t, PhStr member, GPtrArray *records)
{
    size_t sent = 0;
    while (sent < records->len) {
        PhConfigPeerMessage m = {
            .kind = PH_CONFIG_PEER_PUSH,
            .as.push = {.records = (PhConfigRecord **)records->pdata + sent,
                        .count = records->len - sent}};
        sent += message_send(t, member, &m);
    }
}

static void
state_send(PhConfigTask *t, PhStr member, const PhConfigSnapshot *snapshot)
{
    PhStr text = PhConfigSnapshot_Encode(snapshot);
    uint64_t parts = (text.len + PH_CONFIG_STATE_PART_BYTES - 1) /
                     PH_CONFIG_STATE_PART_BYTES;
    for (uint64_t i = 0; i < parts; i++) {
        PhConfigPeerMessage m = {
            .kind = PH_CONFIG_PEER_STATE,
            .as.state = {.covers = snapshot->covers,
                         .part = i,
                         .parts = parts,
                         .bytes =
                             PhStr_Slice(text, i * PH_CONFIG_STATE_PART_BYTES,
                                         PH_CONFIG_STATE_PART_BYTES)}};
        message_send(t, member, &m);
    }
    PhStr_Clear(&text);
}

void
PhConfigPeers_Send(PhConfigTask *t, const PhConfigAction *action)
{
    PhConfigPeerMessage m;
    switch (action->kind) {
    case PH_CONFIG_ACTION_HELLO:
        m.kind = PH_CONFIG_PEER_HELLO;
        m.as.hello = action->as.hello;
        message_send(t, action->member, &m);
        break;
    case PH_CONFIG_ACTION_FETCH:
        m.kind = PH_CONFIG_PEER_FETCH;
        m.as.fetch = action->as.fetch;
        message_send(t, action->member, &m);
        break;
    case PH_CONFIG_ACTION_PUSH:
        push_send(t, action->member, action->as.push);
        break;
    case PH_CONFIG_ACTION_STATE:
        state_send(t, action->member, action->as.snapshot);
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

void
PhConfigAssembly_Clear(PhConfigAssembly *a)
{
    for (uint64_t i = 0; i < a->parts; i++) {
        PhStr_Clear(&a->bytes[i]);
    }
    g_free(a->bytes);
    PhStr_Clear(&a->member);
    *a = (PhConfigAssembly){0};
}

/* Stores a part; a part of another state discards the parts received so
 * far. */
static void
assembly_add(PhConfigAssembly *a, PhStr member, PhConfigStatePart *part)
{
    if (a->bytes == NULL || !PhStr_Equal(a->member, member) ||
        a->covers != part->covers || a->parts != part->parts) {
        PhConfigAssembly_Clear(a);
        a->member = PhStr_Dup(member);
        a->covers = part->covers;
        a->parts = part->parts;
        a->bytes = g_new0(PhStr, part->parts);
    }
    PhStr_Clear(&a->bytes[part->part]);
    a->bytes[part->part] = part->bytes;
    part->bytes = (PhStr){0};
}

/* False until all parts have been received. */
static bool
assembly_join(const PhConfigAssembly *a, PhBuf *text)
{
    for (uint64_t i = 0; i < a->parts; i++) {
        if (a->bytes[i].len == 0) {
            return false;
        }
        PhBuf_Append(text, a->bytes[i]);
    }
    return true;
}

static void
malformed_count(PhConfigTask *t)
{
    PhCounters_Add(PhKernel_Counters(PhTask_Kernel(t->self)),
                   PH_COUNTER_CONFIG_PEER_MALFORMED, 1);
}

/* Passes the state to the follower once its last part has been received. */
static void
state_receive(PhConfigTask *t, PhStr member, PhConfigStatePart *part)
{
    PhBuf text = {0};
    PhConfigSnapshot *snapshot = NULL;
    assembly_add(&t->assembly, member, part);
    if (assembly_join(&t->assembly, &text)) {
        PhResult result = PhConfigSnapshot_Decode(PhBuf_Str(&text), &snapshot);
        PhConfigAssembly_Clear(&t->assembly);
        if (PhResult_IsOk(&result)) {
            PhConfigEvent event = {.kind = PH_CONFIG_EVENT_STATE,
                                   .member = member,
                                   .as.state = snapshot};
            PhConfigTask_HandleFollowerEvent(t, &event);
        }
        else {
            malformed_count(t);
        }
    }
    PhConfigSnapshot_Unref(snapshot);
    PhBuf_Clear(&text);
}

static void
message_receive(PhConfigTask *t, PhStr member, PhConfigPeerMessage *m)
{
    PhConfigEvent event = {.member = member};
    switch (m->kind) {
    case PH_CONFIG_PEER_HELLO:
        event.kind = PH_CONFIG_EVENT_HELLO;
        event.as.hello = m->as.hello;
        break;
    case PH_CONFIG_PEER_FETCH:
        event.kind = PH_CONFIG_EVENT_FETCH;
        event.as.fetch = m->as.fetch;
        break;
    case PH_CONFIG_PEER_PUSH:
        event.kind = PH_CONFIG_EVENT_PUSH;
        event.as.push.records = m->as.push.records;
        event.as.push.count = m->as.push.count;
        break;
    case PH_CONFIG_PEER_STATE:
        state_receive(t, member, &m->as.state);
        return;
    }
    PhConfigTask_HandleFollowerEvent(t, &event);
}

void
PhConfigPeers_Receive(PhConfigTask *t, const PhPeersReceived *received)
{
    PhConfigPeerMessage m;
    PhStatus status = PhConfigPeerMessage_Decode(received->payload, &m);
    if (status == PH_STATUS_OK) {
        message_receive(t, received->member, &m);
        PhConfigPeerMessage_Clear(&m);
    }
    else if (status != PH_STATUS_NOT_FOUND) {
        malformed_count(t);
    }
}

/* Suspected members count as live until they are declared dead. */
static bool
is_live(const PhMember *member)
{
    switch (member->state) {
    case PH_MEMBER_ALIVE:
    case PH_MEMBER_SUSPECT:
        return true;
    case PH_MEMBER_DEAD:
    case PH_MEMBER_LEFT:
        return false;
    }
    return false;
}

/* Passes the live members to the follower and their number to the appender. */
void
PhConfigPeers_UpdateMembers(PhConfigTask *t, const PhMembersView *view)
{
    PhConfigPeer *peers = g_new0(PhConfigPeer, view->member_count + 1);
    size_t count = 0;
    for (size_t i = 0; i < view->member_count; i++) {
        const PhMember *m = &view->members[i];
        if (is_live(m) && !PhStr_Equal(m->id, t->options.instance)) {
            peers[count++] = (PhConfigPeer){
                .member = m->id,
                .local = PhStr_Equal(m->data_centre, t->options.data_centre)};
        }
    }
    PhConfigEvent event = {.kind = PH_CONFIG_EVENT_MEMBERS,
                           .as.members = {.self = t->options.instance,
                                          .peers = peers,
                                          .count = count}};
    PhAppendEvent append = {.kind = PH_APPEND_EVENT_INSTANCES,
                            .as.instances = count + 1};
    PhConfigTask_HandleFollowerEvent(t, &event);
    PhConfigTask_HandleAppenderEvent(t, &append);
    g_free(peers);
}
