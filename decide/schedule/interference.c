#include "interference.h"

#include <math.h>
#include <string.h>

/* Tail latency of an idle task, as a share of its target.  Another value would
 * scale all loads alike and change no decision. */
static const double IDLE_TAIL_SHARE = 0.22;
/* Load at which the tail latency equals the target. */
static const double TARGET_LOAD = 0.78;
/* Loads deviate from base load and factors with a standard deviation of
 * 0.05, for a second or two at a time (docs/measures/schedule.md).  The next
 * three constants follow from that. */
/* Variance of a sample: 0.05 squared, rounded up. */
static const double SAMPLE_VARIANCE = 0.003;
/* Scale of the logistic curve of the probability to be over the target: 0.05 *
 * sqrt(3) / pi. */
static const double OVER_TARGET_SCALE = 0.028;
/* Part of a deviation that persists until an order takes effect. */
static const double ERROR_PERSISTENCE = 0.5;
/* Errors are clamped to this many standard deviations: larger ones come from
 * something that the model does not contain. */
static const double DEVIATIONS_MAX = 3;
/* Prior of a pair that has not been seen: most factors are 0.1 to 0.3, some
 * about 2. */
static const double PRIOR_FACTOR = 0.15;
static const double PRIOR_VARIANCE = 0.64;
static const double FACTOR_MAX = 5.0;
/* Factors drift over time: their variance has a lower bound and grows at each
 * sample. */
static const double VARIANCE_MIN = 0.0025;
static const double VARIANCE_DRIFT = 0.0002;
/* Placement adds this many standard deviations to a factor whose variance is
 * above the minimum. */
static const double PLACEMENT_DEVIATIONS = 0.5;
/* A sample covers the last half second, and the next sample and the order that
 * it causes take about as long.  Placed tasks stay longer. */
static const PhTime PACE_HORIZON = 900 * PH_NS_PER_MS;
static const PhTime PLACE_HORIZON = 2500 * PH_NS_PER_MS;
/* A serving task over its target outweighs this many backfill tasks
 * (docs/measures/schedule.md). */
static const double VIOLATION_WEIGHT = 1.5;
/* A queue that was loaded this high drains slowly: for DRAINING_TIME its tail
 * latency says nothing about the load. */
static const double DRAINING_LOAD = 0.88;
static const PhTime DRAINING_TIME = 1500 * PH_NS_PER_MS;
/* Samples cover half a second, so that closer ones repeat the previous one. */
static const PhTime LEARN_INTERVAL = 400 * PH_NS_PER_MS;
/* The tail latency of a task that is starting is not used. */
static const PhTime WARM_UP_TIME = 1500 * PH_NS_PER_MS;
enum {
    PERCENT = 100,
    PLACE_PREDICTIONS = 3, /* within PLACE_HORIZON */
    /* A slowed task may soon use this share of its CPU again. */
    BACKFILL_USE_MIN_PERCENT = 30,
    PACE_STEP_PERCENT = 10,     /* paces are multiples of this */
    PACE_RISE_MIN_PERCENT = 20, /* a smaller rise is not worth an order */
};

/* Estimated interference factor of a pair of images. */
typedef struct PhPair {
    double factor;
    double variance;
    bool seen; /* at least once */
} PhPair;

/* Pairs by backfill image, then by serving image, and the fits of the load
 * filters by serving image. */
struct PhInterference {
    PhPair pairs[PH_SCHED_IMAGES_MAX][PH_SCHED_IMAGES_MAX];
    PhSchedFits fits[PH_SCHED_IMAGES_MAX];
};

PhInterference *
PhInterference_Create(void)
{
    PhInterference *x = g_new0(PhInterference, 1);
    for (int i = 0; i < PH_SCHED_IMAGES_MAX; i++) {
        for (int j = 0; j < PH_SCHED_IMAGES_MAX; j++) {
            x->pairs[i][j] =
                (PhPair){.factor = PRIOR_FACTOR, .variance = PRIOR_VARIANCE};
        }
    }
    return x;
}

/* Accepts NULL. */
void
PhInterference_Destroy(PhInterference *x)
{
    g_free(x);
}

double
PhInterference_Factor(const PhInterference *x, uint32_t backfill,
                      uint32_t serving)
{
    return x->pairs[backfill][serving].factor;
}

/* Upper estimate of a factor, for placement. */
static double
factor_bound(const PhInterference *x, uint32_t backfill, uint32_t serving)
{
    const PhPair *pair = &x->pairs[backfill][serving];
    return PhInterference_Factor(x, backfill, serving) +
           PLACEMENT_DEVIATIONS * sqrt(MAX(pair->variance - VARIANCE_MIN, 0));
}

static void
names_collect(const PhSchedModel *model, PhStr *names)
{
    GHashTableIter iter;
    gpointer name;
    gpointer number;
    g_hash_table_iter_init(&iter, model->images);
    while (g_hash_table_iter_next(&iter, &name, &number)) {
        names[GPOINTER_TO_UINT(number)] = *(const PhStr *)name;
    }
}

PhSchedRecord
PhInterference_Record(const PhInterference *x, const PhSchedModel *model)
{
    PhStr names[PH_SCHED_IMAGES_MAX] = {0};
    GArray *items = g_array_new(FALSE, TRUE, sizeof(PhSchedPairRecord));
    names_collect(model, names);
    for (uint32_t i = 1; i < PH_SCHED_IMAGES_MAX; i++) {
        for (uint32_t j = 1; j < PH_SCHED_IMAGES_MAX; j++) {
            const PhPair *pair = &x->pairs[i][j];
            if (pair->seen) {
                PhSchedPairRecord item = {
                    .backfill = PhStr_Dup(names[i]),
                    .serving = PhStr_Dup(names[j]),
                    .factor = pair->factor,
                    .variance = pair->variance,
                    .filter = (uint32_t)PhSchedFits_Best(&x->fits[j])};
                g_array_append_val(items, item);
            }
        }
    }
    PhSchedRecord record = {.tag = PH_SCHED_RECORD_PAIRS,
                            .as.pairs.count = items->len};
    record.as.pairs.items = (PhSchedPairRecord *)g_array_free(items, FALSE);
    return record;
}

void
PhInterference_Apply(PhInterference *x, PhSchedModel *model,
                     const PhSchedRecord *record)
{
    for (uint32_t i = 0; i < record->as.pairs.count; i++) {
        const PhSchedPairRecord *item = &record->as.pairs.items[i];
        uint32_t backfill = PhSchedModel_ImageNumber(model, item->backfill);
        uint32_t serving = PhSchedModel_ImageNumber(model, item->serving);
        x->pairs[backfill][serving] =
            (PhPair){.factor = CLAMP(item->factor, 0, FACTOR_MAX),
                     .variance = MAX(item->variance, VARIANCE_MIN),
                     .seen = true};
        PhSchedFits_Prefer(&x->fits[serving], (int)item->filter);
    }
}

/* The inverse of the queueing formula in interference.h. */
static double
load_from_tail(const PhSchedTask *task)
{
    double target =
        (double)PhSchedTask_Step(task)->tail_latency_target / PH_NS_PER_MS;
    if (task->usage_sample <= 0 || target <= 0) {
        return 0;
    }
    return MAX(1 - target * IDLE_TAIL_SHARE / (double)task->usage_sample, 0);
}

/* Reports whether the task has a current tail latency that says something
 * about its load.  A task that an earlier owner placed (fence 0) is no longer
 * starting. */
static bool
has_valid_tail(const PhSchedTask *task, PhTime now)
{
    bool warm = task->fence == 0 || now - task->since >= WARM_UP_TIME;
    return PhSchedStep_Serves(PhSchedTask_Step(task)) && warm &&
           task->state == PH_SCHED_TASK_RUNNING &&
           task->usage_sampled_at == now && task->usage_sample > 0 &&
           task->draining_until <= now;
}

static PhSchedBackfillUse *
use_find(GArray *list, uint32_t image)
{
    for (guint i = 0; i < list->len; i++) {
        PhSchedBackfillUse *use = &g_array_index(list, PhSchedBackfillUse, i);
        if (use->image == image) {
            return use;
        }
    }
    return NULL;
}

int
PhInterference_PacePercent(const PhSchedWorker *w, uint32_t image)
{
    const PhSchedBackfillUse *use = use_find(w->backfill_use, image);
    return use == NULL ? PERCENT : use->percent;
}

/* Sums the CPU use of each backfill image on a worker. */
static GArray *
uses_collect(const PhSchedWorker *w)
{
    GArray *list = g_array_new(FALSE, TRUE, sizeof(PhSchedBackfillUse));
    double capacity = (double)MAX(w->entry.capacity.cpu_milli, 1);
    for (guint i = 0; i < w->tasks->len; i++) {
        const PhSchedTask *task = g_ptr_array_index(w->tasks, i);
        const PhSchedStep *step = PhSchedTask_Step(task);
        if (!step->fills) {
            continue;
        }
        PhSchedBackfillUse *use = use_find(list, step->image_number);
        if (use == NULL) {
            PhSchedBackfillUse fresh = {
                .image = step->image_number,
                .percent = PhInterference_PacePercent(w, step->image_number)};
            g_array_append_val(list, fresh);
            use = &g_array_index(list, PhSchedBackfillUse, list->len - 1);
        }
        bool seen =
            task->state == PH_SCHED_TASK_RUNNING && task->usage_sample > 0;
        use->tasks++;
        use->share += seen ? (double)task->usage_sample / capacity : 0;
        use->full_pace_share += (double)step->resources.cpu_milli / capacity;
    }
    return list;
}

/* Distributes a prediction error among the factors of the backfill images,
 * like a Kalman filter that keeps no covariances between them. */
static void
pairs_correct(PhInterference *x, const GArray *uses, uint32_t serving,
              double error, double variance)
{
    for (guint i = 0; i < uses->len; i++) {
        const PhSchedBackfillUse *u =
            &g_array_index(uses, PhSchedBackfillUse, i);
        PhPair *pair = &x->pairs[u->image][serving];
        double gain = pair->variance * u->share / variance;
        if (u->share <= 0) {
            continue;
        }
        pair->factor = CLAMP(pair->factor + gain * error, 0, FACTOR_MAX);
        pair->variance -= gain * u->share * pair->variance;
        pair->variance = MAX(pair->variance + VARIANCE_DRIFT, VARIANCE_MIN);
        pair->seen = true;
    }
}

static void
learn_task(PhInterference *x, PhSchedTask *task, const GArray *uses,
           PhTime now)
{
    PhSchedStage *stage = task->stage;
    uint32_t serving = PhSchedTask_Step(task)->image_number;
    double load = load_from_tail(task);
    double backfill_load = 0;
    double variance = SAMPLE_VARIANCE;
    if (stage->load == NULL) {
        stage->load = PhSchedLoad_Create(now);
    }
    PhSchedLoad_Advance(stage->load, now);
    for (guint i = 0; i < uses->len; i++) {
        const PhSchedBackfillUse *u =
            &g_array_index(uses, PhSchedBackfillUse, i);
        const PhPair *pair = &x->pairs[u->image][serving];
        backfill_load +=
            PhInterference_Factor(x, u->image, serving) * u->share;
        variance += pair->variance * u->share * u->share;
    }
    double deviation = PhSchedLoad_Deviation(stage->load);
    double total = variance + deviation * deviation;
    double most = DEVIATIONS_MAX * sqrt(total);
    double error =
        load - backfill_load - PhSchedLoad_Expected(stage->load, now);
    task->load_error = CLAMP(error, -most, most);
    pairs_correct(x, uses, serving, task->load_error, total);
    PhSchedLoad_Observe(stage->load, load - backfill_load, variance,
                        &x->fits[serving]);
    if (load > DRAINING_LOAD) {
        task->draining_until = now + DRAINING_TIME;
    }
}

/* Learning skips samples that overlap the previous one. */
void
PhInterference_Learn(PhInterference *x, PhSchedWorker *w, PhTime now)
{
    GArray *uses = uses_collect(w);
    bool due = now - w->learned_at >= LEARN_INTERVAL;
    for (guint i = 0; i < w->tasks->len; i++) {
        PhSchedTask *task = g_ptr_array_index(w->tasks, i);
        PhSchedTask_TrackTailLatency(task, now);
        if (due && has_valid_tail(task, now)) {
            learn_task(x, task, uses, now);
        }
    }
    w->learned_at = due ? now : w->learned_at;
    g_array_free(w->backfill_use, TRUE);
    w->backfill_use = uses;
}

/* Mean factor of the backfill images that were seen beside a serving image. */
static double
sensitivity(const PhInterference *x, uint32_t serving)
{
    double sum = 0;
    int seen = 0;
    for (uint32_t i = 0; i < PH_SCHED_IMAGES_MAX; i++) {
        if (x->pairs[i][serving].seen) {
            sum += PhInterference_Factor(x, i, serving);
            seen++;
        }
    }
    return seen == 0 ? 0 : sum / seen;
}

double
PhInterference_Sensitivity(const PhSchedWorker *w)
{
    double sum = 0;
    for (guint i = 0; i < w->serving->len; i++) {
        sum += g_array_index(w->serving, PhSchedServing, i).sensitivity;
    }
    return w->serving->len == 0 ? 0 : sum / w->serving->len;
}

/* Upper estimate of the load that all backfill tasks on a worker add to a
 * serving image at full pace. */
static double
backfill_load_bound(const PhInterference *x, const GArray *uses,
                    uint32_t serving)
{
    double load = 0;
    for (guint i = 0; i < uses->len; i++) {
        const PhSchedBackfillUse *u =
            &g_array_index(uses, PhSchedBackfillUse, i);
        load += factor_bound(x, u->image, serving) * u->full_pace_share;
    }
    return load;
}

/* Highest predicted base load within PLACE_HORIZON. */
static double
base_load_peak(const PhSchedLoad *base_load, PhTime now)
{
    double highest = 0;
    for (int i = 0; i <= PLACE_PREDICTIONS; i++) {
        PhTime at = now + PLACE_HORIZON * i / PLACE_PREDICTIONS;
        highest = MAX(highest, PhSchedLoad_Expected(base_load, at));
    }
    return highest;
}

/* Estimated CPU use in milli-cores: of a serving task, its declared CPU times
 * its predicted load; of a backfill task, its sample, as it gets no more CPU
 * than is left.  A slowed backfill task may soon use more than it did. */
static int64_t
shared_use(const PhSchedTask *task, PhTime now)
{
    const PhSchedStep *step = PhSchedTask_Step(task);
    int64_t declared = step->resources.cpu_milli;
    if (PhSchedStep_Serves(step)) {
        return (int64_t)((double)declared *
                         PhSchedLoad_Expected(task->stage->load, now));
    }
    if (!step->fills) {
        return 0; /* plain tasks count with their declared CPU */
    }
    int64_t paced =
        declared * MAX(task->percent, BACKFILL_USE_MIN_PERCENT) / PERCENT;
    bool seen = task->state == PH_SCHED_TASK_RUNNING &&
                task->usage_sample > 0 && task->percent == PERCENT &&
                task->percent_sent == PERCENT;
    return seen ? MIN(task->usage_sample, declared) : paced;
}

void
PhInterference_Refresh(const PhInterference *x, PhSchedWorker *w, PhTime now)
{
    GArray *uses = uses_collect(w);
    g_array_set_size(w->serving, 0);
    w->shared_cpu_milli = 0;
    for (guint i = 0; i < w->tasks->len; i++) {
        const PhSchedTask *task = g_ptr_array_index(w->tasks, i);
        const PhSchedStep *step = PhSchedTask_Step(task);
        w->shared_cpu_milli += shared_use(task, now);
        const PhSchedLoad *base_load = task->stage->load;
        if (!PhSchedStep_Serves(step)) {
            continue;
        }
        PhSchedServing serving = {
            .image = step->image_number,
            .base_load = base_load_peak(base_load, now) +
                         PhSchedLoad_Deviation(base_load),
            .backfill_load = backfill_load_bound(x, uses, step->image_number),
            .sensitivity = sensitivity(x, step->image_number)};
        g_array_append_val(w->serving, serving);
    }
    g_array_free(uses, TRUE);
}

/* Probability that a serving task with a predicted load is over its target.
 * Above the target it is extended as a straight line, so that more load never
 * appears free. */
static double
over_target_probability(double load)
{
    double z = (load - TARGET_LOAD) / OVER_TARGET_SCALE;
    return z >= 0 ? 0.5 + z / 4 : 1 / (1 + exp(-z));
}

/* Derivative of that probability. */
static double
over_target_slope(double load)
{
    double chance = MIN(over_target_probability(load), 0.5);
    return chance * (1 - chance) / OVER_TARGET_SCALE;
}

double
PhInterference_Cost(const PhInterference *x, const PhSchedWorker *w,
                    const PhSchedStep *step)
{
    double share = (double)MAX(step->resources.cpu_milli, 1) /
                   (double)MAX(w->entry.capacity.cpu_milli, 1);
    double cost = 0;
    for (guint i = 0; i < w->serving->len; i++) {
        const PhSchedServing *s =
            &g_array_index(w->serving, PhSchedServing, i);
        double added = factor_bound(x, step->image_number, s->image) * share;
        double load = s->base_load + s->backfill_load;
        cost += over_target_probability(load + added) -
                over_target_probability(load);
    }
    return cost;
}

/* Predicted load of a serving task when the next order takes effect, with the
 * planned paces. */
static double
load_ahead(const PhInterference *x, const PhSchedWorker *w,
           const PhSchedTask *task, PhTime now, const double *paces)
{
    uint32_t serving = PhSchedTask_Step(task)->image_number;
    double load =
        PhSchedLoad_Expected(task->stage->load, now + PACE_HORIZON) +
        (task->usage_sampled_at == now ? ERROR_PERSISTENCE * task->load_error
                                       : 0);
    for (guint i = 0; i < w->backfill_use->len; i++) {
        const PhSchedBackfillUse *u =
            &g_array_index(w->backfill_use, PhSchedBackfillUse, i);
        load += PhInterference_Factor(x, u->image, serving) *
                u->full_pace_share * paces[i];
    }
    return load;
}

/* Adds to each image the probability per backfill task at full pace that it
 * pushes this serving task over its target. */
static void
violations_add(const PhInterference *x, const PhSchedWorker *w,
               const PhSchedTask *task, PhTime now, const double *paces,
               double *violations)
{
    uint32_t serving = PhSchedTask_Step(task)->image_number;
    double slope = over_target_slope(load_ahead(x, w, task, now, paces));
    for (guint i = 0; i < w->backfill_use->len; i++) {
        const PhSchedBackfillUse *u =
            &g_array_index(w->backfill_use, PhSchedBackfillUse, i);
        violations[i] += slope * PhInterference_Factor(x, u->image, serving) *
                         u->full_pace_share / u->tasks;
    }
}

/* Finds the image with the most violations that is not stopped yet; false if
 * none has more than its tasks are worth. */
static bool
worst_image(const PhInterference *x, const PhSchedWorker *w, PhTime now,
            const double *paces, double *violations, guint *worst)
{
    double most = 1 / VIOLATION_WEIGHT;
    bool found = false;
    memset(violations, 0, sizeof(*violations) * w->backfill_use->len);
    for (guint i = 0; i < w->tasks->len; i++) {
        const PhSchedTask *task = g_ptr_array_index(w->tasks, i);
        if (PhSchedStep_Serves(PhSchedTask_Step(task))) {
            violations_add(x, w, task, now, paces, violations);
        }
    }
    for (guint i = 0; i < w->backfill_use->len; i++) {
        if (paces[i] > 0 && violations[i] > most) {
            most = violations[i];
            *worst = i;
            found = true;
        }
    }
    return found;
}

/* Slows the worst image step by step until no image causes more violations
 * than its tasks are worth. */
static void
paces_plan(const PhInterference *x, const PhSchedWorker *w, PhTime now,
           double *paces)
{
    double *violations = g_new(double, MAX(w->backfill_use->len, 1));
    guint worst;
    while (worst_image(x, w, now, paces, violations, &worst)) {
        paces[worst] =
            MAX(paces[worst] - (double)PACE_STEP_PERCENT / PERCENT, 0);
    }
    g_free(violations);
}

void
PhInterference_Pace(const PhInterference *x, PhSchedWorker *w, PhTime now)
{
    guint count = w->backfill_use->len;
    double *paces = g_new(double, MAX(count, 1));
    for (guint i = 0; i < count; i++) {
        paces[i] = 1;
    }
    paces_plan(x, w, now, paces);
    for (guint i = 0; i < w->tasks->len; i++) {
        const PhSchedTask *task = g_ptr_array_index(w->tasks, i);
        if (PhSchedStep_Serves(PhSchedTask_Step(task))) {
            PhInterference_ThrottleFor(x, w, task, now, paces);
        }
    }
    for (guint i = 0; i < count; i++) {
        PhSchedBackfillUse *u =
            &g_array_index(w->backfill_use, PhSchedBackfillUse, i);
        int percent = (int)(paces[i] * PERCENT + 0.5);
        bool rises = percent >= u->percent;
        if (!rises || percent - u->percent >= PACE_RISE_MIN_PERCENT ||
            percent >= PERCENT) {
            u->percent = percent - percent % PACE_STEP_PERCENT;
        }
    }
    g_free(paces);
}
