/* Guards with a worker, and the state of the workers in the fleet.  */

#include "daemon/tasks_private.h"

#include <string.h>

#include "base/log.h"

gp_tasks_guard_t *
gp_tasks_find_guard (const gp_tasks_t *tasks, const char *name)
{
  return g_hash_table_lookup (tasks->guards, name);
}

gp_tasks_guard_t *
gp_tasks_ensure_guard (gp_tasks_t *tasks, const char *name)
{
  gp_tasks_guard_t *guard = gp_tasks_find_guard (tasks, name);

  if (guard != NULL)
    return guard;
  guard = g_new0 (gp_tasks_guard_t, 1);
  guard->name = g_strdup (name);
  guard->responsible = gp_tasks_is_responsible (tasks, "guard", name);
  gp_worker_init (&guard->worker);
  guard->worker.state = GP_WORKER_LOST;
  guard->worker.service = GP_SERVICE_NONE;
  gp_list_init (&guard->placed);
  gp_list_init (&guard->to_propose_link);
  gp_residency_init (&guard->residency, gp_tasks_now (tasks));
  gp_remedy_init (&guard->remedy);
  guard->inventory = g_array_new (FALSE, FALSE, sizeof (gp_tasks_epoch_t));
  g_hash_table_insert (tasks->guards, guard->name, guard);
  guard->check_at = gp_tasks_now (tasks);
  gp_heap_insert (&tasks->guard_checks, &guard->check_node);
  return guard;
}

void
gp_tasks_guard_free (gpointer data)
{
  gp_tasks_guard_t *guard = data;

  gp_list_remove (&guard->to_propose_link);
  gp_worker_finish (&guard->worker);
  g_array_free (guard->inventory, TRUE);
  g_free (guard->name);
  g_free (guard);
}

gp_tasks_guard_t *
gp_tasks_guard_of_worker (gp_worker_t *worker)
{
  return GP_CONTAINER_OF (worker, gp_tasks_guard_t, worker);
}

/* Returns the number of NAME, counted from 0, which does not change while the
   process runs.  */
static uint32_t
number_of (GHashTable *table, const char *name)
{
  uint32_t number = GPOINTER_TO_UINT (g_hash_table_lookup (table, name));

  if (number != 0)
    return number - 1;
  number = g_hash_table_size (table) + 1;
  g_hash_table_insert (table, g_strdup (name), GUINT_TO_POINTER (number));
  return number - 1;
}

static void
ensure_suspects_slot (gp_tasks_t *tasks, uint32_t index)
{
  gp_suspects_t *suspects = &tasks->suspects;
  uint32_t before = suspects->n_workers;

  if (index >= before)
    {
      suspects->n_workers = MAX (index + 1, 2 * before);
      suspects->workers = g_renew (gp_suspects_worker_t, suspects->workers,
                                   suspects->n_workers);
      memset (&suspects->workers[before], 0,
              (suspects->n_workers - before) * sizeof *suspects->workers);
    }
  memset (&suspects->workers[index], 0, sizeof *suspects->workers);
}

/* Adds the worker of GUARD to the fleet, including the reservations of the
   tasks placed on it.  */
static void
add_to_fleet (gp_tasks_t *tasks, gp_tasks_guard_t *guard)
{
  gp_fleet_add (&tasks->fleet, &guard->worker);
  ensure_suspects_slot (tasks, guard->worker.index);
  guard->in_fleet = true;
  tasks->shapes_changed = true;
  GP_LIST_FOREACH (pos, &guard->placed)
  {
    gp_tasks_task_t *task
        = GP_CONTAINER_OF (pos, gp_tasks_task_t, placed_link);

    gp_placement_reserve (&tasks->placement, &task->request, &guard->worker);
    if (task->confirmed)
      gp_fleet_confirm (&tasks->fleet, &guard->worker, &task->request.demand);
  }
}

static void
remove_from_fleet (gp_tasks_t *tasks, gp_tasks_guard_t *guard)
{
  if (!guard->in_fleet)
    return;
  GP_LIST_FOREACH (pos, &guard->placed)
  {
    gp_tasks_task_t *task
        = GP_CONTAINER_OF (pos, gp_tasks_task_t, placed_link);

    if (!task->confirmed)
      gp_fleet_confirm (&tasks->fleet, &guard->worker, &task->request.demand);
    gp_placement_release (&tasks->placement, &task->request, &guard->worker);
  }
  gp_fleet_remove (&tasks->fleet, &guard->worker);
  guard->in_fleet = false;
}

/* Zones that no guard has announced have no number yet and are skipped.  */
void
gp_tasks_update_evacuated (gp_tasks_t *tasks)
{
  const gp_document_t *document = tasks->document;

  tasks->evacuated = 0;
  for (uint32_t i = 0; document != NULL && i < document->evacuated_zones_count;
       i++)
    {
      uint32_t number = GPOINTER_TO_UINT (g_hash_table_lookup (
          tasks->zone_numbers, document->evacuated_zones[i].name));

      if (number > 0 && number <= tasks->n_zones)
        tasks->evacuated |= UINT64_C (1) << (number - 1);
    }
}

static void
set_location (gp_tasks_t *tasks, gp_tasks_guard_t *guard,
              const gp_session_t *session, const Gp__Wire__Announce *announce)
{
  gp_worker_t *worker = &guard->worker;
  char *rack = g_strconcat (session->zone, "/", announce->rack, NULL);
  uint32_t zone = number_of (tasks->zone_numbers, session->zone);

  worker->zone = (uint16_t)MIN (zone, tasks->n_zones - 1);
  worker->region = 0;
  worker->rack = number_of (tasks->rack_numbers, rack);
  tasks->zones |= UINT64_C (1) << worker->zone;
  gp_tasks_update_evacuated (tasks);
  g_free (rack);
  worker->service = GP_SERVICE_NONE;
  guard->slots = 0;
  if (announce->upstream == NULL)
    return;
  worker->service = (uint16_t)number_of (tasks->service_numbers,
                                         announce->upstream->service);
  guard->slots = announce->upstream->slots;
}

static void
set_capacity (gp_tasks_t *tasks, gp_tasks_guard_t *guard,
              const gp_session_t *session, const Gp__Wire__Announce *announce)
{
  gp_resources_t capacity
      = { announce->capacity->millicores, announce->capacity->memory_mib,
          announce->capacity->accelerators };

  if (guard->in_fleet
      && gp_resources_equal (&capacity, &guard->worker.capacity))
    return;
  remove_from_fleet (tasks, guard);
  set_location (tasks, guard, session, announce);
  guard->worker.capacity = capacity;
  add_to_fleet (tasks, guard);
}

void
gp_tasks_on_announce (gp_tasks_t *tasks, gp_session_t *session,
                      const Gp__Wire__Announce *announce)
{
  gp_tasks_guard_t *guard = gp_tasks_find_guard (tasks, session->process);

  if (announce->lease_incarnation == 0 || announce->capacity == NULL)
    return;
  if (guard == NULL)
    guard = gp_tasks_ensure_guard (tasks, session->process);
  if (announce->lease_incarnation < guard->incarnation)
    return;
  if (announce->lease_incarnation != guard->incarnation)
    guard->lease_until = 0;
  guard->session = session;
  guard->incarnation = announce->lease_incarnation;
  guard->inherits = announce->inherits;
  guard->leaving
      = announce->state == GP__WIRE__MEMBER_STATE__MEMBER_STATE_LEAVING;
  set_capacity (tasks, guard, session, announce);
  gp_tasks_guard_check_by (tasks, guard, gp_tasks_now (tasks));
  gp_tasks_guard_update_state (tasks, guard);
}

static bool
is_registered (const gp_tasks_t *tasks, const gp_tasks_guard_t *guard)
{
  const gp_fold_guard_t *state
      = gp_fold_guard (gp_store_fold (tasks->store), guard->name);

  return state != NULL && state->incarnation == guard->incarnation
         && !state->fenced;
}

static bool
is_alive (const gp_tasks_t *tasks, const gp_tasks_guard_t *guard)
{
  if (guard->session == NULL || guard->lease_until <= gp_tasks_now (tasks))
    return false;
  return guard->member == NULL || guard->member->state == GP_MEMBER_SERVING
         || guard->member->state == GP_MEMBER_JOINING;
}

static gp_worker_state_t
worker_state_of (const gp_tasks_t *tasks, const gp_tasks_guard_t *guard)
{
  if (!is_alive (tasks, guard) || !is_registered (tasks, guard))
    return GP_WORKER_LOST;
  if (guard->leaving)
    return GP_WORKER_LEAVING;
  if (!gp_suspects_allows (&tasks->suspects, guard->worker.index))
    return GP_WORKER_SUSPECTED;
  return GP_WORKER_SERVING;
}

void
gp_tasks_guard_update_state (gp_tasks_t *tasks, gp_tasks_guard_t *guard)
{
  gp_worker_state_t state;

  if (!guard->in_fleet)
    return;
  state = worker_state_of (tasks, guard);
  if (state == guard->worker.state)
    return;
  if (state == GP_WORKER_SUSPECTED)
    gp_log (GP_LOG_WARNING, "worker.suspected",
            GP_LOG_S ("guard", guard->name));
  gp_fleet_set_state (&tasks->fleet, &guard->worker, state);
  gp_tasks_schedule_placement (tasks);
}

/* Whether GUARD can be freed: it is gone from the log and the membership, and
   nothing refers to it.  */
static bool
guard_is_unused (const gp_tasks_t *tasks, const gp_tasks_guard_t *guard)
{
  return guard->session == NULL && guard->member == NULL
         && gp_list_empty (&guard->placed) && guard->adopt_incarnation == 0
         && !guard->proposal_pending
         && gp_fold_guard (gp_store_fold (tasks->store), guard->name) == NULL;
}

/* Periodic checks.  */

static bool
checked_before (const gp_heap_node_t *a, const gp_heap_node_t *b)
{
  return GP_CONTAINER_OF (a, gp_tasks_guard_t, check_node)->check_at
         < GP_CONTAINER_OF (b, gp_tasks_guard_t, check_node)->check_at;
}

void
gp_tasks_guards_init (gp_tasks_t *tasks)
{
  gp_heap_init (&tasks->guard_checks, checked_before);
  gp_list_init (&tasks->to_propose);
}

static void
set_check (gp_tasks_t *tasks, gp_tasks_guard_t *guard, gp_time_t at)
{
  gp_heap_remove (&tasks->guard_checks, &guard->check_node);
  guard->check_at = at;
  gp_heap_insert (&tasks->guard_checks, &guard->check_node);
}

void
gp_tasks_guard_check_by (gp_tasks_t *tasks, gp_tasks_guard_t *guard,
                         gp_time_t at)
{
  if (at < guard->check_at)
    set_check (tasks, guard, at);
}

/* The next time at which the state of GUARD may change without an event.  */
static gp_time_t
next_check (const gp_tasks_t *tasks, const gp_tasks_guard_t *guard,
            gp_time_t now)
{
  gp_time_t at = now + tasks->due_period;
  const gp_suspects_worker_t *suspect;

  if (guard->session == NULL)
    return now + 1;
  if (guard->lease_until > now)
    at = MIN (at, guard->lease_until);
  if (!guard->in_fleet)
    return at;
  suspect = &tasks->suspects.workers[guard->worker.index];
  if (suspect->state != GP_SUSPECTS_TRUSTED)
    at = MIN (at, suspect->until);
  if (guard->worker.held_for != 0)
    at = MIN (at, guard->worker.held_until);
  return MAX (at, now + 1);
}

/* Applies timeouts to GUARD, which may be freed.  */
static void
check_guard (gp_tasks_t *tasks, gp_tasks_guard_t *guard, gp_time_t now)
{
  if (gp_store_ready (tasks->store) && guard_is_unused (tasks, guard))
    {
      remove_from_fleet (tasks, guard);
      gp_heap_remove (&tasks->guard_checks, &guard->check_node);
      g_hash_table_remove (tasks->guards, guard->name);
      return;
    }
  if (guard->in_fleet)
    {
      (void)gp_suspects_tick (&tasks->suspects, guard->worker.index, now);
      gp_fleet_expire_hold (&tasks->fleet, &guard->worker, now);
      gp_tasks_guard_update_state (tasks, guard);
    }
  set_check (tasks, guard, next_check (tasks, guard, now));
}

void
gp_tasks_guards_check_due (gp_tasks_t *tasks)
{
  gp_time_t now = gp_tasks_now (tasks);
  gp_heap_node_t *first;

  while ((first = gp_heap_first (&tasks->guard_checks)) != NULL)
    {
      gp_tasks_guard_t *guard
          = GP_CONTAINER_OF (first, gp_tasks_guard_t, check_node);

      if (guard->check_at > now)
        return;
      check_guard (tasks, guard, now);
    }
}
