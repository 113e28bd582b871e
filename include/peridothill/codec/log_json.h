/* The platform's log in JSON.
 * POST /streams/NAME/records {"records": [TEXT...]} answers {"first": N}.
 * GET /streams/NAME/records?from=N&limit=M answers {"first", "next", "end",
 * "records": [{"offset", "appended_ms", "body"}]}, or 410 {"first": N}. */
#ifndef PERIDOTHILL_CODEC_LOG_JSON_H
#define PERIDOTHILL_CODEC_LOG_JSON_H

#include "peridothill/services/platform_log.h"

/* Encodes the body of an append; records must be UTF-8. */
PhStr PhLogJson_EncodeAppend(const PhStr *records, size_t count);
/* Decodes the body of an append into owned records. */
PhResult PhLogJson_DecodeAppend(PhStr text, PhStr **records, size_t *count);
/* Encodes what a read answers. */
PhStr PhLogJson_EncodeRecords(const PhLogRecords *records);
/* Decodes what a read answers into owned records. */
PhResult PhLogJson_DecodeRecords(PhStr text, PhLogRecords *records);
/* Releases the records of an answer. */
void PhLogRecords_Clear(PhLogRecords *records);

#endif
