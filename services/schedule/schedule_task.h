/* What the files of the task "schedule" share. */
#ifndef PERIDOTHILL_SERVICES_SCHEDULE_SCHEDULE_TASK_H
#define PERIDOTHILL_SERVICES_SCHEDULE_SCHEDULE_TASK_H

#include "peridothill/codec/schedule_link.h"
#include "peridothill/codec/schedule_record.h"
#include "peridothill/decide/schedule/election.h"
#include "peridothill/decide/schedule/owner_link.h"
#include "peridothill/services/interface.h"
#include "peridothill/services/orders.h"
#include "peridothill/services/schedule.h"
#include "peridothill/services/store.h"

/* Calls to the store; at most one of each kind is on its way. */
typedef enum PhStoreCall {
    CALL_ELECTION_READ,
    CALL_ELECTION_APPEND,
    CALL_JOBS_READ,
    CALL_RUNS_READ,
    CALL_ACCEPT,
    CALL_FENCE,
    CALL_RECORDS,
    CALL_KINDS,
} PhStoreCall;

typedef enum PhScheduleTimer {
    TIMER_PUMP = 1,
    TIMER_JOBS,
    TIMER_RUNS,
    TIMER_ACCEPT,
    TIMER_RECORDS,
    TIMER_DEADLINES,
    TIMER_LINK,
} PhScheduleTimer;

/* How far this instance is on the way to own the jobs. */
typedef enum PhOwnerStage {
    OWNER_NOT,      /* another instance is the owner, or none */
    OWNER_FENCING,  /* keeps the earlier owner from writing records */
    OWNER_CATCH_UP, /* reads what the earlier owner wrote */
    OWNER_ACTIVE,   /* gives orders */
} PhOwnerStage;

/* A topic that is followed. */
typedef struct PhTopic {
    PhStoreCursor cursor;
    bool asked; /* a read is on its way */
    PhTime sent_at;
    PhTime fresh_at; /* everything acknowledged before is known */
} PhTopic;

/* Where a call came from: a task of this process, or another instance.  The
 * name of the instance is owned, empty for none. */
typedef struct PhOrigin {
    PhTaskRef sender;
    PhStr instance;
    uint64_t call; /* the sender's own number */
} PhOrigin;

/* A client's call on a queue or a job; strings and specification are
 * owned. */
typedef struct PhClientCall {
    PhScheduleTag tag; /* SUBMIT, CANCEL, STATE or PENDING */
    PhOrigin origin;
    PhTime deadline;
    PhStr subject;    /* id of the job; of PENDING, name of the queue */
    PhSchedSpec spec; /* of SUBMIT */
    bool unclear;     /* the owner may have acted on it: never refused */
} PhClientCall;

/* A SUBMIT or CANCEL that waits for an append. */
typedef struct PhAccept {
    PhClientCall call;
    bool answered; /* the deadline passed first */
} PhAccept;

/* A client's call that was given to the owner. */
typedef struct PhForward {
    uint64_t number;
    PhClientCall call;
} PhForward;

typedef struct PhScheduleTask {
    PhTask *self;
    PhScheduler *scheduler;
    PhElection *election;
    PhTopic jobs;
    PhTopic runs;
    bool reload_due; /* a record was left out */
    GQueue states;   /* PhClientCall that wait for the newest runs */
    bool pump_set;
    bool store_answers; /* the last read succeeded */
    PhTime store_changed_at;
    PhTime store_read_at; /* the last read that succeeded */
    bool draining;
    uint64_t epochs[CALL_KINDS]; /* calls with an older number are stale */
    /* Accepting. */
    PhStr producer;
    uint64_t sequence;
    GQueue accepts;    /* PhAccept that wait */
    GPtrArray *accept; /* PhAccept in the append on its way */
    bool accept_sent;
    bool accept_retried; /* an earlier try may have taken effect */
    /* Owning. */
    PhOwnerStage stage;
    uint64_t fence;
    uint64_t fence_end; /* end of the records when the fence was set */
    PhTime fence_at;
    uint64_t batch; /* on its way, 0 for none */
    uint64_t batch_sequence;
    GArray *batch_records; /* PhSchedEncoded of it */
    bool batch_sent;
    PhScheduleRole role; /* as "fleet" was told */
    /* Links to other instances. */
    PhScheduleOptions options; /* its strings are owned */
    PhStr link_key;            /* shared by all instances, owned */
    PhStr claim_key;           /* put on record if there is none yet, owned */
    PhOwnerLink link;
    PhStandbys *standbys;
    GHashTable *forwards; /* PhForward by number */
    uint64_t next_forward;
} PhScheduleTask;

/* Sends a call to the store; the reply comes with the kind as its id. */
void PhScheduleTask_Call(PhScheduleTask *task, PhStoreCall call,
                         PhStoreMessage *message);
/* Asks for a look at all that may be due, soon. */
void PhScheduleTask_WantPump(PhScheduleTask *task);

/* schedule_topics.c: following the topics. */
void PhScheduleTopics_Ask(PhScheduleTask *task, PhStoreCall call);
void PhScheduleTopics_OnReply(PhScheduleTask *task, PhStoreCall call,
                              const PhStoreReply *reply);
/* Tells whether the topics are followed now. */
bool PhScheduleTopics_AreFollowed(const PhScheduleTask *task);
/* Tells whether the state of a job that is not over would be known here: it
 * is while a read waits for the next record. */
bool PhScheduleTopics_IsCurrent(const PhScheduleTask *task);
/* Reads the runs at once instead of after the pause. */
void PhScheduleTopics_Hurry(PhScheduleTask *task);
bool PhScheduleTopics_IsFresh(const PhScheduleTask *task);
/* Notes whether the store answers a read, and writes each change. */
void PhScheduleTopics_NoteStore(PhScheduleTask *task, bool answers);
/* Reads everything anew. */
void PhScheduleTopics_Reload(PhScheduleTask *task);
/* Releases what the topics own. */
void PhScheduleTopics_Clear(PhScheduleTask *task);

/* schedule_calls.c: what clients ask for, here or at another instance. */
void PhScheduleCalls_OnCall(PhScheduleTask *task, PhTaskRef sender,
                            PhScheduleTag tag, PhScheduleCall *call);
/* Acts on a call without the owner's help; takes over what it owns. */
void PhScheduleCalls_Act(PhScheduleTask *task, PhClientCall *call);
void PhClientCall_Clear(PhClientCall *call);
/* Answers a call and releases its origin. */
void PhScheduleCalls_Answer(PhScheduleTask *task, PhOrigin *origin,
                            PhScheduleAnswer answer);
void PhScheduleCalls_AnswerTag(PhScheduleTask *task, PhOrigin *origin,
                               PhScheduleAnswerTag tag);
/* Refuses a call and says why in the log. */
void PhScheduleCalls_Refuse(PhScheduleTask *task, PhOrigin *origin, PhStr id,
                            const char *reason);
/* Answers the calls that waited for the newest runs. */
void PhScheduleCalls_AnswerStates(PhScheduleTask *task);
void PhScheduleCalls_DestroyState(gpointer call);

/* schedule_accept.c: records of clients' calls.  Takes over what the call
 * owns. */
void PhScheduleAccept_Add(PhScheduleTask *task, PhClientCall *call);
void PhScheduleAccept_Flush(PhScheduleTask *task);
void PhScheduleAccept_OnReply(PhScheduleTask *task, const PhStoreReply *reply);
/* Answers the calls whose clients wait no longer. */
void PhScheduleAccept_Expire(PhScheduleTask *task);
void PhScheduleAccept_Destroy(gpointer accept);

/* schedule_link.c: the owner and those that give calls to it. */
void PhScheduleLink_Open(PhScheduleTask *task,
                         const PhScheduleOptions *options);
void PhScheduleLink_Clear(PhScheduleTask *task);
void PhScheduleLink_DestroyForward(gpointer forward);
/* Looks at what is due on links. */
void PhScheduleLink_Pump(PhScheduleTask *task);
/* Takes in the key that an owner has put on record. */
void PhScheduleLink_SetKey(PhScheduleTask *task, PhStr key);
void PhScheduleLink_OnPayload(PhScheduleTask *task, PhStr instance,
                              PhStr data_centre, PhStr payload);
/* Gives a call to the owner; false when it cannot be reached.  Takes over what
 * the call owns when it does. */
bool PhScheduleLink_Forward(PhScheduleTask *task, PhClientCall *call);
/* Answers a call of another instance. */
void PhScheduleLink_Answer(PhScheduleTask *task, PhStr instance,
                           const PhScheduleAnswer *answer);
/* Tells those that greeted this instance that it is not the owner any more. */
void PhScheduleLink_DismissAll(PhScheduleTask *task);

/* schedule_owner.c: the election and the owner's work. */
void PhScheduleOwner_Pump(PhScheduleTask *task);
void PhScheduleOwner_OnElection(PhScheduleTask *task, PhStoreCall call,
                                const PhStoreReply *reply);
void PhScheduleOwner_OnFence(PhScheduleTask *task, const PhStoreReply *reply);
void PhScheduleOwner_OnRecords(PhScheduleTask *task,
                               const PhStoreReply *reply);
void PhScheduleOwner_SendRecords(PhScheduleTask *task);
/* Drops the batch of records that is on its way. */
void PhScheduleOwner_ClearBatch(PhScheduleTask *task);
void PhScheduleOwner_OnOrder(PhScheduleTask *task, const PhOrderReply *reply);
/* Tells "fleet" how much it has to know of the workers, if that has
 * changed. */
void PhScheduleOwner_TellRole(PhScheduleTask *task);

/* schedule_log.c: the line of a takeover, of an order to a run, of one that
 * was not done, and the lines of the scheduler's notes, which it forgets. */
void PhScheduleLog_Gained(PhScheduleTask *task);
void PhScheduleLog_Order(PhScheduleTask *task, const PhSchedAction *action);
void PhScheduleLog_Refused(PhScheduleTask *task, const PhOrderReply *reply);
void PhScheduleLog_Notes(PhScheduleTask *task);

#endif
