#ifndef PERIDOTHILL_CODEC_PEER_GREETING_H
#define PERIDOTHILL_CODEC_PEER_GREETING_H

#include "peridothill/codec/peer_session.h"
#include "peridothill/codec/unpack.h"

/* Strings borrow from the decoded map. */
typedef struct PhPeerGreeting {
    uint64_t version_min;
    uint64_t version_max;
    PhStr deployment;
    PhStr member;
    PhStr data_centre;
    PhStr nonce;
} PhPeerGreeting;

PhStr PhPeerGreeting_Encode(const PhPeerIdentity *identity,
                            const uint8_t *nonce);
/* Returns false if a field is missing or malformed. */
bool PhPeerGreeting_Decode(const msgpack_object *map, PhPeerGreeting *g);

#endif
