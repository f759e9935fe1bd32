/* The HTTP API for callers: submit, show and cancel jobs.  */

#ifndef GP_JOBSD_JOBS_API_H
#define GP_JOBSD_JOBS_API_H

#include "jobs/book.h"
#include "jobs/book_limit.h"
#include "jobs/queues.h"
#include "jobsd/feed.h"
#include "jobsd/fresh_reads.h"
#include "jobsd/job_changes.h"
#include "jobsd/job_intake.h"
#include "platform/store.h"
#include "transport/http.h"

typedef struct
{
  gp_loop_t *loop;
  gp_book_t *book;
  gp_book_limit_t *book_limit; /* NULL: none */
  const gp_queues_t *queues;
  const gp_feed_t *jobs;  /* feed of the book's jobs; its age is the book's */
  gp_fresh_reads_t reads; /* requests that wait for the log to be read */
  gp_job_changes_t changes; /* submissions and cancellations in progress */
  gp_job_intake_t intake;
  /* By queue, as callers choose their ids.  */
  gp_log_sampler_t book_refusals;
  gp_log_sampler_t cancel_refusals;
} gp_jobs_api_t;

/* JOBS and PROGRESS are the feeds of the book.  CONFIRM: an append without an
   answer is read back.  ON_RECORD is called for a record that is in the log,
   to apply it without waiting for the feed.  */
void gp_jobs_api_init (
    gp_jobs_api_t *api, gp_loop_t *loop, gp_job_appender_t *appender,
    gp_book_t *book, const gp_queues_t *queues, gp_feed_t *jobs,
    gp_feed_t *progress, bool confirm,
    void (*on_record) (const gp_platform_store_record_t *record, void *data),
    void *data);
/* Refuse jobs for which LIMIT has no room, and changes beyond PENDING_BYTES;
   see gp_job_changes_set_limit.  LIMIT has to outlive API.  */
void gp_jobs_api_set_limits (gp_jobs_api_t *api, gp_book_limit_t *limit,
                             size_t pending_bytes);
void gp_jobs_api_finish (gp_jobs_api_t *api);

/* Answer EXCHANGE, now or later.  */
void gp_jobs_api_request (gp_jobs_api_t *api, gp_http_exchange_t *exchange);

#endif
