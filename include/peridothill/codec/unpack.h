/* Decoding of msgpack maps from peers.  Lengths are checked before anything is
 * allocated; unknown fields are ignored. */
#ifndef PERIDOTHILL_CODEC_UNPACK_H
#define PERIDOTHILL_CODEC_UNPACK_H

#include <msgpack.h>

#include "peridothill/common/str.h"

/* A decoded value that owns its memory. */
typedef struct PhUnpack {
    msgpack_unpacked unpacked;
} PhUnpack;

/* Returns false unless the bytes hold exactly one map.  Call PhUnpack_Close in
 * either case. */
bool PhUnpack_Open(PhUnpack *unpack, PhStr bytes);
void PhUnpack_Close(PhUnpack *unpack);
/* The decoded map, valid until PhUnpack_Close. */
const msgpack_object *PhUnpack_Root(const PhUnpack *unpack);
/* Returns the value of an integer key, NULL if the map has none.  The first of
 * repeated keys counts. */
const msgpack_object *PhUnpack_Field(const msgpack_object *map, uint64_t key);
/* Return false if the value is missing (NULL), of another type or out of
 * bounds.  Bytes are borrowed from the map. */
bool PhUnpack_U64(const msgpack_object *value, uint64_t *out);
bool PhUnpack_I64(const msgpack_object *value, int64_t *out);
bool PhUnpack_Bytes(const msgpack_object *value, size_t max_bytes, PhStr *out);

/* Append an integer key and its value. */
void PhPack_U64(msgpack_packer *packer, uint64_t key, uint64_t value);
void PhPack_I64(msgpack_packer *packer, uint64_t key, int64_t value);
void PhPack_Bytes(msgpack_packer *packer, uint64_t key, PhStr value);
/* Appends a value without a key, as an item of an array. */
void PhPack_Item(msgpack_packer *packer, PhStr value);
/* A msgpack_packer_write that appends to the PhBuf at `data`. */
int PhPack_Write(void *data, const char *bytes, size_t len);

#endif
