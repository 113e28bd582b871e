#include "interference.h"

#include <math.h>

/* The tail of an idle task, as a share of its target. */
static const double IDLE_TAIL_SHARE = 0.22;
/* Load at the target, and how much of it is planned for: loads swing within
 * the half second that a figure covers (docs/measures/schedule.md). */
static const double TARGET_LOAD = 0.78;
static const double PLANNED_LOAD = 0.70;
/* Factor of a pair that has not been seen, and the weight of that guess
 * against what is seen: in squares of a share of CPU. */
static const double FACTOR_GUESS = 0.30;
static const double GUESS_WEIGHT = 0.02;
static const double FACTOR_MOST = 5.0;
/* Smaller factors are noise: pairs either disturb each other by several times
 * this or not at all (docs/measures/schedule.md). */
static const double FACTOR_LEAST = 0.25;
/* Own load of a task that has not been looked at. */
static const double OWN_LOAD_UNSEEN = 0.45;
/* The chance that load which is added to a serving task takes it over its
 * target at some time of its swing, and the load from which it is certain
 * (docs/measures/schedule.md). */
static const double RISK = 0.35;
static const double CROWDED_LOAD = 0.74;
/* What fills may add this much to a task that is near its target by itself:
 * slowing it would gain nothing. */
static const double TOLERATED_LOAD = 0.05;
/* A task that is over its target for this long stops what is known to disturb
 * it, and for this long, everything that fills: the platform allows 4 s, and
 * a queue needs a second or two to drain. */
static const PhTime OVER_KNOWN = 1200 * PH_NS_PER_MS;
static const PhTime OVER_ALL = 1900 * PH_NS_PER_MS;
/* Nothing more is placed there until this long after. */
static const PhTime OVER_REST = 1000 * PH_NS_PER_MS;
/* What a pair was seen to do keeps this share at each further look. */
static const double LEARN_KEPT = 0.97;
/* Changes of use below this tell nothing. */
static const double CHANGE_LEAST = 0.03;
/* An error beyond this comes from elsewhere. */
static const double ERROR_MOST = 0.5;
/* A queue that has built up drains slowly: from this load on a decrease tells
 * nothing. */
static const double DRAINING_LOAD = 0.88;
/* Figures cover half a second: those closer than about that say the same,
 * and those further apart than this are not compared. */
static const PhTime LEARN_GAP = 400 * PH_NS_PER_MS;
static const PhTime LEARN_SPAN = 1500 * PH_NS_PER_MS;
/* Tails during the start of a task tell nothing. */
static const PhTime WARM_UP = 3000 * PH_NS_PER_MS;
/* Share of a pace that is left when a tail is over its target. */
static const double OVERSHOOT_CUT = 0.5;
enum {
    PERCENT = 100,
    PACE_STEP = 10, /* paces are multiples of this */
    PACE_RISE = 20, /* a smaller rise is not worth an order */
    PACE_LEAST = 5, /* percent; less is none */
};

/* Sums over what was seen of a pair: of changes of use times changes of load,
 * and of squares of changes of use. */
typedef struct PhPair {
    double cross;
    double energy;
} PhPair;

/* Pairs by filling image, then by serving image. */
struct PhInterference {
    PhPair pairs[PH_SCHED_IMAGES_MAX][PH_SCHED_IMAGES_MAX];
};

/* Creates a table in which no pair has been seen. */
PhInterference *
PhInterference_Create(void)
{
    return g_new0(PhInterference, 1);
}

/* Releases the table; NULL is allowed. */
void
PhInterference_Destroy(PhInterference *x)
{
    g_free(x);
}

/* Gives the estimate for a pair: a guess until enough was seen. */
static double
pair_estimate(const PhPair *pair)
{
    double factor = (pair->cross + GUESS_WEIGHT * FACTOR_GUESS) /
                    (pair->energy + GUESS_WEIGHT);
    return CLAMP(factor, 0, FACTOR_MOST);
}

/* Gives the factor of a pair of images. */
double
PhInterference_Factor(const PhInterference *x, uint32_t fill, uint32_t serving)
{
    double factor = pair_estimate(&x->pairs[fill][serving]);
    return factor < FACTOR_LEAST ? 0 : factor;
}

/* Gives the name of each image by its number. */
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

/* Describes every pair that was seen. */
PhSchedRecord
PhInterference_Record(const PhInterference *x, const PhSchedModel *model)
{
    PhStr names[PH_SCHED_IMAGES_MAX] = {0};
    GArray *items = g_array_new(FALSE, TRUE, sizeof(PhSchedPairRecord));
    names_collect(model, names);
    for (uint32_t i = 1; i < PH_SCHED_IMAGES_MAX; i++) {
        for (uint32_t j = 1; j < PH_SCHED_IMAGES_MAX; j++) {
            const PhPair *pair = &x->pairs[i][j];
            if (pair->energy > 0) {
                PhSchedPairRecord item = {.fill = PhStr_Dup(names[i]),
                                          .serving = PhStr_Dup(names[j]),
                                          .cross = pair->cross,
                                          .energy = pair->energy};
                g_array_append_val(items, item);
            }
        }
    }
    PhSchedRecord record = {.tag = PH_SCHED_RECORD_PAIRS,
                            .as.pairs.count = items->len};
    record.as.pairs.items = (PhSchedPairRecord *)g_array_free(items, FALSE);
    return record;
}

/* Takes over what another owner has learned. */
void
PhInterference_Apply(PhInterference *x, PhSchedModel *model,
                     const PhSchedRecord *record)
{
    for (uint32_t i = 0; i < record->as.pairs.count; i++) {
        const PhSchedPairRecord *item = &record->as.pairs.items[i];
        PhPair *pair = &x->pairs[PhSchedModel_Image(model, item->fill)]
                                [PhSchedModel_Image(model, item->serving)];
        pair->cross = item->cross;
        pair->energy = item->energy;
    }
}

/* Turns a tail into a load. */
static double
load_of(const PhSchedTask *task)
{
    double target = (double)PhSchedTask_Step(task)->tail_target / PH_NS_PER_MS;
    if (task->figure <= 0 || target <= 0) {
        return 0;
    }
    return MAX(1 - target * IDLE_TAIL_SHARE / (double)task->figure, 0);
}

/* Tells whether a task's figure at this look says something of its tail. */
static bool
has_tail(const PhSchedTask *task, PhTime now)
{
    return PhSchedStep_Serves(PhSchedTask_Step(task)) &&
           task->state == PH_SCHED_TASK_RUNNING && task->figure_at == now &&
           task->figure > 0 && now - task->since >= WARM_UP;
}

/* Finds the use of an image, or NULL. */
static PhSchedFillUse *
use_find(GArray *list, uint32_t image)
{
    for (guint i = 0; i < list->len; i++) {
        PhSchedFillUse *use = &g_array_index(list, PhSchedFillUse, i);
        if (use->image == image) {
            return use;
        }
    }
    return NULL;
}

/* Gives the pace of an image on a worker. */
int
PhInterference_Percent(const PhSchedWorker *w, uint32_t image)
{
    const PhSchedFillUse *use = use_find(w->fill_use, image);
    return use == NULL ? PERCENT : use->percent;
}

/* Adds up the use of each filling image on a worker. */
static GArray *
uses_collect(const PhSchedWorker *w)
{
    GArray *list = g_array_new(FALSE, TRUE, sizeof(PhSchedFillUse));
    double capacity = (double)MAX(w->entry.capacity.cpu_milli, 1);
    for (guint i = 0; i < w->tasks->len; i++) {
        const PhSchedTask *task = g_ptr_array_index(w->tasks, i);
        const PhSchedStep *step = PhSchedTask_Step(task);
        if (!step->fills) {
            continue;
        }
        PhSchedFillUse *use = use_find(list, step->image_number);
        if (use == NULL) {
            PhSchedFillUse fresh = {
                .image = step->image_number,
                .percent = PhInterference_Percent(w, step->image_number)};
            g_array_append_val(list, fresh);
            use = &g_array_index(list, PhSchedFillUse, list->len - 1);
        }
        bool seen = task->state == PH_SCHED_TASK_RUNNING && task->figure > 0;
        use->share += seen ? (double)task->figure / capacity : 0;
        use->full_share += (double)step->room.cpu_milli / capacity;
    }
    return list;
}

/* Gives how much the use of an image has changed since the last look. */
static double
use_change(const PhSchedWorker *w, const PhSchedFillUse *use)
{
    const PhSchedFillUse *before = use_find(w->base_use, use->image);
    return use->share - (before == NULL ? 0 : before->share);
}

/* Collects the changes of use of all images, those that have gone included. */
static GArray *
changes_collect(const PhSchedWorker *w, const GArray *uses)
{
    GArray *list = g_array_new(FALSE, TRUE, sizeof(PhSchedFillUse));
    for (guint i = 0; i < uses->len; i++) {
        PhSchedFillUse use = g_array_index(uses, PhSchedFillUse, i);
        use.share = use_change(w, &use);
        g_array_append_val(list, use);
    }
    for (guint i = 0; i < w->base_use->len; i++) {
        PhSchedFillUse use = g_array_index(w->base_use, PhSchedFillUse, i);
        if (use_find((GArray *)uses, use.image) == NULL) {
            use.share = -use.share;
            g_array_append_val(list, use);
        }
    }
    return list;
}

/* Adds what the change of one serving task's load tells of the pairs: what
 * the estimates leave unexplained is shared out by the squares of the
 * changes. */
static void
learn_task(PhInterference *x, const PhSchedTask *task, double load,
           const GArray *changes)
{
    uint32_t serving = PhSchedTask_Step(task)->image_number;
    double error = load - task->base_load;
    double energy = 0;
    if (task->base_load > DRAINING_LOAD && error < 0) {
        return;
    }
    for (guint i = 0; i < changes->len; i++) {
        const PhSchedFillUse *c = &g_array_index(changes, PhSchedFillUse, i);
        error -= pair_estimate(&x->pairs[c->image][serving]) * c->share;
        energy += c->share * c->share;
    }
    error = CLAMP(error, -ERROR_MOST, ERROR_MOST);
    for (guint i = 0; i < changes->len; i++) {
        const PhSchedFillUse *c = &g_array_index(changes, PhSchedFillUse, i);
        PhPair *pair = &x->pairs[c->image][serving];
        double square = c->share * c->share;
        if (fabs(c->share) < CHANGE_LEAST) {
            continue;
        }
        double explained = pair_estimate(pair) * c->share;
        pair->cross = LEARN_KEPT * pair->cross +
                      c->share * (explained + error * square / energy);
        pair->energy = LEARN_KEPT * pair->energy + square;
    }
}

/* Load that the tasks that fill on a worker add to a serving image. */
typedef struct PhFillLoad {
    double seen; /* by what they were seen to use */
    double full; /* at full pace */
} PhFillLoad;

/* Adds up the load that tasks that fill add to a serving image. */
static PhFillLoad
fill_load(const PhInterference *x, const GArray *uses, uint32_t serving)
{
    PhFillLoad load = {0};
    for (guint i = 0; i < uses->len; i++) {
        const PhSchedFillUse *use = &g_array_index(uses, PhSchedFillUse, i);
        double factor = PhInterference_Factor(x, use->image, serving);
        load.seen += factor * use->share;
        load.full += factor * use->full_share;
    }
    return load;
}

/* Notes since when a serving task is over its target. */
static void
note_over(PhSchedTask *task, PhTime now)
{
    if (task->figure_at != now || load_of(task) <= TARGET_LOAD) {
        task->over_since = 0;
    }
    else if (task->over_since == 0) {
        task->over_since = now;
    }
}

/* Learns from one serving task, and starts the next comparison. */
static void
learn_from(PhInterference *x, PhSchedTask *task, const GArray *changes,
           PhTime now)
{
    if (task->base_at != 0 && now - task->base_at <= LEARN_SPAN) {
        learn_task(x, task, task->load, changes);
    }
    task->base_load = task->load;
    task->base_at = now;
}

/* Learns from the figures of a look at a worker.  Looks that come sooner than
 * a figure's span after the one before are only used for the loads. */
void
PhInterference_Learn(PhInterference *x, PhSchedWorker *w, PhTime now)
{
    GArray *uses = uses_collect(w);
    GArray *changes = changes_collect(w, uses);
    bool due = now - w->base_at >= LEARN_GAP;
    for (guint i = 0; i < w->tasks->len; i++) {
        PhSchedTask *task = g_ptr_array_index(w->tasks, i);
        note_over(task, now);
        if (!has_tail(task, now)) {
            continue;
        }
        uint32_t serving = PhSchedTask_Step(task)->image_number;
        task->load = load_of(task);
        task->load_at = now;
        if (due) {
            learn_from(x, task, changes, now);
        }
        task->own_load = MAX(task->load - fill_load(x, uses, serving).seen, 0);
    }
    if (due) {
        w->base_at = now;
        g_array_set_size(w->base_use, 0);
        g_array_append_vals(w->base_use, uses->data, uses->len);
    }
    g_array_free(changes, TRUE);
    g_array_free(w->fill_use, TRUE);
    w->fill_use = uses;
}

/* Gives the own load of a serving task, as far as it is known. */
static double
own_load(const PhSchedTask *task)
{
    return task->load_at == 0 ? OWN_LOAD_UNSEEN : task->own_load;
}

/* Gives the mean factor of the filling images that were seen beside a serving
 * image. */
static double
strictness(const PhInterference *x, uint32_t serving)
{
    double sum = 0;
    int seen = 0;
    for (uint32_t i = 0; i < PH_SCHED_IMAGES_MAX; i++) {
        if (x->pairs[i][serving].energy > 0) {
            sum += PhInterference_Factor(x, i, serving);
            seen++;
        }
    }
    return seen == 0 ? 0 : sum / seen;
}

/* Gives how much filling images disturb the tasks on a worker, on average. */
double
PhInterference_Strictness(const PhSchedWorker *w)
{
    double sum = 0;
    for (guint i = 0; i < w->serving->len; i++) {
        sum += g_array_index(w->serving, PhSchedServing, i).strictness;
    }
    return w->serving->len == 0 ? 0 : sum / w->serving->len;
}

/* Works out the load that the serving tasks on a worker bear. */
void
PhInterference_Refresh(const PhInterference *x, PhSchedWorker *w)
{
    GArray *uses = uses_collect(w);
    g_array_set_size(w->serving, 0);
    for (guint i = 0; i < w->tasks->len; i++) {
        const PhSchedTask *task = g_ptr_array_index(w->tasks, i);
        const PhSchedStep *step = PhSchedTask_Step(task);
        if (!PhSchedStep_Serves(step)) {
            continue;
        }
        PhSchedServing serving = {
            .image = step->image_number,
            .load =
                own_load(task) + fill_load(x, uses, step->image_number).full,
            .strictness = strictness(x, step->image_number)};
        g_array_append_val(w->serving, serving);
    }
    g_array_free(uses, TRUE);
}

/* Tells whether tasks that fill with this image are on a worker. */
static bool
image_fills_on(const PhSchedWorker *w, uint32_t image)
{
    for (guint i = 0; i < w->tasks->len; i++) {
        const PhSchedStep *step =
            PhSchedTask_Step(g_ptr_array_index(w->tasks, i));
        if (step->fills && step->image_number == image) {
            return true;
        }
    }
    return false;
}

/* Gives the expected harm of a task of the step on the worker.  One task of a
 * pair that was not seen is worth a try: it shows what the pair does. */
double
PhInterference_Cost(const PhInterference *x, const PhSchedWorker *w,
                    const PhSchedStep *step)
{
    double share = (double)MAX(step->room.cpu_milli, 1) /
                   (double)MAX(w->entry.capacity.cpu_milli, 1);
    double harm = 0;
    bool tried = image_fills_on(w, step->image_number);
    for (guint i = 0; i < w->serving->len; i++) {
        const PhSchedServing *s =
            &g_array_index(w->serving, PhSchedServing, i);
        bool unseen =
            x->pairs[step->image_number][s->image].energy < GUESS_WEIGHT;
        double factor = PhInterference_Factor(x, step->image_number, s->image);
        bool crowded = s->load + factor * share > CROWDED_LOAD &&
                       factor * share > TOLERATED_LOAD;
        if (!unseen || tried || crowded) {
            harm += factor * (crowded ? 1 : RISK);
        }
    }
    return harm;
}

/* Slows the filling images so far that one serving task stays within its
 * target: each in proportion to what it adds. */
static void
pace_for(const PhInterference *x, PhSchedWorker *w, const PhSchedTask *task,
         double *paces)
{
    uint32_t serving = PhSchedTask_Step(task)->image_number;
    double budget = MAX(PLANNED_LOAD - own_load(task), TOLERATED_LOAD);
    double sum = 0;
    double squares = 0;
    for (guint i = 0; i < w->fill_use->len; i++) {
        const PhSchedFillUse *u =
            &g_array_index(w->fill_use, PhSchedFillUse, i);
        double added = PhInterference_Factor(x, u->image, serving) *
                       u->full_share * paces[i];
        sum += added;
        squares += added * added;
    }
    double excess = sum - budget;
    for (guint i = 0; i < w->fill_use->len && excess > 0; i++) {
        const PhSchedFillUse *u =
            &g_array_index(w->fill_use, PhSchedFillUse, i);
        double added = PhInterference_Factor(x, u->image, serving) *
                       u->full_share * paces[i];
        /* What adds most gives up most. */
        double cut = MIN(excess * added * added / squares, added);
        paces[i] *= added > 0 ? 1 - cut / added : 1;
    }
}

/* Slows the filling images at once when a serving task is over its target:
 * all that disturb it stop if it stays there. */
static void
cut_for(const PhInterference *x, PhSchedWorker *w, const PhSchedTask *task,
        PhTime now, double *paces)
{
    uint32_t serving = PhSchedTask_Step(task)->image_number;
    if (task->over_since == 0) {
        return;
    }
    bool stays = now - task->over_since >= OVER_KNOWN;
    bool all = now - task->over_since >= OVER_ALL;
    if (stays) {
        w->fill_barred_until = now + OVER_REST;
    }
    bool caused = fill_load(x, w->fill_use, serving).seen > TOLERATED_LOAD;
    for (guint i = 0; i < w->fill_use->len; i++) {
        const PhSchedFillUse *u =
            &g_array_index(w->fill_use, PhSchedFillUse, i);
        if (!all && PhInterference_Factor(x, u->image, serving) <= 0) {
            continue;
        }
        if (stays) {
            paces[i] = 0;
        }
        else if (caused) {
            paces[i] =
                MIN(paces[i], OVERSHOOT_CUT * (double)u->percent / PERCENT);
        }
    }
}

/* Sets the pace of each filling image on a worker. */
void
PhInterference_Pace(const PhInterference *x, PhSchedWorker *w, PhTime now)
{
    guint count = w->fill_use->len;
    double *paces = g_new(double, MAX(count, 1));
    for (guint i = 0; i < count; i++) {
        paces[i] = 1;
    }
    for (guint i = 0; i < w->tasks->len; i++) {
        const PhSchedTask *task = g_ptr_array_index(w->tasks, i);
        if (!PhSchedStep_Serves(PhSchedTask_Step(task))) {
            continue;
        }
        pace_for(x, w, task, paces);
        cut_for(x, w, task, now, paces);
    }
    for (guint i = 0; i < count; i++) {
        PhSchedFillUse *u = &g_array_index(w->fill_use, PhSchedFillUse, i);
        int percent = (int)(paces[i] * PERCENT);
        percent = percent < PACE_LEAST ? 0 : percent;
        bool rises = percent >= u->percent;
        if (!rises || percent - u->percent >= PACE_RISE ||
            percent >= PERCENT) {
            u->percent = percent - percent % PACE_STEP;
        }
    }
    g_free(paces);
}
