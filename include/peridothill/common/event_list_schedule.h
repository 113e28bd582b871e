/* Events 7000 to 7999: the scheduler of jobs. */
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
