/* The platform's append-only log: the interface of the task "log". */
#ifndef PERIDOTHILL_SERVICES_PLATFORM_LOG_H
#define PERIDOTHILL_SERVICES_PLATFORM_LOG_H

#include "peridothill/kernel/kernel.h"

/* Records to append to one stream in one call. Strings are owned by the
 * message. */
typedef struct PhLogAppend {
    uint64_t id;
    PhStr stream;
    PhStr *records;
    size_t record_count;
    PhTime deadline;
} PhLogAppend;

/* OK: appended from offset `first`. UNAVAILABLE: not appended. UNKNOWN: may
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
    int64_t appended_ms; /* wall-clock time of the log */
    PhStr body;
} PhLogRecord;

/* OK: records from the requested offset, possibly none. EXPIRED: the offset is
 * past retention and `first` is the earliest one kept. UNAVAILABLE: retry
 * later. */
typedef struct PhLogRecords {
    uint64_t id;
    PhStatus status;
    uint64_t first; /* earliest retained offset */
    uint64_t next;  /* offset of the next read */
    uint64_t end;   /* offset of the next append */
    PhLogRecord *records;
    size_t record_count;
} PhLogRecords;

typedef enum PhLogTag {
    PH_LOG_APPEND,   /* to "log" */
    PH_LOG_READ,     /* to "log" */
    PH_LOG_APPENDED, /* from "log", one per append */
    PH_LOG_RECORDS,  /* from "log", one per read */
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

/* Wraps a message body for the kernel and takes ownership of its contents. */
PhMessage PhLogMessage_Wrap(const PhLogMessage *body);

/* Where the log is: a server reached over HTTP, or an in-process fake for
 * tests. */
typedef enum PhLogAdapterKind {
    PH_LOG_ADAPTER_HTTP,
    PH_LOG_ADAPTER_MEMORY,
} PhLogAdapterKind;

typedef struct PhLogAdapter {
    PhLogAdapterKind kind;
    union {
        PhStr address;
        struct PhFakeLog *memory; /* borrowed, must outlive the task */
    } as;
} PhLogAdapter;

/* Starts the task "log". The adapter is copied. */
PhStatus PhPlatformLog_Start(PhKernel *kernel, const PhLogAdapter *adapter);

#endif
