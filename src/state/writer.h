/* Group commit of records to the log.

   Records are queued by priority and sent in batches; one batch is one
   append.  A batch is sent when its oldest record has waited long enough or
   the batch is full, and the batch before it is known to be in the log.  An
   append that fails, or whose outcome is unknown, is repeated with the same
   bytes until it is acknowledged or read back, so that a sequence never
   identifies two different batches.

   An acknowledgement only allows the next batch to be sent.  The verdict on a
   record is known when its batch has been read back and folded.  A record
   that has not been sent can be withdrawn or expire at its deadline, and is
   then guaranteed not to be in the log.  A record that has been sent cannot.

   While the log does not accept batches or does not return them, new records
   are refused immediately instead of being queued for an uncertain time.

   The writer does no I/O and reads no clock: each call is given the time NOW
   and produces actions.  After each call the caller takes the actions with
   gp_writer_next_action.  It calls gp_writer_step again at the time that
   gp_writer_deadline returns.  */

#ifndef GP_STATE_WRITER_H
#define GP_STATE_WRITER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"
#include "base/time.h"
#include "records.pb-c.h"
#include "state/fold.h"

typedef enum
{
  GP_WRITER_URGENT, /* fences, adoptions and intents */
  GP_WRITER_NORMAL,
  GP_WRITER_BULK, /* parts of snapshots */
  GP_WRITER_PRIORITIES
} gp_writer_priority_t;

/* Durations in microseconds.  */
typedef struct
{
  size_t batch_bytes_max; /* less than the log's limit for an append */
  uint32_t batch_records_max;
  size_t queue_bytes_max;
  uint32_t queue_records_max;
  uint32_t unread_max; /* batches acknowledged but not read back */
  gp_time_t
      linger[GP_WRITER_PRIORITIES]; /* maximum wait of a record for others */
  gp_time_t spacing;            /* minimum between batches that are not full */
  uint32_t spacing_writers;     /* with more active writers than this SPACING
                                   grows in proportion to their number */
  gp_time_t urgent_spacing_max; /* for batches with an urgent record */
  gp_time_t timeout;            /* of one append */
  gp_time_t backoff_min;
  gp_time_t backoff_max;
  gp_time_t skew_max;     /* allowed difference between wall clocks */
  uint32_t failures_max;  /* failed appends of a batch before new records are
                             refused */
  gp_time_t outage_after; /* time without progress before new records are
                             refused */
} gp_writer_limits_t;

extern const gp_writer_limits_t gp_writer_default_limits;

typedef enum
{
  GP_WRITER_QUEUED,
  GP_WRITER_UNAVAILABLE,    /* the log makes no progress */
  GP_WRITER_FULL,           /* the queue is at its limit */
  GP_WRITER_TOO_LARGE,      /* does not fit into a batch */
  GP_WRITER_DEADLINE_PASSED /* DEADLINE is not after NOW */
} gp_writer_result_t;

typedef enum
{
  GP_WRITER_APPEND,
  GP_WRITER_VERDICT,
  GP_WRITER_EXPIRED, /* not in the log, and never will be */
  GP_WRITER_UNREAD   /* in the log and folded, but its verdict is not known */
} gp_writer_action_kind_t;

typedef struct
{
  gp_writer_action_kind_t kind;
  union
  {
    struct
    {
      uint64_t sequence;
      GBytes *bytes; /* reference owned by the caller */
    } append;
    struct
    {
      uint64_t token;
      gp_fold_verdict_t verdict;
    } verdict;
    struct
    {
      uint64_t token;
    } expired;
    struct
    {
      uint64_t token;
    } unread;
  } u;
} gp_writer_action_t;

/* A queued or sent record.  Valid until its verdict, expiry or withdrawal.  */
typedef struct gp_writer_entry gp_writer_entry_t;

/* A batch that was sent.  */
typedef struct gp_writer_batch gp_writer_batch_t;

typedef struct
{
  gp_writer_limits_t limits;
  char *name;
  uint64_t incarnation;
  uint64_t sequence; /* of the last batch */
  GRand *rand;       /* owned by the caller, for backoff */
  gp_list_t queues[GP_WRITER_PRIORITIES]; /* of gp_writer_entry_t */
  size_t queue_bytes;
  uint32_t queue_records;
  gp_time_t last_batch_at;    /* when the last batch was formed */
  gp_time_t spacing;          /* adjusted to the number of writers */
  gp_time_t next_expiry;      /* lower bound of the deadlines in the queues */
  gp_writer_batch_t *current; /* not known to be in the log yet, or NULL */
  gp_list_t unread;           /* of gp_writer_batch_t, oldest first */
  uint32_t unread_count;
  GQueue actions; /* of gp_writer_action_t */
  /* Hybrid logical time.  */
  int64_t wall_offset; /* wall clock minus NOW */
  int64_t wall_us;     /* the highest used or received */
  uint32_t logical;
  /* Statistics.  */
  uint64_t appends;
  uint64_t repeats;
  uint64_t bytes;
  uint64_t records;
} gp_writer_t;

/* LIMITS may be NULL for the defaults.  INCARNATION must be greater than that
   of any earlier writer of NAME.  RAND must stay valid.  */
void gp_writer_init (gp_writer_t *writer, const char *name,
                     uint64_t incarnation, const gp_writer_limits_t *limits,
                     GRand *rand);
void gp_writer_finish (gp_writer_t *writer);

/* Set the wall clock to NOW + OFFSET.  */
void gp_writer_set_wall_offset (gp_writer_t *writer, int64_t offset);

/* Set the number of active writers of the stream, including this one.
   Batches are spaced so that all writers together make no more appends than
   spacing_writers would.  */
void gp_writer_set_writers (gp_writer_t *writer, uint32_t count);

/* Merge the hybrid logical time of another process, so that later batches have
   a greater one.  Returns false, with nothing changed, if it is ahead of the
   own clock by more than skew_max.  */
bool gp_writer_merge_time (gp_writer_t *writer, int64_t wall_us,
                           uint32_t logical, gp_time_t now);

/* Queue a copy of RECORD.  The action that reports its outcome carries TOKEN.
   The record expires if it has not been sent by DEADLINE.  If ENTRY is not
   NULL, *ENTRY is set when the record is queued.  */
gp_writer_result_t gp_writer_enqueue (gp_writer_t *writer,
                                      const Gp__Record__Record *record,
                                      gp_writer_priority_t priority,
                                      uint64_t token, gp_time_t deadline,
                                      gp_time_t now,
                                      gp_writer_entry_t **entry);

/* Remove ENTRY if it has not been sent.  Returns true if it was removed and so
   is not in the log, false if it was sent and its verdict will follow.  */
bool gp_writer_withdraw (gp_writer_t *writer, gp_writer_entry_t *entry);

/* To be called when the append of SEQUENCE was acknowledged or has failed in
   any way.  Calls for appends already known to be in the log are ignored.  */
void gp_writer_acked (gp_writer_t *writer, uint64_t sequence, gp_time_t now);
void gp_writer_failed (gp_writer_t *writer, uint64_t sequence, gp_time_t now);

/* To be called when the batch SEQUENCE was read back and folded
   (GP_FOLD_OWN_BATCH).  */
void gp_writer_observe (gp_writer_t *writer, uint64_t sequence,
                        const gp_fold_verdict_t *verdicts, size_t count,
                        gp_time_t now);

/* To be called when the state was rebuilt from a snapshot that includes all
   batches up to SEQUENCE.  The records of those that were not read back are
   reported as GP_WRITER_UNREAD.  */
void gp_writer_skip (gp_writer_t *writer, uint64_t sequence, gp_time_t now);

/* Perform the work that is due at NOW.  */
void gp_writer_step (gp_writer_t *writer, gp_time_t now);

/* Return the time of the next gp_writer_step, or GP_TIME_NEVER.  */
gp_time_t gp_writer_deadline (const gp_writer_t *writer);

/* Remove the next action from the queue.  Returns false if there is none.  */
bool gp_writer_next_action (gp_writer_t *writer, gp_writer_action_t *action);

/* Return false while the log makes no progress.  */
bool gp_writer_available (const gp_writer_t *writer, gp_time_t now);

#endif
