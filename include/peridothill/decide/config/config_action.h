/* Events handled by the configuration follower and the actions that it
 * returns. */
#ifndef PERIDOTHILL_DECIDE_CONFIG_CONFIG_ACTION_H
#define PERIDOTHILL_DECIDE_CONFIG_CONFIG_ACTION_H

#include "peridothill/common/time.h"
#include "peridothill/decide/config/config_ledger.h"

/* Another live instance; `local` if it is in the same data centre. */
typedef struct PhConfigPeer {
    PhStr member;
    bool local;
} PhConfigPeer;

/* Progress of an instance, as it reports it to a peer. */
typedef struct PhConfigHello {
    uint64_t next; /* offset of the next record to apply */
    uint64_t version;
    uint64_t digest;
    /* Milliseconds since `next` was last known to be the end of the log;
     * negative: never. */
    int64_t confirmed_ms_ago;
    bool recovering; /* no version in force yet */
    bool reply_wanted;
} PhConfigHello;

typedef enum PhConfigEventKind {
    PH_CONFIG_EVENT_TICK,
    PH_CONFIG_EVENT_MEMBERS,
    PH_CONFIG_EVENT_RECORDS,   /* answers READ_LOG */
    PH_CONFIG_EVENT_SNAPSHOTS, /* answers READ_SNAPSHOTS */
    PH_CONFIG_EVENT_WRITTEN,   /* answers WRITE_SNAPSHOT */
    PH_CONFIG_EVENT_APPENDED,  /* this instance appended patches */
    PH_CONFIG_EVENT_HELLO,
    PH_CONFIG_EVENT_FETCH,
    PH_CONFIG_EVENT_PUSH,
    PH_CONFIG_EVENT_STATE,
    PH_CONFIG_EVENT_BRIDGE, /* an operator skips expired records */
} PhConfigEventKind;

/* An event; everything it points to is borrowed. */
typedef struct PhConfigEvent {
    PhConfigEventKind kind;
    PhStr member; /* sender of HELLO, FETCH, PUSH and STATE */
    union {
        struct {
            PhStr self;
            const PhConfigPeer *peers; /* excludes this instance */
            size_t count;
        } members;
        struct {
            PhStatus status; /* OK, EXPIRED or UNAVAILABLE */
            uint64_t first;  /* earliest retained offset */
            uint64_t end;    /* offset of the next append */
            PhConfigRecord *const *records;
            size_t count;
        } records;
        struct {
            PhStatus status;
            uint64_t first;
            uint64_t end;
            uint64_t read;            /* offset after the last record read */
            PhConfigSnapshot *latest; /* latest that decodes, or NULL */
            PhTime age;               /* of `latest` */
        } snapshots;
        PhStatus written;
        uint64_t appended; /* offset of the last appended record */
        PhConfigHello hello;
        uint64_t fetch; /* offset */
        struct {
            PhConfigRecord *const *records;
            size_t count;
        } push;
        PhConfigSnapshot *state;
    } as;
} PhConfigEvent;

/* Conditions that the caller counts and logs. */
typedef enum PhConfigNote {
    PH_CONFIG_NOTE_LOG_BEHIND,      /* log ends before the applied offset */
    PH_CONFIG_NOTE_RETENTION_GAP,   /* records expired, no snapshot helps */
    PH_CONFIG_NOTE_RECOVERED_LOG,   /* restored from a snapshot of the log */
    PH_CONFIG_NOTE_RECOVERED_PEER,  /* restored from a peer's snapshot */
    PH_CONFIG_NOTE_DIGEST_MISMATCH, /* content of a version differs */
    PH_CONFIG_NOTE_STATE_REFUSED,   /* snapshot is no successor */
    PH_CONFIG_NOTE_STATE_RATE_LIMITED, /* send limit reached */
    PH_CONFIG_NOTE_LOG_FAILED,
    PH_CONFIG_NOTE_SNAPSHOT_FAILED,
    PH_CONFIG_NOTE_UNREADABLE, /* record does not decode */
} PhConfigNote;

typedef enum PhConfigActionKind {
    PH_CONFIG_ACTION_READ_LOG,
    PH_CONFIG_ACTION_READ_SNAPSHOTS,
    PH_CONFIG_ACTION_WRITE_SNAPSHOT,
    PH_CONFIG_ACTION_HELLO,
    PH_CONFIG_ACTION_FETCH,
    PH_CONFIG_ACTION_PUSH,
    PH_CONFIG_ACTION_STATE,
    PH_CONFIG_ACTION_DECIDED,
    PH_CONFIG_ACTION_IN_FORCE,
    PH_CONFIG_ACTION_NOTE,
} PhConfigActionKind;

/* An action; it owns what it points to. */
typedef struct PhConfigAction {
    PhConfigActionKind kind;
    PhStr member; /* receiver of HELLO, FETCH, PUSH and STATE */
    union {
        struct {
            uint64_t from;
            uint32_t limit;
        } read;                     /* READ_LOG and READ_SNAPSHOTS */
        PhConfigSnapshot *snapshot; /* WRITE_SNAPSHOT and STATE */
        PhConfigHello hello;
        uint64_t fetch;
        GPtrArray *push; /* PhConfigRecord */
        PhConfigVerdict *decided;
        PhConfigState *in_force;
        PhConfigNote note;
    } as;
} PhConfigAction;

/* Creates an empty list of PhConfigAction; released with g_array_free. */
GArray *PhConfigActions_Create(void);

#endif
