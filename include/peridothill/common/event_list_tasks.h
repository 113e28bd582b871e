/* Events 3000 to 3999: job engine. */
PH_EVENT(3000, TASKS_OWNER_GAINED, INFO, "this instance owns the data centre")
PH_EVENT(3001, TASKS_OWNER_LOST, WARNING,
         "another instance owns the data centre")
PH_EVENT(3002, TASKS_WORKER_RETIRED, WARNING,
         "worker does not answer; its leases are no longer renewed")
PH_EVENT(3003, TASKS_WORKER_RESTORED, INFO, "retired worker answers again")
PH_EVENT(3004, TASKS_WORKER_LAPSED, WARNING,
         "leases of a retired worker have expired; its tasks are queued again")
PH_EVENT(3005, TASKS_WORKER_QUARANTINED, WARNING,
         "worker quarantined after repeated task failures")
PH_EVENT(3006, TASKS_TASK_QUARANTINED, WARNING,
         "task quarantined after repeated failures; its next start is delayed")
PH_EVENT(3007, TASKS_RECORD_UNREADABLE, ERROR,
         "malformed job log entry skipped")
PH_EVENT(3008, TASKS_JOB_ACCEPTED, DEBUG, "job accepted")
PH_EVENT(3012, TASKS_STREAM_LOST, ERROR,
         "log entries expired before a snapshot covered them; no jobs are "
         "accepted or started")
