/* Counters of the job scheduler. */
PH_COUNTER(SCHEDULE_ACCEPTED, "peridothill_schedule_accepted_total", "",
           "Jobs accepted and cancellations acknowledged")
PH_COUNTER(SCHEDULE_REFUSED, "peridothill_schedule_refused_total", "",
           "Calls refused, each with a line that says why")
PH_COUNTER(SCHEDULE_STARTS, "peridothill_schedule_starts_total", "",
           "Starts ordered")
PH_COUNTER(SCHEDULE_STOPS, "peridothill_schedule_stops_total", "",
           "Stops ordered")
PH_COUNTER(SCHEDULE_PACES, "peridothill_schedule_paces_total", "",
           "Pace orders sent, with repetitions")
PH_COUNTER(SCHEDULE_ORDERS_FAILED, "peridothill_schedule_orders_failed_total",
           "", "Orders that were not done or not answered")
PH_COUNTER(SCHEDULE_ENDS, "peridothill_schedule_ends_total", "",
           "Ends of runs taken in, but for failures")
PH_COUNTER(SCHEDULE_ENDS_FAILED, "peridothill_schedule_ends_failed_total", "",
           "Ends of runs that failed")
PH_COUNTER(SCHEDULE_WORKERS_LOST, "peridothill_schedule_workers_lost_total",
           "", "Workers whose leases have lapsed")
PH_COUNTER(SCHEDULE_JOBS_OVER, "peridothill_schedule_jobs_over_total", "",
           "Jobs that are over")
PH_COUNTER(SCHEDULE_SHED, "peridothill_schedule_shed_total", "",
           "Submissions refused for want of order capacity")
PH_COUNTER(SCHEDULE_NO_ROOM, "peridothill_schedule_no_room_total", "",
           "Long-running submissions refused for want of room")
PH_COUNTER(SCHEDULE_TOO_LATE, "peridothill_schedule_too_late_total", "",
           "Submissions refused that would end too late")
PH_COUNTER(SCHEDULE_QUERIES, "peridothill_schedule_queries_total", "",
           "Holds sent to find a connection of an incarnation")
PH_COUNTER(SCHEDULE_RELAYED, "peridothill_schedule_relayed_total", "",
           "Starts that another instance was given to send")
PH_COUNTER(SCHEDULE_CLAIMS, "peridothill_schedule_claims_total", "",
           "Workers claimed for a task that had waited for long")
PH_COUNTER(SCHEDULE_NO_CONTACT, "peridothill_schedule_no_contact_total", "",
           "Calls refused at once because the store was out of reach or too "
           "little time was left")
