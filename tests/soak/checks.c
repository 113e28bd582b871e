/* What the soak checks, from what workers reported and callers were told.
 * Bounds in time are those of the platform's rules. */
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <sys/wait.h>

#include "seen.h"

enum {
    PRINTED_MAX = 5, /* violations of one check that are printed */
};

static const PhTime CONTACT = 3 * PH_NS_PER_S;
static const PhTime DRAIN = 2 * PH_NS_PER_S;
static const PhTime CANCEL = 3 * PH_NS_PER_S;
static const PhTime VISIBLE = 3 * PH_NS_PER_S;
static const PhTime PENDING_LAG = 5 * PH_NS_PER_S;
static const PhTime LATE_MAX = 12500 * PH_NS_PER_MS;
static const PhTime LASTING_AWAY = 9 * PH_NS_PER_S;
static const PhTime LASTING_CALM = 7 * PH_NS_PER_S;
static const PhTime LOSS_SLACK = 200 * PH_NS_PER_MS;
static const PhTime GRACE = 6 * PH_NS_PER_S;
static const PhTime SCAN_STEP = 250 * PH_NS_PER_MS;

/* Outcome of one check. */
typedef struct PhSoakVerdict {
    const char *name;
    uint64_t checked;
    uint64_t violations;
} PhSoakVerdict;

/* Milliseconds since the first note. */
static int64_t
since_start(const PhSeen *s, PhTime at)
{
    return (at - PhSeen_Note(s, 0)->at) / PH_NS_PER_MS;
}

/* Counts a violation; returns true if it is to be printed. */
static bool
violation_count(PhSoakVerdict *v)
{
    v->violations++;
    return v->violations <= PRINTED_MAX;
}

/* Reports whether a disruption has nothing to do with the store and the
 * instances. */
static bool
is_of_workers(const PhSoakAct *act)
{
    switch (act->kind) {
    case PH_SOAK_KILL_WORKER:
    case PH_SOAK_PAUSE_WORKER:
        return true;
    case PH_SOAK_LINK_SILENT:
    case PH_SOAK_LINK_ONE_WAY:
    case PH_SOAK_LINK_LATE:
    case PH_SOAK_LINK_SLOW:
    case PH_SOAK_LINK_RESET:
        return !act->store;
    case PH_SOAK_STOP_INSTANCE:
    case PH_SOAK_LEAVE_WORKER:
    case PH_SOAK_KILL_INSTANCE:
    case PH_SOAK_PAUSE_INSTANCE:
    case PH_SOAK_ACT_KINDS:
        break;
    }
    return false;
}

/* Reports whether there was no unplanned disruption in a span, or with
 * `core_only` none of the store and the instances. */
static bool
is_calm(const PhSeen *s, PhTime from, PhTime until, bool core_only)
{
    for (guint i = 0; i < s->notes->len; i++) {
        const PhSoakNote *n = PhSeen_Note(s, i);
        if (n->tag == PH_SOAK_NOTE_SLOW && n->at <= until &&
            n->as.slow_until >= from) {
            return false;
        }
        if (n->tag == PH_SOAK_NOTE_ACT && n->at <= until &&
            n->as.act.until >= from &&
            !PhSoakAct_IsPlanned(n->as.act.act.kind) &&
            !(core_only && is_of_workers(&n->as.act.act))) {
            return false;
        }
    }
    return true;
}

/* Reports whether a worker may have carried out a late order at a time. */
static bool
may_be_late(const PhSeen *s, uint32_t worker, PhTime at)
{
    PhSoakParty party = {.kind = PH_SOAK_WORKER, .index = worker};
    for (guint i = 0; i < s->notes->len; i++) {
        const PhSoakNote *n = PhSeen_Note(s, i);
        if (n->tag == PH_SOAK_NOTE_ACT &&
            n->as.act.act.kind == PH_SOAK_LINK_LATE && n->at <= at &&
            n->as.act.until + LATE_MAX >= at &&
            PhSoakAct_Concerns(&n->as.act.act, party)) {
            return true;
        }
    }
    return false;
}

static void
run_print(const PhSeen *s, const char *what, const PhSeenRun *r)
{
    printf("  %s job=%08x task=%u run=%u worker=%u start_ms=%" PRId64
           " end_ms=%" PRId64 " noted_ms=%" PRId64 "\n",
           what, r->job, r->task, r->run, r->worker, since_start(s, r->start),
           r->end == PH_TIME_NEVER ? -1 : since_start(s, r->end),
           r->noted == 0 ? -1 : since_start(s, r->noted));
}

static void
check_one_place(const PhSeen *s, PhSoakVerdict *v)
{
    PhTime busy_until = 0;
    guint holder = 0;
    for (guint i = 0; i < s->runs->len; i++) {
        const PhSeenRun *r = PhSeen_Run(s, i);
        if (PhSeen_IsFirstRun(s, i)) {
            busy_until = 0;
        }
        v->checked++;
        if (r->start < busy_until && violation_count(v)) {
            run_print(s, "runs already:", PhSeen_Run(s, holder));
            run_print(s, "second start:", r);
        }
        if (r->end > busy_until) {
            busy_until = r->end;
            holder = i;
        }
    }
}

static void
check_noted(const PhSeen *s, PhSoakVerdict *v)
{
    PhTime noted = 0;
    guint by = 0;
    for (guint i = 0; i < s->runs->len; i++) {
        const PhSeenRun *r = PhSeen_Run(s, i);
        noted = PhSeen_IsFirstRun(s, i) ? 0 : noted;
        if (noted != 0 && r->start > noted && violation_count(v)) {
            run_print(s, "noted end:", PhSeen_Run(s, by));
            run_print(s, "start after it:", r);
        }
        if (r->noted != 0 && noted == 0) {
            v->checked++;
            noted = r->noted;
            by = i;
        }
    }
}

/* Checks the starts on one worker from its leaving to its exit. */
static void
leaving_check(const PhSeen *s, PhSoakVerdict *v, guint from)
{
    const PhSoakNote *leaving = PhSeen_Note(s, from);
    PhTime exit = PH_TIME_NEVER;
    for (guint i = from; i < s->notes->len && exit == PH_TIME_NEVER; i++) {
        const PhSoakNote *n = PhSeen_Note(s, i);
        if (n->tag == PH_SOAK_NOTE_EXIT && n->party.kind == PH_SOAK_WORKER &&
            n->party.index == leaving->party.index) {
            exit = n->at;
        }
    }
    for (guint i = 0; i < s->runs->len; i++) {
        const PhSeenRun *r = PhSeen_Run(s, i);
        if (r->worker == leaving->party.index &&
            r->start > leaving->at + DRAIN && r->start < exit &&
            !may_be_late(s, r->worker, r->start) &&
            is_calm(s, r->start - CONTACT, r->start, true) &&
            violation_count(v)) {
            printf("  leaving since %" PRId64 " ms\n",
                   since_start(s, leaving->at));
            run_print(s, "start:", r);
        }
    }
}

static void
check_leaving(const PhSeen *s, PhSoakVerdict *v)
{
    for (guint i = 0; i < s->notes->len; i++) {
        if (PhSeen_Note(s, i)->tag == PH_SOAK_NOTE_LEAVING) {
            v->checked++;
            leaving_check(s, v, i);
        }
    }
}

static void
check_cancelled(const PhSeen *s, PhSoakVerdict *v)
{
    for (guint i = 0; i < s->jobs->len; i++) {
        v->checked += PhSeen_Job(s, i)->cancelled != 0;
    }
    for (guint i = 0; i < s->runs->len; i++) {
        const PhSeenRun *r = PhSeen_Run(s, i);
        PhTime cancelled = PhSeen_Job(s, r->job)->cancelled;
        if (cancelled != 0 && r->start > cancelled + CANCEL &&
            !may_be_late(s, r->worker, r->start) &&
            is_calm(s, r->start - CONTACT, r->start, true) &&
            violation_count(v)) {
            run_print(s, "start after the cancel:", r);
        }
    }
}

static bool
final_is_right(const PhSeenJob *j)
{
    if (!j->asked || j->final == PH_SOAK_STATE_GONE) {
        return false;
    }
    if (j->cancelled != 0) {
        return j->final == PH_SOAK_STATE_CANCELLED ||
               j->final == PH_SOAK_STATE_COMPLETED;
    }
    if (j->cancel != 0) {
        return true;
    }
    return j->final ==
           (j->lasting ? PH_SOAK_STATE_RUNNING : PH_SOAK_STATE_COMPLETED);
}

static void
check_accepted(const PhSeen *s, PhSoakVerdict *v)
{
    for (guint i = 0; i < s->jobs->len; i++) {
        const PhSeenJob *j = PhSeen_Job(s, i);
        if (j->accepted == 0) {
            continue;
        }
        v->checked++;
        if (!final_is_right(j) && violation_count(v)) {
            printf("  job=%08x accepted_ms=%" PRId64 " asked=%d final=%d\n", i,
                   since_start(s, j->accepted), j->asked, (int)j->final);
        }
    }
}

static bool
state_is_wrong(const PhSeen *s, const PhSoakNote *n)
{
    const PhSeenJob *j = PhSeen_Job(s, n->job);
    switch (n->as.state) {
    case PH_SOAK_STATE_COMPLETED:
        return j->completed > n->at;
    case PH_SOAK_STATE_CANCELLED:
        return j->cancel == 0 || j->cancel > n->at;
    case PH_SOAK_STATE_GONE:
        return j->accepted != 0 && n->sent_at > j->accepted + VISIBLE &&
               is_calm(s, n->sent_at - CONTACT, n->at, false);
    case PH_SOAK_STATE_RUNNING:
        return j->begun > n->at;
    case PH_SOAK_STATE_OTHER:
        return true;
    case PH_SOAK_STATE_QUEUED:
    case PH_SOAK_STATE_NOT_TOLD:
        break;
    }
    return false;
}

static void
check_states(const PhSeen *s, PhSoakVerdict *v)
{
    for (guint i = 0; i < s->notes->len; i++) {
        const PhSoakNote *n = PhSeen_Note(s, i);
        if (n->tag != PH_SOAK_NOTE_STATE && n->tag != PH_SOAK_NOTE_FINAL) {
            continue;
        }
        v->checked++;
        if (state_is_wrong(s, n) && violation_count(v)) {
            printf("  job=%08x state=%d instance=%u sent_ms=%" PRId64
                   " at_ms=%" PRId64 "\n",
                   n->job, (int)n->as.state, n->party.index,
                   since_start(s, n->sent_at), since_start(s, n->at));
        }
    }
}

static void
pending_check(const PhSeen *s, PhSoakVerdict *v, const PhSoakNote *n)
{
    uint64_t least = 0;
    uint64_t most = 0;
    for (guint i = 0; i < s->jobs->len; i++) {
        const PhSeenJob *j = PhSeen_Job(s, i);
        bool waits = j->accepted != 0 &&
                     j->accepted + PENDING_LAG < n->sent_at &&
                     j->begun > n->at && j->cancel == 0;
        bool may_wait =
            j->submitted < n->at && j->begun > n->sent_at - PENDING_LAG &&
            (j->cancelled == 0 || j->cancelled > n->sent_at - PENDING_LAG);
        least += waits;
        most += may_wait;
    }
    v->checked++;
    if ((n->as.pending * 2 < least || n->as.pending > most) &&
        violation_count(v)) {
        printf("  pending=%" PRIu64 " least=%" PRIu64 " most=%" PRIu64
               " instance=%u sent_ms=%" PRId64 "\n",
               n->as.pending, least, most, n->party.index,
               since_start(s, n->sent_at));
    }
}

static void
check_pending(const PhSeen *s, PhSoakVerdict *v)
{
    for (guint i = 0; i < s->notes->len; i++) {
        const PhSoakNote *n = PhSeen_Note(s, i);
        if (n->tag == PH_SOAK_NOTE_PENDING &&
            is_calm(s, n->sent_at - LASTING_CALM, n->at, false)) {
            pending_check(s, v, n);
        }
    }
}

/* The planned stop of the instance that a call may have met, or NULL. */
static const PhSoakNote *
stop_find(const PhSeen *s, const PhSoakNote *call)
{
    for (guint i = 0; i < s->notes->len; i++) {
        const PhSoakNote *n = PhSeen_Note(s, i);
        if (n->tag == PH_SOAK_NOTE_STOP &&
            n->party.index == call->party.index && n->at <= call->at &&
            call->sent_at <= n->at + GRACE) {
            return n;
        }
    }
    return NULL;
}

static void
check_cut(const PhSeen *s, PhSoakVerdict *v)
{
    for (guint i = 0; i < s->notes->len; i++) {
        const PhSoakNote *n = PhSeen_Note(s, i);
        if (n->tag != PH_SOAK_NOTE_CALL || stop_find(s, n) == NULL ||
            !is_calm(s, n->sent_at - CONTACT, n->at, false)) {
            continue;
        }
        v->checked++;
        if (n->as.cut && n->at - n->sent_at > LOSS_SLACK &&
            violation_count(v)) {
            printf("  instance=%u sent_ms=%" PRId64 " cut_ms=%" PRId64 "\n",
                   n->party.index, since_start(s, n->sent_at),
                   since_start(s, n->at));
        }
    }
}

/* Checks a span in which a lasting task did not run. */
static void
away_check(const PhSeen *s, PhSoakVerdict *v, const PhSeenRun *r, PhTime from,
           PhTime until)
{
    v->checked++;
    for (PhTime t = from + LASTING_AWAY; t <= until; t += SCAN_STEP) {
        if (is_calm(s, t - LASTING_CALM, t, false)) {
            if (violation_count(v)) {
                printf("  away from_ms=%" PRId64 " until_ms=%" PRId64 "\n",
                       since_start(s, from), since_start(s, until));
                run_print(s, "run beside it:", r);
            }
            return;
        }
    }
}

static void
check_lasting(const PhSeen *s, PhSoakVerdict *v)
{
    for (guint i = 0; i < s->runs->len; i++) {
        const PhSeenRun *r = PhSeen_Run(s, i);
        const PhSeenJob *j = PhSeen_Job(s, r->job);
        bool last = i + 1 == s->runs->len || PhSeen_IsFirstRun(s, i + 1);
        PhTime until = last ? s->finish : PhSeen_Run(s, i + 1)->start;
        until = j->cancel != 0 ? MIN(until, j->cancel) : until;
        if (j->lasting && j->accepted != 0 && PhSeen_IsFirstRun(s, i)) {
            away_check(s, v, r, j->accepted, r->start);
        }
        if (j->lasting && j->accepted != 0 && r->end < until) {
            away_check(s, v, r, r->end, until);
        }
    }
}

/* Every lasting task has a run at the end. */
static void
check_settled(const PhSeen *s, PhSoakVerdict *v)
{
    uint32_t *running = g_new0(uint32_t, s->jobs->len + 1);
    for (guint i = 0; i < s->runs->len; i++) {
        const PhSeenRun *r = PhSeen_Run(s, i);
        running[r->job] += r->start <= s->finish && r->end > s->finish;
    }
    for (guint i = 0; i < s->jobs->len; i++) {
        const PhSeenJob *j = PhSeen_Job(s, i);
        if (!j->lasting || j->accepted == 0 || j->cancel != 0) {
            continue;
        }
        v->checked++;
        if (running[i] != j->tasks && violation_count(v)) {
            printf("  job=%08x tasks=%u running=%u\n", i, j->tasks,
                   running[i]);
        }
    }
    g_free(running);
}

static void
check_stops(const PhSeen *s, PhSoakVerdict *v)
{
    for (guint i = 0; i < s->notes->len; i++) {
        const PhSoakNote *n = PhSeen_Note(s, i);
        bool instance =
            n->tag == PH_SOAK_NOTE_EXIT && n->party.kind == PH_SOAK_INSTANCE;
        bool own = n->tag == PH_SOAK_NOTE_EXIT && n->sent_at == 0;
        bool clean = n->as.exit_status == 0;
        if (!instance && !own) {
            continue;
        }
        bool killed = WIFSIGNALED(n->as.exit_status) &&
                      WTERMSIG(n->as.exit_status) == SIGKILL;
        bool calm = is_calm(s, n->sent_at - CONTACT, n->at, false);
        v->checked++;
        if ((own || (!clean && (!killed || calm))) && violation_count(v)) {
            printf("  exit party=%d.%u status=%x asked_ms=%" PRId64
                   " at_ms=%" PRId64 "\n",
                   (int)n->party.kind, n->party.index,
                   (unsigned)n->as.exit_status, since_start(s, n->sent_at),
                   since_start(s, n->at));
        }
    }
}

static void
acts_count(const PhSeen *s)
{
    unsigned counts[PH_SOAK_ACT_KINDS] = {0};
    unsigned slow = 0;
    for (guint i = 0; i < s->notes->len; i++) {
        const PhSoakNote *n = PhSeen_Note(s, i);
        slow += n->tag == PH_SOAK_NOTE_SLOW;
        if (n->tag == PH_SOAK_NOTE_ACT) {
            counts[n->as.act.act.kind]++;
        }
    }
    printf("played");
    for (int i = 0; i < PH_SOAK_ACT_KINDS; i++) {
        printf(" %s=%u", PhSoakAct_Name((PhSoakActKind)i), counts[i]);
    }
    printf(" machine-slow=%u jobs=%u runs=%u\n", slow, s->jobs->len,
           s->runs->len);
}

bool
PhSoakChecks_Run(const PhSoakPlan *plan, const GArray *notes)
{
    static const struct {
        const char *name;
        void (*run)(const PhSeen *s, PhSoakVerdict *v);
    } checks[] = {
        {"one-place", check_one_place},
        {"no-start-after-noted-end", check_noted},
        {"no-start-on-leaving", check_leaving},
        {"no-start-after-cancel", check_cancelled},
        {"accepted-not-lost", check_accepted},
        {"states", check_states},
        {"pending", check_pending},
        {"not-cut-by-planned-stop", check_cut},
        {"lasting-run-again", check_lasting},
        {"lasting-settled", check_settled},
        {"exits", check_stops},
    };
    PhSeen s;
    bool held = true;
    PhSeen_Read(&s, plan, notes);
    acts_count(&s);
    for (size_t i = 0; i < G_N_ELEMENTS(checks); i++) {
        PhSoakVerdict v = {.name = checks[i].name};
        checks[i].run(&s, &v);
        held &= v.violations == 0 && v.checked > 0;
        printf("check=%s verdict=%s checked=%" PRIu64 " violations=%" PRIu64
               "\n",
               v.name,
               v.violations > 0 ? "broken"
               : v.checked == 0 ? "not-exercised"
                                : "held",
               v.checked, v.violations);
    }
    PhSeen_Clear(&s);
    return held;
}
