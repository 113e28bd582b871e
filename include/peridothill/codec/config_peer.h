/* Encoding of what the configuration followers of two instances tell each
 * other.  Records travel in the JSON that the log has; a state travels as its
 * snapshot in parts, since the payload of a peer link is bounded. */
#ifndef PERIDOTHILL_CODEC_CONFIG_PEER_H
#define PERIDOTHILL_CODEC_CONFIG_PEER_H

#include "peridothill/decide/config/config_action.h"

enum {
    PH_CONFIG_PEER_MESSAGE_BYTES = 60 * 1024,
    PH_CONFIG_STATE_PART_BYTES = 48 * 1024,
    PH_CONFIG_STATE_PARTS_MAX =
        16 * 1024 * 1024 / PH_CONFIG_STATE_PART_BYTES + 1,
};

/* Numbers go over the wire: only add at the end. */
typedef enum PhConfigPeerKind {
    PH_CONFIG_PEER_HELLO = 1,
    PH_CONFIG_PEER_FETCH = 2,
    PH_CONFIG_PEER_PUSH = 3,
    PH_CONFIG_PEER_STATE = 4,
} PhConfigPeerKind;

/* One part of an encoded snapshot. */
typedef struct PhConfigStatePart {
    uint64_t covers;
    uint64_t part;
    uint64_t parts;
    PhStr bytes;
} PhConfigStatePart;

/* A message; strings and records are borrowed when encoding and owned after
 * decoding. */
typedef struct PhConfigPeerMessage {
    PhConfigPeerKind kind;
    union {
        PhConfigHello hello;
        uint64_t fetch;
        struct {
            PhConfigRecord **records;
            size_t count;
        } push;
        PhConfigStatePart state;
    } as;
} PhConfigPeerMessage;

/* Appends a message.  A push takes as many records as fit into one; the
 * result tells how many. */
size_t PhConfigPeerMessage_Encode(const PhConfigPeerMessage *message,
                                  PhBuf *out);
/* INVALID when the bytes are malformed, NOT_FOUND when the kind is not known
 * here; the message is then empty. */
PhStatus PhConfigPeerMessage_Decode(PhStr bytes, PhConfigPeerMessage *message);
/* Releases a decoded message. */
void PhConfigPeerMessage_Clear(PhConfigPeerMessage *message);

#endif
