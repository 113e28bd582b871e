/* The platform's lagging list of workers and entry instances: the interface of
 * the task "list", which polls it. */
#ifndef PERIDOTHILL_SERVICES_PLATFORM_LIST_H
#define PERIDOTHILL_SERVICES_PLATFORM_LIST_H

#include "peridothill/kernel/kernel.h"

typedef enum PhListRole {
    PH_LIST_WORKER,
    PH_LIST_ENTRY,
} PhListRole;

typedef enum PhListState {
    PH_LIST_LIVE,
    PH_LIST_LEAVING,
} PhListState;

/* One row of the list; strings owned by the list. */
typedef struct PhListEntry {
    PhStr id;
    PhListRole role;
    PhListState state;
    PhStr data_centre;
    PhStr rack;
    PhStr address; /* IP number and port: requests, and commands of a worker */
    PhStr services; /* of a worker: names it serves, separated by spaces */
    uint32_t slots;
    uint32_t connections;
    uint32_t cpu_milli; /* thousandths of a processor */
    uint32_t memory_mb;
    uint32_t accelerators;
} PhListEntry;

typedef enum PhListTag {
    PH_LIST_SUBSCRIBE, /* to "list": send every new reading */
    PH_LIST_READING,   /* from "list" */
    PH_LIST_UNCHANGED, /* from "list": the last OK reading still stands */
} PhListTag;

/* A reading that arrived at `read_at`; `status` is UNAVAILABLE, with no
 * entries, when the platform did not answer. */
typedef struct PhListReading {
    PhStatus status;
    PhTime read_at;
    PhListEntry *entries;
    size_t entry_count;
} PhListReading;

typedef struct PhListMessage {
    PhListTag tag;
    union {
        PhListReading reading;
    } as;
} PhListMessage;

/* Wraps a message body for the kernel; takes over what it owns. */
PhMessage PhListMessage_Wrap(const PhListMessage *body);
/* Copies a reading with its strings. */
PhListReading PhListReading_Copy(const PhListReading *reading);
void PhListReading_Clear(PhListReading *reading);

typedef struct PhListOptions {
    PhStr address;
    PhTime poll_interval;
} PhListOptions;

/* Starts the task "list". */
PhStatus PhPlatformList_Start(PhKernel *kernel, const PhListOptions *options);

#endif
