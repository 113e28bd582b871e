/* What instances say to the owner of the jobs over peer links, and the owner
 * to them, as msgpack maps.  Unknown fields are ignored. */
#ifndef PERIDOTHILL_CODEC_SCHEDULE_LINK_H
#define PERIDOTHILL_CODEC_SCHEDULE_LINK_H

#include <stdbool.h>
#include <stdint.h>

#include "peridothill/common/str.h"

/* Numbers go over the wire: only add at the end. */
typedef enum PhLinkTag {
    PH_LINK_HELLO = 1, /* to the owner, again and again */
    PH_LINK_WELCOME,   /* its answer */
    PH_LINK_DISMISS,   /* from one that is not the owner (any more) */
    PH_LINK_ASK,       /* a client's call, to the owner */
    PH_LINK_ANSWER,    /* its answer */
} PhLinkTag;

/* What a client asked for. */
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
            uint64_t strength; /* thousandths of a core */
            uint64_t fence;    /* of the claim that it knows, 0 for none */
        } hello;
        struct {
            bool standby; /* follow the store, to take over at once */
        } welcome;
        struct {
            uint64_t number; /* of the asker, returned in the answer */
            PhLinkCall call;
            PhStr subject;    /* id of a job; of PENDING, name of a queue */
            PhStr record;     /* of SUBMIT: the encoded job */
            uint64_t wait_ms; /* how long the client waits */
        } ask;
        struct {
            uint64_t number;
            uint64_t outcome; /* a PhScheduleAnswerTag */
            uint64_t value;   /* a state or a count, as the outcome says */
        } answer;
    } as;
} PhLinkMessage;

/* Encodes a message; the result is owned by the caller. */
PhStr PhLinkMessage_Encode(const PhLinkMessage *message);
/* Decodes a message; its strings are owned by the caller.  False when it is
 * malformed. */
bool PhLinkMessage_Decode(PhStr payload, PhLinkMessage *message);
/* Releases the strings of a message. */
void PhLinkMessage_Clear(PhLinkMessage *message);

#endif
