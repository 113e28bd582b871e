/* Orders to workers: the interface of the task "orders". */
#ifndef PERIDOTHILL_SERVICES_ORDERS_H
#define PERIDOTHILL_SERVICES_ORDERS_H

#include "peridothill/decide/schedule/scheduler.h"
#include "peridothill/kernel/kernel.h"

/* An order with copies of its strings. */
typedef struct PhOrder {
    uint64_t fence;
    PhSchedAction action;
} PhOrder;

/* The outcome of an order; `hold` only of a hold, whose rows own their
 * strings. */
typedef struct PhOrderReply {
    uint64_t fence; /* of the order */
    PhSchedActionTag tag;
    PhStr worker;
    int64_t born_ms;
    PhStr job; /* and the rest of the task's name */
    PhSchedTaskName task;
    uint32_t run;
    int percent;
    PhSchedOutcome outcome;
    int64_t clock_ms;
    PhSchedHoldReply hold;
} PhOrderReply;

typedef enum PhOrderTag {
    PH_ORDER_SEND,  /* to "orders" */
    PH_ORDER_REPLY, /* from "orders", one for each PH_ORDER_SEND */
} PhOrderTag;

typedef struct PhOrderMessage {
    PhOrderTag tag;
    union {
        PhOrder send;
        PhOrderReply reply;
    } as;
} PhOrderMessage;

/* Wraps a message body for the kernel; takes over what it owns. */
PhMessage PhOrderMessage_Wrap(const PhOrderMessage *body);
/* Copies the strings that an action borrows. */
PhSchedAction PhOrder_CopyAction(const PhSchedAction *action);

#endif
