/* Settings of a process, read from an INI file.  All errors of a file are
 * reported, each as FILE:LINE: message. */
#ifndef PERIDOTHILL_CODEC_SETTINGS_H
#define PERIDOTHILL_CODEC_SETTINGS_H

#include "peridothill/common/log.h"
#include "peridothill/common/status.h"
#include "peridothill/common/str.h"
#include "peridothill/common/time.h"

typedef struct PhAddressList {
    PhStr *items;
    size_t count;
} PhAddressList;

/* One member per section.  Owns its strings. */
typedef struct PhSettings {
    struct {
        PhStr id;
        PhStr data_centre;
        PhStr deployment;
    } instance;
    struct {
        PhStr listen;
    } callers;
    struct {
        PhStr listen;
        PhStr token_file; /* empty: every request is refused */
    } operators;
    struct {
        PhStr listen;
        PhStr key_file;
        PhStr previous_key_file; /* empty: only one key is accepted */
        PhAddressList seeds;
    } peers;
    struct {
        PhStr log_address;
        PhStr list_address;
        PhTime list_poll;
    } platform;
    struct {
        PhStr store; /* empty: this instance schedules no jobs */
        PhStr link;  /* empty: no listener for other instances */
        PhStr ready; /* listener for readiness checks and metrics */
        double share;
        PhTime lease_limit;
        PhTime pace_lag;
        PhTime report_interval;
        PhTime dispatch_delay;
        uint64_t room_reserve; /* percent of the workers' CPU */
        PhTime claim_after;    /* 0: tasks claim no worker */
        PhTime contact_limit;  /* 0: calls wait for a silent store */
        uint64_t record_bytes; /* largest record that the store takes */
        uint64_t append_bytes; /* largest append that the store takes */
    } scheduler;
    struct {
        uint64_t request_body; /* bytes */
        uint64_t connections;
        PhTime drain_notice;
        PhTime drain_limit;
        PhTime key_window;
        uint64_t memory;         /* bytes, 0: not known */
        uint64_t receive_budget; /* bytes, 0: from `memory`, or none */
        PhTime header_time;      /* 0: no limit, as in the next two */
        uint64_t json_values;
        uint64_t active_tasks;
    } limits;
    struct {
        PhLevel level;
        PhLogFormat format;
    } log;
} PhSettings;

/* Parses the text of a file; `file` is the name shown in errors.  Unless the
 * result is OK, one line per error has been appended to `errors`. */
PhResult PhSettings_Parse(PhStr file, PhStr text, PhSettings *settings,
                          PhBuf *errors);
/* Reads and parses a file; IO or TOO_LARGE if it cannot be read, INVALID if it
 * has errors. */
PhResult PhSettings_Load(PhStr path, PhSettings *settings, PhBuf *errors);
void PhSettings_Clear(PhSettings *settings);
/* Appends a complete settings file with comments and default values. */
void PhSettings_RenderDefaults(PhBuf *out);

#endif
