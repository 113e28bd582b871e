/* Tables of test cases: a case that fails is named in the output. */
#ifndef PERIDOTHILL_TESTS_TABLE_H
#define PERIDOTHILL_TESTS_TABLE_H

/* cmocka needs these before its own header. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>

/* Calls RUN(&case) for each row of CASES; each row has a `name` field that
 * the output shows before the row runs. */
#define Ph_RUN_TABLE(CASES, RUN)                                              \
    do {                                                                      \
        for (size_t i_ = 0; i_ < sizeof(CASES) / sizeof((CASES)[0]); i_++) {  \
            print_message("# case %s\n", (CASES)[i_].name);                   \
            RUN(&(CASES)[i_]);                                                \
        }                                                                     \
    } while (0)

#endif
