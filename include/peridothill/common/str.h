/* Length-counted strings: views that borrow bytes, and buffers that own
 * them.  Bytes may hold any value, NUL included; a length is in bytes. */
#ifndef PERIDOTHILL_COMMON_STR_H
#define PERIDOTHILL_COMMON_STR_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A string of `len` bytes.  It borrows them unless it came from PhStr_Dup. */
typedef struct PhStr {
    const char *data;
    size_t len;
} PhStr;

/* A growable byte buffer that owns its storage. */
typedef struct PhBuf {
    char *data;
    size_t len;
    size_t capacity;
} PhBuf;

/* A PhStr of a string literal, without its terminating NUL. */
#define PhStr_LITERAL(S) ((PhStr){.data = (S), .len = sizeof(S) - 1})
/* Arguments for a "%.*s" conversion. */
#define PhStr_ARG(S) (int)(S).len, ((S).data ? (S).data : "")

PhStr PhStr_FromC(const char *s);
PhStr PhStr_FromBytes(const void *data, size_t len);
PhStr PhStr_Dup(PhStr s);
void PhStr_Clear(PhStr *s);
char *PhStr_ToC(PhStr s);
bool PhStr_IsEmpty(PhStr s);
bool PhStr_Equal(PhStr a, PhStr b);
bool PhStr_EqualNoCase(PhStr a, PhStr b);
int PhStr_Compare(PhStr a, PhStr b);
bool PhStr_StartsWith(PhStr s, PhStr prefix);
PhStr PhStr_Slice(PhStr s, size_t start, size_t len);
PhStr PhStr_Trim(PhStr s);
bool PhStr_Cut(PhStr s, char separator, PhStr *head, PhStr *tail);
bool PhStr_ParseU64(PhStr s, uint64_t *value);
bool PhStr_ParseI64(PhStr s, int64_t *value);
uint64_t PhStr_Hash(PhStr s, uint64_t seed);

/* Hash and equality of `const PhStr *` keys of a GHashTable. */
guint PhStr_KeyHash(gconstpointer key);
gboolean PhStr_KeyEqual(gconstpointer a, gconstpointer b);
/* Allocates a key that owns its bytes, and releases such a key. */
PhStr *PhStr_KeyCreate(PhStr s);
void PhStr_KeyDestroy(gpointer key);

void PhBuf_Reserve(PhBuf *buf, size_t extra);
void PhBuf_Append(PhBuf *buf, PhStr s);
void PhBuf_AppendByte(PhBuf *buf, char byte);
void PhBuf_AppendFormat(PhBuf *buf, const char *format, ...)
    G_GNUC_PRINTF(2, 3);
/* Appends a string as JSON writes it, with quotes and escapes. */
void PhBuf_AppendQuoted(PhBuf *buf, PhStr s);
void PhBuf_Consume(PhBuf *buf, size_t count);
void PhBuf_Reset(PhBuf *buf);
void PhBuf_Clear(PhBuf *buf);
PhStr PhBuf_Str(const PhBuf *buf);
PhStr PhBuf_Take(PhBuf *buf);

#endif
