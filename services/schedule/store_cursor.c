#include "peridothill/services/store.h"

PhStoreMessage
PhStoreCursor_NextCall(const PhStoreCursor *c, PhTime wait)
{
    PhStoreMessage m = {0};
    if (c->loaded) {
        m.tag = PH_STORE_READ;
        m.as.read.topic = PhStr_Dup(c->topic);
        m.as.read.from = c->next;
        m.as.read.wait = wait;
    }
    else {
        m.tag = PH_STORE_NEWEST;
        m.as.newest.topic = PhStr_Dup(c->topic);
        m.as.newest.after = PhStr_Dup(c->page_after);
    }
    return m;
}

/* Advances past a page of newest records; true after the last one.  Reading
 * continues at the end offset of the first page, so records appended since
 * then are read a second time. */
static bool
advance_page(PhStoreCursor *c, const PhStoreReply *reply)
{
    if (PhStr_IsEmpty(c->page_after)) {
        c->page_end = reply->end;
    }
    PhStr_Clear(&c->page_after);
    if (reply->more && reply->record_count > 0) {
        c->page_after = PhStr_Dup(reply->records[reply->record_count - 1].key);
        return false;
    }
    c->loaded = true;
    c->next = c->page_end;
    return true;
}

bool
PhStoreCursor_Advance(PhStoreCursor *c, const PhStoreReply *reply)
{
    if (!c->loaded) {
        return advance_page(c, reply);
    }
    if (reply->record_count > 0) {
        c->next = reply->records[reply->record_count - 1].offset + 1;
    }
    return false;
}

void
PhStoreCursor_Reset(PhStoreCursor *c)
{
    c->loaded = false;
    PhStr_Clear(&c->page_after);
}
