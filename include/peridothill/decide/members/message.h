/* What members tell each other, apart from its encoding. */
#ifndef PERIDOTHILL_DECIDE_MEMBERS_MESSAGE_H
#define PERIDOTHILL_DECIDE_MEMBERS_MESSAGE_H

#include <stddef.h>

#include "peridothill/decide/members/member.h"

enum {
    PH_MEMBER_RECORDS_MAX = 128, /* in one message */
};

/* Numbers go over the wire: only add at the end. */
typedef enum PhMemberMessageKind {
    PH_MEMBER_PING = 1,
    PH_MEMBER_ACK = 2,
    PH_MEMBER_PROBE = 3, /* asks the receiver to ping a third member */
    PH_MEMBER_SYNC_REQUEST = 4,
    PH_MEMBER_SYNC = 5, /* records the sender has, in answer to a request */
    PH_MEMBER_NEWS = 6, /* records only */
} PhMemberMessageKind;

/* The number of a ping, repeated by its ack, and the digest of the sender's
 * records of live members. */
typedef struct PhMemberPing {
    uint64_t sequence;
    uint64_t digest;
} PhMemberPing;

typedef struct PhMemberProbe {
    uint64_t sequence;
    PhStr target;
    PhStr address;
} PhMemberProbe;

/* A message and the records that go with it.  Owns its strings. */
typedef struct PhMemberMessage {
    PhMemberMessageKind kind;
    union {
        PhMemberPing ping;
        PhMemberPing ack;
        PhMemberProbe probe;
    } as;
    PhMember *records;
    size_t record_count;
} PhMemberMessage;

void PhMemberMessage_Clear(PhMemberMessage *message);

#endif
