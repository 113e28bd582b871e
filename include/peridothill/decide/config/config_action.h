/* What the follower of the configuration is told, and what it asks for. */
#ifndef PERIDOTHILL_DECIDE_CONFIG_CONFIG_ACTION_H
#define PERIDOTHILL_DECIDE_CONFIG_CONFIG_ACTION_H

#include "peridothill/common/time.h"
#include "peridothill/decide/config/config_ledger.h"

/* Another live instance; `local` when it is of the same data centre. */
typedef struct PhConfigPeer {
    PhStr member;
    bool local;
} PhConfigPeer;

/* What an instance tells a peer of itself. */
typedef struct PhConfigHello {
    uint64_t next; /* offset of the record it applies next */
    uint64_t version;
    uint64_t digest;
    /* Age of the last moment at which `next` was the end of the log;
     * negative: never. */
    int64_t confirmed_ms_ago;
    bool recovering; /* nothing is in force there */
    bool reply_wanted;
} PhConfigHello;

typedef enum PhConfigEventKind {
    PH_CONFIG_EVENT_TICK,
    PH_CONFIG_EVENT_MEMBERS,
    PH_CONFIG_EVENT_RECORDS,   /* answers READ_LOG */
    PH_CONFIG_EVENT_SNAPSHOTS, /* answers READ_SNAPSHOTS */
    PH_CONFIG_EVENT_WRITTEN,   /* answers WRITE_SNAPSHOT */
    PH_CONFIG_EVENT_APPENDED,  /* this instance appended a patch */
    PH_CONFIG_EVENT_HELLO,
    PH_CONFIG_EVENT_FETCH,
    PH_CONFIG_EVENT_PUSH,
    PH_CONFIG_EVENT_STATE,
    PH_CONFIG_EVENT_BRIDGE, /* an operator gives up records that are gone */
} PhConfigEventKind;

/* An event; everything it points to is borrowed. */
typedef struct PhConfigEvent {
    PhConfigEventKind kind;
    PhStr member; /* sender of HELLO, FETCH, PUSH and STATE */
    union {
        struct {
            PhStr self;
            const PhConfigPeer *peers; /* without this instance */
            size_t count;
        } members;
        struct {
            PhStatus status; /* OK, EXPIRED or UNAVAILABLE */
            uint64_t first;  /* earliest offset that is kept */
            uint64_t end;    /* offset of the next append */
            PhConfigRecord *const *records;
            size_t count;
        } records;
        struct {
            PhStatus status;
            uint64_t first;
            uint64_t end;
            uint64_t read;            /* offset after the last record read */
            PhConfigSnapshot *latest; /* readable one, or NULL */
            PhTime age;               /* of `latest` */
        } snapshots;
        PhStatus written;
        uint64_t appended; /* offset */
        PhConfigHello hello;
        uint64_t fetch; /* offset */
        struct {
            PhConfigRecord *const *records;
            size_t count;
        } push;
        PhConfigSnapshot *state;
    } as;
} PhConfigEvent;

/* What was noticed, for counters and the log of events. */
typedef enum PhConfigNote {
    PH_CONFIG_NOTE_LOG_BEHIND,      /* the log ends before what was applied */
    PH_CONFIG_NOTE_RETENTION_GAP,   /* records are gone, no snapshot helps */
    PH_CONFIG_NOTE_RECOVERED_LOG,   /* restored from a snapshot of the log */
    PH_CONFIG_NOTE_RECOVERED_PEER,  /* restored from a peer's state */
    PH_CONFIG_NOTE_DIGEST_MISMATCH, /* a peer holds another content */
    PH_CONFIG_NOTE_STATE_REFUSED,   /* a snapshot would have gone back */
    PH_CONFIG_NOTE_STATE_LIMITED,   /* too many peers ask for the state */
    PH_CONFIG_NOTE_LOG_FAILED,
    PH_CONFIG_NOTE_SNAPSHOT_FAILED,
    PH_CONFIG_NOTE_UNREADABLE, /* a record that no instance can decode */
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
