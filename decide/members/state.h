/* State of a membership, shared by the files of this folder. */
#ifndef PERIDOTHILL_DECIDE_MEMBERS_STATE_H
#define PERIDOTHILL_DECIDE_MEMBERS_STATE_H

#include "peridothill/decide/members/membership.h"

enum {
    MEMBERS_MAX = 4096,
    NEWS_IN_MESSAGE = 8, /* records that ride on a probe message */
    NEWS_SENDS_PER_LOG2 = 3,
    HELPERS = 3,         /* members asked for an indirect probe */
    FAR_PROBE_EVERY = 5, /* of so many probes one goes to other data centres */
    PUSHED_NEAR = 2,     /* members that new news is pushed to at once */
    PUSHED_FAR = 2,
    CONFIRMS_IN_INTERVAL = 16, /* pings of suspects in a probe interval */
    LEAVE_TOLD = 8,            /* members that a leaving one tells itself */
};

/* A known member. */
typedef struct PhEntry {
    PhMember member;
    bool near;        /* in the own data centre */
    bool known;       /* counted in near_known or far_known */
    bool listed;      /* in `near` or `far` of the membership */
    bool fresh;       /* in the news queue */
    uint64_t share;   /* its part of the digest */
    uint32_t sends;   /* times its news is still to be sent */
    PhTime heard;     /* last message from itself */
    PhTime told;      /* last ping because it is thought dead */
    PhTime asked;     /* first ping of the suspicion, or 0 */
    PhTime suspected; /* start of the suspicion */
    PhTime confirm;   /* next ping of the suspicion */
    PhTime expires;   /* end of the suspicion */
    PhTime buried;    /* since when dead or left */
} PhEntry;

typedef enum PhProbeStage {
    PH_PROBE_DIRECT,
    PH_PROBE_INDIRECT,
    PH_PROBE_RELAY, /* on behalf of another member */
} PhProbeStage;

/* A ping that waits for its ack. */
typedef struct PhProbe {
    PhProbeStage stage;
    uint64_t sequence;
    PhTime deadline;
    PhStr target;
    PhStr requester; /* of a relay */
    uint64_t requester_sequence;
} PhProbe;

struct PhMembership {
    PhMembershipTimes times;
    PhRandom *random;
    GHashTable *entries; /* id to PhEntry */
    PhEntry *self;
    GPtrArray *near; /* live others in probing order */
    GPtrArray *far;
    guint near_next;
    guint far_next;
    size_t near_known; /* others that have not left */
    size_t far_known;
    GQueue news;   /* PhEntry, latest first */
    GQueue buried; /* PhEntry, dead or left, oldest first */
    GPtrArray *suspects;
    GArray *probes;        /* PhProbe */
    GPtrArray *candidates; /* PhStr keys */
    uint64_t sequence;
    uint64_t probe_count;
    int confirms;         /* pings of suspects left in this probe interval */
    uint64_t digest;      /* over live members */
    PhTime differs_since; /* of digests heard; 0 while they agree */
    PhTime probe_due;
    PhTime reach_due;
    PhTime stranger_due; /* an unknown sender is asked not before */
    PhTime push_due;     /* news is pushed not before */
    bool push_wanted;    /* there is news to push */
    bool syncing;        /* records of a sync are taken */
    PhTime wake;
    PhTime near_heard;
    PhTime far_heard;
    PhTime platform_heard;
    PhMembershipHearing hearing;
    bool changed;
    PhTime now;
    GArray *actions; /* of the event that is applied */
};

/* members_table.c */
PhEntry *PhEntry_Find(const PhMembership *m, PhStr id);
PhEntry *PhEntry_Add(PhMembership *m, const PhMember *record);
/* Gives an entry another state and incarnation, and spreads the news. */
void PhEntry_Change(PhMembership *m, PhEntry *e, PhMemberState state,
                    uint64_t incarnation);
void PhEntry_Spread(PhMembership *m, PhEntry *e);
void PhEntry_Destroy(gpointer entry);
/* Forgets members that are dead or left for long. */
void PhMembers_Purge(PhMembership *m);
/* Tells whether a live member has this address. */
bool PhMembers_HasAddress(const PhMembership *m, PhStr address);

/* members_send.c */
void PhMembers_Report(PhMembership *m, PhMembershipReport what, PhStr member);
/* Sends to a member with news; takes over what the message owns. */
void PhMembers_Send(PhMembership *m, PhEntry *to, PhMemberMessage message);
void PhMembers_SendPing(PhMembership *m, PhEntry *to, uint64_t sequence);
/* Sends to an address the request for all records. */
void PhMembers_AskSync(PhMembership *m, PhStr member, PhStr address);
void PhMembers_SendSync(PhMembership *m, PhEntry *to);
void PhMembers_TellLeave(PhMembership *m);
/* Sends the latest news to a few members without waiting for a probe. */
void PhMembers_PushNews(PhMembership *m);

/* members_record.c */
void PhMembers_MergeRecord(PhMembership *m, const PhMember *record);
void PhMembers_Suspect(PhMembership *m, PhEntry *e, uint64_t incarnation);
/* Pings suspects again and ends suspicions. */
void PhMembers_CheckSuspects(PhMembership *m);

/* members_due.c */
/* Notices that this process was paused, and moves its deadlines. */
void PhMembers_CheckPause(PhMembership *m);
/* Does what is due now. */
void PhMembers_DoDue(PhMembership *m);
/* The next time at which something is due. */
PhTime PhMembers_NextDue(const PhMembership *m);

/* members_hearing.c */
void PhMembers_CheckHearing(PhMembership *m);

/* members_probe.c */
void PhMembers_ProbeNext(PhMembership *m);
void PhMembers_CheckProbes(PhMembership *m);
void PhMembers_TakeAck(PhMembership *m, uint64_t sequence);
void PhMembers_Relay(PhMembership *m, PhEntry *requester,
                     const PhMemberProbe *probe);
void PhProbe_Clear(gpointer probe);

#endif
