#include "listener_rig.h"

#include "tests/paused_loop.h"
#include "tests/table.h"

static void
disconnect_ignore(void *context, uint64_t id)
{
    (void)context;
    (void)id;
}

PhListener *
PhListenerRig_CreateListener(PhTask *self, const PhListenerOptions *options)
{
    PhListenerOptions all = *options;
    PhListener *listener;
    all.address = PhStr_LITERAL("127.0.0.1:0");
    all.connection_limit = 8;
    if (all.on_client_disconnect == NULL) {
        all.on_client_disconnect = disconnect_ignore;
    }
    PhResult r = PhListener_Create(self, &all, &listener);
    assert_int_equal(r.status, PH_STATUS_OK);
    return listener;
}

void
PhListenerRig_OpenKernel(PhListenerRig *rig)
{
    *rig = (PhListenerRig){.loop = ev_loop_new(0),
                           .clock = PhPausedLoop_CreateClock(),
                           .counters = PhCounters_Create(),
                           .caller.fd = -1};
    rig->kernel = PhKernel_Create(&(PhKernelOptions){
        .clock = rig->clock, .loop = rig->loop, .counters = rig->counters});
}

static void
server_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhListenerRig *rig = state;
    if (mail->kind == PH_MAIL_START) {
        rig->listener = PhListenerRig_CreateListener(self, &rig->options);
        return;
    }
    PhListener_Handle(rig->listener, mail);
}

static void
server_destroy(void *state)
{
    PhListener_Destroy(((PhListenerRig *)state)->listener);
}

void
PhListenerRig_Open(PhListenerRig *rig, const PhListenerOptions *options)
{
    PhTaskSpec spec = {.name = PhStr_LITERAL("server"),
                       .mailbox_capacity = 16,
                       .state = rig,
                       .handle = server_handle,
                       .destroy = server_destroy};
    PhListenerRig_OpenKernel(rig);
    rig->options = *options;
    assert_int_equal(PhKernel_Spawn(rig->kernel, &spec, NULL), PH_STATUS_OK);
    PhListenerRig_Run(rig, 1);
}

void
PhListenerRig_Run(PhListenerRig *rig, int steps)
{
    for (int i = 0; i < steps; i++) {
        PhPausedLoop_Step(rig->loop, rig->clock);
        PhRawCaller_Read(&rig->caller);
    }
}

void
PhListenerRig_Close(PhListenerRig *rig)
{
    PhRawCaller_Close(&rig->caller);
    PhKernel_Destroy(rig->kernel);
    PhCounters_Destroy(rig->counters);
    PhClock_Destroy(rig->clock);
    ev_loop_destroy(rig->loop);
}
