/* Simulation of one owner and its workers, on simulated time, in which runs
 * fail: all that some workers start, and all tasks of hopeless jobs.  Measures
 * how long sound jobs wait beside room, and what failures cost them. */
#ifndef PERIDOTHILL_TESTS_FAILURE_SIM_H
#define PERIDOTHILL_TESTS_FAILURE_SIM_H

#include <stdint.h>

enum {
    PH_FAILURE_WORKERS_MAX = 48,
    PH_FAILURE_UNTIL_MS = 60000,
};

/* The tasks of hopeless jobs. */
typedef enum PhHopelessKind {
    PH_HOPELESS_PLAIN,
    PH_HOPELESS_BACKFILL,
    PH_HOPELESS_GANG,
    PH_HOPELESS_LASTING,
} PhHopelessKind;

typedef struct PhFailureCase {
    const char *name;
    unsigned workers;
    unsigned room;           /* tasks that a worker has room for */
    unsigned max_attempts;   /* of each task */
    unsigned bad;            /* workers on which every run fails */
    int64_t bad_ms;          /* since the start */
    int64_t sound_ms;        /* they are sound again */
    unsigned hopeless;       /* jobs with one step */
    int64_t hopeless_ms;     /* the first comes */
    int64_t hopeless_gap_ms; /* between two of them, 0: all at once */
    unsigned hopeless_tasks; /* of each */
    unsigned hopeless_limit; /* of its tasks on a worker, 0: none */
    unsigned hopeless_run_ms;
    PhHopelessKind hopeless_kind;
    unsigned chains; /* jobs of successive single tasks, at the start */
    unsigned chain_run_ms;
    unsigned short_gap_ms; /* between two short jobs, 0: there are none */
    unsigned short_tasks;  /* of each */
    unsigned short_run_ms;
    unsigned random_percent; /* of all runs fail */
    unsigned report_ms;      /* ends reach the owner at multiples of this,
                                0: at once */
    int64_t takeover_ms;     /* another owner begins, 0: none */
} PhFailureCase;

typedef struct PhFailureFigures {
    int64_t longest_wait_ms; /* of a sound job of which nothing runs, beside
                                room */
    unsigned jobs;           /* sound ones that ended */
    unsigned lost;           /* of these, those that count as failed */
    unsigned failures;       /* failed runs of sound jobs */
} PhFailureFigures;

PhFailureFigures PhFailureSim_Run(const PhFailureCase *c);

#endif
