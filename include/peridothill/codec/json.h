/* JSON with length-counted strings, based on jansson. */
#ifndef PERIDOTHILL_CODEC_JSON_H
#define PERIDOTHILL_CODEC_JSON_H

#include <jansson.h>

#include "peridothill/common/status.h"
#include "peridothill/common/str.h"

/* Parses one JSON value of any type, to be released with json_decref; rejects
 * duplicate keys. */
PhResult PhJson_Parse(PhStr text, json_t **value);
/* The same for a document of an untrusted sender; TOO_LARGE, without parsing
 * it, if it has more than `max_values` values; 0: no limit. */
PhResult PhJson_ParseLimited(PhStr text, uint64_t max_values, json_t **value);
/* Number of values in a document, names of members not counted.  Exact if it
 * is valid. */
uint64_t PhJson_CountValues(PhStr text);
/* Serialises compactly with sorted keys.  The caller owns the text. */
PhStr PhJson_Write(const json_t *value);
/* Returns NULL if the bytes are not valid UTF-8. */
json_t *PhJson_String(PhStr s);
/* Borrows the string member `key`; empty if there is none. */
PhStr PhJson_GetStr(const json_t *object, const char *key);
/* Returns the integer member `key`, or `fallback` if there is none. */
int64_t PhJson_GetInt(const json_t *object, const char *key, int64_t fallback);
/* Read a string of at most `max_bytes` bytes, borrowed from the value, or a
 * non-negative integer.  Return false for NULL and any other value. */
bool PhJson_ReadStr(const json_t *value, size_t max_bytes, PhStr *s);
bool PhJson_ReadU64(const json_t *value, uint64_t *number);
/* Reads a number from 0 to `max`; truncates real numbers. */
bool PhJson_ReadNumber(const json_t *value, int64_t max, int64_t *number);

#endif
