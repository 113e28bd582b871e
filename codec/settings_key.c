#include "peridothill/codec/settings_key.h"

/* The last arguments set further members. */
#define ROW(SECTION, NAME, MEMBER, KIND, MIN_VALUE, MAX_VALUE, INITIAL, DOC,  \
            ...)                                                              \
    {                                                                         \
        .section = (SECTION), .name = (NAME), .kind = PH_SETTING_##KIND,      \
        .offset = offsetof(PhSettings, MEMBER), .min = (MIN_VALUE),           \
        .max = (MAX_VALUE), .initial = (INITIAL), .doc = (DOC), __VA_ARGS__   \
    }
#define KEY(SECTION, NAME, MEMBER, KIND, REQUIRED, MIN_VALUE, MAX_VALUE,      \
            INITIAL, DOC)                                                     \
    ROW(SECTION, NAME, MEMBER, KIND, MIN_VALUE, MAX_VALUE, INITIAL, DOC,      \
        .required = (REQUIRED))
/* Off by default, or within the range. */
#define KEY_OR_OFF(SECTION, NAME, MEMBER, KIND, MIN_VALUE, MAX_VALUE,         \
                   INITIAL, DOC)                                              \
    ROW(SECTION, NAME, MEMBER, KIND, MIN_VALUE, MAX_VALUE, INITIAL, DOC,      \
        .zero_is_off = true)
#define MS PH_NS_PER_MS
#define S PH_NS_PER_S
#define KB UINT64_C(1024)
#define MB (1024 * KB)
#define MEMORY_MAX (KB * KB * MB)

enum {
    ROOM_RESERVE_MAX_PERCENT = 50,
    SEEDS_MAX = 32,
    CONNECTIONS_MAX = 65536,
};

static const PhSettingKey keys[] = {
    KEY("instance", "id", instance.id, NAME, true, 0, 0, "entry-1",
        "Name of this instance; no other live one may have it."),
    KEY("instance", "data_centre", instance.data_centre, NAME, true, 0, 0,
        "bacolod", "Data centre that this instance is in."),
    KEY("instance", "deployment", instance.deployment, NAME, true, 0, 0,
        "acceptance",
        "Name of the deployment; peers of another one are refused."),
    KEY("callers", "listen", callers.listen, LISTEN, false, 0, 0,
        "127.0.0.1:8080",
        "IP number and port for callers; port 0 takes a free one."),
    KEY("operators", "listen", operators.listen, LISTEN, false, 0, 0,
        "127.0.0.1:8081", "IP number and port for operators."),
    KEY("operators", "token_file", operators.token_file, PATH, false, 0, 0, "",
        "File with the bearer token; without it every operator is refused."),
    KEY("peers", "listen", peers.listen, LISTEN, false, 0, 0, "127.0.0.1:8082",
        "IP number and port for other instances."),
    KEY("peers", "key_file", peers.key_file, PATH, false, 0, 0, "",
        "File with the key that proves every connection between instances."),
    KEY("peers", "previous_key_file", peers.previous_key_file, PATH, false, 0,
        0, "",
        "File with a second key that is accepted while keys are changed."),
    KEY("peers", "seeds", peers.seeds, ADDRESSES, false, 0, SEEDS_MAX, "",
        "Peer addresses to try first, separated by spaces."),
    KEY("platform", "log_address", platform.log_address, ADDRESS, false, 0, 0,
        "127.0.0.1:9000", "IP number and port of the platform's log."),
    KEY("platform", "list_address", platform.list_address, ADDRESS, false, 0,
        0, "127.0.0.1:9001",
        "IP number and port of the platform's list of instances."),
    KEY("platform", "list_poll", platform.list_poll, DURATION, false, 100 * MS,
        60 * S, "1s", "Time between two readings of the list."),
    KEY("scheduler", "store", scheduler.store, OPTIONAL_ADDRESS, false, 0, 0,
        "",
        "IP number and port of the metadata store; with it the instance "
        "schedules jobs."),
    KEY("scheduler", "link", scheduler.link, OPTIONAL_ADDRESS, false, 0, 0, "",
        "IP number and port where other instances reach this one; without it "
        "they only meet in the store."),
    KEY("scheduler", "ready", scheduler.ready, LISTEN, false, 0, 0,
        "127.0.0.1:8083",
        "IP number and port for the readiness check and for metrics."),
    KEY("scheduler", "share", scheduler.share, SHARE, false, 0, 0, "1",
        "Cores that this instance may use; stronger ones schedule first."),
    KEY("scheduler", "lease_limit", scheduler.lease_limit, DURATION, false,
        1 * S, 600 * S, "10s", "Longest lease that workers grant."),
    KEY("scheduler", "pace_lag", scheduler.pace_lag, DURATION, false, 0,
        60 * S, "100ms", "Time until a change of pace shows on a worker."),
    KEY("scheduler", "report_interval", scheduler.report_interval, DURATION,
        false, 0, 60 * S, "0s",
        "Interval at which workers write their entries, which expire after "
        "three; 0s: unknown, so that a deleted entry shows nothing."),
    KEY("scheduler", "dispatch_delay", scheduler.dispatch_delay, DURATION,
        false, 0, 60 * S, "80ms",
        "Average delay of starts above which other instances send them, until "
        "it has been shorter for a minute; 0s: always."),
    KEY("scheduler", "room_reserve", scheduler.room_reserve, COUNT, false, 0,
        ROOM_RESERVE_MAX_PERCENT, "0",
        "Largest share of the workers' CPU, in percent, that new long-running "
        "jobs leave for jobs that end; 0: no job is refused for want of "
        "room."),
    KEY("scheduler", "claim_after", scheduler.claim_after, DURATION, false, 0,
        60 * S, "0s",
        "Wait after which a task claims the worker on which it fits first; "
        "0s: never."),
    KEY("scheduler", "contact_limit", scheduler.contact_limit, DURATION, false,
        0, 60 * S, "0s",
        "Silence of the store after which calls that need it are refused at "
        "once; 0s: they wait until their deadline."),
    KEY("scheduler", "record_bytes", scheduler.record_bytes, COUNT, false, KB,
        64 * MB, "262144", "Bytes of the largest record in the store."),
    KEY("scheduler", "append_bytes", scheduler.append_bytes, COUNT, false, KB,
        64 * MB, "2097152", "Bytes of the largest append to the store."),
    KEY("limits", "request_body", limits.request_body, SIZE, false, KB,
        64 * MB, "1MB", "Largest body of a caller's request."),
    KEY("limits", "connections", limits.connections, COUNT, false, 1,
        CONNECTIONS_MAX, "1024",
        "Open connections from callers; at the limit the longest idle one "
        "is closed for another caller."),
    KEY("limits", "drain_notice", limits.drain_notice, DURATION, false, 0,
        60 * S, "3s",
        "Time in which the balancer notices a stop; requests are still "
        "taken."),
    KEY("limits", "drain_limit", limits.drain_limit, DURATION, false, 1 * S,
        3600 * S, "30s",
        "Longest time that a stop waits for the requests in flight."),
    KEY("limits", "key_window", limits.key_window, DURATION, false, 1 * S,
        3600 * S, "30s",
        "Time for which an idempotency key is kept; a new deployment refuses "
        "keyed requests for as long."),
    KEY("limits", "memory", limits.memory, SIZE, false, 0, MEMORY_MAX, "0KB",
        "Memory of the machine; 0KB: not known."),
    KEY("limits", "receive_budget", limits.receive_budget, SIZE, false, 0,
        MEMORY_MAX, "0KB",
        "Bytes of all requests that are received and answers that are sent; "
        "0KB: a quarter of memory, or no limit if that is not known."),
    KEY_OR_OFF("limits", "header_time", limits.header_time, DURATION, 3 * S,
               60 * S, "0s",
               "Longest time to receive the headers of a request; 0s: no "
               "limit."),
    KEY_OR_OFF("limits", "json_values", limits.json_values, COUNT, KB, MB, "0",
               "JSON values in the largest document of a client; 0: no "
               "limit."),
    KEY_OR_OFF("limits", "active_tasks", limits.active_tasks, COUNT, KB,
               16 * MB, "0",
               "Tasks of all jobs that have not ended, beyond which new jobs "
               "are refused; 0: no limit."),
    KEY("log", "level", log.level, LEVEL, false, 0, 0, "info",
        "Least level written: debug, info, warning or error."),
    KEY("log", "format", log.format, FORMAT, false, 0, 0, "logfmt",
        "Form of a log line: logfmt or json."),
};

const PhSettingKey *
PhSettingKey_List(size_t *count)
{
    *count = G_N_ELEMENTS(keys);
    return keys;
}

void
PhSettings_RenderDefaults(PhBuf *out)
{
    const char *section = "";
    PhBuf_Append(out, PhStr_LITERAL("# Settings of peridothill serve.\n"));
    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        const PhSettingKey *k = &keys[i];
        if (g_strcmp0(section, k->section) != 0) {
            section = k->section;
            PhBuf_AppendFormat(out, "\n[%s]\n", section);
        }
        PhBuf_AppendFormat(out, "# %s%s\n%s =%s%s\n", k->doc,
                           k->required ? "  Required." : "", k->name,
                           k->initial[0] != '\0' ? " " : "", k->initial);
    }
}
