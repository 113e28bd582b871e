#include "peridothill/decide/schedule/config_check.h"

#include <string.h>

enum {
    ID_BYTES = 16,      /* of a job, all hexadecimal digits */
    ID_CHARACTERS = 22, /* digits, and letters in either case */
};

/* Records of jobs hold it in thousandths, as a 64-bit number. */
static const double STRETCH_MAX = 1e16;

typedef struct PhCheck {
    const PhSchedDocument *document;
    const PhSchedDocument *in_force; /* or NULL */
    GArray *findings;                /* PhSchedFinding */
} PhCheck;

PhSchedSeverity
PhSchedFinding_Severity(PhSchedFindingKind kind)
{
    switch (kind) {
    case PH_SCHED_FINDING_MALFORMED:
    case PH_SCHED_FINDING_MALFORMED_NOT_SHOWN:
    case PH_SCHED_FINDING_VERSION_NOT_ABOVE:
    case PH_SCHED_FINDING_NAME_MISSING:
    case PH_SCHED_FINDING_NAME_TWICE:
    case PH_SCHED_FINDING_SERVICE_MISSING:
    case PH_SCHED_FINDING_PREFIX_TWICE:
    case PH_SCHED_FINDING_HOST_WITH_PORT:
    case PH_SCHED_FINDING_PREFIX_WITHOUT_SLASH:
    case PH_SCHED_FINDING_PREFIX_WITH_QUERY:
    case PH_SCHED_FINDING_IDS_ALL_TAKEN:
    case PH_SCHED_FINDING_STRETCH_RANGE:
    case PH_SCHED_FINDING_ZERO:
    case PH_SCHED_FINDING_HEADER_TIME_ABOVE_IDLE:
        return PH_SCHED_SEVERITY_ERROR;
    case PH_SCHED_FINDING_SERVICE_UNKNOWN:
    case PH_SCHED_FINDING_SERVICE_UNUSED:
    case PH_SCHED_FINDING_IDS_TAKEN:
    case PH_SCHED_FINDING_STRETCH_BELOW_ONE:
    case PH_SCHED_FINDING_ATTEMPTS_UNLIMITED:
    case PH_SCHED_FINDING_ADVICE_UNSUPPORTED:
    case PH_SCHED_FINDING_TIMEOUT_BELOW_TARGET:
        return PH_SCHED_SEVERITY_WARNING;
    case PH_SCHED_FINDING_ADDED:
    case PH_SCHED_FINDING_REMOVED:
    case PH_SCHED_FINDING_CHANGED:
        break;
    }
    return PH_SCHED_SEVERITY_DIFFERENCE;
}

static void
finding_add(PhCheck *c, PhSchedFinding finding)
{
    g_array_append_val(c->findings, finding);
}

/* Adds a finding that its entry describes. */
static void
finding_mark(PhCheck *c, PhSchedFindingKind kind, PhSchedEntry entry)
{
    finding_add(c, (PhSchedFinding){.kind = kind, .entry = entry});
}

/* Returns whether instances refuse the document. */
static bool
check_faults(PhCheck *c)
{
    for (guint i = 0; i < c->document->faults->len; i++) {
        const PhSchedFault *fault =
            &g_array_index(c->document->faults, PhSchedFault, i);
        finding_add(c, (PhSchedFinding){.kind = PH_SCHED_FINDING_MALFORMED,
                                        .as.malformed = fault});
    }
    if (c->document->faults_dropped > 0) {
        finding_add(
            c, (PhSchedFinding){.kind = PH_SCHED_FINDING_MALFORMED_NOT_SHOWN,
                                .as.not_shown = c->document->faults_dropped});
    }
    return c->document->refused;
}

/* Instances ignore a version that is not above the one in force. */
static void
check_version(PhCheck *c)
{
    uint64_t version = c->document->config->version;
    if (c->in_force != NULL && version <= c->in_force->config->version) {
        finding_add(
            c, (PhSchedFinding){
                   .kind = PH_SCHED_FINDING_VERSION_NOT_ABOVE,
                   .as.version = {.version = version,
                                  .in_force = c->in_force->config->version}});
    }
}

/* Jobs are counted by the name of their queue. */
static void
check_name(PhCheck *c, PhSchedEntry entry)
{
    if (entry.name.len == 0) {
        finding_mark(c, PH_SCHED_FINDING_NAME_MISSING, entry);
        return;
    }
    for (uint32_t i = 0; i < entry.index; i++) {
        PhSchedEntry other = PhSchedDocument_Entry(c->document, entry.kind, i);
        if (PhStr_Equal(other.name, entry.name)) {
            finding_add(c,
                        (PhSchedFinding){.kind = PH_SCHED_FINDING_NAME_TWICE,
                                         .entry = entry,
                                         .as.other = other});
            return;
        }
    }
}

/* A task runs on workers whose entry names the service of its queue.  The
 * document's list of services decides nothing. */
static void
check_service_of(PhCheck *c, PhSchedEntry entry, PhStr name)
{
    if (name.len == 0) {
        finding_mark(c, PH_SCHED_FINDING_SERVICE_MISSING, entry);
        return;
    }
    for (guint i = 0; i < c->document->config->services->len; i++) {
        if (PhStr_Equal(PhSchedDocument_Service(c->document, i)->name, name)) {
            return;
        }
    }
    finding_add(c, (PhSchedFinding){.kind = PH_SCHED_FINDING_SERVICE_UNKNOWN,
                                    .entry = entry,
                                    .as.service = name});
}

/* Returns the first queue with the host and prefix of queue `index`. */
static uint32_t
first_with_same_prefix(const PhSchedDocument *d, uint32_t index)
{
    const PhSchedQueue *queue = PhSchedDocument_Queue(d, index);
    for (uint32_t i = 0; i < index; i++) {
        const PhSchedQueue *other = PhSchedDocument_Queue(d, i);
        if (PhStr_EqualNoCase(other->host, queue->host) &&
            PhStr_Equal(other->prefix, queue->prefix)) {
            return i;
        }
    }
    return index;
}

/* Whether the queue matches no path at all; see PhSchedConfig_Match. */
static bool
check_match(PhCheck *c, PhSchedEntry entry, const PhSchedQueue *queue)
{
    guint before = c->findings->len;
    uint32_t first = first_with_same_prefix(c->document, entry.index);
    if (memchr(queue->host.data, ':', queue->host.len) != NULL) {
        finding_mark(c, PH_SCHED_FINDING_HOST_WITH_PORT, entry);
    }
    if (queue->prefix.data[0] != '/') {
        finding_mark(c, PH_SCHED_FINDING_PREFIX_WITHOUT_SLASH, entry);
    }
    if (memchr(queue->prefix.data, '?', queue->prefix.len) != NULL) {
        finding_mark(c, PH_SCHED_FINDING_PREFIX_WITH_QUERY, entry);
    }
    if (first != entry.index) {
        finding_add(c, (PhSchedFinding){.kind = PH_SCHED_FINDING_PREFIX_TWICE,
                                        .entry = entry,
                                        .as.other = PhSchedDocument_Entry(
                                            c->document, entry.kind, first)});
    }
    return c->findings->len > before;
}

/* Finds out whether a longer prefix takes ids of the queue, and with which
 * characters these begin.  Any other longer prefix takes none: the prefix of a
 * queue is followed by an id or by nothing. */
static bool
ids_taken(const PhSchedQueue *queue, const PhSchedQueue *longer, PhStr *begin)
{
    if (longer->prefix.len <= queue->prefix.len ||
        !PhStr_EqualNoCase(longer->host, queue->host) ||
        !PhStr_StartsWith(longer->prefix, queue->prefix)) {
        return false;
    }
    *begin = PhStr_Slice(longer->prefix, queue->prefix.len,
                         longer->prefix.len - queue->prefix.len);
    for (size_t i = 0; i < begin->len; i++) {
        if (!g_ascii_isxdigit(begin->data[i])) {
            return false;
        }
    }
    return begin->len <= ID_BYTES;
}

static gint
begin_compare(gconstpointer a, gconstpointer b)
{
    const PhSchedFinding *x = a;
    const PhSchedFinding *y = b;
    return PhStr_Compare(x->as.taken.begin, y->as.taken.begin);
}

/* Whether every id begins with the `begin` of one of the findings.  They are
 * sorted and agree in the first `depth` characters. */
static bool
begins_cover(const PhSchedFinding *taken, guint count, size_t depth)
{
    if (taken[0].as.taken.begin.len == depth) {
        return true;
    }
    guint characters = 0;
    for (guint i = 0; i < count; characters++) {
        char first = taken[i].as.taken.begin.data[depth];
        guint end = i + 1;
        while (end < count && taken[end].as.taken.begin.data[depth] == first) {
            end++;
        }
        if (!begins_cover(taken + i, end - i, depth + 1)) {
            return false;
        }
        i = end;
    }
    return characters == ID_CHARACTERS;
}

/* The path that is the prefix itself, with the number of pending jobs, remains
 * in any case. */
static void
check_ids(PhCheck *c, PhSchedEntry entry, const PhSchedQueue *queue)
{
    GArray *taken = g_array_new(FALSE, FALSE, sizeof(PhSchedFinding));
    for (guint i = 0; i < c->document->config->queues->len; i++) {
        PhSchedFinding f = {.kind = PH_SCHED_FINDING_IDS_TAKEN,
                            .entry = entry,
                            .as.taken.longer = PhSchedDocument_Entry(
                                c->document, PH_SCHED_ENTRY_QUEUE, i)};
        if (ids_taken(queue, PhSchedDocument_Queue(c->document, i),
                      &f.as.taken.begin) &&
            first_with_same_prefix(c->document, i) == i) {
            g_array_append_val(taken, f);
        }
    }
    g_array_sort(taken, begin_compare);
    const PhSchedFinding *all = (const PhSchedFinding *)taken->data;
    if (taken->len > 0 && begins_cover(all, taken->len, 0)) {
        finding_mark(c, PH_SCHED_FINDING_IDS_ALL_TAKEN, entry);
    }
    else {
        g_array_append_vals(c->findings, taken->data, taken->len);
    }
    g_array_free(taken, TRUE);
}

static void
check_stretch(PhCheck *c, PhSchedEntry entry, double stretch)
{
    PhSchedFinding f = {.entry = entry, .as.stretch = stretch};
    if (!(stretch >= 0 && stretch <= STRETCH_MAX)) {
        f.kind = PH_SCHED_FINDING_STRETCH_RANGE;
        finding_add(c, f);
    }
    else if (stretch < 1) {
        f.kind = PH_SCHED_FINDING_STRETCH_BELOW_ONE;
        finding_add(c, f);
    }
}

static void
check_zero(PhCheck *c, PhSchedEntry entry, PhSchedField field, int64_t value)
{
    if (value == 0) {
        finding_add(c, (PhSchedFinding){.kind = PH_SCHED_FINDING_ZERO,
                                        .entry = entry,
                                        .as.zero = field});
    }
}

/* A job may end after the call that submits it has been answered, so that a
 * time-out below the target is no error. */
static void
check_terms(PhCheck *c, PhSchedEntry entry, const PhSchedQueue *queue)
{
    PhTime timeout =
        g_array_index(c->document->call_timeouts, PhTime, entry.index);
    check_stretch(c, entry, queue->terms.stretch);
    if (queue->terms.max_attempts == 0) {
        finding_mark(c, PH_SCHED_FINDING_ATTEMPTS_UNLIMITED, entry);
    }
    if (queue->needs_advice) {
        finding_mark(c, PH_SCHED_FINDING_ADVICE_UNSUPPORTED, entry);
    }
    check_zero(c, entry, PH_SCHED_FIELD_CALL_TIMEOUT, timeout);
    if (timeout > 0 && timeout < queue->terms.slack) {
        finding_add(
            c, (PhSchedFinding){.kind = PH_SCHED_FINDING_TIMEOUT_BELOW_TARGET,
                                .entry = entry,
                                .as.times = {.shorter = timeout,
                                             .longer = queue->terms.slack}});
    }
}

static void
check_queues(PhCheck *c)
{
    for (guint i = 0; i < c->document->config->queues->len; i++) {
        const PhSchedQueue *queue = PhSchedDocument_Queue(c->document, i);
        PhSchedEntry entry =
            PhSchedDocument_Entry(c->document, PH_SCHED_ENTRY_QUEUE, i);
        check_name(c, entry);
        check_service_of(c, entry, queue->terms.service);
        if (!check_match(c, entry, queue)) {
            check_ids(c, entry, queue);
        }
        check_terms(c, entry, queue);
    }
}

static bool
service_is_used(const PhSchedDocument *d, PhStr name)
{
    for (guint i = 0; i < d->config->queues->len; i++) {
        if (PhStr_Equal(PhSchedDocument_Queue(d, i)->terms.service, name)) {
            return true;
        }
    }
    return false;
}

static void
check_services(PhCheck *c)
{
    for (guint i = 0; i < c->document->config->services->len; i++) {
        PhSchedEntry entry =
            PhSchedDocument_Entry(c->document, PH_SCHED_ENTRY_SERVICE, i);
        check_name(c, entry);
        if (entry.name.len > 0 && !service_is_used(c->document, entry.name)) {
            finding_mark(c, PH_SCHED_FINDING_SERVICE_UNUSED, entry);
        }
    }
}

/* Headers and bodies are counted apart, so that more bytes of headers than of
 * bodies are no contradiction. */
static void
check_limits(PhCheck *c)
{
    const PhSchedLimits *l = &c->document->limits;
    PhSchedEntry entry = {.kind = PH_SCHED_ENTRY_LIMITS};
    check_zero(c, entry, PH_SCHED_FIELD_HEADER_BYTES, l->header_bytes);
    check_zero(c, entry, PH_SCHED_FIELD_BODY_BYTES, l->body_bytes);
    check_zero(c, entry, PH_SCHED_FIELD_HEADER_TIME, l->header_time);
    check_zero(c, entry, PH_SCHED_FIELD_IDLE_TIME, l->idle_time);
    if (l->idle_time > 0 && l->header_time > l->idle_time) {
        finding_add(c, (PhSchedFinding){
                           .kind = PH_SCHED_FINDING_HEADER_TIME_ABOVE_IDLE,
                           .entry = entry,
                           .as.times = {.shorter = l->idle_time,
                                        .longer = l->header_time}});
    }
}

/* Finds the entry of the same name in another document; of several with one
 * name the one at the same place among them. */
static bool
entry_find(const PhSchedDocument *from, PhSchedEntry entry,
           const PhSchedDocument *in, uint32_t *index)
{
    uint32_t earlier = 0;
    for (uint32_t i = 0; i < entry.index; i++) {
        earlier += PhStr_Equal(PhSchedDocument_Entry(from, entry.kind, i).name,
                               entry.name);
    }
    for (uint32_t i = 0; i < PhSchedDocument_Count(in, entry.kind); i++) {
        PhSchedEntry other = PhSchedDocument_Entry(in, entry.kind, i);
        if (PhStr_Equal(other.name, entry.name) && earlier-- == 0) {
            *index = i;
            return true;
        }
    }
    return false;
}

static void
compare_fields(PhCheck *c, PhSchedEntry entry, uint32_t before_index,
               PhSchedField first, PhSchedField last)
{
    for (int field = first; field <= (int)last; field++) {
        PhSchedFinding f = {.kind = PH_SCHED_FINDING_CHANGED, .entry = entry};
        f.as.changed.field = (PhSchedField)field;
        f.as.changed.before = PhSchedDocument_Value(c->in_force, before_index,
                                                    f.as.changed.field);
        f.as.changed.after = PhSchedDocument_Value(c->document, entry.index,
                                                   f.as.changed.field);
        if (!PhSchedValue_Equal(&f.as.changed.before, &f.as.changed.after)) {
            finding_add(c, f);
        }
    }
}

/* Compares the entries of one kind, field by field. */
static void
compare_entries(PhCheck *c, PhSchedEntryKind kind, PhSchedField first,
                PhSchedField last)
{
    for (uint32_t i = 0; i < PhSchedDocument_Count(c->document, kind); i++) {
        PhSchedEntry entry = PhSchedDocument_Entry(c->document, kind, i);
        uint32_t before;
        if (entry_find(c->document, entry, c->in_force, &before)) {
            compare_fields(c, entry, before, first, last);
        }
        else {
            finding_mark(c, PH_SCHED_FINDING_ADDED, entry);
        }
    }
    for (uint32_t i = 0; i < PhSchedDocument_Count(c->in_force, kind); i++) {
        PhSchedEntry entry = PhSchedDocument_Entry(c->in_force, kind, i);
        uint32_t after;
        if (!entry_find(c->in_force, entry, c->document, &after)) {
            finding_mark(c, PH_SCHED_FINDING_REMOVED, entry);
        }
    }
}

static gint
severity_compare(gconstpointer a, gconstpointer b)
{
    return (gint)PhSchedFinding_Severity(((const PhSchedFinding *)a)->kind) -
           (gint)PhSchedFinding_Severity(((const PhSchedFinding *)b)->kind);
}

GArray *
PhSchedCheck_Run(const PhSchedDocument *document,
                 const PhSchedDocument *in_force)
{
    PhCheck c = {.document = document,
                 .in_force = in_force,
                 .findings = g_array_new(FALSE, TRUE, sizeof(PhSchedFinding))};
    if (check_faults(&c)) {
        return c.findings;
    }
    check_version(&c);
    check_queues(&c);
    check_services(&c);
    check_limits(&c);
    if (in_force != NULL) {
        compare_entries(&c, PH_SCHED_ENTRY_QUEUE, PH_SCHED_FIELD_HOST,
                        PH_SCHED_FIELD_ADVICE);
        compare_entries(&c, PH_SCHED_ENTRY_SERVICE, PH_SCHED_FIELD_CAPACITY,
                        PH_SCHED_FIELD_CAPACITY);
        compare_entries(&c, PH_SCHED_ENTRY_LIMITS, PH_SCHED_FIELD_HEADER_BYTES,
                        PH_SCHED_FIELD_IDLE_TIME);
    }
    /* g_array_sort is stable. */
    g_array_sort(c.findings, severity_compare);
    return c.findings;
}
