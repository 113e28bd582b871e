#include "owners_rooms.h"

#include "owners_sim_private.h"
#include "tests/table.h"

enum {
    PERCENT = 100,
    SMALL_CPU_MILLI = 16000, /* capacity of a worker */
    LARGE_CPU_MILLI = 64000,
    WORKERS_MIN = 4,
    SUBMIT_UNTIL_MS = 45000,
    PLANNED_MIN_MS = 7000, /* first planned work */
    PLANNED_SPREAD_MS = 8000,
    PLANNED_UNTIL_MS = 45000,
    RESTART_SPREAD_MS = 24000, /* of the beginning of a rolling restart */
    LEAVE_GAP_MIN_MS = 500,
    LEAVE_GAP_SPREAD_MS = 2500,
    NOTICE_MS = 2000, /* stated by a worker that leaves */
    LONG_NOTICE_MS = 4500,
    STAY_SPREAD_MS = 1500,     /* a worker stays so much longer at most */
    ANNOUNCED_SPREAD_MS = 300, /* until an announcement is listed */
    REPLACE_LEAD_MS = 300,
    LISTED_MIN_MS = 50,
    LISTED_SPREAD_MS = 900,
    UNLISTED_SPREAD_MS = 1500, /* a worker that has left is listed on */
    STOP_GAP_MIN_MS = 700,
    STOP_GAP_SPREAD_MS = 3000,
    STOPS_MIN = 2,
    STOPS_SPREAD = 6, /* of one rolling restart */
    DOWN_MIN_MS = 300,
    DOWN_SPREAD_MS = 3000,
    STOP_TIME_SPREAD_MS = 400, /* of a run */
    TARGET_MS = 10,
    IMAGES = 10, /* of backfill tasks, and as many of serving ones */
    RUN_MIN_MS = 300,
    NEVER_MS = 1000000000,
};

/* Times of a worker. */
typedef struct PhSimLife {
    int64_t starts_ms;
    int64_t listed_ms;
    int64_t announces_ms;
    int64_t drains_ms; /* the announcement is listed */
    int64_t notice_ms;
    int64_t leaves_ms;
    int64_t unlisted_ms;
} PhSimLife;

typedef struct PhSimSubmission {
    int64_t at_ms;
    unsigned count;
    PhSimTaskKind kind;
} PhSimSubmission;

struct PhSimRooms {
    PhSimLife lives[PH_OWNERS_WORKERS_MAX];
    GArray *submissions; /* PhSimSubmission by time */
    guint submitted;
    PhRoomWatch *watch;
};

/* What everything is drawn with. */
typedef struct PhRoomsDraw {
    PhOwnersSim *sim;
    PhSimRooms *rooms;
    PhRandom *random;
    const PhRoomsTerms *terms;
    PhSchedResources unit;  /* of a worker of the smallest size */
    PhSchedResources total; /* at the start */
} PhRoomsDraw;

void
PhSimRooms_Destroy(PhSimRooms *rooms)
{
    if (rooms != NULL) {
        g_array_free(rooms->submissions, TRUE);
        PhRoomWatch_Destroy(rooms->watch);
        g_free(rooms);
    }
}

/* Returns a number from `least` to below `least` + `spread`. */
static int64_t
draw_from(const PhRoomsDraw *d, int64_t least, int64_t spread)
{
    return least + (int64_t)PhRandom_Below(d->random, (uint64_t)spread);
}

/* Returns a part of an amount, between these shares. */
static int64_t
draw_part(const PhRoomsDraw *d, int64_t of, int64_t least_percent,
          int64_t most_percent)
{
    return of * draw_from(d, least_percent, most_percent - least_percent + 1) /
           PERCENT;
}

/* Adds a worker that starts at a time. */
static void
worker_add(PhRoomsDraw *d, int64_t starts_ms)
{
    int number = d->sim->worker_count++;
    PhSimWorker *h = &d->sim->workers[number];
    bool large = PhRandom_Below(d->random, 3) == 0;
    int64_t scale = large ? 3 : 2;
    bool is_first = starts_ms == 0;
    PhSimWorker_Open(h, number);
    h->alive = is_first;
    h->guards_capacity = true;
    h->capacity.cpu_milli = d->unit.cpu_milli * scale / 2;
    h->capacity.mem_mb = d->unit.mem_mb * scale / 2;
    h->stop_time = draw_from(d, 0, STOP_TIME_SPREAD_MS) * PH_NS_PER_MS;
    d->rooms->lives[number] = (PhSimLife){
        .starts_ms = starts_ms,
        .listed_ms = is_first ? 0
                              : starts_ms + draw_from(d, LISTED_MIN_MS,
                                                      LISTED_SPREAD_MS),
        .announces_ms = NEVER_MS,
        .drains_ms = NEVER_MS,
        .leaves_ms = NEVER_MS,
        .unlisted_ms = NEVER_MS};
}

static void
workers_draw(PhRoomsDraw *d)
{
    int64_t cpu =
        PhRandom_Chance(d->random, 0.5) ? SMALL_CPU_MILLI : LARGE_CPU_MILLI;
    int64_t count = draw_from(d, WORKERS_MIN, d->terms->workers - WORKERS_MIN);
    d->unit = (PhSchedResources){.cpu_milli = cpu, .mem_mb = cpu * 4};
    d->sim->worker_count = 0;
    for (int64_t i = 0; i < count; i++) {
        worker_add(d, 0);
        d->total.cpu_milli += d->sim->workers[i].capacity.cpu_milli;
        d->total.mem_mb += d->sim->workers[i].capacity.mem_mb;
    }
}

/* Workers leave one after the other. */
static void
leaves_draw(PhRoomsDraw *d)
{
    int64_t at_ms = draw_from(d, PLANNED_MIN_MS, PLANNED_SPREAD_MS);
    int64_t gap_ms = draw_from(d, LEAVE_GAP_MIN_MS, LEAVE_GAP_SPREAD_MS);
    int64_t notice_ms =
        PhRandom_Chance(d->random, 0.5) ? NOTICE_MS : LONG_NOTICE_MS;
    unsigned count = (unsigned)draw_from(d, 0, d->terms->leaves + 1);
    for (unsigned i = 0; i < count && at_ms < PLANNED_UNTIL_MS; i++) {
        if (d->terms->replaced) {
            worker_add(d, at_ms - REPLACE_LEAD_MS);
        }
        else if ((int)i + 2 >= d->sim->worker_count) {
            return;
        }
        PhSimLife *life = &d->rooms->lives[i];
        life->announces_ms = at_ms;
        life->drains_ms = at_ms + draw_from(d, 0, ANNOUNCED_SPREAD_MS);
        life->notice_ms = notice_ms;
        life->leaves_ms = at_ms + notice_ms + draw_from(d, 0, STAY_SPREAD_MS);
        life->unlisted_ms =
            life->leaves_ms + draw_from(d, 0, UNLISTED_SPREAD_MS);
        at_ms += gap_ms;
    }
}

/* Returns the number of instances that are stopped or down at some time from
 * `at_ms` to `until_ms`, at most. */
static unsigned
count_away(const PhOwnersSim *sim, int64_t at_ms, int64_t until_ms)
{
    unsigned count = 0;
    for (unsigned i = 0; i < sim->fault_count; i++) {
        const PhOwnersFault *f = &sim->faults[i];
        count += f->at_ms < until_ms && at_ms < f->at_ms + f->duration_ms;
    }
    return count;
}

/* Stops instances one after the other, each in turn, or the owner each
 * time. */
static void
restart_draw(PhRoomsDraw *d)
{
    int64_t at_ms = draw_from(d, PLANNED_MIN_MS, RESTART_SPREAD_MS);
    int64_t gap_ms = draw_from(d, STOP_GAP_MIN_MS, STOP_GAP_SPREAD_MS);
    int64_t down_ms = draw_from(d, DOWN_MIN_MS, DOWN_SPREAD_MS);
    int64_t count = draw_from(d, STOPS_MIN, STOPS_SPREAD);
    int64_t first = draw_from(d, 0, PH_OWNERS_INSTANCES);
    bool owner = PhRandom_Chance(d->random, 0.3);
    for (int64_t i = 0; i < count; i++) {
        PhOwnersFault stop = {
            .kind = PH_OWNERS_STOP,
            .at_ms = at_ms,
            .duration_ms = PH_OWNERS_NOTICE_MS + down_ms,
            .instances = owner ? 0 : 1U << (first + i) % PH_OWNERS_INSTANCES,
            .owner = owner};
        if (count_away(d->sim, at_ms, at_ms + stop.duration_ms) <
            d->terms->away) {
            PhOwnersSim_AddFault(d->sim, &stop);
        }
        at_ms += gap_ms;
    }
}

static void
submission_add(const PhRoomsDraw *d, const PhSimSubmission *s)
{
    g_array_append_vals(d->rooms->submissions, s, 1);
}

/* Jobs that are to last, at the start and some later. */
static void
lasting_draw(const PhRoomsDraw *d)
{
    int64_t left = d->total.cpu_milli * d->terms->lasting_percent / PERCENT;
    while (left > 0) {
        PhSimSubmission s = {.count = (unsigned)draw_from(d, 1, 6)};
        s.kind.long_running = true;
        s.kind.resources.cpu_milli = draw_part(d, d->unit.cpu_milli, 12, 33);
        s.kind.resources.mem_mb = draw_part(d, d->unit.mem_mb, 8, 15);
        if (PhRandom_Chance(d->random, 0.7)) {
            s.kind.tail_latency_target = TARGET_MS * PH_NS_PER_MS;
            s.kind.image = (unsigned)draw_from(d, IMAGES + 1, IMAGES);
        }
        if (PhRandom_Chance(d->random, 0.2)) {
            s.at_ms = draw_from(d, 0, SUBMIT_UNTIL_MS);
        }
        submission_add(d, &s);
        left -= s.count * s.kind.resources.cpu_milli;
    }
}

/* Jobs with an end.  Each comes when those before have had the time that they
 * take on the share of the workers that is meant for them. */
static void
ending_draw(const PhRoomsDraw *d, bool fills, int64_t load_percent)
{
    int64_t rest_percent = PERCENT - d->terms->lasting_percent;
    int64_t cpu_milli =
        d->total.cpu_milli * rest_percent / PERCENT * load_percent / PERCENT;
    int64_t mem_mb =
        d->total.mem_mb * rest_percent / PERCENT * load_percent / PERCENT;
    double at_ms = 0;
    while (at_ms < SUBMIT_UNTIL_MS && load_percent > 0) {
        PhSimSubmission s = {.at_ms = (int64_t)at_ms,
                             .count = (unsigned)draw_from(d, 1, 16)};
        int64_t run_ms = draw_from(d, RUN_MIN_MS, fills ? 6000 : 1500);
        s.kind.fills = fills;
        s.kind.image = fills ? (unsigned)draw_from(d, 1, IMAGES) : 0;
        s.kind.run_time = run_ms * PH_NS_PER_MS;
        s.kind.estimate = draw_part(d, s.kind.run_time, 50, 150);
        s.kind.resources.cpu_milli =
            draw_part(d, d->unit.cpu_milli, 5, fills ? 20 : 35);
        s.kind.resources.mem_mb =
            draw_part(d, d->unit.mem_mb, 3, fills ? 10 : 15);
        submission_add(d, &s);
        double work = (double)s.count * (double)run_ms;
        at_ms += fills
                     ? work * (double)s.kind.resources.mem_mb / (double)mem_mb
                     : work * (double)s.kind.resources.cpu_milli /
                           (double)cpu_milli;
    }
}

static gint
submission_compare(gconstpointer a, gconstpointer b)
{
    const PhSimSubmission *x = a;
    const PhSimSubmission *y = b;
    return (x->at_ms > y->at_ms) - (x->at_ms < y->at_ms);
}

void
PhOwnersSim_DrawRooms(PhOwnersSim *sim, uint64_t seed,
                      const PhRoomsTerms *terms)
{
    PhRoomsDraw d = {.sim = sim,
                     .rooms = g_new0(PhSimRooms, 1),
                     .random = PhRandom_Create(seed),
                     .terms = terms};
    assert_true(terms->workers > WORKERS_MIN);
    assert_in_range(terms->workers + terms->leaves, 1, PH_OWNERS_WORKERS_MAX);
    sim->rooms = d.rooms;
    d.rooms->watch = PhRoomWatch_Create();
    d.rooms->submissions = g_array_new(FALSE, TRUE, sizeof(PhSimSubmission));
    for (int i = 0; i < sim->worker_count; i++) {
        PhSimWorker_Close(&sim->workers[i]);
    }
    workers_draw(&d);
    leaves_draw(&d);
    for (unsigned i = 0; i < terms->restarts; i++) {
        restart_draw(&d);
    }
    lasting_draw(&d);
    ending_draw(&d, false, terms->load_percent);
    ending_draw(&d, true, terms->fill_percent);
    g_array_sort(d.rooms->submissions, submission_compare);
    PhOwnersSim_SetDelays(sim, seed);
    if (terms->relays) {
        PhOwnersSim_RelayStarts(sim);
    }
    if (terms->starts_per_s > 0) {
        PhOwnersSim_LimitLinks(sim, terms->starts_per_s);
    }
    sim->tasks.failure_share = terms->failure_share;
    sim->tasks.random = d.random;
}

const PhRoomFigures *
PhOwnersSim_RoomFigures(const PhOwnersSim *sim)
{
    return PhRoomWatch_Figures(sim->rooms->watch);
}

void
PhSimRooms_SubmitJobs(PhOwnersSim *sim)
{
    PhSimRooms *rooms = sim->rooms;
    while (rooms->submitted < rooms->submissions->len) {
        const PhSimSubmission *s = &g_array_index(
            rooms->submissions, PhSimSubmission, rooms->submitted);
        if (s->at_ms > PhOwnersSim_ElapsedMs(sim)) {
            return;
        }
        PhOwnersSim_AddJob(sim, s->count, &s->kind);
        rooms->submitted++;
    }
}

void
PhSimRooms_TickWorker(PhOwnersSim *sim, int worker)
{
    PhSimWorker *h = &sim->workers[worker];
    const PhSimLife *life = &sim->rooms->lives[worker];
    int64_t at_ms = PhOwnersSim_ElapsedMs(sim);
    bool runs = at_ms >= life->starts_ms && at_ms < life->leaves_ms;
    if (runs && !h->alive) {
        PhSimWorker_Restart(h, sim->now);
    }
    if (!runs && h->alive) {
        PhSimWorker_Stop(h);
    }
    PhSimWorker_Tick(h, &sim->tasks, sim->now);
    h->draining = at_ms >= life->drains_ms;
    h->listed = at_ms >= life->listed_ms && at_ms < life->unlisted_ms;
    h->entry_born_ms = h->born_ms;
}

PhTime
PhSimRooms_Remaining(const PhOwnersSim *sim, int worker)
{
    const PhSimLife *life = &sim->rooms->lives[worker];
    int64_t least_ms =
        life->announces_ms + life->notice_ms - PhOwnersSim_ElapsedMs(sim);
    return MAX(least_ms, 0) * PH_NS_PER_MS;
}

void
PhSimRooms_Check(PhOwnersSim *sim)
{
    unsigned draining = 0;
    for (int i = 0; i < sim->worker_count; i++) {
        bool announced =
            PhOwnersSim_ElapsedMs(sim) >= sim->rooms->lives[i].announces_ms;
        draining |= announced ? 1U << i : 0;
    }
    PhRoomWatch_Tick(sim->rooms->watch, sim, draining);
}
