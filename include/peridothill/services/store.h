/* The platform's store: the interface of the task "store".  A topic is a log
 * of one partition with offsets; keyed topics keep the newest record of each
 * key for good. */
#ifndef PERIDOTHILL_SERVICES_STORE_H
#define PERIDOTHILL_SERVICES_STORE_H

#include "peridothill/kernel/kernel.h"

/* A record of a keyed topic; an empty value drops the key.  Owned by the
 * message. */
typedef struct PhStoreRecord {
    uint64_t offset; /* as read */
    PhStr key;
    PhStr value;
} PhStoreRecord;

typedef enum PhStoreCondition {
    PH_STORE_ANY,      /* append in any case */
    PH_STORE_AT,       /* only if the topic ends at `at` */
    PH_STORE_PRODUCER, /* in the producer's sequence; fences lower epochs */
} PhStoreCondition;

/* Appends records, all or nothing.  Without records the producer's epoch is
 * set and nothing is added. */
typedef struct PhStoreAppend {
    PhStr topic;
    PhStoreRecord *records;
    size_t record_count;
    PhStoreCondition condition;
    uint64_t at;
    PhStr producer;
    uint64_t epoch;
    uint64_t sequence;
} PhStoreAppend;

/* Reads from an offset; waits until there is a record. */
typedef struct PhStoreRead {
    PhStr topic;
    uint64_t from;
    PhTime wait;
} PhStoreRead;

/* Reads the newest record of each key, in pages. */
typedef struct PhStoreNewest {
    PhStr topic;
    PhStr after; /* key of the last record of the page before; empty first */
} PhStoreNewest;

typedef enum PhStoreOutcome {
    PH_STORE_DONE,
    PH_STORE_REFUSED,  /* nothing was done; try later */
    PH_STORE_CONFLICT, /* the topic does not end at `at` */
    PH_STORE_FENCED,   /* a higher epoch has been seen */
    PH_STORE_SEQUENCE, /* another sequence number is expected */
    PH_STORE_GONE,     /* the records before `first` have been deleted */
    PH_STORE_UNKNOWN,  /* done, not done, or done later */
} PhStoreOutcome;

typedef struct PhStoreReply {
    uint64_t id;
    PhStoreOutcome outcome;
    uint64_t first; /* GONE: oldest offset; SEQUENCE: expected number */
    uint64_t end;   /* offset after the last record of the topic */
    PhStoreRecord *records;
    size_t record_count;
    bool more; /* of NEWEST: another page follows */
} PhStoreReply;

typedef enum PhStoreTag {
    PH_STORE_APPEND, /* to "store" */
    PH_STORE_READ,   /* to "store" */
    PH_STORE_NEWEST, /* to "store" */
    PH_STORE_REPLY,  /* from "store", one for each of the others */
} PhStoreTag;

/* `id` is the sender's own number, returned in the reply. */
typedef struct PhStoreMessage {
    PhStoreTag tag;
    uint64_t id;
    union {
        PhStoreAppend append;
        PhStoreRead read;
        PhStoreNewest newest;
        PhStoreReply reply;
    } as;
} PhStoreMessage;

/* Wraps a message body for the kernel; takes over what it owns. */
PhMessage PhStoreMessage_Wrap(const PhStoreMessage *body);

/* How far a topic has been followed: the newest record of each key first, in
 * pages, then what is appended. */
typedef struct PhStoreCursor {
    PhStr topic;      /* borrowed */
    bool loaded;      /* the newest records have been read */
    uint64_t next;    /* offset of the next read */
    PhStr page_after; /* owned; empty before the first page */
    uint64_t page_end;
} PhStoreCursor;

/* The call that reads on; `wait` is that of a read of what is appended. */
PhStoreMessage PhStoreCursor_Ask(const PhStoreCursor *cursor, PhTime wait);
/* Moves on past the records of a DONE reply; true when it was the last page of
 * the newest records. */
bool PhStoreCursor_Advance(PhStoreCursor *cursor, const PhStoreReply *reply);
/* Starts again with the newest records; also releases what is owned. */
void PhStoreCursor_Reset(PhStoreCursor *cursor);

#endif
