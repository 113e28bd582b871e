/* Texts that other writers may leave. */
#ifndef PERIDOTHILL_TESTS_ODD_TEXT_H
#define PERIDOTHILL_TESTS_ODD_TEXT_H

#include "peridothill/common/str.h"

/* Makes a text of a head, something repeated, and a tail; it is owned by the
 * caller. */
PhStr PhOddText_Make(PhStr head, const char *repeat, size_t times, PhStr tail);

#endif
