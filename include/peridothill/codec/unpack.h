/* Reading msgpack that a peer sent: bounded before anything is allocated, and
 * read field by field, so that unknown fields are ignored. */
#ifndef PERIDOTHILL_CODEC_UNPACK_H
#define PERIDOTHILL_CODEC_UNPACK_H

#include <msgpack.h>

#include "peridothill/common/str.h"

/* One decoded value and the memory behind it. */
typedef struct PhUnpack {
    msgpack_unpacked unpacked;
} PhUnpack;

/* Decodes bytes that hold exactly one map.  False when they do not; Close is
 * due in both cases. */
bool PhUnpack_Open(PhUnpack *unpack, PhStr bytes);
void PhUnpack_Close(PhUnpack *unpack);
/* The map that was decoded. */
const msgpack_object *PhUnpack_Root(const PhUnpack *unpack);
/* Finds the value of a number key; NULL when the map lacks it. */
const msgpack_object *PhUnpack_Field(const msgpack_object *map, uint64_t key);
/* Read a value; false when it is missing, NULL or of another type. */
bool PhUnpack_U64(const msgpack_object *value, uint64_t *out);
bool PhUnpack_Bytes(const msgpack_object *value, size_t max_bytes, PhStr *out);

/* Writing: a number key with its value. */
void PhPack_U64(msgpack_packer *packer, uint64_t key, uint64_t value);
void PhPack_Bytes(msgpack_packer *packer, uint64_t key, PhStr value);
/* Appends packed bytes to the PhBuf in `data`; a msgpack_packer_write. */
int PhPack_Write(void *data, const char *bytes, size_t len);

#endif
