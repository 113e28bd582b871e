/* Table-driven tests; the output names the case that fails. */
#ifndef PERIDOTHILL_TESTS_TABLE_H
#define PERIDOTHILL_TESTS_TABLE_H

/* cmocka.h requires these four. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>

/* Calls RUN(&case) for each row of CASES after printing its `name` field. */
#define Ph_RUN_TABLE(CASES, RUN)                                              \
    do {                                                                      \
        for (size_t i_ = 0; i_ < sizeof(CASES) / sizeof((CASES)[0]); i_++) {  \
            print_message("# case %s\n", (CASES)[i_].name);                   \
            RUN(&(CASES)[i_]);                                                \
        }                                                                     \
    } while (0)

#endif
