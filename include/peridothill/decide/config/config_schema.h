/* What a valid configuration holds: the known paths, the form of each value,
 * and how values must agree with each other. */
#ifndef PERIDOTHILL_DECIDE_CONFIG_CONFIG_SCHEMA_H
#define PERIDOTHILL_DECIDE_CONFIG_CONFIG_SCHEMA_H

#include "peridothill/decide/config/config_patch.h"

/* Checks the bounds and forms of a patch; INVALID with "<path>: <reason>". */
PhResult PhConfigSchema_CheckPatch(const PhConfigPatch *patch);
/* Checks that the values of a whole state agree. */
PhResult PhConfigSchema_CheckState(const PhConfigState *state);

#endif
