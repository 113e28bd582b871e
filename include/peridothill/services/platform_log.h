/* The platform's append-only log: the interface of the task "log". */
#ifndef PERIDOTHILL_SERVICES_PLATFORM_LOG_H
#define PERIDOTHILL_SERVICES_PLATFORM_LOG_H

#include "peridothill/kernel/kernel.h"

/* Records to append to one stream, in one call; strings owned. */
typedef struct PhLogAppend {
    uint64_t id;
    PhStr stream;
    PhStr *records;
    size_t record_count;
    PhTime deadline;
} PhLogAppend;

/* OK: appended from offset `first`.  UNAVAILABLE: not appended.  UNKNOWN: may
 * have been appended. */
typedef struct PhLogAppended {
    uint64_t id;
    PhStatus status;
    uint64_t first;
} PhLogAppended;

typedef struct PhLogRead {
    uint64_t id;
    PhStr stream;
    uint64_t from;
    size_t limit;
    PhTime deadline;
} PhLogRead;

typedef struct PhLogRecord {
    uint64_t offset;
    int64_t appended_ms; /* the log's wall time */
    PhStr body;
} PhLogRecord;

/* OK: records from the offset asked for, possibly none.  EXPIRED: retention
 * has passed it, `first` is the earliest kept.  UNAVAILABLE: ask later. */
typedef struct PhLogRecords {
    uint64_t id;
    PhStatus status;
    uint64_t first; /* earliest offset that the log keeps */
    uint64_t next;  /* offset to read from next */
    uint64_t end;   /* offset that the next append gets */
    PhLogRecord *records;
    size_t record_count;
} PhLogRecords;

typedef enum PhLogTag {
    PH_LOG_APPEND,   /* to "log" */
    PH_LOG_READ,     /* to "log" */
    PH_LOG_APPENDED, /* from "log", one for each append */
    PH_LOG_RECORDS,  /* from "log", one for each read */
} PhLogTag;

typedef struct PhLogMessage {
    PhLogTag tag;
    union {
        PhLogAppend append;
        PhLogRead read;
        PhLogAppended appended;
        PhLogRecords records;
    } as;
} PhLogMessage;

/* Wraps a message body for the kernel; takes over what it owns. */
PhMessage PhLogMessage_Wrap(const PhLogMessage *body);

/* Where the log is: over HTTP, or the in-process stand-in of tests. */
typedef enum PhLogAdapterKind {
    PH_LOG_ADAPTER_HTTP,
    PH_LOG_ADAPTER_MEMORY,
} PhLogAdapterKind;

typedef struct PhLogAdapter {
    PhLogAdapterKind kind;
    union {
        PhStr address;
        struct PhFakeLog *memory; /* outlives the task */
    } as;
} PhLogAdapter;

/* Starts the task "log"; the adapter is copied. */
PhStatus PhPlatformLog_Start(PhKernel *kernel, const PhLogAdapter *adapter);

#endif
