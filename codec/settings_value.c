#include <arpa/inet.h>
#include <string.h>

#include "peridothill/codec/settings_key.h"

enum {
    NAME_BYTES_MAX = 63,
    PATH_BYTES_MAX = 1023,
    PORT_MAX = 65535,
    SHARE_MAX_CORES = 1024, /* cores */
};

/* A unit suffix and its scale. */
typedef struct PhUnit {
    const char *suffix;
    uint64_t scale;
} PhUnit;

static const PhUnit duration_units[] = {
    {"ms", PH_NS_PER_MS},
    {"s", PH_NS_PER_S},
};
static const PhUnit size_units[] = {
    {"KB", 1024},
    {"MB", UINT64_C(1024) * 1024},
};

/* Replaces the string by a copy of the value. */
static PhResult
str_set(PhStr *target, PhStr value)
{
    PhStr_Clear(target);
    *target = PhStr_Dup(value);
    return PhResult_Ok();
}

static PhResult
name_read(PhStr value, PhStr *target)
{
    if (value.len == 0 || value.len > NAME_BYTES_MAX) {
        return PhResult_Make(PH_STATUS_INVALID,
                             "a name has 1 to %d characters", NAME_BYTES_MAX);
    }
    for (size_t i = 0; i < value.len; i++) {
        char c = value.data[i];
        if (!g_ascii_islower(c) && !g_ascii_isdigit(c) && c != '-') {
            return PhResult_Make(
                PH_STATUS_INVALID,
                "a name has only lower-case letters, digits and hyphens");
        }
    }
    return str_set(target, value);
}

static PhResult
path_read(PhStr value, PhStr *target)
{
    if (value.len > PATH_BYTES_MAX) {
        return PhResult_Make(PH_STATUS_INVALID,
                             "a file name has at most %d bytes",
                             PATH_BYTES_MAX);
    }
    return str_set(target, value);
}

/* Whether `host` is an IPv4 address or an IPv6 address in brackets. */
static bool
host_is_ip(PhStr host)
{
    char text[INET6_ADDRSTRLEN];
    unsigned char number[sizeof(struct in6_addr)];
    int family = AF_INET;
    if (host.len > 2 && host.data[0] == '[' &&
        host.data[host.len - 1] == ']') {
        host = PhStr_Slice(host, 1, host.len - 2);
        family = AF_INET6;
    }
    if (host.len >= sizeof(text)) {
        return false;
    }
    memcpy(text, host.data, host.len);
    text[host.len] = '\0';
    return inet_pton(family, text, number) == 1;
}

static PhResult
address_check(PhStr value, uint64_t min_port)
{
    const char *colon =
        value.len > 0 ? memrchr(value.data, ':', value.len) : NULL;
    if (colon == NULL) {
        return PhResult_Make(PH_STATUS_INVALID,
                             "an address is IP:PORT, as in 127.0.0.1:8080");
    }
    size_t host_len = (size_t)(colon - value.data);
    PhStr port = PhStr_Slice(value, host_len + 1, value.len);
    uint64_t number = 0;
    if (!host_is_ip(PhStr_Slice(value, 0, host_len))) {
        return PhResult_Make(PH_STATUS_INVALID,
                             "'%.*s' does not begin with an IP number",
                             PhStr_ARG(value));
    }
    if (!PhStr_ParseU64(port, &number) || number < min_port ||
        number > PORT_MAX) {
        return PhResult_Make(PH_STATUS_INVALID,
                             "'%.*s' does not end with a port of %d to %d",
                             PhStr_ARG(value), (int)min_port, PORT_MAX);
    }
    return PhResult_Ok();
}

static PhResult
address_read(PhStr value, uint64_t min_port, PhStr *target)
{
    PhResult result = address_check(value, min_port);
    return PhResult_IsOk(&result) ? str_set(target, value) : result;
}

static void
addresses_clear(PhAddressList *list)
{
    for (size_t i = 0; i < list->count; i++) {
        PhStr_Clear(&list->items[i]);
    }
    g_free(list->items);
    *list = (PhAddressList){0};
}

static PhResult
addresses_read(const PhSettingKey *key, PhStr value, PhAddressList *target)
{
    GArray *items = g_array_new(FALSE, FALSE, sizeof(PhStr));
    PhResult result = PhResult_Ok();
    while (value.len > 0 && PhResult_IsOk(&result)) {
        PhStr head = value;
        PhStr tail = {0};
        PhStr_Cut(value, ' ', &head, &tail);
        value = PhStr_Trim(tail);
        result = address_check(head, 1);
        PhStr copy = PhStr_Dup(head);
        g_array_append_val(items, copy);
    }
    if (PhResult_IsOk(&result) && items->len > key->max) {
        result = PhResult_Make(PH_STATUS_INVALID, "at most %d addresses",
                               (int)key->max);
    }
    PhAddressList list = {.count = items->len};
    list.items = (PhStr *)(void *)g_array_free(items, FALSE);
    if (!PhResult_IsOk(&result)) {
        addresses_clear(&list);
        return result;
    }
    addresses_clear(target);
    *target = list;
    return result;
}

/* Parses a number with one of the units, or without a unit if there are none,
 * and checks the range of the key. */
static PhResult
number_read(const PhSettingKey *key, PhStr value, const PhUnit *units,
            size_t unit_count, uint64_t *target)
{
    size_t digits = 0;
    while (digits < value.len && g_ascii_isdigit(value.data[digits])) {
        digits++;
    }
    PhStr suffix = PhStr_Trim(PhStr_Slice(value, digits, value.len));
    uint64_t scale = unit_count == 0 && suffix.len == 0 ? 1 : 0;
    for (size_t i = 0; i < unit_count; i++) {
        if (PhStr_Equal(suffix, PhStr_FromC(units[i].suffix))) {
            scale = units[i].scale;
        }
    }
    if (digits == 0 || scale == 0) {
        return PhResult_Make(PH_STATUS_INVALID,
                             unit_count > 0
                                 ? "a number with the unit %s or %s is needed"
                                 : "a whole number without a unit is needed",
                             unit_count > 0 ? units[0].suffix : "",
                             unit_count > 0 ? units[1].suffix : "");
    }
    uint64_t number = 0;
    bool fits =
        PhStr_ParseU64(PhStr_Slice(value, 0, digits), &number) &&
        number <= key->max / scale &&
        (number * scale >= key->min || (number == 0 && key->zero_is_off));
    if (!fits) {
        return PhResult_Make(PH_STATUS_INVALID, "'%.*s' is out of range",
                             PhStr_ARG(value));
    }
    *target = number * scale;
    return PhResult_Ok();
}

static PhResult
duration_read(const PhSettingKey *key, PhStr value, PhTime *target)
{
    uint64_t number = 0;
    PhResult result = number_read(key, value, duration_units,
                                  G_N_ELEMENTS(duration_units), &number);
    if (PhResult_IsOk(&result)) {
        *target = (PhTime)number;
    }
    return result;
}

static PhResult
level_read(PhStr value, PhLevel *target)
{
    static const PhLevel levels[] = {PH_LEVEL_DEBUG, PH_LEVEL_INFO,
                                     PH_LEVEL_WARNING, PH_LEVEL_ERROR};
    for (size_t i = 0; i < G_N_ELEMENTS(levels); i++) {
        if (PhStr_Equal(value, PhStr_FromC(PhLevel_Name(levels[i])))) {
            *target = levels[i];
            return PhResult_Ok();
        }
    }
    return PhResult_Make(PH_STATUS_INVALID,
                         "a level is debug, info, warning or error");
}

static PhResult
format_read(PhStr value, PhLogFormat *target)
{
    bool json = PhStr_Equal(value, PhStr_LITERAL("json"));
    if (!json && !PhStr_Equal(value, PhStr_LITERAL("logfmt"))) {
        return PhResult_Make(PH_STATUS_INVALID, "a form is logfmt or json");
    }
    *target = json ? PH_LOG_FORMAT_JSON : PH_LOG_FORMAT_LOGFMT;
    return PhResult_Ok();
}

/* A share in cores; may be a fraction. */
static PhResult
share_read(PhStr value, double *target)
{
    char *text = PhStr_ToC(value);
    char *end = NULL;
    double number = g_ascii_strtod(text, &end);
    bool valid = value.len > 0 && *end == '\0' && number > 0 &&
                 number <= SHARE_MAX_CORES;
    g_free(text);
    if (!valid) {
        return PhResult_Make(PH_STATUS_INVALID,
                             "a share is a number above 0, up to %d",
                             SHARE_MAX_CORES);
    }
    *target = number;
    return PhResult_Ok();
}

PhResult
PhSettingKey_Read(const PhSettingKey *key, PhStr value, PhSettings *settings)
{
    void *member = (char *)settings + key->offset;
    switch (key->kind) {
    case PH_SETTING_NAME:
        return name_read(value, member);
    case PH_SETTING_PATH:
        return path_read(value, member);
    case PH_SETTING_LISTEN:
        return address_read(value, 0, member);
    case PH_SETTING_ADDRESS:
        return address_read(value, 1, member);
    case PH_SETTING_OPTIONAL_ADDRESS:
        return value.len == 0 ? str_set(member, value)
                              : address_read(value, 1, member);
    case PH_SETTING_ADDRESSES:
        return addresses_read(key, value, member);
    case PH_SETTING_DURATION:
        return duration_read(key, value, member);
    case PH_SETTING_SIZE:
        return number_read(key, value, size_units, G_N_ELEMENTS(size_units),
                           member);
    case PH_SETTING_COUNT:
        return number_read(key, value, NULL, 0, member);
    case PH_SETTING_SHARE:
        return share_read(value, member);
    case PH_SETTING_LEVEL:
        return level_read(value, member);
    case PH_SETTING_FORMAT:
        return format_read(value, member);
    }
    return PhResult_Make(PH_STATUS_INVALID, "unknown kind of setting");
}

void
PhSettingKey_Clear(const PhSettingKey *key, PhSettings *settings)
{
    void *member = (char *)settings + key->offset;
    switch (key->kind) {
    case PH_SETTING_NAME:
    case PH_SETTING_PATH:
    case PH_SETTING_LISTEN:
    case PH_SETTING_ADDRESS:
    case PH_SETTING_OPTIONAL_ADDRESS:
        PhStr_Clear(member);
        break;
    case PH_SETTING_ADDRESSES:
        addresses_clear(member);
        break;
    case PH_SETTING_DURATION:
    case PH_SETTING_SIZE:
    case PH_SETTING_COUNT:
    case PH_SETTING_SHARE:
    case PH_SETTING_LEVEL:
    case PH_SETTING_FORMAT:
        break;
    }
}
