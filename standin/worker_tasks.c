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
    PhRandom *boots; /* gives the number of each boot */
    PhWorkerTasks *tasks;
};

/* Starts the worker empty, under a new boot number. */
static void
boot(PhStandinTasks *t)
{
    /* Positive also as a signed number. */
    t->tasks =
        PhWorkerTasks_Create((PhRandom_U64(t->boots) >> 1) | 1, t->size);
}

/* Creates a worker without tasks. */
PhStandinTasks *
PhStandinTasks_Create(uint64_t seed, PhFakeSize capacity)
{
    PhStandinTasks *t = g_new0(PhStandinTasks, 1);
    t->size = (PhJobSize){.cpu_milli = capacity.milli_processors,
                          .memory_mb = capacity.memory_mb,
                          .accelerators = capacity.accelerators};
    t->boots = PhRandom_Create(seed);
    boot(t);
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
    PhRandom_Destroy(tasks->boots);
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

/* Gives the runs that are held at `now`. */
const GArray *
PhStandinTasks_Runs(PhStandinTasks *tasks, PhTime now)
{
    PhWorkerTasks_Advance(tasks->tasks, now / PH_NS_PER_MS);
    return PhWorkerTasks_Runs(tasks->tasks);
}

/* Gives the size of the worker. */
PhJobSize
PhStandinTasks_Size(const PhStandinTasks *tasks)
{
    return tasks->size;
}

/* Restarts the worker empty. */
void
PhStandinTasks_Restart(PhStandinTasks *tasks)
{
    PhWorkerTasks_Destroy(tasks->tasks);
    boot(tasks);
}
