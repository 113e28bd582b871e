#include "peridothill/decide/schedule/queue.h"

static void
queue_clear(gpointer value)
{
    PhSchedQueue *q = value;
    PhStr_Clear(&q->terms.queue);
    PhStr_Clear(&q->host);
    PhStr_Clear(&q->prefix);
    PhStr_Clear(&q->terms.service);
}

static void
service_clear(gpointer value)
{
    PhSchedService *s = value;
    PhStr_Clear(&s->name);
}

PhSchedConfig *
PhSchedConfig_Create(void)
{
    PhSchedConfig *config = g_new0(PhSchedConfig, 1);
    config->queues = g_array_new(FALSE, TRUE, sizeof(PhSchedQueue));
    g_array_set_clear_func(config->queues, queue_clear);
    config->services = g_array_new(FALSE, TRUE, sizeof(PhSchedService));
    g_array_set_clear_func(config->services, service_clear);
    return config;
}

/* Accepts NULL. */
void
PhSchedConfig_Destroy(PhSchedConfig *config)
{
    if (config == NULL) {
        return;
    }
    g_array_free(config->queues, TRUE);
    g_array_free(config->services, TRUE);
    g_free(config);
}

/* Removes the port. */
static PhStr
host_name(PhStr host)
{
    PhStr name;
    PhStr port;
    return PhStr_Cut(host, ':', &name, &port) ? name : host;
}

const PhSchedQueue *
PhSchedConfig_Match(const PhSchedConfig *config, PhStr host, PhStr path,
                    PhStr *rest)
{
    const PhSchedQueue *best = NULL;
    PhStr name = host_name(host);
    for (guint i = 0; i < config->queues->len; i++) {
        const PhSchedQueue *q =
            &g_array_index(config->queues, PhSchedQueue, i);
        if (PhStr_EqualNoCase(q->host, name) &&
            PhStr_StartsWith(path, q->prefix) &&
            (best == NULL || q->prefix.len > best->prefix.len)) {
            best = q;
        }
    }
    if (best != NULL) {
        *rest = PhStr_Slice(path, best->prefix.len, path.len);
    }
    return best;
}
