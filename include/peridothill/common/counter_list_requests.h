/* Counters of requests, routing and retries. */
