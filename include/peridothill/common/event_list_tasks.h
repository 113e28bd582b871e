/* Events 3000 to 3999: tasks, placement and leases. */
