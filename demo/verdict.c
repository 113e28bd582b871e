#include "peridothill/demo/verdict.h"

#include <inttypes.h>

struct PhVerdicts {
    FILE *out;
    uint64_t checked[PH_GUARANTEE_COUNT];
    uint64_t broken[PH_GUARANTEE_COUNT];
};

PhVerdicts *
PhVerdicts_Create(FILE *out)
{
    PhVerdicts *v = g_new0(PhVerdicts, 1);
    v->out = out;
    return v;
}

void
PhVerdicts_Destroy(PhVerdicts *verdicts)
{
    g_free(verdicts);
}

void
PhVerdicts_Check(PhVerdicts *v, PhInvariant guarantee, bool held, PhStr detail)
{
    v->checked[guarantee]++;
    if (held) {
        return;
    }
    v->broken[guarantee]++;
    fprintf(v->out, "broken: %s: %.*s\n", PhInvariant_Label(guarantee),
            PhStr_ARG(detail));
}

/* A guarantee without a check by an outside observer is unproved, however
 * often the program checked it internally. */
bool
PhVerdicts_Print(const PhVerdicts *v, FILE *out)
{
    bool all = true;
    for (int i = 0; i < PH_GUARANTEE_COUNT; i++) {
        const char *verdict = "held";
        if (v->broken[i] > 0) {
            verdict = "broken";
        }
        else if (v->checked[i] == 0) {
            verdict = "unproved";
        }
        all = all && v->broken[i] == 0 && v->checked[i] > 0;
        fprintf(out, "promise=%s verdict=%s checked=%" PRIu64 "\n",
                PhInvariant_Label((PhInvariant)i), verdict,
                v->checked[i] + PhInvariant_Checks((PhInvariant)i));
    }
    return all;
}
