/* An instance's view of the owner of the jobs over a link: whether calls can
 * be given to it, and whether this instance has to follow the store itself.
 *
 * Instances that hear from the owner need not read what it writes: it answers
 * for them.  A few of them, which the owner names, follow all the same so that
 * one of them takes over at once; and everybody does who has not heard from an
 * owner for a while. */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_OWNER_LINK_H
#define PERIDOTHILL_DECIDE_SCHEDULE_OWNER_LINK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "peridothill/common/str.h"
#include "peridothill/common/time.h"

typedef struct PhOwnerLink {
    bool enabled;         /* instances have links at all */
    PhStr address;        /* of the owner's link, owned; empty: not known */
    PhTime since;         /* this view began */
    PhTime heard_at;      /* the owner's last word, 0 for none */
    PhTime standby_until; /* it wants this instance to follow until then */
    PhTime next_hello_at; /* the next greeting */
} PhOwnerLink;

void PhOwnerLink_Open(PhOwnerLink *link, bool enabled, PhTime now);
void PhOwnerLink_Clear(PhOwnerLink *link);
/* Names the owner's address, empty for none. */
void PhOwnerLink_SetOwner(PhOwnerLink *link, PhStr address, PhTime now);
/* The owner has answered. */
void PhOwnerLink_OnWelcome(PhOwnerLink *link, bool standby, PhTime now);
/* Whoever is there is not the owner. */
void PhOwnerLink_OnDismiss(PhOwnerLink *link, PhTime now);
/* Tells whether calls can be given to the owner. */
bool PhOwnerLink_IsUp(const PhOwnerLink *link, PhTime now);
/* Tells whether this instance has to follow the store. */
bool PhOwnerLink_Follows(const PhOwnerLink *link, PhTime now);
/* Tells whether a greeting is due, and plans the next one. */
bool PhOwnerLink_TakeHello(PhOwnerLink *link, PhTime now);
/* When the next greeting is due, or an answer above changes by itself. */
PhTime PhOwnerLink_Due(const PhOwnerLink *link, PhTime now);

/* The owner's view of those that greet it. */
typedef struct PhStandbys PhStandbys;

enum {
    PH_STANDBYS_MAX = 3 /* that follow the store */
};

PhStandbys *PhStandbys_Create(void);
void PhStandbys_Destroy(PhStandbys *standbys);
/* Takes in a greeting; tells whether the instance shall follow the store: the
 * strongest, in different data centres where that is possible. */
bool PhStandbys_OnHello(PhStandbys *standbys, PhStr instance,
                        PhStr data_centre, uint64_t strength, PhTime now);
/* Gives the instances that have greeted lately, as PhStr that are borrowed
 * until the next call; the array is owned by the caller. */
GArray *PhStandbys_Instances(const PhStandbys *standbys, PhTime now);

#endif
