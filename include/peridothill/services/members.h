/* Interface of the task "members", which maintains the membership of the
 * cluster and which parts of it this instance still reaches. */
#ifndef PERIDOTHILL_SERVICES_MEMBERS_H
#define PERIDOTHILL_SERVICES_MEMBERS_H

#include "peridothill/decide/members/member.h"
#include "peridothill/kernel/kernel.h"

/* All known members including this instance, sorted by id. Owns its strings. A
 * `_reachable` flag is also true if the group has no members. */
typedef struct PhMembersView {
    uint64_t sequence; /* increases with each view of this instance */
    PhStr self;
    PhMember *members;
    size_t member_count;
    bool own_data_centre_reachable;
    bool other_data_centres_reachable;
    bool platform_reachable;
} PhMembersView;

typedef enum PhMembersTag {
    PH_MEMBERS_SUBSCRIBE, /* to "members": send the view, and each new one */
    PH_MEMBERS_VIEW,      /* from "members" */
    /* To "members": a platform service answered. */
    PH_MEMBERS_PLATFORM_ANSWERED,
    PH_MEMBERS_DRAIN, /* to "members": announce that no new work is accepted */
    PH_MEMBERS_LEAVE, /* to "members": announce the departure, then end */
} PhMembersTag;

typedef struct PhMembersMessage {
    PhMembersTag tag;
    union {
        PhMembersView view;
    } as;
} PhMembersMessage;

/* Wraps a message body for the kernel; takes ownership of what it owns. */
PhMessage PhMembersMessage_Wrap(const PhMembersMessage *body);
/* Deep copy; the caller frees it with PhMembersView_Clear(). */
PhMembersView PhMembersView_Copy(const PhMembersView *view);
void PhMembersView_Clear(PhMembersView *view);
/* NULL if the id is unknown. */
const PhMember *PhMembersView_Find(const PhMembersView *view, PhStr id);

/* Strings are copied. */
typedef struct PhMembersOptions {
    PhStr id;
    PhStr data_centre;
    PhStr address;      /* at which others reach the peer listener */
    const PhStr *seeds; /* addresses of peer listeners */
    size_t seed_count;
    uint16_t list_port; /* peer port of listed entry instances; 0: unused */
    uint64_t incarnation;
    uint64_t seed; /* of the random number generator */
} PhMembersOptions;

PhStatus PhMembers_Start(PhKernel *kernel, const PhMembersOptions *options);

#endif
