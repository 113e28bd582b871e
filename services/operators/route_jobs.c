#include "peridothill/codec/job_record.h"
#include "peridothill/codec/json.h"
#include "services/operators/operators_task.h"

#define JOB_TIMEOUT_NS (8 * PH_NS_PER_S)

enum {
    LIST_LIMIT = 200
};

static void
tasks_forward(PhOperatorsTask *t, uint64_t number, const PhTasksMessage *m)
{
    PhOperators_Forward(t, number, PH_SERVICE_TASKS, PhTasksMessage_Wrap(m));
}

/* Answers with the error message of a result. */
static void
result_refuse(PhOperatorsTask *t, uint64_t id, int status,
              const PhResult *result)
{
    char *reason = PhStr_ToC(PhResult_Message(result));
    PhOperators_Refuse(t, id, status, reason);
    g_free(reason);
}

/* POST /jobs: submits a job and answers once it is accepted or refused. */
void
PhOperatorsJobs_Submit(PhOperatorsTask *t, const PhOperatorsCall *call)
{
    json_t *json;
    PhJobSpec spec;
    PhResult result = PhJson_Parse(call->body, &json);
    if (PhResult_IsOk(&result)) {
        result = PhJobSpec_FromJson(json, &spec);
        json_decref(json);
    }
    if (!PhResult_IsOk(&result)) {
        result_refuse(t, call->id, PH_HTTP_STATUS_BAD_REQUEST, &result);
        return;
    }
    uint64_t number = PhOperators_AddPending(t, call, 0, JOB_TIMEOUT_NS);
    PhTasksMessage m = {.tag = PH_TASKS_SUBMIT,
                        .as.submit = {.id = number, .spec = spec}};
    tasks_forward(t, number, &m);
}

/* Requests one job, or a page of jobs from number `from` on if `job` is 0. */
static void
list_request(PhOperatorsTask *t, const PhOperatorsCall *call, uint64_t job,
             uint64_t from)
{
    uint64_t number = PhOperators_AddPending(t, call, job > 0, JOB_TIMEOUT_NS);
    PhTasksMessage m = {
        .tag = PH_TASKS_LIST,
        .as.list = {
            .id = number, .job = job, .from = from, .limit = LIST_LIMIT}};
    tasks_forward(t, number, &m);
}

/* GET /jobs, or /jobs?from=N for later pages. */
void
PhOperatorsJobs_List(PhOperatorsTask *t, const PhOperatorsCall *call)
{
    PhStr key;
    PhStr value;
    uint64_t from = 0;
    if (PhStr_Cut(call->query, '=', &key, &value) &&
        PhStr_Equal(key, PhStr_LITERAL("from"))) {
        PhStr_ParseU64(value, &from);
    }
    list_request(t, call, 0, from);
}

static bool
job_number(PhOperatorsTask *t, const PhOperatorsCall *call, uint64_t *job)
{
    if (PhStr_ParseU64(call->rest, job) && *job > 0) {
        return true;
    }
    PhOperators_Refuse(t, call->id, PH_HTTP_STATUS_BAD_REQUEST,
                       "the number of a job is needed");
    return false;
}

/* GET /jobs/NUMBER. */
void
PhOperatorsJobs_Get(PhOperatorsTask *t, const PhOperatorsCall *call)
{
    uint64_t job;
    if (job_number(t, call, &job)) {
        list_request(t, call, job, 0);
    }
}

/* DELETE /jobs/NUMBER: cancels a job. */
void
PhOperatorsJobs_Cancel(PhOperatorsTask *t, const PhOperatorsCall *call)
{
    uint64_t job;
    if (!job_number(t, call, &job)) {
        return;
    }
    uint64_t number = PhOperators_AddPending(t, call, 0, JOB_TIMEOUT_NS);
    PhTasksMessage m = {.tag = PH_TASKS_CANCEL,
                        .as.cancel = {.id = number, .job = job}};
    tasks_forward(t, number, &m);
}

static int
http_status(PhStatus status)
{
    if (status == PH_STATUS_OK || status == PH_STATUS_EXISTS) {
        return PH_HTTP_STATUS_OK;
    }
    if (status == PH_STATUS_INVALID) {
        return PH_HTTP_STATUS_BAD_REQUEST;
    }
    if (status == PH_STATUS_NOT_FOUND) {
        return PH_HTTP_STATUS_NOT_FOUND;
    }
    return status == PH_STATUS_UNKNOWN ? PH_HTTP_STATUS_TIMEOUT
                                       : PH_HTTP_STATUS_UNAVAILABLE;
}

static void
outcome_answer(PhOperatorsTask *t, uint64_t id, const char *done,
               const PhResult *result, uint64_t job)
{
    if (http_status(result->status) != PH_HTTP_STATUS_OK) {
        result_refuse(t, id, http_status(result->status), result);
        return;
    }
    json_t *o = json_pack("{s:s}", "outcome",
                          result->status == PH_STATUS_EXISTS ? "known" : done);
    if (job > 0) {
        json_object_set_new(o, "job", json_integer((json_int_t)job));
    }
    PhOperators_Answer(t, id, PH_HTTP_STATUS_OK, o);
}

static json_t *
row_make(const PhTasksRow *row)
{
    json_t *o = json_pack(
        "{s:I,s:s,s:i,s:i,s:i,s:i,s:i,s:i,s:b}", "job", (json_int_t)row->job,
        "class", PhJobClass_Name(row->class), "count", (int)row->count,
        "waiting", (int)row->waiting, "placed", (int)row->placed, "done",
        (int)row->done, "cancelled", (int)row->cancelled, "evictions",
        (int)row->evictions, "cancel_wanted", (int)row->cancel_wanted);
    json_object_set_new(o, "key", PhJson_String(row->key));
    json_object_set_new(o, "team", PhJson_String(row->team));
    if (row->reason.len > 0) {
        json_object_set_new(o, "reason", PhJson_String(row->reason));
    }
    return o;
}

/* Answers with a page of jobs, or with a single job. */
static void
listed_answer(PhOperatorsTask *t, const PhOperatorsPending *pending,
              const PhTasksListed *listed)
{
    bool one = pending->kind != 0;
    if (listed->status != PH_STATUS_OK) {
        PhOperators_Refuse(t, pending->id, http_status(listed->status),
                           listed->status == PH_STATUS_NOT_FOUND
                               ? "no such job"
                               : "the stream of jobs was not read yet");
        return;
    }
    if (one) {
        PhOperators_Answer(t, pending->id, PH_HTTP_STATUS_OK,
                           row_make(&listed->rows[0]));
        return;
    }
    json_t *rows = json_array();
    for (size_t i = 0; i < listed->row_count; i++) {
        json_array_append_new(rows, row_make(&listed->rows[i]));
    }
    json_t *o = json_pack("{s:o}", "jobs", rows);
    if (listed->next > 0) {
        json_object_set_new(o, "next", json_integer((json_int_t)listed->next));
    }
    PhOperators_Answer(t, pending->id, PH_HTTP_STATUS_OK, o);
}

void
PhOperatorsJobs_Handle(PhOperatorsTask *t, const PhTasksMessage *m)
{
    PhOperatorsPending pending;
    switch (m->tag) {
    case PH_TASKS_SUBMITTED:
        if (PhOperators_TakePending(t, m->as.submitted.id, &pending)) {
            outcome_answer(t, pending.id, "accepted", &m->as.submitted.result,
                           m->as.submitted.job);
        }
        break;
    case PH_TASKS_CANCELLED:
        if (PhOperators_TakePending(t, m->as.cancelled.id, &pending)) {
            outcome_answer(t, pending.id, "cancelled", &m->as.cancelled.result,
                           0);
        }
        break;
    case PH_TASKS_LISTED:
        if (PhOperators_TakePending(t, m->as.listed.id, &pending)) {
            listed_answer(t, &pending, &m->as.listed);
        }
        break;
    case PH_TASKS_SUBMIT:
    case PH_TASKS_LIST:
    case PH_TASKS_CANCEL:
        break;
    }
}
