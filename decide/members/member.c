#include "peridothill/decide/members/member.h"

PhStr
PhMemberState_Name(PhMemberState state)
{
    switch (state) {
    case PH_MEMBER_ALIVE:
        return PhStr_LITERAL("alive");
    case PH_MEMBER_SUSPECT:
        return PhStr_LITERAL("suspect");
    case PH_MEMBER_DEAD:
        return PhStr_LITERAL("dead");
    case PH_MEMBER_LEFT:
        return PhStr_LITERAL("left");
    }
    return (PhStr){0};
}

PhMember
PhMember_Copy(const PhMember *member)
{
    PhMember copy = *member;
    copy.id = PhStr_Dup(member->id);
    copy.data_centre = PhStr_Dup(member->data_centre);
    copy.address = PhStr_Dup(member->address);
    return copy;
}

void
PhMember_Clear(PhMember *member)
{
    PhStr_Clear(&member->id);
    PhStr_Clear(&member->data_centre);
    PhStr_Clear(&member->address);
}
