/* The leader's appends to the progress topic: one at a time, whose outcome is
   determined before the next one starts.  */

#include "jobsd/leader_private.h"

#include <string.h>

#include "base/counters.h"
#include "base/histogram.h"
#include "base/log.h"
#include "protocol/message.h"

#define APPEND_TIMEOUT (GP_SEC)
#define APPEND_RETRY_DELAY (60 * GP_MSEC)
/* An append that takes longer counts as delayed: the runs that it orders are
   timed from its end, not from when they were decided.  */
#define SLOW_APPEND_THRESHOLD (200 * GP_MSEC)

/* Bytes of the length of a key within a record.  */
#define KEY_LENGTH_SIZE 1

static gp_counter_t left_out_count
    = GP_COUNTER ("checkpoints_left_out_total",
                  "Checkpoints for which a job's record had no room");
static gp_histogram_t append_time = GP_HISTOGRAM (
    "progress_append", "From the first sending of an append to its end");

/* The state of a job as written by the append in progress.  */
typedef struct
{
  gp_job_t *job;
  gp_job_state_t state;
} batch_state_t;

static gp_time_t
now_of (const gp_leader_t *leader)
{
  return gp_loop_now (leader->loop);
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

/* Each batch ends with the leader's record.  It identifies the writer when an
   append got no answer and its outcome is looked up.  */
static void
add_leadership (gp_leader_t *leader, bool resigned)
{
  Gp__Jobs__Leadership record = GP__JOBS__LEADERSHIP__INIT;
  GBytes *value;

  record.node = (char *)leader->node;
  record.incarnation = leader->incarnation;
  record.resigned = resigned;
  record.beat = ++leader->heartbeat_number;
  gp_grants_add_formers (&leader->grants, &record, now_of (leader));
  value = gp_message_pack (&record.base);
  gp_grants_free_formers (&record);
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
  place.born_ms = gp_book_executor (leader->book, executor)->born_ms;
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

/* Returns the progress of JOB in a record that the log accepts.  */
static GBytes *
pack_job (const gp_leader_t *leader, const gp_job_t *job)
{
  const size_t key_size = KEY_LENGTH_SIZE + GP_JOB_ID_SIZE;
  size_t limit = leader->record_bytes > key_size
                     ? leader->record_bytes - key_size
                     : SIZE_MAX;
  unsigned left_out;
  GBytes *bytes = gp_book_pack_within (job, limit, &left_out);

  if (left_out > 0)
    {
      gp_counter_add (&left_out_count, left_out);
      gp_log (GP_LOG_WARNING, "progress.shortened", GP_LOG_S ("job", job->id),
              GP_LOG_I ("checkpoints", left_out),
              GP_LOG_I ("bytes", (int64_t)g_bytes_get_size (bytes)),
              GP_LOG_I ("limit", (int64_t)leader->record_bytes));
    }
  return bytes;
}

/* Returns whether the batch has room for a record of SIZE bytes and, as the
   leader's own records follow those of the jobs, for one of any size.  */
static bool
has_batch_room (const gp_leader_t *leader, size_t size)
{
  return leader->append_bytes == 0 || leader->batch_states->len == 0
         || leader->batch->len + size + leader->record_bytes
                <= leader->append_bytes;
}

static void
add_job (gp_leader_t *leader, gp_job_t *job, GBytes *progress)
{
  const batch_state_t state = { job, job->state };

  gp_leader_add_record (leader, job->id, progress);
  g_array_append_val (leader->batch_states, state);
  if (!gp_job_ended (job))
    return;
  gp_spec_distribution_remove_job (&leader->specs, job->id);
  gp_room_job_ended (&leader->room, job, now_of (leader));
}

/* Adds the changed jobs that fit into one append; the others remain in the
   list.  */
static void
add_dirty_jobs (gp_leader_t *leader)
{
  gp_list_t *dirty = &leader->scheduler.dirty;

  while (!gp_list_empty (dirty))
    {
      gp_job_t *job = GP_CONTAINER_OF (dirty->next, gp_job_t, dirty_link);
      GBytes *bytes = pack_job (leader, job);
      bool fits = has_batch_room (leader, g_bytes_get_size (bytes));

      if (fits)
        {
          gp_list_remove (&job->dirty_link);
          add_job (leader, job, bytes);
        }
      g_bytes_unref (bytes);
      if (!fits)
        return;
    }
}

/* The append in progress.  */

static void
end_batch (gp_leader_t *leader)
{
  g_clear_pointer (&leader->batch, g_byte_array_unref);
  leader->batch_records = 0;
  leader->batch_began_at = 0;
  g_array_set_size (leader->batch_states, 0);
  leader->outcome_unknown = false;
}

/* From now on the states that were written may be sent to callers.  */
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

/* The orders of the append are sent now.  If it was delayed, the runs that
   were decided with it are timed from its end; it makes no difference whether
   the store did not answer or refused.  */
static void
note_orders_sent (gp_leader_t *leader)
{
  gp_time_t now = now_of (leader);
  gp_time_t took = now - leader->batch_began_at;

  gp_histogram_add (&append_time, took);
  if (took <= SLOW_APPEND_THRESHOLD)
    return;
  gp_log (GP_LOG_INFO, "append.put_off", GP_LOG_I ("for_ms", took / GP_MSEC),
          GP_LOG_I ("jobs", leader->batch_states->len),
          GP_LOG_I ("frames", leader->frames->len));
  gp_scheduler_orders_delayed (&leader->scheduler, leader->batch_began_at,
                               now);
}

/* Follow the log again.  CLAIMED: an attempt to take leadership has failed;
   otherwise this entry has led, and its book is reloaded.  */
static void
follow (gp_leader_t *leader, bool claimed)
{
  leader->role = GP_LEADER_FOLLOWING;
  leader->resigning = false;
  leader->handing_over = false;
  leader->book_reset = leader->book_reset || !claimed;
  leader->record_read_at = now_of (leader);
  end_batch (leader);
  gp_timer_disarm (&leader->retry);
  gp_leader_close_links (leader);
  gp_scheduler_reset (&leader->scheduler);
  g_hash_table_remove_all (leader->new_places);
  /* Places are reloaded with the book: one that was never written must not
     count as written when this entry leads again.  */
  if (!claimed)
    g_hash_table_remove_all (leader->places);
  g_ptr_array_set_size (leader->progress_drops, 0);
  leader->on_leadership_lost (claimed, leader->data);
}

/* The resignation is on the log.  */
static void
end_leadership (gp_leader_t *leader)
{
  bool hands_over = leader->handing_over && !leader->stopping;

  gp_log (GP_LOG_INFO, "lead.resigned",
          GP_LOG_S ("why", hands_over ? "a stronger entry is known"
                                      : "the process stops"),
          GP_LOG_I ("epoch", leader->epoch));
  if (hands_over)
    {
      gp_leader_note_handover (leader, leader->position - 1);
      follow (leader, false);
      return;
    }
  leader->role = GP_LEADER_FOLLOWING;
  gp_leader_close_links (leader);
}

static void begin_append (gp_leader_t *leader, bool resigns);

/* The batch is on the log, but not all changed jobs fitted in: appends the
   next ones.  The orders that were decided with all of them wait until the
   last one is on the log; a leader that stops meanwhile resigns after they
   were sent.  */
static void
continue_append (gp_leader_t *leader)
{
  gp_time_t began_at = leader->batch_began_at;

  end_batch (leader);
  leader->batch_began_at = began_at;
  begin_append (leader, false);
}

static void
complete_batch (gp_leader_t *leader, uint64_t offset, gp_time_t sent_at)
{
  leader->append_time = now_of (leader) - leader->batch_began_at;
  leader->position = offset + leader->batch_records;
  leader->confirmed_at = sent_at;
  leader->heartbeat_due = now_of (leader) + GP_LEADER_HEARTBEAT_INTERVAL;
  note_recorded (leader);
  if (leader->batch_is_partial)
    {
      continue_append (leader);
      return;
    }
  note_orders_sent (leader);
  end_batch (leader);
  gp_leader_send_frames (leader);
  if (leader->resigning)
    {
      end_leadership (leader);
      return;
    }
  if (leader->role == GP_LEADER_CLAIMING)
    gp_leader_start_leading (leader, offset);
  gp_leader_schedule_round (leader);
}

static void
lose_leadership (gp_leader_t *leader, const char *why)
{
  bool claimed = leader->role == GP_LEADER_CLAIMING;

  gp_log (GP_LOG_INFO, "lead.lost", GP_LOG_S ("why", why),
          GP_LOG_I ("epoch", leader->epoch), GP_LOG_I ("claiming", claimed));
  follow (leader, claimed);
}

static bool
is_own_record (const gp_leader_t *leader,
               const gp_platform_store_record_t *record)
{
  Gp__Jobs__Leadership *leadership;
  bool own;

  if (!gp_platform_store_record_has_key (record, GP_LEADER_KEY))
    return false;
  leadership
      = gp__jobs__leadership__unpack (NULL, record->value_size, record->value);
  own = leadership != NULL && strcmp (leadership->node, leader->node) == 0
        && leadership->incarnation == leader->incarnation
        && leadership->beat == leader->heartbeat_number;
  if (leadership != NULL)
    gp__jobs__leadership__free_unpacked (leadership, NULL);
  return own;
}

static void append (gp_leader_t *leader);
static void check_append (gp_leader_t *leader);

/* Returns whether ANSWER contains a leader's record of another process.  One
   that cannot be read counts as well.  */
static bool
has_other_leader (const gp_platform_store_answer_t *answer)
{
  for (size_t i = 0; i < answer->count; i++)
    if (gp_platform_store_record_has_key (&answer->records[i], GP_LEADER_KEY))
      return true;
  return false;
}

/* RECORD of another writer replaces what the leader had written under its key:
   write that again, for entries that start later.  */
static void
restore_record (gp_leader_t *leader, const gp_platform_store_record_t *record)
{
  char *key = g_strndup (record->key, record->key_size);
  gp_job_t *job = gp_book_find (leader->book, key);

  if (job != NULL)
    gp_scheduler_rewrite (&leader->scheduler, job);
  else if (g_str_has_prefix (key, GP_PLACE_PREFIX))
    {
      const char *node = key + strlen (GP_PLACE_PREFIX);
      char *executor = g_strdup (g_hash_table_lookup (leader->places, node));

      if (executor != NULL)
        gp_leader_add_place (leader, node, executor);
      g_free (executor);
    }
  g_free (key);
}

/* The records in between are from a writer that is not a leader.  They do not
   end leadership; the append is repeated after them.  An earlier attempt at
   the previous offset cannot succeed any more.  */
static void
append_after_foreign (gp_leader_t *leader,
                      const gp_platform_store_answer_t *answer)
{
  gp_log (GP_LOG_WARNING, "append.passed", GP_LOG_I ("records", answer->count),
          GP_LOG_I ("at", leader->position));
  for (size_t i = 0; i < answer->count; i++)
    restore_record (leader, &answer->records[i]);
  leader->position += answer->count;
  leader->outcome_unknown = false;
  if (leader->position < answer->end)
    check_append (leader);
  else
    append (leader);
}

/* After a conflict: the records at the expected offset were read.  They may be
   this process's own append.  */
static void
on_checked (const gp_platform_store_answer_t *answer, void *data)
{
  gp_leader_t *leader = data;
  size_t last = leader->batch_records - 1;

  leader->call = NULL;
  if (answer->result == GP_PLATFORM_STORE_EXPIRED)
    {
      lose_leadership (
          leader, "the log has dropped the records at its append's offset");
      return;
    }
  if (answer->result != GP_PLATFORM_STORE_DONE)
    {
      gp_timer_arm (&leader->retry, now_of (leader) + APPEND_RETRY_DELAY);
      return;
    }
  if (leader->outcome_unknown && answer->count > last
      && is_own_record (leader, &answer->records[last]))
    complete_batch (leader, leader->position, leader->batch_leases_from);
  else if (answer->count == 0 || has_other_leader (answer))
    lose_leadership (leader, "another process has appended");
  else
    append_after_foreign (leader, answer);
}

static void
check_append (gp_leader_t *leader)
{
  leader->call = gp_platform_store_read (
      leader->store, GP_TOPIC_PROGRESS, leader->position, 0,
      now_of (leader) + APPEND_TIMEOUT, on_checked, leader);
}

/* Replace the resignation in the batch, which no attempt has appended, by a
   record that confirms leadership.  A leader that resigns acknowledges no
   reports, so it must not go on resigning while the store refuses appends.  */
static void
withdraw_resignation (gp_leader_t *leader)
{
  g_byte_array_set_size (leader->batch, leader->leadership_at);
  leader->batch_records--;
  leader->handing_over = false;
  leader->resigning = false;
  add_leadership (leader, false);
}

static void
on_appended (const gp_platform_store_answer_t *answer, void *data)
{
  gp_leader_t *leader = data;

  leader->call = NULL;
  switch (answer->result)
    {
    case GP_PLATFORM_STORE_DONE:
      complete_batch (leader, answer->offset, answer->sent_at);
      return;
    case GP_PLATFORM_STORE_CONFLICT:
      if (leader->role == GP_LEADER_CLAIMING && !leader->outcome_unknown)
        lose_leadership (leader, "another process has appended");
      else
        check_append (leader);
      return;
    case GP_PLATFORM_STORE_UNKNOWN:
      leader->outcome_unknown = true;
      break;
    case GP_PLATFORM_STORE_REFUSED:
    case GP_PLATFORM_STORE_EXPIRED:
      break;
    }
  gp_log (GP_LOG_INFO, "append.failed", GP_LOG_S ("why", answer->reason),
          GP_LOG_I ("doubtful", leader->outcome_unknown),
          GP_LOG_I ("at", leader->position));
  if (leader->role == GP_LEADER_CLAIMING && !leader->outcome_unknown)
    {
      lose_leadership (leader, answer->reason);
      return;
    }
  if (leader->handing_over && !leader->stopping && !leader->outcome_unknown)
    withdraw_resignation (leader);
  gp_timer_arm (&leader->retry, now_of (leader) + APPEND_RETRY_DELAY);
}

static void
append (gp_leader_t *leader)
{
  gp_time_t now = now_of (leader);

  if (leader->batch_began_at == 0)
    leader->batch_began_at = now;
  if (!leader->outcome_unknown)
    leader->batch_leases_from = now;
  leader->call = gp_platform_store_append (
      leader->store, GP_TOPIC_PROGRESS, leader->batch,
      (int64_t)leader->position, now + APPEND_TIMEOUT, on_appended, leader);
}

static void
on_retry (gp_timer_t *timer, void *data)
{
  gp_leader_t *leader = data;

  if (leader->call == NULL && leader->batch != NULL)
    append (leader);
}

/* Only called between appends: the batch of one in flight points to its
   jobs.  */
static void
add_progress_drops (gp_leader_t *leader)
{
  for (guint i = 0; i < leader->progress_drops->len; i++)
    {
      const char *id = g_ptr_array_index (leader->progress_drops, i);

      gp_platform_store_batch_add (leader->batch, id, NULL, 0);
      leader->batch_records++;
      g_hash_table_remove (leader->book->jobs, id);
    }
  g_ptr_array_set_size (leader->progress_drops, 0);
}

/* Appends what has changed, as much as one append takes.  RESIGNS: gives
   leadership up with it, unless some of it is left for the next append.  */
static void
begin_append (gp_leader_t *leader, bool resigns)
{
  leader->batch = g_byte_array_new ();
  add_places (leader);
  add_dirty_jobs (leader);
  leader->batch_is_partial = !gp_list_empty (&leader->scheduler.dirty);
  if (!leader->batch_is_partial)
    {
      add_progress_drops (leader);
      gp_leader_add_model (leader);
      gp_leader_add_room (leader);
    }
  leader->leadership_at = leader->batch->len;
  leader->resigning = resigns && !leader->batch_is_partial;
  add_leadership (leader, leader->resigning);
  append (leader);
}

void
gp_leader_flush (gp_leader_t *leader)
{
  bool changed = !gp_list_empty (&leader->scheduler.dirty)
                 || g_hash_table_size (leader->new_places) > 0
                 || leader->progress_drops->len > 0;
  bool due = now_of (leader) >= leader->heartbeat_due;
  bool resigns = leader->stopping || leader->handing_over;

  if (leader->batch != NULL)
    return;
  if (resigns)
    gp_leader_rule_out_formers (leader);
  gp_leader_build_frames (leader);
  if (!changed && !due && !resigns)
    {
      gp_leader_send_frames (leader);
      return;
    }
  begin_append (leader, resigns);
}

void
gp_leader_claim (gp_leader_t *leader)
{
  leader->role = GP_LEADER_CLAIMING;
  leader->batch_is_partial = false;
  leader->batch = g_byte_array_new ();
  add_leadership (leader, false);
  append (leader);
}

void
gp_leader_retry (gp_leader_t *leader)
{
  if (leader->call == NULL || leader->batch == NULL)
    return;
  gp_platform_store_cancel (leader->call);
  leader->outcome_unknown = true;
  append (leader);
}

void
gp_leader_append_init (gp_leader_t *leader)
{
  gp_histogram_register (&append_time);
  gp_counter_register (&left_out_count);
  leader->batch_states = g_array_new (FALSE, FALSE, sizeof (batch_state_t));
  gp_timer_init (&leader->retry, leader->loop, on_retry, leader);
}

void
gp_leader_append_finish (gp_leader_t *leader)
{
  if (leader->call != NULL)
    gp_platform_store_cancel (leader->call);
  end_batch (leader);
  gp_timer_finish (&leader->retry);
  g_array_free (leader->batch_states, TRUE);
}
