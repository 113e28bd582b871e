/* Randomised soak runs: the decision code of each area on the fakes, with up
 * to two faults at a time and the invariants asserted. */
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

/* Timing of the injected faults. */
typedef struct PhFaultPlanOptions {
    uint64_t seed;
    const PhFault *faults;
    size_t fault_count;
    PhTime gap;    /* mean time between fault starts */
    PhTime length; /* mean duration of a fault */
    PhTime settle; /* time without faults after each round */
} PhFaultPlanOptions;

/* A change that the run has to apply.  In a round each fault begins twice;
 * then follow a time without faults and PH_FAULT_SETTLED. */
typedef struct PhFaultChange {
    enum {
        PH_FAULT_BEGIN,
        PH_FAULT_END,
        PH_FAULT_SETTLED,
    } kind;
    PhFault fault;
    uint64_t pick; /* random number that selects the target; same at the end */
} PhFaultChange;

typedef struct PhFaultPlan PhFaultPlan;

PhFaultPlan *PhFaultPlan_Create(const PhFaultPlanOptions *options);
void PhFaultPlan_Destroy(PhFaultPlan *plan);
/* Returns when the next change is due. */
PhTime PhFaultPlan_Due(const PhFaultPlan *plan);
/* Returns one change that is due; false when none is left. */
bool PhFaultPlan_Next(PhFaultPlan *plan, PhTime now, PhFaultChange *change);
/* Returns the number of active faults. */
size_t PhFaultPlan_CountActive(const PhFaultPlan *plan);

/* One run of one area: `steps` events from `seed`. */
typedef struct PhSoakRun {
    uint64_t seed;
    uint64_t steps;
    uint64_t begun[PH_FAULT_COUNT]; /* set by the run */
    uint64_t settled;               /* checks made after faults had settled */
    PhTime simulated;
} PhSoakRun;

/* Passes events of the network to `handle_event` until the steps are used up,
 * then adds the fault counts of the plan to the run. */
void PhSoakRun_Drive(PhSoakRun *run, PhFakeNet *net, const PhFaultPlan *plan,
                     void (*handle_event)(void *context,
                                          const PhFakeEvent *event),
                     void *context);
/* Adds the fault counts of a plan to the run. */
void PhSoakRun_AddPlan(PhSoakRun *run, const PhFaultPlan *plan);

/* Sets the one-way delays between data centres: 0.25 ms within one, `far`
 * between two, plus an exponential delay of mean `extra`. */
void PhSoakLinks_Set(PhFakeNet *net, uint32_t centres, PhTime far,
                     PhTime extra, double loss);
/* Partitions a data centre from the others, or heals the partition. */
void PhSoakLinks_Cut(PhFakeNet *net, uint32_t centres, uint32_t centre,
                     bool cut);

/* An area and the faults that its run injects. */
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
