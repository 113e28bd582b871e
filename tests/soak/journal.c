/* The task that keeps what was seen, and the messages between the tasks. */
#include "soak.h"

enum {
    MAILBOX_CAPACITY = 65536
};

typedef struct PhJournal {
    GArray *notes; /* PhSoakNote, borrowed */
    void (*on_done)(void *context);
    void *context;
} PhJournal;

void
PhSoak_Send(PhTask *self, PhStr to, const PhSoakMessage *message)
{
    PhTask_SendTo(
        self, to,
        PhMessage_Copy(PH_SOAK_INTERFACE, message, sizeof(*message), g_free));
}

void
PhSoak_Note(PhTask *self, const PhSoakNote *note)
{
    PhSoakMessage m = {.tag = PH_SOAK_NOTE};
    m.as.note = *note;
    PhSoak_Send(self, PH_SOAK_JOURNAL, &m);
}

static void
journal_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhJournal *j = state;
    if (mail->kind == PH_MAIL_STOP) {
        PhTask_End(self);
    }
    if (mail->kind == PH_MAIL_MESSAGE) {
        const PhSoakMessage *m = mail->as.message.body;
        if (m->tag == PH_SOAK_NOTE) {
            g_array_append_val(j->notes, m->as.note);
        }
        else if (m->tag == PH_SOAK_DONE) {
            j->on_done(j->context);
        }
    }
}

void
PhSoakJournal_Start(PhKernel *kernel, GArray *notes,
                    void (*on_done)(void *context), void *context)
{
    PhJournal *j = g_new0(PhJournal, 1);
    j->notes = notes;
    j->on_done = on_done;
    j->context = context;
    PhTaskSpec spec = {.name = PH_SOAK_JOURNAL,
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = j,
                       .handle = journal_handle,
                       .destroy = g_free};
    PhKernel_Spawn(kernel, &spec, NULL);
}
