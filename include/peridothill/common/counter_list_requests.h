/* Request, routing and retry counters. */
PH_COUNTER(REQUESTS_ARRIVED, "peridothill_requests_total", "",
           "Requests of callers that arrived")
PH_COUNTER(REQUESTS_ANSWERED, "peridothill_requests_answered_total", "",
           "Whole answers of workers given to callers")
#define PH_REFUSED_ROW(NAME, TEXT)                                            \
    PH_COUNTER(REFUSED_##NAME, "peridothill_requests_refused_total",          \
               "reason=\"" TEXT "\"", "Requests refused, by reason")
PH_REFUSED_ROW(NO_CONFIG, "no-config")
PH_REFUSED_ROW(NO_SERVICE, "no-service")
PH_REFUSED_ROW(BAD_REQUEST, "bad-request")
PH_REFUSED_ROW(BODY_TOO_LARGE, "body-too-large")
PH_REFUSED_ROW(DEADLINE_PASSED, "deadline-passed")
PH_REFUSED_ROW(DEADLINE_TOO_SHORT, "deadline-too-short")
PH_REFUSED_ROW(QUEUE_FULL, "queue-full")
PH_REFUSED_ROW(NO_WORKER, "no-worker")
PH_REFUSED_ROW(KEY_REPEATED, "key-repeated")
PH_REFUSED_ROW(KEY_UNCLEAR, "key-unclear")
PH_REFUSED_ROW(STOPPING, "stopping")
PH_REFUSED_ROW(CONNECT_FAILED, "connect-failed")
PH_REFUSED_ROW(UPSTREAM_RESET, "upstream-reset")
PH_REFUSED_ROW(UPSTREAM_TRUNCATED, "upstream-truncated")
PH_REFUSED_ROW(UPSTREAM_TOO_LARGE, "upstream-too-large")
PH_REFUSED_ROW(FIRST_BYTE_TIMEOUT, "first-byte-timeout")
PH_REFUSED_ROW(DEADLINE_IN_FLIGHT, "deadline-in-flight")
#undef PH_REFUSED_ROW
PH_COUNTER(OUTCOME_NOT_RUN, "peridothill_requests_outcome_total",
           "outcome=\"not-run\"", "Refusals, by what they say of the request")
PH_COUNTER(OUTCOME_UNKNOWN, "peridothill_requests_outcome_total",
           "outcome=\"unknown\"", "Refusals, by what they say of the request")
#define PH_SENT_ROW(NAME, TEXT)                                               \
    PH_COUNTER(SENT_##NAME, "peridothill_attempts_total",                     \
               "cause=\"" TEXT "\"", "Attempts sent to workers, by cause")
PH_SENT_ROW(FIRST, "first")
PH_SENT_ROW(RETRY_CONNECT, "retry-connect")
PH_SENT_ROW(RETRY_FIRST_BYTE, "retry-first-byte")
PH_SENT_ROW(RETRY_RESET, "retry-reset")
PH_SENT_ROW(RETRY_TRUNCATED, "retry-truncated")
PH_SENT_ROW(RETRY_STATUS, "retry-status")
PH_SENT_ROW(HEDGE, "hedge")
#undef PH_SENT_ROW
PH_COUNTER(NOTE_LATE_ANSWER, "peridothill_answers_late_total", "",
           "Answers that came after their request had ended, dropped")
PH_COUNTER(NOTE_EJECTED, "peridothill_workers_ejected_total", "",
           "Workers put into cooldown")
PH_COUNTER(NOTE_READMITTED, "peridothill_workers_readmitted_total", "",
           "Workers back from cooldown")
PH_COUNTER(NOTE_RETRY_NO_BUDGET, "peridothill_retries_denied_total",
           "reason=\"no-budget\"", "Retries and hedges not sent, by reason")
PH_COUNTER(NOTE_RETRY_NO_TIME, "peridothill_retries_denied_total",
           "reason=\"no-time\"", "Retries and hedges not sent, by reason")
PH_COUNTER(NOTE_HEDGE_WON, "peridothill_hedges_won_total", "",
           "Hedges that answered first")
PH_COUNTER(NOTE_CALLER_DISCONNECTED, "peridothill_callers_gone_total", "",
           "Requests dropped because their caller went away")
PH_COUNTER(ATTEMPTS_UNDELIVERED, "peridothill_attempts_undelivered_total", "",
           "Attempts that the outgoing client did not take, not sent")
PH_COUNTER(KEYS_CLAIMED, "peridothill_keys_claimed_total", "",
           "Claims of idempotency keys sent to other instances")
PH_COUNTER(KEYS_ASKED, "peridothill_keys_asked_total", "",
           "Claims of idempotency keys received from other instances")
PH_COUNTER(KEYS_MALFORMED, "peridothill_keys_malformed_total", "",
           "Messages about idempotency keys that could not be read")
