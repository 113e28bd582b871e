/* Events 7000 to 7999: the job scheduler. */
PH_EVENT(7000, SCHEDULE_OWNER_GAINED, INFO,
         "instance became the owner of the jobs")
PH_EVENT(7001, SCHEDULE_OWNER_LOST, WARNING, "ownership of the jobs ended")
PH_EVENT(7002, SCHEDULE_CONFIG, INFO, "queue configuration applied")
PH_EVENT(7003, SCHEDULE_UNREADABLE, WARNING,
         "malformed record or message skipped")
PH_EVENT(7004, SCHEDULE_REFUSED, INFO, "call on a job refused")
PH_EVENT(7005, SCHEDULE_SEQUENCE, WARNING,
         "store expects a different sequence number")
PH_EVENT(7006, FRONT_FAILED, ERROR, "cannot open the listener for clients")
PH_EVENT(7007, SCHEDULE_ACCEPTED, INFO,
         "submission or cancellation accepted, its record is durable")
PH_EVENT(7008, SCHEDULE_JOB_OVER, INFO, "job finished")
PH_EVENT(7010, SCHEDULE_START, INFO, "start order sent, its record is durable")
PH_EVENT(7011, SCHEDULE_STOP, INFO, "stop order sent")
PH_EVENT(7012, SCHEDULE_PACE, INFO, "pace order sent")
PH_EVENT(7013, SCHEDULE_ORDER_FAILED, INFO,
         "order failed, or its outcome is unknown")
PH_EVENT(7014, SCHEDULE_ENDED, INFO, "run ended")
PH_EVENT(7015, SCHEDULE_WORKER_SUSPENDED, WARNING,
         "worker does not answer, no leases are granted to it")
PH_EVENT(7016, SCHEDULE_WORKER_RESUMED, INFO, "worker answers again")
PH_EVENT(7017, SCHEDULE_WORKER_LOST, WARNING,
         "worker lost: its leases have expired, its tasks are queued again")
PH_EVENT(7018, SCHEDULE_STORE_LOST, WARNING, "store does not answer")
PH_EVENT(7019, SCHEDULE_STORE_BACK, INFO, "store answers again")
PH_EVENT(7020, SCHEDULE_NOT_KNOWN, WARNING,
         "call expired, client told that the outcome is unknown")
PH_EVENT(7021, SCHEDULE_RELOADED, WARNING,
         "too many records of unknown jobs, all records are reloaded")
PH_EVENT(7022, SCHEDULE_LINK_FAILED, ERROR,
         "cannot open links to other instances")
PH_EVENT(7023, SCHEDULE_OWNER_SILENT, INFO,
         "owner does not answer, forwarded calls are handled locally")
PH_EVENT(7024, SCHEDULE_WORKER_FORGOTTEN, INFO,
         "worker removed from the model")
PH_EVENT(7025, SCHEDULE_RELEASED, INFO,
         "run is over without a reported end, its task is queued again")
PH_EVENT(7026, SCHEDULE_WITHDRAWN, INFO, "start must not be sent any more")
PH_EVENT(7027, SCHEDULE_LASTING_ENDED, INFO, "run that is to last ended")
PH_EVENT(7028, SCHEDULE_LASTING_WAITS, INFO,
         "task that is to last has waited for long")
PH_EVENT(7029, SCHEDULE_HANDOVER, INFO, "ownership is handed over")
PH_EVENT(7030, SCHEDULE_LASTING_RESUMED, INFO,
         "task that is to last runs again")
PH_EVENT(7031, SCHEDULE_OVERLOAD_BEGAN, WARNING,
         "tasks wait for order capacity")
PH_EVENT(7032, SCHEDULE_OVERLOAD_ENDED, INFO,
         "no task waits for order capacity any more")
PH_EVENT(
    7033, SCHEDULE_SHED, INFO,
    "submission refused, its tasks would wait too long for order capacity")
PH_EVENT(7034, SCHEDULE_DISPATCHER_SILENT, WARNING,
         "dispatcher has not told the outcome of a start in time")
PH_EVENT(7035, SCHEDULE_CORDON_BEGAN, INFO,
         "data centre cordoned, its workers get no starts")
PH_EVENT(7036, SCHEDULE_CORDON_ENDED, INFO,
         "data centre not cordoned any more, its workers get starts again")
PH_EVENT(7037, SCHEDULE_TASK_HELD, INFO,
         "task that may run has had no run for long")
PH_EVENT(7038, SCHEDULE_NO_ROOM, INFO,
         "submission refused, urgent jobs need the room that it would hold")
PH_EVENT(7039, SCHEDULE_ROOM_STATE, INFO,
         "long-running jobs are refused for want of room, or no longer")
PH_EVENT(7040, SCHEDULE_CLAIM, INFO,
         "task that has waited for long claims a worker")
PH_EVENT(7041, SCHEDULE_CONTACT_LOST, WARNING,
         "store out of reach, calls that need it are refused at once")
PH_EVENT(7042, SCHEDULE_CONTACT_BACK, INFO, "store is reached again")
PH_EVENT(7043, SCHEDULE_TOO_LATE, INFO,
         "submission refused, it would end too late to be of value")
PH_EVENT(7044, SCHEDULE_BOUND_MOVED, INFO,
         "leases of a silent worker expire at another time than was known")
