/* The leading entry: taking leadership and planning rounds.  Appending to the
   log is in jobsd/leader_append.c, the connections to the guards are in
   jobsd/leader_links.c.  */

#include "jobsd/leader_private.h"

#include <string.h>

#include "base/log.h"
#include "jobs/fields.h"

/* Time without a record after which others try to take over:
   TAKEOVER_TIMEOUT_BASE plus TAKEOVER_TIMEOUT_INTERVALS times the average time
   between two records.  The second part lets a leader with a slow store or on
   a slow VM keep leadership.  Work that is due within 1.5 s waits for a new
   leader.  */
#define TAKEOVER_TIMEOUT_BASE (700 * GP_MSEC)
#define TAKEOVER_TIMEOUT_INTERVALS 4
/* Interval between checks for executors that are not reported or draining;
   short compared with the timeouts that are checked, which are seconds.  */
#define CHECK_INTERVAL (50 * GP_MSEC)
/* Weight of the last duration in the moving average, and the upper bound of
   one duration.  */
#define INTERVAL_GAIN 0.2
#define INTERVAL_MAX (500 * GP_MSEC)
/* Followers wait up to this much longer, depending on their node's name, so
   that two seldom claim at once.  */
#define TAKEOVER_TIMEOUT_JITTER (400 * GP_MSEC)
/* An entry that lost leadership, possibly to an unreadable record of another
   writer, waits this much longer than the others: they have not reset their
   books and may still know what that record replaced.  */
#define BOOK_RESET_DELAY TAKEOVER_TIMEOUT_BASE

static gp_time_t
now_of (const gp_leader_t *leader)
{
  return gp_loop_now (leader->loop);
}

void
gp_leader_schedule_round (gp_leader_t *leader)
{
  gp_deferred_schedule (&leader->round, leader->loop);
}

/* Planning rounds.  */

static gp_time_t
next_wakeup (const gp_leader_t *leader)
{
  gp_time_t at = MIN (leader->scheduler.next_due, leader->heartbeat_due);

  if (leader->batch != NULL)
    at = leader->check_due;
  return MAX (MIN (at, leader->check_due), now_of (leader) + GP_MSEC);
}

/* Scans all executors, so it is not done in each round.  */
static void
check_executors_if_due (gp_leader_t *leader)
{
  if (now_of (leader) < leader->check_due)
    return;
  leader->check_due = now_of (leader) + CHECK_INTERVAL;
  gp_leader_check_executors (leader);
}

static void
on_round (gp_deferred_t *deferred)
{
  gp_leader_t *leader = GP_CONTAINER_OF (deferred, gp_leader_t, round);

  if (leader->role != GP_LEADER_LEADING)
    return;
  check_executors_if_due (leader);
  if (leader->batch == NULL && !leader->stopping)
    gp_leader_consider_handover (leader);
  /* While an append is in flight nothing new can be written: what arrives in
     the meantime is decided on together.  */
  if (leader->batch == NULL && !leader->stopping && !leader->handing_over)
    gp_scheduler_plan (&leader->scheduler, now_of (leader),
                       gp_time_wall_ms ());
  gp_leader_flush (leader);
  gp_timer_arm (&leader->timer, next_wakeup (leader));
}

static void
on_timer (gp_timer_t *timer, void *data)
{
  gp_leader_t *leader = data;

  if (leader->role == GP_LEADER_LEADING)
    gp_leader_schedule_round (leader);
}

/* Leadership.  */

/* Handle what arrived for jobs before this process led: cancellations, and
   progress records that another writer has made unreadable.  */
static void
take_over_jobs (gp_leader_t *leader)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, leader->book->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_job_t *job = value;

      if (job->newest_unreadable && job->submission != NULL)
        gp_scheduler_rewrite (&leader->scheduler, job);
      gp_scheduler_job_changed (&leader->scheduler, job, gp_time_wall_ms ());
    }
}

static void
set_leader_node (gp_leader_t *leader, const char *node)
{
  g_free (leader->leader_node);
  leader->leader_node = g_strdup (node);
}

const char *
gp_leader_current_node (const gp_leader_t *leader)
{
  return leader->role == GP_LEADER_LEADING ? leader->node
                                           : leader->leader_node;
}

void
gp_leader_start_leading (gp_leader_t *leader, uint64_t epoch)
{
  leader->role = GP_LEADER_LEADING;
  leader->epoch = epoch;
  set_leader_node (leader, NULL);
  /* A leadership of this node that was lost renews no more leases.  */
  gp_grants_leader_ended (&leader->grants, leader->node, now_of (leader));
  gp_candidacy_taken (&leader->candidacy, now_of (leader));
  gp_log (GP_LOG_INFO, "lead.taken", GP_LOG_I ("epoch", epoch),
          GP_LOG_I ("jobs", g_hash_table_size (leader->book->jobs)),
          GP_LOG_I ("foreign_leases_ms",
                    MAX (gp_grants_end_time (&leader->grants, false)
                             - now_of (leader),
                         0)
                        / GP_MSEC));
  take_over_jobs (leader);
  gp_room_begin (&leader->room, leader->room_reading.record, now_of (leader));
  gp_leader_dial_all (leader);
}

/* Returns by how much later than the first one this entry claims, so that
   seldom two claim at once: by the order of entries if there is one.  Only one
   entry finds that the leader was an earlier process of its VM.  */
static gp_time_t
claim_stagger (const gp_leader_t *leader)
{
  if (leader->led_here)
    return 0;
  if (leader->standbys != NULL && gp_standbys_are_ordered (leader->standbys))
    return gp_standbys_claim_delay (leader->standbys);
  if (!leader->leader_known || leader->resigned)
    return 0;
  return (gp_time_t)(g_str_hash (leader->node) % 5) * TAKEOVER_TIMEOUT_JITTER
         / 4;
}

static gp_time_t
takeover_timeout (const gp_leader_t *leader)
{
  gp_time_t delay
      = gp_candidacy_claim_delay (&leader->candidacy) + claim_stagger (leader);

  if (!leader->leader_known || leader->resigned)
    return delay;
  return delay + TAKEOVER_TIMEOUT_BASE
         + TAKEOVER_TIMEOUT_INTERVALS * leader->record_interval
         + (leader->book_reset ? BOOK_RESET_DELAY : 0);
}

gp_time_t
gp_leader_record_read_at (const gp_leader_t *leader)
{
  return leader->record_read_at;
}

gp_time_t
gp_leader_claim_at (const gp_leader_t *leader)
{
  /* On a new site no record has been read, and the timeout counts from the
     start of this process.  */
  return MAX (leader->record_read_at, leader->scheduler.process_started_at)
         + takeover_timeout (leader);
}

void
gp_leader_caught_up (gp_leader_t *leader, uint64_t position, gp_time_t sent_at,
                     bool ready)
{
  if (leader->role != GP_LEADER_FOLLOWING)
    return;
  leader->position = position;
  if (!ready || leader->stopping)
    return;
  /* If no leader is known, a claim need not wait.  */
  if (takeover_timeout (leader) > 0 && sent_at < gp_leader_claim_at (leader))
    return;
  gp_leader_claim (leader);
}

void
gp_leader_reset_takeover_timeout (gp_leader_t *leader)
{
  leader->record_read_at = now_of (leader);
}

/* Update the time of the last record and the average time between records.  */
static void
note_record_read (gp_leader_t *leader)
{
  gp_time_t now = now_of (leader);
  gp_time_t gap = MIN (now - leader->record_read_at, INTERVAL_MAX);

  /* All records of one read arrive at the same time.  */
  if (gap > 0)
    leader->record_interval
        += (gp_time_t)((double)(gap - leader->record_interval)
                       * INTERVAL_GAIN);
  leader->record_read_at = now;
}

bool
gp_leader_raise_incarnation (gp_leader_t *leader, uint64_t incarnation)
{
  if (leader->role != GP_LEADER_FOLLOWING
      || incarnation <= leader->incarnation)
    return false;
  leader->incarnation = incarnation + 1;
  return true;
}

void
gp_leader_announced (gp_leader_t *leader, const char *node,
                     uint64_t incarnation, uint64_t ceased)
{
  gp_grants_process_announced (&leader->grants, node, incarnation, ceased,
                               now_of (leader));
}

static void
on_leadership (gp_leader_t *leader, const Gp__Jobs__Leadership *leadership,
               uint64_t offset)
{
  bool here = strcmp (leadership->node, leader->node) == 0;
  bool own = here && leadership->incarnation == leader->incarnation;

  leader->leader_known = true;
  if (here)
    gp_leader_raise_incarnation (leader, leadership->incarnation);
  /* An earlier process on this VM must have ended, as this one is running.  */
  leader->led_here = here && !own;
  leader->resigned = leadership->resigned || leader->led_here;
  set_leader_node (leader, leader->resigned ? NULL : leadership->node);
  if (!own)
    leader->book_reset = false;
  gp_grants_leadership_read (&leader->grants, leadership, offset,
                             now_of (leader));
  gp_candidacy_leader_read (&leader->candidacy, leadership->node,
                            leadership->resigned, offset, now_of (leader));
  if (leader->resigned)
    gp_grants_leader_ended (&leader->grants, leadership->node,
                            now_of (leader));
}

/* The leader's record cannot be read, so there may be a leader: claims wait
   for the full time without a record once.  Further records of this kind do
   not delay a claim.  */
static void
on_leadership_refused (gp_leader_t *leader)
{
  gp_grants_leadership_unreadable (&leader->grants, now_of (leader));
  if (!leader->leader_known)
    note_record_read (leader);
  leader->leader_known = true;
  leader->resigned = false;
  leader->led_here = false;
  set_leader_node (leader, NULL);
}

gboolean
gp_leader_is_recorded_elsewhere (gpointer node, gpointer executor,
                                 gpointer data)
{
  const gp_leader_place_t *place = data;

  return strcmp (node, place->node) != 0
         && strcmp (executor, place->executor) == 0;
}

/* An executor runs on one VM only.  If records place it on two, one of them is
   from another writer: the new one is ignored, and until a guard reports the
   executor neither record is taken as proof of its death.  */
static bool
on_place (gp_leader_t *leader, const char *node, const Gp__Jobs__Place *record,
          GError **error)
{
  const char *executor = record->executor;
  gp_leader_place_t place = { node, executor };

  if (g_hash_table_find (leader->places, gp_leader_is_recorded_elsewhere,
                         &place)
      != NULL)
    {
      g_hash_table_add (leader->disputed, g_strdup (executor));
      return gp_field_fail (error, "executor",
                            "recorded on another VM already");
    }
  g_hash_table_replace (leader->places, g_strdup (node), g_strdup (executor));
  gp_book_executor (leader->book, executor)->born_ms = record->born_ms;
  return true;
}

/* Apply a decoded record; returns false and sets ERROR if it does not fit the
   current state.  */
static bool
apply_record (gp_leader_t *leader, gp_record_t *record,
              gp_book_position_t place, GError **error)
{
  switch (record->kind)
    {
    case GP_RECORD_PROGRESS:
      return gp_book_apply_progress (leader->book, record->subject,
                                     g_steal_pointer (&record->u.progress),
                                     place, error)
             != NULL;
    case GP_RECORD_PLACE:
      return on_place (leader, record->subject, record->u.place, error);
    case GP_RECORD_LEADERSHIP:
      on_leadership (leader, record->u.leadership, place.offset);
      break;
    case GP_RECORD_LEARNED:
      gp_leader_load_model (leader, record->u.learned);
      if (record->refused != NULL)
        gp_refusals_record_row (&leader->refusals, record, record->refused);
      break;
    case GP_RECORD_ROOM:
      gp_leader_read_room (leader, record, place.loading);
      break;
    case GP_RECORD_UNKNOWN:
    case GP_RECORD_SUBMISSION:
    case GP_RECORD_CANCELLATION:
    case GP_RECORD_NODE:
      break;
    }
  return true;
}

/* Handle an unreadable record according to its key.  */
static void
refuse_record (gp_leader_t *leader, const gp_record_t *record,
               gp_book_position_t place)
{
  if (record->kind == GP_RECORD_PROGRESS)
    gp_book_refuse_progress (leader->book, record->subject, place);
  if (record->kind == GP_RECORD_LEADERSHIP)
    on_leadership_refused (leader);
}

void
gp_leader_apply_record (gp_leader_t *leader,
                        const gp_platform_store_record_t *record, bool loading)
{
  const gp_book_position_t place
      = { .offset = record->offset, .loading = loading };
  gp_record_t decoded;
  GError *error = NULL;

  gp_grants_record_read (&leader->grants, record->offset, now_of (leader));
  /* The key was deleted.  */
  if (record->value_size == 0)
    return;
  if (!gp_record_parse_progress (&decoded, record->key, record->key_size,
                                 record->value, record->value_size, &error))
    refuse_record (leader, &decoded, place);
  else if (apply_record (leader, &decoded, place, &error))
    note_record_read (leader);
  if (error != NULL)
    {
      gp_refusals_record (&leader->refusals, "progress", &decoded, record,
                          error);
      g_error_free (error);
    }
  gp_record_finish (&decoded);
}

void
gp_leader_job_changed (gp_leader_t *leader, gp_job_t *job)
{
  if (leader->role != GP_LEADER_LEADING)
    return;
  gp_scheduler_job_changed (&leader->scheduler, job, gp_time_wall_ms ());
  gp_leader_schedule_round (leader);
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

      if (job->dropped && gp_list_empty (&job->dirty_link)
          && gp_book_expired (job, wall_ms))
        g_ptr_array_add (leader->progress_drops, g_strdup (job->id));
    }
  if (leader->progress_drops->len > 0)
    gp_leader_schedule_round (leader);
}

void
gp_leader_resign (gp_leader_t *leader)
{
  leader->stopping = true;
  if (leader->role == GP_LEADER_LEADING)
    gp_leader_flush (leader);
}

/* Initialization.  */

void
gp_leader_init (gp_leader_t *leader, gp_loop_t *loop,
                gp_platform_store_t *store, gp_book_t *book,
                const gp_operator_feed_t *operators, const char *node,
                void (*on_leadership_lost) (bool claimed, void *data),
                void *data)
{
  memset (leader, 0, sizeof *leader);
  leader->loop = loop;
  leader->store = store;
  leader->book = book;
  leader->operators = operators;
  leader->node = node;
  leader->incarnation = (uint64_t)gp_time_wall ();
  leader->on_leadership_lost = on_leadership_lost;
  leader->data = data;
  gp_grants_init (&leader->grants);
  /* Earlier processes on this node have ended.  */
  gp_grants_process_announced (&leader->grants, node, leader->incarnation, 0,
                               gp_loop_now (loop));
  gp_leader_handover_init (leader);
  gp_pressure_init (&leader->pressure);
  gp_filling_names_init (&leader->fillings);
  gp_scheduler_init (&leader->scheduler, book, &leader->pressure);
  leader->scheduler.process_started_at = gp_loop_now (loop);
  leader->links = gp_leader_links_new ();
  leader->places
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  leader->disputed
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  gp_refusals_init (&leader->refusals);
  gp_spec_distribution_init (&leader->specs);
  leader->new_places = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                              (GDestroyNotify)g_bytes_unref);
  leader->frames = g_ptr_array_new ();
  leader->progress_drops = g_ptr_array_new_with_free_func (g_free);
  gp_timer_init (&leader->timer, loop, on_timer, leader);
  gp_leader_append_init (leader);
  gp_leader_room_init (leader);
  gp_deferred_init (&leader->round, on_round);
}

void
gp_leader_finish (gp_leader_t *leader)
{
  gp_leader_append_finish (leader);
  gp_leader_room_finish (leader);
  gp_leader_close_links (leader);
  gp_timer_finish (&leader->timer);
  gp_deferred_cancel (&leader->round);
  g_hash_table_destroy (leader->links);
  g_hash_table_destroy (leader->places);
  g_hash_table_destroy (leader->disputed);
  gp_refusals_finish (&leader->refusals);
  gp_spec_distribution_finish (&leader->specs);
  g_hash_table_destroy (leader->new_places);
  g_ptr_array_unref (leader->frames);
  g_ptr_array_unref (leader->progress_drops);
  gp_scheduler_finish (&leader->scheduler);
  gp_pressure_finish (&leader->pressure);
  gp_filling_names_finish (&leader->fillings);
  gp_grants_finish (&leader->grants);
  gp_candidacy_finish (&leader->candidacy);
  g_free (leader->leader_node);
}
