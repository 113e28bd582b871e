/* One version of the configuration: an immutable, reference-counted map from
 * paths such as "services.quote.class" to values. */
#ifndef PERIDOTHILL_DECIDE_CONFIG_CONFIG_STATE_H
#define PERIDOTHILL_DECIDE_CONFIG_CONFIG_STATE_H

#include "peridothill/common/status.h"
#include "peridothill/common/str.h"

typedef struct PhConfigState PhConfigState;

typedef enum PhConfigChangeKind {
    PH_CONFIG_CHANGE_SET,
    PH_CONFIG_CHANGE_DELETE,
} PhConfigChangeKind;

/* One change of a patch; `value` is empty for a deletion. */
typedef struct PhConfigChange {
    PhConfigChangeKind kind;
    PhStr path;
    PhStr value;
} PhConfigChange;

/* One path with its value, and the version that last set it. */
typedef struct PhConfigEntry {
    PhStr path;
    PhStr value;
    uint64_t changed;
} PhConfigEntry;

/* Version 0, with no entries. */
PhConfigState *PhConfigState_CreateEmpty(void);
/* Copies the entries, which must be in ascending order of path. */
PhConfigState *PhConfigState_Create(uint64_t version,
                                    const PhConfigEntry *entries,
                                    size_t count);
/* New state `version` with the changes applied; the base is not modified. */
PhConfigState *PhConfigState_Apply(const PhConfigState *base, uint64_t version,
                                   const PhConfigChange *changes,
                                   size_t count);
PhConfigState *PhConfigState_Ref(PhConfigState *state);
void PhConfigState_Unref(PhConfigState *state);

uint64_t PhConfigState_Version(const PhConfigState *state);
/* Hash of the version and all entries; equal on every instance. */
uint64_t PhConfigState_Digest(const PhConfigState *state);
size_t PhConfigState_Count(const PhConfigState *state);
/* Entry at an index in ascending order of path; borrowed. */
const PhConfigEntry *PhConfigState_At(const PhConfigState *state,
                                      size_t index);
/* NULL if the path is not set; borrowed. */
const PhConfigEntry *PhConfigState_Find(const PhConfigState *state,
                                        PhStr path);
/* Array of PhConfigChange that turns `from` into `to`, in order of path.
 * Strings are borrowed from `to`, or from `from` for deletions. */
GArray *PhConfigState_Diff(const PhConfigState *from, const PhConfigState *to);

/* False if the path is not set; the value is borrowed. */
bool PhConfig_Get(const PhConfigState *state, PhStr path, PhStr *value);
/* Typed getters; return `fallback` if the value is missing or does not
 * parse. */
PhStr PhConfig_GetStr(const PhConfigState *state, PhStr path, PhStr fallback);
uint64_t PhConfig_GetU64(const PhConfigState *state, PhStr path,
                         uint64_t fallback);
/* The same for the path "<parent>.<name>.<key>". */
PhStr PhConfig_ChildStr(const PhConfigState *state, PhStr parent, PhStr name,
                        PhStr key, PhStr fallback);
uint64_t PhConfig_ChildU64(const PhConfigState *state, PhStr parent,
                           PhStr name, PhStr key, uint64_t fallback);

/* Iterates the names below a prefix that ends in a dot: "services." yields the
 * name of each service once, in ascending order. */
typedef struct PhConfigNames {
    const PhConfigState *state;
    PhStr prefix;
    size_t index;
} PhConfigNames;

PhConfigNames PhConfigNames_Start(const PhConfigState *state, PhStr prefix);
/* The next name, borrowed from the state; false at the end. */
bool PhConfigNames_Next(PhConfigNames *names, PhStr *name);

#endif
