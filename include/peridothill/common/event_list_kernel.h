/* Events 1000 to 1999: the kernel and the process. */
PH_EVENT(1000, INVARIANT_BROKEN, ERROR, "invariant broken, process stops")
PH_EVENT(1001, TASK_STARTED, DEBUG, "task started")
PH_EVENT(1002, TASK_ENDED, DEBUG, "task ended")
PH_EVENT(1003, MAILBOX_FULL, WARNING, "message dropped, mailbox full")
PH_EVENT(1004, PROCESS_STARTED, INFO, "process started")
PH_EVENT(1005, PROCESS_STOPPING, INFO, "process stopping")
PH_EVENT(1006, PROCESS_STOPPED, INFO, "process stopped")
PH_EVENT(1007, SETTINGS_INVALID, ERROR, "settings invalid")
