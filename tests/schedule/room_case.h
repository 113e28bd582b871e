/* Runs simulations with rooms for a range of seeds. */
#ifndef PERIDOTHILL_TESTS_ROOM_CASE_H
#define PERIDOTHILL_TESTS_ROOM_CASE_H

#include "owners_rooms.h"

typedef struct PhRoomCase {
    const char *name;
    uint64_t first; /* seeds */
    uint64_t last;
    PhRoomsTerms terms;
} PhRoomCase;

/* Returns whether no lasting task stays without a run while one worker has
 * room for it all the time, and no task runs twice.  Prints what it finds. */
bool PhRoomCase_Holds(const PhRoomCase *c);

#endif
