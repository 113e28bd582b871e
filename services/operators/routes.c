#include <stdlib.h>
#include <string.h>

#include "services/operators/operators_task.h"

/* Sorted by path, then by method, for the binary search. */
static const PhOperatorsRoute routes[] = {
    {"/config", "GET", PhOperatorsConfig_Get},
    {"/config/at/", "GET", PhOperatorsConfig_At},
    {"/config/bridge", "POST", PhOperatorsConfig_Bridge},
    {"/config/diff", "GET", PhOperatorsConfig_Diff},
    {"/config/history", "GET", PhOperatorsConfig_History},
    {"/config/patches", "POST", PhOperatorsConfig_Patch},
    {"/config/patches/", "GET", PhOperatorsConfig_Find},
    {"/drain", "POST", PhOperatorsStatus_Drain},
    {"/jobs", "GET", PhOperatorsJobs_List},
    {"/jobs", "POST", PhOperatorsJobs_Submit},
    {"/jobs/", "DELETE", PhOperatorsJobs_Cancel},
    {"/jobs/", "GET", PhOperatorsJobs_Get},
    {"/members", "GET", PhOperatorsStatus_Members},
    {"/metrics", "GET", PhOperatorsStatus_Metrics},
    {"/status", "GET", PhOperatorsStatus_Get},
};

typedef struct PhRouteKey {
    PhStr path;
    PhStr method;
} PhRouteKey;

/* Compares a key with a route for bsearch. */
static int
route_compare(const void *key, const void *route)
{
    const PhRouteKey *k = key;
    const PhOperatorsRoute *r = route;
    int order = PhStr_Compare(k->path, PhStr_FromC(r->path));
    return order != 0 ? order
                      : PhStr_Compare(k->method, PhStr_FromC(r->method));
}

static const PhOperatorsRoute *
route_find(PhStr method, PhStr path)
{
    PhRouteKey key = {.path = path, .method = method};
    return bsearch(&key, routes, G_N_ELEMENTS(routes), sizeof(routes[0]),
                   route_compare);
}

/* Tries the full path, then each prefix that ends in '/', longest first. */
const PhOperatorsRoute *
PhOperatorsRoute_Find(PhStr method, PhStr path, PhStr *rest)
{
    const PhOperatorsRoute *route = route_find(method, path);
    *rest = (PhStr){0};
    for (size_t i = path.len; i > 1 && route == NULL; i--) {
        if (path.data[i - 1] == '/') {
            route = route_find(method, PhStr_Slice(path, 0, i));
            *rest = PhStr_Slice(path, i, path.len);
        }
    }
    return route;
}
