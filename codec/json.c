#include "peridothill/codec/json.h"

#include <inttypes.h>

PhResult
PhJson_Parse(PhStr text, json_t **value)
{
    json_error_t error;
    *value = json_loadb(
        text.data == NULL ? "" : text.data, text.len,
        JSON_REJECT_DUPLICATES | JSON_ALLOW_NUL | JSON_DECODE_ANY, &error);
    if (*value == NULL) {
        return PhResult_Make(PH_STATUS_INVALID, "JSON, byte %d: %s",
                             error.position, error.text);
    }
    return PhResult_Ok();
}

/* Returns the position after a string that begins at `i`. */
static size_t
string_skip(PhStr text, size_t i)
{
    for (i++; i < text.len && text.data[i] != '"'; i++) {
        i += text.data[i] == '\\';
    }
    return i + 1;
}

uint64_t
PhJson_CountValues(PhStr text)
{
    uint64_t count = 1;
    bool opened = false; /* the last character began an array or object */
    size_t i = 0;
    while (i < text.len) {
        char c = text.data[i];
        if (g_ascii_isspace(c)) {
            i++;
            continue;
        }
        bool closes = c == ']' || c == '}';
        count += c == ',' || (opened && !closes);
        opened = c == '[' || c == '{';
        i = c == '"' ? string_skip(text, i) : i + 1;
    }
    return count;
}

PhResult
PhJson_ParseLimited(PhStr text, uint64_t max_values, json_t **value)
{
    uint64_t count = max_values > 0 ? PhJson_CountValues(text) : 0;
    if (count > max_values) {
        *value = NULL;
        return PhResult_Make(PH_STATUS_TOO_LARGE,
                             "JSON: %" PRIu64 " values, at most %" PRIu64,
                             count, max_values);
    }
    return PhJson_Parse(text, value);
}

PhStr
PhJson_Write(const json_t *value)
{
    size_t flags = JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY;
    size_t len = json_dumpb(value, NULL, 0, flags);
    PhBuf buf = {0};
    PhBuf_Reserve(&buf, len);
    buf.len = json_dumpb(value, buf.data, len, flags);
    return PhBuf_Take(&buf);
}

json_t *
PhJson_String(PhStr s)
{
    return json_stringn(s.data == NULL ? "" : s.data, s.len);
}

PhStr
PhJson_GetStr(const json_t *object, const char *key)
{
    const json_t *v = json_object_get(object, key);
    return PhStr_FromBytes(json_string_value(v), json_string_length(v));
}

int64_t
PhJson_GetInt(const json_t *object, const char *key, int64_t fallback)
{
    const json_t *v = json_object_get(object, key);
    return json_is_integer(v) ? json_integer_value(v) : fallback;
}

bool
PhJson_ReadStr(const json_t *value, size_t max_bytes, PhStr *s)
{
    if (!json_is_string(value) || json_string_length(value) > max_bytes) {
        return false;
    }
    *s = PhStr_FromBytes(json_string_value(value), json_string_length(value));
    return true;
}

bool
PhJson_ReadU64(const json_t *value, uint64_t *number)
{
    if (!json_is_integer(value) || json_integer_value(value) < 0) {
        return false;
    }
    *number = (uint64_t)json_integer_value(value);
    return true;
}

/* The range is checked before the conversion, since converting a real number
 * that does not fit the integer type is undefined behaviour. */
bool
PhJson_ReadNumber(const json_t *value, int64_t max, int64_t *number)
{
    double real = json_real_value(value);
    if (json_is_real(value) && real >= 0 && real < (double)max + 1) {
        *number = (int64_t)real;
        return true;
    }
    if (!json_is_integer(value) || json_integer_value(value) < 0 ||
        json_integer_value(value) > max) {
        return false;
    }
    *number = json_integer_value(value);
    return true;
}
