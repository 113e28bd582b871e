/* One budget of bytes for all requests that a process is receiving or has not
 * finished answering, and the decision whose connection is closed when it is
 * reached. */
#ifndef PERIDOTHILL_DECIDE_REQUESTS_RECEIVE_BUDGET_H
#define PERIDOTHILL_DECIDE_REQUESTS_RECEIVE_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "peridothill/common/time.h"

typedef struct PhReceiveBudget PhReceiveBudget;

typedef enum PhReceiverStage {
    PH_RECEIVER_RECEIVING, /* its request is not complete, or it has none */
    PH_RECEIVER_WAITING,   /* its request was delivered: closing it would
                              release nothing, and may hide that it ran */
    PH_RECEIVER_ANSWERING, /* its answer is being sent */
} PhReceiverStage;

/* A connection, as far as the budget is concerned.  Owned by its listener,
 * which only reads the members. */
typedef struct PhReceiver {
    PhReceiverStage stage;
    size_t bytes;       /* held by the listener for its request or answer */
    PhTime progress_at; /* last bytes that arrived, or begin of the stage */
    bool closing;       /* was chosen; it counts no more */
    unsigned place;     /* in the budget's list */
} PhReceiver;

typedef enum PhReceiveTag {
    PH_RECEIVE_STORE,        /* the bytes fit */
    PH_RECEIVE_CLOSE_OTHER,  /* close `other`, then decide again */
    PH_RECEIVE_CLOSE_SENDER, /* the sender itself is closed */
} PhReceiveTag;

typedef struct PhReceiveDecision {
    PhReceiveTag tag;
    union {
        PhReceiver *other;
    } as;
} PhReceiveDecision;

/* The budget in bytes from the settings; 0 stands for "not set" in both, and
 * for no budget. */
uint64_t PhReceiveBudget_Derive(uint64_t receive_budget, uint64_t memory);

PhReceiveBudget *PhReceiveBudget_Create(uint64_t limit);
/* NULL is allowed. */
void PhReceiveBudget_Destroy(PhReceiveBudget *budget);
uint64_t PhReceiveBudget_Limit(const PhReceiveBudget *budget);
/* Bytes of all receivers that are not closing. */
uint64_t PhReceiveBudget_Used(const PhReceiveBudget *budget);

/* In the functions below, NULL stands for a budget without a limit, which
 * counts nothing. */

/* Adds an initialised receiver, which is borrowed until it is removed. */
void PhReceiveBudget_Add(PhReceiveBudget *budget, PhReceiver *receiver);
void PhReceiveBudget_Remove(PhReceiveBudget *budget, PhReceiver *receiver);
/* The receiver now holds `bytes` in `stage`; this is progress. */
void PhReceiveBudget_Set(PhReceiveBudget *budget, PhReceiver *receiver,
                         PhReceiverStage stage, size_t bytes, PhTime now);

/* Decides what happens before `sender` holds `extra` bytes more, which is
 * progress.  The
 * connection with the largest product of bytes and time since its last
 * progress is closed first; on a tie, the one with more bytes.  A receiver
 * that is chosen is marked as closing. */
PhReceiveDecision PhReceiveBudget_Decide(PhReceiveBudget *budget,
                                         PhReceiver *sender, size_t extra,
                                         PhTime now);

/* Reports whether memory that was held is to be returned to the system now:
 * once after a time in which much of the budget was held. */
bool PhReceiveBudget_ReturnsMemory(PhReceiveBudget *budget, PhTime now);
/* Reports whether that is still to come. */
bool PhReceiveBudget_HasReleased(const PhReceiveBudget *budget);

#endif
