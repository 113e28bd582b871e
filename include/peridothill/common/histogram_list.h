/* Latency histograms: PH_HISTOGRAM(identifier, "metric", "labels", "help"). */
PH_HISTOGRAM(REQUEST_LATENCY, "peridothill_request_latency_seconds", "",
             "Time from a request's arrival to its whole answer")
PH_HISTOGRAM(TASK_START_LATENCY, "peridothill_task_start_latency_seconds", "",
             "Time from acceptance of a task to its start on a worker")
PH_HISTOGRAM(CONFIG_LATENCY, "peridothill_config_latency_seconds", "",
             "Time from the append of a patch to its being in force here")
