/* Messages between instances and the job owner over peer links, as msgpack
 * maps.  Unknown fields are ignored. */
#ifndef PERIDOTHILL_CODEC_SCHEDULE_LINK_H
#define PERIDOTHILL_CODEC_SCHEDULE_LINK_H

#include <stdbool.h>
#include <stdint.h>

#include "peridothill/common/str.h"

/* Wire values: append only. */
typedef enum PhLinkTag {
    PH_LINK_HELLO = 1, /* to the owner, periodically */
    PH_LINK_WELCOME,   /* the owner's answer to a hello */
    PH_LINK_NOT_OWNER, /* answer of an instance that is not the owner */
    PH_LINK_ASK,       /* a client's call, forwarded to the owner */
    PH_LINK_ANSWER,    /* the owner's answer to a call */
    PH_LINK_ORDERS,    /* the owner has another instance send starts */
    PH_LINK_OUTCOMES,  /* their outcomes */
    PH_LINK_ENDS,      /* ends that a worker listed to the other instance */
} PhLinkTag;

/* Calls of a client.  Wire values: append only. */
typedef enum PhLinkCall {
    PH_LINK_SUBMIT = 1,
    PH_LINK_CANCEL,
    PH_LINK_STATE,
    PH_LINK_PENDING,
} PhLinkCall;

/* A start that another instance is to send. */
typedef struct PhLinkOrder {
    uint64_t number; /* chosen by the owner, returned with the outcome */
    PhStr worker;
    int64_t born_ms; /* incarnation of the worker, which alone may execute it
                      */
    PhStr address;
    PhStr job;
    uint64_t round;
    uint64_t step;
    uint64_t index;
    uint64_t run;
    int64_t deadline_ms; /* on the worker's clock */
    PhStr last_checkpoint;
    PhStr payload; /* empty: as of an earlier start of the job */
} PhLinkOrder;

typedef struct PhLinkOutcome {
    uint64_t number;
    uint64_t outcome; /* a PhSchedOutcome */
    int64_t clock_ms; /* the worker's clock, 0: not stated */
    /* From the arrival of the order to this message; of one that was not sent,
     * until its worker was found silent, 0 if it was not. */
    uint64_t took_ms;
} PhLinkOutcome;

/* A run that has ended. */
typedef struct PhLinkEnd {
    uint64_t number; /* of the end, by the worker's count */
    PhStr job;
    uint64_t round;
    uint64_t step;
    uint64_t index;
    uint64_t run;
    uint64_t kind; /* a PhSchedEndKind */
    PhStr last_checkpoint;
} PhLinkEnd;

typedef struct PhLinkMessage {
    PhLinkTag tag;
    union {
        struct {
            uint64_t cpu_milli; /* CPU of the sender in milli-cores */
            uint64_t fence;     /* of the newest claim it knows, 0 for none */
            uint64_t uptime_ms;
            uint64_t number; /* of its hellos, rising; 0: cannot send bound
                                starts for the owner */
            bool ready;      /* it follows the records, and could take over */
            bool leaving;    /* it stops */
        } hello;
        struct {
            bool standby; /* read the store, to take over without delay */
            bool lasting_closed; /* the owner refuses long-running jobs */
            bool store_silent;   /* the store does not answer the owner */
        } welcome;
        struct {
            uint64_t number; /* chosen by the sender, returned in the answer */
            PhLinkCall call;
            PhStr subject;    /* id of a job; PENDING: name of a queue */
            PhStr record;     /* SUBMIT: the encoded job */
            uint64_t wait_ms; /* how long the client waits */
        } ask;
        struct {
            uint64_t number;
            uint64_t outcome; /* a PhScheduleAnswerTag */
            uint64_t value;   /* a state, a count or milliseconds, depending on
                                 outcome */
        } answer;
        struct {
            uint64_t fence;
            uint64_t hello; /* number of the newest hello of the receiver */
            PhLinkOrder *rows;
            size_t row_count;
        } orders;
        struct {
            PhLinkOutcome *rows;
            size_t row_count;
        } outcomes;
        struct {
            PhStr worker;
            int64_t born_ms; /* the incarnation that listed them */
            PhLinkEnd *rows;
            size_t row_count;
        } ends;
    } as;
} PhLinkMessage;

/* The result is owned by the caller. */
PhStr PhLinkMessage_Encode(const PhLinkMessage *message);
/* The strings of the message are owned by the caller.  Returns false for a
 * malformed message, which has none. */
bool PhLinkMessage_Decode(PhStr payload, PhLinkMessage *message);
void PhLinkMessage_Clear(PhLinkMessage *message);

#endif
