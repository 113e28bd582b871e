#include "peridothill/standin/worker_tasks.h"

#include <inttypes.h>

enum {
    STATUS_OK = 200,
    STATUS_NOT_FOUND = 404
};

struct PhStandinTasks {
    PhFakeWorker *worker;
};

/* Creates a worker without tasks. */
PhStandinTasks *
PhStandinTasks_Create(uint64_t seed, PhFakeSize capacity)
{
    PhStandinTasks *t = g_new0(PhStandinTasks, 1);
    PhFakeWorkerOptions options = {
        .seed = seed, .slots = 1, .capacity = capacity};
    t->worker = PhFakeWorker_Create(&options);
    return t;
}

/* Releases the worker; NULL is allowed. */
void
PhStandinTasks_Destroy(PhStandinTasks *tasks)
{
    if (tasks == NULL) {
        return;
    }
    PhFakeWorker_Destroy(tasks->worker);
    g_free(tasks);
}

/* Tells what is committed on the worker. */
int
PhStandinTasks_Handle(PhStandinTasks *tasks, PhTime now, PhStr method,
                      PhStr path, PhStr body, PhBuf *answer)
{
    (void)body;
    if (!PhStr_Equal(method, PhStr_LITERAL("GET")) ||
        !PhStr_Equal(path, PhStr_LITERAL("/tasks"))) {
        return STATUS_NOT_FOUND;
    }
    GArray *ended = g_array_new(FALSE, FALSE, sizeof(PhFakeEnded));
    PhFakeWorker_Advance(tasks->worker, now, ended);
    g_array_free(ended, TRUE);
    PhFakeSize size = PhFakeWorker_Committed(tasks->worker);
    PhBuf_AppendFormat(answer,
                       "{\"cpu_milli\":%" PRId64 ",\"memory_mb\":%" PRId64
                       ",\"accelerators\":%" PRId64 "}",
                       size.milli_processors, size.memory_mb,
                       size.accelerators);
    return STATUS_OK;
}
