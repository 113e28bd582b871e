/* Which way a client's call on a queue or a job takes: over the link to the
 * owner, through this instance's own contact with the store, or back to the
 * client at once. */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_CALL_PATH_H
#define PERIDOTHILL_DECIDE_SCHEDULE_CALL_PATH_H

#include "peridothill/decide/schedule/store_contact.h"

typedef enum PhCallPathTag {
    PH_CALL_FORWARD,
    PH_CALL_LOCAL,
    PH_CALL_REFUSE, /* it has had no effect and never will */
} PhCallPathTag;

typedef enum PhCallRefusal {
    PH_CALL_TOO_LATE,   /* no answer would reach the client in time */
    PH_CALL_NO_CONTACT, /* neither the owner nor the store is reached */
} PhCallRefusal;

typedef struct PhCallPath {
    PhCallPathTag tag;
    union {
        struct {
            PhCallRefusal reason;
            PhTime retry_after;
        } refuse;
    } as;
} PhCallPath;

typedef struct PhCallPathInput {
    bool limited;         /* a limit of silence is set */
    bool changes;         /* its effect needs a record in the store */
    bool outcome_unknown; /* it may have had an effect */
    bool owner;           /* this instance owns the jobs */
    bool link_up;         /* the owner can be reached */
    bool
        owner_store_silent; /* the owner has said that it has lost the store */
    bool answered_here;     /* the records read here suffice for an answer */
    PhContactState contact; /* of this instance with the store */
    PhTime left;            /* until the client stops waiting */
} PhCallPathInput;

/* Time that an answer needs to reach the client; a call with less left is not
 * sent. */
PhTime PhCallPath_AnswerTime(void);
PhCallPath PhCallPath_Refuse(PhCallRefusal reason);
PhCallPath PhCallPath_Choose(const PhCallPathInput *input);

#endif
