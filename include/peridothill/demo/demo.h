/* The demonstration: both deployments, one after the other. */
#ifndef PERIDOTHILL_DEMO_DEMO_H
#define PERIDOTHILL_DEMO_DEMO_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/* Runs within a minute and prints progress, then one line for each promise.
 * True when all promises held. */
bool PhDemo_Run(uint64_t seed, FILE *out);

#endif
