#include "peridothill/decide/config/config_ledger.h"

#include "peridothill/common/invariant.h"
#include "peridothill/decide/config/config_schema.h"

struct PhConfigLedger {
    uint64_t next;
    PhConfigState *state;
    GQueue past;            /* PhConfigState, latest first */
    GArray *marks;          /* PhConfigVersionOffset, ascending */
    GHashTable *tombstones; /* PhStr path to PhConfigTombstone */
    GQueue verdicts;        /* PhConfigVerdict by offset, owned */
    GHashTable *by_id;      /* PhStr in the verdict to PhConfigVerdict */
};

/* Takes ownership of the state reference. */
static PhConfigLedger *
ledger_create(uint64_t next, PhConfigState *state)
{
    PhConfigLedger *l = g_new0(PhConfigLedger, 1);
    l->next = next;
    l->state = state;
    g_queue_init(&l->past);
    g_queue_init(&l->verdicts);
    g_queue_push_head(&l->past, PhConfigState_Ref(state));
    l->marks = g_array_new(FALSE, FALSE, sizeof(PhConfigVersionOffset));
    l->tombstones = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                          PhStr_KeyDestroy, g_free);
    l->by_id = g_hash_table_new(PhStr_KeyHash, PhStr_KeyEqual);
    return l;
}

PhConfigLedger *
PhConfigLedger_Create(void)
{
    return ledger_create(0, PhConfigState_CreateEmpty());
}

/* Takes ownership of the verdict. */
static void
verdict_add(PhConfigLedger *l, PhConfigVerdict *verdict)
{
    g_queue_push_tail(&l->verdicts, verdict);
    g_hash_table_insert(l->by_id, &verdict->id, verdict);
}

/* Records the version that deleted a path. */
static void
tombstone_add(PhConfigLedger *l, PhStr path, uint64_t version)
{
    PhStr *key = PhStr_KeyCreate(path);
    PhConfigTombstone *tombstone = g_new0(PhConfigTombstone, 1);
    *tombstone = (PhConfigTombstone){.path = *key, .version = version};
    g_hash_table_replace(l->tombstones, key, tombstone);
}

PhConfigLedger *
PhConfigLedger_Restore(const PhConfigSnapshot *snapshot)
{
    PhConfigLedger *l =
        ledger_create(snapshot->covers, PhConfigState_Ref(snapshot->state));
    g_array_append_vals(l->marks, snapshot->marks->data, snapshot->marks->len);
    for (guint i = 0; i < snapshot->tombstones->len; i++) {
        const PhConfigTombstone *tombstone =
            &g_array_index(snapshot->tombstones, PhConfigTombstone, i);
        tombstone_add(l, tombstone->path, tombstone->version);
    }
    for (guint i = 0; i < snapshot->verdicts->len; i++) {
        verdict_add(
            l, PhConfigVerdict_Copy(g_ptr_array_index(snapshot->verdicts, i)));
    }
    return l;
}

static void
state_release(gpointer state)
{
    PhConfigState_Unref(state);
}

void
PhConfigLedger_Destroy(PhConfigLedger *l)
{
    if (l == NULL) {
        return;
    }
    PhConfigState_Unref(l->state);
    g_queue_clear_full(&l->past, state_release);
    g_array_free(l->marks, TRUE);
    g_hash_table_destroy(l->tombstones);
    g_hash_table_destroy(l->by_id);
    g_queue_clear_full(&l->verdicts, PhConfigVerdict_Destroy);
    g_free(l);
}

/* First offset of the window that ends with the next record. */
static uint64_t
window_start(const PhConfigLedger *l)
{
    return l->next < PH_CONFIG_WINDOW_RECORDS
               ? 0
               : l->next - PH_CONFIG_WINDOW_RECORDS;
}

/* Removes verdicts, versions and tombstones that have left the window. */
static void
window_advance(PhConfigLedger *l)
{
    uint64_t start = window_start(l);
    for (;;) {
        PhConfigVerdict *v = g_queue_peek_head(&l->verdicts);
        if (v == NULL || v->offset >= start) {
            break;
        }
        g_hash_table_remove(l->by_id, &v->id);
        PhConfigVerdict_Destroy(g_queue_pop_head(&l->verdicts));
    }
    guint expired = 0;
    while (expired < l->marks->len &&
           g_array_index(l->marks, PhConfigVersionOffset, expired).offset <
               start) {
        expired++;
    }
    if (expired == 0) {
        return;
    }
    uint64_t expired_version =
        g_array_index(l->marks, PhConfigVersionOffset, expired - 1).version;
    g_array_remove_range(l->marks, 0, expired);
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, l->tombstones);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        if (((const PhConfigTombstone *)value)->version <= expired_version) {
            g_hash_table_iter_remove(&it);
        }
    }
}

/* Whether the version was made within the window or is in force.  True for
 * every base while the window still reaches back to offset 0; versions that do
 * not exist yet are not excluded here.  A patch that took effect is forgotten
 * only after the version that it named as its base has left the window, so a
 * later copy of it is refused because its base is too old. */
static bool
base_is_known(const PhConfigLedger *l, uint64_t base)
{
    if (base == PhConfigState_Version(l->state) || window_start(l) == 0) {
        return true;
    }
    return l->marks->len > 0 &&
           base >= g_array_index(l->marks, PhConfigVersionOffset, 0).version;
}

/* Version that last set or deleted a path; 0 if unknown. */
static uint64_t
path_changed(const PhConfigLedger *l, PhStr path)
{
    const PhConfigEntry *entry = PhConfigState_Find(l->state, path);
    const PhConfigTombstone *tombstone =
        g_hash_table_lookup(l->tombstones, &path);
    return MAX(entry == NULL ? 0 : entry->changed,
               tombstone == NULL ? 0 : tombstone->version);
}

/* Checks a patch for conflicts with the versions since its base. */
static PhResult
base_check(const PhConfigLedger *l, const PhConfigPatch *patch)
{
    uint64_t version = PhConfigState_Version(l->state);
    if (patch->base > version) {
        return PhResult_Make(
            PH_STATUS_INVALID,
            "base: version %" G_GUINT64_FORMAT " does not exist", patch->base);
    }
    if (patch->strict && patch->base != version) {
        return PhResult_Make(PH_STATUS_CONFLICT,
                             "base: version %" G_GUINT64_FORMAT " is in force",
                             version);
    }
    if (!base_is_known(l, patch->base)) {
        return PhResult_Make(PH_STATUS_EXPIRED, "base: version too old");
    }
    for (size_t i = 0; i < patch->change_count; i++) {
        uint64_t changed = path_changed(l, patch->changes[i].path);
        if (changed > patch->base) {
            return PhResult_Make(PH_STATUS_CONFLICT,
                                 "%.*s: changed by version %" G_GUINT64_FORMAT,
                                 PhStr_ARG(patch->changes[i].path), changed);
        }
    }
    return PhResult_Ok();
}

/* Puts `state` in force; takes ownership of its reference. */
static void
ledger_advance(PhConfigLedger *l, PhConfigState *state,
               const PhConfigPatch *patch)
{
    uint64_t version = PhConfigState_Version(state);
    Ph_INVARIANT(PH_INVARIANT_CONFIG_IN_FORCE,
                 version == PhConfigState_Version(l->state) + 1,
                 "version=%" G_GUINT64_FORMAT, version);
    PhConfigVersionOffset mark = {.version = version, .offset = l->next};
    g_array_append_val(l->marks, mark);
    for (size_t i = 0; i < patch->change_count; i++) {
        PhStr path = patch->changes[i].path;
        if (PhConfigState_Find(state, path) == NULL) {
            tombstone_add(l, path, version);
        }
    }
    PhConfigState_Unref(l->state);
    l->state = state;
    g_queue_push_head(&l->past, PhConfigState_Ref(state));
    if (l->past.length > PH_CONFIG_PAST_VERSIONS) {
        PhConfigState_Unref(g_queue_pop_tail(&l->past));
    }
}

/* Decides a patch and, if accepted, puts the next version in force. */
static PhResult
ledger_decide(PhConfigLedger *l, const PhConfigPatch *patch)
{
    PhResult result = PhConfigSchema_CheckPatch(patch);
    if (PhResult_IsOk(&result)) {
        result = base_check(l, patch);
    }
    if (!PhResult_IsOk(&result)) {
        return result;
    }
    PhConfigState *state =
        PhConfigState_Apply(l->state, PhConfigState_Version(l->state) + 1,
                            patch->changes, patch->change_count);
    result = PhConfigSchema_CheckState(state);
    if (PhResult_IsOk(&result)) {
        ledger_advance(l, state, patch);
    }
    else {
        PhConfigState_Unref(state);
    }
    return result;
}

const PhConfigVerdict *
PhConfigLedger_Apply(PhConfigLedger *l, const PhConfigRecord *record)
{
    Ph_INVARIANT(PH_INVARIANT_PRECONDITION, record->offset == l->next,
                 "offset=%" G_GUINT64_FORMAT " next=%" G_GUINT64_FORMAT,
                 record->offset, l->next);
    PhConfigVerdict *verdict = NULL;
    const PhConfigPatch *patch = &record->patch;
    window_advance(l);
    switch (record->kind) {
    case PH_CONFIG_RECORD_UNREADABLE:
        break;
    case PH_CONFIG_RECORD_PATCH:
        if (g_hash_table_contains(l->by_id, &patch->id)) {
            break;
        }
        PhResult result = ledger_decide(l, patch);
        verdict = g_new0(PhConfigVerdict, 1);
        *verdict =
            (PhConfigVerdict){.id = PhStr_Dup(patch->id),
                              .author = PhStr_Dup(patch->author),
                              .status = result.status,
                              .reason = PhStr_Dup(PhResult_Message(&result)),
                              .version = PhConfigState_Version(l->state),
                              .offset = record->offset,
                              .appended_ms = record->appended_ms};
        verdict_add(l, verdict);
        break;
    }
    l->next++;
    return verdict;
}

uint64_t
PhConfigLedger_Next(const PhConfigLedger *l)
{
    return l->next;
}

PhConfigState *
PhConfigLedger_State(const PhConfigLedger *l)
{
    return l->state;
}

PhConfigState *
PhConfigLedger_StateAt(const PhConfigLedger *l, uint64_t version)
{
    for (GList *i = l->past.head; i != NULL; i = i->next) {
        if (PhConfigState_Version(i->data) == version) {
            return i->data;
        }
    }
    return NULL;
}

const PhConfigVerdict *
PhConfigLedger_Find(const PhConfigLedger *l, PhStr id)
{
    return g_hash_table_lookup(l->by_id, &id);
}

const GQueue *
PhConfigLedger_Verdicts(const PhConfigLedger *l)
{
    return &l->verdicts;
}

static gint
tombstone_compare(gconstpointer a, gconstpointer b)
{
    const PhConfigTombstone *x = a;
    const PhConfigTombstone *y = b;
    return PhStr_Compare(x->path, y->path);
}

PhConfigSnapshot *
PhConfigLedger_Snapshot(const PhConfigLedger *l)
{
    PhConfigSnapshot *s =
        PhConfigSnapshot_Create(l->next, PhConfigState_Ref(l->state));
    g_array_append_vals(s->marks, l->marks->data, l->marks->len);
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, l->tombstones);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const PhConfigTombstone *tombstone = value;
        PhConfigTombstone copy = {.path = PhStr_Dup(tombstone->path),
                                  .version = tombstone->version};
        g_array_append_val(s->tombstones, copy);
    }
    g_array_sort(s->tombstones, tombstone_compare);
    for (GList *i = l->verdicts.head; i != NULL; i = i->next) {
        g_ptr_array_add(s->verdicts, PhConfigVerdict_Copy(i->data));
    }
    return s;
}
