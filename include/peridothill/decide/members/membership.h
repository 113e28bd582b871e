/* Membership: who is alive, decided from probes and from what members tell
 * each other.  Pure: events in, actions out. */
#ifndef PERIDOTHILL_DECIDE_MEMBERS_MEMBERSHIP_H
#define PERIDOTHILL_DECIDE_MEMBERS_MEMBERSHIP_H

#include <glib.h>

#include "peridothill/common/random.h"
#include "peridothill/common/time.h"
#include "peridothill/decide/members/message.h"

typedef struct PhMembership PhMembership;

/* Times of the protocol. */
typedef struct PhMembershipTimes {
    PhTime probe_interval;
    PhTime probe_timeout;    /* of a direct probe */
    PhTime indirect_timeout; /* of the probes through others */
    PhTime suspicion;        /* from suspect to dead */
    PhTime reach_interval;   /* between contacts with dead or new members */
    PhTime hear_near_limit;  /* silence that means cut off */
    PhTime hear_far_limit;
    PhTime platform_limit;
    PhTime keep_dead;   /* how long dead and left members are kept */
    PhTime pause_limit; /* lateness that means this process was paused */
} PhMembershipTimes;

/* The times that the daemon uses. */
PhMembershipTimes PhMembershipTimes_Default(void);

/* Borrowed, and copied by PhMembership_Create. */
typedef struct PhMembershipOptions {
    PhStr id;
    PhStr data_centre;
    PhStr address;
    uint64_t incarnation;
    uint64_t seed;
    PhMembershipTimes times;
} PhMembershipOptions;

typedef enum PhMembershipEventKind {
    PH_MEMBERSHIP_WOKEN, /* the time of the last WAKE action has come */
    PH_MEMBERSHIP_MESSAGE,
    PH_MEMBERSHIP_CANDIDATES, /* addresses where members may listen */
    PH_MEMBERSHIP_PLATFORM_HEARD,
    PH_MEMBERSHIP_DRAIN,
    PH_MEMBERSHIP_LEAVE,
} PhMembershipEventKind;

/* An event; everything is borrowed. */
typedef struct PhMembershipEvent {
    PhMembershipEventKind kind;
    union {
        struct {
            PhStr from;
            const PhMemberMessage *message;
        } message;
        struct {
            const PhStr *addresses;
            size_t count;
        } candidates;
    } as;
} PhMembershipEvent;

/* Something worth a counter and a log line. */
typedef enum PhMembershipReport {
    PH_MEMBERSHIP_JOINED,
    PH_MEMBERSHIP_SUSPECTED,
    PH_MEMBERSHIP_REFUTED, /* another member refuted */
    PH_MEMBERSHIP_DIED,
    PH_MEMBERSHIP_RETURNED, /* dead or left, now with a higher incarnation */
    PH_MEMBERSHIP_GONE,     /* said that it leaves */
    PH_MEMBERSHIP_SELF_REFUTED,
    PH_MEMBERSHIP_ID_CONFLICT, /* another instance uses this id */
    PH_MEMBERSHIP_TABLE_FULL,
    PH_MEMBERSHIP_SYNC_ASKED,
    PH_MEMBERSHIP_PAUSED, /* this process stood still */
    PH_MEMBERSHIP_OWN_DATA_CENTRE_LOST,
    PH_MEMBERSHIP_OWN_DATA_CENTRE_HEARD,
    PH_MEMBERSHIP_OTHER_DATA_CENTRES_LOST,
    PH_MEMBERSHIP_OTHER_DATA_CENTRES_HEARD,
    PH_MEMBERSHIP_PLATFORM_LOST,
    PH_MEMBERSHIP_PLATFORM_BACK,
} PhMembershipReport;

typedef enum PhMembershipActionKind {
    PH_MEMBERSHIP_SEND,
    PH_MEMBERSHIP_WAKE,
    PH_MEMBERSHIP_VIEW_CHANGED,
    PH_MEMBERSHIP_REPORT,
} PhMembershipActionKind;

/* An action; owns its strings. */
typedef struct PhMembershipAction {
    PhMembershipActionKind kind;
    union {
        struct {
            PhStr member; /* empty when only the address is known */
            PhStr address;
            PhMemberMessage message;
        } send;
        PhTime wake;
        struct {
            PhMembershipReport what;
            PhStr member;
        } report;
    } as;
} PhMembershipAction;

/* Creates an empty array of actions that releases its elements. */
GArray *PhMembershipActions_Create(void);

PhMembership *PhMembership_Create(const PhMembershipOptions *options,
                                  PhTime now);
void PhMembership_Destroy(PhMembership *membership);
/* Takes one event and appends the actions. */
void PhMembership_Apply(PhMembership *membership,
                        const PhMembershipEvent *event, PhTime now,
                        GArray *actions);
/* All known members sorted by id, as an array of borrowed PhMember. */
GArray *PhMembership_List(const PhMembership *membership);
/* The state of a member; DEAD when it is not known. */
PhMemberState PhMembership_State(const PhMembership *membership, PhStr id);
uint64_t PhMembership_Incarnation(const PhMembership *membership);
/* What this instance can hear. */
typedef struct PhMembershipHearing {
    bool own_data_centre;
    bool other_data_centres;
    bool platform;
} PhMembershipHearing;

PhMembershipHearing PhMembership_Hearing(const PhMembership *membership);

#endif
