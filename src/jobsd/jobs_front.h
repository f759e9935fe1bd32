/* Callers' requests: submit, show and cancel jobs.  */

#ifndef GP_JOBSD_JOBS_FRONT_H
#define GP_JOBSD_JOBS_FRONT_H

#include "jobs/book.h"
#include "jobs/queues.h"
#include "jobsd/feed.h"
#include "platform/store.h"
#include "transport/http.h"

typedef struct
{
  gp_loop_t *loop;
  gp_platform_store_t *store;
  gp_book_t *book;
  const gp_queues_t *queues;
  const gp_feed_t *jobs; /* for how fresh the book is */
  gp_list_t changes;     /* submissions and cancellations in progress */
  GHashTable *open;      /* ids, owned, of jobs whose fate was left open */
  gp_platform_store_call_t *call; /* the append in progress, or NULL */
  gp_time_t try_at;               /* none is begun before */
  unsigned failures;              /* appends that failed since one was done */
  gp_time_t failing_since;        /* the first of them was sent, 0: none */
  gp_time_t latency;              /* mean duration of appends */
  gp_timer_t timer; /* the next try or the end of a caller's patience */
  /* A record is on the log: fold it now, without waiting for the feed.  */
  void (*on_record) (const gp_platform_store_record_t *record, void *data);
  void *data;
} gp_jobs_front_t;

void gp_jobs_front_init (
    gp_jobs_front_t *front, gp_loop_t *loop, gp_platform_store_t *store,
    gp_book_t *book, const gp_queues_t *queues, const gp_feed_t *jobs,
    void (*on_record) (const gp_platform_store_record_t *record, void *data),
    void *data);
void gp_jobs_front_finish (gp_jobs_front_t *front);

/* Answer EXCHANGE, now or later.  */
void gp_jobs_front_request (gp_jobs_front_t *front,
                            gp_http_exchange_t *exchange);

#endif
