/* Events 4000 to 4999: configuration and operators. */
