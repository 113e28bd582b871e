/* Randomised runs: the decisions of each area over the shared fakes, with
 * faults at any moment, one or two at once, and the invariants asserted. */
#ifndef PERIDOTHILL_BENCH_SOAK_H
#define PERIDOTHILL_BENCH_SOAK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "peridothill/common/time.h"
#include "peridothill/fakes/fake_net.h"

typedef enum PhFault {
#define PH_FAULT(NAME, LABEL) PH_FAULT_##NAME,
#include "peridothill/bench/soak_fault_list.h"
#undef PH_FAULT
    PH_FAULT_COUNT,
} PhFault;

const char *PhFault_Label(PhFault fault);

/* How faults follow each other. */
typedef struct PhFaultPlanOptions {
    uint64_t seed;
    const PhFault *faults;
    size_t fault_count;
    PhTime gap;    /* mean time between two starts */
    PhTime length; /* mean length of a fault */
    PhTime settle; /* time without faults after each round */
} PhFaultPlanOptions;

/* What the driver of a run has to do.  In a round each fault begins twice;
 * after the round comes a time without faults, and then SETTLED. */
typedef struct PhFaultChange {
    enum {
        PH_FAULT_BEGIN,
        PH_FAULT_END,
        PH_FAULT_SETTLED,
    } kind;
    PhFault fault;
    uint64_t pick; /* random; the same at the end of a fault */
} PhFaultChange;

typedef struct PhFaultPlan PhFaultPlan;

PhFaultPlan *PhFaultPlan_Create(const PhFaultPlanOptions *options);
void PhFaultPlan_Destroy(PhFaultPlan *plan);
/* When the next change is due. */
PhTime PhFaultPlan_Due(const PhFaultPlan *plan);
/* Gives one change that is due; false when none is left. */
bool PhFaultPlan_Next(PhFaultPlan *plan, PhTime now, PhFaultChange *change);
/* Faults that are on. */
size_t PhFaultPlan_Active(const PhFaultPlan *plan);

/* One run of one area: `steps` events from `seed`. */
typedef struct PhSoakRun {
    uint64_t seed;
    uint64_t steps;
    uint64_t begun[PH_FAULT_COUNT]; /* set by the run */
    uint64_t settled;               /* times the run was checked at rest */
    PhTime simulated;
} PhSoakRun;

/* Gives the events of a network to `take` for the steps of the run, then adds
 * the figures of its plan. */
void PhSoakRun_Drive(PhSoakRun *run, PhFakeNet *net, const PhFaultPlan *plan,
                     void (*take)(void *context, const PhFakeEvent *event),
                     void *context);
/* Adds the figures of a plan to those of the run. */
void PhSoakRun_Add(PhSoakRun *run, const PhFaultPlan *plan);

/* Sets the links between data centres: within one 0.25 ms one way, between two
 * of them `far`, and an exponential of mean `extra` on top. */
void PhSoakLinks_Set(PhFakeNet *net, uint32_t centres, PhTime far,
                     PhTime extra, double loss);
/* Cuts a data centre off from the others, or mends the links. */
void PhSoakLinks_Cut(PhFakeNet *net, uint32_t centres, uint32_t centre,
                     bool cut);

/* An area with the faults that its run brings about. */
typedef struct PhSoakArea {
    const char *name;
    void (*run)(PhSoakRun *run);
    const PhFault *faults;
    size_t fault_count;
} PhSoakArea;

const PhSoakArea *const *PhSoakArea_List(size_t *count);

extern const PhSoakArea PhSoak_Config;
extern const PhSoakArea PhSoak_Members;
extern const PhSoakArea PhSoak_Requests;
extern const PhSoakArea PhSoak_Tasks;

#endif
