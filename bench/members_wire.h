/* Wire cost of membership messages, including framing and link setup. */
#ifndef PERIDOTHILL_BENCH_MEMBERS_WIRE_H
#define PERIDOTHILL_BENCH_MEMBERS_WIRE_H

#include "peridothill/common/time.h"
#include "peridothill/decide/members/message.h"

typedef struct PhMembersWire PhMembersWire;

typedef struct PhMembersWireCounts {
    uint64_t frame_bytes;
    uint64_t wire_bytes;
    uint64_t links_opened;
} PhMembersWireCounts;

PhMembersWire *PhMembersWire_Create(void);
void PhMembersWire_Destroy(PhMembersWire *wire);
PhMembersWireCounts PhMembersWire_Counts(const PhMembersWire *wire);
/* Records traffic between two members; a new or idle link is set up first. */
void PhMembersWire_RecordUse(PhMembersWire *wire, uint32_t a, uint32_t b,
                             PhTime now);
/* Encodes and frames a message, counts its cost and returns it decoded.  The
 * caller owns the result. */
PhMemberMessage PhMembersWire_Transfer(PhMembersWire *wire,
                                       const PhMemberMessage *message);
size_t PhMembersWire_OpenLinks(const PhMembersWire *wire, PhTime now);

#endif
