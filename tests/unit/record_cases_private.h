/* Functions shared by the source files of record_cases.h.  */

#ifndef GP_TESTS_RECORD_CASES_PRIVATE_H
#define GP_TESTS_RECORD_CASES_PRIVATE_H

#include "record_cases.h"

#include <protobuf-c/protobuf-c.h>

#define RECORD_CASES_NAME_TOO_LONG 1025

/* A name of RECORD_CASES_NAME_TOO_LONG bytes.  */
extern char record_cases_long_name[RECORD_CASES_NAME_TOO_LONG + 1];

/* Add a case whose value is MESSAGE, or the SIZE BYTES.  NAME and KEY are not
   copied.  */
void record_cases_add (GArray *cases, record_case_kind_t kind,
                       const char *name, const char *key,
                       const ProtobufCMessage *message);
void record_cases_add_bytes (GArray *cases, record_case_kind_t kind,
                             const char *name, const char *key,
                             const void *bytes, size_t size);

/* Adds values that are not valid records, under a valid key.  */
void record_cases_add_foreign (GArray *cases, record_case_kind_t kind,
                               const char *key);

/* Adds the cases of frames.  */
void record_cases_add_frames (GArray *cases);

#endif
