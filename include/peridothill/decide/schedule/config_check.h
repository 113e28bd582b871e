/* Check of a configuration before it is sent: errors, entries without effect,
 * limits that contradict each other, and what differs from the one in
 * force. */
#ifndef PERIDOTHILL_DECIDE_SCHEDULE_CONFIG_CHECK_H
#define PERIDOTHILL_DECIDE_SCHEDULE_CONFIG_CHECK_H

#include "peridothill/decide/schedule/config_document.h"

typedef enum PhSchedSeverity {
    PH_SCHED_SEVERITY_ERROR,      /* instances do not read a field as written,
                                     an entry cannot be told from another or
                                     names no service, calls fail, or a limit
                                     stated to clients does not hold */
    PH_SCHED_SEVERITY_WARNING,    /* allowed, but rarely intended */
    PH_SCHED_SEVERITY_DIFFERENCE, /* from the version in force */
} PhSchedSeverity;

typedef enum PhSchedFindingKind {
    PH_SCHED_FINDING_MALFORMED,
    PH_SCHED_FINDING_MALFORMED_NOT_SHOWN, /* beyond PH_SCHED_FAULTS_MAX */
    PH_SCHED_FINDING_VERSION_NOT_ABOVE,
    PH_SCHED_FINDING_NAME_MISSING,
    PH_SCHED_FINDING_NAME_TWICE,
    PH_SCHED_FINDING_SERVICE_MISSING,
    PH_SCHED_FINDING_SERVICE_UNKNOWN, /* not in the list of services, which
                                         instances do not read */
    PH_SCHED_FINDING_SERVICE_UNUSED,
    PH_SCHED_FINDING_PREFIX_TWICE,
    PH_SCHED_FINDING_HOST_WITH_PORT,
    PH_SCHED_FINDING_PREFIX_WITHOUT_SLASH,
    PH_SCHED_FINDING_PREFIX_WITH_QUERY,
    PH_SCHED_FINDING_IDS_ALL_TAKEN,
    PH_SCHED_FINDING_IDS_TAKEN,
    PH_SCHED_FINDING_STRETCH_RANGE,
    PH_SCHED_FINDING_STRETCH_BELOW_ONE,
    PH_SCHED_FINDING_ATTEMPTS_UNLIMITED,
    PH_SCHED_FINDING_ADVICE_UNSUPPORTED,
    PH_SCHED_FINDING_ZERO,
    PH_SCHED_FINDING_TIMEOUT_BELOW_TARGET,
    PH_SCHED_FINDING_HEADER_TIME_ABOVE_IDLE,
    PH_SCHED_FINDING_ADDED,
    PH_SCHED_FINDING_REMOVED, /* the entry is one of the version in force */
    PH_SCHED_FINDING_CHANGED,
} PhSchedFindingKind;

/* A finding borrows from the documents that were checked.  Kinds without a
 * member of the union are described by the entry alone. */
typedef struct PhSchedFinding {
    PhSchedFindingKind kind;
    PhSchedEntry entry;
    union {
        const PhSchedFault *malformed;
        uint32_t not_shown; /* number of malformed fields */
        struct {
            uint64_t version;
            uint64_t in_force;
        } version;          /* VERSION_NOT_ABOVE */
        PhStr service;      /* SERVICE_UNKNOWN */
        PhSchedEntry other; /* NAME_TWICE and PREFIX_TWICE: the first one */
        struct {
            PhSchedEntry longer; /* the queue with the longer prefix */
            PhStr begin;         /* of the ids that it takes */
        } taken;                 /* IDS_TAKEN */
        double stretch;          /* STRETCH_RANGE and STRETCH_BELOW_ONE */
        PhSchedField zero;
        struct {
            PhTime shorter;
            PhTime longer;
        } times; /* TIMEOUT_BELOW_TARGET and HEADER_TIME_ABOVE_IDLE */
        struct {
            PhSchedField field;
            PhSchedValue before;
            PhSchedValue after;
        } changed;
    } as;
} PhSchedFinding;

PhSchedSeverity PhSchedFinding_Severity(PhSchedFindingKind kind);
/* Returns PhSchedFinding: errors, then warnings, then differences; within each
 * the document, queues, services and limits, in the order in which they are
 * written.  `in_force` may be NULL.  A document that instances refuse has no
 * other findings than its malformed fields.  The caller frees the array. */
GArray *PhSchedCheck_Run(const PhSchedDocument *document,
                         const PhSchedDocument *in_force);

#endif
