/* Requests that wait until the log has been read.

   An entry that reads the log at longer intervals (jobs/read_pace.h) reads it
   at once when a caller asks for the state of a job, and answers with nothing
   older than the question.  Requests that arrive within
   GP_FRESH_READS_SPACING share a read, so that the number of reads is bounded
   whatever the number of requests.

   A request is answered from what the entry knows if the log cannot be read,
   or not within GP_FRESH_READS_TIMEOUT: whether that is recent enough is for
   the answer to decide, as if there had been no read.  */

#ifndef GP_JOBSD_FRESH_READS_H
#define GP_JOBSD_FRESH_READS_H

#include "base/list.h"
#include "jobsd/feed.h"
#include "transport/http.h"

/* Maximum time that a request waits, a small part of the time for which
   callers wait for an answer.  */
#define GP_FRESH_READS_TIMEOUT (500 * GP_MSEC)

/* Minimum time between two reads of a topic.  */
#define GP_FRESH_READS_SPACING (50 * GP_MSEC)

/* What an answer depends on; both may be combined.  */
#define GP_FRESH_JOBS 1U     /* the list of jobs */
#define GP_FRESH_PROGRESS 2U /* the state of jobs */

typedef struct
{
  gp_loop_t *loop;
  gp_feed_t *jobs;
  gp_feed_t *progress;
  gp_list_t waiting; /* requests, oldest first */
  gp_timer_t timer;  /* the next check of them */
  /* Answers EXCHANGE, a request that has waited.  */
  void (*on_ready) (gp_http_exchange_t *exchange, void *data);
  void *data;
} gp_fresh_reads_t;

void gp_fresh_reads_init (gp_fresh_reads_t *reads, gp_loop_t *loop,
                          gp_feed_t *jobs, gp_feed_t *progress,
                          void (*on_ready) (gp_http_exchange_t *exchange,
                                            void *data),
                          void *data);
/* Drops the requests that wait, without an answer.  */
void gp_fresh_reads_finish (gp_fresh_reads_t *reads);

/* Returns whether EXCHANGE, whose answer depends on PARTS, has to wait; if so,
   the log is read and ON_READY is called later.  A request does not wait if
   the topics have been loaded and are read by polls, as by a standby, or are
   not read, as by a leader, which is ahead of the log.  */
bool gp_fresh_reads_wait (gp_fresh_reads_t *reads,
                          gp_http_exchange_t *exchange, unsigned parts);

/* A feed may have caught up, or failed.  */
void gp_fresh_reads_check (gp_fresh_reads_t *reads);

#endif
