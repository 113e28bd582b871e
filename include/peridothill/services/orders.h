/* Orders to workers: messages of the task "orders". */
#ifndef PERIDOTHILL_SERVICES_ORDERS_H
#define PERIDOTHILL_SERVICES_ORDERS_H

#include "peridothill/decide/schedule/scheduler.h"
#include "peridothill/kernel/kernel.h"

/* Owns the strings of its action. */
typedef struct PhOrder {
    uint64_t fence;
    uint64_t relay; /* number of a start that another instance has this one
                       send, 0 for an own order */
    PhTime silence; /* as in PhSchedRunReply, at a dispatcher */
    PhSchedAction action;
} PhOrder;

/* The outcome of an order.  `hold` is set for a hold order only; its rows own
 * their strings. */
typedef struct PhOrderReply {
    uint64_t fence; /* of the order */
    uint64_t relay; /* of the order */
    PhSchedActionTag tag;
    PhStr worker;
    int64_t born_ms;
    PhStr job; /* owned; `task.job` borrows it */
    PhSchedTaskName task;
    uint32_t run;
    int percent;
    bool late;  /* the outcome was reported as unknown before */
    bool query; /* a hold that nobody has asked for, sent to find a connection
                   for a bound order */
    PhSchedOutcome outcome;
    int64_t clock_ms;
    PhTime connected_at; /* as in PhSchedRunReply */
    bool relayed;        /* the same */
    PhTime at_dispatcher;
    PhTime silence; /* the same */
    PhSchedHoldReply hold;
} PhOrderReply;

typedef enum PhOrderTag {
    PH_ORDER_SEND,  /* to "orders" */
    PH_ORDER_REPLY, /* from "orders": one per PH_ORDER_SEND, a second one that
                       is `late`, and those to queries */
} PhOrderTag;

typedef struct PhOrderMessage {
    PhOrderTag tag;
    union {
        PhOrder send;
        PhOrderReply reply;
    } as;
} PhOrderMessage;

/* Wraps a message for the kernel and takes ownership of what it owns. */
PhMessage PhOrderMessage_Wrap(const PhOrderMessage *body);
/* Returns an action that owns copies of its strings. */
PhSchedAction PhOrder_CopyAction(const PhSchedAction *action);
/* Releases the strings of an order. */
void PhOrder_Clear(PhOrder *order);

#endif
