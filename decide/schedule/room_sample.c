/* Measures the room of each service from the model, for the admission of
 * jobs. */
#include "scheduler_private.h"

static const PhTime SAMPLE_INTERVAL = 250 * PH_NS_PER_MS;
/* An owner that has just taken over places what its predecessor had left, and
 * hears of ends, for some 0.5 s. */
static const PhTime SETTLE_TIME = 1 * PH_NS_PER_S;
/* A job whose record is not durable by then was not accepted. */
static const PhTime ADMITTED_TIME = 3 * PH_NS_PER_S;
enum {
    EXPECTED_WAITS_MAX = 4096, /* remembered */
};

static PhServiceRoom *
service_room(const PhScheduler *s, PhStr service)
{
    for (guint i = 0; i < s->rooms->len; i++) {
        PhServiceRoom *r = &g_array_index(s->rooms, PhServiceRoom, i);
        if (PhStr_Equal(r->service, service)) {
            return r;
        }
    }
    return NULL;
}

/* Workers that are silent count: a partition ends, and what they run is
 * started elsewhere otherwise. */
static bool
has_capacity(const PhSchedWorker *w)
{
    return w->listed && !w->entry_copied && !w->entry.draining && !w->cordoned;
}

/* Reports whether most workers have answered this owner, which then knows what
 * runs. */
static bool
is_usable(const PhScheduler *s, PhTime now)
{
    guint listed = 0;
    guint heard = 0;
    for (guint i = 0; i < s->model->incarnations->len; i++) {
        const PhSchedWorker *w = g_ptr_array_index(s->model->incarnations, i);
        listed += has_capacity(w);
        heard += has_capacity(w) && w->fenced;
    }
    return now - s->owner_since >= SETTLE_TIME && listed > 0 &&
           heard * 2 >= listed;
}

PhRoom *
PhScheduler_Room(const PhScheduler *s, PhStr service)
{
    PhServiceRoom *r = service_room(s, service);
    return r == NULL || r->room.sampled_at == 0 ? NULL : &r->room;
}

/* Long-running tasks hold their CPU from when the job is accepted, also while
 * an earlier step runs.  Of a job that has missed its objective by far, which
 * waits behind all others, only what runs counts. */
static void
round_add(const PhSchedJob *job, uint32_t k, bool urgent, PhTime now,
          PhRoomSample *sample)
{
    bool waits = urgent && PhSchedJob_ObjectiveStatus(job, k, now) !=
                               PH_OBJECTIVE_MISSED;
    for (uint32_t i = 0; i < job->spec.step_count; i++) {
        const PhSchedStep *step = &job->spec.steps[i];
        const PhSchedStage *stage = &job->rounds[k].stages[i];
        double cpu = (double)step->resources.cpu_milli;
        if (step->fills) {
            continue;
        }
        if (step->long_running) {
            sample->lasting += (double)(stage->placed + stage->waiting) * cpu;
        }
        else if (urgent) {
            bool ready = waits && PhSchedStage_IsReady(stage);
            sample->urgent +=
                (double)(stage->placed + (ready ? stage->waiting : 0)) * cpu;
        }
    }
}

static void
job_add(const PhSchedJob *job, bool urgent, PhTime now, PhRoomSample *sample)
{
    if (job->round_count == 0) {
        sample->lasting += PhSchedSpec_LastingNeed(&job->spec);
    }
    for (uint32_t k = 0; k < job->round_count; k++) {
        if (job->rounds[k].done < job->spec.step_count) {
            round_add(job, k, urgent, now, sample);
        }
    }
}

/* The highest priority of the service's queues. */
static int64_t
urgent_priority(const PhScheduler *s, PhStr service)
{
    int64_t best = INT64_MAX;
    const GArray *queues = s->model->config->queues;
    for (guint i = 0; i < queues->len; i++) {
        const PhSchedTerms *terms =
            &g_array_index(queues, PhSchedQueue, i).terms;
        if (PhStr_Equal(terms->service, service)) {
            best = MIN(best, terms->priority);
        }
    }
    return best;
}

/* What long-running tasks hold on cordoned workers is no part of the capacity
 * either. */
static double
cordoned_lasting(const PhSchedWorker *w)
{
    double cpu = 0;
    for (guint i = 0; w->cordoned && i < w->tasks->len; i++) {
        const PhSchedStep *step =
            PhSchedTask_Step(g_ptr_array_index(w->tasks, i));
        cpu += step->long_running && !step->fills
                   ? (double)step->resources.cpu_milli
                   : 0;
    }
    return cpu;
}

void
PhAdmitted_Destroy(gpointer admitted)
{
    PhAdmitted *a = admitted;
    PhStr_Clear(&a->service);
    PhStr_Clear(&a->queue);
    g_free(admitted);
}

void
PhScheduler_NoteAdmitted(PhScheduler *s, const PhSchedSpec *spec, PhTime now)
{
    PhAdmitted *a = g_new0(PhAdmitted, 1);
    a->service = PhStr_Dup(spec->terms.service);
    a->queue = PhStr_Dup(spec->terms.queue);
    a->need = PhSchedSpec_LastingNeed(spec);
    a->at = now;
    g_hash_table_replace(s->admitted, PhStr_KeyCreate(spec->id), a);
}

/* Returns what accepted jobs will hold, and forgets those that the model
 * contains by now. */
static double
admitted_need(PhScheduler *s, PhStr service, PhTime now)
{
    double need = 0;
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, s->admitted);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const PhAdmitted *a = value;
        if (now - a->at >= ADMITTED_TIME ||
            PhSchedModel_Job(s->model, *(const PhStr *)key) != NULL) {
            g_hash_table_iter_remove(&iter);
        }
        else if (PhStr_Equal(a->service, service)) {
            need += a->need;
        }
    }
    return need;
}

static PhRoomSample
measure(PhScheduler *s, PhStr service, PhTime now)
{
    PhRoomSample sample = {.lasting = admitted_need(s, service, now)};
    int64_t priority = urgent_priority(s, service);
    for (guint i = 0; i < s->model->active->len; i++) {
        const PhSchedJob *job = g_ptr_array_index(s->model->active, i);
        if (PhStr_Equal(job->spec.terms.service, service)) {
            job_add(job, job->spec.terms.priority <= priority, now, &sample);
        }
    }
    for (guint i = 0; i < s->model->incarnations->len; i++) {
        const PhSchedWorker *w = g_ptr_array_index(s->model->incarnations, i);
        if (PhStr_Equal(w->entry.service, service)) {
            sample.capacity +=
                has_capacity(w) ? (double)w->entry.capacity.cpu_milli : 0;
            sample.lasting -= cordoned_lasting(w);
        }
    }
    return sample;
}

static void
report(PhScheduler *s, PhServiceRoom *r)
{
    if (r->room.closed == r->reported_closed) {
        return;
    }
    r->reported_closed = r->room.closed;
    PhSchedEvent event = {.tag = PH_SCHED_EVENT_ROOM};
    event.as.room.service = r->service;
    event.as.room.closed = r->room.closed;
    event.as.room.capacity = r->room.sample.capacity;
    event.as.room.lasting = r->room.sample.lasting;
    event.as.room.reserve =
        PhRoom_Reserve(&r->room, s->options.room_reserve_percent);
    g_array_append_val(s->events, event);
}

/* Adds the services of the configuration that are new. */
static void
services_add(PhScheduler *s)
{
    const GArray *queues = s->model->config->queues;
    for (guint i = 0; i < queues->len; i++) {
        PhStr service = g_array_index(queues, PhSchedQueue, i).terms.service;
        if (service_room(s, service) == NULL) {
            PhServiceRoom r = {.service = PhStr_Dup(service)};
            PhRoom_Init(&r.room);
            g_array_append_val(s->rooms, r);
        }
    }
}

void
PhScheduler_UpdateRoom(PhScheduler *s, PhTime now)
{
    if (s->options.room_reserve_percent == 0 || now < s->rooms_due_at) {
        return;
    }
    s->rooms_due_at = now + SAMPLE_INTERVAL;
    services_add(s);
    bool usable = is_usable(s, now);
    for (guint i = 0; i < s->rooms->len; i++) {
        PhServiceRoom *r = &g_array_index(s->rooms, PhServiceRoom, i);
        PhRoomSample sample = measure(s, r->service, now);
        if (usable && sample.capacity > 0) {
            PhRoom_Sample(&r->room, &sample, s->options.room_reserve_percent,
                          now);
        }
        else {
            PhRoom_Reset(&r->room);
        }
        report(s, r);
    }
}

void
PhScheduler_InheritLastingClosed(PhScheduler *s, PhTime now)
{
    s->closed_until = now + SETTLE_TIME;
}

/* What the long-running jobs of a queue hold, and the queues that have such
 * jobs in a service. */
typedef struct PhQueueShare {
    const PhSchedTerms *terms;
    GHashTable *queues; /* set of PhStr, borrowed */
    double own;
} PhQueueShare;

static void
share_add(PhQueueShare *share, PhStr service, const PhStr *queue, double need)
{
    if (need > 0 && PhStr_Equal(service, share->terms->service)) {
        g_hash_table_add(share->queues, (gpointer)queue);
        share->own += PhStr_Equal(*queue, share->terms->queue) ? need : 0;
    }
}

bool
PhScheduler_IsBelowShare(const PhScheduler *s, const PhRoom *room,
                         const PhSchedTerms *terms, double need)
{
    PhQueueShare share = {.terms = terms,
                          .queues =
                              g_hash_table_new(PhStr_KeyHash, PhStr_KeyEqual)};
    share_add(&share, terms->service, &terms->queue, need);
    for (guint i = 0; i < s->model->active->len; i++) {
        const PhSchedJob *job = g_ptr_array_index(s->model->active, i);
        share_add(&share, job->spec.terms.service, &job->spec.terms.queue,
                  PhSchedSpec_LastingNeed(&job->spec));
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, s->admitted);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const PhAdmitted *a = value;
        share_add(&share, a->service, &a->queue, a->need);
    }
    double all = room->sample.capacity -
                 PhRoom_Reserve(room, s->options.room_reserve_percent);
    guint count = g_hash_table_size(share.queues);
    g_hash_table_destroy(share.queues);
    return count > 1 && share.own * count < all;
}

double
PhScheduler_WorkBefore(const PhScheduler *s, const PhSchedSpec *spec,
                       PhTime now)
{
    PhCandidate own = PhCandidate_ForNew(spec);
    GArray *list = PhScheduler_CollectUnsorted(s, now);
    double waiting = 0;
    double running = 0;
    for (guint i = 0; i < list->len; i++) {
        const PhCandidate *c = &g_array_index(list, PhCandidate, i);
        const PhSchedStep *step = &c->spec->steps[c->stage->number];
        if (c->tag != PH_CANDIDATE_ENDING || step->fills ||
            !PhStr_Equal(c->spec->terms.service, spec->terms.service) ||
            !PhCandidate_Precedes(c, &own)) {
            continue;
        }
        double task =
            (double)step->estimate * (double)step->resources.cpu_milli;
        waiting += (double)c->stage->waiting * task;
        /* On average half of a task that runs is done. */
        running += (double)c->stage->placed * task / 2;
    }
    g_array_free(list, TRUE);
    return waiting > 0 ? waiting + running : 0;
}

void
PhScheduler_NoteExpectedWait(PhScheduler *s, PhStr id, PhTime wait)
{
    if (wait == 0) {
        return;
    }
    /* Jobs that are cancelled before they start are not removed one by one. */
    if (g_hash_table_size(s->expected_waits) >= EXPECTED_WAITS_MAX) {
        g_hash_table_remove_all(s->expected_waits);
    }
    PhTime *value = g_new(PhTime, 1);
    *value = wait;
    g_hash_table_insert(s->expected_waits, PhStr_KeyCreate(id), value);
}

void
PhScheduler_NoteFirstStart(PhScheduler *s, const PhSchedJob *job, PhTime now)
{
    const PhTime *expected =
        g_hash_table_lookup(s->expected_waits, &job->spec.id);
    if (expected == NULL) {
        return;
    }
    PhRoom *room = PhScheduler_Room(s, job->spec.terms.service);
    if (room != NULL) {
        PhRoom_LearnWait(room, *expected, now - job->accepted_at);
    }
    g_hash_table_remove(s->expected_waits, &job->spec.id);
}
