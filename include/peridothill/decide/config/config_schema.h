/* Schema of the configuration: known paths, the form of each value, and
 * constraints between values. */
#ifndef PERIDOTHILL_DECIDE_CONFIG_CONFIG_SCHEMA_H
#define PERIDOTHILL_DECIDE_CONFIG_CONFIG_SCHEMA_H

#include "peridothill/decide/config/config_patch.h"

/* Checks a patch by itself; INVALID with "<path>: <reason>". */
PhResult PhConfigSchema_CheckPatch(const PhConfigPatch *patch);
/* Checks the constraints between the values of a state. */
PhResult PhConfigSchema_CheckState(const PhConfigState *state);

#endif
