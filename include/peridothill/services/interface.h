/* Numbers of the service interfaces and names of the services.  Each interface
 * has its own header with one tagged union of messages. */
#ifndef PERIDOTHILL_SERVICES_INTERFACE_H
#define PERIDOTHILL_SERVICES_INTERFACE_H

#include "peridothill/common/str.h"

/* Values of PhMessage.interface. */
typedef enum PhInterface {
    PH_INTERFACE_HTTP = 1, /* outgoing HTTP (services/http.h) */
    PH_INTERFACE_LOG,      /* the platform's log (services/platform_log.h) */
    PH_INTERFACE_LIST,     /* the platform's list (services/platform_list.h) */
    PH_INTERFACE_REQUEST,  /* client requests (services/request.h) */
    PH_INTERFACE_CONFIG,   /* configuration in force (services/config.h) */
    PH_INTERFACE_TASKS,    /* jobs and tasks (services/tasks.h) */
    PH_INTERFACE_WORKER,   /* commands to workers (services/worker.h) */
    PH_INTERFACE_MEMBERS,  /* membership (services/members.h) */
    PH_INTERFACE_PEERS,    /* links to peers (services/peers.h) */
    PH_INTERFACE_OPERATORS, /* operators' interface (services/operators.h) */
    PH_INTERFACE_STORE,     /* the platform's store (services/store.h) */
    PH_INTERFACE_ORDERS,    /* orders to workers (services/orders.h) */
    PH_INTERFACE_SCHEDULE,  /* client jobs (services/schedule.h) */
} PhInterface;

/* Names under which services register. */
#define PH_SERVICE_HTTP PhStr_LITERAL("http")
#define PH_SERVICE_LOG PhStr_LITERAL("log")
#define PH_SERVICE_LIST PhStr_LITERAL("list")
#define PH_SERVICE_ENTRY PhStr_LITERAL("entry")
#define PH_SERVICE_ROUTER PhStr_LITERAL("router")
#define PH_SERVICE_CONFIG PhStr_LITERAL("config")
#define PH_SERVICE_TASKS PhStr_LITERAL("tasks")
#define PH_SERVICE_WORKERS PhStr_LITERAL("workers")
#define PH_SERVICE_MEMBERS PhStr_LITERAL("members")
#define PH_SERVICE_PEERS PhStr_LITERAL("peers")
#define PH_SERVICE_OPERATORS PhStr_LITERAL("operators")
#define PH_SERVICE_STORE PhStr_LITERAL("store")
#define PH_SERVICE_ORDERS PhStr_LITERAL("orders")
#define PH_SERVICE_SCHEDULE PhStr_LITERAL("schedule")
#define PH_SERVICE_FLEET PhStr_LITERAL("fleet")
#define PH_SERVICE_FRONT PhStr_LITERAL("front")

#endif
