/* Submissions and cancellations in progress, until they are answered.  */

#include "jobsd/job_changes.h"

#include <string.h>

#include "base/counters.h"
#include "base/histogram.h"
#include "base/log.h"
#include "jobs/append_batch.h"
#include "jobs/records.h"
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
/* Maximum number of ids of jobs with an open outcome; an outage leaves a few
   hundred.  */
#define OPEN_OUTCOMES_MAX 10000
/* A call's deadline is this long after its timeout and after the answers of
   all its callers are due, so that it is cancelled before (cancel_useless). */
#define CALL_MARGIN (100 * GP_MSEC)
/* A last read before an answer also serves the callers for whom one is due
   within this time.  */
#define LAST_READ_SPACING (100 * GP_MSEC)

static gp_counter_t accepted_count
    = GP_COUNTER ("jobs_accepted_total", "Submissions that are on the log");
static gp_counter_t refused_count = GP_COUNTER (
    "jobs_refused_total", "Submissions refused because of the store");
static gp_counter_t open_count = GP_COUNTER (
    "jobs_unknown_total", "Changes whose outcome was left open to the caller");
static gp_counter_t cancelled_count
    = GP_COUNTER ("jobs_cancelled_total", "Cancellations on the log");
static gp_counter_t overdue_count = GP_COUNTER (
    "appends_overdue_total",
    "Appends to jobs, and reads of what they wrote, not answered in time");
static gp_counter_t late_count
    = GP_COUNTER ("appends_late_total",
                  "Appends to jobs that were answered after their timeout");
static gp_counter_t found_count = GP_COUNTER (
    "jobs_read_back_total",
    "Changes answered as the feed delivered their record, not the append");
static gp_counter_t unavailable_gauge = GP_GAUGE (
    "store_unavailable", "1 while the store answers no call of this entry");

static gp_histogram_t durable_time = GP_HISTOGRAM (
    "job_durable", "From a submission or cancellation to its record");

/* A submission or cancellation until it is answered.  */
typedef struct
{
  gp_list_t link;
  gp_job_changes_t *changes;
  gp_http_exchange_t *exchange; /* NULL: the caller has disconnected */
  char key[sizeof GP_CANCEL_PREFIX + GP_JOB_ID_SIZE];
  GBytes *value;
  gp_time_t deadline;  /* when its answer has to be sent */
  gp_time_t refuse_at; /* when it is refused if no attempt was started */
  gp_time_t since;
  unsigned refusals; /* attempts that the store has refused */
  unsigned in_calls; /* slots of the appends in flight that include it, bits */
  /* By slot: number of records before it in that append.  */
  unsigned index[GP_APPEND_ATTEMPTS_MAX];
  bool outcome_unknown; /* an append that included it got no answer */
  bool last_read;       /* the topic was read shortly before the deadline */
  bool is_cancel;
  bool may_retry; /* its caller has the time to retry if it is refused */
} change_t;

static void append_waiting (gp_job_changes_t *changes);

/* Answers.  */

static unsigned
count_batches (const gp_job_changes_t *changes)
{
  size_t size = 0;

  GP_LIST_FOREACH (link, &changes->list)
  size += g_bytes_get_size (GP_CONTAINER_OF (link, change_t, link)->value);
  return (unsigned)(size / GP_APPEND_MAX_SIZE) + 1;
}

void
gp_job_changes_refuse (const gp_job_changes_t *changes,
                       gp_http_exchange_t *exchange, const char *why)
{
  const gp_append_attempts_t *attempts = &changes->attempts;
  gp_time_t now = gp_loop_now (changes->loop);
  gp_retry_after_t refusal
      = { .store_time = attempts->latency,
          .store_outage = gp_append_attempts_outage (attempts, now) };

  if (attempts->confirm)
    refusal.backlog
        = gp_append_attempts_backlog (attempts, count_batches (changes), now);
  gp_job_refuse (exchange, why, refusal);
}

static void
answer_change (const gp_job_changes_t *changes, gp_http_exchange_t *exchange,
               int status, const char *why)
{
  if (status == 200)
    gp_job_answer (exchange, 200, "{}");
  else if (status == 503)
    gp_job_changes_refuse (changes, exchange, why);
  else
    gp_job_answer_error (exchange, status, why);
}

/* Appends in flight.  */

static void
cancel_append (gp_job_changes_t *changes, unsigned slot)
{
  gp_change_append_t *append = &changes->appends[slot];

  if (append->call != NULL)
    gp_job_append_cancel (append->call);
  append->call = NULL;
  append->waiting = 0;
  gp_append_attempts_cancelled (&changes->attempts, slot);
}

/* Cancel the appends for which nobody waits.  */
static void
cancel_useless (gp_job_changes_t *changes)
{
  for (unsigned slot = 0; slot < GP_APPEND_ATTEMPTS_MAX; slot++)
    if (gp_append_attempts_is_useless (&changes->attempts, slot))
      cancel_append (changes, slot);
}

/* CHANGE does not wait for the append SLOT any more.  */
static void
leave_append (change_t *change, unsigned slot)
{
  gp_change_append_t *append = &change->changes->appends[slot];

  if ((change->in_calls & 1U << slot) == 0)
    return;
  change->in_calls &= ~(1U << slot);
  if (--append->waiting == 0)
    gp_append_attempts_settle (&change->changes->attempts, slot);
}

/* Changes.  */

static void
free_change (change_t *change)
{
  for (unsigned slot = 0; slot < GP_APPEND_ATTEMPTS_MAX; slot++)
    leave_append (change, slot);
  cancel_useless (change->changes);
  gp_list_remove (&change->link);
  g_bytes_unref (change->value);
  g_free (change);
}

/* The id of the job to which CHANGE belongs.  */
static const char *
id_of (const change_t *change)
{
  return change->is_cancel ? change->key + strlen (GP_CANCEL_PREFIX)
                           : change->key;
}

/* Returns whether the record of CHANGE may be on the log.  */
static bool
is_open (const change_t *change)
{
  return change->in_calls != 0 || change->outcome_unknown;
}

static bool
has_open (const gp_job_changes_t *changes)
{
  GP_LIST_FOREACH (link, &changes->list)
  if (is_open (GP_CONTAINER_OF (link, change_t, link)))
    return true;
  return false;
}

static void
log_answer (const char *id, bool is_cancel, int status, const char *why,
            gp_time_t after, bool outcome_unknown)
{
  gp_log (GP_LOG_INFO, is_cancel ? "cancel.answered" : "job.answered",
          GP_LOG_S ("job", id), GP_LOG_I ("status", status),
          GP_LOG_S ("why", why), GP_LOG_I ("after_ms", after / GP_MSEC),
          GP_LOG_I ("doubtful", outcome_unknown));
}

static void
end_change (change_t *change, int status, const char *why)
{
  gp_time_t now = gp_loop_now (change->changes->loop);

  log_answer (id_of (change), change->is_cancel, status, why,
              now - change->since, change->outcome_unknown);
  if (change->exchange != NULL)
    answer_change (change->changes, change->exchange, status, why);
  free_change (change);
}

static void
count_durable (const change_t *change)
{
  gp_counter_add (change->is_cancel ? &cancelled_count : &accepted_count, 1);
  gp_histogram_add (&durable_time,
                    gp_loop_now (change->changes->loop) - change->since);
}

static void
complete_change (change_t *change, uint64_t offset)
{
  gp_job_changes_t *changes = change->changes;
  gsize size;
  gp_platform_store_record_t record = { .offset = offset,
                                        .key = change->key,
                                        .key_size = strlen (change->key) };

  record.value = g_bytes_get_data (change->value, &size);
  record.value_size = size;
  count_durable (change);
  changes->on_record (&record, changes->data);
  end_change (change, 200, "on the log");
}

/* Returns whether the book has what CHANGE asks for.  */
static bool
is_in_book (const change_t *change)
{
  const gp_job_t *job = gp_book_find (change->changes->book, id_of (change));

  if (job == NULL)
    return false;
  return change->is_cancel ? job->cancelled : job->submission != NULL;
}

/* Returns the number of changes in progress for the job ID.  The record of
   each may be on the log, or be sent yet, also if its caller has disconnected.
 */
static unsigned
count_in_progress (const gp_job_changes_t *changes, const char *id)
{
  unsigned count = 0;

  GP_LIST_FOREACH (link, &changes->list)
  count += strcmp (id_of (GP_CONTAINER_OF (link, change_t, link)), id) == 0;
  return count;
}

/* Returns the status of a refusal. 503 means that the job never runs, which
   holds only if no attempt has an open outcome, for this request
   (OUTCOME_UNKNOWN), an earlier or another one of the same id; otherwise 504.
   REFUSED of the changes in progress for it, 0 or 1, are refused now.  */
static int
refusal_status (gp_job_changes_t *changes, const char *id, unsigned refused,
                bool outcome_unknown)
{
  /* A caller may try again before its first request is answered.  */
  if (changes->attempts.confirm)
    outcome_unknown
        = outcome_unknown || count_in_progress (changes, id) > refused;
  if (!outcome_unknown && !g_hash_table_contains (changes->open_outcomes, id))
    return 503;
  if (g_hash_table_size (changes->open_outcomes) >= OPEN_OUTCOMES_MAX)
    g_hash_table_remove_all (changes->open_outcomes);
  g_hash_table_add (changes->open_outcomes, g_strdup (id));
  return 504;
}

/* The record of CHANGE is on the log.  If there was only one attempt, that has
   taken effect, whether it is answered or not.  */
static void
note_append_found (const change_t *change)
{
  if (change->outcome_unknown)
    return;
  for (unsigned slot = 0; slot < GP_APPEND_ATTEMPTS_MAX; slot++)
    if (change->in_calls == 1U << slot)
      gp_job_append_found (change->changes->appends[slot].call);
}

/* The book has what CHANGE asks for, by a record that the feed has delivered
   or another change has appended.  */
static void
complete_known (change_t *change)
{
  note_append_found (change);
  gp_append_attempts_found (&change->changes->attempts);
  gp_counter_add (&found_count, 1);
  count_durable (change);
  end_change (change, 200, "read from the log");
}

/* No attempt is left: refuse a change that was certainly not made, and leave
   the outcome of others open.  */
static void
give_up (change_t *change, const char *why)
{
  int status;

  if (change->changes->attempts.confirm && is_in_book (change))
    {
      complete_known (change);
      return;
    }
  status
      = refusal_status (change->changes, id_of (change), 1, is_open (change));
  gp_counter_add (status == 503 ? &refused_count : &open_count, 1);
  end_change (change, status, why);
}

/* The time at which CHANGE is given up.  */
static gp_time_t
due_at (const change_t *change)
{
  return is_open (change) ? change->deadline : change->refuse_at;
}

/* The time at which the topic is read for CHANGE at the latest.  */
static gp_time_t
last_read_at (const change_t *change)
{
  const gp_append_attempts_t *attempts = &change->changes->attempts;

  if (!attempts->confirm || change->last_read || !is_open (change))
    return GP_TIME_NEVER;
  return gp_append_attempts_last_read_at (attempts, change->deadline);
}

/* Returns whether a read of the topic can be sent now.  */
static bool
can_read (const gp_feed_t *feed)
{
  return feed->running && feed->loaded && !feed->down;
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
    const change_t *change = GP_CONTAINER_OF (link, change_t, link);

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
apply_result (change_t *change, unsigned slot,
              const gp_platform_store_answer_t *result)
{
  leave_append (change, slot);
  switch (result->result)
    {
    case GP_PLATFORM_STORE_DONE:
      complete_change (change, result->offset + change->index[slot]);
      return;
    case GP_PLATFORM_STORE_UNKNOWN:
      change->outcome_unknown = true;
      return;
    case GP_PLATFORM_STORE_REFUSED:
    case GP_PLATFORM_STORE_CONFLICT:
    case GP_PLATFORM_STORE_EXPIRED:
      if (!is_open (change) && change->may_retry
          && ++change->refusals >= REFUSALS_MAX)
        give_up (change, result->reason);
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
    change_t *change = GP_CONTAINER_OF (link, change_t, link);

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
    change_t *change = GP_CONTAINER_OF (link, change_t, link);

    if ((change->in_calls & 1U << slot) == 0)
      continue;
    leave_append (change, slot);
    change->outcome_unknown = true;
  }
  cancel_append (changes, slot);
}

/* Returns whether CHANGE is left out of an append that has SIZE bytes so far.
   While the store answers nothing, what is open already is enough to detect
   that it does again, and the outcome of further changes is not left
   open.  */
static bool
is_held_back (const change_t *change, size_t size)
{
  return size > 0 && change->changes->unavailable && !is_open (change);
}

/* Returns whether an append that is sent now is expected to be answered in
   time for CHANGE.  */
static bool
is_in_time (const change_t *change, gp_time_t now)
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
    change_t *change = GP_CONTAINER_OF (link, change_t, link);
    gsize size;
    const uint8_t *data = g_bytes_get_data (change->value, &size);

    if (!is_open (change) && !is_in_time (change, now))
      {
        give_up (change, "the store would answer too late");
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
  cancel_useless (changes);
  note_state (changes);
}

/* Read the topic for the callers whose answer is due soon.  */
static void
read_for_due (gp_job_changes_t *changes)
{
  gp_time_t now = gp_loop_now (changes->loop);
  bool due = false;

  GP_LIST_FOREACH (link, &changes->list)
  due = due || now >= last_read_at (GP_CONTAINER_OF (link, change_t, link));
  if (!due)
    return;
  GP_LIST_FOREACH (link, &changes->list)
  {
    change_t *change = GP_CONTAINER_OF (link, change_t, link);

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
    change_t *change = GP_CONTAINER_OF (link, change_t, link);

    if (now >= due_at (change))
      give_up (change, "the store does not answer");
  }
  append_waiting (changes);
  arm (changes);
}

bool
gp_job_changes_may_have_written (const gp_job_changes_t *changes,
                                 const char *id)
{
  GP_LIST_FOREACH (link, &changes->list)
  if (strcmp (GP_CONTAINER_OF (link, change_t, link)->key, id) == 0)
    return true;
  return g_hash_table_contains (changes->open_outcomes, id);
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
    change_t *change = GP_CONTAINER_OF (link, change_t, link);

    if (gp_platform_store_record_has_key (record, change->key)
        && is_in_book (change))
      complete_known (change);
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

/* New changes.  */

static void
on_disconnected (void *data)
{
  change_t *change = data;

  change->exchange = NULL;
}

/* The store does not answer, and the append in flight shows when it does
   again: refuse a new caller at once, without an attempt.  */
static void
refuse_now (gp_job_changes_t *changes, gp_http_exchange_t *exchange,
            const char *id, bool is_cancel)
{
  int status = refusal_status (changes, id, 0, false);

  gp_counter_add (status == 503 ? &refused_count : &open_count, 1);
  log_answer (id, is_cancel, status, "the store has not answered lately", 0,
              status != 503);
  answer_change (changes, exchange, status, "the store does not answer");
}

static change_t *
change_new (gp_job_changes_t *changes, gp_http_exchange_t *exchange,
            const char *id, bool is_cancel, GBytes *value)
{
  gp_time_t now = gp_loop_now (changes->loop);
  gp_time_t caller_timeout = gp_job_caller_timeout (exchange);
  change_t *change = g_new0 (change_t, 1);

  change->changes = changes;
  change->exchange = exchange;
  change->is_cancel = is_cancel;
  change->may_retry = gp_write_request_can_retry (caller_timeout);
  change->since = now;
  change->deadline = gp_write_request_deadline (now, caller_timeout);
  change->refuse_at = gp_write_request_refuse_at (now, caller_timeout);
  g_snprintf (change->key, sizeof change->key, "%s%s",
              is_cancel ? GP_CANCEL_PREFIX : "", id);
  change->value = value;
  gp_list_push_back (&changes->list, &change->link);
  return change;
}

void
gp_job_changes_start (gp_job_changes_t *changes, gp_http_exchange_t *exchange,
                      const char *id, bool is_cancel, GBytes *value)
{
  change_t *change;

  expire (changes);
  if (gp_append_attempts_refuses (&changes->attempts)
      && gp_write_request_can_retry (gp_job_caller_timeout (exchange)))
    {
      refuse_now (changes, exchange, id, is_cancel);
      g_bytes_unref (value);
      return;
    }
  change = change_new (changes, exchange, id, is_cancel, value);
  gp_http_exchange_watch (exchange, on_disconnected, NULL, change);
  append_waiting (changes);
  arm (changes);
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
  changes->open_outcomes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  gp_timer_init (&changes->timer, loop, on_timer, changes);
  gp_counter_register (&accepted_count);
  gp_counter_register (&refused_count);
  gp_counter_register (&open_count);
  gp_counter_register (&cancelled_count);
  gp_counter_register (&overdue_count);
  gp_counter_register (&late_count);
  gp_counter_register (&found_count);
  gp_counter_register (&unavailable_gauge);
  gp_histogram_register (&durable_time);
}

void
gp_job_changes_finish (gp_job_changes_t *changes)
{
  GP_LIST_FOREACH_SAFE (link, &changes->list)
  free_change (GP_CONTAINER_OF (link, change_t, link));
  for (unsigned slot = 0; slot < GP_APPEND_ATTEMPTS_MAX; slot++)
    cancel_append (changes, slot);
  gp_timer_finish (&changes->timer);
  g_hash_table_destroy (changes->open_outcomes);
}
