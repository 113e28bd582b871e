/* Idempotency keys: which instances keep a key, and the table of one that
 * does.  Two homes keep each key, so that one of them may be lost. */
#ifndef PERIDOTHILL_DECIDE_REQUESTS_KEYS_H
#define PERIDOTHILL_DECIDE_REQUESTS_KEYS_H

#include "peridothill/common/str.h"
#include "peridothill/common/time.h"

enum {
    PH_KEY_HOMES = 2,
    PH_KEY_WINDOW_MS = 30 * 1000 /* a key is kept for this long */
};

typedef enum PhKeyVerdict {
    PH_KEY_GRANTED,   /* not seen, and this home would know of a use */
    PH_KEY_UNVOUCHED, /* not seen, but this home need not know of a use */
    PH_KEY_REPEATED,  /* another request holds it */
    PH_KEY_UNCLEAR,   /* this instance cannot tell */
} PhKeyVerdict;

/* The homes of a key. */
typedef struct PhKeyHomes {
    size_t count;
    PhStr member[PH_KEY_HOMES]; /* borrowed from the view */
} PhKeyHomes;

/* A member that has not left, and whether it is heard.  A member raises its
 * incarnation when it learns that others took it for dead. */
typedef struct PhKeyMember {
    PhStr id;
    bool heard;
    uint64_t incarnation;
} PhKeyMember;

typedef struct PhKeys PhKeys;

/* `self` is this instance's name among the members. */
PhKeys *PhKeys_Create(PhStr self, PhTime window, PhTime now);
void PhKeys_Destroy(PhKeys *keys);
/* Takes the known members that have not left.  Those that are not heard stay
 * homes until more than half of all are heard here: then they are dropped. */
void PhKeys_SetMembers(PhKeys *keys, const PhKeyMember *members, size_t count,
                       PhTime now);
/* The members that are homes (PhStr *), or NULL before they are known. */
const GPtrArray *PhKeys_Members(const PhKeys *keys);
/* Finds the homes of a key; none before the members are known. */
PhKeyHomes PhKeys_Homes(const PhKeys *keys, PhStr key);
/* At a home: reserves the key for a request, which `holder` names.  A home
 * vouches when it is as old as the window and has been a home of the key for
 * all that time.  UNCLEAR when this is not a home, or hears no majority. */
PhKeyVerdict PhKeys_Claim(PhKeys *keys, PhStr key, PhStr holder, PhTime now);
/* At a home: frees the key when the holder proved that it did not run. */
void PhKeys_Release(PhKeys *keys, PhStr key, PhStr holder);
size_t PhKeys_Count(const PhKeys *keys);

#endif
