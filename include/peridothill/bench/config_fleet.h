/* Simulates instances that follow and append to the configuration log, on the
 * fake network, the fake log and a simulated clock.  Used by benchmarks and
 * randomised tests. */
#ifndef PERIDOTHILL_BENCH_CONFIG_FLEET_H
#define PERIDOTHILL_BENCH_CONFIG_FLEET_H

#include "peridothill/decide/config/config_appender.h"
#include "peridothill/decide/config/config_follower.h"
#include "peridothill/fakes/fake_log.h"
#include "peridothill/fakes/fake_net.h"

typedef struct PhConfigFleetOptions {
    uint64_t seed;
    uint32_t instances;
    uint32_t data_centres; /* instance i is in data centre i mod this */
    uint32_t regions;      /* data centre d is in region d mod this */
    uint32_t readers;      /* per data centre */
    double loss;
    PhTime retention;
    uint32_t appends_per_second; /* shared by all instances; 0: default */
} PhConfigFleetOptions;

/* Propagation of one version. */
typedef struct PhFleetVersion {
    uint64_t digest;
    uint64_t patch_id;       /* hash of the id */
    PhTime appended;         /* when the log accepted the patch */
    PhTime last_in_force_at; /* when the last instance put it in force */
    uint32_t instance_count; /* instances that put it in force */
} PhFleetVersion;

typedef struct PhFleetCounts {
    uint64_t messages;
    uint64_t bytes;
    uint64_t log_reads;
    uint64_t appends;
    uint64_t appends_per_second_max; /* maximum in any second */
    uint64_t notes[PH_CONFIG_NOTE_UNREADABLE + 1];
} PhFleetCounts;

typedef struct PhConfigFleet PhConfigFleet;

/* Called with the result of a submitted patch. */
typedef void (*PhFleetAnswerHandler)(void *context, uint64_t request,
                                     const PhResult *result, uint64_t version);

/* Creates a fleet with no instance running. */
PhConfigFleet *PhConfigFleet_Create(const PhConfigFleetOptions *options);
void PhConfigFleet_Destroy(PhConfigFleet *fleet);
void PhConfigFleet_OnAnswer(PhConfigFleet *fleet,
                            PhFleetAnswerHandler answered, void *context);
/* Starts an instance with empty state; the others see it immediately. */
void PhConfigFleet_Start(PhConfigFleet *fleet, uint32_t instance);
void PhConfigFleet_Crash(PhConfigFleet *fleet, uint32_t instance);
void PhConfigFleet_StartAll(PhConfigFleet *fleet);
void PhConfigFleet_CrashAll(PhConfigFleet *fleet);
/* Disconnects a data centre from the log, or reconnects it. */
void PhConfigFleet_CutLog(PhConfigFleet *fleet, uint32_t data_centre,
                          bool cut);
void PhConfigFleet_Bridge(PhConfigFleet *fleet, uint32_t instance);
bool PhConfigFleet_IsUp(const PhConfigFleet *fleet, uint32_t instance);
/* Submits a patch that sets the share of a team. */
void PhConfigFleet_Submit(PhConfigFleet *fleet, uint32_t instance,
                          uint64_t request, uint64_t patch, uint64_t base,
                          uint32_t team, PhTime deadline);
void PhConfigFleet_Run(PhConfigFleet *fleet, PhTime until);
PhTime PhConfigFleet_Now(const PhConfigFleet *fleet);
PhFakeNet *PhConfigFleet_Net(PhConfigFleet *fleet);
PhFakeLog *PhConfigFleet_Log(PhConfigFleet *fleet);
const PhConfigFollower *PhConfigFleet_Follower(const PhConfigFleet *fleet,
                                               uint32_t instance);
/* Returns the version in force; 0 while the instance recovers. */
uint64_t PhConfigFleet_Version(const PhConfigFleet *fleet, uint32_t instance);
/* Returns when the instance first had a version in force since its start,
 * negative if it has none yet. */
PhTime PhConfigFleet_FirstInForceAt(const PhConfigFleet *fleet,
                                    uint32_t instance);
uint64_t PhConfigFleet_HighestVersion(const PhConfigFleet *fleet);
const PhFleetVersion *PhConfigFleet_VersionAt(const PhConfigFleet *fleet,
                                              uint64_t version);
PhFleetCounts *PhConfigFleet_Counts(PhConfigFleet *fleet);

#endif
