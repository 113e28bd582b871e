/* A seeded queue of messages and timers between numbered endpoints, on a time
 * that moves only from event to event; one queue drives a whole randomised
 * run.  Links and cuts are set between groups of endpoints, one way each. */
#ifndef PERIDOTHILL_FAKES_FAKE_NET_H
#define PERIDOTHILL_FAKES_FAKE_NET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "peridothill/common/time.h"

enum {
    PH_FAKE_GROUPS = 16
};

/* The delay is `delay_min` plus an exponential of mean `delay_extra`; `loss`
 * and `duplicate` are probabilities; `cut` drops all, also what is in flight
 * when it would arrive. */
typedef struct PhFakeLink {
    PhTime delay_min;
    PhTime delay_extra;
    double loss;
    double duplicate;
    bool cut;
} PhFakeLink;

/* What happens next: a message, or a timer of endpoint `to`.  The body stays
 * the queue's and is valid until the next call of PhFakeNet_Next. */
typedef struct PhFakeEvent {
    enum {
        PH_FAKE_MESSAGE,
        PH_FAKE_TIMER,
    } kind;
    uint32_t from;
    uint32_t to;
    uint64_t token;
    void *body;
    PhTime at;
} PhFakeEvent;

/* Messages; `cut` counts those that a cut, silence or crash dropped. */
typedef struct PhFakeNetCounts {
    uint64_t sent;
    uint64_t lost;
    uint64_t duplicated;
    uint64_t cut;
} PhFakeNetCounts;

typedef struct PhFakeNet PhFakeNet;

/* `clear` empties a body before its last reference goes; it may be NULL. */
PhFakeNet *PhFakeNet_Create(uint64_t seed, uint32_t endpoints,
                            GDestroyNotify clear);
void PhFakeNet_Destroy(PhFakeNet *net);
PhTime PhFakeNet_Now(const PhFakeNet *net);
PhFakeNetCounts PhFakeNet_Counts(const PhFakeNet *net);
/* All endpoints start in group 0. */
void PhFakeNet_SetGroup(PhFakeNet *net, uint32_t endpoint, uint32_t group);
/* The link from one group to another, to read or change. */
PhFakeLink *PhFakeNet_Link(PhFakeNet *net, uint32_t from, uint32_t to);
/* Makes one ordered pair of endpoints silent, as a connection that something
 * between the ends has lost track of. */
void PhFakeNet_Silence(PhFakeNet *net, uint32_t from, uint32_t to,
                       bool silent);
/* Moves the events that an endpoint has before `until` to that time. */
void PhFakeNet_Pause(PhFakeNet *net, uint32_t endpoint, PhTime until);
/* Drops all that is pending for an endpoint, timers too. */
void PhFakeNet_Crash(PhFakeNet *net, uint32_t endpoint);
/* Sends a message; takes the body, NULL or from g_rc_box_new. */
void PhFakeNet_Send(PhFakeNet *net, uint32_t from, uint32_t to, uint64_t token,
                    void *body);
/* Sets a timer that fires once; several may have one token. */
void PhFakeNet_SetTimer(PhFakeNet *net, uint32_t endpoint, uint64_t token,
                        PhTime at);
/* Gives the next event and moves the time to it; without one by `until`,
 * moves the time to `until` and gives false. */
bool PhFakeNet_Next(PhFakeNet *net, PhTime until, PhFakeEvent *event);

#endif
