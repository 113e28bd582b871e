#include "peridothill/services/config.h"

#include "peridothill/services/interface.h"

static void
verdicts_clear(PhConfigVerdicts *verdicts)
{
    for (size_t i = 0; i < verdicts->row_count; i++) {
        PhStr_Clear(&verdicts->rows[i].id);
        PhStr_Clear(&verdicts->rows[i].author);
    }
    g_free(verdicts->rows);
}

static void
reported_clear(PhConfigReported *reported)
{
    for (size_t i = 0; i < reported->peer_count; i++) {
        PhStr_Clear(&reported->peers[i].member);
    }
    g_free(reported->peers);
}

static void
message_release(void *data)
{
    PhConfigMessage *m = data;
    switch (m->tag) {
    case PH_CONFIG_SUBSCRIBE:
    case PH_CONFIG_GET:
    case PH_CONFIG_HISTORY:
    case PH_CONFIG_REPORT:
    case PH_CONFIG_BRIDGE:
        break;
    case PH_CONFIG_IN_FORCE:
        PhConfigState_Unref(m->as.in_force);
        break;
    case PH_CONFIG_PATCH:
        PhConfigPatch_Clear(&m->as.patch.patch);
        break;
    case PH_CONFIG_FIND:
        PhStr_Clear(&m->as.find.id);
        break;
    case PH_CONFIG_VERDICT:
        PhStr_Clear(&m->as.verdict.id);
        break;
    case PH_CONFIG_VERSIONS:
        PhConfigState_Unref(m->as.versions.from);
        PhConfigState_Unref(m->as.versions.to);
        break;
    case PH_CONFIG_VERDICTS:
        verdicts_clear(&m->as.verdicts);
        break;
    case PH_CONFIG_REPORTED:
        reported_clear(&m->as.reported);
        break;
    }
    g_free(m);
}

PhMessage
PhConfigMessage_Wrap(const PhConfigMessage *body)
{
    return PhMessage_Copy(PH_INTERFACE_CONFIG, body, sizeof(*body),
                          message_release);
}
