#ifndef PERIDOTHILL_DECIDE_MEMBERS_MEMBER_H
#define PERIDOTHILL_DECIDE_MEMBERS_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#include "peridothill/common/str.h"

typedef enum PhMemberState {
    PH_MEMBER_ALIVE,
    PH_MEMBER_SUSPECT, /* did not answer; may still refute */
    PH_MEMBER_DEAD,    /* did not refute in time */
    PH_MEMBER_LEFT,    /* announced its departure */
} PhMemberState;

/* Limit for valid records; above it a member could not raise its incarnation
 * to refute. */
#define PH_MEMBER_INCARNATION_MAX (UINT64_C(1) << 62)

/* A member record. Of two records of one member the higher incarnation wins; a
 * member raises its own to refute a suspicion. */
typedef struct PhMember {
    PhStr id;
    PhStr data_centre;
    PhStr address; /* of its peer listener, as IP:port */
    PhMemberState state;
    uint64_t incarnation;
    bool draining; /* accepts no new work */
} PhMember;

/* Name of a state as shown on status pages. */
PhStr PhMemberState_Name(PhMemberState state);
PhMember PhMember_Copy(const PhMember *member);
void PhMember_Clear(PhMember *member);

#endif
