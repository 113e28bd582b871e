/* SWIM-style membership with gossip and suspicion. It does no I/O: events go
 * in, actions come out. */
#ifndef PERIDOTHILL_DECIDE_MEMBERS_MEMBERSHIP_H
#define PERIDOTHILL_DECIDE_MEMBERS_MEMBERSHIP_H

#include <glib.h>

#include "peridothill/common/random.h"
#include "peridothill/common/time.h"
#include "peridothill/decide/members/message.h"

typedef struct PhMembership PhMembership;

typedef struct PhMembershipTimes {
    PhTime probe_interval;
    PhTime probe_timeout;    /* direct probe */
    PhTime indirect_timeout; /* probes through other members */
    PhTime suspicion;        /* from suspect to dead */
    PhTime rejoin_interval;  /* between contacts with dead or new members */
    /* Silence after which a group counts as lost. */
    PhTime local_silence_limit;  /* own data centre */
    PhTime remote_silence_limit; /* all other data centres */
    PhTime platform_silence_limit;
    PhTime departed_retention; /* of dead and left members */
    PhTime pause_threshold;    /* lateness of a timer: process was paused */
} PhMembershipTimes;

PhMembershipTimes PhMembershipTimes_Default(void);

/* Strings are borrowed; PhMembership_Create() copies them. */
typedef struct PhMembershipOptions {
    PhStr id;
    PhStr data_centre;
    PhStr address;
    uint64_t incarnation;
    uint64_t seed;
    PhMembershipTimes times;
} PhMembershipOptions;

typedef enum PhMembershipEventKind {
    PH_MEMBERSHIP_TIMER, /* the time of the last SET_TIMER was reached */
    PH_MEMBERSHIP_MESSAGE,
    PH_MEMBERSHIP_CANDIDATES, /* addresses at which members may listen */
    PH_MEMBERSHIP_PLATFORM_ANSWERED,
    PH_MEMBERSHIP_DRAIN,
    PH_MEMBERSHIP_LEAVE,
} PhMembershipEventKind;

/* Input; everything is borrowed. */
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

/* Occurrences to count and to log. */
typedef enum PhMembershipReport {
    PH_MEMBERSHIP_JOINED,
    PH_MEMBERSHIP_SUSPECTED,
    PH_MEMBERSHIP_REFUTED, /* by another member */
    PH_MEMBERSHIP_DIED,
    PH_MEMBERSHIP_RETURNED, /* from dead or left */
    PH_MEMBERSHIP_LEFT,     /* announced its departure */
    PH_MEMBERSHIP_SELF_REFUTED,
    PH_MEMBERSHIP_ID_CONFLICT, /* another instance uses the own id */
    PH_MEMBERSHIP_TABLE_FULL,
    PH_MEMBERSHIP_SYNC_REQUESTED,
    PH_MEMBERSHIP_PAUSED, /* this process was paused */
    PH_MEMBERSHIP_OWN_DATA_CENTRE_LOST,
    PH_MEMBERSHIP_OWN_DATA_CENTRE_RESTORED,
    PH_MEMBERSHIP_OTHER_DATA_CENTRES_LOST,
    PH_MEMBERSHIP_OTHER_DATA_CENTRES_RESTORED,
    PH_MEMBERSHIP_PLATFORM_LOST,
    PH_MEMBERSHIP_PLATFORM_RESTORED,
} PhMembershipReport;

typedef enum PhMembershipActionKind {
    PH_MEMBERSHIP_SEND,
    PH_MEMBERSHIP_SET_TIMER,
    PH_MEMBERSHIP_VIEW_CHANGED,
    PH_MEMBERSHIP_REPORT,
} PhMembershipActionKind;

/* Output; owns its strings. */
typedef struct PhMembershipAction {
    PhMembershipActionKind kind;
    union {
        struct {
            PhStr member; /* empty if only the address is known */
            PhStr address;
            PhMemberMessage message;
        } send;
        PhTime set_timer;
        struct {
            PhMembershipReport what;
            PhStr member;
        } report;
    } as;
} PhMembershipAction;

/* Empty array of PhMembershipAction that clears its elements when freed. */
GArray *PhMembershipActions_Create(void);

PhMembership *PhMembership_Create(const PhMembershipOptions *options,
                                  PhTime now);
void PhMembership_Destroy(PhMembership *membership);
/* Handles one event and appends the resulting actions. */
void PhMembership_Apply(PhMembership *membership,
                        const PhMembershipEvent *event, PhTime now,
                        GArray *actions);
/* All known members sorted by id, as an array of PhMember with borrowed
 * strings. */
GArray *PhMembership_List(const PhMembership *membership);
/* DEAD for an unknown member. */
PhMemberState PhMembership_State(const PhMembership *membership, PhStr id);
uint64_t PhMembership_Incarnation(const PhMembership *membership);
/* Which groups have recently sent messages to this instance. */
typedef struct PhMembershipReachability {
    bool own_data_centre;
    bool other_data_centres;
    bool platform;
} PhMembershipReachability;

PhMembershipReachability
PhMembership_Reachability(const PhMembership *membership);

#endif
