/* Admission by room.  Guards against long-running jobs that take the room of
 * urgent ones for good, against refusals while there is room, and against
 * refusals without an estimate. */
#include <math.h>

#include "peridothill/decide/schedule/owner_link.h"
#include "peridothill/decide/schedule/room.h"
#include "single_task.h"
#include "tests/table.h"

enum {
    RESERVE_PERCENT = 12,
    STEPS = 240,      /* of half a second, the length of an urgent task */
    LATE_AFTER = 4,   /* steps after which an urgent task is worthless */
    URGENT_VALUE = 5, /* of a core for a step; of a long-running task 1 */
    LASTING_STEPS = 140,
    MARGIN_PERCENT = 3,
};

static const PhTime STEP = PH_NS_PER_S / 2;

typedef enum PhPolicy {
    POLICY_ARRIVAL,  /* the order of arrival */
    POLICY_PRIORITY, /* long-running jobs first, none refused */
    POLICY_ROOM,
    POLICY_COUNT,
} PhPolicy;

/* Load on a pool of workers; amounts are cores. */
typedef struct PhLoadCase {
    const char *name;
    double capacity;
    double held;        /* by long-running tasks at first, for all the time */
    double lasting_job; /* need of a long-running job */
    int lasting_every;  /* steps between two of them */
    double urgent;      /* mean of the tasks that arrive in a step */
    double swing;       /* share of it, over a wave of 26 steps */
    int half_from;      /* step from which half of the capacity is gone, 0 */
    bool no_shortage;   /* nothing may be refused */
    bool beats;         /* worth more than with either other policy */
} PhLoadCase;

static const PhLoadCase load_cases[] = {
    {"room for all", 1000, 500, 7, 4, 100, 0.5, 0, true, false},
    {"steady urgent jobs, long-running ones come faster than they end", 1000,
     850, 7, 2, 60, 0, 0, false, false},
    {"waves of urgent jobs, long-running ones come faster than they end", 1000,
     830, 7, 2, 60, 0.55, 0, false, true},
    {"one client floods with long-running jobs", 1000, 700, 20, 1, 60, 0.3, 0,
     false, true},
    {"room halves", 1000, 400, 7, 4, 60, 0.3, 80, false, true},
};

/* Urgent work that waits, by age in steps, and long-running jobs. */
typedef struct PhPool {
    double urgent[LATE_AFTER];
    double lasting_waiting;
    double lasting_until[STEPS + LASTING_STEPS + 1]; /* ends by step */
    double lasting;
    double value;
    unsigned refused;
} PhPool;

static double
urgent_waiting(const PhPool *p)
{
    double sum = 0;
    for (int i = 0; i < LATE_AFTER; i++) {
        sum += p->urgent[i];
    }
    return sum;
}

static void
lasting_start(PhPool *p, int step, double amount)
{
    p->lasting += amount;
    p->lasting_waiting -= amount;
    p->lasting_until[step + LASTING_STEPS] += amount;
}

/* Runs what fits in one step, the oldest urgent task first. */
static void
urgent_run(PhPool *p, double *left)
{
    for (int i = LATE_AFTER; i-- > 0;) {
        double run = MIN(*left, p->urgent[i]);
        p->urgent[i] -= run;
        *left -= run;
        p->value += run * URGENT_VALUE;
    }
}

static bool
lasting_admit(const PhLoadCase *c, PhPool *p, PhRoom *room, double capacity,
              int step, double arriving)
{
    PhRoomSample sample = {.capacity = capacity,
                           .lasting =
                               c->held + p->lasting + p->lasting_waiting,
                           .urgent = urgent_waiting(p) + arriving};
    PhRoom_Sample(room, &sample, RESERVE_PERCENT, (step + 1) * STEP);
    return step % c->lasting_every != 0 ||
           PhRoom_AdmitLasting(room, c->lasting_job, false, RESERVE_PERCENT);
}

static double
load_play(const PhLoadCase *c, PhPolicy policy, unsigned *refused)
{
    PhPool p = {0};
    PhRoom room;
    PhRoom_Init(&room);
    for (int step = 0; step < STEPS; step++) {
        bool halved = c->half_from > 0 && step >= c->half_from;
        double capacity = halved ? c->capacity / 2 : c->capacity;
        double arriving =
            c->urgent * (1 + c->swing * sin(2 * G_PI * step / 26));
        bool admitted =
            lasting_admit(c, &p, &room, capacity, step, arriving) ||
            policy != POLICY_ROOM;
        p.refused += !admitted;
        if (step % c->lasting_every == 0 && admitted) {
            p.lasting_waiting += c->lasting_job;
        }
        p.lasting -= p.lasting_until[step];
        for (int i = LATE_AFTER - 1; i > 0; i--) {
            p.urgent[i] = p.urgent[i - 1];
        }
        p.urgent[0] = arriving;
        double left = MAX(capacity - c->held - p.lasting, 0);
        if (policy == POLICY_ARRIVAL) {
            urgent_run(&p, &left);
        }
        double start = MIN(left, p.lasting_waiting);
        lasting_start(&p, step, start);
        left -= start;
        urgent_run(&p, &left);
        p.value += p.lasting;
    }
    *refused = p.refused;
    return p.value;
}

static void
load_run(const PhLoadCase *c)
{
    unsigned refused[POLICY_COUNT];
    double values[POLICY_COUNT];
    for (int i = 0; i < POLICY_COUNT; i++) {
        values[i] = load_play(c, (PhPolicy)i, &refused[i]);
    }
    print_message("#   arrival %.0f priority %.0f room %.0f refused %u\n",
                  values[POLICY_ARRIVAL], values[POLICY_PRIORITY],
                  values[POLICY_ROOM], refused[POLICY_ROOM]);
    double best = MAX(values[POLICY_ARRIVAL], values[POLICY_PRIORITY]);
    /* At most what is kept free for fragmentation and hysteresis is lost. */
    double margin =
        (c->capacity * MARGIN_PERCENT / 100 + c->lasting_job) * STEPS;
    assert_int_equal(refused[POLICY_ROOM] == 0, c->no_shortage);
    assert_true(values[POLICY_ROOM] >= best - margin);
    assert_true(!c->beats || values[POLICY_ROOM] > best);
}

static void
test_loads(void **state)
{
    (void)state;
    Ph_RUN_TABLE(load_cases, load_run);
}

/* Whether a long-running job is admitted when so much is held, after the room
 * was closed or not. */
typedef struct PhHysteresisCase {
    const char *name;
    double lasting;
    bool was_closed;
    bool below_share;
    bool admitted;
} PhHysteresisCase;

/* Of 1,000 cores 20 are for fragmentation, 60 for urgent jobs, 7 for the mean
 * job, and 10 more to open again. */
static const PhHysteresisCase hysteresis_cases[] = {
    {"room is left", 900, false, false, true},
    {"just enough", 913, false, false, true},
    {"too little", 914, false, false, false},
    {"closed, not enough to open", 904, true, false, false},
    {"closed, enough to open", 903, true, false, true},
    {"closed, a queue below its share", 950, true, true, true},
};

static void
hysteresis_run(const PhHysteresisCase *c)
{
    PhRoom room;
    PhRoomSample sample = {.capacity = 1000, .lasting = 0, .urgent = 60};
    PhRoom_Init(&room);
    PhRoom_Sample(&room, &sample, RESERVE_PERCENT, STEP);
    assert_true(PhRoom_AdmitLasting(&room, 7, false, RESERVE_PERCENT));
    sample.lasting = c->was_closed ? sample.capacity : 0;
    PhRoom_Sample(&room, &sample, RESERVE_PERCENT, STEP);
    sample.lasting = c->lasting;
    PhRoom_Sample(&room, &sample, RESERVE_PERCENT, STEP);
    assert_int_equal(
        PhRoom_AdmitLasting(&room, 7, c->below_share, RESERVE_PERCENT),
        c->admitted);
}

static void
test_hysteresis(void **state)
{
    (void)state;
    Ph_RUN_TABLE(hysteresis_cases, hysteresis_run);
}

/* Whether a job is refused as too late, after waits were `ratio` times the
 * expected ones. */
typedef struct PhLatenessCase {
    const char *name;
    double work; /* core-seconds before it; 40 cores are left */
    double ratio;
    int64_t rest_ms;
    int64_t late_ms; /* by which it misses its limit of 5 s */
} PhLatenessCase;

static const PhLatenessCase lateness_cases[] = {
    {"no work before it, although it is too long", 0, 1, 6000, 0},
    {"in time", 160, 1, 1000, 0},
    {"too late", 200, 1, 1000, 1000},
    {"waits are twice as long as expected", 120, 2, 1000, 2000},
    {"waits are a third of the expected ones", 400, 1.0 / 3, 1000, 0},
    {"estimates three times off count twice at most", 80, 3, 1000, 0},
};

static void
lateness_run(const PhLatenessCase *c)
{
    PhRoom room;
    PhRoomSample sample = {.capacity = 1000, .lasting = 960};
    PhRoom_Init(&room);
    PhRoom_Sample(&room, &sample, RESERVE_PERCENT, STEP);
    for (int i = 0; i < STEPS; i++) {
        PhRoom_LearnWait(&room, PH_NS_PER_S,
                         (PhTime)(c->ratio * (double)PH_NS_PER_S));
    }
    PhTime wait = PhRoom_WaitFor(&room, c->work * (double)PH_NS_PER_S);
    PhTime late =
        PhRoom_LateBy(&room, wait, c->rest_ms * PH_NS_PER_MS, 5 * PH_NS_PER_S);
    assert_int_equal((late + PH_NS_PER_MS / 2) / PH_NS_PER_MS, c->late_ms);
}

static void
test_lateness(void **state)
{
    (void)state;
    Ph_RUN_TABLE(lateness_cases, lateness_run);
}

/* Traits of an owner's state, as flags. */
enum {
    OWNER_HEARD = 1,          /* its worker has answered */
    OWNER_INHERITS = 2,       /* the owner before refused long-running jobs */
    OWNER_OTHER_QUEUE = 4,    /* others than the job's queue hold the room */
    OWNER_CORDONED = 8,       /* its worker's data centre is */
    OWNER_BEHIND_A_STEP = 16, /* what is held waits for an earlier step */
};

/* A job that comes to an owner with 16 cores in one worker. */
typedef struct PhOwnerCase {
    const char *name;
    uint64_t reserve_percent;
    int64_t owner_for_ms;
    unsigned traits;
    unsigned lasting;  /* tasks of one core that are held */
    unsigned admitted; /* the same, accepted a moment before */
    unsigned urgent;   /* tasks of one core, of jobs of 20 that take 2 s */
    int64_t urgent_age_ms;
    PhSchedStep step; /* of the new job */
    PhAdmissionTag tag;
} PhOwnerCase;

#define NEW_LASTING                                                           \
    {                                                                         \
        .count = 1, .resources.cpu_milli = 1000, .long_running = true         \
    }
#define NEW_URGENT                                                            \
    {                                                                         \
        .count = 50, .resources.cpu_milli = 1000, .estimate = 2 * PH_NS_PER_S \
    }

static const PhOwnerCase owner_cases[] = {
    {"room is left", 12, 5000, OWNER_HEARD, 4, 0, 0, 0, NEW_LASTING,
     PH_ADMISSION_ACCEPTED},
    {"no room", 12, 5000, OWNER_HEARD, 16, 0, 0, 0, NEW_LASTING,
     PH_ADMISSION_ROOM},
    {"no room, no setting", 0, 5000, OWNER_HEARD, 16, 0, 0, 0, NEW_LASTING,
     PH_ADMISSION_ACCEPTED},
    {"no room, a new owner", 12, 200, OWNER_HEARD, 16, 0, 0, 0, NEW_LASTING,
     PH_ADMISSION_ACCEPTED},
    {"no room, a new owner after one that refused", 12, 200,
     OWNER_HEARD | OWNER_INHERITS, 16, 0, 0, 0, NEW_LASTING,
     PH_ADMISSION_ROOM},
    {"no room, workers not heard", 12, 5000, 0, 16, 0, 0, 0, NEW_LASTING,
     PH_ADMISSION_ACCEPTED},
    {"no worker is left that counts", 12, 5000, OWNER_HEARD | OWNER_CORDONED,
     16, 0, 0, 0, NEW_LASTING, PH_ADMISSION_ACCEPTED},
    {"no room with jobs accepted a moment before", 12, 5000, OWNER_HEARD, 10,
     6, 0, 0, NEW_LASTING, PH_ADMISSION_ROOM},
    {"no room with tasks whose turn has not come", 12, 5000,
     OWNER_HEARD | OWNER_BEHIND_A_STEP, 16, 0, 0, 0, NEW_LASTING,
     PH_ADMISSION_ROOM},
    {"urgent jobs need the room", 12, 5000, OWNER_HEARD, 14, 0, 20, 0,
     NEW_LASTING, PH_ADMISSION_ROOM},
    {"urgent jobs need it, the queue is below its share", 12, 5000,
     OWNER_HEARD | OWNER_OTHER_QUEUE, 14, 0, 20, 0, NEW_LASTING,
     PH_ADMISSION_ACCEPTED},
    {"a job larger than what is left",
     12,
     5000,
     OWNER_HEARD,
     4,
     0,
     0,
     0,
     {.count = 13, .resources.cpu_milli = 1000, .long_running = true},
     PH_ADMISSION_ROOM},
    {"no room, a long-running job that fills",
     12,
     5000,
     OWNER_HEARD,
     16,
     0,
     0,
     0,
     {.count = 1,
      .resources.cpu_milli = 1000,
      .long_running = true,
      .fills = true},
     PH_ADMISSION_ACCEPTED},
    {"urgent job, nothing waits", 12, 5000, OWNER_HEARD, 12, 0, 0, 0,
     NEW_URGENT, PH_ADMISSION_ACCEPTED},
    {"urgent job behind a long queue", 12, 5000, OWNER_HEARD, 12, 0, 400, 0,
     NEW_URGENT, PH_ADMISSION_TOO_LATE},
    {"urgent job behind a long queue, no setting", 0, 5000, OWNER_HEARD, 12, 0,
     400, 0, NEW_URGENT, PH_ADMISSION_ACCEPTED},
    {"all that waits is late already and goes last", 12, 5000, OWNER_HEARD, 12,
     0, 400, 60000, NEW_URGENT, PH_ADMISSION_ACCEPTED},
    {"a job without an estimate",
     12,
     5000,
     OWNER_HEARD,
     12,
     0,
     400,
     0,
     {.count = 50, .resources.cpu_milli = 1000},
     PH_ADMISSION_ACCEPTED},
    {"burst of backfill jobs over urgent ones",
     12,
     5000,
     OWNER_HEARD,
     12,
     0,
     400,
     0,
     {.count = 50,
      .resources.cpu_milli = 1000,
      .fills = true,
      .estimate = 2 * PH_NS_PER_S},
     PH_ADMISSION_ACCEPTED},
};

static const PhTime OWNER_SINCE = 100 * PH_NS_PER_S;

static PhSchedSpec
spec_make(unsigned number, const char *queue, PhSchedStep step)
{
    PhSchedSpec spec = PhSingle_NumberedSpec(number, step);
    spec.terms.stretch = 1.5;
    spec.terms.queue = PhStr_Dup(PhStr_FromC(queue));
    return spec;
}

/* Puts a step of one task, which has not begun, before the step of a job. */
static void
step_prepend(PhSchedSpec *spec)
{
    PhSchedStep *steps = g_new0(PhSchedStep, 2);
    steps[0] = (PhSchedStep){.count = 1, .resources.cpu_milli = 100000};
    steps[1] = spec->steps[0];
    steps[1].after = g_new0(uint32_t, 1);
    steps[1].after_count = 1;
    g_free(spec->steps);
    spec->steps = steps;
    spec->step_count = 2;
}

static void
jobs_add(PhSchedModel *model, const PhOwnerCase *c, unsigned tasks,
         unsigned each, PhSchedStep step, PhTime at)
{
    static unsigned number;
    const char *queue = (c->traits & OWNER_OTHER_QUEUE) != 0 ? "other" : "own";
    for (unsigned i = 0; i < tasks; i += each) {
        step.count = each;
        PhSchedSpec spec = spec_make(++number, queue, step);
        if (step.long_running && (c->traits & OWNER_BEHIND_A_STEP) != 0) {
            step_prepend(&spec);
        }
        PhSchedModel_AddJob(model, &spec, at);
    }
}

static void
queue_add(PhSchedModel *model, const PhSchedSpec *spec)
{
    PhSchedQueue queue = {0};
    queue.terms.queue = PhStr_Dup(spec->terms.queue);
    queue.terms.service = PhStr_Dup(spec->terms.service);
    g_array_append_val(model->config->queues, queue);
}

static void
worker_prepare(PhScheduler *s, const PhOwnerCase *c)
{
    PhSchedWorker *w =
        g_ptr_array_index(PhScheduler_Model(s)->incarnations, 0);
    w->entry.capacity.cpu_milli = 16000;
    w->fenced = (c->traits & OWNER_HEARD) != 0;
    w->cordoned = (c->traits & OWNER_CORDONED) != 0;
}

/* Jobs that are accepted and not in the model yet. */
static void
jobs_admit(PhScheduler *s, const PhOwnerCase *c, PhTime now)
{
    for (unsigned i = 0; i < c->admitted; i++) {
        PhSchedSpec spec =
            spec_make(UINT16_MAX - 1 - i, "own", (PhSchedStep)NEW_LASTING);
        assert_int_equal(PhScheduler_Admit(s, &spec, now).tag,
                         PH_ADMISSION_ACCEPTED);
        PhSchedSpec_Clear(&spec);
    }
}

static void
owner_run(const PhOwnerCase *c)
{
    PhScheduler *s = PhScheduler_Create(
        &(PhSchedulerOptions){.lease_limit = 10 * PH_NS_PER_S,
                              .room_reserve_percent = c->reserve_percent});
    PhSchedModel *model = PhScheduler_Model(s);
    PhTime now = OWNER_SINCE + c->owner_for_ms * PH_NS_PER_MS;
    PhSchedSpec spec = spec_make(UINT16_MAX, "own", c->step);
    queue_add(model, &spec);
    PhSingle_ShowWorker(s, false, OWNER_SINCE);
    PhScheduler_SetFence(s, 7, OWNER_SINCE);
    worker_prepare(s, c);
    if ((c->traits & OWNER_INHERITS) != 0) {
        PhScheduler_InheritLastingClosed(s, OWNER_SINCE);
    }
    jobs_add(model, c, c->lasting, 1, (PhSchedStep)NEW_LASTING, now);
    jobs_add(model, c, c->urgent, 20, (PhSchedStep)NEW_URGENT,
             now - c->urgent_age_ms * PH_NS_PER_MS);
    PhScheduler_Plan(s, now, 0);
    jobs_admit(s, c, now);
    /* The next sample contains them too. */
    PhScheduler_Plan(s, now + STEP, 0);
    PhAdmission a = PhScheduler_Admit(s, &spec, now + STEP);
    assert_int_equal(a.tag, c->tag);
    assert_int_equal(a.retry_after >= PH_NS_PER_S,
                     c->tag != PH_ADMISSION_ACCEPTED);
    PhSchedSpec_Clear(&spec);
    PhScheduler_Destroy(s);
}

static void
test_owner(void **state)
{
    (void)state;
    Ph_RUN_TABLE(owner_cases, owner_run);
}

/* What an instance without contact goes by, some time after a welcome. */
typedef struct PhWelcomeCase {
    const char *name;
    bool closed;
    int64_t age_ms;
    bool refuses;
} PhWelcomeCase;

static const PhWelcomeCase welcome_cases[] = {
    {"open", false, 0, false},
    {"closed", true, 0, true},
    {"closed, 14.9 s ago", true, 14900, true},
    {"closed, 15 s ago", true, 15000, false},
};

static void
welcome_run(const PhWelcomeCase *c)
{
    PhOwnerLink link;
    PhOwnerLink_Init(&link, true, 0, OWNER_SINCE);
    PhWelcome before = {.lasting_closed = !c->closed};
    PhWelcome newest = {.lasting_closed = c->closed};
    PhOwnerLink_OnWelcome(&link, &before, OWNER_SINCE);
    PhOwnerLink_OnWelcome(&link, &newest, OWNER_SINCE);
    assert_int_equal(PhOwnerLink_IsLastingClosed(
                         &link, OWNER_SINCE + c->age_ms * PH_NS_PER_MS),
                     c->refuses);
    PhOwnerLink_Clear(&link);
}

static void
test_welcomes(void **state)
{
    (void)state;
    Ph_RUN_TABLE(welcome_cases, welcome_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_loads),    cmocka_unit_test(test_hysteresis),
        cmocka_unit_test(test_lateness), cmocka_unit_test(test_owner),
        cmocka_unit_test(test_welcomes),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
