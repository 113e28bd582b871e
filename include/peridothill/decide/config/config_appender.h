/* Queue of patches that are to be appended to the log.  After an outage the
 * instances share a bounded append rate and each starts at a random time, so
 * that draining their queues does not overload the log. */
#ifndef PERIDOTHILL_DECIDE_CONFIG_CONFIG_APPENDER_H
#define PERIDOTHILL_DECIDE_CONFIG_CONFIG_APPENDER_H

#include "peridothill/common/random.h"
#include "peridothill/common/time.h"
#include "peridothill/decide/config/config_patch.h"

typedef struct PhConfigAppenderOptions {
    PhRandom *random;
    uint32_t appends_per_second; /* shared by all instances */
    size_t queue_limit;          /* unanswered patches at this instance */
} PhConfigAppenderOptions;

typedef enum PhAppendEventKind {
    PH_APPEND_EVENT_TICK,
    PH_APPEND_EVENT_SUBMIT,
    PH_APPEND_EVENT_APPENDED,      /* result of an APPEND */
    PH_APPEND_EVENT_DECIDED,       /* a verdict on a patch was reached */
    PH_APPEND_EVENT_LOG_AVAILABLE, /* the log answered this instance or a peer
                                    */
    PH_APPEND_EVENT_INSTANCES, /* number of instances that share the rate */
} PhAppendEventKind;

/* An event; everything it points to is borrowed. */
typedef struct PhAppendEvent {
    PhAppendEventKind kind;
    union {
        struct {
            uint64_t request;
            const PhConfigPatch *patch;
            PhTime deadline;
        } submit;
        PhStatus appended; /* UNKNOWN: maybe done; others but OK: not done */
        const PhConfigVerdict *decided;
        size_t instances;
    } as;
} PhAppendEvent;

typedef enum PhAppendActionKind {
    PH_APPEND_ACTION_APPEND,
    PH_APPEND_ACTION_ANSWER,
} PhAppendActionKind;

/* An action; it owns what it points to. */
typedef struct PhAppendAction {
    PhAppendActionKind kind;
    union {
        struct {
            PhConfigPatch *patches;
            size_t count;
        } append;
        struct {
            uint64_t request;
            PhStr id;
            PhResult result;
            uint64_t version;
        } answer;
    } as;
} PhAppendAction;

/* Creates an empty list of PhAppendAction; released with g_array_free. */
GArray *PhAppendActions_Create(void);

typedef struct PhConfigAppender PhConfigAppender;

PhConfigAppender *
PhConfigAppender_Create(const PhConfigAppenderOptions *options);
void PhConfigAppender_Destroy(PhConfigAppender *appender);
void PhConfigAppender_Handle(PhConfigAppender *appender, PhTime now,
                             const PhAppendEvent *event, GArray *actions);
/* When the next TICK is due. */
PhTime PhConfigAppender_NextTick(const PhConfigAppender *appender);
/* Number of patches that have no answer yet. */
size_t PhConfigAppender_PendingCount(const PhConfigAppender *appender);

#endif
