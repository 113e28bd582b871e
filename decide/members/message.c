#include "peridothill/decide/members/message.h"

void
PhMemberMessage_Clear(PhMemberMessage *message)
{
    switch (message->kind) {
    case PH_MEMBER_PROBE:
        PhStr_Clear(&message->as.probe.target);
        PhStr_Clear(&message->as.probe.address);
        break;
    case PH_MEMBER_PING:
    case PH_MEMBER_ACK:
    case PH_MEMBER_SYNC_REQUEST:
    case PH_MEMBER_SYNC:
    case PH_MEMBER_UPDATES:
        break;
    }
    for (size_t i = 0; i < message->record_count; i++) {
        PhMember_Clear(&message->records[i]);
    }
    g_free(message->records);
    message->records = NULL;
    message->record_count = 0;
}
