/* What is known about one instance of the system. */
#ifndef PERIDOTHILL_DECIDE_MEMBERS_MEMBER_H
#define PERIDOTHILL_DECIDE_MEMBERS_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#include "peridothill/common/str.h"

typedef enum PhMemberState {
    PH_MEMBER_ALIVE,
    PH_MEMBER_SUSPECT, /* did not answer; it may still refute */
    PH_MEMBER_DEAD,    /* did not refute in time */
    PH_MEMBER_LEFT,    /* said that it leaves */
} PhMemberState;

/* A record with a higher incarnation is malformed: there must be room to
 * refute it. */
#define PH_MEMBER_INCARNATION_MAX (UINT64_C(1) << 62)

/* A member.  Of two records of one member the higher incarnation counts; a
 * member raises its own to refute what is said of it. */
typedef struct PhMember {
    PhStr id;
    PhStr data_centre;
    PhStr address; /* of its peer listener: IP number and port */
    PhMemberState state;
    uint64_t incarnation;
    bool draining; /* it takes no new work */
} PhMember;

/* The name of a state as status pages show it. */
PhStr PhMemberState_Name(PhMemberState state);
PhMember PhMember_Copy(const PhMember *member);
void PhMember_Clear(PhMember *member);

#endif
