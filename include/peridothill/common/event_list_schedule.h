/* Events 7000 to 7999: the job scheduler. */
PH_EVENT(7000, SCHEDULE_OWNER_GAINED, INFO, "this instance owns the jobs")
PH_EVENT(7001, SCHEDULE_OWNER_LOST, WARNING, "ownership of the jobs ended")
PH_EVENT(7002, SCHEDULE_CONFIG, INFO, "configuration of queues in force")
PH_EVENT(7003, SCHEDULE_UNREADABLE, WARNING,
         "record of the store cannot be read and is passed over")
PH_EVENT(7004, SCHEDULE_REFUSED, INFO, "job refused")
PH_EVENT(7005, SCHEDULE_SEQUENCE, WARNING,
         "store expects another sequence number")
PH_EVENT(7006, FRONT_FAILED, ERROR, "listener for clients cannot be opened")
PH_EVENT(7007, SCHEDULE_ACCEPTED, INFO,
         "job accepted or cancelled, the record is durable")
PH_EVENT(7008, SCHEDULE_JOB_OVER, INFO, "job is over")
PH_EVENT(7010, SCHEDULE_START, INFO, "start ordered, its record is durable")
PH_EVENT(7011, SCHEDULE_STOP, INFO, "stop ordered")
PH_EVENT(7012, SCHEDULE_PACE, INFO, "pace ordered")
PH_EVENT(7013, SCHEDULE_ORDER_FAILED, INFO,
         "order not done, or its outcome is not known")
PH_EVENT(7014, SCHEDULE_ENDED, INFO, "end of a run taken in")
PH_EVENT(7015, SCHEDULE_WORKER_SUSPENDED, WARNING,
         "worker does not answer, no lease is granted to it")
PH_EVENT(7016, SCHEDULE_WORKER_RESUMED, INFO, "worker answers again")
PH_EVENT(7017, SCHEDULE_WORKER_LOST, WARNING,
         "leases of a worker have lapsed, its tasks wait again")
PH_EVENT(7018, SCHEDULE_STORE_LOST, WARNING, "store does not answer")
PH_EVENT(7019, SCHEDULE_STORE_BACK, INFO, "store answers again")
PH_EVENT(7020, SCHEDULE_NOT_KNOWN, WARNING,
         "client told that the outcome is not known")
PH_EVENT(7021, SCHEDULE_RELOADED, WARNING,
         "too many records of unknown jobs, all are read anew")
PH_EVENT(7022, SCHEDULE_LINK_FAILED, ERROR,
         "links to other instances cannot be opened")
PH_EVENT(7023, SCHEDULE_OWNER_SILENT, INFO,
         "calls given to the owner are taken back")
PH_EVENT(7024, SCHEDULE_WORKER_FORGOTTEN, INFO,
         "worker has gone, nothing is kept of it")
