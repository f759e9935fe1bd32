/* Group commit of records to the log.

   Records queue by priority and leave together: one batch is one append.  A
   batch leaves when its oldest record has been held long enough or its
   bytes are full, and when the batch before it is known to be on the log.
   An append that fails or whose fate is unknown is repeated with the same
   bytes until it is acknowledged or read back, so that its sequence never
   stands for two batches.

   An acknowledgement only lets the next batch leave.  What became of a
   record is known when its batch has been read back and folded.  A record
   that has not been sent may be withdrawn, or expires by its deadline, and
   is then certainly not on the log; a record that has been sent may not.

   While the log does not take or does not return batches, new records are
   refused at once: nothing is accepted on hope.

   Input and NOW in, actions out: after each call take the actions with
   gp_writer_next and call gp_writer_step again at gp_writer_deadline.  */

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
  GP_WRITER_URGENT, /* fences, adoptions, intents */
  GP_WRITER_NORMAL,
  GP_WRITER_BULK, /* parts of snapshots */
  GP_WRITER_PRIORITIES
} gp_writer_priority_t;

/* Durations in microseconds.  */
typedef struct
{
  size_t batch_bytes_max; /* below the log's bound of an append */
  uint32_t batch_records_max;
  size_t queue_bytes_max;
  uint32_t queue_records_max;
  uint32_t unread_max; /* batches acknowledged but not yet read back */
  gp_time_t hold[GP_WRITER_PRIORITIES];
  gp_time_t spacing;        /* between batches that are not full, with ... */
  uint32_t spacing_writers; /* ... so many writers or fewer; above that it
                               grows with them */
  gp_time_t urgent_spacing_max; /* for a batch with an urgent record */
  gp_time_t timeout;            /* of one append */
  gp_time_t backoff_min;
  gp_time_t backoff_max;
  gp_time_t skew_max;     /* between wall clocks */
  uint32_t failures_max;  /* of one batch: refuse new records */
  gp_time_t outage_after; /* without progress: refuse new records */
} gp_writer_limits_t;

extern const gp_writer_limits_t gp_writer_default_limits;

typedef enum
{
  GP_WRITER_QUEUED,
  GP_WRITER_UNAVAILABLE, /* the log makes no progress */
  GP_WRITER_FULL,        /* the queue is at its bound */
  GP_WRITER_TOO_LARGE,   /* does not fit a batch */
  GP_WRITER_LATE         /* the deadline has passed */
} gp_writer_result_t;

typedef enum
{
  GP_WRITER_APPEND,
  GP_WRITER_VERDICT,
  GP_WRITER_EXPIRED, /* certainly not on the log, and never will be */
  GP_WRITER_UNREAD   /* on the log and folded; its verdict was not read */
} gp_writer_action_kind_t;

typedef struct
{
  gp_writer_action_kind_t kind;
  union
  {
    struct
    {
      uint64_t sequence;
      GBytes *bytes; /* the caller's reference */
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

/* A queued or sent record; valid until its verdict, expiry or
   withdrawal.  */
typedef struct gp_writer_entry gp_writer_entry_t;

/* A batch that was sent.  */
typedef struct gp_writer_batch gp_writer_batch_t;

typedef struct
{
  gp_writer_limits_t limits;
  char *name;
  uint64_t incarnation;
  uint64_t sequence;                      /* of the last batch */
  GRand *rand;                            /* the caller's, for backoff */
  gp_list_t queues[GP_WRITER_PRIORITIES]; /* of gp_writer_entry_t */
  size_t queue_bytes;
  uint32_t queue_records;
  gp_time_t batch_at;         /* when the last batch was formed */
  gp_time_t spacing;          /* by the number of writers */
  gp_time_t expiry;           /* no queued deadline is before it */
  gp_writer_batch_t *current; /* not yet known to be on the log, or NULL */
  gp_list_t unread;           /* of gp_writer_batch_t, oldest first */
  uint32_t unread_count;
  GQueue actions; /* of gp_writer_action_t */
  /* Hybrid logical time.  */
  int64_t wall_offset; /* wall clock - NOW */
  int64_t wall_us;     /* the highest given out or seen */
  uint32_t logical;
  /* Statistics.  */
  uint64_t appends;
  uint64_t repeats;
  uint64_t bytes;
  uint64_t records;
} gp_writer_t;

/* LIMITS NULL: the default.  INCARNATION must be greater than that of any
   earlier writer of NAME.  RAND must stay valid.  */
void gp_writer_init (gp_writer_t *writer, const char *name,
                     uint64_t incarnation, const gp_writer_limits_t *limits,
                     GRand *rand);
void gp_writer_finish (gp_writer_t *writer);

/* The wall clock is NOW + OFFSET.  */
void gp_writer_set_wall (gp_writer_t *writer, int64_t offset);

/* So many processes write to the stream, this one among them: space batches
   so that all together make no more appends than spacing_writers do.  */
void gp_writer_set_writers (gp_writer_t *writer, uint32_t count);

/* Later batches are after this hybrid time of another process.  False, and
   nothing done, if it is ahead of the own clock by more than the skew that
   clocks are allowed.  */
bool gp_writer_saw (gp_writer_t *writer, int64_t wall_us, uint32_t logical,
                    gp_time_t now);

/* Queue a copy of RECORD.  TOKEN comes back with its fate.  If it has not
   been sent at DEADLINE it expires.  *ENTRY (may be NULL) is set when
   queued.  */
gp_writer_result_t gp_writer_enqueue (gp_writer_t *writer,
                                      const Gp__Record__Record *record,
                                      gp_writer_priority_t priority,
                                      uint64_t token, gp_time_t deadline,
                                      gp_time_t now,
                                      gp_writer_entry_t **entry);

/* Forget ENTRY if it was never sent.  True: certainly not on the log.
   False: it was sent, and its verdict will come.  */
bool gp_writer_withdraw (gp_writer_t *writer, gp_writer_entry_t *entry);

/* The append of SEQUENCE was acknowledged, or failed in any way.  Calls for
   appends that are settled do nothing.  */
void gp_writer_acked (gp_writer_t *writer, uint64_t sequence, gp_time_t now);
void gp_writer_failed (gp_writer_t *writer, uint64_t sequence, gp_time_t now);

/* The batch SEQUENCE was read back and folded (GP_FOLD_OWN_BATCH).  */
void gp_writer_observe (gp_writer_t *writer, uint64_t sequence,
                        const gp_fold_verdict_t *verdicts, size_t count,
                        gp_time_t now);

/* The state was rebuilt from a snapshot that holds all batches up to
   SEQUENCE: those that were not read back are GP_WRITER_UNREAD.  */
void gp_writer_skip (gp_writer_t *writer, uint64_t sequence, gp_time_t now);

/* Do what is due.  */
void gp_writer_step (gp_writer_t *writer, gp_time_t now);

/* When gp_writer_step has something to do, or GP_TIME_NEVER.  */
gp_time_t gp_writer_deadline (const gp_writer_t *writer);

/* Take the next action.  False when there is none.  */
bool gp_writer_next (gp_writer_t *writer, gp_writer_action_t *action);

/* False while the log makes no progress.  */
bool gp_writer_available (const gp_writer_t *writer, gp_time_t now);

#endif
