#include "timeline.h"

#include "tests/table.h"

#include <glib.h>

void
PhTimeline_Print(const char *text)
{
    char **lines = g_strsplit(text, "\n", 0);
    for (char **line = lines; *line != NULL; line++) {
        if (**line != '\0') {
            print_message("%s\n", *line);
        }
    }
    g_strfreev(lines);
}
