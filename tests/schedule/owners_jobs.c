/* Jobs of the owners simulation: their records, and drawn ones. */
#include "owners_sim_private.h"
#include "peridothill/codec/schedule_record.h"

enum {
    IMAGE_SIZE = 24,
    STEPS_MAX = 3,
    TASKS_MAX = 4,
    TASK_CPU_MILLI = 500,
    RUN_MIN_MS = 300,
    RUN_SPREAD_MS = 3500,
    GAP_SPREAD_MS = 1600, /* between two jobs */
    CANCEL_SPREAD_MS = 6000,
    ATTEMPTS_MAX = 4,
    LASTING_MAX = 6, /* jobs with a task that is to last */
};

static const double FAILURE_SHARE = 0.15;
static const double GANG_SHARE = 0.35;
static const double HOPELESS_SHARE = 0.1;
static const double SAVES_SHARE = 0.5;
static const double CANCEL_SHARE = 0.3;
static const double LASTING_SHARE = 0.15;

struct PhSimJobs {
    PhRandom *random;
    unsigned traits;
    int64_t next_ms;
    int64_t until_ms;
    unsigned lasting;
};

static void
step_describe(PhSchedStep *step, const PhSimJob *job)
{
    const PhSimTaskKind *kind = &job->kind;
    step->count = job->count;
    step->resources = kind->resources;
    step->long_running = kind->long_running;
    step->fills = kind->fills;
    step->gang = kind->gang;
    step->saves_progress = kind->saves_progress;
    step->estimate = kind->estimate;
    step->tail_latency_target = kind->tail_latency_target;
    if (job->before != NULL) {
        step->after = g_new(uint32_t, 1);
        step->after[0] = job->before->step;
        step->after_count = 1;
    }
    if (kind->image > 0) {
        char image[IMAGE_SIZE];
        g_snprintf(image, sizeof(image), "image-%u", kind->image);
        step->image = PhStr_Dup(PhStr_FromC(image));
    }
}

/* Describes a job by its last step. */
static PhSchedSpec
job_describe(const PhSimJob *last)
{
    PhSchedSpec spec = {.id = PhStr_Dup(PhStr_FromC(last->id)),
                        .step_count = last->step + 1};
    spec.terms.service = PhStr_Dup(PhStr_LITERAL("service"));
    spec.terms.stretch = 2;
    spec.terms.max_attempts = last->kind.max_attempts;
    spec.steps = g_new0(PhSchedStep, spec.step_count);
    for (const PhSimJob *job = last; job != NULL; job = job->before) {
        step_describe(&spec.steps[job->step], job);
    }
    return spec;
}

void
PhOwnersSim_AddJob(PhOwnersSim *w, unsigned count, const PhSimTaskKind *kind)
{
    PhSchedSpec spec =
        job_describe(PhSimTasks_AddStep(&w->tasks, count, kind, NULL));
    PhSchedEncoded e = PhSchedRecord_EncodeJob(&spec);
    g_array_append_val(w->log, e);
    PhSchedSpec_Clear(&spec);
}

/* Submits a job unless the owner refuses it.  Without an owner it is accepted,
 * as instances do. */
static bool
job_submit(PhOwnersSim *w, const PhSimJob *last)
{
    int owner = PhOwnersSim_Owner(w);
    PhSchedSpec spec = job_describe(last);
    bool accepted =
        owner < 0 ||
        PhScheduler_Admit(w->instances[owner].scheduler, &spec, w->now).tag ==
            PH_ADMISSION_ACCEPTED;
    if (accepted) {
        PhSchedEncoded e = PhSchedRecord_EncodeJob(&spec);
        g_array_append_val(w->log, e);
    }
    PhSchedSpec_Clear(&spec);
    return accepted;
}

static bool
draw_trait(const PhSimJobs *d, PhOwnersJobTrait trait, double share)
{
    return (d->traits & trait) != 0 && PhRandom_Chance(d->random, share);
}

static PhSimTaskKind
draw_kind(const PhSimJobs *d)
{
    int64_t run_ms =
        RUN_MIN_MS + (int64_t)PhRandom_Below(d->random, RUN_SPREAD_MS);
    PhSimTaskKind kind = {.resources = {.cpu_milli = TASK_CPU_MILLI},
                          .run_time = run_ms * PH_NS_PER_MS,
                          .estimate = run_ms * PH_NS_PER_MS,
                          .max_attempts = ATTEMPTS_MAX};
    kind.gang = draw_trait(d, PH_OWNERS_GANGS, GANG_SHARE);
    kind.hopeless = draw_trait(d, PH_OWNERS_HOPELESS, HOPELESS_SHARE);
    kind.saves_progress = draw_trait(d, PH_OWNERS_SAVES, SAVES_SHARE);
    return kind;
}

static unsigned
draw_below(const PhSimJobs *d, unsigned limit)
{
    return (unsigned)PhRandom_Below(d->random, limit);
}

static PhSimJob *
steps_draw(PhOwnersSim *w, PhSimJobs *d)
{
    PhSimJob *last = NULL;
    if (d->lasting < LASTING_MAX &&
        PhRandom_Chance(d->random, LASTING_SHARE)) {
        PhSimTaskKind kind = {.long_running = true,
                              .resources = {.cpu_milli = TASK_CPU_MILLI}};
        d->lasting++;
        return PhSimTasks_AddStep(&w->tasks, 1 + draw_below(d, 2), &kind,
                                  NULL);
    }
    unsigned steps =
        (d->traits & PH_OWNERS_CHAINS) != 0 ? 1 + draw_below(d, STEPS_MAX) : 1;
    for (unsigned i = 0; i < steps; i++) {
        PhSimTaskKind kind = draw_kind(d);
        unsigned least = kind.gang ? 2 : 1;
        last = PhSimTasks_AddStep(&w->tasks,
                                  least + draw_below(d, TASKS_MAX - least + 1),
                                  &kind, last);
    }
    return last;
}

static void
job_draw(PhOwnersSim *w, PhSimJobs *d)
{
    PhSimJob *last = steps_draw(w, d);
    PhTime cancel_at = 0;
    if (draw_trait(d, PH_OWNERS_CANCELS, CANCEL_SHARE)) {
        cancel_at =
            w->now + (PhTime)draw_below(d, CANCEL_SPREAD_MS) * PH_NS_PER_MS;
    }
    PhSimJob *job = last;
    do {
        job->cancel_at = cancel_at;
        job = job->before;
    } while (job != NULL);
    if (!job_submit(w, last)) {
        PhSimTasks_DropJob(&w->tasks);
    }
}

static void
cancel_record(PhOwnersSim *w, const PhSimJob *job)
{
    PhSchedRecord record = {.tag = PH_SCHED_RECORD_CANCEL,
                            .id = PhStr_FromC(job->id)};
    PhSchedEncoded e = PhSchedRecord_Encode(&record);
    g_array_append_val(w->log, e);
}

void
PhOwnersSim_DrawJobs(PhOwnersSim *w, uint64_t seed, unsigned traits,
                     int64_t until_ms)
{
    w->drawn = g_new0(PhSimJobs, 1);
    w->drawn->random = PhRandom_Create(seed);
    w->drawn->traits = traits;
    w->drawn->until_ms = until_ms;
    if ((traits & PH_OWNERS_FAILURES) != 0) {
        w->tasks.ending_failure_share = FAILURE_SHARE;
        w->tasks.random = PhRandom_Create(seed);
    }
}

int64_t
PhSimJobs_Until(const PhSimJobs *d)
{
    return d == NULL ? 0 : d->until_ms;
}

void
PhSimJobs_Destroy(PhSimJobs *d)
{
    if (d != NULL) {
        PhRandom_Destroy(d->random);
        g_free(d);
    }
}

void
PhSimJobs_Tick(PhOwnersSim *w)
{
    PhSimJobs *d = w->drawn;
    if (d == NULL) {
        return;
    }
    while (PhOwnersSim_ElapsedMs(w) >= d->next_ms &&
           d->next_ms < d->until_ms) {
        job_draw(w, d);
        d->next_ms += 1 + (int64_t)PhRandom_Below(d->random, GAP_SPREAD_MS);
    }
    for (guint i = 0; i < w->tasks.jobs->len; i++) {
        PhSimJob *job = g_ptr_array_index(w->tasks.jobs, i);
        if (job->cancel_at != 0 && job->cancelled_at == 0 &&
            w->now >= job->cancel_at) {
            job->cancelled_at = w->now;
            if (job->step == 0) {
                cancel_record(w, job);
            }
        }
    }
}
