/* The HTTP API for callers: submit, show and cancel jobs.  */

#include "jobsd/jobs_api.h"

#include <string.h>

#include "base/counters.h"
#include "base/histogram.h"
#include "base/log.h"
#include "jobs/records.h"
#include "jobsd/job_answers.h"
#include "platform/json.h"
#include "platform/jobs_http.h"
#include "platform/refusals.h"
#include "protocol/message.h"

/* Time after which a caller is to come back whose job there is no memory for,
   in seconds: jobs that have ended leave the book after some minutes.  */
#define BOOK_RETRY_S 10
/* The same for a cancellation, in seconds: until a job that another entry has
   accepted is known here.  */
#define CANCEL_RETRY_S 3
/* Maximum number of queues that the log sampler counts separately.  */
#define QUEUES_MAX 1000

/* Maximum age of the book for the answer that a job does not exist.  */
#define ABSENCE_AGE_MAX (2500 * GP_MSEC)

static gp_counter_t repeated_count = GP_COUNTER (
    "jobs_repeated_total", "Submissions of a job that is known already");
static gp_counter_t unreadable_count
    = GP_COUNTER ("jobs_unreadable_total",
                  "States asked for of jobs with a record that is unreadable");

static gp_counter_t book_full_count
    = GP_COUNTER ("jobs_refused_memory_total",
                  "Submissions refused as there is no memory for the job");

static gp_counter_t cancels_full_count
    = GP_COUNTER ("cancels_refused_memory_total",
                  "Cancellations of unknown jobs refused for want of memory");

static gp_histogram_t book_age
    = GP_HISTOGRAM ("book_age", "Age of the book when a job was shown");

/* Answer that nothing was done; the time to retry after depends on the state
   of the store.  */
static void
refuse (const gp_jobs_api_t *api, gp_http_exchange_t *exchange,
        const char *why)
{
  gp_job_changes_refuse (&api->changes, exchange, why);
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
  return gp_book_find (api->book, id) != NULL
         || gp_job_changes_may_have_written (&api->changes, id)
         || !gp_feed_is_current (api->jobs, ABSENCE_AGE_MAX);
}

static void
note_book_full (gp_jobs_api_t *api, const gp_queue_t *queue, const char *id,
                size_t cost)
{
  uint64_t count = gp_log_sampler_count (&api->book_refusals, queue->name);

  gp_counter_add (&book_full_count, 1);
  if (count > 0)
    gp_log (GP_LOG_WARNING, "job.refused_memory", GP_LOG_S ("job", id),
            GP_LOG_S ("queue", queue->name), GP_LOG_I ("count", count),
            GP_LOG_I ("cost", cost),
            GP_LOG_I ("held", api->book->costs.submissions
                                  + api->changes.submissions.pending),
            GP_LOG_I ("limit", gp_book_limit_submissions (api->book_limit)));
}

static gp_book_load_t
load_of (const gp_jobs_api_t *api, size_t held,
         const gp_change_load_t *changes)
{
  return (gp_book_load_t){ .held = held,
                           .pending = changes->pending,
                           .accepted = changes->accepted,
                           .read_at = api->jobs->caught_up_at };
}

/* Returns whether there is memory for the job ID, which takes COST bytes.  A
   further record of a job that is on its way takes none.  */
static bool
has_memory (gp_jobs_api_t *api, const char *id, size_t cost)
{
  const gp_book_load_t load
      = load_of (api, api->book->costs.submissions, &api->changes.submissions);

  return api->book_limit == NULL
         || gp_job_changes_is_in_progress (&api->changes, id)
         || gp_book_limit_admits (api->book_limit, &load, cost);
}

/* Refuses the job ID of QUEUE, which takes COST bytes, for want of memory.  If
   an earlier attempt may be on the log, the answer leaves the outcome open. */
static void
refuse_for_memory (gp_jobs_api_t *api, gp_http_exchange_t *exchange,
                   const gp_queue_t *queue, const char *id, size_t cost)
{
  static const char why[] = "there is no memory for the job";

  note_book_full (api, queue, id, cost);
  if (may_be_on_log (api, id))
    gp_job_answer_error (exchange, 504, why);
  else
    gp_job_refuse_for (exchange, why, BOOK_RETRY_S);
}

/* Hands SUBMISSION, which is valid, on to the log unless it is refused.
   MAY_WAIT: the log may be read before it is refused for memory, as another
   entry may have accepted it since this one has read the log.  */
static void
accept_job (gp_jobs_api_t *api, gp_http_exchange_t *exchange,
            const gp_queue_t *queue, const char *id,
            const Gp__Jobs__Submission *submission, bool may_wait)
{
  size_t cost = gp_job_cost (submission);

  if (!has_memory (api, id, cost))
    {
      if (!may_wait
          || !gp_fresh_reads_wait (&api->reads, exchange, GP_FRESH_JOBS))
        refuse_for_memory (api, exchange, queue, id, cost);
    }
  else if (!gp_job_intake_refuse (&api->intake, exchange, id, submission,
                                  may_be_on_log (api, id),
                                  gp_loop_now (api->loop)))
    gp_job_changes_submit (&api->changes, exchange, id, cost,
                           gp_message_pack (&submission->base));
}

static void
submit_job (gp_jobs_api_t *api, gp_http_exchange_t *exchange,
            const gp_queue_t *queue, const char *id, bool may_wait)
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
  else
    accept_job (api, exchange, queue, id, submission, may_wait);
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

/* Returns whether a job without a progress record has none on the log.  While
   the progress is being loaded, a job that has ended looks like one that
   waits.  */
static bool
knows_progress (const gp_jobs_api_t *api)
{
  return api->reads.progress->has_loaded;
}

/* Returns what has to be read before the state of JOB, NULL if it is not
   known, is shown.  Its end is final, and so is its cancellation.  */
static unsigned
parts_to_read (const gp_job_t *job)
{
  if (job == NULL || job->submission == NULL)
    return GP_FRESH_JOBS | GP_FRESH_PROGRESS;
  if (job->cancelled || gp_job_end_is_recorded (job))
    return 0;
  return GP_FRESH_PROGRESS;
}

static void
show_job (gp_jobs_api_t *api, gp_http_exchange_t *exchange, const char *id,
          bool may_wait)
{
  const gp_job_t *job = gp_book_find (api->book, id);
  gp_job_state_t state;
  char *body;

  if (may_wait
      && gp_fresh_reads_wait (&api->reads, exchange, parts_to_read (job)))
    return;
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
  if (parts_to_read (job) != 0 && !knows_progress (api))
    {
      refuse (api, exchange, "the progress of jobs is not loaded");
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

/* Returns the memory that a cancellation of the job ID takes in the book: none
   if the job is known, or on its way.  */
static size_t
cancellation_cost (const gp_jobs_api_t *api, const char *id)
{
  if (gp_book_find (api->book, id) != NULL
      || gp_job_changes_is_in_progress (&api->changes, id))
    return 0;
  return gp_job_undefined_cost ();
}

/* Refuses the cancellation of the job ID of QUEUE if there is no memory for
   the COST bytes that it takes; returns whether it did.  Nothing was done
   then, and the job, if it was accepted elsewhere, will be known when the
   caller tries again.  */
static bool
refuse_cancellation (gp_jobs_api_t *api, gp_http_exchange_t *exchange,
                     const gp_queue_t *queue, const char *id, size_t cost)
{
  const gp_book_load_t load = load_of (api, api->book->costs.cancellations,
                                       &api->changes.cancellations);
  uint64_t count;

  if (cost == 0 || api->book_limit == NULL
      || gp_book_limit_admits_cancellation (api->book_limit, &load, cost))
    return false;
  gp_counter_add (&cancels_full_count, 1);
  count = gp_log_sampler_count (&api->cancel_refusals, queue->name);
  if (count > 0)
    gp_log (GP_LOG_WARNING, "cancel.refused_memory", GP_LOG_S ("job", id),
            GP_LOG_S ("queue", queue->name), GP_LOG_I ("count", count),
            GP_LOG_I ("held", load.held + load.pending),
            GP_LOG_I ("limit", gp_book_limit_cancellations (api->book_limit)));
  gp_job_refuse_for (exchange, "too many unknown jobs are being cancelled",
                     CANCEL_RETRY_S);
  return true;
}

static void
cancel_job (gp_jobs_api_t *api, gp_http_exchange_t *exchange,
            const gp_queue_t *queue, const char *id)
{
  const gp_job_t *job = gp_book_find (api->book, id);
  size_t cost;

  if (job != NULL && (job->cancelled || gp_job_end_is_recorded (job)))
    {
      gp_job_answer (exchange, 200, "{}");
      return;
    }
  cost = cancellation_cost (api, id);
  if (!refuse_cancellation (api, exchange, queue, id, cost))
    gp_job_changes_cancel (&api->changes, exchange, id, cost);
}

static void
show_queue (gp_jobs_api_t *api, gp_http_exchange_t *exchange,
            const gp_queue_t *queue, bool may_wait)
{
  char *body;

  if (may_wait
      && gp_fresh_reads_wait (&api->reads, exchange,
                              GP_FRESH_JOBS | GP_FRESH_PROGRESS))
    return;
  if (!gp_feed_is_current (api->jobs, ABSENCE_AGE_MAX)
      || !knows_progress (api))
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
          const gp_queue_t *queue, gp_http_text_t rest, bool may_wait)
{
  gp_http_text_t method = gp_http_exchange_method (exchange);
  char id[GP_JOB_ID_SIZE + 1] = "";

  if (rest.size == 0 && gp_http_text_equal (method, "GET"))
    {
      show_queue (api, exchange, queue, may_wait);
      return;
    }
  if (!gp_job_id_valid (rest.base, rest.size))
    {
      gp_job_answer_error (exchange, 404, "not the id of a job");
      return;
    }
  memcpy (id, rest.base, rest.size);
  if (gp_http_text_equal (method, "POST"))
    submit_job (api, exchange, queue, id, may_wait);
  else if (gp_http_text_equal (method, "GET"))
    show_job (api, exchange, id, may_wait);
  else if (gp_http_text_equal (method, "DELETE"))
    cancel_job (api, exchange, queue, id);
  else
    gp_job_answer_error (exchange, 405, "no such method");
}

/* MAY_WAIT: the log may be read before the answer.  */
static void
serve (gp_jobs_api_t *api, gp_http_exchange_t *exchange, bool may_wait)
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
  dispatch (api, exchange, queue, path, may_wait);
}

void
gp_jobs_api_request (gp_jobs_api_t *api, gp_http_exchange_t *exchange)
{
  serve (api, exchange, true);
}

static void
on_read (gp_http_exchange_t *exchange, void *data)
{
  serve (data, exchange, false);
}

void
gp_jobs_api_init (gp_jobs_api_t *api, gp_loop_t *loop,
                  gp_job_appender_t *appender, gp_book_t *book,
                  const gp_queues_t *queues, gp_feed_t *jobs,
                  gp_feed_t *progress, bool confirm,
                  void (*on_record) (const gp_platform_store_record_t *record,
                                     void *data),
                  void *data)
{
  *api = (gp_jobs_api_t){
    .loop = loop, .book = book, .queues = queues, .jobs = jobs
  };
  gp_job_changes_init (&api->changes, loop, appender, book, jobs, confirm,
                       on_record, data);
  gp_fresh_reads_init (&api->reads, loop, jobs, progress, on_read, api);
  gp_job_intake_init (&api->intake);
  gp_log_sampler_init (&api->book_refusals, QUEUES_MAX);
  gp_log_sampler_init (&api->cancel_refusals, QUEUES_MAX);
  gp_counter_register (&book_full_count);
  gp_counter_register (&cancels_full_count);
  gp_counter_register (&repeated_count);
  gp_counter_register (&unreadable_count);
  gp_histogram_register (&book_age);
}

void
gp_jobs_api_set_limits (gp_jobs_api_t *api, gp_book_limit_t *limit,
                        size_t pending_bytes)
{
  api->book_limit = limit;
  gp_job_changes_set_limit (&api->changes, pending_bytes);
}

void
gp_jobs_api_finish (gp_jobs_api_t *api)
{
  gp_log_sampler_finish (&api->book_refusals);
  gp_log_sampler_finish (&api->cancel_refusals);
  gp_fresh_reads_finish (&api->reads);
  gp_job_changes_finish (&api->changes);
  gp_job_intake_finish (&api->intake);
}
