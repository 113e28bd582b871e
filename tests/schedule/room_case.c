#include "room_case.h"

#include "tests/table.h"
#include "timeline.h"

enum {
    UNTIL_MS = 70000,
};

/* Adds what was found with one seed.  Returns the number of violations. */
static unsigned
seed_run(const PhRoomCase *c, uint64_t seed, PhRoomFigures *sum)
{
    PhOwnersSim *sim = PhOwnersSim_Create(0, 0);
    PhOwnersSim_DrawRooms(sim, seed, &c->terms);
    PhOwnersSim_Run(sim, UNTIL_MS);
    const PhRoomFigures *f = PhOwnersSim_RoomFigures(sim);
    unsigned duplicates = PhOwnersSim_DuplicateStarts(sim);
    unsigned found = f->lasting + duplicates;
    if (found > 0) {
        print_message("#   seed %u: %u tasks down beside room for them, %u "
                      "duplicate starts\n",
                      (unsigned)seed, f->lasting, duplicates);
        PhTimeline_Print(f->timeline->str);
    }
    sum->gaps += f->gaps;
    sum->lasting += f->lasting;
    sum->each_moment += f->each_moment;
    sum->spread += f->spread;
    sum->sampled += f->sampled;
    sum->longest_gap = MAX(sum->longest_gap, f->longest_gap);
    sum->longest_vacancy = MAX(sum->longest_vacancy, f->longest_vacancy);
    PhOwnersSim_Destroy(sim);
    return found;
}

bool
PhRoomCase_Holds(const PhRoomCase *c)
{
    PhRoomFigures sum = {0};
    unsigned found = 0;
    for (uint64_t seed = c->first; seed <= c->last; seed++) {
        found += seed_run(c, seed, &sum);
    }
    print_message("#   %u gaps, longest %d ms; %d ms without an owner; down "
                  "beside room: %u lasting on one worker, %u at each moment, "
                  "%u on two workers together, %u of these at half seconds\n",
                  sum.gaps, (int)(sum.longest_gap / PH_NS_PER_MS),
                  (int)(sum.longest_vacancy / PH_NS_PER_MS), sum.lasting,
                  sum.each_moment, sum.spread, sum.sampled);
    return found == 0;
}
