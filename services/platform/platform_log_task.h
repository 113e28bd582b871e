/* State of the task "log", shared by its source files. */
#ifndef PERIDOTHILL_SERVICES_PLATFORM_LOG_TASK_H
#define PERIDOTHILL_SERVICES_PLATFORM_LOG_TASK_H

#include "peridothill/services/platform_log.h"

typedef struct PhLogCall {
    uint64_t number;
    PhTaskRef sender;
    PhLogTag tag; /* PH_LOG_APPEND or PH_LOG_READ */
    uint64_t id;
    uint64_t from;
    PhLogMessage answer; /* pending answer of an in-process log */
} PhLogCall;

typedef struct PhLogTask {
    PhTask *self;
    PhLogAdapter adapter;
    GHashTable *calls; /* PhLogCall by number */
    uint64_t next_number;
} PhLogTask;

/* Registers a call. The task owns it until it is answered. */
PhLogCall *PhLogTask_AddCall(PhLogTask *log, PhTaskRef sender, PhLogTag tag,
                             uint64_t id, uint64_t from);
/* Sends the answer to the calling task and frees the call. */
void PhLogTask_Answer(PhLogTask *log, const PhLogCall *call,
                      const PhLogMessage *answer);

/* platform_log_http.c: adapter to a log server over HTTP. */
void PhLogHttp_Append(PhLogTask *log, PhTaskRef sender,
                      const PhLogAppend *append);
void PhLogHttp_Read(PhLogTask *log, PhTaskRef sender, const PhLogRead *read);
void PhLogHttp_OnMessage(PhLogTask *log, const PhMessage *message);

/* platform_log_memory.c: adapter to an in-process fake. */
void PhLogMemory_Append(PhLogTask *log, PhTaskRef sender,
                        const PhLogAppend *append);
void PhLogMemory_Read(PhLogTask *log, PhTaskRef sender, const PhLogRead *read);
void PhLogMemory_OnTimer(PhLogTask *log, uint64_t token);

#endif
