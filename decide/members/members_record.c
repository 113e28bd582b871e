#include "membership_private.h"
#include "peridothill/common/invariant.h"

/* Pings a suspect, with its record, within the limit of this probe interval.
 * With many suspects, each is pinged only once. */
static void
suspect_ping(PhMembership *m, PhMemberEntry *e)
{
    bool many = m->suspects->len > SUSPECT_PINGS_PER_INTERVAL;
    e->next_ping = m->now + m->times.probe_interval;
    if (m->suspect_pings_left == 0 || (many && e->first_ping_at != 0)) {
        return;
    }
    m->suspect_pings_left--;
    if (e->first_ping_at == 0) {
        e->first_ping_at = m->now;
    }
    PhMembers_SendPing(m, e, ++m->sequence);
}

/* Starts, or restarts, the suspicion of a member and pings it. */
void
PhMembers_Suspect(PhMembership *m, PhMemberEntry *e, uint64_t incarnation)
{
    bool first = e->member.state != PH_MEMBER_SUSPECT;
    PhMemberEntry_SetState(m, e, PH_MEMBER_SUSPECT, incarnation);
    e->first_ping_at = 0;
    e->suspected_at = m->now;
    e->suspicion_ends = m->now + m->times.suspicion;
    if (first) {
        g_ptr_array_add(m->suspects, e);
        PhMembers_Report(m, PH_MEMBERSHIP_SUSPECTED, e->member.id);
    }
    suspect_ping(m, e);
}

/* Handles an expired suspicion. A member that has sent a message since is
 * suspected anew, one that was not pinged in time gets time to answer, any
 * other is dead. */
static void
suspicion_expire(PhMembership *m, PhMemberEntry *e)
{
    if (e->last_contact_at > e->suspected_at) {
        PhMembers_Suspect(m, e, e->member.incarnation);
        return;
    }
    if (e->first_ping_at == 0 ||
        m->now - e->first_ping_at < m->times.probe_interval) {
        e->suspicion_ends = m->now + m->times.probe_interval;
        return;
    }
    g_ptr_array_remove_fast(m->suspects, e);
    PhMemberEntry_SetState(m, e, PH_MEMBER_DEAD, e->member.incarnation);
    PhMembers_Report(m, PH_MEMBERSHIP_DIED, e->member.id);
}

void
PhMembers_CheckSuspects(PhMembership *m)
{
    for (guint i = m->suspects->len; i > 0; i--) {
        PhMemberEntry *e = g_ptr_array_index(m->suspects, i - 1);
        if (m->now >= e->next_ping) {
            suspect_ping(m, e);
        }
        if (m->now >= e->suspicion_ends) {
            suspicion_expire(m, e);
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
        PhMemberEntry_QueueUpdate(m, m->self);
    }
    if (leaving || stale) {
        return;
    }
    PhMemberEntry_SetState(m, m->self, PH_MEMBER_ALIVE,
                           record->incarnation + 1);
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
    PhMemberEntry *e = PhMemberEntry_Add(m, &first);
    if (first.state == PH_MEMBER_ALIVE) {
        PhMembers_Report(m, PH_MEMBERSHIP_JOINED, e->member.id);
    }
    if (record->state == PH_MEMBER_SUSPECT) {
        PhMembers_Suspect(m, e, record->incarnation);
    }
}

/* Copies the fields of a newer record that are independent of the state. */
static void
entry_copy_details(PhMemberEntry *e, const PhMember *record)
{
    e->member.draining = record->draining;
    PhStr_Clear(&e->member.address);
    e->member.address = PhStr_Dup(record->address);
}

/* ALIVE takes effect only with a higher incarnation. */
static void
merge_alive(PhMembership *m, PhMemberEntry *e, const PhMember *record)
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
    entry_copy_details(e, record);
    PhMemberEntry_SetState(m, e, PH_MEMBER_ALIVE, record->incarnation);
}

/* SUSPECT and DEAD both only start a local suspicion. Every instance gives the
 * member time to refute, also after a partition whose other side declared it
 * dead. */
static void
merge_suspicion(PhMembership *m, PhMemberEntry *e, const PhMember *record)
{
    bool newer = record->incarnation > e->member.incarnation;
    bool departed =
        e->member.state == PH_MEMBER_DEAD || e->member.state == PH_MEMBER_LEFT;
    if (newer && (!departed || record->state == PH_MEMBER_SUSPECT)) {
        entry_copy_details(e, record);
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
merge_left(PhMembership *m, PhMemberEntry *e, const PhMember *record)
{
    if (e->member.state == PH_MEMBER_LEFT ||
        record->incarnation < e->member.incarnation) {
        return;
    }
    if (e->member.state == PH_MEMBER_SUSPECT) {
        g_ptr_array_remove_fast(m->suspects, e);
    }
    PhMemberEntry_SetState(m, e, PH_MEMBER_LEFT, record->incarnation);
    PhMembers_Report(m, PH_MEMBERSHIP_LEFT, e->member.id);
}

void
PhMembers_MergeRecord(PhMembership *m, const PhMember *record)
{
    PhMemberEntry *e = PhMemberEntry_Find(m, record->id);
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
        merge_suspicion(m, e, record);
        return;
    case PH_MEMBER_LEFT:
        merge_left(m, e, record);
        return;
    }
}
