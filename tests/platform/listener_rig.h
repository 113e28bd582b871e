/* A kernel on a paused clock with a listener in a task of its own, and a
 * caller over a socket. */
#ifndef PERIDOTHILL_TESTS_PLATFORM_LISTENER_RIG_H
#define PERIDOTHILL_TESTS_PLATFORM_LISTENER_RIG_H

#include <ev.h>

#include "peridothill/services/listener.h"
#include "raw_caller.h"

typedef struct PhListenerRig {
    struct ev_loop *loop;
    PhClock *clock;
    PhCounters *counters;
    PhKernel *kernel;
    PhListenerOptions options;
    PhListener *listener; /* NULL without PhListenerRig_Open */
    PhRawCaller caller;   /* not open at first */
} PhListenerRig;

/* Creates a listener of the task for 8 connections on a free port of the
 * loopback.  `options` needs neither an address nor `on_client_disconnect`. */
PhListener *PhListenerRig_CreateListener(PhTask *self,
                                         const PhListenerOptions *options);
/* Creates all but the listener. */
void PhListenerRig_OpenKernel(PhListenerRig *rig);
/* The same with a listener, as by PhListenerRig_CreateListener. */
void PhListenerRig_Open(PhListenerRig *rig, const PhListenerOptions *options);
/* Runs the event loop, and the caller reads after each step. */
void PhListenerRig_Run(PhListenerRig *rig, int steps);
void PhListenerRig_Close(PhListenerRig *rig);

#endif
