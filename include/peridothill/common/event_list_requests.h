/* Events 2000 to 2999: requests, routing and retries. */
PH_EVENT(2000, ENTRY_LISTENING, INFO, "entry listening for callers")
PH_EVENT(2001, ENTRY_POLICIES, INFO, "service policies applied")
PH_EVENT(2002, POLICY_INVALID, WARNING, "invalid policy value ignored")
PH_EVENT(2003, REQUEST_REFUSED, DEBUG, "request refused")
PH_EVENT(2004, WORKER_EJECTED, WARNING, "worker ejected")
PH_EVENT(2005, WORKER_READMITTED, INFO, "worker readmitted after cooldown")
PH_EVENT(2006, ENTRY_STOPPING, INFO,
         "reporting not ready, still accepting requests")
PH_EVENT(2007, ENTRY_QUIESCED, INFO,
         "refusing new requests, finishing those in flight")
PH_EVENT(2008, ENTRY_DRAINED, INFO, "drained, no request in flight")
PH_EVENT(2009, KEY_MESSAGE_MALFORMED, WARNING,
         "malformed idempotency key message")
