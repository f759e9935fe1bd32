/* The store: reading of the log.  Replies of the log go to the follower,
   changes of the state to the subscribers.

   The follower determines the offset to read from.  After each reply the
   stream continues by itself; if the follower needs another offset, because
   it has changed its phase or restarted, the stream is repositioned.  */

#include "base/counters.h"
#include "base/log.h"
#include "daemon/store_private.h"

#define MAX_APPENDS 4
#define READ_TIMEOUT (5 * GP_SEC)
#define READ_RETRY (50 * GP_MSEC)
#define READ_RETRY_MAX (1 * GP_SEC)
#define MAX_READ_SIZE ((size_t)4 * 1024 * 1024)

static gp_counter_t records_applied
    = GP_COUNTER ("store_records_total", "Batches read from the log.");
static gp_counter_t read_errors
    = GP_COUNTER ("store_read_errors_total", "Reads of the log that failed.");
static gp_counter_t restarts = GP_COUNTER (
    "store_restarts_total", "States given up because of a gap in the log.");

void
gp_store_on_change (const gp_fold_change_t *change, void *data)
{
  gp_store_t *store = data;

  if (change->kind == GP_FOLD_OWN_BATCH)
    {
      gp_writer_observe (&store->writer, change->u.own.sequence,
                         change->u.own.verdicts, change->u.own.count,
                         gp_loop_now (store->loop));
      gp_store_process_actions (store);
    }
  if (store->follower.phase != GP_FOLLOWER_READY)
    return;
  GP_LIST_FOREACH_SAFE (pos, &store->subscribers)
  {
    gp_store_subscriber_t *subscriber
        = GP_CONTAINER_OF (pos, gp_store_subscriber_t, link);

    if (subscriber->on_change != NULL)
      subscriber->on_change (change, subscriber->data);
  }
}

static void
notify_gap (gp_store_t *store)
{
  if (store->follower.restarts == store->restarts)
    return;
  gp_counter_add (&restarts,
                  (int64_t)(store->follower.restarts - store->restarts));
  store->restarts = store->follower.restarts;
  store->snapshot_as_of = 0;
  gp_log (GP_LOG_WARNING, "log.gap",
          GP_LOG_I ("first", store->follower.first_offset));
  gp_store_record_event (store, GP_TIMELINE_LOG_GAP);
  GP_LIST_FOREACH_SAFE (pos, &store->subscribers)
  {
    gp_store_subscriber_t *subscriber
        = GP_CONTAINER_OF (pos, gp_store_subscriber_t, link);

    if (subscriber->on_gap != NULL)
      subscriber->on_gap (subscriber->data);
  }
}

/* Batches up to the writer's sequence in the state are in the log, including
   those that came with a snapshot and were not read individually.  */
static void
skip_own_batches (gp_store_t *store)
{
  const gp_fold_writer_t *own
      = gp_fold_writer (&store->follower.fold, store->name);
  bool is_own = own != NULL && own->incarnation == store->incarnation;

  gp_writer_skip (&store->writer, is_own ? own->sequence : 0,
                  gp_loop_now (store->loop));
  gp_store_process_actions (store);
}

static void
notify_rebuilt (gp_store_t *store)
{
  if (!gp_follower_take_rebuilt (&store->follower))
    return;
  skip_own_batches (store);
  gp_log (GP_LOG_INFO, "log.state-built",
          GP_LOG_I ("offset", store->follower.fold.next_offset));
  GP_LIST_FOREACH_SAFE (pos, &store->subscribers)
  {
    gp_store_subscriber_t *subscriber
        = GP_CONTAINER_OF (pos, gp_store_subscriber_t, link);

    if (subscriber->on_rebuilt != NULL)
      subscriber->on_rebuilt (subscriber->data);
  }
}

static void
notify_read (gp_store_t *store, gp_time_t sent_at)
{
  store->read_at = sent_at;
  GP_LIST_FOREACH_SAFE (pos, &store->subscribers)
  {
    gp_store_subscriber_t *subscriber
        = GP_CONTAINER_OF (pos, gp_store_subscriber_t, link);

    if (subscriber->on_read != NULL)
      subscriber->on_read (sent_at, subscriber->data);
  }
}

static void
check_stopped (gp_store_t *store, gp_follower_phase_t before)
{
  if (store->follower.phase != GP_FOLLOWER_STOPPED
      || before == GP_FOLLOWER_STOPPED)
    return;
  gp_log (GP_LOG_ERROR, "log.later-version",
          GP_LOG_I ("offset", store->follower.read_offset));
  gp_stream_unfollow (store->stream);
}

/* Pass a reply to the follower and notify the subscribers of its effects.  */
static void
handle_reply (gp_store_t *store, const gp_follower_reply_t *reply)
{
  gp_follower_phase_t before = store->follower.phase;

  gp_follower_handle_reply (&store->follower, reply);
  notify_gap (store);
  notify_rebuilt (store);
  check_stopped (store, before);
  gp_counter_set (store->source.ready, gp_store_ready (store));
}

void
gp_store_follow (gp_store_t *store)
{
  if (store->follower.phase != GP_FOLLOWER_STOPPED)
    gp_stream_follow (store->stream,
                      gp_follower_read_offset (&store->follower));
}

static gp_follower_record_t *
convert_records (const gp_stream_read_t *read)
{
  gp_follower_record_t *records
      = g_new (gp_follower_record_t, read->count + 1);

  for (size_t i = 0; i < read->count; i++)
    records[i] = (gp_follower_record_t){ .offset = read->records[i].offset,
                                         .bytes = read->records[i].data,
                                         .size = read->records[i].size };
  return records;
}

/* Pass the number of active writers to the writer, which appends less often
   the more there are.  The streams of other regions are assumed to have as
   many.  */
static void
count_writers (gp_store_t *store)
{
  uint32_t count = gp_active_writers_update (&store->active_writers,
                                             &store->follower.fold,
                                             gp_loop_now (store->loop));

  gp_writer_set_writers (&store->writer, count * store->source.stream_count);
}

static void
apply_read (gp_store_t *store, const gp_stream_read_t *read)
{
  gp_follower_record_t *records = convert_records (read);
  gp_follower_reply_t reply = { .first_offset = read->first_offset,
                                .next_offset = read->next_offset,
                                .records = records,
                                .count = read->count };

  gp_counter_add (&records_applied, (int64_t)read->count);
  handle_reply (store, &reply);
  g_free (records);
  count_writers (store);
  if (read->complete && gp_follower_caught_up (&store->follower))
    notify_read (store, read->sent_at);
  if (gp_follower_read_offset (&store->follower) != read->from + read->count)
    gp_store_follow (store);
}

static void
on_read (const gp_stream_read_t *read, void *data)
{
  gp_store_t *store = data;

  store->read_failures = 0;
  if (store->snapshot.copying)
    {
      gp_stream_unfollow (store->stream); /* reading resumes after the copy */
      return;
    }
  gp_writer_set_wall_offset (&store->writer,
                             gp_time_wall () - gp_loop_now (store->loop));
  apply_read (store, read);
  gp_store_check_snapshot (store);
  gp_store_process (store);
}

/* Records were lost to retention, or the stream was recreated.  */
static void
on_gap (uint64_t from, uint64_t first_offset, void *data)
{
  gp_store_t *store = data;
  gp_follower_reply_t reply
      = { .first_offset = first_offset, .next_offset = first_offset };

  gp_snapshot_abandon (&store->snapshot);
  gp_timer_disarm (&store->copy_timer);
  handle_reply (store, &reply);
  gp_store_follow (store);
  gp_store_process (store);
}

static void
on_error (const GError *error, void *data)
{
  gp_store_t *store = data;

  gp_counter_add (&read_errors, 1);
  store->read_failures++;
  gp_store_update_health (store);
}

static const gp_stream_callbacks_t callbacks = { on_read, on_gap, on_error };

bool
gp_store_open_stream (gp_store_t *store, const gp_settings_t *settings,
                      GError **error)
{
  gp_stream_options_t options
      = { .address = store->source.address,
          .name = store->source.stream,
          .max_appends = MAX_APPENDS,
          .poll_time = settings->timings.log_wait_ms * GP_MSEC,
          .read_timeout = READ_TIMEOUT,
          .retry_time = READ_RETRY,
          .retry_time_max = READ_RETRY_MAX,
          .max_read_size = MAX_READ_SIZE };

  gp_counter_register (&records_applied);
  gp_counter_register (&read_errors);
  gp_counter_register (&restarts);
  store->stream
      = gp_stream_new (store->loop, &options, &callbacks, store, error);
  if (store->stream == NULL)
    return false;
  gp_store_follow (store);
  return true;
}
