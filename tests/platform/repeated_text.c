#include "repeated_text.h"

PhStr
PhRepeatedText_Make(PhStr head, const char *repeat, size_t times, PhStr tail)
{
    PhBuf out = {0};
    PhBuf_Append(&out, head);
    for (size_t i = 0; i < times; i++) {
        PhBuf_Append(&out, PhStr_FromC(repeat));
    }
    PhBuf_Append(&out, tail);
    return PhBuf_Take(&out);
}
