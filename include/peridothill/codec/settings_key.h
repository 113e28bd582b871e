/* The keys of the settings file, and how the value of each is read. */
#ifndef PERIDOTHILL_CODEC_SETTINGS_KEY_H
#define PERIDOTHILL_CODEC_SETTINGS_KEY_H

#include "peridothill/codec/settings.h"

typedef enum PhSettingKind {
    PH_SETTING_NAME,    /* PhStr: lower-case letters, digits and hyphens */
    PH_SETTING_PATH,    /* PhStr: a file name, may be empty */
    PH_SETTING_LISTEN,  /* PhStr: IP number and port; 0 takes a free port */
    PH_SETTING_ADDRESS, /* PhStr: IP number and port */
    PH_SETTING_OPTIONAL_ADDRESS, /* PhStr: IP number and port, or empty */
    PH_SETTING_ADDRESSES,        /* PhAddressList: separated by spaces */
    PH_SETTING_DURATION,         /* PhTime, with a unit */
    PH_SETTING_SIZE,             /* uint64_t of bytes, with a unit */
    PH_SETTING_COUNT,            /* uint64_t without a unit */
    PH_SETTING_SHARE,            /* double, above 0 */
    PH_SETTING_LEVEL,            /* PhLevel */
    PH_SETTING_FORMAT,           /* PhLogFormat */
} PhSettingKind;

/* A key; `offset` is where PhSettings holds it.  The range counts in
 * nanoseconds, bytes or items, and for a list limits its length. */
typedef struct PhSettingKey {
    const char *section;
    const char *name;
    PhSettingKind kind;
    bool required; /* the file has to give it */
    size_t offset;
    uint64_t min;
    uint64_t max;
    const char *initial; /* default, or an example for a required key */
    const char *doc;
} PhSettingKey;

/* All keys; those of a section stand together. */
const PhSettingKey *PhSettingKey_List(size_t *count);
/* Reads a value of the key into `settings`, in place of the earlier one. */
PhResult PhSettingKey_Read(const PhSettingKey *key, PhStr value,
                           PhSettings *settings);
/* Releases what the key holds. */
void PhSettingKey_Clear(const PhSettingKey *key, PhSettings *settings);

#endif
