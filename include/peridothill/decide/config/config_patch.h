/* Patches, the log records that carry them, and the verdicts on them. */
#ifndef PERIDOTHILL_DECIDE_CONFIG_CONFIG_PATCH_H
#define PERIDOTHILL_DECIDE_CONFIG_CONFIG_PATCH_H

#include "peridothill/decide/config/config_state.h"

enum {
    PH_CONFIG_ID_BYTES = 64,
    PH_CONFIG_AUTHOR_BYTES = 64,
    PH_CONFIG_PATH_BYTES = 200,
    PH_CONFIG_VALUE_BYTES = 4096,
    PH_CONFIG_PATCH_CHANGES = 256,
    PH_CONFIG_RECORD_BYTES = 32 * 1024,
};

/* A set of changes against a base version. */
typedef struct PhConfigPatch {
    PhStr id;
    PhStr author;
    uint64_t base;
    bool strict; /* conflict unless the base is in force */
    PhConfigChange *changes;
    size_t change_count;
} PhConfigPatch;

PhConfigPatch PhConfigPatch_Copy(const PhConfigPatch *patch);
/* Appends a change; the strings are copied. */
void PhConfigPatch_Add(PhConfigPatch *patch, PhConfigChangeKind kind,
                       PhStr path, PhStr value);
/* Releases a patch that owns its strings. */
void PhConfigPatch_Clear(PhConfigPatch *patch);

typedef enum PhConfigRecordKind {
    PH_CONFIG_RECORD_PATCH,
    PH_CONFIG_RECORD_UNREADABLE, /* cannot be decoded; skipped */
} PhConfigRecordKind;

/* One record of the log.  Immutable, reference-counted, owns its patch. */
typedef struct PhConfigRecord {
    uint32_t references;
    uint64_t offset;
    int64_t appended_ms; /* wall clock of the log */
    PhConfigRecordKind kind;
    PhConfigPatch patch;
} PhConfigRecord;

/* Moves the contents out of `patch`; NULL for an unreadable record. */
PhConfigRecord *PhConfigRecord_Create(uint64_t offset, int64_t appended_ms,
                                      PhConfigPatch *patch);
PhConfigRecord *PhConfigRecord_Ref(PhConfigRecord *record);
void PhConfigRecord_Unref(PhConfigRecord *record);

/* Decision on one patch; owns its strings. */
typedef struct PhConfigVerdict {
    PhStr id;
    PhStr author;
    PhStatus status;  /* OK: accepted */
    PhStr reason;     /* empty if accepted */
    uint64_t version; /* in force after the decision */
    uint64_t offset;
    int64_t appended_ms;
} PhConfigVerdict;

PhConfigVerdict *PhConfigVerdict_Copy(const PhConfigVerdict *verdict);
void PhConfigVerdict_Destroy(gpointer verdict);

#endif
