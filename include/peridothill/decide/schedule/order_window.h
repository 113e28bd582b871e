/* Adaptive concurrency limit of an owner's start orders, after the delay-based
 * congestion control of TCP Vegas and LEDBAT: the limit grows while answers
 * come quickly, and shrinks once the delay from order to answer shows that
 * orders queue, in this process or on its link.  Renewals of leases share that
 * queue, so its length bounds how late they are.
 *
 * The rate at which answers come while the limit binds is the order capacity;
 * submissions that would have to wait too long for it are refused. */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_ORDER_WINDOW_H
#define PERIDOTHILL_DECIDE_SCHEDULE_ORDER_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

#include "peridothill/common/time.h"

typedef struct PhOrderWindow {
    double limit;         /* starts that may be outstanding */
    uint32_t outstanding; /* starts without an outcome */
    bool relayed;         /* starts go through dispatchers */
    bool probing;         /* the limit has never been too high */
    PhTime delay;         /* smoothed, from order to answer */
    PhTime congested_at;  /* last time that it was too long, 0: never */
    PhTime pressed_delay;
    PhTime pressed_at; /* last time that it was longer than that, 0: never */
    PhTime shrunk_at;
    PhTime limited_at; /* last time that a task had to wait, 0: never */
    double rate;       /* answers a second, smoothed */
    PhTime rated_at;   /* time of the newest answer */
} PhOrderWindow;

/* Answers that take longer than `pressed_delay` on average show that other
 * instances should send the starts; 0: they always should. */
void PhOrderWindow_Init(PhOrderWindow *window, PhTime pressed_delay);
/* Starts go through dispatchers from now on, or not.  A limit that dispatchers
 * allow is far too high for this instance alone. */
void PhOrderWindow_SetRelayed(PhOrderWindow *window, bool relayed);
/* Reports whether another start may be sent. */
bool PhOrderWindow_MaySend(const PhOrderWindow *window);
/* Number of further tasks that may be placed, given how many starts are queued
 * until their records are durable or they may be sent. */
uint32_t PhOrderWindow_Room(const PhOrderWindow *window, uint32_t queued);
/* The same for tasks that are to last: they are few, and down while they wait.
 */
uint32_t PhOrderWindow_LastingRoom(const PhOrderWindow *window,
                                   uint32_t queued);
/* A task has to wait for room. */
void PhOrderWindow_OnLimited(PhOrderWindow *window, PhTime now);
void PhOrderWindow_OnSent(PhOrderWindow *window);
/* A start has an outcome, or none in time unless `answered`.  `delay` is the
 * time since it was sent, -1 if that is not known.  A start without an answer
 * says nothing of the queue: the worker may have gone, and of starts that
 * queue the first ones are answered, late. */
void PhOrderWindow_OnAnswer(PhOrderWindow *window, PhTime delay, bool answered,
                            PhTime now);
/* The answer to a start whose outcome was given as unknown.  Without it, an
 * owner would take its own queue for the silence of workers. */
void PhOrderWindow_OnLateAnswer(PhOrderWindow *window, PhTime delay,
                                PhTime now);
/* Time after which an order without an answer is repeated: a few times what
 * answers take at present, as TCP sets its retransmission timer. */
PhTime PhOrderWindow_Timeout(const PhOrderWindow *window);
/* The delay of a start that a dispatcher sent, given how long that took of it:
 * starts that queue there delay no renewal of the owner, unless they do so for
 * long. */
PhTime PhOrderWindow_RelayedDelay(PhTime delay, PhTime at_dispatcher);
/* Reports whether other instances should send the starts: their delay was too
 * long in the last minute. */
bool PhOrderWindow_IsPressed(const PhOrderWindow *window, PhTime now);
/* Reports whether tasks wait for order capacity. */
bool PhOrderWindow_IsOverloaded(const PhOrderWindow *window, PhTime now);
/* Expected time until so many waiting tasks have started; 0 unless overloaded.
 */
PhTime PhOrderWindow_WaitFor(const PhOrderWindow *window, uint32_t tasks,
                             PhTime now);

#endif
