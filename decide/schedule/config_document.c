#include "peridothill/decide/schedule/config_document.h"

static void
fault_clear(gpointer value)
{
    PhSchedFault *fault = value;
    PhStr_Clear(&fault->path);
    PhStr_Clear(&fault->reason);
}

PhSchedDocument *
PhSchedDocument_Create(void)
{
    PhSchedDocument *document = g_new0(PhSchedDocument, 1);
    document->config = PhSchedConfig_Create();
    document->call_timeouts = g_array_new(FALSE, TRUE, sizeof(PhTime));
    document->limits = (PhSchedLimits){.header_bytes = PH_SCHED_NOT_STATED,
                                       .body_bytes = PH_SCHED_NOT_STATED,
                                       .header_time = PH_SCHED_NOT_STATED,
                                       .idle_time = PH_SCHED_NOT_STATED};
    document->faults = g_array_new(FALSE, TRUE, sizeof(PhSchedFault));
    g_array_set_clear_func(document->faults, fault_clear);
    return document;
}

/* Accepts NULL. */
void
PhSchedDocument_Destroy(PhSchedDocument *document)
{
    if (document == NULL) {
        return;
    }
    PhSchedConfig_Destroy(document->config);
    g_array_free(document->call_timeouts, TRUE);
    g_array_free(document->faults, TRUE);
    g_free(document);
}

void
PhSchedDocument_AddFault(PhSchedDocument *document, PhStr path, PhStr reason,
                         bool refused)
{
    document->refused |= refused;
    if (document->faults->len >= PH_SCHED_FAULTS_MAX) {
        document->faults_dropped++;
        return;
    }
    PhSchedFault fault = {.path = PhStr_Dup(path),
                          .reason = PhStr_Dup(reason),
                          .refused = refused};
    g_array_append_val(document->faults, fault);
}

const PhSchedQueue *
PhSchedDocument_Queue(const PhSchedDocument *document, uint32_t index)
{
    return &g_array_index(document->config->queues, PhSchedQueue, index);
}

const PhSchedService *
PhSchedDocument_Service(const PhSchedDocument *document, uint32_t index)
{
    return &g_array_index(document->config->services, PhSchedService, index);
}

PhSchedEntry
PhSchedDocument_Entry(const PhSchedDocument *document, PhSchedEntryKind kind,
                      uint32_t index)
{
    PhSchedEntry entry = {.kind = kind, .index = index};
    switch (kind) {
    case PH_SCHED_ENTRY_QUEUE:
        entry.name = PhSchedDocument_Queue(document, index)->terms.queue;
        break;
    case PH_SCHED_ENTRY_SERVICE:
        entry.name = PhSchedDocument_Service(document, index)->name;
        break;
    case PH_SCHED_ENTRY_DOCUMENT:
    case PH_SCHED_ENTRY_LIMITS:
        entry.index = 0;
        break;
    }
    return entry;
}

uint32_t
PhSchedDocument_Count(const PhSchedDocument *document, PhSchedEntryKind kind)
{
    switch (kind) {
    case PH_SCHED_ENTRY_QUEUE:
        return document->config->queues->len;
    case PH_SCHED_ENTRY_SERVICE:
        return document->config->services->len;
    case PH_SCHED_ENTRY_DOCUMENT:
    case PH_SCHED_ENTRY_LIMITS:
        break;
    }
    return 1;
}

static PhSchedValue
text_value(PhStr text)
{
    return (PhSchedValue){.kind = PH_SCHED_VALUE_TEXT, .as.text = text};
}

static PhSchedValue
number_value(int64_t number)
{
    PhSchedValue value = {.kind = PH_SCHED_VALUE_NUMBER, .as.number = number};
    return number == PH_SCHED_NOT_STATED ? (PhSchedValue){0} : value;
}

static PhSchedValue
time_value(PhTime time)
{
    PhSchedValue value = {.kind = PH_SCHED_VALUE_TIME, .as.time = time};
    return time == PH_SCHED_NOT_STATED ? (PhSchedValue){0} : value;
}

static PhSchedValue
flag_value(bool flag)
{
    return (PhSchedValue){.kind = PH_SCHED_VALUE_FLAG, .as.flag = flag};
}

PhSchedValue
PhSchedDocument_Value(const PhSchedDocument *d, uint32_t index,
                      PhSchedField field)
{
    switch (field) {
    case PH_SCHED_FIELD_HOST:
        return text_value(PhSchedDocument_Queue(d, index)->host);
    case PH_SCHED_FIELD_PREFIX:
        return text_value(PhSchedDocument_Queue(d, index)->prefix);
    case PH_SCHED_FIELD_SERVICE:
        return text_value(PhSchedDocument_Queue(d, index)->terms.service);
    case PH_SCHED_FIELD_PRIORITY:
        return number_value(PhSchedDocument_Queue(d, index)->terms.priority);
    case PH_SCHED_FIELD_ATTEMPTS:
        return number_value(
            PhSchedDocument_Queue(d, index)->terms.max_attempts);
    case PH_SCHED_FIELD_STRETCH:
        return (PhSchedValue){
            .kind = PH_SCHED_VALUE_FACTOR,
            .as.factor = PhSchedDocument_Queue(d, index)->terms.stretch};
    case PH_SCHED_FIELD_SLACK:
        return time_value(PhSchedDocument_Queue(d, index)->terms.slack);
    case PH_SCHED_FIELD_CALL_TIMEOUT:
        return time_value(g_array_index(d->call_timeouts, PhTime, index));
    case PH_SCHED_FIELD_ADVICE:
        return flag_value(PhSchedDocument_Queue(d, index)->needs_advice);
    case PH_SCHED_FIELD_CAPACITY:
        return flag_value(
            PhSchedDocument_Service(d, index)->enforces_capacity);
    case PH_SCHED_FIELD_HEADER_BYTES:
        return number_value(d->limits.header_bytes);
    case PH_SCHED_FIELD_BODY_BYTES:
        return number_value(d->limits.body_bytes);
    case PH_SCHED_FIELD_HEADER_TIME:
        return time_value(d->limits.header_time);
    case PH_SCHED_FIELD_IDLE_TIME:
        return time_value(d->limits.idle_time);
    }
    return (PhSchedValue){0};
}

bool
PhSchedValue_Equal(const PhSchedValue *a, const PhSchedValue *b)
{
    if (a->kind != b->kind) {
        return false;
    }
    switch (a->kind) {
    case PH_SCHED_VALUE_NONE:
        return true;
    case PH_SCHED_VALUE_TEXT:
        return PhStr_Equal(a->as.text, b->as.text);
    case PH_SCHED_VALUE_NUMBER:
        return a->as.number == b->as.number;
    case PH_SCHED_VALUE_FACTOR:
        return a->as.factor == b->as.factor;
    case PH_SCHED_VALUE_TIME:
        return a->as.time == b->as.time;
    case PH_SCHED_VALUE_FLAG:
        return a->as.flag == b->as.flag;
    }
    return false;
}
