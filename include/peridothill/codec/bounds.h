/* A bound for msgpack from outside: the library allocates a container by the
 * count in its head, before it has seen the elements. */
#ifndef PERIDOTHILL_CODEC_BOUNDS_H
#define PERIDOTHILL_CODEC_BOUNDS_H

#include "peridothill/common/str.h"

/* Tells whether the bytes hold exactly one value whose counts and lengths all
 * fit the bytes that are there. */
bool PhMsgpack_IsBounded(PhStr bytes);

#endif
