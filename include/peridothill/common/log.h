/* A small logger: one line for each numbered event, as logfmt or JSON. */
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

/* A typed key and value of an event. */
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

/* Writes to `sink`, which stays the caller's.  A NULL log discards.  A sink
 * with a descriptor is written to directly: when the descriptor does not
 * block, lines wait in a bounded buffer.  Each event has a bounded rate; the
 * next line tells how many were left out. */
PhLog *PhLog_Create(FILE *sink, PhLogFormat format, PhLevel min_level);
void PhLog_Destroy(PhLog *log);
/* Change what is written from now on. */
void PhLog_SetLevel(PhLog *log, PhLevel min_level);
void PhLog_SetFormat(PhLog *log, PhLogFormat format);
/* Adds the wall time to each line: the time of a line plus `offset`. */
void PhLog_SetWall(PhLog *log, PhTime offset);
/* Writes one event at time `now` of the named task. */
void PhLog_Write(PhLog *log, PhEventId id, PhStr task, PhTime now,
                 const PhField *fields, size_t count);

/* Writes an event with at least one field. */
#define PhLog_EMIT(LOG, ID, TASK, NOW, ...)                                   \
    PhLog_Write((LOG), (ID), (TASK), (NOW), (const PhField[]){__VA_ARGS__},   \
                sizeof((const PhField[]){__VA_ARGS__}) / sizeof(PhField))

#endif
