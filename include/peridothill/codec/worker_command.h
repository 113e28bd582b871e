/* Encoding of worker commands and answers as JSON over HTTP. */
#ifndef PERIDOTHILL_CODEC_WORKER_COMMAND_H
#define PERIDOTHILL_CODEC_WORKER_COMMAND_H

#include "peridothill/decide/tasks/worker_command.h"

/* HTTP path to which the command is posted. */
PhStr PhWorkerCommand_Path(PhWorkerCommandKind kind);
/* The caller frees the text. */
PhStr PhWorkerCommand_Encode(const PhWorkerCommand *command);
/* Returns NOT_FOUND for an unknown path, INVALID for a malformed body. */
PhResult PhWorkerCommand_Decode(PhStr path, PhStr body,
                                PhWorkerCommand *command);
/* The caller frees the text. */
PhStr PhWorkerAnswer_Encode(const PhWorkerAnswer *answer);
/* The caller clears the answer on success only. */
PhResult PhWorkerAnswer_Decode(PhStr body, PhWorkerAnswer *answer);

#endif
