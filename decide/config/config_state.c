#include "peridothill/decide/config/config_state.h"

#include <stdlib.h>

#include "peridothill/common/invariant.h"

/* An entry shared by several versions. */
typedef struct PhSharedEntry {
    PhConfigEntry entry;
    uint32_t references;
} PhSharedEntry;

struct PhConfigState {
    uint64_t version;
    uint64_t digest;
    GPtrArray *entries; /* PhSharedEntry in ascending order of path */
    uint32_t references;
};

static PhSharedEntry *
entry_create(PhStr path, PhStr value, uint64_t changed)
{
    PhSharedEntry *shared = g_new0(PhSharedEntry, 1);
    shared->entry.path = PhStr_Dup(path);
    shared->entry.value = PhStr_Dup(value);
    shared->entry.changed = changed;
    shared->references = 1;
    return shared;
}

static void
entry_unref(gpointer data)
{
    PhSharedEntry *shared = data;
    if (--shared->references == 0) {
        PhStr_Clear(&shared->entry.path);
        PhStr_Clear(&shared->entry.value);
        g_free(shared);
    }
}

static PhConfigState *
state_create(uint64_t version, size_t capacity)
{
    PhConfigState *state = g_new0(PhConfigState, 1);
    state->version = version;
    state->references = 1;
    state->entries = g_ptr_array_new_full((guint)capacity, entry_unref);
    return state;
}

/* Computes the digest; no entry may change afterwards. */
static void
state_seal(PhConfigState *state)
{
    uint64_t digest = state->version;
    for (size_t i = 0; i < state->entries->len; i++) {
        const PhConfigEntry *e = PhConfigState_At(state, i);
        digest = PhStr_Hash(e->path, digest);
        digest = PhStr_Hash(e->value, digest);
    }
    state->digest = digest;
}

/* Binary search: index of a path, or its insertion point if not found. */
static size_t
state_search(const PhConfigState *state, PhStr path, bool *found)
{
    size_t low = 0;
    size_t high = state->entries->len;
    while (low < high) {
        size_t mid = low + (high - low) / 2;
        int order = PhStr_Compare(PhConfigState_At(state, mid)->path, path);
        if (order == 0) {
            *found = true;
            return mid;
        }
        if (order < 0) {
            low = mid + 1;
        }
        else {
            high = mid;
        }
    }
    *found = false;
    return low;
}

PhConfigState *
PhConfigState_CreateEmpty(void)
{
    return PhConfigState_Create(0, NULL, 0);
}

PhConfigState *
PhConfigState_Create(uint64_t version, const PhConfigEntry *entries,
                     size_t count)
{
    PhConfigState *state = state_create(version, count);
    for (size_t i = 0; i < count; i++) {
        Ph_INVARIANT(
            PH_INVARIANT_PRECONDITION,
            i == 0 || PhStr_Compare(entries[i - 1].path, entries[i].path) < 0,
            "index=%zu", i);
        g_ptr_array_add(state->entries,
                        entry_create(entries[i].path, entries[i].value,
                                     entries[i].changed));
    }
    state_seal(state);
    return state;
}

/* Must be called before state_seal. */
static void
state_change(PhConfigState *state, const PhConfigChange *change)
{
    bool found;
    size_t index = state_search(state, change->path, &found);
    if (found) {
        g_ptr_array_remove_index(state->entries, (guint)index);
    }
    switch (change->kind) {
    case PH_CONFIG_CHANGE_SET:
        g_ptr_array_insert(
            state->entries, (gint)index,
            entry_create(change->path, change->value, state->version));
        break;
    case PH_CONFIG_CHANGE_DELETE:
        break;
    }
}

/* Shares unchanged entries with the base. */
PhConfigState *
PhConfigState_Apply(const PhConfigState *base, uint64_t version,
                    const PhConfigChange *changes, size_t count)
{
    PhConfigState *state = state_create(version, base->entries->len + count);
    for (guint i = 0; i < base->entries->len; i++) {
        PhSharedEntry *shared = g_ptr_array_index(base->entries, i);
        shared->references++;
        g_ptr_array_add(state->entries, shared);
    }
    for (size_t i = 0; i < count; i++) {
        state_change(state, &changes[i]);
    }
    state_seal(state);
    return state;
}

PhConfigState *
PhConfigState_Ref(PhConfigState *state)
{
    state->references++;
    return state;
}

void
PhConfigState_Unref(PhConfigState *state)
{
    if (state == NULL || --state->references > 0) {
        return;
    }
    g_ptr_array_free(state->entries, TRUE);
    g_free(state);
}

uint64_t
PhConfigState_Version(const PhConfigState *state)
{
    return state->version;
}

uint64_t
PhConfigState_Digest(const PhConfigState *state)
{
    return state->digest;
}

size_t
PhConfigState_Count(const PhConfigState *state)
{
    return state->entries->len;
}

const PhConfigEntry *
PhConfigState_At(const PhConfigState *state, size_t index)
{
    const PhSharedEntry *shared = g_ptr_array_index(state->entries, index);
    return &shared->entry;
}

const PhConfigEntry *
PhConfigState_Find(const PhConfigState *state, PhStr path)
{
    bool found;
    size_t index = state_search(state, path, &found);
    return found ? PhConfigState_At(state, index) : NULL;
}

/* Appends the change that turns one entry into the other; either may be
 * NULL. */
static void
diff_add(GArray *changes, const PhConfigEntry *from, const PhConfigEntry *to)
{
    PhConfigChange change = {.kind = PH_CONFIG_CHANGE_DELETE};
    if (to != NULL) {
        if (from != NULL && PhStr_Equal(from->value, to->value)) {
            return;
        }
        change.kind = PH_CONFIG_CHANGE_SET;
        change.path = to->path;
        change.value = to->value;
    }
    else if (from != NULL) {
        change.path = from->path;
    }
    g_array_append_val(changes, change);
}

/* Merge of two sorted lists. */
GArray *
PhConfigState_Diff(const PhConfigState *from, const PhConfigState *to)
{
    GArray *changes = g_array_new(FALSE, FALSE, sizeof(PhConfigChange));
    size_t i = 0;
    size_t j = 0;
    while (i < from->entries->len && j < to->entries->len) {
        const PhConfigEntry *a = PhConfigState_At(from, i);
        const PhConfigEntry *b = PhConfigState_At(to, j);
        int order = PhStr_Compare(a->path, b->path);
        diff_add(changes, order <= 0 ? a : NULL, order >= 0 ? b : NULL);
        i += order <= 0;
        j += order >= 0;
    }
    for (; i < from->entries->len; i++) {
        diff_add(changes, PhConfigState_At(from, i), NULL);
    }
    for (; j < to->entries->len; j++) {
        diff_add(changes, NULL, PhConfigState_At(to, j));
    }
    return changes;
}

bool
PhConfig_Get(const PhConfigState *state, PhStr path, PhStr *value)
{
    const PhConfigEntry *entry = PhConfigState_Find(state, path);
    if (entry == NULL) {
        return false;
    }
    *value = entry->value;
    return true;
}

PhStr
PhConfig_GetStr(const PhConfigState *state, PhStr path, PhStr fallback)
{
    PhStr value;
    return PhConfig_Get(state, path, &value) ? value : fallback;
}

uint64_t
PhConfig_GetU64(const PhConfigState *state, PhStr path, uint64_t fallback)
{
    PhStr text;
    uint64_t value;
    if (!PhConfig_Get(state, path, &text) || !PhStr_ParseU64(text, &value)) {
        return fallback;
    }
    return value;
}

static void
path_build(PhBuf *path, PhStr parent, PhStr name, PhStr key)
{
    PhBuf_Append(path, parent);
    PhBuf_AppendByte(path, '.');
    PhBuf_Append(path, name);
    PhBuf_AppendByte(path, '.');
    PhBuf_Append(path, key);
}

PhStr
PhConfig_ChildStr(const PhConfigState *state, PhStr parent, PhStr name,
                  PhStr key, PhStr fallback)
{
    PhBuf path = {0};
    path_build(&path, parent, name, key);
    PhStr value = PhConfig_GetStr(state, PhBuf_Str(&path), fallback);
    PhBuf_Clear(&path);
    return value;
}

uint64_t
PhConfig_ChildU64(const PhConfigState *state, PhStr parent, PhStr name,
                  PhStr key, uint64_t fallback)
{
    PhBuf path = {0};
    path_build(&path, parent, name, key);
    uint64_t value = PhConfig_GetU64(state, PhBuf_Str(&path), fallback);
    PhBuf_Clear(&path);
    return value;
}

PhConfigNames
PhConfigNames_Start(const PhConfigState *state, PhStr prefix)
{
    bool found;
    return (PhConfigNames){.state = state,
                           .prefix = prefix,
                           .index = state_search(state, prefix, &found)};
}

/* Skips the other paths below the same name. */
bool
PhConfigNames_Next(PhConfigNames *names, PhStr *name)
{
    PhStr last = {0};
    while (names->index < names->state->entries->len) {
        PhStr path = PhConfigState_At(names->state, names->index)->path;
        PhStr rest;
        PhStr head;
        if (!PhStr_StartsWith(path, names->prefix)) {
            return last.data != NULL;
        }
        PhStr_Cut(PhStr_Slice(path, names->prefix.len, path.len), '.', &head,
                  &rest);
        if (last.data != NULL && !PhStr_Equal(head, last)) {
            return true;
        }
        last = head;
        *name = head;
        names->index++;
    }
    return last.data != NULL;
}
