/* Events 2000 to 2999: requests, routing and retries. */
