/* An instance's view of the job owner over a peer link: whether calls can be
 * forwarded to it, and whether this instance has to read the store itself.
 *
 * Instances in contact with the owner need not read what it writes, since it
 * answers for them.  A few standbys chosen by the owner read the store all the
 * same, so that one of them can take over immediately.  So does every instance
 * that has had no answer from an owner for a while. */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_OWNER_LINK_H
#define PERIDOTHILL_DECIDE_SCHEDULE_OWNER_LINK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "peridothill/common/str.h"
#include "peridothill/common/time.h"

typedef struct PhOwnerLink {
    bool enabled;         /* peer links are configured */
    PhStr address;        /* of the owner's link, owned; empty: unknown */
    PhTime since;         /* start of this view, or loss of the last owner */
    PhTime answered_at;   /* last answer of the owner, 0 for none */
    PhTime hello_sent_at; /* the first hello since then, 0 for none */
    PhTime silent_for;    /* observed time that it has had no answer */
    PhTime read_delay;    /* this instance reads the store so much later */
    PhTime standby_until; /* this instance is a standby until then */
    PhTime next_hello_at;
    PhTime lasting_closed_at; /* the owner has last said that it refuses
                                 long-running jobs; 0: it does not */
} PhOwnerLink;

/* Without `enabled`, no hello is sent and this instance reads the store.
 * Without an owner, instances start to do so one after the other by their
 * `read_delay`: all at once, none of them would come to the end. */
void PhOwnerLink_Init(PhOwnerLink *link, bool enabled, PhTime read_delay,
                      PhTime now);
void PhOwnerLink_Clear(PhOwnerLink *link);
/* An empty address stands for no owner. */
void PhOwnerLink_SetOwner(PhOwnerLink *link, PhStr address, PhTime now);
/* What the owner answers to a hello. */
typedef struct PhWelcome {
    bool standby;        /* this instance shall be a standby */
    bool lasting_closed; /* the owner refuses long-running jobs */
} PhWelcome;

/* The owner has answered a hello. */
void PhOwnerLink_OnWelcome(PhOwnerLink *link, const PhWelcome *welcome,
                           PhTime now);
/* Notes whether the owner refuses long-running jobs: by its welcome, or by an
 * ownership of this instance that ends. */
void PhOwnerLink_SetLastingClosed(PhOwnerLink *link, bool closed, PhTime now);
/* Reports whether that was so less than 15 s ago, at the newest note. */
bool PhOwnerLink_IsLastingClosed(const PhOwnerLink *link, PhTime now);
/* The instance at the address is not the owner: calls are no longer forwarded,
 * but hellos to the address go on.  If it had answered as the owner, the time
 * until this instance reads the store starts again. */
void PhOwnerLink_OnNotOwner(PhOwnerLink *link, PhTime now);
/* Reports whether calls can be forwarded to the owner. */
bool PhOwnerLink_IsUp(const PhOwnerLink *link, PhTime now);
/* Time was observed; of a time in which this instance stood still, only the
 * part that counts. */
void PhOwnerLink_Observe(PhOwnerLink *link, PhTime time);
/* Reports whether an owner that has answered before leaves hellos without an
 * answer, by the time observed. */
bool PhOwnerLink_IsSilent(const PhOwnerLink *link);
/* Reports whether the answer to a hello is overdue, by the time observed. */
bool PhOwnerLink_IsLate(const PhOwnerLink *link);
/* Reports whether this instance has to read the store. */
bool PhOwnerLink_MustReadStore(const PhOwnerLink *link, PhTime now);
/* Reports whether a hello is due, and if so schedules the next one.  A hello
 * announces this instance to the owner, which answers whether it is the owner
 * and whether this instance shall be a standby.  None is due while the link is
 * not enabled or no owner is known. */
bool PhOwnerLink_TakeHello(PhOwnerLink *link, PhTime now);
/* The next hello is due now: it has news for the owner. */
void PhOwnerLink_HastenHello(PhOwnerLink *link, PhTime now);
/* Time at which the next hello is due or one of the answers above changes. */
PhTime PhOwnerLink_Due(const PhOwnerLink *link, PhTime now);

/* The owner's view of the instances that send it hellos. */
typedef struct PhStandbys PhStandbys;

enum {
    PH_STANDBYS_MAX = 3 /* standbys that read the store */
};

PhStandbys *PhStandbys_Create(void);
void PhStandbys_Destroy(PhStandbys *standbys);
/* What a hello says of its sender. */
typedef struct PhHello {
    uint64_t cpu_milli;
    PhTime uptime;
    bool ready;   /* it follows the records, and could take over */
    bool leaving; /* it stops */
} PhHello;

/* Handles a hello; returns whether the instance shall be a standby.  Standbys
 * are the instances with most CPU, in different data centres if possible. */
bool PhStandbys_OnHello(PhStandbys *standbys, PhStr instance,
                        PhStr data_centre, const PhHello *hello, PhTime now);

/* Reports whether the instance was told to be a standby. */
bool PhStandbys_IsStandby(const PhStandbys *standbys, PhStr instance);

/* The instance that shall take over from an owner; empty if none is known. */
typedef struct PhSuccessor {
    PhStr instance; /* borrowed until the next call */
    bool ready;
    bool is_new; /* it was no standby before */
} PhSuccessor;

/* Chooses the successor of an owner that has been up for `uptime`, and makes
 * it a standby.  Among those with much CPU, instances that have started after
 * the owner come first, since planned work that restarts the instances in turn
 * has passed them, then those that are ready. */
PhSuccessor PhStandbys_ChooseSuccessor(PhStandbys *standbys, PhTime uptime,
                                       PhTime now);
/* Instances that have sent a hello recently, as PhStr that are borrowed until
 * the next call; the array is owned by the caller. */
GArray *PhStandbys_Instances(const PhStandbys *standbys, PhTime now);

#endif
