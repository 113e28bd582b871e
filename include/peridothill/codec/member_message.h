/* Encoding of membership messages as msgpack. */
#ifndef PERIDOTHILL_CODEC_MEMBER_MESSAGE_H
#define PERIDOTHILL_CODEC_MEMBER_MESSAGE_H

#include "peridothill/common/status.h"
#include "peridothill/decide/members/message.h"

enum {
    /* Applies to id, data centre and address of a record. */
    PH_MEMBER_NAME_MAX_BYTES = 64,
};

void PhMemberMessage_Encode(const PhMemberMessage *message, PhBuf *out);
/* Decodes a message that owns its strings. Returns INVALID if malformed and
 * NOT_FOUND for an unknown kind; the message is then empty. */
PhStatus PhMemberMessage_Decode(PhStr bytes, PhMemberMessage *message);

#endif
