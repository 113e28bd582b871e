/* Counters of the kernel. */
PH_COUNTER(KERNEL_MESSAGES, "peridothill_kernel_messages_total", "",
           "Messages delivered to tasks")
PH_COUNTER(KERNEL_MAILBOX_FULL, "peridothill_kernel_mailbox_full_total", "",
           "Messages refused by a full mailbox")
PH_COUNTER(KERNEL_TIMERS, "peridothill_kernel_timers_total", "",
           "Timers that came due")
