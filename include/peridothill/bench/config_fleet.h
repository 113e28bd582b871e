/* Many configuration followers and appenders over the fake network and the
 * fake log, on a paused time: for benches and randomised tests. */
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
    uint32_t readers;      /* for each data centre */
    double loss;
    PhTime retention;
    uint32_t appends_per_second; /* shared by all instances; 0: default */
} PhConfigFleetOptions;

/* What became of one version. */
typedef struct PhFleetVersion {
    uint64_t digest;
    uint64_t patch_id;  /* hash of the id */
    PhTime appended;    /* when the log took the patch */
    PhTime last_holder; /* when the latest instance put it in force */
    uint32_t holders;   /* instances that put it in force */
} PhFleetVersion;

typedef struct PhFleetCounts {
    uint64_t messages;
    uint64_t bytes;
    uint64_t log_reads;
    uint64_t appends;
    uint64_t appends_in_second; /* the most in any second */
    uint64_t notes[PH_CONFIG_NOTE_UNREADABLE + 1];
} PhFleetCounts;

typedef struct PhConfigFleet PhConfigFleet;

/* Tells the answer to a submission. */
typedef void (*PhFleetAnswered)(void *context, uint64_t request,
                                const PhResult *result, uint64_t version);

/* No instance runs yet. */
PhConfigFleet *PhConfigFleet_Create(const PhConfigFleetOptions *options);
void PhConfigFleet_Destroy(PhConfigFleet *fleet);
void PhConfigFleet_OnAnswer(PhConfigFleet *fleet, PhFleetAnswered answered,
                            void *context);
/* Starts an instance that holds nothing; the others see it at once. */
void PhConfigFleet_Start(PhConfigFleet *fleet, uint32_t instance);
void PhConfigFleet_Crash(PhConfigFleet *fleet, uint32_t instance);
void PhConfigFleet_StartAll(PhConfigFleet *fleet);
void PhConfigFleet_CrashAll(PhConfigFleet *fleet);
/* Cuts a data centre off from the log, or ends that. */
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
/* The version in force; 0 as long as the instance recovers. */
uint64_t PhConfigFleet_Version(const PhConfigFleet *fleet, uint32_t instance);
/* When the instance first had a version in force since its start. */
PhTime PhConfigFleet_UsefulAt(const PhConfigFleet *fleet, uint32_t instance);
uint64_t PhConfigFleet_HighestVersion(const PhConfigFleet *fleet);
const PhFleetVersion *PhConfigFleet_VersionAt(const PhConfigFleet *fleet,
                                              uint64_t version);
PhFleetCounts *PhConfigFleet_Counts(PhConfigFleet *fleet);

#endif
