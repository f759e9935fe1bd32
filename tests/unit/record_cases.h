/* Records and frames, valid and invalid: test cases for their decoders and the
   initial corpus of the fuzz target.  */

#ifndef GP_TESTS_RECORD_CASES_H
#define GP_TESTS_RECORD_CASES_H

#include <glib.h>

/* The job to which the records belong, with steps of 3 and 2 tasks.  */
#define RECORD_CASES_JOB "00000000000000aa"

/* The decoder of a case; also the first byte of a fuzz input.  */
typedef enum
{
  RECORD_CASE_JOB,
  RECORD_CASE_PROGRESS,
  RECORD_CASE_NODE,
  RECORD_CASE_FRAME
} record_case_kind_t;

typedef struct
{
  record_case_kind_t kind;
  const char *name;
  const char *key; /* of a record; "" for a frame */
  GBytes *value;   /* owned */
} record_case_t;

/* Return all cases, as record_case_t, owned by the array.  */
GArray *record_cases_new (void);

#endif
