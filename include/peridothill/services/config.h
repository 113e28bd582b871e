/* Interface of the task "config", which follows the platform's log, shares its
 * records with the peers and provides the configuration in force. */
#ifndef PERIDOTHILL_SERVICES_CONFIG_H
#define PERIDOTHILL_SERVICES_CONFIG_H

#include "peridothill/decide/config/config_follower.h"
#include "peridothill/kernel/kernel.h"

/* In a GET: the version in force. */
#define PH_CONFIG_VERSION_IN_FORCE UINT64_MAX

typedef enum PhConfigTag {
    PH_CONFIG_SUBSCRIBE, /* to "config": send IN_FORCE now and on change */
    PH_CONFIG_IN_FORCE,  /* from "config": the version in force */
    PH_CONFIG_PATCH,     /* to "config": submit a patch */
    PH_CONFIG_FIND,      /* to "config": request the verdict on an id */
    PH_CONFIG_VERDICT,   /* from "config": answers PATCH, FIND, BRIDGE */
    PH_CONFIG_GET,       /* to "config": request two versions */
    PH_CONFIG_VERSIONS,  /* from "config": answers GET */
    PH_CONFIG_HISTORY,   /* to "config": request the recent verdicts */
    PH_CONFIG_VERDICTS,  /* from "config": answers HISTORY */
    PH_CONFIG_REPORT,    /* to "config": request a status report */
    PH_CONFIG_REPORTED,  /* from "config": answers REPORT */
    PH_CONFIG_BRIDGE,    /* to "config": skip unread expired records */
} PhConfigTag;

/* A patch of an operator; owns its strings. */
typedef struct PhConfigSubmission {
    uint64_t request;    /* returned in the verdict */
    PhConfigPatch patch; /* an empty id is replaced by a random one */
    PhTime deadline;
} PhConfigSubmission;

/* Result of a patch.  OK: accepted as `version`.  CONFLICT, INVALID or
 * EXPIRED: refused, with the reason.  UNAVAILABLE: not accepted, may be tried
 * again.  UNKNOWN: may still be accepted, query its id later.  NOT_FOUND: no
 * such id among the verdicts held here. */
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
    uint64_t from; /* equal to `to` unless both are needed */
    uint64_t to;
} PhConfigGet;

/* Both states are NULL if either version is not held. */
typedef struct PhConfigVersions {
    uint64_t request;
    PhConfigState *from; /* owns a reference, as does `to` */
    PhConfigState *to;
} PhConfigVersions;

/* One decided patch; owns its strings. */
typedef struct PhConfigVerdictRow {
    PhStr id;
    PhStr author;
    PhResult result;
    uint64_t version; /* in force after the decision */
    int64_t appended_ms;
} PhConfigVerdictRow;

typedef struct PhConfigVerdicts {
    uint64_t request;
    PhConfigVerdictRow *rows; /* latest first */
    size_t row_count;
} PhConfigVerdicts;

/* Last report of a peer; negative `heard_ms_ago`: none yet. */
typedef struct PhConfigPeerRow {
    PhStr member; /* owned */
    bool local;   /* in this data centre */
    uint64_t version;
    int64_t heard_ms_ago;
} PhConfigPeerRow;

typedef struct PhConfigReported {
    uint64_t request;
    PhConfigSyncState standing;
    uint64_t version;
    uint64_t digest;
    uint64_t highest_heard;
    int64_t log_heard_ms_ago; /* negative: never */
    bool reads_log;
    bool has_gap; /* records expired before they were read */
    size_t patches_pending;
    PhConfigPeerRow *peers;
    size_t peer_count;
} PhConfigReported;

typedef struct PhConfigMessage {
    PhConfigTag tag;
    union {
        PhConfigState *in_force; /* owns a reference */
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

/* Wraps a message body for the kernel; takes ownership of its contents. */
PhMessage PhConfigMessage_Wrap(const PhConfigMessage *body);

/* Settings of the task "config"; the strings are copied. */
typedef struct PhConfigOptions {
    PhStr instance;
    PhStr data_centre;
    uint64_t seed;
    PhTime poll_interval;
    PhTime retention;
} PhConfigOptions;

PhStatus PhConfigService_Start(PhKernel *kernel,
                               const PhConfigOptions *options);

#endif
