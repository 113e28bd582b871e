#include "peridothill/codec/list_json.h"

#include "peridothill/codec/json.h"

static const char *
role_name(PhListRole role)
{
    switch (role) {
    case PH_LIST_WORKER:
        return "worker";
    case PH_LIST_ENTRY:
        return "entry";
    }
    return "?";
}

static const char *
state_name(PhListState state)
{
    switch (state) {
    case PH_LIST_LIVE:
        return "live";
    case PH_LIST_LEAVING:
        return "leaving";
    }
    return "?";
}

static bool
role_parse(PhStr text, PhListRole *role)
{
    for (PhListRole r = PH_LIST_WORKER; r <= PH_LIST_ENTRY; r++) {
        if (PhStr_Equal(text, PhStr_FromC(role_name(r)))) {
            *role = r;
            return true;
        }
    }
    return false;
}

static bool
state_parse(PhStr text, PhListState *state)
{
    for (PhListState s = PH_LIST_LIVE; s <= PH_LIST_LEAVING; s++) {
        if (PhStr_Equal(text, PhStr_FromC(state_name(s)))) {
            *state = s;
            return true;
        }
    }
    return false;
}

/* Returns 0 if the value is missing, not an integer or out of range. */
static uint32_t
get_u32(const json_t *object, const char *key)
{
    int64_t v = PhJson_GetInt(object, key, 0);
    return v < 0 || v > UINT32_MAX ? 0 : (uint32_t)v;
}

/* Returns false if the entry has no id or an unknown role or state. */
static bool
entry_decode(const json_t *object, PhListEntry *e)
{
    *e = (PhListEntry){0};
    if (!role_parse(PhJson_GetStr(object, "role"), &e->role) ||
        !state_parse(PhJson_GetStr(object, "state"), &e->state) ||
        PhJson_GetStr(object, "id").len == 0) {
        return false;
    }
    e->id = PhStr_Dup(PhJson_GetStr(object, "id"));
    e->data_centre = PhStr_Dup(PhJson_GetStr(object, "data_centre"));
    e->rack = PhStr_Dup(PhJson_GetStr(object, "rack"));
    e->address = PhStr_Dup(PhJson_GetStr(object, "address"));
    e->services = PhStr_Dup(PhJson_GetStr(object, "services"));
    e->slots = get_u32(object, "slots");
    e->connections = get_u32(object, "connections");
    e->cpu_milli = get_u32(object, "cpu_milli");
    e->memory_mb = get_u32(object, "memory_mb");
    e->accelerators = get_u32(object, "accelerators");
    return true;
}

PhResult
PhListJson_Decode(PhStr text, PhListReading *reading)
{
    json_t *root;
    PhResult result = PhJson_Parse(text, &root);
    if (!PhResult_IsOk(&result)) {
        return result;
    }
    const json_t *entries = json_object_get(root, "entries");
    if (!json_is_array(entries)) {
        json_decref(root);
        return PhResult_Make(PH_STATUS_INVALID,
                             "platform list: array \"entries\" is missing");
    }
    reading->entries = g_new0(PhListEntry, json_array_size(entries));
    reading->entry_count = 0;
    for (size_t i = 0; i < json_array_size(entries); i++) {
        if (entry_decode(json_array_get(entries, i),
                         &reading->entries[reading->entry_count])) {
            reading->entry_count++;
        }
    }
    json_decref(root);
    return PhResult_Ok();
}

static json_t *
entry_encode(const PhListEntry *e)
{
    json_t *o = json_object();
    json_object_set_new(o, "id", PhJson_String(e->id));
    json_object_set_new(o, "role", json_string(role_name(e->role)));
    json_object_set_new(o, "state", json_string(state_name(e->state)));
    json_object_set_new(o, "data_centre", PhJson_String(e->data_centre));
    json_object_set_new(o, "rack", PhJson_String(e->rack));
    json_object_set_new(o, "address", PhJson_String(e->address));
    json_object_set_new(o, "services", PhJson_String(e->services));
    json_object_set_new(o, "slots", json_integer(e->slots));
    json_object_set_new(o, "connections", json_integer(e->connections));
    json_object_set_new(o, "cpu_milli", json_integer(e->cpu_milli));
    json_object_set_new(o, "memory_mb", json_integer(e->memory_mb));
    json_object_set_new(o, "accelerators", json_integer(e->accelerators));
    return o;
}

PhStr
PhListJson_Encode(const PhListReading *reading)
{
    json_t *root = json_object();
    json_t *entries = json_array();
    for (size_t i = 0; i < reading->entry_count; i++) {
        json_array_append_new(entries, entry_encode(&reading->entries[i]));
    }
    json_object_set_new(root, "entries", entries);
    PhStr text = PhJson_Write(root);
    json_decref(root);
    return text;
}
