/* Counters of the platform's log, list and workers. */
