#include "peridothill/standin/worker_tasks.h"

#include "peridothill/codec/worker_command.h"
#include "peridothill/common/random.h"

enum {
    STATUS_OK = 200,
    STATUS_BAD_REQUEST = 400,
    STATUS_NOT_FOUND = 404,
};

struct PhStandinTasks {
    PhJobSize size;
    PhRandom *boots; /* source of boot numbers */
    PhWorkerTasks *tasks;
};

/* Starts the worker without runs, under a new boot number. */
static void
boot(PhStandinTasks *t)
{
    /* Not 0, and positive as a signed number. */
    t->tasks =
        PhWorkerTasks_Create((PhRandom_U64(t->boots) >> 1) | 1, t->size);
}

PhStandinTasks *
PhStandinTasks_Create(uint64_t seed, PhFakeSize capacity)
{
    PhStandinTasks *t = g_new0(PhStandinTasks, 1);
    t->size = (PhJobSize){.cpu_milli = capacity.cpu_milli,
                          .memory_mb = capacity.memory_mb,
                          .accelerators = capacity.accelerators};
    t->boots = PhRandom_Create(seed);
    boot(t);
    return t;
}

/* NULL is allowed. */
void
PhStandinTasks_Destroy(PhStandinTasks *tasks)
{
    if (tasks == NULL) {
        return;
    }
    PhWorkerTasks_Destroy(tasks->tasks);
    PhRandom_Destroy(tasks->boots);
    g_free(tasks);
}

/* GET /tasks lists the runs. */
int
PhStandinTasks_Handle(PhStandinTasks *tasks, PhTime now, PhStr method,
                      PhStr path, PhStr body, PhBuf *answer)
{
    /* Without a boot number this is a query that renews nothing. */
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

const GArray *
PhStandinTasks_Runs(PhStandinTasks *tasks, PhTime now)
{
    PhWorkerTasks_Advance(tasks->tasks, now / PH_NS_PER_MS);
    return PhWorkerTasks_Runs(tasks->tasks);
}

PhJobSize
PhStandinTasks_Size(const PhStandinTasks *tasks)
{
    return tasks->size;
}

void
PhStandinTasks_Restart(PhStandinTasks *tasks)
{
    PhWorkerTasks_Destroy(tasks->tasks);
    boot(tasks);
}
