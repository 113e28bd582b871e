#include "peridothill/common/event.h"

#include <glib.h>

static const PhEventInfo catalogue[] = {
#define PH_EVENT(NUMBER, NAME, LEVEL, TEXT)                                   \
    {.id = PH_EVENT_##NAME,                                                   \
     .level = PH_LEVEL_##LEVEL,                                               \
     .name = #NAME,                                                           \
     .text = (TEXT)},
#include "peridothill/common/event_list.h"
#undef PH_EVENT
};

const PhEventInfo *
PhEvent_Find(PhEventId id)
{
    for (size_t i = 0; i < G_N_ELEMENTS(catalogue); i++) {
        if (catalogue[i].id == id) {
            return &catalogue[i];
        }
    }
    return NULL;
}

const PhEventInfo *
PhEvent_List(int *count)
{
    *count = (int)G_N_ELEMENTS(catalogue);
    return catalogue;
}

const char *
PhLevel_Name(PhLevel level)
{
    switch (level) {
    case PH_LEVEL_DEBUG:
        return "debug";
    case PH_LEVEL_INFO:
        return "info";
    case PH_LEVEL_WARNING:
        return "warning";
    case PH_LEVEL_ERROR:
        return "error";
    }
    return "?";
}
