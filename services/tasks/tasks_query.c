#include "services/tasks/tasks_task.h"

enum {
    LIST_LIMIT_MAX = 1000
};

static void
tasks_send(PhTasksTask *t, PhTaskRef to, const PhTasksMessage *m)
{
    PhTask_Send(t->self, to, PhTasksMessage_Wrap(m));
}

/* Records the sender of a request and returns the token for the engine. */
static uint64_t
call_add(PhTasksTask *t, PhTaskRef sender, uint64_t id)
{
    PhTasksCall *call = g_new(PhTasksCall, 1);
    *call = (PhTasksCall){++t->next_token, sender, id};
    g_hash_table_insert(t->calls, &call->token, call);
    return call->token;
}

void
PhTasksQuery_Answer(PhTasksTask *t, const PhJobAction *action)
{
    const PhTasksCall *call =
        g_hash_table_lookup(t->calls, &action->as.answer.token);
    if (call == NULL) {
        return;
    }
    PhTasksMessage m = {.tag = PH_TASKS_SUBMITTED};
    if (action->as.answer.cancel) {
        m.tag = PH_TASKS_CANCELLED;
        m.as.cancelled.id = call->id;
        m.as.cancelled.result = action->as.answer.result;
    }
    else {
        m.as.submitted.id = call->id;
        m.as.submitted.job = action->as.answer.job;
        m.as.submitted.result = action->as.answer.result;
    }
    tasks_send(t, call->sender, &m);
    g_hash_table_remove(t->calls, &action->as.answer.token);
}

static PhTasksRow
row_make(const PhTasksTask *t, const PhJob *job)
{
    return (PhTasksRow){
        .job = job->number,
        .key = PhStr_Dup(job->spec.key),
        .team = PhStr_Dup(job->spec.team),
        .class = job->spec.class,
        .count = job->spec.count,
        .waiting = job->waiting,
        .placed = job->placed,
        .done = job->done,
        .cancelled = job->cancelled,
        .evictions = job->evictions,
        .cancel_wanted = job->cancel_wanted,
        .reason = PhStr_Dup(PhJobEngine_Reason(t->engine, job->number))};
}

static void
list_handle(PhTasksTask *t, PhTaskRef sender, const PhTasksList *list)
{
    PhTasksMessage m = {.tag = PH_TASKS_LISTED, .as.listed.id = list->id};
    PhTasksListed *listed = &m.as.listed;
    const PhJobState *state = PhJobEngine_State(t->engine);
    if (state == NULL) {
        listed->status = PH_STATUS_UNAVAILABLE;
        tasks_send(t, sender, &m);
        return;
    }
    size_t limit = list->job > 0 ? 1 : MIN(list->limit, LIST_LIMIT_MAX);
    const PhJob *job = list->job > 0 ? PhJobState_Job(state, list->job)
                                     : PhJobState_JobFrom(state, list->from);
    listed->rows = g_new0(PhTasksRow, limit);
    while (job != NULL && listed->row_count < limit) {
        listed->rows[listed->row_count++] = row_make(t, job);
        job = PhJobState_JobFrom(state, job->number + 1);
    }
    if (list->job > 0 && listed->row_count == 0) {
        listed->status = PH_STATUS_NOT_FOUND;
    }
    listed->next = list->job > 0 || job == NULL ? 0 : job->number;
    tasks_send(t, sender, &m);
}

void
PhTasksQuery_Handle(PhTasksTask *t, PhTaskRef sender, const PhTasksMessage *m)
{
    PhJobEvent event = {.kind = PH_JOB_SUBMIT};
    switch (m->tag) {
    case PH_TASKS_SUBMIT:
        event.as.submit.token = call_add(t, sender, m->as.submit.id);
        event.as.submit.spec = &m->as.submit.spec;
        PhTasksTask_HandleEvent(t, &event);
        break;
    case PH_TASKS_CANCEL:
        event.kind = PH_JOB_CANCEL;
        event.as.cancel.token = call_add(t, sender, m->as.cancel.id);
        event.as.cancel.job = m->as.cancel.job;
        PhTasksTask_HandleEvent(t, &event);
        break;
    case PH_TASKS_LIST:
        list_handle(t, sender, &m->as.list);
        break;
    case PH_TASKS_SUBMITTED:
    case PH_TASKS_LISTED:
    case PH_TASKS_CANCELLED:
        break;
    }
}
