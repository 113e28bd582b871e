#include "peridothill/services/supervisor.h"

#include "peridothill/services/interface.h"
#include "peridothill/services/members.h"

enum {
    MAILBOX_CAPACITY = 16,
    DRAIN_LIMIT_TIMER = 1
};

/* Stop order: services that accept work first, those that the others
 * communicate through last. */
static const PhStr stop_order[] = {
    {"entry", 5},     {"front", 5},  {"schedule", 8}, {"fleet", 5},
    {"orders", 6},    {"store", 5},  {"tasks", 5},    {"workers", 7},
    {"operators", 9}, {"config", 6}, {"members", 7},  {"peers", 5},
    {"list", 4},      {"log", 3},    {"http", 4},
};

typedef struct PhSupervisor {
    PhSupervisorOptions options;
    bool stopping;
    size_t next; /* index into stop_order of the service being stopped */
    PhTaskRef stopping_task;
} PhSupervisor;

static void
end_stop(PhSupervisor *s, PhTask *self)
{
    PhTask_LOG(self, PH_EVENT_PROCESS_STOPPED,
               PhField_U64("services", s->next));
    PhTask_End(self);
    s->options.on_stopped(s->options.context);
}

/* Skips services that are not running. */
static void
stop_next(PhSupervisor *s, PhTask *self)
{
    PhKernel *kernel = PhTask_Kernel(self);
    for (; s->next < G_N_ELEMENTS(stop_order); s->next++) {
        s->stopping_task = PhKernel_Lookup(kernel, stop_order[s->next]);
        if (!PhTaskRef_IsNone(s->stopping_task)) {
            PhTask_Monitor(self, s->stopping_task);
            PhKernel_Stop(kernel, s->stopping_task);
            return;
        }
    }
    end_stop(s, self);
}

/* A second request has no effect. */
static void
begin_stop(PhSupervisor *s, PhTask *self)
{
    if (s->stopping) {
        return;
    }
    s->stopping = true;
    PhTask_LOG(self, PH_EVENT_PROCESS_STOPPING,
               PhField_I64("limit_ms", s->options.drain_limit / PH_NS_PER_MS));
    PhMembersMessage drain = {.tag = PH_MEMBERS_DRAIN};
    PhTask_SendTo(self, PH_SERVICE_MEMBERS, PhMembersMessage_Wrap(&drain));
    PhTask_SetTimer(self, DRAIN_LIMIT_TIMER,
                    PhTask_Now(self) + s->options.drain_limit);
    stop_next(s, self);
}

static void
supervisor_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhSupervisor *s = state;
    switch (mail->kind) {
    case PH_MAIL_STOP:
        begin_stop(s, self);
        break;
    case PH_MAIL_ENDED:
        if (PhTaskRef_Equal(mail->as.ended, s->stopping_task)) {
            s->next++;
            stop_next(s, self);
        }
        break;
    case PH_MAIL_TIMER:
        end_stop(s, self);
        break;
    case PH_MAIL_START:
    case PH_MAIL_MESSAGE:
    case PH_MAIL_IO:
        break;
    }
}

PhStatus
PhSupervisor_Start(PhKernel *kernel, const PhSupervisorOptions *options)
{
    PhSupervisor *s = g_new0(PhSupervisor, 1);
    s->options = *options;
    PhTaskSpec spec = {.name = PH_SERVICE_SUPERVISOR,
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = s,
                       .handle = supervisor_handle,
                       .destroy = g_free};
    return PhKernel_Spawn(kernel, &spec, NULL);
}
