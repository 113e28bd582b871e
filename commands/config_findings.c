/* Text and JSON of the findings on a configuration. */
#include <inttypes.h>

#include "commands/config_check.h"
#include "peridothill/codec/json.h"
#include "peridothill/platform/adapter.h"

static const char *
severity_name(PhSchedSeverity severity)
{
    switch (severity) {
    case PH_SCHED_SEVERITY_ERROR:
        return "error";
    case PH_SCHED_SEVERITY_WARNING:
        return "warning";
    case PH_SCHED_SEVERITY_DIFFERENCE:
        return "difference";
    }
    return "";
}

static const char *
kind_name(PhSchedFindingKind kind)
{
    switch (kind) {
    case PH_SCHED_FINDING_MALFORMED:
        return "malformed";
    case PH_SCHED_FINDING_MALFORMED_NOT_SHOWN:
        return "malformed-not-shown";
    case PH_SCHED_FINDING_VERSION_NOT_ABOVE:
        return "version-not-above";
    case PH_SCHED_FINDING_NAME_MISSING:
        return "name-missing";
    case PH_SCHED_FINDING_NAME_TWICE:
        return "name-twice";
    case PH_SCHED_FINDING_SERVICE_MISSING:
        return "service-missing";
    case PH_SCHED_FINDING_SERVICE_UNKNOWN:
        return "service-unknown";
    case PH_SCHED_FINDING_SERVICE_UNUSED:
        return "service-unused";
    case PH_SCHED_FINDING_PREFIX_TWICE:
        return "prefix-twice";
    case PH_SCHED_FINDING_HOST_WITH_PORT:
        return "host-with-port";
    case PH_SCHED_FINDING_PREFIX_WITHOUT_SLASH:
        return "prefix-without-slash";
    case PH_SCHED_FINDING_PREFIX_WITH_QUERY:
        return "prefix-with-query";
    case PH_SCHED_FINDING_IDS_ALL_TAKEN:
        return "ids-all-taken";
    case PH_SCHED_FINDING_IDS_TAKEN:
        return "ids-taken";
    case PH_SCHED_FINDING_STRETCH_RANGE:
        return "stretch-range";
    case PH_SCHED_FINDING_STRETCH_BELOW_ONE:
        return "stretch-below-one";
    case PH_SCHED_FINDING_ATTEMPTS_UNLIMITED:
        return "attempts-unlimited";
    case PH_SCHED_FINDING_ADVICE_UNSUPPORTED:
        return "advice-unsupported";
    case PH_SCHED_FINDING_ZERO:
        return "zero";
    case PH_SCHED_FINDING_TIMEOUT_BELOW_TARGET:
        return "timeout-below-target";
    case PH_SCHED_FINDING_HEADER_TIME_ABOVE_IDLE:
        return "header-time-above-idle";
    case PH_SCHED_FINDING_ADDED:
        return "added";
    case PH_SCHED_FINDING_REMOVED:
        return "removed";
    case PH_SCHED_FINDING_CHANGED:
        return "changed";
    }
    return "";
}

/* The path and name of an entry, such as `routes[2] "quotes"`. */
static void
entry_append(PhBuf *out, const PhSchedEntry *entry)
{
    PhStr path = PhWire_EntryPath(entry);
    PhBuf_Append(out, path);
    if (entry->name.len > 0) {
        PhBuf_AppendByte(out, ' ');
        PhBuf_AppendQuoted(out, entry->name);
    }
    PhStr_Clear(&path);
}

static json_t *
value_json(const PhSchedValue *value)
{
    switch (value->kind) {
    case PH_SCHED_VALUE_NONE:
        break;
    case PH_SCHED_VALUE_TEXT:
        return PhJson_String(value->as.text);
    case PH_SCHED_VALUE_NUMBER:
        return json_integer(value->as.number);
    case PH_SCHED_VALUE_FACTOR:
        return json_real(value->as.factor);
    case PH_SCHED_VALUE_TIME:
        return json_integer(value->as.time / PH_NS_PER_MS);
    case PH_SCHED_VALUE_FLAG:
        return json_boolean(value->as.flag);
    }
    return json_null();
}

static void
value_append(PhBuf *out, const PhSchedValue *value)
{
    if (value->kind == PH_SCHED_VALUE_NONE) {
        PhBuf_Append(out, PhStr_LITERAL("not stated"));
        return;
    }
    json_t *json = value_json(value);
    PhStr text = PhJson_Write(json);
    PhBuf_Append(out, text);
    PhStr_Clear(&text);
    json_decref(json);
}

static void
malformed_append(PhBuf *out, const PhSchedFault *fault)
{
    PhBuf_AppendFormat(
        out, "%.*s%s%.*s; instances %s", PhStr_ARG(fault->path),
        fault->path.len > 0 ? ": " : "", PhStr_ARG(fault->reason),
        fault->refused ? "refuse the document" : "ignore the value");
}

static void
changed_append(PhBuf *out, const PhSchedFinding *f)
{
    PhBuf_AppendFormat(out, "%s ", PhWire_FieldName(f->as.changed.field));
    value_append(out, &f->as.changed.before);
    PhBuf_Append(out, PhStr_LITERAL(" -> "));
    value_append(out, &f->as.changed.after);
}

/* "FIELD of N ms is below FIELD of N ms" */
static void
times_append(PhBuf *out, const PhSchedFinding *f, PhSchedField shorter,
             PhSchedField longer)
{
    PhBuf_AppendFormat(
        out, "%s of %" PRId64 " ms is below %s of %" PRId64 " ms",
        PhWire_FieldName(shorter), f->as.times.shorter / PH_NS_PER_MS,
        PhWire_FieldName(longer), f->as.times.longer / PH_NS_PER_MS);
}

/* What is found about the entry. */
static void
message_append(PhBuf *out, const PhSchedFinding *f)
{
    switch (f->kind) {
    case PH_SCHED_FINDING_MALFORMED:
        malformed_append(out, f->as.malformed);
        break;
    case PH_SCHED_FINDING_MALFORMED_NOT_SHOWN:
        PhBuf_AppendFormat(out, "malformed: %" PRIu32 " more not shown",
                           f->as.not_shown);
        break;
    case PH_SCHED_FINDING_VERSION_NOT_ABOVE:
        PhBuf_AppendFormat(out,
                           "version %" PRIu64 " is not above version %" PRIu64
                           " in force; instances ignore the document",
                           f->as.version.version, f->as.version.in_force);
        break;
    case PH_SCHED_FINDING_NAME_MISSING:
        PhBuf_Append(out, PhStr_LITERAL("has no name"));
        break;
    case PH_SCHED_FINDING_NAME_TWICE:
        PhBuf_Append(out, PhStr_LITERAL("has the name of "));
        entry_append(out, &f->as.other);
        break;
    case PH_SCHED_FINDING_SERVICE_MISSING:
        PhBuf_Append(out, PhStr_LITERAL("names no service"));
        break;
    case PH_SCHED_FINDING_SERVICE_UNKNOWN:
        PhBuf_Append(out, PhStr_LITERAL("service "));
        PhBuf_AppendQuoted(out, f->as.service);
        PhBuf_Append(out, PhStr_LITERAL(" is not in the list of "
                                        "services"));
        break;
    case PH_SCHED_FINDING_SERVICE_UNUSED:
        PhBuf_Append(out, PhStr_LITERAL("no queue names this service"));
        break;
    case PH_SCHED_FINDING_PREFIX_TWICE:
        PhBuf_Append(out, PhStr_LITERAL("never matches: same host and prefix "
                                        "as "));
        entry_append(out, &f->as.other);
        break;
    case PH_SCHED_FINDING_HOST_WITH_PORT:
        PhBuf_Append(out, PhStr_LITERAL("never matches: the host contains a "
                                        "colon, and hosts are compared "
                                        "without their port"));
        break;
    case PH_SCHED_FINDING_PREFIX_WITHOUT_SLASH:
        PhBuf_Append(out, PhStr_LITERAL("never matches: the prefix does not "
                                        "begin with a slash"));
        break;
    case PH_SCHED_FINDING_PREFIX_WITH_QUERY:
        PhBuf_Append(out, PhStr_LITERAL("never matches: the prefix contains a "
                                        "question mark"));
        break;
    case PH_SCHED_FINDING_IDS_ALL_TAKEN:
        PhBuf_Append(out, PhStr_LITERAL("no job reaches this queue: longer "
                                        "prefixes take every id"));
        break;
    case PH_SCHED_FINDING_IDS_TAKEN:
        PhBuf_Append(out, PhStr_LITERAL("ids that begin with "));
        PhBuf_AppendQuoted(out, f->as.taken.begin);
        PhBuf_Append(out, PhStr_LITERAL(" go to "));
        entry_append(out, &f->as.taken.longer);
        break;
    case PH_SCHED_FINDING_STRETCH_RANGE:
        PhBuf_AppendFormat(out, "%s %g is out of range",
                           PhWire_FieldName(PH_SCHED_FIELD_STRETCH),
                           f->as.stretch);
        break;
    case PH_SCHED_FINDING_STRETCH_BELOW_ONE:
        PhBuf_AppendFormat(
            out, "%s %g makes the objective shorter than the work",
            PhWire_FieldName(PH_SCHED_FIELD_STRETCH), f->as.stretch);
        break;
    case PH_SCHED_FINDING_ATTEMPTS_UNLIMITED:
        PhBuf_AppendFormat(out,
                           "%s is 0 or not stated: a job whose tasks fail "
                           "never ends",
                           PhWire_FieldName(PH_SCHED_FIELD_ATTEMPTS));
        break;
    case PH_SCHED_FINDING_ADVICE_UNSUPPORTED:
        PhBuf_AppendFormat(out,
                           "%s is not supported: each submission is refused",
                           PhWire_FieldName(PH_SCHED_FIELD_ADVICE));
        break;
    case PH_SCHED_FINDING_ZERO:
        PhBuf_AppendFormat(out, "%s is 0", PhWire_FieldName(f->as.zero));
        break;
    case PH_SCHED_FINDING_TIMEOUT_BELOW_TARGET:
        times_append(out, f, PH_SCHED_FIELD_CALL_TIMEOUT,
                     PH_SCHED_FIELD_SLACK);
        break;
    case PH_SCHED_FINDING_HEADER_TIME_ABOVE_IDLE:
        times_append(out, f, PH_SCHED_FIELD_IDLE_TIME,
                     PH_SCHED_FIELD_HEADER_TIME);
        break;
    case PH_SCHED_FINDING_ADDED:
        PhBuf_Append(out, PhStr_LITERAL("added"));
        break;
    case PH_SCHED_FINDING_REMOVED:
        PhBuf_Append(out, PhStr_LITERAL("removed"));
        break;
    case PH_SCHED_FINDING_CHANGED:
        changed_append(out, f);
        break;
    }
}

unsigned
PhFindings_Count(const GArray *findings, PhSchedSeverity severity)
{
    unsigned count = 0;
    for (guint i = 0; i < findings->len; i++) {
        const PhSchedFinding *f = &g_array_index(findings, PhSchedFinding, i);
        count += PhSchedFinding_Severity(f->kind) == severity;
    }
    return count;
}

void
PhFindings_Print(const GArray *findings, FILE *out)
{
    for (guint i = 0; i < findings->len; i++) {
        const PhSchedFinding *f = &g_array_index(findings, PhSchedFinding, i);
        PhBuf line = {0};
        entry_append(&line, &f->entry);
        if (line.len > 0) {
            PhBuf_Append(&line, PhStr_LITERAL(": "));
        }
        message_append(&line, f);
        fprintf(out, "%s: %.*s\n",
                severity_name(PhSchedFinding_Severity(f->kind)),
                PhStr_ARG(PhBuf_Str(&line)));
        PhBuf_Clear(&line);
    }
    fprintf(out, "errors: %u, warnings: %u, differences: %u\n",
            PhFindings_Count(findings, PH_SCHED_SEVERITY_ERROR),
            PhFindings_Count(findings, PH_SCHED_SEVERITY_WARNING),
            PhFindings_Count(findings, PH_SCHED_SEVERITY_DIFFERENCE));
}

static json_t *
entry_path_json(const PhSchedEntry *entry)
{
    PhStr path = PhWire_EntryPath(entry);
    json_t *json = PhJson_String(path);
    PhStr_Clear(&path);
    return json;
}

/* Members that only some kinds of findings have. */
static void
details_set(json_t *row, const PhSchedFinding *f)
{
    switch (f->kind) {
    case PH_SCHED_FINDING_MALFORMED:
        json_object_set_new(row, "path", PhJson_String(f->as.malformed->path));
        break;
    case PH_SCHED_FINDING_NAME_TWICE:
    case PH_SCHED_FINDING_PREFIX_TWICE:
        json_object_set_new(row, "other", entry_path_json(&f->as.other));
        break;
    case PH_SCHED_FINDING_SERVICE_UNKNOWN:
        json_object_set_new(row, "service", PhJson_String(f->as.service));
        break;
    case PH_SCHED_FINDING_IDS_TAKEN:
        json_object_set_new(row, "begin", PhJson_String(f->as.taken.begin));
        json_object_set_new(row, "other",
                            entry_path_json(&f->as.taken.longer));
        break;
    case PH_SCHED_FINDING_ZERO:
        json_object_set_new(row, "field",
                            json_string(PhWire_FieldName(f->as.zero)));
        break;
    case PH_SCHED_FINDING_CHANGED:
        json_object_set_new(
            row, "field", json_string(PhWire_FieldName(f->as.changed.field)));
        json_object_set_new(row, "before", value_json(&f->as.changed.before));
        json_object_set_new(row, "after", value_json(&f->as.changed.after));
        break;
    case PH_SCHED_FINDING_MALFORMED_NOT_SHOWN:
        json_object_set_new(row, "count", json_integer(f->as.not_shown));
        break;
    case PH_SCHED_FINDING_VERSION_NOT_ABOVE:
    case PH_SCHED_FINDING_NAME_MISSING:
    case PH_SCHED_FINDING_SERVICE_MISSING:
    case PH_SCHED_FINDING_SERVICE_UNUSED:
    case PH_SCHED_FINDING_HOST_WITH_PORT:
    case PH_SCHED_FINDING_PREFIX_WITHOUT_SLASH:
    case PH_SCHED_FINDING_PREFIX_WITH_QUERY:
    case PH_SCHED_FINDING_IDS_ALL_TAKEN:
    case PH_SCHED_FINDING_STRETCH_RANGE:
    case PH_SCHED_FINDING_STRETCH_BELOW_ONE:
    case PH_SCHED_FINDING_ATTEMPTS_UNLIMITED:
    case PH_SCHED_FINDING_ADVICE_UNSUPPORTED:
    case PH_SCHED_FINDING_TIMEOUT_BELOW_TARGET:
    case PH_SCHED_FINDING_HEADER_TIME_ABOVE_IDLE:
    case PH_SCHED_FINDING_ADDED:
    case PH_SCHED_FINDING_REMOVED:
        break;
    }
}

static json_t *
finding_json(const PhSchedFinding *f)
{
    json_t *row = json_object();
    PhBuf message = {0};
    message_append(&message, f);
    json_object_set_new(
        row, "severity",
        json_string(severity_name(PhSchedFinding_Severity(f->kind))));
    json_object_set_new(row, "kind", json_string(kind_name(f->kind)));
    json_object_set_new(row, "path", entry_path_json(&f->entry));
    json_object_set_new(row, "name", PhJson_String(f->entry.name));
    json_object_set_new(row, "message", PhJson_String(PhBuf_Str(&message)));
    details_set(row, f);
    PhBuf_Clear(&message);
    return row;
}

static json_t *
count_json(const GArray *findings, PhSchedSeverity severity)
{
    return json_integer(PhFindings_Count(findings, severity));
}

void
PhFindings_PrintJson(const GArray *findings, const PhSchedDocument *document,
                     const PhSchedDocument *in_force, FILE *out)
{
    json_t *root = json_object();
    json_t *rows = json_array();
    for (guint i = 0; i < findings->len; i++) {
        json_array_append_new(
            rows, finding_json(&g_array_index(findings, PhSchedFinding, i)));
    }
    json_object_set_new(root, "version",
                        json_integer((json_int_t)document->config->version));
    json_object_set_new(
        root, "in_force",
        in_force == NULL
            ? json_null()
            : json_integer((json_int_t)in_force->config->version));
    json_object_set_new(root, "errors",
                        count_json(findings, PH_SCHED_SEVERITY_ERROR));
    json_object_set_new(root, "warnings",
                        count_json(findings, PH_SCHED_SEVERITY_WARNING));
    json_object_set_new(root, "differences",
                        count_json(findings, PH_SCHED_SEVERITY_DIFFERENCE));
    json_object_set_new(root, "findings", rows);
    PhStr text = PhJson_Write(root);
    fprintf(out, "%.*s\n", PhStr_ARG(text));
    PhStr_Clear(&text);
    json_decref(root);
}
