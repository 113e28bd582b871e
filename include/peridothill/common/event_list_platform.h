/* Events 6000 to 6999: the platform's log, service list and workers. */
PH_EVENT(6000, HTTP_CLIENT_FAILED, WARNING, "outgoing request failed")
