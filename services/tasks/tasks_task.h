#ifndef PERIDOTHILL_SERVICES_TASKS_TASK_H
#define PERIDOTHILL_SERVICES_TASKS_TASK_H

#include "peridothill/decide/tasks/job_engine.h"
#include "peridothill/services/config.h"
#include "peridothill/services/interface.h"
#include "peridothill/services/members.h"
#include "peridothill/services/platform_list.h"
#include "peridothill/services/platform_log.h"
#include "peridothill/services/tasks.h"
#include "peridothill/services/worker.h"

/* A submit or cancel that the engine has not answered yet. */
typedef struct PhTasksCall {
    uint64_t token;
    PhTaskRef sender;
    uint64_t id;
} PhTasksCall;

typedef struct PhTasksTask {
    PhTask *self;
    PhTasksOptions options;
    PhStr stream;
    PhJobEngine *engine;
    GHashTable *addresses; /* PhStr worker to PhStr address */
    PhListReading reading; /* last one with status OK */
    GHashTable *calls;     /* PhTasksCall by token */
    uint64_t next_token;
    bool attached_config;
    bool attached_list;
    bool attached_members;
    bool stopping;
} PhTasksTask;

/* Passes an event to the engine and performs the resulting actions. */
void PhTasksTask_HandleEvent(PhTasksTask *t, const PhJobEvent *event);

/* tasks_platform.c: log, worker list, configuration, membership. */
void PhTasksPlatform_Append(PhTasksTask *t, const PhJobEntry *entry);
void PhTasksPlatform_Read(PhTasksTask *t, uint64_t from);
void PhTasksPlatform_OnLog(PhTasksTask *t, const PhLogMessage *m);
void PhTasksPlatform_OnList(PhTasksTask *t, const PhListMessage *m);
void PhTasksPlatform_OnConfig(PhTasksTask *t, const PhConfigState *state);
void PhTasksPlatform_OnView(PhTasksTask *t, const PhMembersView *view);
/* Subscribes to the tasks that were not running before. */
void PhTasksPlatform_Attach(PhTasksTask *t);

/* tasks_query.c: submits, cancels and lists. */
void PhTasksQuery_Handle(PhTasksTask *t, PhTaskRef sender,
                         const PhTasksMessage *m);
void PhTasksQuery_Answer(PhTasksTask *t, const PhJobAction *action);

#endif
