#include "peridothill/fakes/fake_log.h"

#include "peridothill/common/random.h"

typedef struct PhFakeStream {
    GQueue records; /* PhFakeRecord, owned with their data */
    uint64_t first; /* offset of the oldest record */
    uint64_t next;
} PhFakeStream;

struct PhFakeLog {
    PhFakeLogOptions options;
    PhRandom *random;
    GHashTable *streams; /* PhFakeStream by PhStr name */
    PhTime limit_second; /* the second that `second_appends` counts */
    uint32_t second_appends;
    PhFakeLogCounts counts;
};

static void
record_destroy(gpointer data)
{
    PhFakeRecord *r = data;
    PhStr_Clear(&r->data);
    g_free(r);
}

static void
stream_destroy(gpointer data)
{
    PhFakeStream *s = data;
    g_queue_clear_full(&s->records, record_destroy);
    g_free(s);
}

PhFakeLog *
PhFakeLog_Create(const PhFakeLogOptions *options)
{
    PhFakeLog *log = g_new0(PhFakeLog, 1);
    log->options = *options;
    log->random = PhRandom_Create(options->seed);
    log->streams = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                         PhStr_KeyDestroy, stream_destroy);
    return log;
}

void
PhFakeLog_Destroy(PhFakeLog *log)
{
    g_hash_table_destroy(log->streams);
    PhRandom_Destroy(log->random);
    g_free(log);
}

PhFakeLogOptions *
PhFakeLog_Options(PhFakeLog *log)
{
    return &log->options;
}

PhFakeLogCounts
PhFakeLog_Counts(const PhFakeLog *log)
{
    return log->counts;
}

/* Returns the stream, created if necessary, without expired records. */
static PhFakeStream *
log_stream_get(PhFakeLog *log, PhTime now, PhStr name)
{
    PhFakeStream *s = g_hash_table_lookup(log->streams, &name);
    if (s == NULL) {
        s = g_new0(PhFakeStream, 1);
        g_queue_init(&s->records);
        g_hash_table_insert(log->streams, PhStr_KeyCreate(name), s);
    }
    const PhFakeRecord *oldest = NULL;
    while (log->options.retention > 0 &&
           (oldest = g_queue_peek_head(&s->records)) != NULL &&
           oldest->appended + log->options.retention <= now) {
        record_destroy(g_queue_pop_head(&s->records));
        s->first++;
    }
    return s;
}

static PhFakeLogAnswer
log_answer_init(PhFakeLog *log, PhTime now, const PhFakeStream *s)
{
    double extra =
        PhRandom_Exponential(log->random, (double)log->options.delay_extra);
    log->counts.unavailable += log->options.outage;
    return (PhFakeLogAnswer){
        .status = log->options.outage ? PH_STATUS_UNAVAILABLE : PH_STATUS_OK,
        .first = s->first,
        .end = s->next,
        .at = now + log->options.delay_min + (PhTime)extra};
}

/* Fixed window of one second. */
static bool
log_admit(PhFakeLog *log, PhTime now)
{
    uint32_t limit = log->options.appends_per_second;
    if (now / PH_NS_PER_S != log->limit_second) {
        log->limit_second = now / PH_NS_PER_S;
        log->second_appends = 0;
    }
    return limit == 0 || log->second_appends++ < limit;
}

PhFakeLogAnswer
PhFakeLog_Append(PhFakeLog *log, PhTime now, PhStr stream, PhStr record)
{
    PhFakeStream *s = log_stream_get(log, now, stream);
    PhFakeLogAnswer answer = log_answer_init(log, now, s);
    if (answer.status != PH_STATUS_OK) {
        return answer;
    }
    if (!log_admit(log, now)) {
        log->counts.limited++;
        answer.status = PH_STATUS_FULL;
        return answer;
    }
    PhFakeRecord *r = g_new0(PhFakeRecord, 1);
    answer.offset = r->offset = s->next++;
    r->appended = now;
    r->data = PhStr_Dup(record);
    g_queue_push_tail(&s->records, r);
    log->counts.appends++;
    if (PhRandom_Chance(log->random, log->options.lost_answers)) {
        log->counts.answers_lost++;
        answer = (PhFakeLogAnswer){.status = PH_STATUS_UNKNOWN,
                                   .at = now + log->options.timeout};
    }
    return answer;
}

PhFakeLogAnswer
PhFakeLog_Read(PhFakeLog *log, PhTime now, PhStr stream, uint64_t offset,
               uint32_t max_records, GArray *records)
{
    PhFakeStream *s = log_stream_get(log, now, stream);
    PhFakeLogAnswer answer = log_answer_init(log, now, s);
    answer.offset = offset;
    if (answer.status == PH_STATUS_OK && offset < s->first) {
        log->counts.expired++;
        answer.status = PH_STATUS_EXPIRED;
    }
    if (answer.status != PH_STATUS_OK || offset >= s->next) {
        return answer;
    }
    /* Search from the tail, since most readers follow the end of a stream. */
    GList *link = g_queue_peek_tail_link(&s->records);
    for (uint64_t i = s->next - offset; i > 1; i--) {
        link = link->prev;
    }
    for (; link != NULL && answer.offset - offset < max_records;
         link = link->next) {
        g_array_append_vals(records, link->data, 1);
        answer.offset++;
    }
    return answer;
}
