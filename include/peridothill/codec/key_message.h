/* Messages about idempotency keys between instances, encoded as msgpack. */
#ifndef PERIDOTHILL_CODEC_KEY_MESSAGE_H
#define PERIDOTHILL_CODEC_KEY_MESSAGE_H

#include "peridothill/decide/requests/keys.h"

/* Values are part of the wire format; add new ones at the end only. */
typedef enum PhKeyTag {
    PH_KEY_CLAIM = 1,
    PH_KEY_VERDICT = 2,
    PH_KEY_RELEASE = 3,
} PhKeyTag;

typedef struct PhKeyMessage {
    PhKeyTag tag;
    uint64_t request; /* request id, chosen by the claimant */
    PhStr key;
    PhKeyVerdict verdict;
} PhKeyMessage;

/* Appends the message to `out`. */
void PhKeyMessage_Encode(const PhKeyMessage *message, PhBuf *out);
/* Returns false if the payload is malformed. `message->key` is owned by the
 * caller. */
bool PhKeyMessage_Decode(PhStr payload, PhKeyMessage *message);

#endif
