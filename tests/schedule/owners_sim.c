#include "owners_sim_private.h"

#include "peridothill/codec/schedule_record.h"
#include "rest_watch.h"
#include "tests/table.h"

enum {
    CLAIM_DELAY_STEP_MS = 150,
    REPORT_INTERVAL_MS = 1000,
    ENTRY_LIFETIME_MS = 3000, /* lifetime of an entry that is not renewed */
    LONG_TASK_CPU_MILLI = 2000,
    SHORT_TASK_CPU_MILLI = 500,
    SHORT_TASK_MS = 2500, /* run time of a short task */
    JOB_TASKS = 4,
    JOB_INTERVAL_MS = 1000, /* between two jobs of short tasks */
    HANDOVER_MS = 300,      /* longest wait of a release for its records */
    CATCH_UP_MS = 400,      /* until a new instance has read the records */
    /* Draining workers leave long before, with runs that were not moved,
     * unless their drains are announced. */
    STATED_REMAINING_MS = 600000,
};

static const PhSimTaskKind LONG_TASK = {
    .long_running = true, .resources = {.cpu_milli = LONG_TASK_CPU_MILLI}};
static const PhSimTaskKind SHORT_TASK = {
    .resources = {.cpu_milli = SHORT_TASK_CPU_MILLI},
    .run_time = SHORT_TASK_MS * PH_NS_PER_MS};

/* Passes a worker's entry, or its removal, to an instance. */
static void
entry_update(PhOwnersSim *w, PhSimInstance *m, const PhSimWorker *h)
{
    PhStr id = PhStr_FromC(h->id);
    if (!h->listed) {
        PhScheduler_RemoveWorker(m->scheduler, id, PH_REMOVAL_DELETED, w->now);
        return;
    }
    PhSchedWorkerEntry entry = {
        .id = PhStr_Dup(id),
        .born_ms = h->entry_born_ms,
        .address = PhStr_Dup(id),
        .service = PhStr_Dup(PhStr_LITERAL("service")),
        .capacity = h->capacity,
        .draining = h->draining,
        .written_after = h->entry_at,
        .remaining =
            w->drains_announced ? 0 : STATED_REMAINING_MS * PH_NS_PER_MS};
    if (w->rooms != NULL) {
        entry.remaining = PhSimRooms_Remaining(w, (int)(h - w->workers));
    }
    PhScheduler_SetWorker(m->scheduler, &entry, w->now);
}

/* Starts or restarts an instance. */
static void
instance_open(PhSimInstance *m, int number)
{
    *m = (PhSimInstance){.incarnation = m->incarnation + 1};
    g_snprintf(m->name, sizeof(m->name), "instance-%d.%u", number,
               m->incarnation);
    m->election =
        PhElection_Create(PhStr_FromC(m->name), (PhStr){0},
                          (PhTime)number * CLAIM_DELAY_STEP_MS * PH_NS_PER_MS);
    m->bindings = PhBindings_Create();
    m->scheduler = PhScheduler_Create(&(PhSchedulerOptions){
        .lease_limit = 10 * PH_NS_PER_S,
        .report_interval = REPORT_INTERVAL_MS * PH_NS_PER_MS,
        .predecessors = PhElection_Predecessors(m->election)});
}

static void
instance_close(PhSimInstance *m)
{
    PhScheduler_Destroy(m->scheduler);
    PhBindings_Destroy(m->bindings);
    PhElection_Destroy(m->election);
}

PhOwnersSim *
PhOwnersSim_Create(unsigned long_tasks, int64_t short_until_ms)
{
    PhOwnersSim *w = g_new0(PhOwnersSim, 1);
    w->now = PH_OWNERS_START;
    w->log = g_array_new(FALSE, TRUE, sizeof(PhSchedEncoded));
    w->elections = g_array_new(FALSE, TRUE, sizeof(PhElectionEntry));
    w->orders = g_array_new(FALSE, TRUE, sizeof(PhSimOrder));
    PhSimTasks_Open(&w->tasks);
    for (unsigned i = 0; i * JOB_TASKS < long_tasks; i++) {
        PhOwnersSim_AddJob(w, JOB_TASKS, &LONG_TASK);
    }
    w->short_until_ms = short_until_ms;
    w->short_interval_ms = JOB_INTERVAL_MS;
    w->worker_count = PH_OWNERS_WORKERS;
    for (int i = 0; i < PH_OWNERS_WORKERS; i++) {
        PhSimWorker_Open(&w->workers[i], i);
    }
    for (int i = 0; i < PH_OWNERS_INSTANCES; i++) {
        instance_open(&w->instances[i], i);
    }
    return w;
}

void
PhOwnersSim_Destroy(PhOwnersSim *w)
{
    for (int i = 0; i < PH_OWNERS_INSTANCES; i++) {
        instance_close(&w->instances[i]);
    }
    PhSimRooms_Destroy(w->rooms);
    PhRestWatch_Destroy(w->rest);
    PhSimJobs_Destroy(w->drawn);
    for (int i = 0; i < w->worker_count; i++) {
        PhSimWorker_Close(&w->workers[i]);
    }
    for (guint i = 0; i < w->log->len; i++) {
        PhSchedEncoded_Clear(&g_array_index(w->log, PhSchedEncoded, i));
    }
    g_array_free(w->log, TRUE);
    g_array_free(w->elections, TRUE);
    for (guint i = 0; i < w->orders->len; i++) {
        PhSimReply_Clear(&g_array_index(w->orders, PhSimOrder, i).reply);
    }
    g_array_free(w->orders, TRUE);
    PhRandom_Destroy(w->delays);
    PhSimTasks_Close(&w->tasks);
    g_free(w);
}

void
PhOwnersSim_SetDelays(PhOwnersSim *w, uint64_t seed)
{
    w->delays = PhRandom_Create(seed);
}

void
PhOwnersSim_AnnounceDrains(PhOwnersSim *w)
{
    w->drains_announced = true;
}

void
PhOwnersSim_LimitLinks(PhOwnersSim *w, unsigned starts_per_s)
{
    w->start_cost = PH_NS_PER_S / starts_per_s;
}

void
PhOwnersSim_RelayStarts(PhOwnersSim *w)
{
    w->relays = true;
}

void
PhOwnersSim_QueryForRelays(PhOwnersSim *w)
{
    w->relays_query = true;
}

void
PhOwnersSim_SetInterval(PhOwnersSim *w, int64_t interval_ms)
{
    w->short_interval_ms = interval_ms;
}

/* Submits a job of short tasks at each interval. */
static void
submit_jobs(PhOwnersSim *w)
{
    while (PhOwnersSim_ElapsedMs(w) >= w->next_short_ms &&
           w->next_short_ms < w->short_until_ms) {
        PhOwnersSim_AddJob(w, JOB_TASKS, &SHORT_TASK);
        w->next_short_ms += w->short_interval_ms;
    }
}

/* Advances the workers, applies drains and restarts, and updates the
 * entries. */
static void
workers_tick(PhOwnersSim *w)
{
    for (int i = 0; i < w->worker_count; i++) {
        if (w->rooms != NULL) {
            PhSimRooms_TickWorker(w, i);
            continue;
        }
        PhSimWorker *h = &w->workers[i];
        bool drains = PhOwnersSim_IsAffected(w, 1U << PH_OWNERS_DRAIN, -1, i);
        bool store_reachable =
            h->alive && !PhOwnersSim_IsStoreUnreachable(w, -1, i);
        bool is_restarting =
            PhOwnersSim_IsAffected(w, 1U << PH_OWNERS_RESTART, -1, i);
        if (h->draining && !drains && h->alive) {
            PhSimWorker_Stop(h);
            h->listed = h->listed && !store_reachable;
        }
        if (is_restarting && h->alive && !h->draining) {
            PhSimWorker_Stop(h);
            h->restarting = true;
        }
        if (!is_restarting && h->restarting) {
            PhSimWorker_Restart(h, w->now);
            store_reachable = !PhOwnersSim_IsStoreUnreachable(w, -1, i);
        }
        PhSimWorker_Tick(h, &w->tasks, w->now);
        if (store_reachable) {
            h->draining |= drains;
            h->entry_at = w->now;
            h->entry_born_ms = h->born_ms;
        }
        h->listed =
            h->alive ? w->now - h->entry_at < ENTRY_LIFETIME_MS * PH_NS_PER_MS
                     : h->listed && w->now - h->entry_at <
                                        ENTRY_LIFETIME_MS * PH_NS_PER_MS;
    }
}

static void
log_read(PhOwnersSim *w, PhSimInstance *m)
{
    for (; m->applied < w->log->len; m->applied++) {
        const PhSchedEncoded *e =
            &g_array_index(w->log, PhSchedEncoded, m->applied);
        PhSchedRecord record;
        PhResult r = PhSchedRecord_Decode(e->key, e->value, &record);
        assert_true(PhResult_IsOk(&r));
        PhScheduler_Apply(m->scheduler, &record, w->now);
    }
}

static bool
loses_store_replies(const PhOwnersSim *w, const PhSimInstance *m)
{
    return PhOwnersSim_IsAffected(w, 1U << PH_OWNERS_STORE_REPLIES_LOST,
                                  (int)(m - w->instances), -1);
}

/* Appends an owner's changes, unless a later owner has fenced it off.  The
 * next append waits for the reply to the previous one. */
static void
log_append(PhOwnersSim *w, PhSimInstance *m)
{
    if (loses_store_replies(w, m) && m->batch != 0) {
        return;
    }
    if (m->fence < w->store_epoch) {
        if (!loses_store_replies(w, m)) {
            PhElection_OnDeposed(m->election, w->now);
        }
        return;
    }
    if (m->batch == 0) {
        GArray *records = g_array_new(FALSE, TRUE, sizeof(PhSchedRecord));
        m->batch = PhScheduler_TakeBatch(m->scheduler, records);
        for (guint i = 0; i < records->len; i++) {
            PhSchedRecord *record = &g_array_index(records, PhSchedRecord, i);
            PhSchedEncoded e = PhSchedRecord_Encode(record);
            g_array_append_val(w->log, e);
            PhSchedRecord_Clear(record);
        }
        g_array_free(records, TRUE);
    }
    if (m->batch != 0 && !loses_store_replies(w, m)) {
        PhScheduler_OnDurable(m->scheduler, m->batch);
        m->batch = 0;
    }
}

static void
election_append(PhOwnersSim *w, PhSimInstance *m, const PhElectionAction *a,
                bool store_reachable)
{
    bool at_end = a->as.append.at == w->elections->len;
    if (!store_reachable || !at_end) {
        PhElection_OnAppendFailed(
            m->election, store_reachable && !loses_store_replies(w, m),
            w->now);
        return;
    }
    PhElectionEntry entry = {.offset = w->elections->len,
                             .kind = a->as.append.kind,
                             .holder = PhStr_FromC(g_intern_string(m->name)),
                             .states_earlier = true,
                             .earlier = a->as.append.earlier,
                             .states_leases = true,
                             .earlier_leases = a->as.append.earlier_leases};
    if (a->as.append.successor.len > 0) {
        char *successor = PhStr_ToC(a->as.append.successor);
        entry.successor = PhStr_FromC(g_intern_string(successor));
        g_free(successor);
    }
    g_array_append_val(w->elections, entry);
    if (loses_store_replies(w, m)) {
        PhElection_OnAppendFailed(m->election, false, w->now);
        return;
    }
    PhElection_OnAppended(m->election, w->elections->len, w->now);
}

static void
election_tick(PhOwnersSim *w, PhSimInstance *m, bool store_reachable)
{
    PhTime now = w->now;
    if (m->read_in_flight) {
        m->read_in_flight = false;
        guint count = w->elections->len - (guint)m->read_from;
        const PhElectionEntry *entries =
            count == 0 ? NULL
                       : &g_array_index(w->elections, PhElectionEntry,
                                        (guint)m->read_from);
        if (store_reachable) {
            PhElection_OnRead(m->election, entries, count, w->elections->len,
                              now);
        }
        else {
            PhElection_OnReadFailed(m->election, 0, now);
        }
    }
    for (;;) {
        PhElectionAction a = PhElection_Next(m->election, now);
        switch (a.tag) {
        case PH_ELECTION_NOTHING:
            return;
        case PH_ELECTION_READ:
            m->read_in_flight = true;
            m->read_from = a.as.read.from;
            break;
        case PH_ELECTION_APPEND:
            election_append(w, m, &a, store_reachable);
            break;
        }
    }
}

/* Starts or ends ownership according to the election. */
static void
ownership_tick(PhOwnersSim *w, PhSimInstance *m, bool store_reachable)
{
    bool owner = PhElection_Role(m->election) == PH_ELECTION_OWNER;
    uint64_t fence = PhElection_Fence(m->election);
    if (m->active && (!owner || fence != m->fence)) {
        m->active = false;
        m->batch = 0;
        PhScheduler_SetFence(m->scheduler, 0, w->now);
        m->applied = 0;
    }
    if (store_reachable) {
        log_read(w, m);
    }
    if (owner && !m->active && store_reachable && fence >= w->store_epoch) {
        w->store_epoch = fence;
        m->active = true;
        m->fence = fence;
        w->takeovers++;
        PhScheduler_SetFence(m->scheduler, fence, w->now);
    }
}

/* Sends a hello to the instance that is believed to be the owner. */
static void
send_hello(PhOwnersSim *w, int instance)
{
    const PhSimInstance *m = &w->instances[instance];
    char name[sizeof(m->name)];
    g_snprintf(name, sizeof(name), "instance-%d", instance);
    for (int i = 0; i < PH_OWNERS_INSTANCES && !m->active; i++) {
        PhSimInstance *other = &w->instances[i];
        bool is_owner = PhStr_Equal(PhElection_NewestWriter(m->election),
                                    PhStr_FromC(other->name));
        if (i != instance && is_owner &&
            !PhOwnersSim_ArePartitioned(w, instance, i) && !other->down &&
            !PhOwnersSim_IsAffected(w, 1U << PH_OWNERS_SUSPEND, i, -1)) {
            PhElection_OnHello(other->election, PhStr_FromC(name),
                               PhElection_OwnerFence(m->election), w->now);
        }
    }
}

int
PhOwnersSim_Owner(const PhOwnersSim *w)
{
    for (int i = 0; i < PH_OWNERS_INSTANCES; i++) {
        const PhSimInstance *m = &w->instances[i];
        if (m->active && !m->down && m->fence == w->store_epoch) {
            return i;
        }
    }
    return -1;
}

/* Whether an instance has read the records, which takes time in simulations
 * with rooms only. */
static bool
has_caught_up(const PhOwnersSim *w, const PhSimInstance *m)
{
    return w->rooms == NULL || m->opened_at == 0 ||
           w->now - m->opened_at >= CATCH_UP_MS * PH_NS_PER_MS;
}

/* Returns the instance to name in a release, the newest one that is ready; -1
 * for none. */
static int
choose_successor(const PhOwnersSim *w, const PhSimInstance *m)
{
    int best = -1;
    for (int i = 0; i < PH_OWNERS_INSTANCES; i++) {
        const PhSimInstance *x = &w->instances[i];
        bool may_succeed =
            x != m && !x->down && x->stop_at == 0 && has_caught_up(w, x) &&
            !PhOwnersSim_ArePartitioned(w, i, (int)(m - w->instances));
        if (may_succeed &&
            (best < 0 || x->opened_at > w->instances[best].opened_at)) {
            best = i;
        }
    }
    return best;
}

/* Hands over as the instances do it, with a successor that is ready. */
static void
hand_over(PhOwnersSim *w, PhSimInstance *m)
{
    int successor = choose_successor(w, m);
    bool owner = PhElection_Role(m->election) == PH_ELECTION_OWNER;
    PhHandoverInput input = {
        .ownership = m->active             ? PH_OWNERSHIP_ACTIVE
                     : owner               ? PH_OWNERSHIP_TAKEOVER
                     : has_caught_up(w, m) ? PH_OWNERSHIP_CANDIDATE
                                           : PH_OWNERSHIP_NONE,
        .successor_ready = successor >= 0,
        .recorded = PhScheduler_IsHandedOver(m->scheduler)};
    char name[sizeof(m->name)];
    g_snprintf(name, sizeof(name), "instance-%d", successor);
    PhHandover_Begin(&m->handover, w->now);
    switch (PhHandover_Update(&m->handover, &input, w->now)) {
    case PH_HANDOVER_NONE:
    case PH_HANDOVER_PREPARE:
        break;
    case PH_HANDOVER_RECORD:
        PhScheduler_Quiesce(m->scheduler, w->now);
        break;
    case PH_HANDOVER_RELEASE:
        PhElection_Stop(m->election,
                        successor >= 0 ? PhStr_FromC(name) : (PhStr){0});
        break;
    }
}

/* Asks an instance to stop.  Returns whether it has exited since. */
static bool
instance_stop(PhOwnersSim *w, PhSimInstance *m)
{
    if (m->stop_at == 0) {
        m->stop_at = w->now;
        if (w->rooms == NULL) {
            PhScheduler_Quiesce(m->scheduler, w->now);
        }
    }
    if (w->rooms != NULL) {
        hand_over(w, m);
    }
    else if (PhScheduler_IsHandedOver(m->scheduler) ||
             w->now - m->stop_at >= HANDOVER_MS * PH_NS_PER_MS) {
        PhElection_Stop(m->election, (PhStr){0});
    }
    return w->now - m->stop_at >= PH_OWNERS_NOTICE_MS * PH_NS_PER_MS;
}

static void
instance_tick(PhOwnersSim *w, int instance)
{
    PhSimInstance *m = &w->instances[instance];
    bool store_reachable = !PhOwnersSim_IsStoreUnreachable(w, instance, -1) &&
                           has_caught_up(w, m);
    bool down = PhOwnersSim_IsAffected(w, 1U << PH_OWNERS_CRASH, instance, -1);
    if (PhOwnersSim_IsAffected(w, 1U << PH_OWNERS_STOP, instance, -1)) {
        down |= m->down || instance_stop(w, m);
    }
    if (m->down && !down) {
        instance_close(m);
        instance_open(m, instance);
        m->opened_at = w->now;
    }
    m->down = down;
    if (down || PhOwnersSim_IsSuspended(w, instance)) {
        return;
    }
    election_tick(w, m, store_reachable);
    send_hello(w, instance);
    ownership_tick(w, m, store_reachable);
    for (int i = 0; i < w->worker_count && store_reachable; i++) {
        entry_update(w, m, &w->workers[i]);
    }
    if (m->active && store_reachable) {
        log_append(w, m);
    }
    if (m->active) {
        PhOwnersSim_SendOrders(w, instance);
    }
}

void
PhOwnersSim_Run(PhOwnersSim *w, int64_t until_ms)
{
    while (PhOwnersSim_ElapsedMs(w) < until_ms) {
        w->now += PH_OWNERS_TICK_MS * PH_NS_PER_MS;
        submit_jobs(w);
        PhSimJobs_Tick(w);
        if (w->rooms != NULL) {
            PhSimRooms_SubmitJobs(w);
        }
        PhOwnersSim_BeginFaults(w);
        workers_tick(w);
        PhSimGangs_Tick(w->workers, w->worker_count, &w->tasks, w->now);
        PhSimTasks_Tick(&w->tasks, w->now);
        PhOwnersSim_DeliverOrders(w);
        for (int i = 0; i < PH_OWNERS_INSTANCES; i++) {
            instance_tick(w, i);
        }
        if (w->rooms != NULL) {
            PhSimRooms_Check(w);
        }
        if (w->rest != NULL) {
            PhRestWatch_Tick(w->rest, w);
        }
    }
}

unsigned
PhOwnersSim_DuplicateStarts(const PhOwnersSim *w)
{
    return w->tasks.duplicate_starts;
}

unsigned
PhOwnersSim_RepeatedStarts(const PhOwnersSim *w)
{
    return w->tasks.repeated_starts;
}

unsigned
PhOwnersSim_Lapses(const PhOwnersSim *w)
{
    return w->tasks.lapses;
}

unsigned
PhOwnersSim_FalseLapses(const PhOwnersSim *w)
{
    return w->tasks.false_lapses;
}

unsigned
PhOwnersSim_LapsedLasting(const PhOwnersSim *w)
{
    return w->tasks.lapsed_lasting;
}

unsigned
PhOwnersSim_WorkerCount(const PhOwnersSim *w)
{
    return (unsigned)w->worker_count;
}

bool
PhOwnersSim_IsSettled(const PhOwnersSim *w)
{
    return PhSimTasks_AreSettled(&w->tasks);
}

int64_t
PhOwnersSim_LongestGap(const PhOwnersSim *w)
{
    return w->tasks.longest_gap / PH_NS_PER_MS;
}

unsigned
PhOwnersSim_Takeovers(const PhOwnersSim *w)
{
    return w->takeovers;
}
