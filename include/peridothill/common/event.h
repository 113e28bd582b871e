/* Numbered log events.  The lists hold PH_EVENT(number, identifier, level,
 * "text") rows; numbers and identifiers are stable. */
#ifndef PERIDOTHILL_COMMON_EVENT_H
#define PERIDOTHILL_COMMON_EVENT_H

typedef enum PhLevel {
    PH_LEVEL_DEBUG,
    PH_LEVEL_INFO,
    PH_LEVEL_WARNING,
    PH_LEVEL_ERROR,
} PhLevel;

typedef enum PhEventId {
#define PH_EVENT(NUMBER, NAME, LEVEL, TEXT) PH_EVENT_##NAME = (NUMBER),
#include "peridothill/common/event_list.h"
#undef PH_EVENT
} PhEventId;

typedef struct PhEventInfo {
    PhEventId id;
    PhLevel level;
    const char *name;
    const char *text;
} PhEventInfo;

/* Returns NULL if no event has the number. */
const PhEventInfo *PhEvent_Find(PhEventId id);
/* Returns all events, in the order of the lists. */
const PhEventInfo *PhEvent_List(int *count);
const char *PhLevel_Name(PhLevel level);

#endif
