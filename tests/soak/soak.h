/* The soak: instances, the stand-in's store and its workers run as separate
 * processes, under faults from outside.  Its tasks, found by name:
 *
 *   processes  starts, signals and reaps the processes
 *   proxy      relays loopback connections, with faults
 *   registrar  writes the workers' entries into the store
 *   callers    submits, queries and cancels jobs
 *   faults     plays a schedule drawn from the seed
 *   journal    keeps what was seen until the checks */
#ifndef PERIDOTHILL_TESTS_SOAK_H
#define PERIDOTHILL_TESTS_SOAK_H

#include <sys/types.h>

#include "peridothill/common/random.h"
#include "peridothill/kernel/kernel.h"

enum {
    PH_SOAK_INSTANCES_MAX = 16,
    PH_SOAK_WORKERS_MAX = 400,
    PH_SOAK_MASK_BITS = 64, /* a mask names the first workers only */
};

#define PH_SOAK_PROCESSES PhStr_LITERAL("processes")
#define PH_SOAK_PROXY PhStr_LITERAL("proxy")
#define PH_SOAK_REGISTRAR PhStr_LITERAL("registrar")
#define PH_SOAK_CALLERS PhStr_LITERAL("callers")
#define PH_SOAK_FAULTS PhStr_LITERAL("faults")
#define PH_SOAK_JOURNAL PhStr_LITERAL("journal")

/* Number of the interface of the soak's own messages. */
enum {
    PH_SOAK_INTERFACE = 1000
};

typedef enum PhSoakPartyKind {
    PH_SOAK_INSTANCE,
    PH_SOAK_WORKER,
    PH_SOAK_STORE,
} PhSoakPartyKind;

/* A process of the soak. */
typedef struct PhSoakParty {
    PhSoakPartyKind kind;
    uint32_t index;
} PhSoakParty;

/* Size and places of a run; the same for all tasks. */
typedef struct PhSoakPlan {
    const char *program;
    const char *folder; /* of settings and logs */
    uint64_t seed;
    uint32_t instances;
    uint32_t workers;
    int64_t draws_ms; /* time in which faults are drawn */
    int64_t tail_ms;  /* calm time at the end */
    uint16_t store_port;
    uint16_t store_proxy_ports[PH_SOAK_INSTANCES_MAX];
    uint16_t callers_ports[PH_SOAK_INSTANCES_MAX];
    uint16_t ready_ports[PH_SOAK_INSTANCES_MAX];
    uint16_t link_ports[PH_SOAK_INSTANCES_MAX];
    uint16_t worker_ports[PH_SOAK_WORKERS_MAX];
    uint16_t worker_proxy_ports[PH_SOAK_WORKERS_MAX];
} PhSoakPlan;

/* What is done to processes and links.  The first two are planned work. */
typedef enum PhSoakActKind {
    PH_SOAK_STOP_INSTANCE, /* SIGTERM, restarted after its exit */
    PH_SOAK_LEAVE_WORKER,  /* says that it leaves, then exits */
    PH_SOAK_KILL_INSTANCE, /* restarted after the duration */
    PH_SOAK_PAUSE_INSTANCE,
    PH_SOAK_KILL_WORKER, /* restarted under its id after the duration */
    PH_SOAK_PAUSE_WORKER,
    PH_SOAK_LINK_SILENT,  /* nothing passes */
    PH_SOAK_LINK_ONE_WAY, /* requests pass, answers are lost */
    PH_SOAK_LINK_LATE,    /* requests pass 2 to 12 s late, answers are lost */
    PH_SOAK_LINK_SLOW,    /* all passes late by part of a second */
    PH_SOAK_LINK_RESET,   /* connections are reset when they are used */
    PH_SOAK_ACT_KINDS,
} PhSoakActKind;

/* `instances` and `workers` are bit masks.  An act of a link concerns those
 * of the instances with the workers and, if `store` is set, the store. */
typedef struct PhSoakAct {
    uint32_t number; /* within the schedule */
    PhSoakActKind kind;
    int64_t at_ms;
    int64_t duration_ms;
    uint64_t instances;
    uint64_t workers;
    bool store;
} PhSoakAct;

typedef enum PhSoakRunEvent {
    PH_SOAK_RUN_START,
    PH_SOAK_RUN_DONE,
    PH_SOAK_RUN_OVER,  /* ended otherwise */
    PH_SOAK_RUN_NOTED, /* an owner has taken note of the end `done` */
} PhSoakRunEvent;

typedef enum PhSoakState {
    PH_SOAK_STATE_QUEUED,
    PH_SOAK_STATE_RUNNING,
    PH_SOAK_STATE_COMPLETED,
    PH_SOAK_STATE_CANCELLED,
    PH_SOAK_STATE_GONE,    /* 410 */
    PH_SOAK_STATE_OTHER,   /* another word */
    PH_SOAK_STATE_NOT_TOLD /* refused or without an answer */
} PhSoakState;

typedef enum PhSoakNoteTag {
    PH_SOAK_NOTE_ACT,       /* from `at` to `until` */
    PH_SOAK_NOTE_SLOW,      /* the soak itself was late, the machine is busy */
    PH_SOAK_NOTE_STOP,      /* SIGTERM to an instance */
    PH_SOAK_NOTE_EXIT,      /* a process has ended */
    PH_SOAK_NOTE_LEAVING,   /* the store has accepted that a worker leaves */
    PH_SOAK_NOTE_RUN,       /* line of a worker */
    PH_SOAK_NOTE_SUBMIT,    /* first send of a job */
    PH_SOAK_NOTE_ACCEPTED,  /* 2xx for a job */
    PH_SOAK_NOTE_CANCEL,    /* first send of a cancel */
    PH_SOAK_NOTE_CANCELLED, /* 2xx for a cancel */
    PH_SOAK_NOTE_STATE,     /* answer to a query */
    PH_SOAK_NOTE_FINAL,     /* answer to a query at the very end */
    PH_SOAK_NOTE_PENDING,   /* answer to a query of the queue */
    PH_SOAK_NOTE_CALL,      /* end of a call at an instance */
} PhSoakNoteTag;

/* Something that was seen, at a time by the clock that all processes share. */
typedef struct PhSoakNote {
    PhSoakNoteTag tag;
    PhTime at;
    PhSoakParty party;
    uint32_t job;
    PhTime sent_at; /* of answers: when the call was sent */
    union {
        struct {
            PhSoakAct act;
            PhTime until;
        } act;
        struct {
            PhSoakRunEvent event;
            uint32_t task; /* number within the job */
            uint32_t run;
        } run;
        struct {
            uint32_t tasks;
            bool lasting;
        } submit;
        PhSoakState state;
        uint64_t pending;
        PhTime slow_until;
        int exit_status; /* of waitpid */
        bool cut;        /* the connection ended before the answer */
    } as;
} PhSoakNote;

typedef enum PhSoakTag {
    PH_SOAK_SPAWN,   /* to "processes" */
    PH_SOAK_SIGNAL,  /* to "processes" */
    PH_SOAK_STARTED, /* from "processes" */
    PH_SOAK_BORN,    /* from "processes": a worker serves */
    PH_SOAK_EXITED,  /* from "processes" */
    PH_SOAK_LINK,    /* to "proxy": begin or end of an act */
    PH_SOAK_LEAVE,   /* to "registrar": a worker leaves */
    PH_SOAK_LEFT_AT, /* from "registrar": the store has accepted that */
    PH_SOAK_NOTE,    /* to "journal" */
    PH_SOAK_FINISH,  /* to "callers": ask for the final states */
    PH_SOAK_DONE,    /* to "journal": nothing more to come */
} PhSoakTag;

typedef struct PhSoakMessage {
    PhSoakTag tag;
    PhSoakParty party;
    union {
        int signal;
        pid_t pid;
        int64_t born_ms;
        struct {
            PhSoakAct act;
            bool begins;
        } link;
        PhSoakNote note;
    } as;
} PhSoakMessage;

/* Sends a message to a task of the soak. */
void PhSoak_Send(PhTask *self, PhStr to, const PhSoakMessage *message);
void PhSoak_Note(PhTask *self, const PhSoakNote *note);
bool PhSoakAct_IsPlanned(PhSoakActKind kind);
const char *PhSoakAct_Name(PhSoakActKind kind);
/* Whether an act concerns the process. */
bool PhSoakAct_Concerns(const PhSoakAct *act, PhSoakParty party);

/* Draws the acts, in order of time (PhSoakAct). */
GArray *PhSoakSchedule_Draw(const PhSoakPlan *plan);
void PhSoakSchedule_Print(const GArray *acts);

/* Finds which of the processes has the other end of a loopback connection to
 * `port`, whose own port is `from`; returns `count` if none has. */
size_t PhSoak_FindOwner(const pid_t *pids, size_t count, uint16_t from,
                        uint16_t port);

/* Each starts its task; `plan` is borrowed. */
void PhSoakProcesses_Start(PhKernel *kernel, const PhSoakPlan *plan);
PhStatus PhSoakProxy_Start(PhKernel *kernel, PhSoakPlan *plan);
void PhSoakRegistrar_Start(PhKernel *kernel, const PhSoakPlan *plan);
void PhSoakCallers_Start(PhKernel *kernel, const PhSoakPlan *plan);
void PhSoakFaults_Start(PhKernel *kernel, const PhSoakPlan *plan,
                        const GArray *acts);
/* `on_done` is called once nothing more is to come; the notes (PhSoakNote)
 * are borrowed from the caller and live longer than the task. */
void PhSoakJournal_Start(PhKernel *kernel, GArray *notes,
                         void (*on_done)(void *context), void *context);

/* Runs all checks and prints a line for each.  Returns true if each was
 * exercised and held. */
bool PhSoakChecks_Run(const PhSoakPlan *plan, const GArray *notes);

#endif
