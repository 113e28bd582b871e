#include "commands/table.h"

#include <stdarg.h>

struct PhTable {
    GPtrArray *cells; /* char *, row by row; titles first */
    size_t columns;
    size_t *widths;
};

/* Takes ownership of the text and widens the column if needed. */
static void
cell_add(PhTable *table, char *text)
{
    size_t column = table->cells->len % table->columns;
    size_t width = (size_t)g_utf8_strlen(text, -1);
    table->widths[column] = MAX(table->widths[column], width);
    g_ptr_array_add(table->cells, text);
}

PhTable *
PhTable_Create(const char *const *titles, size_t columns)
{
    PhTable *table = g_new0(PhTable, 1);
    table->cells = g_ptr_array_new_with_free_func(g_free);
    table->columns = columns;
    table->widths = g_new0(size_t, columns);
    for (size_t i = 0; i < columns; i++) {
        cell_add(table, g_strdup(titles[i]));
    }
    return table;
}

void
PhTable_Destroy(PhTable *table)
{
    if (table == NULL) {
        return;
    }
    g_ptr_array_free(table->cells, TRUE);
    g_free(table->widths);
    g_free(table);
}

void
PhTable_AddStr(PhTable *table, PhStr text)
{
    cell_add(table, PhStr_ToC(text));
}

void
PhTable_AddFormat(PhTable *table, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    cell_add(table, g_strdup_vprintf(format, args));
    va_end(args);
}

/* The last cell of a row ends the line. */
static void
cell_print(const PhTable *table, size_t index, FILE *out)
{
    const char *text = g_ptr_array_index(table->cells, index);
    size_t column = index % table->columns;
    if (column == table->columns - 1) {
        fprintf(out, "%s\n", text);
        return;
    }
    size_t width = (size_t)g_utf8_strlen(text, -1);
    fprintf(out, "%s%*s", text, (int)(table->widths[column] - width + 2), "");
}

void
PhTable_Print(const PhTable *table, FILE *out)
{
    for (guint i = 0; i < table->cells->len; i++) {
        cell_print(table, i, out);
    }
}
