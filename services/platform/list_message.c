#include "peridothill/services/interface.h"
#include "peridothill/services/platform_list.h"

static void
message_release(void *body)
{
    PhListMessage *m = body;
    switch (m->tag) {
    case PH_LIST_SUBSCRIBE:
    case PH_LIST_UNCHANGED:
        break;
    case PH_LIST_READING:
        PhListReading_Clear(&m->as.reading);
        break;
    }
    g_free(m);
}

PhMessage
PhListMessage_Wrap(const PhListMessage *body)
{
    return PhMessage_Copy(PH_INTERFACE_LIST, body, sizeof(*body),
                          message_release);
}

PhListReading
PhListReading_Copy(const PhListReading *reading)
{
    PhListReading copy = *reading;
    copy.entries = g_new(PhListEntry, reading->entry_count);
    for (size_t i = 0; i < reading->entry_count; i++) {
        PhListEntry *e = &copy.entries[i];
        *e = reading->entries[i];
        e->id = PhStr_Dup(e->id);
        e->data_centre = PhStr_Dup(e->data_centre);
        e->rack = PhStr_Dup(e->rack);
        e->address = PhStr_Dup(e->address);
        e->services = PhStr_Dup(e->services);
    }
    return copy;
}

void
PhListReading_Clear(PhListReading *reading)
{
    for (size_t i = 0; i < reading->entry_count; i++) {
        PhListEntry *e = &reading->entries[i];
        PhStr_Clear(&e->id);
        PhStr_Clear(&e->data_centre);
        PhStr_Clear(&e->rack);
        PhStr_Clear(&e->address);
        PhStr_Clear(&e->services);
    }
    g_free(reading->entries);
    *reading = (PhListReading){0};
}
