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
} PhLinkTag;

/* Calls of a client.  Wire values: append only. */
typedef enum PhLinkCall {
    PH_LINK_SUBMIT = 1,
    PH_LINK_CANCEL,
    PH_LINK_STATE,
    PH_LINK_PENDING,
} PhLinkCall;

typedef struct PhLinkMessage {
    PhLinkTag tag;
    union {
        struct {
            uint64_t cpu_milli; /* CPU of the sender in milli-cores */
            uint64_t fence;     /* of the newest claim it knows, 0 for none */
            uint64_t uptime_ms;
            bool ready;   /* it follows the records, and could take over */
            bool leaving; /* it stops */
        } hello;
        struct {
            bool standby; /* read the store, to take over without delay */
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
    } as;
} PhLinkMessage;

/* The result is owned by the caller. */
PhStr PhLinkMessage_Encode(const PhLinkMessage *message);
/* The strings of the message are owned by the caller.  Returns false for a
 * malformed message, which has none. */
bool PhLinkMessage_Decode(PhStr payload, PhLinkMessage *message);
void PhLinkMessage_Clear(PhLinkMessage *message);

#endif
