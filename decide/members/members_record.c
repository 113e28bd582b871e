#include "peridothill/common/invariant.h"
#include "state.h"

/* Pings a suspect, with its record, within the limit of this probe interval.
 * With many suspects, each is pinged only once. */
static void
suspect_ask(PhMembership *m, PhEntry *e)
{
    bool many = m->suspects->len > CONFIRMS_IN_INTERVAL;
    e->confirm = m->now + m->times.probe_interval;
    if (m->confirms == 0 || (many && e->asked != 0)) {
        return;
    }
    m->confirms--;
    if (e->asked == 0) {
        e->asked = m->now;
    }
    PhMembers_SendPing(m, e, ++m->sequence);
}

/* Starts, or restarts, the suspicion of a member and pings it. */
void
PhMembers_Suspect(PhMembership *m, PhEntry *e, uint64_t incarnation)
{
    bool first = e->member.state != PH_MEMBER_SUSPECT;
    PhEntry_Change(m, e, PH_MEMBER_SUSPECT, incarnation);
    e->asked = 0;
    e->suspected = m->now;
    e->expires = m->now + m->times.suspicion;
    if (first) {
        g_ptr_array_add(m->suspects, e);
        PhMembers_Report(m, PH_MEMBERSHIP_SUSPECTED, e->member.id);
    }
    suspect_ask(m, e);
}

/* Handles an expired suspicion. A member that was heard meanwhile is suspected
 * anew, one that was not pinged in time gets time to answer, any other is
 * dead. */
static void
suspicion_end(PhMembership *m, PhEntry *e)
{
    if (e->heard > e->suspected) {
        PhMembers_Suspect(m, e, e->member.incarnation);
        return;
    }
    if (e->asked == 0 || m->now - e->asked < m->times.probe_interval) {
        e->expires = m->now + m->times.probe_interval;
        return;
    }
    g_ptr_array_remove_fast(m->suspects, e);
    PhEntry_Change(m, e, PH_MEMBER_DEAD, e->member.incarnation);
    PhMembers_Report(m, PH_MEMBERSHIP_DIED, e->member.id);
}

void
PhMembers_CheckSuspects(PhMembership *m)
{
    for (guint i = m->suspects->len; i > 0; i--) {
        PhEntry *e = g_ptr_array_index(m->suspects, i - 1);
        if (m->now >= e->confirm) {
            suspect_ask(m, e);
        }
        if (m->now >= e->expires) {
            suspicion_end(m, e);
        }
    }
}

/* Merges a record of this instance. One that is not ALIVE, or has a later
 * incarnation, is refuted by a yet later incarnation. */
static void
merge_self(PhMembership *m, const PhMember *record)
{
    PhMember *self = &m->self->member;
    bool leaving = self->state == PH_MEMBER_LEFT;
    if (record->state == PH_MEMBER_ALIVE &&
        !PhStr_Equal(record->address, self->address) &&
        record->incarnation >= self->incarnation) {
        PhMembers_Report(m, PH_MEMBERSHIP_ID_CONFLICT, self->id);
    }
    bool stale = record->incarnation < self->incarnation ||
                 (record->incarnation == self->incarnation &&
                  record->state == PH_MEMBER_ALIVE);
    if (stale && record->state != PH_MEMBER_ALIVE) {
        PhEntry_Spread(m, m->self);
    }
    if (leaving || stale) {
        return;
    }
    PhEntry_Change(m, m->self, PH_MEMBER_ALIVE, record->incarnation + 1);
    PhMembers_Report(m, PH_MEMBERSHIP_SELF_REFUTED, self->id);
}

static void
merge_unknown(PhMembership *m, const PhMember *record)
{
    if (g_hash_table_size(m->entries) >= MEMBERS_MAX) {
        PhMembers_Report(m, PH_MEMBERSHIP_TABLE_FULL, record->id);
        return;
    }
    PhMember first = *record;
    if (record->state == PH_MEMBER_SUSPECT) {
        first.state = PH_MEMBER_ALIVE;
    }
    PhEntry *e = PhEntry_Add(m, &first);
    if (first.state == PH_MEMBER_ALIVE) {
        PhMembers_Report(m, PH_MEMBERSHIP_JOINED, e->member.id);
    }
    if (record->state == PH_MEMBER_SUSPECT) {
        PhMembers_Suspect(m, e, record->incarnation);
    }
}

/* Copies the fields of a newer record that are independent of the state. */
static void
adopt(PhEntry *e, const PhMember *record)
{
    e->member.draining = record->draining;
    PhStr_Clear(&e->member.address);
    e->member.address = PhStr_Dup(record->address);
}

/* ALIVE takes effect only with a higher incarnation. */
static void
merge_alive(PhMembership *m, PhEntry *e, const PhMember *record)
{
    if (record->incarnation <= e->member.incarnation) {
        return;
    }
    switch (e->member.state) {
    case PH_MEMBER_ALIVE:
        break;
    case PH_MEMBER_SUSPECT:
        g_ptr_array_remove_fast(m->suspects, e);
        PhMembers_Report(m, PH_MEMBERSHIP_REFUTED, e->member.id);
        break;
    case PH_MEMBER_DEAD:
    case PH_MEMBER_LEFT:
        PhMembers_Report(m, PH_MEMBERSHIP_RETURNED, e->member.id);
        break;
    }
    adopt(e, record);
    PhEntry_Change(m, e, PH_MEMBER_ALIVE, record->incarnation);
}

/* SUSPECT and DEAD both only start a local suspicion. Every instance gives the
 * member time to refute, also after a partition whose other side declared it
 * dead. */
static void
merge_doubt(PhMembership *m, PhEntry *e, const PhMember *record)
{
    bool newer = record->incarnation > e->member.incarnation;
    bool buried =
        e->member.state == PH_MEMBER_DEAD || e->member.state == PH_MEMBER_LEFT;
    if (newer && (!buried || record->state == PH_MEMBER_SUSPECT)) {
        adopt(e, record);
    }
    switch (e->member.state) {
    case PH_MEMBER_ALIVE:
        if (newer || record->incarnation == e->member.incarnation) {
            PhMembers_Suspect(m, e, record->incarnation);
        }
        break;
    case PH_MEMBER_SUSPECT:
        if (newer) {
            PhMembers_Suspect(m, e, record->incarnation);
        }
        break;
    case PH_MEMBER_DEAD:
    case PH_MEMBER_LEFT:
        if (newer && record->state == PH_MEMBER_SUSPECT) {
            PhMembers_Report(m, PH_MEMBERSHIP_RETURNED, e->member.id);
            PhMembers_Suspect(m, e, record->incarnation);
        }
        break;
    }
}

/* LEFT comes from the member itself, so it takes effect at once. */
static void
merge_left(PhMembership *m, PhEntry *e, const PhMember *record)
{
    if (e->member.state == PH_MEMBER_LEFT ||
        record->incarnation < e->member.incarnation) {
        return;
    }
    if (e->member.state == PH_MEMBER_SUSPECT) {
        g_ptr_array_remove_fast(m->suspects, e);
    }
    PhEntry_Change(m, e, PH_MEMBER_LEFT, record->incarnation);
    PhMembers_Report(m, PH_MEMBERSHIP_GONE, e->member.id);
}

void
PhMembers_MergeRecord(PhMembership *m, const PhMember *record)
{
    PhEntry *e = PhEntry_Find(m, record->id);
    if (PhStr_IsEmpty(record->id) ||
        record->incarnation > PH_MEMBER_INCARNATION_MAX) {
        return;
    }
    if (e == m->self) {
        merge_self(m, record);
        return;
    }
    if (e == NULL) {
        merge_unknown(m, record);
        return;
    }
    switch (record->state) {
    case PH_MEMBER_ALIVE:
        merge_alive(m, e, record);
        return;
    case PH_MEMBER_SUSPECT:
    case PH_MEMBER_DEAD:
        merge_doubt(m, e, record);
        return;
    case PH_MEMBER_LEFT:
        merge_left(m, e, record);
        return;
    }
}
