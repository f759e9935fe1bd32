/* Callers' requests: submit, show and cancel jobs.

   A change is answered with success only when its record is on the log.  It
   is refused only when the store has told that nothing was done, every time
   that it was asked; as long as one try went unanswered the same record is
   appended again, and at the end of the caller's patience the answer leaves
   open what came of it.  Both are safe to repeat: a record with the key of
   one that is there changes nothing.  */

#include "jobsd/jobs_front.h"

#include <string.h>

#include "base/counters.h"
#include "base/histogram.h"
#include "base/log.h"
#include "jobs/write_request.h"
#include "jobs/records.h"
#include "jobsd/job_answers.h"
#include "platform/json.h"
#include "platform/jobs_http.h"
#include "platform/refusals.h"
#include "protocol/message.h"

/* One try of an append takes so many times what the last ones took, within
   these bounds: a store that is slow is not asked again while it works, and
   an answer that was lost is not waited for long.  */
#define TRY_FACTOR 5
#define TRY_TIME_MIN (500 * GP_MSEC)
#define TRY_TIME_MAX (1200 * GP_MSEC)
/* Share of the last duration in the mean of them.  */
#define LATENCY_GAIN 0.3
#define TRY_PAUSE (50 * GP_MSEC)
/* Appends that failed in a row before callers that come are refused at once
   while the next one is on its way.  */
#define FAILURES_TO_REFUSE 2
/* Tries that the store refuses before the caller is refused, if it can come
   again: by then another way to the store has been found if there is one.  */
#define REFUSALS_MAX 4
/* Ids of jobs left open that are remembered; an outage leaves some hundred. */
#define OPEN_MAX 10000
/* Bytes of records in one append; far under the platform's bound.  */
#define BATCH_MAX ((size_t)256 * 1024)
/* How old the book may be for an answer that a job does not exist.  */
#define ABSENCE_AGE (2500 * GP_MSEC)

static gp_counter_t accepted_count
    = GP_COUNTER ("jobs_accepted_total", "Submissions that are on the log");
static gp_counter_t repeated_count = GP_COUNTER (
    "jobs_repeated_total", "Submissions of a job that is known already");
static gp_counter_t refused_count = GP_COUNTER (
    "jobs_refused_total", "Submissions refused because of the store");
static gp_counter_t open_count = GP_COUNTER (
    "jobs_unknown_total", "Changes whose fate was left open to the caller");
static gp_counter_t cancelled_count
    = GP_COUNTER ("jobs_cancelled_total", "Cancellations on the log");

static gp_counter_t unreadable_count
    = GP_COUNTER ("jobs_unreadable_total",
                  "States asked for of jobs with a record that is unreadable");

static gp_histogram_t durable_time = GP_HISTOGRAM (
    "job_durable", "From a submission or cancellation to its record");
static gp_histogram_t book_age
    = GP_HISTOGRAM ("book_age", "Age of the book when a job was shown");

/* A submission or cancellation until its answer.  */
typedef struct
{
  gp_list_t link;
  gp_jobs_front_t *front;
  gp_http_exchange_t *exchange; /* NULL: the caller has gone */
  char key[sizeof GP_CANCEL_PREFIX + GP_JOB_ID_SIZE];
  GBytes *value;
  gp_time_t deadline;  /* its answer has to leave */
  gp_time_t refuse_at; /* it is refused, if nothing was begun for it */
  gp_time_t since;
  unsigned refusals; /* tries of which nothing was done */
  bool in_call;      /* part of the append in progress */
  bool doubtful;     /* an append that it was part of went unanswered */
  bool cancels;
  bool may_return; /* its caller can come again if it is refused */
} change_t;

static void append_waiting (gp_jobs_front_t *front);

/* Answers.  */

/* Nothing was done; when to try again follows from how the store does.  */
static void
refuse (const gp_jobs_front_t *front, gp_http_exchange_t *exchange,
        const char *why)
{
  gp_retry_after_t refusal = { .store_time = front->latency };

  if (front->failing_since != 0)
    refusal.store_outage = gp_loop_now (front->loop) - front->failing_since;
  gp_job_refuse (exchange, why, refusal);
}

static void
answer_change (const gp_jobs_front_t *front, gp_http_exchange_t *exchange,
               int status, const char *why)
{
  if (status == 200)
    gp_job_answer (exchange, 200, "{}");
  else if (status == 503)
    refuse (front, exchange, why);
  else
    gp_job_answer_error (exchange, status, why);
}

/* Changes.  */

static void
free_change (change_t *change)
{
  gp_list_remove (&change->link);
  g_bytes_unref (change->value);
  g_free (change);
}

/* The id of the job that CHANGE is about.  */
static const char *
id_of (const change_t *change)
{
  return change->cancels ? change->key + strlen (GP_CANCEL_PREFIX)
                         : change->key;
}

static void
log_answer (const char *id, bool cancels, int status, const char *why,
            gp_time_t after, bool doubtful)
{
  gp_log (GP_LOG_INFO, cancels ? "cancel.answered" : "job.answered",
          GP_LOG_S ("job", id), GP_LOG_I ("status", status),
          GP_LOG_S ("why", why), GP_LOG_I ("after_ms", after / GP_MSEC),
          GP_LOG_I ("doubtful", doubtful));
}

static void
end_change (change_t *change, int status, const char *why)
{
  gp_time_t now = gp_loop_now (change->front->loop);

  log_answer (id_of (change), change->cancels, status, why,
              now - change->since, change->doubtful);
  if (change->exchange != NULL)
    answer_change (change->front, change->exchange, status, why);
  free_change (change);
}

static void
change_done (change_t *change, uint64_t offset)
{
  gp_jobs_front_t *front = change->front;
  gsize size;
  gp_platform_store_record_t record = { .offset = offset,
                                        .key = change->key,
                                        .key_size = strlen (change->key) };

  record.value = g_bytes_get_data (change->value, &size);
  record.value_size = size;
  gp_counter_add (change->cancels ? &cancelled_count : &accepted_count, 1);
  gp_histogram_add (&durable_time, gp_loop_now (front->loop) - change->since);
  front->on_record (&record, front->data);
  end_change (change, 200, "on the log");
}

/* A refusal says that the job never runs, which holds only when no try was
   left open, this time (DOUBTFUL) or before.  */
static int
refusal_status (gp_jobs_front_t *front, const char *id, bool doubtful)
{
  if (!doubtful && !g_hash_table_contains (front->open, id))
    return 503;
  if (g_hash_table_size (front->open) >= OPEN_MAX)
    g_hash_table_remove_all (front->open);
  g_hash_table_add (front->open, g_strdup (id));
  return 504;
}

/* No try is left: what has certainly not been done is refused, the rest is
   left open.  */
static void
give_up (change_t *change, const char *why)
{
  bool doubtful = change->in_call || change->doubtful;
  int status = refusal_status (change->front, id_of (change), doubtful);

  gp_counter_add (status == 503 ? &refused_count : &open_count, 1);
  end_change (change, status, why);
}

/* When CHANGE is given up.  */
static gp_time_t
due_at (const change_t *change)
{
  bool begun = change->in_call || change->doubtful;

  return begun ? change->deadline : change->refuse_at;
}

static void
arm (gp_jobs_front_t *front)
{
  gp_time_t at = front->call == NULL ? front->try_at : GP_TIME_NEVER;

  if (gp_list_empty (&front->changes))
    return;
  GP_LIST_FOREACH (link, &front->changes)
  at = MIN (at, due_at (GP_CONTAINER_OF (link, change_t, link)));
  gp_timer_arm (&front->timer, at);
}

static void
note_latency (gp_jobs_front_t *front, gp_platform_store_result_t result,
              gp_time_t duration)
{
  if (result == GP_PLATFORM_STORE_UNKNOWN)
    duration = MAX (duration, 2 * front->latency);
  front->latency
      += (gp_time_t)((double)(duration - front->latency) * LATENCY_GAIN);
}

/* What the append in progress has come to, for one of its changes.  */
static void
apply_result (change_t *change, const gp_platform_store_answer_t *result,
              uint64_t offset)
{
  change->in_call = false;
  switch (result->result)
    {
    case GP_PLATFORM_STORE_DONE:
      change_done (change, offset);
      return;
    case GP_PLATFORM_STORE_UNKNOWN:
      change->doubtful = true;
      return;
    case GP_PLATFORM_STORE_REFUSED:
    case GP_PLATFORM_STORE_CONFLICT:
    case GP_PLATFORM_STORE_FORGOTTEN:
      if (!change->doubtful && change->may_return
          && ++change->refusals >= REFUSALS_MAX)
        give_up (change, result->reason);
      return;
    }
}

static void
on_appended (const gp_platform_store_answer_t *result, void *data)
{
  gp_jobs_front_t *front = data;
  gp_time_t now = gp_loop_now (front->loop);
  uint64_t offset = result->offset;

  front->call = NULL;
  note_latency (front, result->result, now - result->sent_at);
  front->failures
      = result->result == GP_PLATFORM_STORE_DONE ? 0 : front->failures + 1;
  if (front->failures == 0)
    front->failing_since = 0;
  else if (front->failing_since == 0)
    front->failing_since = result->sent_at;
  front->try_at
      = result->result == GP_PLATFORM_STORE_DONE ? now : now + TRY_PAUSE;
  GP_LIST_FOREACH_SAFE (link, &front->changes)
  {
    change_t *change = GP_CONTAINER_OF (link, change_t, link);

    if (change->in_call)
      apply_result (change, result, offset++);
  }
  append_waiting (front);
  arm (front);
}

/* Append what waits in one call, unless one is in progress.  */
static void
append_waiting (gp_jobs_front_t *front)
{
  gp_time_t now = gp_loop_now (front->loop);
  gp_time_t patience
      = CLAMP (TRY_FACTOR * front->latency, TRY_TIME_MIN, TRY_TIME_MAX);
  /* After failures the mean says little: who can wait so long is tried.  */
  gp_time_t store_time = MIN (front->latency, TRY_TIME_MIN);
  GByteArray *batch;

  if (front->call != NULL || now < front->try_at
      || gp_list_empty (&front->changes))
    return;
  batch = g_byte_array_new ();
  GP_LIST_FOREACH_SAFE (link, &front->changes)
  {
    change_t *change = GP_CONTAINER_OF (link, change_t, link);
    gsize size;
    const uint8_t *data = g_bytes_get_data (change->value, &size);

    if (!change->doubtful
        && !gp_write_request_is_in_time (change->deadline, store_time, now))
      {
        give_up (change, "the store would answer too late");
        continue;
      }
    if (batch->len > 0 && batch->len + size > BATCH_MAX)
      break;
    gp_platform_store_batch_add (batch, change->key, data, size);
    change->in_call = true;
  }
  if (batch->len > 0)
    front->call = gp_platform_store_append (
        front->store, GP_TOPIC_JOBS, batch, GP_PLATFORM_STORE_ANYWHERE,
        now + patience, on_appended, front);
  g_byte_array_unref (batch);
}

static void
on_timer (gp_timer_t *timer, void *data)
{
  gp_jobs_front_t *front = data;
  gp_time_t now = gp_loop_now (front->loop);

  GP_LIST_FOREACH_SAFE (link, &front->changes)
  {
    change_t *change = GP_CONTAINER_OF (link, change_t, link);

    if (now >= due_at (change))
      give_up (change, "the store does not answer");
  }
  append_waiting (front);
  arm (front);
}

static void
on_gone (void *data)
{
  change_t *change = data;

  change->exchange = NULL;
}

/* The store does not answer, and what is on its way will show when it does
   again: a caller that has not been written down is told at once.  */
static void
refuse_now (gp_jobs_front_t *front, gp_http_exchange_t *exchange,
            const char *id, bool cancels)
{
  int status = refusal_status (front, id, false);

  gp_counter_add (status == 503 ? &refused_count : &open_count, 1);
  log_answer (id, cancels, status, "the store has not answered lately", 0,
              status != 503);
  answer_change (front, exchange, status, "the store does not answer");
}

/* Write a record with KEY and VALUE, which is taken over.  */
static void
start_change (gp_jobs_front_t *front, gp_http_exchange_t *exchange,
              const char *id, bool cancels, GBytes *value)
{
  gp_time_t now = gp_loop_now (front->loop);
  gp_time_t patience = gp_job_patience (exchange);
  bool may_return = gp_write_request_can_retry (patience);
  change_t *change;

  if (front->failures >= FAILURES_TO_REFUSE && front->call != NULL
      && may_return)
    {
      refuse_now (front, exchange, id, cancels);
      g_bytes_unref (value);
      return;
    }
  change = g_new0 (change_t, 1);
  change->front = front;
  change->exchange = exchange;
  change->cancels = cancels;
  change->may_return = may_return;
  change->since = now;
  change->deadline = gp_write_request_deadline (now, patience);
  change->refuse_at = gp_write_request_refuse_at (now, patience);
  g_snprintf (change->key, sizeof change->key, "%s%s",
              cancels ? GP_CANCEL_PREFIX : "", id);
  change->value = value;
  gp_list_push_back (&front->changes, &change->link);
  gp_http_exchange_watch (exchange, on_gone, NULL, change);
  append_waiting (front);
  arm (front);
}

/* Requests.  */

static void
set_policy (Gp__Jobs__Submission *submission, const gp_queue_t *queue)
{
  free (submission->queue);
  free (submission->service);
  submission->queue = strdup (queue->name);
  submission->service = strdup (queue->service);
  submission->priority = queue->priority;
  submission->max_attempts = queue->max_attempts;
  submission->stretch_percent = queue->stretch_percent;
  submission->target_ms = queue->target_ms;
  submission->accepted_wall_ms = gp_time_wall_ms ();
}

/* Log lines are bounded by queue, as callers choose a new id for each job. */
static void
refuse_malformed (gp_http_exchange_t *exchange, const gp_queue_t *queue,
                  const char *id, const GError *error)
{
  uint64_t refusals = gp_refusal_note (GP_REFUSED_JOB, queue->name, error);

  if (refusals > 0)
    gp_log (GP_LOG_WARNING, "job.malformed", GP_LOG_S ("job", id),
            GP_LOG_S ("queue", queue->name),
            GP_LOG_S ("cause", gp_json_error_kind (error)),
            GP_LOG_S ("why", error->message), GP_LOG_I ("count", refusals));
  gp_job_answer_error (exchange, 400, error->message);
}

static void
submit (gp_jobs_front_t *front, gp_http_exchange_t *exchange,
        const gp_queue_t *queue, const char *id)
{
  gp_http_text_t body = gp_http_exchange_body (exchange);
  const gp_job_t *job = gp_book_find (front->book, id);
  Gp__Jobs__Submission *submission;
  GError *error = NULL;

  if (job != NULL && job->submission != NULL)
    {
      gp_counter_add (&repeated_count, 1);
      gp_job_answer (exchange, 200, "{}");
      return;
    }
  submission = gp_platform_submission_parse (body.base, body.size, &error);
  if (submission != NULL)
    set_policy (submission, queue);
  /* The check of the readers of its record: what is accepted can be read.  */
  if (submission == NULL || !gp_job_check (submission, &error))
    {
      refuse_malformed (exchange, queue, id, error);
      g_error_free (error);
    }
  else
    start_change (front, exchange, id, false,
                  gp_message_pack (&submission->base));
  if (submission != NULL)
    gp__jobs__submission__free_unpacked (submission, NULL);
}

/* That a job does not exist can be told only from a fresh book.  */
static void
answer_absent (gp_jobs_front_t *front, gp_http_exchange_t *exchange)
{
  if (gp_feed_fresh (front->jobs, ABSENCE_AGE))
    gp_job_answer_error (exchange, 410, "no such job");
  else
    refuse (front, exchange, "the log cannot be read");
}

/* A record of the job is on the log and cannot be read.  Each state would
   claim what nobody knows: that it does not exist lets its caller submit the
   work anew under another id, an end makes him rely on it, and "queued" or
   "running" promises an end that may never come.  So the answer is that of a
   job that cannot be told now.  */
static void
answer_unreadable (const gp_jobs_front_t *front, gp_http_exchange_t *exchange)
{
  gp_counter_add (&unreadable_count, 1);
  refuse (front, exchange, "a record of the job cannot be read");
}

static void
show (gp_jobs_front_t *front, gp_http_exchange_t *exchange, const char *id)
{
  const gp_job_t *job = gp_book_find (front->book, id);
  gp_job_state_t state;
  char *body;

  if (job != NULL && !gp_job_is_readable (job))
    {
      answer_unreadable (front, exchange);
      return;
    }
  if (job == NULL || job->submission == NULL)
    {
      answer_absent (front, exchange);
      return;
    }
  gp_histogram_add (&book_age,
                    gp_loop_now (front->loop) - front->jobs->fresh_at);
  state = job->recorded;
  if (job->cancelled && !gp_job_end_is_recorded (job))
    state = GP_JOB_CANCELLED;
  body = gp_platform_state_body (gp_job_state_name (state));
  gp_job_answer (exchange, 200, body);
  g_free (body);
}

static void
cancel (gp_jobs_front_t *front, gp_http_exchange_t *exchange, const char *id)
{
  const gp_job_t *job = gp_book_find (front->book, id);

  if (job != NULL && (job->cancelled || gp_job_end_is_recorded (job)))
    {
      gp_job_answer (exchange, 200, "{}");
      return;
    }
  start_change (
      front, exchange, id, true,
      g_bytes_new_static (GP_CANCEL_VALUE, strlen (GP_CANCEL_VALUE)));
}

static void
show_queue (gp_jobs_front_t *front, gp_http_exchange_t *exchange,
            const gp_queue_t *queue)
{
  char *body;

  if (!gp_feed_fresh (front->jobs, ABSENCE_AGE))
    {
      refuse (front, exchange, "the log cannot be read");
      return;
    }
  body = gp_platform_pending_body (gp_book_pending (front->book, queue->name));
  gp_job_answer (exchange, 200, body);
  g_free (body);
}

/* The host that the caller names, without its port.  */
static gp_http_text_t
host_of (const gp_http_exchange_t *exchange)
{
  gp_http_text_t host = gp_http_exchange_header (exchange, "host");
  const char *colon
      = host.base != NULL ? memchr (host.base, ':', host.size) : NULL;

  if (colon != NULL)
    host.size = (size_t)(colon - host.base);
  return host;
}

static gp_http_text_t
path_of (const gp_http_exchange_t *exchange)
{
  gp_http_text_t path = gp_http_exchange_path (exchange);
  const char *query = memchr (path.base, '?', path.size);

  if (query != NULL)
    path.size = (size_t)(query - path.base);
  return path;
}

static void
dispatch (gp_jobs_front_t *front, gp_http_exchange_t *exchange,
          const gp_queue_t *queue, gp_http_text_t rest)
{
  gp_http_text_t method = gp_http_exchange_method (exchange);
  char id[GP_JOB_ID_SIZE + 1] = "";

  if (rest.size == 0 && gp_http_text_equal (method, "GET"))
    {
      show_queue (front, exchange, queue);
      return;
    }
  if (!gp_job_id_valid (rest.base, rest.size))
    {
      gp_job_answer_error (exchange, 404, "not the id of a job");
      return;
    }
  memcpy (id, rest.base, rest.size);
  if (gp_http_text_equal (method, "POST"))
    submit (front, exchange, queue, id);
  else if (gp_http_text_equal (method, "GET"))
    show (front, exchange, id);
  else if (gp_http_text_equal (method, "DELETE"))
    cancel (front, exchange, id);
  else
    gp_job_answer_error (exchange, 405, "no such method");
}

void
gp_jobs_front_request (gp_jobs_front_t *front, gp_http_exchange_t *exchange)
{
  gp_http_text_t host = host_of (exchange);
  gp_http_text_t path = path_of (exchange);
  const gp_queue_t *queue;
  size_t prefix_size;

  if (front->queues->version == 0)
    {
      refuse (front, exchange, "no document is known yet");
      return;
    }
  queue = host.base != NULL ? gp_queues_find (front->queues, host.base,
                                              host.size, path.base, path.size)
                            : NULL;
  if (queue == NULL)
    {
      gp_job_answer_error (exchange, 404, "no such queue");
      return;
    }
  prefix_size = strlen (queue->prefix);
  path.base += prefix_size;
  path.size -= prefix_size;
  dispatch (front, exchange, queue, path);
}

void
gp_jobs_front_init (
    gp_jobs_front_t *front, gp_loop_t *loop, gp_platform_store_t *store,
    gp_book_t *book, const gp_queues_t *queues, const gp_feed_t *jobs,
    void (*on_record) (const gp_platform_store_record_t *record, void *data),
    void *data)
{
  *front = (gp_jobs_front_t){ .loop = loop,
                              .store = store,
                              .book = book,
                              .queues = queues,
                              .jobs = jobs,
                              .on_record = on_record,
                              .data = data };
  gp_list_init (&front->changes);
  front->open = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  gp_timer_init (&front->timer, loop, on_timer, front);
  gp_counter_register (&accepted_count);
  gp_counter_register (&repeated_count);
  gp_counter_register (&refused_count);
  gp_counter_register (&open_count);
  gp_counter_register (&cancelled_count);
  gp_counter_register (&unreadable_count);
  gp_histogram_register (&durable_time);
  gp_histogram_register (&book_age);
}

void
gp_jobs_front_finish (gp_jobs_front_t *front)
{
  GP_LIST_FOREACH_SAFE (link, &front->changes)
  free_change (GP_CONTAINER_OF (link, change_t, link));
  if (front->call != NULL)
    gp_platform_store_cancel (front->call);
  gp_timer_finish (&front->timer);
  g_hash_table_destroy (front->open);
}
