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

/* The way of a call that is not forwarded.  One that changes nothing is
 * refused only where it would wait for a store that is lost. */
static PhCallPath
path_without_owner(const PhCallPathInput *in)
{
    PhCallPath local = {.tag = PH_CALL_LOCAL};
    switch (in->contact) {
    case PH_CONTACT_REACHED:
        return local;
    case PH_CONTACT_UNPROVEN:
        return in->changes ? PhCallPath_Refuse(PH_CALL_NO_CONTACT) : local;
    case PH_CONTACT_LOST:
        break;
    }
    return PhCallPath_Refuse(PH_CALL_NO_CONTACT);
}

/* An owner that has lost the store still answers calls that change nothing, by
 * what it knows. */
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
    if (reaches_owner && !(in->changes && in->owner_silent)) {
        return (PhCallPath){.tag = PH_CALL_FORWARD};
    }
    return path_without_owner(in);
}
