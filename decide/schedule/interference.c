#include "interference.h"

#include <math.h>

/* The tail of an idle task, as a share of its target. */
static const double IDLE_TAIL_SHARE = 0.22;
/* Load at the target, and how much of it is planned for: loads swing within
 * the half second that a figure covers (docs/measures/schedule.md). */
static const double TARGET_LOAD = 0.78;
static const double PLANNED_LOAD = 0.70;
/* Factor of a pair that has not been seen. */
static const double FACTOR_UNSEEN = 0.5;
static const double FACTOR_MOST = 5.0;
/* Own load of a task that has not been looked at. */
static const double OWN_LOAD_UNSEEN = 0.45;
/* Normalised least mean squares: step, and a floor under the energy. */
static const double LEARN_STEP = 0.5;
static const double LEARN_FLOOR = 0.01;
/* Figures further apart than this are not compared. */
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

struct PhInterference {
    double factors[PH_SCHED_IMAGES_MAX][PH_SCHED_IMAGES_MAX];
};

/* Creates a table in which no pair has been seen. */
PhInterference *
PhInterference_Create(void)
{
    PhInterference *x = g_new0(PhInterference, 1);
    for (int i = 0; i < PH_SCHED_IMAGES_MAX; i++) {
        for (int j = 0; j < PH_SCHED_IMAGES_MAX; j++) {
            x->factors[i][j] = FACTOR_UNSEEN;
        }
    }
    return x;
}

/* Releases the table; NULL is allowed. */
void
PhInterference_Destroy(PhInterference *x)
{
    g_free(x);
}

/* Gives the factor of a pair of images. */
double
PhInterference_Factor(const PhInterference *x, uint32_t fill, uint32_t serving)
{
    return x->factors[fill][serving];
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
            PhSchedFillUse fresh = {.image = step->image_number,
                                    .percent = PERCENT};
            const PhSchedFillUse *before =
                use_find(w->fill_use, step->image_number);
            if (before != NULL) {
                fresh.percent = before->percent;
            }
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
    const PhSchedFillUse *before = use_find(w->fill_use, use->image);
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
    for (guint i = 0; i < w->fill_use->len; i++) {
        PhSchedFillUse use = g_array_index(w->fill_use, PhSchedFillUse, i);
        if (use_find((GArray *)uses, use.image) == NULL) {
            use.share = -use.share;
            g_array_append_val(list, use);
        }
    }
    return list;
}

/* Corrects the factors of one serving task by how its load has changed. */
static void
learn_task(PhInterference *x, const PhSchedTask *task, double load,
           const GArray *changes)
{
    uint32_t serving = PhSchedTask_Step(task)->image_number;
    double error = load - task->load;
    double energy = LEARN_FLOOR;
    for (guint i = 0; i < changes->len; i++) {
        const PhSchedFillUse *c = &g_array_index(changes, PhSchedFillUse, i);
        error -= x->factors[c->image][serving] * c->share;
        energy += c->share * c->share;
    }
    for (guint i = 0; i < changes->len; i++) {
        const PhSchedFillUse *c = &g_array_index(changes, PhSchedFillUse, i);
        double *factor = &x->factors[c->image][serving];
        *factor += LEARN_STEP * error * c->share / energy;
        *factor = CLAMP(*factor, 0, FACTOR_MOST);
    }
}

/* Gives the load that tasks that fill add to a serving image. */
static double
added_load(const PhInterference *x, const GArray *uses, uint32_t serving,
           bool full)
{
    double load = 0;
    for (guint i = 0; i < uses->len; i++) {
        const PhSchedFillUse *use = &g_array_index(uses, PhSchedFillUse, i);
        double share =
            full ? use->full_share * use->percent / PERCENT : use->share;
        load += x->factors[use->image][serving] * share;
    }
    return load;
}

/* Learns from the figures of a look at a worker. */
void
PhInterference_Learn(PhInterference *x, PhSchedWorker *w, PhTime now)
{
    GArray *uses = uses_collect(w);
    GArray *changes = changes_collect(w, uses);
    for (guint i = 0; i < w->tasks->len; i++) {
        PhSchedTask *task = g_ptr_array_index(w->tasks, i);
        if (!has_tail(task, now)) {
            continue;
        }
        double load = load_of(task);
        uint32_t serving = PhSchedTask_Step(task)->image_number;
        if (task->load_at != 0 && now - task->load_at <= LEARN_SPAN) {
            learn_task(x, task, load, changes);
        }
        task->load = load;
        task->load_at = now;
        task->own_load = MAX(load - added_load(x, uses, serving, false), 0);
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

/* Works out how much load the serving images can bear. */
void
PhInterference_Refresh(const PhInterference *x, PhSchedWorker *w)
{
    GArray *uses = uses_collect(w);
    g_array_set_size(w->headroom, 0);
    for (guint i = 0; i < w->tasks->len; i++) {
        const PhSchedTask *task = g_ptr_array_index(w->tasks, i);
        const PhSchedStep *step = PhSchedTask_Step(task);
        if (!PhSchedStep_Serves(step)) {
            continue;
        }
        double left = PLANNED_LOAD - own_load(task) -
                      added_load(x, uses, step->image_number, true);
        bool known = false;
        for (guint j = 0; j < w->headroom->len; j++) {
            PhSchedHeadroom *h =
                &g_array_index(w->headroom, PhSchedHeadroom, j);
            if (h->image == step->image_number) {
                h->load = MIN(h->load, left);
                known = true;
            }
        }
        if (!known) {
            PhSchedHeadroom h = {.image = step->image_number, .load = left};
            g_array_append_val(w->headroom, h);
        }
    }
    g_array_free(uses, TRUE);
}

/* Gives how much would be left if a task of the step filled on the worker. */
double
PhInterference_HeadroomAfter(const PhInterference *x, const PhSchedWorker *w,
                             const PhSchedStep *step)
{
    double share = (double)step->room.cpu_milli /
                   (double)MAX(w->entry.capacity.cpu_milli, 1);
    double least = PLANNED_LOAD;
    for (guint i = 0; i < w->headroom->len; i++) {
        const PhSchedHeadroom *h =
            &g_array_index(w->headroom, PhSchedHeadroom, i);
        double factor = x->factors[step->image_number][h->image];
        least = MIN(least, h->load - factor * share);
    }
    return least;
}

/* Slows the filling images so far that one serving task stays within its
 * target: each in proportion to what it adds. */
static void
pace_for(const PhInterference *x, PhSchedWorker *w, const PhSchedTask *task,
         double *paces)
{
    uint32_t serving = PhSchedTask_Step(task)->image_number;
    double budget = PLANNED_LOAD - own_load(task);
    double sum = 0;
    double squares = 0;
    for (guint i = 0; i < w->fill_use->len; i++) {
        const PhSchedFillUse *u =
            &g_array_index(w->fill_use, PhSchedFillUse, i);
        double added =
            x->factors[u->image][serving] * u->full_share * paces[i];
        sum += added;
        squares += added * added;
    }
    double excess = sum - MAX(budget, 0);
    for (guint i = 0; i < w->fill_use->len && excess > 0; i++) {
        const PhSchedFillUse *u =
            &g_array_index(w->fill_use, PhSchedFillUse, i);
        double added =
            x->factors[u->image][serving] * u->full_share * paces[i];
        /* What adds most gives up most. */
        double cut = MIN(excess * added * added / squares, added);
        paces[i] *= added > 0 ? 1 - cut / added : 1;
    }
}

/* Tells whether a serving task on the worker is over its target. */
static bool
tail_is_over(const PhSchedTask *task, PhTime now)
{
    return has_tail(task, now) && task->load > TARGET_LOAD;
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
        for (guint j = 0; j < count && tail_is_over(task, now); j++) {
            const PhSchedFillUse *u =
                &g_array_index(w->fill_use, PhSchedFillUse, j);
            paces[j] =
                MIN(paces[j], OVERSHOOT_CUT * (double)u->percent / PERCENT);
        }
    }
    for (guint i = 0; i < count; i++) {
        PhSchedFillUse *u = &g_array_index(w->fill_use, PhSchedFillUse, i);
        int percent = (int)(paces[i] * PERCENT);
        percent = percent < PACE_LEAST ? 0 : percent;
        bool rises = percent >= u->percent;
        if (!rises || percent - u->percent >= PACE_RISE ||
            percent >= PERCENT) {
            u->percent = (int8_t)(percent - percent % PACE_STEP);
        }
    }
    g_free(paces);
}
