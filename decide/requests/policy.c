#include "peridothill/decide/requests/policy.h"

enum {
    DEFAULT_DEADLINE_MS = 2000,
    DEFAULT_BODY_LIMIT_BYTES = 1024 * 1024,
    DEFAULT_RETRY_PERCENT = 8,
};

static const char *const class_names[] = {
    [PH_SERVICE_CLASS_LATENCY_CRITICAL] = "latency-critical",
    [PH_SERVICE_CLASS_BATCH] = "batch",
    [PH_SERVICE_CLASS_BACKGROUND] = "background",
};

/* Idempotent by RFC 9110. */
static const char *const idempotent_methods[] = {"GET", "HEAD", "OPTIONS",
                                                 "PUT", "DELETE"};

/* Returns the name used in the configuration. */
const char *
PhServiceClass_Name(PhServiceClass service_class)
{
    return class_names[service_class];
}

bool
PhServiceClass_Parse(PhStr text, PhServiceClass *service_class)
{
    for (size_t i = 0; i < G_N_ELEMENTS(class_names); i++) {
        if (PhStr_Equal(text, PhStr_FromC(class_names[i]))) {
            *service_class = (PhServiceClass)i;
            return true;
        }
    }
    return false;
}

/* The policy of a service that is configured by name only. */
PhServicePolicy
PhServicePolicy_Default(PhStr name)
{
    return (PhServicePolicy){
        .name = name,
        .team = PhStr_LITERAL("default"),
        .service_class = PH_SERVICE_CLASS_LATENCY_CRITICAL,
        .deadline = DEFAULT_DEADLINE_MS * PH_NS_PER_MS,
        .share = 1.0,
        .team_share = 1.0,
        .body_limit_bytes = DEFAULT_BODY_LIMIT_BYTES,
        .retry_percent = DEFAULT_RETRY_PERCENT,
    };
}

/* Deep copy; the caller frees it with PhServicePolicy_Clear(). */
PhServicePolicy
PhServicePolicy_Copy(const PhServicePolicy *policy)
{
    PhServicePolicy copy = *policy;
    copy.name = PhStr_Dup(policy->name);
    copy.prefix = PhStr_Dup(policy->prefix);
    copy.team = PhStr_Dup(policy->team);
    copy.idempotent_paths = PhStr_Dup(policy->idempotent_paths);
    return copy;
}

void
PhServicePolicy_Clear(PhServicePolicy *policy)
{
    PhStr_Clear(&policy->name);
    PhStr_Clear(&policy->prefix);
    PhStr_Clear(&policy->team);
    PhStr_Clear(&policy->idempotent_paths);
}

/* Matches whole path segments: "/a" covers "/a/b" but not "/ab". */
static bool
path_below(PhStr path, PhStr prefix)
{
    if (prefix.len == 0 || !PhStr_StartsWith(path, prefix)) {
        return false;
    }
    return path.len == prefix.len || prefix.data[prefix.len - 1] == '/' ||
           path.data[prefix.len] == '/';
}

bool
PhServicePolicy_Covers(const PhServicePolicy *policy, PhStr path)
{
    return path_below(path, policy->prefix);
}

/* A POST is idempotent only if its path is listed in the policy. */
bool
PhServicePolicy_IsIdempotent(const PhServicePolicy *policy, PhStr method,
                             PhStr path)
{
    for (size_t i = 0; i < G_N_ELEMENTS(idempotent_methods); i++) {
        if (PhStr_Equal(method, PhStr_FromC(idempotent_methods[i]))) {
            return true;
        }
    }
    if (!PhStr_Equal(method, PhStr_LITERAL("POST"))) {
        return false;
    }
    PhStr rest = policy->idempotent_paths;
    while (rest.len > 0) {
        PhStr prefix;
        PhStr_Cut(rest, ' ', &prefix, &rest);
        if (path_below(path, prefix)) {
            return true;
        }
    }
    return false;
}
