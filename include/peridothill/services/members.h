/* Membership: the interface of the task "members", which knows the instances
 * of the system and what this one can still hear. */
#ifndef PERIDOTHILL_SERVICES_MEMBERS_H
#define PERIDOTHILL_SERVICES_MEMBERS_H

#include "peridothill/decide/members/member.h"
#include "peridothill/kernel/kernel.h"

/* All known members, the own one included, sorted by id.  Owns its strings.
 * A "hears" flag is true as well when there is nobody to hear. */
typedef struct PhMembersView {
    uint64_t sequence; /* of this instance's views; grows by each change */
    PhStr self;
    PhMember *members;
    size_t member_count;
    bool hears_own_data_centre;
    bool hears_other_data_centres;
    bool hears_platform;
} PhMembersView;

typedef enum PhMembersTag {
    PH_MEMBERS_SUBSCRIBE, /* to "members": send the view now and on change */
    PH_MEMBERS_VIEW,      /* from "members" */
    PH_MEMBERS_PLATFORM_HEARD, /* to "members": a platform service answered */
    PH_MEMBERS_DRAIN, /* to "members": announce that no new work is taken */
    PH_MEMBERS_LEAVE, /* to "members": announce the leave, then end */
} PhMembersTag;

typedef struct PhMembersMessage {
    PhMembersTag tag;
    union {
        PhMembersView view;
    } as;
} PhMembersMessage;

/* Wraps a message body for the kernel; takes over what it owns. */
PhMessage PhMembersMessage_Wrap(const PhMembersMessage *body);
/* Copies a view with its strings. */
PhMembersView PhMembersView_Copy(const PhMembersView *view);
void PhMembersView_Clear(PhMembersView *view);
/* Finds a member by id; NULL when it is not known. */
const PhMember *PhMembersView_Find(const PhMembersView *view, PhStr id);

/* What the task "members" is started with.  The strings are copied. */
typedef struct PhMembersOptions {
    PhStr id;
    PhStr data_centre;
    PhStr address;      /* under which others reach the peer listener */
    const PhStr *seeds; /* addresses of peer listeners */
    size_t seed_count;
    uint16_t list_port; /* peer port of listed entry instances; 0: unused */
    uint64_t incarnation;
    uint64_t seed; /* of the random numbers */
} PhMembersOptions;

/* Starts the task "members". */
PhStatus PhMembers_Start(PhKernel *kernel, const PhMembersOptions *options);

#endif
