#include "schedule_task.h"
#include "peridothill/services/peers.h"

enum {
    MAILBOX_CAPACITY = 16384,
    CALL_BITS = 8, /* low bits of a call id, for the kind */
};

/* Claim delay of an instance with CLAIM_CPU_SHARE cores or less; it shrinks in
 * proportion as the share grows. */
static const PhTime CLAIM_DELAY = 400 * PH_NS_PER_MS;
static const double CLAIM_CPU_SHARE = 0.1;
static const PhTime CLAIM_JITTER = 100 * PH_NS_PER_MS;
/* Instances below CLAIM_CPU_SHARE read the store within this time. */
static const PhTime READ_DELAY_MAX = 20 * PH_NS_PER_S;

void
PhScheduleTask_Call(PhScheduleTask *t, PhStoreCall call, PhStoreMessage *m)
{
    m->id = t->epochs[call] << CALL_BITS | (uint64_t)call;
    PhScheduleContact_OnSent(t, call, m);
    PhTask_SendTo(t->self, PH_SERVICE_STORE, PhStoreMessage_Wrap(m));
}

/* Handles a reply of the store; one to an older epoch is ignored. */
static void
on_store(PhScheduleTask *t, const PhStoreReply *reply)
{
    PhStoreCall call = (PhStoreCall)(reply->id & ((1U << CALL_BITS) - 1));
    if (call >= CALL_KINDS) {
        return;
    }
    PhScheduleContact_OnReply(t, call, reply);
    if (reply->id >> CALL_BITS != t->epochs[call]) {
        return;
    }
    switch (call) {
    case CALL_ELECTION_READ:
    case CALL_ELECTION_APPEND:
        PhScheduleOwner_OnElection(t, call, reply);
        break;
    case CALL_JOBS_READ:
    case CALL_RUNS_READ:
        PhScheduleTopics_OnReply(t, call, reply);
        break;
    case CALL_ACCEPT:
        PhScheduleAccept_OnReply(t, reply);
        break;
    case CALL_FENCE:
        PhScheduleOwner_OnFence(t, reply);
        break;
    case CALL_RECORDS:
        PhScheduleRecords_OnReply(t, reply);
        break;
    case CALL_PROBE:
    case CALL_KINDS:
        break;
    }
}

/* Installs a newer configuration. */
static void
set_config(PhScheduleTask *t, PhScheduleMessage *m)
{
    PhSchedModel *model = PhScheduler_Model(t->scheduler);
    if (m->as.config->version <= model->config->version) {
        return;
    }
    PhSchedConfig_Destroy(model->config);
    model->config = m->as.config;
    m->as.config = NULL;
    PhTask_LOG(t->self, PH_EVENT_SCHEDULE_CONFIG,
               PhField_U64("version", model->config->version),
               PhField_U64("queues", model->config->queues->len));
}

static void
set_cordon(PhScheduleTask *t, const PhScheduleCordon *cordon)
{
    PhScheduler_SetCordon(t->scheduler, cordon->data_centre, cordon->cordoned,
                          PhTask_Now(t->self));
    PhTask_LOG(t->self,
               cordon->cordoned ? PH_EVENT_SCHEDULE_CORDON_BEGAN
                                : PH_EVENT_SCHEDULE_CORDON_ENDED,
               PhField_STR("data_centre", cordon->data_centre));
    PhScheduleTask_RequestUpdate(t);
}

/* Hands ownership over before the process stops. */
static void
begin_drain(PhScheduleTask *t)
{
    t->draining = true;
    t->stop_began_at = PhTask_Now(t->self);
    PhHandover_Begin(&t->handover, t->stop_began_at);
    /* The owner must not choose this instance as its successor any more. */
    PhOwnerLink_HastenHello(&t->link, t->stop_began_at);
    PhScheduleTask_RequestUpdate(t);
}

static void
on_schedule(PhScheduleTask *t, PhTaskRef from, PhScheduleMessage *m)
{
    switch (m->tag) {
    case PH_SCHEDULE_SUBMIT:
    case PH_SCHEDULE_STATE:
    case PH_SCHEDULE_CANCEL:
    case PH_SCHEDULE_PENDING:
    case PH_SCHEDULE_READY:
        PhScheduleCalls_OnCall(t, from, m->tag, &m->as.call);
        break;
    case PH_SCHEDULE_ANSWER:
    case PH_SCHEDULE_ROLE:
    case PH_SCHEDULE_CONTACT:
        break;
    case PH_SCHEDULE_CONFIG:
        set_config(t, m);
        break;
    case PH_SCHEDULE_WORKER:
        PhScheduler_SetWorker(t->scheduler, &m->as.worker,
                              PhTask_Now(t->self));
        PhScheduleTask_RequestUpdate(t);
        break;
    case PH_SCHEDULE_WORKER_REMOVED:
        PhScheduler_RemoveWorker(t->scheduler, m->as.removed_worker.id,
                                 m->as.removed_worker.removal,
                                 PhTask_Now(t->self));
        break;
    case PH_SCHEDULE_CORDON:
        set_cordon(t, &m->as.cordon);
        break;
    case PH_SCHEDULE_DRAIN:
        begin_drain(t);
        break;
    }
}

static void
on_peer(PhScheduleTask *t, const PhPeersMessage *m)
{
    if (m->tag == PH_PEERS_RECEIVED) {
        PhScheduleLink_OnPayload(t, m->as.received.member,
                                 m->as.received.data_centre,
                                 m->as.received.payload);
    }
}

static void
on_order(PhScheduleTask *t, const PhOrderReply *reply)
{
    if (reply->relay != 0) {
        if (reply->query) {
            PhScheduleDispatch_OnQuery(t, reply);
        }
        else {
            PhScheduleDispatch_OnReply(t, reply);
        }
        return;
    }
    PhScheduleOwner_OnOrder(t, reply);
}

static void
on_message(PhScheduleTask *t, const PhMail *mail)
{
    const PhMessage *m = &mail->as.message;
    switch ((PhInterface)m->interface) {
    case PH_INTERFACE_STORE:
        on_store(t, &((const PhStoreMessage *)m->body)->as.reply);
        break;
    case PH_INTERFACE_ORDERS:
        on_order(t, &((const PhOrderMessage *)m->body)->as.reply);
        break;
    case PH_INTERFACE_SCHEDULE:
        on_schedule(t, mail->from, m->body);
        break;
    case PH_INTERFACE_PEERS:
        on_peer(t, m->body);
        break;
    case PH_INTERFACE_HTTP:
    case PH_INTERFACE_LOG:
    case PH_INTERFACE_LIST:
    case PH_INTERFACE_REQUEST:
    case PH_INTERFACE_CONFIG:
    case PH_INTERFACE_TASKS:
    case PH_INTERFACE_WORKER:
    case PH_INTERFACE_MEMBERS:
    case PH_INTERFACE_OPERATORS:
        break;
    }
}

static void
on_timer(PhScheduleTask *t, uint64_t token)
{
    switch ((PhScheduleTimer)token) {
    case TIMER_UPDATE:
        PhScheduleOwner_Update(t);
        break;
    case TIMER_JOBS:
        PhScheduleTopics_Read(t, CALL_JOBS_READ);
        break;
    case TIMER_RUNS:
        PhScheduleTopics_Read(t, CALL_RUNS_READ);
        break;
    case TIMER_ACCEPT:
        PhScheduleAccept_Flush(t);
        break;
    case TIMER_RECORDS:
        PhScheduleOwner_RetryFence(t);
        PhScheduleRecords_Send(t);
        break;
    case TIMER_DEADLINES:
        PhScheduleAccept_Expire(t);
        break;
    case TIMER_LINK:
        PhScheduleLink_Update(t);
        PhScheduleTask_RequestUpdate(t);
        break;
    case TIMER_WAITING:
        PhScheduleWaiting_Update(t);
        break;
    case TIMER_OUTCOMES:
        PhScheduleDispatch_SendOutcomes(t);
        break;
    case TIMER_CONTACT:
        PhScheduleContact_OnTick(t);
        break;
    }
}

/* Instances with little CPU are many, and not the first to take over. */
static PhTime
read_delay(const PhScheduleOptions *options)
{
    uint64_t hash = PhStr_Hash(options->instance, 0);
    return options->cpu_share >= CLAIM_CPU_SHARE
               ? 0
               : (PhTime)(hash % (uint64_t)READ_DELAY_MAX);
}

static void
schedule_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhScheduleTask *t = state;
    t->self = self;
    switch (mail->kind) {
    case PH_MAIL_START:
        t->started_at = PhTask_Now(self);
        PhOwnerLink_Init(&t->link, t->options.link.len > 0,
                         read_delay(&t->options), t->started_at);
        PhScheduleContact_Start(t);
        PhScheduleOwner_PublishRole(t);
        PhScheduleTask_RequestUpdate(t);
        break;
    case PH_MAIL_MESSAGE:
        on_message(t, mail);
        break;
    case PH_MAIL_TIMER:
        on_timer(t, mail->as.timer);
        break;
    case PH_MAIL_STOP:
        PhTask_End(self);
        break;
    case PH_MAIL_IO:
    case PH_MAIL_ENDED:
        break;
    }
}

static void
schedule_destroy(void *state)
{
    PhScheduleTask *t = state;
    PhScheduleTopics_Clear(t);
    PhScheduleLink_Clear(t);
    PhScheduleDispatch_Destroy(t->dispatch);
    PhScheduleRecords_Clear(t);
    g_array_free(t->batch_records, TRUE);
    g_queue_clear_full(&t->accept_queue, PhScheduleAccept_Destroy);
    g_queue_clear_full(&t->state_calls, PhScheduleCalls_DestroyQueued);
    g_queue_clear_full(&t->look_calls, PhScheduleCalls_DestroyQueued);
    g_queue_clear_full(&t->waiting_calls, PhScheduleWaiting_Destroy);
    g_ptr_array_free(t->accept_batch, TRUE);
    PhScheduler_Destroy(t->scheduler);
    PhElection_Destroy(t->election);
    PhStr_Clear(&t->producer);
    g_free(t);
}

/* Delays claims by CPU share, plus a jitter derived from the instance's
 * name. */
static PhTime
claim_delay(const PhScheduleOptions *options)
{
    double cpu_share = MAX(options->cpu_share, CLAIM_CPU_SHARE);
    PhTime jitter =
        (PhTime)(PhStr_Hash(options->instance, 0) % (uint64_t)CLAIM_JITTER);
    return (PhTime)((double)CLAIM_DELAY * CLAIM_CPU_SHARE / cpu_share) +
           jitter;
}

PhStatus
PhSchedule_Start(PhKernel *kernel, const PhScheduleOptions *options)
{
    PhScheduleTask *t = g_new0(PhScheduleTask, 1);
    PhBuf producer = {0};
    PhBuf_AppendFormat(&producer, "%.*s.%llu", PhStr_ARG(options->instance),
                       (unsigned long long)options->incarnation);
    t->producer = PhBuf_Take(&producer);
    t->sequence = 1;
    t->election =
        PhElection_Create(t->producer, options->link, claim_delay(options));
    t->scheduler = PhScheduler_Create(&(PhSchedulerOptions){
        .lease_limit = options->lease_limit,
        .pace_lag = options->pace_lag,
        .report_interval = options->report_interval,
        .dispatch_delay = options->dispatch_delay,
        .active_tasks_max = options->active_tasks,
        .room_reserve_percent = options->room_reserve,
        .claim_after = options->claim_after,
        .predecessors = PhElection_Predecessors(t->election)});
    t->forwarded_calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                              PhScheduleLink_DestroyForwardedCall);
    PhScheduleLink_Open(t, options);
    t->dispatch = PhScheduleDispatch_Create();
    t->jobs.cursor.topic = PH_SCHED_TOPIC_JOBS;
    t->runs.cursor.topic = PH_SCHED_TOPIC_RUNS;
    t->accept_batch = g_ptr_array_new_with_free_func(PhScheduleAccept_Destroy);
    t->batch_records = g_array_new(FALSE, TRUE, sizeof(PhSchedEncoded));
    PhTaskSpec spec = {.name = PH_SERVICE_SCHEDULE,
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = t,
                       .handle = schedule_handle,
                       .destroy = schedule_destroy};
    return PhKernel_Spawn(kernel, &spec, NULL);
}
