/* State of the task "operators" and the functions of its routes. */
#ifndef PERIDOTHILL_SERVICES_OPERATORS_TASK_H
#define PERIDOTHILL_SERVICES_OPERATORS_TASK_H

#include <jansson.h>

#include "peridothill/services/config.h"
#include "peridothill/services/interface.h"
#include "peridothill/services/listener.h"
#include "peridothill/services/members.h"
#include "peridothill/services/operators.h"
#include "peridothill/services/tasks.h"

enum {
    PH_HTTP_STATUS_OK = 200,
    PH_HTTP_STATUS_ACCEPTED = 202,
    PH_HTTP_STATUS_BAD_REQUEST = 400,
    PH_HTTP_STATUS_UNAUTHORIZED = 401,
    PH_HTTP_STATUS_NOT_FOUND = 404,
    PH_HTTP_STATUS_CONFLICT = 409,
    PH_HTTP_STATUS_INVALID = 422,
    PH_HTTP_STATUS_NOT_IMPLEMENTED = 501,
    PH_HTTP_STATUS_UNAVAILABLE = 503,
    PH_HTTP_STATUS_TIMEOUT = 504,
};

/* A request as a route sees it; the strings are borrowed for the call. */
typedef struct PhOperatorsCall {
    uint64_t id; /* of the listener */
    PhStr rest;  /* of the path, after a route that ends in a slash */
    PhStr query;
    PhStr body;
} PhOperatorsCall;

/* A request that waits for another task. */
typedef struct PhOperatorsPending {
    uint64_t number; /* what the other task returns */
    uint64_t id;     /* of the listener */
    int kind;        /* the route's own */
    PhTime deadline;
} PhOperatorsPending;

typedef struct PhOperatorsTask {
    PhTask *self;
    PhOperatorsOptions options;
    PhListener *listener;
    PhStr token;
    GHashTable *pending; /* PhOperatorsPending by number */
    uint64_t next_number;
    PhMembersView view;
    bool has_view;
    bool members_subscribed; /* to "members" */
} PhOperatorsTask;

/* A route; a path that ends in a slash takes all below it. */
typedef struct PhOperatorsRoute {
    const char *path;
    const char *method;
    void (*run)(PhOperatorsTask *t, const PhOperatorsCall *call);
} PhOperatorsRoute;

/* Finds the route of a request, or gives NULL; `rest` is what a route with a
 * slash at its end leaves. */
const PhOperatorsRoute *PhOperatorsRoute_Find(PhStr method, PhStr path,
                                              PhStr *rest);

/* Answers a request with JSON, which is taken over. */
void PhOperators_Answer(PhOperatorsTask *t, uint64_t id, int status,
                        json_t *body);
/* Answers with {"error": reason}. */
void PhOperators_Refuse(PhOperatorsTask *t, uint64_t id, int status,
                        const char *reason);
/* Notes that the request waits, and gives the number to send along. */
uint64_t PhOperators_AddPending(PhOperatorsTask *t,
                                const PhOperatorsCall *call, int kind,
                                PhTime timeout);
/* Takes a request that waits; false when it was given up. */
bool PhOperators_TakePending(PhOperatorsTask *t, uint64_t number,
                             PhOperatorsPending *pending);
/* Sends a request that waits to a task; refuses it when that has no room. */
void PhOperators_Forward(PhOperatorsTask *t, uint64_t number, PhStr service,
                         PhMessage message);

/* route_config.c */
void PhOperatorsConfig_Get(PhOperatorsTask *t, const PhOperatorsCall *call);
void PhOperatorsConfig_At(PhOperatorsTask *t, const PhOperatorsCall *call);
void PhOperatorsConfig_Bridge(PhOperatorsTask *t, const PhOperatorsCall *call);
void PhOperatorsConfig_Diff(PhOperatorsTask *t, const PhOperatorsCall *call);
void PhOperatorsConfig_History(PhOperatorsTask *t,
                               const PhOperatorsCall *call);
void PhOperatorsConfig_Patch(PhOperatorsTask *t, const PhOperatorsCall *call);
void PhOperatorsConfig_Find(PhOperatorsTask *t, const PhOperatorsCall *call);
/* Handles what the task "config" answers. */
void PhOperatorsConfig_Handle(PhOperatorsTask *t,
                              const PhConfigMessage *message);

/* route_jobs.c */
void PhOperatorsJobs_Submit(PhOperatorsTask *t, const PhOperatorsCall *call);
void PhOperatorsJobs_List(PhOperatorsTask *t, const PhOperatorsCall *call);
void PhOperatorsJobs_Get(PhOperatorsTask *t, const PhOperatorsCall *call);
void PhOperatorsJobs_Cancel(PhOperatorsTask *t, const PhOperatorsCall *call);
/* Handles what the task "tasks" answers. */
void PhOperatorsJobs_Handle(PhOperatorsTask *t, const PhTasksMessage *message);

/* route_status.c */
void PhOperatorsStatus_Get(PhOperatorsTask *t, const PhOperatorsCall *call);
void PhOperatorsStatus_Members(PhOperatorsTask *t,
                               const PhOperatorsCall *call);
void PhOperatorsStatus_Metrics(PhOperatorsTask *t,
                               const PhOperatorsCall *call);
void PhOperatorsStatus_Drain(PhOperatorsTask *t, const PhOperatorsCall *call);
/* Answers a status with what the task "config" reported. */
void PhOperatorsStatus_Report(PhOperatorsTask *t, uint64_t id,
                              const PhConfigReported *reported);

#endif
