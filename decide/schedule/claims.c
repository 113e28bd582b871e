/* The choice of a worker for a claim, the claims in force, and which other
 * tasks may start beside one. */
#include "peridothill/decide/schedule/claims.h"

#include "scheduler_private.h"

#include <stdlib.h>

/* A task that runs for longer than its estimate is expected to need as much
 * time again as it is overdue, at least this.  With a fixed time, workers
 * whose tasks never end would always seem to be free first. */
static const PhTime OVERDUE_MIN = 250 * PH_NS_PER_MS;
/* A worker that is expected to be free later than that is not claimed: few may
 * be claimed, and tasks of 5 to 11 cores waited for 9 to 20 s without claims.
 */
static const PhTime DUE_MAX = 10 * PH_NS_PER_S;
/* A claim is given up when its claimant has not started this long after the
 * time at which it was expected to fit, and another worker is chosen.  Covers
 * the starts of the tasks on the worker and estimates that are a little short.
 */
static const PhTime CLAIM_GRACE = 2 * PH_NS_PER_S;
/* Limits the CPU time of the choice, which looks at every placed task. */
static const PhTime SEARCH_INTERVAL = 100 * PH_NS_PER_MS;
/* Until a worker is searched again for tasks of a stage that fit nowhere. */
static const PhTime RETRY_INTERVAL = 500 * PH_NS_PER_MS;
static const PhTime REPORT_INTERVAL = 1 * PH_NS_PER_S;
enum {
    SEARCHES_MAX = 4,        /* in one pass, each looks at all workers */
    CLAIMED_MAX_PERCENT = 3, /* of the usable workers */
    PERCENT = 100,
};

PhTime
PhClaim_ExpectedEnd(const PhSchedTask *task, PhTime now)
{
    const PhSchedStep *step = PhSchedTask_Step(task);
    PhTime end;
    if (task->stopping) {
        end = task->stop_sent_at == 0 ? now : task->stop_sent_at;
    }
    else if (step->long_running || step->estimate == 0) {
        return PH_TIME_NEVER;
    }
    else {
        end = task->since + step->estimate;
    }
    return end > now ? end : now + MAX(OVERDUE_MIN, now - end);
}

/* What a task takes of its worker; the CPU of backfill tasks is not counted.
 */
static PhSchedResources
step_need(const PhSchedStep *step)
{
    PhSchedResources need = step->resources;
    need.cpu_milli = step->fills ? 0 : need.cpu_milli;
    return need;
}

static void
resources_add(PhSchedResources *sum, const PhSchedResources *more)
{
    sum->cpu_milli += more->cpu_milli;
    sum->mem_mb += more->mem_mb;
    sum->gpu += more->gpu;
}

static PhSchedResources
resources_less(const PhSchedResources *sum, const PhSchedResources *less)
{
    return (PhSchedResources){.cpu_milli = sum->cpu_milli - less->cpu_milli,
                              .mem_mb = sum->mem_mb - less->mem_mb,
                              .gpu = sum->gpu - less->gpu};
}

static bool
amount_fits(int64_t need, int64_t room)
{
    return need == 0 || need <= room;
}

static bool
resources_fit(const PhSchedResources *need, const PhSchedResources *room)
{
    return amount_fits(need->cpu_milli, room->cpu_milli) &&
           amount_fits(need->mem_mb, room->mem_mb) &&
           amount_fits(need->gpu, room->gpu);
}

PhTime
PhClaimRoom_FitsFrom(const PhClaimRoom *room, const PhSchedResources *need,
                     PhTime now)
{
    PhSchedResources left = room->free;
    PhTime at = now;
    for (guint i = 0; !resources_fit(need, &left); i++) {
        if (i == room->count) {
            return PH_TIME_NEVER;
        }
        resources_add(&left, &room->ends[i].resources);
        at = room->ends[i].at;
    }
    return at;
}

guint
PhClaim_Limit(guint usable_workers)
{
    return MAX(usable_workers * CLAIMED_MAX_PERCENT / PERCENT, 1);
}

/* Whether a task is one that its stage may have claimed a worker for: of
 * long-running ones, those that have run before. */
static bool
is_claimant(const PhSchedTask *task)
{
    return !PhSchedTask_Step(task)->long_running || task->run > 0;
}

/* Whether a task is expected to end before the claimant fits. */
static bool
ends_before(const PhSchedStep *step, const PhSchedClaim *claim, PhTime now)
{
    return !step->long_running && step->estimate > 0 &&
           now + step->estimate <= claim->promised;
}

/* Whether what a task needs is free beside what is claimed even now.  Only of
 * backfill tasks, whose CPU is not counted, where CPU is what the claimant
 * lacks. */
static bool
fits_both(const PhSchedWorker *w, const PhSchedResources *need)
{
    const PhSchedStage *stage = w->claim.stage;
    PhSchedResources left = resources_less(&w->entry.capacity, &w->used);
    left = resources_less(&left,
                          &stage->job->spec.steps[stage->number].resources);
    return resources_fit(need, &left);
}

/* Whether a task is placed before the claimant: its own stage, and interrupted
 * long-running tasks of no lower priority. */
static bool
goes_before(const PhSchedTask *task, const PhSchedStage *claiming)
{
    return is_claimant(task) && (task->stage == claiming ||
                                 (PhSchedTask_Step(task)->long_running &&
                                  task->stage->job->spec.terms.priority <=
                                      claiming->job->spec.terms.priority));
}

/* Without an estimate nobody knows how long a task would stand in the way.
 * The members of a gang are chosen together, and each of them would count on
 * the same spare room. */
bool
PhClaim_Admits(const PhSchedWorker *w, const PhSchedTask *task, PhTime now)
{
    const PhSchedClaim *claim = &w->claim;
    const PhSchedStep *step = PhSchedTask_Step(task);
    if (goes_before(task, claim->stage) || ends_before(step, claim, now)) {
        return true;
    }
    if (step->gang ||
        (!step->long_running && !step->fills && step->estimate == 0)) {
        return false;
    }
    PhSchedResources need = step_need(step);
    return resources_fit(&need, &claim->spare) || fits_both(w, &need);
}

static int
end_compare(const void *a, const void *b)
{
    const PhClaimEnd *x = a;
    const PhClaimEnd *y = b;
    return (x->at > y->at) - (x->at < y->at);
}

/* Appends the expected ends on a worker to `ends`, the earliest first; returns
 * how many there are. */
static guint
ends_append(const PhSchedWorker *w, GArray *ends, PhTime now)
{
    guint first = ends->len;
    for (guint i = 0; i < w->tasks->len; i++) {
        const PhSchedTask *task = g_ptr_array_index(w->tasks, i);
        PhClaimEnd end = {.at = PhClaim_ExpectedEnd(task, now)};
        if (end.at != PH_TIME_NEVER) {
            end.resources = step_need(PhSchedTask_Step(task));
            g_array_append_val(ends, end);
        }
    }
    guint count = ends->len - first;
    if (count > 1) {
        qsort(&g_array_index(ends, PhClaimEnd, first), count,
              sizeof(PhClaimEnd), end_compare);
    }
    return count;
}

/* The room of a worker whose ends were appended to `ends`. */
static PhClaimRoom
room_of(const PhSchedWorker *w, const GArray *ends, guint first, guint count)
{
    return (PhClaimRoom){
        .free = resources_less(&w->entry.capacity, &w->used),
        .ends = count > 0 ? &g_array_index(ends, PhClaimEnd, first) : NULL,
        .count = count};
}

static void
claim_end(PhScheduler *s, PhSchedWorker *w)
{
    if (w->claim.stage != NULL) {
        w->claim.stage->claimed = NULL;
    }
    w->claim = (PhSchedClaim){0};
    g_ptr_array_remove_fast(s->claims, w);
}

/* Returns when the claimant is expected to fit; the ends on the worker are in
 * `claim_ends` then. */
static PhTime
claim_forecast(const PhScheduler *s, const PhSchedWorker *w, PhTime now)
{
    const PhSchedStage *stage = w->claim.stage;
    g_array_set_size(s->claim_ends, 0);
    guint count = ends_append(w, s->claim_ends, now);
    PhClaimRoom room = room_of(w, s->claim_ends, 0, count);
    return PhClaimRoom_FitsFrom(
        &room, &stage->job->spec.steps[stage->number].resources, now);
}

/* The expected time moves with the tasks on the worker.  What other tasks are
 * measured by only gets earlier, since each that starts ends a little later
 * than expected, by its start: a flow of them would put the claimant off. */
static void
claim_refresh(PhScheduler *s, PhSchedWorker *w, PhTime now)
{
    PhTime due = claim_forecast(s, w, now);
    if (due == PH_TIME_NEVER) {
        claim_end(s, w);
        return;
    }
    w->claim.promised = MIN(w->claim.promised, due);
}

/* The first waiting task that a stage may claim a worker for and that has
 * waited since `latest`, or NULL.  With `w`, only one that has not failed
 * there. */
static PhSchedTask *
stage_claimant(const PhScheduler *s, const PhSchedStage *stage,
               const PhSchedWorker *w, PhTime latest)
{
    uint32_t count = stage->job->spec.steps[stage->number].count;
    for (uint32_t i = 0; i < count && stage->waiting > 0; i++) {
        PhSchedTask *task = &stage->tasks[i];
        if (task->state == PH_SCHED_TASK_WAITING && is_claimant(task) &&
            task->reserved == NULL && (w == NULL || task->failed_on != w) &&
            PhScheduler_WaitsSince(s, task) <= latest) {
            return task;
        }
    }
    return NULL;
}

/* Whether a stage has a task that may use its claim.  All waiting tasks of a
 * stage that ends may, and no search of a wide stage is needed. */
static bool
has_claimant(const PhScheduler *s, const PhSchedStage *stage, PhTime now)
{
    bool lasts = stage->job->spec.steps[stage->number].long_running;
    return stage->waiting > 0 &&
           (!lasts || stage_claimant(s, stage, NULL, now) != NULL);
}

/* Whether the tasks of a stage that end may claim a worker. */
static bool
is_claiming_job(const PhSchedJob *job, PhObjectiveStatus status)
{
    return job->spec.terms.priority == 0 && status != PH_OBJECTIVE_MISSED;
}

/* Whether room is all that a task lacks on a usable worker. */
static bool
is_claimable(const PhSchedWorker *w, const PhSchedTask *task, PhTime now)
{
    return w != task->failed_on &&
           PhSchedWorker_Doubt(w, now) == PH_DOUBT_NONE &&
           w != task->stage->claim_failed_on &&
           PhScheduler_IsEligible(w, task) &&
           !PhSchedTask_IsAtWorkerLimit(task, w);
}

static bool
claim_is_over(const PhScheduler *s, const PhSchedWorker *w, PhTime now)
{
    const PhSchedStage *stage = w->claim.stage;
    if (stage->waiting == 0 || now >= w->claim.until ||
        PhSchedJob_IsOver(stage->job) || !PhScheduler_IsUsable(w, now)) {
        return true;
    }
    const PhSchedTask *task = stage_claimant(s, stage, w, now);
    if (task == NULL || !is_claimable(w, task, now)) {
        return true;
    }
    return !PhSchedTask_Step(task)->long_running &&
           !is_claiming_job(stage->job, PhSchedJob_ObjectiveStatus(
                                            stage->job, stage->round, now));
}

void
PhScheduler_UpdateClaims(PhScheduler *s, PhTime now)
{
    for (guint i = s->claims->len; i-- > 0;) {
        PhSchedWorker *w = g_ptr_array_index(s->claims, i);
        PhSchedStage *stage = w->claim.stage;
        if (stage != NULL && now >= w->claim.until) {
            stage->claim_failed_on = w;
        }
        if (stage == NULL || claim_is_over(s, w, now)) {
            claim_end(s, w);
        }
        else {
            claim_refresh(s, w, now);
        }
    }
}

void
PhScheduler_EndClaims(PhScheduler *s)
{
    while (s->claims->len > 0) {
        claim_end(s, g_ptr_array_index(s->claims, 0));
    }
}

void
PhScheduler_EndClaim(PhScheduler *s, PhSchedWorker *w)
{
    if (s->claims->len > 0) {
        claim_end(s, w);
    }
}

/* The number of the run counts this start already. */
void
PhScheduler_OnClaimedStart(PhScheduler *s, const PhSchedTask *task, PhTime now)
{
    const PhSchedStep *step = PhSchedTask_Step(task);
    PhSchedWorker *w = task->worker;
    PhSchedWorker *claimed = task->stage->claimed;
    bool claimant = !step->long_running || task->run > 1;
    if (claimed != NULL && claimant &&
        (claimed == w || !has_claimant(s, task->stage, now))) {
        claim_end(s, claimed);
    }
    if (w->claim.stage == NULL) {
        return;
    }
    if (!ends_before(step, &w->claim, now)) {
        PhSchedResources need = step_need(step);
        w->claim.spare = resources_less(&w->claim.spare, &need);
    }
    claim_refresh(s, w, now);
}

bool
PhScheduler_IsClaimDue(const PhScheduler *s, guint usable_workers, PhTime now)
{
    return s->options.claim_after > 0 && now >= s->next_claim_at &&
           s->claims->len < PhClaim_Limit(usable_workers);
}

PhSchedTask *
PhScheduler_Claimant(const PhScheduler *s, const PhCandidate *c, PhTime now)
{
    const PhSchedStage *stage = c->stage;
    const PhSchedStep *step = &stage->job->spec.steps[stage->number];
    if (stage->claimed != NULL || step->gang || step->fills ||
        now < stage->claim_retry_at) {
        return NULL;
    }
    switch (c->tag) {
    case PH_CANDIDATE_INTERRUPTED:
        break;
    case PH_CANDIDATE_LASTING:
        return NULL;
    case PH_CANDIDATE_ENDING:
        if (!is_claiming_job(stage->job, c->objective_status)) {
            return NULL;
        }
        break;
    }
    return stage_claimant(s, stage, NULL, now - s->options.claim_after);
}

/* The expected ends on a worker that is not claimed. */
typedef struct PhClaimForecast {
    PhSchedWorker *worker;
    guint first; /* index of the first end */
    guint count;
} PhClaimForecast;

/* The usable workers, as a search for claims sees them. */
typedef struct PhClaimSearch {
    GArray *forecasts;           /* PhClaimForecast */
    PhSchedResources capacity;   /* the most that any worker has of each */
    PhSchedResources attainable; /* the most that any will have free after all
                                    expected ends */
} PhClaimSearch;

static void
resources_raise(PhSchedResources *most, const PhSchedResources *r)
{
    most->cpu_milli = MAX(most->cpu_milli, r->cpu_milli);
    most->mem_mb = MAX(most->mem_mb, r->mem_mb);
    most->gpu = MAX(most->gpu, r->gpu);
}

static void
search_add(PhScheduler *s, PhClaimSearch *search, PhSchedWorker *w, PhTime now)
{
    PhClaimForecast f = {.worker = w, .first = s->claim_ends->len};
    f.count = ends_append(w, s->claim_ends, now);
    PhClaimRoom room = room_of(w, s->claim_ends, f.first, f.count);
    PhSchedResources sum = room.free;
    for (guint i = 0; i < f.count; i++) {
        resources_add(&sum, &room.ends[i].resources);
    }
    g_array_append_val(search->forecasts, f);
    resources_raise(&search->capacity, &w->entry.capacity);
    resources_raise(&search->attainable, &sum);
}

/* Finds the worker on which the task is expected to fit first, or NULL.  Of
 * several the one with the least free CPU is taken, as in placement. */
static PhSchedWorker *
search_choose(const PhScheduler *s, const PhClaimSearch *search,
              const PhSchedTask *task, PhTime now)
{
    const PhSchedResources *need = &PhSchedTask_Step(task)->resources;
    PhSchedWorker *best = NULL;
    PhTime best_due = PH_TIME_NEVER;
    int64_t best_free = 0;
    for (guint i = 0; i < search->forecasts->len; i++) {
        const PhClaimForecast *f =
            &g_array_index(search->forecasts, PhClaimForecast, i);
        if (f->worker->claim.stage != NULL) {
            continue;
        }
        PhClaimRoom room =
            room_of(f->worker, s->claim_ends, f->first, f->count);
        PhTime due = PhClaimRoom_FitsFrom(&room, need, now);
        if (due > now + DUE_MAX) {
            continue;
        }
        bool better = due < best_due || (best != NULL && due == best_due &&
                                         room.free.cpu_milli < best_free);
        if (better && is_claimable(f->worker, task, now)) {
            best = f->worker;
            best_due = due;
            best_free = room.free.cpu_milli;
        }
    }
    return best;
}

/* The largest share of what a worker has of anything. */
static double
dominant_share(const PhSchedTask *task, const PhSchedResources *capacity)
{
    const PhSchedResources *need = &PhSchedTask_Step(task)->resources;
    double cpu = (double)need->cpu_milli / (double)MAX(capacity->cpu_milli, 1);
    double mem = (double)need->mem_mb / (double)MAX(capacity->mem_mb, 1);
    double gpu = (double)need->gpu / (double)MAX(capacity->gpu, 1);
    return MAX(cpu, MAX(mem, gpu));
}

/* As in placement, priority comes first and then interrupted long-running
 * tasks.  Of the others those that need most of a worker do: small ones fit
 * wherever a task ends, and wait because others go before them. */
static gint
claimant_compare(gconstpointer a, gconstpointer b, gpointer data)
{
    const PhSchedTask *x = *(PhSchedTask *const *)a;
    const PhSchedTask *y = *(PhSchedTask *const *)b;
    int64_t px = x->stage->job->spec.terms.priority;
    int64_t py = y->stage->job->spec.terms.priority;
    if (px != py) {
        return px < py ? -1 : 1;
    }
    bool lasts = PhSchedTask_Step(x)->long_running;
    if (lasts != PhSchedTask_Step(y)->long_running) {
        return lasts ? -1 : 1;
    }
    double more = dominant_share(x, data) - dominant_share(y, data);
    if (more != 0) {
        return more > 0 ? -1 : 1;
    }
    PhTime later = PhSchedTask_WaitsSince(x) - PhSchedTask_WaitsSince(y);
    return (later > 0) - (later < 0);
}

static void
claim_report(PhScheduler *s, const PhSchedTask *task, const PhSchedWorker *w,
             PhTime now)
{
    PhSchedEvent event = {.tag = PH_SCHED_EVENT_CLAIM, .worker = w};
    event.as.claim.task = PhSchedTask_Name(task);
    event.as.claim.run = task->run;
    event.as.claim.waited = now - PhScheduler_WaitsSince(s, task);
    event.as.claim.due_in = w->claim.promised - now;
    event.as.claim.claims = s->claims->len;
    event.as.claim.made = ++s->claims_made;
    event.as.claim.logged = now >= s->claim_report_due_at;
    if (event.as.claim.logged) {
        s->claims_made = 0;
        s->claim_report_due_at = now + REPORT_INTERVAL;
    }
    g_array_append_val(s->events, event);
}

static void
claim_make(PhScheduler *s, PhSchedTask *task, PhSchedWorker *w)
{
    w->claim.stage = task->stage;
    task->stage->claimed = w;
    g_ptr_array_add(s->claims, w);
}

/* Sets what a new claim leaves to other tasks. */
static void
claim_begin(PhScheduler *s, PhSchedWorker *w, PhTime now)
{
    PhSchedClaim *claim = &w->claim;
    claim->promised = claim_forecast(s, w, now);
    claim->until = claim->promised + CLAIM_GRACE;
    claim->spare = resources_less(&w->entry.capacity, &w->used);
    for (guint i = 0; i < s->claim_ends->len; i++) {
        const PhClaimEnd *end = &g_array_index(s->claim_ends, PhClaimEnd, i);
        if (end->at <= claim->promised) {
            resources_add(&claim->spare, &end->resources);
        }
    }
    claim->spare = resources_less(
        &claim->spare,
        &claim->stage->job->spec.steps[claim->stage->number].resources);
}

/* Claims a worker for each of the first tasks that might fit somewhere;
 * returns how many tasks of `claimants` are left, those with a claim. */
static guint
search_claim(PhScheduler *s, const PhClaimSearch *search, GPtrArray *claimants,
             guint limit, PhTime now)
{
    guint searches = 0;
    guint made = 0;
    for (guint i = 0; i < claimants->len && searches < SEARCHES_MAX &&
                      s->claims->len < limit;
         i++) {
        PhSchedTask *task = g_ptr_array_index(claimants, i);
        if (!resources_fit(&PhSchedTask_Step(task)->resources,
                           &search->attainable)) {
            continue;
        }
        PhSchedWorker *w = search_choose(s, search, task, now);
        searches++;
        if (w == NULL) {
            task->stage->claim_retry_at = now + RETRY_INTERVAL;
            task->stage->claim_failed_on = NULL;
            continue;
        }
        claim_make(s, task, w);
        claimants->pdata[made++] = task;
    }
    return made;
}

void
PhScheduler_MakeClaims(PhScheduler *s, const GPtrArray *workers,
                       GPtrArray *claimants, PhTime now)
{
    s->next_claim_at = now + SEARCH_INTERVAL;
    if (claimants->len == 0) {
        return;
    }
    PhClaimSearch search = {
        .forecasts = g_array_new(FALSE, FALSE, sizeof(PhClaimForecast))};
    g_array_set_size(s->claim_ends, 0);
    for (guint i = 0; i < workers->len; i++) {
        PhSchedWorker *w = g_ptr_array_index(workers, i);
        if (w->claim.stage == NULL) {
            search_add(s, &search, w, now);
        }
    }
    g_ptr_array_sort_with_data(claimants, claimant_compare, &search.capacity);
    guint made =
        search_claim(s, &search, claimants, PhClaim_Limit(workers->len), now);
    for (guint i = 0; i < made; i++) {
        const PhSchedTask *task = g_ptr_array_index(claimants, i);
        PhSchedWorker *w = task->stage->claimed;
        claim_begin(s, w, now);
        claim_report(s, task, w, now);
    }
    g_array_free(search.forecasts, TRUE);
}
