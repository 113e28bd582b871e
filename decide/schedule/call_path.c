#include "peridothill/decide/schedule/call_path.h"

static const PhTime ANSWER_TIME = 150 * PH_NS_PER_MS;
/* The contact is probed several times a second, and another instance may have
 * it. */
static const PhTime RETRY_AFTER = 1 * PH_NS_PER_S;

PhTime
PhCallPath_AnswerTime(void)
{
    return ANSWER_TIME;
}

PhCallPath
PhCallPath_Refuse(PhCallRefusal reason)
{
    return (PhCallPath){
        .tag = PH_CALL_REFUSE,
        .as.refuse = {.reason = reason, .retry_after = RETRY_AFTER}};
}

/* The way of a call that is not forwarded.  A contact that is not proven need
 * not be lost: an instance that relied on the owner has sent no call to the
 * store for long, and refusing would turn each change of owner into an
 * outage. */
static PhCallPath
path_without_owner(const PhCallPathInput *in)
{
    switch (in->contact) {
    case PH_CONTACT_REACHED:
    case PH_CONTACT_UNPROVEN:
        return (PhCallPath){.tag = PH_CALL_LOCAL};
    case PH_CONTACT_LOST:
        break;
    }
    return PhCallPath_Refuse(PH_CALL_NO_CONTACT);
}

/* Reports whether the owner serves the call.  Without the store, it answers
 * calls that change nothing from memory; it does not know the jobs that other
 * instances have accepted since. */
static bool
owner_serves(const PhCallPathInput *in)
{
    return !in->owner && in->link_up &&
           !(in->owner_store_silent && (in->changes || in->answered_here));
}

PhCallPath
PhCallPath_Choose(const PhCallPathInput *in)
{
    bool reaches_owner = !in->owner && in->link_up;
    if (in->outcome_unknown) {
        return (PhCallPath){.tag = PH_CALL_LOCAL};
    }
    if (!in->limited) {
        return (PhCallPath){.tag = reaches_owner ? PH_CALL_FORWARD
                                                 : PH_CALL_LOCAL};
    }
    if (in->left <= ANSWER_TIME) {
        return PhCallPath_Refuse(PH_CALL_TOO_LATE);
    }
    if (owner_serves(in)) {
        return (PhCallPath){.tag = PH_CALL_FORWARD};
    }
    return path_without_owner(in);
}
