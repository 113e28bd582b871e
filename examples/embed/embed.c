/* Uses libperidothill without its daemon: two instances apply the same log
 * records and reach the same configuration version and digest. */
#include <peridothill/decide/config/config_ledger.h>
#include <stdio.h>

/* Builds the record of a patch that sets the share of a team. */
static PhConfigRecord *
make_record(uint64_t offset, PhStr id, PhStr value)
{
    PhConfigPatch patch = {.id = PhStr_Dup(id),
                           .author = PhStr_Dup(PhStr_LITERAL("example"))};
    PhConfigPatch_Add(&patch, PH_CONFIG_CHANGE_SET,
                      PhStr_LITERAL("teams.counter.share"), value);
    return PhConfigRecord_Create(offset, 0, &patch);
}

/* Both patches have the same base version, so the second one is rejected as a
 * conflict. */
int
main(void)
{
    PhConfigRecord *records[] = {
        make_record(0, PhStr_LITERAL("a"), PhStr_LITERAL("3")),
        make_record(1, PhStr_LITERAL("b"), PhStr_LITERAL("4")),
    };
    uint64_t digests[2];
    for (int i = 0; i < 2; i++) {
        PhConfigLedger *ledger = PhConfigLedger_Create();
        for (int r = 0; r < 2; r++) {
            const PhConfigVerdict *v =
                PhConfigLedger_Apply(ledger, records[r]);
            printf("instance=%d id=%.*s status=%s version=%d\n", i,
                   PhStr_ARG(v->id), PhStatus_Name(v->status),
                   (int)v->version);
        }
        digests[i] = PhConfigState_Digest(PhConfigLedger_State(ledger));
        PhConfigLedger_Destroy(ledger);
    }
    PhConfigRecord_Unref(records[0]);
    PhConfigRecord_Unref(records[1]);
    return digests[0] == digests[1] ? 0 : 1;
}
