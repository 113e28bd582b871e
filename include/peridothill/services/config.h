/* The configuration in force: the interface of the task "config", which
 * follows the platform's log and shares it with the peers. */
#ifndef PERIDOTHILL_SERVICES_CONFIG_H
#define PERIDOTHILL_SERVICES_CONFIG_H

#include "peridothill/decide/config/config_follower.h"
#include "peridothill/kernel/kernel.h"

/* Asks for the version in force. */
#define PH_CONFIG_VERSION_IN_FORCE UINT64_MAX

typedef enum PhConfigTag {
    PH_CONFIG_SUBSCRIBE, /* to "config": send IN_FORCE now and on each change
                          */
    PH_CONFIG_IN_FORCE,  /* from "config": a new version is in force here */
    PH_CONFIG_PATCH,     /* to "config": submit a patch */
    PH_CONFIG_FIND,      /* to "config": ask for the verdict of a patch id */
    PH_CONFIG_VERDICT,   /* from "config": one for each PATCH and FIND */
    PH_CONFIG_GET,       /* to "config": ask for two versions */
    PH_CONFIG_VERSIONS,  /* from "config": one for each GET */
    PH_CONFIG_HISTORY,   /* to "config": ask for the recent verdicts */
    PH_CONFIG_VERDICTS,  /* from "config": one for each HISTORY */
    PH_CONFIG_REPORT,    /* to "config": ask what is known of the peers */
    PH_CONFIG_REPORTED,  /* from "config": one for each REPORT */
    PH_CONFIG_BRIDGE,    /* to "config": give up records that are past
                            retention unread; a VERDICT follows */
} PhConfigTag;

/* A patch as an operator submits it; strings owned by the message. */
typedef struct PhConfigSubmission {
    uint64_t request;    /* the sender's own number, returned in the verdict */
    PhConfigPatch patch; /* an empty id is made up */
    PhTime deadline;
} PhConfigSubmission;

/* What became of a patch.  OK: accepted as `version`.  CONFLICT, INVALID or
 * EXPIRED: refused, with the reason.  UNAVAILABLE: not accepted, a later try
 * may be.  UNKNOWN: may be accepted later, ask again by its id.  NOT_FOUND:
 * no such id up to the version held here. */
typedef struct PhConfigVerdictReply {
    uint64_t request;
    PhStr id; /* owned */
    PhResult result;
    uint64_t version;
} PhConfigVerdictReply;

typedef struct PhConfigFind {
    uint64_t request;
    PhStr id; /* owned */
} PhConfigFind;

typedef struct PhConfigGet {
    uint64_t request;
    uint64_t from; /* for a diff; equal to `to` for a plain reading */
    uint64_t to;
} PhConfigGet;

/* Both states are NULL when a version is not held any more. */
typedef struct PhConfigVersions {
    uint64_t request;
    PhConfigState *from; /* a reference, as is `to` */
    PhConfigState *to;
} PhConfigVersions;

/* One decided patch; strings owned. */
typedef struct PhConfigVerdictRow {
    PhStr id;
    PhStr author;
    PhResult result;
    uint64_t version; /* in force once it was decided */
    int64_t appended_ms;
} PhConfigVerdictRow;

typedef struct PhConfigVerdicts {
    uint64_t request;
    PhConfigVerdictRow *rows; /* latest first */
    size_t row_count;
} PhConfigVerdicts;

/* What a peer last told of itself; never heard from when `heard_ms_ago` is
 * negative. */
typedef struct PhConfigPeerRow {
    PhStr member; /* owned */
    bool local;   /* of this data centre */
    uint64_t version;
    int64_t heard_ms_ago;
} PhConfigPeerRow;

typedef struct PhConfigReported {
    uint64_t request;
    PhConfigStanding standing;
    uint64_t version;
    uint64_t digest;
    uint64_t highest_heard;
    int64_t log_heard_ms_ago; /* negative: never */
    bool reads_log;
    bool has_gap; /* records that were never seen here are past retention */
    size_t appends_waiting;
    PhConfigPeerRow *peers;
    size_t peer_count;
} PhConfigReported;

typedef struct PhConfigMessage {
    PhConfigTag tag;
    union {
        PhConfigState *in_force; /* a reference */
        PhConfigSubmission patch;
        PhConfigFind find;
        PhConfigVerdictReply verdict;
        PhConfigGet get;
        PhConfigVersions versions;
        uint64_t history; /* request number */
        PhConfigVerdicts verdicts;
        uint64_t report; /* request number */
        PhConfigReported reported;
        uint64_t bridge; /* request number */
    } as;
} PhConfigMessage;

/* Wraps a message body for the kernel; takes over what it owns. */
PhMessage PhConfigMessage_Wrap(const PhConfigMessage *body);

/* Settings of the task "config"; the strings are copied. */
typedef struct PhConfigOptions {
    PhStr instance;
    PhStr data_centre;
    uint64_t seed;
    PhTime poll_interval;
    PhTime retention;
} PhConfigOptions;

/* Starts the task "config". */
PhStatus PhConfigService_Start(PhKernel *kernel,
                               const PhConfigOptions *options);

#endif
