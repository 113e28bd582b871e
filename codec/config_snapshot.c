#include <inttypes.h>
#include <stdio.h>

#include "peridothill/codec/config_record.h"
#include "peridothill/codec/json.h"

enum {
    DIGEST_BYTES = 17,
    REASON_BYTES = PH_RESULT_MESSAGE_BYTES,
};

static json_t *
entries_make(const PhConfigState *state)
{
    json_t *list = json_array();
    for (size_t i = 0; i < PhConfigState_Count(state); i++) {
        const PhConfigEntry *e = PhConfigState_At(state, i);
        json_t *row = json_array();
        json_array_append_new(row, PhJson_String(e->path));
        json_array_append_new(row, PhJson_String(e->value));
        json_array_append_new(row, json_integer((json_int_t)e->changed));
        json_array_append_new(list, row);
    }
    return list;
}

static json_t *
marks_make(const GArray *marks)
{
    json_t *list = json_array();
    for (guint i = 0; i < marks->len; i++) {
        const PhConfigVersionOffset *m =
            &g_array_index(marks, PhConfigVersionOffset, i);
        json_t *row = json_array();
        json_array_append_new(row, json_integer((json_int_t)m->version));
        json_array_append_new(row, json_integer((json_int_t)m->offset));
        json_array_append_new(list, row);
    }
    return list;
}

static json_t *
tombstones_make(const GArray *tombstones)
{
    json_t *list = json_array();
    for (guint i = 0; i < tombstones->len; i++) {
        const PhConfigTombstone *t =
            &g_array_index(tombstones, PhConfigTombstone, i);
        json_t *row = json_array();
        json_array_append_new(row, PhJson_String(t->path));
        json_array_append_new(row, json_integer((json_int_t)t->version));
        json_array_append_new(list, row);
    }
    return list;
}

static json_t *
verdicts_make(const GPtrArray *verdicts)
{
    json_t *list = json_array();
    for (guint i = 0; i < verdicts->len; i++) {
        const PhConfigVerdict *v = g_ptr_array_index(verdicts, i);
        json_t *row = json_array();
        json_array_append_new(row, PhJson_String(v->id));
        json_array_append_new(row, PhJson_String(v->author));
        json_array_append_new(row, json_integer((json_int_t)v->status));
        json_array_append_new(row, PhJson_String(v->reason));
        json_array_append_new(row, json_integer((json_int_t)v->version));
        json_array_append_new(row, json_integer((json_int_t)v->offset));
        json_array_append_new(row, json_integer(v->appended_ms));
        json_array_append_new(list, row);
    }
    return list;
}

PhStr
PhConfigSnapshot_Encode(const PhConfigSnapshot *s)
{
    char digest[DIGEST_BYTES];
    json_t *json = json_object();
    snprintf(digest, sizeof(digest), "%016" PRIx64,
             PhConfigState_Digest(s->state));
    json_object_set_new(json, "kind", json_string("snapshot"));
    json_object_set_new(json, "covers", json_integer((json_int_t)s->covers));
    json_object_set_new(
        json, "version",
        json_integer((json_int_t)PhConfigState_Version(s->state)));
    json_object_set_new(json, "digest", json_string(digest));
    json_object_set_new(json, "entries", entries_make(s->state));
    json_object_set_new(json, "versions", marks_make(s->marks));
    json_object_set_new(json, "deleted", tombstones_make(s->tombstones));
    json_object_set_new(json, "verdicts", verdicts_make(s->verdicts));
    PhStr text = PhJson_Write(json);
    json_decref(json);
    return text;
}

/* The entries borrow their strings from the JSON and must be in ascending
 * order. */
static bool
entries_read(const json_t *list, GArray *entries)
{
    for (size_t i = 0; i < json_array_size(list); i++) {
        const json_t *row = json_array_get(list, i);
        PhConfigEntry e;
        if (!PhJson_ReadStr(json_array_get(row, 0), PH_CONFIG_PATH_BYTES,
                            &e.path) ||
            !PhJson_ReadStr(json_array_get(row, 1), PH_CONFIG_VALUE_BYTES,
                            &e.value) ||
            !PhJson_ReadU64(json_array_get(row, 2), &e.changed)) {
            return false;
        }
        if (i > 0 &&
            PhStr_Compare(g_array_index(entries, PhConfigEntry, i - 1).path,
                          e.path) >= 0) {
            return false;
        }
        g_array_append_val(entries, e);
    }
    return json_is_array(list);
}

/* Versions and offsets must be ascending. */
static bool
marks_read(const json_t *list, PhConfigSnapshot *s)
{
    PhConfigVersionOffset last = {0};
    for (size_t i = 0; i < json_array_size(list); i++) {
        const json_t *row = json_array_get(list, i);
        PhConfigVersionOffset m;
        if (!PhJson_ReadU64(json_array_get(row, 0), &m.version) ||
            !PhJson_ReadU64(json_array_get(row, 1), &m.offset) ||
            m.offset >= s->covers || m.version <= last.version ||
            (i > 0 && m.offset <= last.offset)) {
            return false;
        }
        last = m;
        g_array_append_val(s->marks, m);
    }
    return json_is_array(list);
}

static bool
tombstones_read(const json_t *list, PhConfigSnapshot *s)
{
    for (size_t i = 0; i < json_array_size(list); i++) {
        const json_t *row = json_array_get(list, i);
        PhConfigTombstone t;
        if (!PhJson_ReadStr(json_array_get(row, 0), PH_CONFIG_PATH_BYTES,
                            &t.path) ||
            !PhJson_ReadU64(json_array_get(row, 1), &t.version)) {
            return false;
        }
        t.path = PhStr_Dup(t.path);
        g_array_append_val(s->tombstones, t);
    }
    return json_is_array(list);
}

/* The verdict borrows its strings from the JSON. */
static bool
verdict_read(const json_t *row, PhConfigVerdict *v)
{
    uint64_t status;
    uint64_t appended;
    if (!PhJson_ReadStr(json_array_get(row, 0), PH_CONFIG_ID_BYTES, &v->id) ||
        !PhJson_ReadStr(json_array_get(row, 1), PH_CONFIG_AUTHOR_BYTES,
                        &v->author) ||
        !PhJson_ReadU64(json_array_get(row, 2), &status) ||
        !PhJson_ReadStr(json_array_get(row, 3), REASON_BYTES, &v->reason) ||
        !PhJson_ReadU64(json_array_get(row, 4), &v->version) ||
        !PhJson_ReadU64(json_array_get(row, 5), &v->offset) ||
        !PhJson_ReadU64(json_array_get(row, 6), &appended) ||
        status > PH_STATUS_IO) {
        return false;
    }
    v->status = (PhStatus)status;
    v->appended_ms = (int64_t)appended;
    return true;
}

/* Offsets must be ascending and below `covers`. */
static bool
verdicts_read(const json_t *list, PhConfigSnapshot *s)
{
    uint64_t next = 0;
    for (size_t i = 0; i < json_array_size(list); i++) {
        PhConfigVerdict v;
        if (!verdict_read(json_array_get(list, i), &v) || v.offset < next ||
            v.offset >= s->covers) {
            return false;
        }
        next = v.offset + 1;
        g_ptr_array_add(s->verdicts, PhConfigVerdict_Copy(&v));
    }
    return json_is_array(list);
}

/* NULL if the state is malformed or does not match its digest. */
static PhConfigState *
state_read(const json_t *json)
{
    PhStr written;
    char digest[DIGEST_BYTES];
    uint64_t version;
    PhConfigState *state = NULL;
    GArray *entries = g_array_new(FALSE, FALSE, sizeof(PhConfigEntry));
    if (PhJson_ReadU64(json_object_get(json, "version"), &version) &&
        PhJson_ReadStr(json_object_get(json, "digest"), DIGEST_BYTES,
                       &written) &&
        entries_read(json_object_get(json, "entries"), entries)) {
        state = PhConfigState_Create(
            version, (const PhConfigEntry *)(const void *)entries->data,
            entries->len);
        snprintf(digest, sizeof(digest), "%016" PRIx64,
                 PhConfigState_Digest(state));
        if (!PhStr_Equal(written, PhStr_FromC(digest))) {
            PhConfigState_Unref(state);
            state = NULL;
        }
    }
    g_array_free(entries, TRUE);
    return state;
}

/* NULL if the snapshot is malformed. */
static PhConfigSnapshot *
snapshot_read(const json_t *json)
{
    PhStr kind;
    uint64_t covers;
    if (!PhJson_ReadStr(json_object_get(json, "kind"), PH_CONFIG_ID_BYTES,
                        &kind) ||
        !PhStr_Equal(kind, PhStr_LITERAL("snapshot")) ||
        !PhJson_ReadU64(json_object_get(json, "covers"), &covers)) {
        return NULL;
    }
    PhConfigState *state = state_read(json);
    if (state == NULL) {
        return NULL;
    }
    PhConfigSnapshot *s = PhConfigSnapshot_Create(covers, state);
    if (!marks_read(json_object_get(json, "versions"), s) ||
        !tombstones_read(json_object_get(json, "deleted"), s) ||
        !verdicts_read(json_object_get(json, "verdicts"), s)) {
        PhConfigSnapshot_Unref(s);
        return NULL;
    }
    return s;
}

PhResult
PhConfigSnapshot_Decode(PhStr body, PhConfigSnapshot **snapshot)
{
    *snapshot = NULL;
    if (body.len > PH_CONFIG_SNAPSHOT_BYTES) {
        return PhResult_Make(PH_STATUS_TOO_LARGE, "snapshot: over 16 MB");
    }
    json_t *json;
    PhResult parsed = PhJson_Parse(body, &json);
    if (!PhResult_IsOk(&parsed)) {
        return parsed;
    }
    *snapshot = snapshot_read(json);
    json_decref(json);
    return *snapshot == NULL
               ? PhResult_Make(PH_STATUS_INVALID, "snapshot: malformed")
               : PhResult_Ok();
}
