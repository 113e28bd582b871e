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
    bool probing;         /* the limit has never been too high */
    PhTime delay;         /* smoothed, from order to answer */
    PhTime shrunk_at;
    PhTime limited_at; /* last time that a task had to wait, 0: never */
    double rate;       /* answers a second, smoothed */
    PhTime rated_at;   /* time of the newest answer */
} PhOrderWindow;

void PhOrderWindow_Init(PhOrderWindow *window);
/* Number of further starts that may be queued, given how many are queued
 * already. */
uint32_t PhOrderWindow_Room(const PhOrderWindow *window, uint32_t queued);
/* The same for tasks that are to last: they are few, and down while they wait.
 */
uint32_t PhOrderWindow_LastingRoom(const PhOrderWindow *window,
                                   uint32_t queued);
/* A task has to wait for room. */
void PhOrderWindow_OnLimited(PhOrderWindow *window, PhTime now);
void PhOrderWindow_OnSent(PhOrderWindow *window);
/* A start has an outcome.  `delay` is the time since it was sent, -1 if that
 * is not known. */
void PhOrderWindow_OnAnswer(PhOrderWindow *window, PhTime delay, PhTime now);
/* Reports whether tasks wait for order capacity. */
bool PhOrderWindow_IsOverloaded(const PhOrderWindow *window, PhTime now);
/* Expected time until so many waiting tasks have started; 0 unless overloaded.
 */
PhTime PhOrderWindow_WaitFor(const PhOrderWindow *window, uint32_t tasks,
                             PhTime now);

#endif
