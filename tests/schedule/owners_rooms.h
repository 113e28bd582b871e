/* Workers of the owners simulation whose capacity binds, that leave one after
 * the other while others start, and instances that are stopped in rolling
 * restarts.  Everything is drawn from a seed. */
#ifndef PERIDOTHILL_TESTS_OWNERS_ROOMS_H
#define PERIDOTHILL_TESTS_OWNERS_ROOMS_H

#include "owners_sim.h"
#include "room_watch.h"

/* What is drawn; counts are upper limits. */
typedef struct PhRoomsTerms {
    unsigned workers;         /* at the start */
    unsigned lasting_percent; /* of the CPU, taken by tasks that are to last */
    unsigned load_percent;    /* of the rest, offered by tasks with an end */
    unsigned fill_percent; /* of the rest of the memory, by backfill tasks */
    unsigned leaves;       /* workers that announce that they leave */
    bool replaced;         /* another one starts before each announcement */
    unsigned restarts;     /* rolling restarts, which may overlap */
    unsigned away;         /* instances that are stopped at a time */
    double failure_share;  /* of the runs that are to last */
    bool relays;           /* dispatchers send one start in two */
    unsigned starts_per_s; /* that a link carries; 0: any number */
} PhRoomsTerms;

/* For simulations without tasks, delays and faults. */
void PhOwnersSim_DrawRooms(PhOwnersSim *sim, uint64_t seed,
                           const PhRoomsTerms *terms);
/* Borrowed from the simulation. */
const PhRoomFigures *PhOwnersSim_RoomFigures(const PhOwnersSim *sim);

#endif
