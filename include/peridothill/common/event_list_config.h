/* Events 4000 to 4999: configuration and operators. */
PH_EVENT(4000, CONFIG_IN_FORCE, INFO, "configuration in force")
PH_EVENT(4001, CONFIG_REFUSED, INFO, "patch refused")
PH_EVENT(4002, CONFIG_RECOVERED_LOG, INFO,
         "configuration restored from a snapshot of the log")
PH_EVENT(4003, CONFIG_RECOVERED_PEER, INFO,
         "configuration restored from a peer")
PH_EVENT(4004, CONFIG_RETENTION_GAP, ERROR,
         "records are past retention and no snapshot helps")
PH_EVENT(4005, CONFIG_LOG_BEHIND, ERROR,
         "the log ends before what is in force")
PH_EVENT(4006, CONFIG_DIGEST_MISMATCH, ERROR,
         "a peer holds another content of this version")
PH_EVENT(4007, CONFIG_STATE_REFUSED, ERROR,
         "a snapshot does not lead on from what is in force")
PH_EVENT(4008, CONFIG_LOG_FAILED, WARNING, "the log does not answer")
PH_EVENT(4009, CONFIG_SNAPSHOT_FAILED, WARNING, "snapshot not written")
PH_EVENT(4010, CONFIG_UNREADABLE, WARNING,
         "a record of the log is not a patch")
PH_EVENT(4011, OPERATORS_LISTENING, INFO, "operators' interface listens")
PH_EVENT(4012, OPERATORS_UNAUTHORIZED, WARNING,
         "operator's request without the token")
PH_EVENT(4013, OPERATORS_FAILED, ERROR,
         "operators' interface cannot be opened")
