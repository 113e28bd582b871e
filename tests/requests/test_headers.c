#include "services/requests/entry_internal.h"
#include "tests/table.h"

/* A header next to Connection headers, and whether it is forwarded. */
typedef struct PhHeaderCase {
    const char *name;
    const char *header;
    const char *connection[2];
    bool passes;
} PhHeaderCase;

static const PhHeaderCase header_cases[] = {
    {"end-to-end header", "X-Request-Id", {NULL}, true},
    {"hop-by-hop header", "transfer-encoding", {NULL}, false},
    {"Connection header itself", "Connection", {"close"}, false},
    {"named by Connection", "X-Secret", {"X-Secret"}, false},
    {"named in a list, in another letter case",
     "X-Secret",
     {"close , x-SECRET,te"},
     false},
    {"named by a second Connection header",
     "X-Secret",
     {"close", "X-Secret"},
     false},
    {"listed name is only a substring",
     "X-Secret",
     {"X-Secrets, Secret"},
     true},
    {"empty list", "X-Secret", {", ,"}, true},
};

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
        PhCall_ForwardsHeader(headers, count, PhStr_FromC(c->header)),
        c->passes);
    for (size_t i = 0; i < count; i++) {
        PhStr_Clear(&headers[i].name);
        PhStr_Clear(&headers[i].value);
    }
    g_free(headers);
}

/* Guards against forwarding hop-by-hop headers or dropping end-to-end ones. */
static void
test_header(void **state)
{
    (void)state;
    Ph_RUN_TABLE(header_cases, check_header);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_header),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
