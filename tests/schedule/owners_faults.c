/* Faults of the owners simulation: what they affect, and how random ones are
 * drawn. */
#include "owners_world_private.h"

#include "tests/table.h"

enum {
    FAULT_FIRST_MS = 5000,
    FAULT_GAP_MS = 4000,
    FAULT_LEAST_MS = 1000,
    FAULT_SPREAD_MS = 9000,
    LEAVING_MOST = 2, /* workers that may drain */
    REBORN_MOST_MS = 4000,
};

int64_t
PhOwnersWorld_Elapsed(const PhOwnersWorld *w)
{
    return (w->now - PH_OWNERS_START) / PH_NS_PER_MS;
}

static bool
fault_acts(const PhOwnersWorld *w, const PhOwnersFault *f)
{
    return PhOwnersWorld_Elapsed(w) >= f->at &&
           PhOwnersWorld_Elapsed(w) < f->at + f->lasts;
}

bool
PhOwnersWorld_IsCut(const PhOwnersWorld *w, int member, int host)
{
    for (unsigned i = 0; i < w->fault_count; i++) {
        const PhOwnersFault *f = &w->faults[i];
        bool with_member = (f->instances >> member & 1U) != 0;
        bool with_host = (f->workers >> host & 1U) != 0;
        if (!fault_acts(w, f)) {
            continue;
        }
        if ((f->kind == PH_OWNERS_NO_CALLS && with_member && with_host) ||
            (f->kind == PH_OWNERS_ZONE_CUT && with_member != with_host)) {
            return true;
        }
    }
    return false;
}

bool
PhOwnersWorld_IsStruck(const PhOwnersWorld *w, unsigned kinds, int member,
                       int host)
{
    for (unsigned i = 0; i < w->fault_count; i++) {
        const PhOwnersFault *f = &w->faults[i];
        bool named = (member >= 0 && (f->instances >> member & 1U) != 0) ||
                     (host >= 0 && (f->workers >> host & 1U) != 0);
        if (named && (kinds >> f->kind & 1U) != 0 && fault_acts(w, f)) {
            return true;
        }
    }
    return false;
}

bool
PhOwnersWorld_LacksStore(const PhOwnersWorld *w, int member, int host)
{
    return PhOwnersWorld_IsStruck(
        w, 1U << PH_OWNERS_NO_STORE | 1U << PH_OWNERS_ZONE_CUT, member, host);
}

bool
PhOwnersWorld_IsBetween(const PhOwnersWorld *w, PhOwnersFaultKind kind,
                        int member, int host)
{
    for (unsigned i = 0; i < w->fault_count; i++) {
        const PhOwnersFault *f = &w->faults[i];
        if (f->kind == kind && fault_acts(w, f) &&
            (f->instances >> member & 1U) != 0 &&
            (f->workers >> host & 1U) != 0) {
            return true;
        }
    }
    return false;
}

bool
PhOwnersWorld_IsFrozen(const PhOwnersWorld *w, int member)
{
    return PhOwnersWorld_IsStruck(w, 1U << PH_OWNERS_FREEZE, member, -1);
}

bool
PhOwnersWorld_AreApart(const PhOwnersWorld *w, int a, int b)
{
    for (unsigned i = 0; i < w->fault_count; i++) {
        const PhOwnersFault *f = &w->faults[i];
        if (f->kind == PH_OWNERS_ZONE_CUT && fault_acts(w, f) &&
            (f->instances >> a & 1U) != (f->instances >> b & 1U)) {
            return true;
        }
    }
    return false;
}

void
PhOwnersWorld_AddFault(PhOwnersWorld *w, const PhOwnersFault *fault)
{
    assert_true(w->fault_count < PH_OWNERS_FAULTS_MAX);
    w->faults[w->fault_count++] = *fault;
}

/* Draws a non-empty set of `count` workers or instances, as a mask. */
static unsigned
draw_some(PhRandom *random, int count)
{
    unsigned some = (unsigned)PhRandom_Below(random, 1U << count);
    return some | 1U << PhRandom_Below(random, (uint64_t)count);
}

static PhOwnersFaultKind
draw_kind(PhRandom *random, unsigned kinds)
{
    uint64_t count = 0;
    for (unsigned kind = 0; kind < PH_OWNERS_KINDS; kind++) {
        count += kinds >> kind & 1U;
    }
    uint64_t left = PhRandom_Below(random, count);
    unsigned kind = 0;
    while ((kinds >> kind & 1U) == 0 || left > 0) {
        left -= kinds >> kind & 1U;
        kind++;
    }
    return (PhOwnersFaultKind)kind;
}

void
PhOwnersWorld_DrawFaults(PhOwnersWorld *w, uint64_t seed, unsigned count,
                         unsigned kinds)
{
    PhRandom *random = PhRandom_Create(seed);
    unsigned left = 0;
    int64_t at = FAULT_FIRST_MS;
    for (unsigned i = 0; i < count; i++) {
        PhOwnersFault f = {
            .kind = draw_kind(random, kinds),
            .at = at,
            .lasts = FAULT_LEAST_MS +
                     (int64_t)PhRandom_Below(random, FAULT_SPREAD_MS),
            .workers = draw_some(random, PH_OWNERS_WORKERS),
            .owner = PhRandom_Chance(random, 0.5)};
        bool calls = f.kind == PH_OWNERS_NO_CALLS ||
                     f.kind == PH_OWNERS_NO_ANSWERS ||
                     f.kind == PH_OWNERS_LATE;
        if (!f.owner || calls) {
            f.instances = draw_some(random, PH_OWNERS_INSTANCES);
        }
        if (f.kind == PH_OWNERS_FREEZE || f.kind == PH_OWNERS_MUTE_STORE ||
            f.kind == PH_OWNERS_KILL) {
            f.workers = 0;
        }
        if (f.kind == PH_OWNERS_REBORN) {
            f.instances = 0;
            f.owner = false;
            f.lasts = f.lasts % REBORN_MOST_MS + PH_OWNERS_TICK_MS;
        }
        if (f.kind == PH_OWNERS_LEAVE) {
            f.workers = 1U << PhRandom_Below(random, LEAVING_MOST);
            f.workers &= ~left;
            f.instances = 0;
            f.owner = false;
            left |= f.workers;
        }
        PhOwnersWorld_AddFault(w, &f);
        at += (int64_t)PhRandom_Below(random, FAULT_GAP_MS);
    }
    PhRandom_Destroy(random);
}

void
PhOwnersWorld_BeginFaults(PhOwnersWorld *w)
{
    for (unsigned i = 0; i < w->fault_count; i++) {
        PhOwnersFault *f = &w->faults[i];
        if (!f->owner || !fault_acts(w, f)) {
            continue;
        }
        f->owner = false;
        for (int k = 0; k < PH_OWNERS_INSTANCES; k++) {
            if (w->members[k].active &&
                w->members[k].fence == w->store_epoch) {
                f->instances |= 1U << k;
            }
        }
    }
}
