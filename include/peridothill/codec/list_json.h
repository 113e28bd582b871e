/* The platform's list in JSON: {"entries": [{"id", "role", "state",
 * "data_centre", "rack", "address", "services", "slots", "connections",
 * "cpu_milli", "memory_mb", "accelerators"}]}. */
#ifndef PERIDOTHILL_CODEC_LIST_JSON_H
#define PERIDOTHILL_CODEC_LIST_JSON_H

#include "peridothill/services/platform_list.h"

/* Decodes a list; entries with an unknown role or state are left out. */
PhResult PhListJson_Decode(PhStr text, PhListReading *reading);
/* Encodes a list; the text is owned by the caller. */
PhStr PhListJson_Encode(const PhListReading *reading);

#endif
