/* Events 2000 to 2999: requests, routing and retries. */
PH_EVENT(2000, ENTRY_LISTENING, INFO, "entry listens for callers")
PH_EVENT(2001, ENTRY_POLICIES, INFO, "policies of services in force")
PH_EVENT(2002, POLICY_INVALID, WARNING, "value of a policy ignored")
PH_EVENT(2003, REQUEST_REFUSED, DEBUG, "request refused")
PH_EVENT(2004, WORKER_EJECTED, WARNING, "worker put into cooldown")
PH_EVENT(2005, WORKER_READMITTED, INFO, "worker back from cooldown")
PH_EVENT(2006, ENTRY_STOPPING, INFO, "readiness fails, requests still taken")
PH_EVENT(2007, ENTRY_QUIESCED, INFO, "no new requests, finishing the rest")
PH_EVENT(2008, ENTRY_DRAINED, INFO, "no request in flight")
PH_EVENT(2009, KEY_MESSAGE_MALFORMED, WARNING,
         "message about an idempotency key cannot be read")
