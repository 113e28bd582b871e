/* Numbered log events.  Each area keeps its own list of
 * PH_EVENT(number, identifier, level, "text") rows. */
#ifndef PERIDOTHILL_COMMON_EVENT_H
#define PERIDOTHILL_COMMON_EVENT_H

typedef enum PhLevel {
    PH_LEVEL_DEBUG,
    PH_LEVEL_INFO,
    PH_LEVEL_WARNING,
    PH_LEVEL_ERROR,
} PhLevel;

/* Identifies an event by its number in the catalogue. */
typedef enum PhEventId {
#define PH_EVENT(NUMBER, NAME, LEVEL, TEXT) PH_EVENT_##NAME = (NUMBER),
#include "peridothill/common/event_list.h"
#undef PH_EVENT
} PhEventId;

/* One row of the catalogue. */
typedef struct PhEventInfo {
    PhEventId id;
    PhLevel level;
    const char *name;
    const char *text;
} PhEventInfo;

const PhEventInfo *PhEvent_Find(PhEventId id);
const PhEventInfo *PhEvent_List(int *count);
const char *PhLevel_Name(PhLevel level);

#endif
