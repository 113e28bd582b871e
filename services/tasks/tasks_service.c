#include "services/tasks/tasks_task.h"

enum {
    MAILBOX_CAPACITY = 8192,
    STOP_DELAY_MS = 1000, /* time for the last entry to be sent */
};

enum {
    TIMER_TICK = 1,
    TIMER_STOP,
};

static void
event_log(PhTasksTask *t, const PhJobAction *action)
{
    static const PhEventId events[] = {
        [PH_NOTE_OWNER_GAINED] = PH_EVENT_TASKS_OWNER_GAINED,
        [PH_NOTE_OWNER_LOST] = PH_EVENT_TASKS_OWNER_LOST,
        [PH_NOTE_WORKER_RETIRED] = PH_EVENT_TASKS_WORKER_RETIRED,
        [PH_NOTE_WORKER_RESTORED] = PH_EVENT_TASKS_WORKER_RESTORED,
        [PH_NOTE_WORKER_LAPSED] = PH_EVENT_TASKS_WORKER_LAPSED,
        [PH_NOTE_STREAM_LOST] = PH_EVENT_TASKS_STREAM_LOST,
        [PH_NOTE_WORKER_QUARANTINED] = PH_EVENT_TASKS_WORKER_QUARANTINED,
        [PH_NOTE_TASK_QUARANTINED] = PH_EVENT_TASKS_TASK_QUARANTINED,
    };
    PhTask_LOG(t->self, events[action->as.note.note],
               PhField_STR("subject", action->as.note.subject),
               PhField_U64("number", action->as.note.number));
}

static void
command_send(PhTasksTask *t, const PhWorkerCommand *command)
{
    const PhStr *address = g_hash_table_lookup(t->addresses, &command->worker);
    if (address == NULL) {
        return; /* not listed yet; the engine times out the poll */
    }
    PhWorkerMessage m = {.tag = PH_WORKER_SEND,
                         .as.send = {.worker = PhStr_Dup(command->worker),
                                     .address = PhStr_Dup(*address),
                                     .command = *command}};
    m.as.send.command.worker = (PhStr){0};
    PhTask_SendTo(t->self, PH_SERVICE_WORKERS, PhWorkerMessage_Wrap(&m));
}

static void
action_perform(PhTasksTask *t, const PhJobAction *action)
{
    switch (action->kind) {
    case PH_ACTION_APPEND:
        PhTasksPlatform_Append(t, action->as.append);
        break;
    case PH_ACTION_READ:
        PhTasksPlatform_Read(t, action->as.read);
        break;
    case PH_ACTION_COMMAND:
        command_send(t, &action->as.command);
        break;
    case PH_ACTION_ANSWER:
        PhTasksQuery_Answer(t, action);
        break;
    case PH_ACTION_NOTE:
        event_log(t, action);
        break;
    }
}

void
PhTasksTask_HandleEvent(PhTasksTask *t, const PhJobEvent *event)
{
    GArray *actions = g_array_new(FALSE, FALSE, sizeof(PhJobAction));
    PhJobEngine_Handle(t->engine, event, PhTask_Now(t->self), actions);
    for (guint i = 0; i < actions->len; i++) {
        action_perform(t, &g_array_index(actions, PhJobAction, i));
    }
    g_array_free(actions, TRUE);
}

/* The engine gets an id that no earlier run of the process had. */
static void
start_handle(PhTasksTask *t)
{
    PhBuf id = {0};
    PhBuf_AppendFormat(&id, "%.*s/%" G_GINT64_FORMAT,
                       PhStr_ARG(t->options.instance),
                       (gint64)(PhTask_Wall(t->self) / PH_NS_PER_MS));
    t->engine = PhJobEngine_Create(
        &(PhJobEngineOptions){.instance = PhBuf_Str(&id),
                              .seed = t->options.seed,
                              .times = PhLeaseTimes_Default(),
                              .counters =
                                  PhKernel_Counters(PhTask_Kernel(t->self))},
        PhTask_Now(t->self));
    PhBuf_Clear(&id);
    PhTask_SetTimer(t->self, TIMER_TICK, PhTask_Now(t->self));
}

static void
timer_handle(PhTasksTask *t, uint64_t token)
{
    if (token == TIMER_STOP) {
        PhTask_End(t->self);
        return;
    }
    PhTask_SetTimer(t->self, TIMER_TICK,
                    PhTask_Now(t->self) + (PH_JOB_TICK_MS * PH_NS_PER_MS));
    PhTasksPlatform_Attach(t);
    PhTasksTask_HandleEvent(t, &(PhJobEvent){.kind = PH_JOB_TICK});
}

static void
answer_handle(PhTasksTask *t, const PhWorkerMessage *m)
{
    if (m->tag != PH_WORKER_ANSWERED) {
        return;
    }
    PhWorkerAnswer answer = m->as.answered.answer;
    answer.worker = m->as.answered.worker;
    PhJobEvent event = {.kind = PH_JOB_WORKER_ANSWER, .as.answer = &answer};
    PhTasksTask_HandleEvent(t, &event);
}

static void
message_handle(PhTasksTask *t, const PhMail *mail)
{
    const void *body = mail->as.message.body;
    if (mail->as.message.interface == PH_INTERFACE_TASKS) {
        PhTasksQuery_Handle(t, mail->from, body);
    }
    else if (mail->as.message.interface == PH_INTERFACE_LOG) {
        PhTasksPlatform_OnLog(t, body);
    }
    else if (mail->as.message.interface == PH_INTERFACE_WORKER) {
        answer_handle(t, body);
    }
    else if (mail->as.message.interface == PH_INTERFACE_CONFIG) {
        const PhConfigMessage *m = body;
        if (m->tag == PH_CONFIG_IN_FORCE) {
            PhTasksPlatform_OnConfig(t, m->as.in_force);
        }
    }
    else if (mail->as.message.interface == PH_INTERFACE_LIST) {
        PhTasksPlatform_OnList(t, body);
    }
    else if (mail->as.message.interface == PH_INTERFACE_MEMBERS) {
        const PhMembersMessage *m = body;
        if (m->tag == PH_MEMBERS_VIEW) {
            PhTasksPlatform_OnView(t, &m->as.view);
        }
    }
}

static void
tasks_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhTasksTask *t = state;
    t->self = self;
    switch (mail->kind) {
    case PH_MAIL_START:
        start_handle(t);
        break;
    case PH_MAIL_MESSAGE:
        message_handle(t, mail);
        break;
    case PH_MAIL_TIMER:
        timer_handle(t, mail->as.timer);
        break;
    case PH_MAIL_IO:
    case PH_MAIL_ENDED:
        break;
    case PH_MAIL_STOP:
        PhTasksTask_HandleEvent(t, &(PhJobEvent){.kind = PH_JOB_LEAVE});
        PhTask_SetTimer(self, TIMER_STOP,
                        PhTask_Now(self) + (STOP_DELAY_MS * PH_NS_PER_MS));
        break;
    }
}

static void
tasks_destroy(void *state)
{
    PhTasksTask *t = state;
    PhJobEngine_Destroy(t->engine);
    g_hash_table_destroy(t->addresses);
    PhListReading_Clear(&t->reading);
    g_hash_table_destroy(t->calls);
    PhStr_Clear(&t->stream);
    PhStr_Clear(&t->options.data_centre);
    PhStr_Clear(&t->options.instance);
    g_free(t);
}

static PhTasksTask *
tasks_create(const PhTasksOptions *options)
{
    PhTasksTask *t = g_new0(PhTasksTask, 1);
    PhBuf stream = {0};
    PhBuf_AppendFormat(&stream, "tasks-%.*s", PhStr_ARG(options->data_centre));
    t->stream = PhBuf_Take(&stream);
    t->options = *options;
    t->options.data_centre = PhStr_Dup(options->data_centre);
    t->options.instance = PhStr_Dup(options->instance);
    t->addresses = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                         PhStr_KeyDestroy, PhStr_KeyDestroy);
    t->calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    return t;
}

PhStatus
PhTasks_Start(PhKernel *kernel, const PhTasksOptions *options)
{
    PhStatus status = PhWorkers_Start(kernel);
    if (status != PH_STATUS_OK) {
        return status;
    }
    PhTasksTask *t = tasks_create(options);
    PhTaskSpec spec = {.name = PH_SERVICE_TASKS,
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = t,
                       .handle = tasks_handle,
                       .destroy = tasks_destroy};
    return PhKernel_Spawn(kernel, &spec, NULL);
}
