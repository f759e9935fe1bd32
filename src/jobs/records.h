/* Typed values of the records that processes keep in the log.

   The one place that decides whether a record is valid.  A record may come
   from another writer: it may have an unknown key, bytes that do not decode,
   or bytes that decode by chance and are meaningless.  Each decoder takes the
   key and the bytes of a record and returns a tagged union of messages in
   which every field was checked, or an error with the place and the cause:

   GP_STATE_ERROR_UNKNOWN   the key does not belong to this topic;
   GP_STATE_ERROR_CORRUPT   the bytes are not a message;
   GP_STATE_ERROR_INVALID   a field breaks a rule; the message names it.

   What cannot be checked from one record alone is checked by whoever applies
   it: whether the tasks of a progress belong to its job (jobs/book.h), and
   whether a place names an executor that is known to be elsewhere
   (jobsd/leader.h).

   Pure: no log line, no counter.  */

#ifndef GP_JOBS_RECORDS_H
#define GP_JOBS_RECORDS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "jobs.pb-c.h"

/* Prefix of a job's id in the key of its cancellation.  */
#define GP_CANCEL_PREFIX "c."
/* The value of a cancellation.  */
#define GP_CANCEL_VALUE "1"
/* The key of the leader's record.  */
#define GP_LEADER_KEY "leader"
/* The key of the models that leaders have learned.  */
#define GP_LEARNED_KEY "learned"
/* The key of the leader's record of the room for new work.  */
#define GP_ROOM_KEY "room"
/* Prefix of a VM's name in the key that gives its executor.  */
#define GP_PLACE_PREFIX "at."
/* Capacities of an entry beyond these, 10,000 cores and a terabit per second,
   are errors.  */
#define GP_NODE_CPU_MILLI_MAX 10000000
#define GP_NODE_LINK_KBPS_MAX 1000000000

typedef enum
{
  GP_RECORD_UNKNOWN, /* the key does not belong to the topic */
  GP_RECORD_SUBMISSION,
  GP_RECORD_CANCELLATION,
  GP_RECORD_PROGRESS,
  GP_RECORD_PLACE,
  GP_RECORD_LEADERSHIP,
  GP_RECORD_LEARNED,
  GP_RECORD_ROOM,
  GP_RECORD_NODE
} gp_record_kind_t;

typedef struct
{
  gp_record_kind_t kind; /* from the key, also for a refused record */
  char *subject;         /* owned: a job's id, the name of a VM, or the key */
  union
  {
    Gp__Jobs__Submission *submission; /* each is owned */
    Gp__Jobs__Progress *progress;
    Gp__Jobs__Place *place;
    Gp__Jobs__Leadership *leadership;
    Gp__Jobs__Learned *learned; /* without the rows that were refused */
    Gp__Jobs__Room *room;
    Gp__Jobs__Node *node;
  } u; /* NULL if the record was refused or the message taken over */
  GError *refused; /* owned: why the first invalid row of an accepted record
                      was removed, NULL: none was */
} gp_record_t;

/* Decode a record of the topic of jobs, of progress, or of nodes.  KEY is not
   terminated.  The value is not empty, because an empty value drops a key.
   FALSE sets ERROR.  Call gp_record_finish on RECORD in both cases; a caller
   that takes over a message sets its pointer to NULL.  */
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

/* Decode the messages of a job without their keys; NULL sets ERROR.  */
Gp__Jobs__Submission *gp_record_submission (const uint8_t *value, size_t size,
                                            GError **error);
Gp__Jobs__Progress *gp_record_progress (const uint8_t *value, size_t size,
                                        GError **error);

/* Returns whether PROGRESS, as decoded, names only tasks of a job with
   TASK_COUNT tasks.  FALSE sets ERROR.  Decoding has checked that each is
   named once.  */
bool gp_record_progress_fits (const Gp__Jobs__Progress *progress,
                              uint32_t task_count, GError **error);

/* Removes the rows with values that cannot have been learned, from a record or
   a frame.  If *REFUSED is NULL, it is set to the error of the first one
   removed.  */
void gp_record_filter_pressures (Gp__Jobs__Pressure **rows, size_t *count,
                                 GError **refused);

#endif
