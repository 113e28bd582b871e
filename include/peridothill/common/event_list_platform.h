/* Events 6000 to 6999: the log, the list and workers of the platform. */
PH_EVENT(6000, HTTP_CLIENT_FAILED, WARNING, "outgoing request failed")
