/* A configuration as the operators wrote it: what instances act by, and what
 * is only stated to clients. */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_CONFIG_DOCUMENT_H
#define PERIDOTHILL_DECIDE_SCHEDULE_CONFIG_DOCUMENT_H

#include "peridothill/decide/schedule/queue.h"

enum {
    /* Faults that are kept of a document.  A file that is no configuration has
     * one for each of its values. */
    PH_SCHED_FAULTS_MAX = 100
};

/* For a number or time that the document does not state. */
#define PH_SCHED_NOT_STATED ((int64_t)-1)

/* Limits stated to clients.  Each may be PH_SCHED_NOT_STATED. */
typedef struct PhSchedLimits {
    int64_t header_bytes;
    int64_t body_bytes;
    PhTime header_time; /* for all headers of a request */
    PhTime idle_time;   /* of a connection */
} PhSchedLimits;

/* A part of the document that does not decode.  Strings are owned. */
typedef struct PhSchedFault {
    PhStr path; /* in the document */
    PhStr reason;
    bool refused; /* instances refuse the document; else they ignore the
                     field */
} PhSchedFault;

typedef struct PhSchedDocument {
    PhSchedConfig *config;
    GArray *call_timeouts; /* PhTime of each queue, or PH_SCHED_NOT_STATED */
    PhSchedLimits limits;
    GArray *faults;          /* PhSchedFault; PH_SCHED_FAULTS_MAX at most */
    uint32_t faults_dropped; /* beyond them */
    bool refused;            /* instances refuse the document */
} PhSchedDocument;

/* The part of a document that a finding is about. */
typedef enum PhSchedEntryKind {
    PH_SCHED_ENTRY_DOCUMENT,
    PH_SCHED_ENTRY_QUEUE,
    PH_SCHED_ENTRY_SERVICE,
    PH_SCHED_ENTRY_LIMITS,
} PhSchedEntryKind;

typedef struct PhSchedEntry {
    PhSchedEntryKind kind;
    uint32_t index; /* of a queue or service */
    PhStr name;     /* of a queue or service, borrowed from its document */
} PhSchedEntry;

/* The fields that are compared. */
typedef enum PhSchedField {
    PH_SCHED_FIELD_HOST, /* of queues, up to ADVICE */
    PH_SCHED_FIELD_PREFIX,
    PH_SCHED_FIELD_SERVICE,
    PH_SCHED_FIELD_PRIORITY,
    PH_SCHED_FIELD_ATTEMPTS,
    PH_SCHED_FIELD_STRETCH,
    PH_SCHED_FIELD_SLACK,
    PH_SCHED_FIELD_CALL_TIMEOUT,
    PH_SCHED_FIELD_ADVICE,
    PH_SCHED_FIELD_CAPACITY,     /* of services */
    PH_SCHED_FIELD_HEADER_BYTES, /* of the limits, up to IDLE_TIME */
    PH_SCHED_FIELD_BODY_BYTES,
    PH_SCHED_FIELD_HEADER_TIME,
    PH_SCHED_FIELD_IDLE_TIME,
} PhSchedField;

typedef enum PhSchedValueKind {
    PH_SCHED_VALUE_NONE, /* not stated */
    PH_SCHED_VALUE_TEXT,
    PH_SCHED_VALUE_NUMBER,
    PH_SCHED_VALUE_FACTOR,
    PH_SCHED_VALUE_TIME,
    PH_SCHED_VALUE_FLAG,
} PhSchedValueKind;

/* The value of a field.  Text is borrowed from the document. */
typedef struct PhSchedValue {
    PhSchedValueKind kind;
    union {
        PhStr text;
        int64_t number;
        double factor;
        PhTime time;
        bool flag;
    } as;
} PhSchedValue;

/* Creates a document without queues, services and limits. */
PhSchedDocument *PhSchedDocument_Create(void);
void PhSchedDocument_Destroy(PhSchedDocument *document);
/* Copies both strings.  Only counts the fault if there are
 * PH_SCHED_FAULTS_MAX already. */
void PhSchedDocument_AddFault(PhSchedDocument *document, PhStr path,
                              PhStr reason, bool refused);
const PhSchedQueue *PhSchedDocument_Queue(const PhSchedDocument *document,
                                          uint32_t index);
const PhSchedService *PhSchedDocument_Service(const PhSchedDocument *document,
                                              uint32_t index);
/* An entry with its name.  `index` is ignored for other kinds than queues and
 * services. */
PhSchedEntry PhSchedDocument_Entry(const PhSchedDocument *document,
                                   PhSchedEntryKind kind, uint32_t index);
/* Number of entries of a kind; 1 for the document and the limits. */
uint32_t PhSchedDocument_Count(const PhSchedDocument *document,
                               PhSchedEntryKind kind);
/* The field has to belong to the kind of the entry at `index`. */
PhSchedValue PhSchedDocument_Value(const PhSchedDocument *document,
                                   uint32_t index, PhSchedField field);
bool PhSchedValue_Equal(const PhSchedValue *a, const PhSchedValue *b);

#endif
