#include "peridothill/decide/tasks/worker_command.h"

#include <xxhash.h>

void
PhWorkerAnswer_Clear(PhWorkerAnswer *answer)
{
    if (answer->running != NULL) {
        g_array_unref(answer->running);
        answer->running = NULL;
    }
    if (answer->ended != NULL) {
        g_array_unref(answer->ended);
        answer->ended = NULL;
    }
}

/* Hashes in little-endian order, as sender and worker must agree. */
uint64_t
PhRun_Digest(PhRun run)
{
    uint64_t words[2] = {
        GUINT64_TO_LE(run.job),
        GUINT64_TO_LE(((uint64_t)run.index << 32) | run.incarnation)};
    return XXH3_64bits(words, sizeof(words));
}

uint64_t
PhRuns_Digest(const GArray *runs)
{
    uint64_t digest = 0;
    for (guint i = 0; i < runs->len; i++) {
        digest ^= PhRun_Digest(g_array_index(runs, PhRun, i));
    }
    return digest;
}
