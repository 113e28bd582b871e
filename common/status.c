#include "peridothill/common/status.h"

#include <stdarg.h>
#include <stdio.h>

const char *
PhStatus_Name(PhStatus status)
{
    switch (status) {
    case PH_STATUS_OK:
        return "ok";
    case PH_STATUS_INVALID:
        return "invalid";
    case PH_STATUS_NOT_FOUND:
        return "not-found";
    case PH_STATUS_EXISTS:
        return "exists";
    case PH_STATUS_CONFLICT:
        return "conflict";
    case PH_STATUS_FULL:
        return "full";
    case PH_STATUS_GONE:
        return "gone";
    case PH_STATUS_UNAVAILABLE:
        return "unavailable";
    case PH_STATUS_UNKNOWN:
        return "unknown";
    case PH_STATUS_TIMEOUT:
        return "timeout";
    case PH_STATUS_DENIED:
        return "denied";
    case PH_STATUS_TOO_LARGE:
        return "too-large";
    case PH_STATUS_EXPIRED:
        return "expired";
    case PH_STATUS_IO:
        return "io";
    }
    return "?";
}

PhResult
PhResult_Ok(void)
{
    return (PhResult){.status = PH_STATUS_OK};
}

PhResult
PhResult_Make(PhStatus status, const char *format, ...)
{
    PhResult result = {.status = status};
    va_list args;
    va_start(args, format);
    int n = vsnprintf(result.message, sizeof(result.message), format, args);
    va_end(args);
    if (n > 0) {
        result.message_len =
            (uint32_t)MIN((size_t)n, sizeof(result.message) - 1);
    }
    return result;
}

bool
PhResult_IsOk(const PhResult *result)
{
    return result->status == PH_STATUS_OK;
}

PhStr
PhResult_Message(const PhResult *result)
{
    return (PhStr){.data = result->message, .len = result->message_len};
}
