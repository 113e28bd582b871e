/* Table of the settings keys and parsers for their values. */
#ifndef PERIDOTHILL_CODEC_SETTINGS_KEY_H
#define PERIDOTHILL_CODEC_SETTINGS_KEY_H

#include "peridothill/codec/settings.h"

typedef enum PhSettingKind {
    PH_SETTING_NAME,    /* PhStr: lower-case letters, digits and hyphens */
    PH_SETTING_PATH,    /* PhStr: a file name, may be empty */
    PH_SETTING_LISTEN,  /* PhStr: IP address and port; 0 selects a free port */
    PH_SETTING_ADDRESS, /* PhStr: IP address and port */
    PH_SETTING_OPTIONAL_ADDRESS, /* PhStr: IP address and port, or empty */
    PH_SETTING_ADDRESSES,        /* PhAddressList: separated by spaces */
    PH_SETTING_DURATION,         /* PhTime, with a unit */
    PH_SETTING_SIZE,             /* uint64_t of bytes, with a unit */
    PH_SETTING_COUNT,            /* uint64_t without a unit */
    PH_SETTING_SHARE,            /* double, above 0 */
    PH_SETTING_LEVEL,            /* PhLevel */
    PH_SETTING_FORMAT,           /* PhLogFormat */
} PhSettingKind;

/* A key; `offset` is that of its member in PhSettings.  `min` and `max` are in
 * nanoseconds, bytes or items; for a list, `max` limits its length. */
typedef struct PhSettingKey {
    const char *section;
    const char *name;
    PhSettingKind kind;
    bool required; /* must be set in the file */
    size_t offset;
    uint64_t min;
    uint64_t max;
    bool zero_is_off;    /* 0 is in range too */
    const char *initial; /* default, or an example for a required key */
    const char *doc;
} PhSettingKey;

/* All keys, grouped by section. */
const PhSettingKey *PhSettingKey_List(size_t *count);
/* Parses a value into its member of `settings` and releases the previous
 * value; INVALID with the reason. */
PhResult PhSettingKey_Read(const PhSettingKey *key, PhStr value,
                           PhSettings *settings);
/* Releases the member of the key. */
void PhSettingKey_Clear(const PhSettingKey *key, PhSettings *settings);

#endif
