/* The rule on tasks that are to last: without a run for 6 s, and for 3 s more
 * there is room for it twice over.  Judged by what the workers run, whatever
 * the owners know of it. */
#ifndef PERIDOTHILL_TESTS_ROOM_WATCH_H
#define PERIDOTHILL_TESTS_ROOM_WATCH_H

#include "peridothill/common/time.h"

#include <glib.h>

struct PhOwnersSim;

/* Numbers of times that a task stayed without a run, by where the room was. */
typedef struct PhRoomFigures {
    unsigned gaps;        /* tasks that were without a run at all */
    unsigned lasting;     /* on one worker all the time */
    unsigned each_moment; /* on one worker at each moment */
    unsigned spread;      /* at each moment, on two workers together */
    unsigned sampled;     /* the same, if looked at every half second only */
    PhTime longest_gap;
    PhTime longest_vacancy; /* longest time without an owner */
    GString *timeline;      /* of the tasks counted in `lasting` */
} PhRoomFigures;

typedef struct PhRoomWatch PhRoomWatch;

PhRoomWatch *PhRoomWatch_Create(void);
void PhRoomWatch_Destroy(PhRoomWatch *watch);
/* Looks at all tasks.  The bit mask is of workers that drain. */
void PhRoomWatch_Tick(PhRoomWatch *watch, const struct PhOwnersSim *sim,
                      unsigned draining);
const PhRoomFigures *PhRoomWatch_Figures(const PhRoomWatch *watch);

#endif
