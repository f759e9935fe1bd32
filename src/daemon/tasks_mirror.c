/* The mirror of the fold's tasks: applies the changes that come from the
   log.  */

#include "daemon/tasks_private.h"

static gp_resources_t
declared_of (const gp_fold_task_t *state)
{
  return (gp_resources_t){ state->millicores, state->memory_mib,
                           state->accelerators };
}

static gp_time_t
latest_start (const gp_tasks_t *tasks, const gp_tasks_task_t *task,
              const gp_fold_task_t *state)
{
  const gp_document_batch_job_t *job = NULL;
  gp_time_t now = gp_tasks_now (tasks);
  gp_time_t deadline;

  if (state->work_class == GP__WIRE__WORK_CLASS__WORK_CLASS_WATCHER)
    return now + tasks->pending.settings.default_wait[1];
  if (state->deadline_us == 0)
    return now + tasks->pending.settings.default_wait[2];
  if (tasks->document != NULL)
    job = gp_document_find_batch_job (tasks->document, state->kind);
  deadline = now + (state->deadline_us - gp_time_wall ());
  return gp_estimate_latest_start (&task->kind->estimate, deadline,
                                   job == NULL ? 0
                                               : job->expected_run_s * GP_SEC);
}

static gp_tasks_task_t *
mirror_new (gp_tasks_t *tasks, const gp_fold_task_t *state)
{
  gp_tasks_task_t *task = g_new0 (gp_tasks_task_t, 1);
  gp_resources_t declared = declared_of (state);

  task->id = state->id;
  task->kind = gp_tasks_ensure_kind (tasks, state->kind);
  task->team = gp_tasks_ensure_team (tasks, state->team);
  gp_pending_task_init (&task->pending, state->id, task->team->index,
                        (gp_work_class_t)state->work_class, &declared,
                        latest_start (tasks, task, state));
  task->request
      = (gp_placement_request_t){ .task = state->id,
                                  .kind = task->kind->index,
                                  .work_class
                                  = (gp_work_class_t)state->work_class,
                                  .group = task->kind->index,
                                  .demand = declared,
                                  .previous = GP_WORKER_NONE,
                                  .held = GP_WORKER_NONE };
  gp_list_init (&task->placed_link);
  gp_list_init (&task->due_link);
  g_hash_table_add (tasks->tasks, task);
  return task;
}

static void
count_watcher (gp_tasks_t *tasks, gp_tasks_task_t *task, int amount)
{
  if (task->request.work_class != GP_WORK_WATCHER)
    return;
  task->kind->live_count += (uint32_t)amount;
  tasks->watchers_changed = true;
}

static void
on_submitted (gp_tasks_t *tasks, const gp_fold_task_t *state)
{
  gp_tasks_task_t *task = mirror_new (tasks, state);

  if (!state->cancelled)
    count_watcher (tasks, task, 1);
  task->kind->id_seed_us = MAX (task->kind->id_seed_us, state->submitted_us);
  gp_tasks_add_event (tasks, GP_TIMELINE_TASK_SUBMITTED, state->id, 0, NULL,
                      state->kind);
}

/* Records for suspicion that the last epoch of TASK ended on GUARD.  */
static void
record_outcome (gp_tasks_t *tasks, gp_tasks_task_t *task,
                const gp_fold_task_t *state, gp_tasks_guard_t *guard)
{
  bool failed = state->end_state == GP__WIRE__TASK_STATE__TASK_STATE_FAILED;
  bool succeeded
      = state->end_state == GP__WIRE__TASK_STATE__TASK_STATE_SUCCEEDED;

  if (!guard->in_fleet || (!failed && !succeeded))
    return;
  if (gp_suspects_outcome (&tasks->suspects, task->id, &task->failures,
                           guard->worker.index, failed, gp_tasks_now (tasks)))
    {
      gp_tasks_guard_check_by (tasks, guard, gp_tasks_now (tasks));
      gp_tasks_guard_update_state (tasks, guard);
    }
}

static void
count_lost (gp_tasks_t *tasks, const gp_fold_task_t *state)
{
  if (state->end_state == GP__WIRE__TASK_STATE__TASK_STATE_LOST)
    tasks->lost_count++;
}

static void
on_epoch_ended (gp_tasks_t *tasks, gp_tasks_task_t *task,
                const gp_fold_task_t *state, const gp_fold_guard_t *fold_guard)
{
  gp_tasks_guard_t *guard
      = fold_guard == NULL ? NULL
                           : gp_tasks_ensure_guard (tasks, fold_guard->name);

  if (task->stage == GP_TASKS_GRANTED && task->peak.memory_mib > 0)
    gp_estimate_observe_use (&task->kind->estimate, &task->peak);
  gp_tasks_dequeue (tasks, task);
  gp_tasks_release (tasks, task);
  tasks->release_count++;
  gp_list_remove (&task->due_link);
  if (guard != NULL)
    {
      record_outcome (tasks, task, state, guard);
      count_lost (tasks, state);
    }
  task->request.previous = guard != NULL && guard->in_fleet
                               ? guard->worker.index
                               : GP_WORKER_NONE;
  task->running = task->over_quota = task->throttled = false;
  task->end_proposed = task->checkpoint_proposed = false;
  task->peak = (gp_resources_t){ 0 };
}

static void
on_returned (gp_tasks_t *tasks, gp_tasks_task_t *task,
             const gp_fold_task_t *state, const gp_fold_guard_t *fold_guard)
{
  bool backoff
      = state->end_state == GP__WIRE__TASK_STATE__TASK_STATE_REFUSED
        || state->end_state == GP__WIRE__TASK_STATE__TASK_STATE_FAILED;

  gp_tasks_add_event (tasks, GP_TIMELINE_TASK_ENDED, state->id, state->epoch,
                      fold_guard == NULL ? NULL : fold_guard->name,
                      "returned");
  on_epoch_ended (tasks, task, state, fold_guard);
  if (backoff)
    task->request.previous = GP_WORKER_NONE;
  task->request.has_checkpoint = state->checkpoint != NULL;
  gp_tasks_enqueue (tasks, task, backoff);
}

static void
on_ended (gp_tasks_t *tasks, gp_tasks_task_t *task,
          const gp_fold_task_t *state, const gp_fold_guard_t *fold_guard)
{
  gp_tasks_add_event (tasks, GP_TIMELINE_TASK_ENDED, state->id, state->epoch,
                      fold_guard == NULL ? NULL : fold_guard->name,
                      state->cancelled ? "cancelled" : "ended");
  on_epoch_ended (tasks, task, state, fold_guard);
  /* The count of a watcher that was cancelled while it was granted was
     decremented at its cancellation.  */
  if (!state->cancelled || fold_guard == NULL)
    count_watcher (tasks, task, -1);
  gp_placement_drop_hold (&tasks->placement, &task->request);
  g_hash_table_remove (tasks->tasks, task);
}

static void
on_task_change (gp_tasks_t *tasks, const gp_fold_change_t *change)
{
  const gp_fold_task_t *state = change->u.task.task;
  const gp_fold_guard_t *guard = change->u.task.guard;
  gp_tasks_task_t *task = gp_tasks_find (tasks, state->id);

  if (task == NULL && change->kind == GP_FOLD_TASK_SUBMITTED)
    {
      on_submitted (tasks, state);
      gp_tasks_enqueue (tasks, gp_tasks_find (tasks, state->id), false);
    }
  if (task == NULL)
    return;
  switch ((int)change->kind)
    {
    case GP_FOLD_TASK_GRANTED:
      gp_tasks_on_granted (tasks, task, state, guard);
      break;
    case GP_FOLD_TASK_CHECKPOINT:
      task->progress_saved_at = gp_tasks_now (tasks);
      gp_tasks_add_event (tasks, GP_TIMELINE_TASK_CHECKPOINTED, state->id,
                          state->epoch, guard == NULL ? NULL : guard->name,
                          NULL);
      break;
    case GP_FOLD_TASK_CANCELLING:
      count_watcher (tasks, task, -1);
      task->waiting_since = gp_tasks_now (tasks);
      gp_tasks_send_pending (tasks, task);
      break;
    case GP_FOLD_TASK_RETURNED:
      on_returned (tasks, task, state, guard);
      break;
    case GP_FOLD_TASK_ENDED:
      on_ended (tasks, task, state, guard);
      break;
    case GP_FOLD_TASK_PARKED:
      gp_tasks_dequeue (tasks, task);
      task->park_proposed = false;
      gp_tasks_add_event (tasks, GP_TIMELINE_TASK_PARKED, state->id,
                          state->epoch, NULL, NULL);
      break;
    case GP_FOLD_TASK_UNPARKED:
      task->failures.n = 0;
      gp_tasks_enqueue (tasks, task, false);
      break;
    default:
      break;
    }
}

void
gp_tasks_on_change (const gp_fold_change_t *change, void *data)
{
  gp_tasks_t *tasks = data;

  switch (change->kind)
    {
    case GP_FOLD_TASK_SUBMITTED:
    case GP_FOLD_TASK_GRANTED:
    case GP_FOLD_TASK_CHECKPOINT:
    case GP_FOLD_TASK_CANCELLING:
    case GP_FOLD_TASK_RETURNED:
    case GP_FOLD_TASK_ENDED:
    case GP_FOLD_TASK_PARKED:
    case GP_FOLD_TASK_UNPARKED:
      on_task_change (tasks, change);
      break;
    case GP_FOLD_GUARD_ADOPTED:
    case GP_FOLD_GUARD_FENCED:
    case GP_FOLD_GUARD_GONE:
    case GP_FOLD_GUARD_DROPPED:
      gp_tasks_lease_change (tasks, change);
      break;
    case GP_FOLD_OWN_BATCH:
    case GP_FOLD_WRITER_STARTED:
    case GP_FOLD_TASK_DROPPED:
    case GP_FOLD_KEY_OPENED:
    case GP_FOLD_KEY_DECIDED:
    case GP_FOLD_KEY_RELEASED:
    case GP_FOLD_KEY_DROPPED:
    case GP_FOLD_CONFIG_CHANGED:
    case GP_FOLD_SNAPSHOT:
      break;
    }
  gp_tasks_schedule_placement (tasks);
}

void
gp_tasks_clear_mirror (gp_tasks_t *tasks)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, tasks->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_tasks_task_t *task = value;

      gp_tasks_dequeue (tasks, task);
      gp_tasks_release (tasks, task);
      gp_list_remove (&task->due_link);
      gp_placement_drop_hold (&tasks->placement, &task->request);
      g_hash_table_iter_remove (&iter);
    }
  g_hash_table_iter_init (&iter, tasks->kinds);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((gp_tasks_kind_t *)value)->live_count = 0;
}

void
gp_tasks_on_rebuilt (void *data)
{
  gp_tasks_t *tasks = data;
  const gp_fold_t *fold = gp_store_fold (tasks->store);
  GHashTableIter iter;
  gpointer key;

  gp_tasks_clear_mirror (tasks);
  gp_tasks_lease_rebuild (tasks);
  g_hash_table_iter_init (&iter, fold->tasks);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const gp_fold_task_t *state = key;

      if (state->phase == GP__RECORD__TASK_PHASE__TASK_PHASE_ENDED)
        continue;
      on_submitted (tasks, state);
      if (state->phase == GP__RECORD__TASK_PHASE__TASK_PHASE_GRANTED)
        gp_tasks_on_granted (tasks, gp_tasks_find (tasks, state->id), state,
                             state->guard);
      if (state->phase == GP__RECORD__TASK_PHASE__TASK_PHASE_PENDING)
        gp_tasks_enqueue (tasks, gp_tasks_find (tasks, state->id), false);
    }
  gp_tasks_schedule_placement (tasks);
}
