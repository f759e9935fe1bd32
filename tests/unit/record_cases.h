/* Records and frames as this product writes them, and as another writer
   might: for the tests of their decoders and as the first inputs of the fuzz
   target.  */

#ifndef GP_TESTS_RECORD_CASES_H
#define GP_TESTS_RECORD_CASES_H

#include <glib.h>

/* The job whose records the cases are, with steps of 3 and 2 tasks.  */
#define RECORD_CASES_JOB "00000000000000aa"

/* What a case is handed to; the fuzz target's first byte.  */
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
  const char *key; /* of a record */
  GBytes *value;   /* owned */
} record_case_t;

/* All cases, owned: record_case_t.  */
GArray *record_cases_new (void);

#endif
