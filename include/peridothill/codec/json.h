/* Reading and writing JSON with length-counted strings, over jansson. */
#ifndef PERIDOTHILL_CODEC_JSON_H
#define PERIDOTHILL_CODEC_JSON_H

#include <jansson.h>

#include "peridothill/common/status.h"
#include "peridothill/common/str.h"

/* Parses one JSON value; the caller releases it with json_decref. */
PhResult PhJson_Parse(PhStr text, json_t **value);
/* Writes a value compactly; the text is owned by the caller. */
PhStr PhJson_Write(const json_t *value);
/* A JSON string; bytes that are no UTF-8 give NULL. */
json_t *PhJson_String(PhStr s);
/* Views the string under a key, empty when there is none. */
PhStr PhJson_GetStr(const json_t *object, const char *key);
/* Reads the whole number under a key, or gives the fallback. */
int64_t PhJson_GetInt(const json_t *object, const char *key, int64_t fallback);
/* Reads a string of at most `bound` bytes, borrowed from the value, or a
 * number that is not negative; false when the value is NULL or another. */
bool PhJson_ReadStr(const json_t *value, size_t max_bytes, PhStr *s);
bool PhJson_ReadU64(const json_t *value, uint64_t *number);
/* Reads a number from 0 to a bound; a real one loses what is behind its
 * point. */
bool PhJson_ReadNumber(const json_t *value, int64_t max, int64_t *number);

#endif
