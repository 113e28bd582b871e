#include "peridothill/kernel/clock.h"

#include <glib.h>
#include <time.h>

#include "peridothill/common/invariant.h"

/* Where a paused clock starts: 2026-01-01 00:00:00 UTC. */
static const PhTime PAUSED_WALL_ORIGIN = INT64_C(1767225600) * PH_NS_PER_S;

struct PhClock {
    PhClockKind kind;
    PhTime paused_at;
};

/* Creates a clock; a paused one starts at time 0. */
PhClock *
PhClock_Create(PhClockKind kind)
{
    PhClock *clock = g_new0(PhClock, 1);
    clock->kind = kind;
    return clock;
}

/* Releases the clock; NULL is allowed. */
void
PhClock_Destroy(PhClock *clock)
{
    g_free(clock);
}

/* Tells of which kind the clock is. */
PhClockKind
PhClock_Kind(const PhClock *clock)
{
    return clock->kind;
}

/* Reads a clock of the system. */
static PhTime
read_system(clockid_t id)
{
    struct timespec t;
    clock_gettime(id, &t);
    return (PhTime)t.tv_sec * PH_NS_PER_S + t.tv_nsec;
}

/* Gives the time since the clock's origin. */
PhTime
PhClock_Now(const PhClock *clock)
{
    switch (clock->kind) {
    case PH_CLOCK_REAL:
        /* CLOCK_MONOTONIC stands still while the machine is suspended, and
         * with it the ages of ownerships and leases. */
        return read_system(CLOCK_BOOTTIME);
    case PH_CLOCK_PAUSED:
        return clock->paused_at;
    }
    return 0;
}

/* Gives the time since the Unix epoch. */
PhTime
PhClock_Wall(const PhClock *clock)
{
    switch (clock->kind) {
    case PH_CLOCK_REAL:
        return read_system(CLOCK_REALTIME);
    case PH_CLOCK_PAUSED:
        return PAUSED_WALL_ORIGIN + clock->paused_at;
    }
    return 0;
}

/* Moves a paused clock forward. */
void
PhClock_Advance(PhClock *clock, PhTime by)
{
    Ph_INVARIANT(PH_INVARIANT_KERNEL,
                 clock->kind == PH_CLOCK_PAUSED && by >= 0,
                 "by=%" G_GINT64_FORMAT, by);
    clock->paused_at += by;
}
