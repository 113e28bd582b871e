#include <glib.h>

#include "peridothill/bench/capacity.h"
#include "peridothill/codec/list_json.h"
#include "peridothill/decide/requests/requests.h"

enum {
    REQUESTS = 40000,
    IN_FLIGHT = 256,
    INSTANCES = 7,
    SLOTS = 8,
    CONNECTIONS = 60,
    SERVICES = 20,
    ID_BYTES = 24,
    STEP_NS = 20000, /* between two events */
};

/* Request decisions of one entry instance, and its pending attempts. */
typedef struct PhEntryHarness {
    PhRequests *requests;
    GArray *actions;
    GQueue attempts; /* numbers, oldest first */
    PhTime now;
    uint64_t next_request;
    uint64_t answered;
    uint64_t refused;
} PhEntryHarness;

static void
harness_handle(PhEntryHarness *d, const PhRequestsEvent *event)
{
    d->now += STEP_NS;
    PhRequests_Handle(d->requests, event, d->now, d->actions);
    for (guint i = 0; i < d->actions->len; i++) {
        const PhRequestsAction *a =
            &g_array_index(d->actions, PhRequestsAction, i);
        if (a->tag == PH_REQUESTS_SEND) {
            g_queue_push_tail(&d->attempts,
                              GSIZE_TO_POINTER(a->as.send.attempt));
        }
        d->answered += a->tag == PH_REQUESTS_ANSWER;
        d->refused += a->tag == PH_REQUESTS_REFUSE;
    }
    g_array_set_size(d->actions, 0);
}

static void
harness_set_workers(PhEntryHarness *d, uint32_t count)
{
    PhWorkerRow *rows = g_new0(PhWorkerRow, count);
    char(*ids)[ID_BYTES] = g_malloc((gsize)count * ID_BYTES);
    for (uint32_t i = 0; i < count; i++) {
        g_snprintf(ids[i], ID_BYTES, "w%u", i);
        rows[i] = (PhWorkerRow){.id = PhStr_FromC(ids[i]),
                                .address = PhStr_LITERAL("10.0.0.1:80"),
                                .data_centre = PhStr_LITERAL("bacolod"),
                                .services = PhStr_LITERAL("s0"),
                                .slots = SLOTS,
                                .connections = CONNECTIONS};
    }
    harness_handle(d, &(PhRequestsEvent){.tag = PH_REQUESTS_WORKERS,
                                         .as.workers = {rows, count}});
    g_free(ids);
    g_free(rows);
}

static void
harness_configure(PhEntryHarness *d)
{
    PhServicePolicy rows[SERVICES];
    PhKeyMember members[INSTANCES];
    char names[SERVICES][ID_BYTES];
    char ids[INSTANCES][ID_BYTES];
    for (int i = 0; i < SERVICES; i++) {
        g_snprintf(names[i], ID_BYTES, "/s%d", i);
        rows[i] = PhServicePolicy_Default(PhStr_FromC(names[i] + 1));
        rows[i].prefix = PhStr_FromC(names[i]);
    }
    for (int i = 0; i < INSTANCES; i++) {
        g_snprintf(ids[i], ID_BYTES, "e%d", i);
        members[i] =
            (PhKeyMember){.id = PhStr_FromC(ids[i]), .reachable = true};
    }
    harness_handle(d, &(PhRequestsEvent){.tag = PH_REQUESTS_POLICIES,
                                         .as.policies = {1, rows, SERVICES}});
    harness_handle(d, &(PhRequestsEvent){.tag = PH_REQUESTS_MEMBERS,
                                         .as.members = {members, INSTANCES}});
}

static void
harness_request(PhEntryHarness *d)
{
    harness_handle(d, &(PhRequestsEvent){
                          .tag = PH_REQUESTS_ARRIVED,
                          .as.arrived = {.id = ++d->next_request,
                                         .method = PhStr_LITERAL("GET"),
                                         .path = PhStr_LITERAL("/s0/quote")}});
}

static void
harness_reply(PhEntryHarness *d)
{
    uint64_t attempt = GPOINTER_TO_SIZE(g_queue_pop_head(&d->attempts));
    harness_handle(d, &(PhRequestsEvent){
                          .tag = PH_REQUESTS_REPLIED,
                          .as.replied = {.attempt = attempt, .status = 200}});
}

static PhEntryHarness
harness_create(uint64_t seed, uint32_t workers)
{
    PhEntryHarness d = {
        .requests = PhRequests_Create(
            &(PhRequestsOptions){.instance = PhStr_LITERAL("e0"),
                                 .data_centre = PhStr_LITERAL("bacolod"),
                                 .seed = seed,
                                 .tuning = PhRequestsTuning_Default()}),
        .actions = g_array_new(FALSE, FALSE, sizeof(PhRequestsAction)),
        .attempts = G_QUEUE_INIT};
    harness_configure(&d);
    harness_set_workers(&d, workers);
    return d;
}

void
PhCapacity_Requests(const PhBenchOptions *options)
{
    PhCapacitySeries cpu = {"request_cpu", "ns", "workers", {50, 500, 3200}};
    PhCapacitySeries list = {"list_cpu", "ns", "workers", {50, 500, 3200}};
    PhCapacitySeries memory = {
        "router_memory", "B", "workers", {50, 500, 3200}};
    PhCapacitySeries in_flight = {
        "request_memory", "B", "workers", {50, 500, 3200}};
    PhCapacitySeries refused = {
        "request_refused", "requests", "workers", {50, 500, 3200}};
    for (int i = 0; i < PH_CAPACITY_SIZES; i++) {
        double heap = PhCapacity_HeapBytes();
        PhEntryHarness d = harness_create(options->seed, cpu.sizes[i]);
        memory.values[i] = PhCapacity_HeapBytes() - heap;
        heap = PhCapacity_HeapBytes();
        for (int k = 0; k < IN_FLIGHT; k++) {
            harness_request(&d);
        }
        in_flight.values[i] = (PhCapacity_HeapBytes() - heap) / IN_FLIGHT;
        int64_t start = PhBench_CpuTimeNs();
        for (int k = 0; k < REQUESTS && d.attempts.length > 0; k++) {
            harness_reply(&d);
            harness_request(&d);
        }
        cpu.values[i] = (double)(PhBench_CpuTimeNs() - start) / REQUESTS;
        refused.values[i] = (double)d.refused;
        start = PhBench_CpuTimeNs();
        harness_set_workers(&d, cpu.sizes[i]);
        list.values[i] = (double)(PhBench_CpuTimeNs() - start);
        g_queue_clear(&d.attempts);
        g_array_free(d.actions, TRUE);
        PhRequests_Destroy(d.requests);
    }
    PhCapacity_Print(options, &cpu);
    PhCapacity_Print(options, &in_flight);
    PhCapacity_Print(options, &refused);
    PhCapacity_Print(options, &list);
    PhCapacity_Print(options, &memory);
}

void
PhCapacity_List(const PhBenchOptions *options)
{
    PhCapacitySeries bytes = {"list_bytes", "B", "workers", {50, 500, 3200}};
    PhCapacitySeries cpu = {
        "list_decode_cpu", "ns", "workers", {50, 500, 3200}};
    for (int i = 0; i < PH_CAPACITY_SIZES; i++) {
        PhListReading reading = {.status = PH_STATUS_OK,
                                 .entry_count = bytes.sizes[i]};
        reading.entries = g_new0(PhListEntry, reading.entry_count);
        for (size_t k = 0; k < reading.entry_count; k++) {
            char *id = g_strdup_printf("worker-%zu", k);
            reading.entries[k] = (PhListEntry){
                .id = PhStr_Dup(PhStr_FromC(id)),
                .data_centre = PhStr_Dup(PhStr_LITERAL("bacolod")),
                .rack = PhStr_Dup(PhStr_LITERAL("rack-12")),
                .address = PhStr_Dup(PhStr_LITERAL("10.11.12.13:8080")),
                .services = PhStr_Dup(PhStr_LITERAL("booking")),
                .slots = SLOTS,
                .connections = CONNECTIONS,
                .cpu_milli = 64000,
                .memory_mb = 250000};
            g_free(id);
        }
        PhStr text = PhListJson_Encode(&reading);
        PhListReading decoded = {0};
        int64_t start = PhBench_CpuTimeNs();
        PhListJson_Decode(text, &decoded);
        cpu.values[i] = (double)(PhBench_CpuTimeNs() - start);
        bytes.values[i] = (double)text.len;
        PhListReading_Clear(&decoded);
        PhListReading_Clear(&reading);
        PhStr_Clear(&text);
    }
    PhCapacity_Print(options, &bytes);
    PhCapacity_Print(options, &cpu);
}
