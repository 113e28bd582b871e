#ifndef PERIDOTHILL_TESTS_TIMELINE_H
#define PERIDOTHILL_TESTS_TIMELINE_H

/* Prints a text line by line, since cmocka truncates messages beyond 1 KB. */
void PhTimeline_Print(const char *text);

#endif
