#include "peridothill/bench/soak.h"

#define DELAY_NEAR (250 * PH_NS_PER_US)
#define DUPLICATES 0.01

void
PhSoakLinks_Set(PhFakeNet *net, uint32_t centres, PhTime far, PhTime extra,
                double loss)
{
    for (uint32_t a = 0; a < centres; a++) {
        for (uint32_t b = 0; b < centres; b++) {
            PhFakeLink *link = PhFakeNet_Link(net, a, b);
            link->delay_min = a == b ? DELAY_NEAR : far;
            link->delay_extra = extra;
            link->loss = loss;
            link->duplicate = DUPLICATES;
        }
    }
}

void
PhSoakLinks_Cut(PhFakeNet *net, uint32_t centres, uint32_t centre, bool cut)
{
    for (uint32_t other = 0; other < centres; other++) {
        if (other != centre) {
            PhFakeNet_Link(net, centre, other)->cut = cut;
            PhFakeNet_Link(net, other, centre)->cut = cut;
        }
    }
}
