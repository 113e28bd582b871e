#include "peridothill/codec/msgpack_lengths.h"

/* `body_bytes` follow the header; `values` are the elements of a container,
 * two for each pair of a map. */
typedef struct PhValueHeader {
    size_t header_bytes;
    uint64_t body_bytes;
    uint64_t values;
} PhValueHeader;

/* Reads the big-endian length of `width` bytes after the type byte. */
static bool
read_length(PhStr s, size_t width, uint64_t *value)
{
    *value = 0;
    if (s.len < 1 + width) {
        return false;
    }
    for (size_t i = 1; i <= width; i++) {
        *value = (*value << 8) | (uint8_t)s.data[i];
    }
    return true;
}

/* A header with a length field.  It counts elements of `each` values or, if
 * `each` is 0, body bytes, to which `extra` is added. */
static bool
header_read_counted(PhStr s, size_t width, uint64_t extra, uint64_t each,
                    PhValueHeader *out)
{
    uint64_t count;
    if (!read_length(s, width, &count)) {
        return false;
    }
    *out = (PhValueHeader){.header_bytes = 1 + width,
                           .body_bytes = each == 0 ? count + extra : 0,
                           .values = count * each};
    return true;
}

static bool
header_read(PhStr s, PhValueHeader *out)
{
    static const uint8_t number_bytes[] = {4, 8, 1, 2, 4, 8, 1, 2, 4, 8};
    uint8_t type = (uint8_t)s.data[0];
    *out = (PhValueHeader){.header_bytes = 1};
    if (type >= 0x80 && type <= 0x8f) {
        out->values = (uint64_t)(type & 0x0f) * 2;
    }
    else if (type >= 0x90 && type <= 0x9f) {
        out->values = type & 0x0f;
    }
    else if (type >= 0xa0 && type <= 0xbf) {
        out->body_bytes = type & 0x1f;
    }
    else if (type == 0xc1) {
        return false;
    }
    else if (type >= 0xc4 && type <= 0xc6) {
        return header_read_counted(s, (size_t)1 << (type - 0xc4), 0, 0, out);
    }
    else if (type >= 0xc7 && type <= 0xc9) {
        return header_read_counted(s, (size_t)1 << (type - 0xc7), 1, 0, out);
    }
    else if (type >= 0xca && type <= 0xd3) {
        out->body_bytes = number_bytes[type - 0xca];
    }
    else if (type >= 0xd4 && type <= 0xd8) {
        out->body_bytes = 1 + (UINT64_C(1) << (type - 0xd4));
    }
    else if (type >= 0xd9 && type <= 0xdb) {
        return header_read_counted(s, (size_t)1 << (type - 0xd9), 0, 0, out);
    }
    else if (type == 0xdc || type == 0xdd) {
        return header_read_counted(s, type == 0xdc ? 2 : 4, 0, 1, out);
    }
    else if (type == 0xde || type == 0xdf) {
        return header_read_counted(s, type == 0xde ? 2 : 4, 0, 2, out);
    }
    return true;
}

/* Each value that is still expected takes at least one byte, which bounds the
 * loop by the input size. */
bool
PhMsgpack_HasValidLengths(PhStr bytes)
{
    uint64_t expected = 1;
    while (expected > 0) {
        PhValueHeader header;
        if (bytes.len < expected || !header_read(bytes, &header)) {
            return false;
        }
        if (header.body_bytes > bytes.len - header.header_bytes) {
            return false;
        }
        bytes = PhStr_Slice(bytes, header.header_bytes + header.body_bytes,
                            bytes.len);
        expected += header.values - 1;
    }
    return bytes.len == 0;
}
