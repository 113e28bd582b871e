#ifndef PERIDOTHILL_DECIDE_MEMBERS_MEMBERSHIP_PRIVATE_H
#define PERIDOTHILL_DECIDE_MEMBERS_MEMBERSHIP_PRIVATE_H

#include "peridothill/decide/members/membership.h"

enum {
    MEMBERS_MAX = 4096,
    UPDATES_PER_MESSAGE = 8,   /* updates piggybacked on a message */
    UPDATE_SENDS_PER_LOG2 = 3, /* per update and log2(members) */
    INDIRECT_PROBES = 3,       /* members asked for an indirect probe */
    REMOTE_PROBE_PERIOD = 5, /* every n-th probe goes to another data centre */
    PUSH_LOCAL_MEMBERS = 2,  /* members to which an update is pushed at once */
    PUSH_REMOTE_MEMBERS = 2, /* the same in other data centres */
    SUSPECT_PINGS_PER_INTERVAL = 16, /* pings of suspects per probe interval */
    LEAVE_NOTIFIED = 8, /* members; half as many in other data centres */
};

/* A known member. */
typedef struct PhMemberEntry {
    PhMember member;
    bool local;   /* in the own data centre */
    bool counted; /* counted in local_count or remote_count */
    bool in_probe_order;
    bool update_queued;         /* in the update queue */
    uint64_t digest_part;       /* contribution to the digest */
    uint32_t update_sends_left; /* remaining transmissions of its update */
    PhTime last_contact_at;     /* last message from the member itself */
    /* Last ping with its own dead or left record. */
    PhTime departure_notified_at;
    PhTime first_ping_at; /* first ping of the suspicion, or 0 */
    PhTime suspected_at;
    PhTime next_ping; /* of the suspicion */
    PhTime suspicion_ends;
    PhTime departed_at; /* since when dead or left */
} PhMemberEntry;

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
    GHashTable *entries; /* id to PhMemberEntry */
    PhMemberEntry *self;
    /* Live members of the own and of other data centres, in probe order. */
    GPtrArray *local;
    GPtrArray *remote;
    guint local_next;
    guint remote_next;
    size_t local_count; /* other members that have not left */
    size_t remote_count;
    GQueue updates;  /* PhMemberEntry with an update to send, latest first */
    GQueue departed; /* PhMemberEntry, dead or left, oldest first */
    GPtrArray *suspects;
    GArray *probes;        /* PhProbe */
    GPtrArray *candidates; /* PhStr keys */
    uint64_t sequence;
    uint64_t probe_count;
    int suspect_pings_left;      /* in this probe interval */
    uint64_t digest;             /* XOR over the live members */
    PhTime digest_differs_since; /* of received digests; 0: they match */
    PhTime probe_due;
    PhTime rejoin_due;
    PhTime unknown_sync_due; /* earliest next request to an unknown sender */
    PhTime push_due;         /* earliest next push */
    bool push_wanted;        /* an update waits to be pushed */
    bool syncing;            /* records of a sync are being merged */
    PhTime timer_at;
    PhTime local_last_contact_at;
    PhTime remote_last_contact_at;
    PhTime platform_last_contact_at;
    PhMembershipReachability reachability;
    bool view_changed;
    PhTime now;
    GArray *actions; /* of the event being handled */
};

/* members_table.c */
PhMemberEntry *PhMemberEntry_Find(const PhMembership *m, PhStr id);
PhMemberEntry *PhMemberEntry_Add(PhMembership *m, const PhMember *record);
/* Sets state and incarnation, and queues the update. */
void PhMemberEntry_SetState(PhMembership *m, PhMemberEntry *e,
                            PhMemberState state, uint64_t incarnation);
/* Queues an update of the member for gossip. */
void PhMemberEntry_QueueUpdate(PhMembership *m, PhMemberEntry *e);
void PhMemberEntry_Destroy(gpointer entry);
/* Drops members that have been dead or left for longer than
 * departed_retention. */
void PhMembers_Purge(PhMembership *m);
/* True if a live member has this address. */
bool PhMembers_HasAddress(const PhMembership *m, PhStr address);

/* members_send.c */
void PhMembers_Report(PhMembership *m, PhMembershipReport what, PhStr member);
/* Sends a message with piggybacked updates; takes ownership of what the
 * message owns. */
void PhMembers_Send(PhMembership *m, PhMemberEntry *to,
                    PhMemberMessage message);
void PhMembers_SendPing(PhMembership *m, PhMemberEntry *to, uint64_t sequence);
/* Requests all records. `member` is empty if only the address is known. */
void PhMembers_RequestSync(PhMembership *m, PhStr member, PhStr address);
void PhMembers_SendSync(PhMembership *m, PhMemberEntry *to);
void PhMembers_AnnounceLeave(PhMembership *m);
/* Sends the latest updates to a few members without waiting for a probe. */
void PhMembers_PushUpdates(PhMembership *m);

/* members_record.c */
void PhMembers_MergeRecord(PhMembership *m, const PhMember *record);
void PhMembers_Suspect(PhMembership *m, PhMemberEntry *e,
                       uint64_t incarnation);
/* Pings suspects again and ends suspicions that have expired. */
void PhMembers_CheckSuspects(PhMembership *m);

/* members_due.c */
/* Detects a pause of this process, and extends its deadlines accordingly. */
void PhMembers_CheckPause(PhMembership *m);
void PhMembers_RunDue(PhMembership *m);
/* Next time at which PhMembers_RunDue() has work. */
PhTime PhMembers_NextDue(const PhMembership *m);

/* members_reachability.c */
void PhMembers_CheckReachability(PhMembership *m);

/* members_probe.c */
void PhMembers_ProbeNext(PhMembership *m);
void PhMembers_CheckProbes(PhMembership *m);
void PhMembers_HandleAck(PhMembership *m, uint64_t sequence);
void PhMembers_Relay(PhMembership *m, PhMemberEntry *requester,
                     const PhMemberProbe *probe);
void PhProbe_Clear(gpointer probe);

#endif
