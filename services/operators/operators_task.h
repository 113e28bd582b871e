/* State of the task "operators" and its route handlers. */
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

/* A request as its route handler gets it; strings are borrowed. */
typedef struct PhOperatorsCall {
    uint64_t id; /* of the request at the listener */
    PhStr rest;  /* of the path, below a route that ends in '/' */
    PhStr query;
    PhStr body;
} PhOperatorsCall;

/* A request that awaits the answer of another task. */
typedef struct PhOperatorsPending {
    uint64_t number; /* request number sent to the other task */
    uint64_t id;     /* of the request at the listener */
    int kind;        /* meaning is private to the route */
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
    bool members_subscribed;
} PhOperatorsTask;

/* A path that ends in '/' matches everything below it. */
typedef struct PhOperatorsRoute {
    const char *path;
    const char *method;
    void (*run)(PhOperatorsTask *t, const PhOperatorsCall *call);
} PhOperatorsRoute;

/* NULL if no route matches; `rest` receives the part of the path below a route
 * that ends in '/'. */
const PhOperatorsRoute *PhOperatorsRoute_Find(PhStr method, PhStr path,
                                              PhStr *rest);

/* Answers a request with JSON; takes ownership of `body`. */
void PhOperators_Answer(PhOperatorsTask *t, uint64_t id, int status,
                        json_t *body);
/* Answers with {"error": reason}; also counts malformed requests (400). */
void PhOperators_Refuse(PhOperatorsTask *t, uint64_t id, int status,
                        const char *reason);
/* Registers a pending request; returns the number to send to the other task.
 * After `timeout` the request is answered with 504. */
uint64_t PhOperators_AddPending(PhOperatorsTask *t,
                                const PhOperatorsCall *call, int kind,
                                PhTime timeout);
/* Removes a pending request; false if it timed out or its client
 * disconnected. */
bool PhOperators_TakePending(PhOperatorsTask *t, uint64_t number,
                             PhOperatorsPending *pending);
/* Sends the message of a pending request to a service; answers 503 if it
 * cannot be delivered. */
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
/* Handles answers of the task "config". */
void PhOperatorsConfig_Handle(PhOperatorsTask *t,
                              const PhConfigMessage *message);

/* route_jobs.c */
void PhOperatorsJobs_Submit(PhOperatorsTask *t, const PhOperatorsCall *call);
void PhOperatorsJobs_List(PhOperatorsTask *t, const PhOperatorsCall *call);
void PhOperatorsJobs_Get(PhOperatorsTask *t, const PhOperatorsCall *call);
void PhOperatorsJobs_Cancel(PhOperatorsTask *t, const PhOperatorsCall *call);
/* Handles answers of the task "tasks". */
void PhOperatorsJobs_Handle(PhOperatorsTask *t, const PhTasksMessage *message);

/* route_status.c */
void PhOperatorsStatus_Get(PhOperatorsTask *t, const PhOperatorsCall *call);
void PhOperatorsStatus_Members(PhOperatorsTask *t,
                               const PhOperatorsCall *call);
void PhOperatorsStatus_Metrics(PhOperatorsTask *t,
                               const PhOperatorsCall *call);
void PhOperatorsStatus_Drain(PhOperatorsTask *t, const PhOperatorsCall *call);
/* Answers GET /status with the report of the task "config". */
void PhOperatorsStatus_Report(PhOperatorsTask *t, uint64_t id,
                              const PhConfigReported *reported);

#endif
