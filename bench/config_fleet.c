#include "peridothill/bench/config_fleet.h"

#include "bench/config_fleet_internal.h"

enum {
    APPENDS_PER_SECOND = 150,
    QUEUE_LIMIT = 1024,
};

#define POLL_NS (1 * PH_NS_PER_S)
#define LOCAL_DELAY_NS (250 * PH_NS_PER_US)
#define REGION_DELAY_NS (4500 * PH_NS_PER_US)
#define REMOTE_DELAY_NS (40 * PH_NS_PER_MS)
#define LOG_DELAY_NS (5 * PH_NS_PER_MS)

/* Releases what an event in transit refers to. */
static void
event_clear(PhConfigEvent *event, GPtrArray *records)
{
    if (event->kind == PH_CONFIG_EVENT_STATE) {
        PhConfigSnapshot_Unref(event->as.state);
    }
    if (event->kind == PH_CONFIG_EVENT_SNAPSHOTS) {
        PhConfigSnapshot_Unref(event->as.snapshots.latest);
    }
    if (records != NULL) {
        g_ptr_array_unref(records);
    }
}

static void
message_clear(gpointer data)
{
    PhFleetMessage *m = data;
    event_clear(&m->event, m->records);
}

void
PhFleetAnswer_Destroy(gpointer data)
{
    PhFleetAnswer *a = data;
    event_clear(&a->event, a->records);
    g_free(a);
}

static void
record_unref(gpointer record)
{
    PhConfigRecord_Unref(record);
}

static void
snapshot_unref(gpointer snapshot)
{
    PhConfigSnapshot_Unref(snapshot);
}

static void
patch_clear(gpointer patch)
{
    PhConfigPatch_Clear(patch);
}

static void
links_set(PhConfigFleet *f)
{
    uint32_t n = f->options.data_centres;
    for (uint32_t a = 0; a < n; a++) {
        for (uint32_t b = 0; b < n; b++) {
            PhFakeLink *link = PhFakeNet_Link(f->net, a, b);
            bool region = a % f->options.regions == b % f->options.regions;
            link->delay_min = a == b   ? LOCAL_DELAY_NS
                              : region ? REGION_DELAY_NS
                                       : REMOTE_DELAY_NS;
            link->delay_extra = link->delay_min / 4;
            link->loss = f->options.loss;
        }
    }
}

PhConfigFleet *
PhConfigFleet_Create(const PhConfigFleetOptions *options)
{
    PhConfigFleet *f = g_new0(PhConfigFleet, 1);
    f->options = *options;
    if (options->appends_per_second == 0) {
        f->options.appends_per_second = APPENDS_PER_SECOND;
    }
    f->net =
        PhFakeNet_Create(options->seed, options->instances, message_clear);
    f->log =
        PhFakeLog_Create(&(PhFakeLogOptions){.seed = options->seed + 1,
                                             .retention = options->retention,
                                             .delay_min = LOG_DELAY_NS,
                                             .delay_extra = 2 * LOG_DELAY_NS,
                                             .timeout = LOG_TIMEOUT_NS});
    f->random = PhRandom_Create(options->seed + 2);
    f->instances = g_new0(PhFleetInstance, options->instances);
    f->patches = g_array_new(FALSE, FALSE, sizeof(PhConfigPatch));
    g_array_set_clear_func(f->patches, patch_clear);
    f->snapshots = g_ptr_array_new_with_free_func(snapshot_unref);
    f->records =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, record_unref);
    f->versions = g_array_new(FALSE, TRUE, sizeof(PhFleetVersion));
    f->next_token = TOKEN_ANSWER;
    for (uint32_t i = 0; i < options->instances; i++) {
        PhFleetInstance *x = &f->instances[i];
        x->index = i;
        x->group = i % options->data_centres;
        g_snprintf(x->name, NAME_BYTES, "dc%u-%04u", x->group, i);
        PhFakeNet_SetGroup(f->net, i, x->group);
    }
    links_set(f);
    return f;
}

static void
instance_stop(PhFleetInstance *x)
{
    if (x->up) {
        PhConfigFollower_Destroy(x->follower);
        PhConfigAppender_Destroy(x->appender);
        PhRandom_Destroy(x->random);
        g_hash_table_destroy(x->answers);
        x->up = false;
    }
}

void
PhConfigFleet_Destroy(PhConfigFleet *f)
{
    for (uint32_t i = 0; i < f->options.instances; i++) {
        instance_stop(&f->instances[i]);
    }
    g_free(f->instances);
    PhFakeNet_Destroy(f->net);
    PhFakeLog_Destroy(f->log);
    PhRandom_Destroy(f->random);
    g_array_free(f->patches, TRUE);
    g_ptr_array_free(f->snapshots, TRUE);
    g_hash_table_destroy(f->records);
    g_array_free(f->versions, TRUE);
    g_free(f);
}

void
PhConfigFleet_OnAnswer(PhConfigFleet *f, PhFleetAnswerHandler answered,
                       void *context)
{
    f->answered = answered;
    f->context = context;
}

static void
members_publish(PhConfigFleet *f, PhFleetInstance *x)
{
    PhConfigPeer *peers = g_new0(PhConfigPeer, f->options.instances);
    size_t count = 0;
    for (uint32_t i = 0; i < f->options.instances; i++) {
        const PhFleetInstance *other = &f->instances[i];
        if (other->up && other != x) {
            peers[count++] = (PhConfigPeer){.member = PhStr_FromC(other->name),
                                            .local = other->group == x->group};
        }
    }
    PhConfigEvent event = {.kind = PH_CONFIG_EVENT_MEMBERS,
                           .as.members = {.self = PhStr_FromC(x->name),
                                          .peers = peers,
                                          .count = count}};
    PhAppendEvent append = {.kind = PH_APPEND_EVENT_INSTANCES,
                            .as.instances = count + 1};
    PhFleetInstance_Follow(f, x, &event);
    PhFleetInstance_Append(f, x, &append);
    g_free(peers);
}

static void
members_publish_all(PhConfigFleet *f)
{
    for (uint32_t i = 0; i < f->options.instances; i++) {
        if (f->instances[i].up) {
            members_publish(f, &f->instances[i]);
        }
    }
}

/* Starts an instance without telling the others. */
static void
instance_start(PhConfigFleet *f, PhFleetInstance *x)
{
    x->up = true;
    x->version = 0;
    x->tick_at = PH_TIME_NEVER;
    x->log_available_at = -1;
    x->append_failed_at = -1;
    x->first_in_force_at = -1;
    x->answers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                       PhFleetAnswer_Destroy);
    x->random = PhRandom_Create(PhRandom_U64(f->random));
    x->follower = PhConfigFollower_Create(&(PhConfigFollowerOptions){
        .random = x->random,
        .poll_interval = POLL_NS,
        .hello_interval = POLL_NS,
        .retention = f->options.retention > 0 ? f->options.retention
                                              : PH_TIME_NEVER / 4,
        .readers = f->options.readers,
        .now = PhFakeNet_Now(f->net)});
    x->appender = PhConfigAppender_Create(&(PhConfigAppenderOptions){
        .random = x->random,
        .appends_per_second = f->options.appends_per_second,
        .queue_limit = QUEUE_LIMIT});
}

void
PhConfigFleet_Start(PhConfigFleet *f, uint32_t instance)
{
    instance_start(f, &f->instances[instance]);
    members_publish_all(f);
}

void
PhConfigFleet_StartAll(PhConfigFleet *f)
{
    for (uint32_t i = 0; i < f->options.instances; i++) {
        if (!f->instances[i].up) {
            instance_start(f, &f->instances[i]);
        }
    }
    members_publish_all(f);
}

void
PhConfigFleet_CrashAll(PhConfigFleet *f)
{
    for (uint32_t i = 0; i < f->options.instances; i++) {
        PhFakeNet_Crash(f->net, i);
        instance_stop(&f->instances[i]);
    }
}

void
PhConfigFleet_CutLog(PhConfigFleet *f, uint32_t data_centre, bool cut)
{
    f->log_cut[data_centre] = cut;
}

/* The other instances see the crash immediately. */
void
PhConfigFleet_Crash(PhConfigFleet *f, uint32_t instance)
{
    PhFakeNet_Crash(f->net, instance);
    instance_stop(&f->instances[instance]);
    members_publish_all(f);
}

/* Simulates an operator who bridges the log gap at which the instance
 * waits. */
void
PhConfigFleet_Bridge(PhConfigFleet *f, uint32_t instance)
{
    PhConfigEvent event = {.kind = PH_CONFIG_EVENT_BRIDGE};
    PhFleetInstance_Follow(f, &f->instances[instance], &event);
}

bool
PhConfigFleet_IsUp(const PhConfigFleet *f, uint32_t instance)
{
    return f->instances[instance].up;
}

/* Answers a request whose patch is already decided; returns false if it is
 * not. */
static bool
decided_answer(PhConfigFleet *f, const PhFleetInstance *x, uint64_t request,
               PhStr id)
{
    const PhConfigVerdict *v =
        PhConfigLedger_Find(PhConfigFollower_Ledger(x->follower), id);
    if (v == NULL || f->answered == NULL) {
        return false;
    }
    PhResult result = PhResult_Make(v->status, "%.*s", PhStr_ARG(v->reason));
    f->answered(f->context, request, &result, v->version);
    return true;
}

void
PhConfigFleet_Submit(PhConfigFleet *f, uint32_t instance, uint64_t request,
                     uint64_t patch, uint64_t base, uint32_t team,
                     PhTime deadline)
{
    char id[NAME_BYTES];
    char path[NAME_BYTES];
    g_snprintf(id, sizeof(id), "patch-%" PRIu64, patch);
    g_snprintf(path, sizeof(path), "teams.t%u.share", team);
    PhConfigChange change = {.kind = PH_CONFIG_CHANGE_SET,
                             .path = PhStr_FromC(path),
                             .value = PhStr_LITERAL("10")};
    PhConfigPatch p = {.id = PhStr_FromC(id),
                       .author = PhStr_LITERAL("operator"),
                       .base = base,
                       .changes = &change,
                       .change_count = 1};
    if (decided_answer(f, &f->instances[instance], request, p.id)) {
        return;
    }
    PhAppendEvent event = {
        .kind = PH_APPEND_EVENT_SUBMIT,
        .as.submit = {.request = request, .patch = &p, .deadline = deadline}};
    PhFleetInstance_Append(f, &f->instances[instance], &event);
}

void
PhConfigFleet_Run(PhConfigFleet *f, PhTime until)
{
    PhFakeEvent event;
    while (PhFakeNet_Next(f->net, until, &event)) {
        PhFleetInstance *x = &f->instances[event.to];
        if (!x->up) {
            continue;
        }
        if (event.kind == PH_FAKE_MESSAGE) {
            PhFleetMessage *m = event.body;
            PhConfigEvent copy = m->event;
            copy.member = PhStr_FromC(f->instances[event.from].name);
            PhFleetInstance_Follow(f, x, &copy);
        }
        else if (event.token == TOKEN_TICK) {
            PhFleetInstance_Tick(f, x);
        }
        else {
            PhFleetInstance_Answer(f, x, event.token);
        }
    }
}

PhTime
PhConfigFleet_Now(const PhConfigFleet *f)
{
    return PhFakeNet_Now(f->net);
}

PhFakeNet *
PhConfigFleet_Net(PhConfigFleet *f)
{
    return f->net;
}

PhFakeLog *
PhConfigFleet_Log(PhConfigFleet *f)
{
    return f->log;
}

const PhConfigFollower *
PhConfigFleet_Follower(const PhConfigFleet *f, uint32_t instance)
{
    return f->instances[instance].follower;
}

uint64_t
PhConfigFleet_Version(const PhConfigFleet *f, uint32_t instance)
{
    return f->instances[instance].version;
}

PhTime
PhConfigFleet_FirstInForceAt(const PhConfigFleet *f, uint32_t instance)
{
    return f->instances[instance].first_in_force_at;
}

uint64_t
PhConfigFleet_HighestVersion(const PhConfigFleet *f)
{
    return f->versions->len == 0 ? 0 : f->versions->len - 1;
}

const PhFleetVersion *
PhConfigFleet_VersionAt(const PhConfigFleet *f, uint64_t version)
{
    return &g_array_index(f->versions, PhFleetVersion, version);
}

PhFleetCounts *
PhConfigFleet_Counts(PhConfigFleet *f)
{
    return &f->counts;
}
