/* Encoding of a data centre's log entries as JSON. */
#ifndef PERIDOTHILL_CODEC_JOB_RECORD_H
#define PERIDOTHILL_CODEC_JOB_RECORD_H

#include <jansson.h>

#include "peridothill/decide/tasks/job_record.h"

/* The caller frees the text. */
PhStr PhJobEntry_Encode(const PhJobEntry *entry);
/* Decodes an entry; the caller clears it on success only. */
PhResult PhJobEntry_Decode(PhStr text, PhJobEntry *entry);
/* Maps the encoded name of a record kind to the kind. */
bool PhJobRecordKind_Parse(const char *name, PhJobRecordKind *kind);
/* Parses a job of the operators' API; the caller clears it on success only. */
PhResult PhJobSpec_FromJson(const json_t *object, PhJobSpec *spec);

#endif
