/* Counters of the job engine. */
PH_COUNTER(TASKS_ACCEPTED, "peridothill_jobs_accepted_total", "",
           "Jobs accepted by this instance")
PH_COUNTER(TASKS_REFUSED_INVALID, "peridothill_jobs_refused_total",
           "reason=\"invalid\"", "Submits and cancels that were not accepted")
PH_COUNTER(TASKS_REFUSED_LOG_DOWN, "peridothill_jobs_refused_total",
           "reason=\"log-down\"", "Submits and cancels that were not accepted")
PH_COUNTER(TASKS_REFUSED_FULL, "peridothill_jobs_refused_total",
           "reason=\"full\"", "Submits and cancels that were not accepted")
PH_COUNTER(TASKS_ANSWERS_UNKNOWN, "peridothill_jobs_unknown_total", "",
           "Submits and cancels answered as unknown")
PH_COUNTER(TASKS_APPENDS, "peridothill_tasks_appends_total", "",
           "Entries sent to the log, retries included")
PH_COUNTER(TASKS_APPEND_RETRIES, "peridothill_tasks_append_retries_total", "",
           "Appends that the log did not confirm")
PH_COUNTER(TASKS_SNAPSHOT_LOADS, "peridothill_tasks_snapshot_loads_total", "",
           "Times that retention had passed the place to read from")
PH_COUNTER(TASKS_CLAIMS, "peridothill_tasks_claims_total", "",
           "Claims of ownership that took effect")
PH_COUNTER(TASKS_STARTS, "peridothill_tasks_starts_total", "",
           "Start commands sent")
PH_COUNTER(TASKS_STARTS_VOID, "peridothill_tasks_starts_void_total", "",
           "Start records without effect")
PH_COUNTER(TASKS_STOPS, "peridothill_tasks_stops_total", "",
           "Stop commands sent")
PH_COUNTER(TASKS_QUESTIONS, "peridothill_tasks_questions_total", "",
           "Questions and renewals sent to workers")
PH_COUNTER(TASKS_QUESTIONS_UNANSWERED,
           "peridothill_tasks_questions_unanswered_total", "",
           "Questions and renewals without an answer")
PH_COUNTER(TASKS_COMMANDS_REFUSED, "peridothill_tasks_commands_refused_total",
           "", "Commands that a worker refused as late, old or misdirected")
PH_COUNTER(TASKS_ENDED_DONE, "peridothill_tasks_ended_total",
           "outcome=\"done\"", "Runs that ended")
PH_COUNTER(TASKS_ENDED_FAILED, "peridothill_tasks_ended_total",
           "outcome=\"failed\"", "Runs that ended")
PH_COUNTER(TASKS_ENDED_STOPPED, "peridothill_tasks_ended_total",
           "outcome=\"stopped\"", "Runs that ended")
PH_COUNTER(TASKS_ENDED_EVICTED, "peridothill_tasks_ended_total",
           "outcome=\"evicted\"", "Runs that ended")
PH_COUNTER(TASKS_ENDED_LOST, "peridothill_tasks_ended_total",
           "outcome=\"lost\"", "Runs that ended")
PH_COUNTER(TASKS_RETIRED, "peridothill_tasks_workers_retired_total", "",
           "Workers retired for not answering")
PH_COUNTER(TASKS_LAPSED, "peridothill_tasks_workers_lapsed_total", "",
           "Retired workers whose leases were proved to have lapsed")
PH_COUNTER(TASKS_WORKER_QUARANTINED, "peridothill_tasks_quarantined_total",
           "kind=\"worker\"", "Workers and tasks put into quarantine")
PH_COUNTER(TASKS_TASK_QUARANTINED, "peridothill_tasks_quarantined_total",
           "kind=\"task\"", "Workers and tasks put into quarantine")
