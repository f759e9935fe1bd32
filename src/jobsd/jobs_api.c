/* The HTTP API for callers: submit, show and cancel jobs.

   A change is answered with success only when its record is in the log.  It is
   refused only if the store has reported for each attempt that nothing was
   done.  As long as the outcome of an attempt is unknown the same record is
   appended again, and when the caller's timeout expires the answer leaves the
   outcome open.  Both are safe to repeat: a second record with the same key
   changes nothing.  */

#include "jobsd/jobs_api.h"

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

/* Timeout of one attempt to append, as a multiple of the average duration of
   appends, within these bounds: a slow store does not get the next attempt
   while it still processes one, and an answer that was lost is not waited for
   long.  */
#define ATTEMPT_TIMEOUT_FACTOR 5
#define ATTEMPT_TIMEOUT_MIN (500 * GP_MSEC)
#define ATTEMPT_TIMEOUT_MAX (1200 * GP_MSEC)
/* Weight of the last duration in the moving average.  */
#define LATENCY_GAIN 0.3
#define ATTEMPT_DELAY (50 * GP_MSEC)
/* Consecutive failed appends after which new callers are refused at once while
   the next append is in flight.  */
#define FAILURES_TO_REFUSE 2
/* Attempts that the store refuses before the caller is refused, if it can
   retry: by then another route to the store has been found if there is
   one.  */
#define REFUSALS_MAX 4
/* Limit of ids of jobs with an open outcome; an outage leaves a few
   hundred.  */
#define OPEN_OUTCOMES_MAX 10000
/* Limit of bytes of records in one append; far below the platform's limit.  */
#define BATCH_MAX ((size_t)256 * 1024)
/* Maximum age of the book for the answer that a job does not exist.  */
#define ABSENCE_AGE_MAX (2500 * GP_MSEC)

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

/* A submission or cancellation until it is answered.  */
typedef struct
{
  gp_list_t link;
  gp_jobs_api_t *api;
  gp_http_exchange_t *exchange; /* NULL: the caller has disconnected */
  char key[sizeof GP_CANCEL_PREFIX + GP_JOB_ID_SIZE];
  GBytes *value;
  gp_time_t deadline;  /* when its answer has to be sent */
  gp_time_t refuse_at; /* when it is refused if no attempt was started */
  gp_time_t since;
  unsigned refusals;    /* attempts that the store has refused */
  bool in_call;         /* part of the append in progress */
  bool outcome_unknown; /* an append that included it got no answer */
  bool is_cancel;
  bool may_retry; /* its caller has the time to retry if it is refused */
} change_t;

static void append_waiting (gp_jobs_api_t *api);

/* Answers.  */

/* Answer that nothing was done; the time to retry after depends on the state
   of the store.  */
static void
refuse (const gp_jobs_api_t *api, gp_http_exchange_t *exchange,
        const char *why)
{
  gp_retry_after_t refusal = { .store_time = api->latency };

  if (api->failing_since != 0)
    refusal.store_outage = gp_loop_now (api->loop) - api->failing_since;
  gp_job_refuse (exchange, why, refusal);
}

static void
answer_change (const gp_jobs_api_t *api, gp_http_exchange_t *exchange,
               int status, const char *why)
{
  if (status == 200)
    gp_job_answer (exchange, 200, "{}");
  else if (status == 503)
    refuse (api, exchange, why);
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

/* The id of the job to which CHANGE belongs.  */
static const char *
id_of (const change_t *change)
{
  return change->is_cancel ? change->key + strlen (GP_CANCEL_PREFIX)
                           : change->key;
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
  gp_time_t now = gp_loop_now (change->api->loop);

  log_answer (id_of (change), change->is_cancel, status, why,
              now - change->since, change->outcome_unknown);
  if (change->exchange != NULL)
    answer_change (change->api, change->exchange, status, why);
  free_change (change);
}

static void
complete_change (change_t *change, uint64_t offset)
{
  gp_jobs_api_t *api = change->api;
  gsize size;
  gp_platform_store_record_t record = { .offset = offset,
                                        .key = change->key,
                                        .key_size = strlen (change->key) };

  record.value = g_bytes_get_data (change->value, &size);
  record.value_size = size;
  gp_counter_add (change->is_cancel ? &cancelled_count : &accepted_count, 1);
  gp_histogram_add (&durable_time, gp_loop_now (api->loop) - change->since);
  api->on_record (&record, api->data);
  end_change (change, 200, "on the log");
}

/* Returns the status of a refusal. 503 means that the job never runs, which
   holds only if no attempt has an open outcome, for this request
   (OUTCOME_UNKNOWN) or an earlier one; otherwise 504.  */
static int
refusal_status (gp_jobs_api_t *api, const char *id, bool outcome_unknown)
{
  if (!outcome_unknown && !g_hash_table_contains (api->open_outcomes, id))
    return 503;
  if (g_hash_table_size (api->open_outcomes) >= OPEN_OUTCOMES_MAX)
    g_hash_table_remove_all (api->open_outcomes);
  g_hash_table_add (api->open_outcomes, g_strdup (id));
  return 504;
}

/* No attempt is left: refuse a change that was certainly not made, and leave
   the outcome of others open.  */
static void
give_up (change_t *change, const char *why)
{
  bool outcome_unknown = change->in_call || change->outcome_unknown;
  int status = refusal_status (change->api, id_of (change), outcome_unknown);

  gp_counter_add (status == 503 ? &refused_count : &open_count, 1);
  end_change (change, status, why);
}

/* The time at which CHANGE is given up.  */
static gp_time_t
due_at (const change_t *change)
{
  bool begun = change->in_call || change->outcome_unknown;

  return begun ? change->deadline : change->refuse_at;
}

static void
arm (gp_jobs_api_t *api)
{
  gp_time_t at = api->call == NULL ? api->next_attempt_at : GP_TIME_NEVER;

  if (gp_list_empty (&api->changes))
    return;
  GP_LIST_FOREACH (link, &api->changes)
  at = MIN (at, due_at (GP_CONTAINER_OF (link, change_t, link)));
  gp_timer_arm (&api->timer, at);
}

static void
update_latency (gp_jobs_api_t *api, gp_platform_store_result_t result,
                gp_time_t duration)
{
  if (result == GP_PLATFORM_STORE_UNKNOWN)
    duration = MAX (duration, 2 * api->latency);
  api->latency
      += (gp_time_t)((double)(duration - api->latency) * LATENCY_GAIN);
}

/* Apply the result of the append to one of its changes.  */
static void
apply_result (change_t *change, const gp_platform_store_answer_t *result,
              uint64_t offset)
{
  change->in_call = false;
  switch (result->result)
    {
    case GP_PLATFORM_STORE_DONE:
      complete_change (change, offset);
      return;
    case GP_PLATFORM_STORE_UNKNOWN:
      change->outcome_unknown = true;
      return;
    case GP_PLATFORM_STORE_REFUSED:
    case GP_PLATFORM_STORE_CONFLICT:
    case GP_PLATFORM_STORE_EXPIRED:
      if (!change->outcome_unknown && change->may_retry
          && ++change->refusals >= REFUSALS_MAX)
        give_up (change, result->reason);
      return;
    }
}

static void
on_appended (const gp_platform_store_answer_t *result, void *data)
{
  gp_jobs_api_t *api = data;
  gp_time_t now = gp_loop_now (api->loop);
  uint64_t offset = result->offset;

  api->call = NULL;
  update_latency (api, result->result, now - result->sent_at);
  api->failures
      = result->result == GP_PLATFORM_STORE_DONE ? 0 : api->failures + 1;
  if (api->failures == 0)
    api->failing_since = 0;
  else if (api->failing_since == 0)
    api->failing_since = result->sent_at;
  api->next_attempt_at
      = result->result == GP_PLATFORM_STORE_DONE ? now : now + ATTEMPT_DELAY;
  GP_LIST_FOREACH_SAFE (link, &api->changes)
  {
    change_t *change = GP_CONTAINER_OF (link, change_t, link);

    if (change->in_call)
      apply_result (change, result, offset++);
  }
  append_waiting (api);
  arm (api);
}

/* Append all waiting changes in one call, unless one is in flight.  */
static void
append_waiting (gp_jobs_api_t *api)
{
  gp_time_t now = gp_loop_now (api->loop);
  gp_time_t timeout = CLAMP (ATTEMPT_TIMEOUT_FACTOR * api->latency,
                             ATTEMPT_TIMEOUT_MIN, ATTEMPT_TIMEOUT_MAX);
  /* After failures the average is unreliable: a change that can wait this long
     is attempted.  */
  gp_time_t store_time = MIN (api->latency, ATTEMPT_TIMEOUT_MIN);
  GByteArray *batch;

  if (api->call != NULL || now < api->next_attempt_at
      || gp_list_empty (&api->changes))
    return;
  batch = g_byte_array_new ();
  GP_LIST_FOREACH_SAFE (link, &api->changes)
  {
    change_t *change = GP_CONTAINER_OF (link, change_t, link);
    gsize size;
    const uint8_t *data = g_bytes_get_data (change->value, &size);

    if (!change->outcome_unknown
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
    api->call = gp_platform_store_append (api->store, GP_TOPIC_JOBS, batch,
                                          GP_PLATFORM_STORE_UNCONDITIONAL,
                                          now + timeout, on_appended, api);
  g_byte_array_unref (batch);
}

static void
on_timer (gp_timer_t *timer, void *data)
{
  gp_jobs_api_t *api = data;
  gp_time_t now = gp_loop_now (api->loop);

  GP_LIST_FOREACH_SAFE (link, &api->changes)
  {
    change_t *change = GP_CONTAINER_OF (link, change_t, link);

    if (now >= due_at (change))
      give_up (change, "the store does not answer");
  }
  append_waiting (api);
  arm (api);
}

static void
on_disconnected (void *data)
{
  change_t *change = data;

  change->exchange = NULL;
}

/* The store does not answer, and the append in flight shows when it does
   again: refuse a new caller at once, without an attempt.  */
static void
refuse_now (gp_jobs_api_t *api, gp_http_exchange_t *exchange, const char *id,
            bool is_cancel)
{
  int status = refusal_status (api, id, false);

  gp_counter_add (status == 503 ? &refused_count : &open_count, 1);
  log_answer (id, is_cancel, status, "the store has not answered lately", 0,
              status != 503);
  answer_change (api, exchange, status, "the store does not answer");
}

/* Start to append a record for the job ID; takes ownership of VALUE.  */
static void
start_change (gp_jobs_api_t *api, gp_http_exchange_t *exchange, const char *id,
              bool is_cancel, GBytes *value)
{
  gp_time_t now = gp_loop_now (api->loop);
  gp_time_t caller_timeout = gp_job_caller_timeout (exchange);
  bool may_retry = gp_write_request_can_retry (caller_timeout);
  change_t *change;

  if (api->failures >= FAILURES_TO_REFUSE && api->call != NULL && may_retry)
    {
      refuse_now (api, exchange, id, is_cancel);
      g_bytes_unref (value);
      return;
    }
  change = g_new0 (change_t, 1);
  change->api = api;
  change->exchange = exchange;
  change->is_cancel = is_cancel;
  change->may_retry = may_retry;
  change->since = now;
  change->deadline = gp_write_request_deadline (now, caller_timeout);
  change->refuse_at = gp_write_request_refuse_at (now, caller_timeout);
  g_snprintf (change->key, sizeof change->key, "%s%s",
              is_cancel ? GP_CANCEL_PREFIX : "", id);
  change->value = value;
  gp_list_push_back (&api->changes, &change->link);
  gp_http_exchange_watch (exchange, on_disconnected, NULL, change);
  append_waiting (api);
  arm (api);
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

/* Repeated log lines are limited per queue, as callers choose a new id for
   each job.  */
static void
refuse_malformed (gp_http_exchange_t *exchange, const gp_queue_t *queue,
                  const char *id, const GError *error)
{
  uint64_t refusals = gp_refusals_add (GP_REFUSED_JOB, queue->name, error);

  if (refusals > 0)
    gp_log (GP_LOG_WARNING, "job.malformed", GP_LOG_S ("job", id),
            GP_LOG_S ("queue", queue->name),
            GP_LOG_S ("cause", gp_json_error_kind (error)),
            GP_LOG_S ("why", error->message), GP_LOG_I ("count", refusals));
  gp_job_answer_error (exchange, 400, error->message);
}

/* Returns whether a record of the job ID is on the log, or may be because of
   an attempt with an open outcome or because the log cannot be read: a refusal
   would not be true then.  */
static bool
may_be_on_log (const gp_jobs_api_t *api, const char *id)
{
  GP_LIST_FOREACH (link, &api->changes)
  {
    const change_t *change = GP_CONTAINER_OF (link, change_t, link);

    if (strcmp (change->key, id) == 0)
      return true;
  }
  return gp_book_find (api->book, id) != NULL
         || g_hash_table_contains (api->open_outcomes, id)
         || !gp_feed_is_current (api->jobs, ABSENCE_AGE_MAX);
}

static void
submit_job (gp_jobs_api_t *api, gp_http_exchange_t *exchange,
            const gp_queue_t *queue, const char *id)
{
  gp_http_text_t body = gp_http_exchange_body (exchange);
  const gp_job_t *job = gp_book_find (api->book, id);
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
  /* The same check as for readers of the record: what is accepted can be
     read.  */
  if (submission == NULL || !gp_job_check (submission, &error))
    {
      refuse_malformed (exchange, queue, id, error);
      g_error_free (error);
    }
  else if (!gp_job_intake_refuse (&api->intake, exchange, id, submission,
                                  may_be_on_log (api, id),
                                  gp_loop_now (api->loop)))
    start_change (api, exchange, id, false,
                  gp_message_pack (&submission->base));
  if (submission != NULL)
    gp__jobs__submission__free_unpacked (submission, NULL);
}

/* The answer that a job does not exist is only valid if the book is
   current.  */
static void
answer_absent (gp_jobs_api_t *api, gp_http_exchange_t *exchange)
{
  if (gp_feed_is_current (api->jobs, ABSENCE_AGE_MAX))
    gp_job_answer_error (exchange, 410, "no such job");
  else
    refuse (api, exchange, "the log cannot be read");
}

/* A record of the job is in the log and cannot be read, so any state might be
   wrong.  If the answer were that the job does not exist, the caller would
   submit the work again under another id; if it were an end, the caller would
   rely on it; and "queued" or "running" imply an end that may never come.  So
   the answer is that the state is not available now.  */
static void
answer_unreadable (const gp_jobs_api_t *api, gp_http_exchange_t *exchange)
{
  gp_counter_add (&unreadable_count, 1);
  refuse (api, exchange, "a record of the job cannot be read");
}

static void
show_job (gp_jobs_api_t *api, gp_http_exchange_t *exchange, const char *id)
{
  const gp_job_t *job = gp_book_find (api->book, id);
  gp_job_state_t state;
  char *body;

  if (job != NULL && !gp_job_is_readable (job))
    {
      answer_unreadable (api, exchange);
      return;
    }
  if (job == NULL || job->submission == NULL)
    {
      answer_absent (api, exchange);
      return;
    }
  gp_histogram_add (&book_age,
                    gp_loop_now (api->loop) - api->jobs->caught_up_at);
  state = job->recorded;
  if (job->cancelled && !gp_job_end_is_recorded (job))
    state = GP_JOB_CANCELLED;
  body = gp_platform_state_body (gp_job_state_name (state));
  gp_job_answer (exchange, 200, body);
  g_free (body);
}

static void
cancel_job (gp_jobs_api_t *api, gp_http_exchange_t *exchange, const char *id)
{
  const gp_job_t *job = gp_book_find (api->book, id);

  if (job != NULL && (job->cancelled || gp_job_end_is_recorded (job)))
    {
      gp_job_answer (exchange, 200, "{}");
      return;
    }
  start_change (
      api, exchange, id, true,
      g_bytes_new_static (GP_CANCEL_VALUE, strlen (GP_CANCEL_VALUE)));
}

static void
show_queue (gp_jobs_api_t *api, gp_http_exchange_t *exchange,
            const gp_queue_t *queue)
{
  char *body;

  if (!gp_feed_is_current (api->jobs, ABSENCE_AGE_MAX))
    {
      refuse (api, exchange, "the log cannot be read");
      return;
    }
  body = gp_platform_pending_body (gp_book_pending (api->book, queue->name));
  gp_job_answer (exchange, 200, body);
  g_free (body);
}

/* The host named by the caller, without the port.  */
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
dispatch (gp_jobs_api_t *api, gp_http_exchange_t *exchange,
          const gp_queue_t *queue, gp_http_text_t rest)
{
  gp_http_text_t method = gp_http_exchange_method (exchange);
  char id[GP_JOB_ID_SIZE + 1] = "";

  if (rest.size == 0 && gp_http_text_equal (method, "GET"))
    {
      show_queue (api, exchange, queue);
      return;
    }
  if (!gp_job_id_valid (rest.base, rest.size))
    {
      gp_job_answer_error (exchange, 404, "not the id of a job");
      return;
    }
  memcpy (id, rest.base, rest.size);
  if (gp_http_text_equal (method, "POST"))
    submit_job (api, exchange, queue, id);
  else if (gp_http_text_equal (method, "GET"))
    show_job (api, exchange, id);
  else if (gp_http_text_equal (method, "DELETE"))
    cancel_job (api, exchange, id);
  else
    gp_job_answer_error (exchange, 405, "no such method");
}

void
gp_jobs_api_request (gp_jobs_api_t *api, gp_http_exchange_t *exchange)
{
  gp_http_text_t host = host_of (exchange);
  gp_http_text_t path = path_of (exchange);
  const gp_queue_t *queue;
  size_t prefix_size;

  if (api->queues->version == 0)
    {
      refuse (api, exchange, "no document is known yet");
      return;
    }
  queue = host.base != NULL ? gp_queues_find (api->queues, host.base,
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
  dispatch (api, exchange, queue, path);
}

void
gp_jobs_api_init (gp_jobs_api_t *api, gp_loop_t *loop,
                  gp_platform_store_t *store, gp_book_t *book,
                  const gp_queues_t *queues, const gp_feed_t *jobs,
                  void (*on_record) (const gp_platform_store_record_t *record,
                                     void *data),
                  void *data)
{
  *api = (gp_jobs_api_t){ .loop = loop,
                          .store = store,
                          .book = book,
                          .queues = queues,
                          .jobs = jobs,
                          .on_record = on_record,
                          .data = data };
  gp_list_init (&api->changes);
  api->open_outcomes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  gp_job_intake_init (&api->intake);
  gp_timer_init (&api->timer, loop, on_timer, api);
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
gp_jobs_api_finish (gp_jobs_api_t *api)
{
  GP_LIST_FOREACH_SAFE (link, &api->changes)
  free_change (GP_CONTAINER_OF (link, change_t, link));
  if (api->call != NULL)
    gp_platform_store_cancel (api->call);
  gp_timer_finish (&api->timer);
  gp_job_intake_finish (&api->intake);
  g_hash_table_destroy (api->open_outcomes);
}
