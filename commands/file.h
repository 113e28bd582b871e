/* Files named on the command line or in the settings. */
#ifndef PERIDOTHILL_COMMANDS_FILE_H
#define PERIDOTHILL_COMMANDS_FILE_H

#include "peridothill/common/status.h"
#include "peridothill/common/str.h"

/* Reads a whole file; the caller owns the text.  IO: with the reason. */
PhResult PhFile_Read(const char *path, PhStr *text);

#endif
