/* Entries of the owner topic, as msgpack maps.  Unknown fields are ignored. */
#ifndef PERIDOTHILL_CODEC_ELECTION_ENTRY_H
#define PERIDOTHILL_CODEC_ELECTION_ENTRY_H

#include "peridothill/decide/schedule/election.h"

/* `key` is that of the links between the instances, empty for none. */
PhStr PhElectionEntry_Encode(const PhElectionEntry *entry, PhStr key);
/* Releases the strings of a decoded entry. */
void PhElectionEntry_Clear(PhElectionEntry *entry);
/* Sets everything but the offset.  The strings of the entry and the key are
 * owned by the caller.  Returns false, with nothing to release, for a
 * malformed value. */
bool PhElectionEntry_Decode(PhStr value, PhElectionEntry *entry, PhStr *key);

#endif
