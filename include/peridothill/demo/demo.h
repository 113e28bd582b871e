/* The demonstration: runs both deployments, one after the other. */
#ifndef PERIDOTHILL_DEMO_DEMO_H
#define PERIDOTHILL_DEMO_DEMO_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/* Takes about a minute.  Prints progress, then one line per guarantee; returns
 * true if all guarantees held. */
bool PhDemo_Run(uint64_t seed, FILE *out);

#endif
