/* The part of a listener in the receive budget of its process. */
#include <malloc.h>
#include <sys/socket.h>

#include "listener_internal.h"

static void
count(const PhListener *l, PhCounter counter)
{
    PhCounters_Add(PhKernel_Counters(PhTask_Kernel(l->self)), counter, 1);
}

static void
budget_log(PhListener *l)
{
    const PhReceiveBudget *b = l->options.receive.budget;
    l->budget_closed++;
    if (PhTask_LogIsDue(l->self, &l->budget_logged_at)) {
        PhTask_LOG(l->self, PH_EVENT_RECEIVE_BUDGET,
                   PhField_U64("port", l->port),
                   PhField_U64("closed", l->budget_closed),
                   PhField_U64("held", PhReceiveBudget_Used(b)),
                   PhField_U64("budget", PhReceiveBudget_Limit(b)));
        l->budget_closed = 0;
    }
}

void
PhConnection_Hold(PhConnection *c, PhReceiverStage stage, size_t bytes)
{
    const PhListener *l = c->listener;
    PhReceiveBudget_Set(l->options.receive.budget, &c->receiver, stage, bytes,
                        PhTask_Now(l->self));
}

/* libmicrohttpd then reads the end of the stream and cleans up.  The body of a
 * request of this listener is freed at once; another listener frees it when
 * its task runs next. */
static void
connection_shut(const PhListener *l, PhReceiver *receiver)
{
    PhConnection *c = (PhConnection *)receiver;
    shutdown(c->fd, SHUT_RDWR);
    if (c->listener == l && c->exchange != NULL &&
        receiver->stage == PH_RECEIVER_RECEIVING) {
        PhBuf_Clear(&c->exchange->body);
    }
}

bool
PhConnection_Reserve(PhConnection *c, size_t extra)
{
    PhListener *l = c->listener;
    PhReceiveBudget *budget = l->options.receive.budget;
    for (;;) {
        PhReceiveDecision d = PhReceiveBudget_Decide(
            budget, &c->receiver, extra, PhTask_Now(l->self));
        switch (d.tag) {
        case PH_RECEIVE_STORE:
            return true;
        case PH_RECEIVE_CLOSE_OTHER:
            count(l, PH_COUNTER_RECEIVE_BUDGET_CLOSED);
            connection_shut(l, d.as.other);
            budget_log(l);
            break;
        case PH_RECEIVE_CLOSE_SENDER:
            count(l, PH_COUNTER_RECEIVE_BUDGET_CLOSED);
            budget_log(l);
            return false;
        }
    }
}

bool
PhListener_ReturnMemory(const PhListener *l)
{
    PhReceiveBudget *budget = l->options.receive.budget;
    if (PhReceiveBudget_ReturnsMemory(budget, PhTask_Now(l->self))) {
        malloc_trim(0);
    }
    return PhReceiveBudget_HasReleased(budget);
}
