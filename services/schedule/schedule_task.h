/* Internal declarations of the task "schedule". */
#ifndef PERIDOTHILL_SERVICES_SCHEDULE_SCHEDULE_TASK_H
#define PERIDOTHILL_SERVICES_SCHEDULE_SCHEDULE_TASK_H

#include "peridothill/codec/schedule_link.h"
#include "peridothill/codec/schedule_record.h"
#include "peridothill/decide/schedule/call_path.h"
#include "peridothill/decide/schedule/dispatchers.h"
#include "peridothill/decide/schedule/election.h"
#include "peridothill/decide/schedule/handover.h"
#include "peridothill/decide/schedule/owner_link.h"
#include "peridothill/services/interface.h"
#include "peridothill/services/orders.h"
#include "peridothill/services/schedule.h"
#include "peridothill/services/store.h"

/* Calls to the store; at most one of each kind is in flight, but for probes
 * without an answer, whose replies say only that the store answers. */
typedef enum PhStoreCall {
    CALL_ELECTION_READ,
    CALL_ELECTION_APPEND,
    CALL_JOBS_READ,
    CALL_RUNS_READ,
    CALL_ACCEPT,
    CALL_FENCE,
    CALL_RECORDS,
    CALL_PROBE,
    CALL_KINDS,
} PhStoreCall;

typedef enum PhScheduleTimer {
    TIMER_UPDATE = 1,
    TIMER_JOBS,
    TIMER_RUNS,
    TIMER_ACCEPT,
    TIMER_RECORDS,
    TIMER_DEADLINES,
    TIMER_LINK,
    TIMER_OUTCOMES,
    TIMER_WAITING,
    TIMER_CONTACT,
} PhScheduleTimer;

/* Stages of taking over ownership of the jobs. */
typedef enum PhOwnerStage {
    OWNER_INACTIVE, /* not the owner */
    OWNER_FENCING, /* setting the fence that blocks writes of earlier owners */
    OWNER_CATCH_UP, /* reading up to the records of the earlier owner */
    OWNER_ACTIVE,   /* sends orders */
} PhOwnerStage;

/* A followed topic. */
typedef struct PhTopic {
    PhStoreCursor cursor;
    bool read_in_flight;
    PhTime wait;         /* of the newest read, for a record */
    uint64_t reads_sent; /* number of the newest read */
    PhTime sent_at;
    PhTime fresh_at; /* every earlier record has been read */
} PhTopic;

/* Sender of a call: a task of this process, or another instance if `instance`
 * is set.  `instance` is owned. */
typedef struct PhOrigin {
    PhTaskRef sender;
    PhStr instance;
    uint64_t call; /* number chosen by the sender */
} PhOrigin;

/* A client's call on a queue or a job.  Strings and specification are
 * owned. */
typedef struct PhClientCall {
    PhScheduleTag tag; /* SUBMIT, CANCEL, STATE or PENDING */
    PhOrigin origin;
    PhTime deadline;
    PhStr subject;        /* id of the job; of PENDING, name of the queue */
    PhSchedSpec spec;     /* of SUBMIT */
    bool outcome_unknown; /* the owner may have acted on it; must not be
                             refused */
    bool waited;          /* of SUBMIT: it has waited for an owner */
    bool owner_refused;   /* the owner could not answer it */
    uint64_t jobs_read;   /* of a call in `look_calls`: the first read of the
                             jobs that was sent after the call */
} PhClientCall;

/* A SUBMIT or CANCEL whose record is not durable yet. */
typedef struct PhPendingAccept {
    PhClientCall call;
    PhSchedEncoded record; /* owned */
    bool answered; /* the deadline passed while the append was in flight */
} PhPendingAccept;

/* A client's call forwarded to the owner. */
typedef struct PhForwardedCall {
    uint64_t number;
    PhClientCall call;
} PhForwardedCall;

typedef struct PhScheduleDispatch PhScheduleDispatch;

typedef struct PhScheduleTask {
    PhTask *self;
    PhScheduler *scheduler;
    PhElection *election;
    PhTopic jobs;
    PhTopic runs;
    bool reload_due;      /* a record did not fit into the model */
    GQueue state_calls;   /* PhClientCall; wait for the next read of runs */
    GQueue look_calls;    /* PhClientCall, CANCEL or STATE, for unknown jobs;
                             wait for a read of the jobs */
    GQueue waiting_calls; /* PhWaitingCall; see schedule_waiting.c */
    bool update_pending;
    bool store_answers; /* the last call succeeded */
    PhTime store_changed_at;
    PhTime store_read_at; /* time of the last successful call */
    /* Contact with the store and the owner, if a limit of silence is set. */
    PhStoreContact contact;
    bool contact_lost;
    PhTime contact_lost_at; /* the last loss began */
    PhTime contact_back_at; /* it ended; 0: none yet */
    bool loss_announced;    /* to the other instances */
    bool contact_logged;    /* the last loss was */
    PhTime contact_changed_at;
    uint64_t contact_refused; /* calls that were refused before that */
    bool contact_announced;   /* the front was told something */
    bool announced_contact;   /* what it was told last */
    bool owner_store_silent;  /* by the owner's last welcome */
    bool owner_silent;        /* as last told to the election */
    bool probe_in_flight;
    PhTime probed_at;
    bool draining;
    PhTime started_at;
    PhTime stop_began_at; /* `draining` since then */
    PhHandover handover;
    uint64_t epochs[CALL_KINDS]; /* replies to an older epoch are ignored */
    /* Acceptance of clients' calls. */
    PhStr producer;
    uint64_t sequence;
    GQueue accept_queue;     /* PhPendingAccept not yet sent */
    GPtrArray *accept_batch; /* PhPendingAccept in the current append */
    bool accept_in_flight;
    bool accept_retried; /* an earlier attempt may have taken effect */
    /* Ownership. */
    PhOwnerStage stage;
    uint64_t fence;
    uint64_t fence_end; /* end offset of the runs when the fence was set */
    PhTime fence_at;
    uint64_t batch;          /* current batch, 0 for none */
    uint64_t batch_sequence; /* of the current append */
    GArray *batch_records;   /* PhSchedEncoded */
    guint batch_durable;     /* records that earlier appends have stored */
    guint batch_end;         /* end of the records of the current append */
    bool batch_in_flight;
    PhScheduleRole role; /* as last sent to "fleet" */
    /* Links to other instances. */
    PhScheduleOptions options; /* strings are owned */
    PhTime tasks_logged_at;    /* refusal for the number of tasks, 0: never */
    PhStr link_key;  /* shared by all instances; owned; empty until known */
    PhStr claim_key; /* recorded with a claim if no key is known yet; owned */
    PhOwnerLink link;
    PhStandbys *standbys;
    GHashTable *forwarded_calls; /* PhForwardedCall by number */
    uint64_t last_forwarded;
    bool announced_ready; /* the last hello said that it could take over */
    PhScheduleDispatch *dispatch;
} PhScheduleTask;

/* Sends a call to the store.  The reply's id carries the kind and its
 * epoch. */
void PhScheduleTask_Call(PhScheduleTask *task, PhStoreCall call,
                         PhStoreMessage *message);
/* Schedules a PhScheduleOwner_Update. */
void PhScheduleTask_RequestUpdate(PhScheduleTask *task);

/* schedule_topics.c: reads of the topics of jobs and runs. */
void PhScheduleTopics_Read(PhScheduleTask *task, PhStoreCall call);
void PhScheduleTopics_OnReply(PhScheduleTask *task, PhStoreCall call,
                              const PhStoreReply *reply);
/* Whether this instance follows the topics: the owner and its standbys do, and
 * instances without contact to an owner. */
bool PhScheduleTopics_AreFollowed(const PhScheduleTask *task);
/* Whether the known state of an unfinished job is the latest: it is at the
 * owner, and while a read of fresh runs waits for the next record. */
bool PhScheduleTopics_IsCurrent(const PhScheduleTask *task);
/* Whether this instance could take over without loading the topics first. */
bool PhScheduleTopics_AreLoaded(const PhScheduleTask *task);
/* Reads the runs without waiting for the read interval; false if no read could
 * be sent. */
bool PhScheduleTopics_ReadRunsNow(PhScheduleTask *task);
/* Reads the jobs without waiting for a record.  Returns the number of the
 * first read that was sent after this call, 0 if none could be. */
uint64_t PhScheduleTopics_ReadJobsNow(PhScheduleTask *task);
/* Whether the jobs were read recently enough to say that one doesn't exist. */
bool PhScheduleTopics_AreJobsFresh(const PhScheduleTask *task);
/* Whether the runs are known well enough to say that a job has not begun or
 * not ended: at the owner, or after a recent read. */
bool PhScheduleTopics_AreRunsFresh(const PhScheduleTask *task);
/* Records whether the store answered, and logs each change. */
void PhScheduleTopics_SetStoreAnswers(PhScheduleTask *task, bool answers);
/* Ignores the reply to a read of the runs that is in flight. */
void PhScheduleTopics_DropRunsRead(PhScheduleTask *task);
/* Reads both topics again from the first page. */
void PhScheduleTopics_Reload(PhScheduleTask *task);
void PhScheduleTopics_Clear(PhScheduleTask *task);

/* schedule_calls.c: clients' calls, received here or forwarded by another
 * instance. */
void PhScheduleCalls_OnCall(PhScheduleTask *task, PhTaskRef sender,
                            PhScheduleTag tag, PhScheduleCall *call);
/* Handles a call in this instance; takes ownership of its contents. */
void PhScheduleCalls_HandleLocally(PhScheduleTask *task, PhClientCall *call);
void PhClientCall_Clear(PhClientCall *call);
/* Answers a call and releases its origin's strings. */
void PhScheduleCalls_Answer(PhScheduleTask *task, PhOrigin *origin,
                            PhScheduleAnswer answer);
void PhScheduleCalls_AnswerTag(PhScheduleTask *task, PhOrigin *origin,
                               PhScheduleAnswerTag tag);
/* Refuses a call and logs the reason. */
void PhScheduleCalls_Refuse(PhScheduleTask *task, PhOrigin *origin, PhStr id,
                            const char *reason);
/* The same for a call that is refused however often it is repeated. */
void PhScheduleCalls_RefuseInvalid(PhScheduleTask *task, PhOrigin *origin,
                                   PhStr id, const char *reason);
/* Answers the queued STATE calls after a read of the runs. */
void PhScheduleCalls_AnswerStates(PhScheduleTask *task);
/* Handles the queued calls on unknown jobs that waited for a read of the jobs
 * up to this number.  `to_end`: it succeeded and left no record unread. */
void PhScheduleCalls_HandleLooks(PhScheduleTask *task, uint64_t number,
                                 bool to_end);
/* Whether this instance can say for itself what state a job is in, or that
 * there is none. */
bool PhScheduleCalls_KnowsState(const PhScheduleTask *task, PhStr id);
void PhScheduleCalls_DestroyQueued(gpointer call);
/* Refuses the queued calls that wait for a read and have had no effect. */
void PhScheduleCalls_RefuseWaiting(PhScheduleTask *task);
/* Refuses a call that would have to wait for the store, if that is out of
 * reach or there is no time left; false if it need not wait. */
bool PhScheduleCalls_RefuseToWait(PhScheduleTask *task, PhClientCall *call);
/* Refuses a call at once for want of contact or of time. */
void PhScheduleCalls_RefuseAtOnce(PhScheduleTask *task, PhClientCall *call,
                                  PhCallPath refusal);

/* schedule_submit.c: decides on a submission in this instance. */
void PhScheduleSubmit_Handle(PhScheduleTask *task, PhClientCall *call);

/* schedule_waiting.c: submissions that wait for an owner. */
/* Takes ownership of the call's contents. */
void PhScheduleWaiting_Add(PhScheduleTask *task, PhClientCall *call);
/* Forwards the calls to an owner that is found, and handles those here that
 * have waited long enough. */
void PhScheduleWaiting_Update(PhScheduleTask *task);
void PhScheduleWaiting_Destroy(gpointer waiting);

/* schedule_accept.c: durable records of clients' calls. */
/* Takes ownership of the call's contents. */
void PhScheduleAccept_Add(PhScheduleTask *task, PhClientCall *call);
/* Whether a submission of this job waits for its record to be durable. */
bool PhScheduleAccept_IsPending(const PhScheduleTask *task, PhStr id);
/* Tasks of the submissions that are not durable yet. */
uint64_t PhScheduleAccept_Tasks(const PhScheduleTask *task);
/* Whether another submission of the job of this call may still take effect, by
 * what this instance has sent or forwarded. */
bool PhScheduleAccept_MayRun(const PhScheduleTask *task,
                             const PhClientCall *call);
void PhScheduleAccept_Flush(PhScheduleTask *task);
void PhScheduleAccept_OnReply(PhScheduleTask *task, const PhStoreReply *reply);
/* Answers calls whose deadline has passed. */
void PhScheduleAccept_Expire(PhScheduleTask *task);
void PhScheduleAccept_Destroy(gpointer accept);
/* Refuses the calls whose records were never sent, unless they, or another
 * submission of the job, may have had an effect. */
void PhScheduleAccept_RefuseUnsent(PhScheduleTask *task);

/* schedule_contact.c: contact with the store and the owner. */
void PhScheduleContact_Start(PhScheduleTask *task);
void PhScheduleContact_OnTick(PhScheduleTask *task);
void PhScheduleContact_OnSent(PhScheduleTask *task, PhStoreCall call,
                              const PhStoreMessage *message);
void PhScheduleContact_OnReply(PhScheduleTask *task, PhStoreCall call,
                               const PhStoreReply *reply);
/* Finds out whether the store is reached if nothing is known of that: this
 * instance has relied on an owner that does not serve it any more. */
void PhScheduleContact_ProbeUnproven(PhScheduleTask *task);
/* Logs and announces a change. */
void PhScheduleContact_Update(PhScheduleTask *task);
/* Whether the store is out of reach; never without a limit of silence. */
bool PhScheduleContact_IsLost(const PhScheduleTask *task);
/* Whether this instance reaches the store, or an owner that does. */
bool PhScheduleContact_Suffices(const PhScheduleTask *task);
/* The way of a call that needs the owner or the store. */
PhCallPath PhScheduleContact_Path(const PhScheduleTask *task,
                                  const PhClientCall *call, bool may_forward);

/* schedule_link.c: links between the owner and the other instances. */
void PhScheduleLink_Open(PhScheduleTask *task,
                         const PhScheduleOptions *options);
void PhScheduleLink_Clear(PhScheduleTask *task);
void PhScheduleLink_DestroyForwardedCall(gpointer forward);
/* Handles link time-outs: hello messages, a silent owner, expired calls. */
void PhScheduleLink_Update(PhScheduleTask *task);
/* Starts the links with the key recorded by an owner; ignored once a key is
 * set. */
void PhScheduleLink_SetKey(PhScheduleTask *task, PhStr key);
void PhScheduleLink_OnPayload(PhScheduleTask *task, PhStr instance,
                              PhStr data_centre, PhStr payload);
/* Forwards a call to the owner and takes ownership of its contents.  Returns
 * false, with the call untouched, if the owner cannot be reached. */
bool PhScheduleLink_Forward(PhScheduleTask *task, PhClientCall *call);
/* Sends an answer to the instance that forwarded the call. */
void PhScheduleLink_Answer(PhScheduleTask *task, PhStr instance,
                           const PhScheduleAnswer *answer);
/* Tells all instances that sent a hello that this one is no longer the
 * owner. */
void PhScheduleLink_DismissAll(PhScheduleTask *task);
/* Tells them whether this owner has lost the store. */
void PhScheduleLink_WelcomeAll(PhScheduleTask *task);
/* Chooses the instance that shall take over, and has it read the records. */
PhSuccessor PhScheduleLink_ChooseSuccessor(PhScheduleTask *task);

/* Number before the first one that this process gives to what another
 * instance answers.  It is random: an answer names only the instance and the
 * number, and may outlive the process that asked. */
uint64_t PhScheduleLink_NumberOrigin(void);
/* schedule_link.c: sends a message to another instance. */
void PhScheduleLink_Send(PhScheduleTask *task, PhStr instance,
                         const PhLinkMessage *message);

/* schedule_dispatch.c: starts that another instance sends for the owner. */
PhScheduleDispatch *PhScheduleDispatch_Create(void);
/* Accepts NULL. */
void PhScheduleDispatch_Destroy(PhScheduleDispatch *dispatch);
/* Owner: decides whether dispatchers send the next starts. */
void PhScheduleDispatch_Prepare(PhScheduleTask *task, PhTime now);
/* Owner: has a start sent by a dispatcher; false if it is to be sent here. */
bool PhScheduleDispatch_Send(PhScheduleTask *task, const PhSchedAction *action,
                             PhTime now);
/* Owner: sends what was collected. */
void PhScheduleDispatch_Flush(PhScheduleTask *task);
/* Owner: the outcome of starts without one in time is unknown. */
void PhScheduleDispatch_Expire(PhScheduleTask *task);
/* Owner: the ownership has ended. */
void PhScheduleDispatch_Reset(PhScheduleTask *task);
void PhScheduleDispatch_OnHello(PhScheduleTask *task, PhStr instance,
                                const PhLinkMessage *hello);
void PhScheduleDispatch_OnOutcomes(PhScheduleTask *task, PhStr instance,
                                   const PhLinkMessage *outcomes);
/* Owner: ends that a worker has listed to a dispatcher. */
void PhScheduleDispatch_OnEnds(PhScheduleTask *task,
                               const PhLinkMessage *ends);
/* Owner: this instance has forwarded the job, and has its specification. */
void PhScheduleDispatch_OnForwarded(PhScheduleTask *task, PhStr job,
                                    PhStr instance);
/* Dispatcher: keeps the specification of a job that is forwarded. */
void PhScheduleDispatch_KeepPayload(PhScheduleTask *task, PhStr job,
                                    PhStr payload);
/* Dispatcher: returns the number of the hello that is being sent. */
uint64_t PhScheduleDispatch_NumberHello(PhScheduleTask *task);
void PhScheduleDispatch_OnOrders(PhScheduleTask *task, PhStr instance,
                                 const PhLinkMessage *orders);
void PhScheduleDispatch_OnReply(PhScheduleTask *task,
                                const PhOrderReply *reply);
/* Dispatcher: passes on the ends in the answer to a query. */
void PhScheduleDispatch_OnQuery(PhScheduleTask *task,
                                const PhOrderReply *reply);
/* Dispatcher: sends the outcomes that were collected. */
void PhScheduleDispatch_SendOutcomes(PhScheduleTask *task);

/* schedule_owner.c: ownership election, records and orders. */
void PhScheduleOwner_Update(PhScheduleTask *task);
void PhScheduleOwner_OnElection(PhScheduleTask *task, PhStoreCall call,
                                const PhStoreReply *reply);
void PhScheduleOwner_OnFence(PhScheduleTask *task, const PhStoreReply *reply);
/* Repeats the append that sets the fence, if its outcome is not known. */
void PhScheduleOwner_RetryFence(PhScheduleTask *task);
void PhScheduleOwner_OnOrder(PhScheduleTask *task, const PhOrderReply *reply);
/* Sends the role to "fleet" if it has changed. */
void PhScheduleOwner_PublishRole(PhScheduleTask *task);

/* schedule_records.c: the owner's records. */
/* Builds an append without records in the owner's producer sequence. */
PhStoreMessage PhScheduleRecords_Append(const PhScheduleTask *task,
                                        uint64_t sequence);
/* Repeats the current append, or sends the next one. */
void PhScheduleRecords_Send(PhScheduleTask *task);
void PhScheduleRecords_OnReply(PhScheduleTask *task,
                               const PhStoreReply *reply);
/* Drops the current batch of records and ignores its reply. */
void PhScheduleRecords_Clear(PhScheduleTask *task);

/* schedule_log.c: log lines of the owner.  PhScheduleLog_Notes also clears the
 * scheduler's notes. */
void PhScheduleLog_OwnerGained(PhScheduleTask *task);
void PhScheduleLog_Handover(PhScheduleTask *task, PhStr successor,
                            bool recorded);
void PhScheduleLog_Order(PhScheduleTask *task, const PhSchedAction *action);
void PhScheduleLog_OrderFailed(PhScheduleTask *task,
                               const PhOrderReply *reply);
void PhScheduleLog_Notes(PhScheduleTask *task);

#endif
