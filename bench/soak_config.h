/* The randomised run of the configuration, shared by its files. */
#ifndef PERIDOTHILL_BENCH_SOAK_CONFIG_H
#define PERIDOTHILL_BENCH_SOAK_CONFIG_H

#include <glib.h>

#include "peridothill/bench/soak.h"
#include "peridothill/common/random.h"
#include "peridothill/decide/config/config_appender.h"
#include "peridothill/decide/config/config_follower.h"
#include "peridothill/fakes/fake_log.h"
#include "peridothill/fakes/fake_net.h"

enum {
    SOAK_CONFIG_CENTRES = 3,
    SOAK_CONFIG_NODES = 9,     /* endpoints 1 to SOAK_CONFIG_NODES */
    SOAK_CONFIG_CONDUCTOR = 0, /* endpoint of the plan and of operators */
    SOAK_CONFIG_TEAMS = 12,
};

/* What the whole log decides, applied at the moment of each append. */
typedef struct PhSoakReference {
    uint64_t seed;
    PhConfigLedger *ledger;
    GArray *digests;     /* uint64_t by version */
    GHashTable *refused; /* ids of patches that were "not accepted" */
} PhSoakReference;

PhSoakReference *PhSoakReference_Create(uint64_t seed);
void PhSoakReference_Destroy(PhSoakReference *reference);
/* Takes one record that the log holds now; copies the patch. */
void PhSoakReference_Append(PhSoakReference *reference, uint64_t offset,
                            PhTime now, const PhConfigPatch *patch);
/* Checks the answer that an operator gets. */
void PhSoakReference_CheckAnswer(PhSoakReference *reference, PhStr id,
                                 const PhResult *result, uint64_t version);
/* Checks a version that comes into force after version `before`. */
void PhSoakReference_CheckInForce(PhSoakReference *reference, uint64_t before,
                                  const PhConfigState *state);
/* Checks at rest that a follower has caught up. */
void PhSoakReference_CheckSettled(PhSoakReference *reference,
                                  const PhConfigFollower *follower,
                                  PhTime now);

/* An instance, or the empty place of one. */
typedef struct PhConfigNode {
    PhConfigFollower *follower; /* NULL while the place is empty */
    PhConfigAppender *appender;
    PhRandom *random;
    char *id;
    uint64_t follow_wakes; /* number of the last timer that counts */
    uint64_t append_wakes;
    PhTime append_failed_at;
    PhTime heard_at;
    uint64_t in_force;
} PhConfigNode;

typedef struct PhSoakConfig {
    PhSoakRun *run;
    PhFakeNet *net;
    PhFaultPlan *plan;
    PhRandom *random;
    PhFakeLog *log;
    PhSoakReference *reference;
    GPtrArray *patches;   /* PhConfigPatch, by the number in a record */
    GPtrArray *snapshots; /* PhConfigSnapshot, likewise */
    GPtrArray *answers;   /* PhSoakAnswer on their way */
    PhConfigNode nodes[SOAK_CONFIG_NODES + 1];
    uint64_t generation;
    uint64_t submitted;
    bool cut_off[SOAK_CONFIG_CENTRES]; /* from the log */
} PhSoakConfig;

/* Gives an event to the follower or the appender of an instance. */
void PhSoakConfig_Follow(PhSoakConfig *s, uint32_t endpoint,
                         const PhConfigEvent *event);
void PhSoakConfig_Append(PhSoakConfig *s, uint32_t endpoint,
                         const PhAppendEvent *event);

/* Starts an instance with nothing in an empty place, or ends one at once. */
void PhSoakConfig_Start(PhSoakConfig *s, uint32_t endpoint);
void PhSoakConfig_End(PhSoakConfig *s, uint32_t endpoint);
/* Submits a patch at a random instance; SOAK_CONFIG_TEAMS picks any team. */
void PhSoakConfig_Submit(PhSoakConfig *s, uint64_t team);
/* Begins or ends a fault. */
void PhSoakConfig_SetFault(PhSoakConfig *s, const PhFaultChange *change);

/* Calls of the log; the answer comes back as a timer with this kind. */
void PhSoakConfigLog_Read(PhSoakConfig *s, uint32_t endpoint,
                          const PhConfigAction *action);
void PhSoakConfigLog_WriteSnapshot(PhSoakConfig *s, uint32_t endpoint,
                                   const PhConfigSnapshot *snapshot);
void PhSoakConfigLog_Append(PhSoakConfig *s, uint32_t endpoint,
                            const PhAppendAction *action);
/* Delivers the answer with a number. */
void PhSoakConfigLog_Answer(PhSoakConfig *s, uint32_t endpoint,
                            uint64_t number);

/* Kinds of timers, in the low bits of a token. */
enum {
    SOAK_CONFIG_FOLLOW,
    SOAK_CONFIG_APPEND,
    SOAK_CONFIG_ANSWER,
    SOAK_CONFIG_VIEW,
    SOAK_CONFIG_PLAN,
    SOAK_CONFIG_SUBMIT,
    SOAK_CONFIG_KINDS,
};

#endif
