/* Encoding of what members tell each other. */
#ifndef PERIDOTHILL_CODEC_MEMBER_MESSAGE_H
#define PERIDOTHILL_CODEC_MEMBER_MESSAGE_H

#include "peridothill/common/status.h"
#include "peridothill/decide/members/message.h"

/* Longest id, data centre and address of a record. */
enum {
    PH_MEMBER_NAME_MAX_BYTES = 64,
};

void PhMemberMessage_Encode(const PhMemberMessage *message, PhBuf *out);
/* Decodes a message that owns its strings.  INVALID when the bytes are
 * malformed, NOT_FOUND when the kind is not known here; the message is then
 * empty. */
PhStatus PhMemberMessage_Decode(PhStr bytes, PhMemberMessage *message);

#endif
