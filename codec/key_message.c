#include "peridothill/codec/key_message.h"

#include "peridothill/codec/unpack.h"

/* Keys of the msgpack map. */
enum {
    FIELD_TAG = 1,
    FIELD_REQUEST = 2,
    FIELD_KEY = 3,
    FIELD_VERDICT = 4,
    FIELD_COUNT = 4,
};

enum {
    KEY_MAX_BYTES = 4096
};

/* A map with integer keys, see FIELD_*. */
void
PhKeyMessage_Encode(const PhKeyMessage *message, PhBuf *out)
{
    msgpack_packer packer;
    msgpack_packer_init(&packer, out, PhPack_Write);
    msgpack_pack_map(&packer, FIELD_COUNT);
    PhPack_U64(&packer, FIELD_TAG, message->tag);
    PhPack_U64(&packer, FIELD_REQUEST, message->request);
    PhPack_Bytes(&packer, FIELD_KEY, message->key);
    PhPack_U64(&packer, FIELD_VERDICT, message->verdict);
}

static bool
fields_read(const msgpack_object *map, PhKeyMessage *message)
{
    uint64_t tag = 0;
    uint64_t verdict = 0;
    PhStr key;
    if (!PhUnpack_U64(PhUnpack_Field(map, FIELD_TAG), &tag) ||
        !PhUnpack_U64(PhUnpack_Field(map, FIELD_REQUEST), &message->request) ||
        !PhUnpack_Bytes(PhUnpack_Field(map, FIELD_KEY), KEY_MAX_BYTES, &key) ||
        !PhUnpack_U64(PhUnpack_Field(map, FIELD_VERDICT), &verdict) ||
        tag < PH_KEY_CLAIM || tag > PH_KEY_RELEASE ||
        verdict > PH_KEY_UNCLEAR) {
        return false;
    }
    message->tag = (PhKeyTag)tag;
    message->verdict = (PhKeyVerdict)verdict;
    message->key = PhStr_Dup(key);
    return true;
}

bool
PhKeyMessage_Decode(PhStr payload, PhKeyMessage *message)
{
    PhUnpack unpack;
    *message = (PhKeyMessage){0};
    bool read = PhUnpack_Open(&unpack, payload) &&
                fields_read(PhUnpack_Root(&unpack), message);
    PhUnpack_Close(&unpack);
    return read;
}
