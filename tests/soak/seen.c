#include "seen.h"

const PhSoakNote *
PhSeen_Note(const PhSeen *s, guint i)
{
    return &g_array_index(s->notes, PhSoakNote, i);
}

PhSeenJob *
PhSeen_Job(const PhSeen *s, uint32_t i)
{
    return &g_array_index(s->jobs, PhSeenJob, i);
}

PhSeenRun *
PhSeen_Run(const PhSeen *s, guint i)
{
    return &g_array_index(s->runs, PhSeenRun, i);
}

bool
PhSeen_IsFirstRun(const PhSeen *s, guint i)
{
    return i == 0 || PhSeen_Run(s, i)->job != PhSeen_Run(s, i - 1)->job ||
           PhSeen_Run(s, i)->task != PhSeen_Run(s, i - 1)->task;
}

static PhSeenJob *
job_find(PhSeen *s, uint32_t i)
{
    while (s->jobs->len <= i) {
        PhSeenJob j = {.begun = PH_TIME_NEVER, .completed = PH_TIME_NEVER};
        g_array_append_val(s->jobs, j);
    }
    return PhSeen_Job(s, i);
}

/* The newest run of a task on a worker, or NULL. */
static PhSeenRun *
run_find(const PhSeen *s, const PhSoakNote *n)
{
    for (guint i = s->runs->len; i-- > 0;) {
        PhSeenRun *r = PhSeen_Run(s, i);
        if (r->worker == n->party.index && r->job == n->job &&
            r->task == n->as.run.task && r->run == n->as.run.run) {
            return r;
        }
    }
    return NULL;
}

static void
run_read(PhSeen *s, const PhSoakNote *n)
{
    PhSeenRun *r = run_find(s, n);
    PhSeenJob *j = job_find(s, n->job);
    switch (n->as.run.event) {
    case PH_SOAK_RUN_START: {
        PhSeenRun run = {.worker = n->party.index,
                         .job = n->job,
                         .task = n->as.run.task,
                         .run = n->as.run.run,
                         .start = n->at,
                         .end = PH_TIME_NEVER};
        g_array_append_val(s->runs, run);
        j->begun = MIN(j->begun, n->at);
        break;
    }
    case PH_SOAK_RUN_DONE:
    case PH_SOAK_RUN_OVER:
        if (r != NULL) {
            r->end = n->at;
            r->done = n->as.run.event == PH_SOAK_RUN_DONE;
        }
        break;
    case PH_SOAK_RUN_NOTED:
        if (r != NULL) {
            r->noted = n->at;
        }
        break;
    }
}

/* What still ran on a worker ended with it. */
static void
exit_read(PhSeen *s, const PhSoakNote *n)
{
    for (guint i = 0; i < s->runs->len; i++) {
        PhSeenRun *r = PhSeen_Run(s, i);
        if (n->party.kind == PH_SOAK_WORKER && r->worker == n->party.index &&
            r->end == PH_TIME_NEVER) {
            r->end = n->sent_at != 0 ? n->sent_at : n->at;
        }
    }
}

static void
note_read(PhSeen *s, const PhSoakNote *n)
{
    PhSeenJob *j;
    switch (n->tag) {
    case PH_SOAK_NOTE_RUN:
        run_read(s, n);
        break;
    case PH_SOAK_NOTE_EXIT:
        exit_read(s, n);
        break;
    case PH_SOAK_NOTE_SUBMIT:
        j = job_find(s, n->job);
        j->submitted = n->at;
        j->lasting = n->as.submit.lasting;
        j->tasks = n->as.submit.tasks;
        break;
    case PH_SOAK_NOTE_ACCEPTED:
        j = job_find(s, n->job);
        j->accepted = j->accepted != 0 ? j->accepted : n->at;
        break;
    case PH_SOAK_NOTE_CANCEL:
        job_find(s, n->job)->cancel = n->at;
        break;
    case PH_SOAK_NOTE_CANCELLED:
        job_find(s, n->job)->cancelled = n->at;
        break;
    case PH_SOAK_NOTE_FINAL:
        j = job_find(s, n->job);
        j->asked = true;
        j->final = n->as.state;
        s->finish = MIN(s->finish, n->sent_at);
        break;
    case PH_SOAK_NOTE_ACT:
    case PH_SOAK_NOTE_SLOW:
    case PH_SOAK_NOTE_STOP:
    case PH_SOAK_NOTE_LEAVING:
    case PH_SOAK_NOTE_STATE:
    case PH_SOAK_NOTE_PENDING:
    case PH_SOAK_NOTE_CALL:
        break;
    }
}

static gint
compare_runs(gconstpointer a, gconstpointer b)
{
    const PhSeenRun *x = a;
    const PhSeenRun *y = b;
    if (x->job != y->job) {
        return x->job < y->job ? -1 : 1;
    }
    if (x->task != y->task) {
        return x->task < y->task ? -1 : 1;
    }
    return (x->start > y->start) - (x->start < y->start);
}

/* A job is completed once all its tasks are done. */
static void
completions_find(PhSeen *s)
{
    uint32_t *done = g_new0(uint32_t, s->jobs->len + 1);
    PhTime *last = g_new0(PhTime, s->jobs->len + 1);
    bool counted = false;
    for (guint i = 0; i < s->runs->len; i++) {
        const PhSeenRun *r = PhSeen_Run(s, i);
        counted = !PhSeen_IsFirstRun(s, i) && counted;
        if (r->done && !counted) {
            counted = true;
            done[r->job]++;
            last[r->job] = MAX(last[r->job], r->end);
        }
    }
    for (guint i = 0; i < s->jobs->len; i++) {
        PhSeenJob *j = PhSeen_Job(s, i);
        if (j->tasks > 0 && done[i] >= j->tasks) {
            j->completed = last[i];
        }
    }
    g_free(done);
    g_free(last);
}

void
PhSeen_Read(PhSeen *s, const PhSoakPlan *plan, const GArray *notes)
{
    *s = (PhSeen){.plan = plan,
                  .notes = notes,
                  .runs = g_array_new(FALSE, TRUE, sizeof(PhSeenRun)),
                  .jobs = g_array_new(FALSE, TRUE, sizeof(PhSeenJob)),
                  .finish = PH_TIME_NEVER};
    for (guint i = 0; i < notes->len; i++) {
        note_read(s, PhSeen_Note(s, i));
    }
    g_array_sort(s->runs, compare_runs);
    completions_find(s);
}

void
PhSeen_Clear(PhSeen *s)
{
    g_array_free(s->runs, TRUE);
    g_array_free(s->jobs, TRUE);
}
