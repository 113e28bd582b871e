/* Guards against fakes that do not inject the faults they are set to: the
 * tests that rely on them would pass without having tried anything. */
#include <glib.h>

#include "peridothill/fakes/fake_log.h"
#include "peridothill/fakes/fake_net.h"
#include "peridothill/fakes/fake_worker.h"
#include "tests/table.h"

#define MS PH_NS_PER_MS

enum {
    ENDPOINT_COUNT = 3,
    MESSAGE_COUNT = 400,
};

/* A network fault and its effect on MESSAGE_COUNT messages sent from endpoint
 * 0 to endpoint 1 at time 0. */
typedef struct PhNetCase {
    const char *name;
    PhFakeLink link;
    bool silent;
    bool crash;               /* endpoint 1 crashes before delivery */
    PhTime pause;             /* endpoint 1 is paused until this time */
    int min_count, max_count; /* deliveries */
    PhTime earliest;          /* lower bound of the first delivery */
} PhNetCase;

static const PhNetCase net_cases[] = {
    {.name = "instant",
     .min_count = MESSAGE_COUNT,
     .max_count = MESSAGE_COUNT},
    {.name = "delay",
     .link = {.delay_min = 3 * MS, .delay_extra = MS},
     .min_count = MESSAGE_COUNT,
     .max_count = MESSAGE_COUNT,
     .earliest = 3 * MS},
    {.name = "loss",
     .link = {.loss = 0.5},
     .min_count = 150,
     .max_count = 250},
    {.name = "duplicate",
     .link = {.duplicate = 0.5},
     .min_count = 550,
     .max_count = 650},
    {.name = "cut", .link = {.cut = true}},
    {.name = "silent", .silent = true},
    {.name = "crash", .crash = true},
    {.name = "pause",
     .pause = 700 * MS,
     .min_count = MESSAGE_COUNT,
     .max_count = MESSAGE_COUNT,
     .earliest = 700 * MS},
};

static int live_bodies;

static void
body_clear(gpointer body)
{
    (void)body;
    live_bodies--;
}

static void
net_run(const PhNetCase *c)
{
    PhFakeNet *net = PhFakeNet_Create(7, ENDPOINT_COUNT, body_clear);
    PhFakeEvent event;
    int count = 0;
    PhTime first = PH_TIME_NEVER;
    PhTime last = 0;
    PhFakeNet_SetGroup(net, 1, 1);
    *PhFakeNet_Link(net, 0, 1) = c->link;
    PhFakeNet_SetBlackhole(net, 0, 1, c->silent);
    PhFakeNet_Pause(net, 1, c->pause);
    for (uint64_t i = 0; i < MESSAGE_COUNT; i++) {
        live_bodies++;
        PhFakeNet_Send(net, 0, 1, i, g_rc_box_new(uint64_t));
    }
    if (c->crash) {
        PhFakeNet_Crash(net, 1);
    }
    PhFakeNet_SetTimer(net, 2, 9, 900 * MS);
    while (PhFakeNet_Next(net, PH_NS_PER_S, &event)) {
        assert_true(event.at >= last && event.at == PhFakeNet_Now(net));
        last = event.at;
        if (event.kind == PH_FAKE_TIMER) {
            assert_int_equal(event.token, 9);
            continue;
        }
        first = MIN(first, event.at);
        count++;
    }
    assert_in_range(count, c->min_count, c->max_count);
    assert_true(count == 0 || first >= c->earliest);
    assert_int_equal(PhFakeNet_Now(net), PH_NS_PER_S);
    PhFakeNet_Destroy(net);
    assert_int_equal(live_bodies, 0);
}

/* Guards against network faults that have no effect or lose the order of
 * events. */
static void
test_net_faults(void **state)
{
    (void)state;
    Ph_RUN_TABLE(net_cases, net_run);
}

typedef struct PhWorkerStep {
    PhFakeOrder order;
    PhTime at;
    PhStatus status;
} PhWorkerStep;

/* Orders to one worker with 4 processors; a task has one second of work. */
typedef struct PhWorkerCase {
    const char *name;
    PhWorkerStep steps[4];
    PhTime end; /* time of PhFakeWorker_Advance after the steps */
    PhTime ended_at;
    int step_count;
    int ended;
    bool fails_starts;
    bool lease_expired;
} PhWorkerCase;

/* Starts task 1; LEASE is the time at which its lease expires. */
#define START(INCARNATION, SIZE, LEASE)                                       \
    {                                                                         \
        .kind = PH_FAKE_START, .id = 1, .incarnation = (INCARNATION),         \
        .as.start = {.id = 1,                                                 \
                     .incarnation = (INCARNATION),                            \
                     .declared.cpu_milli = (SIZE),                            \
                     .work = PH_NS_PER_S,                                     \
                     .lease_until = (LEASE)},                                 \
    }
#define ORDER(KIND, INCARNATION, ...)                                         \
    {                                                                         \
        .kind = (KIND), .id = 1, .incarnation = (INCARNATION), __VA_ARGS__    \
    }

static const PhWorkerCase worker_cases[] = {
    {.name = "finishes",
     .steps = {{START(1, 1000, 5 * PH_NS_PER_S), 0, PH_STATUS_OK}},
     .step_count = 1,
     .end = 3 * PH_NS_PER_S,
     .ended = 1,
     .ended_at = PH_NS_PER_S},
    {.name = "lease expires",
     .steps = {{START(1, 1000, 400 * MS), 0, PH_STATUS_OK}},
     .step_count = 1,
     .end = 3 * PH_NS_PER_S,
     .ended = 1,
     .lease_expired = true,
     .ended_at = 400 * MS},
    {.name = "renewal extends the lease",
     .steps = {{START(1, 1000, 400 * MS), 0, PH_STATUS_OK},
               {ORDER(PH_FAKE_RENEW, 1, .as.lease_until = 5 * PH_NS_PER_S),
                300 * MS, PH_STATUS_OK},
               {ORDER(PH_FAKE_RENEW, 2, .as.lease_until = 9 * PH_NS_PER_S),
                300 * MS, PH_STATUS_NOT_FOUND}},
     .step_count = 3,
     .end = 3 * PH_NS_PER_S,
     .ended = 1,
     .ended_at = PH_NS_PER_S},
    {.name = "throttle halves the speed",
     .steps = {{START(1, 1000, 5 * PH_NS_PER_S), 0, PH_STATUS_OK},
               {ORDER(PH_FAKE_THROTTLE, 1, .as.speed = 0.5), 500 * MS,
                PH_STATUS_OK}},
     .step_count = 2,
     .end = 3 * PH_NS_PER_S,
     .ended = 1,
     .ended_at = 1500 * MS},
    {.name = "refuses repeated starts and older incarnations",
     .steps = {{START(2, 1000, 5 * PH_NS_PER_S), 0, PH_STATUS_OK},
               {START(2, 1000, 5 * PH_NS_PER_S), 1, PH_STATUS_EXISTS},
               {START(3, 1000, 5 * PH_NS_PER_S), 1, PH_STATUS_CONFLICT},
               {START(1, 1000, 5 * PH_NS_PER_S), 2 * PH_NS_PER_S,
                PH_STATUS_CONFLICT}},
     .step_count = 4,
     .end = 3 * PH_NS_PER_S,
     .ended = 1,
     .ended_at = PH_NS_PER_S},
    {.name = "refuses a task beyond its capacity",
     .steps = {{START(1, 4001, 5 * PH_NS_PER_S), 0, PH_STATUS_FULL}},
     .step_count = 1},
    {.name = "refuses an expired lease",
     .steps = {{START(1, 1, 5 * MS), 5 * MS, PH_STATUS_EXPIRED}},
     .step_count = 1,
     .end = 5 * MS},
    {.name = "fails every start",
     .fails_starts = true,
     .steps = {{START(1, 1, PH_NS_PER_S), 0, PH_STATUS_IO}},
     .step_count = 1},
    {.name = "start after a stop",
     .steps = {{START(1, 4000, PH_NS_PER_S), 0, PH_STATUS_OK},
               {ORDER(PH_FAKE_STOP, 1), 1, PH_STATUS_OK},
               {START(2, 4000, PH_NS_PER_S), 2, PH_STATUS_OK}},
     .step_count = 3,
     .end = 3},
};

static void
worker_run(const PhWorkerCase *c)
{
    PhFakeWorker *worker = PhFakeWorker_Create(
        &(PhFakeWorkerOptions){.seed = 1,
                               .slots = 1,
                               .capacity = {.cpu_milli = 4000},
                               .fails_starts = c->fails_starts});
    GArray *ended = g_array_new(FALSE, FALSE, sizeof(PhFakeTaskEnd));
    for (int i = 0; i < c->step_count; i++) {
        const PhWorkerStep *s = &c->steps[i];
        assert_int_equal(PhFakeWorker_Order(worker, s->at, &s->order),
                         s->status);
    }
    PhFakeWorker_Advance(worker, c->end, ended);
    assert_int_equal(ended->len, c->ended);
    if (c->ended > 0) {
        const PhFakeTaskEnd *e = &g_array_index(ended, PhFakeTaskEnd, 0);
        assert_int_equal(e->lease_expired, c->lease_expired);
        assert_int_equal(e->at, c->ended_at);
        assert_null(PhFakeWorker_Find(worker, 1));
    }
    PhFakeWorker_Restart(worker, c->end);
    assert_int_equal(PhFakeWorker_Committed(worker).cpu_milli, 0);
    g_array_free(ended, TRUE);
    PhFakeWorker_Destroy(worker);
}

/* Guards against a fake worker that runs a task beyond its lease, or accepts
 * an order that a real one refuses. */
static void
test_worker_orders(void **state)
{
    (void)state;
    Ph_RUN_TABLE(worker_cases, worker_run);
}

/* A log fault, under which one record is appended at 0, 1, 2 and 3 s, and the
 * log is read at 4 s. */
typedef struct PhLogCase {
    const char *name;
    uint64_t offset; /* where the read starts */
    uint64_t first;  /* oldest offset that the read reports */
    PhFakeLogOptions options;
    PhStatus append;
    PhStatus read;
    guint records;
} PhLogCase;

static const PhLogCase log_cases[] = {
    {.name = "plain", .offset = 1, .records = 3},
    {.name = "lost answers",
     .options = {.lost_answers = 1},
     .append = PH_STATUS_UNKNOWN,
     .records = 4},
    {.name = "outage",
     .options = {.outage = true},
     .append = PH_STATUS_UNAVAILABLE,
     .read = PH_STATUS_UNAVAILABLE},
    {.name = "offset expired",
     .options = {.retention = 2 * PH_NS_PER_S},
     .read = PH_STATUS_EXPIRED,
     .first = 3},
    {.name = "retention",
     .options = {.retention = 2 * PH_NS_PER_S},
     .offset = 3,
     .first = 3,
     .records = 1},
    {.name = "past the end", .offset = 9},
};

static void
log_run(const PhLogCase *c)
{
    PhFakeLog *log = PhFakeLog_Create(&c->options);
    GArray *records = g_array_new(FALSE, FALSE, sizeof(PhFakeRecord));
    PhStr stream = PhStr_LITERAL("s");
    for (int i = 0; i < 4; i++) {
        PhFakeLogAnswer a = PhFakeLog_Append(log, i * PH_NS_PER_S, stream,
                                             PhStr_LITERAL("a\0b"));
        assert_int_equal(a.status, c->append);
    }
    PhFakeLogAnswer a =
        PhFakeLog_Read(log, 4 * PH_NS_PER_S, stream, c->offset, 9, records);
    assert_int_equal(a.status, c->read);
    assert_int_equal(a.first, c->first);
    assert_int_equal(records->len, c->records);
    for (guint i = 0; i < records->len; i++) {
        const PhFakeRecord *r = &g_array_index(records, PhFakeRecord, i);
        assert_int_equal(r->offset, c->offset + i);
        assert_true(PhStr_Equal(r->data, PhStr_LITERAL("a\0b")));
    }
    g_array_free(records, TRUE);
    PhFakeLog_Destroy(log);
}

/* Guards against log faults that have no effect. */
static void
test_log_faults(void **state)
{
    (void)state;
    Ph_RUN_TABLE(log_cases, log_run);
}

/* Guards against a limit of appends that is not reset each second. */
static void
test_log_append_limit(void **state)
{
    (void)state;
    PhFakeLog *log =
        PhFakeLog_Create(&(PhFakeLogOptions){.appends_per_second = 2});
    static const PhStatus expected[] = {PH_STATUS_OK, PH_STATUS_OK,
                                        PH_STATUS_FULL, PH_STATUS_OK};
    static const PhTime at[] = {0, 1, 2, PH_NS_PER_S};
    for (int i = 0; i < 4; i++) {
        PhFakeLogAnswer a = PhFakeLog_Append(log, at[i], PhStr_LITERAL("s"),
                                             PhStr_LITERAL("x"));
        assert_int_equal(a.status, expected[i]);
    }
    assert_int_equal(PhFakeLog_Counts(log).limited, 1);
    PhFakeLog_Destroy(log);
}

/* Guards against usage that is reported without its lag, and slots that serve
 * out of order. */
static void
test_worker_usage_lag(void **state)
{
    (void)state;
    PhFakeWorker *worker = PhFakeWorker_Create(
        &(PhFakeWorkerOptions){.seed = 1,
                               .slots = 1,
                               .service_mean = 10 * MS,
                               .service_fixed_share = 1,
                               .usage_lag = PH_NS_PER_S,
                               .capacity = {.cpu_milli = 10}});
    PhFakeOrder order = START(1, 10, 9 * PH_NS_PER_S);
    order.as.start.actual.cpu_milli = 25;
    order.as.start.noise = 1;
    assert_int_equal(PhFakeWorker_Serve(worker, 0, NULL), 10 * MS);
    assert_int_equal(PhFakeWorker_Order(worker, 5 * MS, &order), PH_STATUS_OK);
    PhTime begin = 0;
    assert_int_equal(PhFakeWorker_Serve(worker, 6 * MS, &begin), 30 * MS);
    assert_int_equal(begin, 10 * MS);
    assert_int_equal(PhFakeWorker_Usage(worker, PH_NS_PER_S).cpu_milli, 0);
    assert_int_equal(
        PhFakeWorker_Usage(worker, PH_NS_PER_S + 5 * MS).cpu_milli, 25);
    PhFakeWorker_Destroy(worker);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_net_faults),
        cmocka_unit_test(test_worker_orders),
        cmocka_unit_test(test_log_faults),
        cmocka_unit_test(test_log_append_limit),
        cmocka_unit_test(test_worker_usage_lag),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
