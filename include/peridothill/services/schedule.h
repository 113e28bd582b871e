/* Job scheduler: messages of the task "schedule".  The task answers clients'
 * calls on jobs and, while it is the owner, sends orders to workers. */
#ifndef PERIDOTHILL_SERVICES_SCHEDULE_H
#define PERIDOTHILL_SERVICES_SCHEDULE_H

#include "peridothill/decide/schedule/scheduler.h"
#include "peridothill/kernel/kernel.h"

typedef enum PhScheduleTag {
    PH_SCHEDULE_SUBMIT,  /* to "schedule" */
    PH_SCHEDULE_STATE,   /* to "schedule" */
    PH_SCHEDULE_CANCEL,  /* to "schedule" */
    PH_SCHEDULE_PENDING, /* to "schedule" */
    PH_SCHEDULE_READY,   /* to "schedule": readiness check */
    PH_SCHEDULE_ANSWER,  /* from "schedule", one per call above */
    PH_SCHEDULE_CONFIG,  /* to "schedule": new configuration */
    PH_SCHEDULE_WORKER,  /* to "schedule": new or changed worker entry */
    PH_SCHEDULE_WORKER_REMOVED, /* to "schedule": worker entry deleted */
    PH_SCHEDULE_CORDON, /* to "schedule": start of a cordon, or its end */
    PH_SCHEDULE_DRAIN,  /* to "schedule": release ownership before a stop */
    PH_SCHEDULE_ROLE, /* to "fleet": sets how often worker entries are read */
    PH_SCHEDULE_CONTACT, /* to "front": whether this instance reaches the store
                            or an owner that does */
} PhScheduleTag;

/* Strings are owned. */
typedef struct PhScheduleCall {
    uint64_t id; /* chosen by the sender, returned in the answer */
    PhStr host;
    PhStr path;
    PhTime deadline;  /* when the client stops waiting */
    PhSchedSpec spec; /* of SUBMIT; id and terms are filled in by "schedule" */
} PhScheduleCall;

typedef enum PhScheduleAnswerTag {
    PH_SCHEDULE_ACCEPTED,
    PH_SCHEDULE_REFUSED, /* had no effect and never will; safe to repeat */
    PH_SCHEDULE_INVALID, /* violates a rule; had no effect */
    PH_SCHEDULE_NO_QUEUE,
    PH_SCHEDULE_OUTCOME_UNKNOWN, /* it may have taken effect */
    PH_SCHEDULE_JOB_STATE,
    PH_SCHEDULE_NO_JOB,
    PH_SCHEDULE_CANCELLED,
    PH_SCHEDULE_PENDING_COUNT,
    PH_SCHEDULE_READINESS,
    PH_SCHEDULE_NOT_OWNER,  /* between instances only: try another one */
    PH_SCHEDULE_OVERLOADED, /* refused: it would wait too long to start */
    PH_SCHEDULE_UNDER_WAY,  /* refused: the job is on its way to the store, and
                               no instance knows more */
} PhScheduleAnswerTag;

/* What an instance does besides answering clients. */
typedef enum PhScheduleRole {
    PH_SCHEDULE_ROLE_NONE,
    PH_SCHEDULE_ROLE_STANDBY, /* follows the topics, ready to take over */
    PH_SCHEDULE_ROLE_OWNER,   /* sends orders */
} PhScheduleRole;

typedef struct PhScheduleAnswer {
    uint64_t id;
    PhScheduleAnswerTag tag;
    union {
        PhTime retry_after; /* of REFUSED, OVERLOADED and UNDER_WAY */
        PhSchedJobState state;
        uint64_t pending; /* of COUNT */
        bool ready;
    } as;
} PhScheduleAnswer;

/* The id is owned. */
typedef struct PhRemovedWorker {
    PhStr id;
    PhWorkerRemoval removal;
} PhRemovedWorker;

/* Whether the workers of a data centre get no starts. */
typedef struct PhScheduleCordon {
    PhStr data_centre;
    bool cordoned;
} PhScheduleCordon;

typedef struct PhScheduleMessage {
    PhScheduleTag tag;
    union {
        PhScheduleCall call;
        PhScheduleAnswer answer;
        PhSchedConfig *config; /* owned */
        PhSchedWorkerEntry worker;
        PhRemovedWorker removed_worker;
        PhScheduleCordon cordon;
        PhScheduleRole role;
        bool contact;
    } as;
} PhScheduleMessage;

/* Wraps a message for the kernel and takes ownership of what it owns.  DRAIN
 * carries only its tag. */
PhMessage PhScheduleMessage_Wrap(const PhScheduleMessage *body);

typedef struct PhScheduleOptions {
    PhStr instance;
    uint64_t incarnation;
    double cpu_share; /* in cores; more cores make an earlier claim */
    PhTime lease_limit;
    PhTime pace_lag;
    PhTime report_interval; /* of worker entries, 0: unknown */
    PhTime dispatch_delay;  /* starts that take longer are sent by others */
    uint64_t active_tasks;  /* see PhSchedulerOptions */
    uint64_t room_reserve;  /* percent, see PhSchedulerOptions */
    PhTime claim_after;     /* the same */
    PhTime contact_limit;   /* silence after which the store counts as out of
                               reach, 0: never */
    size_t record_bytes;    /* largest record that the store takes */
    size_t append_bytes;    /* largest append that the store takes */
    PhStr link; /* address for links from other instances; empty: no links */
    PhStr data_centre;
    PhStr deployment;
} PhScheduleOptions;

PhStatus PhSchedule_Start(PhKernel *kernel, const PhScheduleOptions *options);

#endif
