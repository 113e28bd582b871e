#include <inttypes.h>

#include "peridothill/codec/json.h"
#include "services/operators/operators_task.h"

#define REPORT_TIMEOUT_NS (3 * PH_NS_PER_S)

/* GET /status: the answer follows with the report of "config". */
void
PhOperatorsStatus_Get(PhOperatorsTask *t, const PhOperatorsCall *call)
{
    uint64_t number = PhOperators_AddPending(t, call, 0, REPORT_TIMEOUT_NS);
    PhConfigMessage m = {.tag = PH_CONFIG_REPORT, .as.report = number};
    PhOperators_Forward(t, number, PH_SERVICE_CONFIG,
                        PhConfigMessage_Wrap(&m));
}

static json_t *
peers_make(const PhConfigReported *r)
{
    json_t *list = json_array();
    for (size_t i = 0; i < r->peer_count; i++) {
        const PhConfigPeerRow *p = &r->peers[i];
        json_t *row = json_object();
        json_object_set_new(row, "member", PhJson_String(p->member));
        json_object_set_new(row, "local", json_boolean(p->local));
        json_object_set_new(row, "version",
                            json_integer((json_int_t)p->version));
        json_object_set_new(row, "heard_ms_ago",
                            json_integer(p->heard_ms_ago));
        json_array_append_new(list, row);
    }
    return list;
}

static json_t *
config_make(const PhConfigReported *r)
{
    char digest[17];
    json_t *o = json_object();
    g_snprintf(digest, sizeof(digest), "%016" PRIx64, r->digest);
    json_object_set_new(o, "standing",
                        json_string(PhConfigSyncState_Name(r->standing)));
    json_object_set_new(o, "version", json_integer((json_int_t)r->version));
    json_object_set_new(o, "digest", json_string(digest));
    json_object_set_new(o, "highest_heard",
                        json_integer((json_int_t)r->highest_heard));
    json_object_set_new(o, "log_heard_ms_ago",
                        json_integer(r->log_heard_ms_ago));
    json_object_set_new(o, "reads_log", json_boolean(r->reads_log));
    json_object_set_new(o, "records_missing", json_boolean(r->has_gap));
    json_object_set_new(o, "patches_waiting",
                        json_integer((json_int_t)r->patches_pending));
    json_object_set_new(o, "peers", peers_make(r));
    return o;
}

/* Guarantees that hold in the current state of the connections. */
static json_t *
promises_make(const PhOperatorsTask *t, const PhConfigReported *r)
{
    json_t *list = json_array();
    bool platform = !t->has_view || t->view.platform_reachable;
    switch (r->standing) {
    case PH_CONFIG_SYNC_RECOVERING:
        json_array_append_new(
            list, json_string("no configuration is in force here yet"));
        break;
    case PH_CONFIG_SYNC_LAGGING:
        json_array_append_new(
            list, json_string("a later version exists and is being fetched"));
        break;
    case PH_CONFIG_SYNC_STALE:
        json_array_append_new(
            list, json_string("the version in force stays; later ones may "
                              "exist that are not heard of here"));
        break;
    case PH_CONFIG_SYNC_IN_FORCE:
        json_array_append_new(
            list, json_string("the latest accepted version is in force"));
        break;
    }
    if (!platform) {
        json_array_append_new(
            list, json_string("patches are answered as not accepted or "
                              "unknown until the platform is heard again"));
    }
    if (t->has_view && !t->view.other_data_centres_reachable) {
        json_array_append_new(
            list, json_string("requests are served from this data centre"));
    }
    return list;
}

static json_t *
reachability_make(const PhMembersView *view)
{
    json_t *o = json_object();
    json_object_set_new(o, "own_data_centre",
                        json_boolean(view->own_data_centre_reachable));
    json_object_set_new(o, "other_data_centres",
                        json_boolean(view->other_data_centres_reachable));
    json_object_set_new(o, "platform", json_boolean(view->platform_reachable));
    return o;
}

void
PhOperatorsStatus_Report(PhOperatorsTask *t, uint64_t id,
                         const PhConfigReported *r)
{
    json_t *o = json_object();
    json_object_set_new(o, "instance", PhJson_String(t->options.instance));
    json_object_set_new(o, "data_centre",
                        PhJson_String(t->options.data_centre));
    json_object_set_new(o, "config", config_make(r));
    json_object_set_new(o, "promises", promises_make(t, r));
    if (t->has_view) {
        json_object_set_new(o, "hears", reachability_make(&t->view));
    }
    PhOperators_Answer(t, id, PH_HTTP_STATUS_OK, o);
}

/* GET /members: the latest membership view. */
void
PhOperatorsStatus_Members(PhOperatorsTask *t, const PhOperatorsCall *call)
{
    json_t *list = json_array();
    for (size_t i = 0; t->has_view && i < t->view.member_count; i++) {
        const PhMember *m = &t->view.members[i];
        json_t *row = json_object();
        json_object_set_new(row, "id", PhJson_String(m->id));
        json_object_set_new(row, "data_centre", PhJson_String(m->data_centre));
        json_object_set_new(row, "address", PhJson_String(m->address));
        json_object_set_new(row, "state",
                            PhJson_String(PhMemberState_Name(m->state)));
        json_object_set_new(row, "incarnation",
                            json_integer((json_int_t)m->incarnation));
        json_object_set_new(row, "draining", json_boolean(m->draining));
        json_array_append_new(list, row);
    }
    json_t *o = json_object();
    json_object_set_new(o, "members", list);
    PhOperators_Answer(t, call->id, PH_HTTP_STATUS_OK, o);
}

/* GET /metrics: all counters in the Prometheus text format. */
void
PhOperatorsStatus_Metrics(PhOperatorsTask *t, const PhOperatorsCall *call)
{
    PhBuf text = {0};
    PhHttpHeader type = {.name = PhStr_LITERAL("Content-Type"),
                         .value = PhStr_LITERAL("text/plain; version=0.0.4")};
    PhCounters_Render(PhKernel_Counters(PhTask_Kernel(t->self)), &text);
    PhListener_Answer(t->listener, call->id, PH_HTTP_STATUS_OK, &type, 1,
                      PhBuf_Str(&text));
    PhBuf_Clear(&text);
}

/* POST /drain: stops accepting work and, when done, ends the process. */
void
PhOperatorsStatus_Drain(PhOperatorsTask *t, const PhOperatorsCall *call)
{
    if (t->options.drain == NULL) {
        PhOperators_Refuse(t, call->id, PH_HTTP_STATUS_NOT_IMPLEMENTED,
                           "this process cannot be drained");
        return;
    }
    t->options.drain(t->options.drain_context);
    PhOperators_Answer(t, call->id, PH_HTTP_STATUS_ACCEPTED,
                       json_pack("{s:s}", "outcome", "draining"));
}
