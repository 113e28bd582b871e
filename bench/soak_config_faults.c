/* Operators and fault injection of the configuration soak run. */
#include "soak_config.h"

#define MS PH_NS_PER_MS
#define S PH_NS_PER_S
#define PATCH_DEADLINE_NS (20 * S)

enum {
    RACERS = 6,
};

/* Adds a random change; one in twenty sets an unknown key and is refused. */
static void
patch_add_change(PhSoakConfig *s, PhConfigPatch *patch, uint64_t team)
{
    char *path =
        g_strdup_printf("teams.t%" G_GUINT64_FORMAT ".%s", team,
                        PhRandom_Chance(s->random, 0.05) ? "colour" : "share");
    char *value =
        g_strdup_printf("%" G_GUINT64_FORMAT, PhRandom_Below(s->random, 100));
    bool removal = PhRandom_Chance(s->random, 0.1);
    PhConfigPatch_Add(
        patch, removal ? PH_CONFIG_CHANGE_DELETE : PH_CONFIG_CHANGE_SET,
        PhStr_FromC(path), removal ? (PhStr){0} : PhStr_FromC(value));
    g_free(path);
    g_free(value);
}

void
PhSoakConfig_Submit(PhSoakConfig *s, uint64_t team)
{
    uint32_t endpoint =
        1 + (uint32_t)PhRandom_Below(s->random, SOAK_CONFIG_NODES);
    PhConfigNode *node = &s->nodes[endpoint];
    if (node->follower == NULL) {
        return;
    }
    char *id = g_strdup_printf("p%" G_GUINT64_FORMAT, ++s->submitted);
    PhConfigPatch patch = {.id = PhStr_Dup(PhStr_FromC(id)),
                           .author = PhStr_Dup(PhStr_LITERAL("operator")),
                           .base = PhConfigState_Version(PhConfigLedger_State(
                               PhConfigFollower_Ledger(node->follower))),
                           .strict = PhRandom_Chance(s->random, 0.1)};
    patch_add_change(s, &patch,
                     team < SOAK_CONFIG_TEAMS
                         ? team
                         : PhRandom_Below(s->random, SOAK_CONFIG_TEAMS));
    PhAppendEvent event = {
        .kind = PH_APPEND_EVENT_SUBMIT,
        .as.submit = {.request = s->submitted,
                      .patch = &patch,
                      .deadline = PhFakeNet_Now(s->net) + PATCH_DEADLINE_NS}};
    PhSoakConfig_Append(s, endpoint, &event);
    PhConfigPatch_Clear(&patch);
    g_free(id);
}

static void
fault_set_instance(PhSoakConfig *s, const PhFaultChange *change)
{
    bool on = change->kind == PH_FAULT_BEGIN;
    uint32_t endpoint = 1 + (uint32_t)(change->pick % SOAK_CONFIG_NODES);
    bool alive = s->nodes[endpoint].follower != NULL;
    bool restart = change->fault == PH_FAULT_PROCESS_DEATH;
    if (on && alive) {
        PhSoakConfig_Kill(s, endpoint);
    }
    if (s->nodes[endpoint].follower == NULL && (restart || !on)) {
        PhSoakConfig_Start(s, endpoint);
    }
}

/* Begins or ends an outage of the log.  Every other one begins while patches
 * are appended: they take effect, their answers are lost, and they cannot be
 * looked up until the end. */
static void
store_down_set(PhSoakConfig *s, bool on, uint64_t pick)
{
    PhFakeLogOptions *log = PhFakeLog_Options(s->log);
    double lost_answers = log->lost_answers;
    log->lost_answers = on && (pick >> 32 & 1) ? 1 : lost_answers;
    for (int i = 0; on && i < RACERS; i++) {
        PhSoakConfig_Submit(s, SOAK_CONFIG_TEAMS);
    }
    log->lost_answers = lost_answers;
    log->outage = on;
}

void
PhSoakConfig_SetFault(PhSoakConfig *s, const PhFaultChange *change)
{
    bool on = change->kind == PH_FAULT_BEGIN;
    uint64_t pick = change->pick;
    uint32_t endpoint = 1 + (uint32_t)(pick % SOAK_CONFIG_NODES);
    uint32_t other = 1 + (uint32_t)((endpoint + 3) % SOAK_CONFIG_NODES);
    uint32_t centre = endpoint % SOAK_CONFIG_CENTRES;
    PhFakeLogOptions *log = PhFakeLog_Options(s->log);
    switch (change->fault) {
    case PH_FAULT_LOAD_SHIFT:
        PhSoakLinks_Set(s->net, SOAK_CONFIG_CENTRES, 4 * MS,
                        (on ? 50 : 1) * MS, on ? 0.2 : 0.02);
        break;
    case PH_FAULT_INSTANCE_DEATH:
    case PH_FAULT_PROCESS_DEATH:
        fault_set_instance(s, change);
        break;
    case PH_FAULT_STORE_DOWN:
        store_down_set(s, on, pick);
        break;
    case PH_FAULT_STORE_SLOW:
        log->delay_min = on ? 2 * S : 5 * MS;
        break;
    case PH_FAULT_LOST_ANSWERS:
        log->lost_answers = on ? 0.5 : 0;
        break;
    case PH_FAULT_PAUSED_HOLDER:
        if (on) {
            PhFakeNet_Pause(s->net, endpoint,
                            PhFakeNet_Now(s->net) + (PhTime)(pick % (20 * S)));
        }
        break;
    case PH_FAULT_RACING_OPERATORS:
        for (int i = 0; on && i < RACERS; i++) {
            PhSoakConfig_Submit(s, pick % SOAK_CONFIG_TEAMS);
        }
        break;
    case PH_FAULT_SILENT_CONNECTION:
        PhFakeNet_SetBlackhole(s->net, endpoint, other, on);
        break;
    case PH_FAULT_PARTITION:
        PhSoakLinks_Cut(s->net, SOAK_CONFIG_CENTRES, centre, on);
        s->cut_off[centre] = on && (pick >> 32 & 1);
        break;
    case PH_FAULT_NOISY_TASKS:
    case PH_FAULT_WRONG_SIZES:
    case PH_FAULT_IMPOSSIBLE_JOB:
    case PH_FAULT_CANCEL_WAVE:
    case PH_FAULT_BAD_WORKER:
    case PH_FAULT_FLOOD_LEAST_URGENT:
    case PH_FAULT_FLOOD_MOST_URGENT:
    case PH_FAULT_COUNT:
        break;
    }
}
