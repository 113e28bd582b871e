#include "peridothill/kernel/clock.h"

#include <glib.h>
#include <time.h>

#include "peridothill/common/invariant.h"

/* 2026-01-01 00:00:00 UTC */
static const PhTime PAUSED_WALL_ORIGIN = INT64_C(1767225600) * PH_NS_PER_S;

struct PhClock {
    PhClockKind kind;
    PhTime paused_at;
};

PhClock *
PhClock_Create(PhClockKind kind)
{
    PhClock *clock = g_new0(PhClock, 1);
    clock->kind = kind;
    return clock;
}

void
PhClock_Destroy(PhClock *clock)
{
    g_free(clock);
}

PhClockKind
PhClock_Kind(const PhClock *clock)
{
    return clock->kind;
}

static PhTime
read_system(clockid_t id)
{
    struct timespec t;
    clock_gettime(id, &t);
    return (PhTime)t.tv_sec * PH_NS_PER_S + t.tv_nsec;
}

PhTime
PhClock_Now(const PhClock *clock)
{
    switch (clock->kind) {
    case PH_CLOCK_REAL:
        /* CLOCK_MONOTONIC stops while the machine is suspended, so ownerships
         * and leases that expired in the meantime would appear valid. */
        return read_system(CLOCK_BOOTTIME);
    case PH_CLOCK_PAUSED:
        return clock->paused_at;
    }
    return 0;
}

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

void
PhClock_Advance(PhClock *clock, PhTime by)
{
    Ph_INVARIANT(PH_INVARIANT_KERNEL,
                 clock->kind == PH_CLOCK_PAUSED && by >= 0,
                 "by=%" G_GINT64_FORMAT, by);
    clock->paused_at += by;
}
