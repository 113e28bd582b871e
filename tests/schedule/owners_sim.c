#include "owners_world_private.h"

#include "peridothill/codec/schedule_record.h"
#include "tests/table.h"

enum {
    CLAIM_STEP_MS = 150,
    ENTRY_LASTS_MS = 3000, /* lifetime of an entry that is not renewed */
    CORES_MILLI = 8000,
    LASTING_MILLI = 2000,
    BRIEF_MILLI = 500,
    JOB_TASKS = 4,
    JOB_GAP_MS = 1000, /* between two jobs of short tasks */
};

static void
job_add(PhOwnersWorld *w, const char *id, bool lasts, unsigned count)
{
    PhSchedSpec spec = {.id = PhStr_Dup(PhStr_FromC(id)), .step_count = 1};
    spec.terms.service = PhStr_Dup(PhStr_LITERAL("service"));
    spec.terms.stretch = 2;
    spec.steps = g_new0(PhSchedStep, 1);
    spec.steps[0].count = count;
    spec.steps[0].room.cpu_milli = lasts ? LASTING_MILLI : BRIEF_MILLI;
    spec.steps[0].long_running = lasts;
    PhSchedEncoded e = PhSchedRecord_EncodeJob(&spec);
    g_array_append_val(w->log, e);
    PhSchedSpec_Clear(&spec);
}

/* Passes a worker's entry, or its removal, to an instance. */
static void
entry_show(PhOwnersWorld *w, PhMember *m, const PhHost *h)
{
    PhStr id = PhStr_FromC(h->id);
    if (!h->listed) {
        PhScheduler_RemoveWorker(m->scheduler, id, w->now);
        return;
    }
    PhSchedWorkerEntry entry = {
        .id = PhStr_Dup(id),
        .born_ms = h->entry_born_ms,
        .address = PhStr_Dup(id),
        .service = PhStr_Dup(PhStr_LITERAL("service")),
        .capacity = {.cpu_milli = CORES_MILLI, .mem_mb = 1},
        .draining = h->draining};
    PhScheduler_SetWorker(m->scheduler, &entry, w->now);
}

/* Starts or restarts an instance. */
static void
member_open(PhMember *m, int number)
{
    *m = (PhMember){.life = m->life + 1};
    g_snprintf(m->name, sizeof(m->name), "instance-%d.%u", number, m->life);
    m->election =
        PhElection_Create(PhStr_FromC(m->name), (PhStr){0},
                          (PhTime)number * CLAIM_STEP_MS * PH_NS_PER_MS);
    m->scheduler = PhScheduler_Create(&(PhSchedulerOptions){
        .lease_limit = 10 * PH_NS_PER_S,
        .predecessors = PhElection_Predecessors(m->election)});
}

static void
member_close(PhMember *m)
{
    PhScheduler_Destroy(m->scheduler);
    PhElection_Destroy(m->election);
}

PhOwnersWorld *
PhOwnersWorld_Create(unsigned lasting, int64_t brief_until)
{
    PhOwnersWorld *w = g_new0(PhOwnersWorld, 1);
    w->now = PH_OWNERS_START;
    w->log = g_array_new(FALSE, TRUE, sizeof(PhSchedEncoded));
    w->elections = g_array_new(FALSE, TRUE, sizeof(PhElectionEntry));
    w->flights = g_array_new(FALSE, TRUE, sizeof(PhFlight));
    PhHostTasks_Open(&w->tasks);
    for (unsigned i = 0; i * JOB_TASKS < lasting; i++) {
        job_add(w, PhHostTasks_AddJob(&w->tasks, JOB_TASKS, true), true,
                JOB_TASKS);
    }
    w->brief_until = brief_until;
    for (int i = 0; i < PH_OWNERS_WORKERS; i++) {
        PhHost_Open(&w->hosts[i], i);
    }
    for (int i = 0; i < PH_OWNERS_INSTANCES; i++) {
        member_open(&w->members[i], i);
    }
    return w;
}

void
PhOwnersWorld_Destroy(PhOwnersWorld *w)
{
    for (int i = 0; i < PH_OWNERS_INSTANCES; i++) {
        member_close(&w->members[i]);
    }
    for (int i = 0; i < PH_OWNERS_WORKERS; i++) {
        PhHost_Close(&w->hosts[i]);
    }
    for (guint i = 0; i < w->log->len; i++) {
        PhSchedEncoded_Clear(&g_array_index(w->log, PhSchedEncoded, i));
    }
    g_array_free(w->log, TRUE);
    g_array_free(w->elections, TRUE);
    for (guint i = 0; i < w->flights->len; i++) {
        PhHostReply_Clear(&g_array_index(w->flights, PhFlight, i).reply);
    }
    g_array_free(w->flights, TRUE);
    PhRandom_Destroy(w->delays);
    PhHostTasks_Close(&w->tasks);
    g_free(w);
}

void
PhOwnersWorld_SetDelays(PhOwnersWorld *w, uint64_t seed)
{
    w->delays = PhRandom_Create(seed);
}

/* Submits a job of short tasks at each interval. */
static void
jobs_arrive(PhOwnersWorld *w)
{
    if (PhOwnersWorld_Elapsed(w) < w->brief_at ||
        PhOwnersWorld_Elapsed(w) >= w->brief_until) {
        return;
    }
    job_add(w, PhHostTasks_AddJob(&w->tasks, JOB_TASKS, false), false,
            JOB_TASKS);
    w->brief_at += JOB_GAP_MS;
}

/* Advances the workers, applies drains and restarts, and updates the
 * entries. */
static void
hosts_tick(PhOwnersWorld *w)
{
    for (int i = 0; i < PH_OWNERS_WORKERS; i++) {
        PhHost *h = &w->hosts[i];
        bool leaves = PhOwnersWorld_IsStruck(w, 1U << PH_OWNERS_LEAVE, -1, i);
        bool reached = h->alive && !PhOwnersWorld_LacksStore(w, -1, i);
        bool away = PhOwnersWorld_IsStruck(w, 1U << PH_OWNERS_REBORN, -1, i);
        if (h->draining && !leaves && h->alive) {
            PhHost_Exit(h);
        }
        if (away && h->alive && !h->draining) {
            PhHost_Exit(h);
            h->reborn = true;
        }
        if (!away && h->reborn) {
            PhHost_Rebirth(h, w->now);
            reached = !PhOwnersWorld_LacksStore(w, -1, i);
        }
        PhHost_Tick(h, &w->tasks, w->now);
        if (reached) {
            h->draining |= leaves;
            h->entry_at = w->now;
            h->entry_born_ms = h->born_ms;
        }
        h->listed = h->alive
                        ? w->now - h->entry_at < ENTRY_LASTS_MS * PH_NS_PER_MS
                        : h->listed && w->now - h->entry_at <
                                           ENTRY_LASTS_MS * PH_NS_PER_MS;
    }
}

static void
log_read(PhOwnersWorld *w, PhMember *m)
{
    for (; m->read < w->log->len; m->read++) {
        const PhSchedEncoded *e =
            &g_array_index(w->log, PhSchedEncoded, m->read);
        PhSchedRecord record;
        PhResult r = PhSchedRecord_Decode(e->key, e->value, &record);
        assert_true(PhResult_IsOk(&r));
        PhScheduler_Apply(m->scheduler, &record, w->now);
    }
}

static bool
is_mute(const PhOwnersWorld *w, const PhMember *m)
{
    return PhOwnersWorld_IsStruck(w, 1U << PH_OWNERS_MUTE_STORE,
                                  (int)(m - w->members), -1);
}

/* Appends an owner's changes, unless a later owner has fenced it off.  The
 * next append waits for the reply to the previous one. */
static void
log_append(PhOwnersWorld *w, PhMember *m)
{
    if (is_mute(w, m) && m->batch != 0) {
        return;
    }
    if (m->fence < w->store_epoch) {
        if (!is_mute(w, m)) {
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
    if (m->batch != 0 && !is_mute(w, m)) {
        PhScheduler_OnDurable(m->scheduler, m->batch);
        m->batch = 0;
    }
}

static void
election_append(PhOwnersWorld *w, PhMember *m, const PhElectionAction *a,
                bool reached)
{
    bool fits = a->as.append.at == w->elections->len;
    if (!reached || !fits) {
        PhElection_OnAppendFailed(m->election, reached && !is_mute(w, m),
                                  w->now);
        return;
    }
    PhElectionEntry entry = {.offset = w->elections->len,
                             .kind = a->as.append.kind,
                             .holder = PhStr_FromC(m->name)};
    g_array_append_val(w->elections, entry);
    if (is_mute(w, m)) {
        PhElection_OnAppendFailed(m->election, false, w->now);
        return;
    }
    PhElection_OnAppended(m->election, w->elections->len, w->now);
}

static void
election_tick(PhOwnersWorld *w, PhMember *m, bool reached)
{
    PhTime now = w->now;
    if (m->reading) {
        m->reading = false;
        guint count = w->elections->len - (guint)m->read_from;
        const PhElectionEntry *entries =
            (const PhElectionEntry *)w->elections->data + m->read_from;
        if (reached) {
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
            m->reading = true;
            m->read_from = a.as.read.from;
            break;
        case PH_ELECTION_APPEND:
            election_append(w, m, &a, reached);
            break;
        }
    }
}

/* Starts or ends ownership according to the election. */
static void
role_tick(PhOwnersWorld *w, PhMember *m, bool reached)
{
    bool owner = PhElection_Role(m->election) == PH_ELECTION_OWNER;
    uint64_t fence = PhElection_Fence(m->election);
    if (m->active && (!owner || fence != m->fence)) {
        m->active = false;
        m->batch = 0;
        PhScheduler_SetFence(m->scheduler, 0, w->now);
        m->read = 0;
    }
    if (reached) {
        log_read(w, m);
    }
    if (owner && !m->active && reached && fence >= w->store_epoch) {
        w->store_epoch = fence;
        m->active = true;
        m->fence = fence;
        w->takeovers++;
        PhScheduler_SetFence(m->scheduler, fence, w->now);
    }
}

/* Sends a hello to the instance that is believed to be the owner. */
static void
greet(PhOwnersWorld *w, int member)
{
    const PhMember *m = &w->members[member];
    char name[sizeof(m->name)];
    g_snprintf(name, sizeof(name), "instance-%d", member);
    for (int i = 0; i < PH_OWNERS_INSTANCES && !m->active; i++) {
        PhMember *other = &w->members[i];
        bool holds = PhStr_Equal(PhElection_Holder(m->election),
                                 PhStr_FromC(other->name));
        if (i != member && holds && !PhOwnersWorld_AreApart(w, member, i) &&
            !other->down &&
            !PhOwnersWorld_IsStruck(w, 1U << PH_OWNERS_FREEZE, i, -1)) {
            PhElection_OnGreeted(other->election, PhStr_FromC(name),
                                 PhElection_OwnerFence(m->election), w->now);
        }
    }
}

static void
member_tick(PhOwnersWorld *w, int member)
{
    PhMember *m = &w->members[member];
    bool reached = !PhOwnersWorld_LacksStore(w, member, -1);
    bool killed = PhOwnersWorld_IsStruck(w, 1U << PH_OWNERS_KILL, member, -1);
    if (m->down && !killed) {
        member_close(m);
        member_open(m, member);
    }
    m->down = killed;
    if (killed || PhOwnersWorld_IsFrozen(w, member)) {
        return;
    }
    election_tick(w, m, reached);
    greet(w, member);
    role_tick(w, m, reached);
    for (int i = 0; i < PH_OWNERS_WORKERS && reached; i++) {
        entry_show(w, m, &w->hosts[i]);
    }
    if (m->active && reached) {
        log_append(w, m);
    }
    if (m->active) {
        PhOwnersWorld_GiveOrders(w, member);
    }
}

void
PhOwnersWorld_Run(PhOwnersWorld *w, int64_t until)
{
    while (PhOwnersWorld_Elapsed(w) < until) {
        w->now += PH_OWNERS_TICK_MS * PH_NS_PER_MS;
        jobs_arrive(w);
        PhOwnersWorld_BeginFaults(w);
        hosts_tick(w);
        PhHostTasks_Tick(&w->tasks, w->now);
        PhOwnersWorld_TickOrders(w);
        for (int i = 0; i < PH_OWNERS_INSTANCES; i++) {
            member_tick(w, i);
        }
    }
}

unsigned
PhOwnersWorld_Doubles(const PhOwnersWorld *w)
{
    return w->tasks.doubles;
}

bool
PhOwnersWorld_IsServed(const PhOwnersWorld *w)
{
    return PhHostTasks_AreServed(&w->tasks);
}

int64_t
PhOwnersWorld_LongestGap(const PhOwnersWorld *w)
{
    return w->tasks.longest_gap / PH_NS_PER_MS;
}

unsigned
PhOwnersWorld_Takeovers(const PhOwnersWorld *w)
{
    return w->takeovers;
}
