/* JSON of the records of the configuration: patches, in the log and from
 * operators, and snapshots. */
#ifndef PERIDOTHILL_CODEC_CONFIG_RECORD_H
#define PERIDOTHILL_CODEC_CONFIG_RECORD_H

#include <jansson.h>

#include "peridothill/decide/config/config_ledger.h"

enum {
    PH_CONFIG_SNAPSHOT_BYTES = 16 * 1024 * 1024
};

/* Makes the JSON of one change, as patches have it. */
json_t *PhConfigChange_ToJson(const PhConfigChange *change);
/* Encodes as JSON that the caller owns. */
PhStr PhConfigPatch_Encode(const PhConfigPatch *patch);
/* Decodes a patch that then owns its strings; INVALID or TOO_LARGE leaves it
 * empty.  Unknown members are ignored. */
PhResult PhConfigPatch_Decode(PhStr body, PhConfigPatch *patch);

PhStr PhConfigSnapshot_Encode(const PhConfigSnapshot *snapshot);
/* Decodes a snapshot and checks it against its digest. */
PhResult PhConfigSnapshot_Decode(PhStr body, PhConfigSnapshot **snapshot);

#endif
