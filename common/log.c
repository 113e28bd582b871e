#include "peridothill/common/log.h"

#include <inttypes.h>

struct PhLog {
    FILE *sink;
    PhLogFormat format;
    PhLevel least;
    PhBuf line;
};

/* Creates a logger that drops events below the level `least`. */
PhLog *
PhLog_Create(FILE *sink, PhLogFormat format, PhLevel least)
{
    PhLog *log = g_new0(PhLog, 1);
    log->sink = sink;
    log->format = format;
    log->least = least;
    return log;
}

/* Changes the least level that is written. */
void
PhLog_SetLevel(PhLog *log, PhLevel least)
{
    log->least = least;
}

/* Changes the form of lines. */
void
PhLog_SetFormat(PhLog *log, PhLogFormat format)
{
    log->format = format;
}

/* Releases the logger and leaves its sink open; NULL is allowed. */
void
PhLog_Destroy(PhLog *log)
{
    if (log == NULL) {
        return;
    }
    PhBuf_Clear(&log->line);
    g_free(log);
}

/* Appends a quoted string with JSON escapes; bytes beyond ASCII pass. */
static void
append_quoted(PhBuf *out, PhStr s)
{
    PhBuf_AppendByte(out, '"');
    for (size_t i = 0; i < s.len; i++) {
        unsigned char c = (unsigned char)s.data[i];
        if (c == '"' || c == '\\') {
            PhBuf_AppendByte(out, '\\');
            PhBuf_AppendByte(out, (char)c);
        }
        else if (c < 0x20 || c == 0x7f) {
            PhBuf_AppendFormat(out, "\\u%04x", c);
        }
        else {
            PhBuf_AppendByte(out, (char)c);
        }
    }
    PhBuf_AppendByte(out, '"');
}

/* Appends the value of a field. */
static void
append_value(PhBuf *out, const PhField *field)
{
    switch (field->kind) {
    case PH_FIELD_STR:
        append_quoted(out, field->value.str);
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

/* Appends one key and value in the form of the log. */
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

/* Appends the fields that every event has. */
static void
append_head(PhLog *log, const PhEventInfo *info, PhStr task, PhTime now)
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
    append_field(log, &PhField_STR("task", task));
    append_field(log, &PhField_STR("text", PhStr_FromC(info->text)));
}

/* Writes one line for the event; a NULL log or a low level writes none. */
void
PhLog_Write(PhLog *log, PhEventId id, PhStr task, PhTime now,
            const PhField *fields, size_t count)
{
    if (log == NULL) {
        return;
    }
    const PhEventInfo *info = PhEvent_Find(id);
    if (info == NULL || info->level < log->least) {
        return;
    }
    PhBuf_Reset(&log->line);
    append_head(log, info, task, now);
    for (size_t i = 0; i < count; i++) {
        append_field(log, &fields[i]);
    }
    if (log->format == PH_LOG_FORMAT_JSON) {
        PhBuf_AppendByte(&log->line, '}');
    }
    PhBuf_AppendByte(&log->line, '\n');
    fwrite(log->line.data, 1, log->line.len, log->sink);
    fflush(log->sink);
}
