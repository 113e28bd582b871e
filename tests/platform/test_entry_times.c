/* What is known of the time at which a worker's entry was written, and why an
 * entry is not in the list any more.  Guards against a worker that is only
 * silent being taken for one that has left. */
#include "peridothill/platform/adapter.h"
#include "peridothill/services/interface.h"
#include "peridothill/services/schedule.h"
#include "peridothill/services/store.h"
#include "scripted_task.h"
#include "tests/table.h"

enum {
    MAILBOX_CAPACITY = 64,
    REPLIES_MAX = 4,
    START_MS = 1000, /* the entries are first read */
    LATE_MS = 2000,  /* delay of a reply that comes late */
    FIRST_READS = 2, /* a page of all entries, and what follows */
};

static const PhTime FOLLOW_TIME = 8 * PH_NS_PER_S;
/* A standby reads the entries again 2 s after it has read them first. */
static const PhTime NEXT_READ = 3 * PH_NS_PER_S;

#define ENTRY                                                                 \
    "{\"address\":\"10.0.0.1:80\",\"service\":\"s\",\"state\":\"draining\","  \
    "\"zone\":\"z\",\"born\":5,\"labels\":[\"a\",\"r1-3\"],"                  \
    "\"capacity\":{\"cpu\":16000,\"memMb\":10,\"gpu\":0}}"

/* What a reply of the store says of the worker. */
typedef enum PhNews {
    NEWS_NONE,
    NEWS_WRITTEN,
    NEWS_DELETED,
    NEWS_MALFORMED,
    NEWS_LOST,    /* the records were deleted: all entries are read again */
    NEWS_NO_REPLY /* the call fails */
} PhNews;

/* A reply; the first one, and the one after NEWS_LOST, is a page of all
 * entries. */
typedef struct PhReplyRow {
    PhNews news;
    bool late;   /* it takes LATE_MS */
    bool behind; /* it does not reach the end of the topic */
} PhReplyRow;

/* `sent_before` is the number of the read that shows the bound, counted from
 * 1: the entry was written after that one was sent; 0: unknown. */
typedef struct PhEntryTimeCase {
    const char *name;
    PhReplyRow replies[REPLIES_MAX];
    size_t sent_before;
    bool removed;
    PhWorkerRemoval removal;
} PhEntryTimeCase;

static const PhEntryTimeCase entry_time_cases[] = {
    {"in a page", {{NEWS_WRITTEN}}, 0, false},
    {"in the first read", {{NEWS_NONE}, {NEWS_WRITTEN}}, 1, false},
    {"in a later read", {{NEWS_NONE}, {NEWS_NONE}, {NEWS_WRITTEN}}, 2, false},
    {"after a read that came late",
     {{NEWS_NONE}, {NEWS_NONE, .late = true}, {NEWS_WRITTEN}},
     2,
     false},
    {"after a read that was behind",
     {{NEWS_NONE}, {NEWS_NONE, .behind = true}, {NEWS_WRITTEN}},
     1,
     false},
    {"after a read that failed",
     {{NEWS_NONE}, {NEWS_NO_REPLY}, {NEWS_WRITTEN}},
     1,
     false},
    {"in a page again", {{NEWS_NONE}, {NEWS_LOST}, {NEWS_WRITTEN}}, 0, false},
    {"deleted",
     {{NEWS_NONE}, {NEWS_WRITTEN}, {NEWS_DELETED}},
     1,
     true,
     PH_REMOVAL_DELETED},
    {"replaced by one that cannot be read",
     {{NEWS_NONE}, {NEWS_WRITTEN}, {NEWS_MALFORMED}},
     1,
     true,
     PH_REMOVAL_UNREADABLE},
    {"missing in the pages",
     {{NEWS_WRITTEN}, {NEWS_LOST}, {NEWS_NONE}},
     0,
     true,
     PH_REMOVAL_MISSING},
};

/* Stand-in for "store", with the calls that it has received. */
typedef struct PhEntryStore {
    const PhEntryTimeCase *c;
    size_t calls;
    PhTime sent_at[REPLIES_MAX];
    uint64_t end;
    PhTaskRef from;
    PhStoreMessage held; /* a late reply */
} PhEntryStore;

/* Stand-in for "schedule", with what it has been told. */
typedef struct PhEntryReader {
    PhTime written_after;
    bool known;
    bool removed;
    PhWorkerRemoval removal;
} PhEntryReader;

static PhStoreMessage
reply_make(PhEntryStore *store, uint64_t id, const PhReplyRow *row)
{
    PhStoreMessage m = {.tag = PH_STORE_REPLY, .id = id};
    PhStoreReply *reply = &m.as.reply;
    reply->id = id;
    reply->outcome = PH_STORE_DONE;
    PhStr value = {0};
    switch (row->news) {
    case NEWS_NONE:
        reply->end = store->end + row->behind;
        return m;
    case NEWS_LOST:
        reply->outcome = PH_STORE_GONE;
        return m;
    case NEWS_NO_REPLY:
        reply->outcome = PH_STORE_UNKNOWN;
        return m;
    case NEWS_WRITTEN:
        value = PhStr_LITERAL(ENTRY);
        break;
    case NEWS_DELETED:
        break;
    case NEWS_MALFORMED:
        value = PhStr_LITERAL("{");
        break;
    }
    reply->records = g_new0(PhStoreRecord, 1);
    reply->record_count = 1;
    reply->records[0] = (PhStoreRecord){
        .offset = store->end,
        .key = PhStr_Dup(PhStr_LITERAL("worker")),
        .value = value.len > 0 ? PhStr_Dup(value) : (PhStr){0}};
    reply->end = ++store->end;
    return m;
}

/* Answers the reads of the entries; those of the configuration wait. */
static void
store_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhEntryStore *store = state;
    if (mail->kind == PH_MAIL_TIMER) {
        PhTask_Send(self, store->from, PhStoreMessage_Wrap(&store->held));
        return;
    }
    if (mail->kind != PH_MAIL_MESSAGE) {
        return;
    }
    const PhStoreMessage *m = mail->as.message.body;
    PhStr topic =
        m->tag == PH_STORE_NEWEST ? m->as.newest.topic : m->as.read.topic;
    if (!PhStr_Equal(topic, PhStr_LITERAL("servers")) ||
        store->calls == REPLIES_MAX) {
        return;
    }
    const PhReplyRow *row = &store->c->replies[store->calls];
    store->sent_at[store->calls++] = PhTask_Now(self);
    PhStoreMessage reply = reply_make(store, m->id, row);
    if (row->late) {
        store->held = reply;
        store->from = mail->from;
        PhTask_SetTimer(self, 0, PhTask_Now(self) + LATE_MS * PH_NS_PER_MS);
        return;
    }
    PhTask_Send(self, mail->from, PhStoreMessage_Wrap(&reply));
}

/* Reads the entries as an owner does. */
static void
reader_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhEntryReader *reader = state;
    PhScheduleMessage role = {.tag = PH_SCHEDULE_ROLE,
                              .as.role = PH_SCHEDULE_ROLE_OWNER};
    switch (mail->kind) {
    case PH_MAIL_START:
        PhTask_SetTimer(self, 0, START_MS * PH_NS_PER_MS);
        return;
    case PH_MAIL_TIMER:
        PhTask_SendTo(self, PH_SERVICE_FLEET, PhScheduleMessage_Wrap(&role));
        return;
    case PH_MAIL_MESSAGE:
        break;
    case PH_MAIL_STOP:
    case PH_MAIL_IO:
    case PH_MAIL_ENDED:
        return;
    }
    const PhScheduleMessage *m = mail->as.message.body;
    if (m->tag == PH_SCHEDULE_WORKER) {
        reader->known = true;
        reader->written_after = m->as.worker.written_after;
    }
    else if (m->tag == PH_SCHEDULE_WORKER_REMOVED) {
        reader->removed = true;
        reader->removal = m->as.removed_worker.removal;
    }
}

static void
entry_time_run(const PhEntryTimeCase *c)
{
    PhEntryStore store = {.c = c};
    PhEntryReader reader = {0};
    PhClock *clock = PhClock_Create(PH_CLOCK_PAUSED);
    PhCounters *counters = PhCounters_Create();
    PhKernel *kernel = PhKernel_Create(
        &(PhKernelOptions){.clock = clock, .counters = counters});
    PhScriptedTask_Spawn(kernel, PH_SERVICE_STORE, MAILBOX_CAPACITY, &store,
                         store_handle);
    assert_int_equal(PhFleetTask_Start(kernel), PH_STATUS_OK);
    PhScriptedTask_Spawn(kernel, PH_SERVICE_SCHEDULE, MAILBOX_CAPACITY,
                         &reader, reader_handle);
    PhKernel_AdvanceTo(kernel, FOLLOW_TIME);
    PhKernel_Destroy(kernel);
    PhCounters_Destroy(counters);
    PhClock_Destroy(clock);
    assert_int_equal(store.calls, REPLIES_MAX);
    assert_true(reader.known);
    assert_int_equal(reader.written_after,
                     c->sent_before == 0 ? 0
                                         : store.sent_at[c->sent_before - 1]);
    assert_int_equal(reader.removed, c->removed);
    assert_int_equal(reader.removal, c->removal);
}

/* Guards against an entry that counts as newer than it is, and against a
 * removal that counts as a deletion. */
static void
test_entry_times(void **state)
{
    (void)state;
    Ph_RUN_TABLE(entry_time_cases, entry_time_run);
}

/* Stand-in for "store" without records, which answers the first reads of the
 * entries and counts all of them. */
static void
counting_store_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhEntryStore *store = state;
    if (mail->kind != PH_MAIL_MESSAGE) {
        return;
    }
    const PhStoreMessage *m = mail->as.message.body;
    bool page = m->tag == PH_STORE_NEWEST;
    PhStr topic = page ? m->as.newest.topic : m->as.read.topic;
    bool entries = PhStr_Equal(topic, PhStr_LITERAL("servers"));
    store->calls += entries;
    if (page || (entries && store->calls <= FIRST_READS)) {
        PhStoreMessage reply =
            reply_make(store, m->id, &(PhReplyRow){.news = NEWS_NONE});
        PhTask_Send(self, mail->from, PhStoreMessage_Wrap(&reply));
    }
}

/* Stand-in for "schedule" that is a standby, and the owner just before the
 * next read of the entries is due. */
static void
role_handle(void *state, PhTask *self, const PhMail *mail)
{
    PhScheduleMessage m = {.tag = PH_SCHEDULE_ROLE,
                           .as.role = PH_SCHEDULE_ROLE_STANDBY};
    (void)state;
    if (mail->kind == PH_MAIL_START) {
        PhTask_SetTimer(self, PH_SCHEDULE_ROLE_STANDBY,
                        START_MS * PH_NS_PER_MS);
        PhTask_SetTimer(self, PH_SCHEDULE_ROLE_OWNER, NEXT_READ - 1);
    }
    else if (mail->kind == PH_MAIL_TIMER) {
        m.as.role = (PhScheduleRole)mail->as.timer;
        PhTask_SendTo(self, PH_SERVICE_FLEET, PhScheduleMessage_Wrap(&m));
    }
}

/* So many mails are handled before the next read is due. */
typedef struct PhRoleCase {
    const char *name;
    size_t mails;
} PhRoleCase;

static const PhRoleCase role_cases[] = {
    {"the role changes before the read is due", SIZE_MAX},
    {"the change is handled once the read is due", 1},
};

static void
role_run(const PhRoleCase *c)
{
    PhEntryStore store = {0};
    int unused = 0;
    PhClock *clock = PhClock_Create(PH_CLOCK_PAUSED);
    PhCounters *counters = PhCounters_Create();
    PhKernel *kernel = PhKernel_Create(
        &(PhKernelOptions){.clock = clock, .counters = counters});
    PhScriptedTask_Spawn(kernel, PH_SERVICE_STORE, MAILBOX_CAPACITY, &store,
                         counting_store_handle);
    assert_int_equal(PhFleetTask_Start(kernel), PH_STATUS_OK);
    PhScriptedTask_Spawn(kernel, PH_SERVICE_SCHEDULE, MAILBOX_CAPACITY,
                         &unused, role_handle);
    PhKernel_AdvanceTo(kernel, NEXT_READ - 2);
    PhClock_Advance(clock, 1);
    PhKernel_Drain(kernel, c->mails);
    PhClock_Advance(clock, 1);
    PhKernel_AdvanceTo(kernel, NEXT_READ);
    PhKernel_Destroy(kernel);
    PhCounters_Destroy(counters);
    PhClock_Destroy(clock);
    assert_int_equal(store.calls, FIRST_READS + 1);
}

/* Guards against two reads at a time: the second reply repeats the entries of
 * the first one, and shows them as newer than they are. */
static void
test_one_read(void **state)
{
    (void)state;
    Ph_RUN_TABLE(role_cases, role_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_entry_times),
                                       cmocka_unit_test(test_one_read)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
