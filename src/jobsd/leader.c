/* The leading entry: taking the lead and writing decisions down.  The
   connections to the guards are in jobsd/leader_links.c.  */

#include "jobsd/leader_private.h"

#include <string.h>

#include "base/histogram.h"
#include "base/log.h"
#include "protocol/message.h"

/* An idle leader writes a record so often.  */
#define HEARTBEAT_TIME (250 * GP_MSEC)
/* Without a record for so long, and for a few times the usual duration
   between two, others try to lead: a leader in a slow store or on a slow VM
   keeps it.  Work that is due within 1.5 s waits for a new leader.  */
#define SILENCE_TIME (700 * GP_MSEC)
#define SILENCE_GAPS 4
/* Weight of the last duration in the mean, and the most that one counts.  */
#define GAP_GAIN 0.2
#define GAP_MAX (500 * GP_MSEC)
/* Others wait this much longer by turns, so that two seldom try at once.  */
#define SILENCE_SPREAD (400 * GP_MSEC)
#define APPEND_TIME (GP_SEC)
#define APPEND_RETRY_TIME (60 * GP_MSEC)

static gp_histogram_t append_time = GP_HISTOGRAM (
    "progress_append", "From the first sending of an append to its end");

/* The state of a job as the append in progress has it.  */
typedef struct
{
  gp_job_t *job;
  gp_job_state_t state;
} batch_state_t;

static void flush (gp_leader_t *leader);
static void add_drops (gp_leader_t *leader);
static void lead (gp_leader_t *leader, uint64_t epoch);

static gp_time_t
now_of (const gp_leader_t *leader)
{
  return gp_loop_now (leader->loop);
}

void
gp_leader_turn_soon (gp_leader_t *leader)
{
  gp_deferred_schedule (&leader->turn, leader->loop);
}

/* Records.  */

void
gp_leader_add_record (gp_leader_t *leader, const char *key, GBytes *value)
{
  gsize size;
  const uint8_t *data = g_bytes_get_data (value, &size);

  gp_platform_store_batch_add (leader->batch, key, data, size);
  leader->batch_records++;
}

/* Each batch ends with the leader's record, by which its writer is known
   again when an append went unanswered.  */
static void
add_leadership (gp_leader_t *leader, bool resigned)
{
  Gp__Jobs__Leadership record = GP__JOBS__LEADERSHIP__INIT;
  GBytes *value;

  record.node = (char *)leader->node;
  record.incarnation = leader->incarnation;
  record.resigned = resigned;
  record.beat = ++leader->beat;
  value = gp_message_pack (&record.base);
  gp_leader_add_record (leader, GP_LEADER_KEY, value);
  g_bytes_unref (value);
}

void
gp_leader_add_place (gp_leader_t *leader, const char *node,
                     const char *executor)
{
  Gp__Jobs__Place place = GP__JOBS__PLACE__INIT;
  char *key = g_strconcat (GP_PLACE_PREFIX, node, NULL);

  place.executor = (char *)executor;
  g_hash_table_replace (leader->places, g_strdup (node), g_strdup (executor));
  g_hash_table_replace (leader->new_places, key,
                        gp_message_pack (&place.base));
}

static void
add_places (gp_leader_t *leader)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, leader->new_places);
  while (g_hash_table_iter_next (&iter, &key, &value))
    gp_leader_add_record (leader, key, value);
  g_hash_table_remove_all (leader->new_places);
}

static void
add_dirty_jobs (gp_leader_t *leader)
{
  gp_list_t *link;

  while ((link = gp_list_pop_front (&leader->scheduler.dirty)) != NULL)
    {
      gp_job_t *job = GP_CONTAINER_OF (link, gp_job_t, dirty_link);
      const batch_state_t state = { job, job->state };
      GBytes *bytes = gp_book_pack (job);

      gp_leader_add_record (leader, job->id, bytes);
      g_array_append_val (leader->batch_states, state);
      g_bytes_unref (bytes);
    }
}

/* The append in progress.  */

static void
end_batch (gp_leader_t *leader)
{
  g_clear_pointer (&leader->batch, g_byte_array_unref);
  leader->batch_records = 0;
  g_array_set_size (leader->batch_states, 0);
  leader->doubtful = false;
}

/* Callers may be told now what was written.  */
static void
note_recorded (gp_leader_t *leader)
{
  for (guint i = 0; i < leader->batch_states->len; i++)
    {
      const batch_state_t *entry
          = &g_array_index (leader->batch_states, batch_state_t, i);

      entry->job->recorded = entry->state;
    }
}

static void
batch_done (gp_leader_t *leader, uint64_t offset, gp_time_t sent_at)
{
  gp_histogram_add (&append_time, now_of (leader) - leader->batch_sent_at);
  leader->position = offset + leader->batch_records;
  leader->confirmed_at = sent_at;
  leader->heartbeat_due = now_of (leader) + HEARTBEAT_TIME;
  note_recorded (leader);
  end_batch (leader);
  gp_leader_send_frames (leader);
  if (leader->resigning)
    {
      gp_log (GP_LOG_INFO, "lead.resigned", GP_LOG_I ("epoch", leader->epoch));
      leader->role = GP_LEADER_FOLLOWING;
      gp_leader_drop_links (leader);
      return;
    }
  if (leader->role == GP_LEADER_CLAIMING)
    lead (leader, offset);
  gp_leader_turn_soon (leader);
}

static void
depose (gp_leader_t *leader, const char *why)
{
  bool claimed = leader->role == GP_LEADER_CLAIMING;

  gp_log (GP_LOG_INFO, "lead.lost", GP_LOG_S ("why", why),
          GP_LOG_I ("epoch", leader->epoch), GP_LOG_I ("claiming", claimed));
  leader->role = GP_LEADER_FOLLOWING;
  leader->heard_at = now_of (leader);
  end_batch (leader);
  gp_timer_disarm (&leader->retry);
  gp_leader_drop_links (leader);
  gp_scheduler_reset (&leader->scheduler);
  g_hash_table_remove_all (leader->new_places);
  g_ptr_array_set_size (leader->drops, 0);
  leader->on_deposed (claimed, leader->data);
}

static bool
is_own_record (const gp_leader_t *leader,
               const gp_platform_store_record_t *record)
{
  Gp__Jobs__Leadership *leadership;
  bool own;

  if (!gp_platform_store_record_is (record, GP_LEADER_KEY))
    return false;
  leadership
      = gp__jobs__leadership__unpack (NULL, record->value_size, record->value);
  own = leadership != NULL && strcmp (leadership->node, leader->node) == 0
        && leadership->incarnation == leader->incarnation
        && leadership->beat == leader->beat;
  if (leadership != NULL)
    gp__jobs__leadership__free_unpacked (leadership, NULL);
  return own;
}

/* After a conflict that may be with our own append: what stands there?  */
static void
on_checked (const gp_platform_store_answer_t *answer, void *data)
{
  gp_leader_t *leader = data;
  size_t last = leader->batch_records - 1;

  leader->call = NULL;
  if (answer->result == GP_PLATFORM_STORE_FORGOTTEN)
    {
      depose (leader, "its append cannot be read any more");
      return;
    }
  if (answer->result != GP_PLATFORM_STORE_DONE)
    {
      gp_timer_arm (&leader->retry, now_of (leader) + APPEND_RETRY_TIME);
      return;
    }
  if (answer->count > last && is_own_record (leader, &answer->records[last]))
    batch_done (leader, leader->position, leader->batch_sent_at);
  else
    depose (leader, "another has appended");
}

static void
check_append (gp_leader_t *leader)
{
  leader->call = gp_platform_store_read (
      leader->store, GP_TOPIC_PROGRESS, leader->position, 0,
      now_of (leader) + APPEND_TIME, on_checked, leader);
}

static void
on_appended (const gp_platform_store_answer_t *answer, void *data)
{
  gp_leader_t *leader = data;

  leader->call = NULL;
  switch (answer->result)
    {
    case GP_PLATFORM_STORE_DONE:
      batch_done (leader, answer->offset, answer->sent_at);
      return;
    case GP_PLATFORM_STORE_CONFLICT:
      if (leader->doubtful)
        check_append (leader);
      else
        depose (leader, "another has appended");
      return;
    case GP_PLATFORM_STORE_UNKNOWN:
      leader->doubtful = true;
      break;
    case GP_PLATFORM_STORE_REFUSED:
    case GP_PLATFORM_STORE_FORGOTTEN:
      break;
    }
  gp_log (GP_LOG_INFO, "append.failed", GP_LOG_S ("why", answer->reason),
          GP_LOG_I ("doubtful", leader->doubtful),
          GP_LOG_I ("at", leader->position));
  if (leader->role == GP_LEADER_CLAIMING && !leader->doubtful)
    {
      depose (leader, answer->reason);
      return;
    }
  gp_timer_arm (&leader->retry, now_of (leader) + APPEND_RETRY_TIME);
}

static void
append (gp_leader_t *leader)
{
  gp_time_t now = now_of (leader);

  if (!leader->doubtful)
    leader->batch_sent_at = now;
  leader->call = gp_platform_store_append (
      leader->store, GP_TOPIC_PROGRESS, leader->batch,
      (int64_t)leader->position, now + APPEND_TIME, on_appended, leader);
}

static void
on_retry (gp_timer_t *timer, void *data)
{
  gp_leader_t *leader = data;

  if (leader->call == NULL && leader->batch != NULL)
    append (leader);
}

/* Write down what was decided, unless an append is on its way.  */
static void
flush (gp_leader_t *leader)
{
  bool changed = !gp_list_empty (&leader->scheduler.dirty)
                 || g_hash_table_size (leader->new_places) > 0
                 || leader->drops->len > 0;
  bool due = now_of (leader) >= leader->heartbeat_due;

  if (leader->batch != NULL)
    return;
  gp_leader_make_frames (leader);
  if (!changed && !due && !leader->stopping)
    {
      gp_leader_send_frames (leader);
      return;
    }
  leader->batch = g_byte_array_new ();
  add_places (leader);
  add_dirty_jobs (leader);
  add_drops (leader);
  gp_leader_add_learned (leader);
  add_leadership (leader, leader->stopping);
  leader->resigning = leader->stopping;
  append (leader);
}

/* Turns.  */

static gp_time_t
next_look (const gp_leader_t *leader)
{
  gp_time_t at = MIN (leader->scheduler.next_due, leader->heartbeat_due);

  if (leader->batch != NULL)
    return now_of (leader) + HEARTBEAT_TIME;
  return MAX (at, now_of (leader) + GP_MSEC);
}

static void
on_turn (gp_deferred_t *deferred)
{
  gp_leader_t *leader = GP_CONTAINER_OF (deferred, gp_leader_t, turn);

  if (leader->role != GP_LEADER_LEADING)
    return;
  gp_leader_look_after_executors (leader);
  /* While an append is on its way nothing new can be written: what comes
     meanwhile is decided on together.  */
  if (leader->batch == NULL && !leader->stopping)
    gp_scheduler_plan (&leader->scheduler, now_of (leader),
                       gp_time_wall_ms ());
  flush (leader);
  gp_timer_arm (&leader->timer, next_look (leader));
}

static void
on_timer (gp_timer_t *timer, void *data)
{
  gp_leader_t *leader = data;

  if (leader->role == GP_LEADER_LEADING)
    gp_leader_turn_soon (leader);
}

/* The lead.  */

static void
apply_cancellations (gp_leader_t *leader)
{
  GP_LIST_FOREACH_SAFE (link, &leader->book->live)
  gp_scheduler_job (&leader->scheduler, GP_CONTAINER_OF (link, gp_job_t, link),
                    gp_time_wall_ms ());
}

static void
lead (gp_leader_t *leader, uint64_t epoch)
{
  leader->role = GP_LEADER_LEADING;
  leader->epoch = epoch;
  gp_log (
      GP_LOG_INFO, "lead.taken", GP_LOG_I ("epoch", epoch),
      GP_LOG_I ("jobs", g_hash_table_size (leader->book->jobs)),
      GP_LOG_I ("foreign_leases_ms",
                MAX (leader->foreign_until - now_of (leader), 0) / GP_MSEC));
  apply_cancellations (leader);
  gp_leader_dial_all (leader);
}

static void
claim (gp_leader_t *leader)
{
  leader->role = GP_LEADER_CLAIMING;
  leader->batch = g_byte_array_new ();
  add_leadership (leader, false);
  append (leader);
}

static gp_time_t
silence_time (const gp_leader_t *leader)
{
  if (!leader->led || leader->resigned)
    return 0;
  return SILENCE_TIME + SILENCE_GAPS * leader->heard_gap
         + (gp_time_t)(g_str_hash (leader->node) % 5) * SILENCE_SPREAD / 4;
}

gp_time_t
gp_leader_claim_at (const gp_leader_t *leader)
{
  return leader->heard_at + silence_time (leader);
}

void
gp_leader_retry (gp_leader_t *leader)
{
  if (leader->call == NULL || leader->batch == NULL)
    return;
  gp_platform_store_cancel (leader->call);
  leader->doubtful = true;
  append (leader);
}

void
gp_leader_fresh (gp_leader_t *leader, uint64_t position, gp_time_t sent_at,
                 bool ready)
{
  if (leader->role != GP_LEADER_FOLLOWING)
    return;
  leader->position = position;
  if (!ready || leader->stopping)
    return;
  /* Where nobody leads, nothing has to be waited for.  */
  if (silence_time (leader) > 0 && sent_at < gp_leader_claim_at (leader))
    return;
  claim (leader);
}

void
gp_leader_deaf (gp_leader_t *leader)
{
  leader->heard_at = now_of (leader);
}

/* A record was read.  */
static void
note_heard (gp_leader_t *leader)
{
  gp_time_t now = now_of (leader);
  gp_time_t gap = MIN (now - leader->heard_at, GAP_MAX);

  /* Records of one read come at once.  */
  if (gap > 0)
    leader->heard_gap
        += (gp_time_t)((double)(gap - leader->heard_gap) * GAP_GAIN);
  leader->heard_at = now;
  leader->foreign_until = now + GP_LEADER_TERM_TIME;
}

static void
on_leadership (gp_leader_t *leader, const gp_platform_store_record_t *record)
{
  Gp__Jobs__Leadership *leadership
      = gp__jobs__leadership__unpack (NULL, record->value_size, record->value);

  if (leadership == NULL)
    {
      gp_log (GP_LOG_WARNING, "record.malformed",
              GP_LOG_S ("key", GP_LEADER_KEY));
      return;
    }
  leader->led = true;
  /* An earlier process of this VM has ended, as this one runs.  */
  leader->resigned = leadership->resigned
                     || (strcmp (leadership->node, leader->node) == 0
                         && leadership->incarnation != leader->incarnation);
  gp__jobs__leadership__free_unpacked (leadership, NULL);
}

static void
on_place (gp_leader_t *leader, const char *node,
          const gp_platform_store_record_t *record)
{
  Gp__Jobs__Place *place
      = gp__jobs__place__unpack (NULL, record->value_size, record->value);

  if (place == NULL)
    {
      gp_log (GP_LOG_WARNING, "record.malformed", GP_LOG_S ("key", node));
      return;
    }
  g_hash_table_replace (leader->places, g_strdup (node),
                        g_strdup (place->executor));
  gp__jobs__place__free_unpacked (place, NULL);
}

void
gp_leader_record (gp_leader_t *leader,
                  const gp_platform_store_record_t *record)
{
  char *key = g_strndup (record->key, record->key_size);
  GError *error = NULL;

  note_heard (leader);
  if (gp_platform_store_record_is (record, GP_LEADER_KEY))
    on_leadership (leader, record);
  else if (strcmp (key, GP_LEARNED_KEY) == 0)
    gp_leader_take_learned (leader, record);
  else if (g_str_has_prefix (key, GP_PLACE_PREFIX))
    on_place (leader, key + strlen (GP_PLACE_PREFIX), record);
  else if (gp_job_id_valid (key, record->key_size))
    gp_book_progress (leader->book, key, record->value, record->value_size,
                      &error);
  if (error != NULL)
    {
      gp_log (GP_LOG_WARNING, "record.malformed",
              GP_LOG_S ("why", error->message));
      g_error_free (error);
    }
  g_free (key);
}

void
gp_leader_job (gp_leader_t *leader, gp_job_t *job)
{
  if (leader->role != GP_LEADER_LEADING)
    return;
  gp_scheduler_job (&leader->scheduler, job, gp_time_wall_ms ());
  gp_leader_turn_soon (leader);
}

void
gp_leader_drop_progress (gp_leader_t *leader, int64_t wall_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, leader->book->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_job_t *job = value;

      if (gp_list_empty (&job->dirty_link) && gp_book_expired (job, wall_ms))
        g_ptr_array_add (leader->drops, g_strdup (job->id));
    }
  if (leader->drops->len > 0)
    gp_leader_turn_soon (leader);
}

/* Only between appends: one that is on its way points to its jobs.  */
static void
add_drops (gp_leader_t *leader)
{
  for (guint i = 0; i < leader->drops->len; i++)
    {
      const char *id = g_ptr_array_index (leader->drops, i);

      gp_platform_store_batch_add (leader->batch, id, NULL, 0);
      leader->batch_records++;
      g_hash_table_remove (leader->book->jobs, id);
    }
  g_ptr_array_set_size (leader->drops, 0);
}

void
gp_leader_resign (gp_leader_t *leader)
{
  leader->stopping = true;
  if (leader->role == GP_LEADER_LEADING)
    flush (leader);
}

/* Life.  */

void
gp_leader_init (gp_leader_t *leader, gp_loop_t *loop,
                gp_platform_store_t *store, gp_book_t *book, const char *node,
                void (*on_deposed) (bool claimed, void *data), void *data)
{
  memset (leader, 0, sizeof *leader);
  leader->loop = loop;
  leader->store = store;
  leader->book = book;
  leader->node = node;
  leader->incarnation = (uint64_t)gp_time_wall ();
  leader->on_deposed = on_deposed;
  leader->data = data;
  gp_histogram_register (&append_time);
  gp_pressure_init (&leader->pressure);
  gp_scheduler_init (&leader->scheduler, book, &leader->pressure);
  leader->links = gp_leader_links_new ();
  leader->places
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  leader->new_places = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                              (GDestroyNotify)g_bytes_unref);
  leader->frames = g_ptr_array_new ();
  leader->drops = g_ptr_array_new_with_free_func (g_free);
  leader->batch_states = g_array_new (FALSE, FALSE, sizeof (batch_state_t));
  gp_timer_init (&leader->timer, loop, on_timer, leader);
  gp_timer_init (&leader->retry, loop, on_retry, leader);
  gp_deferred_init (&leader->turn, on_turn);
}

void
gp_leader_finish (gp_leader_t *leader)
{
  if (leader->call != NULL)
    gp_platform_store_cancel (leader->call);
  end_batch (leader);
  gp_leader_drop_links (leader);
  gp_timer_finish (&leader->timer);
  gp_timer_finish (&leader->retry);
  gp_deferred_cancel (&leader->turn);
  g_hash_table_destroy (leader->links);
  g_hash_table_destroy (leader->places);
  g_hash_table_destroy (leader->new_places);
  g_ptr_array_unref (leader->frames);
  g_ptr_array_unref (leader->drops);
  g_array_free (leader->batch_states, TRUE);
  gp_scheduler_finish (&leader->scheduler);
  gp_pressure_finish (&leader->pressure);
}
