#include "decide/config/config_follower_internal.h"

static bool
is_stale(const PhConfigFollower *f, PhTime now)
{
    return f->confirmed_at < 0 || now - f->confirmed_at > STALE_AFTER_NS;
}

/* Readers read the log; other instances only if their data is stale or no peer
 * can supply the missing records. */
static bool
should_read(const PhConfigFollower *f, PhTime now)
{
    uint64_t next = PhFollower_Next(f);
    if (f->recovering) {
        return !PhFollowerPeers_HasSource(f, next);
    }
    if (PhConfigFollower_ReadsLog(f) || is_stale(f, now)) {
        return true;
    }
    return next < PhFollower_HighestNext(f) &&
           !PhFollowerPeers_HasSource(f, next + 1);
}

void
PhFollowerLog_StartRead(PhConfigFollower *f, PhTime now, GArray *actions)
{
    if (f->reading) {
        return;
    }
    f->reading = true;
    f->read_since = now;
    PhFollower_Add(actions,
                   (PhConfigAction){.kind = PH_CONFIG_ACTION_READ_LOG,
                                    .as.read.from = PhFollower_Next(f),
                                    .as.read.limit = READ_RECORDS});
}

/* Reads snapshots from an offset of their stream on. */
static void
snapshots_read(PhConfigFollower *f, uint64_t from, GArray *actions)
{
    if (f->snapshots_reading) {
        return;
    }
    f->snapshots_reading = true;
    PhFollower_Add(actions,
                   (PhConfigAction){.kind = PH_CONFIG_ACTION_READ_SNAPSHOTS,
                                    .as.read.from = from,
                                    .as.read.limit = 2});
}

/* Reads the latest snapshot, starting at the last known end of the stream. */
static void
snapshots_read_last(PhConfigFollower *f, GArray *actions)
{
    snapshots_read(f, f->snapshots_end > 0 ? f->snapshots_end - 1 : 0,
                   actions);
}

/* A snapshot is due after SNAPSHOT_RECORDS records, after a quarter of the
 * retention if there are any new records, and after half of it in any case. */
static bool
snapshot_due(const PhConfigFollower *f, PhTime now)
{
    uint64_t next = PhFollower_Next(f);
    if (next == 0 || f->recovering) {
        return false;
    }
    PhTime age = now - f->snapshot_at;
    return next >= f->snapshot_covers + SNAPSHOT_RECORDS ||
           (next > f->snapshot_covers && age >= f->options.retention / 4) ||
           age >= f->options.retention / 2;
}

/* Schedules a reader's next check of the snapshots.  If one is due, the check
 * follows soon at a random time, so that one reader writes it and the others
 * find it. */
static void
snapshot_schedule(PhConfigFollower *f, PhTime now)
{
    PhTime soon = MIN(SNAPSHOT_JITTER_NS, f->options.retention / 16);
    if (!PhConfigFollower_ReadsLog(f) || f->recovering) {
        f->snapshot_check = PH_TIME_NEVER;
        return;
    }
    PhTime later = f->snapshot_at + f->options.retention / 4;
    if (f->snapshot_known && !snapshot_due(f, now) && later > now) {
        f->snapshot_check = later;
    }
    else if (f->snapshot_check > now + soon) {
        f->snapshot_check = now + PhFollower_Jitter(f, soon / 2);
    }
}

/* Doubles the back-off between reads, up to a limit. */
static void
log_failure_handle(PhConfigFollower *f, PhTime now, GArray *actions)
{
    PhTime backoff_max =
        PhConfigFollower_ReadsLog(f) ? READ_BACKOFF_MAX_NS : STALE_READ_MAX_NS;
    PhFollower_Note(actions, PH_CONFIG_NOTE_LOG_FAILED);
    f->read_backoff = MIN(f->read_backoff * 2, backoff_max);
    f->next_read = now + PhFollower_Jitter(f, f->read_backoff);
}

PhTime
PhFollowerLog_NextTick(const PhConfigFollower *f)
{
    PhTime read = f->reading ? PH_TIME_NEVER : f->next_read;
    bool busy = f->snapshots_reading || f->snapshot_writing;
    return MIN(read, busy ? PH_TIME_NEVER : f->snapshot_check);
}

/* Reads the next records; while recovering, looks for a snapshot first. */
static void
read_next(PhConfigFollower *f, PhTime now, GArray *actions)
{
    if (f->recovering && !f->snapshot_known) {
        f->snapshot_wanted = true;
        snapshots_read_last(f, actions);
    }
    else if (!f->snapshot_wanted || !f->snapshots_reading) {
        PhFollowerLog_StartRead(f, now, actions);
    }
}

void
PhFollowerLog_Tick(PhConfigFollower *f, PhTime now, GArray *actions)
{
    if (!f->reading && now >= f->next_read) {
        f->next_read = now + PhFollower_Jitter(f, f->read_backoff);
        if (should_read(f, now)) {
            read_next(f, now, actions);
        }
    }
    if (now >= f->snapshot_check && !f->snapshot_writing) {
        f->snapshot_check = now + f->options.retention / 4;
        snapshots_read_last(f, actions);
    }
}

/* Applies records that were read and passes them on to peers. */
static void
records_accept(PhConfigFollower *f, PhTime now, const PhConfigEvent *event,
               GArray *actions)
{
    uint64_t from = PhFollower_Next(f);
    f->gap_end = 0;
    f->read_backoff = f->options.poll_interval;
    f->next_read = now + PhFollower_Jitter(f, f->options.poll_interval);
    if (event->as.records.end < from) {
        PhFollower_Note(actions, PH_CONFIG_NOTE_LOG_BEHIND);
        return;
    }
    f->log_end = MAX(f->log_end, event->as.records.end);
    size_t applied = PhFollower_Apply(f, event->as.records.records,
                                      event->as.records.count, actions);
    if (applied > 0) {
        PhFollowerPeers_PushDown(f, from, actions);
        PhFollowerPeers_Announce(f, now, actions);
    }
    if (PhFollower_Next(f) >= event->as.records.end) {
        f->confirmed_at = MAX(f->confirmed_at, f->read_since);
        PhFollower_FinishRecovery(f, actions);
        snapshot_schedule(f, now);
    }
    if (applied > 0 && PhFollower_Next(f) < f->log_end) {
        PhFollowerLog_StartRead(f, now, actions);
    }
}

void
PhFollowerLog_Records(PhConfigFollower *f, PhTime now,
                      const PhConfigEvent *event, GArray *actions)
{
    f->reading = false;
    if (event->as.records.status == PH_STATUS_OK) {
        records_accept(f, now, event, actions);
    }
    else if (event->as.records.status == PH_STATUS_EXPIRED) {
        f->next_read = now + PhFollower_Jitter(f, f->read_backoff);
        f->snapshot_wanted = true;
        f->snapshot_gap = true;
        f->gap_end = event->as.records.first;
        snapshots_read_last(f, actions);
    }
    else {
        log_failure_handle(f, now, actions);
    }
}

/* Restores the latest snapshot, or reports a gap that no snapshot closes. */
static void
snapshot_recover(PhConfigFollower *f, PhTime now, const PhConfigEvent *event,
                 GArray *actions)
{
    bool gap = f->snapshot_gap;
    f->snapshot_wanted = false;
    f->snapshot_gap = false;
    const PhConfigSnapshot *latest = event->as.snapshots.latest;
    if (latest != NULL && PhFollower_Restore(f, latest, actions)) {
        PhFollower_Note(actions, PH_CONFIG_NOTE_RECOVERED_LOG);
    }
    else if (gap) {
        PhFollower_Note(actions, PH_CONFIG_NOTE_RETENTION_GAP);
        f->read_backoff = MIN(f->read_backoff * 2, READ_BACKOFF_MAX_NS);
        f->next_read = now + PhFollower_Jitter(f, f->read_backoff);
        return;
    }
    PhFollowerLog_StartRead(f, now, actions);
}

/* Handles the result of a read of snapshots; reads again near the end of the
 * stream if this read did not reach it. */
void
PhFollowerLog_Snapshots(PhConfigFollower *f, PhTime now,
                        const PhConfigEvent *event, GArray *actions)
{
    PhStatus status = event->as.snapshots.status;
    uint64_t first = event->as.snapshots.first;
    uint64_t end = event->as.snapshots.end;
    f->snapshots_reading = false;
    if (status != PH_STATUS_OK && status != PH_STATUS_EXPIRED) {
        log_failure_handle(f, now, actions);
        f->snapshot_check = now + PhFollower_Jitter(f, SNAPSHOT_JITTER_NS);
        return;
    }
    f->snapshots_end = end;
    bool complete = status == PH_STATUS_OK && event->as.snapshots.read >= end;
    if (!complete && first < end) {
        snapshots_read(f, MAX(first, end > 2 ? end - 2 : 0), actions);
        return;
    }
    const PhConfigSnapshot *latest = event->as.snapshots.latest;
    f->snapshot_known = true;
    f->snapshot_covers = latest == NULL ? 0 : latest->covers;
    f->snapshot_at = now - (latest == NULL ? f->options.retention
                                           : event->as.snapshots.age);
    if (f->snapshot_wanted) {
        snapshot_recover(f, now, event, actions);
    }
    if (PhConfigFollower_ReadsLog(f) && snapshot_due(f, now) &&
        !f->snapshot_writing) {
        f->snapshot_writing = true;
        f->snapshot_written = PhFollower_Next(f);
        PhFollower_Add(actions,
                       (PhConfigAction){
                           .kind = PH_CONFIG_ACTION_WRITE_SNAPSHOT,
                           .as.snapshot = PhConfigLedger_Snapshot(f->ledger)});
    }
    snapshot_schedule(f, now);
}

/* Writes the held state as a snapshot that covers the expired records, as if
 * they had changed nothing.  Every instance that waits at the gap continues
 * from it. */
void
PhFollowerLog_Bridge(PhConfigFollower *f, GArray *actions)
{
    if (!PhConfigFollower_HasGap(f) || f->snapshot_writing) {
        return;
    }
    PhConfigSnapshot *snapshot = PhConfigLedger_Snapshot(f->ledger);
    snapshot->covers = f->gap_end;
    f->snapshot_writing = true;
    f->snapshot_written = f->gap_end;
    PhFollower_Add(actions,
                   (PhConfigAction){.kind = PH_CONFIG_ACTION_WRITE_SNAPSHOT,
                                    .as.snapshot = snapshot});
}

/* After a failure or an unknown result, looks for the snapshot before writing
 * another one. */
void
PhFollowerLog_Written(PhConfigFollower *f, PhTime now, PhStatus status,
                      GArray *actions)
{
    f->snapshot_writing = false;
    if (status != PH_STATUS_OK) {
        PhFollower_Note(actions, PH_CONFIG_NOTE_SNAPSHOT_FAILED);
        f->snapshot_check = now + PhFollower_Jitter(f, SNAPSHOT_JITTER_NS);
        return;
    }
    f->snapshots_end++;
    f->snapshot_covers = f->snapshot_written;
    f->snapshot_at = now;
    snapshot_schedule(f, now);
}
