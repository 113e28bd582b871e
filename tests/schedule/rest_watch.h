/* The rule at the end of a day, once faults and submissions are over: no job
 * has, for 3 s, a task whose turn has come, room for it twice over, and
 * nothing that runs, with under half of the capacity in use.  The same holds
 * for each task that is to last, from 6 s after its last run.  A task of a
 * cancelled job is gone.  Judged by what the workers run, whatever the owners
 * know of it.
 *
 * The users ask 14 s after the end of the traffic, so that a wait counts if
 * its 3 s lie after that. */
#ifndef PERIDOTHILL_TESTS_REST_WATCH_H
#define PERIDOTHILL_TESTS_REST_WATCH_H

#include "peridothill/common/time.h"

#include <glib.h>

struct PhOwnersSim;

enum {
    PH_REST_ASKED_MS = 14000, /* from the end of faults and submissions */
    PH_REST_WAIT_MS = 3000,
};

typedef struct PhRestFigures {
    unsigned idle_jobs;     /* nothing of them runs */
    unsigned lasting_tasks; /* that are to last, and do not run */
    unsigned kept_tasks;    /* of cancelled jobs, which run on */
    unsigned false_ends;    /* jobs that count as failed or completed, and are
                               not */
    PhTime rest_from; /* first moment of rest, since the end of the faults */
    GString *timeline;
} PhRestFigures;

typedef struct PhRestWatch PhRestWatch;

/* Checks the rule for the rest of the simulation. */
void PhOwnersSim_WatchRest(struct PhOwnersSim *sim);
/* Checks it from a time on, whatever goes on then. */
void PhOwnersSim_WatchWaits(struct PhOwnersSim *sim, int64_t from_ms);
/* Adds the timelines of the waits that are not over. */
void PhOwnersSim_EndWatch(struct PhOwnersSim *sim);
/* Borrowed from the simulation. */
const PhRestFigures *PhOwnersSim_RestFigures(const struct PhOwnersSim *sim);
unsigned PhRestFigures_Found(const PhRestFigures *figures);

void PhRestWatch_Destroy(PhRestWatch *watch);
void PhRestWatch_Tick(PhRestWatch *watch, const struct PhOwnersSim *sim);

#endif
