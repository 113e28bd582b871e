#include "rest_case.h"

#include "owners_sim.h"
#include "rest_watch.h"
#include "tests/table.h"
#include "timeline.h"

enum {
    LONG_TASKS = 4,
    ENDING_UNTIL_MS = 25000, /* submissions of jobs with an end */
    CLOSING_MS = 3000,
    WATCHED_MS = 18000,  /* after faults and submissions */
    FOLLOWED_MS = 60000, /* the same, once something was found */
    ALL_INSTANCES = (1 << PH_OWNERS_INSTANCES) - 1,
};

/* All instances end at once, at the end of the other faults. */
static void
closing_add(PhOwnersSim *sim, unsigned kinds)
{
    PhOwnersFault f = {.at_ms = PhOwnersSim_CalmFrom(sim),
                       .duration_ms = CLOSING_MS,
                       .instances = ALL_INSTANCES};
    for (unsigned i = 0; i < PH_OWNERS_FAULT_KINDS; i++) {
        if ((kinds >> i & 1U) != 0) {
            f.kind = (PhOwnersFaultKind)i;
            PhOwnersSim_AddFault(sim, &f);
        }
    }
}

static PhOwnersSim *
sim_create(const PhRestCase *c, uint64_t seed)
{
    PhOwnersSim *sim =
        PhOwnersSim_Create(LONG_TASKS, c->traits == 0 ? ENDING_UNTIL_MS : 0);
    PhOwnersSim_SetDelays(sim, seed);
    if (c->moves) {
        PhOwnersSim_AnnounceDrains(sim);
    }
    if (c->relays) {
        PhOwnersSim_RelayStarts(sim);
    }
    if (c->starts_per_s > 0) {
        PhOwnersSim_LimitLinks(sim, c->starts_per_s);
    }
    if (c->kinds != 0) {
        PhOwnersSim_DrawFaults(sim, seed, c->faults, c->kinds);
    }
    if (c->traits != 0) {
        PhOwnersSim_DrawJobs(sim, seed, c->traits,
                             MAX(ENDING_UNTIL_MS, PhOwnersSim_CalmFrom(sim)));
    }
    closing_add(sim, c->closing);
    PhOwnersSim_WatchRest(sim);
    return sim;
}

/* Returns the number of violations with one seed. */
static unsigned
seed_run(const PhRestCase *c, uint64_t seed, PhTime *longest)
{
    PhOwnersSim *sim = sim_create(c, seed);
    const PhRestFigures *f = PhOwnersSim_RestFigures(sim);
    PhOwnersSim_Run(sim, PhOwnersSim_CalmFrom(sim) + WATCHED_MS);
    if (PhRestFigures_Found(f) > 0) {
        PhOwnersSim_Run(sim, PhOwnersSim_CalmFrom(sim) + FOLLOWED_MS);
        PhOwnersSim_EndWatch(sim);
    }
    unsigned duplicates = PhOwnersSim_DuplicateStarts(sim);
    unsigned found = PhRestFigures_Found(f) + duplicates;
    if (found > 0) {
        print_message("#   seed %u: %u jobs and %u lasting tasks wait beside "
                      "room, %u tasks of cancelled jobs run, %u false ends, "
                      "%u duplicate starts; at rest from %d ms\n",
                      (unsigned)seed, f->idle_jobs, f->lasting_tasks,
                      f->kept_tasks, f->false_ends, duplicates,
                      (int)(f->rest_from / PH_NS_PER_MS));
        PhTimeline_Print(f->timeline->str);
    }
    *longest = MAX(*longest, f->rest_from);
    PhOwnersSim_Destroy(sim);
    return found;
}

bool
PhRestCase_Holds(const PhRestCase *c)
{
    unsigned failed = 0;
    PhTime longest = 0;
    for (uint64_t seed = c->first; seed <= c->last; seed++) {
        failed += seed_run(c, seed, &longest) > 0;
    }
    print_message("#   %u seeds failed; at rest from %d ms at the latest\n",
                  failed, (int)(longest / PH_NS_PER_MS));
    return failed == 0;
}
