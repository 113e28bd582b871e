#include "peridothill/services/members.h"

#include "members_report.h"
#include "peridothill/codec/member_message.h"
#include "peridothill/common/invariant.h"
#include "peridothill/decide/members/membership.h"
#include "peridothill/services/interface.h"
#include "peridothill/services/peers.h"
#include "peridothill/services/platform_list.h"

enum {
    MAILBOX_CAPACITY = 1024,
    MEMBERSHIP_TIMER = 1,
    ATTACH_TIMER = 2,
};

#define ATTACH_INTERVAL_NS PH_NS_PER_S

/* `stale` is set while the latest view did not fit into the task's mailbox. */
typedef struct PhSubscriber {
    PhTaskRef task;
    bool stale;
} PhSubscriber;

typedef struct PhMembersTask {
    PhMembership *membership;
    PhStr self;
    PhStr *seeds;
    size_t seed_count;
    uint16_t list_port;
    GArray *subscribers; /* PhSubscriber */
    PhTaskRef peers;     /* tasks to which this one has subscribed */
    PhTaskRef list;
    uint64_t view_sequence; /* sequence of the latest view */
} PhMembersTask;

static void
counter_increment(PhTask *self, PhCounter counter)
{
    PhCounters_Add(PhKernel_Counters(PhTask_Kernel(self)), counter, 1);
}

static void
message_send(PhTask *self, const PhMembershipAction *a)
{
    PhBuf payload = {0};
    PhMemberMessage_Encode(&a->as.send.message, &payload);
    PhPeersMessage m = {.tag = PH_PEERS_SEND,
                        .as.send = {.member = PhStr_Dup(a->as.send.member),
                                    .address = PhStr_Dup(a->as.send.address),
                                    .channel = PH_CHANNEL_MEMBERS,
                                    .payload = PhBuf_Take(&payload)}};
    PhTask_SendTo(self, PH_SERVICE_PEERS, PhPeersMessage_Wrap(&m));
}

/* A subscriber whose mailbox is full gets the view later. */
static void
view_send(PhMembersTask *t, PhTask *self, PhSubscriber *to)
{
    GArray *members = PhMembership_List(t->membership);
    PhMembershipReachability reachability =
        PhMembership_Reachability(t->membership);
    PhMembersView view = {
        .sequence = t->view_sequence,
        .self = t->self,
        .members = (PhMember *)members->data,
        .member_count = members->len,
        .own_data_centre_reachable = reachability.own_data_centre,
        .other_data_centres_reachable = reachability.other_data_centres,
        .platform_reachable = reachability.platform};
    for (guint i = 1; i < members->len; i++) {
        Ph_INVARIANT(
            PH_INVARIANT_MEMBER,
            PhStr_Compare(view.members[i - 1].id, view.members[i].id) < 0,
            "member=%.*s", PhStr_ARG(view.members[i].id));
    }
    PhMembersMessage m = {.tag = PH_MEMBERS_VIEW,
                          .as.view = PhMembersView_Copy(&view)};
    to->stale = PhTask_Send(self, to->task, PhMembersMessage_Wrap(&m)) ==
                PH_STATUS_FULL;
    g_array_free(members, TRUE);
}

static void
views_publish(PhMembersTask *t, PhTask *self)
{
    t->view_sequence++;
    for (guint i = 0; i < t->subscribers->len; i++) {
        view_send(t, self, &g_array_index(t->subscribers, PhSubscriber, i));
    }
}

/* Sends the view to subscribers that missed it. */
static void
views_resend(PhMembersTask *t, PhTask *self)
{
    for (guint i = 0; i < t->subscribers->len; i++) {
        PhSubscriber *s = &g_array_index(t->subscribers, PhSubscriber, i);
        if (s->stale) {
            view_send(t, self, s);
        }
    }
}

static void
action_perform(PhMembersTask *t, PhTask *self, const PhMembershipAction *a)
{
    switch (a->kind) {
    case PH_MEMBERSHIP_SEND:
        message_send(self, a);
        return;
    case PH_MEMBERSHIP_SET_TIMER:
        if (a->as.set_timer == PH_TIME_NEVER) {
            PhTask_CancelTimer(self, MEMBERSHIP_TIMER);
        }
        else {
            PhTask_SetTimer(self, MEMBERSHIP_TIMER, a->as.set_timer);
        }
        return;
    case PH_MEMBERSHIP_VIEW_CHANGED:
        views_publish(t, self);
        return;
    case PH_MEMBERSHIP_REPORT:
        PhMembers_CountReport(self, a->as.report.what, a->as.report.member);
        return;
    }
}

static void
event_apply(PhMembersTask *t, PhTask *self, const PhMembershipEvent *event)
{
    GArray *actions = PhMembershipActions_Create();
    PhMembership_Apply(t->membership, event, PhTask_Now(self), actions);
    for (guint i = 0; i < actions->len; i++) {
        action_perform(t, self,
                       &g_array_index(actions, PhMembershipAction, i));
    }
    g_array_free(actions, TRUE);
}

static void
event_apply_kind(PhMembersTask *t, PhTask *self, PhMembershipEventKind kind)
{
    PhMembershipEvent event = {.kind = kind};
    event_apply(t, self, &event);
}

/* Subscribes to "peers" and "list", also after either was restarted. */
static void
services_attach(PhMembersTask *t, PhTask *self)
{
    PhKernel *kernel = PhTask_Kernel(self);
    PhTaskRef peers = PhKernel_Lookup(kernel, PH_SERVICE_PEERS);
    PhTaskRef list = PhKernel_Lookup(kernel, PH_SERVICE_LIST);
    PhPeersMessage listen = {.tag = PH_PEERS_LISTEN,
                             .as.listen = PH_CHANNEL_MEMBERS};
    PhListMessage subscribe = {.tag = PH_LIST_SUBSCRIBE};
    if (!PhTaskRef_IsNone(peers) && !PhTaskRef_Equal(peers, t->peers) &&
        PhTask_Send(self, peers, PhPeersMessage_Wrap(&listen)) ==
            PH_STATUS_OK) {
        t->peers = peers;
    }
    if (!PhTaskRef_IsNone(list) && !PhTaskRef_Equal(list, t->list) &&
        PhTask_Send(self, list, PhListMessage_Wrap(&subscribe)) ==
            PH_STATUS_OK) {
        t->list = list;
    }
    PhTask_SetTimer(self, ATTACH_TIMER, PhTask_Now(self) + ATTACH_INTERVAL_NS);
}

/* Passes on the seed addresses, and the addresses of listed entry instances
 * with the peer port. */
static void
candidates_update(PhMembersTask *t, PhTask *self, const PhListReading *reading)
{
    GPtrArray *owned = g_ptr_array_new_with_free_func(PhStr_KeyDestroy);
    for (size_t i = 0; i < t->seed_count; i++) {
        g_ptr_array_add(owned, PhStr_KeyCreate(t->seeds[i]));
    }
    for (size_t i = 0; t->list_port != 0 && i < reading->entry_count; i++) {
        const PhListEntry *e = &reading->entries[i];
        PhBuf address = {0};
        size_t host = e->address.len;
        while (host > 0 && e->address.data[host - 1] != ':') {
            host--;
        }
        if (e->role != PH_LIST_ENTRY || e->state != PH_LIST_LIVE) {
            continue;
        }
        PhBuf_AppendFormat(&address, "%.*s%u", (int)host,
                           host == 0 ? "" : e->address.data, t->list_port);
        g_ptr_array_add(owned, PhStr_KeyCreate(PhBuf_Str(&address)));
        PhBuf_Clear(&address);
    }
    GArray *addresses = g_array_new(FALSE, FALSE, sizeof(PhStr));
    for (guint i = 0; i < owned->len; i++) {
        g_array_append_val(addresses, *(PhStr *)owned->pdata[i]);
    }
    PhMembershipEvent event = {
        .kind = PH_MEMBERSHIP_CANDIDATES,
        .as.candidates = {(const PhStr *)addresses->data, addresses->len}};
    event_apply(t, self, &event);
    g_array_free(addresses, TRUE);
    g_ptr_array_free(owned, TRUE);
}

/* A failed reading changes nothing. */
static void
on_list(PhMembersTask *t, PhTask *self, const PhListMessage *m)
{
    switch (m->tag) {
    case PH_LIST_READING:
        if (m->as.reading.status == PH_STATUS_OK) {
            event_apply_kind(t, self, PH_MEMBERSHIP_PLATFORM_ANSWERED);
            candidates_update(t, self, &m->as.reading);
        }
        return;
    case PH_LIST_UNCHANGED:
        event_apply_kind(t, self, PH_MEMBERSHIP_PLATFORM_ANSWERED);
        return;
    case PH_LIST_SUBSCRIBE:
        return;
    }
}

static void
on_received(PhMembersTask *t, PhTask *self, const PhPeersReceived *received)
{
    PhMemberMessage message;
    PhStatus status = PhMemberMessage_Decode(received->payload, &message);
    if (status == PH_STATUS_OK) {
        PhMembershipEvent event = {.kind = PH_MEMBERSHIP_MESSAGE,
                                   .as.message = {received->member, &message}};
        event_apply(t, self, &event);
    }
    else if (status == PH_STATUS_NOT_FOUND) {
        counter_increment(self, PH_COUNTER_MEMBERS_UNKNOWN);
    }
    else {
        counter_increment(self, PH_COUNTER_MEMBERS_MALFORMED);
        PhTask_LOG(self, PH_EVENT_MEMBER_MESSAGE_REFUSED,
                   PhField_STR("member", received->member));
    }
    PhMemberMessage_Clear(&message);
}

static void
on_peers(PhMembersTask *t, PhTask *self, const PhPeersMessage *m)
{
    switch (m->tag) {
    case PH_PEERS_RECEIVED:
        on_received(t, self, &m->as.received);
        return;
    case PH_PEERS_SEND:
    case PH_PEERS_LISTEN:
        return;
    }
}

static void
subscribe(PhMembersTask *t, PhTask *self, PhTaskRef from)
{
    PhSubscriber s = {.task = from};
    PhTask_Monitor(self, from);
    view_send(t, self, &s);
    g_array_append_val(t->subscribers, s);
}

static void
on_members(PhMembersTask *t, PhTask *self, PhTaskRef from,
           const PhMembersMessage *m)
{
    switch (m->tag) {
    case PH_MEMBERS_SUBSCRIBE:
        subscribe(t, self, from);
        return;
    case PH_MEMBERS_PLATFORM_ANSWERED:
        event_apply_kind(t, self, PH_MEMBERSHIP_PLATFORM_ANSWERED);
        return;
    case PH_MEMBERS_DRAIN:
        event_apply_kind(t, self, PH_MEMBERSHIP_DRAIN);
        return;
    case PH_MEMBERS_LEAVE:
        event_apply_kind(t, self, PH_MEMBERSHIP_LEAVE);
        PhTask_End(self);
        return;
    case PH_MEMBERS_VIEW:
        return;
    }
}

static void
on_message(PhMembersTask *t, PhTask *self, const PhMail *mail)
{
    const void *body = mail->as.message.body;
    if (mail->as.message.interface == PH_INTERFACE_PEERS) {
        on_peers(t, self, body);
    }
    else if (mail->as.message.interface == PH_INTERFACE_LIST) {
        on_list(t, self, body);
    }
    else if (mail->as.message.interface == PH_INTERFACE_MEMBERS) {
        on_members(t, self, mail->from, body);
    }
}

static void
on_ended(PhMembersTask *t, PhTaskRef ended)
{
    for (guint i = t->subscribers->len; i > 0; i--) {
        PhSubscriber *s = &g_array_index(t->subscribers, PhSubscriber, i - 1);
        if (PhTaskRef_Equal(s->task, ended)) {
            g_array_remove_index_fast(t->subscribers, i - 1);
        }
    }
}

/* Until the first reading, the seeds are the only candidates. */
static void
on_start(PhMembersTask *t, PhTask *self)
{
    PhListReading none = {0};
    services_attach(t, self);
    candidates_update(t, self, &none);
}

static void
members_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhMembersTask *t = state;
    switch (mail->kind) {
    case PH_MAIL_START:
        on_start(t, self);
        break;
    case PH_MAIL_MESSAGE:
        on_message(t, self, mail);
        break;
    case PH_MAIL_TIMER:
        if (mail->as.timer == MEMBERSHIP_TIMER) {
            event_apply_kind(t, self, PH_MEMBERSHIP_TIMER);
        }
        else {
            services_attach(t, self);
            views_resend(t, self);
        }
        break;
    case PH_MAIL_IO:
        break;
    case PH_MAIL_ENDED:
        on_ended(t, mail->as.ended);
        break;
    case PH_MAIL_STOP:
        event_apply_kind(t, self, PH_MEMBERSHIP_LEAVE);
        PhTask_End(self);
        break;
    }
}

static void
members_destroy(void *state)
{
    PhMembersTask *t = state;
    PhMembership_Destroy(t->membership);
    PhStr_Clear(&t->self);
    for (size_t i = 0; i < t->seed_count; i++) {
        PhStr_Clear(&t->seeds[i]);
    }
    g_free(t->seeds);
    g_array_free(t->subscribers, TRUE);
    g_free(t);
}

static PhMembersTask *
members_create(const PhMembersOptions *options, PhTime now)
{
    PhMembersTask *t = g_new0(PhMembersTask, 1);
    t->membership = PhMembership_Create(
        &(PhMembershipOptions){.id = options->id,
                               .data_centre = options->data_centre,
                               .address = options->address,
                               .incarnation = options->incarnation,
                               .seed = options->seed,
                               .times = PhMembershipTimes_Default()},
        now);
    t->self = PhStr_Dup(options->id);
    t->seeds = g_new0(PhStr, options->seed_count);
    t->seed_count = options->seed_count;
    for (size_t i = 0; i < options->seed_count; i++) {
        t->seeds[i] = PhStr_Dup(options->seeds[i]);
    }
    t->list_port = options->list_port;
    t->subscribers = g_array_new(FALSE, FALSE, sizeof(PhSubscriber));
    return t;
}

PhStatus
PhMembers_Start(PhKernel *kernel, const PhMembersOptions *options)
{
    PhMembersTask *t = members_create(options, PhKernel_Now(kernel));
    PhTaskSpec spec = {.name = PH_SERVICE_MEMBERS,
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = t,
                       .handle = members_handle,
                       .destroy = members_destroy};
    return PhKernel_Spawn(kernel, &spec, NULL);
}
