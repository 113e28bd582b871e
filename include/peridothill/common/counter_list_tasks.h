/* Counters of tasks, placement and leases. */
