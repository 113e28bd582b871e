/* JSON encoding of the platform list: {"entries": [{"id", "role", "state",
 * "data_centre", "rack", "address", "services", "slots", "connections",
 * "cpu_milli", "memory_mb", "accelerators"}]}. */
#ifndef PERIDOTHILL_CODEC_LIST_JSON_H
#define PERIDOTHILL_CODEC_LIST_JSON_H

#include "peridothill/services/platform_list.h"

/* Decodes a list. Entries without an id or with an unknown role or state are
 * skipped. */
PhResult PhListJson_Decode(PhStr text, PhListReading *reading);
/* The caller owns the result. */
PhStr PhListJson_Encode(const PhListReading *reading);

#endif
