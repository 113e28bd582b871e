#include <inttypes.h>

#include "peridothill/codec/config_record.h"
#include "peridothill/codec/json.h"
#include "services/operators/operators_task.h"

#define QUERY_TIMEOUT_NS (3 * PH_NS_PER_S)
#define PATCH_TIMEOUT_NS (8 * PH_NS_PER_S)
/* This task waits longer than the deadline that it passes to "config", whose
 * answer tells more than a 504. */
#define PATCH_MARGIN_NS (1 * PH_NS_PER_S)

/* Kinds of answers. */
enum {
    REPLY_STATE,
    REPLY_DIFF,
    REPLY_OTHER,
};

static void
config_forward(PhOperatorsTask *t, uint64_t number, const PhConfigMessage *m)
{
    PhOperators_Forward(t, number, PH_SERVICE_CONFIG, PhConfigMessage_Wrap(m));
}

static void
versions_request(PhOperatorsTask *t, const PhOperatorsCall *call, int kind,
                 uint64_t from, uint64_t to)
{
    uint64_t number = PhOperators_AddPending(t, call, kind, QUERY_TIMEOUT_NS);
    PhConfigMessage m = {
        .tag = PH_CONFIG_GET,
        .as.get = {.request = number, .from = from, .to = to}};
    config_forward(t, number, &m);
}

/* GET /config: the version in force. */
void
PhOperatorsConfig_Get(PhOperatorsTask *t, const PhOperatorsCall *call)
{
    versions_request(t, call, REPLY_STATE, PH_CONFIG_VERSION_IN_FORCE,
                     PH_CONFIG_VERSION_IN_FORCE);
}

/* GET /config/at/VERSION: a version that is still held. */
void
PhOperatorsConfig_At(PhOperatorsTask *t, const PhOperatorsCall *call)
{
    uint64_t version;
    if (!PhStr_ParseU64(call->rest, &version)) {
        PhOperators_Refuse(t, call->id, PH_HTTP_STATUS_BAD_REQUEST,
                           "a version number is needed");
        return;
    }
    versions_request(t, call, REPLY_STATE, version, version);
}

/* Version named by a key of the query; the version in force if the key is
 * absent. */
static bool
query_version(PhStr query, PhStr key, uint64_t *version)
{
    PhStr text;
    *version = PH_CONFIG_VERSION_IN_FORCE;
    if (!PhListener_QueryValue(query, key, &text)) {
        return true;
    }
    bool valid = PhStr_ParseU64(text, version);
    PhStr_Clear(&text);
    return valid;
}

/* GET /config/diff?from=VERSION&to=VERSION: the changes between two. */
void
PhOperatorsConfig_Diff(PhOperatorsTask *t, const PhOperatorsCall *call)
{
    uint64_t from;
    uint64_t to;
    if (!query_version(call->query, PhStr_LITERAL("from"), &from) ||
        !query_version(call->query, PhStr_LITERAL("to"), &to)) {
        PhOperators_Refuse(t, call->id, PH_HTTP_STATUS_BAD_REQUEST,
                           "from and to are version numbers");
        return;
    }
    versions_request(t, call, REPLY_DIFF, from, to);
}

/* GET /config/history: the latest verdicts. */
void
PhOperatorsConfig_History(PhOperatorsTask *t, const PhOperatorsCall *call)
{
    uint64_t number =
        PhOperators_AddPending(t, call, REPLY_OTHER, QUERY_TIMEOUT_NS);
    PhConfigMessage m = {.tag = PH_CONFIG_HISTORY, .as.history = number};
    config_forward(t, number, &m);
}

/* POST /config/patches: passes a patch to the task "config".  The client is
 * answered when the verdict or the timeout arrives. */
void
PhOperatorsConfig_Patch(PhOperatorsTask *t, const PhOperatorsCall *call)
{
    PhConfigPatch patch;
    PhResult result = PhConfigPatch_Decode(call->body, &patch);
    if (!PhResult_IsOk(&result)) {
        char *reason = PhStr_ToC(PhResult_Message(&result));
        PhOperators_Refuse(t, call->id, PH_HTTP_STATUS_BAD_REQUEST, reason);
        g_free(reason);
        return;
    }
    uint64_t number = PhOperators_AddPending(
        t, call, REPLY_OTHER, PATCH_TIMEOUT_NS + PATCH_MARGIN_NS);
    PhConfigMessage m = {
        .tag = PH_CONFIG_PATCH,
        .as.patch = {.request = number,
                     .patch = patch,
                     .deadline = PhTask_Now(t->self) + PATCH_TIMEOUT_NS}};
    config_forward(t, number, &m);
}

/* POST /config/bridge: skips records that expired before they were read. */
void
PhOperatorsConfig_Bridge(PhOperatorsTask *t, const PhOperatorsCall *call)
{
    uint64_t number =
        PhOperators_AddPending(t, call, REPLY_OTHER, QUERY_TIMEOUT_NS);
    PhConfigMessage m = {.tag = PH_CONFIG_BRIDGE, .as.bridge = number};
    config_forward(t, number, &m);
}

/* GET /config/patches/ID: the verdict on a patch. */
void
PhOperatorsConfig_Find(PhOperatorsTask *t, const PhOperatorsCall *call)
{
    uint64_t number =
        PhOperators_AddPending(t, call, REPLY_OTHER, QUERY_TIMEOUT_NS);
    PhConfigMessage m = {
        .tag = PH_CONFIG_FIND,
        .as.find = {.request = number, .id = PhStr_Dup(call->rest)}};
    config_forward(t, number, &m);
}

static void
answer_state(PhOperatorsTask *t, uint64_t id, const PhConfigState *state)
{
    char digest[17];
    json_t *body = json_object();
    json_t *entries = json_object();
    g_snprintf(digest, sizeof(digest), "%016" PRIx64,
               PhConfigState_Digest(state));
    for (size_t i = 0; i < PhConfigState_Count(state); i++) {
        const PhConfigEntry *e = PhConfigState_At(state, i);
        json_object_setn_new(entries, e->path.data, e->path.len,
                             PhJson_String(e->value));
    }
    json_object_set_new(
        body, "version",
        json_integer((json_int_t)PhConfigState_Version(state)));
    json_object_set_new(body, "digest", json_string(digest));
    json_object_set_new(body, "entries", entries);
    PhOperators_Answer(t, id, PH_HTTP_STATUS_OK, body);
}

static void
answer_diff(PhOperatorsTask *t, uint64_t id, const PhConfigVersions *versions)
{
    json_t *body = json_object();
    json_t *list = json_array();
    GArray *changes = PhConfigState_Diff(versions->from, versions->to);
    for (guint i = 0; i < changes->len; i++) {
        json_array_append_new(list, PhConfigChange_ToJson(&g_array_index(
                                        changes, PhConfigChange, i)));
    }
    g_array_free(changes, TRUE);
    json_object_set_new(
        body, "from",
        json_integer((json_int_t)PhConfigState_Version(versions->from)));
    json_object_set_new(
        body, "to",
        json_integer((json_int_t)PhConfigState_Version(versions->to)));
    json_object_set_new(body, "changes", list);
    PhOperators_Answer(t, id, PH_HTTP_STATUS_OK, body);
}

static void
versions_handle(PhOperatorsTask *t, const PhConfigVersions *versions)
{
    PhOperatorsPending p;
    if (!PhOperators_TakePending(t, versions->request, &p)) {
        return;
    }
    if (versions->to == NULL) {
        PhOperators_Refuse(t, p.id, PH_HTTP_STATUS_NOT_FOUND,
                           "this version is not held here");
    }
    else if (p.kind == REPLY_DIFF) {
        answer_diff(t, p.id, versions);
    }
    else {
        answer_state(t, p.id, versions->to);
    }
}

/* Name of an outcome in the JSON answer, and its HTTP status. */
static const char *
outcome_of(PhStatus status, int *http)
{
    static const struct {
        PhStatus status;
        const char *word;
        int http;
    } rows[] = {
        {PH_STATUS_OK, "accepted", PH_HTTP_STATUS_OK},
        {PH_STATUS_CONFLICT, "refused", PH_HTTP_STATUS_CONFLICT},
        {PH_STATUS_EXPIRED, "refused", PH_HTTP_STATUS_CONFLICT},
        {PH_STATUS_INVALID, "refused", PH_HTTP_STATUS_INVALID},
        {PH_STATUS_UNAVAILABLE, "not-accepted", PH_HTTP_STATUS_UNAVAILABLE},
        {PH_STATUS_NOT_FOUND, "not-found", PH_HTTP_STATUS_NOT_FOUND},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        if (rows[i].status == status) {
            *http = rows[i].http;
            return rows[i].word;
        }
    }
    *http = PH_HTTP_STATUS_TIMEOUT;
    return "unknown";
}

static json_t *
outcome_make(PhStr id, const PhResult *result, uint64_t version, int *http)
{
    json_t *body = json_object();
    json_object_set_new(body, "id", PhJson_String(id));
    json_object_set_new(body, "outcome",
                        json_string(outcome_of(result->status, http)));
    json_object_set_new(body, "reason",
                        PhJson_String(PhResult_Message(result)));
    json_object_set_new(body, "version", json_integer((json_int_t)version));
    return body;
}

static void
verdict_handle(PhOperatorsTask *t, const PhConfigVerdictReply *v)
{
    PhOperatorsPending p;
    int http;
    if (PhOperators_TakePending(t, v->request, &p)) {
        json_t *body = outcome_make(v->id, &v->result, v->version, &http);
        PhOperators_Answer(t, p.id, http, body);
    }
}

static void
verdicts_handle(PhOperatorsTask *t, const PhConfigVerdicts *verdicts)
{
    PhOperatorsPending p;
    if (!PhOperators_TakePending(t, verdicts->request, &p)) {
        return;
    }
    json_t *list = json_array();
    for (size_t i = 0; i < verdicts->row_count; i++) {
        const PhConfigVerdictRow *r = &verdicts->rows[i];
        int http;
        json_t *row = outcome_make(r->id, &r->result, r->version, &http);
        json_object_set_new(row, "author", PhJson_String(r->author));
        json_object_set_new(row, "appended_ms", json_integer(r->appended_ms));
        json_array_append_new(list, row);
    }
    json_t *body = json_object();
    json_object_set_new(body, "patches", list);
    PhOperators_Answer(t, p.id, PH_HTTP_STATUS_OK, body);
}

void
PhOperatorsConfig_Handle(PhOperatorsTask *t, const PhConfigMessage *m)
{
    PhOperatorsPending p;
    switch (m->tag) {
    case PH_CONFIG_VERDICT:
        verdict_handle(t, &m->as.verdict);
        break;
    case PH_CONFIG_VERSIONS:
        versions_handle(t, &m->as.versions);
        break;
    case PH_CONFIG_VERDICTS:
        verdicts_handle(t, &m->as.verdicts);
        break;
    case PH_CONFIG_REPORTED:
        if (PhOperators_TakePending(t, m->as.reported.request, &p)) {
            PhOperatorsStatus_Report(t, p.id, &m->as.reported);
        }
        break;
    case PH_CONFIG_SUBSCRIBE:
    case PH_CONFIG_IN_FORCE:
    case PH_CONFIG_PATCH:
    case PH_CONFIG_FIND:
    case PH_CONFIG_GET:
    case PH_CONFIG_HISTORY:
    case PH_CONFIG_REPORT:
    case PH_CONFIG_BRIDGE:
        break;
    }
}
