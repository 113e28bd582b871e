/* Membership messages, independent of their encoding. */
#ifndef PERIDOTHILL_DECIDE_MEMBERS_MESSAGE_H
#define PERIDOTHILL_DECIDE_MEMBERS_MESSAGE_H

#include <stddef.h>

#include "peridothill/decide/members/member.h"

enum {
    PH_MEMBER_RECORDS_MAX = 128, /* per message */
};

/* Numbers are part of the wire format: add new kinds at the end only. */
typedef enum PhMemberMessageKind {
    PH_MEMBER_PING = 1,
    PH_MEMBER_ACK = 2,
    PH_MEMBER_PROBE = 3, /* asks the receiver to ping a third member */
    PH_MEMBER_SYNC_REQUEST = 4,
    PH_MEMBER_SYNC = 5, /* all records of the sender, in answer to a request */
    PH_MEMBER_UPDATES = 6, /* gossip: records only */
} PhMemberMessageKind;

/* An ack repeats the sequence number of its ping. The digest covers the
 * sender's records of live members. */
typedef struct PhMemberPing {
    uint64_t sequence;
    uint64_t digest;
} PhMemberPing;

typedef struct PhMemberProbe {
    uint64_t sequence;
    PhStr target;
    PhStr address;
} PhMemberProbe;

/* A message with piggybacked records. Owns its strings. */
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
