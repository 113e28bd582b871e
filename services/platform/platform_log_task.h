/* State of the task "log" and what its files share. */
#ifndef PERIDOTHILL_SERVICES_PLATFORM_LOG_TASK_H
#define PERIDOTHILL_SERVICES_PLATFORM_LOG_TASK_H

#include "peridothill/services/platform_log.h"

/* A call that waits for the platform's answer. */
typedef struct PhLogCall {
    uint64_t number;
    PhTaskRef sender;
    PhLogTag tag; /* PH_LOG_APPEND or PH_LOG_READ */
    uint64_t id;
    uint64_t from;
    PhLogMessage answer; /* of an in-process log, until its time has come */
} PhLogCall;

typedef struct PhLogTask {
    PhTask *self;
    PhLogAdapter adapter;
    GHashTable *calls; /* PhLogCall by number */
    uint64_t next_number;
} PhLogTask;

/* Notes a call; it is the task's until it is answered. */
PhLogCall *PhLogTask_AddCall(PhLogTask *log, PhTaskRef sender, PhLogTag tag,
                             uint64_t id, uint64_t from);
/* Sends the answer to the task that called, and forgets the call. */
void PhLogTask_Answer(PhLogTask *log, const PhLogCall *call,
                      const PhLogMessage *answer);

/* platform_log_http.c: the log over HTTP. */
void PhLogHttp_Append(PhLogTask *log, PhTaskRef sender,
                      const PhLogAppend *append);
void PhLogHttp_Read(PhLogTask *log, PhTaskRef sender, const PhLogRead *read);
void PhLogHttp_OnMessage(PhLogTask *log, const PhMessage *message);

/* platform_log_memory.c: the log in this process. */
void PhLogMemory_Append(PhLogTask *log, PhTaskRef sender,
                        const PhLogAppend *append);
void PhLogMemory_Read(PhLogTask *log, PhTaskRef sender, const PhLogRead *read);
void PhLogMemory_OnTimer(PhLogTask *log, uint64_t token);

#endif
