/* The platform's eventually consistent list of workers and entry instances:
 * the interface of the task "list", which polls it. */
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

/* One row of the list. Strings are owned by the reading. */
typedef struct PhListEntry {
    PhStr id;
    PhListRole role;
    PhListState state;
    PhStr data_centre;
    PhStr rack;
    PhStr address;  /* IP address and port, for requests and, on a worker,
                       commands */
    PhStr services; /* services of a worker, separated by spaces */
    uint32_t slots;
    uint32_t connections;
    uint32_t cpu_milli; /* thousandths of a CPU */
    uint32_t memory_mb;
    uint32_t accelerators;
} PhListEntry;

typedef enum PhListTag {
    PH_LIST_SUBSCRIBE, /* to "list": send every new reading */
    PH_LIST_READING,   /* from "list" */
    PH_LIST_UNCHANGED, /* from "list": the last OK reading is still valid */
} PhListTag;

/* A reading that was received at `read_at`. `status` is UNAVAILABLE, without
 * entries, if the platform did not answer. */
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

/* Wraps a message body for the kernel and takes ownership of its contents. */
PhMessage PhListMessage_Wrap(const PhListMessage *body);
/* Deep copy; free with PhListReading_Clear(). */
PhListReading PhListReading_Copy(const PhListReading *reading);
void PhListReading_Clear(PhListReading *reading);

typedef struct PhListOptions {
    PhStr address;
    PhTime poll_interval;
} PhListOptions;

PhStatus PhPlatformList_Start(PhKernel *kernel, const PhListOptions *options);

#endif
