#include "commands/config_check.h"

#include "commands/client.h"
#include "commands/file.h"
#include "peridothill/commands.h"
#include "peridothill/platform/adapter.h"

enum {
    STATUS_OK = 200,
    MS_PER_S = 1000,
    READ_TIMEOUT_MS = 15000, /* of all pages together */
    /* The operators' topic has a handful of keys, which fill one page. */
    PAGES_MAX = 64,
};

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

/* Reads pages until one has the configuration or none follows. */
static PhResult
pages_read(PhClient *store, PhStr *text)
{
    PhStr after = {0};
    PhResult r = PhResult_Ok();
    gint64 deadline = g_get_monotonic_time() +
                      READ_TIMEOUT_MS * (G_TIME_SPAN_SECOND / MS_PER_S);
    for (int pages = 0; text->len == 0; pages++) {
        PhStr next = {0};
        store->timeout_ms = (deadline - g_get_monotonic_time()) /
                            (G_TIME_SPAN_SECOND / MS_PER_S);
        if (pages == PAGES_MAX || store->timeout_ms <= 0) {
            r = PhResult_Make(PH_STATUS_UNAVAILABLE,
                              "%s: no configuration within %d pages and %d ms",
                              store->address, PAGES_MAX, READ_TIMEOUT_MS);
            break;
        }
        r = page_read(store, after, text, &next);
        if (PhResult_IsOk(&r) && next.len > 0 && PhStr_Equal(next, after)) {
            r = PhResult_Make(PH_STATUS_INVALID,
                              "%s: a page does not go on after its key",
                              store->address);
        }
        PhStr_Clear(&after);
        after = next;
        if (!PhResult_IsOk(&r) || after.len == 0) {
            break;
        }
    }
    PhStr_Clear(&after);
    return r;
}

/* Reads the newest configuration.  NOT_FOUND: the store has none. */
static PhResult
store_read(const char *address, PhStr *text)
{
    PhClient store = {.address = g_strdup(address)};
    PhResult r = pages_read(&store, text);
    PhClient_Clear(&store);
    if (PhResult_IsOk(&r) && text->len == 0) {
        return PhResult_Make(PH_STATUS_NOT_FOUND,
                             "%s has no configuration to compare with",
                             address);
    }
    return r;
}

/* INVALID: instances refuse the version in force, so that there is nothing to
 * compare with.  Fields that they refuse are the first ones decoded. */
static PhResult
in_force_decode(PhStr text, PhSchedDocument **in_force)
{
    PhSchedDocument *document = PhWire_DecodeDocument(text);
    if (!document->refused) {
        *in_force = document;
        return PhResult_Ok();
    }
    const PhSchedFault *fault =
        &g_array_index(document->faults, PhSchedFault, 0);
    PhResult r =
        PhResult_Make(PH_STATUS_INVALID, "version in force: %.*s%s%.*s",
                      PhStr_ARG(fault->path), fault->path.len > 0 ? ": " : "",
                      PhStr_ARG(fault->reason));
    PhSchedDocument_Destroy(document);
    return r;
}

static void
message_print(const PhResult *r, const char *end)
{
    fprintf(stderr, "peridothill config check: %.*s%s\n",
            PhStr_ARG(PhResult_Message(r)), end);
}

/* Reads the version in force.  `found` is false if there is none to compare
 * with. */
static PhResult
in_force_read(const PhConfigCheckOptions *o, PhStr *text, bool *found)
{
    *found = false;
    if (o->against == NULL && o->from == NULL) {
        return PhResult_Ok();
    }
    PhResult r = o->against != NULL ? PhFile_Read(o->against, text)
                                    : store_read(o->from, text);
    *found = PhResult_IsOk(&r);
    if (r.status == PH_STATUS_NOT_FOUND) {
        message_print(&r, "");
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

/* Checks the document; `in_force_text` is NULL if there is none.  Returns the
 * exit code. */
static int
texts_check(const PhConfigCheckOptions *o, PhStr text,
            const PhStr *in_force_text)
{
    PhSchedDocument *in_force = NULL;
    PhSchedDocument *document = PhWire_DecodeDocument(text);
    PhResult r = PhResult_Ok();
    if (in_force_text != NULL) {
        r = in_force_decode(*in_force_text, &in_force);
    }
    if (!PhResult_IsOk(&r)) {
        message_print(&r, "; there is nothing to compare with");
    }
    bool valid = findings_report(o, document, in_force);
    PhSchedDocument_Destroy(document);
    PhSchedDocument_Destroy(in_force);
    if (fflush(stdout) != 0 || ferror(stdout)) {
        fprintf(stderr, "peridothill config check: cannot write the "
                        "findings\n");
        return PH_EXIT_USAGE;
    }
    if (!PhResult_IsOk(&r)) {
        return PH_EXIT_USAGE;
    }
    return valid ? PH_EXIT_DONE : PH_EXIT_FAILED;
}

int
PhConfigCheck_Run(const PhConfigCheckOptions *o)
{
    PhStr text = {0};
    PhStr in_force = {0};
    bool found = false;
    int code = PH_EXIT_USAGE;
    PhResult r = PhFile_Read(o->path, &text);
    if (PhResult_IsOk(&r)) {
        r = in_force_read(o, &in_force, &found);
    }
    if (PhResult_IsOk(&r)) {
        code = texts_check(o, text, found ? &in_force : NULL);
    }
    else {
        message_print(&r, "");
    }
    PhStr_Clear(&text);
    PhStr_Clear(&in_force);
    return code;
}
