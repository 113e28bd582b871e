#include "peridothill/codec/log_json.h"

#include "peridothill/codec/json.h"

PhStr
PhLogJson_EncodeAppend(const PhStr *records, size_t count)
{
    json_t *root = json_object();
    json_t *list = json_array();
    for (size_t i = 0; i < count; i++) {
        json_array_append_new(list, PhJson_String(records[i]));
    }
    json_object_set_new(root, "records", list);
    PhStr text = PhJson_Write(root);
    json_decref(root);
    return text;
}

PhResult
PhLogJson_DecodeAppend(PhStr text, PhStr **records, size_t *count)
{
    json_t *root;
    PhResult result = PhJson_Parse(text, &root);
    if (!PhResult_IsOk(&result)) {
        return result;
    }
    const json_t *list = json_object_get(root, "records");
    size_t n = json_array_size(list);
    for (size_t i = 0; i < n; i++) {
        if (!json_is_string(json_array_get(list, i))) {
            n = 0;
        }
    }
    if (n == 0) {
        json_decref(root);
        return PhResult_Make(
            PH_STATUS_INVALID,
            "append: \"records\" is not a non-empty array of strings");
    }
    *records = g_new0(PhStr, n);
    *count = n;
    for (size_t i = 0; i < n; i++) {
        const json_t *v = json_array_get(list, i);
        (*records)[i] = PhStr_Dup(
            PhStr_FromBytes(json_string_value(v), json_string_length(v)));
    }
    json_decref(root);
    return PhResult_Ok();
}

static json_t *
record_encode(const PhLogRecord *r)
{
    json_t *o = json_object();
    json_object_set_new(o, "offset", json_integer((json_int_t)r->offset));
    json_object_set_new(o, "appended_ms", json_integer(r->appended_ms));
    json_object_set_new(o, "body", PhJson_String(r->body));
    return o;
}

PhStr
PhLogJson_EncodeRecords(const PhLogRecords *records)
{
    json_t *root = json_object();
    json_t *list = json_array();
    for (size_t i = 0; i < records->record_count; i++) {
        json_array_append_new(list, record_encode(&records->records[i]));
    }
    json_object_set_new(root, "first",
                        json_integer((json_int_t)records->first));
    json_object_set_new(root, "next", json_integer((json_int_t)records->next));
    json_object_set_new(root, "end", json_integer((json_int_t)records->end));
    json_object_set_new(root, "records", list);
    PhStr text = PhJson_Write(root);
    json_decref(root);
    return text;
}

/* Returns false if the offset is missing or negative. */
static bool
get_offset(const json_t *object, const char *key, uint64_t *offset)
{
    int64_t v = PhJson_GetInt(object, key, -1);
    *offset = (uint64_t)v;
    return v >= 0;
}

static bool
records_decode(const json_t *list, PhLogRecords *records)
{
    size_t n = json_array_size(list);
    records->records = g_new0(PhLogRecord, n);
    for (size_t i = 0; i < n; i++) {
        const json_t *o = json_array_get(list, i);
        PhLogRecord *r = &records->records[i];
        if (!get_offset(o, "offset", &r->offset)) {
            return false;
        }
        r->appended_ms = PhJson_GetInt(o, "appended_ms", 0);
        r->body = PhStr_Dup(PhJson_GetStr(o, "body"));
        records->record_count++;
    }
    return true;
}

PhResult
PhLogJson_DecodeRecords(PhStr text, PhLogRecords *records)
{
    json_t *root;
    PhResult result = PhJson_Parse(text, &root);
    if (!PhResult_IsOk(&result)) {
        return result;
    }
    bool valid = get_offset(root, "first", &records->first) &&
                 get_offset(root, "next", &records->next) &&
                 get_offset(root, "end", &records->end) &&
                 records_decode(json_object_get(root, "records"), records);
    json_decref(root);
    if (!valid) {
        PhLogRecords_Clear(records);
        return PhResult_Make(PH_STATUS_INVALID,
                             "log records: offset is missing or negative");
    }
    return PhResult_Ok();
}

void
PhLogRecords_Clear(PhLogRecords *records)
{
    for (size_t i = 0; i < records->record_count; i++) {
        PhStr_Clear(&records->records[i].body);
    }
    g_free(records->records);
    records->records = NULL;
    records->record_count = 0;
}
