/* Links between the owner of the jobs and the other instances.  An instance
 * sends a hello to the owner and then forwards its clients' calls to it. */
#include <sodium.h>

#include "peridothill/services/peers.h"
#include "schedule_task.h"

enum {
    KEY_BYTES = 32,
    MILLI = 1000,
    SPEC_BYTES_MAX = 48 * 1024, /* fits into a frame of the peer protocol */
    UPTIME_MS_MAX = INT32_MAX,
    RETRY_AFTER_MS_MAX = 60 * 1000,
};

uint64_t
PhScheduleLink_NumberOrigin(void)
{
    uint64_t origin;
    randombytes_buf(&origin, sizeof(origin));
    return origin / 2; /* leaves room to count up */
}

/* Prepares the links.  They start once the shared key is known; without a link
 * address, instances exchange data through the store only. */
void
PhScheduleLink_Open(PhScheduleTask *t, const PhScheduleOptions *options)
{
    t->options = *options;
    t->options.instance = PhStr_Dup(options->instance);
    t->options.data_centre = PhStr_Dup(options->data_centre);
    t->options.deployment = PhStr_Dup(options->deployment);
    t->options.link = PhStr_Dup(options->link);
    t->last_forwarded = PhScheduleLink_NumberOrigin();
    t->standbys = PhStandbys_Create();
    uint8_t key[KEY_BYTES];
    randombytes_buf(key, sizeof(key));
    t->claim_key = PhStr_Dup(PhStr_FromBytes(key, sizeof(key)));
    sodium_memzero(key, sizeof(key));
}

void
PhScheduleLink_DestroyForwardedCall(gpointer value)
{
    PhForwardedCall *f = value;
    PhClientCall_Clear(&f->call);
    g_free(f);
}

static void
link_start(PhScheduleTask *t)
{
    uint16_t port = 0;
    PhPeersOptions o = {.listen = t->options.link,
                        .id = t->options.instance,
                        .data_centre = t->options.data_centre,
                        .deployment = t->options.deployment,
                        .keys = &t->link_key,
                        .key_count = 1};
    randombytes_buf(&o.seed, sizeof(o.seed));
    PhResult r = PhPeers_Start(PhTask_Kernel(t->self), &o, &port);
    if (!PhResult_IsOk(&r)) {
        PhTask_LOG(t->self, PH_EVENT_SCHEDULE_LINK_FAILED,
                   PhField_STR("reason", PhResult_Message(&r)));
        t->link.enabled = false;
        return;
    }
    PhPeersMessage m = {.tag = PH_PEERS_LISTEN,
                        .as.listen = PH_CHANNEL_SCHEDULE};
    PhTask_SendTo(t->self, PH_SERVICE_PEERS, PhPeersMessage_Wrap(&m));
}

void
PhScheduleLink_SetKey(PhScheduleTask *t, PhStr key)
{
    if (t->link_key.len > 0 || key.len != KEY_BYTES || !t->link.enabled) {
        return;
    }
    t->link_key = PhStr_Dup(key);
    link_start(t);
}

/* Sends a message to the named instance or, if `instance` is empty, to an
 * address. */
static void
link_send(PhScheduleTask *t, PhStr instance, PhStr address,
          const PhLinkMessage *message)
{
    PhPeersMessage m = {.tag = PH_PEERS_SEND,
                        .as.send = {.channel = PH_CHANNEL_SCHEDULE}};
    m.as.send.member = instance.len > 0 ? PhStr_Dup(instance) : (PhStr){0};
    m.as.send.address = address.len > 0 ? PhStr_Dup(address) : (PhStr){0};
    m.as.send.payload = PhLinkMessage_Encode(message);
    PhTask_SendTo(t->self, PH_SERVICE_PEERS, PhPeersMessage_Wrap(&m));
}

void
PhScheduleLink_Send(PhScheduleTask *t, PhStr instance, const PhLinkMessage *m)
{
    link_send(t, instance, (PhStr){0}, m);
}

static const PhScheduleTag schedule_tags[] = {
    [PH_LINK_SUBMIT] = PH_SCHEDULE_SUBMIT,
    [PH_LINK_CANCEL] = PH_SCHEDULE_CANCEL,
    [PH_LINK_STATE] = PH_SCHEDULE_STATE,
    [PH_LINK_PENDING] = PH_SCHEDULE_PENDING,
};

static PhLinkCall
link_call(PhScheduleTag tag)
{
    PhLinkCall call = PH_LINK_SUBMIT;
    while (call < PH_LINK_PENDING && schedule_tags[call] != tag) {
        call++;
    }
    return call;
}

bool
PhScheduleLink_Forward(PhScheduleTask *t, PhClientCall *call)
{
    PhTime now = PhTask_Now(t->self);
    if (t->stage != OWNER_INACTIVE || !PhOwnerLink_IsUp(&t->link, now)) {
        return false;
    }
    PhLinkMessage m = {.tag = PH_LINK_ASK};
    PhSchedEncoded record = {0};
    if (call->tag == PH_SCHEDULE_SUBMIT) {
        record = PhSchedRecord_EncodeJob(&call->spec);
        if (record.value.len > SPEC_BYTES_MAX) {
            PhSchedEncoded_Clear(&record);
            return false;
        }
    }
    if (call->tag == PH_SCHEDULE_SUBMIT) {
        PhScheduleDispatch_KeepPayload(t, call->subject, call->spec.payload);
    }
    PhForwardedCall *f = g_new0(PhForwardedCall, 1);
    f->number = ++t->last_forwarded;
    f->call = *call;
    *call = (PhClientCall){0};
    g_hash_table_insert(t->forwarded_calls, &f->number, f);
    m.as.ask.number = f->number;
    m.as.ask.call = link_call(f->call.tag);
    m.as.ask.subject = f->call.subject;
    m.as.ask.record = record.value;
    m.as.ask.wait_ms =
        (uint64_t)(MAX(f->call.deadline - now, 0) / PH_NS_PER_MS);
    link_send(t, (PhStr){0}, t->link.address, &m);
    PhSchedEncoded_Clear(&record);
    PhTask_SetTimer(t->self, TIMER_LINK,
                    MIN(f->call.deadline, PhOwnerLink_Due(&t->link, now)));
    return true;
}

/* Handles a call here that the owner did not handle. */
static void
forwarded_call_handle_locally(PhScheduleTask *t, PhForwardedCall *f,
                              bool outcome_unknown)
{
    f->call.outcome_unknown = outcome_unknown;
    PhScheduleCalls_HandleLocally(t, &f->call);
}

/* Handles all unanswered calls here.  The owner may have acted on any of
 * them. */
static void
forwarded_calls_handle_locally(PhScheduleTask *t)
{
    GHashTable *all = t->forwarded_calls;
    GHashTableIter iter;
    gpointer value;
    if (g_hash_table_size(all) == 0) {
        return;
    }
    PhTask_LOG(t->self, PH_EVENT_SCHEDULE_OWNER_SILENT,
               PhField_U64("calls", g_hash_table_size(all)));
    t->forwarded_calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                              PhScheduleLink_DestroyForwardedCall);
    g_hash_table_iter_init(&iter, all);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        forwarded_call_handle_locally(t, value, true);
    }
    g_hash_table_destroy(all);
}

/* Answers an expired call.  A submission or cancellation may have taken effect
 * at the owner. */
static gboolean
forwarded_call_expire(gpointer key, gpointer value, gpointer data)
{
    PhForwardedCall *f = value;
    PhScheduleTask *t = data;
    (void)key;
    if (f->call.deadline > PhTask_Now(t->self)) {
        return FALSE;
    }
    PhTask_LOG(t->self, PH_EVENT_SCHEDULE_NOT_KNOWN,
               PhField_STR("job", f->call.subject),
               PhField_U64("sequence", f->number));
    bool changes =
        f->call.tag == PH_SCHEDULE_SUBMIT || f->call.tag == PH_SCHEDULE_CANCEL;
    PhScheduleCalls_AnswerTag(t, &f->call.origin,
                              changes ? PH_SCHEDULE_OUTCOME_UNKNOWN
                                      : PH_SCHEDULE_REFUSED);
    return TRUE;
}

/* Earliest deadline of the forwarded calls. */
static PhTime
forwarded_calls_due(const PhScheduleTask *t)
{
    PhTime due = PH_TIME_NEVER;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, t->forwarded_calls);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        due = MIN(due, ((const PhForwardedCall *)value)->call.deadline);
    }
    return due;
}

void
PhScheduleLink_Update(PhScheduleTask *t)
{
    PhTime now = PhTask_Now(t->self);
    if (!t->link.enabled) {
        return;
    }
    bool owner = t->stage != OWNER_INACTIVE;
    PhOwnerLink_SetOwner(
        &t->link, owner ? (PhStr){0} : PhElection_Address(t->election), now);
    bool ready = PhScheduleTopics_AreLoaded(t);
    if (ready != t->announced_ready) {
        PhOwnerLink_HastenHello(&t->link, now);
    }
    if (PhOwnerLink_TakeHello(&t->link, now)) {
        t->announced_ready = ready;
        PhLinkMessage m = {
            .tag = PH_LINK_HELLO,
            .as.hello = {.cpu_milli = (uint64_t)(t->options.cpu_share * MILLI),
                         .fence = PhElection_OwnerFence(t->election),
                         .uptime_ms =
                             (uint64_t)((now - t->started_at) / PH_NS_PER_MS),
                         .number = PhScheduleDispatch_NumberHello(t),
                         .ready = ready,
                         .leaving = t->draining}};
        link_send(t, (PhStr){0}, t->link.address, &m);
    }
    if (!PhOwnerLink_IsUp(&t->link, now)) {
        forwarded_calls_handle_locally(t);
    }
    g_hash_table_foreach_remove(t->forwarded_calls, forwarded_call_expire, t);
    PhScheduleWaiting_Update(t);
    PhScheduleOwner_PublishRole(t);
    PhTime due = MIN(PhOwnerLink_Due(&t->link, now), forwarded_calls_due(t));
    if (due != PH_TIME_NEVER) {
        PhTask_SetTimer(t->self, TIMER_LINK, MAX(due, now));
    }
}

static PhLinkMessage
make_welcome(const PhScheduleTask *t, bool standby)
{
    return (PhLinkMessage){
        .tag = PH_LINK_WELCOME,
        .as.welcome = {.standby = standby,
                       .lasting_closed = PhScheduler_IsLastingClosed(
                           t->scheduler, PhTask_Now(t->self)),
                       .store_silent = t->loss_announced}};
}

void
PhScheduleLink_WelcomeAll(PhScheduleTask *t)
{
    GArray *all = PhStandbys_Instances(t->standbys, PhTask_Now(t->self));
    for (guint i = 0; i < all->len; i++) {
        PhStr instance = g_array_index(all, PhStr, i);
        PhLinkMessage m =
            make_welcome(t, PhStandbys_IsStandby(t->standbys, instance));
        link_send(t, instance, (PhStr){0}, &m);
    }
    g_array_free(all, TRUE);
}

/* Answers a hello with a welcome, or with a dismissal if this instance is not
 * the active owner. */
static void
on_hello(PhScheduleTask *t, PhStr instance, PhStr data_centre,
         const PhLinkMessage *hello)
{
    PhTime now = PhTask_Now(t->self);
    PhLinkMessage m = {.tag = PH_LINK_NOT_OWNER};
    PhElection_OnHello(t->election, instance, hello->as.hello.fence, now);
    if (t->stage == OWNER_ACTIVE) {
        PhHello h = {
            .cpu_milli = hello->as.hello.cpu_milli,
            .uptime = (PhTime)MIN(hello->as.hello.uptime_ms, UPTIME_MS_MAX) *
                      PH_NS_PER_MS,
            .ready = hello->as.hello.ready,
            .leaving = hello->as.hello.leaving};
        PhScheduleDispatch_OnHello(t, instance, hello);
        m = make_welcome(t, PhStandbys_OnHello(t->standbys, instance,
                                               data_centre, &h, now));
    }
    if (t->draining) {
        PhScheduleTask_RequestUpdate(t);
    }
    link_send(t, instance, (PhStr){0}, &m);
}

/* An owner that has lost the store may be replaced, so the topic is read. */
static void
on_welcome(PhScheduleTask *t, PhStr instance, const PhLinkMessage *m)
{
    bool standby = m->as.welcome.standby;
    PhTime now = PhTask_Now(t->self);
    if (t->stage != OWNER_INACTIVE ||
        !PhElection_IsNewestWriter(t->election, instance)) {
        return;
    }
    PhWelcome welcome = {.standby = standby,
                         .lasting_closed = m->as.welcome.lasting_closed};
    PhOwnerLink_OnWelcome(&t->link, &welcome, now);
    t->owner_store_silent =
        t->options.contact_limit > 0 && m->as.welcome.store_silent;
    if (t->owner_store_silent) {
        PhScheduleContact_ProbeUnproven(t);
        PhElection_OnOwnerSuspected(t->election, now);
        PhScheduleTask_RequestUpdate(t);
    }
    else if (!standby) {
        PhElection_OnOwnerContact(t->election, now);
    }
    PhScheduleLink_Update(t);
    PhScheduleContact_Update(t);
}

static void
on_dismiss(PhScheduleTask *t, PhStr instance)
{
    if (!PhElection_IsNewestWriter(t->election, instance)) {
        return;
    }
    PhOwnerLink_OnNotOwner(&t->link, PhTask_Now(t->self));
    PhElection_OnOwnerSuspected(t->election, PhTask_Now(t->self));
    PhScheduleContact_ProbeUnproven(t);
    forwarded_calls_handle_locally(t);
    PhScheduleTask_RequestUpdate(t);
}

void
PhScheduleLink_DismissAll(PhScheduleTask *t)
{
    PhLinkMessage m = {.tag = PH_LINK_NOT_OWNER};
    GArray *all = PhStandbys_Instances(t->standbys, PhTask_Now(t->self));
    for (guint i = 0; i < all->len; i++) {
        link_send(t, g_array_index(all, PhStr, i), (PhStr){0}, &m);
    }
    g_array_free(all, TRUE);
}

PhSuccessor
PhScheduleLink_ChooseSuccessor(PhScheduleTask *t)
{
    PhTime now = PhTask_Now(t->self);
    PhSuccessor chosen =
        PhStandbys_ChooseSuccessor(t->standbys, now - t->started_at, now);
    if (chosen.is_new) {
        PhLinkMessage m = make_welcome(t, true);
        link_send(t, chosen.instance, (PhStr){0}, &m);
    }
    return chosen;
}

/* Decodes the job of a forwarded submission.  Answers the call and returns
 * false if it is malformed. */
static bool
ask_read_job(PhScheduleTask *t, const PhLinkMessage *m, PhClientCall *call)
{
    PhResult r =
        PhSchedRecord_DecodeJob(call->subject, m->as.ask.record, &call->spec);
    if (PhResult_IsOk(&r)) {
        return true;
    }
    PhTask_LOG(t->self, PH_EVENT_SCHEDULE_UNREADABLE,
               PhField_STR("key", call->subject),
               PhField_STR("reason", PhResult_Message(&r)));
    PhScheduleCalls_AnswerTag(t, &call->origin, PH_SCHEDULE_INVALID);
    return false;
}

/* Handles a call forwarded by another instance. */
static void
on_ask(PhScheduleTask *t, PhStr instance, const PhLinkMessage *m)
{
    PhClientCall call = {
        .tag = schedule_tags[m->as.ask.call],
        .origin = {.instance = PhStr_Dup(instance), .call = m->as.ask.number},
        .deadline =
            PhTask_Now(t->self) + (PhTime)m->as.ask.wait_ms * PH_NS_PER_MS,
        .subject = PhStr_Dup(m->as.ask.subject)};
    if (t->stage != OWNER_ACTIVE) {
        PhScheduleCalls_AnswerTag(t, &call.origin, PH_SCHEDULE_NOT_OWNER);
    }
    else if (call.tag != PH_SCHEDULE_SUBMIT || ask_read_job(t, m, &call)) {
        if (call.tag == PH_SCHEDULE_SUBMIT) {
            PhScheduleDispatch_OnForwarded(t, call.subject, instance);
        }
        PhScheduleCalls_HandleLocally(t, &call);
    }
    PhClientCall_Clear(&call);
}

void
PhScheduleLink_Answer(PhScheduleTask *t, PhStr instance,
                      const PhScheduleAnswer *a)
{
    PhLinkMessage m = {
        .tag = PH_LINK_ANSWER,
        .as.answer = {.number = a->id, .outcome = (uint64_t)a->tag}};
    if (a->tag == PH_SCHEDULE_JOB_STATE) {
        m.as.answer.value = (uint64_t)a->as.state;
    }
    else if (a->tag == PH_SCHEDULE_PENDING_COUNT) {
        m.as.answer.value = a->as.pending;
    }
    else if (a->tag == PH_SCHEDULE_OVERLOADED ||
             a->tag == PH_SCHEDULE_UNDER_WAY) {
        m.as.answer.value = (uint64_t)(a->as.retry_after / PH_NS_PER_MS);
    }
    link_send(t, instance, (PhStr){0}, &m);
}

/* Passes the owner's answer to the client, or handles the call here if the
 * owner refused it. */
static void
forwarded_call_answer(PhScheduleTask *t, PhForwardedCall *f,
                      PhScheduleAnswerTag outcome, uint64_t value)
{
    PhScheduleAnswer a = {.tag = outcome};
    switch (outcome) {
    case PH_SCHEDULE_REFUSED:
    case PH_SCHEDULE_NOT_OWNER:
        f->call.owner_refused = true;
        PhScheduleContact_ProbeUnproven(t);
        forwarded_call_handle_locally(t, f, false);
        return;
    case PH_SCHEDULE_JOB_STATE:
        a.as.state = (PhSchedJobState)MIN(value, PH_SCHED_JOB_CANCELLED);
        break;
    case PH_SCHEDULE_PENDING_COUNT:
        a.as.pending = value;
        break;
    case PH_SCHEDULE_OVERLOADED:
    case PH_SCHEDULE_UNDER_WAY:
        a.as.retry_after =
            (PhTime)MIN(value, RETRY_AFTER_MS_MAX) * PH_NS_PER_MS;
        break;
    case PH_SCHEDULE_ACCEPTED:
    case PH_SCHEDULE_INVALID:
    case PH_SCHEDULE_NO_QUEUE:
    case PH_SCHEDULE_OUTCOME_UNKNOWN:
    case PH_SCHEDULE_NO_JOB:
    case PH_SCHEDULE_CANCELLED:
    case PH_SCHEDULE_READINESS:
        break;
    }
    PhScheduleCalls_Answer(t, &f->call.origin, a);
}

static void
on_answer(PhScheduleTask *t, const PhLinkMessage *m)
{
    PhForwardedCall *f =
        g_hash_table_lookup(t->forwarded_calls, &m->as.answer.number);
    if (f == NULL || m->as.answer.outcome > PH_SCHEDULE_UNDER_WAY) {
        return;
    }
    g_hash_table_steal(t->forwarded_calls, &f->number);
    forwarded_call_answer(t, f, (PhScheduleAnswerTag)m->as.answer.outcome,
                          m->as.answer.value);
    PhScheduleLink_DestroyForwardedCall(f);
}

void
PhScheduleLink_OnPayload(PhScheduleTask *t, PhStr instance, PhStr data_centre,
                         PhStr payload)
{
    PhLinkMessage m;
    if (!PhLinkMessage_Decode(payload, &m)) {
        PhTask_LOG(
            t->self, PH_EVENT_SCHEDULE_UNREADABLE,
            PhField_STR("key", instance),
            PhField_STR("reason", PhStr_LITERAL("link message malformed")));
        PhLinkMessage_Clear(&m);
        return;
    }
    switch (m.tag) {
    case PH_LINK_HELLO:
        on_hello(t, instance, data_centre, &m);
        break;
    case PH_LINK_WELCOME:
        on_welcome(t, instance, &m);
        break;
    case PH_LINK_NOT_OWNER:
        on_dismiss(t, instance);
        break;
    case PH_LINK_ASK:
        on_ask(t, instance, &m);
        break;
    case PH_LINK_ANSWER:
        on_answer(t, &m);
        break;
    case PH_LINK_ORDERS:
        PhScheduleDispatch_OnOrders(t, instance, &m);
        break;
    case PH_LINK_OUTCOMES:
        PhScheduleDispatch_OnOutcomes(t, instance, &m);
        break;
    case PH_LINK_ENDS:
        PhScheduleDispatch_OnEnds(t, &m);
        break;
    }
    PhLinkMessage_Clear(&m);
}

void
PhScheduleLink_Clear(PhScheduleTask *t)
{
    g_hash_table_destroy(t->forwarded_calls);
    PhStandbys_Destroy(t->standbys);
    PhOwnerLink_Clear(&t->link);
    sodium_memzero((void *)t->link_key.data, t->link_key.len);
    sodium_memzero((void *)t->claim_key.data, t->claim_key.len);
    PhStr_Clear(&t->link_key);
    PhStr_Clear(&t->claim_key);
    PhStr_Clear(&t->options.instance);
    PhStr_Clear(&t->options.data_centre);
    PhStr_Clear(&t->options.deployment);
    PhStr_Clear(&t->options.link);
}
