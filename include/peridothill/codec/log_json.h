/* JSON encoding of the platform log.
 * POST /streams/NAME/records {"records": [TEXT...]} answers {"first": N}.
 * GET /streams/NAME/records?from=N&limit=M answers {"first", "next", "end",
 * "records": [{"offset", "appended_ms", "body"}]}, or 410 {"first": N}. */
#ifndef PERIDOTHILL_CODEC_LOG_JSON_H
#define PERIDOTHILL_CODEC_LOG_JSON_H

#include "peridothill/services/platform_log.h"

/* Encodes the body of an append. Records must be UTF-8. The caller owns the
 * result. */
PhStr PhLogJson_EncodeAppend(const PhStr *records, size_t count);
/* Decodes the body of an append into records owned by the caller. */
PhResult PhLogJson_DecodeAppend(PhStr text, PhStr **records, size_t *count);
/* Encodes the response to a read. The caller owns the result. */
PhStr PhLogJson_EncodeRecords(const PhLogRecords *records);
/* Decodes the response to a read. Release with PhLogRecords_Clear(). */
PhResult PhLogJson_DecodeRecords(PhStr text, PhLogRecords *records);
void PhLogRecords_Clear(PhLogRecords *records);

#endif
