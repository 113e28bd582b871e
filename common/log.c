#include "peridothill/common/log.h"

#include <errno.h>
#include <inttypes.h>
#include <unistd.h>

enum {
    /* Lines that the reader of the sink has not taken yet. */
    PENDING_BYTES_MAX = 64 * 1024,
};

/* Rate limit of each event below PH_LEVEL_ERROR. */
static const double BUCKET_BURST_LINES = 400;
static const double BUCKET_LINES_PER_S = 200;

typedef struct PhTokenBucket {
    double tokens;
    PhTime at;
    uint64_t suppressed;
    bool used; /* the first line of an event is always written */
} PhTokenBucket;

struct PhLog {
    FILE *sink;
    PhLogFormat format;
    PhLevel min_level;
    PhTime wall_offset; /* wall time minus kernel time; 0 if unknown */
    PhBuf line;
    PhBuf pending;
    uint64_t dropped;    /* lines that did not fit into `pending` */
    GHashTable *buckets; /* PhTokenBucket by event number */
};

PhLog *
PhLog_Create(FILE *sink, PhLogFormat format, PhLevel min_level)
{
    PhLog *log = g_new0(PhLog, 1);
    log->sink = sink;
    log->format = format;
    log->min_level = min_level;
    log->buckets =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    return log;
}

void
PhLog_SetLevel(PhLog *log, PhLevel min_level)
{
    log->min_level = min_level;
}

void
PhLog_SetWallOffset(PhLog *log, PhTime offset)
{
    log->wall_offset = offset;
}

void
PhLog_SetFormat(PhLog *log, PhLogFormat format)
{
    log->format = format;
}

void
PhLog_Destroy(PhLog *log)
{
    if (log == NULL) {
        return;
    }
    PhBuf_Clear(&log->line);
    PhBuf_Clear(&log->pending);
    g_hash_table_destroy(log->buckets);
    g_free(log);
}

static void
append_value(PhBuf *out, const PhField *field)
{
    switch (field->kind) {
    case PH_FIELD_STR:
        PhBuf_AppendQuoted(out, field->value.str);
        return;
    case PH_FIELD_I64:
        PhBuf_AppendFormat(out, "%" PRId64, field->value.i64);
        return;
    case PH_FIELD_U64:
        PhBuf_AppendFormat(out, "%" PRIu64, field->value.u64);
        return;
    case PH_FIELD_F64:
        PhBuf_AppendFormat(out, "%.6g", field->value.f64);
        return;
    }
}

static void
append_field(PhLog *log, const PhField *field)
{
    switch (log->format) {
    case PH_LOG_FORMAT_LOGFMT:
        PhBuf_AppendFormat(&log->line, " %s=", field->key);
        break;
    case PH_LOG_FORMAT_JSON:
        PhBuf_AppendFormat(&log->line, ",\"%s\":", field->key);
        break;
    }
    append_value(&log->line, field);
}

static void
append_common_fields(PhLog *log, const PhEventInfo *info, PhStr task,
                     PhTime now)
{
    double seconds = (double)now / (double)PH_NS_PER_S;
    switch (log->format) {
    case PH_LOG_FORMAT_LOGFMT:
        PhBuf_AppendFormat(&log->line, "event=%d level=%s time=%.6f",
                           (int)info->id, PhLevel_Name(info->level), seconds);
        break;
    case PH_LOG_FORMAT_JSON:
        PhBuf_AppendFormat(&log->line,
                           "{\"event\":%d,\"level\":\"%s\",\"time\":%.6f",
                           (int)info->id, PhLevel_Name(info->level), seconds);
        break;
    }
    if (log->wall_offset != 0) {
        append_field(log, &PhField_I64("at_ms", (log->wall_offset + now) /
                                                    PH_NS_PER_MS));
    }
    append_field(log, &PhField_STR("task", task));
    append_field(log, &PhField_STR("text", PhStr_FromC(info->text)));
}

/* Returns false if the line is suppressed; otherwise `suppressed` is set to
 * the number of lines suppressed since the last one written. */
static bool
bucket_take(PhLog *log, const PhEventInfo *info, PhTime now,
            uint64_t *suppressed)
{
    gpointer key = GINT_TO_POINTER((int)info->id);
    PhTokenBucket *b = g_hash_table_lookup(log->buckets, key);
    if (b == NULL) {
        b = g_new0(PhTokenBucket, 1);
        b->tokens = BUCKET_BURST_LINES;
        b->at = now;
        g_hash_table_insert(log->buckets, key, b);
    }
    b->tokens += (double)(now - b->at) / PH_NS_PER_S * BUCKET_LINES_PER_S;
    b->tokens = MIN(b->tokens, BUCKET_BURST_LINES);
    b->at = now;
    if (b->tokens < 1 && b->used && info->level < PH_LEVEL_ERROR) {
        b->suppressed++;
        return false;
    }
    b->tokens = MAX(b->tokens - 1, 0);
    b->used = true;
    *suppressed = b->suppressed;
    b->suppressed = 0;
    return true;
}

/* Writes until the descriptor would block or fails; the rest stays pending. */
static void
pending_flush(PhLog *log, int fd)
{
    while (log->pending.len > 0) {
        ssize_t n = write(fd, log->pending.data, log->pending.len);
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            return;
        }
        PhBuf_Consume(&log->pending, (size_t)n);
    }
}

static void
line_write(PhLog *log)
{
    int fd = fileno(log->sink);
    if (fd < 0) {
        fwrite(log->line.data, 1, log->line.len, log->sink);
        fflush(log->sink);
        return;
    }
    pending_flush(log, fd);
    if (log->pending.len + log->line.len > PENDING_BYTES_MAX) {
        log->dropped++;
        return;
    }
    PhBuf_Append(&log->pending, PhBuf_Str(&log->line));
    pending_flush(log, fd);
}

/* Reports the lines suppressed for this event, and those dropped for any. */
static void
append_loss_counts(PhLog *log, uint64_t suppressed)
{
    if (suppressed > 0) {
        append_field(log, &PhField_U64("left_out", suppressed));
    }
    if (log->dropped > 0 && log->pending.len == 0) {
        append_field(log, &PhField_U64("dropped", log->dropped));
        log->dropped = 0;
    }
}

void
PhLog_Write(PhLog *log, PhEventId id, PhStr task, PhTime now,
            const PhField *fields, size_t count)
{
    uint64_t suppressed = 0;
    if (log == NULL) {
        return;
    }
    const PhEventInfo *info = PhEvent_Find(id);
    if (info == NULL || info->level < log->min_level ||
        !bucket_take(log, info, now, &suppressed)) {
        return;
    }
    PhBuf_Reset(&log->line);
    append_common_fields(log, info, task, now);
    for (size_t i = 0; i < count; i++) {
        append_field(log, &fields[i]);
    }
    append_loss_counts(log, suppressed);
    if (log->format == PH_LOG_FORMAT_JSON) {
        PhBuf_AppendByte(&log->line, '}');
    }
    PhBuf_AppendByte(&log->line, '\n');
    line_write(log);
}
