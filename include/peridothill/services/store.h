/* The platform's metadata store: messages of the task "store".  A topic is an
 * append-only log of one partition.  A keyed topic keeps the newest record of
 * each key; older ones may be deleted. */
#ifndef PERIDOTHILL_SERVICES_STORE_H
#define PERIDOTHILL_SERVICES_STORE_H

#include "peridothill/decide/schedule/store_contact.h"
#include "peridothill/kernel/kernel.h"

/* A record of a keyed topic; an empty value deletes the key.  Strings are
 * owned by the message. */
typedef struct PhStoreRecord {
    uint64_t offset; /* set by reads only */
    PhStr key;
    PhStr value;
} PhStoreRecord;

typedef enum PhStoreCondition {
    PH_STORE_ANY,      /* unconditional */
    PH_STORE_AT,       /* only if `at` is the topic's end offset */
    PH_STORE_PRODUCER, /* only in sequence; fences off lower epochs */
} PhStoreCondition;

enum {
    PH_STORE_LENGTH_BYTES = 4, /* in an append, before each record */
};

/* Appends all records atomically.  An append without records only sets the
 * producer's epoch. */
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

/* Reads from an offset; waits up to `wait` for a record. */
typedef struct PhStoreRead {
    PhStr topic;
    uint64_t from;
    PhTime wait;
} PhStoreRead;

/* Reads one page of the newest records of all keys. */
typedef struct PhStoreNewest {
    PhStr topic;
    PhStr after; /* last key of the previous page; empty for the first */
} PhStoreNewest;

typedef enum PhStoreOutcome {
    PH_STORE_DONE,
    PH_STORE_REFUSED,  /* had no effect; may be repeated later */
    PH_STORE_CONFLICT, /* `at` is not the topic's end offset */
    PH_STORE_FENCED,   /* the producer has used a higher epoch */
    PH_STORE_SEQUENCE, /* `sequence` is not the producer's next one */
    PH_STORE_GONE,     /* the records before `first` have been deleted */
    PH_STORE_UNKNOWN,  /* no answer: may have taken effect, or may still */
} PhStoreOutcome;

typedef struct PhStoreReply {
    uint64_t id;
    PhStoreOutcome outcome;
    PhStoreSign sign; /* what the call says of the contact with the store */
    uint64_t first;   /* GONE: oldest offset kept; SEQUENCE: expected number */
    uint64_t end;     /* end offset of the topic */
    PhStoreRecord *records;
    size_t record_count;
    bool more; /* of NEWEST: there are more pages */
} PhStoreReply;

typedef enum PhStoreTag {
    PH_STORE_APPEND, /* to "store" */
    PH_STORE_READ,   /* to "store" */
    PH_STORE_NEWEST, /* to "store" */
    PH_STORE_REPLY,  /* from "store", one per call above */
} PhStoreTag;

/* `id` is chosen by the sender and returned in the reply. */
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

/* Wraps a message for the kernel and takes ownership of what it owns. */
PhMessage PhStoreMessage_Wrap(const PhStoreMessage *body);

/* Read position in a followed topic: first the newest record of each key, page
 * by page, then records as they are appended. */
typedef struct PhStoreCursor {
    PhStr topic;       /* borrowed */
    bool loaded;       /* all pages have been read */
    uint64_t next;     /* offset of the next read */
    PhStr page_after;  /* last key of the previous page; owned */
    uint64_t page_end; /* end offset at the first page */
} PhStoreCursor;

/* Builds the next read.  `wait` applies once all pages have been read. */
PhStoreMessage PhStoreCursor_NextCall(const PhStoreCursor *cursor,
                                      PhTime wait);
/* Advances past a DONE reply; true after the last page of newest records. */
bool PhStoreCursor_Advance(PhStoreCursor *cursor, const PhStoreReply *reply);
/* Restarts at the first page and releases `page_after`. */
void PhStoreCursor_Reset(PhStoreCursor *cursor);

#endif
