/* Seeded pseudo-random numbers: the same seed yields the same sequence.  Not
 * for secrets. */
#ifndef PERIDOTHILL_COMMON_RANDOM_H
#define PERIDOTHILL_COMMON_RANDOM_H

#include <stdbool.h>
#include <stdint.h>

typedef struct PhRandom PhRandom;

PhRandom *PhRandom_Create(uint64_t seed);
void PhRandom_Destroy(PhRandom *random);
uint64_t PhRandom_U64(PhRandom *random);
/* Uniform in [0, bound); bound is at least 1. */
uint64_t PhRandom_Below(PhRandom *random, uint64_t bound);
/* Uniform in [0, 1). */
double PhRandom_Unit(PhRandom *random);
/* Returns true with the given probability. */
bool PhRandom_Chance(PhRandom *random, double probability);
/* Exponentially distributed with the given mean. */
double PhRandom_Exponential(PhRandom *random, double mean);

#endif
