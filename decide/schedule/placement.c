/* Placement of waiting tasks: the most urgent first, each on the worker that
 * suits it best. */
#include "peridothill/decide/schedule/claims.h"

#include "scheduler_private.h"

#include <math.h>

/* Time between two passes while tasks have no capacity.  Limits the CPU time
 * of placement: a try costs about 50 us per stage with 500 workers (bench
 * schedule). */
static const PhTime PLACE_RETRY_INTERVAL = 20 * PH_NS_PER_MS;
enum {
    PERCENT = 100,
};

/* The last request for which no worker was found in this pass.  Requests of
 * the same service for at least as much of every resource are skipped, since
 * free capacity only shrinks during a pass.  They are still tried on claimed
 * workers, where the expected end of a task counts too: the last request that
 * did not fit on these is kept apart. */
typedef struct PhShortage {
    bool known;
    PhStr service; /* borrowed */
    PhSchedResources resources;
    PhTime run_time; /* on claimed workers: estimate, or PH_TIME_NEVER */
    guint claims;    /* the same: in force then; one that ends frees room */
} PhShortage;

typedef struct PhShortages {
    PhShortage plain;                         /* tasks that are not backfill */
    PhShortage backfill[PH_SCHED_IMAGES_MAX]; /* by image */
} PhShortages;

/* One pass over the waiting tasks. */
typedef struct PhPlacementPass {
    GPtrArray *workers; /* PhSchedWorker that are usable, claimed ones first */
    guint claimed;      /* those that were claimed when the pass began */
    double *scores;     /* of each worker for the current stage, or UNFIT */
    bool doubts;        /* some of the workers are in doubt */
    GPtrArray *claimants; /* PhSchedTask without room that may claim a worker;
                             NULL: no claim is due */
    PhShortages ending;
    PhShortages lasting;        /* these may start where others must not */
    PhShortages ending_claimed; /* the same on the claimed workers */
    PhShortages lasting_claimed;
} PhPlacementPass;

static const double UNFIT = -HUGE_VAL;

PhSchedWorker *
PhScheduler_PickWorker(const PhScheduler *s, const PhSchedTask *task,
                       PhStr rack, PhTime now)
{
    PhSchedWorker *best = NULL;
    double best_score = 0;
    for (guint i = 0; i < s->model->incarnations->len; i++) {
        PhSchedWorker *w = g_ptr_array_index(s->model->incarnations, i);
        double score;
        if (!PhScheduler_IsUsable(w, now) ||
            (rack.len > 0 && !PhStr_Equal(rack, w->entry.rack)) ||
            !PhScheduler_RateWorker(s, w, task, now, &score)) {
            continue;
        }
        if (best == NULL || score > best_score) {
            best = w;
            best_score = score;
        }
    }
    return best;
}

bool
PhScheduler_HasBetterWorker(const PhScheduler *s, const PhSchedTask *task,
                            PhTime now)
{
    for (guint i = 0; i < s->model->incarnations->len; i++) {
        const PhSchedWorker *w = g_ptr_array_index(s->model->incarnations, i);
        if (w != task->worker &&
            PhScheduler_IsInterferenceFree(s, w, task, now)) {
            return true;
        }
    }
    return false;
}

void
PhScheduler_StartTask(PhScheduler *s, PhSchedTask *task, PhSchedWorker *w,
                      PhTime now)
{
    PhSchedJob *job = task->stage->job;
    PhTime ready_at = PhScheduler_WaitsSince(s, task);
    PhSchedTask_Place(task, w);
    w->started_at = now;
    job->starts++;
    if (job->first_start_at == 0) {
        job->first_start_at = now;
        PhScheduler_NoteFirstStart(s, job, now);
    }
    job->max_wait = MAX(job->max_wait, now - ready_at);
    task->run++;
    task->since = now;
    task->fence = s->fence;
    task->batch = s->open_batch;
    task->retry_at = 0;
    task->starts_sent = 0;
    task->start_sent_at = 0;
    task->unanswered_start_at = 0;
    task->confirmed_clock_ms = 0;
    task->confirmed_at = 0;
    PhSchedTask_ResetPace(task, PERCENT);
    task->percent = PERCENT;
    task->over_target_since = 0;
    task->within_target_since = 0;
    PhInterference_Refresh(s->interference, w, now);
    PhScheduler_MarkStageDirty(s, task->stage);
    PhScheduler_QueueStart(s, task);
    if (s->claims->len > 0) {
        PhScheduler_OnClaimedStart(s, task, now);
    }
}

/* Adds a usable worker, before those that are not claimed if it is. */
static void
worker_add(PhPlacementPass *pass, PhSchedWorker *w)
{
    g_ptr_array_add(pass->workers, w);
    if (w->claim.stage != NULL) {
        gpointer *workers = pass->workers->pdata;
        workers[pass->workers->len - 1] = workers[pass->claimed];
        workers[pass->claimed++] = w;
    }
}

static void
pass_begin(PhPlacementPass *pass, const PhScheduler *s, PhTime now)
{
    *pass = (PhPlacementPass){.workers = g_ptr_array_new()};
    for (guint i = 0; i < s->model->incarnations->len; i++) {
        PhSchedWorker *w = g_ptr_array_index(s->model->incarnations, i);
        if (PhScheduler_IsUsable(w, now)) {
            worker_add(pass, w);
            pass->doubts |= PhSchedWorker_Doubt(w, now) != PH_DOUBT_NONE;
        }
    }
    pass->scores = g_new(double, MAX(pass->workers->len, 1));
    if (PhScheduler_IsClaimDue(s, pass->workers->len, now)) {
        pass->claimants = g_ptr_array_new();
    }
}

static void
pass_end(PhPlacementPass *pass)
{
    g_ptr_array_free(pass->workers, TRUE);
    g_free(pass->scores);
    if (pass->claimants != NULL) {
        g_ptr_array_free(pass->claimants, TRUE);
    }
}

static PhShortage *
shortage_of(PhShortages *known, const PhSchedStep *step)
{
    return step->fills ? &known->backfill[step->image_number] : &known->plain;
}

/* Reports whether a stage requests no less than a request that did not fit. */
static bool
shortage_covers(const PhShortage *shortage, const PhSchedStage *stage)
{
    const PhSchedStep *step = &stage->job->spec.steps[stage->number];
    return shortage->known &&
           PhStr_Equal(shortage->service, stage->job->spec.terms.service) &&
           step->resources.cpu_milli >= shortage->resources.cpu_milli &&
           step->resources.mem_mb >= shortage->resources.mem_mb &&
           step->resources.gpu >= shortage->resources.gpu;
}

static bool
is_known_shortage(PhPlacementPass *pass, const PhSchedStage *stage)
{
    const PhSchedStep *step = &stage->job->spec.steps[stage->number];
    return shortage_covers(
        shortage_of(step->long_running ? &pass->lasting : &pass->ending, step),
        stage);
}

static PhShortage *
claimed_shortage_of(PhPlacementPass *pass, const PhSchedStep *step)
{
    return shortage_of(step->long_running ? &pass->lasting_claimed
                                          : &pass->ending_claimed,
                       step);
}

static PhTime
run_time(const PhSchedStep *step)
{
    return step->long_running || step->estimate == 0 ? PH_TIME_NEVER
                                                     : step->estimate;
}

/* The same for the claimed workers, where claimants and interrupted tasks may
 * start although others may not. */
static bool
is_known_claimed_shortage(PhPlacementPass *pass, const PhScheduler *s,
                          const PhCandidate *c)
{
    const PhSchedStage *stage = c->stage;
    const PhSchedStep *step = &stage->job->spec.steps[stage->number];
    const PhShortage *shortage = claimed_shortage_of(pass, step);
    return c->tag != PH_CANDIDATE_INTERRUPTED && stage->claimed == NULL &&
           shortage_covers(shortage, stage) &&
           run_time(step) >= shortage->run_time &&
           shortage->claims == s->claims->len;
}

/* A stage did not fit on any of the first `count` workers.  Skips stages that
 * may have failed for another reason than resources. */
static void
shortage_record(PhPlacementPass *pass, const PhScheduler *s,
                const PhSchedStage *stage, guint count)
{
    const PhSchedStep *step = &stage->job->spec.steps[stage->number];
    if (step->requires.len > 0 || step->max_per_worker > 0) {
        return;
    }
    PhShortage shortage = {.known = true,
                           .service = stage->job->spec.terms.service,
                           .resources = step->resources,
                           .run_time = run_time(step),
                           .claims = s->claims->len};
    if (count == pass->workers->len && !is_known_shortage(pass, stage)) {
        *shortage_of(step->long_running ? &pass->lasting : &pass->ending,
                     step) = shortage;
    }
    if (pass->claimed > 0) {
        *claimed_shortage_of(pass, step) = shortage;
    }
}

static void
score_set(PhPlacementPass *pass, const PhScheduler *s, const PhSchedTask *task,
          guint worker_index, PhTime now)
{
    const PhSchedWorker *w = g_ptr_array_index(pass->workers, worker_index);
    if (!PhScheduler_RateWorker(s, w, task, now,
                                &pass->scores[worker_index])) {
        pass->scores[worker_index] = UNFIT;
    }
}

/* Finds the one of the first `count` workers with the best score; false if all
 * are UNFIT. */
static bool
score_best(const PhPlacementPass *pass, guint count, guint *best)
{
    double most = UNFIT;
    for (guint i = 0; i < count; i++) {
        if (pass->scores[i] > most) {
            most = pass->scores[i];
            *best = i;
        }
    }
    return most > UNFIT;
}

/* How the tasks of a candidate are placed. */
typedef enum PhPlacing {
    PLACING_NONE, /* it does not wait, or is not of the candidate */
    PLACING_ALONE,
    PLACING_WITH_OTHERS,
} PhPlacing;

/* Tasks without failures are placed with others: the workers suit all of them
 * alike. */
static PhPlacing
task_placing(const PhSchedTask *task, PhCandidateTag tag)
{
    if (task->state != PH_SCHED_TASK_WAITING) {
        return PLACING_NONE;
    }
    PhPlacing placing =
        task->failures > 0 ? PLACING_ALONE : PLACING_WITH_OTHERS;
    switch (tag) {
    case PH_CANDIDATE_INTERRUPTED:
        return task->run > 0 ? placing : PLACING_NONE;
    case PH_CANDIDATE_LASTING:
        return task->run == 0 ? placing : PLACING_NONE;
    case PH_CANDIDATE_ENDING:
        break;
    }
    return placing;
}

/* Counts the starts of a queue that wait for an answer of their worker: it is
 * silent, or has not answered one before.  They are no reason to start nothing
 * elsewhere. */
static uint32_t
count_parked(const GQueue *queue)
{
    uint32_t count = 0;
    for (const GList *l = queue->head; l != NULL; l = l->next) {
        const PhSchedTask *task = l->data;
        count += task->worker != NULL &&
                 (task->worker->suspended || task->worker->failing_since > 0 ||
                  task->start_unconfirmed);
    }
    return count;
}

bool
PhScheduler_HasOrderRoom(const PhScheduler *s, bool long_running)
{
    uint32_t queued = s->restarts.length + s->starts.length;
    queued -= MIN(s->parked, queued);
    uint32_t room = long_running
                        ? PhOrderWindow_LastingRoom(&s->window, queued)
                        : PhOrderWindow_Room(&s->window, queued);
    return room > 0;
}

static bool
has_order_room(const PhScheduler *s, const PhCandidate *c)
{
    return PhScheduler_HasOrderRoom(s, c->tag != PH_CANDIDATE_ENDING);
}

/* Places the waiting tasks without failures on the first `count` workers.  The
 * workers are rated once, and after each start only the worker that got it. */
static bool
stage_place_new(PhScheduler *s, PhPlacementPass *pass, const PhCandidate *c,
                guint count, PhTime now)
{
    PhSchedStage *stage = c->stage;
    const PhSchedStep *step = &stage->job->spec.steps[stage->number];
    bool rated = false;
    guint best = 0;
    for (uint32_t i = 0; i < step->count && stage->waiting > 0; i++) {
        PhSchedTask *task = &stage->tasks[i];
        if (task_placing(task, c->tag) != PLACING_WITH_OTHERS) {
            continue;
        }
        if (!has_order_room(s, c)) {
            PhOrderWindow_OnLimited(&s->window, now);
            return false;
        }
        for (guint j = 0; j < count && !rated; j++) {
            score_set(pass, s, task, j, now);
        }
        rated = true;
        if (!score_best(pass, count, &best)) {
            shortage_record(pass, s, stage, count);
            return false;
        }
        PhScheduler_StartTask(s, task, g_ptr_array_index(pass->workers, best),
                              now);
        score_set(pass, s, task, best, now);
    }
    return true;
}

/* Returns the best of the first `count` workers for a task that has failed, or
 * NULL. */
static PhSchedWorker *
pass_pick(const PhScheduler *s, PhPlacementPass *pass, const PhSchedTask *task,
          guint count, PhTime now)
{
    guint best = 0;
    if (count == pass->workers->len) {
        return PhScheduler_PickWorker(s, task, (PhStr){0}, now);
    }
    for (guint i = 0; i < count; i++) {
        score_set(pass, s, task, i, now);
    }
    return score_best(pass, count, &best)
               ? g_ptr_array_index(pass->workers, best)
               : NULL;
}

/* Rates the workers again for each failed task, since the rating depends on
 * where it failed. */
static bool
stage_place_failed(PhScheduler *s, PhPlacementPass *pass, const PhCandidate *c,
                   guint count, PhTime now)
{
    PhSchedStage *stage = c->stage;
    const PhSchedStep *step = &stage->job->spec.steps[stage->number];
    for (uint32_t i = 0; i < step->count && stage->waiting > 0; i++) {
        PhSchedTask *task = &stage->tasks[i];
        if (task_placing(task, c->tag) != PLACING_ALONE) {
            continue;
        }
        if (!has_order_room(s, c)) {
            PhOrderWindow_OnLimited(&s->window, now);
            return false;
        }
        PhSchedWorker *w = pass_pick(s, pass, task, count, now);
        if (w == NULL) {
            shortage_record(pass, s, stage, count);
            return false;
        }
        PhScheduler_StartTask(s, task, w, now);
    }
    return true;
}

/* Places the waiting tasks that have room reserved for them. */
static void
stage_place_reserved(PhScheduler *s, PhSchedStage *stage, PhTime now)
{
    const PhSchedStep *step = &stage->job->spec.steps[stage->number];
    for (uint32_t i = 0; i < step->count && stage->waiting > 0; i++) {
        PhSchedTask *task = &stage->tasks[i];
        if (task->state == PH_SCHED_TASK_WAITING && task->reserved != NULL) {
            PhScheduler_PlaceReserved(s, task, now);
        }
    }
}

/* A waiting task of a candidate, or NULL. */
static const PhSchedTask *
candidate_task(const PhCandidate *c)
{
    const PhSchedStep *step = &c->stage->job->spec.steps[c->stage->number];
    for (uint32_t i = 0; i < step->count; i++) {
        if (task_placing(&c->stage->tasks[i], c->tag) != PLACING_NONE) {
            return &c->stage->tasks[i];
        }
    }
    return NULL;
}

/* Whether tasks of a candidate may start on any worker that was claimed when
 * the pass began, as far as the claims decide: only then are these workers
 * rated.  Gangs that do not fit elsewhere are not tried, since each try rates
 * all workers for each member. */
static bool
is_admitted(PhPlacementPass *pass, const PhScheduler *s, const PhCandidate *c,
            PhTime now)
{
    const PhSchedStep *step = &c->stage->job->spec.steps[c->stage->number];
    if (pass->claimed == 0 ||
        (step->gang && c->tag != PH_CANDIDATE_INTERRUPTED) ||
        is_known_claimed_shortage(pass, s, c)) {
        return false;
    }
    const PhSchedTask *task = candidate_task(c);
    for (guint i = 0; task != NULL && i < pass->claimed; i++) {
        const PhSchedWorker *w = g_ptr_array_index(pass->workers, i);
        if (w->claim.stage == NULL || PhClaim_Admits(w, task, now)) {
            return true;
        }
    }
    return false;
}

/* Returns false if some tasks did not fit. */
static bool
candidate_try(PhScheduler *s, PhPlacementPass *pass, const PhCandidate *c,
              PhTime now)
{
    PhSchedStage *stage = c->stage;
    guint count = pass->workers->len;
    if (s->reservations->len > 0) {
        stage_place_reserved(s, stage, now);
    }
    if (stage->waiting == 0) {
        return true;
    }
    if (is_known_shortage(pass, stage)) {
        if (!is_admitted(pass, s, c, now) || !has_order_room(s, c)) {
            return false;
        }
        count = pass->claimed;
    }
    if (pass->doubts) {
        PhScheduler_SetTrust(s, stage, now);
    }
    if (stage->job->spec.steps[stage->number].gang) {
        if (!has_order_room(s, c)) {
            PhOrderWindow_OnLimited(&s->window, now);
            return false;
        }
        return PhScheduler_PlaceGang(s, stage, now);
    }
    return stage_place_failed(s, pass, c, count, now) &&
           stage_place_new(s, pass, c, count, now);
}

/* Returns false if some tasks did not fit.  If they may claim a worker, that
 * is noted. */
static bool
candidate_place(PhScheduler *s, PhPlacementPass *pass, const PhCandidate *c,
                PhTime now)
{
    if (candidate_try(s, pass, c, now)) {
        return true;
    }
    if (pass->claimants != NULL && has_order_room(s, c)) {
        PhSchedTask *task = PhScheduler_Claimant(s, c, now);
        if (task != NULL) {
            g_ptr_array_add(pass->claimants, task);
        }
    }
    return false;
}

void
PhScheduler_PlaceTasks(PhScheduler *s, PhTime now)
{
    if (now < s->next_placement_at) {
        PhScheduler_WakeBy(s, s->next_placement_at);
        return;
    }
    PhPlacementPass pass;
    GArray *list = PhScheduler_CollectCandidates(s, now);
    bool all = true;
    s->parked = count_parked(&s->restarts) + count_parked(&s->starts);
    PhScheduler_UpdateClaims(s, now);
    pass_begin(&pass, s, now);
    for (guint i = 0; i < list->len; i++) {
        all &= candidate_place(s, &pass, &g_array_index(list, PhCandidate, i),
                               now);
    }
    if (pass.claimants != NULL) {
        PhScheduler_MakeClaims(s, pass.workers, pass.claimants, now);
    }
    pass_end(&pass);
    g_array_free(list, TRUE);
    PhScheduler_UpdateOverload(s, now);
    s->placement_due = !all;
    if (!all) {
        s->next_placement_at = now + PLACE_RETRY_INTERVAL;
        PhScheduler_WakeBy(s, s->next_placement_at);
    }
}
