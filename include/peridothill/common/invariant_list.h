/* PH_INVARIANT(identifier, label).  CAPACITY to CONFIG_IN_FORCE are the
 * guarantees of the product, which the demonstration and the soak test report
 * one by one; the rest protect internal data structures. */
PH_INVARIANT(CAPACITY, "capacity")
PH_INVARIANT(ONE_PLACE, "one-place")
PH_INVARIANT(RESUME_ONCE, "resume-once")
PH_INVARIANT(WHOLE_ANSWER, "whole-answer")
PH_INVARIANT(NOT_RUN, "not-run-is-true")
PH_INVARIANT(AT_MOST_ONCE, "at-most-once")
PH_INVARIANT(LEAVING, "leaving-gets-no-work")
PH_INVARIANT(GRACEFUL_STOP, "graceful-stop")
PH_INVARIANT(CONFIG_IN_FORCE, "config-in-force")
PH_INVARIANT(KERNEL, "kernel")
PH_INVARIANT(QUEUE, "queue-bounds")
PH_INVARIANT(BUDGET, "retry-budget")
PH_INVARIANT(LEASE, "lease")
PH_INVARIANT(TASK_KEPT, "task-kept")
PH_INVARIANT(MEMBER, "member")
PH_INVARIANT(PRECONDITION, "precondition")
