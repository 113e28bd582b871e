#include "peridothill/standin/standin.h"

PhStandinWorkerState *
PhStandinWorkerState_Create(PhStr id, uint32_t slots, PhTime service_mean)
{
    PhStandinWorkerState *s = g_new0(PhStandinWorkerState, 1);
    s->id = PhStr_Dup(id);
    s->slots = slots;
    s->service_mean = service_mean;
    s->runs = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                    PhStr_KeyDestroy, NULL);
    return s;
}

/* NULL is allowed. */
void
PhStandinWorkerState_Destroy(PhStandinWorkerState *state)
{
    if (state == NULL) {
        return;
    }
    PhStr_Clear(&state->id);
    g_hash_table_destroy(state->runs);
    g_free(state);
}
