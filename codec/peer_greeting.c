#include "peer_greeting.h"

/* Keys of the greeting map. */
enum {
    GREETING_VERSION_MIN = 1,
    GREETING_VERSION_MAX = 2,
    GREETING_DEPLOYMENT = 3,
    GREETING_MEMBER = 4,
    GREETING_DATA_CENTRE = 5,
    GREETING_NONCE = 6,
    GREETING_FIELDS = 6,
};

PhStr
PhPeerGreeting_Encode(const PhPeerIdentity *identity, const uint8_t *nonce)
{
    PhBuf body = {0};
    msgpack_packer packer;
    msgpack_packer_init(&packer, &body, PhPack_Write);
    msgpack_pack_map(&packer, GREETING_FIELDS);
    PhPack_U64(&packer, GREETING_VERSION_MIN, identity->version_min);
    PhPack_U64(&packer, GREETING_VERSION_MAX, identity->version_max);
    PhPack_Bytes(&packer, GREETING_DEPLOYMENT, identity->deployment);
    PhPack_Bytes(&packer, GREETING_MEMBER, identity->member);
    PhPack_Bytes(&packer, GREETING_DATA_CENTRE, identity->data_centre);
    PhPack_Bytes(&packer, GREETING_NONCE,
                 PhStr_FromBytes(nonce, PH_PEER_NONCE_BYTES));
    return PhBuf_Take(&body);
}

/* Unknown fields are ignored. */
bool
PhPeerGreeting_Decode(const msgpack_object *map, PhPeerGreeting *g)
{
    const size_t max = PH_PEER_NAME_MAX_BYTES;
    return PhUnpack_U64(PhUnpack_Field(map, GREETING_VERSION_MIN),
                        &g->version_min) &&
           PhUnpack_U64(PhUnpack_Field(map, GREETING_VERSION_MAX),
                        &g->version_max) &&
           PhUnpack_Bytes(PhUnpack_Field(map, GREETING_DEPLOYMENT), max,
                          &g->deployment) &&
           PhUnpack_Bytes(PhUnpack_Field(map, GREETING_MEMBER), max,
                          &g->member) &&
           PhUnpack_Bytes(PhUnpack_Field(map, GREETING_DATA_CENTRE), max,
                          &g->data_centre) &&
           PhUnpack_Bytes(PhUnpack_Field(map, GREETING_NONCE),
                          PH_PEER_NONCE_BYTES, &g->nonce) &&
           g->nonce.len == PH_PEER_NONCE_BYTES && g->member.len > 0;
}
