/* What was seen of jobs and runs in a soak, from its notes. */
#ifndef PERIDOTHILL_TESTS_SOAK_SEEN_H
#define PERIDOTHILL_TESTS_SOAK_SEEN_H

#include "soak.h"

/* A run; `end` is PH_TIME_NEVER while it goes on. */
typedef struct PhSeenRun {
    uint32_t worker;
    uint32_t job;
    uint32_t task;
    uint32_t run;
    PhTime start;
    PhTime end;
    PhTime noted; /* 0: never */
    bool done;
} PhSeenRun;

typedef struct PhSeenJob {
    PhTime submitted;
    PhTime accepted;  /* 0: not */
    PhTime cancel;    /* first send, 0: not */
    PhTime cancelled; /* 0: not */
    PhTime begun;     /* first start, PH_TIME_NEVER: none */
    PhTime completed; /* all tasks done, PH_TIME_NEVER: not */
    uint32_t tasks;
    bool lasting;
    bool asked;
    PhSoakState final;
} PhSeenJob;

typedef struct PhSeen {
    const PhSoakPlan *plan;
    const GArray *notes;
    GArray *runs; /* PhSeenRun, by job, task and start */
    GArray *jobs; /* PhSeenJob */
    PhTime finish;
} PhSeen;

/* Reads the notes, which are borrowed. */
void PhSeen_Read(PhSeen *seen, const PhSoakPlan *plan, const GArray *notes);
void PhSeen_Clear(PhSeen *seen);
const PhSoakNote *PhSeen_Note(const PhSeen *seen, guint i);
PhSeenJob *PhSeen_Job(const PhSeen *seen, uint32_t i);
PhSeenRun *PhSeen_Run(const PhSeen *seen, guint i);
/* Reports whether a run is the first of its task in the list. */
bool PhSeen_IsFirstRun(const PhSeen *seen, guint i);

#endif
