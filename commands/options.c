#include "commands/options.h"

#include <stdio.h>

static bool
options_extract(const PhOptions *o, int *argc, char **argv)
{
    GOptionContext *context = g_option_context_new(o->arguments);
    GError *error = NULL;
    g_option_context_set_summary(context, o->summary);
    g_option_context_set_description(context, o->details);
    if (o->entries != NULL) {
        g_option_context_add_main_entries(context, o->entries, NULL);
    }
    if (o->client != NULL) {
        PhClient_AddOptions(o->client, context);
    }
    bool valid = g_option_context_parse(context, argc, &argv, &error);
    g_option_context_free(context);
    if (!valid) {
        fprintf(stderr, "peridothill %s: %s\n", o->command, error->message);
        g_error_free(error);
    }
    return valid;
}

bool
PhOptions_Parse(const PhOptions *o, int *argc, char **argv)
{
    if (!options_extract(o, argc, argv)) {
        return false;
    }
    if (*argc - 1 < o->min_arguments || *argc - 1 > o->max_arguments) {
        fprintf(stderr, "peridothill %s: %s; see --help\n", o->command,
                o->usage_error);
        return false;
    }
    return o->client == NULL || o->opens_later || PhOptions_OpenClient(o);
}

bool
PhOptions_OpenClient(const PhOptions *o)
{
    PhResult opened = PhClient_Open(o->client);
    if (!PhResult_IsOk(&opened)) {
        fprintf(stderr, "peridothill %s: %.*s\n", o->command,
                PhStr_ARG(PhResult_Message(&opened)));
    }
    return PhResult_IsOk(&opened);
}
