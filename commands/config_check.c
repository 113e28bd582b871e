#include "commands/config_check.h"

#include "commands/client.h"
#include "peridothill/commands.h"
#include "peridothill/platform/adapter.h"

enum {
    STATUS_OK = 200,
};

static PhResult
file_read(const char *path, PhStr *text)
{
    char *data;
    gsize len;
    GError *error = NULL;
    if (!g_file_get_contents(path, &data, &len, &error)) {
        PhResult r = PhResult_Make(PH_STATUS_IO, "%s", error->message);
        g_error_free(error);
        return r;
    }
    *text = PhStr_Dup(PhStr_FromBytes(data, len));
    g_free(data);
    return PhResult_Ok();
}

/* Reads a page of the operators' records. */
static PhResult
page_read(const PhClient *store, PhStr after, PhStr *config, PhStr *next)
{
    PhStr target = PhWire_OperatorsTarget(after);
    char *url = PhStr_ToC(target);
    PhClientAnswer answer = PhClient_Call(store, "GET", url, (PhStr){0});
    PhResult r = answer.result;
    if (answer.status == STATUS_OK) {
        r = PhWire_DecodeOperatorsPage(answer.body, config, next);
    }
    else if (answer.status != 0) {
        r = PhResult_Make(PH_STATUS_UNAVAILABLE, "%s: status %ld",
                          store->address, answer.status);
    }
    PhClientAnswer_Clear(&answer);
    PhStr_Clear(&target);
    g_free(url);
    return r;
}

/* Reads the newest configuration.  NOT_FOUND: the store has none. */
static PhResult
store_read(const char *address, PhStr *text)
{
    PhClient store = {.address = g_strdup(address)};
    PhStr after = {0};
    PhResult r;
    do {
        PhStr next = {0};
        r = page_read(&store, after, text, &next);
        PhStr_Clear(&after);
        after = next;
    } while (PhResult_IsOk(&r) && after.len > 0 && text->len == 0);
    PhStr_Clear(&after);
    PhClient_Clear(&store);
    if (PhResult_IsOk(&r) && text->len == 0) {
        return PhResult_Make(PH_STATUS_NOT_FOUND,
                             "%s has no configuration to compare with",
                             address);
    }
    return r;
}

/* The version in force has to decode: nothing can be compared with it
 * otherwise. */
static PhResult
in_force_decode(PhStr text, PhSchedDocument **in_force)
{
    PhSchedDocument *document = PhWire_DecodeDocument(text);
    for (guint i = 0; i < document->faults->len; i++) {
        const PhSchedFault *fault =
            &g_array_index(document->faults, PhSchedFault, i);
        if (fault->refused) {
            PhResult r = PhResult_Make(
                PH_STATUS_INVALID, "version in force: %.*s: %.*s",
                PhStr_ARG(fault->path), PhStr_ARG(fault->reason));
            PhSchedDocument_Destroy(document);
            return r;
        }
    }
    *in_force = document;
    return PhResult_Ok();
}

/* `in_force` stays NULL if there is none to compare with. */
static PhResult
in_force_read(const PhConfigCheckOptions *o, PhSchedDocument **in_force)
{
    PhStr text = {0};
    PhResult r = PhResult_Ok();
    if (o->against != NULL) {
        r = file_read(o->against, &text);
    }
    else if (o->from != NULL) {
        r = store_read(o->from, &text);
    }
    else {
        return r;
    }
    if (PhResult_IsOk(&r)) {
        r = in_force_decode(text, in_force);
    }
    PhStr_Clear(&text);
    if (r.status == PH_STATUS_NOT_FOUND) {
        fprintf(stderr, "peridothill config check: %.*s\n",
                PhStr_ARG(PhResult_Message(&r)));
        r = PhResult_Ok();
    }
    return r;
}

/* Returns whether there are no errors. */
static bool
findings_report(const PhConfigCheckOptions *o, const PhSchedDocument *document,
                const PhSchedDocument *in_force)
{
    GArray *findings = PhSchedCheck_Run(document, in_force);
    bool valid = PhFindings_Count(findings, PH_SCHED_SEVERITY_ERROR) == 0;
    if (o->as_json) {
        PhFindings_PrintJson(findings, document, in_force, stdout);
    }
    else {
        PhFindings_Print(findings, stdout);
    }
    g_array_free(findings, TRUE);
    return valid;
}

int
PhConfigCheck_Run(const PhConfigCheckOptions *o)
{
    PhStr text = {0};
    PhSchedDocument *in_force = NULL;
    int code = PH_EXIT_USAGE;
    PhResult r = file_read(o->path, &text);
    if (PhResult_IsOk(&r)) {
        r = in_force_read(o, &in_force);
    }
    if (PhResult_IsOk(&r)) {
        PhSchedDocument *document = PhWire_DecodeDocument(text);
        code = findings_report(o, document, in_force) ? PH_EXIT_DONE
                                                      : PH_EXIT_FAILED;
        PhSchedDocument_Destroy(document);
    }
    else {
        fprintf(stderr, "peridothill config check: %.*s\n",
                PhStr_ARG(PhResult_Message(&r)));
    }
    PhStr_Clear(&text);
    PhSchedDocument_Destroy(in_force);
    return code;
}
