/* State of the configuration fleet, shared by its source files. */
#ifndef PERIDOTHILL_BENCH_CONFIG_FLEET_INTERNAL_H
#define PERIDOTHILL_BENCH_CONFIG_FLEET_INTERNAL_H

#include <inttypes.h>

#include "peridothill/bench/config_fleet.h"

enum {
    NAME_BYTES = 24,
    TOKEN_TICK = 1,
    TOKEN_ANSWER = 2, /* first token of the log's answers */
};

#define LOG_TIMEOUT_NS (3 * PH_NS_PER_S)

/* An answer of the log in transit. */
typedef struct PhFleetAnswer {
    uint64_t token;
    bool append;
    PhStatus status; /* of the append */
    size_t appended; /* records appended */
    PhConfigEvent event;
    GPtrArray *records; /* of the event */
} PhFleetAnswer;

/* A message between two instances. */
typedef struct PhFleetMessage {
    PhConfigEvent event; /* `member` is set on delivery */
    GPtrArray *records;
} PhFleetMessage;

typedef struct PhFleetInstance {
    char name[NAME_BYTES];
    uint32_t index;
    uint32_t group;
    bool up;
    PhRandom *random;
    PhConfigFollower *follower;
    PhConfigAppender *appender;
    GHashTable *answers; /* PhFleetAnswer by token */
    PhTime tick_at;
    PhTime log_available_at;
    PhTime append_failed_at;
    PhTime first_in_force_at;
    uint64_t version;
} PhFleetInstance;

struct PhConfigFleet {
    PhConfigFleetOptions options;
    PhFakeNet *net;
    PhFakeLog *log;
    PhRandom *random;
    PhFleetInstance *instances;
    GArray *patches;      /* PhConfigPatch by the number in the log's record */
    GPtrArray *snapshots; /* PhConfigSnapshot by the number in the record */
    GHashTable *records;  /* PhConfigRecord by offset */
    GArray *versions;     /* PhFleetVersion */
    uint64_t next_token;
    PhTime append_second;
    uint64_t append_count;
    bool log_cut[PH_FAKE_GROUPS]; /* by data centre */
    PhFleetAnswerHandler answered;
    void *context;
    PhFleetCounts counts;
};

void PhFleetAnswer_Destroy(gpointer answer);
/* Pass an event to the appender or the follower of an instance and carry out
 * the resulting actions. */
void PhFleetInstance_Append(PhConfigFleet *f, PhFleetInstance *x,
                            const PhAppendEvent *event);
void PhFleetInstance_Follow(PhConfigFleet *f, PhFleetInstance *x,
                            const PhConfigEvent *event);
void PhFleetInstance_Answer(PhConfigFleet *f, PhFleetInstance *x,
                            uint64_t token);
void PhFleetInstance_Tick(PhConfigFleet *f, PhFleetInstance *x);

/* Read records or snapshots for an instance; the answer arrives later. */
void PhFleetLog_Read(PhConfigFleet *f, PhFleetInstance *x,
                     const PhConfigAction *action);
void PhFleetLog_ReadSnapshots(PhConfigFleet *f, PhFleetInstance *x,
                              const PhConfigAction *action);
void PhFleetLog_WriteSnapshot(PhConfigFleet *f, PhFleetInstance *x,
                              PhConfigSnapshot *snapshot);
/* Appends a batch of patches for an instance; the answer arrives later. */
void PhFleetLog_Append(PhConfigFleet *f, PhFleetInstance *x,
                       const PhAppendAction *action);

#endif
