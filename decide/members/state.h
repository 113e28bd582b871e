#ifndef PERIDOTHILL_DECIDE_MEMBERS_STATE_H
#define PERIDOTHILL_DECIDE_MEMBERS_STATE_H

#include "peridothill/decide/members/membership.h"

enum {
    MEMBERS_MAX = 4096,
    NEWS_IN_MESSAGE = 8,     /* updates piggybacked on a message */
    NEWS_SENDS_PER_LOG2 = 3, /* transmissions of an update per log2(members) */
    HELPERS = 3,             /* members asked for an indirect probe */
    FAR_PROBE_EVERY = 5,     /* every n-th probe goes to another data centre */
    PUSHED_NEAR = 2,         /* members to which an update is pushed at once */
    PUSHED_FAR = 2,          /* the same in other data centres */
    CONFIRMS_IN_INTERVAL = 16, /* pings of suspects per probe interval */
    LEAVE_TOLD =
        8, /* members notified of a departure; half as many elsewhere */
};

/* A known member. */
typedef struct PhEntry {
    PhMember member;
    bool near;        /* in the own data centre */
    bool known;       /* counted in near_known or far_known */
    bool listed;      /* in a probe order */
    bool fresh;       /* in the update queue */
    uint64_t share;   /* contribution to the digest */
    uint32_t sends;   /* remaining transmissions of its update */
    PhTime heard;     /* last message from the member itself */
    PhTime told;      /* last ping that told it that it is considered gone */
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
    PhStr requester; /* RELAY only */
    uint64_t requester_sequence;
} PhProbe;

struct PhMembership {
    PhMembershipTimes times;
    PhRandom *random;
    GHashTable *entries; /* id to PhEntry */
    PhEntry *self;
    GPtrArray *near; /* live members of the own data centre, in probe order */
    GPtrArray *far;  /* live members of other data centres, in probe order */
    guint near_next;
    guint far_next;
    size_t near_known; /* other members that have not left */
    size_t far_known;
    GQueue news;   /* PhEntry with an update to send, latest first */
    GQueue buried; /* PhEntry, dead or left, oldest first */
    GPtrArray *suspects;
    GArray *probes;        /* PhProbe */
    GPtrArray *candidates; /* PhStr keys */
    uint64_t sequence;
    uint64_t probe_count;
    int confirms;         /* pings of suspects left in this probe interval */
    uint64_t digest;      /* XOR over the live members */
    PhTime differs_since; /* of received digests; 0: they match */
    PhTime probe_due;
    PhTime reach_due;
    PhTime stranger_due; /* earliest next sync request to an unknown sender */
    PhTime push_due;     /* earliest next push */
    bool push_wanted;    /* an update waits to be pushed */
    bool syncing;        /* records of a sync are being merged */
    PhTime wake;
    PhTime near_heard;
    PhTime far_heard;
    PhTime platform_heard;
    PhMembershipHearing hearing;
    bool changed;
    PhTime now;
    GArray *actions; /* of the event being handled */
};

/* members_table.c */
PhEntry *PhEntry_Find(const PhMembership *m, PhStr id);
PhEntry *PhEntry_Add(PhMembership *m, const PhMember *record);
/* Sets state and incarnation, and queues the update. */
void PhEntry_Change(PhMembership *m, PhEntry *e, PhMemberState state,
                    uint64_t incarnation);
/* Queues an update of the member for gossip. */
void PhEntry_Spread(PhMembership *m, PhEntry *e);
void PhEntry_Destroy(gpointer entry);
/* Drops members that have been dead or left for longer than keep_dead. */
void PhMembers_Purge(PhMembership *m);
/* True if a live member has this address. */
bool PhMembers_HasAddress(const PhMembership *m, PhStr address);

/* members_send.c */
void PhMembers_Report(PhMembership *m, PhMembershipReport what, PhStr member);
/* Sends a message with piggybacked updates; takes ownership of what the
 * message owns. */
void PhMembers_Send(PhMembership *m, PhEntry *to, PhMemberMessage message);
void PhMembers_SendPing(PhMembership *m, PhEntry *to, uint64_t sequence);
/* Requests all records. `member` is empty if only the address is known. */
void PhMembers_AskSync(PhMembership *m, PhStr member, PhStr address);
void PhMembers_SendSync(PhMembership *m, PhEntry *to);
void PhMembers_TellLeave(PhMembership *m);
/* Sends the latest updates to a few members without waiting for a probe. */
void PhMembers_PushNews(PhMembership *m);

/* members_record.c */
void PhMembers_MergeRecord(PhMembership *m, const PhMember *record);
void PhMembers_Suspect(PhMembership *m, PhEntry *e, uint64_t incarnation);
/* Pings suspects again and ends suspicions that have expired. */
void PhMembers_CheckSuspects(PhMembership *m);

/* members_due.c */
/* Detects a pause of this process, and extends its deadlines accordingly. */
void PhMembers_CheckPause(PhMembership *m);
void PhMembers_DoDue(PhMembership *m);
/* Next time at which PhMembers_DoDue() has work. */
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
