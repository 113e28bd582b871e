/* Latency histograms: PH_HISTOGRAM(identifier, "metric", "labels", "help"). */
PH_HISTOGRAM(REQUEST_LATENCY, "peridothill_request_latency_seconds", "",
             "Time from a request's arrival to its whole answer")
PH_HISTOGRAM(TASK_START_LATENCY, "peridothill_task_start_latency_seconds", "",
             "Time from acceptance of a task to its start on a worker")
PH_HISTOGRAM(CONFIG_LATENCY, "peridothill_config_latency_seconds", "",
             "Time from the append of a patch to its being in force here")
PH_HISTOGRAM(SCHEDULE_FIRST_START, "peridothill_schedule_first_start_seconds",
             "", "Time from knowing a job to the record of its first start")
PH_HISTOGRAM(SCHEDULE_LASTING_GAP, "peridothill_schedule_lasting_gap_seconds",
             "", "Time that a task that is to last was without a run")
PH_HISTOGRAM(SCHEDULE_JOB_AGE, "peridothill_schedule_job_seconds", "",
             "Time from knowing a job to its end being durable")
