/* The records that processes keep on the log, as typed values.

   The one place that decides whether a record is valid.  A record may come
   from another writer: under a key that is none of ours, with bytes that do
   not decode, or with bytes that decode by chance and mean nothing.  Each
   decoder takes the key and the bytes of a record and gives a tagged union of
   messages in which every field was checked, or an error with the place and
   the cause:

   GP_STATE_ERROR_UNKNOWN   the key is none of this topic's;
   GP_STATE_ERROR_CORRUPT   the bytes are no message;
   GP_STATE_ERROR_INVALID   a field breaks a rule; the message names it.

   What one record cannot tell alone is checked by who folds it: whether the
   tasks of a progress are tasks of its job (jobs/book.h), and whether a place
   names an executor that stands elsewhere (jobsd/leader.h).

   Pure: no log line, no counter.  */

#ifndef GP_JOBS_RECORDS_H
#define GP_JOBS_RECORDS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "jobs.pb-c.h"

/* Before a job's id in the key of its cancellation.  */
#define GP_CANCEL_PREFIX "c."
/* Its value.  */
#define GP_CANCEL_VALUE "1"
/* The key of the leader's record.  */
#define GP_LEADER_KEY "leader"
/* The key of what leaders have learned.  */
#define GP_LEARNED_KEY "learned"
/* Before the name of a VM in the key that tells its executor.  */
#define GP_PLACE_PREFIX "at."

typedef enum
{
  GP_RECORD_UNKNOWN, /* the key is none of ours */
  GP_RECORD_SUBMISSION,
  GP_RECORD_CANCELLATION,
  GP_RECORD_PROGRESS,
  GP_RECORD_PLACE,
  GP_RECORD_LEADERSHIP,
  GP_RECORD_LEARNED,
  GP_RECORD_NODE
} gp_record_kind_t;

typedef struct
{
  gp_record_kind_t kind; /* by the key, also of a record that is refused */
  char *subject;         /* owned: a job's id, the name of a VM, or the key */
  union
  {
    Gp__Jobs__Submission *submission; /* each is owned */
    Gp__Jobs__Progress *progress;
    Gp__Jobs__Place *place;
    Gp__Jobs__Leadership *leadership;
    Gp__Jobs__Learned *learned; /* without the rows that were refused */
    Gp__Jobs__Node *node;
  } u;             /* NULL where the record was refused or taken */
  GError *refused; /* owned: why the first row of a record that is taken was
                      left out, NULL: none was */
} gp_record_t;

/* Decode a record of the topic of jobs, of progress, or of nodes.  KEY is not
   terminated; the value is not empty, as that is the drop of a key.  FALSE
   sets ERROR.  RECORD is to be finished in both cases; a caller that takes a
   message over sets its place to NULL.  */
bool gp_record_parse_job (gp_record_t *record, const char *key,
                          size_t key_size, const uint8_t *value,
                          size_t value_size, GError **error);
bool gp_record_parse_progress (gp_record_t *record, const char *key,
                               size_t key_size, const uint8_t *value,
                               size_t value_size, GError **error);
bool gp_record_parse_node (gp_record_t *record, const char *key,
                           size_t key_size, const uint8_t *value,
                           size_t value_size, GError **error);
void gp_record_finish (gp_record_t *record);

/* The messages of a job without their keys; NULL sets ERROR.  */
Gp__Jobs__Submission *gp_record_submission (const uint8_t *value, size_t size,
                                            GError **error);
Gp__Jobs__Progress *gp_record_progress (const uint8_t *value, size_t size,
                                        GError **error);

/* Does PROGRESS name only the tasks of a job of TASK_COUNT, each once?  FALSE
   sets ERROR.  */
bool gp_record_progress_fits (const Gp__Jobs__Progress *progress,
                              uint32_t task_count, GError **error);

/* Leave out the rows that nobody can have learned, from a record or from a
   frame; the error of the first, or NULL.  */
void gp_record_sift_pressures (Gp__Jobs__Pressure **rows, size_t *count,
                               GError **refused);

#endif
