#include "entry_internal.h"

#include "peridothill/services/interface.h"
#include "peridothill/services/peers.h"
#include "peridothill/services/platform_list.h"

enum {
    ATTACH_INTERVAL_MS = 100
};

/* The bit stays set if the service has not started yet. */
static void
attach_one(PhEntry *entry, unsigned bit, PhStr service, PhMessage message)
{
    if ((entry->unattached & bit) != 0 &&
        PhTask_SendTo(entry->self, service, message) == PH_STATUS_OK) {
        entry->unattached &= ~bit;
    }
}

/* Services that have not started are tried again after ATTACH_INTERVAL_MS. */
void
PhEntry_Attach(PhEntry *entry)
{
    if ((entry->unattached & ENTRY_ATTACH_CONFIG) != 0) {
        attach_one(entry, ENTRY_ATTACH_CONFIG, PH_SERVICE_CONFIG,
                   PhConfigMessage_Wrap(
                       &(PhConfigMessage){.tag = PH_CONFIG_SUBSCRIBE}));
    }
    if ((entry->unattached & ENTRY_ATTACH_LIST) != 0) {
        attach_one(
            entry, ENTRY_ATTACH_LIST, PH_SERVICE_LIST,
            PhListMessage_Wrap(&(PhListMessage){.tag = PH_LIST_SUBSCRIBE}));
    }
    if ((entry->unattached & ENTRY_ATTACH_MEMBERS) != 0) {
        attach_one(entry, ENTRY_ATTACH_MEMBERS, PH_SERVICE_MEMBERS,
                   PhMembersMessage_Wrap(
                       &(PhMembersMessage){.tag = PH_MEMBERS_SUBSCRIBE}));
    }
    if ((entry->unattached & ENTRY_ATTACH_PEERS) != 0) {
        attach_one(entry, ENTRY_ATTACH_PEERS, PH_SERVICE_PEERS,
                   PhPeersMessage_Wrap(&(PhPeersMessage){
                       .tag = PH_PEERS_LISTEN, .as.listen = PH_CHANNEL_KEYS}));
    }
    if (entry->unattached != 0) {
        PhTask_SetTimer(entry->self, TIMER_ATTACH,
                        PhTask_Now(entry->self) +
                            ATTACH_INTERVAL_MS * PH_NS_PER_MS);
    }
}

static void
workers_update(PhEntry *entry, const PhListReading *reading)
{
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(PhWorkerRow));
    for (size_t i = 0; i < reading->entry_count; i++) {
        const PhListEntry *e = &reading->entries[i];
        if (e->role == PH_LIST_WORKER) {
            PhWorkerRow row = {.id = e->id,
                               .address = e->address,
                               .data_centre = e->data_centre,
                               .services = e->services,
                               .slots = e->slots,
                               .connections = e->connections,
                               .leaving = e->state == PH_LIST_LEAVING};
            g_array_append_val(rows, row);
        }
    }
    PhRequestsEvent event = {.tag = PH_REQUESTS_WORKERS};
    event.as.workers.rows = (const PhWorkerRow *)rows->data;
    event.as.workers.count = rows->len;
    PhEntry_Decide(entry, &event);
    g_array_free(rows, TRUE);
}

/* If the list could not be read, the last reading remains in force. */
static void
list_receive(PhEntry *entry, const PhListMessage *m)
{
    switch (m->tag) {
    case PH_LIST_READING:
        if (m->as.reading.status == PH_STATUS_OK) {
            workers_update(entry, &m->as.reading);
        }
        break;
    case PH_LIST_SUBSCRIBE:
    case PH_LIST_UNCHANGED:
        break;
    }
}

static void
config_receive(PhEntry *entry, const PhConfigMessage *message)
{
    if (message->tag != PH_CONFIG_IN_FORCE) {
        return;
    }
    const PhConfigState *state = message->as.in_force;
    GArray *policies = PhEntry_ReadPolicies(entry, state);
    PhRequestsEvent event = {
        .tag = PH_REQUESTS_POLICIES,
        .as.policies = {.version = PhConfigState_Version(state),
                        .rows = (PhServicePolicy *)policies->data,
                        .count = policies->len}};
    PhTask_LOG(entry->self, PH_EVENT_ENTRY_POLICIES,
               PhField_U64("version", event.as.policies.version),
               PhField_U64("services", policies->len));
    PhEntry_Decide(entry, &event);
    g_array_free(policies, TRUE);
}

static void
members_receive(PhEntry *entry, const PhMembersMessage *message)
{
    if (message->tag != PH_MEMBERS_VIEW) {
        return;
    }
    const PhMembersView *view = &message->as.view;
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(PhKeyMember));
    for (size_t i = 0; i < view->member_count; i++) {
        const PhMember *member = &view->members[i];
        if (member->state != PH_MEMBER_LEFT) {
            PhKeyMember row = {.id = member->id,
                               .reachable = member->state != PH_MEMBER_DEAD,
                               .incarnation = member->incarnation};
            g_array_append_val(rows, row);
        }
    }
    PhRequestsEvent event = {.tag = PH_REQUESTS_MEMBERS};
    event.as.members.rows = (const PhKeyMember *)rows->data;
    event.as.members.count = rows->len;
    PhEntry_Decide(entry, &event);
    g_array_free(rows, TRUE);
}

static void
reply_receive(PhEntry *entry, const PhHttpMessage *message)
{
    if (message->tag != PH_HTTP_REPLY) {
        return;
    }
    const PhHttpReply *reply = &message->as.reply;
    PhRequestsEvent event = {
        .tag = PH_REQUESTS_REPLIED,
        .as.replied = {.attempt = reply->id,
                       .end = PhEntry_AttemptEnd(reply),
                       .not_sent = reply->outcome == PH_HTTP_NOT_SENT,
                       .reused = reply->reused_connection,
                       .status = reply->status}};
    entry->reply = reply;
    PhEntry_Decide(entry, &event);
    entry->reply = NULL;
}

static void
peers_receive(PhEntry *entry, const PhPeersMessage *message)
{
    if (message->tag == PH_PEERS_RECEIVED) {
        PhEntry_ReceiveKey(entry, message->as.received.member,
                           message->as.received.payload);
    }
}

void
PhEntry_Receive(PhEntry *entry, const PhMessage *message)
{
    switch ((PhInterface)message->interface) {
    case PH_INTERFACE_HTTP:
        reply_receive(entry, message->body);
        break;
    case PH_INTERFACE_LIST:
        list_receive(entry, message->body);
        break;
    case PH_INTERFACE_CONFIG:
        config_receive(entry, message->body);
        break;
    case PH_INTERFACE_MEMBERS:
        members_receive(entry, message->body);
        break;
    case PH_INTERFACE_PEERS:
        peers_receive(entry, message->body);
        break;
    case PH_INTERFACE_LOG:
    case PH_INTERFACE_REQUEST:
    case PH_INTERFACE_TASKS:
    case PH_INTERFACE_WORKER:
    case PH_INTERFACE_OPERATORS:
    case PH_INTERFACE_STORE:
    case PH_INTERFACE_ORDERS:
    case PH_INTERFACE_SCHEDULE:
        break;
    }
}
