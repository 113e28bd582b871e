#include "http_internal.h"

#include "peridothill/common/invariant.h"
#include "peridothill/services/interface.h"

enum {
    MAILBOX_CAPACITY = 4096,
    CURL_TIMER_TOKEN = 0,
    /* Idle connections kept open. libcurl's default limit follows the number
     * of transfers and closes connections to workers between two commands. */
    MAX_IDLE_CONNECTIONS = 2048,
};

static void
transfers_collect(PhHttp *http)
{
    CURLMsg *m;
    int left;
    while ((m = curl_multi_info_read(http->multi, &left)) != NULL) {
        PhTransfer *t;
        long status = 0;
        if (m->msg != CURLMSG_DONE) {
            continue;
        }
        CURLcode code = m->data.result;
        curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &t);
        curl_easy_getinfo(m->easy_handle, CURLINFO_RESPONSE_CODE, &status);
        t->reply.status = (int)status;
        if (code == CURLE_OK) {
            PhTransfer_Finish(t, PH_HTTP_ANSWERED, PH_HTTP_FAILURE_NONE);
        }
        else {
            PhTransfer_Fail(t, PhTransfer_MapError(t, code));
        }
    }
}

static int
on_socket(CURL *easy, curl_socket_t fd, int what, void *context, void *unused)
{
    PhHttp *http = context;
    (void)easy;
    (void)unused;
    int events = 0;
    if (what == CURL_POLL_IN || what == CURL_POLL_INOUT) {
        events |= PH_IO_READ;
    }
    if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT) {
        events |= PH_IO_WRITE;
    }
    PhTask_Watch(http->self, fd, events);
    return 0;
}

static int
on_curl_timer(CURLM *multi, long timeout_ms, void *context)
{
    PhHttp *http = context;
    (void)multi;
    if (timeout_ms < 0) {
        PhTask_CancelTimer(http->self, CURL_TIMER_TOKEN);
    }
    else {
        PhTask_SetTimer(http->self, CURL_TIMER_TOKEN,
                        PhTask_Now(http->self) + timeout_ms * PH_NS_PER_MS);
    }
    return 0;
}

static void
http_start(PhHttp *http, PhTask *self)
{
    http->self = self;
    http->multi = curl_multi_init();
    Ph_INVARIANT(PH_INVARIANT_PRECONDITION, http->multi != NULL,
                 "curl_multi_init() failed");
    curl_multi_setopt(http->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
    curl_multi_setopt(http->multi, CURLMOPT_SOCKETDATA, http);
    curl_multi_setopt(http->multi, CURLMOPT_TIMERFUNCTION, on_curl_timer);
    curl_multi_setopt(http->multi, CURLMOPT_TIMERDATA, http);
    curl_multi_setopt(http->multi, CURLMOPT_MAXCONNECTS,
                      (long)MAX_IDLE_CONNECTIONS);
}

/* Ids are chosen by the senders, so they are unique only per sender. */
static void
http_cancel(PhHttp *http, PhTaskRef sender, uint64_t id)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, http->transfers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PhTransfer *t = value;
        if (t->reply.id == id && PhTaskRef_Equal(t->sender, sender)) {
            PhTransfer_Fail(t, PH_HTTP_FAILURE_CANCELLED);
            return;
        }
    }
}

static void
on_message(PhHttp *http, const PhMail *mail)
{
    const PhHttpMessage *m = mail->as.message.body;
    if (mail->as.message.interface != PH_INTERFACE_HTTP) {
        return;
    }
    switch (m->tag) {
    case PH_HTTP_SEND:
        PhTransfer_Start(http, mail->from, &m->as.send);
        break;
    case PH_HTTP_CANCEL:
        http_cancel(http, mail->from, m->as.cancel);
        break;
    case PH_HTTP_REPLY:
        break;
    }
}

/* The token is CURL_TIMER_TOKEN or one made by timer_token(). */
static void
on_timer(PhHttp *http, uint64_t token)
{
    int running;
    if (token == CURL_TIMER_TOKEN) {
        curl_multi_socket_action(http->multi, CURL_SOCKET_TIMEOUT, 0,
                                 &running);
        transfers_collect(http);
        return;
    }
    uint64_t number = token >> 1;
    PhTransfer *t = g_hash_table_lookup(http->transfers, &number);
    if (t == NULL) {
        return;
    }
    switch ((PhTransferTimer)(token & 1)) {
    case TRANSFER_DEADLINE:
        PhTransfer_Fail(t, PH_HTTP_FAILURE_DEADLINE);
        break;
    case TRANSFER_FIRST_BYTE:
        PhTransfer_Fail(t, PH_HTTP_FAILURE_FIRST_BYTE);
        break;
    }
}

static void
on_io(PhHttp *http, int fd, int events)
{
    int running;
    int mask = ((events & PH_IO_READ) ? CURL_CSELECT_IN : 0) |
               ((events & PH_IO_WRITE) ? CURL_CSELECT_OUT : 0);
    curl_multi_socket_action(http->multi, fd, mask, &running);
    transfers_collect(http);
}

static void
http_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhHttp *http = state;
    switch (mail->kind) {
    case PH_MAIL_START:
        http_start(http, self);
        break;
    case PH_MAIL_MESSAGE:
        on_message(http, mail);
        break;
    case PH_MAIL_TIMER:
        on_timer(http, mail->as.timer);
        break;
    case PH_MAIL_IO:
        on_io(http, mail->as.io.fd, mail->as.io.events);
        break;
    case PH_MAIL_ENDED:
        break;
    case PH_MAIL_STOP:
        PhTask_End(self);
        break;
    }
}

static void
http_destroy(void *state)
{
    PhHttp *http = state;
    if (http->multi != NULL) {
        curl_multi_setopt(http->multi, CURLMOPT_SOCKETFUNCTION, NULL);
        curl_multi_setopt(http->multi, CURLMOPT_TIMERFUNCTION, NULL);
    }
    g_hash_table_destroy(http->transfers);
    if (http->multi != NULL) {
        curl_multi_cleanup(http->multi);
    }
    PhRandom_Destroy(http->random);
    g_ptr_array_free(http->free_handles, TRUE);
    g_free(http);
}

PhStatus
PhHttp_Start(PhKernel *kernel)
{
    PhHttp *http = g_new0(PhHttp, 1);
    http->random = PhRandom_Create((uint64_t)PhKernel_Now(kernel));
    http->free_handles = g_ptr_array_new_with_free_func(curl_easy_cleanup);
    http->transfers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                            PhTransfer_Destroy);
    PhTaskSpec spec = {.name = PH_SERVICE_HTTP,
                       .mailbox_capacity = MAILBOX_CAPACITY,
                       .state = http,
                       .handle = http_handle,
                       .destroy = http_destroy};
    return PhKernel_Spawn(kernel, &spec, NULL);
}
