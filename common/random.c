#include "peridothill/common/random.h"

#include <glib.h>
#include <math.h>

struct PhRandom {
    GRand *source;
};

PhRandom *
PhRandom_Create(uint64_t seed)
{
    PhRandom *random = g_new(PhRandom, 1);
    guint32 words[2] = {(guint32)seed, (guint32)(seed >> 32)};
    random->source = g_rand_new_with_seed_array(words, G_N_ELEMENTS(words));
    return random;
}

void
PhRandom_Destroy(PhRandom *random)
{
    if (random == NULL) {
        return;
    }
    g_rand_free(random->source);
    g_free(random);
}

uint64_t
PhRandom_U64(PhRandom *random)
{
    uint64_t high = g_rand_int(random->source);
    return (high << 32) | g_rand_int(random->source);
}

/* Multiply-shift instead of a modulo; its bias is below bound / 2^64. */
uint64_t
PhRandom_Below(PhRandom *random, uint64_t bound)
{
    unsigned __int128 product =
        (unsigned __int128)PhRandom_U64(random) * bound;
    return (uint64_t)(product >> 64);
}

/* A double holds 53 random bits exactly. */
double
PhRandom_Unit(PhRandom *random)
{
    return (double)(PhRandom_U64(random) >> 11) * 0x1.0p-53;
}

bool
PhRandom_Chance(PhRandom *random, double probability)
{
    return PhRandom_Unit(random) < probability;
}

double
PhRandom_Exponential(PhRandom *random, double mean)
{
    return -mean * log1p(-PhRandom_Unit(random));
}
