/* Fault injection of the requests soak run. */
#include "soak_requests.h"

enum {
    FLOOD_FACTOR = 30,
    LOAD_FACTOR = 3,
    NOISE_FACTOR = 8,
    PAUSE_MAX_S = 5,
};

/* Every other death is a planned stop, together with that of a worker. */
static void
death_set(PhSoakRequests *s, const PhFaultChange *change, uint32_t node)
{
    bool on = change->kind == PH_FAULT_BEGIN;
    bool planned = change->pick >> 32 & 1;
    bool alive = s->nodes[node].requests != NULL;
    PhSoakWorker *w = &s->workers[change->pick / SOAK_REQUESTS_NODES %
                                  SOAK_REQUESTS_WORKERS];
    w->leaving = on && planned;
    if (on && alive && planned) {
        PhSoakRequests_HandleEvent(
            s, node, &(PhRequestsEvent){.tag = PH_REQUESTS_STOP});
    }
    else if (on && alive) {
        PhSoakRequests_Kill(s, node);
    }
    if (!alive && (!on || change->fault == PH_FAULT_PROCESS_DEATH)) {
        PhSoakRequests_Start(s, node);
    }
}

void
PhSoakRequests_SetFault(PhSoakRequests *s, const PhFaultChange *change)
{
    bool on = change->kind == PH_FAULT_BEGIN;
    uint64_t pick = change->pick;
    uint32_t node = 1 + (uint32_t)(pick % SOAK_REQUESTS_NODES);
    PhSoakWorker *w =
        &s->workers[pick / SOAK_REQUESTS_NODES % SOAK_REQUESTS_WORKERS];
    switch (change->fault) {
    case PH_FAULT_LOAD_SHIFT:
        for (int i = 0; i < SOAK_REQUESTS_SERVICES; i++) {
            s->rates[i] = on ? LOAD_FACTOR : 1;
        }
        break;
    case PH_FAULT_NOISY_TASKS:
        for (uint32_t k = 0; k < SOAK_REQUESTS_WORKERS; k += 2) {
            PhFakeWorker_Options(s->workers[k].slots)->interference =
                on ? NOISE_FACTOR : 1;
        }
        break;
    case PH_FAULT_INSTANCE_DEATH:
    case PH_FAULT_PROCESS_DEATH:
        death_set(s, change, node);
        break;
    case PH_FAULT_BAD_WORKER:
        w->fails = on;
        break;
    case PH_FAULT_SILENT_CONNECTION:
        w->hangs = on;
        break;
    case PH_FAULT_FLOOD_LEAST_URGENT:
        s->rates[2] = on ? FLOOD_FACTOR : 1;
        break;
    case PH_FAULT_FLOOD_MOST_URGENT:
        s->rates[0] = on ? FLOOD_FACTOR : 1;
        break;
    case PH_FAULT_STORE_DOWN:
        s->store_down = on;
        break;
    case PH_FAULT_LOST_ANSWERS:
        s->lost_answers = on ? 0.3 : 0;
        break;
    case PH_FAULT_PAUSED_HOLDER:
        if (on) {
            PhFakeNet_Pause(s->net, node,
                            PhFakeNet_Now(s->net) +
                                (PhTime)(pick % (PAUSE_MAX_S * PH_NS_PER_S)));
        }
        break;
    case PH_FAULT_PARTITION:
        PhSoakLinks_Cut(s->net, SOAK_REQUESTS_CENTRES,
                        node % SOAK_REQUESTS_CENTRES, on);
        break;
    case PH_FAULT_WRONG_SIZES:
    case PH_FAULT_IMPOSSIBLE_JOB:
    case PH_FAULT_CANCEL_WAVE:
    case PH_FAULT_STORE_SLOW:
    case PH_FAULT_RACING_OPERATORS:
    case PH_FAULT_COUNT:
        break;
    }
}
