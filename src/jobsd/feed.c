/* Following a topic of the platform's log.  */

#include "jobsd/feed.h"

/* A read that takes longer than this may hang, and is repeated when the store
   is known to answer others.  */
#define HANG_TIME (GP_SEC)
/* Additional timeout of a call, within which a slow store answers: a read that
   is cancelled has to be repeated.  */
#define CALL_TIMEOUT (1500 * GP_MSEC)
/* After a failure every other call has this shorter timeout.  They detect soon
   that a store is back from an outage in which calls hung, and the remaining
   calls still succeed on a store that is very slow.  */
#define DOWN_CALL_TIMEOUT (600 * GP_MSEC)
/* A poll that is verified is overdue when this time, or twice that of the last
   read that did not wait, has passed since it should have ended.  */
#define OVERDUE_TIME_MIN (100 * GP_MSEC)
/* After that no polls are sent for this long, which is more than what the
   store takes to change its history, but reads that do not wait.  */
#define POLLS_PAUSE (2 * GP_SEC)
#define PAUSE_SPACING (50 * GP_MSEC)
/* Longest poll through a relay, which gives a call up after a few seconds
   (jobsd/relay.h).  */
#define RELAYED_POLL_MAX (GP_SEC)
/* Delay after a read that was to wait for records but was answered at once
   without any.  */
#define EMPTY_DELAY (150 * GP_MSEC)

static void send_next_call (gp_feed_t *feed);

/* The next call is due, or the poll in flight is overdue.  */
static void
on_timer (gp_timer_t *timer, void *data)
{
  gp_feed_t *feed = data;
  gp_time_t now = gp_loop_now (feed->loop);

  if (feed->call != NULL)
    {
      if (now < feed->overdue_at)
        return;
      gp_platform_store_cancel (feed->call);
      feed->poll_from = now + POLLS_PAUSE;
    }
  send_next_call (feed);
}

void
gp_feed_init (gp_feed_t *feed, gp_loop_t *loop, gp_platform_store_t *store,
              gp_topic_t topic, const gp_feed_callbacks_t *callbacks,
              void *data)
{
  *feed = (gp_feed_t){ .loop = loop,
                       .store = store,
                       .topic = topic,
                       .callbacks = callbacks,
                       .data = data,
                       .pace
                       = gp_read_pace_of (GP_READER_LEADER, GP_READ_DOCUMENTS),
                       .poll_until = GP_TIME_NEVER,
                       .caught_up_at = INT64_MIN / 2 };
  gp_timer_init (&feed->timer, loop, on_timer, feed);
}

void
gp_feed_finish (gp_feed_t *feed)
{
  gp_feed_stop (feed);
  gp_timer_finish (&feed->timer);
}

void
gp_feed_stop (gp_feed_t *feed)
{
  if (feed->call != NULL)
    gp_platform_store_cancel (feed->call);
  feed->call = NULL;
  feed->refreshing = false;
  feed->running = false;
  gp_timer_disarm (&feed->timer);
  g_clear_pointer (&feed->after, g_free);
}

void
gp_feed_resume (gp_feed_t *feed)
{
  feed->running = true;
  send_next_call (feed);
}

void
gp_feed_retry (gp_feed_t *feed)
{
  gp_time_t now = gp_loop_now (feed->loop);

  if (!feed->running || (!feed->down && now <= feed->called_at + HANG_TIME))
    return;
  if (feed->call != NULL)
    gp_platform_store_cancel (feed->call);
  gp_timer_disarm (&feed->timer);
  send_next_call (feed);
}

void
gp_feed_refresh (gp_feed_t *feed)
{
  if (!feed->running || !feed->loaded || feed->down || feed->refreshing)
    return;
  if (feed->call != NULL)
    gp_platform_store_cancel (feed->call);
  gp_timer_disarm (&feed->timer);
  feed->refreshing = true;
  send_next_call (feed);
}

void
gp_feed_set_pace (gp_feed_t *feed, const gp_read_pace_t *pace)
{
  bool sooner = pace->spacing < feed->pace.spacing;

  feed->pace = *pace;
  if (sooner && feed->running && !feed->down && feed->call == NULL)
    gp_timer_arm (&feed->timer, gp_loop_now (feed->loop));
}

void
gp_feed_set_newest_only (gp_feed_t *feed)
{
  feed->newest_only = true;
}

static void
notify_load (gp_feed_t *feed, bool over)
{
  if (feed->callbacks->on_load != NULL)
    feed->callbacks->on_load (over, feed->data);
}

static void
begin_load (gp_feed_t *feed)
{
  feed->loaded = false;
  g_clear_pointer (&feed->after, g_free);
  notify_load (feed, false);
}

void
gp_feed_start (gp_feed_t *feed)
{
  gp_feed_stop (feed);
  feed->running = true;
  feed->has_loaded = false;
  feed->caught_up_at = INT64_MIN / 2;
  begin_load (feed);
  send_next_call (feed);
}

bool
gp_feed_is_current (const gp_feed_t *feed, gp_time_t age)
{
  return feed->caught_up_at >= gp_loop_now (feed->loop) - age;
}

static void
set_down (gp_feed_t *feed, bool down, const char *reason)
{
  feed->failures = down ? feed->failures + 1 : 0;
  if (feed->down == down)
    return;
  feed->down = down;
  feed->callbacks->on_state (feed->topic, down, reason, feed->data);
}

/* A read has failed, as REASON says: try again later.  */
static void
note_failure (gp_feed_t *feed, const char *reason)
{
  set_down (feed, true, reason);
  gp_timer_arm (&feed->timer, gp_read_pace_retry (&feed->pace, feed->failures,
                                                  gp_loop_now (feed->loop),
                                                  g_random_double ()));
}

static void
deliver (gp_feed_t *feed, const gp_platform_store_answer_t *answer)
{
  for (size_t i = 0; i < answer->count && feed->running; i++)
    feed->callbacks->on_record (&answer->records[i], feed->data);
}

static void
on_page (const gp_platform_store_answer_t *answer, void *data)
{
  gp_feed_t *feed = data;

  feed->call = NULL;
  if (answer->result != GP_PLATFORM_STORE_DONE)
    {
      note_failure (feed, answer->reason);
      return;
    }
  set_down (feed, false, "");
  if (feed->after == NULL)
    feed->load_end = answer->end;
  deliver (feed, answer);
  if (!feed->running)
    return;
  g_clear_pointer (&feed->after, g_free);
  if (answer->more && answer->count > 0)
    feed->after = g_strndup (answer->records[answer->count - 1].key,
                             answer->records[answer->count - 1].key_size);
  else
    {
      feed->loaded = true;
      feed->has_loaded = true;
      feed->position = feed->load_end;
      notify_load (feed, true);
    }
  send_next_call (feed);
}

/* Returns when the call is sent that follows a read with ANSWER.  */
static gp_time_t
next_call_time (gp_feed_t *feed, const gp_platform_store_answer_t *answer,
                gp_time_t now)
{
  gp_time_t at
      = gp_read_pace_next (&feed->pace, answer->sent_at, g_random_double ());
  bool verified = feed->verifying;

  if (feed->waits == 0)
    feed->read_time = now - answer->sent_at;
  feed->verifying
      = feed->pace.verifies_polls && feed->waits > 0 && answer->count == 0;
  if (now < feed->poll_from)
    return MAX (at, answer->sent_at + PAUSE_SPACING);
  if (answer->count == 0 && !verified && now - answer->sent_at < EMPTY_DELAY)
    return MAX (at, now + EMPTY_DELAY);
  return at;
}

static void
on_read (const gp_platform_store_answer_t *answer, void *data)
{
  gp_feed_t *feed = data;
  gp_time_t now = gp_loop_now (feed->loop);
  gp_time_t next_at;

  feed->call = NULL;
  feed->refreshing = false;
  gp_timer_disarm (&feed->timer);
  if (answer->result == GP_PLATFORM_STORE_EXPIRED
      || (answer->result == GP_PLATFORM_STORE_DONE
          && answer->end < feed->position))
    {
      begin_load (feed);
      send_next_call (feed);
      return;
    }
  if (answer->result != GP_PLATFORM_STORE_DONE)
    {
      note_failure (feed, answer->reason);
      return;
    }
  /* Before the callback of set_down, which may read again at once.  */
  feed->position += answer->count;
  set_down (feed, false, "");
  deliver (feed, answer);
  if (!feed->running)
    return;
  if (feed->position >= answer->end)
    {
      feed->caught_up_at = answer->sent_at;
      feed->callbacks->on_caught_up (feed->data);
    }
  /* It was stopped or refreshed.  */
  if (!feed->running || feed->call != NULL)
    return;
  if (feed->newest_only && answer->end > feed->position + 1)
    begin_load (feed);
  next_at = next_call_time (feed, answer, now);
  if (next_at > now)
    gp_timer_arm (&feed->timer, next_at);
  else
    send_next_call (feed);
}

/* The first read after a load or a failure does not wait for new records, so
   that the feed is soon confirmed to be current.  */
static gp_time_t
poll_time (const gp_feed_t *feed, gp_time_t now)
{
  gp_time_t poll_time = feed->pace.poll_time;

  if (feed->down || feed->refreshing || feed->verifying
      || now < feed->poll_from || now - feed->caught_up_at > 2 * poll_time)
    return 0;
  if (gp_platform_store_is_relayed (feed->store))
    poll_time = MIN (poll_time, RELAYED_POLL_MAX);
  return CLAMP (feed->poll_until - now, 0, poll_time);
}

static gp_time_t
call_timeout (const gp_feed_t *feed)
{
  return feed->failures % 2 == 1 ? DOWN_CALL_TIMEOUT : CALL_TIMEOUT;
}

static void
send_next_call (gp_feed_t *feed)
{
  gp_time_t now = gp_loop_now (feed->loop);
  gp_time_t wait = poll_time (feed, now);
  gp_time_t deadline = now + wait + call_timeout (feed);

  feed->called_at = now;
  feed->waits = wait;
  feed->overdue_at = GP_TIME_NEVER;
  if (feed->loaded)
    {
      feed->call
          = gp_platform_store_read (feed->store, feed->topic, feed->position,
                                    wait, deadline, on_read, feed);
      if (feed->pace.verifies_polls && wait > 0)
        {
          feed->overdue_at
              = now + wait + MAX (OVERDUE_TIME_MIN, 2 * feed->read_time);
          gp_timer_arm (&feed->timer, feed->overdue_at);
        }
    }
  else
    feed->call = gp_platform_store_read_newest (
        feed->store, feed->topic, feed->after, deadline, on_page, feed);
}
