/* Connections to workers and the incarnations that they lead to.  An order
 * names the id of a worker, which a later incarnation may have as well, but a
 * process executes only what comes on connections that it accepted.  So an
 * order is bound to an incarnation if its connection was established before a
 * sign of life of it.  While no such connection is free, the order waits for
 * one, or for a query whose answer is such a sign. */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_BINDINGS_H
#define PERIDOTHILL_DECIDE_SCHEDULE_BINDINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "peridothill/common/str.h"
#include "peridothill/common/time.h"

typedef struct PhBindings PhBindings;

PhBindings *PhBindings_Create(void);
/* Accepts NULL. */
void PhBindings_Destroy(PhBindings *bindings);

/* The incarnation has answered an order.  It was alive at `at`: when the order
 * was sent, or when its connection was established if that was later. */
void PhBindings_OnAnswer(PhBindings *bindings, PhStr worker, int64_t born_ms,
                         PhTime at);
/* Newest sign of life of an incarnation, 0 for none. */
PhTime PhBindings_AliveAt(const PhBindings *bindings, PhStr worker,
                          int64_t born_ms);

/* An order to the worker, by its number, waits for a connection.  Returns
 * whether a query is to be sent: one at a time for each worker. */
bool PhBindings_Wait(PhBindings *bindings, PhStr worker, uint64_t order);
/* The query has an outcome, or was not sent. */
void PhBindings_OnQueried(PhBindings *bindings, PhStr worker);
/* Takes the order that has waited longest; 0 if there is none. */
uint64_t PhBindings_TakeWaiting(PhBindings *bindings, PhStr worker);
/* Number of orders that wait. */
unsigned PhBindings_Waiting(const PhBindings *bindings, PhStr worker);

#endif
