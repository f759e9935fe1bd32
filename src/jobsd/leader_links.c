/* The leading entry's connections to the guards.  */

#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "jobs/fields.h"
#include "jobs/suspicion.h"
#include "jobsd/leader_private.h"

/* Timeout of a connection attempt.  */
#define DIAL_TIMEOUT (GP_SEC)
#define REDIAL_DELAY (200 * GP_MSEC)

/* A sync that the guard has not confirmed after this time is sent again.  */
#define RESYNC_TIMEOUT (2 * GP_SEC)
/* Upper bound of the reported age of the zone data, which is useless by
   then.  */
#define ZONE_AGE_MAX (3600 * GP_SEC)

static void dial (gp_guard_link_t *link);

/* Reports.  */

static bool
is_evacuated (const gp_guard_link_t *link)
{
  return gp_evacuations_has (&link->leader->operators->evacuations,
                             link->zone);
}

/* Age of the data on evacuated zones, rounded up.  */
static uint32_t
zone_age_ms (const gp_leader_t *leader)
{
  gp_time_t age = MIN (gp_operator_feed_age (leader->operators), ZONE_AGE_MAX);

  return (uint32_t)(age / GP_MSEC + 1);
}

static void
acknowledge (gp_guard_link_t *link, const Gp__Jobs__Report *report)
{
  gp_model_update_t update;
  gp_leader_t *leader = link->leader;
  gp_time_t now = gp_loop_now (leader->loop);
  Gp__Jobs__Acknowledge message = GP__JOBS__ACKNOWLEDGE__INIT;
  Gp__Jobs__Frame frame = GP__JOBS__FRAME__INIT;

  /* The loop's time may be stale: the process may have been suspended
     since.  */
  if (gp_time_now () > leader->confirmed_at + GP_GRANTS_TERM_TIME
      || leader->resigning)
    {
      gp_reply_watch_reset (&link->replies);
      return;
    }
  gp_reply_watch_replied (&link->replies, now);
  gp_model_update_init (&update);
  message.sent_at = report->sent_at;
  message.lead_age_ms = (uint32_t)((now - leader->confirmed_at) / GP_MSEC + 1);
  message.zone_age_ms = zone_age_ms (leader);
  message.evacuated = is_evacuated (link);
  gp_leader_add_model_update (link, report, &message, &update);
  frame.message_case = GP__JOBS__FRAME__MESSAGE_ACKNOWLEDGE;
  frame.acknowledge = &message;
  gp_frame_send (link->peer, &frame);
  gp_model_update_finish (&update);
}

/* The guard on NODE reports EXECUTOR, so records of another writer that place
   it on another VM are wrong.  If they remained, EXECUTOR would be declared
   dead as soon as the guard of that VM reports its own executor, and each of
   its runs would be started a second time.  */
static void
remove_foreign_places (gp_leader_t *leader, const char *node,
                       const char *executor)
{
  gp_leader_place_t place = { node, executor };

  g_hash_table_foreach_remove (leader->places, gp_leader_is_recorded_elsewhere,
                               &place);
}

/* Returns whether PREDECESSOR, from a guard's report, describes this
   incarnation of EXECUTOR.  */
static bool
is_predecessor (const Gp__Jobs__Predecessor *predecessor,
                const gp_job_executor_t *executor)
{
  return predecessor != NULL
         && strcmp (predecessor->executor, executor->id) == 0
         && (predecessor->born_ms == 0 || executor->born_ms == 0
             || predecessor->born_ms == executor->born_ms);
}

/* The guard reports NEXT, another executor than EXECUTOR or another
   incarnation of it.  PREDECESSOR describes the previous one, or is NULL.  */
static void
replace_executor (gp_leader_t *leader, gp_job_executor_t *executor,
                  gp_job_executor_t *next,
                  const Gp__Jobs__Predecessor *predecessor, gp_death_t why)
{
  if (is_predecessor (predecessor, executor))
    {
      gp_scheduler_clear_suspects (executor);
      gp_scheduler_note_suspects (&leader->scheduler, executor,
                                  predecessor->suspects,
                                  predecessor->n_suspects);
    }
  gp_leader_declare_dead (leader, executor, why);
  gp_scheduler_executor_replaced (executor, next);
}

/* Returns whether REPORT is from another incarnation of EXECUTOR, whose id it
   names.  Guards and place records of the previous version give no start
   time.  */
static bool
is_next_incarnation (const gp_job_executor_t *executor,
                     const Gp__Jobs__Report *report)
{
  int64_t born_ms = report->executor->born_ms;

  return executor->born_ms != 0 && born_ms != 0
         && executor->born_ms != born_ms;
}

/* EXECUTOR has restarted under the same id.  Returns its next incarnation,
   which keeps the runs that it has started, by orders that arrived late, or
   ended.  */
static gp_job_executor_t *
begin_next_incarnation (gp_leader_t *leader, gp_job_executor_t *executor,
                        const Gp__Jobs__Report *report)
{
  gp_job_executor_t *next = gp_book_next_incarnation (
      leader->book, executor, report->executor->born_ms);

  for (size_t i = 0; i < report->n_carried; i++)
    gp_scheduler_move_run (&leader->scheduler, executor, next,
                           report->carried[i]->task, report->carried[i]->run);
  for (size_t i = 0; i < report->n_ends; i++)
    gp_scheduler_move_run (&leader->scheduler, executor, next,
                           report->ends[i]->task, report->ends[i]->run);
  gp_log (GP_LOG_INFO, "executor.next_life",
          GP_LOG_S ("executor", executor->id),
          GP_LOG_I ("born_ms", next->born_ms),
          GP_LOG_I ("born_before_ms", executor->born_ms),
          GP_LOG_I ("carried", next->task_count),
          GP_LOG_I ("lost", executor->task_count));
  if (!executor->dead)
    replace_executor (leader, executor, next, report->predecessor,
                      GP_DEATH_RESTARTED);
  return next;
}

/* The incarnation that REPORT names.  */
static gp_job_executor_t *
reported_incarnation (gp_leader_t *leader, const Gp__Jobs__Report *report)
{
  gp_job_executor_t *executor
      = gp_book_executor (leader->book, report->executor->id);

  if (is_next_incarnation (executor, report))
    return begin_next_incarnation (leader, executor, report);
  if (report->executor->born_ms != 0)
    executor->born_ms = report->executor->born_ms;
  return executor;
}

static void
set_executor (gp_guard_link_t *link, const Gp__Jobs__Report *report)
{
  gp_leader_t *leader = link->leader;
  const char *id = report->executor->id;
  int64_t born_before_ms = gp_book_executor (leader->book, id)->born_ms;
  gp_job_executor_t *executor = reported_incarnation (leader, report);
  const char *before = g_hash_table_lookup (leader->places, link->node);
  bool other = g_strcmp0 (before, id) != 0;

  if (other && before != NULL
      && !g_hash_table_contains (leader->disputed, before))
    replace_executor (leader, gp_book_executor (leader->book, before),
                      executor, report->predecessor, GP_DEATH_REPLACED);
  if (other || executor->born_ms != born_before_ms)
    gp_leader_add_place (leader, link->node, id);
  if (g_hash_table_remove (leader->disputed, id))
    remove_foreign_places (leader, link->node, id);
  if (link->executor != executor)
    {
      link->executor = executor;
      link->needs_sync = true;
    }
}

static void
apply_report (gp_guard_link_t *link, const Gp__Jobs__Report *report)
{
  gp_leader_t *leader = link->leader;
  gp_job_executor_t *executor = link->executor;
  gp_time_t now = gp_loop_now (leader->loop);

  if (!report->executor->unchanged)
    gp_job_executor_update (executor, report->executor, now);
  executor->evacuated = is_evacuated (link);
  gp_scheduler_note_strays (&leader->scheduler, executor, report->carried,
                            report->n_carried);
  for (size_t i = 0; i < report->n_ends; i++)
    {
      if (!gp_scheduler_run_ended (&leader->scheduler, executor,
                                   report->ends[i], now, gp_time_wall_ms ()))
        break;
    }
  /* Before the absent runs, which are no longer assigned afterwards.  */
  gp_scheduler_note_refused (&leader->scheduler, executor, report->refused,
                             report->n_refused);
  for (size_t i = 0; i < report->n_absent; i++)
    gp_scheduler_run_absent (&leader->scheduler, executor, report->absent[i],
                             now);
  gp_scheduler_note_settled (&leader->scheduler, executor, report->settled,
                             report->n_settled);
  gp_scheduler_note_unconfirmed (&leader->scheduler, executor,
                                 report->unconfirmed, report->n_unconfirmed,
                                 now);
  if (report->synced == 0)
    gp_scheduler_note_unsynced (executor, report->carried, report->n_carried,
                                now);
  else if (report->synced == link->sync)
    gp_scheduler_note_confirmed (&leader->scheduler, executor, now);
  if (report->ended && !executor->dead)
    gp_leader_declare_dead (leader, executor, GP_DEATH_DEREGISTERED);
  if (report->keeps_alone)
    gp_suspicion_extend_dedication (executor, now);
  if (executor->suspects_reported)
    gp_scheduler_clear_suspects (executor);
  if ((report->lapsed || report->down) && !executor->dead)
    gp_scheduler_note_suspects (&leader->scheduler, executor, report->suspects,
                                report->n_suspects);
  if (report->down && !executor->dead)
    gp_scheduler_executor_down (&leader->scheduler, executor, now);
  if (report->lapsed && !executor->dead)
    gp_leader_declare_dead (leader, executor,
                            report->answers ? GP_DEATH_LAPSED
                                            : GP_DEATH_LAPSED_UNANSWERED);
  /* The executor may start runs again only with a new fence, which a sync
     raises.  */
  if (executor->dead)
    link->needs_sync = true;
  if (report->synced != link->sync
      && now - link->sync_sent_at > RESYNC_TIMEOUT)
    link->needs_sync = true;
  if (!report->down && (executor->down || executor->reported_since == 0))
    gp_scheduler_executor_up (&leader->scheduler, executor, now);
  executor->down = report->down;
  if (executor->down && !executor->dead)
    gp_scheduler_withdraw_starts (&leader->scheduler, executor);
  link->executor_lost = report->ended || (report->lapsed && !report->answers);
  link->awaits_record = report->awaits_record;
  executor->reported_at = now;
  executor->guard_stopping = report->stopping;
  executor->disconnected_at = 0;
  executor->unanswered_at = 0;
  if (executor->reported_since == 0)
    executor->reported_since = now;
  executor->reachable = !report->lapsed && !report->ended && !report->stopping
                        && !link->needs_sync && report->synced == link->sync;
}

/* Returns whether REPORT is from the guard of LINK's VM, and closes the
   connection if not.  A guard of another VM at this address reports another
   executor, which would be taken as proof that the one here is dead.  */
static bool
is_of_link (const gp_guard_link_t *link, const Gp__Jobs__Report *report)
{
  GError *error = NULL;

  if (strcmp (report->node, link->node) == 0)
    return true;
  gp_field_fail (&error, "report.node",
                 "report comes from the guard of another VM");
  gp_refusals_frame (&link->leader->refusals, link->address, error);
  g_error_free (error);
  gp_peer_close (link->peer, true);
  return false;
}

/* Remember jobs whose specification the guard could not get from another
   guard.  */
static void
add_missing_specs (gp_guard_link_t *link, const Gp__Jobs__Report *report)
{
  gp_leader_t *leader = link->leader;

  for (size_t i = 0; i < report->n_lacking; i++)
    if (gp_spec_distribution_is_missing (&leader->specs, report->lacking[i],
                                         link->node,
                                         gp_loop_now (leader->loop)))
      g_ptr_array_add (link->missing_specs, g_strdup (report->lacking[i]));
}

/* Returns whether REPORT requires a planning round.  Most reports only contain
   measurements, which are used in the next round: 300 guards send a thousand
   reports a second, and a round goes through all waiting jobs.  */
static bool
needs_round (const gp_guard_link_t *link, const Gp__Jobs__Report *report)
{
  return report->n_ends > 0 || report->n_absent > 0 || report->awaits_record
         || link->needs_sync || link->missing_specs->len > 0
         || !report->executor->unchanged || link->executor->dead;
}

static void
on_report (gp_guard_link_t *link, const Gp__Jobs__Report *report)
{
  gp_leader_t *leader = link->leader;
  bool was_reachable;
  bool was_down;

  if (leader->role != GP_LEADER_LEADING || !is_of_link (link, report))
    return;
  if (!link->reporting)
    gp_log (GP_LOG_INFO, "guard.up", GP_LOG_S ("guard", link->node),
            GP_LOG_S ("executor",
                      report->executor != NULL ? report->executor->id : ""));
  link->reporting = true;
  if (link->first_report_at == 0)
    link->first_report_at = gp_loop_now (leader->loop);
  link->reported_at = gp_loop_now (leader->loop);
  link->unheard = gp_reply_watch_is_unheard (
      &link->replies, (gp_time_t)report->unheard_ms * GP_MSEC,
      link->reported_at);
  acknowledge (link, report);
  link->has_executor = report->executor != NULL;
  link->report_sent_at = report->sent_at;
  if (!link->has_executor)
    return;
  set_executor (link, report);
  was_reachable = link->executor->reachable;
  was_down = link->executor->down;
  gp_leader_update_model (link, report);
  add_missing_specs (link, report);
  apply_report (link, report);
  if (link->executor->reachable != was_reachable
      || link->executor->down != was_down || needs_round (link, report))
    gp_leader_schedule_round (leader);
}

static void
on_frame (gp_peer_t *peer, const uint8_t *bytes, size_t size, void *data)
{
  gp_guard_link_t *link = data;
  gp_leader_t *leader = link->leader;
  Gp__Jobs__Frame *frame = gp_frame_receive (
      peer, &leader->refusals, gp_loop_now (leader->loop), bytes, size);

  if (frame == NULL)
    return;
  if (peer == link->peer
      && frame->message_case == GP__JOBS__FRAME__MESSAGE_REPORT)
    on_report (link, frame->report);
  gp__jobs__frame__free_unpacked (frame, NULL);
}

/* Connections.  */

static void
mark_down (gp_guard_link_t *link, const char *why)
{
  if (link->reporting && link->leader->role == GP_LEADER_LEADING)
    gp_log (GP_LOG_INFO, "guard.down", GP_LOG_S ("guard", link->node),
            GP_LOG_S ("why", why));
  link->reporting = false;
  link->has_executor = false;
  link->peer = NULL;
  link->unheard = false;
  gp_reply_watch_reset (&link->replies);
  link->needs_sync = true;
  link->awaits_record = false;
  link->confirmed = 0;
  link->fillings = (gp_filling_cursor_t){ 0 };
  gp_spec_distribution_remove_guard (&link->leader->specs, link->node);
  g_ptr_array_set_size (link->missing_specs, 0);
  if (link->executor == NULL)
    return;
  link->executor->reachable = false;
  if (link->leader->role != GP_LEADER_LEADING)
    return;
  gp_scheduler_guard_lost (&link->leader->scheduler, link->executor);
  gp_leader_schedule_round (link->leader);
}

/* A connection of LINK that was opened at link->reported_at was not
   answered.  */
static void
note_unanswered (gp_guard_link_t *link)
{
  const char *id = g_hash_table_lookup (link->leader->places, link->node);
  gp_job_executor_t *executor;

  if (id == NULL || link->reporting)
    return;
  executor = gp_book_executor (link->leader->book, id);
  if (executor->unanswered_at == 0)
    executor->unanswered_at = link->reported_at;
}

static void
on_close (gp_peer_t *peer, const GError *reason, void *data)
{
  gp_guard_link_t *link = data;

  if (link == NULL || link->peer != peer)
    return;
  /* Later connections, on which nothing was reported, do not count: attempts
     to connect to a lost guard fail again and again.  */
  if (link->executor != NULL && link->executor->disconnected_at == 0)
    link->executor->disconnected_at = gp_loop_now (link->leader->loop);
  if (g_error_matches (reason, GP_TRANSPORT_ERROR, GP_TRANSPORT_ERROR_TIMEOUT))
    note_unanswered (link);
  mark_down (link,
             reason != NULL ? reason->message : "closed by this process");
  gp_timer_arm (&link->redial,
                gp_loop_now (link->leader->loop) + REDIAL_DELAY);
}

static void
disconnect (gp_guard_link_t *link, const char *why)
{
  gp_peer_t *peer = link->peer;

  mark_down (link, why);
  if (peer == NULL)
    return;
  gp_peer_set_data (peer, NULL);
  gp_peer_close (peer, true);
}

static void
send_lead (gp_guard_link_t *link)
{
  Gp__Jobs__Lead message = GP__JOBS__LEAD__INIT;
  Gp__Jobs__Frame frame = GP__JOBS__FRAME__INIT;

  message.epoch = link->leader->epoch;
  message.node = (char *)link->leader->node;
  frame.message_case = GP__JOBS__FRAME__MESSAGE_LEAD;
  frame.lead = &message;
  gp_frame_send (link->peer, &frame);
}

static void
dial (gp_guard_link_t *link)
{
  static const gp_peer_callbacks_t callbacks
      = { .on_frame = on_frame, .on_close = on_close };
  gp_time_t now = gp_loop_now (link->leader->loop);
  GError *error = NULL;

  if (link->peer != NULL || link->leader->role != GP_LEADER_LEADING)
    return;
  link->reported_at = now;
  link->peer = gp_peer_connect (link->leader->loop, link->address, NULL,
                                now + DIAL_TIMEOUT, &callbacks, link, &error);
  if (link->peer != NULL)
    {
      send_lead (link);
      return;
    }
  gp_log (GP_LOG_WARNING, "guard.address", GP_LOG_S ("guard", link->node),
          GP_LOG_S ("why", error->message));
  g_error_free (error);
}

static void
on_redial (gp_timer_t *timer, void *data)
{
  dial (data);
}

static void
free_link (gpointer data)
{
  gp_guard_link_t *link = data;

  gp_timer_finish (&link->redial);
  g_ptr_array_unref (link->missing_specs);
  g_free (link->node);
  g_free (link->address);
  g_free (link->zone);
  g_free (link);
}

GHashTable *
gp_leader_links_new (void)
{
  gp_leader_register_places ();
  return g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_link);
}

void
gp_leader_dial_all (gp_leader_t *leader)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, leader->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    dial (value);
}

void
gp_leader_close_links (gp_leader_t *leader)
{
  GHashTableIter iter;
  gpointer value;

  gp_leader_discard_frames (leader);
  gp_spec_distribution_reset (&leader->specs);
  g_hash_table_iter_init (&iter, leader->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_guard_link_t *link = value;

      gp_timer_disarm (&link->redial);
      disconnect (link, "this entry does not lead");
      link->executor = NULL;
      link->first_report_at = 0;
    }
}

void
gp_leader_set_guard (gp_leader_t *leader, const char *node,
                     const char *address, const char *zone)
{
  gp_guard_link_t *link = g_hash_table_lookup (leader->links, node);

  if (link == NULL)
    {
      link = g_new0 (gp_guard_link_t, 1);
      link->leader = leader;
      link->node = g_strdup (node);
      link->missing_specs = g_ptr_array_new_with_free_func (g_free);
      gp_timer_init (&link->redial, leader->loop, on_redial, link);
      g_hash_table_insert (leader->links, link->node, link);
    }
  if (g_strcmp0 (link->zone, zone) != 0)
    {
      g_free (link->zone);
      link->zone = g_strdup (zone);
    }
  if (g_strcmp0 (link->address, address) != 0)
    {
      g_free (link->address);
      link->address = g_strdup (address);
      disconnect (link, "the guard's address has changed");
    }
  dial (link);
}

void
gp_leader_zones_changed (gp_leader_t *leader)
{
  GHashTableIter iter;
  gpointer value;

  if (leader->role != GP_LEADER_LEADING)
    return;
  g_hash_table_iter_init (&iter, leader->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_guard_link_t *link = value;

      if (link->executor != NULL)
        link->executor->evacuated = is_evacuated (link);
    }
  gp_leader_schedule_round (leader);
}

void
gp_leader_check_link (gp_guard_link_t *link)
{
  gp_time_t now = gp_loop_now (link->leader->loop);

  if (link->peer == NULL)
    return;
  if (link->unheard)
    disconnect (link, "the guard receives nothing on this connection");
  else if (now - link->reported_at >= GP_LEADER_REPORT_TIMEOUT)
    disconnect (link, "no report from the guard in time");
  else
    return;
  gp_timer_arm (&link->redial, now + REDIAL_DELAY);
}
