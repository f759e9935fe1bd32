/* Tasks at an entry: initialization, message dispatch, responsibility and
   periodic work.  */

#include "daemon/tasks_private.h"

#include <string.h>
#include <xxhash.h>

#include "base/counters.h"
#include "base/log.h"
#include "coordination/rendezvous.h"

#define TICK (50 * GP_MSEC)
#define DUE_PER_TICK 500

static gp_counter_t proposals_refused = GP_COUNTER (
    "entry_task_proposals_refused_total",
    "Records on tasks that were not taken, as the log took nothing.");
static gp_counter_t tasks_pending
    = GP_GAUGE ("entry_tasks_pending", "Tasks that wait for a worker.");
static gp_counter_t tasks_granted
    = GP_GAUGE ("entry_tasks_granted", "Tasks with a grant.");
static gp_counter_t tasks_parked
    = GP_GAUGE ("entry_tasks_parked", "Tasks that are parked.");

/* Lookups.  */

gp_tasks_task_t *
gp_tasks_find (const gp_tasks_t *tasks, uint64_t id)
{
  return g_hash_table_lookup (tasks->tasks, &id);
}

static void
kind_free (gpointer data)
{
  gp_tasks_kind_t *kind = data;

  g_free (kind->name);
  g_free (kind);
}

gp_tasks_kind_t *
gp_tasks_ensure_kind (gp_tasks_t *tasks, const char *name)
{
  gp_tasks_kind_t *kind = g_hash_table_lookup (tasks->kinds, name);

  if (kind != NULL)
    return kind;
  kind = g_new0 (gp_tasks_kind_t, 1);
  kind->name = g_strdup (name);
  kind->index
      = (uint16_t)MIN (g_hash_table_size (tasks->kinds), UINT16_MAX - 1);
  gp_estimate_init (&kind->estimate);
  g_hash_table_insert (tasks->kinds, kind->name, kind);
  return kind;
}

static void
team_free (gpointer data)
{
  gp_tasks_team_t *team = data;

  g_free (team->name);
  g_free (team);
}

/* Sets the team's quota and task limit to the region's share of those in the
   document.  A team that the document does not declare is unlimited.  */
static void
apply_team_limits (gp_tasks_t *tasks, gp_tasks_team_t *team)
{
  const gp_document_team_t *declared = NULL;
  gp_resources_t limit = { UINT32_MAX, UINT32_MAX, UINT32_MAX };

  team->max_tasks = UINT32_MAX;
  if (tasks->document != NULL)
    declared = gp_document_find_team (tasks->document, team->name);
  if (declared != NULL)
    {
      const gp_settings_t *settings = tasks->settings;

      limit.millicores
          = gp_settings_region_share (settings, declared->quota.millicores);
      limit.memory_mib
          = gp_settings_region_share (settings, declared->quota.memory_mib);
      limit.accelerators
          = gp_settings_region_share (settings, declared->quota.accelerators);
      team->max_tasks
          = gp_settings_region_share (settings, declared->max_tasks);
    }
  gp_quota_set_limit (&tasks->quota, team->index, &limit);
}

gp_tasks_team_t *
gp_tasks_ensure_team (gp_tasks_t *tasks, const char *name)
{
  gp_tasks_team_t *team = g_hash_table_lookup (tasks->teams, name);

  if (team != NULL)
    return team;
  team = g_new0 (gp_tasks_team_t, 1);
  team->name = g_strdup (name);
  team->index = g_hash_table_size (tasks->teams);
  team->responsible = gp_tasks_is_responsible (tasks, "team", name);
  apply_team_limits (tasks, team);
  g_hash_table_insert (tasks->teams, team->name, team);
  return team;
}

/* Responsibility.  */

/* Whether SESSION is with another entry of this region, which acts on the same
   tasks.  */
static bool
is_live_entry (const gp_tasks_t *tasks, const gp_session_t *session)
{
  return session->ready && session->role == GP__WIRE__ROLE__ROLE_ENTRY
         && g_strcmp0 (session->region, tasks->settings->region) == 0;
}

bool
gp_tasks_is_responsible (const gp_tasks_t *tasks, const char *scope,
                         const char *name)
{
  char *key = g_strconcat (scope, "/", name, NULL);
  uint64_t own = gp_rendezvous_rank (key, tasks->settings->name);
  bool responsible = true;

  for (guint i = 0; i < tasks->live_entry_names->len; i++)
    if (gp_rendezvous_rank (key,
                            g_ptr_array_index (tasks->live_entry_names, i))
        > own)
      responsible = false;
  g_free (key);
  return responsible;
}

static uint64_t
digest_live_entries (const gp_tasks_t *tasks)
{
  uint64_t digest = 0;

  GP_LIST_FOREACH (pos, &tasks->host->sessions)
  {
    const gp_session_t *session = GP_CONTAINER_OF (pos, gp_session_t, link);

    if (is_live_entry (tasks, session))
      digest += XXH3_64bits (session->process, strlen (session->process));
  }
  return digest;
}

static void
list_live_entries (gp_tasks_t *tasks)
{
  tasks->live_digest = digest_live_entries (tasks);
  g_ptr_array_set_size (tasks->live_entry_names, 0);
  GP_LIST_FOREACH (pos, &tasks->host->sessions)
  {
    const gp_session_t *session = GP_CONTAINER_OF (pos, gp_session_t, link);

    if (is_live_entry (tasks, session))
      g_ptr_array_add (tasks->live_entry_names, g_strdup (session->process));
  }
}

/* Recomputes what this entry is responsible for, after entries connected or
   disconnected.  */
static void
reassign_responsibility (gp_tasks_t *tasks)
{
  GHashTableIter iter;
  gpointer value;

  list_live_entries (tasks);
  g_hash_table_iter_init (&iter, tasks->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_tasks_team_t *team = value;

      team->responsible = gp_tasks_is_responsible (tasks, "team", team->name);
    }
  g_hash_table_iter_init (&iter, tasks->guards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_tasks_guard_t *guard = value;

      guard->responsible
          = gp_tasks_is_responsible (tasks, "guard", guard->name);
    }
  g_hash_table_iter_init (&iter, tasks->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_tasks_task_t *task = value;
      const gp_fold_task_t *state
          = gp_fold_task (gp_store_fold (tasks->store), task->id);

      if (task->stage == GP_TASKS_QUEUED && !task->team->responsible)
        gp_tasks_dequeue (tasks, task);
      else if (task->stage == GP_TASKS_IDLE && !task->park_proposed
               && task->team->responsible && state != NULL
               && state->phase == GP__RECORD__TASK_PHASE__TASK_PHASE_PENDING)
        gp_tasks_enqueue (tasks, task, false);
    }
  tasks->watchers_changed = true;
}

/* Proposals and events.  */

bool
gp_tasks_propose (gp_tasks_t *tasks, const Gp__Record__Record *record,
                  gp_writer_priority_t priority, gp_proposal_done_t done,
                  void *data)
{
  gp_time_t deadline = gp_tasks_now (tasks) + GP_TASKS_PROPOSAL_TIME;

  if (gp_store_propose (tasks->store, record, priority, deadline, done, data,
                        NULL)
      == GP_WRITER_QUEUED)
    return true;
  gp_counter_add (&proposals_refused, 1);
  return false;
}

void
gp_tasks_add_event (gp_tasks_t *tasks, gp_timeline_kind_t kind, uint64_t task,
                    uint64_t epoch, const char *vm, const char *text)
{
  gp_timeline_subject_t subject = { .task = task, .epoch = epoch, .vm = vm };

  if (tasks->timeline != NULL)
    gp_timeline_append (tasks->timeline, kind, &subject, text,
                        gp_time_wall ());
}

static void
on_log_read (gp_time_t sent_at, void *data)
{
  gp_tasks_t *tasks = data;

  gp_lease_grantor_read_done (&tasks->grantor, sent_at);
  gp_tasks_judge_unknown (tasks, sent_at);
}

static void
on_log_gap (void *data)
{
  gp_tasks_t *tasks = data;

  gp_lease_grantor_log_gap (&tasks->grantor, gp_tasks_now (tasks));
}

/* Periodic work.  */

static void
check_due_tasks (gp_tasks_t *tasks, gp_time_t now)
{
  for (int i = 0; i < DUE_PER_TICK && !gp_list_empty (&tasks->due_tasks); i++)
    {
      gp_tasks_task_t *task
          = GP_CONTAINER_OF (tasks->due_tasks.next, gp_tasks_task_t, due_link);

      if (task->due_at > now)
        return;
      gp_list_remove (&task->due_link);
      if (task->stage == GP_TASKS_GRANTED)
        gp_tasks_send_pending (tasks, task);
    }
}

static void
set_gauges (const gp_tasks_t *tasks)
{
  const uint32_t *count = gp_store_fold (tasks->store)->phase_count;

  gp_counter_set (&tasks_pending,
                  count[GP__RECORD__TASK_PHASE__TASK_PHASE_PENDING]);
  gp_counter_set (&tasks_granted,
                  count[GP__RECORD__TASK_PHASE__TASK_PHASE_GRANTED]);
  gp_counter_set (&tasks_parked,
                  count[GP__RECORD__TASK_PHASE__TASK_PHASE_PARKED]);
}

static void
run_periodic (gp_tasks_t *tasks, gp_time_t now)
{
  tasks->next_tick = now + TICK;
  if (digest_live_entries (tasks) != tasks->live_digest)
    reassign_responsibility (tasks);
  gp_tasks_lease_tick (tasks);
  gp_tasks_guards_check_due (tasks);
  gp_tasks_expire_submissions (tasks);
  set_gauges (tasks);
  if (!gp_store_ready (tasks->store))
    return;
  check_due_tasks (tasks, now);
  gp_tasks_adjust_watchers (tasks);
  gp_tasks_unpark_fitting (tasks);
}

static void
on_timer (gp_timer_t *timer, void *data)
{
  gp_tasks_t *tasks = data;
  gp_time_t now = gp_tasks_now (tasks);

  (void)timer;
  if (now >= tasks->next_tick)
    run_periodic (tasks, now);
  gp_tasks_place (tasks);
}

static void
on_deferred (gp_deferred_t *deferred)
{
  gp_tasks_place (GP_CONTAINER_OF (deferred, gp_tasks_t, deferred));
}

void
gp_tasks_schedule_placement (gp_tasks_t *tasks)
{
  gp_deferred_schedule (&tasks->deferred, tasks->host->loop);
}

void
gp_tasks_set_due (gp_tasks_t *tasks, gp_tasks_task_t *task)
{
  gp_list_remove (&task->due_link);
  task->due_at = gp_tasks_now (tasks) + tasks->due_period;
  gp_list_push_back (&tasks->due_tasks, &task->due_link);
}

/* Initialization and message dispatch.  */

static void
register_counters (void)
{
  gp_counter_register (&proposals_refused);
  gp_counter_register (&tasks_pending);
  gp_counter_register (&tasks_granted);
  gp_counter_register (&tasks_parked);
}

static void
init_tables (gp_tasks_t *tasks)
{
  tasks->tasks
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  tasks->guards = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                         gp_tasks_guard_free);
  tasks->kinds
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, kind_free);
  tasks->teams
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, team_free);
  tasks->zone_numbers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  tasks->rack_numbers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  tasks->service_numbers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

gp_tasks_t *
gp_tasks_new (gp_session_host_t *host, gp_store_t *store,
              const gp_settings_t *settings, uint64_t incarnation, GRand *rand,
              gp_timeline_t *timeline)
{
  gp_tasks_t *tasks = g_new0 (gp_tasks_t, 1);

  tasks->host = host;
  tasks->store = store;
  tasks->settings = settings;
  tasks->timeline = timeline;
  tasks->rand = rand;
  tasks->incarnation = incarnation;
  tasks->started_at = gp_tasks_now (tasks);
  tasks->due_period = settings->timings.heartbeat_ms * (2 * GP_MSEC);
  gp_list_init (&tasks->due_tasks);
  tasks->submissions
      = g_ptr_array_new_with_free_func (gp_tasks_pending_submission_free);
  register_counters ();
  tasks->live_entry_names = g_ptr_array_new_with_free_func (g_free);
  tasks->unknown_reports = gp_tasks_unknown_reports_new ();
  init_tables (tasks);
  gp_tasks_guards_init (tasks);
  gp_tasks_place_init (tasks);
  gp_tasks_lease_init (tasks);
  gp_timer_init (&tasks->timer, host->loop, on_timer, tasks);
  gp_deferred_init (&tasks->deferred, on_deferred);
  gp_timer_arm (&tasks->timer, gp_tasks_now (tasks) + TICK);
  tasks->subscriber
      = (gp_store_subscriber_t){ .on_change = gp_tasks_on_change,
                                 .on_rebuilt = gp_tasks_on_rebuilt,
                                 .on_read = on_log_read,
                                 .on_gap = on_log_gap,
                                 .data = tasks };
  gp_store_subscribe (store, &tasks->subscriber);
  return tasks;
}

void
gp_tasks_free (gp_tasks_t *tasks)
{
  gp_list_remove (&tasks->subscriber.link);
  gp_timer_finish (&tasks->timer);
  gp_deferred_cancel (&tasks->deferred);
  g_ptr_array_unref (tasks->submissions);
  g_ptr_array_unref (tasks->live_entry_names);
  g_ptr_array_unref (tasks->unknown_reports);
  gp_tasks_clear_mirror (tasks);
  g_hash_table_unref (tasks->guards);
  gp_tasks_lease_finish (tasks);
  gp_tasks_place_finish (tasks);
  g_hash_table_unref (tasks->tasks);
  g_hash_table_unref (tasks->kinds);
  g_hash_table_unref (tasks->teams);
  g_hash_table_unref (tasks->zone_numbers);
  g_hash_table_unref (tasks->rack_numbers);
  g_hash_table_unref (tasks->service_numbers);
  g_free (tasks);
}

void
gp_tasks_set_document (gp_tasks_t *tasks, const gp_document_t *document,
                       uint64_t revision)
{
  GHashTableIter iter;
  gpointer value;

  tasks->revision = revision;
  tasks->document = document;
  gp_tasks_update_evacuated (tasks);
  if (document != NULL)
    gp_tasks_configure_remedies (tasks);
  for (uint32_t i = 0; document != NULL && i < document->watchers_count; i++)
    gp_tasks_ensure_kind (tasks, document->watchers[i].name);
  g_hash_table_iter_init (&iter, tasks->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    apply_team_limits (tasks, value);
  tasks->watchers_changed = true;
  tasks->shapes_changed = true;
  gp_tasks_schedule_placement (tasks);
}

static void
on_guard_message (gp_tasks_t *tasks, gp_session_t *session,
                  const Gp__Wire__Envelope *envelope)
{
  switch ((int)envelope->message_case)
    {
    case GP__WIRE__ENVELOPE__MESSAGE_ANNOUNCE:
      gp_tasks_on_announce (tasks, session, envelope->announce);
      break;
    case GP__WIRE__ENVELOPE__MESSAGE_HEARTBEAT:
      gp_tasks_on_heartbeat (tasks, session, envelope->heartbeat);
      break;
    case GP__WIRE__ENVELOPE__MESSAGE_INVENTORY:
      gp_tasks_on_inventory (tasks, session, envelope->inventory);
      break;
    case GP__WIRE__ENVELOPE__MESSAGE_TASK_REPORT:
      gp_tasks_on_report (tasks, session, envelope->task_report);
      break;
    case GP__WIRE__ENVELOPE__MESSAGE_USAGE:
      gp_tasks_on_usage (tasks, session, envelope->usage);
      break;
    default:
      break;
    }
}

void
gp_tasks_on_message (gp_tasks_t *tasks, gp_session_t *session,
                     const Gp__Wire__Envelope *envelope)
{
  if (session->role == GP__WIRE__ROLE__ROLE_GUARD)
    on_guard_message (tasks, session, envelope);
  if (session->role != GP__WIRE__ROLE__ROLE_ENTRY)
    return;
  if (envelope->message_case == GP__WIRE__ENVELOPE__MESSAGE_VOUCH_ASK)
    gp_tasks_on_vouch_ask (tasks, session, envelope->vouch_ask);
  if (envelope->message_case == GP__WIRE__ENVELOPE__MESSAGE_VOUCH)
    gp_tasks_on_vouch (tasks, session, envelope->vouch);
}

void
gp_tasks_on_closed (gp_tasks_t *tasks, gp_session_t *session)
{
  gp_tasks_guard_t *guard = gp_tasks_find_guard (tasks, session->process);

  if (guard == NULL || guard->session != session)
    return;
  guard->session = NULL;
  gp_tasks_guard_check_by (tasks, guard, gp_tasks_now (tasks));
  gp_tasks_guard_update_state (tasks, guard);
}

void
gp_tasks_on_member (gp_tasks_t *tasks, const gp_member_t *member)
{
  const char *name = member->announcement.name;
  gp_tasks_guard_t *guard = gp_tasks_find_guard (tasks, name);

  /* The member change may come before the guard's announcement is handled
     by gp_tasks_on_announce.  */
  if (guard == NULL && member->announcement.millicores > 0
      && member->state != GP_MEMBER_GONE)
    guard = gp_tasks_ensure_guard (tasks, name);
  if (guard == NULL)
    return;
  guard->member = member->state == GP_MEMBER_GONE ? NULL : member;
  gp_tasks_guard_check_by (tasks, guard, gp_tasks_now (tasks));
  gp_tasks_guard_update_state (tasks, guard);
}
