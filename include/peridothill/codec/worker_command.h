/* Commands to workers and their answers, as JSON over HTTP. */
#ifndef PERIDOTHILL_CODEC_WORKER_COMMAND_H
#define PERIDOTHILL_CODEC_WORKER_COMMAND_H

#include "peridothill/decide/tasks/worker_command.h"

/* The path that a command is posted to. */
PhStr PhWorkerCommand_Path(PhWorkerCommandKind kind);
/* Encodes the body of a command; the text is the caller's. */
PhStr PhWorkerCommand_Encode(const PhWorkerCommand *command);
/* Decodes a command from its path and body. */
PhResult PhWorkerCommand_Decode(PhStr path, PhStr body,
                                PhWorkerCommand *command);
PhStr PhWorkerAnswer_Encode(const PhWorkerAnswer *answer);
/* Decodes an answer; its lists are the caller's. */
PhResult PhWorkerAnswer_Decode(PhStr body, PhWorkerAnswer *answer);

#endif
