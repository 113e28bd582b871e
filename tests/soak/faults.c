/* The task that plays the schedule: sends signals, harms links, lets workers
 * leave, restarts what has ended, and says when all is over. */
#include <signal.h>

#include "soak.h"

enum {
    MAILBOX_CAPACITY = 4096,
    TICK_TOKEN = 1,
    TICK_MS = 20,
    PARTIES = PH_SOAK_INSTANCES_MAX + PH_SOAK_WORKERS_MAX,
    /* A worker serves for this long after it has said that it leaves. */
    DRAIN_MS = 2000,
    DRAIN_MORE_MS = 6000,
    /* A process that was asked to stop is killed after `graceS`. */
    GRACE_MS = 6000,
    /* A tick this late shows that the machine is too busy for time bounds. */
    SLOW_MS = 400,
};

/* Of an instance or a worker. */
typedef struct PhPartyState {
    bool running;
    bool paused;
    bool leaving;
    PhTime end_at;     /* signal TERM to a worker that leaves, 0: none */
    PhTime kill_at;    /* after a TERM, 0: none */
    PhTime restart_at; /* 0: none */
    PhTime restart_after;
} PhPartyState;

typedef struct PhActOn {
    PhSoakAct act;
    PhTime until;
} PhActOn;

typedef struct PhFaults {
    const PhSoakPlan *plan;
    const GArray *acts;
    PhTask *self;
    PhTime start;
    PhTime last_tick;
    guint next;
    GArray *on; /* PhActOn: pauses and links */
    bool finished;
    PhPartyState parties[PARTIES];
} PhFaults;

static size_t
party_slot(PhSoakParty party)
{
    return party.kind == PH_SOAK_INSTANCE
               ? party.index
               : PH_SOAK_INSTANCES_MAX + party.index;
}

static PhSoakParty
slot_party(size_t slot)
{
    return slot < PH_SOAK_INSTANCES_MAX
               ? (PhSoakParty){.kind = PH_SOAK_INSTANCE,
                               .index = (uint32_t)slot}
               : (PhSoakParty){.kind = PH_SOAK_WORKER,
                               .index =
                                   (uint32_t)slot - PH_SOAK_INSTANCES_MAX};
}

static void
signal_send(PhFaults *f, PhSoakParty party, int number)
{
    PhSoakMessage m = {.tag = PH_SOAK_SIGNAL, .party = party};
    m.as.signal = number;
    PhSoak_Send(f->self, PH_SOAK_PROCESSES, &m);
}

static void
spawn(PhFaults *f, PhSoakParty party)
{
    PhSoakMessage m = {.tag = PH_SOAK_SPAWN, .party = party};
    PhSoak_Send(f->self, PH_SOAK_PROCESSES, &m);
}

static void
act_note(PhFaults *f, const PhSoakAct *act, PhTime until)
{
    PhSoakNote note = {.tag = PH_SOAK_NOTE_ACT, .at = PhTask_Now(f->self)};
    note.as.act.act = *act;
    note.as.act.until = until;
    PhSoak_Note(f->self, &note);
}

/* The only process that an act of processes concerns. */
static PhSoakParty
act_party(const PhSoakAct *act)
{
    bool worker = act->workers != 0;
    uint64_t mask = worker ? act->workers : act->instances;
    return (PhSoakParty){.kind = worker ? PH_SOAK_WORKER : PH_SOAK_INSTANCE,
                         .index = (uint32_t)__builtin_ctzll(mask)};
}

static void
stop_instance(PhFaults *f, PhSoakParty party, PhPartyState *s)
{
    PhSoakNote note = {
        .tag = PH_SOAK_NOTE_STOP, .at = PhTask_Now(f->self), .party = party};
    PhSoak_Note(f->self, &note);
    signal_send(f, party, SIGTERM);
    s->leaving = true;
    s->kill_at = PhTask_Now(f->self) + GRACE_MS * PH_NS_PER_MS;
}

/* An act on a process that is away, paused or leaving is left out, except
 * that whatever runs may be killed. */
static void
process_act(PhFaults *f, const PhSoakAct *act)
{
    PhSoakParty party = act_party(act);
    PhPartyState *s = &f->parties[party_slot(party)];
    PhTime until = PhTask_Now(f->self) + act->duration_ms * PH_NS_PER_MS;
    bool kills =
        act->kind == PH_SOAK_KILL_INSTANCE || act->kind == PH_SOAK_KILL_WORKER;
    if (!s->running || s->paused || (s->leaving && !kills)) {
        return;
    }
    s->restart_after = act->duration_ms * PH_NS_PER_MS;
    switch (act->kind) {
    case PH_SOAK_STOP_INSTANCE:
        stop_instance(f, party, s);
        break;
    case PH_SOAK_LEAVE_WORKER: {
        PhSoakMessage m = {.tag = PH_SOAK_LEAVE, .party = party};
        PhSoak_Send(f->self, PH_SOAK_REGISTRAR, &m);
        s->leaving = true;
        break;
    }
    case PH_SOAK_KILL_INSTANCE:
    case PH_SOAK_KILL_WORKER:
        signal_send(f, party, SIGKILL);
        break;
    case PH_SOAK_PAUSE_INSTANCE:
    case PH_SOAK_PAUSE_WORKER: {
        PhActOn on = {.act = *act, .until = until};
        signal_send(f, party, SIGSTOP);
        s->paused = true;
        g_array_append_val(f->on, on);
        break;
    }
    case PH_SOAK_LINK_SILENT:
    case PH_SOAK_LINK_ONE_WAY:
    case PH_SOAK_LINK_LATE:
    case PH_SOAK_LINK_SLOW:
    case PH_SOAK_LINK_RESET:
    case PH_SOAK_ACT_KINDS:
        break;
    }
    act_note(f, act, until);
}

static void
link_set(PhFaults *f, const PhSoakAct *act, bool begins)
{
    PhSoakMessage m = {.tag = PH_SOAK_LINK};
    m.as.link.act = *act;
    m.as.link.begins = begins;
    PhSoak_Send(f->self, PH_SOAK_PROXY, &m);
}

static void
act_begin(PhFaults *f, const PhSoakAct *act)
{
    if (act->kind < PH_SOAK_LINK_SILENT) {
        process_act(f, act);
        return;
    }
    PhActOn on = {.act = *act,
                  .until =
                      PhTask_Now(f->self) + act->duration_ms * PH_NS_PER_MS};
    g_array_append_val(f->on, on);
    link_set(f, act, true);
    act_note(f, act, on.until);
}

static void
act_end(PhFaults *f, const PhSoakAct *act)
{
    if (act->kind >= PH_SOAK_LINK_SILENT) {
        link_set(f, act, false);
        return;
    }
    PhSoakParty party = act_party(act);
    f->parties[party_slot(party)].paused = false;
    signal_send(f, party, SIGCONT);
}

/* What is due of one process. */
static void
party_tick(PhFaults *f, size_t slot, PhTime now)
{
    PhPartyState *s = &f->parties[slot];
    PhSoakParty party = slot_party(slot);
    if (s->restart_at != 0 && now >= s->restart_at) {
        s->restart_at = 0;
        spawn(f, party);
    }
    if (s->end_at != 0 && now >= s->end_at && !s->paused) {
        s->end_at = 0;
        signal_send(f, party, SIGTERM);
    }
    if (s->kill_at != 0 && now >= s->kill_at) {
        s->kill_at = 0;
        signal_send(f, party, SIGKILL);
    }
}

/* The machine did not let this process run in time. */
static void
slowness_note(PhFaults *f, PhTime now)
{
    if (f->last_tick != 0 && now - f->last_tick > SLOW_MS * PH_NS_PER_MS) {
        PhSoakNote note = {.tag = PH_SOAK_NOTE_SLOW, .at = f->last_tick};
        note.as.slow_until = now;
        PhSoak_Note(f->self, &note);
    }
    f->last_tick = now;
}

static void
tick(PhFaults *f)
{
    PhTime now = PhTask_Now(f->self);
    int64_t played_ms = (now - f->start) / PH_NS_PER_MS;
    slowness_note(f, now);
    for (guint i = f->on->len; i-- > 0;) {
        PhActOn on = g_array_index(f->on, PhActOn, i);
        if (now >= on.until) {
            g_array_remove_index(f->on, i);
            act_end(f, &on.act);
        }
    }
    for (size_t slot = 0; slot < PARTIES; slot++) {
        party_tick(f, slot, now);
    }
    while (f->next < f->acts->len &&
           g_array_index(f->acts, PhSoakAct, f->next).at_ms <= played_ms) {
        act_begin(f, &g_array_index(f->acts, PhSoakAct, f->next++));
    }
    if (!f->finished && played_ms >= f->plan->draws_ms + f->plan->tail_ms) {
        PhSoakMessage m = {.tag = PH_SOAK_FINISH};
        f->finished = true;
        PhSoak_Send(f->self, PH_SOAK_CALLERS, &m);
    }
    PhTask_SetTimer(f->self, TICK_TOKEN, now + TICK_MS * PH_NS_PER_MS);
}

static void
on_message(PhFaults *f, const PhSoakMessage *m)
{
    if (m->party.kind == PH_SOAK_STORE) {
        return;
    }
    PhPartyState *s = &f->parties[party_slot(m->party)];
    PhTime now = PhTask_Now(f->self);
    if (m->tag == PH_SOAK_STARTED) {
        *s = (PhPartyState){.running = true};
    }
    else if (m->tag == PH_SOAK_EXITED) {
        PhTime after = s->restart_after;
        *s = (PhPartyState){.restart_at = now + after};
    }
    else if (m->tag == PH_SOAK_LEFT_AT && s->running && s->leaving) {
        s->end_at =
            now + (DRAIN_MS + (int64_t)m->party.index * 7919 % DRAIN_MORE_MS) *
                      PH_NS_PER_MS;
    }
}

static void
everything_spawn(PhFaults *f)
{
    spawn(f, (PhSoakParty){.kind = PH_SOAK_STORE});
    for (uint32_t i = 0; i < f->plan->workers; i++) {
        spawn(f, (PhSoakParty){.kind = PH_SOAK_WORKER, .index = i});
    }
    for (uint32_t i = 0; i < f->plan->instances; i++) {
        spawn(f, (PhSoakParty){.kind = PH_SOAK_INSTANCE, .index = i});
    }
}

static void
faults_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhFaults *f = state;
    f->self = self;
    switch (mail->kind) {
    case PH_MAIL_START:
        f->start = PhTask_Now(self);
        everything_spawn(f);
        tick(f);
        break;
    case PH_MAIL_TIMER:
        tick(f);
        break;
    case PH_MAIL_MESSAGE:
        on_message(f, mail->as.message.body);
        break;
    case PH_MAIL_STOP:
        PhTask_End(self);
        break;
    case PH_MAIL_IO:
    case PH_MAIL_ENDED:
        break;
    }
}

static void
faults_destroy(void *state)
{
    PhFaults *f = state;
    g_array_free(f->on, TRUE);
    g_free(f);
}

void
PhSoakFaults_Start(PhKernel *kernel, const PhSoakPlan *plan,
                   const GArray *acts)
{
    PhFaults *f = g_new0(PhFaults, 1);
    f->plan = plan;
    f->acts = acts;
    f->on = g_array_new(FALSE, TRUE, sizeof(PhActOn));
    PhTaskSpec spec = {.name = PH_SOAK_FAULTS,
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = f,
                       .handle = faults_handle,
                       .destroy = faults_destroy};
    PhKernel_Spawn(kernel, &spec, NULL);
}
