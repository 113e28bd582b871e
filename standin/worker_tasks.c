#include "peridothill/standin/worker_tasks.h"

#include "peridothill/codec/worker_command.h"
#include "peridothill/common/random.h"
#include "peridothill/standin/worker_runs.h"

enum {
    STATUS_OK = 200,
    STATUS_BAD_REQUEST = 400,
    STATUS_NOT_FOUND = 404,
};

struct PhStandinTasks {
    PhWorkerTasks *tasks;
};

/* Creates a worker without tasks. */
PhStandinTasks *
PhStandinTasks_Create(uint64_t seed, PhFakeSize capacity)
{
    PhStandinTasks *t = g_new0(PhStandinTasks, 1);
    PhJobSize size = {.cpu_milli = capacity.milli_processors,
                      .memory_mb = capacity.memory_mb,
                      .accelerators = capacity.accelerators};
    PhRandom *random = PhRandom_Create(seed);
    /* Positive also as a signed number. */
    t->tasks = PhWorkerTasks_Create((PhRandom_U64(random) >> 1) | 1, size);
    PhRandom_Destroy(random);
    return t;
}

/* Releases the worker; NULL is allowed. */
void
PhStandinTasks_Destroy(PhStandinTasks *tasks)
{
    if (tasks == NULL) {
        return;
    }
    PhWorkerTasks_Destroy(tasks->tasks);
    g_free(tasks);
}

/* Carries out a command, or, for GET /tasks, lists what runs. */
int
PhStandinTasks_Handle(PhStandinTasks *tasks, PhTime now, PhStr method,
                      PhStr path, PhStr body, PhBuf *answer)
{
    /* A question without a boot number renews nothing. */
    PhWorkerCommand command = {.kind = PH_WORKER_RENEW};
    bool list = PhStr_Equal(method, PhStr_LITERAL("GET")) &&
                PhStr_Equal(path, PhStr_LITERAL("/tasks"));
    if (!list) {
        PhResult result = PhWorkerCommand_Decode(path, body, &command);
        if (!PhResult_IsOk(&result)) {
            return result.status == PH_STATUS_NOT_FOUND ? STATUS_NOT_FOUND
                                                        : STATUS_BAD_REQUEST;
        }
    }
    PhWorkerAnswer a =
        PhWorkerTasks_Command(tasks->tasks, &command, now / PH_NS_PER_MS);
    PhStr text = PhWorkerAnswer_Encode(&a);
    PhBuf_Append(answer, text);
    PhStr_Clear(&text);
    PhWorkerAnswer_Clear(&a);
    return STATUS_OK;
}
