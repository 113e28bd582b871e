#include "peridothill/codec/config_record.h"

#include <string.h>

#include "peridothill/codec/json.h"

json_t *
PhConfigChange_ToJson(const PhConfigChange *change)
{
    json_t *json = json_object();
    switch (change->kind) {
    case PH_CONFIG_CHANGE_SET:
        json_object_set_new(json, "set", PhJson_String(change->path));
        json_object_set_new(json, "value", PhJson_String(change->value));
        break;
    case PH_CONFIG_CHANGE_DELETE:
        json_object_set_new(json, "delete", PhJson_String(change->path));
        break;
    }
    return json;
}

PhStr
PhConfigPatch_Encode(const PhConfigPatch *patch)
{
    json_t *json = json_object();
    json_t *changes = json_array();
    json_object_set_new(json, "kind", json_string("patch"));
    json_object_set_new(json, "id", PhJson_String(patch->id));
    json_object_set_new(json, "author", PhJson_String(patch->author));
    json_object_set_new(json, "base", json_integer((json_int_t)patch->base));
    json_object_set_new(json, "strict", json_boolean(patch->strict));
    for (size_t i = 0; i < patch->change_count; i++) {
        json_array_append_new(changes,
                              PhConfigChange_ToJson(&patch->changes[i]));
    }
    json_object_set_new(json, "changes", changes);
    PhStr text = PhJson_Write(json);
    json_decref(json);
    return text;
}

static PhResult
result_invalid(const char *what)
{
    return PhResult_Make(PH_STATUS_INVALID, "%s", what);
}

static bool
change_read(const json_t *json, PhConfigPatch *patch)
{
    PhStr path;
    PhStr value = {0};
    const json_t *set = json_object_get(json, "set");
    const json_t *deletion = json_object_get(json, "delete");
    if ((set == NULL) == (deletion == NULL) ||
        !PhJson_ReadStr(set != NULL ? set : deletion, PH_CONFIG_PATH_BYTES,
                        &path)) {
        return false;
    }
    if (set != NULL && !PhJson_ReadStr(json_object_get(json, "value"),
                                       PH_CONFIG_VALUE_BYTES, &value)) {
        return false;
    }
    PhConfigPatch_Add(
        patch, set != NULL ? PH_CONFIG_CHANGE_SET : PH_CONFIG_CHANGE_DELETE,
        path, value);
    return true;
}

/* Reads all members of a patch except its changes. */
static PhResult
header_read(const json_t *json, PhConfigPatch *patch)
{
    PhStr id = {0};
    PhStr author = {0};
    const json_t *kind = json_object_get(json, "kind");
    const json_t *strict = json_object_get(json, "strict");
    if (kind != NULL && (!json_is_string(kind) ||
                         strcmp(json_string_value(kind), "patch") != 0)) {
        return result_invalid("kind: not a patch");
    }
    if (json_object_get(json, "id") != NULL &&
        !PhJson_ReadStr(json_object_get(json, "id"), PH_CONFIG_ID_BYTES,
                        &id)) {
        return result_invalid("id: a string of up to 64 bytes is needed");
    }
    if (json_object_get(json, "author") != NULL &&
        !PhJson_ReadStr(json_object_get(json, "author"),
                        PH_CONFIG_AUTHOR_BYTES, &author)) {
        return result_invalid("author: a string of up to 64 bytes is needed");
    }
    if (!PhJson_ReadU64(json_object_get(json, "base"), &patch->base)) {
        return result_invalid("base: a version number is needed");
    }
    if (strict != NULL && !json_is_boolean(strict)) {
        return result_invalid("strict: true or false is needed");
    }
    patch->strict = json_is_true(strict);
    patch->id = PhStr_Dup(id);
    patch->author = PhStr_Dup(author);
    return PhResult_Ok();
}

static PhResult
patch_read(const json_t *json, PhConfigPatch *patch)
{
    const json_t *changes = json_object_get(json, "changes");
    PhResult result = header_read(json, patch);
    if (!PhResult_IsOk(&result)) {
        return result;
    }
    if (!json_is_array(changes) || json_array_size(changes) == 0 ||
        json_array_size(changes) > PH_CONFIG_PATCH_CHANGES) {
        return result_invalid("changes: a list of 1 to 256 is needed");
    }
    for (size_t i = 0; i < json_array_size(changes); i++) {
        if (!change_read(json_array_get(changes, i), patch)) {
            return PhResult_Make(PH_STATUS_INVALID,
                                 "changes[%zu]: {\"set\": path, \"value\": "
                                 "text} or {\"delete\": path} is needed",
                                 i);
        }
    }
    return PhResult_Ok();
}

PhResult
PhConfigPatch_Decode(PhStr body, PhConfigPatch *patch)
{
    *patch = (PhConfigPatch){0};
    if (body.len > PH_CONFIG_RECORD_BYTES) {
        return PhResult_Make(PH_STATUS_TOO_LARGE, "patch: over 32 KB");
    }
    json_t *json;
    PhResult parsed = PhJson_Parse(body, &json);
    if (!PhResult_IsOk(&parsed)) {
        return parsed;
    }
    PhResult result = patch_read(json, patch);
    if (!PhResult_IsOk(&result)) {
        PhConfigPatch_Clear(patch);
    }
    json_decref(json);
    return result;
}
