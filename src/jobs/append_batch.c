/* The batches of several entries that wait for one append to the store.  */

#include "jobs/append_batch.h"

#include <glib.h>

/* An append is given up after TIMEOUT_PERCENT of the average, within these
   bounds.  This is less than the time after which its senders send their
   batches directly as well (twice the average, see jobs/append_route.c), as
   the copies of all of them would fill the store's queue.  The lower bound is
   that of direct appends (jobs/append_attempts.c).  The upper one is the
   longest time that the store takes for what it has accepted: its queue holds
   up to 2 s of appends.  */
#define TIMEOUT_PERCENT 150
#define TIMEOUT_MIN (500 * GP_MSEC)
#define TIMEOUT_MAX (2400 * GP_MSEC)
/* The average is used for this long after the last append.  While the
   collector is in use, appends follow each other closely; after a longer pause
   the store may have become much slower, so the timeout is TIMEOUT_MAX.  */
#define MEASUREMENT_AGE_MAX GP_SEC
/* Pause between two appends: the average divided by PAUSE_SHARE, at most
   PAUSE_MAX, in whole milliseconds.  It lets the senders that have just been
   answered add their next batches; without it each of them would be in every
   other append only, as a hop between entries takes up to 5 ms.  At usual
   speed, when an append takes 6 ms, there is no pause.  */
#define PAUSE_SHARE 16
#define PAUSE_MAX (20 * GP_MSEC)
/* Weight of the last duration in the moving average.  */
#define APPEND_TIME_GAIN 0.3

void
gp_append_queue_init (gp_append_queue_t *queue)
{
  *queue = (gp_append_queue_t){ .busy = false };
  gp_list_init (&queue->waiting);
  gp_list_init (&queue->in_flight);
}

bool
gp_append_queue_add (gp_append_queue_t *queue, gp_append_batch_t *batch,
                     size_t size, unsigned records)
{
  *batch = (gp_append_batch_t){ .size = size, .records = records };
  gp_list_init (&batch->link);
  if (queue->waiting_size > 0
      && queue->waiting_size + size > GP_APPEND_QUEUE_MAX_SIZE)
    return false;
  gp_list_push_back (&queue->waiting, &batch->link);
  queue->waiting_size += size;
  return true;
}

void
gp_append_queue_remove (gp_append_queue_t *queue, gp_append_batch_t *batch)
{
  gp_list_remove (&batch->link);
  if (!batch->in_append)
    queue->waiting_size -= batch->size;
}

/* How long to wait between two appends.  */
static gp_time_t
pause_time (const gp_append_queue_t *queue)
{
  gp_time_t pause = MIN (queue->append_time / PAUSE_SHARE, PAUSE_MAX);

  return pause / GP_MSEC * GP_MSEC;
}

gp_time_t
gp_append_queue_start_at (const gp_append_queue_t *queue)
{
  if (queue->busy || gp_list_empty (&queue->waiting))
    return GP_TIME_NEVER;
  return queue->start_at;
}

bool
gp_append_queue_start (gp_append_queue_t *queue, gp_time_t now)
{
  size_t size = 0;
  uint64_t place = 0;

  if (now < gp_append_queue_start_at (queue))
    return false;
  GP_LIST_FOREACH_SAFE (link, &queue->waiting)
  {
    gp_append_batch_t *batch = GP_CONTAINER_OF (link, gp_append_batch_t, link);

    if (size > 0 && size + batch->size > GP_APPEND_MAX_SIZE)
      break;
    gp_append_queue_remove (queue, batch);
    gp_list_push_back (&queue->in_flight, link);
    batch->in_append = true;
    batch->place = place;
    place += batch->records;
    size += batch->size;
  }
  queue->busy = true;
  queue->sent_at = now;
  return true;
}

static bool
is_measured (const gp_append_queue_t *queue, gp_time_t now)
{
  return queue->measured_at != 0
         && now - queue->measured_at <= MEASUREMENT_AGE_MAX;
}

gp_time_t
gp_append_queue_deadline (const gp_append_queue_t *queue)
{
  gp_time_t timeout = TIMEOUT_MAX;

  if (is_measured (queue, queue->sent_at))
    timeout = CLAMP (queue->append_time * TIMEOUT_PERCENT / 100, TIMEOUT_MIN,
                     TIMEOUT_MAX);
  return queue->sent_at + timeout;
}

/* Update the average with an append that has taken DURATION.  */
static void
note_duration (gp_append_queue_t *queue, gp_time_t duration)
{
  if (is_measured (queue, queue->sent_at))
    queue->append_time += (gp_time_t)((double)(duration - queue->append_time)
                                      * APPEND_TIME_GAIN);
  else
    queue->append_time = duration;
}

void
gp_append_queue_end (gp_append_queue_t *queue, gp_append_outcome_t outcome,
                     gp_time_t now, gp_list_t *ended)
{
  gp_time_t duration = now - queue->sent_at;
  gp_list_t *link;

  gp_list_init (ended);
  while ((link = gp_list_pop_front (&queue->in_flight)) != NULL)
    gp_list_push_back (ended, link);
  queue->busy = false;
  if (outcome == GP_APPEND_DONE)
    {
      note_duration (queue, duration);
      queue->measured_at = now;
    }
  /* The append takes longer than the time for which it was in flight.  */
  else if (outcome == GP_APPEND_UNKNOWN)
    note_duration (queue,
                   MIN (MAX (duration, 2 * queue->append_time), TIMEOUT_MAX));
  queue->start_at = now + pause_time (queue);
}
