/* Events 5000 to 5999: membership and peer links. */
