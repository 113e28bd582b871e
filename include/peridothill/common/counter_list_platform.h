/* Counters of the platform's log, service list and workers, and of what
 * listeners receive. */
PH_COUNTER(RECEIVE_BUDGET_CLOSED, "peridothill_receive_closed_total",
           "reason=\"budget\"",
           "Connections closed by a limit of what is received")
PH_COUNTER(RECEIVE_HEADERS_CLOSED, "peridothill_receive_closed_total",
           "reason=\"header_time\"",
           "Connections closed by a limit of what is received")
PH_COUNTER(RECEIVE_JSON_VALUES, "peridothill_receive_refused_total",
           "reason=\"json_values\"",
           "Requests refused by a limit of what is received")
PH_COUNTER(RECEIVE_ACTIVE_TASKS, "peridothill_receive_refused_total",
           "reason=\"active_tasks\"",
           "Requests refused by a limit of what is received")
