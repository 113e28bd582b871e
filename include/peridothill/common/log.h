/* Structured logger: one line per numbered event, as logfmt or JSON. */
#ifndef PERIDOTHILL_COMMON_LOG_H
#define PERIDOTHILL_COMMON_LOG_H

#include <stdio.h>

#include "peridothill/common/event.h"
#include "peridothill/common/str.h"
#include "peridothill/common/time.h"

typedef enum PhLogFormat {
    PH_LOG_FORMAT_LOGFMT,
    PH_LOG_FORMAT_JSON,
} PhLogFormat;

typedef enum PhFieldKind {
    PH_FIELD_STR,
    PH_FIELD_I64,
    PH_FIELD_U64,
    PH_FIELD_F64,
} PhFieldKind;

/* A key and typed value of an event. */
typedef struct PhField {
    const char *key;
    PhFieldKind kind;
    union {
        PhStr str;
        int64_t i64;
        uint64_t u64;
        double f64;
    } value;
} PhField;

#define PhField_STR(KEY, V)                                                   \
    ((PhField){.key = (KEY), .kind = PH_FIELD_STR, .value.str = (V)})
#define PhField_I64(KEY, V)                                                   \
    ((PhField){.key = (KEY), .kind = PH_FIELD_I64, .value.i64 = (V)})
#define PhField_U64(KEY, V)                                                   \
    ((PhField){.key = (KEY), .kind = PH_FIELD_U64, .value.u64 = (V)})
#define PhField_F64(KEY, V)                                                   \
    ((PhField){.key = (KEY), .kind = PH_FIELD_F64, .value.f64 = (V)})

typedef struct PhLog PhLog;

/* Logs events of at least `min_level` to `sink`, which is borrowed and stays
 * open.  A sink with a file descriptor is written to directly; if that is
 * non-blocking, lines wait in a bounded buffer and are dropped when it is
 * full.  Events are rate-limited by number, except errors; suppressed and
 * dropped lines are counted in a later line. */
PhLog *PhLog_Create(FILE *sink, PhLogFormat format, PhLevel min_level);
void PhLog_Destroy(PhLog *log);
void PhLog_SetLevel(PhLog *log, PhLevel min_level);
void PhLog_SetFormat(PhLog *log, PhLogFormat format);
/* Adds the wall time, `now` of the line plus `offset`, to each line; 0 leaves
 * it out. */
void PhLog_SetWallOffset(PhLog *log, PhTime offset);
/* Logs one event of the task at time `now`; does nothing if `log` is NULL. */
void PhLog_Write(PhLog *log, PhEventId id, PhStr task, PhTime now,
                 const PhField *fields, size_t count);

/* Logs an event with at least one field. */
#define PhLog_EMIT(LOG, ID, TASK, NOW, ...)                                   \
    PhLog_Write((LOG), (ID), (TASK), (NOW), (const PhField[]){__VA_ARGS__},   \
                sizeof((const PhField[]){__VA_ARGS__}) / sizeof(PhField))

#endif
