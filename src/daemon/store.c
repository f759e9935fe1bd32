/* The store: proposals.

   The writer decides the result of a proposal; done is called later, at the
   end of that phase of the event loop.  So subscribers see a change before
   the proposer gets its verdict, and done is never called from inside a call
   of the proposer.  New proposals are refused while the state is not ready or
   reads fail, since a verdict becomes known only by reading.  */

#include "daemon/store.h"

#include "base/counters.h"
#include "base/log.h"
#include "daemon/store_private.h"

/* Consecutive failed reads that make the log unavailable; a single lost
   connection does not.  */
#define READ_FAILURES_MAX 2

typedef struct
{
  gp_store_t *store;
  uint64_t sequence;
  GBytes *bytes;
} append_t;

static gp_counter_t proposals
    = GP_COUNTER ("store_proposals_total", "Records proposed.");
static gp_counter_t refused
    = GP_COUNTER ("store_proposals_refused_total",
                  "Records refused as the log makes no progress.");
static gp_counter_t expired = GP_COUNTER ("store_proposals_expired_total",
                                          "Records that were never written.");
static gp_counter_t appends
    = GP_COUNTER ("store_appends_total", "Appends sent to the log.");
static gp_counter_t append_bytes
    = GP_COUNTER ("store_append_bytes_total", "Bytes of the appends.");
static gp_counter_t appends_failed = GP_COUNTER (
    "store_appends_failed_total", "Appends refused or of unknown fate.");
static gp_counter_t is_available
    = GP_GAUGE ("store_available", "1 when the log makes progress.");
static gp_counter_t is_ready
    = GP_GAUGE ("store_ready", "1 when the state may be acted upon.");
static gp_counter_t config_is_available
    = GP_GAUGE ("store_config_available",
                "1 when the log of the configuration makes progress.");
static gp_counter_t config_is_ready = GP_GAUGE (
    "store_config_ready", "1 when the state of that log may be acted upon.");

static bool
available (const gp_store_t *store)
{
  return store->read_failures < READ_FAILURES_MAX
         && gp_writer_available (&store->writer, gp_loop_now (store->loop));
}

void
gp_store_record_event (gp_store_t *store, gp_timeline_kind_t kind)
{
  const gp_timeline_subject_t none = { 0 };

  if (store->timeline != NULL)
    gp_timeline_append (store->timeline, kind, &none, NULL, gp_time_wall ());
}

void
gp_store_update_health (gp_store_t *store)
{
  bool up = gp_store_ready (store) && available (store);

  gp_counter_set (store->source.available, up);
  if (up == store->up)
    return;
  store->up = up;
  gp_log (up ? GP_LOG_INFO : GP_LOG_WARNING, up ? "log.up" : "log.down",
          GP_LOG_S ("stream", store->source.stream),
          GP_LOG_I ("offset", store->follower.read_offset));
  gp_store_record_event (store,
                         up ? GP_TIMELINE_LOG_UP : GP_TIMELINE_LOG_DOWN);
}

/* Appends.  */

static void
on_appended (gp_append_result_t result, uint64_t offset, const GError *error,
             void *data)
{
  append_t *append = data;
  gp_store_t *store = append->store;
  gp_time_t now = gp_loop_now (store->loop);

  if (result == GP_APPEND_DONE)
    gp_writer_acked (&store->writer, append->sequence, now);
  else
    {
      gp_counter_add (&appends_failed, 1);
      gp_writer_failed (&store->writer, append->sequence, now);
    }
  g_bytes_unref (append->bytes);
  g_free (append);
  if (!store->closing)
    gp_store_process (store);
}

static void
start_append (gp_store_t *store, uint64_t sequence, GBytes *bytes)
{
  append_t *append = g_new (append_t, 1);
  size_t size;
  const void *start = g_bytes_get_data (bytes, &size);

  *append = (append_t){ store, sequence, bytes };
  gp_counter_add (&appends, 1);
  gp_counter_add (&append_bytes, (int64_t)size);
  gp_stream_append (store->stream, start, size,
                    gp_loop_now (store->loop) + store->append_timeout,
                    on_appended, append);
}

/* Results.  */

static void
set_result (gp_store_t *store, uint64_t token, gp_proposal_result_t result,
            gp_fold_verdict_t verdict)
{
  gp_proposal_t *proposal = gp_idpool_get (&store->proposals, token);

  if (proposal == NULL)
    return; /* a record of a snapshot */
  proposal->entry = NULL;
  proposal->decided = true;
  proposal->result = result;
  proposal->verdict = verdict;
  gp_list_push_back (&store->decided, &proposal->link);
  gp_deferred_schedule (&store->deliver, store->loop);
}

static void
deliver (gp_deferred_t *deferred)
{
  gp_store_t *store = GP_CONTAINER_OF (deferred, gp_store_t, deliver);
  gp_list_t *link;

  while ((link = gp_list_pop_front (&store->decided)) != NULL)
    {
      gp_proposal_t *proposal = GP_CONTAINER_OF (link, gp_proposal_t, link);

      gp_idpool_remove (&store->proposals, proposal->token);
      if (proposal->result == GP_PROPOSAL_EXPIRED)
        gp_counter_add (&expired, 1);
      if (proposal->done != NULL)
        proposal->done (proposal->result, proposal->verdict, proposal->data);
      g_free (proposal);
    }
}

void
gp_store_process_actions (gp_store_t *store)
{
  gp_writer_action_t action;

  while (gp_writer_next_action (&store->writer, &action))
    switch (action.kind)
      {
      case GP_WRITER_APPEND:
        start_append (store, action.u.append.sequence, action.u.append.bytes);
        break;
      case GP_WRITER_VERDICT:
        set_result (store, action.u.verdict.token, GP_PROPOSAL_DECIDED,
                    action.u.verdict.verdict);
        break;
      case GP_WRITER_EXPIRED:
        set_result (store, action.u.expired.token, GP_PROPOSAL_EXPIRED,
                    GP_FOLD_ACCEPTED);
        break;
      case GP_WRITER_UNREAD:
        set_result (store, action.u.unread.token, GP_PROPOSAL_UNREAD,
                    GP_FOLD_ACCEPTED);
        break;
      }
}

static void
arm_timer (gp_store_t *store)
{
  gp_time_t at = gp_writer_deadline (&store->writer);

  if (store->snapshot.writing && !store->snapshot.copying)
    at = MIN (at, store->snapshot.next_at);
  if (at == GP_TIME_NEVER)
    gp_timer_disarm (&store->timer);
  else
    gp_timer_arm (&store->timer, at);
}

void
gp_store_process (gp_store_t *store)
{
  gp_store_write_snapshot (store);
  gp_writer_step (&store->writer, gp_loop_now (store->loop));
  gp_store_process_actions (store);
  gp_store_update_health (store);
  arm_timer (store);
}

static void
on_timer (gp_timer_t *timer, void *data)
{
  gp_store_process (data);
}

/* Initialization and finalization.  */

static void
register_counters (void)
{
  gp_counter_register (&proposals);
  gp_counter_register (&refused);
  gp_counter_register (&expired);
  gp_counter_register (&appends);
  gp_counter_register (&append_bytes);
  gp_counter_register (&appends_failed);
}

static void
init_writer (gp_store_t *store, const gp_settings_t *settings, GRand *rand)
{
  gp_writer_limits_t limits = gp_writer_default_limits;

  limits.linger[GP_WRITER_NORMAL] = settings->timings.log_batch_ms * GP_MSEC;
  limits.linger[GP_WRITER_BULK] = settings->timings.log_batch_ms * GP_MSEC;
  limits.timeout = settings->timings.log_timeout_ms * GP_MSEC;
  limits.outage_after = MAX (limits.outage_after, limits.timeout);
  store->append_timeout = limits.timeout;
  gp_writer_init (&store->writer, settings->name, store->incarnation, &limits,
                  rand);
  gp_writer_set_wall_offset (&store->writer,
                             gp_time_wall () - gp_loop_now (store->loop));
}

static gp_store_t *
open_store (gp_loop_t *loop, const gp_settings_t *settings,
            const gp_store_source_t *source, uint64_t incarnation, GRand *rand,
            gp_timeline_t *timeline, GError **error)
{
  gp_store_t *store = g_new0 (gp_store_t, 1);

  register_counters ();
  gp_counter_register (source->ready);
  gp_counter_register (source->available);
  store->source = *source;
  store->loop = loop;
  store->timeline = timeline;
  store->name = g_strdup (settings->name);
  store->incarnation = incarnation;
  gp_list_init (&store->subscribers);
  gp_list_init (&store->decided);
  gp_idpool_init (&store->proposals);
  gp_deferred_init (&store->deliver, deliver);
  gp_timer_init (&store->timer, loop, on_timer, store);
  gp_timer_init (&store->copy_timer, loop, gp_store_on_copy_timer, store);
  gp_follower_init (&store->follower, NULL, gp_store_on_change, store);
  gp_fold_set_own_writer (&store->follower.fold, store->name, incarnation);
  gp_snapshot_init (&store->snapshot, NULL, rand);
  gp_active_writers_init (&store->active_writers);
  init_writer (store, settings, rand);
  if (gp_store_open_stream (store, settings, error))
    return store;
  gp_store_free (store);
  return NULL;
}

gp_store_t *
gp_store_new (gp_loop_t *loop, const gp_settings_t *settings,
              uint64_t incarnation, GRand *rand, gp_timeline_t *timeline,
              GError **error)
{
  const gp_store_source_t source
      = { .address = settings->platform_log->address,
          .stream = settings->platform_log->stream,
          .stream_count = MAX (gp_settings_region_count (settings), 1),
          .ready = &is_ready,
          .available = &is_available };

  return open_store (loop, settings, &source, incarnation, rand, timeline,
                     error);
}

gp_store_t *
gp_store_new_config (gp_loop_t *loop, const gp_settings_t *settings,
                     uint64_t incarnation, GRand *rand,
                     gp_timeline_t *timeline, GError **error)
{
  const gp_store_source_t source
      = { .address = gp_settings_config_address (settings->platform_log),
          .stream = gp_settings_config_stream (settings->platform_log),
          .stream_count = 1,
          .ready = &config_is_ready,
          .available = &config_is_available };

  return open_store (loop, settings, &source, incarnation, rand, timeline,
                     error);
}

static void
free_proposal (void *object, void *data)
{
  g_free (object);
}

static void
on_loop_close (gp_closer_t *closer)
{
}

static void
on_loop_dispose (gp_closer_t *closer)
{
  g_free (GP_CONTAINER_OF (closer, gp_store_t, closer));
}

void
gp_store_free (gp_store_t *store)
{
  store->closing = true;
  if (store->stream != NULL)
    gp_stream_free (store->stream);
  gp_deferred_cancel (&store->deliver);
  gp_idpool_foreach (&store->proposals, free_proposal, NULL);
  gp_idpool_finish (&store->proposals);
  gp_snapshot_finish (&store->snapshot);
  gp_active_writers_finish (&store->active_writers);
  gp_writer_finish (&store->writer);
  gp_follower_finish (&store->follower);
  gp_timer_finish (&store->timer);
  gp_timer_finish (&store->copy_timer);
  g_free (store->name);
  gp_closer_add (&store->closer, store->loop, on_loop_close, on_loop_dispose);
}

void
gp_store_subscribe (gp_store_t *store, gp_store_subscriber_t *subscriber)
{
  gp_list_push_back (&store->subscribers, &subscriber->link);
}

bool
gp_store_ready (const gp_store_t *store)
{
  return store->follower.phase == GP_FOLLOWER_READY;
}

const gp_fold_t *
gp_store_fold (const gp_store_t *store)
{
  return &store->follower.fold;
}

void
gp_store_health (const gp_store_t *store, gp_store_health_t *health)
{
  *health = (gp_store_health_t){ .ready = gp_store_ready (store),
                                 .available = available (store),
                                 .offset = store->follower.read_offset,
                                 .read_at = store->read_at,
                                 .appends = store->writer.appends,
                                 .repeats = store->writer.repeats,
                                 .restarts = store->follower.restarts };
}

/* Proposals.  */

gp_writer_result_t
gp_store_propose (gp_store_t *store, const Gp__Record__Record *record,
                  gp_writer_priority_t priority, gp_time_t deadline,
                  gp_proposal_done_t done, void *data,
                  gp_proposal_t **proposal)
{
  gp_proposal_t *new;
  gp_writer_result_t result = GP_WRITER_UNAVAILABLE;

  if (!gp_store_ready (store) || !available (store))
    {
      gp_counter_add (&refused, 1);
      return result;
    }
  new = g_new0 (gp_proposal_t, 1);
  new->done = done;
  new->data = data;
  gp_list_init (&new->link);
  new->token = gp_idpool_add (&store->proposals, new);
  result
      = gp_writer_enqueue (&store->writer, record, priority, new->token,
                           deadline, gp_loop_now (store->loop), &new->entry);
  if (result != GP_WRITER_QUEUED)
    {
      gp_idpool_remove (&store->proposals, new->token);
      g_free (new);
      gp_counter_add (&refused, 1);
      return result;
    }
  gp_counter_add (&proposals, 1);
  if (proposal != NULL)
    *proposal = new;
  gp_store_process_actions (store);
  arm_timer (store);
  return result;
}

bool
gp_store_withdraw (gp_store_t *store, gp_proposal_t *proposal)
{
  if (proposal->decided
      || !gp_writer_withdraw (&store->writer, proposal->entry))
    return false;
  gp_idpool_remove (&store->proposals, proposal->token);
  g_free (proposal);
  return true;
}
