/* What happens to open connections when a listener quiesces. */
#include <string.h>

#include "listener_rig.h"
#include "tests/table.h"

enum {
    STEPS = 100
};

/* `unread` has reached the socket but not the process when the listener
 * quiesces. */
typedef struct PhQuiesceCase {
    const char *name;
    const char *unread;
    size_t answers; /* the first one included */
} PhQuiesceCase;

#define REQUEST "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"

static const PhQuiesceCase cases[] = {
    {"idle", "", 1},
    {"a request waits", REQUEST, 2},
    {"part of a request waits", "GET /a HT", 1},
};

static void
on_request(void *context, const PhIncoming *incoming)
{
    const PhListenerRig *rig = context;
    PhListener_Answer(rig->listener, incoming->id, 200, NULL, 0,
                      PhStr_LITERAL("here"));
}

/* Counts the answers that arrive until the end of the stream, `most` at the
 * most. */
static size_t
answers_read(PhListenerRig *rig, size_t most)
{
    size_t answers = 0;
    for (int i = 0; i < STEPS && !rig->caller.closed && answers < most; i++) {
        PhListenerRig_Run(rig, 1);
        answers = 0;
        for (const char *at = rig->caller.reply; (at = strstr(at, "here"));
             at++) {
            answers++;
        }
    }
    return answers;
}

static void
check_quiesce(const PhQuiesceCase *c)
{
    PhListenerRig rig;
    PhListenerRig_Open(&rig, &(PhListenerOptions){.body_limit_bytes = 100,
                                                  .idle_timeout_s = 5,
                                                  .context = &rig,
                                                  .on_request = on_request});
    PhRawCaller_Open(&rig.caller, PhListener_Port(rig.listener));
    PhRawCaller_Send(&rig.caller, REQUEST);
    assert_int_equal(answers_read(&rig, 1), 1);
    PhRawCaller_Send(&rig.caller, c->unread);
    PhListener_Quiesce(rig.listener);
    assert_int_equal(answers_read(&rig, SIZE_MAX), c->answers);
    assert_true(rig.caller.closed);
    PhListenerRig_Close(&rig);
}

/* Guards against cutting off a request that has arrived. */
static void
test_quiesce(void **state)
{
    (void)state;
    Ph_RUN_TABLE(cases, check_quiesce);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_quiesce)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
