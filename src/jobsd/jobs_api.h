/* The HTTP API for callers: submit, show and cancel jobs.  */

#ifndef GP_JOBSD_JOBS_API_H
#define GP_JOBSD_JOBS_API_H

#include "jobs/book.h"
#include "jobs/queues.h"
#include "jobsd/feed.h"
#include "jobsd/job_intake.h"
#include "platform/store.h"
#include "transport/http.h"

typedef struct
{
  gp_loop_t *loop;
  gp_platform_store_t *store;
  gp_book_t *book;
  const gp_queues_t *queues;
  const gp_feed_t *jobs; /* feed of the book's jobs; its age is the book's */
  gp_list_t changes;     /* submissions and cancellations in progress */
  GHashTable *open_outcomes; /* ids, owned, of jobs for which an answer left
                                the outcome open */
  gp_platform_store_call_t *call; /* the append in progress, or NULL */
  gp_time_t next_attempt_at;      /* no append is started before this time */
  unsigned failures;              /* consecutive appends that failed */
  gp_time_t failing_since;        /* the first of them was sent, 0: none */
  gp_time_t latency; /* moving average of the duration of appends */
  gp_job_intake_t intake;
  gp_timer_t timer; /* the next append, or the timeout of a change */
  /* A record is in the log: apply it now, without waiting for the feed.  */
  void (*on_record) (const gp_platform_store_record_t *record, void *data);
  void *data;
} gp_jobs_api_t;

void gp_jobs_api_init (
    gp_jobs_api_t *api, gp_loop_t *loop, gp_platform_store_t *store,
    gp_book_t *book, const gp_queues_t *queues, const gp_feed_t *jobs,
    void (*on_record) (const gp_platform_store_record_t *record, void *data),
    void *data);
void gp_jobs_api_finish (gp_jobs_api_t *api);

/* Answer EXCHANGE, now or later.  */
void gp_jobs_api_request (gp_jobs_api_t *api, gp_http_exchange_t *exchange);

#endif
