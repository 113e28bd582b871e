#include "peridothill/codec/unpack.h"

#include "peridothill/codec/msgpack_lengths.h"

bool
PhUnpack_Open(PhUnpack *unpack, PhStr bytes)
{
    size_t offset = 0;
    msgpack_unpacked_init(&unpack->unpacked);
    if (!PhMsgpack_HasValidLengths(bytes)) {
        return false;
    }
    msgpack_unpack_return code =
        msgpack_unpack_next(&unpack->unpacked, bytes.data, bytes.len, &offset);
    return code == MSGPACK_UNPACK_SUCCESS && offset == bytes.len &&
           unpack->unpacked.data.type == MSGPACK_OBJECT_MAP;
}

void
PhUnpack_Close(PhUnpack *unpack)
{
    msgpack_unpacked_destroy(&unpack->unpacked);
}

const msgpack_object *
PhUnpack_Root(const PhUnpack *unpack)
{
    return &unpack->unpacked.data;
}

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

bool
PhUnpack_U64(const msgpack_object *value, uint64_t *out)
{
    if (value == NULL || value->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return false;
    }
    *out = value->via.u64;
    return true;
}

bool
PhUnpack_I64(const msgpack_object *value, int64_t *out)
{
    if (value == NULL || (value->type != MSGPACK_OBJECT_NEGATIVE_INTEGER &&
                          (value->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
                           value->via.u64 > INT64_MAX))) {
        return false;
    }
    *out = value->via.i64;
    return true;
}

/* Accepts both the str and the bin type. */
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

void
PhPack_U64(msgpack_packer *packer, uint64_t key, uint64_t value)
{
    msgpack_pack_uint64(packer, key);
    msgpack_pack_uint64(packer, value);
}

void
PhPack_I64(msgpack_packer *packer, uint64_t key, int64_t value)
{
    msgpack_pack_uint64(packer, key);
    msgpack_pack_int64(packer, value);
}

void
PhPack_Bytes(msgpack_packer *packer, uint64_t key, PhStr value)
{
    msgpack_pack_uint64(packer, key);
    PhPack_Item(packer, value);
}

void
PhPack_Item(msgpack_packer *packer, PhStr value)
{
    msgpack_pack_bin(packer, value.len);
    msgpack_pack_bin_body(packer, value.data == NULL ? "" : value.data,
                          value.len);
}

int
PhPack_Write(void *data, const char *bytes, size_t len)
{
    PhBuf_Append(data, PhStr_FromBytes(bytes, len));
    return 0;
}
