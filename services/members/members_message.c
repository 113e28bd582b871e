#include "peridothill/services/interface.h"
#include "peridothill/services/members.h"

static void
message_release(void *body)
{
    PhMembersMessage *m = body;
    switch (m->tag) {
    case PH_MEMBERS_VIEW:
        PhMembersView_Clear(&m->as.view);
        break;
    case PH_MEMBERS_SUBSCRIBE:
    case PH_MEMBERS_PLATFORM_ANSWERED:
    case PH_MEMBERS_DRAIN:
    case PH_MEMBERS_LEAVE:
        break;
    }
    g_free(m);
}

PhMessage
PhMembersMessage_Wrap(const PhMembersMessage *body)
{
    return PhMessage_Copy(PH_INTERFACE_MEMBERS, body, sizeof(*body),
                          message_release);
}

PhMembersView
PhMembersView_Copy(const PhMembersView *view)
{
    PhMembersView copy = *view;
    copy.self = PhStr_Dup(view->self);
    copy.members = g_new0(PhMember, view->member_count);
    for (size_t i = 0; i < view->member_count; i++) {
        copy.members[i] = PhMember_Copy(&view->members[i]);
    }
    return copy;
}

void
PhMembersView_Clear(PhMembersView *view)
{
    for (size_t i = 0; i < view->member_count; i++) {
        PhMember_Clear(&view->members[i]);
    }
    g_free(view->members);
    PhStr_Clear(&view->self);
    *view = (PhMembersView){0};
}

const PhMember *
PhMembersView_Find(const PhMembersView *view, PhStr id)
{
    size_t low = 0;
    size_t high = view->member_count;
    while (low < high) {
        size_t middle = low + (high - low) / 2;
        int order = PhStr_Compare(view->members[middle].id, id);
        if (order == 0) {
            return &view->members[middle];
        }
        if (order < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return NULL;
}
