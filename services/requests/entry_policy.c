#include "entry_internal.h"

#define SERVICES PhStr_LITERAL("services")
#define TEAMS PhStr_LITERAL("teams")

enum {
    PERCENT_MAX = 100
};

static void
report_invalid(PhEntry *entry, PhStr service, const char *key, PhStr value)
{
    PhTask_LOG(
        entry->self, PH_EVENT_POLICY_INVALID, PhField_STR("service", service),
        PhField_STR("key", PhStr_FromC(key)), PhField_STR("value", value));
}

/* An invalid or out-of-range value is logged and replaced by the default. */
static uint64_t
read_number(PhEntry *entry, const PhConfigState *state, PhStr service,
            const char *key, uint64_t min, uint64_t max, uint64_t fallback)
{
    uint64_t number = 0;
    PhStr text = PhConfig_ChildStr(state, SERVICES, service, PhStr_FromC(key),
                                   (PhStr){0});
    if (text.len == 0) {
        return fallback;
    }
    if (!PhStr_ParseU64(text, &number) || number < min || number > max) {
        report_invalid(entry, service, key, text);
        return fallback;
    }
    return number;
}

static PhServiceClass
read_class(PhEntry *entry, const PhConfigState *state, PhStr service,
           PhServiceClass fallback)
{
    PhServiceClass service_class = fallback;
    PhStr text = PhConfig_ChildStr(state, SERVICES, service,
                                   PhStr_LITERAL("class"), (PhStr){0});
    if (text.len > 0 && !PhServiceClass_Parse(text, &service_class)) {
        report_invalid(entry, service, "class", text);
    }
    return service_class;
}

static PhServicePolicy
read_policy(PhEntry *entry, const PhConfigState *state, PhStr name)
{
    enum {
        DEADLINE_MAX_MS = 3600 * 1000,
        SHARE_MAX = 1000000,
        BODY_MAX_BYTES = 64 * 1024 * 1024
    };
    PhServicePolicy p = PhServicePolicy_Default(name);
    p.prefix = PhConfig_ChildStr(state, SERVICES, name,
                                 PhStr_LITERAL("prefix"), (PhStr){0});
    p.team = PhConfig_ChildStr(state, SERVICES, name, PhStr_LITERAL("team"),
                               p.team);
    p.idempotent_paths = PhConfig_ChildStr(
        state, SERVICES, name, PhStr_LITERAL("idempotent_paths"), (PhStr){0});
    p.service_class = read_class(entry, state, name, p.service_class);
    p.deadline = PH_NS_PER_MS *
                 (PhTime)read_number(entry, state, name, "deadline_ms", 1,
                                     DEADLINE_MAX_MS,
                                     (uint64_t)(p.deadline / PH_NS_PER_MS));
    p.hedge_after = PH_NS_PER_MS * (PhTime)read_number(entry, state, name,
                                                       "hedge_after_ms", 0,
                                                       DEADLINE_MAX_MS, 0);
    p.share =
        (double)read_number(entry, state, name, "share", 1, SHARE_MAX, 1);
    p.body_limit_bytes = read_number(entry, state, name, "body_limit_bytes", 0,
                                     BODY_MAX_BYTES, p.body_limit_bytes);
    p.retry_percent = (uint32_t)read_number(
        entry, state, name, "retry_percent", 0, PERCENT_MAX, p.retry_percent);
    uint64_t team_share =
        PhConfig_ChildU64(state, TEAMS, p.team, PhStr_LITERAL("share"), 1);
    p.team_share = (double)CLAMP(team_share, 1, SHARE_MAX);
    return p;
}

/* Services without a prefix are skipped. */
GArray *
PhEntry_ReadPolicies(PhEntry *entry, const PhConfigState *state)
{
    GArray *policies = g_array_new(FALSE, FALSE, sizeof(PhServicePolicy));
    PhConfigNames names =
        PhConfigNames_Start(state, PhStr_LITERAL("services."));
    PhStr name;
    while (PhConfigNames_Next(&names, &name)) {
        PhServicePolicy policy = read_policy(entry, state, name);
        if (policy.prefix.len > 0) {
            g_array_append_val(policies, policy);
        }
    }
    return policies;
}
