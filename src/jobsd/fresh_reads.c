/* Requests that wait until the log has been read.  */

#include "jobsd/fresh_reads.h"

#include "base/counters.h"

static gp_counter_t waited_count
    = GP_COUNTER ("requests_read_first_total",
                  "Requests for which the log was read before the answer");
static gp_counter_t expired_count = GP_COUNTER (
    "requests_read_late_total", "The same, answered before the log was read");

/* A request that waits.  */
typedef struct
{
  gp_list_t link;
  gp_fresh_reads_t *reads;
  gp_http_exchange_t *exchange;
  unsigned parts;
  gp_time_t asked_at;
  gp_time_t deadline;
} request_t;

static request_t *
request_of (gp_list_t *link)
{
  return GP_CONTAINER_OF (link, request_t, link);
}

/* Returns whether a request that arrived at ASKED_AT need not wait for FEED: a
   read that was sent since has delivered all, it has loaded and gets new
   records by polls as they are written, or it cannot be read.  A single
   failure may be chance, and the read is repeated.  */
static bool
is_fresh (const gp_feed_t *feed, gp_time_t asked_at)
{
  return !feed->running || feed->failures > 1
         || (feed->has_loaded && feed->pace.poll_time > 0)
         || feed->caught_up_at >= asked_at;
}

/* Returns the parts of PARTS that have to be read for a request that arrived
   at ASKED_AT.  */
static unsigned
stale_parts (const gp_fresh_reads_t *reads, unsigned parts, gp_time_t asked_at)
{
  if (is_fresh (reads->jobs, asked_at))
    parts &= ~GP_FRESH_JOBS;
  if (is_fresh (reads->progress, asked_at))
    parts &= ~GP_FRESH_PROGRESS;
  return parts;
}

/* Read FEED, unless a read is in flight or was sent shortly before NOW.  */
static void
read_feed (gp_feed_t *feed, gp_time_t now)
{
  if (feed->call != NULL || now < feed->called_at + GP_FRESH_READS_SPACING)
    return;
  if (feed->down)
    gp_feed_retry (feed);
  else
    gp_feed_refresh (feed);
}

/* Read PARTS, for which requests wait.  They are checked again after
   GP_FRESH_READS_SPACING, as the next read may be sent then.  */
static void
read_parts (gp_fresh_reads_t *reads, unsigned parts)
{
  gp_time_t now = gp_loop_now (reads->loop);

  if ((parts & GP_FRESH_JOBS) != 0)
    read_feed (reads->jobs, now);
  if ((parts & GP_FRESH_PROGRESS) != 0)
    read_feed (reads->progress, now);
  gp_timer_arm (&reads->timer, now + GP_FRESH_READS_SPACING);
}

static void
request_free (request_t *request)
{
  gp_list_remove (&request->link);
  g_free (request);
}

static void
on_disconnected (void *data)
{
  request_free (data);
}

static void
answer (request_t *request)
{
  gp_fresh_reads_t *reads = request->reads;
  gp_http_exchange_t *exchange = request->exchange;

  gp_http_exchange_watch (exchange, NULL, NULL, NULL);
  request_free (request);
  reads->on_ready (exchange, reads->data);
}

bool
gp_fresh_reads_wait (gp_fresh_reads_t *reads, gp_http_exchange_t *exchange,
                     unsigned parts)
{
  gp_time_t now = gp_loop_now (reads->loop);
  request_t *request;

  parts = stale_parts (reads, parts, now);
  if (parts == 0)
    return false;
  request = g_new (request_t, 1);
  *request = (request_t){ .reads = reads,
                          .exchange = exchange,
                          .parts = parts,
                          .asked_at = now,
                          .deadline = now + GP_FRESH_READS_TIMEOUT };
  gp_list_push_back (&reads->waiting, &request->link);
  gp_http_exchange_watch (exchange, on_disconnected, NULL, request);
  gp_counter_add (&waited_count, 1);
  read_parts (reads, parts);
  return true;
}

void
gp_fresh_reads_check (gp_fresh_reads_t *reads)
{
  gp_time_t now = gp_loop_now (reads->loop);
  unsigned missing = 0;

  GP_LIST_FOREACH_SAFE (link, &reads->waiting)
  {
    request_t *request = request_of (link);

    request->parts = stale_parts (reads, request->parts, request->asked_at);
    if (request->parts != 0 && now < request->deadline)
      {
        missing |= request->parts;
        continue;
      }
    gp_counter_add (&expired_count, request->parts != 0);
    answer (request);
  }
  if (missing != 0)
    read_parts (reads, missing);
}

static void
on_timer (gp_timer_t *timer, void *data)
{
  gp_fresh_reads_check (data);
}

void
gp_fresh_reads_init (gp_fresh_reads_t *reads, gp_loop_t *loop, gp_feed_t *jobs,
                     gp_feed_t *progress,
                     void (*on_ready) (gp_http_exchange_t *exchange,
                                       void *data),
                     void *data)
{
  *reads = (gp_fresh_reads_t){ .loop = loop,
                               .jobs = jobs,
                               .progress = progress,
                               .on_ready = on_ready,
                               .data = data };
  gp_list_init (&reads->waiting);
  gp_timer_init (&reads->timer, loop, on_timer, reads);
  gp_counter_register (&waited_count);
  gp_counter_register (&expired_count);
}

void
gp_fresh_reads_finish (gp_fresh_reads_t *reads)
{
  GP_LIST_FOREACH_SAFE (link, &reads->waiting)
  request_free (request_of (link));
  gp_timer_finish (&reads->timer);
}
