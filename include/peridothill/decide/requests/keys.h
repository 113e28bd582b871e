/* Idempotency keys: placement of keys on instances, and the table of keys on
 * one instance. Each key has two replicas, so that one of them may fail. */
#ifndef PERIDOTHILL_DECIDE_REQUESTS_KEYS_H
#define PERIDOTHILL_DECIDE_REQUESTS_KEYS_H

#include "peridothill/common/str.h"
#include "peridothill/common/time.h"

enum {
    PH_KEY_REPLICAS = 2,
    PH_KEY_WINDOW_MS = 30 * 1000 /* retention time of a key */
};

typedef enum PhKeyVerdict {
    PH_KEY_GRANTED, /* not claimed within the window; this replica's history is
                       complete */
    PH_KEY_UNCONFIRMED, /* not in the table, but this replica may have missed a
                         claim */
    PH_KEY_REPEATED,    /* held by another request */
    PH_KEY_UNCLEAR,     /* this instance cannot decide */
} PhKeyVerdict;

/* The replicas of a key. */
typedef struct PhKeyReplicas {
    size_t count;
    PhStr member[PH_KEY_REPLICAS]; /* borrowed from the current membership */
} PhKeyReplicas;

/* A member that has not left the cluster. It raises its incarnation when it
 * learns that others declared it dead. */
typedef struct PhKeyMember {
    PhStr id;
    bool reachable;
    uint64_t incarnation;
} PhKeyMember;

typedef struct PhKeys PhKeys;

/* `self` is this instance's member id; `window` is the retention of keys. */
PhKeys *PhKeys_Create(PhStr self, PhTime window, PhTime now);
/* NULL is allowed. */
void PhKeys_Destroy(PhKeys *keys);
/* Replaces the membership with the members that have not left. Unreachable
 * members remain replicas until more than half of all members are reachable
 * from here; then they are dropped. */
void PhKeys_SetMembers(PhKeys *keys, const PhKeyMember *members, size_t count,
                       PhTime now);
/* The members that can be replicas (PhStr *, borrowed), or NULL before the
 * first PhKeys_SetMembers(). */
const GPtrArray *PhKeys_Members(const PhKeys *keys);
/* Returns the replicas of a key; none before the first PhKeys_SetMembers(). */
PhKeyReplicas PhKeys_Replicas(const PhKeys *keys, PhStr key);
/* On a replica: reserves the key for the request named by `holder`. The
 * history is complete if the instance is at least as old as the window and was
 * a replica of the key all that time. PH_KEY_UNCLEAR if this instance is not a
 * replica, reaches no majority, or its table is full. */
PhKeyVerdict PhKeys_Claim(PhKeys *keys, PhStr key, PhStr holder, PhTime now);
/* On a replica: frees the key after its holder proved that it was not run.
 * Ignored if another request holds the key. */
void PhKeys_Release(PhKeys *keys, PhStr key, PhStr holder);
size_t PhKeys_Count(const PhKeys *keys);

#endif
