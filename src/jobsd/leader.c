/* The leading entry: taking the lead and its turns.  What it writes down is in
   jobsd/leader_append.c, the connections to the guards in
   jobsd/leader_links.c.  */

#include "jobsd/leader_private.h"

#include <string.h>

#include "base/log.h"

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

/* Turns.  */

static gp_time_t
next_look (const gp_leader_t *leader)
{
  gp_time_t at = MIN (leader->scheduler.next_due, leader->heartbeat_due);

  if (leader->batch != NULL)
    return now_of (leader) + GP_LEADER_HEARTBEAT_TIME;
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
  gp_leader_flush (leader);
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

void
gp_leader_lead (gp_leader_t *leader, uint64_t epoch)
{
  leader->role = GP_LEADER_LEADING;
  leader->epoch = epoch;
  /* It gives nothing any more by a lead of its own that was lost.  */
  gp_grants_ended (&leader->grants, leader->node, now_of (leader));
  gp_log (GP_LOG_INFO, "lead.taken", GP_LOG_I ("epoch", epoch),
          GP_LOG_I ("jobs", g_hash_table_size (leader->book->jobs)),
          GP_LOG_I (
              "foreign_leases_ms",
              MAX (gp_grants_end (&leader->grants, false) - now_of (leader), 0)
                  / GP_MSEC));
  apply_cancellations (leader);
  gp_leader_dial_all (leader);
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
  gp_leader_claim (leader);
}

void
gp_leader_deaf (gp_leader_t *leader)
{
  leader->heard_at = now_of (leader);
}

/* A record was read.  */
static void
note_heard (gp_leader_t *leader, uint64_t offset)
{
  gp_time_t now = now_of (leader);
  gp_time_t gap = MIN (now - leader->heard_at, GAP_MAX);

  gp_grants_read (&leader->grants, offset, now);
  /* Records of one read come at once.  */
  if (gap > 0)
    leader->heard_gap
        += (gp_time_t)((double)(gap - leader->heard_gap) * GAP_GAIN);
  leader->heard_at = now;
}

bool
gp_leader_outnumber (gp_leader_t *leader, uint64_t incarnation)
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
  gp_grants_announced (&leader->grants, node, incarnation, ceased,
                       now_of (leader));
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
  if (strcmp (leadership->node, leader->node) == 0)
    gp_leader_outnumber (leader, leadership->incarnation);
  /* An earlier process of this VM has ended, as this one runs.  */
  leader->resigned = leadership->resigned
                     || (strcmp (leadership->node, leader->node) == 0
                         && leadership->incarnation != leader->incarnation);
  gp_grants_heard (&leader->grants, leadership, record->offset,
                   now_of (leader));
  if (leader->resigned)
    gp_grants_ended (&leader->grants, leadership->node, now_of (leader));
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

  note_heard (leader, record->offset);
  if (record->value_size == 0)
    ; /* a key was dropped */
  else if (gp_platform_store_record_is (record, GP_LEADER_KEY))
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

void
gp_leader_resign (gp_leader_t *leader)
{
  leader->stopping = true;
  if (leader->role == GP_LEADER_LEADING)
    gp_leader_flush (leader);
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
  gp_grants_init (&leader->grants);
  /* Earlier processes here have ended.  */
  gp_grants_announced (&leader->grants, node, leader->incarnation, 0,
                       gp_loop_now (loop));
  gp_pressure_init (&leader->pressure);
  gp_scheduler_init (&leader->scheduler, book, &leader->pressure);
  leader->links = gp_leader_links_new ();
  leader->places
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  leader->new_places = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                              (GDestroyNotify)g_bytes_unref);
  leader->frames = g_ptr_array_new ();
  leader->drops = g_ptr_array_new_with_free_func (g_free);
  gp_timer_init (&leader->timer, loop, on_timer, leader);
  gp_leader_append_init (leader);
  gp_deferred_init (&leader->turn, on_turn);
}

void
gp_leader_finish (gp_leader_t *leader)
{
  gp_leader_append_finish (leader);
  gp_leader_drop_links (leader);
  gp_timer_finish (&leader->timer);
  gp_deferred_cancel (&leader->turn);
  g_hash_table_destroy (leader->links);
  g_hash_table_destroy (leader->places);
  g_hash_table_destroy (leader->new_places);
  g_ptr_array_unref (leader->frames);
  g_ptr_array_unref (leader->drops);
  gp_scheduler_finish (&leader->scheduler);
  gp_pressure_finish (&leader->pressure);
  gp_grants_finish (&leader->grants);
}
