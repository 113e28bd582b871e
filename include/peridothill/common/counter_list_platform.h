/* Counters of the platform's log, service list and workers. */
