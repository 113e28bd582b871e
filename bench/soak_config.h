/* State of the configuration soak run, shared by its source files. */
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
    SOAK_CONFIG_NODES = 9,  /* endpoints 1 to SOAK_CONFIG_NODES */
    SOAK_CONFIG_DRIVER = 0, /* endpoint of the fault plan and the operators */
    SOAK_CONFIG_TEAMS = 12,
};

/* Reference model: the log applied at the moment of each append. */
typedef struct PhSoakReference {
    uint64_t seed;
    PhConfigLedger *ledger;
    GArray *digests;          /* uint64_t by version */
    GHashTable *not_accepted; /* ids of patches answered UNAVAILABLE */
} PhSoakReference;

PhSoakReference *PhSoakReference_Create(uint64_t seed);
void PhSoakReference_Destroy(PhSoakReference *reference);
/* Applies a record that was just appended; copies the patch. */
void PhSoakReference_Append(PhSoakReference *reference, uint64_t offset,
                            PhTime now, const PhConfigPatch *patch);
/* Checks the answer to a submitted patch. */
void PhSoakReference_CheckAnswer(PhSoakReference *reference, PhStr id,
                                 const PhResult *result, uint64_t version);
/* Checks a version that comes into force after version `before`. */
void PhSoakReference_CheckInForce(PhSoakReference *reference, uint64_t before,
                                  const PhConfigState *state);
/* Checks after settling that a follower has caught up. */
void PhSoakReference_CheckSettled(PhSoakReference *reference,
                                  const PhConfigFollower *follower,
                                  PhTime now);

/* A slot for an instance. */
typedef struct PhConfigNode {
    PhConfigFollower *follower; /* NULL while the slot is empty */
    PhConfigAppender *appender;
    PhRandom *random;
    char *id;
    uint64_t follower_timer; /* of the latest timer; older ones are ignored */
    uint64_t appender_timer;
    PhTime append_failed_at;
    PhTime log_available_at;
    uint64_t in_force;
} PhConfigNode;

typedef struct PhSoakConfig {
    PhSoakRun *run;
    PhFakeNet *net;
    PhFaultPlan *plan;
    PhRandom *random;
    PhFakeLog *log;
    PhSoakReference *reference;
    GPtrArray *patches;   /* PhConfigPatch, by number in a record */
    GPtrArray *snapshots; /* PhConfigSnapshot, by number in a record */
    GPtrArray *answers;   /* PhSoakAnswer in transit */
    PhConfigNode nodes[SOAK_CONFIG_NODES + 1];
    uint64_t generation;
    uint64_t submitted;
    bool cut_off[SOAK_CONFIG_CENTRES]; /* from the log */
} PhSoakConfig;

/* Pass an event to the follower or the appender of an instance. */
void PhSoakConfig_Follow(PhSoakConfig *s, uint32_t endpoint,
                         const PhConfigEvent *event);
void PhSoakConfig_Append(PhSoakConfig *s, uint32_t endpoint,
                         const PhAppendEvent *event);

/* Start an instance with empty state in an empty slot, or kill one. */
void PhSoakConfig_Start(PhSoakConfig *s, uint32_t endpoint);
void PhSoakConfig_Kill(PhSoakConfig *s, uint32_t endpoint);
/* Submits a patch at a random instance; SOAK_CONFIG_TEAMS picks a random
 * team. */
void PhSoakConfig_Submit(PhSoakConfig *s, uint64_t team);
/* Begins or ends a fault. */
void PhSoakConfig_SetFault(PhSoakConfig *s, const PhFaultChange *change);

/* Log operations; the answer arrives as a timer of kind SOAK_CONFIG_ANSWER. */
void PhSoakConfigLog_Read(PhSoakConfig *s, uint32_t endpoint,
                          const PhConfigAction *action);
void PhSoakConfigLog_WriteSnapshot(PhSoakConfig *s, uint32_t endpoint,
                                   const PhConfigSnapshot *snapshot);
void PhSoakConfigLog_Append(PhSoakConfig *s, uint32_t endpoint,
                            const PhAppendAction *action);
void PhSoakConfigLog_Answer(PhSoakConfig *s, uint32_t endpoint,
                            uint64_t number);

/* Timer kinds; the kind of a token is its remainder by SOAK_CONFIG_KINDS. */
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
