/* Submissions and cancellations in progress, until they are answered; both are
   called changes here.

   A change is answered with success only when its record is in the log.  It is
   refused only if the store has reported for each attempt that nothing was
   done.  As long as the outcome of an attempt is unknown the same record is
   appended again, and when the caller's timeout expires the answer leaves the
   outcome open.  Both are safe to repeat: a second record with the same key
   changes nothing.

   When appends are sent and repeated is decided in jobs/append_attempts.h.  */

#ifndef GP_JOBSD_JOB_CHANGES_H
#define GP_JOBSD_JOB_CHANGES_H

#include "jobs/append_attempts.h"
#include "jobs/book.h"
#include "jobs/open_outcomes.h"
#include "jobsd/feed.h"
#include "jobsd/job_appender.h"
#include "platform/store.h"
#include "transport/http.h"

typedef struct gp_job_changes gp_job_changes_t;

/* An append in flight, in a slot that is used again after its end.  */
typedef struct
{
  gp_job_changes_t *changes;
  gp_job_append_t *call; /* NULL: none */
  bool shared;           /* it was sent through the leader */
  unsigned waiting;      /* changes in it that are not answered */
} gp_change_append_t;

/* Memory in the book, in bytes, that changes of one kind will take.  */
typedef struct
{
  size_t pending;    /* of those that are not answered */
  uint64_t accepted; /* of all that are, or may be, on the log */
} gp_change_load_t;

struct gp_job_changes
{
  gp_loop_t *loop;
  gp_job_appender_t *appender;
  const gp_book_t *book;
  gp_feed_t *jobs;  /* feed of the book's jobs; its age is the book's */
  gp_list_t list;   /* changes that are not answered, oldest first */
  size_t bytes;     /* held for the changes of LIST */
  size_t max_bytes; /* limit of BYTES, 0: none */
  gp_change_load_t submissions;
  gp_change_load_t cancellations; /* of jobs that were not known */
  gp_open_outcomes_t open_outcomes;
  gp_append_attempts_t attempts;
  gp_change_append_t appends[GP_APPEND_ATTEMPTS_MAX]; /* by slot of attempts */
  bool unavailable; /* the store is, as logged last */
  gp_timer_t timer; /* the next step, or the timeout of a change */
  /* A record is in the log: apply it now, without waiting for the feed.  */
  void (*on_record) (const gp_platform_store_record_t *record, void *data);
  void *data;
};

/* CONFIRM: see gp_append_attempts_t.  */
void gp_job_changes_init (
    gp_job_changes_t *changes, gp_loop_t *loop, gp_job_appender_t *appender,
    const gp_book_t *book, gp_feed_t *jobs, bool confirm,
    void (*on_record) (const gp_platform_store_record_t *record, void *data),
    void *data);
/* Hold at most MAX_BYTES for changes that are not answered, also of callers
   that have disconnected, and refuse further ones at once.  Cancellations are
   refused last.  */
void gp_job_changes_set_limit (gp_job_changes_t *changes, size_t max_bytes);
/* Drops the changes that are not answered, and cancels the appends.  */
void gp_job_changes_finish (gp_job_changes_t *changes);

/* Append a submission of the job ID with VALUE, whose job takes COST bytes,
   and answer EXCHANGE; takes ownership of VALUE.  */
void gp_job_changes_submit (gp_job_changes_t *changes,
                            gp_http_exchange_t *exchange, const char *id,
                            size_t cost, GBytes *value);
/* The same for a cancellation; COST is 0 if the job is known.  */
void gp_job_changes_cancel (gp_job_changes_t *changes,
                            gp_http_exchange_t *exchange, const char *id,
                            size_t cost);

/* Returns whether a submission of the job ID is in progress.  */
bool gp_job_changes_is_in_progress (const gp_job_changes_t *changes,
                                    const char *id);

/* Returns whether a submission of the job ID is in progress, or the outcome of
   an earlier one may be open.  */
bool gp_job_changes_may_have_written (const gp_job_changes_t *changes,
                                      const char *id);

/* Answer EXCHANGE that nothing was done; the time to retry after depends on
   the state of the store.  */
void gp_job_changes_refuse (const gp_job_changes_t *changes,
                            gp_http_exchange_t *exchange, const char *why);

/* The feed of jobs has delivered RECORD, and the book has it.  */
void gp_job_changes_delivered (gp_job_changes_t *changes,
                               const gp_platform_store_record_t *record);

/* The feed of jobs may have caught up.  */
void gp_job_changes_caught_up (gp_job_changes_t *changes);

/* The store has answered any call of this entry.  */
void gp_job_changes_answered (gp_job_changes_t *changes);

#endif
