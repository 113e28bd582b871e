/* Length-counted strings: views that borrow bytes, and buffers that own them.
 * Any byte value is allowed, NUL included; lengths are in bytes. */
#ifndef PERIDOTHILL_COMMON_STR_H
#define PERIDOTHILL_COMMON_STR_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Borrows its bytes unless it came from PhStr_Dup or PhBuf_Take. */
typedef struct PhStr {
    const char *data;
    size_t len;
} PhStr;

/* A growable byte buffer that owns its storage; start with {0}. */
typedef struct PhBuf {
    char *data;
    size_t len;
    size_t capacity;
} PhBuf;

/* A PhStr of a string literal, without its terminating NUL. */
#define PhStr_LITERAL(S) ((PhStr){.data = (S), .len = sizeof(S) - 1})
/* Arguments for a "%.*s" conversion. */
#define PhStr_ARG(S) (int)(S).len, ((S).data ? (S).data : "")

/* Borrows a C string; NULL yields the empty string. */
PhStr PhStr_FromC(const char *s);
PhStr PhStr_FromBytes(const void *data, size_t len);
/* Copies the bytes; release the copy with PhStr_Clear. */
PhStr PhStr_Dup(PhStr s);
void PhStr_Clear(PhStr *s);
/* Copies into a NUL-terminated string, freed with g_free.  The reader sees it
 * end at an embedded NUL. */
char *PhStr_ToC(PhStr s);
bool PhStr_IsEmpty(PhStr s);
bool PhStr_Equal(PhStr a, PhStr b);
/* Ignores the case of ASCII letters only. */
bool PhStr_EqualNoCase(PhStr a, PhStr b);
/* Orders by bytes, then by length; returns < 0, 0 or > 0. */
int PhStr_Compare(PhStr a, PhStr b);
bool PhStr_StartsWith(PhStr s, PhStr prefix);
/* Borrows `len` bytes from `start`, clamped to the string. */
PhStr PhStr_Slice(PhStr s, size_t start, size_t len);
/* Strips ASCII white space from both ends. */
PhStr PhStr_Trim(PhStr s);
/* Splits at the first separator.  Returns false if there is none, with all of
 * the string in `head`. */
bool PhStr_Cut(PhStr s, char separator, PhStr *head, PhStr *tail);
/* Parse a decimal number that fills the string; false on overflow too.  Only
 * the signed one accepts a minus sign. */
bool PhStr_ParseU64(PhStr s, uint64_t *value);
bool PhStr_ParseI64(PhStr s, int64_t *value);
/* XXH3; the same value on every machine. */
uint64_t PhStr_Hash(PhStr s, uint64_t seed);

/* Hash and equality functions for a GHashTable with PhStr * keys. */
guint PhStr_KeyHash(gconstpointer key);
gboolean PhStr_KeyEqual(gconstpointer a, gconstpointer b);
/* Allocate and free a key that owns a copy of the bytes. */
PhStr *PhStr_KeyCreate(PhStr s);
void PhStr_KeyDestroy(gpointer key);

void PhBuf_Reserve(PhBuf *buf, size_t extra);
/* `s` must not point into `buf`. */
void PhBuf_Append(PhBuf *buf, PhStr s);
void PhBuf_AppendByte(PhBuf *buf, char byte);
void PhBuf_AppendFormat(PhBuf *buf, const char *format, ...)
    G_GNUC_PRINTF(2, 3);
/* Appends `s` as a JSON string with quotes and escapes. */
void PhBuf_AppendQuoted(PhBuf *buf, PhStr s);
/* Removes up to `count` bytes from the front. */
void PhBuf_Consume(PhBuf *buf, size_t count);
/* Reset keeps the storage, Clear frees it. */
void PhBuf_Reset(PhBuf *buf);
void PhBuf_Clear(PhBuf *buf);
/* Borrows the content, until the next change of the buffer. */
PhStr PhBuf_Str(const PhBuf *buf);
/* Moves the content out as an owned string and empties the buffer. */
PhStr PhBuf_Take(PhBuf *buf);

#endif
