/* JSON format of configuration records: patches (in the log and from
 * operators) and snapshots. */
#ifndef PERIDOTHILL_CODEC_CONFIG_RECORD_H
#define PERIDOTHILL_CODEC_CONFIG_RECORD_H

#include <jansson.h>

#include "peridothill/decide/config/config_ledger.h"

enum {
    PH_CONFIG_SNAPSHOT_BYTES = 16 * 1024 * 1024
};

/* JSON of one change in the form that patches use. */
json_t *PhConfigChange_ToJson(const PhConfigChange *change);
/* The caller owns the result. */
PhStr PhConfigPatch_Encode(const PhConfigPatch *patch);
/* Decodes a patch, which then owns its strings; INVALID or TOO_LARGE leaves it
 * empty.  Unknown members are ignored. */
PhResult PhConfigPatch_Decode(PhStr body, PhConfigPatch *patch);

PhStr PhConfigSnapshot_Encode(const PhConfigSnapshot *snapshot);
/* Decodes a snapshot and verifies its digest.  INVALID or TOO_LARGE sets
 * `snapshot` to NULL. */
PhResult PhConfigSnapshot_Decode(PhStr body, PhConfigSnapshot **snapshot);

#endif
