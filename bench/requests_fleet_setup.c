#include "requests_fleet_internal.h"

#include <stdio.h>

enum {
    WITHIN_DATA_CENTRE_US = 100,
    ID_BYTES = 16,
};

static const char *const service_names[PH_FLEET_SERVICES] = {"quote", "plan",
                                                             "log"};
static const char *const data_centres[PH_FLEET_DATA_CENTRES] = {"a", "b", "c"};

static const char *const service_paths[PH_FLEET_SERVICES] = {"/quote", "/plan",
                                                             "/log"};

static void
workers_publish(PhFleet *f)
{
    PhWorkerRow *rows = g_new0(PhWorkerRow, f->options.workers);
    char(*ids)[ID_BYTES] = g_malloc0_n(f->options.workers, ID_BYTES);
    for (uint32_t i = 0; i < f->options.workers; i++) {
        snprintf(ids[i], ID_BYTES, "w%04u", i);
        rows[i] = (PhWorkerRow){.id = PhStr_FromC(ids[i]),
                                .data_centre = PhStr_FromC(
                                    data_centres[i % PH_FLEET_DATA_CENTRES]),
                                .services = PhStr_LITERAL("quote plan log"),
                                .slots = f->options.slots,
                                .connections = f->options.connections,
                                .leaving = f->leaving[i]};
    }
    PhRequestsEvent event = {.tag = PH_REQUESTS_WORKERS,
                             .as.workers = {rows, f->options.workers}};
    for (uint32_t i = 0; i < f->options.instances; i++) {
        PhFleet_HandleEvent(f, i, &event);
    }
    g_free(rows);
    g_free(ids);
}

static void
fleet_configure(PhFleet *f)
{
    PhServicePolicy rows[PH_FLEET_SERVICES];
    PhKeyMember *members = g_new0(PhKeyMember, f->options.instances);
    char(*ids)[ID_BYTES] = g_malloc0_n(f->options.instances, ID_BYTES);
    for (uint32_t i = 0; i < PH_FLEET_SERVICES; i++) {
        const PhFleetService *s = &f->options.services[i];
        rows[i] = PhServicePolicy_Default(PhStr_FromC(service_names[i]));
        rows[i].prefix = PhStr_FromC(service_paths[i]);
        rows[i].team = PhStr_FromC(service_names[i]);
        rows[i].service_class = s->service_class;
        rows[i].deadline = s->deadline;
        rows[i].team_share = s->share;
        rows[i].hedge_after = s->hedge_after;
    }
    for (uint32_t i = 0; i < f->options.instances; i++) {
        snprintf(ids[i], ID_BYTES, "i%u", i);
        members[i] =
            (PhKeyMember){.id = PhStr_FromC(ids[i]), .reachable = true};
    }
    PhRequestsEvent policies = {.tag = PH_REQUESTS_POLICIES,
                                .as.policies = {1, rows, PH_FLEET_SERVICES}};
    PhRequestsEvent view = {.tag = PH_REQUESTS_MEMBERS,
                            .as.members = {members, f->options.instances}};
    for (uint32_t i = 0; i < f->options.instances; i++) {
        PhFleet_HandleEvent(f, i, &policies);
        PhFleet_HandleEvent(f, i, &view);
    }
    g_free(members);
    g_free(ids);
}

static void
instance_create(PhFleet *f, uint32_t number)
{
    PhEntryInstance *n = &f->instances[number];
    char id[ID_BYTES];
    uint32_t centre = number % PH_FLEET_DATA_CENTRES;
    snprintf(id, sizeof(id), "i%u", number);
    n->requests = PhRequests_Create(
        &(PhRequestsOptions){.instance = PhStr_FromC(id),
                             .data_centre = PhStr_FromC(data_centres[centre]),
                             .seed = f->options.seed + number,
                             .tuning = f->options.tuning});
    n->attempts = g_array_new(FALSE, FALSE, sizeof(PhFleetAttempt));
    n->idle = g_new0(uint32_t, f->options.workers);
    n->silent = g_new0(uint32_t, f->options.workers);
    n->in_use = g_new0(uint32_t, f->options.workers);
    n->timer_at = PH_TIME_NEVER;
    PhFakeNet_SetGroup(f->net, number, centre);
}

static void
links_set(PhFleet *f)
{
    for (uint32_t i = 0; i < PH_FLEET_DATA_CENTRES; i++) {
        for (uint32_t j = 0; j < PH_FLEET_DATA_CENTRES; j++) {
            PhFakeNet_Link(f->net, i, j)->delay_min =
                i == j ? WITHIN_DATA_CENTRE_US * PH_NS_PER_US
                       : f->options.between_data_centres;
        }
    }
}

PhFleet *
PhFleet_Create(const PhFleetOptions *options)
{
    PhFleet *f = g_new0(PhFleet, 1);
    f->options = *options;
    f->net = PhFakeNet_Create(options->seed,
                              options->instances + options->workers, NULL);
    f->random = PhRandom_Create(options->seed + 1000);
    f->instances = g_new0(PhEntryInstance, options->instances);
    f->workers = g_new0(PhFakeWorker *, options->workers);
    f->faults = g_new0(PhFleetFault, options->workers);
    f->leaving = g_new0(bool, options->workers);
    f->requests = g_array_new(FALSE, FALSE, sizeof(PhFleetRequest));
    links_set(f);
    for (uint32_t i = 0; i < options->workers; i++) {
        f->workers[i] = PhFakeWorker_Create(
            &(PhFakeWorkerOptions){.seed = options->seed + 2000 + i,
                                   .slots = options->slots,
                                   .service_fixed_share = 0.5});
        PhFakeNet_SetGroup(f->net, worker_endpoint(f, i),
                           i % PH_FLEET_DATA_CENTRES);
    }
    for (uint32_t i = 0; i < options->instances; i++) {
        instance_create(f, i);
    }
    fleet_configure(f);
    workers_publish(f);
    for (uint32_t i = 0; i < PH_FLEET_SERVICES; i++) {
        PhFleet_ScheduleArrival(f, i);
    }
    return f;
}

void
PhFleet_Destroy(PhFleet *fleet)
{
    for (uint32_t i = 0; i < fleet->options.instances; i++) {
        PhEntryInstance *n = &fleet->instances[i];
        PhRequests_Destroy(n->requests);
        g_array_free(n->attempts, TRUE);
        g_free(n->idle);
        g_free(n->silent);
        g_free(n->in_use);
    }
    for (uint32_t i = 0; i < fleet->options.workers; i++) {
        PhFakeWorker_Destroy(fleet->workers[i]);
    }
    g_free(fleet->instances);
    g_free(fleet->workers);
    g_free(fleet->faults);
    g_free(fleet->leaving);
    g_array_free(fleet->requests, TRUE);
    PhFakeNet_Destroy(fleet->net);
    PhRandom_Destroy(fleet->random);
    g_free(fleet);
}

void
PhFleet_SetRate(PhFleet *fleet, uint32_t service, double rate)
{
    bool stopped = fleet->options.services[service].rate <= 0.0;
    fleet->options.services[service].rate = rate;
    if (stopped) {
        PhFleet_ScheduleArrival(fleet, service);
    }
}

void
PhFleet_SetFault(PhFleet *fleet, uint32_t worker, PhFleetFault fault)
{
    fleet->faults[worker] = fault;
}

void
PhFleet_SetInterference(PhFleet *fleet, uint32_t worker, double factor)
{
    PhFakeWorker_Options(fleet->workers[worker])->interference = factor;
}

void
PhFleet_SilenceConnections(PhFleet *fleet, double part)
{
    for (uint32_t i = 0; i < fleet->options.instances; i++) {
        PhEntryInstance *n = &fleet->instances[i];
        for (uint32_t w = 0; w < fleet->options.workers; w++) {
            for (uint32_t c = n->silent[w]; c < n->idle[w]; c++) {
                n->silent[w] += PhRandom_Chance(fleet->random, part);
            }
        }
    }
}

void
PhFleet_SetLeaving(PhFleet *fleet, uint32_t worker, bool leaving)
{
    fleet->leaving[worker] = leaving;
    workers_publish(fleet);
}

const GArray *
PhFleet_Requests(const PhFleet *fleet)
{
    return fleet->requests;
}

uint32_t
PhFleet_MaxConnections(const PhFleet *fleet)
{
    return fleet->connections_max;
}
