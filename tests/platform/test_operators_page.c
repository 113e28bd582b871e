/* Pages of the operators' records, as `peridothill config check` reads them.
 * Guards against a configuration that is overlooked on a later page, and
 * against a read that never ends. */
#include "peridothill/platform/adapter.h"
#include "tests/table.h"

typedef struct PhPageCase {
    const char *name;
    const char *text;
    PhStatus status;
    const char *config; /* "" if the page has none */
    const char *next;   /* "" after the last page */
} PhPageCase;

#define ITEM(KEY, VALUE)                                                      \
    "{\"key\":\"" KEY "\",\"value\":\"" VALUE "\",\"offset\":3}"
#define PAGE(ITEMS, MORE) "{\"items\":[" ITEMS "],\"hasMore\":" MORE "}"

/* "e30=" is "{}". */
static const PhPageCase page_cases[] = {
    {"the configuration alone", PAGE(ITEM("config", "e30="), "false"),
     PH_STATUS_OK, "{}", ""},
    {"another record before it",
     PAGE(ITEM("a", "MQ==") "," ITEM("config", "e30="), "false"), PH_STATUS_OK,
     "{}", ""},
    {"the first of two pages",
     PAGE(ITEM("a", "MQ==") "," ITEM("b", "MQ=="), "true"), PH_STATUS_OK, "",
     "b"},
    {"the configuration on a second page",
     PAGE(ITEM("config", "e30=") "," ITEM("d", "MQ=="), "false"), PH_STATUS_OK,
     "{}", ""},
    {"the configuration on a page that others follow",
     PAGE(ITEM("config", "e30=") "," ITEM("d", "MQ=="), "true"), PH_STATUS_OK,
     "{}", "d"},
    {"the configuration as the last key of a page",
     PAGE(ITEM("config", "e30="), "true"), PH_STATUS_OK, "{}", "config"},
    {"no records", PAGE("", "false"), PH_STATUS_OK, "", ""},
    {"no records, and more to follow", PAGE("", "true"), PH_STATUS_INVALID, "",
     ""},
    {"a last record without a key, and more to follow",
     PAGE("{\"value\":\"MQ==\"}", "true"), PH_STATUS_INVALID, "", ""},
    {"a record without a value", PAGE("{\"key\":\"config\"}", "false"),
     PH_STATUS_OK, "", ""},
    {"no list of records", "{\"hasMore\":true}", PH_STATUS_INVALID, "", ""},
    {"records that are no list", "{\"items\":7}", PH_STATUS_INVALID, "", ""},
    {"no JSON", "{\"items\":[", PH_STATUS_INVALID, "", ""},
    {"an empty answer", "", PH_STATUS_INVALID, "", ""},
};

static void
page_run(const PhPageCase *c)
{
    PhStr config = {0};
    PhStr next = {0};
    PhResult r =
        PhWire_DecodeOperatorsPage(PhStr_FromC(c->text), &config, &next);
    assert_int_equal(r.status, c->status);
    assert_true(PhStr_Equal(config, PhStr_FromC(c->config)));
    assert_true(PhStr_Equal(next, PhStr_FromC(c->next)));
    PhStr_Clear(&config);
    PhStr_Clear(&next);
}

static void
test_pages(void **state)
{
    (void)state;
    Ph_RUN_TABLE(page_cases, page_run);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_pages)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
