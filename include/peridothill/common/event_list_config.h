/* Events 4000 to 4999: configuration and operators. */
PH_EVENT(4000, CONFIG_IN_FORCE, INFO, "configuration in force")
PH_EVENT(4001, CONFIG_REFUSED, INFO, "patch refused")
PH_EVENT(4002, CONFIG_RECOVERED_LOG, INFO,
         "configuration restored from a snapshot in the log")
PH_EVENT(4003, CONFIG_RECOVERED_PEER, INFO,
         "configuration restored from a peer's snapshot")
PH_EVENT(4004, CONFIG_RETENTION_GAP, ERROR,
         "records expired before they were read and no snapshot covers them")
PH_EVENT(4005, CONFIG_LOG_BEHIND, ERROR,
         "the log ends before the offset applied here")
PH_EVENT(4006, CONFIG_DIGEST_MISMATCH, ERROR,
         "a peer's content of this version differs")
PH_EVENT(4007, CONFIG_STATE_REFUSED, ERROR,
         "snapshot refused: not a successor of the configuration in force")
PH_EVENT(4008, CONFIG_LOG_FAILED, WARNING, "read of the log failed")
PH_EVENT(4009, CONFIG_SNAPSHOT_FAILED, WARNING,
         "snapshot could not be written")
PH_EVENT(4010, CONFIG_UNREADABLE, WARNING,
         "record of the log is not a valid patch")
PH_EVENT(4011, OPERATORS_LISTENING, INFO, "listening for operators")
PH_EVENT(4012, OPERATORS_UNAUTHORIZED, WARNING,
         "operator request without a valid token")
PH_EVENT(4013, OPERATORS_FAILED, ERROR,
         "cannot open the listener for operators")
