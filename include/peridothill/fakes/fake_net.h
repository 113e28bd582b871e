/* Discrete-event simulation of a network: messages and timers of numbered
 * endpoints in virtual time, reproducible by its seed.  Link properties are
 * set per ordered pair of endpoint groups. */
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
 * and `duplicate` are probabilities per message.  While `cut`, no message
 * arrives, including those in flight. */
typedef struct PhFakeLink {
    PhTime delay_min;
    PhTime delay_extra;
    double loss;
    double duplicate;
    bool cut;
} PhFakeLink;

/* A message to, or a timer of, endpoint `to`.  The body is borrowed until the
 * next call of PhFakeNet_Next. */
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

/* Numbers of messages; `cut` counts those that a cut link, a black hole or a
 * crash dropped. */
typedef struct PhFakeNetCounts {
    uint64_t sent;
    uint64_t lost;
    uint64_t duplicated;
    uint64_t cut;
} PhFakeNetCounts;

typedef struct PhFakeNet PhFakeNet;

/* `clear` is called before a body is freed; it may be NULL. */
PhFakeNet *PhFakeNet_Create(uint64_t seed, uint32_t endpoints,
                            GDestroyNotify clear);
void PhFakeNet_Destroy(PhFakeNet *net);
PhTime PhFakeNet_Now(const PhFakeNet *net);
PhFakeNetCounts PhFakeNet_Counts(const PhFakeNet *net);
/* All endpoints start in group 0. */
void PhFakeNet_SetGroup(PhFakeNet *net, uint32_t endpoint, uint32_t group);
/* Properties of the link from one group to another; may be changed. */
PhFakeLink *PhFakeNet_Link(PhFakeNet *net, uint32_t from, uint32_t to);
/* Drops all messages of an ordered pair of endpoints, as a middlebox does that
 * lost the state of a connection. */
void PhFakeNet_SetBlackhole(PhFakeNet *net, uint32_t from, uint32_t to,
                            bool silent);
/* Delays the events of an endpoint that are due earlier to `until`. */
void PhFakeNet_Pause(PhFakeNet *net, uint32_t endpoint, PhTime until);
/* Drops the pending messages and timers of an endpoint and ends its pause; the
 * endpoint can be used again at once. */
void PhFakeNet_Crash(PhFakeNet *net, uint32_t endpoint);
/* Takes ownership of the body, which is NULL or comes from g_rc_box_new. */
void PhFakeNet_Send(PhFakeNet *net, uint32_t from, uint32_t to, uint64_t token,
                    void *body);
/* One-shot; several timers may have the same token.  A time in the past means
 * now. */
void PhFakeNet_SetTimer(PhFakeNet *net, uint32_t endpoint, uint64_t token,
                        PhTime at);
/* Advances the time to the next event; if none is due by `until`, advances to
 * `until` and returns false. */
bool PhFakeNet_Next(PhFakeNet *net, PhTime until, PhFakeEvent *event);

#endif
