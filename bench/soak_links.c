#include "peridothill/bench/soak.h"

#define LOCAL_DELAY_NS (250 * PH_NS_PER_US)
#define DUPLICATE_RATE 0.01

void
PhSoakLinks_Set(PhFakeNet *net, uint32_t centres, PhTime far, PhTime extra,
                double loss)
{
    for (uint32_t a = 0; a < centres; a++) {
        for (uint32_t b = 0; b < centres; b++) {
            PhFakeLink *link = PhFakeNet_Link(net, a, b);
            link->delay_min = a == b ? LOCAL_DELAY_NS : far;
            link->delay_extra = extra;
            link->loss = loss;
            link->duplicate = DUPLICATE_RATE;
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
