/* Messages about idempotency keys between instances, as msgpack. */
#ifndef PERIDOTHILL_CODEC_KEY_MESSAGE_H
#define PERIDOTHILL_CODEC_KEY_MESSAGE_H

#include "peridothill/decide/requests/keys.h"

/* Numbers go over the wire: only add at the end. */
typedef enum PhKeyTag {
    PH_KEY_CLAIM = 1,
    PH_KEY_VERDICT = 2,
    PH_KEY_RELEASE = 3,
} PhKeyTag;

typedef struct PhKeyMessage {
    PhKeyTag tag;
    uint64_t request; /* the claimant's number of it */
    PhStr key;
    PhKeyVerdict verdict;
} PhKeyMessage;

/* Appends the encoded message. */
void PhKeyMessage_Encode(const PhKeyMessage *message, PhBuf *out);
/* Reads a message; its key is owned by the caller. */
bool PhKeyMessage_Decode(PhStr payload, PhKeyMessage *message);

#endif
