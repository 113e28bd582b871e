#include "peridothill/services/http.h"

#include "peridothill/services/interface.h"

static void
headers_clear(PhHttpHeader *headers, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        PhStr_Clear(&headers[i].name);
        PhStr_Clear(&headers[i].value);
    }
    g_free(headers);
}

static void
message_release(void *body)
{
    PhHttpMessage *m = body;
    switch (m->tag) {
    case PH_HTTP_SEND:
        PhStr_Clear(&m->as.send.method);
        PhStr_Clear(&m->as.send.address);
        PhStr_Clear(&m->as.send.target);
        headers_clear(m->as.send.headers, m->as.send.header_count);
        PhStr_Clear(&m->as.send.body);
        break;
    case PH_HTTP_CANCEL:
        break;
    case PH_HTTP_REPLY:
        headers_clear(m->as.reply.headers, m->as.reply.header_count);
        PhStr_Clear(&m->as.reply.body);
        break;
    }
    g_free(m);
}

PhMessage
PhHttpMessage_Wrap(const PhHttpMessage *body)
{
    return PhMessage_Copy(PH_INTERFACE_HTTP, body, sizeof(*body),
                          message_release);
}

void
PhHttpHeader_Add(PhHttpHeader **headers, size_t *count, PhStr name,
                 PhStr value)
{
    *headers = g_renew(PhHttpHeader, *headers, *count + 1);
    (*headers)[*count] =
        (PhHttpHeader){.name = PhStr_Dup(name), .value = PhStr_Dup(value)};
    (*count)++;
}

PhStr
PhHttpHeader_Find(const PhHttpHeader *headers, size_t count, PhStr name)
{
    for (size_t i = 0; i < count; i++) {
        if (PhStr_EqualNoCase(headers[i].name, name)) {
            return headers[i].value;
        }
    }
    return (PhStr){0};
}
