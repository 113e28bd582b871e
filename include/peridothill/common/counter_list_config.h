/* Counters of configuration and operators. */
PH_COUNTER(CONFIG_ACCEPTED, "peridothill_config_patches_total",
           "outcome=\"accepted\"", "Patches decided here, by outcome")
PH_COUNTER(CONFIG_REFUSED_CONFLICT, "peridothill_config_patches_total",
           "outcome=\"conflict\"", "Patches decided here, by outcome")
PH_COUNTER(CONFIG_REFUSED_INVALID, "peridothill_config_patches_total",
           "outcome=\"invalid\"", "Patches decided here, by outcome")
PH_COUNTER(CONFIG_REFUSED_EXPIRED, "peridothill_config_patches_total",
           "outcome=\"base_too_old\"", "Patches decided here, by outcome")
PH_COUNTER(CONFIG_UNREADABLE, "peridothill_config_patches_total",
           "outcome=\"unreadable\"", "Patches decided here, by outcome")
PH_COUNTER(CONFIG_NOT_ACCEPTED, "peridothill_config_unanswered_total",
           "reason=\"not_accepted\"",
           "Patches of operators that got no verdict in time")
PH_COUNTER(CONFIG_UNKNOWN, "peridothill_config_unanswered_total",
           "reason=\"unknown\"",
           "Patches of operators that got no verdict in time")
PH_COUNTER(CONFIG_APPENDS, "peridothill_config_appends_total", "",
           "Calls that append patches to the log")
PH_COUNTER(CONFIG_APPEND_RETRIES, "peridothill_config_append_retries_total",
           "", "Patches appended again, the first outcome being unknown")
PH_COUNTER(CONFIG_LOG_READS, "peridothill_config_log_reads_total", "",
           "Reads of the log and of its snapshots")
PH_COUNTER(CONFIG_LOG_FAILURES, "peridothill_config_log_failures_total",
           "operation=\"read\"", "Operations of the log that failed")
PH_COUNTER(CONFIG_SNAPSHOT_FAILURES, "peridothill_config_log_failures_total",
           "operation=\"snapshot\"", "Operations of the log that failed")
PH_COUNTER(CONFIG_LOG_BEHIND, "peridothill_config_log_behind_total", "",
           "Reads that ended before what is held")
PH_COUNTER(CONFIG_RETENTION_GAPS, "peridothill_config_retention_gaps_total",
           "", "Times that records were gone and no snapshot helped")
PH_COUNTER(CONFIG_RECOVERED_LOG, "peridothill_config_recoveries_total",
           "source=\"log\"", "Restorations from a snapshot, by source")
PH_COUNTER(CONFIG_RECOVERED_PEER, "peridothill_config_recoveries_total",
           "source=\"peer\"", "Restorations from a snapshot, by source")
PH_COUNTER(CONFIG_STATE_REFUSED, "peridothill_config_state_refused_total",
           "reason=\"goes_back\"", "Snapshots of states that were not used")
PH_COUNTER(CONFIG_STATE_LIMITED, "peridothill_config_state_refused_total",
           "reason=\"rate\"", "Snapshots of states that were not used")
PH_COUNTER(CONFIG_DIGEST_MISMATCHES,
           "peridothill_config_digest_mismatches_total", "",
           "Hellos of peers with another content of a version")
PH_COUNTER(CONFIG_PEER_MALFORMED, "peridothill_config_peer_malformed_total",
           "", "Payloads of peers that do not decode")
PH_COUNTER(OPERATORS_UNAUTHORIZED, "peridothill_operators_refused_total",
           "reason=\"token\"", "Refused requests of operators, by reason")
PH_COUNTER(OPERATORS_NO_ROUTE, "peridothill_operators_refused_total",
           "reason=\"route\"", "Refused requests of operators, by reason")
PH_COUNTER(OPERATORS_MALFORMED, "peridothill_operators_refused_total",
           "reason=\"malformed\"", "Refused requests of operators, by reason")
PH_COUNTER(OPERATORS_BUSY, "peridothill_operators_refused_total",
           "reason=\"busy\"", "Refused requests of operators, by reason")
PH_COUNTER(OPERATORS_TIMEOUT, "peridothill_operators_refused_total",
           "reason=\"timeout\"", "Refused requests of operators, by reason")
