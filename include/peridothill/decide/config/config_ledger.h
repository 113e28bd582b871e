/* Deterministic state machine that turns the records of the log into versions.
 * Every instance applies the same records in the same order and so reaches the
 * same versions and verdicts without an agreement protocol. */
#ifndef PERIDOTHILL_DECIDE_CONFIG_CONFIG_LEDGER_H
#define PERIDOTHILL_DECIDE_CONFIG_CONFIG_LEDGER_H

#include "peridothill/decide/config/config_patch.h"

enum {
    /* Window in records for which patch ids are kept and a base is valid. */
    PH_CONFIG_WINDOW_RECORDS = 2048,
    /* Past versions that can be read. */
    PH_CONFIG_PAST_VERSIONS = 64,
};

/* The offset of the record that made a version. */
typedef struct PhConfigVersionOffset {
    uint64_t version;
    uint64_t offset;
} PhConfigVersionOffset;

/* A deleted path and the version that deleted it. */
typedef struct PhConfigTombstone {
    PhStr path;
    uint64_t version;
} PhConfigTombstone;

/* State of the ledger before the record at offset `covers`. Immutable and
 * reference-counted; owns what it points to. */
typedef struct PhConfigSnapshot {
    uint32_t references;
    uint64_t covers;
    PhConfigState *state;
    GArray *marks;       /* PhConfigVersionOffset, ascending */
    GArray *tombstones;  /* PhConfigTombstone in order of path */
    GPtrArray *verdicts; /* PhConfigVerdict by offset */
} PhConfigSnapshot;

/* Takes ownership of the state reference; the lists start empty. */
PhConfigSnapshot *PhConfigSnapshot_Create(uint64_t covers,
                                          PhConfigState *state);
PhConfigSnapshot *PhConfigSnapshot_Ref(PhConfigSnapshot *snapshot);
void PhConfigSnapshot_Unref(PhConfigSnapshot *snapshot);

typedef struct PhConfigLedger PhConfigLedger;

/* Starts at version 0 and offset 0. */
PhConfigLedger *PhConfigLedger_Create(void);
PhConfigLedger *PhConfigLedger_Restore(const PhConfigSnapshot *snapshot);
void PhConfigLedger_Destroy(PhConfigLedger *ledger);
/* Applies the record at offset PhConfigLedger_Next and returns its verdict,
 * borrowed until the next call; NULL if the record is unreadable or its id was
 * decided before. */
const PhConfigVerdict *PhConfigLedger_Apply(PhConfigLedger *ledger,
                                            const PhConfigRecord *record);
uint64_t PhConfigLedger_Next(const PhConfigLedger *ledger);
/* The state in force; borrowed. */
PhConfigState *PhConfigLedger_State(const PhConfigLedger *ledger);
/* A version that is still held, or NULL; borrowed. */
PhConfigState *PhConfigLedger_StateAt(const PhConfigLedger *ledger,
                                      uint64_t version);
/* The verdict on a patch id, or NULL; borrowed. */
const PhConfigVerdict *PhConfigLedger_Find(const PhConfigLedger *ledger,
                                           PhStr id);
/* Verdicts within the window, by offset; borrowed. */
const GQueue *PhConfigLedger_Verdicts(const PhConfigLedger *ledger);
PhConfigSnapshot *PhConfigLedger_Snapshot(const PhConfigLedger *ledger);

#endif
