#include "peridothill/codec/unpack.h"

#include "peridothill/codec/bounds.h"

/* Decodes one map, after its containers proved to fit the bytes. */
bool
PhUnpack_Open(PhUnpack *unpack, PhStr bytes)
{
    size_t offset = 0;
    msgpack_unpacked_init(&unpack->unpacked);
    if (!PhMsgpack_IsBounded(bytes)) {
        return false;
    }
    msgpack_unpack_return code =
        msgpack_unpack_next(&unpack->unpacked, bytes.data, bytes.len, &offset);
    return code == MSGPACK_UNPACK_SUCCESS && offset == bytes.len &&
           unpack->unpacked.data.type == MSGPACK_OBJECT_MAP;
}

/* Releases the memory of a decoded value. */
void
PhUnpack_Close(PhUnpack *unpack)
{
    msgpack_unpacked_destroy(&unpack->unpacked);
}

/* Gives the map that was decoded. */
const msgpack_object *
PhUnpack_Root(const PhUnpack *unpack)
{
    return &unpack->unpacked.data;
}

/* Finds the value of a number key; of a repeated key the first counts. */
const msgpack_object *
PhUnpack_Field(const msgpack_object *map, uint64_t key)
{
    for (uint32_t i = 0; i < map->via.map.size; i++) {
        const msgpack_object_kv *pair = &map->via.map.ptr[i];
        if (pair->key.type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
            pair->key.via.u64 == key) {
            return &pair->val;
        }
    }
    return NULL;
}

/* Reads a number that is not negative. */
bool
PhUnpack_U64(const msgpack_object *value, uint64_t *out)
{
    if (value == NULL || value->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return false;
    }
    *out = value->via.u64;
    return true;
}

/* Reads a string or bytes; the result borrows from the decoded value. */
bool
PhUnpack_Bytes(const msgpack_object *value, size_t max_bytes, PhStr *out)
{
    if (value == NULL) {
        return false;
    }
    if (value->type == MSGPACK_OBJECT_BIN) {
        *out = PhStr_FromBytes(value->via.bin.ptr, value->via.bin.size);
    }
    else if (value->type == MSGPACK_OBJECT_STR) {
        *out = PhStr_FromBytes(value->via.str.ptr, value->via.str.size);
    }
    else {
        return false;
    }
    return out->len <= max_bytes;
}

/* Writes a number under a key. */
void
PhPack_U64(msgpack_packer *packer, uint64_t key, uint64_t value)
{
    msgpack_pack_uint64(packer, key);
    msgpack_pack_uint64(packer, value);
}

/* Writes bytes under a key. */
void
PhPack_Bytes(msgpack_packer *packer, uint64_t key, PhStr value)
{
    msgpack_pack_uint64(packer, key);
    msgpack_pack_bin_with_body(packer, value.data, value.len);
}

/* Appends what a packer writes to a buffer. */
int
PhPack_Write(void *data, const char *bytes, size_t len)
{
    PhBuf_Append(data, PhStr_FromBytes(bytes, len));
    return 0;
}
