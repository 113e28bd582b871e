/* Interface of the task "peers", which owns the peer listener and the
 * connections between instances. */
#ifndef PERIDOTHILL_SERVICES_PEERS_H
#define PERIDOTHILL_SERVICES_PEERS_H

#include "peridothill/kernel/kernel.h"

/* Destination of a payload. Numbers are part of the wire format: add new
 * channels at the end only. */
typedef enum PhChannel {
    PH_CHANNEL_MEMBERS = 1,
    PH_CHANNEL_CONFIG = 2,
    PH_CHANNEL_KEYS = 3, /* idempotency keys */
    PH_CHANNEL_TASKS = 4,
    PH_CHANNEL_SCHEDULE = 5, /* between the job owner and other instances */
} PhChannel;

enum {
    PH_CHANNEL_LIMIT = 6,
    PH_PEERS_PAYLOAD_MAX_BYTES = 64 * 1024,
};

/* A payload to send, best effort: a refusal or loss is counted but not
 * reported. With an empty `address` it is looked up in the latest view of
 * "members". With an empty `member` any peer that listens at `address`
 * receives it. Owns its strings. */
typedef struct PhPeersSend {
    PhStr member;
    PhStr address;
    PhChannel channel;
    PhStr payload;
} PhPeersSend;

/* A payload from an authenticated peer. Owns its strings. */
typedef struct PhPeersReceived {
    PhStr member;
    PhStr data_centre;
    PhChannel channel;
    PhStr payload;
} PhPeersReceived;

typedef enum PhPeersTag {
    PH_PEERS_SEND,     /* to "peers" */
    PH_PEERS_LISTEN,   /* to "peers": deliver this channel to the sender,
                          in place of any previous listener */
    PH_PEERS_RECEIVED, /* from "peers", to the channel's listener */
} PhPeersTag;

typedef struct PhPeersMessage {
    PhPeersTag tag;
    union {
        PhPeersSend send;
        PhChannel listen;
        PhPeersReceived received;
    } as;
} PhPeersMessage;

/* Wraps a message body for the kernel; takes ownership of what it owns. */
PhMessage PhPeersMessage_Wrap(const PhPeersMessage *body);

/* Strings are copied. `keys` holds one or two keys of 32 bytes: the first one
 * authenticates this instance, all are accepted from peers. */
typedef struct PhPeersOptions {
    PhStr listen; /* IP:port; port 0 selects a free one */
    PhStr id;
    PhStr data_centre;
    PhStr deployment;
    const PhStr *keys;
    size_t key_count;
    uint64_t seed; /* of the back-off jitter */
} PhPeersOptions;

/* Parses a key of 64 hexadecimal digits; surrounding white space is
 * ignored. */
PhResult PhPeersKey_Parse(PhStr text, PhStr *key);
/* Sets `port` to the port of the listener. */
PhResult PhPeers_Start(PhKernel *kernel, const PhPeersOptions *options,
                       uint16_t *port);

#endif
