/* Length check for untrusted msgpack.  The library allocates a container by
 * the count in its header before it reads the elements, so a few bytes could
 * request gigabytes. */
#ifndef PERIDOTHILL_CODEC_MSGPACK_LENGTHS_H
#define PERIDOTHILL_CODEC_MSGPACK_LENGTHS_H

#include "peridothill/common/str.h"

/* Returns true if the bytes hold exactly one value and no count or length
 * inside exceeds the bytes that follow it. */
bool PhMsgpack_HasValidLengths(PhStr bytes);

#endif
