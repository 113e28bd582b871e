#include "peridothill/codec/election_entry.h"

#include "peridothill/codec/unpack.h"

enum {
    FIELD_KIND = 1,
    FIELD_HOLDER,
    FIELD_ADDRESS,
    FIELD_KEY,
    FIELD_EARLIER_MS,
    FIELD_SUCCESSOR,
    FIELD_EARLIER_LEASES_MS,
    HOLDER_BYTES_MAX = 512,
    KEY_BYTES_MAX = 64,
    EARLIER_MS_MAX = 3600 * 1000,
};

/* Rounds up, so that no order appears to be earlier than it is. */
static int64_t
ceil_ms(PhTime time)
{
    return time / PH_NS_PER_MS + (time % PH_NS_PER_MS > 0);
}

PhStr
PhElectionEntry_Encode(const PhElectionEntry *entry, PhStr key)
{
    PhBuf out = {0};
    msgpack_packer p;
    msgpack_packer_init(&p, &out, PhPack_Write);
    msgpack_pack_map(&p, (size_t)FIELD_KEY + entry->states_earlier +
                             entry->states_leases +
                             (entry->successor.len > 0));
    PhPack_U64(&p, FIELD_KIND, (uint64_t)entry->kind);
    PhPack_Bytes(&p, FIELD_HOLDER, entry->holder);
    PhPack_Bytes(&p, FIELD_ADDRESS, entry->address);
    PhPack_Bytes(&p, FIELD_KEY, key);
    if (entry->states_earlier) {
        PhPack_I64(&p, FIELD_EARLIER_MS, ceil_ms(entry->earlier));
    }
    if (entry->successor.len > 0) {
        PhPack_Bytes(&p, FIELD_SUCCESSOR, entry->successor);
    }
    if (entry->states_leases) {
        PhPack_I64(&p, FIELD_EARLIER_LEASES_MS,
                   ceil_ms(entry->earlier_leases));
    }
    return PhBuf_Take(&out);
}

void
PhElectionEntry_Clear(PhElectionEntry *entry)
{
    PhStr_Clear(&entry->holder);
    PhStr_Clear(&entry->address);
    PhStr_Clear(&entry->successor);
}

/* Returns a copy of an optional text, empty if it is missing or too long. */
static PhStr
text_copy(const msgpack_object *value, size_t max_bytes)
{
    PhStr text = {0};
    return PhUnpack_Bytes(value, max_bytes, &text) && text.len > 0
               ? PhStr_Dup(text)
               : (PhStr){0};
}

/* Reads an optional duration, which may be negative. */
static bool
duration_read(const msgpack_object *value, PhTime *duration)
{
    int64_t ms;
    if (!PhUnpack_I64(value, &ms) || ms < -EARLIER_MS_MAX ||
        ms > EARLIER_MS_MAX) {
        return false;
    }
    *duration = ms * PH_NS_PER_MS;
    return true;
}

bool
PhElectionEntry_Decode(PhStr value, PhElectionEntry *entry, PhStr *key)
{
    PhUnpack unpack;
    uint64_t kind = 0;
    PhStr holder;
    bool valid = PhUnpack_Open(&unpack, value);
    const msgpack_object *root = PhUnpack_Root(&unpack);
    valid = valid && PhUnpack_U64(PhUnpack_Field(root, FIELD_KIND), &kind) &&
            kind <= PH_ELECTION_RELEASE &&
            PhUnpack_Bytes(PhUnpack_Field(root, FIELD_HOLDER),
                           HOLDER_BYTES_MAX, &holder);
    if (valid) {
        *entry = (PhElectionEntry){
            .kind = (PhElectionEntryKind)kind,
            .holder = PhStr_Dup(holder),
            .address = text_copy(PhUnpack_Field(root, FIELD_ADDRESS),
                                 HOLDER_BYTES_MAX),
            .successor = text_copy(PhUnpack_Field(root, FIELD_SUCCESSOR),
                                   HOLDER_BYTES_MAX)};
        entry->states_earlier = duration_read(
            PhUnpack_Field(root, FIELD_EARLIER_MS), &entry->earlier);
        entry->states_leases =
            duration_read(PhUnpack_Field(root, FIELD_EARLIER_LEASES_MS),
                          &entry->earlier_leases);
        *key = text_copy(PhUnpack_Field(root, FIELD_KEY), KEY_BYTES_MAX);
    }
    PhUnpack_Close(&unpack);
    return valid;
}
