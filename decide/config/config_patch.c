#include "peridothill/decide/config/config_patch.h"

PhConfigPatch
PhConfigPatch_Copy(const PhConfigPatch *patch)
{
    PhConfigPatch copy = {.id = PhStr_Dup(patch->id),
                          .author = PhStr_Dup(patch->author),
                          .base = patch->base,
                          .strict = patch->strict};
    for (size_t i = 0; i < patch->change_count; i++) {
        PhConfigPatch_Add(&copy, patch->changes[i].kind,
                          patch->changes[i].path, patch->changes[i].value);
    }
    return copy;
}

void
PhConfigPatch_Add(PhConfigPatch *patch, PhConfigChangeKind kind, PhStr path,
                  PhStr value)
{
    patch->changes =
        g_renew(PhConfigChange, patch->changes, patch->change_count + 1);
    patch->changes[patch->change_count++] = (PhConfigChange){
        .kind = kind, .path = PhStr_Dup(path), .value = PhStr_Dup(value)};
}

void
PhConfigPatch_Clear(PhConfigPatch *patch)
{
    for (size_t i = 0; i < patch->change_count; i++) {
        PhStr_Clear(&patch->changes[i].path);
        PhStr_Clear(&patch->changes[i].value);
    }
    g_free(patch->changes);
    PhStr_Clear(&patch->id);
    PhStr_Clear(&patch->author);
    *patch = (PhConfigPatch){0};
}

PhConfigRecord *
PhConfigRecord_Create(uint64_t offset, int64_t appended_ms,
                      PhConfigPatch *patch)
{
    PhConfigRecord *record = g_new0(PhConfigRecord, 1);
    record->references = 1;
    record->offset = offset;
    record->appended_ms = appended_ms;
    record->kind = PH_CONFIG_RECORD_UNREADABLE;
    if (patch != NULL) {
        record->kind = PH_CONFIG_RECORD_PATCH;
        record->patch = *patch;
        *patch = (PhConfigPatch){0};
    }
    return record;
}

PhConfigRecord *
PhConfigRecord_Ref(PhConfigRecord *record)
{
    record->references++;
    return record;
}

void
PhConfigRecord_Unref(PhConfigRecord *record)
{
    if (--record->references == 0) {
        PhConfigPatch_Clear(&record->patch);
        g_free(record);
    }
}

PhConfigVerdict *
PhConfigVerdict_Copy(const PhConfigVerdict *verdict)
{
    PhConfigVerdict *copy = g_memdup2(verdict, sizeof(*verdict));
    copy->id = PhStr_Dup(verdict->id);
    copy->author = PhStr_Dup(verdict->author);
    copy->reason = PhStr_Dup(verdict->reason);
    return copy;
}

void
PhConfigVerdict_Destroy(gpointer data)
{
    PhConfigVerdict *verdict = data;
    PhStr_Clear(&verdict->id);
    PhStr_Clear(&verdict->author);
    PhStr_Clear(&verdict->reason);
    g_free(verdict);
}
