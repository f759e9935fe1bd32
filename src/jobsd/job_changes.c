/* Submissions and cancellations in progress, until they are answered.  */

#include "jobsd/job_changes_private.h"

#include <string.h>

#include "base/counters.h"
#include "base/log.h"
#include "jobs/append_batch.h"
#include "jobs/write_request.h"
#include "jobsd/job_answers.h"

/* Upper bound of the duration of an append that is assumed to decide whether a
   change can be answered in time, as the average may be out of date.  When
   appends are confirmed, it is three quarters of the time that the caller
   waits if that is more.  */
#define STORE_TIME_MAX (500 * GP_MSEC)
/* Attempts that the store refuses before the caller is refused, if it can
   retry: by then another route to the store has been found if there is
   one.  */
#define REFUSALS_MAX 4
/* A call's deadline is this long after its timeout and after the answers of
   all its callers are due, so that it is cancelled before
   (gp_job_changes_cancel_useless).  */
#define CALL_MARGIN (100 * GP_MSEC)
/* A last read before an answer also serves the callers for whom one is due
   within this time.  */
#define LAST_READ_SPACING (100 * GP_MSEC)

static gp_counter_t overdue_count = GP_COUNTER (
    "appends_overdue_total",
    "Appends to jobs, and reads of what they wrote, not answered in time");
static gp_counter_t late_count
    = GP_COUNTER ("appends_late_total",
                  "Appends to jobs that were answered after their timeout");
static gp_counter_t unavailable_gauge = GP_GAUGE (
    "store_unavailable", "1 while the store answers no call of this entry");

static void append_waiting (gp_job_changes_t *changes);

/* Timing.  */

/* The time at which CHANGE is given up.  */
static gp_time_t
due_at (const gp_change_t *change)
{
  return gp_change_is_open (change) ? change->deadline : change->refuse_at;
}

/* The time at which the topic is read for CHANGE at the latest.  */
static gp_time_t
last_read_at (const gp_change_t *change)
{
  const gp_append_attempts_t *attempts = &change->changes->attempts;

  if (!attempts->confirm || change->last_read || !gp_change_is_open (change))
    return GP_TIME_NEVER;
  return gp_append_attempts_last_read_at (attempts, change->deadline);
}

/* Returns whether a read of the topic can be sent now.  */
static bool
can_read (const gp_feed_t *feed)
{
  return feed->running && feed->loaded && !feed->down;
}

static bool
has_open (const gp_job_changes_t *changes)
{
  GP_LIST_FOREACH (link, &changes->list)
  if (gp_change_is_open (GP_CONTAINER_OF (link, gp_change_t, link)))
    return true;
  return false;
}

static gp_attempt_step_t
next_step (const gp_job_changes_t *changes)
{
  return gp_append_attempts_next (&changes->attempts, has_open (changes),
                                  can_read (changes->jobs),
                                  gp_loop_now (changes->loop));
}

static void
arm (gp_job_changes_t *changes)
{
  gp_time_t at;

  if (gp_list_empty (&changes->list))
    return;
  at = next_step (changes).at;
  GP_LIST_FOREACH (link, &changes->list)
  {
    const gp_change_t *change = GP_CONTAINER_OF (link, gp_change_t, link);

    at = MIN (at, MIN (due_at (change), last_read_at (change)));
  }
  gp_timer_arm (&changes->timer, at);
}

/* Log and count a change of the store's state.  */
static void
note_state (gp_job_changes_t *changes)
{
  bool unavailable = changes->attempts.confirm
                     && gp_append_attempts_is_unavailable (&changes->attempts);

  if (unavailable == changes->unavailable)
    return;
  changes->unavailable = unavailable;
  gp_counter_set (&unavailable_gauge, unavailable);
  gp_log (GP_LOG_INFO, unavailable ? "store.unavailable" : "store.available",
          GP_LOG_I ("average_ms", changes->attempts.latency / GP_MSEC));
}

/* Results of appends.  */

/* Apply the result of the append SLOT to one of its changes.  */
static void
apply_result (gp_change_t *change, unsigned slot,
              const gp_platform_store_answer_t *result)
{
  gp_change_leave_append (change, slot);
  switch (result->result)
    {
    case GP_PLATFORM_STORE_DONE:
      gp_change_complete (change, result->offset + change->index[slot]);
      return;
    case GP_PLATFORM_STORE_UNKNOWN:
      change->outcome_unknown = true;
      return;
    case GP_PLATFORM_STORE_REFUSED:
    case GP_PLATFORM_STORE_CONFLICT:
    case GP_PLATFORM_STORE_EXPIRED:
      if (!gp_change_is_open (change) && change->may_retry
          && ++change->refusals >= REFUSALS_MAX)
        gp_change_give_up (change, result->reason);
      return;
    }
}

static gp_attempt_end_t
end_of (gp_platform_store_result_t result)
{
  switch (result)
    {
    case GP_PLATFORM_STORE_DONE:
      return GP_ATTEMPT_DONE;
    case GP_PLATFORM_STORE_UNKNOWN:
      return GP_ATTEMPT_LOST;
    case GP_PLATFORM_STORE_REFUSED:
    case GP_PLATFORM_STORE_CONFLICT:
    case GP_PLATFORM_STORE_EXPIRED:
      break;
    }
  return GP_ATTEMPT_REFUSED;
}

static void
on_appended (const gp_platform_store_answer_t *result, void *data)
{
  gp_change_append_t *append = data;
  gp_job_changes_t *changes = append->changes;
  unsigned slot = (unsigned)(append - changes->appends);

  append->call = NULL;
  if (changes->attempts.attempts[slot].overdue
      && result->result != GP_PLATFORM_STORE_UNKNOWN)
    gp_counter_add (&late_count, 1);
  gp_append_attempts_ended (&changes->attempts, slot, end_of (result->result),
                            gp_loop_now (changes->loop));
  GP_LIST_FOREACH_SAFE (link, &changes->list)
  {
    gp_change_t *change = GP_CONTAINER_OF (link, gp_change_t, link);

    if ((change->in_calls & 1U << slot) != 0)
      apply_result (change, slot, result);
  }
  note_state (changes);
  append_waiting (changes);
  arm (changes);
}

/* Sending.  */

/* The append SLOT is given up, with an open outcome.  */
static void
abandon_append (gp_job_changes_t *changes, unsigned slot)
{
  GP_LIST_FOREACH (link, &changes->list)
  {
    gp_change_t *change = GP_CONTAINER_OF (link, gp_change_t, link);

    if ((change->in_calls & 1U << slot) == 0)
      continue;
    gp_change_leave_append (change, slot);
    change->outcome_unknown = true;
  }
  gp_job_changes_cancel_append (changes, slot);
}

/* Returns whether CHANGE is left out of an append that has SIZE bytes so far.
   While the store answers nothing, what is open already is enough to detect
   that it does again, and the outcome of further changes is not left
   open.  */
static bool
is_held_back (const gp_change_t *change, size_t size)
{
  return size > 0 && change->changes->unavailable
         && !gp_change_is_open (change);
}

/* Returns whether an append that is sent now is expected to be answered in
   time for CHANGE.  */
static bool
is_in_time (const gp_change_t *change, gp_time_t now)
{
  const gp_append_attempts_t *attempts = &change->changes->attempts;
  gp_time_t limit = STORE_TIME_MAX;

  /* With CONFIRM, failures do not count in the average.  */
  if (attempts->confirm)
    limit = MAX (limit, (change->deadline - change->since) * 3 / 4);
  return gp_write_request_is_in_time (change->deadline,
                                      MIN (attempts->latency, limit), now);
}

/* Add the changes that wait to BATCH; returns the latest of their
   deadlines.  */
static gp_time_t
fill_batch (gp_job_changes_t *changes, unsigned slot, GByteArray *batch)
{
  gp_time_t now = gp_loop_now (changes->loop);
  gp_time_t latest = now;
  unsigned count = 0;

  GP_LIST_FOREACH_SAFE (link, &changes->list)
  {
    gp_change_t *change = GP_CONTAINER_OF (link, gp_change_t, link);
    gsize size;
    const uint8_t *data = g_bytes_get_data (change->value, &size);

    if (!gp_change_is_open (change) && !is_in_time (change, now))
      {
        gp_change_give_up (change, "the store would answer too late");
        continue;
      }
    if (is_held_back (change, batch->len))
      continue;
    if (batch->len > 0 && batch->len + size > GP_APPEND_MAX_SIZE)
      break;
    gp_platform_store_batch_add (batch, change->key, data, size);
    change->in_calls |= 1U << slot;
    change->index[slot] = count++;
    latest = MAX (latest, change->deadline);
  }
  changes->appends[slot].waiting = count;
  return latest;
}

static void
send_append (gp_job_changes_t *changes, unsigned slot)
{
  gp_append_attempts_t *attempts = &changes->attempts;
  gp_change_append_t *append = &changes->appends[slot];
  gp_time_t now = gp_loop_now (changes->loop);
  gp_time_t deadline = now + gp_append_attempts_timeout (attempts);
  GByteArray *batch = g_byte_array_new ();
  gp_time_t latest;

  abandon_append (changes, slot);
  latest = fill_batch (changes, slot, batch);
  if (attempts->confirm)
    deadline = MAX (deadline, latest) + CALL_MARGIN;
  if (batch->len > 0)
    {
      gp_time_t link_time = gp_platform_store_append_time (
          changes->appender->store, batch->len);

      append->call = gp_job_appender_append (changes->appender, batch,
                                             deadline, on_appended, append);
      append->shared = changes->appender->path == GP_APPEND_SHARED;
      gp_append_attempts_sent (attempts, slot, link_time, now);
    }
  g_byte_array_unref (batch);
}

/* Read the topic at once.  A read that hangs is repeated.  */
static void
refresh (gp_job_changes_t *changes)
{
  if (!changes->jobs->down)
    gp_feed_retry (changes->jobs);
  gp_feed_refresh (changes->jobs);
}

/* Append all waiting changes in one call, or read the topic first, if it is
   time to.  */
static void
append_waiting (gp_job_changes_t *changes)
{
  gp_attempt_step_t step;

  if (gp_list_empty (&changes->list))
    return;
  step = next_step (changes);
  switch (step.act)
    {
    case GP_ATTEMPT_WAIT:
      return;
    case GP_ATTEMPT_SEND:
      send_append (changes, step.slot);
      return;
    case GP_ATTEMPT_READ_BACK:
      gp_append_attempts_read_back (&changes->attempts,
                                    gp_loop_now (changes->loop));
      refresh (changes);
      return;
    }
}

/* The append SLOT, or a read back, got no answer in time.  A failure of the
   leader to answer says nothing about this entry's own route.  */
static void
report_overdue (gp_job_changes_t *changes, unsigned slot)
{
  const gp_append_attempts_t *attempts = &changes->attempts;
  bool is_read = slot == GP_APPEND_ATTEMPTS_MAX;

  gp_counter_add (&overdue_count, 1);
  if (is_read || !changes->appends[slot].shared)
    gp_platform_store_report_overdue (
        changes->appender->store, GP_TOPIC_JOBS,
        is_read ? attempts->read_at : attempts->attempts[slot].sent_at);
}

/* Apply the timeouts of appends and read backs.  */
static void
expire (gp_job_changes_t *changes)
{
  unsigned slot;

  if (gp_append_attempts_expire (&changes->attempts,
                                 gp_loop_now (changes->loop), &slot))
    report_overdue (changes, slot);
  gp_job_changes_cancel_useless (changes);
  note_state (changes);
}

/* Read the topic for the callers whose answer is due soon.  */
static void
read_for_due (gp_job_changes_t *changes)
{
  gp_time_t now = gp_loop_now (changes->loop);
  bool due = false;

  GP_LIST_FOREACH (link, &changes->list)
  due = due || now >= last_read_at (GP_CONTAINER_OF (link, gp_change_t, link));
  if (!due)
    return;
  GP_LIST_FOREACH (link, &changes->list)
  {
    gp_change_t *change = GP_CONTAINER_OF (link, gp_change_t, link);

    if (now + LAST_READ_SPACING >= last_read_at (change))
      change->last_read = true;
  }
  refresh (changes);
}

static void
on_timer (gp_timer_t *timer, void *data)
{
  gp_job_changes_t *changes = data;
  gp_time_t now = gp_loop_now (changes->loop);

  expire (changes);
  read_for_due (changes);
  GP_LIST_FOREACH_SAFE (link, &changes->list)
  {
    gp_change_t *change = GP_CONTAINER_OF (link, gp_change_t, link);

    if (now >= due_at (change))
      gp_change_give_up (change, "the store does not answer");
  }
  append_waiting (changes);
  arm (changes);
}

/* What the feed of jobs delivers.  */

void
gp_job_changes_delivered (gp_job_changes_t *changes,
                          const gp_platform_store_record_t *record)
{
  if (!changes->attempts.confirm)
    return;
  GP_LIST_FOREACH_SAFE (link, &changes->list)
  {
    gp_change_t *change = GP_CONTAINER_OF (link, gp_change_t, link);

    if (gp_platform_store_record_has_key (record, change->key)
        && gp_change_is_in_book (change))
      gp_change_complete_known (change);
  }
}

void
gp_job_changes_caught_up (gp_job_changes_t *changes)
{
  if (!changes->attempts.confirm)
    return;
  gp_append_attempts_seen (&changes->attempts, changes->jobs->caught_up_at,
                           gp_loop_now (changes->loop));
  note_state (changes);
  /* The read that has ended was sent before the read back was begun.  */
  if (changes->attempts.reading)
    gp_feed_refresh (changes->jobs);
  append_waiting (changes);
  arm (changes);
}

void
gp_job_changes_answered (gp_job_changes_t *changes)
{
  gp_append_attempts_answered (&changes->attempts,
                               gp_loop_now (changes->loop));
  note_state (changes);
}

/* Returns why a new change with a value of SIZE bytes is refused, or NULL.  */
static const char *
why_refused (const gp_job_changes_t *changes,
             const gp_http_exchange_t *exchange, size_t size, bool is_cancel)
{
  if (gp_change_exceeds_limit (changes, size, is_cancel))
    return "too many requests wait for the log";
  /* The append in flight shows when the store answers again.  */
  if (gp_append_attempts_refuses (&changes->attempts)
      && gp_write_request_can_retry (gp_job_caller_timeout (exchange)))
    return "the store does not answer";
  return NULL;
}

static void
start (gp_job_changes_t *changes, gp_http_exchange_t *exchange, const char *id,
       bool is_cancel, size_t cost, GBytes *value)
{
  const char *why;

  expire (changes);
  why = why_refused (changes, exchange, g_bytes_get_size (value), is_cancel);
  if (why != NULL)
    {
      gp_job_changes_refuse_now (changes, exchange, id, is_cancel, why);
      g_bytes_unref (value);
      return;
    }
  gp_change_new (changes, exchange, id, is_cancel, cost, value);
  append_waiting (changes);
  arm (changes);
}

void
gp_job_changes_submit (gp_job_changes_t *changes, gp_http_exchange_t *exchange,
                       const char *id, size_t cost, GBytes *value)
{
  start (changes, exchange, id, false, cost, value);
}

void
gp_job_changes_cancel (gp_job_changes_t *changes, gp_http_exchange_t *exchange,
                       const char *id, size_t cost)
{
  start (changes, exchange, id, true, cost,
         g_bytes_new_static (GP_CANCEL_VALUE, strlen (GP_CANCEL_VALUE)));
}

void
gp_job_changes_set_limit (gp_job_changes_t *changes, size_t max_bytes)
{
  changes->max_bytes = max_bytes;
}

void
gp_job_changes_init (
    gp_job_changes_t *changes, gp_loop_t *loop, gp_job_appender_t *appender,
    const gp_book_t *book, gp_feed_t *jobs, bool confirm,
    void (*on_record) (const gp_platform_store_record_t *record, void *data),
    void *data)
{
  *changes = (gp_job_changes_t){ .loop = loop,
                                 .appender = appender,
                                 .book = book,
                                 .jobs = jobs,
                                 .on_record = on_record,
                                 .data = data };
  gp_list_init (&changes->list);
  gp_append_attempts_init (&changes->attempts, confirm);
  for (unsigned slot = 0; slot < GP_APPEND_ATTEMPTS_MAX; slot++)
    changes->appends[slot].changes = changes;
  gp_open_outcomes_init (&changes->open_outcomes);
  gp_timer_init (&changes->timer, loop, on_timer, changes);
  gp_change_register ();
  gp_counter_register (&overdue_count);
  gp_counter_register (&late_count);
  gp_counter_register (&unavailable_gauge);
}

void
gp_job_changes_finish (gp_job_changes_t *changes)
{
  GP_LIST_FOREACH_SAFE (link, &changes->list)
  gp_change_free (GP_CONTAINER_OF (link, gp_change_t, link));
  for (unsigned slot = 0; slot < GP_APPEND_ATTEMPTS_MAX; slot++)
    gp_job_changes_cancel_append (changes, slot);
  gp_timer_finish (&changes->timer);
  gp_open_outcomes_finish (&changes->open_outcomes);
}
