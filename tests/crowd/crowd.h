/* Real processes on loopback and a crowd of connections to one of their
 * listeners. */
#ifndef PERIDOTHILL_TESTS_CROWD_CROWD_H
#define PERIDOTHILL_TESTS_CROWD_CROWD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/* The listeners of an instance. */
typedef enum PhCrowdListener {
    PH_CROWD_CLIENTS,
    PH_CROWD_READY,
    PH_CROWD_LINK,
    PH_CROWD_LISTENERS,
} PhCrowdListener;

/* A stand-in of the platform and one instance. */
typedef struct PhCrowdProcesses {
    char *folder;
    pid_t standin;
    pid_t instance;
    uint16_t ports[PH_CROWD_LISTENERS];
} PhCrowdProcesses;

/* What the kernel reports of a process. */
typedef struct PhCrowdUse {
    uint64_t resident_kb;
    uint64_t peak_kb; /* of the resident memory since its start */
    uint64_t descriptors;
} PhCrowdUse;

/* Starts both; `limits` is the text of that section of the settings. */
void PhCrowdProcesses_Start(PhCrowdProcesses *processes, const char *limits);
/* Ends both, also after a failed check. */
void PhCrowdProcesses_Stop(PhCrowdProcesses *processes);
/* Forgets the instance if it has ended. */
bool PhCrowdProcesses_IsAlive(PhCrowdProcesses *processes);
PhCrowdUse PhCrowdProcesses_Use(const PhCrowdProcesses *processes);
/* Makes one call on a connection of its own.  Returns the status of the
 * answer, 0 without one. */
int PhCrowdProcesses_Call(const PhCrowdProcesses *processes,
                          PhCrowdListener listener, const char *request);

/* What each connection of a crowd sends, and how. */
typedef struct PhCrowdPlan {
    PhCrowdListener listener;
    unsigned connections;
    /* Returns the bytes of one connection; NULL: it sends nothing. */
    GString *(*text)(unsigned index);
    bool same_text;    /* all connections send the text of the first */
    size_t bytewise;   /* last bytes of the text, sent one by one */
    bool never_reads;  /* leaves the answers in its socket */
    unsigned reopened; /* times that all are closed and opened again */
} PhCrowdPlan;

typedef struct PhCrowd PhCrowd;

/* Opens the connections and sends what the process takes of their texts.
 * They stay open until the crowd is destroyed. */
PhCrowd *PhCrowd_Play(const PhCrowdPlan *plan, uint16_t port);
void PhCrowd_Destroy(PhCrowd *crowd);

#endif
