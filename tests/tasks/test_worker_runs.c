#include "peridothill/standin/worker_runs.h"
#include "tests/table.h"

enum {
    BOOT = 5,
    JOB_NUMBER = 4097, /* of the first record in the log entry at offset 4 */
    /* Capacity of the worker; one run takes all of it. */
    CPU_MILLI = 1000,
    MEMORY_MB = 100,
};

/* A command at a time on the worker's clock, with the expected answer status
 * and numbers of runs and ends. */
typedef struct PhWorkerStep {
    int64_t at_ms;
    PhWorkerCommandKind kind;
    uint64_t boot;
    uint64_t epoch;
    int64_t valid_until_ms;
    int64_t lease_until_ms;
    uint32_t incarnation;
    uint64_t acked;
    PhStatus status;
    guint running;
    guint ended;
} PhWorkerStep;

/* Steps on a worker with capacity for one task, whose run takes 1,000 ms. */
typedef struct PhWorkerCase {
    const char *name;
    bool failing;
    PhWorkerStep steps[6];
} PhWorkerCase;

#define START(AT, EPOCH, VALID, LEASE, INC, STATUS, RUNNING, ENDED)           \
    {                                                                         \
        AT, PH_WORKER_START, BOOT, EPOCH, VALID, LEASE, INC, 0, STATUS,       \
            RUNNING, ENDED                                                    \
    }
#define RENEW(AT, BOOT_, LEASE, ACKED, STATUS, RUNNING, ENDED)                \
    {                                                                         \
        AT, PH_WORKER_RENEW, BOOT_, 1, 100000, LEASE, 0, ACKED, STATUS,       \
            RUNNING, ENDED                                                    \
    }

static const PhWorkerCase worker_cases[] = {
    {"start twice",
     false,
     {START(10, 1, 100, 500, 1, PH_STATUS_OK, 1, 0),
      START(20, 1, 100, 500, 1, PH_STATUS_OK, 1, 0)}},
    {"start too late",
     false,
     {START(100, 1, 100, 500, 1, PH_STATUS_EXPIRED, 0, 0)}},
    {"start of an older epoch",
     false,
     {START(10, 2, 100, 50, 1, PH_STATUS_OK, 1, 0),
      START(60, 1, 100, 500, 2, PH_STATUS_EXPIRED, 0, 1)}},
    {"lease expires",
     false,
     {START(10, 1, 100, 500, 1, PH_STATUS_OK, 1, 0),
      RENEW(500, BOOT, 900, 0, PH_STATUS_OK, 0, 1)}},
    {"renewed in time",
     false,
     {START(10, 1, 100, 500, 1, PH_STATUS_OK, 1, 0),
      RENEW(499, BOOT, 900, 0, PH_STATUS_OK, 1, 0),
      RENEW(600, BOOT, 950, 0, PH_STATUS_OK, 1, 0)}},
    {"delayed renewal does not shorten the lease",
     false,
     {START(10, 1, 100, 500, 1, PH_STATUS_OK, 1, 0),
      RENEW(20, BOOT, 100, 0, PH_STATUS_OK, 1, 0),
      RENEW(200, BOOT, 0, 0, PH_STATUS_OK, 1, 0)}},
    {"renewal for another boot id",
     false,
     {START(10, 1, 100, 500, 1, PH_STATUS_OK, 1, 0),
      RENEW(20, BOOT + 1, 900, 0, PH_STATUS_CONFLICT, 1, 0),
      RENEW(500, BOOT, 900, 0, PH_STATUS_OK, 0, 1)}},
    {"poll without a boot id",
     false,
     {START(10, 1, 100, 500, 1, PH_STATUS_OK, 1, 0),
      RENEW(20, 0, 0, 0, PH_STATUS_OK, 1, 0)}},
    {"delayed start of a completed run",
     false,
     {START(10, 1, 4000, 5000, 1, PH_STATUS_OK, 1, 0),
      START(1500, 1, 4000, 5000, 1, PH_STATUS_OK, 0, 1),
      RENEW(1600, BOOT, 0, 1, PH_STATUS_OK, 0, 0),
      START(1700, 1, 4000, 5000, 1, PH_STATUS_OK, 0, 0)}},
    {"next incarnation",
     false,
     {START(10, 1, 100, 50, 1, PH_STATUS_OK, 1, 0),
      START(60, 1, 100, 500, 2, PH_STATUS_OK, 1, 1)}},
    {"failing worker",
     true,
     {START(10, 1, 100, 500, 1, PH_STATUS_OK, 0, 1),
      START(20, 1, 100, 500, 1, PH_STATUS_OK, 0, 1)}},
};

/* Sends the command, and checks the status of the answer and the numbers of
 * runs and ends. */
static void
step_execute(PhWorkerTasks *tasks, const PhWorkerStep *s)
{
    PhWorkerCommand command = {.kind = s->kind,
                               .boot = s->boot,
                               .epoch = s->epoch,
                               .valid_until_ms = s->valid_until_ms};
    if (s->kind == PH_WORKER_START) {
        command.as.start.run = (PhRun){JOB_NUMBER, 0, s->incarnation};
        command.as.start.size = (PhJobSize){CPU_MILLI, MEMORY_MB, 0};
        command.as.start.run_ms = 1000;
        command.as.start.lease_until_ms = s->lease_until_ms;
    }
    else {
        command.as.renew.lease_until_ms = s->lease_until_ms;
        command.as.renew.acked = s->acked;
    }
    PhWorkerAnswer answer = PhWorkerTasks_Command(tasks, &command, s->at_ms);
    assert_int_equal(answer.status, s->status);
    assert_int_equal(PhWorkerTasks_Runs(tasks)->len, s->running);
    assert_int_equal(PhWorkerTasks_Ended(tasks)->len, s->ended);
    PhWorkerAnswer_Clear(&answer);
}

static void
check_worker(const PhWorkerCase *c)
{
    PhWorkerTasks *tasks =
        PhWorkerTasks_Create(BOOT, (PhJobSize){CPU_MILLI, MEMORY_MB, 0});
    PhWorkerTasks_SetFailing(tasks, c->failing);
    for (size_t i = 0; i < G_N_ELEMENTS(c->steps); i++) {
        if (c->steps[i].at_ms > 0) {
            step_execute(tasks, &c->steps[i]);
        }
    }
    PhWorkerTasks_Destroy(tasks);
}

/* Guards against workers that start a run twice, run past a lease or obey an
 * old owner. */
static void
test_worker(void **state)
{
    (void)state;
    Ph_RUN_TABLE(worker_cases, check_worker);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_worker),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
