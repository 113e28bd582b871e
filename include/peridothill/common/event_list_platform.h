/* Events 6000 to 6999: the platform's log, service list and workers, and what
 * listeners receive. */
PH_EVENT(6000, HTTP_CLIENT_FAILED, WARNING, "outgoing request failed")
PH_EVENT(6010, RECEIVE_BUDGET, WARNING,
         "receive budget reached, connections closed")
PH_EVENT(6011, RECEIVE_HEADERS, WARNING,
         "headers took too long, connections closed")
PH_EVENT(6012, RECEIVE_JSON_VALUES, WARNING,
         "request refused, too many JSON values")
PH_EVENT(6013, RECEIVE_ACTIVE_TASKS, WARNING,
         "submission refused, too many active tasks")
