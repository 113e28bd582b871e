/* Builds long or deeply nested input texts. */
#ifndef PERIDOTHILL_TESTS_REPEATED_TEXT_H
#define PERIDOTHILL_TESTS_REPEATED_TEXT_H

#include "peridothill/common/str.h"

/* Concatenates `head`, `repeat` written `times` times, and `tail`. The caller
 * owns the result. */
PhStr PhRepeatedText_Make(PhStr head, const char *repeat, size_t times,
                          PhStr tail);

#endif
