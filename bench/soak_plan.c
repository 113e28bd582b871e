#include <glib.h>

#include "peridothill/bench/soak.h"
#include "peridothill/common/random.h"

enum {
    ACTIVE_MAX = 2,
    BEGINS_IN_ROUND = 2, /* per fault, so that it may overlap with itself */
};

typedef struct PhActiveFault {
    PhFault fault;
    uint64_t pick;
    PhTime until;
} PhActiveFault;

struct PhFaultPlan {
    PhFaultPlanOptions options;
    PhRandom *random;
    PhFault *round; /* shuffled */
    size_t round_length;
    size_t next;
    PhTime next_at; /* of the next fault, or of the settled check */
    PhActiveFault active[ACTIVE_MAX];
    size_t active_count;
    uint64_t begun[PH_FAULT_COUNT];
};

static const char *const labels[] = {
#define PH_FAULT(NAME, LABEL) LABEL,
#include "peridothill/bench/soak_fault_list.h"
#undef PH_FAULT
};

const char *
PhFault_Label(PhFault fault)
{
    return labels[fault];
}

static PhTime
plan_gap(PhFaultPlan *plan)
{
    return 1 + (PhTime)PhRandom_Exponential(plan->random,
                                            (double)plan->options.gap);
}

static void
plan_start_round(PhFaultPlan *plan, PhTime now)
{
    for (size_t i = plan->round_length; i > 1; i--) {
        size_t j = PhRandom_Below(plan->random, i);
        PhFault other = plan->round[j];
        plan->round[j] = plan->round[i - 1];
        plan->round[i - 1] = other;
    }
    plan->next = 0;
    plan->next_at = now + plan_gap(plan);
}

/* The plan starts at time 0. */
PhFaultPlan *
PhFaultPlan_Create(const PhFaultPlanOptions *options)
{
    PhFaultPlan *plan = g_new0(PhFaultPlan, 1);
    plan->options = *options;
    plan->random = PhRandom_Create(options->seed);
    plan->round_length = options->fault_count * BEGINS_IN_ROUND;
    plan->round = g_new(PhFault, plan->round_length);
    for (size_t i = 0; i < plan->round_length; i++) {
        plan->round[i] = options->faults[i % options->fault_count];
    }
    plan_start_round(plan, 0);
    return plan;
}

void
PhFaultPlan_Destroy(PhFaultPlan *plan)
{
    g_free(plan->round);
    PhRandom_Destroy(plan->random);
    g_free(plan);
}

/* Returns the index of the active fault that ends first, active_count if there
 * is none. */
static size_t
plan_first_end(const PhFaultPlan *plan)
{
    size_t first = plan->active_count;
    for (size_t i = 0; i < plan->active_count; i++) {
        if (first == plan->active_count ||
            plan->active[i].until < plan->active[first].until) {
            first = i;
        }
    }
    return first;
}

PhTime
PhFaultPlan_Due(const PhFaultPlan *plan)
{
    size_t first = plan_first_end(plan);
    PhTime end =
        first < plan->active_count ? plan->active[first].until : PH_TIME_NEVER;
    bool full = plan->active_count == ACTIVE_MAX;
    bool settling = plan->next == plan->round_length && plan->active_count > 0;
    return full || settling ? end : MIN(end, plan->next_at);
}

static void
plan_end(PhFaultPlan *plan, size_t index, PhTime now, PhFaultChange *change)
{
    change->kind = PH_FAULT_END;
    change->fault = plan->active[index].fault;
    change->pick = plan->active[index].pick;
    plan->active[index] = plan->active[--plan->active_count];
    if (plan->next == plan->round_length && plan->active_count == 0) {
        plan->next_at = now + plan->options.settle;
    }
}

static void
plan_begin(PhFaultPlan *plan, PhTime now, PhFaultChange *change)
{
    double length =
        PhRandom_Exponential(plan->random, (double)plan->options.length);
    PhActiveFault *active = &plan->active[plan->active_count++];
    active->fault = plan->round[plan->next++];
    active->pick = PhRandom_U64(plan->random);
    active->until = now + 1 + (PhTime)length;
    plan->begun[active->fault]++;
    plan->next_at = now + plan_gap(plan);
    change->kind = PH_FAULT_BEGIN;
    change->fault = active->fault;
    change->pick = active->pick;
}

bool
PhFaultPlan_Next(PhFaultPlan *plan, PhTime now, PhFaultChange *change)
{
    if (PhFaultPlan_Due(plan) > now) {
        return false;
    }
    size_t first = plan_first_end(plan);
    *change = (PhFaultChange){0};
    if (first < plan->active_count && plan->active[first].until <= now) {
        plan_end(plan, first, now, change);
    }
    else if (plan->next < plan->round_length) {
        plan_begin(plan, now, change);
    }
    else {
        change->kind = PH_FAULT_SETTLED;
        plan_start_round(plan, now);
    }
    return true;
}

size_t
PhFaultPlan_CountActive(const PhFaultPlan *plan)
{
    return plan->active_count;
}

void
PhSoakRun_AddPlan(PhSoakRun *run, const PhFaultPlan *plan)
{
    for (int i = 0; i < PH_FAULT_COUNT; i++) {
        run->begun[i] += plan->begun[i];
    }
}

void
PhSoakRun_Drive(PhSoakRun *run, PhFakeNet *net, const PhFaultPlan *plan,
                void (*handle_event)(void *context, const PhFakeEvent *event),
                void *context)
{
    PhFakeEvent event;
    for (uint64_t i = 0; i < run->steps; i++) {
        if (!PhFakeNet_Next(net, PH_TIME_NEVER, &event)) {
            break;
        }
        handle_event(context, &event);
    }
    run->simulated = PhFakeNet_Now(net);
    PhSoakRun_AddPlan(run, plan);
}
