/* One submission or cancellation, until it is answered.  */

#include "jobsd/job_changes_private.h"

#include <string.h>

#include "base/counters.h"
#include "base/histogram.h"
#include "base/log.h"
#include "jobs/append_batch.h"
#include "jobs/write_request.h"
#include "jobsd/job_answers.h"

/* Submissions may take this part of the limit on changes, in percent, so that
   jobs can still be cancelled beside a crowd of submissions.  */
#define SUBMISSIONS_PERCENT 75

static gp_counter_t accepted_count
    = GP_COUNTER ("jobs_accepted_total", "Submissions that are on the log");
static gp_counter_t refused_count = GP_COUNTER (
    "jobs_refused_total", "Submissions refused because of the store");
static gp_counter_t pending_full_count = GP_COUNTER (
    "changes_refused_pending_total",
    "Submissions and cancellations refused as too many wait for the log");
static gp_counter_t open_count = GP_COUNTER (
    "jobs_unknown_total", "Changes whose outcome was left open to the caller");
static gp_counter_t cancelled_count
    = GP_COUNTER ("jobs_cancelled_total", "Cancellations on the log");
static gp_counter_t found_count = GP_COUNTER (
    "jobs_read_back_total",
    "Changes answered as the feed delivered their record, not the append");

static gp_histogram_t durable_time = GP_HISTOGRAM (
    "job_durable", "From a submission or cancellation to its record");

/* Answers.  */

static unsigned
count_batches (const gp_job_changes_t *changes)
{
  return (unsigned)(changes->bytes / GP_APPEND_MAX_SIZE) + 1;
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

void
gp_job_changes_cancel_append (gp_job_changes_t *changes, unsigned slot)
{
  gp_change_append_t *append = &changes->appends[slot];

  if (append->call != NULL)
    gp_job_append_cancel (append->call);
  append->call = NULL;
  append->waiting = 0;
  gp_append_attempts_cancelled (&changes->attempts, slot);
}

void
gp_job_changes_cancel_useless (gp_job_changes_t *changes)
{
  for (unsigned slot = 0; slot < GP_APPEND_ATTEMPTS_MAX; slot++)
    if (gp_append_attempts_is_useless (&changes->attempts, slot))
      gp_job_changes_cancel_append (changes, slot);
}

void
gp_change_leave_append (gp_change_t *change, unsigned slot)
{
  gp_change_append_t *append = &change->changes->appends[slot];

  if ((change->in_calls & 1U << slot) == 0)
    return;
  change->in_calls &= ~(1U << slot);
  if (--append->waiting == 0)
    gp_append_attempts_settle (&change->changes->attempts, slot);
}

/* Changes.  */

static gp_change_load_t *
load_of (const gp_change_t *change)
{
  return change->is_cancel ? &change->changes->cancellations
                           : &change->changes->submissions;
}

/* Returns the memory of a change with a value of SIZE bytes.  */
static size_t
size_of (size_t size)
{
  return sizeof (gp_change_t) + size;
}

bool
gp_change_exceeds_limit (const gp_job_changes_t *changes, size_t size,
                         bool is_cancel)
{
  size_t limit = changes->max_bytes;

  if (limit == 0)
    return false;
  if (!is_cancel)
    limit = limit / 100 * SUBMISSIONS_PERCENT;
  if (changes->bytes + size_of (size) <= limit)
    return false;
  gp_counter_add (&pending_full_count, 1);
  return true;
}

void
gp_change_free (gp_change_t *change)
{
  for (unsigned slot = 0; slot < GP_APPEND_ATTEMPTS_MAX; slot++)
    gp_change_leave_append (change, slot);
  gp_job_changes_cancel_useless (change->changes);
  gp_list_remove (&change->link);
  change->changes->bytes -= size_of (g_bytes_get_size (change->value));
  load_of (change)->pending -= change->cost;
  g_bytes_unref (change->value);
  g_free (change);
}

/* The id of the job to which CHANGE belongs.  */
static const char *
id_of (const gp_change_t *change)
{
  return change->is_cancel ? change->key + strlen (GP_CANCEL_PREFIX)
                           : change->key;
}

bool
gp_change_is_open (const gp_change_t *change)
{
  return change->in_calls != 0 || change->outcome_unknown;
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
end_change (gp_change_t *change, int status, const char *why)
{
  gp_time_t now = gp_loop_now (change->changes->loop);

  log_answer (id_of (change), change->is_cancel, status, why,
              now - change->since, change->outcome_unknown);
  if (status != 503)
    load_of (change)->accepted += change->cost;
  if (change->exchange != NULL)
    answer_change (change->changes, change->exchange, status, why);
  gp_change_free (change);
}

static void
count_durable (const gp_change_t *change)
{
  gp_counter_add (change->is_cancel ? &cancelled_count : &accepted_count, 1);
  gp_histogram_add (&durable_time,
                    gp_loop_now (change->changes->loop) - change->since);
}

void
gp_change_complete (gp_change_t *change, uint64_t offset)
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

bool
gp_change_is_in_book (const gp_change_t *change)
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
  count += strcmp (id_of (GP_CONTAINER_OF (link, gp_change_t, link)), id) == 0;
  return count;
}

/* Returns whether an earlier answer may have left the outcome of a submission
   or cancellation of the job ID open.  */
static bool
had_open_outcome (const gp_job_changes_t *changes, const char *id)
{
  return gp_open_outcomes_may_contain (&changes->open_outcomes, id,
                                       gp_loop_now (changes->loop));
}

bool
gp_job_changes_is_in_progress (const gp_job_changes_t *changes, const char *id)
{
  GP_LIST_FOREACH (link, &changes->list)
  if (strcmp (GP_CONTAINER_OF (link, gp_change_t, link)->key, id) == 0)
    return true;
  return false;
}

bool
gp_job_changes_may_have_written (const gp_job_changes_t *changes,
                                 const char *id)
{
  return gp_job_changes_is_in_progress (changes, id)
         || had_open_outcome (changes, id);
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
  if (!outcome_unknown && !had_open_outcome (changes, id))
    return 503;
  gp_open_outcomes_add (&changes->open_outcomes, id,
                        gp_loop_now (changes->loop));
  return 504;
}

/* The record of CHANGE is on the log.  If there was only one attempt, that has
   taken effect, whether it is answered or not.  */
static void
note_append_found (const gp_change_t *change)
{
  if (change->outcome_unknown)
    return;
  for (unsigned slot = 0; slot < GP_APPEND_ATTEMPTS_MAX; slot++)
    if (change->in_calls == 1U << slot)
      gp_job_append_found (change->changes->appends[slot].call);
}

void
gp_change_complete_known (gp_change_t *change)
{
  note_append_found (change);
  gp_append_attempts_found (&change->changes->attempts);
  gp_counter_add (&found_count, 1);
  count_durable (change);
  end_change (change, 200, "read from the log");
}

void
gp_change_give_up (gp_change_t *change, const char *why)
{
  int status;

  if (change->changes->attempts.confirm && gp_change_is_in_book (change))
    {
      gp_change_complete_known (change);
      return;
    }
  status = refusal_status (change->changes, id_of (change), 1,
                           gp_change_is_open (change));
  gp_counter_add (status == 503 ? &refused_count : &open_count, 1);
  end_change (change, status, why);
}

/* New changes.  */

static void
on_disconnected (void *data)
{
  gp_change_t *change = data;

  change->exchange = NULL;
}

void
gp_job_changes_refuse_now (gp_job_changes_t *changes,
                           gp_http_exchange_t *exchange, const char *id,
                           bool is_cancel, const char *why)
{
  int status = refusal_status (changes, id, 0, false);

  gp_counter_add (status == 503 ? &refused_count : &open_count, 1);
  log_answer (id, is_cancel, status, why, 0, status != 503);
  answer_change (changes, exchange, status, why);
}

gp_change_t *
gp_change_new (gp_job_changes_t *changes, gp_http_exchange_t *exchange,
               const char *id, bool is_cancel, size_t cost, GBytes *value)
{
  gp_time_t now = gp_loop_now (changes->loop);
  gp_time_t caller_timeout = gp_job_caller_timeout (exchange);
  gp_change_t *change = g_new0 (gp_change_t, 1);

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
  change->cost = cost;
  changes->bytes += size_of (g_bytes_get_size (value));
  load_of (change)->pending += cost;
  gp_list_push_back (&changes->list, &change->link);
  gp_http_exchange_watch (exchange, on_disconnected, NULL, change);
  return change;
}

void
gp_change_register (void)
{
  gp_counter_register (&accepted_count);
  gp_counter_register (&refused_count);
  gp_counter_register (&pending_full_count);
  gp_counter_register (&open_count);
  gp_counter_register (&cancelled_count);
  gp_counter_register (&found_count);
  gp_histogram_register (&durable_time);
}
