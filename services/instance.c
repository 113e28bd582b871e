#include "peridothill/services/instance.h"

#include "peridothill/services/config.h"
#include "peridothill/services/entry.h"
#include "peridothill/services/http.h"
#include "peridothill/services/members.h"
#include "peridothill/services/operators.h"
#include "peridothill/services/peers.h"
#include "peridothill/services/platform_list.h"
#include "peridothill/services/platform_log.h"
#include "peridothill/services/tasks.h"

/* Between two reads of the log by the reader of a data centre. */
static const PhTime CONFIG_POLL_INTERVAL = 500 * PH_NS_PER_MS;
/* Retention of the log by the platform. */
static const PhTime LOG_RETENTION = INT64_C(24) * 3600 * PH_NS_PER_S;

/* Added to the seed of the instance, so that each service has a random
 * sequence of its own. */
enum {
    SEED_OFFSET_PEERS = 1,
    SEED_OFFSET_MEMBERS = 2,
    SEED_OFFSET_CONFIG = 3,
    SEED_OFFSET_ENTRY = 5,
    SEED_OFFSET_TASKS = 6,
};

PhReceiveLimits
PhInstance_ReceiveLimits(const PhInstanceOptions *options)
{
    return (PhReceiveLimits){.budget = options->receive_budget,
                             .header_time =
                                 options->settings->limits.header_time};
}

static PhResult
start_result(PhStatus status, const char *name)
{
    if (status == PH_STATUS_OK) {
        return PhResult_Ok();
    }
    return PhResult_Make(status, "cannot start the service %s", name);
}

/* Services that communicate with the platform. */
static PhResult
start_platform(PhKernel *kernel, const PhSettings *settings)
{
    PhResult r = start_result(PhHttp_Start(kernel), "http");
    if (!PhResult_IsOk(&r)) {
        return r;
    }
    PhLogAdapter adapter = {.kind = PH_LOG_ADAPTER_HTTP,
                            .as.address = settings->platform.log_address};
    r = start_result(PhPlatformLog_Start(kernel, &adapter), "log");
    if (!PhResult_IsOk(&r)) {
        return r;
    }
    PhListOptions list = {.address = settings->platform.list_address,
                          .poll_interval = settings->platform.list_poll};
    return start_result(PhPlatformList_Start(kernel, &list), "list");
}

/* The configured port may be 0, so the advertised address has the bound
 * port. */
static PhStr
peer_address(PhStr listen, uint16_t port)
{
    PhStr host;
    PhStr rest;
    PhBuf address = {0};
    PhStr_Cut(listen, ':', &host, &rest);
    PhBuf_AppendFormat(&address, "%.*s:%u", PhStr_ARG(host), port);
    return PhBuf_Take(&address);
}

/* Services that communicate with other instances. */
static PhResult
start_peers(PhKernel *kernel, const PhInstanceOptions *options,
            PhInstancePorts *ports)
{
    const PhSettings *s = options->settings;
    PhPeersOptions peers = {.listen = s->peers.listen,
                            .id = s->instance.id,
                            .data_centre = s->instance.data_centre,
                            .deployment = s->instance.deployment,
                            .keys = options->keys,
                            .key_count = options->key_count,
                            .seed = options->seed + SEED_OFFSET_PEERS};
    PhResult r = PhPeers_Start(kernel, &peers, &ports->peers);
    if (!PhResult_IsOk(&r)) {
        return r;
    }
    PhStr address = peer_address(s->peers.listen, ports->peers);
    PhMembersOptions members = {.id = s->instance.id,
                                .data_centre = s->instance.data_centre,
                                .address = address,
                                .seeds = s->peers.seeds.items,
                                .seed_count = s->peers.seeds.count,
                                .list_port = ports->peers,
                                .incarnation = options->incarnation,
                                .seed = options->seed + SEED_OFFSET_MEMBERS};
    r = start_result(PhMembers_Start(kernel, &members), "members");
    PhStr_Clear(&address);
    return r;
}

static void
on_drain_request(void *context)
{
    PhInstance_Stop(context);
}

/* Services that operators control. */
static PhResult
start_control(PhKernel *kernel, const PhInstanceOptions *options,
              PhInstancePorts *ports)
{
    const PhSettings *s = options->settings;
    PhConfigOptions config = {.instance = s->instance.id,
                              .data_centre = s->instance.data_centre,
                              .seed = options->seed + SEED_OFFSET_CONFIG,
                              .poll_interval = CONFIG_POLL_INTERVAL,
                              .retention = LOG_RETENTION};
    PhResult r =
        start_result(PhConfigService_Start(kernel, &config), "config");
    if (!PhResult_IsOk(&r)) {
        return r;
    }
    PhTasksOptions tasks = {.data_centre = s->instance.data_centre,
                            .instance = s->instance.id,
                            .seed = options->seed + SEED_OFFSET_TASKS};
    r = start_result(PhTasks_Start(kernel, &tasks), "tasks");
    if (!PhResult_IsOk(&r)) {
        return r;
    }
    PhOperatorsOptions operators = {.listen = s->operators.listen,
                                    .token_file = s->operators.token_file,
                                    .instance = s->instance.id,
                                    .data_centre = s->instance.data_centre,
                                    .drain = on_drain_request,
                                    .drain_context = kernel,
                                    .receive =
                                        PhInstance_ReceiveLimits(options),
                                    .port = &ports->operators};
    return start_result(PhOperators_Start(kernel, &operators), "operators");
}

/* Starts the service "entry", which serves callers. */
static PhResult
start_entry(PhKernel *kernel, const PhInstanceOptions *options,
            PhInstancePorts *ports)
{
    const PhSettings *s = options->settings;
    PhEntryOptions entry = {.listen = s->callers.listen,
                            .instance = s->instance.id,
                            .data_centre = s->instance.data_centre,
                            .seed = options->seed + SEED_OFFSET_ENTRY,
                            .drain_notice = s->limits.drain_notice,
                            .key_window = s->limits.key_window,
                            .body_limit_bytes = s->limits.request_body,
                            .receive = PhInstance_ReceiveLimits(options),
                            .connection_limit =
                                (unsigned)s->limits.connections};
    return PhEntry_Start(kernel, &entry, &ports->callers);
}

PhResult
PhInstance_Start(PhKernel *kernel, const PhInstanceOptions *options,
                 PhInstancePorts *ports)
{
    PhResult r = start_result(PhSupervisor_Start(kernel, &options->supervisor),
                              "supervisor");
    if (PhResult_IsOk(&r)) {
        r = start_platform(kernel, options->settings);
    }
    if (PhResult_IsOk(&r)) {
        r = start_peers(kernel, options, ports);
    }
    if (PhResult_IsOk(&r)) {
        r = start_control(kernel, options, ports);
    }
    if (PhResult_IsOk(&r)) {
        r = start_entry(kernel, options, ports);
    }
    PhKernel_Drain(kernel, SIZE_MAX);
    return r;
}

void
PhInstance_Stop(PhKernel *kernel)
{
    PhKernel_Stop(kernel, PhKernel_Lookup(kernel, PH_SERVICE_SUPERVISOR));
}
