/* Text tables with aligned columns. */
#ifndef PERIDOTHILL_COMMANDS_TABLE_H
#define PERIDOTHILL_COMMANDS_TABLE_H

#include <glib.h>
#include <stdio.h>

#include "peridothill/common/str.h"

typedef struct PhTable PhTable;

/* Creates a table; `titles` holds one title per column. */
PhTable *PhTable_Create(const char *const *titles, size_t columns);
void PhTable_Destroy(PhTable *table);
/* Add the next cell, row by row. */
void PhTable_AddStr(PhTable *table, PhStr text);
void PhTable_AddFormat(PhTable *table, const char *format, ...)
    G_GNUC_PRINTF(2, 3);
void PhTable_Print(const PhTable *table, FILE *out);

#endif
