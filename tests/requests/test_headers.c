#include "services/requests/entry_internal.h"
#include "tests/table.h"

/* A header beside Connection headers, and whether it goes on. */
typedef struct PhHeaderCase {
    const char *name;
    const char *header;
    const char *connection[2];
    bool passes;
} PhHeaderCase;

static const PhHeaderCase header_cases[] = {
    {"an ordinary one", "X-Request-Id", {NULL}, true},
    {"of two hops only", "transfer-encoding", {NULL}, false},
    {"the Connection header itself", "Connection", {"close"}, false},
    {"named alone", "X-Secret", {"X-Secret"}, false},
    {"named in a list, in another case",
     "X-Secret",
     {"close , x-SECRET,te"},
     false},
    {"named by the second one", "X-Secret", {"close", "X-Secret"}, false},
    {"only a part of a name", "X-Secret", {"X-Secrets, Secret"}, true},
    {"an empty list", "X-Secret", {", ,"}, true},
};

/* Asks about one header. */
static void
check_header(const PhHeaderCase *c)
{
    PhHttpHeader *headers = NULL;
    size_t count = 0;
    for (size_t i = 0; i < 2 && c->connection[i] != NULL; i++) {
        PhHttpHeader_Add(&headers, &count, PhStr_LITERAL("connection"),
                         PhStr_FromC(c->connection[i]));
    }
    assert_int_equal(
        PhCall_HeaderPasses(headers, count, PhStr_FromC(c->header)),
        c->passes);
    for (size_t i = 0; i < count; i++) {
        PhStr_Clear(&headers[i].name);
        PhStr_Clear(&headers[i].value);
    }
    g_free(headers);
}

/* Headers that go on to the next hop. */
static void
test_header(void **state)
{
    (void)state;
    Ph_RUN_TABLE(header_cases, check_header);
}

/* Runs the tests of headers. */
int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_header),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
