/* Entries of the stream of a data centre, as JSON arrays. */
#ifndef PERIDOTHILL_CODEC_JOB_RECORD_H
#define PERIDOTHILL_CODEC_JOB_RECORD_H

#include <jansson.h>

#include "peridothill/decide/tasks/job_record.h"

/* Encodes an entry; the text is the caller's. */
PhStr PhJobEntry_Encode(const PhJobEntry *entry);
/* Decodes an entry; on failure nothing is left to clear. */
PhResult PhJobEntry_Decode(PhStr text, PhJobEntry *entry);
/* Finds a kind of records by the name that entries use. */
bool PhJobRecordKind_Parse(const char *name, PhJobRecordKind *kind);
/* Reads a job from a JSON object of the operators' interface; the strings are
 * the caller's. */
PhResult PhJobSpec_FromJson(const json_t *object, PhJobSpec *spec);

#endif
