#include "peridothill/codec/job_record.h"
#include "peridothill/codec/json.h"
#include "peridothill/codec/worker_command.h"
#include "peridothill/decide/tasks/job_state.h"
#include "tests/table.h"

/* Encoded entries, and whether they are valid. */
typedef struct PhEntryCase {
    const char *name;
    const char *text;
    bool good;
} PhEntryCase;

#define ENTRY(RECORD) "{\"i\":\"a/1\",\"n\":7,\"r\":[" RECORD "]}"

static const PhEntryCase entry_cases[] = {
    {"job", ENTRY("[\"job\",[\"k\",\"t\",\"h\",2,1,99,50,1000,512,1,3,true]]"),
     true},
    {"cancel", ENTRY("[\"cancel\",4097]"), true},
    {"first claim", ENTRY("[\"claim\",1,-1]"), true},
    {"hold and keep", ENTRY("[\"hold\",3],[\"keep\",12]"), true},
    {"leave", ENTRY("[\"leave\",\"a/1\",6]"), true},
    {"start", ENTRY("[\"start\",1,4097,0,1,\"w1\"]"), true},
    {"end", ENTRY("[\"end\",4097,0,1,3,2000]"), true},
    {"suspect", ENTRY("[\"suspect\",\"w1\"]"), true},
    {"retire and restore",
     ENTRY("[\"retire\",1,\"w1\"],[\"restore\",1,\"w1\"]"), true},
    {"snapshot",
     ENTRY("[\"sbegin\",5,1,3,9,\"a/1\"],"
           "[\"sjob\",4097,false,false,0,0,0,"
           "[\"k\",\"t\",\"\",2,0,0,0,1,1,0,1,false]],"
           "[\"stasks\",4097,0,[[1,2,0,50,\"w1\"]]],"
           "[\"sworker\",\"w2\",4],[\"srenewer\",\"a/1\",6,9,true],"
           "[\"send\",5,1,3,9,\"a/1\"]"),
     true},
    {"not JSON", "{", false},
    {"no instance", "{\"n\":7,\"r\":[]}", false},
    {"sequence 0", "{\"i\":\"a\",\"n\":0,\"r\":[]}", false},
    {"unknown kind", ENTRY("[\"move\",1]"), false},
    {"number for a string", ENTRY("[\"suspect\",1]"), false},
    {"too few members", ENTRY("[\"start\",1,4097,0,1]"), false},
    {"unknown outcome", ENTRY("[\"end\",4097,0,1,9,0]"), false},
    {"negative index", ENTRY("[\"end\",4097,-1,1,0,0]"), false},
    {"job without tasks",
     ENTRY("[\"job\",[\"k\",\"t\",\"\",2,0,0,0,1,1,0,0,true]]"), false},
    {"snapshot without tasks", ENTRY("[\"stasks\",4097,0,[]]"), false},
};

/* Compares parsed JSON, because the encoder sorts members. */
static bool
same_json(PhStr a, PhStr b)
{
    json_t *left = NULL;
    json_t *right = NULL;
    PhResult first = PhJson_Parse(a, &left);
    PhResult second = PhJson_Parse(b, &right);
    bool same = PhResult_IsOk(&first) && PhResult_IsOk(&second) &&
                json_equal(left, right);
    json_decref(left);
    json_decref(right);
    return same;
}

/* Decodes and encodes again; valid texts must round-trip. */
static void
check_entry(const PhEntryCase *c)
{
    PhJobEntry entry = {0};
    PhResult result = PhJobEntry_Decode(PhStr_FromC(c->text), &entry);
    assert_int_equal(PhResult_IsOk(&result), c->good);
    if (!c->good) {
        return;
    }
    PhStr text = PhJobEntry_Encode(&entry);
    assert_true(same_json(text, PhStr_FromC(c->text)));
    PhStr_Clear(&text);
    PhJobEntry_Clear(&entry);
}

/* Guards against entries that change in a round trip, and against malformed
 * ones being accepted. */
static void
test_entries(void **state)
{
    (void)state;
    Ph_RUN_TABLE(entry_cases, check_entry);
}

/* Command requests, and whether they are valid. */
typedef struct PhCommandCase {
    const char *name;
    const char *path;
    const char *body;
    bool good;
} PhCommandCase;

#define HEAD "{\"boot\":5,\"epoch\":2,\"valid_until_ms\":70"
#define RUN ",\"job\":4097,\"task\":3,\"incarnation\":2"

static const PhCommandCase command_cases[] = {
    {"renew", "/tasks/renew",
     HEAD ",\"lease_until_ms\":90,\"digest\":-1,\"acked\":4}", true},
    {"start", "/tasks/start",
     HEAD RUN ",\"lease_until_ms\":90,\"cpu_milli\":1,\"memory_mb\":2,"
              "\"accelerators\":3,\"run_ms\":4,\"resume_from\":5}",
     true},
    {"stop", "/tasks/stop", HEAD RUN ",\"evict\":true}", true},
    {"checkpoint", "/tasks/checkpoint", HEAD RUN "}", true},
    {"throttle", "/tasks/throttle", HEAD RUN ",\"percent\":40}", true},
    {"unknown path", "/tasks/move", HEAD "}", false},
    {"no JSON", "/tasks/stop", "", false},
};

static void
check_command(const PhCommandCase *c)
{
    PhWorkerCommand command;
    PhResult result = PhWorkerCommand_Decode(PhStr_FromC(c->path),
                                             PhStr_FromC(c->body), &command);
    assert_int_equal(PhResult_IsOk(&result), c->good);
    if (!c->good) {
        return;
    }
    PhStr text = PhWorkerCommand_Encode(&command);
    assert_true(same_json(text, PhStr_FromC(c->body)));
    assert_true(
        PhStr_Equal(PhWorkerCommand_Path(command.kind), PhStr_FromC(c->path)));
    PhStr_Clear(&text);
}

/* Guards against commands that change in a round trip, and against malformed
 * ones being accepted. */
static void
test_commands(void **state)
{
    (void)state;
    Ph_RUN_TABLE(command_cases, check_command);
}

/* Encoded answers, and whether they are valid. */
static const PhEntryCase answer_cases[] = {
    {"nothing listed", "{\"status\":0,\"boot\":5,\"clock_ms\":8}", true},
    {"empty worker", "{\"status\":0,\"boot\":5,\"clock_ms\":8,\"running\":[]}",
     true},
    {"runs and ends",
     "{\"status\":0,\"boot\":5,\"clock_ms\":8,\"running\":[[4097,0,1]],"
     "\"ended\":[[1,4097,1,2,0,60000]]}",
     true},
    {"no boot", "{\"status\":0,\"clock_ms\":8}", false},
    {"malformed run",
     "{\"status\":0,\"boot\":5,\"clock_ms\":8,\"running\":[[4097]]}", false},
    {"unknown outcome",
     "{\"status\":0,\"boot\":5,\"clock_ms\":8,"
     "\"ended\":[[1,4097,1,2,7,0]]}",
     false},
};

static void
check_answer(const PhEntryCase *c)
{
    PhWorkerAnswer answer;
    PhResult result = PhWorkerAnswer_Decode(PhStr_FromC(c->text), &answer);
    assert_int_equal(PhResult_IsOk(&result), c->good);
    if (!c->good) {
        return;
    }
    PhStr text = PhWorkerAnswer_Encode(&answer);
    assert_true(same_json(text, PhStr_FromC(c->text)));
    PhStr_Clear(&text);
    PhWorkerAnswer_Clear(&answer);
}

/* Guards against answers that change in a round trip, and against malformed
 * ones being accepted. */
static void
test_answers(void **state)
{
    (void)state;
    Ph_RUN_TABLE(answer_cases, check_answer);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_entries),
        cmocka_unit_test(test_commands),
        cmocka_unit_test(test_answers),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
