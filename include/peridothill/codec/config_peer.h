/* Wire format of the messages between the configuration followers of two
 * instances.  Records use the same JSON as in the log; a state is sent as its
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

/* Values are part of the wire format: only add at the end. */
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

/* Strings and records are borrowed when encoding and owned after decoding. */
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

/* Appends a message.  A push contains as many records as fit; returns their
 * number, 0 for other kinds. */
size_t PhConfigPeerMessage_Encode(const PhConfigPeerMessage *message,
                                  PhBuf *out);
/* INVALID if the bytes are malformed, NOT_FOUND if the kind is unknown; the
 * message is then empty. */
PhStatus PhConfigPeerMessage_Decode(PhStr bytes, PhConfigPeerMessage *message);
void PhConfigPeerMessage_Clear(PhConfigPeerMessage *message);

#endif
