#include "peridothill/common/str.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

enum {
    ASCII_SPACE = 0x20,
    ASCII_DEL = 0x7f,
};

PhStr
PhStr_FromC(const char *s)
{
    return (PhStr){.data = s, .len = s == NULL ? 0 : strlen(s)};
}

PhStr
PhStr_FromBytes(const void *data, size_t len)
{
    return (PhStr){.data = data, .len = len};
}

PhStr
PhStr_Dup(PhStr s)
{
    if (s.len == 0) {
        return (PhStr){0};
    }
    return (PhStr){.data = g_memdup2(s.data, s.len), .len = s.len};
}

void
PhStr_Clear(PhStr *s)
{
    g_free((void *)s->data);
    *s = (PhStr){0};
}

char *
PhStr_ToC(PhStr s)
{
    char *c = g_malloc(s.len + 1);
    if (s.len > 0) {
        memcpy(c, s.data, s.len);
    }
    c[s.len] = '\0';
    return c;
}

bool
PhStr_IsEmpty(PhStr s)
{
    return s.len == 0;
}

bool
PhStr_Equal(PhStr a, PhStr b)
{
    return a.len == b.len &&
           (a.len == 0 || memcmp(a.data, b.data, a.len) == 0);
}

bool
PhStr_EqualNoCase(PhStr a, PhStr b)
{
    if (a.len != b.len) {
        return false;
    }
    for (size_t i = 0; i < a.len; i++) {
        if (g_ascii_tolower(a.data[i]) != g_ascii_tolower(b.data[i])) {
            return false;
        }
    }
    return true;
}

int
PhStr_Compare(PhStr a, PhStr b)
{
    size_t n = MIN(a.len, b.len);
    int order = n == 0 ? 0 : memcmp(a.data, b.data, n);
    if (order != 0) {
        return order;
    }
    return (a.len > b.len) - (a.len < b.len);
}

bool
PhStr_StartsWith(PhStr s, PhStr prefix)
{
    return s.len >= prefix.len &&
           (prefix.len == 0 || memcmp(s.data, prefix.data, prefix.len) == 0);
}

PhStr
PhStr_Slice(PhStr s, size_t start, size_t len)
{
    if (s.data == NULL) {
        return (PhStr){0};
    }
    start = MIN(start, s.len);
    return (PhStr){.data = s.data + start, .len = MIN(len, s.len - start)};
}

PhStr
PhStr_Trim(PhStr s)
{
    while (s.len > 0 && g_ascii_isspace(s.data[0])) {
        s.data++;
        s.len--;
    }
    while (s.len > 0 && g_ascii_isspace(s.data[s.len - 1])) {
        s.len--;
    }
    return s;
}

bool
PhStr_Cut(PhStr s, char separator, PhStr *head, PhStr *tail)
{
    const char *at = s.len == 0 ? NULL : memchr(s.data, separator, s.len);
    if (at == NULL) {
        *head = s;
        *tail = (PhStr){0};
        return false;
    }
    size_t before = (size_t)(at - s.data);
    *head = PhStr_Slice(s, 0, before);
    *tail = PhStr_Slice(s, before + 1, s.len);
    return true;
}

bool
PhStr_ParseU64(PhStr s, uint64_t *value)
{
    uint64_t sum = 0;
    if (s.len == 0) {
        return false;
    }
    for (size_t i = 0; i < s.len; i++) {
        if (!g_ascii_isdigit(s.data[i]) ||
            __builtin_mul_overflow(sum, 10, &sum) ||
            __builtin_add_overflow(sum, (uint64_t)(s.data[i] - '0'), &sum)) {
            return false;
        }
    }
    *value = sum;
    return true;
}

bool
PhStr_ParseI64(PhStr s, int64_t *value)
{
    bool negative = s.len > 0 && s.data[0] == '-';
    uint64_t size;
    if (!PhStr_ParseU64(PhStr_Slice(s, negative ? 1 : 0, s.len), &size)) {
        return false;
    }
    if (size > (uint64_t)INT64_MAX) {
        return false;
    }
    *value = negative ? -(int64_t)size : (int64_t)size;
    return true;
}

uint64_t
PhStr_Hash(PhStr s, uint64_t seed)
{
    return XXH3_64bits_withSeed(s.data, s.len, seed);
}

guint
PhStr_KeyHash(gconstpointer key)
{
    const PhStr *s = key;
    return (guint)PhStr_Hash(*s, 0);
}

gboolean
PhStr_KeyEqual(gconstpointer a, gconstpointer b)
{
    const PhStr *x = a;
    const PhStr *y = b;
    return PhStr_Equal(*x, *y);
}

PhStr *
PhStr_KeyCreate(PhStr s)
{
    PhStr *key = g_new(PhStr, 1);
    *key = PhStr_Dup(s);
    return key;
}

void
PhStr_KeyDestroy(gpointer key)
{
    PhStr *s = key;
    PhStr_Clear(s);
    g_free(s);
}

void
PhBuf_Reserve(PhBuf *buf, size_t extra)
{
    size_t need = buf->len + extra;
    if (need <= buf->capacity) {
        return;
    }
    buf->capacity = MAX(need, MAX(buf->capacity * 2, (size_t)64));
    buf->data = g_realloc(buf->data, buf->capacity);
}

void
PhBuf_Append(PhBuf *buf, PhStr s)
{
    if (s.len == 0) {
        return;
    }
    PhBuf_Reserve(buf, s.len);
    memcpy(buf->data + buf->len, s.data, s.len);
    buf->len += s.len;
}

void
PhBuf_AppendByte(PhBuf *buf, char byte)
{
    PhBuf_Reserve(buf, 1);
    buf->data[buf->len++] = byte;
}

void
PhBuf_AppendFormat(PhBuf *buf, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    PhBuf_Append(buf, PhStr_FromC(text));
    g_free(text);
}

/* Escapes DEL as well as control characters, since terminals act on it; bytes
 * beyond ASCII are copied as they are. */
void
PhBuf_AppendQuoted(PhBuf *buf, PhStr s)
{
    PhBuf_AppendByte(buf, '"');
    for (size_t i = 0; i < s.len; i++) {
        unsigned char c = (unsigned char)s.data[i];
        if (c < ASCII_SPACE || c == ASCII_DEL) {
            PhBuf_AppendFormat(buf, "\\u%04x", c);
            continue;
        }
        if (c == '"' || c == '\\') {
            PhBuf_AppendByte(buf, '\\');
        }
        PhBuf_AppendByte(buf, (char)c);
    }
    PhBuf_AppendByte(buf, '"');
}

void
PhBuf_Consume(PhBuf *buf, size_t count)
{
    count = MIN(count, buf->len);
    buf->len -= count;
    if (buf->len > 0 && count > 0) {
        memmove(buf->data, buf->data + count, buf->len);
    }
}

void
PhBuf_Reset(PhBuf *buf)
{
    buf->len = 0;
}

void
PhBuf_Clear(PhBuf *buf)
{
    g_free(buf->data);
    *buf = (PhBuf){0};
}

PhStr
PhBuf_Str(const PhBuf *buf)
{
    return (PhStr){.data = buf->data, .len = buf->len};
}

PhStr
PhBuf_Take(PhBuf *buf)
{
    PhStr s = {.data = buf->data, .len = buf->len};
    *buf = (PhBuf){0};
    return s;
}
